#include "review/support-3/net.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <random>
#include <stdexcept>

namespace review {

namespace {

constexpr size_t kReadSize = 65536;
constexpr int kBacklog = 128;
// Below those that the kernel gives to outgoing connections.
constexpr int kFirstPort = 20000;
constexpr int kLastPort = 31999;

sockaddr_in
Loopback(uint16_t aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

int
OpenListener(uint16_t aPort)
{
  const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = Loopback(aPort);
  const auto* generic = reinterpret_cast<const sockaddr*>(&address);
  if (::bind(handle, generic, sizeof address) != 0 ||
      ::listen(handle, kBacklog) != 0) {
    ::close(handle);
    throw std::runtime_error("can't listen");
  }
  return handle;
}

bool
IsFree(int aType, uint16_t aPort)
{
  const int handle = ::socket(AF_INET, aType | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(aPort);
  const auto* generic = reinterpret_cast<const sockaddr*>(&address);
  const bool free = ::bind(handle, generic, sizeof address) == 0;
  ::close(handle);
  return free;
}

uint16_t
PortOf(int aHandle)
{
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(aHandle, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

bool
WaitReadable(int aHandle, Millis aLimit)
{
  pollfd entry{ aHandle, POLLIN, 0 };
  return ::poll(&entry, 1, static_cast<int>(aLimit.count())) > 0;
}

std::string
Trim(const std::string& aText)
{
  const size_t begin = aText.find_first_not_of(" \t");
  const size_t end = aText.find_last_not_of(" \t");
  return begin == std::string::npos ? "" : aText.substr(begin, end - begin + 1);
}

void
ParseHead(const std::string& aHead, HttpMessage& aMessage)
{
  size_t at = 0;
  bool first = true;
  while (at < aHead.size()) {
    const size_t end = std::min(aHead.find("\r\n", at), aHead.size());
    const std::string line = aHead.substr(at, end - at);
    at = end + 2;
    if (first) {
      aMessage.start = line;
      first = false;
      continue;
    }
    const size_t colon = line.find(':');
    if (colon != std::string::npos) {
      aMessage.headers.emplace_back(line.substr(0, colon),
                                    Trim(line.substr(colon + 1)));
    }
  }
}

// Reads until aBuffer holds aSize bytes. False if they don't come.
bool
Fill(const Socket& aSocket, std::string& aBuffer, size_t aSize, TimePoint aEnd)
{
  while (aBuffer.size() < aSize) {
    const auto left = std::chrono::duration_cast<Millis>(aEnd - Now());
    if (left <= Millis(0) || !aSocket.Receive(aBuffer, left)) {
      return false;
    }
  }
  return true;
}

// Takes a line off aBuffer. False if none comes.
bool
TakeLine(const Socket& aSocket,
         std::string& aBuffer,
         std::string& aLine,
         TimePoint aEnd)
{
  size_t end = aBuffer.find("\r\n");
  while (end == std::string::npos) {
    if (!Fill(aSocket, aBuffer, aBuffer.size() + 1, aEnd)) {
      return false;
    }
    end = aBuffer.find("\r\n");
  }
  aLine = aBuffer.substr(0, end);
  aBuffer.erase(0, end + 2);
  return true;
}

bool
ReadChunks(const Socket& aSocket,
           std::string& aBuffer,
           std::string& aBody,
           TimePoint aEnd)
{
  while (true) {
    std::string line;
    if (!TakeLine(aSocket, aBuffer, line, aEnd)) {
      return false;
    }
    const size_t size = std::strtoul(line.c_str(), nullptr, 16);
    if (!Fill(aSocket, aBuffer, size + 2, aEnd)) {
      aBody += aBuffer;
      return false;
    }
    aBody += aBuffer.substr(0, size);
    aBuffer.erase(0, size + 2);
    if (size == 0) {
      return true;
    }
  }
}

} // namespace

int64_t
WallMillis()
{
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Millis>(since).count();
}

Socket&
Socket::operator=(Socket&& aOther) noexcept
{
  this->Close();
  this->handle = std::exchange(aOther.handle, -1);
  return *this;
}

Socket
Socket::Connect(uint16_t aPort)
{
  const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(aPort);
  const auto* generic = reinterpret_cast<const sockaddr*>(&address);
  if (::connect(handle, generic, sizeof address) != 0) {
    ::close(handle);
    return Socket();
  }
  const int on = 1;
  ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return Socket(handle);
}

bool
Socket::Send(const std::string& aBytes) const
{
  size_t sent = 0;
  while (sent < aBytes.size()) {
    const ssize_t count = ::send(
      this->handle, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<size_t>(count);
  }
  return true;
}

bool
Socket::Receive(std::string& aBuffer, Millis aLimit) const
{
  if (this->handle < 0 || !WaitReadable(this->handle, aLimit)) {
    return false;
  }
  char bytes[kReadSize];
  const ssize_t count = ::recv(this->handle, bytes, sizeof bytes, 0);
  if (count <= 0) {
    return false;
  }
  aBuffer.append(bytes, static_cast<size_t>(count));
  return true;
}

void
Socket::Close()
{
  if (this->handle >= 0) {
    ::close(this->handle);
    this->handle = -1;
  }
}

void
Socket::Reset()
{
  const linger option{ 1, 0 };
  ::setsockopt(this->handle, SOL_SOCKET, SO_LINGER, &option, sizeof option);
  this->Close();
}

Listener::Listener(uint16_t aPort)
  : handle(OpenListener(aPort == 0 ? FreePort() : aPort))
  , port(PortOf(this->handle))
{
}

void
Listener::Stop()
{
  if (this->handle >= 0) {
    ::close(this->handle);
    this->handle = -1;
  }
}

void
Listener::Start()
{
  if (this->handle < 0) {
    this->handle = OpenListener(this->port);
  }
}

Socket
Listener::Accept(Millis aLimit) const
{
  if (this->handle < 0 || !WaitReadable(this->handle, aLimit)) {
    return Socket();
  }
  const int accepted = ::accept4(this->handle, nullptr, nullptr, SOCK_CLOEXEC);
  if (accepted >= 0) {
    const int on = 1;
    ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  return Socket(accepted);
}

uint16_t
FreePort()
{
  static std::mt19937 random(std::random_device{}());
  std::uniform_int_distribution<int> draw(kFirstPort, kLastPort);
  while (true) {
    const auto port = static_cast<uint16_t>(draw(random));
    if (IsFree(SOCK_STREAM, port) && IsFree(SOCK_DGRAM, port)) {
      return port;
    }
  }
}

std::string
LoopbackAddress(uint16_t aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

std::string
HttpMessage::Header(const std::string& aName) const
{
  for (const auto& header : this->headers) {
    if (::strcasecmp(header.first.c_str(), aName.c_str()) == 0) {
      return header.second;
    }
  }
  return "";
}

std::string
HttpMessage::Method() const
{
  return this->start.substr(0, this->start.find(' '));
}

std::string
HttpMessage::Target() const
{
  const size_t begin = this->start.find(' ') + 1;
  return this->start.substr(begin, this->start.find(' ', begin) - begin);
}

int
HttpMessage::Status() const
{
  return this->start.size() < 12 ? 0 : std::atoi(this->start.c_str() + 9);
}

bool
ReadMessage(const Socket& aSocket,
            std::string& aBuffer,
            HttpMessage& aMessage,
            Millis aLimit)
{
  const TimePoint end = Now() + aLimit;
  aMessage = HttpMessage{};
  size_t head = aBuffer.find("\r\n\r\n");
  while (head == std::string::npos) {
    if (!Fill(aSocket, aBuffer, aBuffer.size() + 1, end)) {
      return false;
    }
    head = aBuffer.find("\r\n\r\n");
  }
  ParseHead(aBuffer.substr(0, head), aMessage);
  aBuffer.erase(0, head + 4);
  if (aMessage.Header("Transfer-Encoding") == "chunked") {
    aMessage.whole = ReadChunks(aSocket, aBuffer, aMessage.body, end);
    return true;
  }
  const std::string length = aMessage.Header("Content-Length");
  const size_t size = std::strtoul(length.c_str(), nullptr, 10);
  aMessage.whole = Fill(aSocket, aBuffer, size, end);
  aMessage.body = aBuffer.substr(0, size);
  aBuffer.erase(0, size);
  return true;
}

std::string
QueryValue(const std::string& aTarget, const std::string& aName)
{
  size_t at = aTarget.find('?');
  while (at != std::string::npos) {
    const size_t end = aTarget.find('&', at + 1);
    const std::string pair = aTarget.substr(at + 1, end - at - 1);
    if (pair.rfind(aName + "=", 0) == 0) {
      return pair.substr(aName.size() + 1);
    }
    at = end;
  }
  return "";
}

} // namespace review
