#include "endpoint/sse_parser.h"

namespace tanagerseam {

bool
SseParser::ProcessLine(std::string_view aLine,
                       const std::function<bool(std::string_view)>& aOnEvent)
{
  this->eventOpen = !aLine.empty();
  if (aLine.empty()) {
    const bool eventHasData = this->hasData;
    const std::string event = std::move(this->data);
    this->data.clear();
    this->hasData = false;
    return !eventHasData || aOnEvent(event);
  }
  constexpr std::string_view kField = "data:";
  if (aLine.substr(0, kField.size()) != kField) {
    return true;
  }
  aLine.remove_prefix(kField.size());
  if (!aLine.empty() && aLine.front() == ' ') {
    aLine.remove_prefix(1);
  }
  if (this->data.size() + aLine.size() + 1 > kMaxEventBytes) {
    this->tooLong = true;
    return false;
  }
  if (this->hasData) {
    this->data.push_back('\n');
  }
  this->data.append(aLine);
  this->hasData = true;
  return true;
}

bool
SseParser::Feed(std::string_view aBytes,
                const std::function<bool(std::string_view)>& aOnEvent)
{
  while (!aBytes.empty()) {
    const bool isRestOfLineEnd = this->afterReturn && aBytes.front() == '\n';
    this->afterReturn = false;
    if (isRestOfLineEnd) {
      this->usesCrLf = true;
      aBytes.remove_prefix(1);
      continue;
    }
    const size_t end = aBytes.find_first_of("\r\n");
    const std::string_view part = aBytes.substr(0, end);
    if (this->partialLine.size() + part.size() > kMaxEventBytes) {
      this->tooLong = true;
      return false;
    }
    this->partialLine.append(part);
    if (end == std::string_view::npos) {
      return true;
    }
    const std::string line = std::move(this->partialLine);
    this->partialLine.clear();
    this->afterReturn = aBytes[end] == '\r';
    if (!this->ProcessLine(line, aOnEvent)) {
      return false;
    }
    aBytes.remove_prefix(end + 1);
  }
  return true;
}

} // namespace tanagerseam
