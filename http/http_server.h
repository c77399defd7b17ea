// HTTP/1.1 server over RESTinio.
//
// RESTinio's own threads parse requests and never block: each whole request is
// handed to a worker pool. When the pool is full the request is answered 503
// at once by `overloaded`. Memory per connection is bounded by the limits of
// HttpServerSettings. What never becomes a whole request (malformed, too large,
// not whole within readTimeout) is answered by `faultAnswer` and closed;
// without it the connection is just closed, and so is one that idles.
#ifndef TANAGERSEAM_HTTP_HTTP_SERVER_H_
#define TANAGERSEAM_HTTP_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "http/http_message.h"
#include "http/input_fault.h"
#include "kernel/kernel.h"

namespace tanagerseam {

struct HttpRequest
{
  std::string method;
  std::string path;
  std::string query;
  HttpHeaders headers;
  std::string body;
};

// The answer to one request. Methods may be called from any thread, but only
// by one thread at a time. Exactly one of Send or Begin..End must be used.
class HttpReply
{
public:
  virtual ~HttpReply() = default;
  // A whole answer.
  virtual void Send(int aStatus,
                    const HttpHeaders& aHeaders,
                    std::string aBody) = 0;
  // A streamed answer with chunked encoding.
  virtual void Begin(int aStatus, const HttpHeaders& aHeaders) = 0;
  // False once the caller is known to have gone.
  virtual bool Write(std::string aChunk) = 0;
  virtual void End() = 0;
  // True once a write failed because the caller had gone.
  virtual bool Gone() const = 0;
};

using HttpHandler =
  std::function<void(const HttpRequest&, std::shared_ptr<HttpReply>)>;

struct HttpServerSettings
{
  std::string address = "127.0.0.1";
  uint16_t port = 0;
  // RESTinio's own threads; they parse and write only.
  size_t ioThreads = 2;
  size_t maxWorkers = 256;
  size_t maxQueued = 1024;
  size_t maxConnections = 4096;
  // Larger bodies up to kOverrun times this reach the handler, so that it can
  // answer clearly; beyond that the connection is closed.
  size_t maxBodyBytes = 8u << 20;
  // Time for a whole request to arrive, also while a connection is idle.
  Millis readTimeout{ 15000 };
  // Time for a handler to begin its answer.
  Millis handleTimeout{ 3600000 };
  // The answer to a request when all workers are busy.
  std::function<void(HttpReply&)> overloaded;
  // The answer to input that never became a request.
  FaultAnswer faultAnswer;
};

class HttpServer
{
public:
  HttpServer(HttpServerSettings aSettings, HttpHandler aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Listens. Throws std::exception if the address is taken.
  void Start();
  // Closes each connection after its next answer from now on, so that callers
  // on kept connections move away. New connections are still served.
  void CloseAfterAnswers();
  // Takes no new connections; those that are open go on.
  void StopAccepting();
  // Open connections. One that stays idle is closed after readTimeout.
  size_t Connections() const;
  // Lets the handlers that run finish, flushes their answers, then closes all.
  void Stop();
  // Requests that are being handled.
  size_t Busy() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_HTTP_HTTP_SERVER_H_
