// The fleet of a workload as real processes, and what its counters say.
#ifndef TANAGERSEAM_BENCH_DEPLOYMENT_H_
#define TANAGERSEAM_BENCH_DEPLOYMENT_H_

#include <map>
#include <memory>
#include <string>

#include "bench/load_run.h"
#include "limit/limit.h"
#include "tests/support/fleet.h"

namespace tanagerseam::bench {

struct EngineTotals
{
  int64_t prefilled = 0;
  int64_t cached = 0;
  int64_t generated = 0;
};

// Rate and burst of an organisation in a run.
RateLimit
RateOf(const RunSettings& aRun, size_t aOrganisation);

class Deployment
{
public:
  explicit Deployment(const RunSettings& aSettings);

  // Starts all; to be called by a thread that outlives the deployment.
  void Start();
  CallerPlace Place() const;
  EngineTotals Engines();
  // Sums of a metric over the daemons that answer, by the value of its one
  // label.
  std::map<std::string, double> SumOfMetric(const std::string& aName);
  // Processor time of the daemons that run, user and system.
  double DaemonCpuSeconds();
  // Strikes: freezes an engine, kills a daemon, or makes an endpoint leave and
  // the one before come back.
  void Strike(Fault aFault, int aTime, Millis aEvery);
  testing_support::Fleet& Processes() { return *this->fleet; }

private:
  std::string DesiredText() const;
  std::string EngineSection(int aIndex, bool aLeaving) const;
  void ApplyLeaving(int aLeaving);

  const RunSettings& settings;
  std::unique_ptr<testing_support::Fleet> fleet;
  HttpClient client;
};

// Busy and all processor time of the machine so far, in clock ticks.
struct MachineTicks
{
  int64_t busy = 0;
  int64_t all = 0;
};

MachineTicks
ReadMachineTicks();

} // namespace tanagerseam::bench

#endif // TANAGERSEAM_BENCH_DEPLOYMENT_H_
