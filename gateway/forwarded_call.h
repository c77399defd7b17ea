// Proxies one call to a peer host of the fleet that serves it in place of this
// host. Private to this library.
//
//   auto forwarded = std::make_shared<ForwardedCall>(
//     state, call, reply, localRefusal, deadline);
//   forwarded->Start("10.0.0.2:8368");
//
// The peer does admission control and dispatch; this host only relays the
// response. It sends a response of its own in two cases: the local refusal if
// no connection to the peer was made, so that the call certainly did not
// execute, and "outcome unknown" if the exchange failed before the response
// began.
//
// The callbacks that a ForwardedCall registers keep it alive. It ends exactly
// once.
#ifndef TANAGERSEAM_GATEWAY_FORWARDED_CALL_H_
#define TANAGERSEAM_GATEWAY_FORWARDED_CALL_H_

#include <memory>
#include <string>

#include "gateway/gateway_state.h"
#include "gateway/response_relay.h"

namespace tanagerseam {

class ForwardedCall
  : public ActiveCall
  , public std::enable_shared_from_this<ForwardedCall>
{
public:
  ForwardedCall(GatewayState& aState,
                ServiceCall aCall,
                std::shared_ptr<EventReply> aReply,
                Refusal aRefusal,
                TimePoint aDeadline);
  ForwardedCall(const ForwardedCall&) = delete;
  ForwardedCall& operator=(const ForwardedCall&) = delete;

  // Sends the call to the peer at aAddress.
  void Start(const std::string& aAddress);
  void EndAtExit() override;

private:
  void OnDone(const EventOutcome& aOutcome);
  void OnClientDisconnected();
  void SendRefusal(const Refusal& aRefusal);
  void End(const char* aOutcome, const std::string& aDetail);

  GatewayState& state;
  const ActiveCallEntry activeEntry;
  ServiceCall call;
  std::shared_ptr<EventReply> reply;
  Refusal localRefusal;
  const TimePoint deadline;
  const TimePoint startedAt;
  std::shared_ptr<ResponseRelay> relay;
  EventOutcome lastExchange;
  bool ended = false;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_GATEWAY_FORWARDED_CALL_H_
