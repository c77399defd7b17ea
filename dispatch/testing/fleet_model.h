// A model of a fleet under load, without network and with seeded luck: hosts
// that see late figures of each other, engines with batches, queues and caches,
// and programs of turns with pauses. The dispatcher in it is the real one.
//
//   FleetModel model(dispatchSettings, load);
//   ProgramTally tally = model.Run();
//
// Engines. In each step of kStepMillis an engine first reads prompts, one after
// the other in order of arrival, which holds up its whole batch, and spends the
// rest on a token for each call of the batch. It admits calls in order of
// arrival and keeps the newest kCachedParts prompts.
//
// Programs. A program is a line of turns; each turn's prompt is the program's
// former turns and something new. It should end within kStretch times what it
// takes on idle engines, and kSlackMillis more.
//
// Cost: steps x (engines x batch + programs under way).
#ifndef TANAGERSEAM_DISPATCH_TESTING_FLEET_MODEL_H_
#define TANAGERSEAM_DISPATCH_TESTING_FLEET_MODEL_H_

#include <algorithm>
#include <deque>
#include <memory>
#include <random>

#include "dispatch/dispatch.h"

namespace tanagerseam {

struct LoadPattern
{
  uint64_t seed = 1;
  int64_t durationMillis = 30000;
  double programsPerSecond = 20;
  // Times the usual arrivals, within [burstFrom, burstUntil).
  double burst = 1;
  int64_t burstFromMillis = 0;
  int64_t burstUntilMillis = 0;
  int turns = 5;
  // Between the reports that hosts send each other.
  int64_t reportEveryMillis = 200;
};

struct ProgramTally
{
  int inTime = 0;
  // Ended within twice the time it should take.
  int late = 0;
  // Ended later still, or refused at every try.
  int lost = 0;

  int All() const { return this->inTime + this->late + this->lost; }
  double InTimePart() const
  {
    return static_cast<double>(this->inTime) / this->All();
  }
};

class FleetModel
{
public:
  static constexpr int64_t kStepMillis = 4;
  static constexpr int kHosts = 9;
  static constexpr int kEngines = 9;
  static constexpr int kSlots = 12;
  static constexpr double kTokenMillis = 3;
  static constexpr double kPromptTokensPerMilli = 122;
  static constexpr int kOutputTokens = 75;
  static constexpr int kNewTokens = 600;
  static constexpr int64_t kPauseMillis = 120;
  // Part of the turns that come in at another host than the one before.
  static constexpr double kMovingPart = 0.5;
  static constexpr int64_t kRetryMillis = 700;
  static constexpr int kTries = 4;
  static constexpr double kStretch = 1.3;
  static constexpr int64_t kSlackMillis = 200;
  static constexpr size_t kCachedParts = 400;

  FleetModel(const DispatchSettings& aSettings, LoadPattern aLoad)
    : load(aLoad)
    , random(aLoad.seed)
  {
    std::vector<DispatchEndpoint> endpoints;
    for (int i = 0; i < kEngines; ++i) {
      endpoints.push_back({ EngineName(i), "zone", kSlots });
    }
    for (int i = 0; i < kHosts; ++i) {
      DispatchSettings settings = aSettings;
      settings.host = std::to_string(i);
      this->hosts.emplace_back(settings);
      this->hosts.back().SetEndpoints("models", endpoints);
    }
    this->engines.resize(kEngines);
  }

  ProgramTally Run()
  {
    const int64_t end = this->load.durationMillis;
    while (this->now < end || !this->programs.empty()) {
      if (this->now < end) {
        this->Arrive();
      }
      this->StartTurns();
      for (int i = 0; i < kEngines; ++i) {
        this->Work(i);
      }
      this->Exchange();
      this->SendWaiting();
      this->now += kStepMillis;
    }
    return this->tally;
  }

private:
  struct Program
  {
    uint64_t id = 0;
    size_t host = 0;
    int turn = 0;
    int tries = 0;
    int64_t startedAt = 0;
    int64_t nextTurnAt = 0;
    bool running = false;
  };
  struct Call
  {
    uint64_t id = 0;
    size_t host = 0;
    std::shared_ptr<Program> program;
    std::vector<PromptPart> prompt;
    double unread = 0;
    double unwritten = kOutputTokens;
    int64_t sentAt = 0;
    int64_t firstAt = 0;
  };
  struct Engine
  {
    std::deque<Call> batch;
    std::deque<Call> queue;
    std::deque<PromptPart> cached;
  };

