// Scheduling of model calls: queueing, load balancing over endpoints, retries.
//
// Usage:
//
//   SchedulerSettings settings;  // policy names and limits
//   Scheduler scheduler(settings, seed);
//   scheduler.SetEndpoints(configs, now);
//   scheduler.Enqueue(request, now);
//   for (const ExpiredCall& call : scheduler.TakeExpired(now)) {
//     ...  // refuse the call with call.reason
//   }
//   for (const Grant& grant : scheduler.TakeGrants(now)) {
//     ...  // send the call grant.id to grant.endpoint; when it has finished:
//     scheduler.Finish(grant.id, usedTokens, DispatchResult::kOk, now);
//   }
//
// One Scheduler serves one model. It runs on the daemon that owns the slot
// "model/NAME" and makes all dispatch decisions of the fleet for that model, so
// its count of calls in flight is exact, whereas load reports lag.
//
// Deterministic and free of I/O: time, load reports and the random seed are
// arguments. Policies are plug-ins selected by name: QueuePolicy orders the
// waiting calls, EndpointPolicy selects among endpoints with free capacity.
//
// Invariants:
// - A grant never raises an endpoint's calls in flight above its capacity.
// - No call is granted to an endpoint that is leaving or whose circuit breaker
//   is open.
// - A waiting call is granted, cancelled or expired exactly once.
// Complexity: Enqueue O(log n); a grant O(log organisations + endpoints).
#ifndef TANAGERSEAM_ROUTE_ROUTE_H_
#define TANAGERSEAM_ROUTE_ROUTE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/kernel.h"

namespace tanagerseam {

// Priority class of a call, most urgent first.
enum class Urgency
{
  kUrgent,
  kNormal,
  kBackground,
};

std::string_view
UrgencyName(Urgency aUrgency);

// std::nullopt if aName is not the name of a class.
std::optional<Urgency>
ParseUrgency(std::string_view aName);

// A model call to be assigned to an endpoint.
struct DispatchRequest
{
  // Unique among the calls that wait or are in flight.
  uint64_t id = 0;
  std::string organisation;
  // Fair-sharing weight of the organisation.
  double weight = 1;
  std::string program;
  Urgency urgency = Urgency::kNormal;
  int64_t promptTokens = 0;
  int64_t maxTokens = 0;
  // Tokens served to the program so far, over all its calls.
  int64_t programServedTokens = 0;
  // The endpoint whose prefix cache probably holds the program's prompt prefix,
  // and the length of that prefix.
  std::string warmEndpoint;
  int64_t warmTokens = 0;
  // Endpoints at which this call has failed already; used only if no other
  // endpoint is usable.
  std::vector<std::string> avoid;
  // Required: a call still waiting at this time expires.
  TimePoint deadline;
};

// Tokens charged to the organisation when the call is granted: the prompt plus
// the completion limit. Finish corrects the charge to the tokens used.
int64_t
EstimatedTokens(const DispatchRequest& aRequest);

// Configuration of an endpoint.
struct EndpointConfig
{
  std::string name;
  std::string zone;
  // Maximum number of calls in flight.
  int capacity = 8;
  // Receives no new calls.
  bool leaving = false;
  // Remaining time until the endpoint leaves, if known.
  std::optional<Millis> leavesIn;
};

// Load measured and reported by an endpoint.
struct LoadReport
{
  std::string endpoint;
  // Calls at the endpoint when the report was made.
  int running = 0;
  int queued = 0;
  // Programs whose prompt prefix is in the endpoint's prefix cache.
  int heldPrograms = 0;
  // Measured by the endpoint.
  double prefillMillisPerToken = 0.1;
  double decodeMillisPerToken = 10;
  // Time since the report was made.
  Millis age{ 0 };
};

// Assignment of a waiting call to an endpoint.
struct Grant
{
  uint64_t id = 0;
  std::string endpoint;
};

// A call whose deadline passed while it waited.
struct ExpiredCall
{
  uint64_t id = 0;
  // kNoEndpoint if no endpoint is usable.
  RefusalReason reason = RefusalReason::kDeadlineExceeded;
};

// Outcome of a granted call, sent between daemons as a number. The circuit
// breaker counts kEndpointFailed and kNotReached as failures and ignores
// kCancelled.
enum class DispatchResult
{
  kOk,
  kEndpointFailed,
  kNotReached,
  kCancelled,
};

// Prompt tokens that are not in the endpoint's prefix cache and have to be
// prefilled there.
int64_t
UncachedTokens(const DispatchRequest& aRequest, const std::string& aEndpoint);

// A granted call that is no longer in flight.
struct FinishedCall
{
  TimePoint grantedAt;
  TimePoint finishedAt;
};

// Configuration, load and circuit breaker of one endpoint; input of the
// endpoint policies.
struct EndpointState
{
  EndpointConfig config;
  LoadReport report;
  int inFlight = 0;
  // Calls in the newest load report that this scheduler did not grant.
  int externalCalls = 0;
  // Estimated time to finish the prefill of the granted calls, as of the last
  // AddGrant or Advance.
  double pendingPrefillMillis = 0;
  // The breaker opens when these reach SchedulerSettings::breakerFailures.
  int consecutiveFailures = 0;
  TimePoint breakerOpenUntil;
  // Half-open breaker: after the pause a single trial call is granted. If it
  // succeeds, the breaker closes; if it fails, the breaker opens again.
  bool trialInFlight = false;
  std::optional<TimePoint> leavesAt;
  TimePoint reportMadeAt;
  // Grant times of the calls in flight; no more than the capacity allows.
  std::vector<TimePoint> grantTimes;
  // Calls that finished after the newest load report was made.
  std::deque<FinishedCall> finished;
  // Estimated end of the prefill of the granted calls.
  TimePoint prefillEndsAt;

