// One call on its way through the gateway. Private to this library.
//
// A CallFlow owns the client's reply and at most one exchange with an endpoint.
// It keeps itself alive by the callbacks it has given out, and ends once: by
// Refuse, by BreakOff or with its whole answer. Callbacks that come later find
// `ended` set.
#ifndef TANAGERSEAM_GATEWAY_CALL_FLOW_H_
#define TANAGERSEAM_GATEWAY_CALL_FLOW_H_

#include <memory>
#include <set>
#include <string>

#include "endpoint/sse_parser.h"
#include "gateway/gateway_state.h"

namespace tanagerseam {

class CallFlow : public std::enable_shared_from_this<CallFlow>
{
public:
  CallFlow(GatewayState& aState,
           ServiceCall aCall,
           std::shared_ptr<EventReply> aReply);
  ~CallFlow();
  CallFlow(const CallFlow&) = delete;
  CallFlow& operator=(const CallFlow&) = delete;

  void Start();
  // The dispatcher chose an endpoint for this call.
  void Send(const Placement& aPlacement);

private:
  // ---- admission
  bool FindRoute();
  bool CheckKey();
  bool TakeQuota();
  void RefuseForQuota();
  TimePoint LogDeadline() const;
  void LoadHistory();
  void ReserveTokens();
  void OnTokens(TurnVerdict aVerdict, const TurnReservation& aReservation);
  void Place();
  DispatchCall Work() const;

  // ---- one attempt at an endpoint
  void StartExchange();
  bool OnHeaders(int aStatus, const HttpHeaders& aHeaders);
  bool OnData(std::string_view aPiece);
  void OnDone(const EventOutcome& aOutcome);
  void EndAttempt(AttemptResult aEnd);
  // The endpoint certainly did not run the call.
  void OnNotRun(const char* aWhy);
  // It may have run, and there is no whole answer.
  void OnBroken(const EventOutcome& aOutcome);
  void OnAnswered();
  bool MayTryAgain() const;
  void TryAgain();

  // ---- relay
  void RelayEvents(std::string_view aPiece);
  void KeepTurn();
  void FinishStream();
  void ReadOn();

  // ---- ends
  void OnClientGone();
  void OnTimeUp();
  void Refuse(RefusalReason aReason, const std::string& aDetail);
  // A peer serves the call, which this host has to refuse for aRefusal.
  bool Forward(const Refusal& aRefusal);
  // Another host may be able to do what this one can't.
  bool PeerMayServe(RefusalReason aReason) const;
  void RefuseUntil(RefusalReason aReason,
                   const std::string& aDetail,
                   std::optional<Millis> aRetryAfter);
  void BreakOff(const char* aWhy);
  void End(const char* aHow);
  // When a client that is refused for load should come back.
  Millis ComeBackAfter();
  Millis TimeLeft() const;
  LogFields Named(LogFields aFields) const;

  GatewayState& state;
  ServiceCall call;
  std::shared_ptr<EventReply> reply;
  const TimePoint arrivedAt;
  TimePoint deadline{};
  restinio::asio_ns::steady_timer timer;
  uint64_t number = 0;
  bool ended = false;

  // Keeps route and organisation alive.
  std::shared_ptr<const Catalog> catalog;
  const RouteEntry* route = nullptr;
  const OrganisationEntry* organisation = nullptr;
  std::string service;
  int tokensPerEvent = 0;
  int priority = 0;
  // Organisation and id: programs of organisations don't meet.
  std::string programKey;
  bool quotaTaken = false;
  // Tokens set aside for this turn, until they are settled.
  std::optional<TurnReservation> reservation;
  int64_t used = 0;
  Transcript before;

  // The attempt under way.
  std::set<std::string> tried;
  int attempts = 0;
  // An attempt was made after which the call can have run.
  bool mayHaveRun = false;
  std::string endpointId;
  EventClient::CallId exchange = 0;
  bool exchanging = false;
  bool placed = false;
  TimePoint sentAt{};
  TimePoint firstEventAt{};
  EndpointAnswer answer;
  std::string wholeBody;
  bool relaying = false;
  bool slowed = false;
  SseParser events;
  std::string output;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_GATEWAY_CALL_FLOW_H_
