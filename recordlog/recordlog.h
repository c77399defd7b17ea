// Client interface to a service that stores append-only, partitioned logs.
//
//   log.Append({ "turns-3", 7 }, record, timeout,
//              [](const AppendResult& aResult) { ... });
//   log.Read({ "turns-3", 7 }, 0, timeout,
//            [](const ReadResult& aResult) { ... });
//   log.Append({ "keyed.turns-0", 7 }, KeyedData(key, value), timeout, done);
//   log.ReadNewest({ "keyed.turns-0", 7 }, "", timeout,
//                  [](const NewestResult& aResult) { ... });
//
// The log forgets a record after some time. In a topic whose name begins with
// kKeyedTopicPrefix it keeps the newest record of each key for good, until the
// key is dropped.
//
// Each call invokes its callback once, on the event loop's thread, after the
// call has returned. An Append that is not acknowledged may still take effect,
// even seconds later, so each record carries an id by which readers drop
// duplicates. A Read sees every record that was acknowledged before the Read
// began, but one page need not contain all of them.
#ifndef TANAGERSEAM_RECORDLOG_RECORDLOG_H_
#define TANAGERSEAM_RECORDLOG_RECORDLOG_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "kernel/kernel.h"

namespace tanagerseam {

// How long a log keeps a record if its host is not told: the shortest time that
// the operators' sheets name.
constexpr Millis kDefaultLogRetention{ 20000 };

constexpr char kKeyedTopicPrefix[] = "keyed.";
// Size of a key, in bytes.
constexpr size_t kMaxKeyBytes = 255;

// A record of a keyed topic. An empty value drops the key, which is at most
// kMaxKeyBytes long.
std::string
KeyedData(const std::string& aKey, const std::string& aValue);

// Key and value of such a record; nothing if aData is none.
struct KeyedPair
{
  std::string key;
  // Empty: the key is dropped.
  std::string value;
};

std::optional<KeyedPair>
ParseKeyedData(const std::string& aData);

struct LogPartition
{
  std::string topic;
  // Index of the partition within the topic.
  int number = 0;
};

inline bool
operator<(const LogPartition& aLeft, const LogPartition& aRight)
{
  return aLeft.topic < aRight.topic ||
         (aLeft.topic == aRight.topic && aLeft.number < aRight.number);
}

// Why an append or read failed.
enum class LogFault
{
  // Timeout or broken connection; an append may still take effect.
  kNoAnswer,
  // The log is down, overloaded or refuses this host; the call had no effect.
  kUnavailable,
  // The log has no space left.
  kFull,
  // The request is invalid; retrying does not help.
  kRejected,
};

std::string_view
NameOf(LogFault aFault);

struct Appended
{
  int64_t offset = 0;
};

struct LogRecord
{
  int64_t offset = 0;
  std::string data;
};

struct RecordPage
{
  // Offset after the newest record of the partition.
  int64_t end = 0;
  // Oldest offset that is still retained.
  int64_t first = 0;
  std::vector<LogRecord> records;
};

// The newest record of one key.
struct KeyedRecord
{
  std::string key;
  std::string value;
  int64_t offset = 0;
};

// The newest records of some keys of a partition, by key.
struct NewestPage
{
  std::vector<KeyedRecord> records;
  // Offset after the newest record of the partition.
  int64_t end = 0;
  // There are further keys after the last one.
  bool more = false;
};

using AppendResult = std::variant<Appended, LogFault>;
using ReadResult = std::variant<RecordPage, LogFault>;
using NewestResult = std::variant<NewestPage, LogFault>;

class RecordLog
{
public:
  virtual ~RecordLog() = default;
  virtual void Append(const LogPartition& aPartition,
                      std::string aRecord,
                      Millis aTimeout,
                      std::function<void(const AppendResult&)> aDone) = 0;
  // The same for several records, in one call; all are appended or none. The
  // result names the first.
  virtual void AppendAll(const LogPartition& aPartition,
                         const std::vector<std::string>& aRecords,
                         Millis aTimeout,
                         std::function<void(const AppendResult&)> aDone) = 0;
  // One page of the newest records of keys after aAfterKey, of a keyed topic.
  virtual void ReadNewest(const LogPartition& aPartition,
                          const std::string& aAfterKey,
                          Millis aTimeout,
                          std::function<void(const NewestResult&)> aDone) = 0;
  // One page of records from offset aFrom on, oldest first.
  virtual void Read(const LogPartition& aPartition,
                    int64_t aFrom,
                    Millis aTimeout,
                    std::function<void(const ReadResult&)> aDone) = 0;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_RECORDLOG_RECORDLOG_H_
