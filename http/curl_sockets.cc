#include "http/curl_sockets.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

#include "kernel/log.h"

namespace tanagerseam {

namespace {

namespace asio = restinio::asio_ns;

constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 3;

void
SetSocketOption(int aSocket, int aLevel, int aName, int aValue)
{
  if (setsockopt(aSocket, aLevel, aName, &aValue, sizeof aValue) != 0) {
    LogWarn("socket_option_refused", { { "option", std::to_string(aName) } });
  }
}

// True if both numbers stand for one socket.
bool
AreSameSocket(int aFirst, int aSecond)
{
  struct stat first
  {};
  struct stat second
  {};
  return ::fstat(aFirst, &first) == 0 && ::fstat(aSecond, &second) == 0 &&
         first.st_dev == second.st_dev && first.st_ino == second.st_ino;
}

} // namespace

CurlSockets::CurlSockets(asio::io_context& aIo, Millis aUserTimeout)
  : io(aIo)
  , userTimeout(aUserTimeout)
{
}

void
CurlSockets::AttachMulti(CURLM* aMulti)
{
  curl_multi_setopt(aMulti, CURLMOPT_SOCKETFUNCTION, &CurlSockets::OnWanted);
  curl_multi_setopt(aMulti, CURLMOPT_SOCKETDATA, this);
}

void
CurlSockets::AttachEasy(CURL* aEasy)
{
  curl_easy_setopt(aEasy, CURLOPT_OPENSOCKETFUNCTION, &CurlSockets::OnOpen);
  curl_easy_setopt(aEasy, CURLOPT_OPENSOCKETDATA, this);
  curl_easy_setopt(aEasy, CURLOPT_CLOSESOCKETFUNCTION, &CurlSockets::OnClose);
  curl_easy_setopt(aEasy, CURLOPT_CLOSESOCKETDATA, this);
}

void
CurlSockets::SetOptions(int aSocket) const
{
  SetSocketOption(aSocket,
                  IPPROTO_TCP,
                  TCP_USER_TIMEOUT,
                  static_cast<int>(this->userTimeout.count()));
  SetSocketOption(aSocket, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetSocketOption(
    aSocket, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  SetSocketOption(aSocket, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
  SetSocketOption(aSocket, SOL_SOCKET, SO_KEEPALIVE, 1);
}

curl_socket_t
CurlSockets::OnOpen(void* aSelf, curlsocktype aPurpose, curl_sockaddr* aAddress)
{
  auto* self = static_cast<CurlSockets*>(aSelf);
  if (aPurpose != CURLSOCKTYPE_IPCXN || aAddress->family != AF_INET) {
    return CURL_SOCKET_BAD;
  }
  self->DropAbandoned();
  WatchPtr watch = self->OpenWatch();
  if (!watch) {
    LogWarn("socket_not_opened", { { "error", std::strerror(errno) } });
    return CURL_SOCKET_BAD;
  }
  const auto* address = reinterpret_cast<const sockaddr_in*>(&aAddress->addr);
  watch->peer = { asio::ip::address_v4(ntohl(address->sin_addr.s_addr)),
                  ntohs(address->sin_port) };
  watch->number = ++self->opened;
  watch->openedAt = BootNow();
  const curl_socket_t handle = watch->handle;
  self->SetOptions(handle);
  self->watches[handle] = std::move(watch);
  return handle;
}

CurlSockets::WatchPtr
CurlSockets::OpenWatch()
{
  const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, IPPROTO_TCP);
  if (handle < 0) {
    return nullptr;
  }
  const int duplicate = ::fcntl(handle, F_DUPFD_CLOEXEC, 0);
  auto watch = std::make_shared<Watch>(this->io);
  asio::error_code error;
  if (duplicate >= 0) {
    watch->socket.assign(asio::ip::tcp::v4(), duplicate, error);
  }
  if (duplicate < 0 || error) {
    ::close(duplicate);
    ::close(handle);
    return nullptr;
  }
  watch->handle = handle;
  return watch;
}

void
CurlSockets::Drop(Watch& aWatch)
{
  aWatch.closed = true;
  asio::error_code ignored;
  aWatch.socket.close(ignored);
}

void
CurlSockets::DropAbandoned()
{
  for (auto entry = this->watches.begin(); entry != this->watches.end();) {
    Watch& watch = *entry->second;
    const bool mayBeAbandoned = watch.requests == 0;
    if (mayBeAbandoned &&
        !AreSameSocket(watch.handle, watch.socket.native_handle())) {
      Drop(watch);
      entry = this->watches.erase(entry);
    } else {
      ++entry;
    }
  }
}

int
CurlSockets::OnClose(void* aSelf, curl_socket_t aSocket)
{
  auto* self = static_cast<CurlSockets*>(aSelf);
  auto found = self->watches.find(aSocket);
  if (found != self->watches.end()) {
    Drop(*found->second);
    self->watches.erase(found);
  }
  return ::close(aSocket);
}

int
CurlSockets::LocalPortOf(Watch& aWatch)
{
  if (aWatch.localPort == 0) {
    asio::error_code ignored;
    aWatch.localPort = aWatch.socket.local_endpoint(ignored).port();
  }
  return aWatch.localPort;
}

curl_socket_t
CurlSockets::Find(const char* aPeerIp, int aPeerPort, int aLocalPort) const
{
  asio::error_code invalid;
  const auto address = asio::ip::make_address(aPeerIp, invalid);
  for (const auto& entry : this->watches) {
    Watch& watch = *entry.second;
    // Connections to different peers may have the same local port.
    if (watch.peer.port() == aPeerPort && watch.peer.address() == address &&
        LocalPortOf(watch) == aLocalPort) {
      return entry.first;
    }
  }
  return CURL_SOCKET_BAD;
}

ConnectionUse
CurlSockets::UseOf(curl_socket_t aSocket) const
{
  const Watch& watch = *this->watches.at(aSocket);
  ConnectionUse use;
  use.connection = watch.number;
  use.earlierRequests = watch.requests;
  use.age = std::chrono::duration_cast<Millis>(BootNow() - watch.openedAt);
  return use;
}

ConnectionUse
CurlSockets::BeginRequest(curl_socket_t aSocket)
{
  const ConnectionUse use = this->UseOf(aSocket);
  ++this->watches.at(aSocket)->requests;
  return use;
}

int
CurlSockets::OnWanted(CURL*,
                      curl_socket_t aSocket,
                      int aWhat,
                      void* aSelf,
                      void*)
{
  auto* self = static_cast<CurlSockets*>(aSelf);
  auto found = self->watches.find(aSocket);
  if (found == self->watches.end()) {
    return 0;
  }
  found->second->wanted = aWhat == CURL_POLL_REMOVE ? CURL_POLL_NONE : aWhat;
  self->Wait(found->second);
  return 0;
}

void
CurlSockets::Wait(const WatchPtr& aWatch)
{
  using Socket = asio::ip::tcp::socket;
  const bool read = (aWatch->wanted & CURL_POLL_IN) != 0;
  const bool write = (aWatch->wanted & CURL_POLL_OUT) != 0;
  if (read && !aWatch->waitsRead) {
    aWatch->waitsRead = true;
    aWatch->socket.async_wait(
      Socket::wait_read, [this, aWatch](const asio::error_code& aError) {
        aWatch->waitsRead = false;
        this->Ready(aWatch, aError, CURL_POLL_IN, CURL_CSELECT_IN);
      });
  }
  if (write && !aWatch->waitsWrite) {
    aWatch->waitsWrite = true;
    aWatch->socket.async_wait(
      Socket::wait_write, [this, aWatch](const asio::error_code& aError) {
        aWatch->waitsWrite = false;
        this->Ready(aWatch, aError, CURL_POLL_OUT, CURL_CSELECT_OUT);
      });
  }
}

void
CurlSockets::Ready(const WatchPtr& aWatch,
                   const asio::error_code& aError,
                   int aPoll,
                   int aSelect)
{
  if (aWatch->closed || aError == asio::error::operation_aborted) {
    return;
  }
  if ((aWatch->wanted & aPoll) == 0) {
    return;
  }
  const int select = aError ? CURL_CSELECT_ERR : aSelect;
  this->onReady(aWatch->handle, select);
  if (!aWatch->closed) {
    this->Wait(aWatch);
  }
}

} // namespace tanagerseam
