// Which call goes next, and to which endpoint.
//
//   Dispatcher dispatcher(settings);
//   dispatcher.SetEndpoints("drafting", endpoints);
//   auto choice = dispatcher.Offer(work, now);
//   if (auto* place = std::get_if<Placement>(&choice)) { ... send ... }
//   dispatcher.Started(...)  is part of a Placement
//   dispatcher.Finished(work.id, outcome, now);
//   for (const Placement& next : dispatcher.Next(now)) { ... send ... }
//
// Takes time as an argument, knows no network and draws no random numbers: what
// is drawn, is drawn by hash.
//
// Each endpoint runs `slots` calls at once and queues more, in order of
// arrival. A call that waits here can still be put behind a more urgent one, so
// calls go out only while an endpoint is thought to have a free slot. What
// other hosts have under way is known from their reports and from the load that
// endpoints tell in their answers; both are late, so a call that has waited for
// `longestHold` goes out anyway, up to `overfill` beyond the slots.
//
// Among endpoints with a free slot the one is taken where the call is expected
// to end first: learnt speed, prompt parts that are not cached there, and the
// way to another availability zone. Reading a prompt holds up every call of the
// endpoint's batch, so a part that is not cached weighs more on a busy one.
//
// Calls of one program come in at several hosts, and no host sees what the
// others have sent where. So all hosts of an availability zone expect a
// program's prompt at the same endpoint of their zone, the one with the highest
// hash of program and endpoint, unless they have sent it elsewhere themselves.
//
// Loads are known late, so hosts that all took the least loaded endpoint would
// all take the same one. Each call is compared at that endpoint of its program
// and at `drawnEndpoints` others with room, drawn by hash of host and call, the
// first of them in the host's own zone if there is one with room.
//
// Admission: the first call of a program is refused while the service's load
// is at its limit for this priority; calls of programs under way never are.
//
// Ejection: an endpoint that can't be reached gets no calls for a time that
// doubles; at most half of a service's endpoints are left out.
//
// Cost: Offer is linear in the endpoints of the service; Next in the calls that
// wait times endpoints.
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

#include "kernel/digest.h"
#include "kernel/kernel.h"

namespace tanagerseam {

// A part of a prompt, as endpoints cache it. A line of turns keeps its part's
// id, and the part grows with each turn.
struct PromptPart
{
  std::string id;
  int64_t tokens = 0;
};

// The key of an endpoint in reports between hosts.
inline uint32_t
EndpointTag(const std::string& aId)
{
  return static_cast<uint32_t>(StableHash(aId));
}

// Calls under way, by the tag of the endpoint.
using EndpointLoads = std::unordered_map<uint32_t, int>;

// An endpoint, as far as choosing needs it.
struct DispatchEndpoint
{
  std::string id;
  std::string zone;
  int slots = 1;
};

// One call that is to be sent.
struct DispatchWork
{
  uint64_t id = 0;
  std::string service;
  // Calls with the same name take comparable time.
  std::string route;
  // 0 goes first.
  int priority = 0;
  // The first call of its program: may be refused for load.
  bool beginsProgram = false;
  // When its program should end; later ones wait longer.
  TimePoint finishAt{};
  std::vector<PromptPart> prompt;
  // Calls of one group, such as a program, share most of their prompts.
  std::string group;
  // Calls about the same object; empty if there is none.
  std::string affinity;
  // Most tokens that it generates; 0 for plain services.
  int64_t outputTokens = 0;
  // Endpoints that it must not go to.
  std::set<std::string> avoid;
};

struct Placement
{
  uint64_t workId = 0;
  std::string endpoint;
  // Why there, for the log.
  double expectedMillis = 0;
  int ownLoad = 0;
  double otherLoad = 0;
};

// It waits; Next will name it.
struct Waiting
{
  size_t ahead = 0;
};

enum class DispatchRefusal
{
  // No endpoint of the service takes calls.
  kNoEndpoint,
  // All slots are taken and programs under way go first.
  kOverloaded,
};

struct Refused
{
  DispatchRefusal reason = DispatchRefusal::kNoEndpoint;
  // Calls under way at the service over its slots.
  double load = 0;
};

using DispatchChoice = std::variant<Placement, Waiting, Refused>;

enum class WorkEnd
{
  // A whole answer.
  kAnswered,
  // The endpoint turned the call away before it ran.
  kTurnedAway,
  // No connection came about.
  kUnreachable,
  // It broke off, or the answer was not right.
  kBroken,
  // The caller left, or time was up.
  kAbandoned,
};

struct WorkOutcome
{
  WorkEnd end = WorkEnd::kAnswered;
  Millis took{ 0 };
  // For streams: from the first event to the end, and tokens in it.
  Millis streamed{ 0 };
  int64_t tokens = 0;
};

struct DispatchSettings
{
  std::string zone;
  // Distinguishes this host's draws from those of others.
  std::string host;
  // The time that another availability zone adds.
  double crossZoneMillis = 2;
  // Prompt tokens that an engine reads in a millisecond.
  double prefillTokensPerMilli = 150;
  // Load of a service at which a new program of priority 0 is refused; each
  // priority below begins to be refused earlier.
  double admitLoad = 1.15;
  double admitLoadStep = 0.05;
  // Calls are held back for a free slot this long, then sent up to `overfill`
  // times the slots.
  Millis longestHold{ 40 };
  double overfill = 1.5;
  // Part of the time for reading a prompt that counts once more for each call
  // of the batch that it holds up.
  double batchDelay = 1;
  // Endpoints that are compared for a call, beside the one that its group
  // prefers.
  size_t drawnEndpoints = 2;
};

class Dispatcher
{
public:
  // Reports of other hosts and endpoints count for this long.
  static constexpr Millis kReportLife{ 1500 };

