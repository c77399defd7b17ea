// Chooses the endpoint for each call and the order in which queued calls are
// sent.
//
//   Dispatcher dispatcher(settings);
//   dispatcher.SetEndpoints("drafting", endpoints);
//   auto decision = dispatcher.Submit(call, now);
//   if (auto* place = std::get_if<Placement>(&decision)) { ... send ... }
//   dispatcher.OnAttemptEnded(call.id, outcome, now);
//   for (const Placement& next : dispatcher.PlaceQueued(now)) { ... send ... }
//
// Deterministic: the time is an argument, there is no I/O, and random choices
// are derived from hashes.
//
// Queueing: each endpoint runs `slots` calls concurrently and queues further
// calls in FIFO order. A call queued here can still be overtaken by a more
// urgent one, so calls are sent only while an endpoint appears to have a free
// slot. The load that other hosts put on an endpoint is known from their
// reports and from the load that endpoints return with their answers. Both are
// stale, so a call queued for `maxSlotWait` is sent even without a free slot,
// to an endpoint with fewer than `overcommitFactor` x slots calls in flight.
//
// Endpoint selection: among the compared endpoints with a free slot, the one
// with the lowest estimated completion time is chosen. The estimate includes
// the endpoint's measured speed, the prefill of prompt parts that are not in
// its prefix cache, and the round trip to another availability zone. Prefill
// stalls every call in the endpoint's batch, so a cache miss costs more at a
// busy endpoint.
//
// Cache affinity: the calls of one program arrive at several hosts, and a host
// does not know where the others sent them. All hosts of an availability zone
// therefore assume that a program's prompt is cached at the endpoint of their
// zone with the highest rendezvous hash of program and endpoint, in addition to
// the endpoints that they sent it to themselves.
//
// Sampling: load reports are stale, so hosts that all picked the least loaded
// endpoint would pick the same one (herding). Each call is compared only at
// its program's preferred endpoint and at `sampledEndpoints` others with room,
// sampled by a hash of host and call. One of the sample is in the host's own
// zone if an endpoint there has room.
//
// Rate limits: an endpoint may name a rate of calls that it takes from the
// whole fleet. Its capacity is then the number of calls that are in flight at
// that rate, if that is less than its slots; room, estimates and utilisation go
// by it. The endpoint stays the preferred one only for so many programs as fit
// into its capacity, so that programs move away as a whole and not call by
// call. Whether the rate itself permits a call now is decided elsewhere; an
// endpoint whose rate is used up is held until a given time. Where all
// endpoints of a service name rates, a call is refused if the calls queued
// before it use up this host's equal share of the rates until the call's
// deadline.
//
// Admission control: the first call of a program is refused while the service's
// utilisation is at or above the limit for the call's priority. Later calls of
// a program are never refused for load.
//
// Adaptive placement: a service is served either in basic mode, which is what
// is described so far, or adaptively; see docs/design/placement.md. By default
// it is served adaptively under contention, or once one of its endpoints has
// stated its pace. The endpoints that a call is compared at besides the
// preferred one are then the `groupAlternates` ones with room that have the
// highest hashes of program and endpoint. All hosts rank them alike, so calls
// that the preferred endpoint has no room for find a warm cache there too.
// The estimate is the outstanding work at the endpoint, divided by its slots,
// the prefill and the predicted work of the call itself, all at the endpoint's
// pace (work/work.h).
// Which programs begin, the order of calls and the slots that
// they may use are then decided by the rules of admission/admission.h, once the
// host has heard from peers or has run for kLearningTime.
//
// Ejection: an endpoint that cannot be reached gets no calls for a period that
// doubles with each consecutive failure, up to a limit. If more than half of a
// service's endpoints are ejected, ejection is ignored.
//
// Complexity: Submit is linear in the number of endpoints, and for the first
// call of a program also in the queued calls. PlaceQueued does the same
// endpoint search for each queued call. The loads that hosts report are summed
// as their reports arrive and expire, so a report costs the endpoints that it
// names.
#ifndef TANAGERSEAM_DISPATCH_DISPATCH_H_
#define TANAGERSEAM_DISPATCH_DISPATCH_H_

#include <deque>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "admission/admission.h"
#include "kernel/digest.h"
#include "kernel/kernel.h"
#include "work/work.h"

