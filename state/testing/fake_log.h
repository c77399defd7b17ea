// In-memory LogService for tests, with truncation, outages and lost responses.
#ifndef TANAGERSEAM_STATE_TESTING_FAKE_LOG_H_
#define TANAGERSEAM_STATE_TESTING_FAKE_LOG_H_

#include <functional>
#include <string>
#include <vector>

#include "eventlog/eventlog.h"

namespace tanagerseam::testing_support {

class FakeLog : public LogService
{
public:
  std::variant<int64_t, LogFailure> Append(
    const std::vector<std::string>& aTexts) override
  {
    ++this->appendCount;
    if (this->onNextAppend) {
      // Cleared before it runs, so that the hook may append.
      auto hook = std::move(this->onNextAppend);
      this->onNextAppend = {};
      hook();
    }
    if (this->unavailable) {
      return LogFailure{ "down" };
    }
    const int64_t offset = this->End();
    for (const std::string& text : aTexts) {
      this->texts.push_back(text);
    }
    if (this->lostResponses > 0) {
      --this->lostResponses;
      return LogFailure{ "response lost" };
    }
    return offset;
  }

  std::variant<LogPage, LogFailure> Read(int64_t aOffset, Millis) override
  {
    if (this->unavailable) {
      return LogFailure{ "down" };
    }
    LogPage page;
    page.firstOffset = this->firstRetainedOffset;
    page.endOffset = this->End();
    int64_t offset = std::max(aOffset, this->firstRetainedOffset);
    while (offset < this->End() && page.entries.size() < this->maxPageEntries) {
      page.entries.push_back({ offset, this->texts[size_t(offset)] });
      ++offset;
    }
    return page;
  }

  int64_t End() const { return int64_t(this->texts.size()); }

  // All records ever appended; those before firstRetainedOffset are truncated.
  std::vector<std::string> texts;
  int64_t firstRetainedOffset = 0;
  size_t maxPageEntries = 3;
  bool unavailable = false;
  // Number of next appends that take effect but report a failure.
  int lostResponses = 0;
  int appendCount = 0;
  // Runs once, before the next append.
  std::function<void()> onNextAppend;
};

} // namespace tanagerseam::testing_support

#endif // TANAGERSEAM_STATE_TESTING_FAKE_LOG_H_
