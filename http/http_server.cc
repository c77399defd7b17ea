#include "http/http_server.h"

#include <atomic>
#include <mutex>
#include <set>
#include <thread>

#include "http/guarded_socket.h"
#include "kernel/log.h"

namespace tanagerseam {

namespace {

constexpr size_t kOverrun = 2;
constexpr size_t kMaxUrlBytes = 16u << 10;
constexpr size_t kMaxHeaderNameBytes = 1u << 10;
constexpr size_t kMaxHeaderValueBytes = 16u << 10;
constexpr size_t kMaxHeaderCount = 100;
// RESTinio reads the next request of a connection only once the one before is
// answered; what a caller sends ahead waits in the kernel. GuardedSocket's
// invariant rests on this.
constexpr size_t kMaxPipelined = 1;
constexpr int kInternalServerError = 500;
constexpr int kServiceUnavailable = 503;
// Chunks handed to RESTinio and not yet written, before Write blocks.
constexpr size_t kMaxUnwritten = 64;
constexpr Millis kWriteTimeout(30000);

// Knows the open connections, by number: RESTinio may say twice that one
// closed. It gives the name of the function.
class ConnectionCounter
{
public:
  // NOLINTNEXTLINE(readability-identifier-naming)
  void state_changed(
    const restinio::connection_state::notice_t& aNotice) noexcept
  {
    using restinio::connection_state::accepted_t;
    using restinio::connection_state::closed_t;
    const auto cause = aNotice.cause();
    std::lock_guard<std::mutex> lock(this->mutex);
    if (restinio::holds_alternative<accepted_t>(cause)) {
      this->open.insert(aNotice.connection_id());
    } else if (restinio::holds_alternative<closed_t>(cause)) {
      this->open.erase(aNotice.connection_id());
    }
  }
  size_t Open() const
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->open.size();
  }

private:
  mutable std::mutex mutex;
  std::set<restinio::connection_id_t> open;
};

// RESTinio gives these names.
// NOLINTBEGIN(readability-identifier-naming)
struct ServerTraits : public restinio::default_traits_t
{
  using connection_count_limiter_t =
    restinio::connection_count_limits::connection_count_limiter_t<
      restinio::default_strand_t>;
  using connection_state_listener_t = ConnectionCounter;
  using logger_t = FaultLogger;
  using stream_socket_t = GuardedSocket;
  using http_methods_mapper_t = restinio::default_http_methods_t;
  static constexpr bool use_connection_count_limiter = true;
};
// NOLINTEND(readability-identifier-naming)

using RequestHandle = restinio::request_handle_t;
using WholeBuilder =
  restinio::response_builder_t<restinio::restinio_controlled_output_t>;
using ChunkBuilder = restinio::response_builder_t<restinio::chunked_output_t>;

restinio::http_status_line_t
StatusLine(int aStatus)
{
  return restinio::http_status_line_t(
    restinio::http_status_code_t(static_cast<uint16_t>(aStatus)),
    aStatus < 400 ? "OK" : "Refused");
}

template<typename Builder>
void
AppendHeaders(Builder& aBuilder, const HttpHeaders& aHeaders)
{
  for (const auto& header : aHeaders) {
    aBuilder.append_header(header.first, header.second);
  }
}

// Counts chunks that RESTinio has not written yet, so that a caller that reads
// slowly slows its own stream and memory stays bounded.
struct WriteWindow
{
  std::mutex mutex;
  std::condition_variable changed;
  size_t unwritten = 0;
  bool gone = false;

  bool Enter()
  {
    std::unique_lock<std::mutex> lock(this->mutex);
    const bool room = this->changed.wait_for(lock, kWriteTimeout, [this] {
      return this->gone || this->unwritten < kMaxUnwritten;
    });
    if (!room || this->gone) {
      this->gone = true;
      return false;
    }
    ++this->unwritten;
    return true;
  }

  void Leave(bool aFailed)
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    --this->unwritten;
    this->gone = this->gone || aFailed;
    this->changed.notify_all();
  }
};

class RestinioReply : public HttpReply
{
public:
  RestinioReply(RequestHandle aRequest, const std::atomic<bool>& aClosing)
    : request(std::move(aRequest))
    , closing(aClosing)
    , window(std::make_shared<WriteWindow>())
  {
  }

