// tanagerseam-bench: compares scheduling policies with baselines under load.
//
//   tanagerseam-bench --workloads=stopa --scenarios=load --seeds=3 --out=DIR
//
// For each workload it measures the capacity of the engines in a closed loop
// under the baseline least_load. Then, for each scenario, seed and policy set,
// it starts a fresh fleet and loads it at the fraction --load of that capacity.
// Prints tables and targets, writes results.json and plots. docs/BENCHMARKS.md
// explains the measures.
#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <iostream>
#include <sstream>

#include "bench/load_run.h"
#include "bench/report.h"

// The flag macros of Abseil fix the style of these names.
// NOLINTBEGIN(readability-identifier-naming)
ABSL_FLAG(std::string, workloads, "stopa", "comma-separated: stopa, mljeko");
ABSL_FLAG(std::string,
          scenarios,
          "load",
          "comma-separated: load, fairness, freeze, kill, leave, direct");
ABSL_FLAG(std::string,
          policies,
          "",
          "comma-separated; empty: the default set of each scenario");
ABSL_FLAG(int, seeds, 3, "runs of each policy");
ABSL_FLAG(uint64_t, first_seed, 1, "the first seed");
ABSL_FLAG(double,
          load,
          0.85,
          "offered load as a fraction of the measured capacity");
ABSL_FLAG(double,
          capacity,
          0,
          "capacity in programs per second; 0: measure it");
ABSL_FLAG(int, warm_up_s, 4, "warm-up in seconds before the measure window");
ABSL_FLAG(int, seconds, 12, "length of the measure window in seconds");
ABSL_FLAG(int,
          drain_s,
          20,
          "seconds that programs may take to finish after the window");
ABSL_FLAG(int, fault_every_s, 4, "seconds between faults");
ABSL_FLAG(int, slots, 4, "concurrent sequences per engine");
ABSL_FLAG(double,
          time_scale,
          3,
          "multiplies the prefill and decode times of the engines");
ABSL_FLAG(int64_t,
          cache_tokens,
          40000,
          "prefix cache capacity per engine, in tokens");
ABSL_FLAG(int,
          direct_calls,
          200,
          "one-token calls sent each way in the scenario direct");
ABSL_FLAG(std::string,
          out,
          "bench-results",
          "output folder for results.json and plots");
// NOLINTEND(readability-identifier-naming)

