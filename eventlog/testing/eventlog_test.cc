// LogWriter and LogFollower against an in-memory log with injected failures.
#include <gtest/gtest.h>

#include "eventlog/eventlog.h"

namespace tanagerseam {
namespace {

constexpr Millis kWaitTimeout(5000);
constexpr LogWriterSettings kFastSettings{ Millis(5), Millis(5), 100 };

class FakeLog : public LogService
{
public:
  std::variant<int64_t, LogFailure> Append(
    const std::vector<std::string>& aTexts) override
  {
    std::unique_lock<std::mutex> lock(this->mutex);
    this->changed.wait(lock, [this] { return !this->appendsBlocked; });
    this->batches.push_back(aTexts);
    if (this->appendsToFail > 0) {
      --this->appendsToFail;
      return LogFailure{ "down" };
    }
    const auto first = int64_t(this->entries.size());
    for (const auto& text : aTexts) {
      this->entries.push_back({ int64_t(this->entries.size()), text });
    }
    this->changed.notify_all();
    if (this->responsesToLose > 0) {
      --this->responsesToLose;
      return LogFailure{ "response lost" };
    }
    return first;
  }

  std::variant<LogPage, LogFailure> Read(int64_t aOffset, Millis) override
  {
    // Short, so that a follower's destructor returns quickly.
    constexpr Millis kPoll(10);
    std::unique_lock<std::mutex> lock(this->mutex);
    if (this->failReads) {
      return LogFailure{ "down" };
    }
    this->changed.wait_for(
      lock, kPoll, [&] { return int64_t(this->entries.size()) > aOffset; });
    LogPage page;
    page.firstOffset = this->firstRetainedOffset;
    page.endOffset = int64_t(this->entries.size());
    const int64_t from = std::max(aOffset, this->firstRetainedOffset);
    for (int64_t i = from; i < page.endOffset && i < from + 2; ++i) {
      page.entries.push_back(this->entries[size_t(i)]);
    }
    return page;
  }

  void BlockAppends(bool aBlocked)
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->appendsBlocked = aBlocked;
    this->changed.notify_all();
  }

  std::vector<std::string> Texts()
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    std::vector<std::string> texts;
    for (const auto& entry : this->entries) {
      texts.push_back(entry.text);
    }
    return texts;
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::vector<LogEntry> entries;
  std::vector<std::vector<std::string>> batches;
  int64_t firstRetainedOffset = 0;
  int appendsToFail = 0;
  int responsesToLose = 0;
  bool appendsBlocked = false;
  bool failReads = false;
};

bool
WaitUntil(const std::function<bool()>& aCondition)
{
  const TimePoint start = Now();
  while (!aCondition()) {
    if (Now() - start > kWaitTimeout) {
      return false;
    }
    std::this_thread::sleep_for(Millis(1));
  }
  return true;
}

using Texts = std::vector<std::string>;

TEST(LogWriterTest, GroupsRecordsQueuedDuringAppendInOrder)
{
  FakeLog log;
  log.BlockAppends(true);
  LogWriter writer(log, kFastSettings);
  ASSERT_TRUE(writer.Submit("1"));
  ASSERT_TRUE(WaitUntil([&] { return writer.QueuedRecords() == 0; }));
  for (const char* text : { "2", "3", "4" }) {
    ASSERT_TRUE(writer.Submit(text));
  }
  EXPECT_FALSE(writer.Flush(Millis(10)));
  log.BlockAppends(false);
  ASSERT_TRUE(writer.Flush(kWaitTimeout));
  EXPECT_EQ(log.Texts(), (Texts{ "1", "2", "3", "4" }));
  EXPECT_EQ(log.batches.size(), 2U);
}

TEST(LogWriterTest, RetriesFailedAppendUnchangedBeforeLaterRecords)
{
  FakeLog log;
  log.responsesToLose = 1;
  LogWriter writer(log, kFastSettings);
  ASSERT_TRUE(writer.Submit("1"));
  ASSERT_TRUE(WaitUntil([&] { return !log.Texts().empty(); }));
  ASSERT_TRUE(writer.Submit("2"));
  ASSERT_TRUE(writer.Flush(kWaitTimeout));
  EXPECT_EQ(log.Texts(), (Texts{ "1", "1", "2" }));
  EXPECT_FALSE(writer.Failing());
}

TEST(LogWriterTest, ReportsFailureAndRefusesRecordsWhenQueueIsFull)
{
  FakeLog log;
  log.appendsToFail = 1000000;
  LogWriter writer(log, kFastSettings);
  ASSERT_TRUE(writer.Submit("0"));
  ASSERT_TRUE(WaitUntil([&] { return writer.Failing(); }));
  for (size_t i = 1; i <= kFastSettings.maxQueuedRecords; ++i) {
    ASSERT_TRUE(writer.Submit(std::to_string(i)));
  }
  EXPECT_FALSE(writer.Submit("too many"));
  {
    std::lock_guard<std::mutex> lock(log.mutex);
    log.appendsToFail = 0;
  }
  ASSERT_TRUE(writer.Flush(kWaitTimeout));
  const Texts texts = log.Texts();
  ASSERT_EQ(texts.size(), kFastSettings.maxQueuedRecords + 1);
  for (size_t i = 0; i < texts.size(); ++i) {
    ASSERT_EQ(texts[i], std::to_string(i));
  }
}

class LogFollowerTest : public testing::Test
{
protected:
  void AppendRecords(const Texts& aTexts) { this->log.Append(aTexts); }

