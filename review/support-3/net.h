// Blocking sockets and HTTP/1.1 messages for the stand-ins of review 3.
//
//   Listener listener;
//   Socket socket = listener.Accept();
//   HttpMessage request;
//   if (ReadMessage(socket, request)) { socket.Send("HTTP/1.1 200 OK\r\n...");
//   }
//
// All addresses are loopback addresses.
#ifndef TANAGERSEAM_REVIEW_SUPPORT_3_NET_H_
#define TANAGERSEAM_REVIEW_SUPPORT_3_NET_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace review {

using Millis = std::chrono::milliseconds;
using TimePoint = std::chrono::steady_clock::time_point;

inline TimePoint
Now()
{
  return std::chrono::steady_clock::now();
}

// Milliseconds since the epoch.
int64_t
WallMillis();

class Socket
{
public:
  Socket() = default;
  explicit Socket(int aHandle)
    : handle(aHandle)
  {
  }
  Socket(Socket&& aOther) noexcept
    : handle(std::exchange(aOther.handle, -1))
  {
  }
  Socket& operator=(Socket&& aOther) noexcept;
  ~Socket() { this->Close(); }

  // Not connected, if the peer refuses.
  static Socket Connect(uint16_t aPort);

  bool Valid() const { return this->handle >= 0; }
  int Handle() const { return this->handle; }
  bool Send(const std::string& aBytes) const;
  // Appends what has come to aBuffer. False at the end of the connection, or
  // after aLimit without a byte.
  bool Receive(std::string& aBuffer, Millis aLimit) const;
  void Close();
  // Closes with a TCP reset.
  void Reset();

private:
  int handle = -1;
};

// Listens on 127.0.0.1; the port stays the same after Stop and Start.
class Listener
{
public:
  // A port of 0 stands for a free one.
  explicit Listener(uint16_t aPort = 0);
  ~Listener() { this->Stop(); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  uint16_t Port() const { return this->port; }
  // Connections are refused from now on.
  void Stop();
  void Start();
  // Not valid if none came within aLimit or the listener has stopped.
  Socket Accept(Millis aLimit) const;

private:
  int handle = -1;
  uint16_t port = 0;
};

// A TCP and UDP port of 127.0.0.1 that was free a moment ago.
uint16_t
FreePort();

std::string
LoopbackAddress(uint16_t aPort);

struct HttpMessage
{
  // The request line or the status line.
  std::string start;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  // The body ended as its framing says.
  bool whole = false;

  // Empty if there is no such header.
  std::string Header(const std::string& aName) const;
  std::string Method() const;
  std::string Target() const;
  int Status() const;
};

// Reads one message; aBuffer holds what came behind the message before. False
// if no whole head came within aLimit.
bool
ReadMessage(const Socket& aSocket,
            std::string& aBuffer,
            HttpMessage& aMessage,
            Millis aLimit);

// The value of a parameter in the query of a target; empty if there is none.
std::string
QueryValue(const std::string& aTarget, const std::string& aName);

} // namespace review

#endif // TANAGERSEAM_REVIEW_SUPPORT_3_NET_H_