namespace tanagerseam {

// A part of a prompt, the unit in which prefix caching is modelled. A sequence
// of turns is one part: it keeps its id and grows with each turn.
struct PromptPart
{
  std::string id;
  int64_t tokens = 0;
};

// Identifies an endpoint in reports between hosts.
inline uint32_t
EndpointHash(const std::string& aId)
{
  return static_cast<uint32_t>(StableHash(aId));
}

// Number of calls in flight, by EndpointHash.
using EndpointLoads = std::unordered_map<uint32_t, int>;

struct DispatchEndpoint
{
  std::string id;
  std::string zone;
  // Calls that it runs concurrently.
  int slots = 1;
  // Calls per second that it takes from all hosts; unset for no limit.
  std::optional<double> callsPerSecond;
  // Of its software.
  std::string version;
  // Empty if unknown.
  std::string region;
  // Prompt tokens that its cache holds; 0 if unknown.
  int64_t cacheTokens = 0;
  // Identifies its incarnation. Another one has an empty cache and no work.
  int64_t startedAtMillis = 0;
};

// How calls are placed; the names are values of the setting `placement`.
enum class PlacementMode
{
  // Adaptively under contention, and where endpoints state their pace.
  kAuto,
  kBasic,
  kAdaptive,
};

// A call to be placed on an endpoint.
struct DispatchCall
{
  uint64_t id = 0;
  // Empty on open routes.
  std::string organisation;
  std::string service;
  // Latency is averaged over all calls with the same route.
  std::string route;
  // 0 is the most urgent.
  int priority = 0;
  // The first call of its program; subject to admission control.
  bool beginsProgram = false;
  // When the client stops waiting; never, if unset.
  std::optional<TimePoint> deadline;
  // When the call's program should end. Queued calls that are past it are
  // placed last.
  TimePoint programDeadline{};
  std::vector<PromptPart> prompt;
  // Calls of one group, such as a program, share most of their prompts.
  std::string cacheGroup;
  // Identifies the object that the call is about; empty if there is none.
  std::string affinityKey;
  // 0 for services that do not generate tokens.
  int64_t maxOutputTokens = 0;
  // The client's estimate of the tokens that will be generated; 0 if it sent
  // none.
  int64_t outputTokensHint = 0;
  std::set<std::string> excludedEndpoints;
  // Only endpoints of this software version may get the call; any, if unset.
  std::optional<std::string> version;
  // Only endpoints of these regions may get the call; any, if unset.
  std::optional<std::set<std::string>> allowedRegions;
};

// Inputs of an adaptive decision, for the log.
struct PlacementInputs
{
  // Outstanding work in milliseconds at the usual pace: of this host's calls at
  // the endpoint and of others, and the age of the newest report of others.
  double ownWorkMillis = 0;
  double otherWorkMillis = 0;
  std::optional<Millis> workAge;
  // Time that work takes there relative to the mean, and the age of the pace
  // that the endpoint stated.
  double slowness = 1;
  std::optional<Millis> paceAge;
  int64_t uncachedTokens = 0;
  // Of the call alone, at the usual pace, and by which factor such predictions
  // were wrong.
  double predictedMillis = 0;
  double errorFactor = 1;
  // The endpoint is the preferred one of the call's group.
  bool isPreferred = false;
};

// A call and the endpoint to send it to now. The call counts as in flight until
// OnAttemptEnded.
struct Placement
{
  uint64_t callId = 0;
  std::string endpoint;
  // Inputs of the decision, for the log: estimated duration of the call, and
  // the calls in flight at the endpoint from this host and from others.
  double expectedMillis = 0;
  int ownLoad = 0;
  double otherLoad = 0;
  // Unset in basic mode.
  std::optional<PlacementInputs> inputs;
};

// The call is queued; PlaceQueued returns its Placement later.
struct Queued
{
  // Calls queued before it.
  size_t ahead = 0;
};

enum class DispatchRefusal
{
  // The service has no usable endpoint.
  kNoEndpoint,
  // Admission control refused the first call of a program.
  kOverloaded,
};

struct Refused
{
  DispatchRefusal reason = DispatchRefusal::kNoEndpoint;
  // Calls in flight at the service divided by its slots, plus an allowance for
  // each queued call.
  double utilisation = 0;
  // Why the call is refused as kOverloaded.
  AdmissionCause cause = AdmissionCause::kUtilisation;
  // Inputs of the decision, for the log: queued calls that go before the call,
  // how long it would wait and its program would take, and the age of the
  // newest report of another host; unset without any.
  size_t ahead = 0;
  Millis expectedWait{ 0 };
  Millis need{ 0 };
  std::optional<Millis> reportAge;
};

// A queued call that was removed from the queue because its program can't begin
// early enough any more.
struct MissedCall
{
  uint64_t id = 0;
  Refused refused;
};

using DispatchDecision = std::variant<Placement, Queued, Refused>;

enum class AttemptResult
{
  // A complete answer.
  kSucceeded,
  // The endpoint rejected the call before running it.
  kRejected,
  // No connection could be established.
  kUnreachable,
  // The connection broke, or the answer was invalid.
  kFailed,
  // The client disconnected, or the deadline passed.
  kCancelled,
};

struct AttemptOutcome
{
  AttemptResult result = AttemptResult::kSucceeded;
  Millis duration{ 0 };
  // For streams: the time from the first event to the end, and the tokens
  // received in it.
  Millis streamDuration{ 0 };
  int64_t streamedTokens = 0;
};

struct DispatchSettings
{
  // Availability zone of this host.
  std::string zone;
  PlacementMode placement = PlacementMode::kAuto;
  // Demand exceeds the capacity of the endpoints at times.
  bool contention = false;
  // Salts the hash that samples endpoints, so that hosts sample differently.
  std::string host;
  // Latency added by an endpoint in another availability zone.
  double crossZoneMillis = 2;
  // Prefill throughput of an engine.
  double prefillTokensPerMilli = 150;
  // Utilisation of a service at which a new program of priority 0 is refused.
  // The limit falls by the step for each less urgent priority.
  double admissionLimit = 1.15;
  double admissionLimitStep = 0.05;
  // After waiting this long for a free slot, a call is sent to an endpoint with
  // fewer than `overcommitFactor` x slots calls in flight.
  Millis maxSlotWait{ 40 };
  double overcommitFactor = 1.5;
  // Fraction of a call's prefill time that is added to its cost once for each
  // call in the batch that the prefill stalls.
  double prefillStallWeight = 1;
  // Endpoints compared for a call, besides its group's preferred endpoint.
  size_t sampledEndpoints = 2;
  // The same for a call that is placed adaptively. With two, calls of a group
  // still spill to endpoints that hold nothing of it when all are busy.
  size_t groupAlternates = 4;
};

class Dispatcher
{
public:
  // Load reports of hosts and endpoints expire at this age.
  static constexpr Millis kMaxReportAge{ 1500 };