  void Send(int aStatus,
            const HttpHeaders& aHeaders,
            std::string aBody) override
  {
    this->begun = true;
    WholeBuilder builder = this->request->create_response(StatusLine(aStatus));
    AppendHeaders(builder, aHeaders);
    this->ChooseConnection(builder);
    // An answer to HEAD has no body; a client would take it for the next
    // answer.
    if (this->request->header().method() != restinio::http_method_head()) {
      builder.set_body(std::move(aBody));
    }
    builder.done();
  }

  void Begin(int aStatus, const HttpHeaders& aHeaders) override
  {
    this->begun = true;
    if (this->SpeaksHttp10()) {
      this->whole = WholeAnswer{ aStatus, aHeaders, "" };
      return;
    }
    this->chunks = std::make_unique<ChunkBuilder>(
      this->request->create_response<restinio::chunked_output_t>(
        StatusLine(aStatus)));
    AppendHeaders(*this->chunks, aHeaders);
    this->ChooseConnection(*this->chunks);
    this->chunks->flush();
  }

  bool Write(std::string aChunk) override
  {
    if (this->whole) {
      this->whole->body += aChunk;
      return true;
    }
    if (!this->window->Enter()) {
      return false;
    }
    this->chunks->append_chunk(std::move(aChunk));
    this->chunks->flush([window = this->window](const auto& aError) {
      window->Leave(static_cast<bool>(aError));
    });
    return true;
  }

  void End() override
  {
    if (this->whole) {
      WholeAnswer answer = std::move(*this->whole);
      this->whole.reset();
      this->Send(answer.status, answer.headers, std::move(answer.body));
      return;
    }
    this->chunks->done();
    this->chunks.reset();
  }

  // Whether an answer was begun or sent.
  bool Begun() const { return this->begun; }

  bool Gone() const override
  {
    std::lock_guard<std::mutex> lock(this->window->mutex);
    return this->window->gone;
  }

private:
  // A streamed answer for HTTP/1.0, which has no chunked encoding.
  struct WholeAnswer
  {
    int status = 0;
    HttpHeaders headers;
    std::string body;
  };

  // RESTinio does not tell the version. Without a Connection header only an
  // HTTP/1.0 connection ends after its answer; with one the versions look alike
  // and the answer is chunked.
  bool SpeaksHttp10() const
  {
    const auto& header = this->request->header();
    return !header.should_keep_alive() && !header.has_field("Connection");
  }

  // RESTinio stops reading after a request that asks for another protocol.
  bool AsksForUpgrade() const
  {
    const auto& header = this->request->header();
    return header.has_field("Upgrade") ||
           header.method() == restinio::http_method_connect();
  }

  template<typename Builder>
  void ChooseConnection(Builder& aBuilder)
  {
    const bool keep = this->request->header().should_keep_alive() &&
                      !this->closing && !this->AsksForUpgrade();
    if (!keep) {
      aBuilder.connection_close();
    } else {
      aBuilder.connection_keep_alive();
    }
  }

  RequestHandle request;
  const std::atomic<bool>& closing;
  std::unique_ptr<ChunkBuilder> chunks;
  std::optional<WholeAnswer> whole;
  std::shared_ptr<WriteWindow> window;
  bool begun = false;
};

HttpRequest
ToRequest(const RequestHandle& aRequest)
{
  HttpRequest request;
  request.method = aRequest->header().method().c_str();
  const auto path = aRequest->header().path();
  const auto query = aRequest->header().query();
  request.path.assign(path.data(), path.size());
  request.query.assign(query.data(), query.size());
  aRequest->header().for_each_field([&request](const auto& aField) {
    request.headers.emplace_back(aField.name(), aField.value());
  });
  request.body = aRequest->body();
  return request;
}

} // namespace

struct HttpServer::Impl
{
  using Server = restinio::http_server_t<ServerTraits>;

  HttpServerSettings settings;
  HttpHandler handler;
  std::atomic<bool> closing{ false };
  std::shared_ptr<ConnectionCounter> connections =
    std::make_shared<ConnectionCounter>();
  WorkerPool pool;
  restinio::asio_ns::io_context io;
  std::unique_ptr<Server> server;
  std::vector<std::thread> threads;

