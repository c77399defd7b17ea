#include "endpoint/sse_parser.h"

#include <charconv>

namespace tanagerseam {

namespace {

// The value of a field in aLine; unset if the line is another field.
std::optional<std::string_view>
FieldValue(std::string_view aLine, std::string_view aName)
{
  if (aLine.substr(0, aName.size()) != aName ||
      aLine.substr(aName.size(), 1) != ":") {
    return std::nullopt;
  }
  aLine.remove_prefix(aName.size() + 1);
  if (!aLine.empty() && aLine.front() == ' ') {
    aLine.remove_prefix(1);
  }
  return aLine;
}

} // namespace

std::optional<uint64_t>
ParseEventId(std::string_view aText)
{
  uint64_t id = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, id);
  if (aText.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return id;
}

bool
SseParser::EndEvent(const std::function<bool(std::string_view)>& aOnEvent)
{
  const bool eventHasData = this->hasData;
  const std::string event = std::move(this->data);
  this->data.clear();
  this->hasData = false;
  const bool taken = !eventHasData || aOnEvent(event);
  this->eventId.reset();
  return taken;
}

bool
SseParser::AppendData(std::string_view aValue)
{
  if (this->data.size() + aValue.size() + 1 > kMaxEventBytes) {
    this->tooLong = true;
    return false;
  }
  if (this->hasData) {
    this->data.push_back('\n');
  }
  this->data.append(aValue);
  this->hasData = true;
  return true;
}

bool
SseParser::ProcessLine(std::string_view aLine,
                       const std::function<bool(std::string_view)>& aOnEvent)
{
  this->eventOpen = !aLine.empty();
  if (aLine.empty()) {
    return this->EndEvent(aOnEvent);
  }
  if (const auto value = FieldValue(aLine, "data")) {
    return this->AppendData(*value);
  }
  if (const auto value = FieldValue(aLine, "id")) {
    this->eventId = ParseEventId(*value);
  }
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
