// Parsing and formatting of raw HTTP/1.1 messages and server-sent events.
//
// Usage:
//
//   std::string id = HeaderOf(message, "X-Request-Id");
//   std::string text = DecodeChunks(BodyOf(message));
//   std::string chunk = EncodeChunk(EventText(1, "one"));
//   bool sound = MayStartResponse(bytesSoFar);
#ifndef TANAGERSEAM_TESTS_SOAK_SOAK_TEXT_H_
#define TANAGERSEAM_TESTS_SOAK_SOAK_TEXT_H_

#include <algorithm>
#include <cstdlib>
#include <string>

namespace tanagerseam::soak {

// True if aBytes begin with the status line of a final HTTP/1.1 response,
// status 200 to 599, as far as they were received.
inline bool
MayStartResponse(const std::string& aBytes)
{
  static const std::string kVersion = "HTTP/1.1 ";
  constexpr size_t kStatusLength = 3;
  const size_t statusEnd = kVersion.size() + kStatusLength;
  if (aBytes.substr(0, kVersion.size()) != kVersion.substr(0, aBytes.size())) {
    return false;
  }
  for (size_t i = kVersion.size(); i < std::min(statusEnd, aBytes.size());
       ++i) {
    const bool first = i == kVersion.size();
    if (aBytes[i] < (first ? '2' : '0') || aBytes[i] > (first ? '5' : '9')) {
      return false;
    }
  }
  return aBytes.size() <= statusEnd || aBytes[statusEnd] == ' ';
}

// The length of the response that aBytes begin with; the size of aBytes if it
// is not complete.
inline size_t
ResponseLength(const std::string& aBytes)
{
  static const std::string kLastChunk = "\r\n0\r\n\r\n";
  static const std::string kLengthHeader = "\r\nContent-Length: ";
  const size_t headEnd = aBytes.find("\r\n\r\n");
  if (headEnd == std::string::npos) {
    return aBytes.size();
  }
  size_t length = aBytes.size();
  const size_t lengthAt = aBytes.find(kLengthHeader);
  if (lengthAt < headEnd) {
    const size_t valueAt = lengthAt + kLengthHeader.size();
    length = headEnd + 4 + std::stoul(aBytes.substr(valueAt));
  } else if (const size_t last = aBytes.find(kLastChunk, headEnd);
             last != std::string::npos) {
    length = last + kLastChunk.size();
  }
  return std::min(length, aBytes.size());
}

inline bool
IsHeadComplete(const std::string& aBytes)
{
  return aBytes.find("\r\n\r\n") != std::string::npos;
}

// The value of a header; empty if there is none.
inline std::string
HeaderOf(const std::string& aMessage, const std::string& aName)
{
  const size_t end = aMessage.find("\r\n\r\n");
  const size_t at = aMessage.find("\r\n" + aName + ": ");
  if (at == std::string::npos || at > end) {
    return "";
  }
  const size_t from = at + aName.size() + 4;
  return aMessage.substr(from, aMessage.find('\r', from) - from);
}

inline std::string
BodyOf(const std::string& aMessage)
{
  const size_t end = aMessage.find("\r\n\r\n");
  return end == std::string::npos ? "" : aMessage.substr(end + 4);
}

// The payload of a chunked body, as far as it was received and is sound.
inline std::string
DecodeChunks(const std::string& aBody)
{
  std::string text;
  size_t at = 0;
  while (true) {
    const size_t line = aBody.find("\r\n", at);
    if (line == std::string::npos) {
      return text;
    }
    const std::string digits = aBody.substr(at, line - at);
    const size_t length = std::strtoul(digits.c_str(), nullptr, 16);
    if (length == 0) {
      return text;
    }
    text += aBody.substr(line + 2, length);
    at = line + 2 + length + 2;
    if (length > aBody.size() || at > aBody.size()) {
      return text;
    }
  }
}

inline std::string
EncodeChunk(const std::string& aText)
{
  char size[16];
  snprintf(size, sizeof size, "%zx\r\n", aText.size());
  return size + aText + "\r\n";
}

inline std::string
EventText(int aNumber, const std::string& aData)
{
  return "id: " + std::to_string(aNumber) + "\ndata: " + aData + "\n\n";
}

} // namespace tanagerseam::soak

#endif // TANAGERSEAM_TESTS_SOAK_SOAK_TEXT_H_