  std::unique_ptr<LogFollower> MakeFollower(int64_t aStartOffset)
  {
    return std::make_unique<LogFollower>(
      this->log,
      aStartOffset,
      [this](const LogEntry& aEntry) {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->applied.push_back(aEntry.text);
      },
      [this](int64_t aExpected, int64_t aFirst) {
        std::lock_guard<std::mutex> lock(this->mutex);
        this->gaps.emplace_back(aExpected, aFirst);
      });
  }

  FakeLog log;
  std::mutex mutex;
  Texts applied;
  std::vector<std::pair<int64_t, int64_t>> gaps;
};

TEST_F(LogFollowerTest, CatchesUpPageByPageAndContinues)
{
  this->AppendRecords({ "0", "1", "2", "3", "4" });
  auto follower = this->MakeFollower(1);
  ASSERT_TRUE(follower->CatchUp(kWaitTimeout));
  EXPECT_EQ(follower->Position(), 5);
  this->AppendRecords({ "5" });
  ASSERT_TRUE(follower->CatchUp(kWaitTimeout));
  follower.reset();
  EXPECT_EQ(this->applied, (Texts{ "1", "2", "3", "4", "5" }));
  EXPECT_TRUE(this->gaps.empty());
}

TEST_F(LogFollowerTest, ReportsGapOfTruncatedRecords)
{
  this->AppendRecords({ "0", "1", "2", "3" });
  this->log.firstRetainedOffset = 2;
  auto follower = this->MakeFollower(0);
  ASSERT_TRUE(follower->CatchUp(kWaitTimeout));
  follower.reset();
  EXPECT_EQ(this->applied, (Texts{ "2", "3" }));
  ASSERT_EQ(this->gaps.size(), 1U);
  EXPECT_EQ(this->gaps[0], std::make_pair(int64_t(0), int64_t(2)));
}

TEST_F(LogFollowerTest, ReportsReadFailureAndRecovers)
{
  this->AppendRecords({ "0" });
  auto follower = this->MakeFollower(0);
  ASSERT_TRUE(follower->CatchUp(kWaitTimeout));
  {
    std::lock_guard<std::mutex> lock(this->log.mutex);
    this->log.failReads = true;
  }
  ASSERT_TRUE(WaitUntil([&] { return follower->Failing(); }));
  const TimePoint last = follower->LastResponseTime();
  EXPECT_FALSE(follower->CatchUp(Millis(50)));
  EXPECT_EQ(follower->LastResponseTime(), last);
  {
    std::lock_guard<std::mutex> lock(this->log.mutex);
    this->log.failReads = false;
  }
  ASSERT_TRUE(follower->CatchUp(kWaitTimeout));
  EXPECT_FALSE(follower->Failing());
}

TEST(LogWriterRateTest, AllowsBurstAfterIdleThenLimitsRate)
{
  constexpr Millis kSpacing(100);
  constexpr int kBurst = 3;
  FakeLog log;
  LogWriterSettings settings{ kSpacing, Millis(5), 100 };
  settings.burst = kBurst;
  LogWriter writer(log, settings);
  const TimePoint start = Now();
  {
    SCOPED_TRACE("the first appends, one record each, are sent without delay");
    for (int i = 0; i < kBurst; ++i) {
      ASSERT_TRUE(writer.Submit("early"));
      ASSERT_TRUE(writer.Flush(kWaitTimeout));
    }
    EXPECT_LT(MillisBetween(start, Now()), kSpacing.count());
  }
  {
    SCOPED_TRACE("further appends are rate-limited");
    for (int i = 0; i < 2; ++i) {
      ASSERT_TRUE(writer.Submit("late"));
      ASSERT_TRUE(writer.Flush(kWaitTimeout));
    }
    EXPECT_GE(MillisBetween(start, Now()), 2 * kSpacing.count() - 1);
  }
}

} // namespace
} // namespace tanagerseam
