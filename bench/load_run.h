// Runs one load test: starts a fresh fleet of real processes under one policy
// set and loads it with programs drawn from one seed.
//
//   RunSettings settings;
//   settings.workload = &FindWorkload("stopa");
//   settings.policies = { "ours", "fair_program", "expected_time" };
//   settings.programsPerSecond = 12;
//   RunResult result = RunLoad(settings);
//
// Open-loop arrivals are a Poisson process at programsPerSecond, drawn from the
// seed before the run, so that every policy set gets the same programs at the
// same times. Latency is measured from the drawn arrival time. Only programs
// that arrive in the measure window, after the warm-up, are measured. A program
// that is unfinished when the drain timeout ends counts with the time elapsed
// since its arrival.
#ifndef TANAGERSEAM_BENCH_LOAD_RUN_H_
#define TANAGERSEAM_BENCH_LOAD_RUN_H_

#include <map>
#include <string>
#include <vector>

#include "bench/program_caller.h"
#include "bench/workload.h"

namespace tanagerseam::bench {

// Names of the policies that a run uses, and of the combination.
struct PolicySet
{
  std::string name;
  std::string queue;
  std::string endpoint;
  std::string rate = "owner_bucket";
};

// Fault that is injected at intervals; see Deployment::InjectFault.
enum class Fault
{
  kNone,
  kEngineFrozen,
  kDaemonKilled,
  kEndpointLeaving,
};

struct RunSettings
{
  const Workload* workload = nullptr;
  PolicySet policies;
  uint64_t seed = 1;
  // Open-loop arrival rate; 0: closed loop with `concurrentPrograms` programs.
  double programsPerSecond = 0;
  int concurrentPrograms = 0;
  // Index of the organisation that sends five times its rate limit; -1: none.
  int floodingOrganisation = -1;
  // Rate limit of an organisation over its mean requests per second.
  double rateMargin = 3;
  // Mean programs per second from which the rate limits are computed.
  double nominalProgramsPerSecond = 10;
  Fault fault = Fault::kNone;
  Millis faultInterval{ 5000 };
  Millis warmUp{ 4000 };
  Millis measureWindow{ 12000 };
  Millis drainTimeout{ 20000 };
  // Concurrent sequences of each simulated engine.
  int engineSlots = 4;
  // Multiplies engineTimes.
  double timeScale = 3;
  // Before timeScale is applied.
  EngineTimes engineTimes{ 0.05, 2 };
  // Capacity of an engine's prefix cache.
  int64_t cacheCapacityTokens = 40000;
};

struct RunResult
{
  // Milliseconds, of all programs that arrived in the measure window, except
  // the unfinished ones of the flooding organisation.
  std::vector<double> latencies;
  std::map<std::string, std::vector<double>> latenciesByUrgency;
  // IdealMillis of the same programs.
  std::vector<double> idealLatencies;
  int64_t programs = 0;
  int64_t unfinished = 0;
  std::map<std::string, int64_t> unfinishedReasons;
  double modelCallsPerSecond = 0;
  int64_t prefilledTokens = 0;
  int64_t neededTokens = 0;
  // Prefilled tokens by cause, from the daemons' metrics.
  std::map<std::string, double> prefilledByCause;
  // By part of a model call, from the daemons' metrics.
  std::map<std::string, double> meanCallPartMillis;
  // Seen by callers, by RequestRecord::kind.
  std::map<std::string, double> meanRequestMillis;
  // Finished over entitled programs, of the worst-served organisation that does
  // not flood; see RateJudge::FindServedShares.
  double worstServedShare = 1;
  // Entitled over all programs, of the organisations that don't flood.
  double entitledShare = 1;
  int64_t requests = 0;
  int64_t wrongfulRefusals = 0;
  // Wrongful refusals by organisation index and reason.
  std::map<std::string, int64_t> wrongfulReasons;
  double daemonCpuSeconds = 0;
  double requestsPerCpuSecond = 0;
  // CPU utilisation of the whole machine from 0 to 1, other processes included.
  double machineBusy = 0;
};

RunResult
RunLoad(const RunSettings& aSettings);

// Latency of sequential one-token calls, sent directly to an engine and through
// the daemons.
struct OverheadResult
{
  double directP50Millis = 0;
  double daemonsP50Millis = 0;
  double directP95Millis = 0;
  double daemonsP95Millis = 0;
  int calls = 0;
};

// Sends aCalls calls each way to a fleet of its own.
OverheadResult
MeasureOverhead(const Workload& aWorkload, int aCalls);

} // namespace tanagerseam::bench

#endif // TANAGERSEAM_BENCH_LOAD_RUN_H_
