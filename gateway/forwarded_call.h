// A call that another host of the fleet serves in place of this one. Private to
// this library.
//
//   auto forwarded = std::make_shared<ForwardedCall>(
//     state, call, reply, refusal, deadline);
//   forwarded->Start("10.0.0.2:8368");
//
// The peer judges the call and answers it; this host only relays. It answers by
// itself in two cases: `refusal` if the peer was not reached, so that the call
// certainly did not run, and "outcome unknown" if the peer broke off before
// its answer began.
//
// It keeps itself alive by the callbacks it has given out, and ends once.
#ifndef TANAGERSEAM_GATEWAY_FORWARDED_CALL_H_
#define TANAGERSEAM_GATEWAY_FORWARDED_CALL_H_

#include <memory>
#include <string>

#include "gateway/gateway_state.h"

namespace tanagerseam {

class ForwardedCall : public std::enable_shared_from_this<ForwardedCall>
{
public:
  ForwardedCall(GatewayState& aState,
                ServiceCall aCall,
                std::shared_ptr<EventReply> aReply,
                Refusal aRefusal,
                TimePoint aDeadline);
  ~ForwardedCall();
  ForwardedCall(const ForwardedCall&) = delete;
  ForwardedCall& operator=(const ForwardedCall&) = delete;

  void Start(const std::string& aAddress);

private:
  bool OnHeaders(int aStatus, const HttpHeaders& aHeaders);
  bool OnData(std::string_view aPiece);
  void OnDone(const EventOutcome& aOutcome);
  void OnClientGone();
  void ReadOn();
  void Answer(const Refusal& aRefusal);
  void End(const char* aHow, const std::string& aDetail);

  GatewayState& state;
  ServiceCall call;
  std::shared_ptr<EventReply> reply;
  Refusal refusal;
  const TimePoint deadline;
  const TimePoint startedAt;
  EventClient::CallId exchange = 0;
  EndpointAnswer answer;
  std::string wholeBody;
  bool relaying = false;
  bool slowed = false;
  bool ended = false;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_GATEWAY_FORWARDED_CALL_H_
