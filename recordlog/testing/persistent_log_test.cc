// The story of a log that goes away while its callers stop asking: its return
// is noticed all the same.
#include <gtest/gtest.h>

#include <thread>

#include "program/testing/memory_log.h"
#include "recordlog/persistent_log.h"

namespace tanagerseam {
namespace {

class PersistentLogStory : public ::testing::Test
{
protected:
  void Append(Millis aWait)
  {
    this->persistent.Append({ { "topic", 0 } },
                            "record",
                            BootNow() + aWait,
                            [this](const AppendResult& aResult) {
                              const bool good =
                                std::holds_alternative<Appended>(aResult);
                              ++(good ? this->appended : this->failed);
                            });
  }

  void RunFor(Millis aTime)
  {
    this->io.restart();
    this->io.run_for(aTime);
  }

  restinio::asio_ns::io_context io;
  MemoryLog log{ io };
  PersistentLog persistent{ io, log };
  int appended = 0;
  int failed = 0;
};

TEST_F(PersistentLogStory, AnAbsenceIsSeenAndItsEndIsLookedFor)
{
  this->log.down = true;
  this->Append(Millis(800));
  this->RunFor(Millis(700));
  EXPECT_TRUE(this->persistent.Away(BootNow()));
  this->RunFor(Millis(900));
  EXPECT_EQ(this->failed, 1);
  {
    SCOPED_TRACE("nobody asks any more, and yet a look is due");
    std::this_thread::sleep_for(PersistentLog::kLookAgainAfter);
    EXPECT_FALSE(this->persistent.Away(BootNow()));
  }
  this->log.down = false;
  this->Append(Millis(500));
  this->RunFor(Millis(100));
  EXPECT_EQ(this->appended, 1);
  EXPECT_FALSE(this->persistent.Away(BootNow()));
}

TEST_F(PersistentLogStory, AShortFailureIsNoAbsence)
{
  this->log.down = true;
  this->Append(Millis(2000));
  this->RunFor(Millis(60));
  EXPECT_FALSE(this->persistent.Away(BootNow()));
  this->log.down = false;
  this->RunFor(Millis(500));
  EXPECT_EQ(this->appended, 1);
}

} // namespace
} // namespace tanagerseam
