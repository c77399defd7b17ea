// Discrete-time simulation of a fleet under load, with real dispatchers, no
// network and seeded randomness: hosts with stale load reports of each other,
// engines with batches, queues and prefix caches, and multi-turn programs with
// pauses between turns.
//
//   FleetModel model(dispatchSettings, load);
//   ProgramTally tally = model.Run();
//
// Engines: in each step of kStepMillis an engine first prefills prompts one by
// one in order of arrival, which stalls its whole batch, and spends the rest of
// the step on decoding for each call of the batch. Engines may differ in speed
// and be slow for periods, which they state with their load. An engine admits
// calls to the batch in FIFO order and caches the newest kMaxCachedParts
// prompts, or fewer if they exceed its cache memory.
//
// Programs: a program is a sequence of turns; the prompt of each turn is the
// program's history plus new tokens. Its target time is kTargetFactor times its
// time on idle engines, plus kTargetSlackMillis. After a turn, a program may
// start sub-agents at once and waits for their end; their prompts begin with
// its own.
//
// Complexity: steps x (engines x batch size + running programs).
#ifndef TANAGERSEAM_DISPATCH_TESTING_FLEET_MODEL_H_
#define TANAGERSEAM_DISPATCH_TESTING_FLEET_MODEL_H_

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <memory>
#include <numeric>
#include <random>

#include "dispatch/dispatch.h"

namespace tanagerseam {

struct LoadPattern
{
  uint64_t seed = 1;
  int64_t durationMillis = 30000;
  double programsPerSecond = 20;
  // Multiplies the arrival rate within [burstFromMillis, burstUntilMillis).
  double burstFactor = 1;
  int64_t burstFromMillis = 0;
  int64_t burstUntilMillis = 0;
  int turnsPerProgram = 5;
  // Interval of the load reports between hosts.
  int64_t reportIntervalMillis = 200;
  size_t hosts = 9;
  int engines = 9;
  int slotsPerEngine = 12;
  // Cache memory of an engine; unlimited if 0.
  int64_t cacheTokens = 0;
  // Hosts report the outstanding work of their calls.
  bool reportsWork = true;
  // Spread of the generated tokens: the deviation of their logarithm. Their
  // median is kOutputTokensPerTurn.
  double outputSpread = 0;
  // Clients state the generated tokens times this factor as a hint; no hint if
  // 0.
  double hintFactor = 0;
  // Speeds of the first engines; the others have speed 1.
  std::array<double, 3> speeds{ 1, 1, 1 };
  // Fraction of the time for which an engine is slow, by slowFactor and in
  // periods of this mean length. Engines state their pace if it is not 0.
  double slowFraction = 0;
  double slowFactor = 2.5;
  int64_t slowPeriodMillis = 600;
  // Probability that a program starts sub-agents after a turn, their number,
  // and their turns.
  double subAgentProbability = 0;
  int subAgents = 5;
  int turnsPerSubAgent = 2;
};

struct ProgramTally
{
  int inTime = 0;
  // Ended within twice the target time.
  int late = 0;
  // Ended even later, or refused kMaxTries times.
  int lost = 0;
  // Of programs that ended, in milliseconds.
  std::vector<int64_t> durations;
  int64_t promptTokens = 0;
  // Prompt tokens that the engine had cached.
  int64_t cachedTokens = 0;
  // Calls sent to each engine.
  std::vector<int> callsByEngine;

