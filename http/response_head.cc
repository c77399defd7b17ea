#include "http/response_head.h"

#include <algorithm>
#include <cctype>

namespace tanagerseam {

namespace {

// Lower ones are interim.
constexpr int kFirstFinalStatus = 200;
constexpr std::string_view kVersion = "HTTP/1.";
// "HTTP/1.1 200"
constexpr size_t kStatusAt = 9;
constexpr size_t kStatusDigits = 3;

bool
AreDigits(std::string_view aText)
{
  return std::all_of(aText.begin(), aText.end(), [](unsigned char aByte) {
    return std::isdigit(aByte) != 0;
  });
}

std::string_view
WithoutBlanks(std::string_view aText)
{
  const size_t first = aText.find_first_not_of(" \t");
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(" \t") - first + 1);
}

} // namespace

std::string_view
WithoutLineEnd(std::string_view aLine)
{
  if (!aLine.empty() && aLine.back() == '\n') {
    aLine.remove_suffix(1);
  }
  if (!aLine.empty() && aLine.back() == '\r') {
    aLine.remove_suffix(1);
  }
  return aLine;
}

std::optional<int>
ParseStatusLine(std::string_view aLine)
{
  const std::string_view minor = aLine.substr(0, kStatusAt);
  const bool isVersion =
    minor.size() == kStatusAt && minor.substr(0, kVersion.size()) == kVersion &&
    AreDigits(minor.substr(kVersion.size(), 1)) && minor.back() == ' ';
  if (!isVersion) {
    return std::nullopt;
  }
  const std::string_view digits = aLine.substr(kStatusAt, kStatusDigits);
  const std::string_view rest = aLine.substr(kStatusAt + digits.size());
  if (digits.size() != kStatusDigits || !AreDigits(digits) ||
      (!rest.empty() && rest.front() != ' ')) {
    return std::nullopt;
  }
  return std::stoi(std::string(digits));
}

std::optional<std::pair<std::string, std::string>>
ParseHeaderLine(std::string_view aLine)
{
  const size_t colon = aLine.find(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string name(aLine.substr(0, colon));
  const std::string value(WithoutBlanks(aLine.substr(colon + 1)));
  if (!IsSoundHeader(name, value)) {
    return std::nullopt;
  }
  return std::make_pair(name, value);
}

HeadLine
ResponseHead::Begin(std::string_view aStatusLine)
{
  const auto parsed = ParseStatusLine(aStatusLine);
  if (!parsed) {
    return HeadLine::kMalformed;
  }
  this->begun = true;
  this->status = *parsed;
  this->headers.clear();
  return HeadLine::kMore;
}

HeadLine
ResponseHead::Take(std::string_view aLine)
{
  const std::string_view line = WithoutLineEnd(aLine);
  if (!this->begun) {
    return this->Begin(line);
  }
  if (line.empty()) {
    this->begun = false;
    return this->status < kFirstFinalStatus ? HeadLine::kInterimEnd
                                            : HeadLine::kEnd;
  }
  auto header = ParseHeaderLine(line);
  if (!header) {
    return HeadLine::kMalformed;
  }
  this->headers.push_back(std::move(*header));
  return HeadLine::kMore;
}

} // namespace tanagerseam
