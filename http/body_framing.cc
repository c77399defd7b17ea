#include "http/body_framing.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>

namespace tanagerseam {

namespace {

constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

struct FramingName
{
  BodyFraming framing;
  std::string_view name;
};

constexpr FramingName kFramingNames[] = {
  { BodyFraming::kUnknown, "unknown" }, { BodyFraming::kNoBody, "no_body" },
  { BodyFraming::kLength, "length" },   { BodyFraming::kChunks, "chunks" },
  { BodyFraming::kClose, "close" },     { BodyFraming::kInvalid, "invalid" },
};

bool
IsLength(const std::string& aText)
{
  int64_t length = -1;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, length);
  return parsed.ec == std::errc() && parsed.ptr == end && length >= 0;
}

} // namespace

std::string_view
NameOf(BodyFraming aFraming)
{
  for (const FramingName& row : kFramingNames) {
    if (row.framing == aFraming) {
      return row.name;
    }
  }
  return "unknown";
}

BodyFraming
FramingOf(const std::string& aMethod, int aStatus, const HttpHeaders& aHeaders)
{
  if (aMethod == "HEAD" || aStatus == kNoContent || aStatus == kNotModified) {
    return BodyFraming::kNoBody;
  }
  const auto codings = HeaderValues(aHeaders, "Transfer-Encoding");
  if (!codings.empty()) {
    // Nobody asked for another coding, and none is undone here.
    const bool onlyChunks =
      codings.size() == 1 && EqualsIgnoringCase(codings.front(), "chunked");
    return onlyChunks ? BodyFraming::kChunks : BodyFraming::kInvalid;
  }
  const auto lengths = HeaderValues(aHeaders, "Content-Length");
  if (lengths.empty()) {
    return BodyFraming::kClose;
  }
  const bool equal = std::all_of(
    lengths.begin(), lengths.end(), [&lengths](const std::string& aLength) {
      return aLength == lengths.front();
    });
  return equal && IsLength(lengths.front()) ? BodyFraming::kLength
                                            : BodyFraming::kInvalid;
}

} // namespace tanagerseam