  int Total() const { return this->inTime + this->late + this->lost; }
  double InTimeFraction() const
  {
    return static_cast<double>(this->inTime) / this->Total();
  }
  double CachedFraction() const
  {
    return static_cast<double>(this->cachedTokens) /
           static_cast<double>(this->promptTokens);
  }
  // Of all calls; an even share is 1 / engines.
  double BusiestEngineShare() const
  {
    return static_cast<double>(*std::max_element(this->callsByEngine.begin(),
                                                 this->callsByEngine.end())) /
           std::accumulate(
             this->callsByEngine.begin(), this->callsByEngine.end(), 0);
  }
  double MeanDuration() const
  {
    return std::accumulate(
             this->durations.begin(), this->durations.end(), 0.0) /
           static_cast<double>(this->durations.size());
  }
  int64_t DurationQuantile(double aQuantile) const
  {
    std::vector<int64_t> sorted = this->durations;
    std::sort(sorted.begin(), sorted.end());
    return sorted.at(
      static_cast<size_t>(aQuantile * static_cast<double>(sorted.size() - 1)));
  }
};

class FleetModel
{
public:
  static constexpr int64_t kStepMillis = 4;
  // Engines of a default LoadPattern.
  static constexpr int kEngines = LoadPattern{}.engines;
  static constexpr double kDecodeMillisPerToken = 3;
  static constexpr double kPrefillTokensPerMilli = 122;
  static constexpr int kOutputTokensPerTurn = 75;
  // Where the number varies.
  static constexpr int64_t kMaxOutputTokens = 1500;
  static constexpr int kNewTokensPerTurn = 600;
  static constexpr int kTokensPerEvent = 15;
  static constexpr int64_t kTurnPauseMillis = 120;
  // Probability that a turn arrives at a newly drawn host instead of the host
  // of the turn before.
  static constexpr double kHostChangeProbability = 0.5;
  static constexpr int64_t kRetryDelayMillis = 700;
  static constexpr int kMaxTries = 4;
  static constexpr double kTargetFactor = 1.3;
  static constexpr int64_t kTargetSlackMillis = 200;
  static constexpr size_t kMaxCachedParts = 400;

  FleetModel(const DispatchSettings& aSettings, LoadPattern aLoad)
    : load(aLoad)
    , random(aLoad.seed)
  {
    std::vector<DispatchEndpoint> endpoints;
    for (int i = 0; i < aLoad.engines; ++i) {
      endpoints.push_back({ EngineName(i), "zone", aLoad.slotsPerEngine });
      endpoints.back().cacheTokens = aLoad.cacheTokens;
    }
    for (size_t i = 0; i < aLoad.hosts; ++i) {
      DispatchSettings settings = aSettings;
      settings.host = std::to_string(i);
      this->hosts.emplace_back(settings);
      this->hosts.back().SetEndpoints("models", endpoints);
    }
    this->engines.resize(static_cast<size_t>(aLoad.engines));
    this->tally.callsByEngine.resize(this->engines.size());
    for (size_t i = 0; i < std::min(aLoad.speeds.size(), this->engines.size());
         ++i) {
      this->engines[i].speed = aLoad.speeds[i];
    }
  }

