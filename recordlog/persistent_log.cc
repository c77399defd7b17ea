#include "recordlog/persistent_log.h"

#include <algorithm>

namespace tanagerseam {

namespace {

namespace asio = restinio::asio_ns;

constexpr Millis kShortestTimeout(150);
constexpr Millis kLongestTimeout(1500);
// Answers may take this many times the average before they count as lost.
constexpr double kTimeoutFactor = 5;
constexpr double kAverageWeight = 0.1;
constexpr Millis kFirstPause(25);
constexpr Millis kLongestPause(400);
constexpr int kMaxDoublings = 5;

} // namespace

struct PersistentLog::AppendTask
{
  std::vector<LogPartition> partitions;
  std::string record;
  TimePoint giveUpAt;
  std::function<void(const AppendResult&)> done;
  int tries = 0;
};

struct PersistentLog::ReadTask
{
  LogPartition partition;
  int64_t from = 0;
  TimePoint giveUpAt;
  std::function<void(const ReadResult&)> done;
  int tries = 0;
  ReadRecords found;
  // Read until there; known from the first answer.
  int64_t target = -1;
};

PersistentLog::PersistentLog(asio::io_context& aIo, RecordLog& aLog)
  : io(aIo)
  , log(aLog)
{
}

void
PersistentLog::Append(std::vector<LogPartition> aPartitions,
                      std::string aRecord,
                      TimePoint aGiveUpAt,
                      std::function<void(const AppendResult&)> aDone)
{
  auto task = std::make_shared<AppendTask>();
  task->partitions = std::move(aPartitions);
  task->record = std::move(aRecord);
  task->giveUpAt = aGiveUpAt;
  task->done = std::move(aDone);
  this->TryAppend(task);
}

void
PersistentLog::ReadAll(const LogPartition& aPartition,
                       int64_t aFrom,
                       TimePoint aGiveUpAt,
                       std::function<void(const ReadResult&)> aDone)
{
  auto task = std::make_shared<ReadTask>();
  task->partition = aPartition;
  task->from = aFrom;
  task->giveUpAt = aGiveUpAt;
  task->done = std::move(aDone);
  this->TryRead(task);
}

bool
PersistentLog::Away(TimePoint aNow) const
{
  return this->failingSince != TimePoint{} &&
         aNow - this->failingSince >= kAwayAfter &&
         aNow - this->lastFailedAt < kLookAgainAfter;
}

Millis
PersistentLog::Timeout(int aTries, TimePoint aGiveUpAt, TimePoint aNow) const
{
  const double base = this->answerMillis * kTimeoutFactor;
  const double scaled = base * (1 << std::min(aTries, kMaxDoublings));
  const Millis wait = std::clamp(
    Millis(static_cast<int64_t>(scaled)), kShortestTimeout, kLongestTimeout);
  const Millis left = std::chrono::duration_cast<Millis>(aGiveUpAt - aNow);
  return std::max(Millis(1), std::min(wait, left));
}

void
PersistentLog::Answered(TimePoint aAskedAt)
{
  const double took =
    std::chrono::duration<double, std::milli>(BootNow() - aAskedAt).count();
  this->answerMillis += kAverageWeight * (took - this->answerMillis);
  this->failingSince = TimePoint{};
}

void
PersistentLog::Failed()
{
  this->lastFailedAt = BootNow();
  if (this->failingSince == TimePoint{}) {
    this->failingSince = this->lastFailedAt;
  }
}

void
PersistentLog::Again(int aTries, LogFault aError, std::function<void()> aNext)
{
  if (aError == LogFault::kNoAnswer) {
    asio::post(this->io, std::move(aNext));
    return;
  }
  const Millis pause = std::min(
    kLongestPause, kFirstPause * (1 << std::min(aTries, kMaxDoublings)));
  auto timer = std::make_shared<asio::steady_timer>(this->io, pause);
  timer->async_wait([timer, next = std::move(aNext)](const auto& aWaitError) {
    if (!aWaitError) {
      next();
    }
  });
}

void
PersistentLog::TryAppend(const std::shared_ptr<AppendTask>& aTask)
{
  const TimePoint askedAt = BootNow();
  const size_t count = aTask->partitions.size();
  const size_t next = static_cast<size_t>(aTask->tries) % count;
  this->log.Append(aTask->partitions[next],
                   aTask->record,
                   this->Timeout(aTask->tries, aTask->giveUpAt, askedAt),
                   [this, aTask, askedAt](const AppendResult& aResult) {
                     const LogFault* error = std::get_if<LogFault>(&aResult);
                     if (error == nullptr) {
                       this->Answered(askedAt);
                       aTask->done(aResult);
                       return;
                     }
                     this->Failed();
                     ++aTask->tries;
                     if (*error == LogFault::kRejected ||
                         BootNow() >= aTask->giveUpAt) {
                       aTask->done(aResult);
                       return;
                     }
                     this->Again(aTask->tries, *error, [this, aTask] {
                       this->TryAppend(aTask);
                     });
                   });
}

void
PersistentLog::TryRead(const std::shared_ptr<ReadTask>& aTask)
{
  const TimePoint askedAt = BootNow();
  this->log.Read(
    aTask->partition,
    aTask->from,
    this->Timeout(aTask->tries, aTask->giveUpAt, askedAt),
    [this, aTask, askedAt](const ReadResult& aResult) {
      if (const auto* error = std::get_if<LogFault>(&aResult)) {
        this->Failed();
        ++aTask->tries;
        if (*error == LogFault::kRejected || BootNow() >= aTask->giveUpAt) {
          aTask->done(aResult);
          return;
        }
        this->Again(
          aTask->tries, *error, [this, aTask] { this->TryRead(aTask); });
        return;
      }
      this->Answered(askedAt);
      const auto& page = std::get<ReadRecords>(aResult);
      ReadRecords& found = aTask->found;
      found.first = page.first;
      found.end = std::max(found.end, page.end);
      found.records.insert(
        found.records.end(), page.records.begin(), page.records.end());
      aTask->target = aTask->target < 0 ? page.end : aTask->target;
      aTask->from = page.records.empty() ? std::max(aTask->from, page.first)
                                         : page.records.back().offset + 1;
      if (aTask->from >= aTask->target || page.records.empty()) {
        aTask->done(aTask->found);
        return;
      }
      this->TryRead(aTask);
    });
}

} // namespace tanagerseam
