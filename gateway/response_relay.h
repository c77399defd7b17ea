// Relays the response of an endpoint or a peer to the client. Private to this
// library.
//
//   RelayHandlers handlers;
//   handlers.onDone = [](const EventOutcome& aOutcome) { ... };
//   auto relay = std::make_shared<ResponseRelay>(client, dialect, reply);
//   relay->Start(std::move(call), std::move(handlers));
//
// One relay carries one exchange. The head of a successful event stream and its
// pieces go to the client as they arrive, unless the endpoint says that it did
// not execute the call; any other response is kept until SendWhole. How a
// stream ends is up to the owner: the relay neither ends nor breaks off the
// reply. The client owns the handlers until the exchange ends, so they may hold
// references to the owner.
//
// An event stream that ends within an event is a failure, however its end was
// framed. So is one whose only end is that of its connection, if no event came,
// and one whose event ids do not increase; see EventOrder.
//
// Memory: the relays of a host share one budget. A response that it has no room
// for is a failure; reading pauses while more than kMaxUnsentBytes, or more
// than the budget allows, wait to be sent to the client.
#ifndef TANAGERSEAM_GATEWAY_RESPONSE_RELAY_H_
#define TANAGERSEAM_GATEWAY_RESPONSE_RELAY_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "call/call.h"
#include "endpoint/sse_parser.h"
#include "gateway/event_order.h"
#include "http/byte_budget.h"

namespace tanagerseam {

// Each may be empty; none is called after Cancel.
struct RelayHandlers
{
  // The head of the response, before anything is sent to the client. May change
  // the headers that are sent.
  std::function<void(EndpointResponseHead&)> onHead;
  // The number and the data of an event, before its end is sent to the client.
  // The number is unset if the endpoint gave none. False ends the exchange:
  // there is no room for it.
  std::function<bool(std::optional<uint64_t>, std::string_view)> onEvent;
  // The end of the exchange, once.
  std::function<void(const EventOutcome&)> onDone;
};

struct RelayFailure
{
  EventError error = EventError::kNone;
  const char* detail = "";
};

class ResponseRelay : public std::enable_shared_from_this<ResponseRelay>
{
public:
  ResponseRelay(EventClient& aClient,
                const Dialect& aDialect,
                std::shared_ptr<EventReply> aReply,
                const std::shared_ptr<ByteBudget>& aMemory);
  ResponseRelay(const ResponseRelay&) = delete;
  ResponseRelay& operator=(const ResponseRelay&) = delete;

  void Start(EventCall aCall, RelayHandlers aHandlers);
  // Called before Start: the client has the events up to aLastEventId.
  void ResumeAfter(uint64_t aLastEventId);
  // Ends the exchange and its connection.
  void Cancel();
  // Sends a response that is no event stream to the client.
  void SendWhole();

  // Empty until the head has arrived.
  const EndpointResponseHead& Head() const { return this->head; }
  // The head of an event stream has been sent to the client.
  bool IsStreaming() const { return this->streaming; }
  // A part of an event has come, and its end has not.
  bool IsWithinEvent() const { return !this->parser.BetweenEvents(); }
  // The exchange ended because an event was longer than SseParser allows.
  bool EventTooLong() const { return this->parser.TooLong(); }

private:
  void OnHeaders(const RelayHandlers& aHandlers,
                 int aStatus,
                 const HttpHeaders& aHeaders);
  void BeginStream();
  // False ends the exchange.
  bool OnData(const RelayHandlers& aHandlers, std::string_view aPiece);
  bool ParseEvents(const RelayHandlers& aHandlers, std::string_view aPiece);
  bool TakeEvent(const RelayHandlers& aHandlers, std::string_view aData);
  // Keeps the cause for OnDone; returns false.
  bool Fail(EventError aError, const char* aDetail);
  // Makes a stream that is not whole a failure.
  void CheckStreamEnd(EventOutcome& aOutcome) const;
  void SendPiece(std::string_view aPiece);
  void OnDone(const RelayHandlers& aHandlers, const EventOutcome& aOutcome);
  void ResumeReading();

  EventClient& client;
  const Dialect& dialect;
  std::shared_ptr<EventReply> reply;
  EventClient::CallId exchange = 0;
  EndpointResponseHead head;
  GatheredBody body;
  SseParser parser;
  size_t events = 0;
  ByteShare partialEvent;
  ByteShare unsent;
  EventOrder eventOrder;
  // Why this relay ended the exchange; unset if it did not.
  std::optional<RelayFailure> failure;
  bool streaming = false;
  bool readPaused = false;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_GATEWAY_RESPONSE_RELAY_H_
