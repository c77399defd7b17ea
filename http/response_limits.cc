#include "http/response_limits.h"

// Not <netinet/tcp.h>: its tcp_info lacks the counts of bytes.
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <optional>

namespace tanagerseam {

namespace {

// "1", two line ends and the byte itself.
constexpr uint64_t kBytesOfSmallestChunk = 6;
// What libcurl reads at once, and so may have read without parsing it.
constexpr uint64_t kReadAheadBytes = 64u << 10;
// Calls from one look at the socket to the next while the body grows.
constexpr unsigned kCallsPerLook = 16;

// Bytes that have been read from a TCP socket since it was connected; nothing
// if the kernel does not tell.
std::optional<uint64_t>
BytesRead(int aSocket)
{
  tcp_info info{};
  socklen_t length = sizeof info;
  int unread = 0;
  if (getsockopt(aSocket, IPPROTO_TCP, TCP_INFO, &info, &length) != 0 ||
      ioctl(aSocket, FIONREAD, &unread) != 0) {
    return std::nullopt;
  }
  const auto waiting = static_cast<uint64_t>(unread);
  if (info.tcpi_bytes_received < waiting) {
    return std::nullopt;
  }
  return info.tcpi_bytes_received - waiting;
}

} // namespace

void
ChunkMeter::Begin(int aSocket)
{
  const auto bytesRead = BytesRead(aSocket);
  if (bytesRead) {
    this->socket = aSocket;
    this->bytesReadBefore = *bytesRead;
  }
}

bool
ChunkMeter::IsMostlyFraming(uint64_t aBodyBytes)
{
  if (this->socket < 0) {
    return false;
  }
  const bool grew = aBodyBytes > this->lastBodyBytes;
  this->lastBodyBytes = aBodyBytes;
  if (grew && ++this->calls % kCallsPerLook != 0) {
    return false;
  }
  // The socket may have been closed, and its number taken by another one.
  const uint64_t before = this->bytesReadBefore;
  const uint64_t now = BytesRead(this->socket).value_or(before);
  return now > before && now - before > kMaxHeadBytes + kReadAheadBytes +
                                          aBodyBytes * kBytesOfSmallestChunk;
}

bool
ResponseLimits::TakeHeadLine(size_t aBytes)
{
  this->headBytes += aBytes;
  this->exceeded = this->exceeded || this->headBytes > kMaxHeadBytes;
  return !this->exceeded;
}

bool
ResponseLimits::TakeBody(size_t aBytes)
{
  this->bodyBytes += aBytes;
  this->exceeded = this->exceeded || this->bodyBytes > this->maxBodyBytes;
  return !this->exceeded;
}

bool
ResponseLimits::CheckFraming()
{
  this->exceeded =
    this->exceeded || this->chunkMeter.IsMostlyFraming(this->bodyBytes);
  return !this->exceeded;
}

std::string
DetailOfTransfer(CURLcode aCode,
                 const ResponseLimits& aLimits,
                 BodyFraming aFraming,
                 const char* aErrorText)
{
  if (aCode == CURLE_OK) {
    // libcurl ends a response that is closed within its head as a success.
    return "connection closed within the response head";
  }
  if (aLimits.Exceeded()) {
    return "the response is larger than allowed";
  }
  if (aFraming == BodyFraming::kInvalid) {
    return "the response has no valid Content-Length";
  }
  return aErrorText[0] != '\0' ? aErrorText : curl_easy_strerror(aCode);
}

} // namespace tanagerseam