  bool HasCapacity() const { return this->inFlight < this->config.capacity; }
  // Whether the endpoint may receive a new call, apart from its capacity: it is
  // not leaving and its breaker is closed, or half-open with no trial call in
  // flight.
  bool IsUsable(int aBreakerFailures, TimePoint aNow) const;
  // aPrefillTokens: prompt tokens that are not in the prefix cache there.
  void AddGrant(int64_t aPrefillTokens, TimePoint aNow);
  void RemoveGrant(TimePoint aGrantedAt, TimePoint aNow);
  // Ignores a report that is older than the newest one.
  void ApplyReport(const LoadReport& aReport, TimePoint aNow);
  // Recomputes config.leavesIn and pendingPrefillMillis.
  void Advance(TimePoint aNow);

private:
  // Calls of this scheduler that were in flight at aTime.
  int InFlightAt(TimePoint aTime) const;
};

// Plug-in: load-balancing policy.
class EndpointPolicy
{
public:
  virtual ~EndpointPolicy() = default;
  // Returns an index into aCandidates, which is not empty, is sorted by name
  // and holds only usable endpoints with free capacity.
  virtual size_t Choose(const DispatchRequest& aRequest,
                        const std::vector<const EndpointState*>& aCandidates,
                        std::mt19937_64& aRandom) = 0;
  // Whether the call should wait for its warm endpoint, which is at capacity,
  // instead of being granted to another endpoint now. aWaited: time since it
  // was enqueued.
  virtual bool ShouldWaitForWarm(const DispatchRequest& aRequest,
                                 const EndpointState& aWarmEndpoint,
                                 Millis aWaited);
};

// Plug-in: order of the waiting calls.
class QueuePolicy
{
public:
  virtual ~QueuePolicy() = default;
  virtual void Push(const DispatchRequest& aRequest, TimePoint aNow) = 0;
  // Ids of up to aLimit waiting calls, next to be granted first.
  virtual std::vector<uint64_t> Order(size_t aLimit, TimePoint aNow) = 0;
  // nullptr if no such call waits.
  virtual const DispatchRequest* Find(uint64_t aId) const = 0;
  virtual TimePoint EnqueuedAt(uint64_t aId) const = 0;
  virtual void Remove(uint64_t aId) = 0;
  // Charges an organisation for fair sharing; aTokens is negative if an earlier
  // charge was too high.
  virtual void ChargeTokens(const std::string& aOrganisation,
                            double aWeight,
                            int64_t aTokens) = 0;
  virtual std::vector<uint64_t> PastDeadline(TimePoint aNow) const = 0;
  virtual size_t Size() const = 0;
};

// A policy name that is not registered selects the default.
struct SchedulerSettings
{
  // "fair_program" (default): weighted fair queueing over organisations.
  // "fifo": order of arrival.
  std::string queuePolicy = "fair_program";
  // "expected_time" (default): least expected time for the call.
  // "least_load": lowest load in the newest reports.
  // "random", "round_robin".
  std::string endpointPolicy = "expected_time";
  // Bound of the queue; calls beyond it are rejected.
  size_t maxWaiting = 10000;
  // Consecutive failures that open the circuit breaker of an endpoint, and how
  // long it stays open before a trial call.
  int breakerFailures = 3;
  Millis breakerPause{ 2000 };
};

// Assigns the waiting calls of one model to its endpoints.
class Scheduler
{
public:
  Scheduler(SchedulerSettings aSettings, uint64_t aSeed);

