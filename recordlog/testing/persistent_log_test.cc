// RetryingLog detects an outage, and its end too, although callers skip an
// unavailable log.
#include <gtest/gtest.h>

#include <thread>

#include "program/testing/memory_log.h"
#include "recordlog/persistent_log.h"

namespace tanagerseam {
namespace {

class RetryingLogTest : public ::testing::Test
{
protected:
  void Append(Millis aWait)
  {
    this->retryingLog.Append({ { "topic", 0 } },
                             "record",
                             BootNow() + aWait,
                             [this](const AppendResult& aResult) {
                               const bool succeeded =
                                 std::holds_alternative<Appended>(aResult);
                               ++(succeeded ? this->appended : this->failed);
                             });
  }

  void RunFor(Millis aDuration)
  {
    this->io.restart();
    this->io.run_for(aDuration);
  }

  restinio::asio_ns::io_context io;
  MemoryLog log{ io };
  RetryingLog retryingLog{ io, log };
  int appended = 0;
  int failed = 0;
};

TEST_F(RetryingLogTest, DetectsOutageAndRecovery)
{
  this->log.down = true;
  this->Append(Millis(800));
  this->RunFor(Millis(700));
  EXPECT_TRUE(this->retryingLog.IsUnavailable(BootNow()));
  this->RunFor(Millis(900));
  EXPECT_EQ(this->failed, 1);
  {
    SCOPED_TRACE("a probe is due although no calls are made");
    std::this_thread::sleep_for(RetryingLog::kProbeAfter);
    EXPECT_FALSE(this->retryingLog.IsUnavailable(BootNow()));
  }
  this->log.down = false;
  this->Append(Millis(500));
  this->RunFor(Millis(100));
  EXPECT_EQ(this->appended, 1);
  EXPECT_FALSE(this->retryingLog.IsUnavailable(BootNow()));
}

TEST_F(RetryingLogTest, IgnoresShortFailure)
{
  this->log.down = true;
  this->Append(Millis(2000));
  this->RunFor(Millis(60));
  EXPECT_FALSE(this->retryingLog.IsUnavailable(BootNow()));
  this->log.down = false;
  this->RunFor(Millis(500));
  EXPECT_EQ(this->appended, 1);
}

} // namespace
} // namespace tanagerseam
