#include "recordlog/persistent_log.h"

#include <algorithm>

namespace tanagerseam {

namespace {

namespace asio = restinio::asio_ns;

constexpr Millis kMinAttemptTimeout(150);
constexpr Millis kMaxAttemptTimeout(1500);
// A response counts as lost after this many times the mean response time.
constexpr double kTimeoutFactor = 5;
// Weight of a new sample in the mean response time.
constexpr double kMeanWeight = 0.1;
constexpr Millis kInitialBackoff(25);
constexpr Millis kMaxBackoff(400);
// Bounds the exponential growth of attempt timeouts and backoffs.
constexpr int kMaxDoublings = 5;

} // namespace

struct RetryingLog::AppendTask
{
  std::vector<LogPartition> partitions;
  std::string record;
  TimePoint deadline;
  std::function<void(const AppendResult&)> done;
  std::function<bool()> isWanted;
  int attempts = 0;
  LogFault lastFault = LogFault::kNoAnswer;
};

struct RetryingLog::ReadTask
{
  LogPartition partition;
  int64_t nextOffset = 0;
  TimePoint deadline;
  std::function<void(const ReadResult&)> done;
  int attempts = 0;
  RecordPage result;
  // End offset from the first response; -1 before it.
  int64_t targetEnd = -1;
};

struct RetryingLog::NewestTask
{
  LogPartition partition;
  std::string afterKey;
  TimePoint deadline;
  std::function<void(const NewestResult&)> done;
  int attempts = 0;
};

RetryingLog::RetryingLog(asio::io_context& aIo, RecordLog& aLog)
  : io(aIo)
  , log(aLog)
{
}

void
RetryingLog::Append(std::vector<LogPartition> aPartitions,
                    std::string aRecord,
                    TimePoint aDeadline,
                    std::function<void(const AppendResult&)> aDone,
                    std::function<bool()> aIsWanted)
{
  auto task = std::make_shared<AppendTask>();
  task->partitions = std::move(aPartitions);
  task->record = std::move(aRecord);
  task->deadline = aDeadline;
  task->done = std::move(aDone);
  task->isWanted = std::move(aIsWanted);
  this->AttemptAppend(task);
}

void
RetryingLog::AppendOnce(const LogPartition& aPartition,
                        std::string aRecord,
                        Millis aTimeout,
                        std::function<void(const AppendResult&)> aDone)
{
  const TimePoint sentAt = BootNow();
  this->log.Append(
    aPartition,
    std::move(aRecord),
    aTimeout,
    [this, sentAt, done = std::move(aDone)](const AppendResult& aResult) {
      this->OnAttemptEnded(sentAt, aResult);
      done(aResult);
    });
}

void
RetryingLog::AppendAllOnce(const LogPartition& aPartition,
                           const std::vector<std::string>& aRecords,
                           Millis aTimeout,
                           std::function<void(const AppendResult&)> aDone)
{
  const TimePoint sentAt = BootNow();
  this->log.AppendAll(
    aPartition,
    aRecords,
    aTimeout,
    [this, sentAt, done = std::move(aDone)](const AppendResult& aResult) {
      this->OnAttemptEnded(sentAt, aResult);
      done(aResult);
    });
}

void
RetryingLog::ReadNewest(const LogPartition& aPartition,
                        const std::string& aAfterKey,
                        TimePoint aDeadline,
                        std::function<void(const NewestResult&)> aDone)
{
  auto task = std::make_shared<NewestTask>();
  task->partition = aPartition;
  task->afterKey = aAfterKey;
  task->deadline = aDeadline;
  task->done = std::move(aDone);
  this->AttemptReadNewest(task);
}

void
RetryingLog::ReadAll(const LogPartition& aPartition,
                     int64_t aFrom,
                     TimePoint aDeadline,
                     std::function<void(const ReadResult&)> aDone)
{
  auto task = std::make_shared<ReadTask>();
  task->partition = aPartition;
  task->nextOffset = aFrom;
  task->deadline = aDeadline;
  task->done = std::move(aDone);
  this->AttemptRead(task);
}

bool
RetryingLog::IsUnavailable(TimePoint aNow) const
{
  return this->failingSince != TimePoint{} &&
         aNow - this->failingSince >= kUnavailableAfter &&
         aNow - this->lastFailedAt < kProbeAfter;
}

Millis
RetryingLog::AttemptTimeout(int aAttempts,
                            TimePoint aDeadline,
                            TimePoint aNow) const
{
  const double base = this->meanResponseMillis * kTimeoutFactor;
  const double scaled = base * (1 << std::min(aAttempts, kMaxDoublings));
  const Millis timeout = std::clamp(Millis(static_cast<int64_t>(scaled)),
                                    kMinAttemptTimeout,
                                    kMaxAttemptTimeout);
  const Millis remaining = std::chrono::duration_cast<Millis>(aDeadline - aNow);
  return std::max(Millis(1), std::min(timeout, remaining));
}

void
RetryingLog::OnAttemptEnded(TimePoint aSentAt, const AppendResult& aResult)
{
  if (std::holds_alternative<Appended>(aResult)) {
    this->OnSuccess(aSentAt);
  } else {
    this->OnFailure();
  }
}

void
RetryingLog::OnSuccess(TimePoint aSentAt)
{
  const double responseMillis =
    std::chrono::duration<double, std::milli>(BootNow() - aSentAt).count();
  this->meanResponseMillis +=
    kMeanWeight * (responseMillis - this->meanResponseMillis);
  this->failingSince = TimePoint{};
}

void
RetryingLog::OnFailure()
{
  this->lastFailedAt = BootNow();
  if (this->failingSince == TimePoint{}) {
    this->failingSince = this->lastFailedAt;
  }
}

void
RetryingLog::ScheduleRetry(int aAttempts,
                           LogFault aFault,
                           TimePoint aDeadline,
                           std::function<void()> aRetry)
{
  if (aFault == LogFault::kNoAnswer) {
    asio::post(this->io, std::move(aRetry));
    return;
  }
  const Millis backoff = std::min(
    kMaxBackoff, kInitialBackoff * (1 << std::min(aAttempts, kMaxDoublings)));
  const auto remaining =
    std::chrono::duration_cast<Millis>(aDeadline - BootNow());
  auto timer = std::make_shared<asio::steady_timer>(
    this->io, std::max(Millis(0), std::min(backoff, remaining)));
  timer->async_wait([timer, retry = std::move(aRetry)](const auto& aWaitError) {
    if (!aWaitError) {
      retry();
    }
  });
}

template<typename Task>
void
RetryingLog::RetryOrFail(const std::shared_ptr<Task>& aTask,
                         LogFault aFault,
                         Attempt<Task> aAttempt)
{
  this->OnFailure();
  ++aTask->attempts;
  if (aFault == LogFault::kRejected || BootNow() >= aTask->deadline) {
    aTask->done(aFault);
    return;
  }
  this->ScheduleRetry(aTask->attempts,
                      aFault,
                      aTask->deadline,
                      [this, aTask, aAttempt] { (this->*aAttempt)(aTask); });
}

void
RetryingLog::AttemptAppend(const std::shared_ptr<AppendTask>& aTask)
{
  if (aTask->isWanted && !aTask->isWanted()) {
    aTask->done(aTask->lastFault);
    return;
  }
  const TimePoint sentAt = BootNow();
  const size_t count = aTask->partitions.size();
  const size_t next = static_cast<size_t>(aTask->attempts) % count;
  this->log.Append(
    aTask->partitions[next],
    aTask->record,
    this->AttemptTimeout(aTask->attempts, aTask->deadline, sentAt),
    [this, aTask, sentAt](const AppendResult& aResult) {
      const LogFault* fault = std::get_if<LogFault>(&aResult);
      if (fault == nullptr) {
        this->OnSuccess(sentAt);
        aTask->done(aResult);
        return;
      }
      aTask->lastFault = *fault;
      this->RetryOrFail(aTask, *fault, &RetryingLog::AttemptAppend);
    });
}

void
RetryingLog::AttemptRead(const std::shared_ptr<ReadTask>& aTask)
{
  const TimePoint sentAt = BootNow();
  this->log.Read(aTask->partition,
                 aTask->nextOffset,
                 this->AttemptTimeout(aTask->attempts, aTask->deadline, sentAt),
                 [this, aTask, sentAt](const ReadResult& aResult) {
                   if (const auto* fault = std::get_if<LogFault>(&aResult)) {
                     this->RetryOrFail(
                       aTask, *fault, &RetryingLog::AttemptRead);
                     return;
                   }
                   this->OnSuccess(sentAt);
                   this->OnPage(aTask, std::get<RecordPage>(aResult));
                 });
}

void
RetryingLog::AttemptReadNewest(const std::shared_ptr<NewestTask>& aTask)
{
  const TimePoint sentAt = BootNow();
  this->log.ReadNewest(
    aTask->partition,
    aTask->afterKey,
    this->AttemptTimeout(aTask->attempts, aTask->deadline, sentAt),
    [this, aTask, sentAt](const NewestResult& aResult) {
      const auto* fault = std::get_if<LogFault>(&aResult);
      if (fault == nullptr) {
        this->OnSuccess(sentAt);
        aTask->done(aResult);
        return;
      }
      this->RetryOrFail(aTask, *fault, &RetryingLog::AttemptReadNewest);
    });
}

void
RetryingLog::OnPage(const std::shared_ptr<ReadTask>& aTask,
                    const RecordPage& aPage)
{
  RecordPage& result = aTask->result;
  result.first = aPage.first;
  result.end = std::max(result.end, aPage.end);
  result.records.insert(
    result.records.end(), aPage.records.begin(), aPage.records.end());
  aTask->targetEnd = aTask->targetEnd < 0 ? aPage.end : aTask->targetEnd;
  const int64_t readFrom = aTask->nextOffset;
  aTask->nextOffset = aPage.records.empty() ? std::max(readFrom, aPage.first)
                                            : aPage.records.back().offset + 1;
  if (aTask->nextOffset >= aTask->targetEnd) {
    aTask->done(result);
    return;
  }
  if (aTask->nextOffset == readFrom) {
    LogWarn("log_page_cut_short",
            { { "topic", aTask->partition.topic },
              { "partition", std::to_string(aTask->partition.number) },
              { "from", std::to_string(readFrom) },
              { "end", std::to_string(aTask->targetEnd) } });
    this->RetryOrFail(aTask, LogFault::kUnavailable, &RetryingLog::AttemptRead);
    return;
  }
  this->AttemptRead(aTask);
}

} // namespace tanagerseam
