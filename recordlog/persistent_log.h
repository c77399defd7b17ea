// Appends and reads that are tried again until they succeed or time is up.
//
// The wait for an answer follows the answers that came lately, so that a lost
// one is noticed soon and a slow log is not asked twice for everything. A
// record that is sent again is the same record: its reader drops the copy.
#ifndef TANAGERSEAM_RECORDLOG_PERSISTENT_LOG_H_
#define TANAGERSEAM_RECORDLOG_PERSISTENT_LOG_H_

#include <memory>

#include <restinio/asio_include.hpp>

#include "recordlog/recordlog.h"

namespace tanagerseam {

class PersistentLog
{
public:
  PersistentLog(restinio::asio_ns::io_context& aIo, RecordLog& aLog);

  // aDone gets the last error if aGiveUpAt (BootNow's clock) passes first. With
  // several partitions the record goes to the first that takes it, or to more
  // than one if answers are lost.
  void Append(std::vector<LogPartition> aPartitions,
              std::string aRecord,
              TimePoint aGiveUpAt,
              std::function<void(const AppendResult&)> aDone);
  // Reads on from aFrom until the end that the first answer named.
  void ReadAll(const LogPartition& aPartition,
               int64_t aFrom,
               TimePoint aGiveUpAt,
               std::function<void(const ReadResult&)> aDone);
  static constexpr Millis kAwayAfter{ 400 };
  static constexpr Millis kLookAgainAfter{ 400 };

  // True while the last calls have failed for kAwayAfter or more. Callers that
  // don't ask a log that is away would never learn of its return; so it counts
  // as back, for one look, kLookAgainAfter after the last failure.
  bool Away(TimePoint aNow) const;
  // The log was seen to answer elsewhere.
  void NoteBack() { this->failingSince = TimePoint{}; }

private:
  struct AppendTask;
  struct ReadTask;

  void TryAppend(const std::shared_ptr<AppendTask>& aTask);
  void TryRead(const std::shared_ptr<ReadTask>& aTask);
  void Again(int aTries, LogFault aError, std::function<void()> aNext);
  Millis Timeout(int aTries, TimePoint aGiveUpAt, TimePoint aNow) const;
  void Answered(TimePoint aAskedAt);
  void Failed();

  restinio::asio_ns::io_context& io;
  RecordLog& log;
  // Average time of an answer.
  double answerMillis = 10;
  TimePoint failingSince{};
  TimePoint lastFailedAt{};
};

} // namespace tanagerseam

#endif // TANAGERSEAM_RECORDLOG_PERSISTENT_LOG_H_
