#include "bench/plot.h"

#include <algorithm>
#include <sstream>

namespace tanagerseam::bench {

namespace {

// In pixels.
constexpr double kBarWidth = 70;
constexpr double kGap = 40;
constexpr double kHeight = 240;
constexpr double kTop = 40;
constexpr double kBottom = 30;

} // namespace

std::string
PlotSvg(const std::string& aTitle, const std::vector<PlotBar>& aBars)
{
  double largest = 0;
  for (const PlotBar& bar : aBars) {
    largest = std::max(largest, bar.maximum);
  }
  const double scale = largest > 0 ? kHeight / largest : 0;
  const double width = kGap + double(aBars.size()) * (kBarWidth + kGap);
  const double base = kTop + kHeight;
  std::ostringstream svg;
  svg << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\""
      << std::max(width, 420.0) << "\" height=\"" << base + kBottom
      << "\" font-family=\"sans-serif\" font-size=\"11\">\n"
      << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n<text x=\"8\" "
         "y=\"16\">"
      << aTitle << "</text>\n";
  double x = kGap;
  for (const PlotBar& bar : aBars) {
    const double middle = x + kBarWidth / 2;
    const double top = base - bar.median * scale;
    svg << "<rect x=\"" << x << "\" y=\"" << top << "\" width=\"" << kBarWidth
        << "\" height=\"" << std::max(0.0, base - top)
        << "\" fill=\"#5b8db8\"/>\n<line x1=\"" << middle << "\" x2=\""
        << middle << "\" y1=\"" << base - bar.maximum * scale << "\" y2=\""
        << base - bar.minimum * scale << "\" stroke=\"black\"/>\n<text x=\""
        << x << "\" y=\"" << base + 14 << "\">" << bar.name
        << "</text>\n<text x=\"" << x << "\" y=\"" << base + 26 << "\">"
        << bar.median << "</text>\n";
    x += kBarWidth + kGap;
  }
  svg << "</svg>\n";
  return svg.str();
}

} // namespace tanagerseam::bench
