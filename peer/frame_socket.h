// One TCP socket that carries frames, used by both sides of a link.
#ifndef TANAGERSEAM_PEER_FRAME_SOCKET_H_
#define TANAGERSEAM_PEER_FRAME_SOCKET_H_

#include <array>
#include <asio.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "peer/peer.h"

namespace tanagerseam {

// "IP:port" as an endpoint of asio; throws std::exception for other text.
asio::ip::tcp::endpoint
ParseEndpoint(const std::string& aAddress);

// All members run on the socket's I/O thread but for Send, which may be called
// from any thread. Frames that wait to be written are bounded by
// kMaxUnsentBytes; beyond that the connection is closed, since the peer does
// not read.
class FrameSocket : public std::enable_shared_from_this<FrameSocket>
{
public:
  using OnFrame = std::function<void(wire::FrameT)>;
  using OnClosed = std::function<void(const std::string&)>;

  explicit FrameSocket(asio::ip::tcp::socket aSocket);

  // Starts to read. aOnClosed is called once.
  void Start(OnFrame aOnFrame, OnClosed aOnClosed);
  void Send(const wire::FrameT& aFrame);
  void Close(const std::string& aWhy);
  asio::ip::tcp::socket& Socket() { return this->socket; }

private:
  void ReadLength();
  void ReadBody(uint32_t aBytes);
  void WriteNext();

  asio::ip::tcp::socket socket;
  OnFrame onFrame;
  OnClosed onClosed;
  std::array<unsigned char, 4> lengthBytes{};
  std::vector<uint8_t> body;
  std::deque<std::string> unsent;
  size_t unsentBytes = 0;
  bool writing = false;
  bool started = false;
  bool closed = false;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_PEER_FRAME_SOCKET_H_
