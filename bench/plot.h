// Draws a bar chart with ranges as SVG.
//
//   std::string svg = PlotSvg("latency", { { "ours", 120, 110, 140 } });
#ifndef TANAGERSEAM_BENCH_PLOT_H_
#define TANAGERSEAM_BENCH_PLOT_H_

#include <string>
#include <vector>

namespace tanagerseam::bench {

// A bar up to the median, with a line from the minimum to the maximum.
struct PlotBar
{
  std::string name;
  double median = 0;
  double minimum = 0;
  double maximum = 0;
};

std::string
PlotSvg(const std::string& aTitle, const std::vector<PlotBar>& aBars);

} // namespace tanagerseam::bench

#endif // TANAGERSEAM_BENCH_PLOT_H_
