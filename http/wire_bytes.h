// Limits on the parts of a response that are not its body. Private to this
// library.
//
//   ChunkMeter meter;
//   meter.Begin(socket);                     // a body in chunks begins
//   if (meter.IsMostlyFraming(bodyBytes)) {  // each time libcurl has read
//     ...
//   }
//
// libcurl skips the sizes and extensions of chunks without a limit and without
// telling, so they are counted at the socket. To look costs two system calls:
// it is done if no byte of the body came since the last call, and now and then.
#ifndef TANAGERSEAM_HTTP_WIRE_BYTES_H_
#define TANAGERSEAM_HTTP_WIRE_BYTES_H_

#include <cstddef>
#include <cstdint>

namespace tanagerseam {

// Limit on all header lines of a response together: interim heads, the final
// head and trailers.
constexpr size_t kMaxHeadBytes = 64u << 10;

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

} // namespace tanagerseam

#endif // TANAGERSEAM_HTTP_WIRE_BYTES_H_