  // Replaces the set of endpoints. An endpoint that is no longer in the set is
  // kept as leaving while it has calls in flight.
  void SetEndpoints(const std::vector<EndpointConfig>& aConfigs,
                    TimePoint aNow);
  void OnReport(const LoadReport& aReport, TimePoint aNow);
  // False if the queue is full; the caller should refuse with kOverloaded. Also
  // false if a call with this id waits or is in flight.
  bool Enqueue(const DispatchRequest& aRequest, TimePoint aNow);
  // Grants waiting calls to endpoints with free capacity and removes them from
  // the queue.
  std::vector<Grant> TakeGrants(TimePoint aNow);
  // Removes the calls whose deadline has passed from the queue.
  std::vector<ExpiredCall> TakeExpired(TimePoint aNow);
  // Removes a waiting call whose caller has disconnected.
  void Cancel(uint64_t aId);
  // Releases the capacity that a granted call held, corrects its charge to
  // aUsedTokens and updates the endpoint's circuit breaker.
  void Finish(uint64_t aId,
              int64_t aUsedTokens,
              DispatchResult aResult,
              TimePoint aNow);
  size_t QueueLength() const;
  const std::map<std::string, EndpointState>& Endpoints() const
  {
    return this->endpoints;
  }

private:
  struct InFlight
  {
    std::string endpoint;
    std::string organisation;
    double weight = 1;
    int64_t tokens = 0;
    TimePoint grantedAt;
    // The trial call of a half-open breaker.
    bool isTrial = false;
  };

  // Calls that could not be granted during one TakeGrants.
  using UnplacedCalls = std::set<uint64_t>;

  bool IsUsable(const EndpointState& aState, TimePoint aNow) const;
  // Free capacity of all usable endpoints, at most aMax.
  size_t FreeCapacity(size_t aMax, TimePoint aNow) const;
  void AdvanceEndpoints(TimePoint aNow);
  // Grants calls in queue order, at most aLimit, up to the first that cannot be
  // granted, which is added to aUnplaced. False if every call in the order
  // was in aUnplaced already.
  bool GrantPass(size_t aLimit,
                 std::vector<Grant>& aGrants,
                 UnplacedCalls& aUnplaced,
                 TimePoint aNow);
  // Whether the call stays queued for now, to wait for its warm endpoint.
  bool MustWaitForWarm(const DispatchRequest& aRequest, TimePoint aNow);
  // Updates the endpoint's circuit breaker.
  void RecordResult(EndpointState& aState,
                    bool aIsTrial,
                    DispatchResult aResult,
                    TimePoint aNow);

  // Usable endpoints with free capacity, without those that the call avoids
  // unless only these are usable.
  std::vector<const EndpointState*> Candidates(const DispatchRequest& aRequest,
                                               TimePoint aNow) const;
  // std::nullopt if the call stays queued.
  std::optional<std::string> ChooseEndpoint(const DispatchRequest& aRequest,
                                            TimePoint aNow);
  void RecordGrant(const DispatchRequest& aRequest,
                   const std::string& aEndpoint,
                   TimePoint aNow);

  const SchedulerSettings settings;
  std::unique_ptr<QueuePolicy> queue;
  std::unique_ptr<EndpointPolicy> policy;
  std::map<std::string, EndpointState> endpoints;
  std::map<uint64_t, InFlight> inFlight;
  std::mt19937_64 random;
};

// Token bucket that limits retries to a share of the first attempts, so that a
// failing endpoint cannot double the load. Starts full.
class RetryBudget
{
public:
  // aShare: tokens added by a first attempt; aMax: capacity of the bucket.
  RetryBudget(double aShare, double aMax);
  void OnFirstAttempt();
  // Takes the one token that a retry costs; false if there is none.
  bool TryConsume();

private:
  const double share;
  const double max;
  double tokens;
};

// Backoff before retry number aAttempt (from 1): exponential from aBase up to
// aMax, with full jitter.
Millis
RetryBackoff(int aAttempt, Millis aBase, Millis aMax, std::mt19937_64& aRandom);

} // namespace tanagerseam

#endif // TANAGERSEAM_ROUTE_ROUTE_H_
