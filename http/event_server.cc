#include "http/event_server.h"

#include <algorithm>
#include <restinio/all.hpp>

#include "http/byte_budget.h"
#include "http/guarded_socket.h"

namespace tanagerseam {

namespace {

constexpr size_t kMaxUrlBytes = 16u << 10;
constexpr size_t kMaxHeaderNameBytes = 1u << 10;
constexpr size_t kMaxHeaderValueBytes = 16u << 10;
constexpr size_t kMaxHeaderCount = 100;
constexpr size_t kMaxPipelined = 1;
constexpr Millis kWriteTimeout(30000);
// Never leaves the host: its connection is shut down before.
constexpr int kUnanswered = 503;
constexpr int kBadRequest = 400;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;
// A status below the first asks the client to wait for another response; one
// above the last has more than three digits.
constexpr int kFirstFinalStatus = 200;
constexpr int kLastStatus = 999;
// Longer than any request may take: its handler keeps the time.
constexpr Millis kHandleTimeout(3600000);

// RESTinio gives these names.
// NOLINTBEGIN(readability-identifier-naming)
struct EventTraits : public restinio::default_single_thread_traits_t
{
  using logger_t = FaultLogger;
  using stream_socket_t = GuardedSocket;
};
// NOLINTEND(readability-identifier-naming)

using WholeBuilder =
  restinio::response_builder_t<restinio::restinio_controlled_output_t>;
using ChunkBuilder = restinio::response_builder_t<restinio::chunked_output_t>;

restinio::http_status_line_t
EventStatusLine(int aStatus)
{
  return restinio::http_status_line_t(
    restinio::http_status_code_t(static_cast<uint16_t>(aStatus)),
    aStatus < 400 ? "OK" : "Refused");
}

bool
IsFinalStatus(int aStatus)
{
  return aStatus >= kFirstFinalStatus && aStatus <= kLastStatus;
}

// Headers that belong to one connection; RESTinio sets them.
bool
IsFramingHeader(const std::string& aName)
{
  constexpr const char* kNames[] = {
    "Connection", "Content-Length",    "Keep-Alive",
    "Trailer",    "Transfer-Encoding", "Upgrade",
  };
  return std::any_of(
    std::begin(kNames), std::end(kNames), [&aName](const char* aFraming) {
      return EqualsIgnoringCase(aName, aFraming);
    });
}

// A stream that is sent as a whole response at its end.
struct GatheredStream
{
  GatheredStream(int aStatus,
                 HttpHeaders aHeaders,
                 std::shared_ptr<ByteBudget> aMemory)
    : status(aStatus)
    , headers(std::move(aHeaders))
    , body(std::move(aMemory))
  {
  }

