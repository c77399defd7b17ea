// Runs the fleet of a workload as real processes and reads its counters.
//
//   Deployment deployment(settings);
//   deployment.Start();
//   deployment.InjectFault(Fault::kEngineFrozen, 0, Millis(5000));
//   EngineTotals totals = deployment.ReadEngineTotals();
#ifndef TANAGERSEAM_BENCH_DEPLOYMENT_H_
#define TANAGERSEAM_BENCH_DEPLOYMENT_H_

#include <map>
#include <memory>
#include <string>

#include "bench/load_run.h"
#include "limit/limit.h"
#include "tests/support/fleet.h"

namespace tanagerseam::bench {

// Token counters, summed over all engines that answer.
struct EngineTotals
{
  int64_t prefilled = 0;
  int64_t cached = 0;
  int64_t generated = 0;
};

// Rate limit of the organisation with index aOrganisation: its mean request
// rate times rateMargin, with a burst of a few seconds of that rate.
RateLimit
RateLimitOf(const RunSettings& aRun, size_t aOrganisation);

class Deployment
{
public:
  // aSettings must outlive the deployment.
  explicit Deployment(const RunSettings& aSettings);

  // Starts all processes. The calling thread must outlive the deployment.
  void Start();
  // Daemon addresses, model, route and API keys for callers.
  CallerConfig MakeCallerConfig() const;
  EngineTotals ReadEngineTotals();
  // Sums a metric over the daemons that answer, keyed by the value of its only
  // label.
  std::map<std::string, double> SumMetricByLabel(const std::string& aName);
  // User plus system CPU time of the running daemons.
  double DaemonCpuSeconds();
  // Injects fault number aRound (from 0): freezes an engine for aInterval,
  // kills daemon 0 (round 0 only), or marks an endpoint as leaving and the
  // previous one as no longer leaving. Throws std::runtime_error if the
  // configuration can't be applied.
  void InjectFault(Fault aFault, int aRound, Millis aInterval);
  testing_support::Fleet& Processes() { return *this->fleet; }

private:
  // Configuration of the organisations, their keys and the route.
  std::string BaseConfigText() const;
  std::string EngineConfigSection(int aIndex, bool aLeaving) const;
  // Applies a configuration in which only this engine is leaving.
  void ApplyLeavingEndpoint(int aLeavingIndex);

  const RunSettings& settings;
  std::unique_ptr<testing_support::Fleet> fleet;
  HttpClient client;
};

// CPU time of the machine since boot, in clock ticks. Idle and I/O wait time
// don't count as busy.
struct MachineCpuTicks
{
  int64_t busy = 0;
  int64_t total = 0;
};

MachineCpuTicks
ReadMachineCpuTicks();

} // namespace tanagerseam::bench

#endif // TANAGERSEAM_BENCH_DEPLOYMENT_H_
