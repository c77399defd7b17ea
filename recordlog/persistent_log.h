// Appends and reads that are retried until they succeed or reach a deadline.
//
//   RetryingLog log(io, recordLog);
//   log.Append({ { "turns-3", 7 } }, record, deadline,
//              [](const AppendResult& aResult) { ... });
//
// The timeout of an attempt adapts to the mean response time, so that a lost
// response is detected early and calls to a slow log are not duplicated. A
// retried append sends the same record again; readers drop the duplicate.
#ifndef TANAGERSEAM_RECORDLOG_PERSISTENT_LOG_H_
#define TANAGERSEAM_RECORDLOG_PERSISTENT_LOG_H_

#include <memory>

#include <restinio/asio_include.hpp>

#include "recordlog/recordlog.h"

namespace tanagerseam {

class RetryingLog
{
public:
  RetryingLog(restinio::asio_ns::io_context& aIo, RecordLog& aLog);

  // aDone receives the last fault if aDeadline (on BootNow's clock) passes
  // first, and kRejected at once. Attempts rotate through aPartitions: the
  // record goes to the first that accepts it, or to several if acknowledgements
  // are lost. No attempt is made after aIsWanted, if given, has turned false;
  // aDone receives the fault of the attempt before.
  void Append(std::vector<LogPartition> aPartitions,
              std::string aRecord,
              TimePoint aDeadline,
              std::function<void(const AppendResult&)> aDone,
              std::function<bool()> aIsWanted = nullptr);
  // A single attempt. For a caller that is itself asked again.
  void AppendOnce(const LogPartition& aPartition,
                  std::string aRecord,
                  Millis aTimeout,
                  std::function<void(const AppendResult&)> aDone);
  // The same with several records in one call.
  void AppendAllOnce(const LogPartition& aPartition,
                     const std::vector<std::string>& aRecords,
                     Millis aTimeout,
                     std::function<void(const AppendResult&)> aDone);
  // One page of the newest records of keys after aAfterKey.
  void ReadNewest(const LogPartition& aPartition,
                  const std::string& aAfterKey,
                  TimePoint aDeadline,
                  std::function<void(const NewestResult&)> aDone);
  // Reads all records from aFrom to the end offset of the first response. A
  // page without records before that offset is read again.
  void ReadAll(const LogPartition& aPartition,
               int64_t aFrom,
               TimePoint aDeadline,
               std::function<void(const ReadResult&)> aDone);
  static constexpr Millis kUnavailableAfter{ 400 };
  static constexpr Millis kProbeAfter{ 400 };

  // True if calls have been failing for kUnavailableAfter or more. Callers skip
  // an unavailable log and would not notice its recovery, so this turns false
  // kProbeAfter after the last failure, until a probe call fails.
  bool IsUnavailable(TimePoint aNow) const;
  // True if the last call failed.
  bool IsFailing() const { return this->failingSince != TimePoint{}; }
  // Resets the failure state after another client got a response from the log.
  void MarkAvailable() { this->failingSince = TimePoint{}; }

private:
  struct AppendTask;
  struct ReadTask;
  struct NewestTask;

  void AttemptAppend(const std::shared_ptr<AppendTask>& aTask);
  void AttemptRead(const std::shared_ptr<ReadTask>& aTask);
  void AttemptReadNewest(const std::shared_ptr<NewestTask>& aTask);
  void OnPage(const std::shared_ptr<ReadTask>& aTask, const RecordPage& aPage);
  template<typename Task>
  using Attempt = void (RetryingLog::*)(const std::shared_ptr<Task>&);
  // An attempt has failed: schedules the next one, or ends the task if there is
  // no use in one or no time left.
  template<typename Task>
  void RetryOrFail(const std::shared_ptr<Task>& aTask,
                   LogFault aFault,
                   Attempt<Task> aAttempt);
  // Retries at once if the response was lost, otherwise after an exponential
  // backoff, and a last time at aDeadline.
  void ScheduleRetry(int aAttempts,
                     LogFault aFault,
                     TimePoint aDeadline,
                     std::function<void()> aRetry);
  // Doubles with each attempt; at most the time left until aDeadline.
  Millis AttemptTimeout(int aAttempts,
                        TimePoint aDeadline,
                        TimePoint aNow) const;
  // For a single attempt that was sent at aSentAt.
  void OnAttemptEnded(TimePoint aSentAt, const AppendResult& aResult);
  void OnSuccess(TimePoint aSentAt);
  void OnFailure();

  restinio::asio_ns::io_context& io;
  RecordLog& log;
  // Exponential moving average.
  double meanResponseMillis = 10;
  TimePoint failingSince{};
  TimePoint lastFailedAt{};
};

} // namespace tanagerseam

#endif // TANAGERSEAM_RECORDLOG_PERSISTENT_LOG_H_
