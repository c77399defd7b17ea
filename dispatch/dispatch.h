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
// Takes time as an argument, knows no network and draws no random numbers.
//
// Each endpoint runs `slots` calls at once and queues more, in order of
// arrival. A call that waits here can still be put behind a more urgent one, so
// calls go out only while an endpoint is thought to have a free slot. What
// other hosts have under way is known from their reports and from the load that
// endpoints tell in their answers; both are late, so a call that has waited for
// kLongestHold goes out anyway, up to kOverfill beyond the slots.
//
// Among endpoints with a free slot the one is taken where the call is expected
// to end first: learnt speed, prompt parts that are not cached there, and the
// way to another availability zone.
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
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "kernel/kernel.h"

namespace tanagerseam {

// A part of a prompt, as endpoints cache it.
struct PromptPart
{
  std::string id;
  int64_t tokens = 0;
};

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
  // The time that another availability zone adds.
  double crossZoneMillis = 2;
  // Prompt tokens that an engine reads in a millisecond.
  double prefillTokensPerMilli = 150;
  // Load of a service at which a new program of priority 0 is refused; each
  // priority below begins to be refused earlier.
  double admitLoad = 1.15;
  double admitLoadStep = 0.05;
};

class Dispatcher
{
public:
  // A call is not held back for a free slot longer than this.
  static constexpr Millis kLongestHold{ 40 };
  // Load beyond the slots that is still sent to an endpoint, as a factor.
  static constexpr double kOverfill = 1.5;
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
                 std::unordered_map<std::string, int> aLoads,
                 TimePoint aNow);
  // What an endpoint said of itself: calls that run and wait.
  void EndpointLoad(const std::string& aEndpoint, int aCalls, TimePoint aNow);
  // This host's calls under way, by endpoint; for the other hosts.
  std::unordered_map<std::string, int> OwnLoads() const;
  // Calls under way at a service over its slots; 0 without endpoints.
  double ServiceLoad(const std::string& aService, TimePoint aNow) const;
  size_t WaitingCalls() const { return this->waiting.size(); }

private:
  struct State
  {
    DispatchEndpoint endpoint;
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
    std::list<std::string> cached;
    std::unordered_map<std::string, std::list<std::string>::iterator> cachedAt;
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
  struct PeerReport
  {
    std::unordered_map<std::string, int> loads;
    TimePoint at{};
  };

  double OtherLoad(const State& aState, TimePoint aNow) const;
  double Expected(const State& aState,
                  const DispatchWork& aWork,
                  TimePoint aNow) const;
  // The best endpoint with room, up to aFill times its slots.
  State* Choose(const DispatchWork& aWork, double aFill, TimePoint aNow);
  std::vector<State*> Candidates(const DispatchWork& aWork, TimePoint aNow);
  Placement Place(State& aState, const DispatchWork& aWork, TimePoint aNow);
  void Remember(State& aState, const std::string& aPart);
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
