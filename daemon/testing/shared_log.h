// In-memory LogService for unit tests.
//
//   InMemoryLog log;
//   Journal journal(settings, log);
//   log.SetDown(true);  // appends and reads fail from now on
#ifndef TANAGERSEAM_DAEMON_TESTING_SHARED_LOG_H_
#define TANAGERSEAM_DAEMON_TESTING_SHARED_LOG_H_

#include <algorithm>
#include <limits>
#include <mutex>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include "eventlog/eventlog.h"

namespace tanagerseam {

// Thread-safe: tests append and inject faults while a follower reads.
class InMemoryLog : public LogService
{
public:
  std::variant<int64_t, LogFailure> Append(
    const std::vector<std::string>& aTexts) override
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    if (this->down) {
      return LogFailure{ "down" };
    }
    const int64_t offset = int64_t(this->texts.size());
    this->texts.insert(this->texts.end(), aTexts.begin(), aTexts.end());
    return offset;
  }

  std::variant<LogPage, LogFailure> Read(int64_t aOffset, Millis) override
  {
    std::this_thread::sleep_for(kPollInterval);
    std::lock_guard<std::mutex> lock(this->mutex);
    if (this->down) {
      return LogFailure{ "down" };
    }
    LogPage page;
    page.endOffset = std::min(int64_t(this->texts.size()), this->readEnd);
    for (int64_t i = aOffset; i < page.endOffset; ++i) {
      page.entries.push_back({ i, this->texts[size_t(i)] });
    }
    return page;
  }

  void SetDown(bool aDown)
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->down = aDown;
  }

  // Reads return only records before this offset.
  void SetReadEnd(int64_t aOffset)
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->readEnd = aOffset;
  }

  int64_t Size()
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    return int64_t(this->texts.size());
  }

private:
  static constexpr Millis kPollInterval{ 5 };

  std::mutex mutex;
  std::vector<std::string> texts;
  bool down = false;
  int64_t readEnd = std::numeric_limits<int64_t>::max();
};

} // namespace tanagerseam

#endif // TANAGERSEAM_DAEMON_TESTING_SHARED_LOG_H_
