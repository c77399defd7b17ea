// Blocking loopback sockets for the stand-ins of the review.
#ifndef TANAGERSEAM_REVIEW_SUPPORT_NET_H_
#define TANAGERSEAM_REVIEW_SUPPORT_NET_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdint>
#include <stdexcept>
#include <string>

namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

inline sockaddr_in
LoopbackAddress(uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

inline std::string
AddressText(uint16_t aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

// A port of 127.0.0.1 on which nothing listens, for TCP and UDP.
inline uint16_t
FreePort()
{
  while (true) {
    const int tcp = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = LoopbackAddress(0);
    socklen_t length = sizeof address;
    bool free =
      bind(tcp, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0 &&
      getsockname(tcp, reinterpret_cast<sockaddr*>(&address), &length) == 0;
    free =
      free &&
      bind(udp, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    close(tcp);
    close(udp);
    if (free) {
      return ntohs(address.sin_port);
    }
  }
}

// A connection. Reads wait until a deadline; all errors end it.
class Socket
{
public:
  explicit Socket(int aHandle = -1)
    : handle(aHandle)
  {
  }
  ~Socket() { this->Close(); }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  bool Connect(uint16_t aPort)
  {
    this->handle = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = LoopbackAddress(aPort);
    const int on = 1;
    setsockopt(this->handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return connect(this->handle,
                   reinterpret_cast<sockaddr*>(&address),
                   sizeof address) == 0;
  }

  bool Write(const std::string& aBytes)
  {
    size_t sent = 0;
    while (sent < aBytes.size()) {
      const ssize_t count = send(
        this->handle, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) {
        return false;
      }
      sent += static_cast<size_t>(count);
    }
    return true;
  }

  // Adds what arrives to the buffer. False at the end, at an error and at the
  // deadline.
  bool Fill(Clock::time_point aDeadline)
  {
    const auto left =
      std::chrono::duration_cast<Millis>(aDeadline - Clock::now()).count();
    pollfd wanted{ this->handle, POLLIN, 0 };
    if (left < 0 || poll(&wanted, 1, static_cast<int>(left) + 1) <= 0) {
      return false;
    }
    char bytes[65536];
    const ssize_t count = recv(this->handle, bytes, sizeof bytes, 0);
    if (count <= 0) {
      this->ended = true;
      return false;
    }
    this->buffer.append(bytes, static_cast<size_t>(count));
    return true;
  }

  // One line without its end.
  bool ReadLine(std::string& aLine, Clock::time_point aDeadline)
  {
    size_t end = this->buffer.find("\r\n");
    while (end == std::string::npos) {
      if (!this->Fill(aDeadline)) {
        return false;
      }
      end = this->buffer.find("\r\n");
    }
    aLine = this->buffer.substr(0, end);
    this->buffer.erase(0, end + 2);
    return true;
  }

  bool ReadBytes(size_t aCount,
                 std::string& aBytes,
                 Clock::time_point aDeadline)
  {
    while (this->buffer.size() < aCount) {
      if (!this->Fill(aDeadline)) {
        return false;
      }
    }
    aBytes = this->buffer.substr(0, aCount);
    this->buffer.erase(0, aCount);
    return true;
  }

  // True if the other side has closed or reset the connection.
  bool IsGone() const
  {
    char byte = 0;
    const ssize_t count = recv(this->handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
  }

  bool Ended() const { return this->ended; }
  // True if bytes were read that nobody has taken.
  bool Waits() const { return !this->buffer.empty(); }

  void Reset()
  {
    const linger hard{ 1, 0 };
    setsockopt(this->handle, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    this->Close();
  }

  void Close()
  {
    if (this->handle >= 0) {
      close(this->handle);
      this->handle = -1;
    }
  }

private:
  int handle;
  std::string buffer;
  bool ended = false;
};

// A listening socket.
class Listener
{
public:
  Listener()
    : handle(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    sockaddr_in address = LoopbackAddress(0);
    socklen_t length = sizeof address;
    if (bind(this->handle,
             reinterpret_cast<sockaddr*>(&address),
             sizeof address) != 0 ||
        listen(this->handle, 256) != 0 ||
        getsockname(
          this->handle, reinterpret_cast<sockaddr*>(&address), &length) != 0) {
      throw std::runtime_error("no port to listen on");
    }
    this->port = ntohs(address.sin_port);
  }
  ~Listener() { this->Close(); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  uint16_t Port() const { return this->port; }
  // -1 once the listener is closed.
  int Accept() { return accept4(this->handle, nullptr, nullptr, SOCK_CLOEXEC); }
  // Ends a waiting Accept.
  void Shutdown() { shutdown(this->handle, SHUT_RDWR); }

private:
  void Close() { close(this->handle); }

  int handle;
  uint16_t port = 0;
};

} // namespace review

#endif // TANAGERSEAM_REVIEW_SUPPORT_NET_H_
