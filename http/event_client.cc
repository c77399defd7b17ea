#include "http/event_client.h"

#include <curl/curl.h>
#include <netinet/tcp.h>

#include <map>
#include <unordered_map>
#include <vector>

#include "kernel/log.h"

namespace tanagerseam {

namespace {

namespace asio = restinio::asio_ns;

struct ErrorName
{
  EventError error;
  std::string_view name;
};

constexpr ErrorName kErrorNames[] = {
  { EventError::kNone, "none" },
  { EventError::kNotConnected, "not_connected" },
  { EventError::kTimeout, "timeout" },
  { EventError::kBroken, "broken" },
  { EventError::kStaleConnection, "stale_connection" },
  { EventError::kRejected, "rejected" },
};

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

// What libcurl asked for on one socket, and what Asio waits for.
struct SocketWatch
{
  explicit SocketWatch(asio::io_context& aIo)
    : socket(aIo)
  {
  }
  asio::ip::tcp::socket socket;
  int wanted = CURL_POLL_NONE;
  bool waitsRead = false;
  bool waitsWrite = false;
  bool closed = false;
};

// One exchange. Lives from Start to its end or Cancel.
struct Exchange
{
  uint64_t id = 0;
  CURL* easy = nullptr;
  curl_slist* headers = nullptr;
  EventCall call;
  EventHandlers handlers;
  int status = 0;
  HttpHeaders answerHeaders;
  size_t answerBytes = 0;
  int timesSent = 0;
  bool rejected = false;
  bool headersTold = false;
  char errorText[CURL_ERROR_SIZE] = {};
};

int
RefuseSecondSend(void* aExchange, char*, char*, int, int)
{
  auto* exchange = static_cast<Exchange*>(aExchange);
  ++exchange->timesSent;
  return exchange->timesSent > 1 ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

bool
IsBlank(std::string_view aLine)
{
  return aLine.empty() || aLine == "\r\n" || aLine == "\n";
}

void
TakeStatusLine(Exchange& aExchange, std::string_view aLine)
{
  const size_t space = aLine.find(' ');
  aExchange.answerHeaders.clear();
  aExchange.status =
    space == std::string_view::npos
      ? 0
      : std::atoi(std::string(aLine.substr(space + 1)).c_str());
}

void
TakeHeader(Exchange& aExchange, std::string_view aLine)
{
  const size_t colon = aLine.find(':');
  if (colon == std::string_view::npos) {
    return;
  }
  std::string_view value = aLine.substr(colon + 1);
  const size_t first = value.find_first_not_of(" \t");
  const size_t last = value.find_last_not_of(" \t\r\n");
  value = first == std::string_view::npos
            ? std::string_view()
            : value.substr(first, last - first + 1);
  aExchange.answerHeaders.emplace_back(std::string(aLine.substr(0, colon)),
                                       std::string(value));
}

size_t
OnHeaderLine(char* aData, size_t, size_t aLength, void* aExchange)
{
  auto* exchange = static_cast<Exchange*>(aExchange);
  const std::string_view line(aData, aLength);
  if (line.substr(0, 5) == "HTTP/") {
    TakeStatusLine(*exchange, line);
    return aLength;
  }
  if (!IsBlank(line)) {
    TakeHeader(*exchange, line);
    return aLength;
  }
  const bool interim = exchange->status < 200;
  if (interim || exchange->headersTold) {
    return aLength;
  }
  exchange->headersTold = true;
  const bool accepted =
    !exchange->handlers.onHeaders ||
    exchange->handlers.onHeaders(exchange->status, exchange->answerHeaders);
  exchange->rejected = !accepted;
  return accepted ? aLength : 0;
}

size_t
OnBody(char* aData, size_t, size_t aLength, void* aExchange)
{
  auto* exchange = static_cast<Exchange*>(aExchange);
  exchange->answerBytes += aLength;
  const bool fits = exchange->answerBytes <= exchange->call.maxAnswerBytes;
  const bool accepted =
    fits && (!exchange->handlers.onData ||
             exchange->handlers.onData(std::string_view(aData, aLength)));
  exchange->rejected = !accepted;
  return accepted ? aLength : 0;
}

EventError
ErrorOf(CURLcode aCode, const Exchange& aExchange)
{
  if (aCode == CURLE_OK) {
    return EventError::kNone;
  }
  if (aExchange.rejected) {
    return EventError::kRejected;
  }
  if (aExchange.timesSent > 1) {
    return EventError::kStaleConnection;
  }
  if (aExchange.timesSent == 0) {
    return EventError::kNotConnected;
  }
  return aCode == CURLE_OPERATION_TIMEDOUT ? EventError::kTimeout
                                           : EventError::kBroken;
}

} // namespace

std::string_view
NameOf(EventError aError)
{
  for (const ErrorName& row : kErrorNames) {
    if (row.error == aError) {
      return row.name;
    }
  }
  return "unknown";
}

struct EventClient::Impl
{
  asio::io_context& io;
  EventClientSettings settings;
  CURLM* multi = nullptr;
  asio::steady_timer timer;
  std::map<curl_socket_t, std::shared_ptr<SocketWatch>> sockets;
  std::unordered_map<uint64_t, std::unique_ptr<Exchange>> exchanges;
  std::vector<CURL*> idle;
  uint64_t nextId = 1;
  // Set while libcurl runs: it must not be entered again from its callbacks.
  bool inside = false;