  static std::string EngineName(int aIndex)
  {
    return "engine-" + std::to_string(aIndex);
  }

  static TimePoint At(int64_t aMillis)
  {
    return TimePoint{} + std::chrono::hours(1) + Millis(aMillis);
  }

  int64_t Aim() const
  {
    const double turn =
      kOutputTokens * kTokenMillis + kNewTokens / kPromptTokensPerMilli;
    const double idle =
      this->load.turns * turn +
      static_cast<double>((this->load.turns - 1) * kPauseMillis);
    return static_cast<int64_t>(idle * kStretch) + kSlackMillis;
  }

  void Arrive()
  {
    const bool burst = this->now >= this->load.burstFromMillis &&
                       this->now < this->load.burstUntilMillis;
    const double rate =
      this->load.programsPerSecond * (burst ? this->load.burst : 1);
    std::poisson_distribution<int> draw(rate * kStepMillis / 1000);
    for (int i = draw(this->random); i > 0; --i) {
      auto program = std::make_shared<Program>();
      program->id = this->nextId++;
      program->startedAt = this->now;
      program->nextTurnAt = this->now;
      this->programs.push_back(program);
    }
  }

  void StartTurns()
  {
    for (size_t i = 0; i < this->programs.size(); ++i) {
      const auto program = this->programs[i];
      if (!program->running && this->now >= program->nextTurnAt) {
        this->StartTurn(program);
      }
    }
    for (size_t i = 0; i < this->programs.size();) {
      const bool over = this->programs[i]->turn >= this->load.turns ||
                        this->programs[i]->tries >= kTries;
      if (over) {
        this->programs.erase(this->programs.begin() + static_cast<int64_t>(i));
      } else {
        ++i;
      }
    }
  }

  void StartTurn(const std::shared_ptr<Program>& aProgram)
  {
    DispatchWork work;
    work.id = this->nextId++;
    work.service = "models";
    work.route = "turn";
    work.beginsProgram = aProgram->turn == 0;
    work.finishAt = At(aProgram->startedAt + this->Aim());
    work.outputTokens = kOutputTokens;
    work.prompt = { { std::to_string(aProgram->id),
                      aProgram->turn * (kNewTokens + kOutputTokens) +
                        kNewTokens } };
    work.group = std::to_string(aProgram->id);
    std::uniform_int_distribution<size_t> any(0, kHosts - 1);
    std::bernoulli_distribution moves(kMovingPart);
    if (aProgram->turn == 0 || moves(this->random)) {
      aProgram->host = any(this->random);
    }
    Call call;
    call.id = work.id;
    call.host = aProgram->host;
    call.program = aProgram;
    call.prompt = work.prompt;
    const auto choice = this->hosts[call.host].Offer(work, At(this->now));
    if (std::holds_alternative<Refused>(choice)) {
      aProgram->nextTurnAt = this->now + kRetryMillis;
      if (++aProgram->tries == kTries) {
        ++this->tally.lost;
      }
      return;
    }
    aProgram->running = true;
    this->calls[call.id] = std::move(call);
    if (const auto* placement = std::get_if<Placement>(&choice)) {
      this->Send(*placement);
    }
  }

  void Send(const Placement& aPlacement)
  {
    auto found = this->calls.find(aPlacement.workId);
    Call call = std::move(found->second);
    this->calls.erase(found);
    call.sentAt = this->now;
    for (int i = 0; i < kEngines; ++i) {
      if (EngineName(i) == aPlacement.endpoint) {
        this->engines[static_cast<size_t>(i)].queue.push_back(std::move(call));
        return;
      }
    }
  }

