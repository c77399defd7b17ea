// Client of the platform's append-only log service.
//
// Usage:
//
//   HttpLogService service("127.0.0.1:9000", "tanagerseam", client);
//   LogWriter writer(service, settings);
//   auto onEntry = [&](const LogEntry& aEntry) { ... apply to the state ... };
//   auto onGap = [&](int64_t aExpected, int64_t aFirst) { ... };
//   LogFollower follower(service, fromOffset, onEntry, onGap);
//   writer.Submit(text);
//
// Only the implementations of LogService depend on the wire protocol.
//
// LogWriter does group commit: it has one append in flight at a time, carrying
// the records queued so far (up to a batch bound), at an average rate of one
// append per `appendInterval`. A failed append is retried unchanged before any
// later record is sent, so delivery is in order and at least once. The state
// machine in state/ drops duplicates by (host, incarnation, sequence).
#ifndef TANAGERSEAM_EVENTLOG_EVENTLOG_H_
#define TANAGERSEAM_EVENTLOG_EVENTLOG_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "http/http.h"
#include "kernel/kernel.h"

namespace tanagerseam {

// A record as stored in the log.
struct LogEntry
{
  int64_t offset = 0;
  std::string text;
};

// Response to a read: consecutive entries and the bounds of the log.
struct LogPage
{
  std::vector<LogEntry> entries;
  // Offset of the oldest record that is not truncated.
  int64_t firstOffset = 0;
  // Offset after the newest record.
  int64_t endOffset = 0;
};

// A failed log request. Its outcome is unknown: it may have taken effect.
struct LogFailure
{
  std::string detail;
};

// Interface to the platform's log. Thread-safe.
class LogService
{
public:
  virtual ~LogService() = default;
  // Appends all texts in order at consecutive offsets. Returns the first
  // offset.
  virtual std::variant<int64_t, LogFailure> Append(
    const std::vector<std::string>& aTexts) = 0;
  // Reads records from aOffset on; long-polls up to aWait if there are none
  // yet. A page with firstOffset > aOffset means that older records were
  // truncated.
  virtual std::variant<LogPage, LogFailure> Read(int64_t aOffset,
                                                 Millis aWait) = 0;
};

// LogService over HTTP:
//
//   POST /log/STREAM/append {"records":[...]}
//     -> {"offset":N}
//   GET /log/STREAM/read?from=N&wait_ms=M
//     -> {"first":..,"end":..,"records":[..]}
class HttpLogService : public LogService
{
public:
  HttpLogService(const std::string& aAddress,
                 const std::string& aStream,
                 HttpClient& aClient);
  std::variant<int64_t, LogFailure> Append(
    const std::vector<std::string>& aTexts) override;
  std::variant<LogPage, LogFailure> Read(int64_t aOffset,
                                         Millis aWait) override;

private:
  std::string baseUrl;
  HttpClient& client;
};

struct LogWriterSettings
{
  // Average interval between appends of this daemon; the reciprocal is the
  // sustained append rate.
  Millis appendInterval{ 50 };
  // Delay before a failed append is retried.
  Millis retryDelay{ 200 };
  // Queue bound; Submit refuses records beyond it.
  size_t maxQueuedRecords = 20000;
  // Appends that may be sent back to back after an idle period. Over any period
  // there are at most burst + period / appendInterval appends, not counting
  // retries.
  int burst = 6;
};

// Appends submitted records to the log in order, on its own thread.
class LogWriter
{
public:
  LogWriter(LogService& aService, LogWriterSettings aSettings);
  // Waits for an append in flight, then discards all records not written.
  ~LogWriter();

  // Queues one record. False if the queue is full.
  bool Submit(std::string aText);
  // Waits up to aLimit until every queued record is written; true on success.
  bool Flush(Millis aLimit);
  // True if the newest append attempt failed.
  bool Failing() const { return this->failing; }
  size_t QueuedRecords() const;

private:
  void Run();
  std::vector<std::string> TakeBatch();
  // Earliest time of the next append, given that the last one began at aStart.
  TimePoint NextAppendTime(TimePoint aStart);
  void AppendWithRetry(const std::vector<std::string>& aBatch);

  LogService& service;
  const LogWriterSettings settings;
  // Theoretical arrival time of the next append: when it would be due at an
  // even rate (GCRA). It may be sent (burst - 1) * appendInterval earlier.
  TimePoint theoreticalArrival{};
  mutable std::mutex mutex;
  std::condition_variable wake;
  std::deque<std::string> queue;
  bool sending = false;
  bool stopping = false;
  std::atomic<bool> failing{ false };
  std::thread thread;
};

// Reads the log from a given offset on its own thread and passes every entry to
// a handler, in order.
class LogFollower
{
public:
  using EntryHandler = std::function<void(const LogEntry&)>;
  // Called when the records from aExpected up to aFirst were truncated unread.
  using GapHandler = std::function<void(int64_t aExpected, int64_t aFirst)>;

  LogFollower(LogService& aService,
              int64_t aFrom,
              EntryHandler aOnEntry,
              GapHandler aOnGap);
  ~LogFollower();

  // Offset after the last entry that was handled.
  int64_t Position() const { return this->position; }
  // Time on the monotonic clock of the last successful read.
  TimePoint LastResponseTime() const;
  // True if the newest read failed.
  bool Failing() const { return this->failing; }
  // True if every record up to the end reported by the newest successful read
  // is handled.
  bool AtEnd() const;
  // Waits up to aLimit until every record that the log held at the call is
  // handled: a read has succeeded since the call and AtEnd() holds. True on
  // success.
  bool CatchUp(Millis aLimit);

private:
  void Run();

  LogService& service;
  EntryHandler onEntry;
  GapHandler onGap;
  std::atomic<int64_t> position;
  std::atomic<int64_t> logEnd{ -1 };
  std::atomic<int64_t> lastResponseNanos{ 0 };
  std::atomic<bool> failing{ false };
  std::atomic<bool> stopping{ false };
  std::thread thread;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_EVENTLOG_EVENTLOG_H_
