// Discrete-time simulation of an overloaded fleet, with real dispatchers, no
// network and seeded randomness: two routes of different urgency on engines
// that run calls in order of arrival, organisations of unequal load, hosts that
// report to sixteen peers in turn, and clients that retry.
//
//   OverloadModel model(OverloadDay{});
//   model.Run();
//   model.Of(OverloadModel::kUrgent).MeanValue();
//
// Values: a program that ends in time is worth 1; one that ends within twice
// its time is worth the `lateValue` of its route; others are worth nothing.
#ifndef TANAGERSEAM_DISPATCH_TESTING_OVERLOAD_MODEL_H_
#define TANAGERSEAM_DISPATCH_TESTING_OVERLOAD_MODEL_H_

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>

#include "dispatch/dispatch.h"

namespace tanagerseam {

struct OverloadRoute
{
  std::string name;
  int priority = 0;
  int turns = 1;
  double callMillis = 100;
  int64_t pauseMillis = 100;
  double lateValue = 0;
  // Multiplies the arrivals within the burst.
  double burstFactor = 1;
};

struct OverloadDay
{
  uint64_t seed = 1;
  size_t hosts = 10;
  int64_t durationMillis = 14000;
  int64_t burstFromMillis = 4000;
  int64_t burstUntilMillis = 9000;
  // Work offered outside the burst, as a fraction of the slots.
  double usualLoad = 0.75;
  int organisations = 81;
  // Multiplies the load of organisation 0 within the burst.
  double floodFactor = 1;
  bool contention = true;
};

struct ValueTally
{
  int programs = 0;
  double value = 0;
  double MeanValue() const
  {
    return this->programs == 0 ? 1 : this->value / this->programs;
  }
};

class OverloadModel
{
public:
  static constexpr int64_t kStepMillis = 5;
  static constexpr int kSlots = 6;
  static constexpr size_t kUrgent = 0;
  static constexpr size_t kDrafts = 1;
  static constexpr int64_t kReportMillis = 100;
  static constexpr int64_t kWorkReportMillis = 1000;
  static constexpr size_t kPeersPerReport = 16;
  static constexpr int64_t kRetryMillis = 600;

  explicit OverloadModel(const OverloadDay& aDay)
    : routes({ { "ask", 0, 3, 150, 100, 0.2, 1.5 },
               { "draft", 2, 7, 300, 200, 0.75, 2.6 } })
    , day(aDay)
    , random(aDay.seed)
    , engines(std::max<size_t>(1, aDay.hosts * 5 / 8))
  {
    std::vector<DispatchEndpoint> endpoints;
    for (size_t i = 0; i < this->engines.size(); ++i) {
      endpoints.push_back({ std::to_string(i), "zone", kSlots });
    }
    for (size_t i = 0; i < aDay.hosts; ++i) {
      DispatchSettings settings;
      settings.host = std::to_string(i);
      settings.contention = aDay.contention;
      this->hosts.emplace_back(settings);
      this->hosts.back().SetEndpoints("models", endpoints);
      this->hosts.back().SetFleetSize(aDay.hosts);
    }
  }

  void Run()
  {
    const int64_t last = this->day.durationMillis * 3;
    while (this->now < last &&
           (this->now < this->day.durationMillis || !this->programs.empty())) {
      if (this->now < this->day.durationMillis) {
        this->StartPrograms();
      }
      this->StartTurns();
      for (Engine& engine : this->engines) {
        this->Step(engine);
      }
      this->SendReports();
      this->SendQueued();
      this->now += kStepMillis;
    }
  }

  const ValueTally& Of(size_t aRoute) { return this->byRoute[aRoute]; }
  const std::map<int, ValueTally>& ByOrganisation() const
  {
    return this->byOrganisation;
  }
  ValueTally All() const
  {
    ValueTally all;
    for (const auto& entry : this->byRoute) {
      all.programs += entry.second.programs;
      all.value += entry.second.value;
    }
    return all;
  }
  // Calls refused by the dispatchers.
  std::map<AdmissionCause, int> refusals;
  std::vector<OverloadRoute> routes;

private:
  struct Program
  {
    uint64_t id = 0;
    size_t route = 0;
    int organisation = 0;
    int turn = 0;
    int64_t startedAt = 0;
    int64_t nextTurnAt = 0;
    bool running = false;
    bool ended = false;
  };
  struct Call
  {
    uint64_t id = 0;
    size_t host = 0;
    std::shared_ptr<Program> program;
    double millisLeft = 0;
    int64_t sentAt = 0;
    int64_t deadline = 0;
  };
  struct Engine
  {
    // The first kSlots of them run.
    std::deque<Call> calls;
  };