  // Takes calls into the batch; what is cached need not be read again.
  static void Admit(Engine& aEngine)
  {
    while (aEngine.batch.size() < kSlots && !aEngine.queue.empty()) {
      Call call = std::move(aEngine.queue.front());
      aEngine.queue.pop_front();
      for (const PromptPart& part : call.prompt) {
        auto held = std::find_if(
          aEngine.cached.begin(),
          aEngine.cached.end(),
          [&part](const PromptPart& aHeld) { return aHeld.id == part.id; });
        call.unread += static_cast<double>(part.tokens);
        if (held != aEngine.cached.end()) {
          call.unread -= static_cast<double>(held->tokens);
          aEngine.cached.erase(held);
        }
        aEngine.cached.push_front({ part.id, part.tokens + kOutputTokens });
      }
      while (aEngine.cached.size() > kCachedParts) {
        aEngine.cached.pop_back();
      }
      aEngine.batch.push_back(std::move(call));
    }
  }

  void Work(int aIndex)
  {
    Engine& engine = this->engines[static_cast<size_t>(aIndex)];
    Admit(engine);
    double left = kStepMillis;
    for (Call& call : engine.batch) {
      const double spent = std::min(left, call.unread / kPromptTokensPerMilli);
      call.unread -= spent * kPromptTokensPerMilli;
      left -= spent;
    }
    for (size_t i = 0; i < engine.batch.size();) {
      Call& call = engine.batch[i];
      if (call.unread <= 0) {
        call.firstAt = call.firstAt == 0 ? this->now : call.firstAt;
        call.unwritten -= left / kTokenMillis;
      }
      if (call.unwritten > 0) {
        ++i;
        continue;
      }
      const Call done = std::move(call);
      engine.batch.erase(engine.batch.begin() + static_cast<int64_t>(i));
      this->Finish(done, aIndex);
    }
  }

  void Finish(const Call& aCall, int aEngine)
  {
    Dispatcher& host = this->hosts[aCall.host];
    const Engine& engine = this->engines[static_cast<size_t>(aEngine)];
    const size_t under = engine.batch.size() + engine.queue.size();
    host.EndpointLoad(
      EngineName(aEngine), static_cast<int>(under + 1), At(this->now));
    host.Finished(aCall.id,
                  { WorkEnd::kAnswered,
                    Millis(this->now - aCall.sentAt),
                    Millis(this->now - aCall.firstAt),
                    kOutputTokens },
                  At(this->now));
    Program& program = *aCall.program;
    program.running = false;
    program.nextTurnAt = this->now + kPauseMillis;
    if (++program.turn < this->load.turns) {
      return;
    }
    const int64_t took = this->now - program.startedAt;
    if (took <= this->Aim()) {
      ++this->tally.inTime;
    } else if (took <= 2 * this->Aim()) {
      ++this->tally.late;
    } else {
      ++this->tally.lost;
    }
  }

  void Exchange()
  {
    if (this->now % this->load.reportEveryMillis != 0) {
      return;
    }
    for (size_t from = 0; from < kHosts; ++from) {
      const auto loads = this->hosts[from].OwnLoads();
      for (size_t to = 0; to < kHosts; ++to) {
        if (to != from) {
          this->hosts[to].PeerLoads(std::to_string(from), loads, At(this->now));
        }
      }
    }
  }

  void SendWaiting()
  {
    for (Dispatcher& host : this->hosts) {
      for (const Placement& next : host.Next(At(this->now))) {
        this->Send(next);
      }
    }
  }

  LoadPattern load;
  std::mt19937_64 random;
  int64_t now = 0;
  uint64_t nextId = 1;
  std::vector<Dispatcher> hosts;
  std::vector<Engine> engines;
  std::vector<std::shared_ptr<Program>> programs;
  std::unordered_map<uint64_t, Call> calls;
  ProgramTally tally;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_DISPATCH_TESTING_FLEET_MODEL_H_
