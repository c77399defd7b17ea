// Collects the runs of a benchmark and writes them as tables, JSON and plots.
//
//   Report report;
//   report.Add({ "stopa", "load", "ours", 1, MeasuresOf(result) });
//   std::cout << report.Text();
//   report.Write("bench-results");
#ifndef TANAGERSEAM_BENCH_REPORT_H_
#define TANAGERSEAM_BENCH_REPORT_H_

#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "bench/load_run.h"

namespace tanagerseam::bench {

// The aShare quantile (0 to 1) without interpolation; 0 if aValues is empty.
double
QuantileOf(std::vector<double> aValues, double aShare);

// Values by measure name, as in results.json.
using Measures = std::map<std::string, double>;

Measures
MeasuresOf(const RunResult& aResult);

// Median and range over the seeds.
struct Spread
{
  double median = 0;
  double minimum = 0;
  double maximum = 0;
};

Spread
SpreadOf(const std::vector<double>& aValues);

class Report
{
public:
  struct Run
  {
    std::string workload;
    std::string scenario;
    std::string policy;
    uint64_t seed = 0;
    Measures measures;
    std::map<std::string, int64_t> unfinishedReasons;
    // Wrongful refusals by organisation index and reason.
    std::map<std::string, int64_t> wrongfulReasons;
  };

  void Add(Run aRun);
  // Sets a top-level field of results.json.
  void SetField(const std::string& aName, nlohmann::json aValue);
  // Spread of the ratio of aMeasure under aPolicy to that under aBase, run by
  // run in the order added, so that the seeds match. Runs whose base value is
  // not positive are skipped.
  Spread RatioOf(const std::string& aWorkload,
                 const std::string& aScenario,
                 const std::string& aMeasure,
                 const std::string& aPolicy,
                 const std::string& aBase) const;
  // One table per workload and scenario, with a row per measure and a column
  // per policy, then the targets, in Markdown.
  std::string Text() const;
  // Writes results.json and a WORKLOAD-SCENARIO-MEASURE.svg for each measure.
  void Write(const std::string& aFolder) const;

private:
  using PolicySpreads = std::vector<std::pair<std::string, Spread>>;
  // Distinct (workload, scenario) pairs in the order added.
  std::vector<std::pair<std::string, std::string>> WorkloadScenarios() const;
  std::vector<std::string> PoliciesOf(const std::string& aWorkload,
                                      const std::string& aScenario) const;
  std::vector<double> ValuesOf(const std::string& aWorkload,
                               const std::string& aScenario,
                               const std::string& aPolicy,
                               const std::string& aMeasure) const;
  PolicySpreads SpreadsOf(const std::string& aWorkload,
                          const std::string& aScenario,
                          const std::string& aMeasure) const;
  std::string TargetsText() const;

  std::vector<Run> runs;
  nlohmann::json topLevelFields = nlohmann::json::object();
};

} // namespace tanagerseam::bench

#endif // TANAGERSEAM_BENCH_REPORT_H_
