// Parsing and formatting of raw HTTP/1.1 messages and server-sent events.
//
// Usage:
//
//   std::string id = HeaderOf(message, "X-Request-Id");
//   std::string text = DecodeChunks(BodyOf(message));
//   std::string chunk = EncodeChunk(EventText(1, "one"));
#ifndef TANAGERSEAM_TESTS_SOAK_SOAK_TEXT_H_
#define TANAGERSEAM_TESTS_SOAK_SOAK_TEXT_H_

#include <string>

namespace tanagerseam::soak {

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

// The payload of a chunked body, as far as it was received.
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
    const size_t length = std::stoul(aBody.substr(at, line - at), nullptr, 16);
    if (length == 0) {
      return text;
    }
    text += aBody.substr(line + 2, length);
    at = line + 2 + length + 2;
    if (at > aBody.size()) {
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
