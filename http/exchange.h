// One request and its response, as libcurl carries them out. Private to this
// library.
//
//   Exchange exchange;
//   exchange.call = ...;
//   exchange.easy = easy;
//   exchange.sockets = &sockets;
//   ConfigureExchange(exchange, maxIdleSeconds);
//   // libcurl performs the transfer and calls the handlers
//   EventError error = ErrorOf(code, exchange);
//
// The callbacks registered with libcurl hold a pointer to the exchange, which
// must stay in its place until the transfer ends.
#ifndef TANAGERSEAM_HTTP_EXCHANGE_H_
#define TANAGERSEAM_HTTP_EXCHANGE_H_

#include <curl/curl.h>

#include <optional>

#include "http/curl_sockets.h"
#include "http/event_client.h"
#include "http/response_head.h"
#include "http/response_limits.h"
#include "http/unframed_body.h"

namespace tanagerseam {

// One exchange. Lives from Start to its end or Cancel.
struct Exchange
{
  uint64_t id = 0;
  CURL* easy = nullptr;
  curl_slist* headers = nullptr;
  EventCall call;
  EventHandlers handlers;
  ResponseHead head;
  BodyFraming framing = BodyFraming::kUnknown;
  ResponseLimits limits;
  // Set while a body comes that ends with its connection, of a server whose
  // responses can be told from text.
  std::optional<UnframedBody> unframedBody;
  // Such a body held the head of another response.
  bool bodyHoldsHead = false;
  // The connection that carries the request.
  curl_socket_t socket = CURL_SOCKET_BAD;
  int timesSent = 0;
  CurlSockets* sockets = nullptr;
  ConnectionUse connectionUse;
  // The kept connection that libcurl chose had something to read or had ended,
  // so the request was not sent; it is to be started again.
  bool mustStartAgain = false;
  // It was started again: no kept connection is tried any more.
  bool keptConnectionFailed = false;
  bool foundStrayBytes = false;
  // Reading is to be paused; applied once libcurl may be called.
  bool pauseWanted = false;
  // Its handlers are not called any more.
  bool cancelled = false;
  bool foreign = false;
  bool malformedHead = false;
  bool rejected = false;
  bool headersTold = false;
  char errorText[CURL_ERROR_SIZE] = {};
};

// Sets all options of the transfer.
void
ConfigureExchange(Exchange& aExchange, int aMaxIdleSeconds);

// True if the body holds the head of another response, or ends within one.
bool
HoldsAnotherHead(const Exchange& aExchange);

// The result of a transfer that libcurl ended with aCode.
EventError
ErrorOf(CURLcode aCode, const Exchange& aExchange);

// Why such a transfer gave no whole response, for logs.
std::string
DetailOf(CURLcode aCode, const Exchange& aExchange);

} // namespace tanagerseam

#endif // TANAGERSEAM_HTTP_EXCHANGE_H_
