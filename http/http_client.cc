#include "http/http_client.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <map>
#include <mutex>
#include <vector>

#include "http/body_framing.h"
#include "http/byte_budget.h"
#include "http/idle_connection.h"
#include "http/response_head.h"
#include "http/response_limits.h"
#include "kernel/log.h"

namespace tanagerseam {

namespace {

constexpr size_t kMaxIdleHandles = 256;

// One socket that libcurl opened.
struct OpenSocket
{
  std::string peerIp;
  int peerPort = 0;
  // 0 until it was asked for on a connected socket.
  int localPort = 0;
  // Requests that were sent on it.
  int requests = 0;
};

// An easy handle with the sockets of its connections. libcurl keeps a pointer
// to it as long as one of them is open.
struct Handle
{
  CURL* easy = curl_easy_init();
  std::map<curl_socket_t, OpenSocket> sockets;

  Handle() = default;
  Handle(const Handle&) = delete;
  Handle& operator=(const Handle&) = delete;
  // Closes the sockets.
  ~Handle() { curl_easy_cleanup(this->easy); }
};

// State of one call while libcurl runs it.
struct BlockingExchange
{
  explicit BlockingExchange(std::shared_ptr<ByteBudget> aMemory)
    : body(std::move(aMemory))
  {
  }

  const HttpCall* call = nullptr;
  Handle* handle = nullptr;
  CURL* easy = nullptr;
  // How often libcurl was about to send the request, without those that were
  // held back.
  int timesSent = 0;
  // The request was held back from a kept connection that must not be used.
  bool heldBack = false;
  ResponseHead head;
  GatheredBody body;
  ResponseLimits limits;
  // The connection that carries the request.
  curl_socket_t socket = CURL_SOCKET_BAD;
  BodyFraming framing = BodyFraming::kUnknown;
  bool cancelled = false;
  bool idle = false;
  bool headersTold = false;
  // The head of the final response was read to its end.
  bool wholeHead = false;
  TimePoint lastData = Now();
};

size_t
OnBody(char* aData, size_t aSize, size_t aCount, void* aExchange)
{
  auto* exchange = static_cast<BlockingExchange*>(aExchange);
  const size_t bytes = aSize * aCount;
  exchange->lastData = Now();
  if (!exchange->wholeHead) {
    // The bytes behind a change of protocol are no body.
    return 0;
  }
  if (!exchange->limits.TakeBody(bytes)) {
    return 0;
  }
  const int status = exchange->head.Status();
  if (exchange->call->onHeaders && !exchange->headersTold) {
    exchange->headersTold = true;
    if (!exchange->call->onHeaders(status, exchange->head.Headers())) {
      exchange->cancelled = true;
      return 0;
    }
  }
  if (exchange->call->onData && status / 100 == 2) {
    exchange->cancelled =
      !exchange->call->onData(std::string_view(aData, bytes));
    return exchange->cancelled ? 0 : bytes;
  }
  if (!exchange->body.Append(std::string_view(aData, bytes))) {
    exchange->limits.Exceed();
    return 0;
  }
  return bytes;
}

int
PortOf(const sockaddr_storage& aAddress)
{
  return ntohs(aAddress.ss_family == AF_INET6
                 ? reinterpret_cast<const sockaddr_in6&>(aAddress).sin6_port
                 : reinterpret_cast<const sockaddr_in&>(aAddress).sin_port);
}

std::string
IpOf(const sockaddr_storage& aAddress)
{
  std::array<char, INET6_ADDRSTRLEN> text{};
  const void* ip =
    aAddress.ss_family == AF_INET6
      ? static_cast<const void*>(
          &reinterpret_cast<const sockaddr_in6&>(aAddress).sin6_addr)
      : &reinterpret_cast<const sockaddr_in&>(aAddress).sin_addr;
  inet_ntop(aAddress.ss_family, ip, text.data(), text.size());
  return text.data();
}

curl_socket_t
OnOpenSocket(void* aHandle, curlsocktype, curl_sockaddr* aAddress)
{
  auto* handle = static_cast<Handle*>(aHandle);
  sockaddr_storage peer{};
  if (aAddress->addrlen > sizeof peer) {
    return CURL_SOCKET_BAD;
  }
  std::memcpy(&peer, &aAddress->addr, aAddress->addrlen);
  const int opened = ::socket(
    aAddress->family, aAddress->socktype | SOCK_CLOEXEC, aAddress->protocol);
  if (opened < 0) {
    LogWarn("socket_not_opened", { { "error", std::strerror(errno) } });
    return CURL_SOCKET_BAD;
  }
  handle->sockets[opened] = OpenSocket{ IpOf(peer), PortOf(peer) };
  return opened;
}

int
OnCloseSocket(void* aHandle, curl_socket_t aSocket)
{
  static_cast<Handle*>(aHandle)->sockets.erase(aSocket);
  return ::close(aSocket);
}

int
LocalPortOf(curl_socket_t aSocket, OpenSocket& aOpen)
{
  if (aOpen.localPort == 0) {
    sockaddr_storage local{};
    socklen_t length = sizeof local;
    if (getsockname(aSocket, reinterpret_cast<sockaddr*>(&local), &length) ==
        0) {
      aOpen.localPort = PortOf(local);
    }
  }
  return aOpen.localPort;
}

// The socket of one connection; CURL_SOCKET_BAD if there is none.
curl_socket_t
FindSocket(Handle& aHandle, const char* aPeerIp, int aPeerPort, int aLocalPort)
{
  for (auto& entry : aHandle.sockets) {
    OpenSocket& open = entry.second;
    // Connections to different peers may have the same local port.
    if (open.peerPort == aPeerPort && open.peerIp == aPeerIp &&
        LocalPortOf(entry.first, open) == aLocalPort) {
      return entry.first;
    }
  }
  return CURL_SOCKET_BAD;
}

// False if bytes wait on the idle connection, or its end.
bool
CanCarryARequest(curl_socket_t aSocket, const std::string& aUrl)
{
  const WaitingInput input = InputOf(aSocket);
  if (input == WaitingInput::kBytes) {
    LogWarn("bytes_on_idle_connection", { { "peer", aUrl } });
  }
  return input == WaitingInput::kNothing;
}

// libcurl is about to send the request.
int
BeforeSend(void* aExchange, char* aPeerIp, char*, int aPeerPort, int aLocalPort)
{
  auto* exchange = static_cast<BlockingExchange*>(aExchange);
  ++exchange->timesSent;
  if (exchange->timesSent > 1) {
    // A kept connection ended: the server may have the request.
    return CURL_PREREQFUNC_ABORT;
  }
  Handle& handle = *exchange->handle;
  const curl_socket_t socket =
    FindSocket(handle, aPeerIp, aPeerPort, aLocalPort);
  if (socket == CURL_SOCKET_BAD) {
    return CURL_PREREQFUNC_OK;
  }
  exchange->socket = socket;
  const bool kept = handle.sockets[socket].requests++ > 0;
  if (!kept || CanCarryARequest(socket, exchange->call->url)) {
    return CURL_PREREQFUNC_OK;
  }
  // libcurl closes the socket once it sees the end.
  EndConnection(socket);
  exchange->heldBack = true;
  --exchange->timesSent;
  return CURL_PREREQFUNC_ABORT;
}

// The head of the final response has come. False ends the transfer.
bool
BeginResponse(BlockingExchange& aExchange)
{
  aExchange.wholeHead = true;
  aExchange.framing = FramingOf(
    aExchange.call->method, aExchange.head.Status(), aExchange.head.Headers());
  if (aExchange.framing == BodyFraming::kChunks) {
    aExchange.limits.BeginChunks(aExchange.socket);
  }
  return aExchange.framing != BodyFraming::kInvalid;
}

size_t
OnHeader(char* aData, size_t aSize, size_t aCount, void* aExchange)
{
  auto* exchange = static_cast<BlockingExchange*>(aExchange);
  const std::string_view line(aData, aSize * aCount);
  if (!exchange->limits.TakeHeadLine(line.size())) {
    return 0;
  }
  if (exchange->wholeHead) {
    // A trailer, which nobody asked for.
    return line.size();
  }
  switch (exchange->head.Take(line)) {
    case HeadLine::kMore:
    case HeadLine::kInterimEnd:
      return line.size();
    case HeadLine::kMalformed:
      return 0;
    case HeadLine::kEnd:
      return BeginResponse(*exchange) ? line.size() : 0;
  }
  return 0;
}

int
OnProgress(void* aExchange, curl_off_t, curl_off_t, curl_off_t, curl_off_t)
{
  auto* exchange = static_cast<BlockingExchange*>(aExchange);
  const Millis limit = exchange->call->idleTimeout;
  if (limit.count() > 0 && Now() - exchange->lastData > limit) {
    exchange->idle = true;
    return 1;
  }
  if (exchange->call->cancelled && exchange->call->cancelled()) {
    exchange->cancelled = true;
    return 1;
  }
  return exchange->limits.CheckFraming() ? 0 : 1;
}

std::string
DetailOf(CURLcode aCode, const BlockingExchange& aExchange)
{
  const bool staleConnection = aExchange.timesSent > 1 && aCode != CURLE_OK &&
                               !aExchange.limits.Exceeded();
  if (staleConnection) {
    return "the kept connection ended before a response";
  }
  return DetailOfTransfer(aCode, aExchange.limits, aExchange.framing, "");
}

TransportFailure
ToFailure(CURLcode aCode, const BlockingExchange& aExchange)
{
  TransportFailure failure;
  failure.detail = DetailOf(aCode, aExchange);
  if (aExchange.cancelled) {
    failure.error = TransportError::kCancelled;
  } else if (aExchange.idle || aCode == CURLE_OPERATION_TIMEDOUT) {
    failure.error = TransportError::kTimeout;
  }
  long connects = 0;
  curl_off_t connected = 0;
  curl_easy_getinfo(aExchange.easy, CURLINFO_NUM_CONNECTS, &connects);
  curl_easy_getinfo(aExchange.easy, CURLINFO_CONNECT_TIME_T, &connected);
  const bool reused = connects == 0;
  const bool notConnected =
    aCode == CURLE_COULDNT_CONNECT ||
    (aCode == CURLE_OPERATION_TIMEDOUT && !reused && connected == 0);
  // libcurl also connects to repeat a request.
  if (notConnected && aExchange.timesSent == 0) {
    failure.sent = false;
    failure.error = TransportError::kNotConnected;
  }
  return failure;
}

curl_slist*
BuildHeaders(const HttpCall& aCall)
{
  curl_slist* list = nullptr;
  for (const auto& header : aCall.headers) {
    list =
      curl_slist_append(list, (header.first + ": " + header.second).c_str());
  }
  list = curl_slist_append(list, "Expect:");
  return list;
}

void
SetOptions(CURL* aEasy, const HttpCall& aCall, BlockingExchange& aExchange)
{
  curl_easy_setopt(aEasy, CURLOPT_URL, aCall.url.c_str());
  curl_easy_setopt(aEasy, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt(aEasy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(aEasy, CURLOPT_PROXY, "");
  curl_easy_setopt(aEasy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(aEasy, CURLOPT_CUSTOMREQUEST, aCall.method.c_str());
  if (aCall.method != "GET") {
    curl_easy_setopt(aEasy, CURLOPT_POSTFIELDS, aCall.body.data());
    curl_easy_setopt(
      aEasy, CURLOPT_POSTFIELDSIZE_LARGE, curl_off_t(aCall.body.size()));
  }
  curl_easy_setopt(
    aEasy, CURLOPT_CONNECTTIMEOUT_MS, long(aCall.connectTimeout.count()));
  curl_easy_setopt(aEasy, CURLOPT_TIMEOUT_MS, long(aCall.timeout.count()));
  curl_easy_setopt(
    aEasy, CURLOPT_FRESH_CONNECT, aCall.freshConnection ? 1L : 0L);
  curl_easy_setopt(
    aEasy, CURLOPT_FORBID_REUSE, aCall.freshConnection ? 1L : 0L);
  curl_easy_setopt(aEasy, CURLOPT_OPENSOCKETFUNCTION, OnOpenSocket);
  curl_easy_setopt(aEasy, CURLOPT_OPENSOCKETDATA, aExchange.handle);
  curl_easy_setopt(aEasy, CURLOPT_CLOSESOCKETFUNCTION, OnCloseSocket);
  curl_easy_setopt(aEasy, CURLOPT_CLOSESOCKETDATA, aExchange.handle);
  curl_easy_setopt(aEasy, CURLOPT_PREREQFUNCTION, BeforeSend);
  curl_easy_setopt(aEasy, CURLOPT_PREREQDATA, &aExchange);
  curl_easy_setopt(aEasy, CURLOPT_WRITEFUNCTION, OnBody);
  curl_easy_setopt(aEasy, CURLOPT_WRITEDATA, &aExchange);
  curl_easy_setopt(aEasy, CURLOPT_HEADERFUNCTION, OnHeader);
  curl_easy_setopt(aEasy, CURLOPT_HEADERDATA, &aExchange);
  curl_easy_setopt(aEasy, CURLOPT_NOPROGRESS, 0L);
  curl_easy_setopt(aEasy, CURLOPT_XFERINFOFUNCTION, OnProgress);
  curl_easy_setopt(aEasy, CURLOPT_XFERINFODATA, &aExchange);
}

// Runs the exchange, once more on a new connection if the request was held
// back.
CURLcode
RunExchange(BlockingExchange& aExchange)
{
  const TimePoint start = Now();
  const CURLcode code = curl_easy_perform(aExchange.easy);
  if (!aExchange.heldBack) {
    return code;
  }
  const Millis timeout = aExchange.call->timeout;
  if (timeout.count() > 0) {
    const int64_t left = timeout.count() - MillisBetween(start, Now());
    curl_easy_setopt(
      aExchange.easy, CURLOPT_TIMEOUT_MS, long(std::max<int64_t>(1, left)));
  }
  curl_easy_setopt(aExchange.easy, CURLOPT_FRESH_CONNECT, 1L);
  return curl_easy_perform(aExchange.easy);
}

} // namespace

struct HttpClient::Impl
{
  using HandlePtr = std::unique_ptr<Handle>;

  explicit Impl(size_t aMaxReceivedBytes)
    : memory(std::make_shared<ByteBudget>(aMaxReceivedBytes))
  {
  }

  const std::shared_ptr<ByteBudget> memory;
  std::mutex mutex;
  std::vector<HandlePtr> idle;

  HandlePtr Take()
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    if (this->idle.empty()) {
      return std::make_unique<Handle>();
    }
    HandlePtr handle = std::move(this->idle.back());
    this->idle.pop_back();
    curl_easy_reset(handle->easy);
    return handle;
  }

  void GiveBack(HandlePtr aHandle)
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    if (this->idle.size() < kMaxIdleHandles) {
      this->idle.push_back(std::move(aHandle));
    }
  }
};

HttpClient::HttpClient(size_t aMaxReceivedBytes)
  : impl(std::make_unique<Impl>(aMaxReceivedBytes))
{
  static std::once_flag once;
  std::call_once(once, [] { curl_global_init(CURL_GLOBAL_ALL); });
}

HttpClient::~HttpClient() = default;

HttpOutcome
HttpClient::Perform(const HttpCall& aCall)
{
  Impl::HandlePtr handle = this->impl->Take();
  CURL* easy = handle->easy;
  BlockingExchange exchange(this->impl->memory);
  exchange.call = &aCall;
  exchange.handle = handle.get();
  exchange.easy = easy;
  exchange.limits.SetMaxBodyBytes(aCall.maxAnswerBytes);
  SetOptions(easy, aCall, exchange);
  curl_slist* headers = BuildHeaders(aCall);
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
  const CURLcode code = RunExchange(exchange);
  HttpOutcome outcome;
  if (code == CURLE_OK && exchange.wholeHead) {
    outcome = HttpAnswer{ exchange.head.Status(),
                          exchange.head.Headers(),
                          exchange.body.Take() };
  } else {
    outcome = ToFailure(code, exchange);
  }
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, nullptr);
  curl_slist_free_all(headers);
  this->impl->GiveBack(std::move(handle));
  return outcome;
}

} // namespace tanagerseam