  static TimePoint At(int64_t aMillis)
  {
    return TimePoint{} + std::chrono::hours(1) + Millis(aMillis);
  }

  int64_t TargetMillis(size_t aRoute) const
  {
    const OverloadRoute& route = this->routes[aRoute];
    const double idle =
      route.turns * route.callMillis +
      static_cast<double>((route.turns - 1) * route.pauseMillis);
    return static_cast<int64_t>(idle * 1.5) + 250;
  }

  void StartPrograms()
  {
    const bool inBurst = this->now >= this->day.burstFromMillis &&
                         this->now < this->day.burstUntilMillis;
    const auto slots = static_cast<double>(this->engines.size() * kSlots);
    for (size_t i = 0; i < this->routes.size(); ++i) {
      const OverloadRoute& route = this->routes[i];
      // Each route offers half of the usual load.
      const double perMilli =
        this->day.usualLoad / 2 * slots / (route.turns * route.callMillis);
      const double factor = inBurst ? route.burstFactor : 1;
      for (int organisation = 0; organisation < this->day.organisations;
           ++organisation) {
        const double flood =
          inBurst && organisation == 0 ? this->day.floodFactor : 1;
        std::poisson_distribution<int> arrivals(
          perMilli * factor * flood * kStepMillis / this->day.organisations);
        for (int count = arrivals(this->random); count > 0; --count) {
          auto program = std::make_shared<Program>();
          program->id = this->nextId++;
          program->route = i;
          program->organisation = organisation;
          program->startedAt = this->now;
          program->nextTurnAt = this->now;
          this->programs.push_back(std::move(program));
        }
      }
    }
  }

  void StartTurns()
  {
    for (size_t i = 0; i < this->programs.size(); ++i) {
      Program& program = *this->programs[i];
      if (!program.running && !program.ended &&
          this->now >= program.nextTurnAt) {
        this->StartTurn(this->programs[i]);
      }
    }
    this->programs.erase(
      std::remove_if(this->programs.begin(),
                     this->programs.end(),
                     [](const auto& aProgram) { return aProgram->ended; }),
      this->programs.end());
  }

  void End(Program& aProgram, double aValue)
  {
    aProgram.ended = true;
    for (ValueTally* tally : { &this->byRoute[aProgram.route],
                               &this->byOrganisation[aProgram.organisation] }) {
      ++tally->programs;
      tally->value += aValue;
    }
  }

  void StartTurn(const std::shared_ptr<Program>& aProgram)
  {
    const OverloadRoute& route = this->routes[aProgram->route];
    const int64_t target = this->TargetMillis(aProgram->route);
    const int64_t lostAt = aProgram->startedAt + 2 * target;
    if (this->now >= lostAt) {
      this->End(*aProgram, 0);
      return;
    }
    std::uniform_real_distribution<double> size(0.5, 1.5);
    std::uniform_int_distribution<size_t> anyHost(0, this->hosts.size() - 1);
    Call call;
    call.id = this->nextId++;
    call.host = anyHost(this->random);
    call.program = aProgram;
    call.millisLeft = route.callMillis * size(this->random);
    call.deadline = lostAt;
    DispatchCall dispatchCall;
    dispatchCall.id = call.id;
    dispatchCall.organisation = std::to_string(aProgram->organisation);
    dispatchCall.service = "models";
    dispatchCall.route = route.name;
    dispatchCall.priority = route.priority;
    dispatchCall.beginsProgram = aProgram->turn == 0;
    dispatchCall.deadline = At(lostAt);
    dispatchCall.programDeadline = At(aProgram->startedAt + target);
    dispatchCall.cacheGroup = std::to_string(aProgram->id);
    const auto decision =
      this->hosts[call.host].Submit(dispatchCall, At(this->now));
    if (const auto* refused = std::get_if<Refused>(&decision)) {
      ++this->refusals[refused->cause];
      this->OnRefused(*aProgram);
      return;
    }
    aProgram->running = true;
    this->calls[call.id] = std::move(call);
    if (const auto* placement = std::get_if<Placement>(&decision)) {
      this->Send(*placement);
    }
  }