  // How long a host that hears from no peer decides about new programs as in
  // basic mode.
  static constexpr Millis kLearningTime{ 2000 };

  explicit Dispatcher(DispatchSettings aSettings);

  // Replaces the usable endpoints of a service. The state of a removed endpoint
  // is kept until its last call has ended.
  void SetEndpoints(const std::string& aService,
                    const std::vector<DispatchEndpoint>& aEndpoints);
  // Number of hosts that share the endpoints, including this one.
  void SetFleetSize(size_t aHosts) { this->fleetSize = aHosts; }
  // Sets or removes the rate limit of an endpoint.
  void SetRateLimit(const std::string& aEndpoint,
                    std::optional<double> aCallsPerSecond);
  // The endpoint's rate is used up: it gets no call before aUntil.
  void HoldEndpoint(const std::string& aEndpoint, TimePoint aUntil);
  // Places, queues or refuses a call.
  DispatchDecision Submit(const DispatchCall& aCall, TimePoint aNow);
  // Removes from the queue and returns the calls that can be sent now.
  std::vector<Placement> PlaceQueued(TimePoint aNow);
  // Removes from the queue and returns the calls that no endpoint may get.
  std::vector<uint64_t> DropUnservable(TimePoint aNow);
  // Removes from the queue and returns the first turns that have waited too
  // long.
  std::vector<MissedCall> DropMissed(TimePoint aNow);
  void RemoveQueued(uint64_t aCallId);
  // Ignored for a call that is not in flight.
  void OnAttemptEnded(uint64_t aCallId,
                      const AttemptOutcome& aOutcome,
                      TimePoint aNow);
  // aTokens: tokens that the call in flight has generated so far.
  void OnProgress(uint64_t aCallId, int64_t aTokens);
  // The calls that another host has in flight, and their outstanding work.
  void OnPeerReport(const std::string& aHost,
                    EndpointLoads aLoads,
                    TimePoint aNow,
                    const EndpointWorks& aWorks = {});
  // Work by organisation that another host has sent lately; empty leaves its
  // last report in place.
  void OnPeerWork(const std::string& aHost,
                  const std::vector<OrganisationShare>& aWork,
                  TimePoint aNow)
  {
    this->accounts.OnPeerReport(aHost, aWork, aNow);
  }
  // Work by organisation to be reported to other hosts; empty unless services
  // are contended.
  std::vector<OrganisationShare> OwnWork(TimePoint aNow);
  // aCalls: running and queued calls, as reported by the endpoint itself.
  // aPace: how long work takes there at this moment, relative to the usual
  // time; unset if the endpoint does not say.
  void OnEndpointReport(const std::string& aEndpoint,
                        int aCalls,
                        TimePoint aNow,
                        std::optional<double> aPace = std::nullopt);
  // True if the service is served adaptively.
  bool IsAdaptive(const std::string& aService) const;
  // The calls that this host has in flight, to be reported to other hosts.
  EndpointLoads OwnLoads() const;
  // Their outstanding work, to be reported too. Empty in basic mode.
  EndpointWorks OwnWorks() const { return this->work.OwnWorks(); }
  double OwnWorkMillis() const { return this->work.OwnTotal(); }
  // Calls in flight divided by the capacity; 0 for a service without endpoints.
  double ServiceUtilisation(const std::string& aService, TimePoint aNow);
  size_t QueuedCalls() const { return this->queue.size(); }

private:
  struct CachedPart
  {
    std::string id;
    int64_t tokens = 0;
  };
  struct EndpointState
  {
    DispatchEndpoint endpoint;
    uint32_t hash = 0;
    std::string service;
    // False once SetEndpoints has removed it.
    bool takesCalls = true;
    // Calls of this host in flight.
    int ownLoad = 0;
    // From the endpoint's last report: its calls minus ownLoad at that time.
    double reportedOtherLoad = 0;
    TimePoint reportedAt{};
    // Moving average of the endpoint's latency relative to the mean of the
    // route.
    double latencyRatio = 1;
    // Samples in latencyRatio.
    int latencySamples = 0;
    EndpointPace pace;
    int consecutiveFailures = 0;
    TimePoint ejectedUntil{};
    TimePoint heldUntil{};
    // Prompt parts and affinity keys assumed to be cached there, most recently
    // used first, and an index of them by id.
    std::list<CachedPart> cached;
    std::unordered_map<std::string, std::list<CachedPart>::iterator>
      cachedIndex;
    // Sum over `cached`.
    int64_t cachedTokens = 0;
  };
  struct InFlightCall
  {
    std::string endpoint;
    std::string route;
    bool isStream = false;
    // The rest is set in adaptive mode only.
    bool isAdaptive = false;
    CallTraits traits;
    // Assumed when the call was placed.
    double slowness = 1;
    double prefillMillis = 0;
    double tokenMillis = 0;
    // Generated so far.
    int64_t tokens = 0;
  };
  struct QueuedCall
  {
    DispatchCall call;
    // As of the last look at the queue.
    PendingCall pending;
  };
  struct ScoredEndpoint
  {
    EndpointState* state = nullptr;
    double expectedMillis = 0;
    std::optional<PlacementInputs> inputs;
  };
  struct PeerReport
  {
    EndpointLoads loads;
    TimePoint receivedAt{};
  };
  struct ReportArrival
  {
    TimePoint receivedAt{};
    std::string host;
  };

