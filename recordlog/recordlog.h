// An append-only log of records in partitions, as a service keeps it.
//
//   log.Append({ "turns-3", 7 }, record, [](const AppendResult& aResult) { });
//   log.Read({ "turns-3", 7 }, 0, [](const ReadResult& aResult) { });
//
// Both answer once, on the loop's thread, after the call has returned. An
// Append without an answer may still take effect, also seconds later; so each
// record carries an id by which readers drop second copies. A Read shows every
// record that was acknowledged before the Read began.
#ifndef TANAGERSEAM_RECORDLOG_RECORDLOG_H_
#define TANAGERSEAM_RECORDLOG_RECORDLOG_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "kernel/kernel.h"

namespace tanagerseam {

struct LogPartition
{
  std::string topic;
  int part = 0;
};

inline bool
operator<(const LogPartition& aLeft, const LogPartition& aRight)
{
  return aLeft.topic < aRight.topic ||
         (aLeft.topic == aRight.topic && aLeft.part < aRight.part);
}

// Why the log did not do what was asked of it.
enum class LogFault
{
  // No answer in time, or the connection broke.
  kNoAnswer,
  // It is down, overloaded or turns this host away; nothing was done.
  kUnavailable,
  // It is full.
  kFull,
  // It can't be done as asked; asking again does not help.
  kRejected,
};

std::string_view
NameOf(LogFault aError);

struct Appended
{
  // Offset of the record.
  int64_t offset = 0;
};

struct LogRecord
{
  int64_t offset = 0;
  std::string data;
};

struct ReadRecords
{
  // Offset behind the newest record of the partition.
  int64_t end = 0;
  // Oldest offset that is still kept.
  int64_t first = 0;
  std::vector<LogRecord> records;
};

using AppendResult = std::variant<Appended, LogFault>;
using ReadResult = std::variant<ReadRecords, LogFault>;

class RecordLog
{
public:
  virtual ~RecordLog() = default;
  virtual void Append(const LogPartition& aPartition,
                      std::string aRecord,
                      Millis aTimeout,
                      std::function<void(const AppendResult&)> aDone) = 0;
  // Records from aFrom on, oldest first; not always all of them.
  virtual void Read(const LogPartition& aPartition,
                    int64_t aFrom,
                    Millis aTimeout,
                    std::function<void(const ReadResult&)> aDone) = 0;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_RECORDLOG_RECORDLOG_H_
