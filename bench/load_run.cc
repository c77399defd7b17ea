#include "bench/load_run.h"

#include <algorithm>
#include <atomic>
#include <nlohmann/json.hpp>
#include <thread>

#include "bench/deployment.h"
#include "bench/rate_judge.h"

namespace tanagerseam::bench {

namespace {

// What an organisation sends that floods, against its rate.
constexpr double kFloodFactor = 5;
// After the start the buckets are empty, as after every change of owner.
constexpr Millis kSettle(5000);
constexpr Millis kDrainPoll(50);

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
  const double length =
    double((aSettings.warmUp + aSettings.measured).count()) / 1000;
  for (size_t i = 0; i < organisations.size(); ++i) {
    const double factor =
      int(i) == aSettings.floods ? kFloodFactor * aSettings.rateMargin : 1;
    std::exponential_distribution<double> gap(aSettings.programsPerSecond *
                                              organisations[i].share * factor);
    for (double at = gap(random); at < length; at += gap(random)) {
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

// The threads that act as callers.
class Callers
{
public:
  Callers(const RunSettings& aSettings, CallerPlace aPlace)
    : settings(aSettings)
    , place(std::move(aPlace))
    , start(Now())
    , measureFrom(this->start + aSettings.warmUp)
    , measureTo(this->measureFrom + aSettings.measured)
    , deadline(this->measureTo + aSettings.drain)
  {
  }

  ~Callers() { this->Join(); }

  void Join()
  {
    for (std::thread& thread : this->threads) {
      thread.join();
    }
    this->threads.clear();
  }

  // Starts each program at its time.
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
    std::this_thread::sleep_until(this->measureTo);
  }

  // Keeps a fixed number of programs under way.
  void RunClosedLoop()
  {
    for (int i = 0; i < this->settings.inFlight; ++i) {
      this->threads.emplace_back([this, i] {
        std::mt19937_64 random(this->settings.seed * 1000 + uint64_t(i));
        while (Now() < this->measureTo) {
          const size_t organisation =
            DrawOrganisation(*this->settings.workload, random);
          this->RunProgram(organisation, Now(), random);
        }
      });
    }
    std::this_thread::sleep_until(this->measureFrom);
    this->callsInWarmUp = this->records.ModelCalls();
    std::this_thread::sleep_until(this->measureTo);
  }

  // Model calls that were answered in the measured window; open loop: from the
  // start on.
  int64_t CallsMeasured() const
  {
    return this->records.ModelCalls() - this->callsInWarmUp;
  }
  TimePoint MeasureFrom() const { return this->measureFrom; }
  TimePoint MeasureTo() const { return this->measureTo; }
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
      this->client, this->place, this->records, aOrganisation, aRandom());
    caller.Run(plan, aArrival, this->deadline, idealMillis);
  }

  const RunSettings& settings;
  const CallerPlace place;
  const TimePoint start;
  const TimePoint measureFrom;
  const TimePoint measureTo;
  const TimePoint deadline;
  HttpClient client;
  RunRecords records;
  int64_t callsInWarmUp = 0;
  std::vector<std::thread> threads;
};

// Strikes in a thread of its own until it is told to stop.
class FaultThread
{
public:
  FaultThread(Deployment& aDeployment, const RunSettings& aSettings)
  {
    if (aSettings.fault == Fault::kNone) {
      return;
    }
    this->thread = std::thread([this, &aDeployment, &aSettings] {
      std::this_thread::sleep_for(aSettings.warmUp);
      for (int i = 0; !this->stopping; ++i) {
        try {
          aDeployment.Strike(aSettings.fault, i, aSettings.faultEvery);
        } catch (const std::exception& error) {
          LogWarn("bench_fault_failed", { { "detail", error.what() } });
        }
        const TimePoint next = Now() + aSettings.faultEvery;
        while (!this->stopping && Now() < next) {
          std::this_thread::sleep_for(kDrainPoll);
        }
      }
    });
  }