  // Calls of other hosts in flight: the endpoint's own report if it is newer
  // than all host reports, else the sum of the host reports.
  double OtherLoad(const EndpointState& aState, TimePoint aNow) const;
  // Adds a report to the sums, or takes it out of them.
  void CountReport(const EndpointLoads& aLoads, int aSign);
  // Takes the reports out of the sums that are older than kMaxReportAge.
  void ExpireReports(TimePoint aNow);
  bool IsInOwnZone(const EndpointState& aState) const
  {
    return aState.endpoint.zone == this->settings.zone;
  }
  double TotalLoad(const EndpointState& aState, TimePoint aNow) const
  {
    return aState.ownLoad + this->OtherLoad(aState, aNow);
  }
  // Calls that it can have in flight, by its slots and its rate limit.
  double Capacity(const EndpointState& aState) const;
  // True if the endpoint has stated its pace and is placed on adaptively.
  bool IsPaced(const EndpointState& aState) const
  {
    return aState.pace.IsStated() &&
           this->settings.placement != PlacementMode::kBasic;
  }
  // Time that work takes there relative to the mean: latencyRatio, or the pace
  // of this moment if the endpoint states it.
  double Slowness(const EndpointState& aState, TimePoint aNow) const;
  // Capacity, less what the pace of this moment takes away. Never more than the
  // slots: an endpoint runs no more calls when it is fast.
  double PacedCapacity(const EndpointState& aState, TimePoint aNow) const;
  // Admission by utilisation alone: in basic mode, and before this host has
  // learned about the service.
  std::optional<Refused> RefuseByUtilisation(const DispatchCall& aCall,
                                             TimePoint aNow);
  // Admission of the first call of a program of an adaptively served service.
  std::optional<Refused> RefuseFirstTurn(const DispatchCall& aCall,
                                         TimePoint aNow);
  bool HasLearned(TimePoint aNow) const;
  PendingCall MakePending(const DispatchCall& aCall,
                          TimePoint aQueuedAt,
                          TimePoint aNow);
  // True if the organisation has had more than its share of a service whose
  // calls wait or are about to.
  bool IsOverShare(const DispatchCall& aCall, TimePoint aNow);
  bool IsContended(const std::string& aService, TimePoint aNow);
  Millis ExpectedMillis(const DispatchCall& aCall) const;
  // Places the call if it may be sent now and an endpoint has room for it.
  std::optional<Placement> TryPlace(const QueuedCall& aQueued,
                                    double aSlotFactor,
                                    TimePoint aNow);
  // The call may be placed on an endpoint with fewer than this many times its
  // slots in calls; 0 if it has to wait.
  double SlotFactorOf(const QueuedCall& aQueued, TimePoint aNow);
  // Queued calls of the same service that are placed before the call.
  size_t CallsAhead(const PendingCall& aPending,
                    const std::string& aService,
                    bool aOnlyFirstTurns,
                    TimePoint aNow) const;
  // Calls that all endpoints of the service can have in flight.
  double ServiceCapacity(const std::string& aService) const;
  // Age of the newest report of another host.
  std::optional<Millis> ReportAge(TimePoint aNow) const;
  // True if the rate limits of the call's endpoints do not permit it before its
  // deadline, after the queued calls that are placed before it.
  bool WouldMissDeadline(const DispatchCall& aCall, TimePoint aNow);
  // True if the endpoint's rate limit leaves room for the group among those
  // that would prefer it without a limit.
  bool FitsGroup(const EndpointState& aState,
                 const std::string& aGroup,
                 double aMeanLoad) const;
  double MeanLoad(const std::vector<EndpointState*>& aStates,
                  TimePoint aNow) const;
  // Estimated time until the call ends if it is sent to this endpoint.
  double EstimateMillis(const EndpointState& aState,
                        const DispatchCall& aCall,
                        bool aIsPreferred,
                        TimePoint aNow) const;
  // The same in adaptive mode.
  ScoredEndpoint ScoreAdaptively(EndpointState& aState,
                                 const DispatchCall& aCall,
                                 const CostPrediction& aCost,
                                 bool aIsPreferred,
                                 TimePoint aNow) const;
  // Duration of a call at the usual pace, without prefill and waiting.
  double OwnMillis(const DispatchCall& aCall,
                   const CostPrediction& aCost) const;
  // Time per generated token on the route.
  double TokenMillis(const std::string& aRoute) const;
  // Outstanding work of other hosts at the endpoint.
  double OtherWork(const EndpointState& aState, TimePoint aNow) const;
  void BeginWork(InFlightCall& aInFlight,
                 const PlacementInputs& aInputs,
                 const DispatchCall& aCall,
                 uint32_t aEndpointHash);
  void LearnCost(const InFlightCall& aCall, const AttemptOutcome& aOutcome);
  // Prompt tokens that the endpoint is expected to prefill.
  static int64_t UncachedTokens(const EndpointState& aState,
                                const DispatchCall& aCall,
                                bool aIsPreferred);
  // The endpoint with the highest rendezvous hash for the group among those
  // that it fits, from this host's zone if it has one; nullptr for an empty
  // group.
  const EndpointState* PreferredEndpoint(
    const std::vector<EndpointState*>& aStates,
    const std::string& aGroup,
    TimePoint aNow) const;
  // The preferred endpoint, if it is in aStates, and the sampled ones.
  std::vector<EndpointState*> SampleEndpoints(
    const std::vector<EndpointState*>& aStates,
    const EndpointState* aPreferred,
    uint64_t aCallId) const;
  // The preferred endpoint, if it is in aStates, and the group's alternates in
  // it: the same ones on all hosts.
  std::vector<EndpointState*> GroupEndpoints(
    const std::vector<EndpointState*>& aStates,
    const EndpointState* aPreferred,
    const std::string& aGroup) const;
  // The endpoints among those with room at which the call is compared.
  std::vector<EndpointState*> ComparedEndpoints(
    const std::vector<EndpointState*>& aWithRoom,
    const EndpointState* aPreferred,
    const DispatchCall& aCall) const;
  // The best endpoint among those whose load is below aSlotFactor x slots.
  std::optional<ScoredEndpoint> BestEndpoint(const DispatchCall& aCall,
                                             double aSlotFactor,
                                             TimePoint aNow);
  // Endpoints that may get the call, without ejected ones unless too many are
  // ejected.
  std::vector<EndpointState*> Candidates(const DispatchCall& aCall,
                                         TimePoint aNow);
  Placement Place(const ScoredEndpoint& aEndpoint,
                  const DispatchCall& aCall,
                  TimePoint aNow);
  // Adds the part to the model of the endpoint's cache. The least recently used
  // parts are evicted; for adaptive services by the endpoint's cache memory
  // too.
  void RecordCached(EndpointState& aState, const PromptPart& aPart) const;
  static void EvictLeastRecentlyUsed(EndpointState& aState);
  // Weight of the next sample in an endpoint's latencyRatio.
  double LatencyWeight(const EndpointState& aState) const;
  void UpdateLatency(EndpointState& aState,
                     const InFlightCall& aCall,
                     const AttemptOutcome& aOutcome);
  double RouteMillis(const std::string& aRoute) const;

