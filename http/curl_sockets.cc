#include "http/curl_sockets.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

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
  auto watch = std::make_shared<Watch>(self->io);
  asio::error_code error;
  watch->socket.open(asio::ip::tcp::v4(), error);
  if (error) {
    LogWarn("socket_not_opened", { { "error", error.message() } });
    return CURL_SOCKET_BAD;
  }
  const auto* address = reinterpret_cast<const sockaddr_in*>(&aAddress->addr);
  watch->peer = { asio::ip::address_v4(ntohl(address->sin_addr.s_addr)),
                  ntohs(address->sin_port) };
  watch->number = ++self->opened;
  watch->openedAt = BootNow();
  const int handle = watch->socket.native_handle();
  self->SetOptions(handle);
  self->watches[handle] = std::move(watch);
  return handle;
}

int
CurlSockets::OnClose(void* aSelf, curl_socket_t aSocket)
{
  auto* self = static_cast<CurlSockets*>(aSelf);
  auto found = self->watches.find(aSocket);
  if (found != self->watches.end()) {
    found->second->closed = true;
    asio::error_code ignored;
    found->second->socket.close(ignored);
    self->watches.erase(found);
  }
  return 0;
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
  this->onReady(aWatch->socket.native_handle(), select);
  if (!aWatch->closed) {
    this->Wait(aWatch);
  }
}

} // namespace tanagerseam
