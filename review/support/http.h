// HTTP/1.1 as the stand-ins of the review need it.
#ifndef TANAGERSEAM_REVIEW_SUPPORT_HTTP_H_
#define TANAGERSEAM_REVIEW_SUPPORT_HTTP_H_

#include <algorithm>
#include <cctype>
#include <string>
#include <utility>
#include <vector>

#include "review/support/net.h"

namespace review {

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string
LowerCase(std::string aText)
{
  std::transform(
    aText.begin(), aText.end(), aText.begin(), [](unsigned char aByte) {
      return static_cast<char>(std::tolower(aByte));
    });
  return aText;
}

// The value of the first header of that name; empty if there is none.
inline std::string
HeaderOf(const Headers& aHeaders, const std::string& aName)
{
  for (const auto& header : aHeaders) {
    if (LowerCase(header.first) == LowerCase(aName)) {
      return header.second;
    }
  }
  return "";
}

inline bool
ReadHeaders(Socket& aSocket, Headers& aHeaders, Clock::time_point aDeadline)
{
  std::string line;
  while (aSocket.ReadLine(line, aDeadline)) {
    if (line.empty()) {
      return true;
    }
    const size_t colon = line.find(':');
    if (colon == std::string::npos) {
      return false;
    }
    const size_t value = line.find_first_not_of(' ', colon + 1);
    aHeaders.emplace_back(line.substr(0, colon),
                          value == std::string::npos ? "" : line.substr(value));
  }
  return false;
}

// A chunk; an empty one is the last of its body.
inline bool
ReadChunk(Socket& aSocket, std::string& aChunk, Clock::time_point aDeadline)
{
  std::string line;
  std::string end;
  if (!aSocket.ReadLine(line, aDeadline)) {
    return false;
  }
  const size_t length = std::stoul(line, nullptr, 16);
  return aSocket.ReadBytes(length, aChunk, aDeadline) &&
         aSocket.ReadLine(end, aDeadline);
}

struct Request
{
  std::string method;
  std::string target;
  Headers headers;
  std::string body;

  std::string Header(const std::string& aName) const
  {
    return HeaderOf(this->headers, aName);
  }
  std::string Path() const
  {
    return this->target.substr(0, this->target.find('?'));
  }
  // A parameter of the query; empty if it is missing.
  std::string Parameter(const std::string& aName) const
  {
    size_t at = this->target.find('?');
    while (at != std::string::npos) {
      const size_t end = this->target.find('&', at + 1);
      const std::string pair = this->target.substr(
        at + 1, end == std::string::npos ? end : end - at - 1);
      if (pair.compare(0, aName.size() + 1, aName + "=") == 0) {
        return pair.substr(aName.size() + 1);
      }
      at = end;
    }
    return "";
  }
};

inline bool
ReadRequest(Socket& aSocket, Request& aRequest, Clock::time_point aDeadline)
{
  std::string line;
  if (!aSocket.ReadLine(line, aDeadline)) {
    return false;
  }
  const size_t first = line.find(' ');
  const size_t second = line.find(' ', first + 1);
  if (second == std::string::npos) {
    return false;
  }
  aRequest.method = line.substr(0, first);
  aRequest.target = line.substr(first + 1, second - first - 1);
  if (!ReadHeaders(aSocket, aRequest.headers, aDeadline)) {
    return false;
  }
  if (LowerCase(aRequest.Header("Transfer-Encoding")) == "chunked") {
    std::string chunk;
    do {
      if (!ReadChunk(aSocket, chunk, aDeadline)) {
        return false;
      }
      aRequest.body += chunk;
    } while (!chunk.empty());
    return true;
  }
  const std::string length = aRequest.Header("Content-Length");
  return length.empty() ||
         aSocket.ReadBytes(std::stoul(length), aRequest.body, aDeadline);
}

inline std::string
HeadText(const std::string& aStatusLine, const Headers& aHeaders)
{
  std::string text = "HTTP/1.1 " + aStatusLine + "\r\n";
  for (const auto& header : aHeaders) {
    text += header.first + ": " + header.second + "\r\n";
  }
  return text + "\r\n";
}

inline std::string
WholeAnswer(const std::string& aStatusLine,
            Headers aHeaders,
            const std::string& aBody)
{
  aHeaders.emplace_back("Content-Length", std::to_string(aBody.size()));
  return HeadText(aStatusLine, aHeaders) + aBody;
}

inline std::string
ChunkText(const std::string& aPiece)
{
  char size[20];
  snprintf(size, sizeof size, "%zx\r\n", aPiece.size());
  return size + aPiece + "\r\n";
}

} // namespace review

#endif // TANAGERSEAM_REVIEW_SUPPORT_HTTP_H_
