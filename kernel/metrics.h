// Counters, gauges and latency histograms, served as text in the usual
// exposition format.
//
//   metrics.Count("tanagerseam_refusals_total", { { "reason", "no_endpoint" }
//   }); metrics.Observe("tanagerseam_call_seconds", {}, 0.25);
//   metrics.Set("tanagerseam_queue_length", {}, 12);
//   std::string page = metrics.Text();
//
// One lock for all; a call costs a map lookup, and for a sample a search among
// the bounds of kLatencyBounds. Label values must come from small fixed sets,
// never from callers.
#ifndef TANAGERSEAM_KERNEL_METRICS_H_
#define TANAGERSEAM_KERNEL_METRICS_H_

#include <array>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace tanagerseam {

using Labels = std::vector<std::pair<std::string, std::string>>;

// Upper bounds of the buckets of histograms, in seconds; one more holds the
// rest.
constexpr std::array<double, 13> kLatencyBounds = {
  0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10
};

class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // Adds to a counter.
  void Count(const std::string& aName, const Labels& aLabels, double aBy = 1);
  // Sets a gauge.
  void Set(const std::string& aName, const Labels& aLabels, double aValue);
  // Adds a sample, in seconds, to a histogram over kLatencyBounds.
  void Observe(const std::string& aName, const Labels& aLabels, double aValue);
  // The value of a counter or gauge; 0 if it was never touched.
  double Value(const std::string& aName, const Labels& aLabels) const;
  // The page in exposition format.
  std::string Text() const;

private:
  struct Histogram;
  using Key = std::pair<std::string, std::string>;

  mutable std::mutex mutex;
  std::map<Key, double> counters;
  std::map<Key, double> gauges;
  std::map<Key, std::unique_ptr<Histogram>> histograms;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_KERNEL_METRICS_H_