  int status;
  HttpHeaders headers;
  GatheredBody body;
};

// State that replies share with their server.
struct ServerState
{
  std::shared_ptr<ByteBudget> gatheredBytes;
  std::shared_ptr<HeldMemory> heldMemory;
  bool closing = false;
  size_t busy = 0;
};

class LoopReply
  : public EventReply
  , public std::enable_shared_from_this<LoopReply>
{
public:
  LoopReply(restinio::request_handle_t aRequest,
            GuardedSocket& aSocket,
            std::shared_ptr<ServerState> aState)
    : request(std::move(aRequest))
    , watch(aSocket.Watch())
    , state(std::move(aState))
    , requestBytes(aSocket.TakeUpload())
  {
    ++this->state->busy;
  }

  ~LoopReply() override
  {
    // A handler that forgot its caller must not leave it waiting.
    if (!this->ended && this->Finish()) {
      this->BreakNow();
    }
  }

  void Send(int aStatus,
            const HttpHeaders& aHeaders,
            std::string aBody) override
  {
    if (!this->MayBegin(aStatus)) {
      return;
    }
    if (!this->Finish()) {
      return;
    }
    this->SendWhole(aStatus, aHeaders, std::move(aBody));
  }

  void Begin(int aStatus, const HttpHeaders& aHeaders) override
  {
    if (!this->MayBegin(aStatus)) {
      return;
    }
    if (!this->MayHaveBody(aStatus) || !this->KnowsChunks()) {
      this->gathered = std::make_unique<GatheredStream>(
        aStatus, aHeaders, this->state->gatheredBytes);
      return;
    }
    this->chunks = std::make_unique<ChunkBuilder>(
      this->request->create_response<restinio::chunked_output_t>(
        EventStatusLine(aStatus)));
    this->AddHeaders(*this->chunks, aHeaders);
    // The head counts as one byte.
    ++this->unwritten;
    this->Flush(1);
  }

  void Write(std::string aPiece) override
  {
    if (this->ended || aPiece.empty()) {
      return;
    }
    if (this->gathered) {
      this->Gather(aPiece);
      return;
    }
    this->unwritten += aPiece.size();
    if (this->waiting.empty()) {
      this->waiting = std::move(aPiece);
    } else {
      this->waiting += aPiece;
    }
    this->WriteWaiting();
  }

  void End() override
  {
    if (!this->Finish()) {
      return;
    }
    if (this->gathered) {
      this->SendWhole(this->gathered->status,
                      this->gathered->headers,
                      this->gathered->body.Take());
      return;
    }
    if (!this->waiting.empty()) {
      this->chunks->append_chunk(std::move(this->waiting));
      this->waiting.clear();
    }
    this->chunks->done(this->WhenWritten());
    this->chunks.reset();
  }

  void Break() override
  {
    if (!this->Finish()) {
      return;
    }
    // What was handed over before still goes out.
    if (this->unwritten > 0) {
      this->breakWhenWritten = this->shared_from_this();
      return;
    }
    this->BreakNow();
  }

  // The connection ends with this answer.
  void CloseAfterAnswer() { this->closeAfter = true; }

  void OnGone(std::function<void()> aOnGone) override
  {
    this->watch->Begin(std::move(aOnGone));
  }

  void OnMemoryNeeded(std::function<void()> aRefuse) override
  {
    if (this->requestBytes) {
      this->requestBytes->OnGiveWay(std::move(aRefuse));
    }
  }

  size_t Unwritten() const override { return this->unwritten; }

  void OnDrained(std::function<void()> aOnDrained) override
  {
    this->onDrained = std::move(aOnDrained);
  }

private:
  bool Begun() const { return this->chunks || this->gathered; }

  bool MayHaveBody(int aStatus) const
  {
    return this->request->header().method() != restinio::http_method_head() &&
           aStatus != kNoContent && aStatus != kNotModified;
  }

  // RESTinio does not tell the version. Without a Connection header only an
  // HTTP/1.0 connection ends after its answer; with one the versions look
  // alike.
  bool KnowsChunks() const
  {
    const auto& header = this->request->header();
    return header.should_keep_alive() || header.has_field("Connection");
  }

  void Gather(const std::string& aPiece)
  {
    if (!this->MayHaveBody(this->gathered->status)) {
      return;
    }
    if (!this->gathered->body.Append(aPiece)) {
      this->Break();
    }
  }

  void SendWhole(int aStatus, const HttpHeaders& aHeaders, std::string aBody)
  {
    WholeBuilder builder =
      this->request->create_response(EventStatusLine(aStatus));
    this->AddHeaders(builder, aHeaders);
    std::shared_ptr<HeldBytes> unread;
    if (this->MayHaveBody(aStatus)) {
      unread = this->HoldResponse(aBody.size());
      builder.set_body(std::move(aBody));
    }
    builder.done([written = this->WhenWritten(), unread](const auto& aError) {
      written(aError);
    });
  }

  // A whole response counts until the client has read it; a slow reader is
  // broken off if its memory is needed.
  std::shared_ptr<HeldBytes> HoldResponse(size_t aBytes)
  {
    if (!this->state->heldMemory || aBytes <= ByteShare::kUncountedBytes) {
      return nullptr;
    }
    auto unread =
      std::make_shared<HeldBytes>(this->state->heldMemory, HeldKind::kResponse);
    unread->Force(aBytes);
    unread->OnGiveWay([weak = this->watch->weak_from_this()] {
      if (const auto watching = weak.lock()) {
        watching->Break();
      }
    });
    return unread;
  }

  // True if a response may begin with aStatus; else it is broken off, as one
  // that has begun can't get another head.
  bool MayBegin(int aStatus)
  {
    if (this->ended) {
      return false;
    }
    if (IsFinalStatus(aStatus) && !this->Begun()) {
      return true;
    }
    LogError("response_not_sent",
             { { "status", std::to_string(aStatus) },
               { "begun", this->Begun() ? "true" : "false" } });
    this->Break();
    return false;
  }

  // False if the answer had ended before.
  bool Finish()
  {
    if (this->ended) {
      return false;
    }
    this->ended = true;
    this->watch->End();
    return true;
  }

  // The answer is under way until its last byte has been written, or can't be.
  std::function<void(const restinio::asio_ns::error_code&)> WhenWritten()
  {
    return [state = this->state](const auto&) { --state->busy; };
  }

  // One write at a time: RESTinio keeps a record for each, which is many times
  // as large as a small piece. What comes meanwhile is sent as one chunk.
  void WriteWaiting()
  {
    if (this->isWriting || this->waiting.empty()) {
      return;
    }
    const size_t size = this->waiting.size();
    this->chunks->append_chunk(std::move(this->waiting));
    this->waiting.clear();
    this->Flush(size);
  }

  // A write that failed has ended the connection: these bytes are never written
  // and don't count any longer.
  void DropWaiting()
  {
    this->unwritten -= this->waiting.size();
    this->waiting.clear();
  }

  void Flush(size_t aBytes)
  {
    this->isWriting = true;
    this->chunks->flush(
      [self = this->weak_from_this(), aBytes](const auto& aError) {
        if (auto reply = self.lock()) {
          reply->Written(aBytes, static_cast<bool>(aError));
        }
      });
  }

  void Written(size_t aBytes, bool aFailed)
  {
    this->isWriting = false;
    this->unwritten -= aBytes;
    if (aFailed) {
      this->DropWaiting();
    } else if (this->chunks) {
      // None after End.
      this->WriteWaiting();
    }
    if (this->breakWhenWritten && (this->unwritten == 0 || aFailed)) {
      const auto keep = std::move(this->breakWhenWritten);
      this->BreakNow();
      return;
    }
    if (this->unwritten == 0 && this->onDrained) {
      this->onDrained();
    }
  }

  void BreakNow()
  {
    --this->state->busy;
    this->watch->Break();
    // RESTinio closes the connection when a write to it fails.
    if (!this->chunks) {
      this->chunks = std::make_unique<ChunkBuilder>(
        this->request->create_response<restinio::chunked_output_t>(
          EventStatusLine(kUnanswered)));
    }
    this->chunks->append_chunk(std::string(" "));
    this->chunks->flush();
    this->chunks.reset();
  }

  template<typename Builder>
  void AddHeaders(Builder& aBuilder, const HttpHeaders& aHeaders)
  {
    for (const auto& header : aHeaders) {
      // A response keeps its place and length whatever an endpoint sent.
      if (IsSoundHeader(header.first, header.second) &&
          !IsFramingHeader(header.first)) {
        aBuilder.append_header(header.first, header.second);
      }
    }
    const bool keep = this->request->header().should_keep_alive() &&
                      !this->state->closing && !this->closeAfter;
    if (keep) {
      aBuilder.connection_keep_alive();
    } else {
      aBuilder.connection_close();
    }
  }

  restinio::request_handle_t request;
  std::shared_ptr<ConnectionWatch> watch;
  std::shared_ptr<ServerState> state;
  // What the request counts; null if that is nothing.
  std::shared_ptr<HeldBytes> requestBytes;
  std::unique_ptr<ChunkBuilder> chunks;
  // In place of `chunks`, if the client can't take any.
  std::unique_ptr<GatheredStream> gathered;
  std::function<void()> onDrained;
  // Keeps the reply until what was handed over has been written.
  std::shared_ptr<LoopReply> breakWhenWritten;
  size_t unwritten = 0;
  // The part of them that waits for the write that is under way.
  std::string waiting;
  bool isWriting = false;
  bool closeAfter = false;
  bool ended = false;
};

// The parser lets names with blanks and folded values pass, which others read
// in another way.
bool
HasSoundHeaders(const restinio::request_handle_t& aRequest)
{
  bool sound = true;
  aRequest->header().for_each_field([&sound](const auto& aField) {
    sound = sound && IsSoundHeader(aField.name(), aField.value());
  });
  return sound;
}

EventRequest
ToEventRequest(const restinio::request_handle_t& aRequest)
{
  EventRequest request;
  request.method = aRequest->header().method().c_str();
  request.target = aRequest->header().request_target();
  aRequest->header().for_each_field([&request](const auto& aField) {
    request.headers.emplace_back(aField.name(), aField.value());
  });
  request.body = aRequest->body();
  return request;
}

void
HandOn(const EventHandler& aHandler,
       EventRequest aRequest,
       const std::shared_ptr<LoopReply>& aReply)
{
  try {
    aHandler(std::move(aRequest), aReply);
  } catch (const std::exception& error) {
    LogWarn("handler_failed", { { "detail", error.what() } });
    aReply->Break();
  }
}

} // namespace

struct EventServer::Impl
{
  using Server = restinio::http_server_t<EventTraits>;

