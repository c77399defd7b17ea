#include "bench/load_run.h"

#include <algorithm>
#include <atomic>
#include <nlohmann/json.hpp>
#include <thread>

#include "bench/deployment.h"
#include "bench/rate_judge.h"

namespace tanagerseam::bench {

namespace {

// Request rate of the flooding organisation over its rate limit.
constexpr double kFloodFactor = 5;
// Wait after the start: token buckets start empty, as after every change of
// owner, and must fill first.
constexpr Millis kSettleTime(5000);
constexpr Millis kFaultPollInterval(50);

struct Arrival
{
  Millis at{ 0 };
  size_t organisation = 0;
  uint64_t seed = 0;
};

std::vector<Arrival>
DrawArrivals(const RunSettings& aSettings)
{
  std::mt19937_64 random(aSettings.seed);
  const auto& organisations = aSettings.workload->organisations;
  std::vector<Arrival> arrivals;
  const double arrivalSeconds =
    double((aSettings.warmUp + aSettings.measureWindow).count()) / 1000;
  for (size_t i = 0; i < organisations.size(); ++i) {
    const double factor = int(i) == aSettings.floodingOrganisation
                            ? kFloodFactor * aSettings.rateMargin
                            : 1;
    std::exponential_distribution<double> gap(aSettings.programsPerSecond *
                                              organisations[i].share * factor);
    for (double at = gap(random); at < arrivalSeconds; at += gap(random)) {
      arrivals.push_back({ Millis(int64_t(at * 1000)), i, random() });
    }
  }
  std::sort(arrivals.begin(),
            arrivals.end(),
            [](const Arrival& aLeft, const Arrival& aRight) {
              return aLeft.at < aRight.at;
            });
  return arrivals;
}

// Sends the programs of a run, one thread for each concurrent caller.
class LoadGenerator
{
public:
  LoadGenerator(const RunSettings& aSettings, CallerConfig aConfig)
    : settings(aSettings)
    , config(std::move(aConfig))
    , start(Now())
    , windowStart(this->start + aSettings.warmUp)
    , windowEnd(this->windowStart + aSettings.measureWindow)
    , deadline(this->windowEnd + aSettings.drainTimeout)
  {
  }

  ~LoadGenerator() { this->Join(); }

  void Join()
  {
    for (std::thread& thread : this->threads) {
      thread.join();
    }
    this->threads.clear();
  }

  // Starts each program in a new thread at its arrival time.
  void RunOpenLoop()
  {
    for (const Arrival& arrival : DrawArrivals(this->settings)) {
      const TimePoint at = this->start + arrival.at;
      std::this_thread::sleep_until(at);
      this->threads.emplace_back([this, arrival, at] {
        std::mt19937_64 random(arrival.seed);
        this->RunProgram(arrival.organisation, at, random);
      });
    }
    std::this_thread::sleep_until(this->windowEnd);
  }

  // Runs a fixed number of programs concurrently.
  void RunClosedLoop()
  {
    for (int i = 0; i < this->settings.concurrentPrograms; ++i) {
      this->threads.emplace_back([this, i] {
        std::mt19937_64 random(this->settings.seed * 1000 + uint64_t(i));
        while (Now() < this->windowEnd) {
          const size_t organisation =
            DrawOrganisation(*this->settings.workload, random);
          this->RunProgram(organisation, Now(), random);
        }
      });
    }
    std::this_thread::sleep_until(this->windowStart);
    this->modelCallsInWarmUp = this->records.ModelCalls();
    std::this_thread::sleep_until(this->windowEnd);
  }

  // Model calls answered so far since the start of the measure window (closed
  // loop) or since the start of the run (open loop).
  int64_t ModelCallsMeasured() const
  {
    return this->records.ModelCalls() - this->modelCallsInWarmUp;
  }
  TimePoint WindowStart() const { return this->windowStart; }
  TimePoint WindowEnd() const { return this->windowEnd; }
  const RunRecords& Records() const { return this->records; }

private:
  void RunProgram(size_t aOrganisation,
                  TimePoint aArrival,
                  std::mt19937_64& aRandom)
  {
    const ProgramPlan plan = DrawProgram(*this->settings.workload, aRandom);
    const double scale = this->settings.timeScale;
    const EngineTimes& times = this->settings.engineTimes;
    const double idealMillis =
      IdealMillis(plan,
                  { times.prefillMillisPerToken * scale,
                    times.decodeMillisPerToken * scale });
    ProgramCaller caller(
      this->client, this->config, this->records, aOrganisation, aRandom());
    caller.Run(plan, aArrival, this->deadline, idealMillis);
  }