  explicit Dispatcher(DispatchSettings aSettings);

  // The endpoints of a service that take calls; others are forgotten once
  // their last call has ended.
  void SetEndpoints(const std::string& aService,
                    const std::vector<DispatchEndpoint>& aEndpoints);
  DispatchChoice Offer(const DispatchWork& aWork, TimePoint aNow);
  // Calls that waited and go now.
  std::vector<Placement> Next(TimePoint aNow);
  // A call that waits is taken back.
  void Remove(uint64_t aWorkId);
  void Finished(uint64_t aWorkId, const WorkOutcome& aOutcome, TimePoint aNow);
  // What another host has under way, by endpoint.
  void PeerLoads(const std::string& aHost,
                 EndpointLoads aLoads,
                 TimePoint aNow);
  // What an endpoint said of itself: calls that run and wait.
  void EndpointLoad(const std::string& aEndpoint, int aCalls, TimePoint aNow);
  // This host's calls under way, by endpoint; for the other hosts.
  EndpointLoads OwnLoads() const;
  // Calls under way at a service over its slots; 0 without endpoints.
  double ServiceLoad(const std::string& aService, TimePoint aNow) const;
  size_t WaitingCalls() const { return this->waiting.size(); }

private:
  struct CachedPart
  {
    std::string id;
    int64_t tokens = 0;
  };
  struct State
  {
    DispatchEndpoint endpoint;
    uint32_t tag = 0;
    std::string service;
    bool takesCalls = true;
    int own = 0;
    // Told by the endpoint: all calls less our own at that time.
    double toldOthers = 0;
    TimePoint toldAt{};
    // Time of a call over that of others like it.
    double slowness = 1;
    int failures = 0;
    TimePoint ejectedUntil{};
    // Prompt parts and objects, newest use first.
    std::list<CachedPart> cached;
    std::unordered_map<std::string, std::list<CachedPart>::iterator> cachedAt;
  };
  struct UnderWay
  {
    std::string endpoint;
    std::string route;
    bool isStream = false;
  };
  struct Held
  {
    DispatchWork work;
    TimePoint since{};
  };
  struct Choice
  {
    State* state = nullptr;
    double expectedMillis = 0;
  };
  struct PeerReport
  {
    EndpointLoads loads;
    TimePoint at{};
  };

  double OtherLoad(const State& aState, TimePoint aNow) const;
  bool IsNear(const State& aState) const
  {
    return aState.endpoint.zone == this->settings.zone;
  }
  double Load(const State& aState, TimePoint aNow) const
  {
    return aState.own + this->OtherLoad(aState, aNow);
  }
  double Expected(const State& aState,
                  const DispatchWork& aWork,
                  bool aIsPreferred,
                  TimePoint aNow) const;
  // Tokens of the prompt that the endpoint is thought to have to read.
  static int64_t UncachedTokens(const State& aState,
                                const DispatchWork& aWork,
                                bool aIsPreferred);
  // Where all hosts of this zone expect what the calls of a group have in
  // common; nothing for calls without a group.
  const State* Preferred(const std::vector<State*>& aStates,
                         const std::string& aGroup) const;
  // The endpoints that are compared for a call.
  std::vector<State*> Draw(const std::vector<State*>& aStates,
                           const State* aPreferred,
                           uint64_t aWorkId) const;
  // The best endpoint with room, up to aFill times its slots.
  std::optional<Choice> Choose(const DispatchWork& aWork,
                               double aFill,
                               TimePoint aNow);
  std::vector<State*> Candidates(const DispatchWork& aWork, TimePoint aNow);
  Placement Place(const Choice& aChoice,
                  const DispatchWork& aWork,
                  TimePoint aNow);
  static void Remember(State& aState, const PromptPart& aPart);
  void LearnSpeed(State& aState,
                  const UnderWay& aCall,
                  const WorkOutcome& aOutcome);
  double RouteMillis(const std::string& aRoute) const;

  DispatchSettings settings;
  std::map<std::string, State> states;
  std::unordered_map<uint64_t, UnderWay> underWay;
  std::list<Held> waiting;
  std::unordered_map<std::string, PeerReport> peers;
  // Average time of a call, by route; of a token, by route.
  std::unordered_map<std::string, double> routeMillis;
  std::unordered_map<std::string, double> tokenMillis;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_DISPATCH_DISPATCH_H_
