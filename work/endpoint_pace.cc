#include <algorithm>
#include <cmath>

#include "work/work.h"

namespace tanagerseam {

namespace {

// Weight of a report in the mean. Low, so that a slow period of a few reports
// is not taken for the usual pace.
constexpr double kMeanWeight = 0.02;
constexpr double kMinRelativePace = 0.2;
constexpr double kMaxRelativePace = 10;

} // namespace

bool
EndpointPace::OnReport(double aPace, TimePoint aNow)
{
  if (!(aPace > 0 && aPace <= kMaxPace)) {
    return false;
  }
  this->stated = aPace;
  this->mean += kMeanWeight * (aPace - this->mean);
  this->statedAt = aNow;
  return true;
}

std::optional<Millis>
EndpointPace::Age(TimePoint aNow) const
{
  if (!this->IsStated()) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Millis>(aNow - this->statedAt);
}

double
EndpointPace::Slowness(double aLongTerm, TimePoint aNow) const
{
  const auto age = this->Age(aNow);
  if (!age) {
    return aLongTerm;
  }
  const double halfLives =
    std::max(0.0, std::chrono::duration<double>(*age) / kHalfLife);
  const double relative =
    std::clamp(this->stated / this->mean, kMinRelativePace, kMaxRelativePace);
  return aLongTerm * (1 + std::exp2(-halfLives) * (relative - 1));
}

} // namespace tanagerseam
