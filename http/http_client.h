// HTTP/1.1 client over libcurl, blocking.
//
// Idle connections are kept in easy handles that a pool hands out, one for
// each call under way. A kept connection that has anything to read before a
// request, or has ended, is not used: the request goes to a new one. A failure
// says whether the request can have reached the server: `sent` is false only if
// no connection came about. No request is sent twice: if a kept connection ends
// before a response, the call fails with `sent`, and the caller decides. A call
// with `freshConnection` has a connection of its own, closed afterwards.
//
// A response ends its call with a failure once its header lines exceed 64 KiB
// together, its body exceeds the call's maxAnswerBytes, the bodies that are
// being received exceed the client's limit together, or it consists of chunk
// framing for the most part.
#ifndef TANAGERSEAM_HTTP_HTTP_CLIENT_H_
#define TANAGERSEAM_HTTP_HTTP_CLIENT_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include "http/http_message.h"
#include "kernel/kernel.h"

namespace tanagerseam {

struct HttpCall
{
  std::string method = "GET";
  std::string url;
  HttpHeaders headers;
  std::string body;
  Millis connectTimeout{ 1000 };
  // For the whole exchange; 0 means none.
  Millis timeout{ 30000 };
  // Longest silence of the server before the call fails; 0 means none.
  Millis idleTimeout{ 0 };
  bool freshConnection = false;
  // The answer's body may not be larger.
  size_t maxAnswerBytes = 64u << 20;
  // If set: called once with status and headers, before the first piece of the
  // body and while the answer goes on. False cancels the call.
  std::function<bool(int, const HttpHeaders&)> onHeaders;
  // If set: called with each piece of a 2xx body, which is then not collected.
  // False cancels the call.
  std::function<bool(std::string_view)> onData;
  // If set: polled several times a second; true cancels the call.
  std::function<bool()> cancelled;
};

struct HttpAnswer
{
  int status = 0;
  HttpHeaders headers;
  std::string body;
};

enum class TransportError
{
  kNotConnected,
  kTimeout,
  kBroken,
  kCancelled,
};

struct TransportFailure
{
  TransportError error = TransportError::kBroken;
  // False: the server has certainly not seen the request.
  bool sent = true;
  std::string detail;
};

using HttpOutcome = std::variant<HttpAnswer, TransportFailure>;

class HttpClient
{
public:
  static constexpr size_t kMaxReceivedBytes = 64u << 20;

  // aMaxReceivedBytes: of all bodies that are being received.
  explicit HttpClient(size_t aMaxReceivedBytes = kMaxReceivedBytes);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Blocks until the answer is whole, failed or cancelled. Thread-safe.
  HttpOutcome Perform(const HttpCall& aCall);

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_HTTP_HTTP_CLIENT_H_