  const RunSettings& settings;
  const CallerConfig config;
  const TimePoint start;
  const TimePoint windowStart;
  const TimePoint windowEnd;
  const TimePoint deadline;
  HttpClient client;
  RunRecords records;
  int64_t modelCallsInWarmUp = 0;
  std::vector<std::thread> threads;
};

// Injects the fault of a run at intervals, in its own thread, until Stop().
class FaultInjector
{
public:
  FaultInjector(Deployment& aDeployment, const RunSettings& aSettings)
  {
    if (aSettings.fault == Fault::kNone) {
      return;
    }
    this->thread = std::thread([this, &aDeployment, &aSettings] {
      std::this_thread::sleep_for(aSettings.warmUp);
      for (int i = 0; !this->stopping; ++i) {
        try {
          aDeployment.InjectFault(aSettings.fault, i, aSettings.faultInterval);
        } catch (const std::exception& error) {
          LogWarn("bench_fault_failed", { { "detail", error.what() } });
        }
        const TimePoint next = Now() + aSettings.faultInterval;
        while (!this->stopping && Now() < next) {
          std::this_thread::sleep_for(kFaultPollInterval);
        }
      }
    });
  }

  ~FaultInjector() { this->Stop(); }

  void Stop()
  {
    this->stopping = true;
    if (this->thread.joinable()) {
      this->thread.join();
    }
  }

private:
  std::atomic<bool> stopping{ false };
  std::thread thread;
};

// Mean duration by request kind.
std::map<std::string, double>
MeanRequestMillis(const std::vector<RequestRecord>& aRequests)
{
  std::map<std::string, double> means;
  std::map<std::string, double> counts;
  for (const RequestRecord& request : aRequests) {
    means[request.kind] += double(request.duration.count());
    ++counts[request.kind];
  }
  for (auto& [kind, sum] : means) {
    sum /= counts.at(kind);
  }
  return means;
}

void
Summarize(const RunSettings& aSettings,
          const LoadGenerator& aGenerator,
          RunResult& aResult)
{
  std::vector<ProgramRecord> measured;
  for (const ProgramRecord& program : aGenerator.Records().Programs()) {
    if (program.arrivedAt >= aGenerator.WindowStart() &&
        program.arrivedAt < aGenerator.WindowEnd()) {
      measured.push_back(program);
    }
  }
  for (const ProgramRecord& program : measured) {
    ++aResult.programs;
    if (!program.finished) {
      ++aResult.unfinished;
      ++aResult.unfinishedReasons[program.reason];
    }
    // Unfinished programs of the flooding organisation are left out: most of
    // its requests are refused.
    const bool isCounted = program.finished || int(program.organisation) !=
                                                 aSettings.floodingOrganisation;
    if (isCounted) {
      aResult.latencies.push_back(program.latencyMillis);
      aResult.idealLatencies.push_back(program.idealMillis);
      aResult.latenciesByUrgency[program.urgency].push_back(
        program.latencyMillis);
    }
  }
  const auto requests = aGenerator.Records().Requests();
  aResult.requests = int64_t(requests.size());
  aResult.meanRequestMillis = MeanRequestMillis(requests);
  std::vector<RateLimit> limits;
  for (size_t i = 0; i < aSettings.workload->organisations.size(); ++i) {
    limits.push_back(RateLimitOf(aSettings, i));
  }
  const RateJudge judge(limits, requests);
  aResult.wrongfulReasons = judge.WrongfulRefusals();
  for (const auto& entry : aResult.wrongfulReasons) {
    aResult.wrongfulRefusals += entry.second;
  }
  const ServedShares served =
    judge.FindServedShares(measured, aSettings.floodingOrganisation);
  aResult.worstServedShare = served.worstOrganisation;
  aResult.entitledShare = served.entitled;
  aResult.neededTokens = aGenerator.Records().NeededTokens();
}

double
Quantile(std::vector<double> aValues, double aShare)
{
  std::sort(aValues.begin(), aValues.end());
  return aValues.at(size_t(aShare * double(aValues.size() - 1)));
}

double
MeasureCallMillis(HttpClient& aClient, const HttpCall& aCall)
{
  const TimePoint start = Now();
  const HttpOutcome outcome = aClient.Perform(aCall);
  const auto* answer = std::get_if<HttpAnswer>(&outcome);
  if (answer == nullptr || answer->status != 200) {
    throw std::runtime_error("one-token call failed: " +
                             (answer ? answer->body : "no response"));
  }
  return std::chrono::duration<double, std::milli>(Now() - start).count();
}

// Mean milliseconds by part of a model call.
std::map<std::string, double>
MeanCallParts(Deployment& aDeployment)
{
  const std::string name = "tanagerseam_call_part_seconds";
  std::map<std::string, double> parts =
    aDeployment.SumMetricByLabel(name + "_sum");
  const auto counts = aDeployment.SumMetricByLabel(name + "_count");
  for (auto& [part, sum] : parts) {
    sum *= 1000 / counts.at(part);
  }
  return parts;
}

} // namespace

OverheadResult
MeasureOverhead(const Workload& aWorkload, int aCalls)
{
  constexpr double kFastEngineTimeScale = 0.1;
  RunSettings settings;
  settings.workload = &aWorkload;
  settings.policies = { "ours", "fair_program", "expected_time" };
  settings.timeScale = kFastEngineTimeScale;
  settings.nominalProgramsPerSecond = 1000;
  Deployment deployment(settings);
  deployment.Start();
  std::this_thread::sleep_for(kSettleTime);
  const CallerConfig config = deployment.MakeCallerConfig();
  HttpClient client;
  HttpCall open;
  open.method = "POST";
  open.body = "{}";
  open.headers = { { "Authorization", "Bearer " + config.keys.at(0) },
                   { "Content-Type", "application/json" } };
  std::vector<double> directMillis;
  std::vector<double> daemonMillis;
  for (int i = 0; i < aCalls; ++i) {
    const std::string daemon =
      config.daemons.at(size_t(i) % config.daemons.size());
    open.url = "http://" + daemon + "/v1/programs";
    const HttpOutcome opened = client.Perform(open);
    const auto program =
      nlohmann::json::parse(std::get<HttpAnswer>(opened).body);
    HttpCall call = open;
    call.body = nlohmann::json{
      { "model", config.model },
      { "max_tokens", 1 },
      { "messages", { { { "role", "user" }, { "content", "one" } } } }
    }.dump();
    HttpCall toEngine = call;
    toEngine.url = "http://" + deployment.Processes().EngineAddress(0) +
                   "/v1/chat/completions";
    directMillis.push_back(MeasureCallMillis(client, toEngine));
    call.url = "http://" + daemon + "/v1/chat/completions";
    call.headers.push_back({ "X-Program", program.at("id") });
    call.headers.push_back({ "X-Call", "1" });
    daemonMillis.push_back(MeasureCallMillis(client, call));
  }
  constexpr double kTailQuantile = 0.95;
  return { Quantile(directMillis, 0.5),
           Quantile(daemonMillis, 0.5),
           Quantile(directMillis, kTailQuantile),
           Quantile(daemonMillis, kTailQuantile),
           aCalls };
}

RunResult
RunLoad(const RunSettings& aSettings)
{
  Deployment deployment(aSettings);
  deployment.Start();
  std::this_thread::sleep_for(kSettleTime);
  const MachineCpuTicks machineBefore = ReadMachineCpuTicks();
  const double cpuBefore = deployment.DaemonCpuSeconds();
  LoadGenerator generator(aSettings, deployment.MakeCallerConfig());
  RunResult result;
  {
    FaultInjector faultInjector(deployment, aSettings);
    if (aSettings.programsPerSecond > 0) {
      generator.RunOpenLoop();
    } else {
      generator.RunClosedLoop();
    }
  }
  const int64_t calls = generator.ModelCallsMeasured();
  const MachineCpuTicks machineAfter = ReadMachineCpuTicks();
  const bool isOpenLoop = aSettings.programsPerSecond > 0;
  const Millis counted =
    aSettings.measureWindow + (isOpenLoop ? aSettings.warmUp : Millis(0));
  const double windowSeconds = double(counted.count()) / 1000;
  result.modelCallsPerSecond = double(calls) / windowSeconds;
  result.machineBusy =
    double(machineAfter.busy - machineBefore.busy) /
    double(std::max<int64_t>(1, machineAfter.total - machineBefore.total));
  generator.Join();
  Summarize(aSettings, generator, result);
  result.prefilledTokens = deployment.ReadEngineTotals().prefilled;
  result.prefilledByCause =
    deployment.SumMetricByLabel("tanagerseam_prefilled_tokens_total");
  result.meanCallPartMillis = MeanCallParts(deployment);
  result.daemonCpuSeconds = deployment.DaemonCpuSeconds() - cpuBefore;
  result.requestsPerCpuSecond =
    double(result.requests) / std::max(0.01, result.daemonCpuSeconds);
  return result;
}

} // namespace tanagerseam::bench
