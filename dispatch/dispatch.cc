#include "dispatch/dispatch.h"

#include <algorithm>
#include <tuple>

namespace tanagerseam {

namespace {

constexpr double kAverageWeight = 0.1;
constexpr double kMinSlowness = 0.3;
constexpr double kMaxSlowness = 10;
// Time of a call of which nothing is known yet.
constexpr double kUnknownRouteMillis = 100;
// Parts of prompts and objects that are remembered for each endpoint.
constexpr size_t kMaxCached = 512;
constexpr Millis kFirstEjection(400);
constexpr int kMaxEjectionDoublings = 3;
constexpr double kMostEjected = 0.5;
// What a call about an object saves where the object was handled lately.
constexpr double kAffinityGain = 0.3;

double
MillisOf(Millis aTime)
{
  return static_cast<double>(aTime.count());
}

} // namespace

Dispatcher::Dispatcher(DispatchSettings aSettings)
  : settings(std::move(aSettings))
{
}

void
Dispatcher::SetEndpoints(const std::string& aService,
                         const std::vector<DispatchEndpoint>& aEndpoints)
{
  for (auto& entry : this->states) {
    if (entry.second.service == aService) {
      entry.second.takesCalls = false;
    }
  }
  for (const DispatchEndpoint& endpoint : aEndpoints) {
    State& state = this->states[endpoint.id];
    state.endpoint = endpoint;
    state.service = aService;
    state.takesCalls = true;
  }
  for (auto it = this->states.begin(); it != this->states.end();) {
    const bool forget = !it->second.takesCalls && it->second.own == 0;
    it = forget ? this->states.erase(it) : std::next(it);
  }
}

double
Dispatcher::OtherLoad(const State& aState, TimePoint aNow) const
{
  double reported = 0;
  TimePoint newest{};
  for (const auto& peer : this->peers) {
    if (aNow - peer.second.at > kReportLife) {
      continue;
    }
    auto load = peer.second.loads.find(aState.endpoint.id);
    reported += load == peer.second.loads.end() ? 0 : load->second;
    newest = std::max(newest, peer.second.at);
  }
  const bool told =
    aState.toldAt != TimePoint{} && aNow - aState.toldAt <= kReportLife;
  if (told && aState.toldAt >= newest) {
    return aState.toldOthers;
  }
  return reported;
}

double
Dispatcher::RouteMillis(const std::string& aRoute) const
{
  auto found = this->routeMillis.find(aRoute);
  return found == this->routeMillis.end() ? kUnknownRouteMillis : found->second;
}

double
Dispatcher::Expected(const State& aState,
                     const DispatchWork& aWork,
                     TimePoint aNow) const
{
  double work = this->RouteMillis(aWork.route) * aState.slowness;
  if (!aWork.affinity.empty() && aState.cachedAt.count(aWork.affinity) > 0) {
    work *= 1 - kAffinityGain;
  }
  const double slots = std::max(1, aState.endpoint.slots);
  const double load = aState.own + this->OtherLoad(aState, aNow);
  // Each call shares the endpoint's processor with those that run.
  const double shared = 1 + 0.15 * std::min(1.0, load / slots);
  const double ahead = std::max(0.0, load + 1 - slots);
  const double wait = ahead / slots * work;
  int64_t cold = 0;
  bool prefixHeld = true;
  for (const PromptPart& part : aWork.prompt) {
    prefixHeld = prefixHeld && aState.cachedAt.count(part.id) > 0;
    cold += prefixHeld ? 0 : part.tokens;
  }
  const double prefill = cold / this->settings.prefillTokensPerMilli;
  const bool near = aState.endpoint.zone == this->settings.zone;
  const double way = near ? 0 : this->settings.crossZoneMillis;
  return work * shared + wait + prefill + way;
}

std::vector<Dispatcher::State*>
Dispatcher::Candidates(const DispatchWork& aWork, TimePoint aNow)
{
  std::vector<State*> all;
  std::vector<State*> sound;
  for (auto& entry : this->states) {
    State& state = entry.second;
    if (state.service != aWork.service || !state.takesCalls ||
        aWork.avoid.count(entry.first) > 0) {
      continue;
    }
    all.push_back(&state);
    if (aNow >= state.ejectedUntil) {
      sound.push_back(&state);
    }
  }
  const double ejected = static_cast<double>(all.size() - sound.size());
  const bool tooMany = ejected > kMostEjected * static_cast<double>(all.size());
  return tooMany ? all : sound;
}

Dispatcher::State*
Dispatcher::Choose(const DispatchWork& aWork, double aFill, TimePoint aNow)
{
  State* best = nullptr;
  double bestMillis = 0;
  for (State* state : this->Candidates(aWork, aNow)) {
    const double load = state->own + this->OtherLoad(*state, aNow);
    if (load >= aFill * state->endpoint.slots) {
      continue;
    }
    const double millis = this->Expected(*state, aWork, aNow);
    if (best == nullptr || millis < bestMillis) {
      best = state;
      bestMillis = millis;
    }
  }
  return best;
}

void
Dispatcher::Remember(State& aState, const std::string& aPart)
{
  auto known = aState.cachedAt.find(aPart);
  if (known != aState.cachedAt.end()) {
    aState.cached.splice(aState.cached.begin(), aState.cached, known->second);
    return;
  }
  aState.cached.push_front(aPart);
  aState.cachedAt[aPart] = aState.cached.begin();
  if (aState.cached.size() > kMaxCached) {
    aState.cachedAt.erase(aState.cached.back());
    aState.cached.pop_back();
  }
}

Placement
Dispatcher::Place(State& aState, const DispatchWork& aWork, TimePoint aNow)
{
  Placement placement;
  placement.workId = aWork.id;
  placement.endpoint = aState.endpoint.id;
  placement.expectedMillis = this->Expected(aState, aWork, aNow);
  placement.ownLoad = aState.own;
  placement.otherLoad = this->OtherLoad(aState, aNow);
  ++aState.own;
  for (const PromptPart& part : aWork.prompt) {
    this->Remember(aState, part.id);
  }
  if (!aWork.affinity.empty()) {
    this->Remember(aState, aWork.affinity);
  }
  this->underWay[aWork.id] = { aState.endpoint.id,
                               aWork.route,
                               aWork.outputTokens > 0 };
  return placement;
}

double
Dispatcher::ServiceLoad(const std::string& aService, TimePoint aNow) const
{
  double slots = 0;
  double load = 0;
  for (const auto& entry : this->states) {
    const State& state = entry.second;
    if (state.service == aService && state.takesCalls) {
      slots += state.endpoint.slots;
      load += state.own + this->OtherLoad(state, aNow);
    }
  }
  return slots > 0 ? load / slots : 0;
}

DispatchChoice
Dispatcher::Offer(const DispatchWork& aWork, TimePoint aNow)
{
  if (this->Candidates(aWork, aNow).empty()) {
    return Refused{ DispatchRefusal::kNoEndpoint, 0 };
  }
  if (aWork.beginsProgram) {
    const double limit =
      this->settings.admitLoad - this->settings.admitLoadStep * aWork.priority;
    double load = this->ServiceLoad(aWork.service, aNow);
    for (const Held& held : this->waiting) {
      load += held.work.service == aWork.service ? 0.02 : 0;
    }
    if (load >= limit) {
      return Refused{ DispatchRefusal::kOverloaded, load };
    }
  }
  if (State* state = this->Choose(aWork, 1, aNow)) {
    return this->Place(*state, aWork, aNow);
  }
  this->waiting.push_back({ aWork, aNow });
  return Waiting{ this->waiting.size() - 1 };
}

std::vector<Placement>
Dispatcher::Next(TimePoint aNow)
{
  // Programs that can still end in time go first; of these the more urgent
  // ones, then those that should end first.
  this->waiting.sort([aNow](const Held& aLeft, const Held& aRight) {
    const bool leftLate = aLeft.work.finishAt < aNow;
    const bool rightLate = aRight.work.finishAt < aNow;
    return std::tie(leftLate,
                    aLeft.work.priority,
                    aLeft.work.finishAt,
                    aLeft.work.id) < std::tie(rightLate,
                                              aRight.work.priority,
                                              aRight.work.finishAt,
                                              aRight.work.id);
  });
  std::vector<Placement> placements;
  for (auto it = this->waiting.begin(); it != this->waiting.end();) {
    const bool heldLong = aNow - it->since >= kLongestHold;
    State* state = this->Choose(it->work, heldLong ? kOverfill : 1, aNow);
    if (state == nullptr) {
      ++it;
      continue;
    }
    placements.push_back(this->Place(*state, it->work, aNow));
    it = this->waiting.erase(it);
  }
  return placements;
}

void
Dispatcher::Remove(uint64_t aWorkId)
{
  this->waiting.remove_if(
    [aWorkId](const Held& aHeld) { return aHeld.work.id == aWorkId; });
}

void
Dispatcher::LearnSpeed(State& aState,
                       const UnderWay& aCall,
                       const WorkOutcome& aOutcome)
{
  double& whole = this->routeMillis[aCall.route];
  const double took = std::max(0.1, MillisOf(aOutcome.took));
  whole = whole == 0 ? took : whole + kAverageWeight * (took - whole);
  double sample = took;
  double mean = whole;
  if (aCall.isStream) {
    if (aOutcome.tokens == 0 || aOutcome.streamed.count() <= 0) {
      return;
    }
    double& token = this->tokenMillis[aCall.route];
    sample = MillisOf(aOutcome.streamed) / static_cast<double>(aOutcome.tokens);
    token = token == 0 ? sample : token + kAverageWeight * (sample - token);
    mean = token;
  }
  const double ratio = std::clamp(sample / mean, kMinSlowness, kMaxSlowness);
  aState.slowness += kAverageWeight * (ratio - aState.slowness);
}

void
Dispatcher::Finished(uint64_t aWorkId,
                     const WorkOutcome& aOutcome,
                     TimePoint aNow)
{
  auto found = this->underWay.find(aWorkId);
  if (found == this->underWay.end()) {
    return;
  }
  const UnderWay call = found->second;
  this->underWay.erase(found);
  auto entry = this->states.find(call.endpoint);
  if (entry == this->states.end()) {
    return;
  }
  State& state = entry->second;
  state.own = std::max(0, state.own - 1);
  if (aOutcome.end == WorkEnd::kAnswered) {
    state.failures = 0;
    this->LearnSpeed(state, call, aOutcome);
  } else if (aOutcome.end == WorkEnd::kUnreachable) {
    const int doublings = std::min(state.failures, kMaxEjectionDoublings);
    state.ejectedUntil = aNow + kFirstEjection * (1 << doublings);
    ++state.failures;
  }
  if (!state.takesCalls && state.own == 0) {
    this->states.erase(entry);
  }
}

void
Dispatcher::PeerLoads(const std::string& aHost,
                      std::unordered_map<std::string, int> aLoads,
                      TimePoint aNow)
{
  this->peers[aHost] = { std::move(aLoads), aNow };
}

void
Dispatcher::EndpointLoad(const std::string& aEndpoint,
                         int aCalls,
                         TimePoint aNow)
{
  auto found = this->states.find(aEndpoint);
  if (found != this->states.end()) {
    State& state = found->second;
    state.toldOthers = std::max(0, aCalls - state.own);
    state.toldAt = aNow;
  }
}

std::unordered_map<std::string, int>
Dispatcher::OwnLoads() const
{
  std::unordered_map<std::string, int> loads;
  for (const auto& entry : this->states) {
    if (entry.second.own > 0) {
      loads[entry.first] = entry.second.own;
    }
  }
  return loads;
}

} // namespace tanagerseam