  DispatchSettings settings;
  size_t fleetSize = 1;
  std::map<std::string, EndpointState> endpoints;
  std::unordered_map<uint64_t, InFlightCall> inFlight;
  std::list<QueuedCall> queue;
  // The last report of each host that has not expired.
  std::unordered_map<std::string, PeerReport> peers;
  // Arrivals of reports in order, including those superseded since.
  std::deque<ReportArrival> arrivals;
  // Sums over `peers`.
  EndpointLoads peerLoads;
  // By service, of the adaptively served ones.
  std::map<std::string, ServiceAdmission> admissions;
  ProgramNeeds programNeeds;
  OrganisationAccounts accounts;
  // Until when a service counts as contended.
  std::map<std::string, TimePoint> contendedUntil;
  // When the first call arrived.
  std::optional<TimePoint> firstCallAt;
  // Services of which an endpoint has stated its pace.
  std::set<std::string> pacedServices;
  // Moving averages by route: time of a call, and time per streamed token.
  std::unordered_map<std::string, double> routeMillis;
  std::unordered_map<std::string, double> tokenMillis;
  // Moving average of the time of a call by service.
  std::unordered_map<std::string, double> serviceMillis;
  // Of adaptively served services alone, like the next two.
  CostPredictor predictor;
  OutstandingWork work;
  // Moving average of the work of a call by service.
  std::unordered_map<std::string, double> workMillis;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_DISPATCH_DISPATCH_H_
