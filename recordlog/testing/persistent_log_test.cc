// RetryingLog detects an outage, and its end too, although callers skip an
// unavailable log.
#include <gtest/gtest.h>

#include <optional>
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

  // The result of reading the whole partition; unset if none came in time.
  std::optional<ReadResult> ReadAll(Millis aWait)
  {
    std::optional<ReadResult> result;
    this->retryingLog.ReadAll(
      { "topic", 0 }, 0, BootNow() + aWait, [&result](const ReadResult& aRead) {
        result = aRead;
      });
    this->RunFor(aWait + Millis(500));
    return result;
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

// A pause before the next attempt once went past the deadline.
TEST_F(RetryingLogTest, ReportsFailureAtTheDeadline)
{
  this->log.down = true;
  this->Append(Millis(120));
  this->RunFor(Millis(140));
  EXPECT_EQ(this->failed, 1);
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

// Guards against a page that ends before its records, as one without a length
// may if its connection is closed: a turn in the log was taken for unknown.
TEST_F(RetryingLogTest, DoesNotTakeAPageThatEndsEarlyForTheEndOfTheLog)
{
  this->Append(Millis(500));
  this->RunFor(Millis(50));
  ASSERT_EQ(this->appended, 1);
  {
    SCOPED_TRACE("the page is read again");
    this->log.pagesCutShort = 2;
    const auto result = this->ReadAll(Millis(1000));
    ASSERT_TRUE(result.has_value());
    ASSERT_TRUE(std::holds_alternative<RecordPage>(*result));
    EXPECT_EQ(std::get<RecordPage>(*result).records.size(), 1u);
  }
  {
    SCOPED_TRACE("or the log counts as unavailable");
    this->log.pagesCutShort = 1000;
    const auto result = this->ReadAll(Millis(300));
    ASSERT_TRUE(result.has_value());
    EXPECT_TRUE(std::holds_alternative<LogFault>(*result));
  }
}

} // namespace
} // namespace tanagerseam