  restinio::asio_ns::io_context& io;
  EventServerSettings settings;
  // Shared with requests that wait for their turn on the loop.
  std::shared_ptr<const EventHandler> handler;
  std::shared_ptr<ServerState> state = std::make_shared<ServerState>();
  std::unique_ptr<Server> server;

  Impl(restinio::asio_ns::io_context& aIo,
       EventServerSettings aSettings,
       EventHandler aHandler)
    : io(aIo)
    , settings(std::move(aSettings))
    , handler(std::make_shared<const EventHandler>(std::move(aHandler)))
  {
    this->state->gatheredBytes =
      this->settings.heldMemory
        ? this->settings.heldMemory->Budget()
        : std::make_shared<ByteBudget>(this->settings.maxGatheredBytes);
    this->state->heldMemory = this->settings.heldMemory;
  }

  restinio::request_handling_status_t Handle(
    const restinio::request_handle_t& aRequest)
  {
    GuardedSocket* socket = ThisIoThread().socket;
    ThisIoThread().requestTaken = true;
    if (socket == nullptr) {
      return restinio::request_rejected();
    }
    auto reply = std::make_shared<LoopReply>(aRequest, *socket, this->state);
    if (!HasSoundHeaders(aRequest)) {
      reply->CloseAfterAnswer();
      reply->Send(kBadRequest, {}, "");
      return restinio::request_accepted();
    }
    // RESTinio must not see an answer before this function returns: it would
    // read the connection's next request twice, here and once the answer has
    // been written.
    restinio::asio_ns::post(
      this->io,
      [weak = std::weak_ptr<const EventHandler>(this->handler),
       request = ToEventRequest(aRequest),
       reply]() mutable {
        if (const auto handler = weak.lock()) {
          HandOn(*handler, std::move(request), reply);
        }
      });
    return restinio::request_accepted();
  }