  ~FaultThread() { this->Stop(); }

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

std::map<std::string, double>
MeanRequests(const std::vector<RequestRecord>& aRequests)
{
  std::map<std::string, double> means;
  std::map<std::string, double> counts;
  for (const RequestRecord& request : aRequests) {
    means[request.kind] += double(request.took.count());
    ++counts[request.kind];
  }
  for (auto& [kind, sum] : means) {
    sum /= counts.at(kind);
  }
  return means;
}

void
Summarize(const RunSettings& aSettings,
          const Callers& aCallers,
          RunResult& aResult)
{
  std::vector<ProgramRecord> measured;
  for (const ProgramRecord& program : aCallers.Records().Programs()) {
    if (program.arrivedAt >= aCallers.MeasureFrom() &&
        program.arrivedAt < aCallers.MeasureTo()) {
      measured.push_back(program);
    }
  }
  for (const ProgramRecord& program : measured) {
    ++aResult.programs;
    if (!program.finished) {
      ++aResult.unfinished;
      ++aResult.reasons[program.reason];
    }
    // The one that floods is refused for most of what it sends.
    const bool counts =
      program.finished || int(program.organisation) != aSettings.floods;
    if (counts) {
      aResult.latencies.push_back(program.latencyMillis);
      aResult.idealLatencies.push_back(program.idealMillis);
      aResult.latenciesByUrgency[program.urgency].push_back(
        program.latencyMillis);
    }
  }
  const auto requests = aCallers.Records().Requests();
  aResult.requests = int64_t(requests.size());
  aResult.requestMillis = MeanRequests(requests);
  std::vector<RateLimit> shapes;
  for (size_t i = 0; i < aSettings.workload->organisations.size(); ++i) {
    shapes.push_back(RateOf(aSettings, i));
  }
  const RateJudge judge(shapes, requests);
  aResult.wrongfulReasons = judge.Wrongful();
  for (const auto& entry : aResult.wrongfulReasons) {
    aResult.wrongfulRefusals += entry.second;
  }
  const ServedShares served = judge.Served(measured, aSettings.floods);
  aResult.worstServed = served.worst;
  aResult.entitledShare = served.entitled;
  aResult.neededTokens = aCallers.Records().NeededTokens();
}

double
Quantile(std::vector<double> aValues, double aShare)
{
  std::sort(aValues.begin(), aValues.end());
  return aValues.at(size_t(aShare * double(aValues.size() - 1)));
}

double
TimeOfCall(HttpClient& aClient, const HttpCall& aCall)
{
  const TimePoint start = Now();
  const HttpOutcome outcome = aClient.Perform(aCall);
  const auto* answer = std::get_if<HttpAnswer>(&outcome);
  if (answer == nullptr || answer->status != 200) {
    throw std::runtime_error("a direct call failed: " +
                             (answer ? answer->body : "no answer"));
  }
  return std::chrono::duration<double, std::milli>(Now() - start).count();
}

// Mean milliseconds of each part of a model call.
std::map<std::string, double>
MeanCallParts(Deployment& aDeployment)
{
  const std::string name = "tanagerseam_call_part_seconds";
  std::map<std::string, double> parts = aDeployment.SumOfMetric(name + "_sum");
  const auto counts = aDeployment.SumOfMetric(name + "_count");
  for (auto& [part, sum] : parts) {
    sum *= 1000 / counts.at(part);
  }
  return parts;
}

} // namespace

DirectResult
RunDirect(const Workload& aWorkload, int aCalls)
{
  constexpr double kFastEngine = 0.1;
  RunSettings settings;
  settings.workload = &aWorkload;
  settings.policies = { "ours", "fair_program", "expected_time" };
  settings.timeScale = kFastEngine;
  settings.nominalProgramsPerSecond = 1000;
  Deployment deployment(settings);
  deployment.Start();
  std::this_thread::sleep_for(kSettle);
  const CallerPlace place = deployment.Place();
  HttpClient client;
  HttpCall open;
  open.method = "POST";
  open.body = "{}";
  open.headers = { { "Authorization", "Bearer " + place.keys.at(0) },
                   { "Content-Type", "application/json" } };
  std::vector<double> direct;
  std::vector<double> through;
  for (int i = 0; i < aCalls; ++i) {
    const std::string daemon =
      place.daemons.at(size_t(i) % place.daemons.size());
    open.url = "http://" + daemon + "/v1/programs";
    const HttpOutcome opened = client.Perform(open);
    const auto program =
      nlohmann::json::parse(std::get<HttpAnswer>(opened).body);
    HttpCall call = open;
    call.body = nlohmann::json{
      { "model", place.model },
      { "max_tokens", 1 },
      { "messages", { { { "role", "user" }, { "content", "one" } } } }
    }.dump();
    HttpCall toEngine = call;
    toEngine.url = "http://" + deployment.Processes().EngineAddress(0) +
                   "/v1/chat/completions";
    direct.push_back(TimeOfCall(client, toEngine));
    call.url = "http://" + daemon + "/v1/chat/completions";
    call.headers.push_back({ "X-Program", program.at("id") });
    call.headers.push_back({ "X-Call", "1" });
    through.push_back(TimeOfCall(client, call));
  }
  constexpr double kTail = 0.95;
  return { Quantile(direct, 0.5),
           Quantile(through, 0.5),
           Quantile(direct, kTail),
           Quantile(through, kTail),
           aCalls };
}

RunResult
RunLoad(const RunSettings& aSettings)
{
  Deployment deployment(aSettings);
  deployment.Start();
  std::this_thread::sleep_for(kSettle);
  const MachineTicks machineBefore = ReadMachineTicks();
  const double cpuBefore = deployment.DaemonCpuSeconds();
  Callers callers(aSettings, deployment.Place());
  RunResult result;
  {
    FaultThread faults(deployment, aSettings);
    if (aSettings.programsPerSecond > 0) {
      callers.RunOpenLoop();
    } else {
      callers.RunClosedLoop();
    }
  }
  const int64_t calls = callers.CallsMeasured();
  const MachineTicks machineAfter = ReadMachineTicks();
  const bool isOpen = aSettings.programsPerSecond > 0;
  const Millis counted =
    aSettings.measured + (isOpen ? aSettings.warmUp : Millis(0));
  const double length = double(counted.count()) / 1000;
  result.modelCallsPerSecond = double(calls) / length;
  result.machineBusy =
    double(machineAfter.busy - machineBefore.busy) /
    double(std::max<int64_t>(1, machineAfter.all - machineBefore.all));
  callers.Join();
  Summarize(aSettings, callers, result);
  result.prefilledTokens = deployment.Engines().prefilled;
  result.prefilledByCause =
    deployment.SumOfMetric("tanagerseam_prefilled_tokens_total");
  result.callPartMillis = MeanCallParts(deployment);
  result.daemonCpuSeconds = deployment.DaemonCpuSeconds() - cpuBefore;
  result.requestsPerCpuSecond =
    double(result.requests) / std::max(0.01, result.daemonCpuSeconds);
  return result;
}

} // namespace tanagerseam::bench
