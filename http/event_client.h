// HTTP/1.1 client over libcurl's multi interface, driven by one Asio loop.
//
//   EventClient client(io, EventClientSettings{});
//   EventCall call;
//   call.url = "http://127.0.0.1:8080";
//   call.target = "/reports/7";
//   EventHandlers handlers;
//   handlers.onDone = [](const EventOutcome& aOutcome) { ... };
//   EventClient::CallId id = client.Start(call, handlers);
//   client.Cancel(id);
//
// All methods are called on the loop's thread, and so are all handlers; none is
// called before Start has returned, and none after Cancel.
//
// Invariant: a request is written at most once. libcurl sends a request again
// by itself when a kept connection turns out to be closed; its callback before
// each request refuses the second one, and the outcome says that the first may
// have reached the server.
//
// Invariant: a kept connection with anything to read before a request is sent
// on it is not used: its bytes belong to no request. The request goes out on a
// new one.
//
// Invariant: if the call names a correlation header, its response repeats the
// header's value. The header may be missing only from a failure that is the
// first response of its connection, or if the request has none; such a request
// goes out on a connection of its own. Any other response ends the connection
// and is not handed on.
//
// Invariant: a success bears the header that the call names for it; one without
// is not the server's and ends the connection like a response to another call.
//
// Invariant: a body that ends with its connection and holds the head of another
// response, with one of the headers that the call names, ends the exchange: it
// is two responses, of which the first may or may not be whole.
//
// Invariant: a response ends the exchange, and its connection, once its header
// lines exceed 64 KiB together, its body exceeds the call's maxAnswerBytes, or
// it consists of chunk framing for the most part.
//
// Cost: one easy handle for each call under way, kept for later calls.
#ifndef TANAGERSEAM_HTTP_EVENT_CLIENT_H_
#define TANAGERSEAM_HTTP_EVENT_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <restinio/asio_include.hpp>

#include "http/body_framing.h"
#include "http/http_message.h"
#include "kernel/kernel.h"

namespace tanagerseam {

struct EventClientSettings
{
  // Connections kept open while no call uses them.
  int maxIdleConnections = 512;
  // A connection that idled longer is not used again, in whole seconds.
  int maxIdleSeconds = 1;
  // Unacknowledged data older than this breaks the connection.
  Millis userTimeout{ 2000 };
};

struct EventCall
{
  std::string method = "GET";
  // Scheme and authority: "http://10.0.0.1:8080".
  std::string url;
  // The request target as it goes on the wire.
  std::string target;
  HttpHeaders headers;
  // Name of the request's header whose value the response repeats; empty if
  // servers repeat none.
  std::string correlationHeader;
  // Name of a header that every successful response bears; empty if there is
  // none.
  std::string successHeader;
  std::string body;
  Millis connectTimeout{ 1000 };
  // For the whole exchange.
  Millis timeout{ 30000 };
  // The request goes out on a new connection that carries nothing else, so that
  // no earlier response can come on it and no idle one can break.
  bool ownConnection = false;
  // The answer's body may not be larger.
  size_t maxAnswerBytes = 8u << 20;
};

enum class EventError
{
  kNone,
  // No connection came about: the server has not seen the request.
  kNotConnected,
  kTimeout,
  // The connection broke, or the bytes are no HTTP answer.
  kBroken,
  // A kept connection was closed by the server as the request was written.
  kStaleConnection,
  // The response belongs to another request, is no response of the server, or
  // goes on into another response.
  kForeignResponse,
  // The head or the body exceeded its limit.
  kTooLarge,
  // A handler turned the answer down.
  kRejected,
};

// The name of an error, for logs and metrics.
std::string_view
NameOf(EventError aError);

// The connection that carried a request, for logs.
struct ConnectionUse
{
  // Counts the client's connections from 1; 0: the request was never sent.
  uint64_t connection = 0;
  // Requests that the connection had carried before this one.
  int earlierRequests = 0;
  // Time since the connection was opened.
  Millis age{ 0 };
  // A kept connection held bytes that nobody had asked for, so the request went
  // out on this one.
  bool foundStrayBytes = false;
};

LogFields
LogFieldsOf(const ConnectionUse& aUse);

// What came back, for logs.
struct ResponseBody
{
  BodyFraming framing = BodyFraming::kUnknown;
  size_t bytes = 0;
  // It ended with its connection and held the head of another response, or the
  // beginning of one.
  bool holdsHead = false;
};

struct EventOutcome
{
  EventError error = EventError::kNone;
  // 0 if no whole header came.
  int status = 0;
  // False: the server has certainly not seen the request.
  bool sent = true;
  // The last connection attempt was refused: nothing listens there.
  bool refusedConnection = false;
  ConnectionUse connectionUse;
  ResponseBody body;
  std::string detail;
};

// The connection and the body, for logs.
LogFields
LogFieldsOf(const EventOutcome& aOutcome);

struct EventHandlers
{
  // Status and headers, once. False breaks the exchange off.
  std::function<bool(int, const HttpHeaders&)> onHeaders;
  // Each piece of the body as it comes. False breaks the exchange off.
  std::function<bool(std::string_view)> onData;
  // The end of the exchange, once.
  std::function<void(const EventOutcome&)> onDone;
};

class EventClient
{
public:
  using CallId = uint64_t;

  EventClient(restinio::asio_ns::io_context& aIo,
              EventClientSettings aSettings);
  ~EventClient();
  EventClient(const EventClient&) = delete;
  EventClient& operator=(const EventClient&) = delete;

  CallId Start(EventCall aCall, EventHandlers aHandlers);
  // Ends the exchange and its connection. Unknown numbers are ignored.
  void Cancel(CallId aId);
  // Stops or resumes reading the answer, while its receiver is slow.
  void Pause(CallId aId, bool aPaused);
  size_t UnderWay() const;

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_HTTP_EVENT_CLIENT_H_