  restinio::server_settings_t<EventTraits> Options()
  {
    using Limits = restinio::incoming_http_msg_limits_t;
    restinio::server_settings_t<EventTraits> options;
    options.address(this->settings.address)
      .port(this->settings.port)
      .read_next_http_message_timelimit(this->settings.readTimeout)
      .write_http_response_timelimit(kWriteTimeout)
      .handle_request_timeout(kHandleTimeout)
      .max_pipelined_requests(kMaxPipelined)
      .incoming_http_msg_limits(Limits{}
                                  .max_url_size(kMaxUrlBytes)
                                  .max_field_name_size(kMaxHeaderNameBytes)
                                  .max_field_value_size(kMaxHeaderValueBytes)
                                  .max_field_count(kMaxHeaderCount)
                                  .max_body_size(this->settings.maxBodyBytes))
      .acceptor_options_setter([](auto& aOptions) {
        aOptions.set_option(
          restinio::asio_ns::ip::tcp::acceptor::reuse_address(true));
      })
      .socket_options_setter([](auto& aOptions) {
        aOptions.set_option(restinio::asio_ns::ip::tcp::no_delay(true));
      })
      .request_handler([this](restinio::request_handle_t aRequest) {
        return this->Handle(aRequest);
      });
    return options;
  }
};

EventServer::EventServer(restinio::asio_ns::io_context& aIo,
                         EventServerSettings aSettings,
                         EventHandler aHandler)
  : impl(std::make_unique<Impl>(aIo, std::move(aSettings), std::move(aHandler)))
{
}

EventServer::~EventServer()
{
  IoThreadNotes& notes = ThisIoThread();
  if (notes.memory == this->impl->settings.heldMemory) {
    notes.memory.reset();
  }
}

void
EventServer::Open()
{
  Impl& self = *this->impl;
  ThisIoThread().answer = &self.settings.faultAnswer;
  ThisIoThread().memory = self.settings.heldMemory;
  self.server = std::make_unique<Impl::Server>(
    restinio::external_io_context(self.io), self.Options());
  const std::string address =
    self.settings.address + ":" + std::to_string(self.settings.port);
  // RESTinio's callbacks must not throw; what the loop runs may.
  self.server->open_async(
    [] {},
    [&io = self.io, address](std::exception_ptr aError) {
      restinio::asio_ns::post(io, [address, error = std::move(aError)] {
        try {
          std::rethrow_exception(error);
        } catch (const std::exception& caught) {
          throw std::runtime_error("can't listen on " + address + ": " +
                                   caught.what());
        }
      });
    });
}

void
EventServer::StopAccepting()
{
  if (this->impl->server) {
    this->impl->server->close_async([] {}, [](const std::exception_ptr&) {});
  }
}

void
EventServer::CloseAfterAnswers()
{
  this->impl->state->closing = true;
}

size_t
EventServer::Busy() const
{
  return this->impl->state->busy;
}

} // namespace tanagerseam
