#include "http/event_client.h"

#include <unordered_map>
#include <vector>

#include "http/curl_sockets.h"
#include "http/exchange.h"

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
  { EventError::kForeignResponse, "foreign_response" },
  { EventError::kTooLarge, "too_large" },
  { EventError::kRejected, "rejected" },
};

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

LogFields
LogFieldsOf(const EventOutcome& aOutcome)
{
  LogFields fields = LogFieldsOf(aOutcome.connectionUse);
  fields.emplace_back("framing", std::string(NameOf(aOutcome.body.framing)));
  fields.emplace_back("body_bytes", std::to_string(aOutcome.body.bytes));
  if (aOutcome.body.holdsHead) {
    fields.emplace_back("body_holds_head", "yes");
  }
  return fields;
}

struct EventClient::Impl
{
  asio::io_context& io;
  EventClientSettings settings;
  CURLM* multi = nullptr;
  asio::steady_timer timer;
  CurlSockets sockets;
  std::unordered_map<uint64_t, std::unique_ptr<Exchange>> exchanges;
  std::vector<CURL*> idle;
  uint64_t nextId = 1;
  // Set while libcurl runs: it must not be entered again from its callbacks.
  bool inside = false;

  Impl(asio::io_context& aIo, EventClientSettings aSettings)
    : io(aIo)
    , settings(aSettings)
    , timer(aIo)
    , sockets(aIo, aSettings.userTimeout)
  {
    curl_global_init(CURL_GLOBAL_ALL);
    this->multi = curl_multi_init();
    this->sockets.SetOnReady([this](curl_socket_t aSocket, int aSelect) {
      this->Run(aSocket, aSelect);
    });
    this->sockets.AttachMulti(this->multi);
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
    if (found->second->mustStartAgain && !found->second->cancelled) {
      this->StartAgain(*found->second);
      return;
    }
    std::unique_ptr<Exchange> exchange = std::move(found->second);
    this->exchanges.erase(found);
    EventOutcome outcome;
    outcome.error = ErrorOf(aCode, *exchange);
    outcome.status = exchange->headersTold ? exchange->head.Status() : 0;
    outcome.sent = exchange->timesSent > 0;
    outcome.refusedConnection = aCode == CURLE_COULDNT_CONNECT;
    outcome.connectionUse = exchange->connectionUse;
    outcome.body = { exchange->framing,
                     exchange->limits.BodyBytes(),
                     HoldsAnotherHead(*exchange) };
    if (outcome.error != EventError::kNone) {
      outcome.detail = DetailOf(aCode, *exchange);
    }
    this->Recycle(*exchange);
    if (!exchange->cancelled && exchange->handlers.onDone) {
      exchange->handlers.onDone(outcome);
    }
  }

  // Sends a request, which no connection has carried yet, on a new connection.
  void StartAgain(Exchange& aExchange)
  {
    this->Detach(aExchange);
    curl_easy_reset(aExchange.easy);
    aExchange.mustStartAgain = false;
    aExchange.connectionUse = ConnectionUse{};
    aExchange.keptConnectionFailed = true;
    ConfigureExchange(aExchange, this->settings.maxIdleSeconds);
    curl_multi_add_handle(this->multi, aExchange.easy);
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

  // Pauses or resumes as was asked for last.
  void ApplyPause(uint64_t aId)
  {
    auto found = this->exchanges.find(aId);
    if (found == this->exchanges.end()) {
      return;
    }
    const bool paused = found->second->pauseWanted;
    this->inside = true;
    curl_easy_pause(found->second->easy,
                    paused ? CURLPAUSE_RECV : CURLPAUSE_CONT);
    this->inside = false;
    this->Finish();
  }

  // libcurl asks for a timer of 0 ms and starts from there.
  void Add(uint64_t aId)
  {
    auto found = this->exchanges.find(aId);
    if (found != this->exchanges.end()) {
      curl_multi_add_handle(this->multi, found->second->easy);
    }
  }
};

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
  exchange->sockets = &self.sockets;
  ConfigureExchange(*exchange, self.settings.maxIdleSeconds);
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
    // libcurl may be in one of this exchange's callbacks; it ends once libcurl
    // returns.
    found->second->cancelled = true;
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
  found->second->pauseWanted = aPaused;
  if (self.inside) {
    asio::post(self.io, [this, aId] { this->impl->ApplyPause(aId); });
  } else {
    self.ApplyPause(aId);
  }
}

size_t
EventClient::UnderWay() const
{
  return this->impl->exchanges.size();
}

} // namespace tanagerseam