  Impl(asio::io_context& aIo, EventClientSettings aSettings)
    : io(aIo)
    , settings(aSettings)
    , timer(aIo)
  {
    curl_global_init(CURL_GLOBAL_ALL);
    this->multi = curl_multi_init();
    curl_multi_setopt(this->multi, CURLMOPT_SOCKETFUNCTION, &Impl::OnSocket);
    curl_multi_setopt(this->multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(this->multi, CURLMOPT_TIMERFUNCTION, &Impl::OnTimer);
    curl_multi_setopt(this->multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(this->multi,
                      CURLMOPT_MAXCONNECTS,
                      static_cast<long>(aSettings.maxIdleConnections));
    curl_multi_setopt(this->multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
  }

  ~Impl()
  {
    for (auto& entry : this->exchanges) {
      this->Detach(*entry.second);
      curl_easy_cleanup(entry.second->easy);
    }
    for (CURL* easy : this->idle) {
      curl_easy_cleanup(easy);
    }
    curl_multi_cleanup(this->multi);
  }

  static curl_socket_t OpenSocket(void* aImpl,
                                  curlsocktype aPurpose,
                                  curl_sockaddr* aAddress)
  {
    auto* self = static_cast<Impl*>(aImpl);
    if (aPurpose != CURLSOCKTYPE_IPCXN || aAddress->family != AF_INET) {
      return CURL_SOCKET_BAD;
    }
    auto watch = std::make_shared<SocketWatch>(self->io);
    asio::error_code error;
    watch->socket.open(asio::ip::tcp::v4(), error);
    if (error) {
      LogWarn("socket_not_opened", { { "error", error.message() } });
      return CURL_SOCKET_BAD;
    }
    const int handle = watch->socket.native_handle();
    SetSocketOption(handle,
                    IPPROTO_TCP,
                    TCP_USER_TIMEOUT,
                    static_cast<int>(self->settings.userTimeout.count()));
    SetSocketOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
    SetSocketOption(
      handle, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
    SetSocketOption(handle, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
    SetSocketOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
    self->sockets[handle] = std::move(watch);
    return handle;
  }

  static int CloseSocket(void* aImpl, curl_socket_t aSocket)
  {
    auto* self = static_cast<Impl*>(aImpl);
    auto found = self->sockets.find(aSocket);
    if (found != self->sockets.end()) {
      found->second->closed = true;
      asio::error_code ignored;
      found->second->socket.close(ignored);
      self->sockets.erase(found);
    }
    return 0;
  }

  static int OnSocket(CURL*,
                      curl_socket_t aSocket,
                      int aWhat,
                      void* aImpl,
                      void*)
  {
    auto* self = static_cast<Impl*>(aImpl);
    auto found = self->sockets.find(aSocket);
    if (found == self->sockets.end()) {
      return 0;
    }
    found->second->wanted = aWhat == CURL_POLL_REMOVE ? CURL_POLL_NONE : aWhat;
    self->Wait(found->second);
    return 0;
  }

  static int OnTimer(CURLM*, long aMillis, void* aImpl)
  {
    auto* self = static_cast<Impl*>(aImpl);
    self->timer.cancel();
    if (aMillis < 0) {
      return 0;
    }
    self->timer.expires_after(Millis(aMillis));
    self->timer.async_wait([self](const asio::error_code& aError) {
      if (!aError) {
        self->Run(CURL_SOCKET_TIMEOUT, 0);
      }
    });
    return 0;
  }

  void Wait(const std::shared_ptr<SocketWatch>& aWatch)
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

  void Ready(const std::shared_ptr<SocketWatch>& aWatch,
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
    this->Run(aWatch->socket.native_handle(), select);
    if (!aWatch->closed) {
      this->Wait(aWatch);
    }
  }

  void Run(curl_socket_t aSocket, int aSelect)
  {
    int running = 0;
    this->inside = true;
    curl_multi_socket_action(this->multi, aSocket, aSelect, &running);
    this->inside = false;
    this->Finish();
  }

  // Ends the exchanges that libcurl has finished.
  void Finish()
  {
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(this->multi, &left)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      const CURLcode code = message->data.result;
      char* tag = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &tag);
      auto* exchange = reinterpret_cast<Exchange*>(tag);
      this->End(exchange->id, code);
    }
  }

  void End(uint64_t aId, CURLcode aCode)
  {
    auto found = this->exchanges.find(aId);
    if (found == this->exchanges.end()) {
      return;
    }
    std::unique_ptr<Exchange> exchange = std::move(found->second);
    this->exchanges.erase(found);
    EventOutcome outcome;
    outcome.error = ErrorOf(aCode, *exchange);
    outcome.status = exchange->headersTold ? exchange->status : 0;
    outcome.sent = exchange->timesSent > 0;
    if (aCode != CURLE_OK) {
      outcome.detail = exchange->errorText[0] != '\0'
                         ? exchange->errorText
                         : curl_easy_strerror(aCode);
    }
    this->Recycle(*exchange);
    if (exchange->handlers.onDone) {
      exchange->handlers.onDone(outcome);
    }
  }

  void Detach(Exchange& aExchange)
  {
    curl_multi_remove_handle(this->multi, aExchange.easy);
    curl_slist_free_all(aExchange.headers);
    aExchange.headers = nullptr;
  }

  void Recycle(Exchange& aExchange)
  {
    this->Detach(aExchange);
    curl_easy_reset(aExchange.easy);
    this->idle.push_back(aExchange.easy);
    aExchange.easy = nullptr;
  }

  CURL* TakeEasy()
  {
    if (this->idle.empty()) {
      return curl_easy_init();
    }
    CURL* easy = this->idle.back();
    this->idle.pop_back();
    return easy;
  }

  void Configure(Exchange& aExchange);

  // libcurl asks for a timer of 0 ms and starts from there.
  void Add(uint64_t aId)
  {
    auto found = this->exchanges.find(aId);
    if (found != this->exchanges.end()) {
      curl_multi_add_handle(this->multi, found->second->easy);
    }
  }
};

void
EventClient::Impl::Configure(Exchange& aExchange)
{
  const EventCall& call = aExchange.call;
  CURL* easy = aExchange.easy;
  bool hasAccept = false;
  bool hasType = false;
  for (const auto& header : call.headers) {
    hasAccept = hasAccept || EqualsIgnoringCase(header.first, "Accept");
    hasType = hasType || EqualsIgnoringCase(header.first, "Content-Type");
    const std::string line = header.second.empty()
                               ? header.first + ";"
                               : header.first + ": " + header.second;
    aExchange.headers = curl_slist_append(aExchange.headers, line.c_str());
  }
  // libcurl adds headers of its own unless they are taken away.
  aExchange.headers = curl_slist_append(aExchange.headers, "Expect:");
  if (!hasAccept) {
    aExchange.headers = curl_slist_append(aExchange.headers, "Accept:");
  }
  if (!hasType) {
    aExchange.headers = curl_slist_append(aExchange.headers, "Content-Type:");
  }
  curl_easy_setopt(easy, CURLOPT_URL, call.url.c_str());
  curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, call.target.c_str());
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
  if (call.method == "HEAD") {
    curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
  } else if (call.method != "GET" || !call.body.empty()) {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body.data());
    curl_easy_setopt(easy,
                     CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(call.body.size()));
  }
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, aExchange.headers);
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, call.timeout.count());
  curl_easy_setopt(
    easy, CURLOPT_CONNECTTIMEOUT_MS, call.connectTimeout.count());
  curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, call.freshConnection ? 1L : 0L);
  curl_easy_setopt(easy,
                   CURLOPT_MAXAGE_CONN,
                   static_cast<long>(this->settings.maxIdleSeconds));
  curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, aExchange.errorText);
  curl_easy_setopt(easy, CURLOPT_PRIVATE, &aExchange);
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &RefuseSecondSend);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, &aExchange);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &OnHeaderLine);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, &aExchange);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &aExchange);
  curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &Impl::OpenSocket);
  curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, this);
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &Impl::CloseSocket);
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, this);
}