  Impl(HttpServerSettings aSettings, HttpHandler aHandler)
    : settings(std::move(aSettings))
    , handler(std::move(aHandler))
    , pool(this->settings.maxWorkers, this->settings.maxQueued)
  {
  }

  restinio::request_handling_status_t Handle(const RequestHandle& aRequest)
  {
    ThisIoThread().requestTaken = true;
    auto reply = std::make_shared<RestinioReply>(aRequest, this->closing);
    const bool taken = this->pool.Post([this, aRequest, reply] {
      this->RunHandler(ToRequest(aRequest), reply);
    });
    if (!taken) {
      // RESTinio must not see an answer before this function returns: it would
      // read the connection's next request twice.
      restinio::asio_ns::post(this->io,
                              [this, reply] { this->Refuse(*reply); });
    }
    return restinio::request_accepted();
  }

  void Refuse(RestinioReply& aReply) const
  {
    if (this->settings.overloaded) {
      this->settings.overloaded(aReply);
    } else {
      aReply.Send(kServiceUnavailable, {}, "");
    }
  }

  // The edge that no exception of a handler passes: it would end the process.
  void RunHandler(const HttpRequest& aRequest,
                  const std::shared_ptr<RestinioReply>& aReply)
  {
    try {
      this->handler(aRequest, aReply);
    } catch (const std::exception& error) {
      LogError("handler_failed", { { "error", error.what() } });
      if (!aReply->Begun()) {
        aReply->Send(kInternalServerError, {}, "");
      }
    }
  }

  restinio::server_settings_t<ServerTraits> Options()
  {
    using Limits = restinio::incoming_http_msg_limits_t;
    restinio::server_settings_t<ServerTraits> options;
    options.address(this->settings.address)
      .port(this->settings.port)
      .read_next_http_message_timelimit(this->settings.readTimeout)
      .write_http_response_timelimit(kWriteTimeout)
      .handle_request_timeout(this->settings.handleTimeout)
      .max_pipelined_requests(kMaxPipelined)
      .max_parallel_connections(this->settings.maxConnections)
      .concurrent_accepts_count(2)
      .connection_state_listener(this->connections)
      .incoming_http_msg_limits(
        Limits{}
          .max_url_size(kMaxUrlBytes)
          .max_field_name_size(kMaxHeaderNameBytes)
          .max_field_value_size(kMaxHeaderValueBytes)
          .max_field_count(kMaxHeaderCount)
          .max_body_size(this->settings.maxBodyBytes * kOverrun))
      .acceptor_options_setter([](auto& aOptions) {
        aOptions.set_option(
          restinio::asio_ns::ip::tcp::acceptor::reuse_address(true));
      })
      .request_handler(
        [this](RequestHandle aRequest) { return this->Handle(aRequest); });
    return options;
  }
};

HttpServer::HttpServer(HttpServerSettings aSettings, HttpHandler aHandler)
  : impl(std::make_unique<Impl>(std::move(aSettings), std::move(aHandler)))
{
}

HttpServer::~HttpServer()
{
  this->Stop();
}

void
HttpServer::Start()
{
  Impl& self = *this->impl;
  self.server = std::make_unique<Impl::Server>(
    restinio::external_io_context(self.io), self.Options());
  for (size_t i = 0; i < self.settings.ioThreads; ++i) {
    self.threads.emplace_back([&self] {
      ThisIoThread().answer = &self.settings.faultAnswer;
      auto guard = restinio::asio_ns::make_work_guard(self.io);
      self.io.run();
    });
  }
  self.server->open_sync();
}

void
HttpServer::CloseAfterAnswers()
{
  this->impl->closing = true;
}

void
HttpServer::StopAccepting()
{
  if (this->impl->server) {
    this->impl->server->close_sync();
  }
}

size_t
HttpServer::Connections() const
{
  return this->impl->connections->Open();
}

void
HttpServer::Stop()
{
  Impl& self = *this->impl;
  if (!self.server) {
    return;
  }
  self.closing = true;
  self.pool.Stop();
  // Answers handed over by the last handlers are written by the I/O threads.
  std::this_thread::sleep_for(Millis(100));
  self.server->close_sync();
  self.io.stop();
  for (std::thread& thread : self.threads) {
    thread.join();
  }
  self.threads.clear();
  self.server.reset();
}

size_t
HttpServer::Busy() const
{
  return this->impl->pool.Busy();
}

} // namespace tanagerseam
