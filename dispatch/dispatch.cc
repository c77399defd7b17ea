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

// Of a part, what the endpoint is expected to hold at which all hosts expect a
// program's prompts; the rest is new.
constexpr double kExpectedPart = 0.7;
// A part of which so much is held counts as held: what follows it can be, too.
constexpr double kWholePart = 0.9;

int64_t
ExpectedTokens(const PromptPart& aPart)
{
  return static_cast<int64_t>(static_cast<double>(aPart.tokens) *
                              kExpectedPart);
}

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
    state.tag = EndpointTag(endpoint.id);
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
    auto load = peer.second.loads.find(aState.tag);
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

const Dispatcher::State*
Dispatcher::Preferred(const std::vector<State*>& aStates,
                      const std::string& aGroup) const
{
  if (aGroup.empty()) {
    return nullptr;
  }
  const auto rank = [this, &aGroup](const State* aState) {
    return std::make_pair(this->IsNear(*aState),
                          StableHash(aGroup + "@" + aState->endpoint.id));
  };
  const State* preferred = nullptr;
  for (const State* state : aStates) {
    if (preferred == nullptr || rank(state) > rank(preferred)) {
      preferred = state;
    }
  }
  return preferred;
}

int64_t
Dispatcher::UncachedTokens(const State& aState,
                           const DispatchWork& aWork,
                           bool aIsPreferred)
{
  int64_t tokens = 0;
  bool prefixHeld = true;
  for (const PromptPart& part : aWork.prompt) {
    int64_t held = aIsPreferred ? ExpectedTokens(part) : 0;
    auto known = aState.cachedAt.find(part.id);
    if (known != aState.cachedAt.end()) {
      held = std::max(held, known->second->tokens);
    }
    held = prefixHeld ? std::min(held, part.tokens) : 0;
    prefixHeld = static_cast<double>(held) >=
                 static_cast<double>(part.tokens) * kWholePart;
    tokens += part.tokens - held;
  }
  return tokens;
}

double
Dispatcher::Expected(const State& aState,
                     const DispatchWork& aWork,
                     bool aIsPreferred,
                     TimePoint aNow) const
{
  double work = this->RouteMillis(aWork.route) * aState.slowness;
  if (!aWork.affinity.empty() && aState.cachedAt.count(aWork.affinity) > 0) {
    work *= 1 - kAffinityGain;
  }
  const double slots = std::max(1, aState.endpoint.slots);
  const double load = this->Load(aState, aNow);
  // Each call shares the endpoint's processor with those that run.
  const double shared = 1 + 0.15 * std::min(1.0, load / slots);
  const double ahead = std::max(0.0, load + 1 - slots);
  const double wait = ahead / slots * work;
  const auto unread =
    static_cast<double>(UncachedTokens(aState, aWork, aIsPreferred));
  const double heldUp = this->settings.batchDelay * std::min(load, slots);
  const double prefill =
    unread / this->settings.prefillTokensPerMilli * (1 + heldUp);
  const double way = this->IsNear(aState) ? 0 : this->settings.crossZoneMillis;
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

std::vector<Dispatcher::State*>
Dispatcher::Draw(const std::vector<State*>& aStates,
                 const State* aPreferred,
                 uint64_t aWorkId) const
{
  const std::string salt =
    this->settings.host + "/" + std::to_string(aWorkId) + "/";
  std::vector<std::pair<uint64_t, State*>> ranked;
  std::vector<State*> drawn;
  for (State* state : aStates) {
    if (state == aPreferred) {
      drawn.push_back(state);
    } else {
      ranked.emplace_back(StableHash(salt + state->endpoint.id), state);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  const auto near =
    std::find_if(ranked.begin(), ranked.end(), [this](const auto& aEntry) {
      return this->IsNear(*aEntry.second);
    });
  if (near != ranked.end()) {
    std::rotate(ranked.begin(), near, near + 1);
  }
  for (size_t i = 0; i < std::min(ranked.size(), this->settings.drawnEndpoints);
       ++i) {
    drawn.push_back(ranked[i].second);
  }
  return drawn;
}

std::optional<Dispatcher::Choice>
Dispatcher::Choose(const DispatchWork& aWork, double aFill, TimePoint aNow)
{
  const auto candidates = this->Candidates(aWork, aNow);
  const State* preferred = this->Preferred(candidates, aWork.group);
  std::vector<State*> roomy;
  for (State* state : candidates) {
    if (this->Load(*state, aNow) < aFill * state->endpoint.slots) {
      roomy.push_back(state);
    }
  }
  std::optional<Choice> best;
  for (State* state : this->Draw(roomy, preferred, aWork.id)) {
    const double millis =
      this->Expected(*state, aWork, state == preferred, aNow);
    if (!best || millis < best->expectedMillis) {
      best = Choice{ state, millis };
    }
  }
  return best;
}

void
Dispatcher::Remember(State& aState, const PromptPart& aPart)
{
  auto known = aState.cachedAt.find(aPart.id);
  if (known != aState.cachedAt.end()) {
    aState.cached.splice(aState.cached.begin(), aState.cached, known->second);
    known->second->tokens = std::max(known->second->tokens, aPart.tokens);
    return;
  }
  aState.cached.push_front({ aPart.id, aPart.tokens });
  aState.cachedAt[aPart.id] = aState.cached.begin();
  if (aState.cached.size() > kMaxCached) {
    aState.cachedAt.erase(aState.cached.back().id);
    aState.cached.pop_back();
  }
}

Placement
Dispatcher::Place(const Choice& aChoice,
                  const DispatchWork& aWork,
                  TimePoint aNow)
{
  State& state = *aChoice.state;
  Placement placement;
  placement.workId = aWork.id;
  placement.endpoint = state.endpoint.id;
  placement.expectedMillis = aChoice.expectedMillis;
  placement.ownLoad = state.own;
  placement.otherLoad = this->OtherLoad(state, aNow);
  ++state.own;
  for (const PromptPart& part : aWork.prompt) {
    Remember(state, part);
  }
  if (!aWork.prompt.empty()) {
    // What the call generates stays with the last part.
    const PromptPart& last = aWork.prompt.back();
    Remember(state, { last.id, last.tokens + aWork.outputTokens });
  }
  if (!aWork.affinity.empty()) {
    Remember(state, { aWork.affinity, 0 });
  }
  this->underWay[aWork.id] = { state.endpoint.id,
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
      load += this->Load(state, aNow);
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
  if (const auto choice = this->Choose(aWork, 1, aNow)) {
    return this->Place(*choice, aWork, aNow);
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
    const bool heldLong = aNow - it->since >= this->settings.longestHold;
    const double fill = heldLong ? this->settings.overfill : 1;
    const auto choice = this->Choose(it->work, fill, aNow);
    if (!choice) {
      ++it;
      continue;
    }
    placements.push_back(this->Place(*choice, it->work, aNow));
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
                      EndpointLoads aLoads,
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

EndpointLoads
Dispatcher::OwnLoads() const
{
  EndpointLoads loads;
  for (const auto& entry : this->states) {
    if (entry.second.own > 0) {
      loads[entry.second.tag] = entry.second.own;
    }
  }
  return loads;
}

} // namespace tanagerseam