EventClient::EventClient(asio::io_context& aIo, EventClientSettings aSettings)
  : impl(std::make_unique<Impl>(aIo, aSettings))
{
}

EventClient::~EventClient() = default;

EventClient::CallId
EventClient::Start(EventCall aCall, EventHandlers aHandlers)
{
  Impl& self = *this->impl;
  auto exchange = std::make_unique<Exchange>();
  exchange->id = self.nextId++;
  exchange->call = std::move(aCall);
  exchange->handlers = std::move(aHandlers);
  exchange->easy = self.TakeEasy();
  self.Configure(*exchange);
  const CallId id = exchange->id;
  self.exchanges[id] = std::move(exchange);
  if (self.inside) {
    asio::post(self.io, [this, id] { this->impl->Add(id); });
  } else {
    self.Add(id);
  }
  return id;
}

void
EventClient::Cancel(CallId aId)
{
  Impl& self = *this->impl;
  auto found = self.exchanges.find(aId);
  if (found == self.exchanges.end()) {
    return;
  }
  if (self.inside) {
    // libcurl runs this exchange's callback; it ends once the callback returns.
    found->second->handlers = EventHandlers{};
    found->second->handlers.onData = [](std::string_view) { return false; };
    asio::post(self.io, [this, aId] { this->Cancel(aId); });
    return;
  }
  std::unique_ptr<Exchange> exchange = std::move(found->second);
  self.exchanges.erase(found);
  self.Recycle(*exchange);
}

void
EventClient::Pause(CallId aId, bool aPaused)
{
  Impl& self = *this->impl;
  auto found = self.exchanges.find(aId);
  if (found == self.exchanges.end()) {
    return;
  }
  if (self.inside) {
    asio::post(self.io, [this, aId, aPaused] { this->Pause(aId, aPaused); });
    return;
  }
  self.inside = true;
  curl_easy_pause(found->second->easy,
                  aPaused ? CURLPAUSE_RECV : CURLPAUSE_CONT);
  self.inside = false;
  self.Finish();
}

size_t
EventClient::UnderWay() const
{
  return this->impl->exchanges.size();
}

} // namespace tanagerseam
