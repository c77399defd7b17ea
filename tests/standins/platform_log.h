// Log service of the platform stand-in: streams of records with offsets,
// retention by count and age, and a limit on appends per second.
//
// Invariants: offsets of a stream have no gaps and are never reused; an append
// is atomic and its records are contiguous.
#ifndef TANAGERSEAM_TESTS_STANDINS_PLATFORM_LOG_H_
#define TANAGERSEAM_TESTS_STANDINS_PLATFORM_LOG_H_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "kernel/kernel.h"

namespace tanagerseam::standin {

struct LogLimits
{
  // Records retained per stream; 0: unlimited.
  size_t retainRecords = 0;
  // Maximum age of retained records; 0: unlimited.
  Millis retainAge{ 0 };
  // Over all streams; 0: unlimited.
  size_t appendsPerSecond = 0;
};

struct StoredRecord
{
  int64_t offset = 0;
  std::string text;
  TimePoint writtenAt;
};

// Records of one read, and the offsets of the stream's first retained record
// and of its next append.
struct StoredPage
{
  std::vector<StoredRecord> records;
  int64_t first = 0;
  int64_t end = 0;
};

// Thread-safe.
class LogStore
{
public:
  explicit LogStore(LogLimits aLimits);

  // Counts one append against the rate limit; false if it is exceeded.
  bool AdmitAppend(TimePoint aNow);
  // Returns the offset of the first record appended.
  int64_t Append(const std::string& aStream,
                 const std::vector<std::string>& aTexts,
                 TimePoint aNow);
  // Waits up to aWait for a record at or after aFrom.
  StoredPage Read(const std::string& aStream, int64_t aFrom, Millis aWait);
  // Text of all retained records, one per line.
  std::string AllText(const std::string& aStream);

private:
  struct Stream
  {
    std::deque<StoredRecord> records;
    int64_t end = 0;

    int64_t First() const { return this->end - int64_t(this->records.size()); }
  };

  void ApplyRetention(Stream& aStream, TimePoint aNow) const;

  const LogLimits limits;
  std::mutex mutex;
  std::condition_variable appended;
  std::map<std::string, Stream> streams;
  // Admission times of the appends of the last second.
  std::deque<TimePoint> recentAppends;
};

} // namespace tanagerseam::standin

#endif // TANAGERSEAM_TESTS_STANDINS_PLATFORM_LOG_H_
