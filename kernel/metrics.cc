#include "kernel/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <algorithm>
#include <sstream>

namespace tanagerseam {

namespace acc = boost::accumulators;

namespace {

using Accumulator =
  acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum>>;

std::string
Encode(const Labels& aLabels)
{
  std::string text;
  for (const auto& label : aLabels) {
    text += text.empty() ? "" : ",";
    text += label.first + "=\"" + label.second + "\"";
  }
  return text;
}

std::string
Braced(const std::string& aLabels)
{
  return aLabels.empty() ? "" : "{" + aLabels + "}";
}

void
PrintFamily(
  std::ostringstream& aOut,
  const std::map<std::pair<std::string, std::string>, double>& aValues,
  const char* aType)
{
  std::string last;
  for (const auto& entry : aValues) {
    if (entry.first.first != last) {
      last = entry.first.first;
      aOut << "# TYPE " << last << " " << aType << "\n";
    }
    aOut << last << Braced(entry.first.second) << " " << entry.second << "\n";
  }
}

} // namespace

struct Metrics::Histogram
{
  Accumulator accumulator;
  // Samples up to each bound and above the one before.
  std::array<uint64_t, kLatencyBounds.size()> counts{};
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void
Metrics::Count(const std::string& aName, const Labels& aLabels, double aBy)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  this->counters[{ aName, Encode(aLabels) }] += aBy;
}

void
Metrics::Set(const std::string& aName, const Labels& aLabels, double aValue)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  this->gauges[{ aName, Encode(aLabels) }] = aValue;
}

void
Metrics::Observe(const std::string& aName, const Labels& aLabels, double aValue)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  std::unique_ptr<Histogram>& histogram =
    this->histograms[{ aName, Encode(aLabels) }];
  if (!histogram) {
    histogram = std::make_unique<Histogram>();
  }
  histogram->accumulator(aValue);
  const auto bound =
    std::lower_bound(kLatencyBounds.begin(), kLatencyBounds.end(), aValue);
  if (bound != kLatencyBounds.end()) {
    ++histogram->counts[static_cast<size_t>(bound - kLatencyBounds.begin())];
  }
}

double
Metrics::Value(const std::string& aName, const Labels& aLabels) const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  const Key key{ aName, Encode(aLabels) };
  auto counter = this->counters.find(key);
  if (counter != this->counters.end()) {
    return counter->second;
  }
  auto gauge = this->gauges.find(key);
  return gauge == this->gauges.end() ? 0 : gauge->second;
}

std::string
Metrics::Text() const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  std::ostringstream out;
  out.precision(12);
  PrintFamily(out, this->counters, "counter");
  PrintFamily(out, this->gauges, "gauge");
  std::string last;
  for (const auto& entry : this->histograms) {
    const std::string& name = entry.first.first;
    const std::string& labels = entry.first.second;
    if (name != last) {
      last = name;
      out << "# TYPE " << name << " histogram\n";
    }
    const std::string front =
      name + "_bucket{" + labels + (labels.empty() ? "" : ",") + "le=\"";
    const Accumulator& values = entry.second->accumulator;
    uint64_t below = 0;
    for (size_t i = 0; i < kLatencyBounds.size(); ++i) {
      below += entry.second->counts[i];
      out << front << kLatencyBounds[i] << "\"} " << below << "\n";
    }
    out << front << "+Inf\"} " << acc::count(values) << "\n";
    out << name << "_sum" << Braced(labels) << " " << acc::sum(values) << "\n";
    out << name << "_count" << Braced(labels) << " " << acc::count(values)
        << "\n";
  }
  return out.str();
}

} // namespace tanagerseam