  void OnRefused(Program& aProgram)
  {
    aProgram.running = false;
    aProgram.nextTurnAt = this->now + kRetryMillis;
  }

  void Send(const Placement& aPlacement)
  {
    auto found = this->calls.find(aPlacement.callId);
    found->second.sentAt = this->now;
    this->engines[std::stoul(aPlacement.endpoint)].calls.push_back(
      std::move(found->second));
    this->calls.erase(found);
  }

  void Step(Engine& aEngine)
  {
    auto& calls = aEngine.calls;
    for (size_t i = 0; i < std::min<size_t>(kSlots, calls.size()); ++i) {
      calls[i].millisLeft -= kStepMillis;
    }
    for (size_t i = 0; i < std::min<size_t>(kSlots, calls.size());) {
      if (calls[i].millisLeft > 0) {
        ++i;
        continue;
      }
      const Call done = std::move(calls[i]);
      calls.erase(calls.begin() + static_cast<int64_t>(i));
      this->Finish(done, static_cast<size_t>(&aEngine - this->engines.data()));
    }
  }

  void Finish(const Call& aCall, size_t aEngine)
  {
    Dispatcher& host = this->hosts[aCall.host];
    host.OnEndpointReport(
      std::to_string(aEngine),
      static_cast<int>(this->engines[aEngine].calls.size() + 1),
      At(this->now));
    host.OnAttemptEnded(
      aCall.id,
      { AttemptResult::kSucceeded, Millis(this->now - aCall.sentAt) },
      At(this->now));
    Program& program = *aCall.program;
    const OverloadRoute& route = this->routes[program.route];
    program.running = false;
    program.nextTurnAt = this->now + route.pauseMillis;
    if (++program.turn < route.turns) {
      return;
    }
    const int64_t took = this->now - program.startedAt;
    const int64_t target = this->TargetMillis(program.route);
    this->End(program,
              took <= target       ? 1
              : took <= 2 * target ? route.lateValue
                                   : 0);
  }

  void SendReports()
  {
    if (this->now % kReportMillis != 0) {
      return;
    }
    const size_t count = this->hosts.size();
    for (size_t from = 0; from < count; ++from) {
      const auto loads = this->hosts[from].OwnLoads();
      std::vector<OrganisationShare> work;
      if (this->now % kWorkReportMillis == 0) {
        work = this->hosts[from].OwnWork(At(this->now));
      }
      for (size_t i = 0; i < std::min(kPeersPerReport, count - 1); ++i) {
        const size_t step = (this->reported + i) % (count - 1) + 1;
        this->hosts[(from + step) % count].OnPeerReport(
          std::to_string(from), loads, At(this->now));
        this->hosts[(from + step) % count].OnPeerWork(
          std::to_string(from), work, At(this->now));
      }
    }
    this->reported += kPeersPerReport;
  }

  void SendQueued()
  {
    for (Dispatcher& host : this->hosts) {
      if (host.QueuedCalls() == 0) {
        continue;
      }
      for (const Placement& next : host.PlaceQueued(At(this->now))) {
        this->Send(next);
      }
      for (const MissedCall& missed : host.DropMissed(At(this->now))) {
        ++this->refusals[missed.refused.cause];
        this->OnRefused(*this->calls.at(missed.id).program);
        this->calls.erase(missed.id);
      }
    }
    for (auto it = this->calls.begin(); it != this->calls.end();) {
      if (this->now < it->second.deadline) {
        ++it;
        continue;
      }
      this->hosts[it->second.host].RemoveQueued(it->first);
      this->End(*it->second.program, 0);
      it = this->calls.erase(it);
    }
  }

  OverloadDay day;
  std::mt19937_64 random;
  int64_t now = 0;
  uint64_t nextId = 1;
  size_t reported = 0;
  std::vector<Dispatcher> hosts;
  std::vector<Engine> engines;
  std::vector<std::shared_ptr<Program>> programs;
  // Queued at a host.
  std::unordered_map<uint64_t, Call> calls;
  std::map<size_t, ValueTally> byRoute;
  std::map<int, ValueTally> byOrganisation;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_DISPATCH_TESTING_OVERLOAD_MODEL_H_
