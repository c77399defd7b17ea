// Takes calls in the order of the queue policy and grants each to the endpoint
// that the endpoint policy selects. The organisation is charged the estimated
// tokens at the grant, not only the used tokens at the end, so that calls
// granted at the same time are shared fairly too.
#include "route/route.h"

#include <algorithm>

namespace tanagerseam {

namespace {

// Bounds the cost of one pass over the queue.
constexpr size_t kMaxCallsPerPass = 64;
// TakeGrants returns once this many calls could not be granted; the next
// TakeGrants tries them again.
constexpr size_t kMaxUnplacedCalls = 64;

template<typename Policy>
std::unique_ptr<Policy>
MakeOrDefault(const std::string& aName, const std::string& aDefault)
{
  const Registry<Policy>& registry = Registry<Policy>::Instance();
  std::unique_ptr<Policy> policy = registry.Make(aName);
  return policy ? std::move(policy) : registry.Make(aDefault);
}

bool
Avoids(const DispatchRequest& aRequest, const std::string& aEndpoint)
{
  return std::find(aRequest.avoid.begin(), aRequest.avoid.end(), aEndpoint) !=
         aRequest.avoid.end();
}

} // namespace

int64_t
EstimatedTokens(const DispatchRequest& aRequest)
{
  return aRequest.promptTokens + aRequest.maxTokens;
}

int64_t
UncachedTokens(const DispatchRequest& aRequest, const std::string& aEndpoint)
{
  const bool isWarm = aEndpoint == aRequest.warmEndpoint;
  const int64_t cached = isWarm ? aRequest.warmTokens : 0;
  return std::max<int64_t>(0, aRequest.promptTokens - cached);
}

Scheduler::Scheduler(SchedulerSettings aSettings, uint64_t aSeed)
  : settings(std::move(aSettings))
  , queue(MakeOrDefault<QueuePolicy>(this->settings.queuePolicy,
                                     SchedulerSettings{}.queuePolicy))
  , policy(MakeOrDefault<EndpointPolicy>(this->settings.endpointPolicy,
                                         SchedulerSettings{}.endpointPolicy))
  , random(aSeed)
{
}

void
Scheduler::SetEndpoints(const std::vector<EndpointConfig>& aConfigs,
                        TimePoint aNow)
{
  for (auto& entry : this->endpoints) {
    entry.second.config.leaving = true;
  }
  std::set<std::string> configured;
  for (const EndpointConfig& config : aConfigs) {
    EndpointState& state = this->endpoints[config.name];
    state.config = config;
    state.leavesAt.reset();
    if (config.leavesIn) {
      state.leavesAt = aNow + *config.leavesIn;
    }
    configured.insert(config.name);
  }
  for (auto it = this->endpoints.begin(); it != this->endpoints.end();) {
    const bool isRemovable =
      configured.count(it->first) == 0 && it->second.inFlight == 0;
    it = isRemovable ? this->endpoints.erase(it) : std::next(it);
  }
}

void
Scheduler::OnReport(const LoadReport& aReport, TimePoint aNow)
{
  auto found = this->endpoints.find(aReport.endpoint);
  if (found != this->endpoints.end()) {
    found->second.ApplyReport(aReport, aNow);
  }
}

bool
Scheduler::Enqueue(const DispatchRequest& aRequest, TimePoint aNow)
{
  const bool isDuplicate = this->queue->Find(aRequest.id) != nullptr ||
                           this->inFlight.count(aRequest.id) > 0;
  if (isDuplicate || this->queue->Size() >= this->settings.maxWaiting) {
    return false;
  }
  this->queue->Push(aRequest, aNow);
  return true;
}

bool
Scheduler::IsUsable(const EndpointState& aState, TimePoint aNow) const
{
  return aState.IsUsable(this->settings.breakerFailures, aNow);
}

size_t
Scheduler::FreeCapacity(size_t aMax, TimePoint aNow) const
{
  size_t free = 0;
  for (const auto& entry : this->endpoints) {
    const EndpointState& state = entry.second;
    if (state.HasCapacity() && this->IsUsable(state, aNow)) {
      free += static_cast<size_t>(state.config.capacity - state.inFlight);
    }
    if (free >= aMax) {
      return aMax;
    }
  }
  return free;
}

void
Scheduler::AdvanceEndpoints(TimePoint aNow)
{
  for (auto& entry : this->endpoints) {
    entry.second.Advance(aNow);
  }
}

std::vector<Grant>
Scheduler::TakeGrants(TimePoint aNow)
{
  std::vector<Grant> grants;
  if (this->queue->Size() == 0) {
    return grants;
  }
  this->AdvanceEndpoints(aNow);
  UnplacedCalls unplaced;
  while (unplaced.size() < std::min(kMaxUnplacedCalls, this->queue->Size())) {
    const size_t limit =
      this->FreeCapacity(std::min(kMaxCallsPerPass, this->queue->Size()), aNow);
    if (limit == 0 || !this->GrantPass(limit, grants, unplaced, aNow)) {
      break;
    }
  }
  return grants;
}

bool
Scheduler::GrantPass(size_t aLimit,
                     std::vector<Grant>& aGrants,
                     UnplacedCalls& aUnplaced,
                     TimePoint aNow)
{
  bool progress = false;
  for (uint64_t id : this->queue->Order(aLimit + aUnplaced.size(), aNow)) {
    if (aUnplaced.count(id) > 0) {
      continue;
    }
    progress = true;
    const DispatchRequest request = *this->queue->Find(id);
    std::optional<std::string> endpoint;
    if (request.deadline > aNow) {
      endpoint = this->ChooseEndpoint(request, aNow);
    }
    if (!endpoint) {
      // The rest of the order assumes that this call was granted and charged;
      // the next pass computes the order again.
      aUnplaced.insert(id);
      break;
    }
    this->RecordGrant(request, *endpoint, aNow);
    aGrants.push_back({ id, *endpoint });
  }
  return progress;
}

std::vector<const EndpointState*>
Scheduler::Candidates(const DispatchRequest& aRequest, TimePoint aNow) const
{
  std::vector<const EndpointState*> preferred;
  std::vector<const EndpointState*> avoided;
  bool preferredIsFull = false;
  for (const auto& entry : this->endpoints) {
    const EndpointState& state = entry.second;
    if (!this->IsUsable(state, aNow)) {
      continue;
    }
    const bool avoid = Avoids(aRequest, entry.first);
    if (state.HasCapacity()) {
      (avoid ? avoided : preferred).push_back(&state);
    } else if (!avoid) {
      preferredIsFull = true;
    }
  }
  // An avoided endpoint is used only if no other one is usable.
  if (preferred.empty() && !preferredIsFull) {
    return avoided;
  }
  return preferred;
}

bool
Scheduler::MustWaitForWarm(const DispatchRequest& aRequest, TimePoint aNow)
{
  auto warm = this->endpoints.find(aRequest.warmEndpoint);
  if (warm == this->endpoints.end() || warm->second.HasCapacity()) {
    return false;
  }
  if (!this->IsUsable(warm->second, aNow) ||
      Avoids(aRequest, aRequest.warmEndpoint)) {
    return false;
  }
  const TimePoint enqueuedAt = this->queue->EnqueuedAt(aRequest.id);
  const Millis waited{ MillisBetween(enqueuedAt, aNow) };
  return this->policy->ShouldWaitForWarm(aRequest, warm->second, waited);
}

std::optional<std::string>
Scheduler::ChooseEndpoint(const DispatchRequest& aRequest, TimePoint aNow)
{
  if (this->MustWaitForWarm(aRequest, aNow)) {
    return std::nullopt;
  }
  const auto candidates = this->Candidates(aRequest, aNow);
  if (candidates.empty()) {
    return std::nullopt;
  }
  const size_t chosen =
    this->policy->Choose(aRequest, candidates, this->random);
  return candidates[chosen]->config.name;
}

void
Scheduler::RecordGrant(const DispatchRequest& aRequest,
                       const std::string& aEndpoint,
                       TimePoint aNow)
{
  EndpointState& state = this->endpoints.at(aEndpoint);
  InFlight call;
  call.endpoint = aEndpoint;
  call.organisation = aRequest.organisation;
  call.weight = aRequest.weight;
  call.tokens = EstimatedTokens(aRequest);
  call.grantedAt = aNow;
  call.isTrial = state.consecutiveFailures >= this->settings.breakerFailures;
  state.trialInFlight = state.trialInFlight || call.isTrial;
  state.AddGrant(UncachedTokens(aRequest, aEndpoint), aNow);
  // Charge before Remove, so that the organisation is still active (has a
  // waiting call) when it is charged.
  this->queue->ChargeTokens(call.organisation, call.weight, call.tokens);
  this->queue->Remove(aRequest.id);
  this->inFlight.emplace(aRequest.id, std::move(call));
}

std::vector<ExpiredCall>
Scheduler::TakeExpired(TimePoint aNow)
{
  const bool anyUsable = std::any_of(
    this->endpoints.begin(), this->endpoints.end(), [&](const auto& aEntry) {
      return this->IsUsable(aEntry.second, aNow);
    });
  std::vector<ExpiredCall> expired;
  for (uint64_t id : this->queue->PastDeadline(aNow)) {
    this->queue->Remove(id);
    expired.push_back({ id,
                        anyUsable ? RefusalReason::kDeadlineExceeded
                                  : RefusalReason::kNoEndpoint });
  }
  return expired;
}

void
Scheduler::Cancel(uint64_t aId)
{
  this->queue->Remove(aId);
}

void
Scheduler::Finish(uint64_t aId,
                  int64_t aUsedTokens,
                  DispatchResult aResult,
                  TimePoint aNow)
{
  auto found = this->inFlight.find(aId);
  if (found == this->inFlight.end()) {
    return;
  }
  const InFlight call = std::move(found->second);
  this->inFlight.erase(found);
  this->queue->ChargeTokens(
    call.organisation, call.weight, aUsedTokens - call.tokens);
  auto endpoint = this->endpoints.find(call.endpoint);
  endpoint->second.RemoveGrant(call.grantedAt, aNow);
  this->RecordResult(endpoint->second, call.isTrial, aResult, aNow);
}

void
Scheduler::RecordResult(EndpointState& aState,
                        bool aIsTrial,
                        DispatchResult aResult,
                        TimePoint aNow)
{
  if (aIsTrial) {
    aState.trialInFlight = false;
  }
  if (aResult == DispatchResult::kCancelled) {
    return;
  }
  if (aResult == DispatchResult::kOk) {
    aState.consecutiveFailures = 0;
    return;
  }
  ++aState.consecutiveFailures;
  // Failures of calls granted before the breaker opened do not prolong the
  // pause.
  if (aIsTrial ||
      aState.consecutiveFailures == this->settings.breakerFailures) {
    aState.breakerOpenUntil = aNow + this->settings.breakerPause;
  }
}

size_t
Scheduler::QueueLength() const
{
  return this->queue->Size();
}

} // namespace tanagerseam