namespace tanagerseam::bench {
namespace {

const std::vector<PolicySet> kPolicySets = {
  { "ours", "fair_program", "expected_time" },
  { "least_load", "fifo", "least_load" },
  { "round_robin", "fifo", "round_robin" },
  { "random", "fifo", "random" },
  { "static_split", "fair_program", "expected_time", "static_split" },
};

struct Scenario
{
  const char* name;
  std::vector<std::string> policies;
  Fault fault = Fault::kNone;
  // Organisation index; -1: none.
  int floodingOrganisation = -1;
  double rateMargin = 3;
};

// Organisation index; one with a large share of the load.
constexpr int kFloodingOrganisation = 1;

const std::vector<Scenario> kScenarios = {
  { "load", { "ours", "least_load", "round_robin", "random" } },
  { "fairness",
    { "ours", "least_load", "static_split" },
    Fault::kNone,
    kFloodingOrganisation,
    1.5 },
  { "freeze", { "ours", "least_load" }, Fault::kEngineFrozen },
  { "kill", { "ours" }, Fault::kDaemonKilled },
  { "leave", { "ours", "least_load" }, Fault::kEndpointLeaving },
};

std::vector<std::string>
SplitList(const std::string& aText)
{
  std::vector<std::string> parts;
  std::istringstream stream(aText);
  std::string part;
  while (std::getline(stream, part, ',')) {
    parts.push_back(part);
  }
  return parts;
}

// Accepts a name in kPolicySets, or QUEUE_POLICY+ENDPOINT_POLICY.
PolicySet
FindPolicySet(const std::string& aName)
{
  for (const PolicySet& policies : kPolicySets) {
    if (policies.name == aName) {
      return policies;
    }
  }
  const size_t plus = aName.find('+');
  if (plus != std::string::npos) {
    return { aName, aName.substr(0, plus), aName.substr(plus + 1) };
  }
  throw std::runtime_error("unknown policy set: " + aName);
}

const Scenario&
FindScenario(const std::string& aName)
{
  for (const Scenario& scenario : kScenarios) {
    if (aName == scenario.name) {
      return scenario;
    }
  }
  throw std::runtime_error("unknown scenario: " + aName);
}

RunSettings
SettingsFromFlags(const Workload& aWorkload)
{
  RunSettings settings;
  settings.workload = &aWorkload;
  settings.warmUp = Millis(1000 * absl::GetFlag(FLAGS_warm_up_s));
  settings.measureWindow = Millis(1000 * absl::GetFlag(FLAGS_seconds));
  settings.drainTimeout = Millis(1000 * absl::GetFlag(FLAGS_drain_s));
  settings.faultInterval = Millis(1000 * absl::GetFlag(FLAGS_fault_every_s));
  settings.engineSlots = absl::GetFlag(FLAGS_slots);
  settings.timeScale = absl::GetFlag(FLAGS_time_scale);
  settings.cacheCapacityTokens = absl::GetFlag(FLAGS_cache_tokens);
  return settings;
}

// Throughput of the engines under the baseline least_load, in programs per
// second.
double
MeasureCapacity(const Workload& aWorkload)
{
  if (absl::GetFlag(FLAGS_capacity) > 0) {
    return absl::GetFlag(FLAGS_capacity);
  }
  // More concurrent programs than engine slots, so that the slots stay busy
  // while programs pause.
  constexpr double kProgramsPerSlot = 3;
  RunSettings settings = SettingsFromFlags(aWorkload);
  settings.policies = FindPolicySet("least_load");
  settings.concurrentPrograms =
    int(kProgramsPerSlot * aWorkload.engines * settings.engineSlots);
  settings.nominalProgramsPerSecond = 1000;
  const RunResult result = RunLoad(settings);
  return result.modelCallsPerSecond / MeanModelCallsPerProgram(aWorkload);
}

void
RunScenario(const Workload& aWorkload,
            const Scenario& aScenario,
            double aCapacity,
            Report& aReport)
{
  auto names = SplitList(absl::GetFlag(FLAGS_policies));
  if (names.empty()) {
    names = aScenario.policies;
  }
  for (int i = 0; i < absl::GetFlag(FLAGS_seeds); ++i) {
    for (const std::string& name : names) {
      RunSettings settings = SettingsFromFlags(aWorkload);
      settings.policies = FindPolicySet(name);
      settings.seed = absl::GetFlag(FLAGS_first_seed) + uint64_t(i);
      settings.programsPerSecond = aCapacity * absl::GetFlag(FLAGS_load);
      settings.nominalProgramsPerSecond = settings.programsPerSecond;
      settings.fault = aScenario.fault;
      settings.floodingOrganisation = aScenario.floodingOrganisation;
      settings.rateMargin = aScenario.rateMargin;
      const RunResult result = RunLoad(settings);
      Report::Run run{
        aWorkload.name,        aScenario.name,     name,
        settings.seed,         MeasuresOf(result), result.unfinishedReasons,
        result.wrongfulReasons
      };
      std::cerr << aWorkload.name << " " << aScenario.name << " seed "
                << settings.seed << " " << name << ": p95 "
                << run.measures["latency_p95_ms"] << " ms of "
                << result.programs << " programs, " << result.unfinished
                << " unfinished\n";
      aReport.Add(std::move(run));
      if (result.unfinished == result.programs) {
        throw std::runtime_error(
          "no program finished in this run: " +
          nlohmann::json(result.unfinishedReasons).dump());
      }
    }
  }
}

void
RunDirectScenario(const Workload& aWorkload, Report& aReport)
{
  const OverheadResult overhead =
    MeasureOverhead(aWorkload, absl::GetFlag(FLAGS_direct_calls));
  aReport.SetField(std::string("direct_") + aWorkload.name,
                   { { "calls", overhead.calls },
                     { "direct_p50_ms", overhead.directP50Millis },
                     { "direct_p95_ms", overhead.directP95Millis },
                     { "through_daemons_p50_ms", overhead.daemonsP50Millis },
                     { "through_daemons_p95_ms", overhead.daemonsP95Millis } });
  std::cout << aWorkload.name << " direct: engine " << overhead.directP50Millis
            << " ms (p95 " << overhead.directP95Millis
            << "), through the daemons " << overhead.daemonsP50Millis
            << " ms (p95 " << overhead.daemonsP95Millis << ")\n";
}

void
RunAll(int argc, char** argv)
{
  Report report;
  nlohmann::json command = nlohmann::json::array();
  for (int i = 1; i < argc; ++i) {
    command.push_back(argv[i]);
  }
  report.SetField("command", command);
  for (const std::string& name : SplitList(absl::GetFlag(FLAGS_workloads))) {
    const Workload& workload = FindWorkload(name);
    double capacity = 0;
    for (const std::string& scenario :
         SplitList(absl::GetFlag(FLAGS_scenarios))) {
      if (scenario == "direct") {
        RunDirectScenario(workload, report);
        continue;
      }
      const Scenario& found = FindScenario(scenario);
      if (capacity == 0) {
        capacity = MeasureCapacity(workload);
        report.SetField("capacity_" + name, capacity);
        std::cout << name << ": engine capacity " << capacity
                  << " programs per second under least_load\n";
      }
      RunScenario(workload, found, capacity, report);
    }
  }
  std::cout << report.Text();
  report.Write(absl::GetFlag(FLAGS_out));
}

} // namespace
} // namespace tanagerseam::bench

int
main(int argc, char** argv)
{
  absl::ParseCommandLine(argc, argv);
  try {
    tanagerseam::bench::RunAll(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "tanagerseam-bench: " << error.what() << "\n";
    return 1;
  }
  return 0;
}
