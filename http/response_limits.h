// Limits on what is read of one response. Private to this library.
//
//   ResponseLimits limits;
//   limits.SetMaxBodyBytes(8u << 20);
//   if (!limits.TakeHeadLine(line.size())) { ... end the transfer ... }
//   limits.BeginChunks(socket);                // a body in chunks begins
//   if (!limits.TakeBody(piece.size())) { ... end the transfer ... }
//   if (!limits.CheckFraming()) { ... }        // each time libcurl has read
//
// libcurl skips the sizes and extensions of chunks without a limit and without
// telling, so they are counted at the socket. To look costs two system calls:
// it is done if no byte of the body came since the last call, and now and then.
#ifndef TANAGERSEAM_HTTP_RESPONSE_LIMITS_H_
#define TANAGERSEAM_HTTP_RESPONSE_LIMITS_H_

#include <curl/curl.h>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string>

#include "http/body_framing.h"

namespace tanagerseam {

// Limit on all header lines of a response together: interim heads, the final
// head and trailers.
constexpr size_t kMaxHeadBytes = 64u << 10;

// Counts the framing of a body in chunks.
class ChunkMeter
{
public:
  void Begin(int aSocket);
  // True if more bytes have been read since Begin than a body of aBodyBytes in
  // chunks of one byte needs. False before Begin.
  bool IsMostlyFraming(uint64_t aBodyBytes);

private:
  int socket = -1;
  uint64_t bytesReadBefore = 0;
  uint64_t lastBodyBytes = 0;
  unsigned calls = 0;
};

class ResponseLimits
{
public:
  void SetMaxBodyBytes(size_t aBytes) { this->maxBodyBytes = aBytes; }
  // Each of these is false once the response has exceeded a limit.
  bool TakeHeadLine(size_t aBytes);
  bool TakeBody(size_t aBytes);
  bool CheckFraming();
  // The body comes in chunks, on aSocket.
  void BeginChunks(int aSocket) { this->chunkMeter.Begin(aSocket); }
  // There is no room for the response, whatever its size.
  void Exceed() { this->exceeded = true; }

  bool Exceeded() const { return this->exceeded; }
  size_t BodyBytes() const { return this->bodyBytes; }

private:
  size_t maxBodyBytes = std::numeric_limits<size_t>::max();
  size_t headBytes = 0;
  size_t bodyBytes = 0;
  ChunkMeter chunkMeter;
  bool exceeded = false;
};

// Why a transfer that libcurl ended with aCode gave no whole response, for
// logs. aErrorText: libcurl's own words; may be empty.
std::string
DetailOfTransfer(CURLcode aCode,
                 const ResponseLimits& aLimits,
                 BodyFraming aFraming,
                 const char* aErrorText);

} // namespace tanagerseam

#endif // TANAGERSEAM_HTTP_RESPONSE_LIMITS_H_