  ProgramTally Run()
  {
    const int64_t end = this->load.durationMillis;
    while (this->now < end || !this->programs.empty()) {
      if (this->now < end) {
        this->StartPrograms();
      }
      this->StartTurns();
      for (int i = 0; i < this->load.engines; ++i) {
        this->StepEngine(i);
      }
      this->ExchangeReports();
      this->SendQueued();
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
    // Of a sub-agent: the program that waits for it, and the prompt of that.
    std::shared_ptr<Program> parent;
    std::vector<PromptPart> prefix;
    // Sub-agents that have not ended.
    int subAgents = 0;
  };
  struct Call
  {
    uint64_t id = 0;
    size_t host = 0;
    std::shared_ptr<Program> program;
    std::vector<PromptPart> prompt;
    double tokensToPrefill = 0;
    int64_t outputTokens = kOutputTokensPerTurn;
    double tokensToDecode = kOutputTokensPerTurn;
    int64_t tokensTold = 0;
    int64_t sentAt = 0;
    int64_t firstTokenAt = 0;
  };
  struct Engine
  {
    std::deque<Call> batch;
    std::deque<Call> queue;
    std::deque<PromptPart> cached;
    double speed = 1;
    double pace = 1;
    int64_t paceChangesAt = 0;
  };

  static std::string EngineName(int aIndex)
  {
    return "engine-" + std::to_string(aIndex);
  }

  static TimePoint At(int64_t aMillis)
  {
    return TimePoint{} + std::chrono::hours(1) + Millis(aMillis);
  }

  int64_t TargetMillis() const
  {
    const double turn = kOutputTokensPerTurn * kDecodeMillisPerToken +
                        kNewTokensPerTurn / kPrefillTokensPerMilli;
    const double idle =
      this->load.turnsPerProgram * turn +
      static_cast<double>((this->load.turnsPerProgram - 1) * kTurnPauseMillis);
    return static_cast<int64_t>(idle * kTargetFactor) + kTargetSlackMillis;
  }

  void StartPrograms()
  {
    const bool inBurst = this->now >= this->load.burstFromMillis &&
                         this->now < this->load.burstUntilMillis;
    const double rate =
      this->load.programsPerSecond * (inBurst ? this->load.burstFactor : 1);
    std::poisson_distribution<int> arrivals(rate * kStepMillis / 1000);
    for (int i = arrivals(this->random); i > 0; --i) {
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
      if (!program->running && program->subAgents == 0 &&
          this->now >= program->nextTurnAt) {
        this->StartTurn(program);
      }
    }
    for (size_t i = 0; i < this->programs.size();) {
      const bool finished =
        this->programs[i]->turn >= this->TurnsOf(*this->programs[i]) ||
        this->programs[i]->tries >= kMaxTries;
      if (finished) {
        this->programs.erase(this->programs.begin() + static_cast<int64_t>(i));
      } else {
        ++i;
      }
    }
  }

  int TurnsOf(const Program& aProgram) const
  {
    return aProgram.parent ? this->load.turnsPerSubAgent
                           : this->load.turnsPerProgram;
  }

  void StartTurn(const std::shared_ptr<Program>& aProgram)
  {
    DispatchCall dispatchCall;
    dispatchCall.id = this->nextId++;
    dispatchCall.service = "models";
    dispatchCall.route = "turn";
    dispatchCall.beginsProgram = !aProgram->parent && aProgram->turn == 0;
    dispatchCall.programDeadline =
      At(aProgram->startedAt + this->TargetMillis());
    dispatchCall.maxOutputTokens = kOutputTokensPerTurn;
    dispatchCall.prompt = aProgram->prefix;
    dispatchCall.prompt.push_back(
      { std::to_string(aProgram->id),
        aProgram->turn * (kNewTokensPerTurn + kOutputTokensPerTurn) +
          kNewTokensPerTurn });
    dispatchCall.cacheGroup =
      std::to_string(aProgram->parent ? aProgram->parent->id : aProgram->id);
    std::uniform_int_distribution<size_t> anyHost(0, this->load.hosts - 1);
    std::bernoulli_distribution changesHost(kHostChangeProbability);
    if (aProgram->turn == 0 || changesHost(this->random)) {
      aProgram->host = anyHost(this->random);
    }
    Call call;
    call.id = dispatchCall.id;
    call.host = aProgram->host;
    call.program = aProgram;
    call.prompt = dispatchCall.prompt;
    if (this->load.outputSpread > 0) {
      std::lognormal_distribution<double> tokens(std::log(kOutputTokensPerTurn),
                                                 this->load.outputSpread);
      call.outputTokens = std::clamp<int64_t>(
        static_cast<int64_t>(tokens(this->random)), 1, kMaxOutputTokens);
      call.tokensToDecode = static_cast<double>(call.outputTokens);
      dispatchCall.maxOutputTokens = kMaxOutputTokens;
    }
    dispatchCall.outputTokensHint = static_cast<int64_t>(
      static_cast<double>(call.outputTokens) * this->load.hintFactor);
    const auto decision =
      this->hosts[call.host].Submit(dispatchCall, At(this->now));
    if (std::holds_alternative<Refused>(decision)) {
      aProgram->nextTurnAt = this->now + kRetryDelayMillis;
      if (++aProgram->tries == kMaxTries) {
        ++this->tally.lost;
      }
      return;
    }
    aProgram->running = true;
    this->calls[call.id] = std::move(call);
    if (const auto* placement = std::get_if<Placement>(&decision)) {
      this->Send(*placement);
    }
  }

  void Send(const Placement& aPlacement)
  {
    auto found = this->calls.find(aPlacement.callId);
    Call call = std::move(found->second);
    this->calls.erase(found);
    call.sentAt = this->now;
    for (int i = 0; i < this->load.engines; ++i) {
      if (EngineName(i) == aPlacement.endpoint) {
        ++this->tally.callsByEngine[static_cast<size_t>(i)];
        this->engines[static_cast<size_t>(i)].queue.push_back(std::move(call));
        return;
      }
    }
  }

  // Moves calls from the queue to the batch. Cached tokens need no prefill.
  void FillBatch(Engine& aEngine)
  {
    const auto slots = static_cast<size_t>(this->load.slotsPerEngine);
    while (aEngine.batch.size() < slots && !aEngine.queue.empty()) {
      Call call = std::move(aEngine.queue.front());
      aEngine.queue.pop_front();
      // A part can only be cached behind parts that are cached whole.
      bool prefixCached = true;
      for (const PromptPart& part : call.prompt) {
        const int64_t known = TakeCached(aEngine, part.id);
        const int64_t cached = prefixCached ? std::min(known, part.tokens) : 0;
        prefixCached = cached == part.tokens;
        call.tokensToPrefill += static_cast<double>(part.tokens - cached);
        this->tally.promptTokens += part.tokens;
        this->tally.cachedTokens += cached;
        const bool last = &part == &call.prompt.back();
        aEngine.cached.push_front(
          { part.id,
            std::max(known, part.tokens + (last ? kOutputTokensPerTurn : 0)) });
      }
      while (aEngine.cached.size() > kMaxCachedParts ||
             (this->load.cacheTokens > 0 &&
              CachedTokens(aEngine) > this->load.cacheTokens)) {
        aEngine.cached.pop_back();
      }
      aEngine.batch.push_back(std::move(call));
    }
  }

  // Removes the part from the cache and returns its tokens, 0 if it is missing.
  static int64_t TakeCached(Engine& aEngine, const std::string& aId)
  {
    auto found = std::find_if(
      aEngine.cached.begin(),
      aEngine.cached.end(),
      [&aId](const PromptPart& aCached) { return aCached.id == aId; });
    if (found == aEngine.cached.end()) {
      return 0;
    }
    const int64_t tokens = found->tokens;
    aEngine.cached.erase(found);
    return tokens;
  }

  static int64_t CachedTokens(const Engine& aEngine)
  {
    int64_t sum = 0;
    for (const PromptPart& part : aEngine.cached) {
      sum += part.tokens;
    }
    return sum;
  }

  void StepEngine(int aIndex)
  {
    Engine& engine = this->engines[static_cast<size_t>(aIndex)];
    this->FillBatch(engine);
    this->UpdatePace(engine);
    double left = kStepMillis * engine.speed / engine.pace;
    for (Call& call : engine.batch) {
      const double spent =
        std::min(left, call.tokensToPrefill / kPrefillTokensPerMilli);
      call.tokensToPrefill -= spent * kPrefillTokensPerMilli;
      left -= spent;
    }
    for (size_t i = 0; i < engine.batch.size();) {
      Call& call = engine.batch[i];
      if (call.tokensToPrefill <= 0) {
        if (call.firstTokenAt == 0) {
          call.firstTokenAt = this->now;
          this->ReportPace(call, aIndex);
        }
        call.tokensToDecode -= left / kDecodeMillisPerToken;
        this->TellProgress(call);
      }
      if (call.tokensToDecode > 0) {
        ++i;
        continue;
      }
      const Call done = std::move(call);
      engine.batch.erase(engine.batch.begin() + static_cast<int64_t>(i));
      this->Finish(done, aIndex);
    }
  }

  void TellProgress(Call& aCall)
  {
    const auto tokens =
      aCall.outputTokens -
      static_cast<int64_t>(std::max(0.0, aCall.tokensToDecode));
    if (tokens - aCall.tokensTold >= kTokensPerEvent) {
      aCall.tokensTold = tokens;
      this->hosts[aCall.host].OnProgress(aCall.id, tokens);
    }
  }

  void UpdatePace(Engine& aEngine)
  {
    if (this->load.slowFraction == 0 || this->now < aEngine.paceChangesAt) {
      return;
    }
    const bool slow = aEngine.paceChangesAt > 0 && aEngine.pace == 1;
    const double odds = (1 - this->load.slowFraction) / this->load.slowFraction;
    std::exponential_distribution<double> period(
      1.0 /
      (static_cast<double>(this->load.slowPeriodMillis) * (slow ? 1 : odds)));
    aEngine.pace = slow ? this->load.slowFactor : 1;
    aEngine.paceChangesAt =
      this->now + 1 + static_cast<int64_t>(period(this->random));
  }

  // The head of the answer.
  void ReportPace(const Call& aCall, int aEngine)
  {
    if (this->load.slowFraction > 0) {
      const Engine& engine = this->engines[static_cast<size_t>(aEngine)];
      this->hosts[aCall.host].OnEndpointReport(
        EngineName(aEngine),
        static_cast<int>(engine.batch.size() + engine.queue.size()),
        At(this->now),
        engine.pace);
    }
  }

  void Finish(const Call& aCall, int aEngine)
  {
    Dispatcher& host = this->hosts[aCall.host];
    const Engine& engine = this->engines[static_cast<size_t>(aEngine)];
    const size_t callsLeft = engine.batch.size() + engine.queue.size();
    host.OnEndpointReport(
      EngineName(aEngine), static_cast<int>(callsLeft + 1), At(this->now));
    host.OnAttemptEnded(aCall.id,
                        { AttemptResult::kSucceeded,
                          Millis(this->now - aCall.sentAt),
                          Millis(this->now - aCall.firstTokenAt),
                          aCall.outputTokens },
                        At(this->now));
    Program& program = *aCall.program;
    program.running = false;
    program.nextTurnAt = this->now + kTurnPauseMillis;
    if (++program.turn < this->TurnsOf(program)) {
      this->StartSubAgents(aCall);
      return;
    }
    if (program.parent) {
      --program.parent->subAgents;
      return;
    }
    const int64_t took = this->now - program.startedAt;
    this->tally.durations.push_back(took);
    if (took <= this->TargetMillis()) {
      ++this->tally.inTime;
    } else if (took <= 2 * this->TargetMillis()) {
      ++this->tally.late;
    } else {
      ++this->tally.lost;
    }
  }

  void StartSubAgents(const Call& aCall)
  {
    const double probability =
      aCall.program->parent ? 0 : this->load.subAgentProbability;
    if (probability == 0 ||
        !std::bernoulli_distribution(probability)(this->random)) {
      return;
    }
    for (int i = 0; i < this->load.subAgents; ++i) {
      auto subAgent = std::make_shared<Program>();
      subAgent->id = this->nextId++;
      subAgent->startedAt = aCall.program->startedAt;
      subAgent->nextTurnAt = this->now;
      subAgent->parent = aCall.program;
      subAgent->prefix = aCall.prompt;
      this->programs.push_back(subAgent);
      ++aCall.program->subAgents;
    }
  }

  void ExchangeReports()
  {
    if (this->now % this->load.reportIntervalMillis != 0) {
      return;
    }
    for (size_t from = 0; from < this->hosts.size(); ++from) {
      const auto loads = this->hosts[from].OwnLoads();
      const auto works =
        this->load.reportsWork ? this->hosts[from].OwnWorks() : EndpointWorks{};
      for (size_t to = 0; to < this->hosts.size(); ++to) {
        if (to != from) {
          this->hosts[to].OnPeerReport(
            std::to_string(from), loads, At(this->now), works);
        }
      }
    }
  }

  void SendQueued()
  {
    for (Dispatcher& host : this->hosts) {
      for (const Placement& next : host.PlaceQueued(At(this->now))) {
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
