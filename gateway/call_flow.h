// State machine of one client call in the gateway. Private to this library.
//
//   auto flow = std::make_shared<CallFlow>(state, call, reply);
//   flow->Start();
//
// A CallFlow owns the client's reply and at most one HTTP exchange with an
// endpoint. The callbacks it registers hold references to it and so keep it
// alive. It ends exactly once: with a refusal, with Abort, with a complete
// response, or by handing the call to a peer. Later callbacks return without
// effect because `ended` is set.
#ifndef TANAGERSEAM_GATEWAY_CALL_FLOW_H_
#define TANAGERSEAM_GATEWAY_CALL_FLOW_H_

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "gateway/gateway_state.h"
#include "gateway/response_relay.h"
#include "http/listen_check.h"

namespace tanagerseam {

// aTime in milliseconds, for logs; empty if unset.
std::string
MillisText(const std::optional<Millis>& aTime);

class CallFlow
  : public ActiveCall
  , public std::enable_shared_from_this<CallFlow>
{
public:
  CallFlow(GatewayState& aState,
           ServiceCall aCall,
           std::shared_ptr<EventReply> aReply);
  CallFlow(const CallFlow&) = delete;
  CallFlow& operator=(const CallFlow&) = delete;

  // Runs the admission steps, then places the call.
  void Start();
  // Sends the call to the endpoint that the dispatcher chose, once the rate
  // limit of that endpoint permits it.
  void Send(const Placement& aPlacement);
  // The dispatcher has dropped the queued call: no endpoint is left for it.
  void OnUnservable();
  // The call was removed from the queue because its program can't begin early
  // enough any more.
  void OnMissed(const Refused& aRefused);
  // The call waits for an endpoint.
  bool IsQueued() const { return this->inDispatcher && !this->placed; }
  // False: refused, since the process exits before the call's deadline.
  bool CheckShutdown();
  void EndAtExit() override;

private:
  // ---- admission; each step refuses the call if it fails
  // Sets the route, the deadline and the service. False: refused.
  bool FindRoute();
  void SetService(const std::string& aName);
  // Sets the organisation from the API key, if one is needed. False: refused.
  bool CheckApiKey();
  // False: refused, since the call crashed the endpoints that ran it.
  bool CheckQuarantine();
  // Finds out where the stream began that the call resumes, if it does.
  void FindStreamOrigin();
  void OnStreamOrigin(const StreamLookup& aLookup);
  // No host knows the stream: sets its origin if only one version can have
  // begun it.
  void InferStreamOrigin(StreamLookupResult aLookup);
  // The same, with a reading of the registry that is newer than the call.
  void InferFromRegistry(StreamLookupResult aLookup);
  // When the stream that the call resumes may have begun at the earliest.
  TimePoint EarliestBegin(TimePoint aNow) const;
  // Goes on with the call at its origin; refuses it if that is unknown.
  void ContinueAtOrigin(StreamLookupResult aLookup);
  // aMayFindLater: a host that did not answer may know what is missing.
  void RefuseUnknownStream(const std::string& aDetail, bool aMayFindLater);
  // Finds the events of a resumed turn that the client has, since the turn is
  // kept whole; refuses the call if they can't be had.
  void LoadBeginning();
  void OnBeginning(const StreamBeginning& aBeginning);
  // Takes one call out of the organisation's rate quota, then places the call.
  void AcquireQuota();
  void OnQuotaDecision(bool aAdmitted);
  void RefuseOverQuota();
  // Deadline of record log operations before the call is placed.
  TimePoint RecordLogDeadline() const;
  // Reads the transcript that the call continues, then reserves tokens.
  void LoadHistory();
  // Reserves tokens of the program's budget, if it has one, then places the
  // call.
  void ReserveTokens();
  void OnTokenReservation(TurnReservationStatus aStatus,
                          const TurnReservation& aReservation);
  // Hands the call to the dispatcher, which places, queues or refuses it.
  void Place();
  void OnPlacementRefused(const Refused& aRefused);
  void RefuseForLoad(const Refused& aRefused);
  DispatchCall MakeDispatchCall() const;
  // The regions that the call may be sent to.
  RegionSet AllowedRegions() const;

  // ---- memory; see call_memory.cc
  // The host needs the memory of this call, which is refused unless it may have
  // been sent.
  void OnMemoryNeeded();
  // False if the endpoint holds enough of this host's requests or this host has
  // no memory for the body: the call is placed again, or refused.
  bool TakeRoomToSend(size_t aBytes);
  void GiveBackRoomToSend();
  // Places the call again after a pause if it found only endpoints that hold
  // enough. False: there were none.
  bool WaitForEndpointRoom();

  // ---- one attempt at an endpoint
  // Whether the endpoint's rate limit permits the call. If not, the call is
  // placed again.
  void OnRateDecision(bool aAdmitted);
  void StartExchange();
  void OnHead(EndpointResponseHead& aHead);
  void OnDone(const EventOutcome& aOutcome);
  // Reports the attempt's result to the dispatcher.
  void EndAttempt(AttemptResult aEnd);
  // Tells the quarantine how an attempt ended.
  void RecordForQuarantine(const EventOutcome& aOutcome);
  // Finds out whether the endpoint crashed, whose connection broke.
  void CheckCrash();
  // The incarnation of the endpoint to which the call was sent last.
  std::string Incarnation() const;
  // The endpoint certainly did not execute the call: retries it, or refuses it
  // if no attempt is left.
  void OnNotExecuted(const char* aCause);
  // The exchange failed after the request was sent: the endpoint may have
  // executed the call, and no complete response arrived.
  void OnExchangeFailed(const EventOutcome& aOutcome);
  void OnResponseComplete();
  // True while attempts and time are left.
  bool CanRetry() const;
  void Retry();

  // ---- event streams
  // Tells other hosts where the stream began.
  void AnnounceStream();
  // Counts an event, and keeps its data for the history. False if there is no
  // room for it.
  bool RecordEvent(std::optional<uint64_t> aId, std::string_view aData);
  // Tells other hosts of an event of a turn that may be resumed.
  void TellEvent(std::optional<uint64_t> aId, std::string_view aData);
  void BeginPassedStreams();
  // Finishes the stream, unless its endpoint crashed: the end of a connection
  // is the same for a stream that ends with it and for a crash behind an event.
  void CheckStreamWasWhole();
  void OnListenState(ListenState aState);
  // Writes the turn to the record log if the route keeps history, then finishes
  // the stream; aborts it if the write fails.
  void PersistTurn();
  // Returns the unused tokens of a program that is nearly spent.
  void ReturnUnusedTokens();
  // Ends the stream once the turn is kept and its unused tokens are returned.
  void FinishStream();

  // ---- termination
  void OnClientDisconnected();
  void OnDeadline();
  void Refuse(RefusalReason aReason, const std::string& aDetail);
  // Forwards the call to a random ready peer in place of refusing it with
  // aRefusal. False if it may not be forwarded or no peer is ready.
  bool TryForward(const Refusal& aRefusal);
  // Addresses of peers that are ready, reach the service, and lie in a region
  // that the call's body may be sent to.
  std::vector<std::string> PeersForCall() const;
  // True if this host seems to reach no endpoint of the service.
  bool IsCutOff() const;
  // Forwards the call if IsCutOff and a peer is not. False: try it here.
  bool ForwardIfCutOff();
  // Forwards the call to a random peer that is ready and reaches the service.
  // False if it may not be forwarded or there is none.
  bool ForwardToPeer(const Refusal& aRefusal);
  // True if a peer may be able to serve a call that this host refuses for
  // aReason.
  bool PeerMayServe(RefusalReason aReason) const;
  void RefuseWithRetryAfter(RefusalReason aReason,
                            const std::string& aDetail,
                            std::optional<Millis> aRetryAfter);
  // Refuses a call for which the shutdown leaves no time. An endpoint may have
  // executed it if aMayHaveExecuted.
  void RefuseAtShutdown(bool aMayHaveExecuted, const char* aDetail);
  // Refuses a call that an endpoint may have executed.
  void RefuseAsUncertain(const std::string& aDetail);
  // Closes the client's connection without a complete response.
  void Abort(const char* aCause);
  // The reservation, which the caller settles.
  std::optional<TurnReservation> TakeReservation();
  // Releases the endpoint, the reserved tokens and unused quota. aOutcome is
  // for logs and metrics.
  void End(const char* aOutcome);
  // Randomised Retry-After for a refused client, scaled to its remaining time.
  Millis DrawRetryAfter();
  // By urgency and the expected wait, for a service that is served adaptively.
  Millis DrawRetryAfter(const Refused& aRefused);
  Millis RemainingTime() const;
  // Empty on open routes.
  std::string OrganisationName() const;
  // See CallDigest and CallPathDigest.
  const std::string& Digest();
  const std::string& PathDigest();
  // The status of the last attempt's response; 0 without a response.
  int ResponseStatus() const;
  // "yes", "no", or empty without a response: whether it had a digest.
  const char* DigestText() const;
  // The head of an event stream has been sent to the client.
  bool IsStreaming() const;
  LogFields WithCallIds(LogFields aFields) const;
  LogFields WithExchange(LogFields aFields) const;

  GatewayState& state;
  const ActiveCallEntry activeEntry;
  ServiceCall call;
  std::shared_ptr<EventReply> reply;
  const TimePoint arrivedAt;
  TimePoint deadline{};
  restinio::asio_ns::steady_timer timer;
  // Identifies the call in the dispatcher.
  uint64_t dispatchId = 0;
  bool ended = false;

  // Owns the objects that `route` and `organisation` point to.
  std::shared_ptr<const Catalog> catalog;
  const RouteEntry* route = nullptr;
  const OrganisationEntry* organisation = nullptr;
  std::string service;
  int tokensPerEvent = 0;
  int priority = 0;
  // "organisation/program id": the same id in two organisations means two
  // programs.
  std::string programKey;
  // Results of Digest and PathDigest; empty until they are first asked for.
  std::string digest;
  std::string pathDigest;
  bool quotaAcquired = false;
  // Budget tokens reserved for this turn; reset once settled.
  std::optional<TurnReservation> reservation;
  int64_t usedTokens = 0;
  // A return of unused tokens is under way.
  bool returningTokens = false;
  // The stream is whole, and its turn kept.
  bool streamComplete = false;
  // Where the stream began that the call resumes; unset for a new stream.
  std::optional<StreamOrigin> origin;
  // Transcript up to the previous turn; null if there is none.
  Transcript priorTranscript;

  // ---- attempts at endpoints
  std::set<std::string> triedEndpoints;
  // Two entries of the registry may name one address.
  std::set<std::string> triedAddresses;
  // Endpoints that hold enough of this host's requests.
  std::set<std::string> fullEndpoints;
  restinio::asio_ns::steady_timer roomTimer;
  // Of the request that is under way.
  size_t outgoingBytes = 0;
  std::unique_ptr<HeldBytes> heldOutgoing;
  // Sent attempts; connection failures are not counted.
  int attempts = 0;
  // Endpoints to which no connection could be made.
  size_t unreachableEndpoints = 0;
  // The call tries whether a lost service is back.
  bool isTrial = false;
  // A failed attempt may have executed the call.
  bool mayHaveExecuted = false;
  std::string endpointId;
  // The time that the endpoint was told; unset before the first attempt.
  std::optional<Millis> endpointTimeLimit;
  // Of that endpoint's software, when the call was sent.
  std::string endpointVersion;
  // The last attempt; null before the first.
  std::shared_ptr<ResponseRelay> relay;
  bool exchangeActive = false;
  // The dispatcher counts this call as in flight at `endpointId`.
  bool placed = false;
  // The dispatcher holds this call, queued or placed.
  bool inDispatcher = false;
  TimePoint sentAt{};
  // The same, in milliseconds since the epoch.
  int64_t sentAtMillis = 0;
  TimePoint firstEventAt{};
  // Of the last attempt that ended.
  EventOutcome lastExchange;
  // Data of all events of the turn, for the history; those that the client had
  // before it resumed the turn come first.
  GatheredBody turnOutput;
  // The stream under each name by which the client may resume it; empty until
  // the first event.
  std::vector<PassedStream> passedStreams;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_GATEWAY_CALL_FLOW_H_
