// When refused clients come back.
#include "admission/admission.h"

#include <algorithm>

namespace tanagerseam {

namespace {

// Least time after which a refused call may find room: the load that endpoints
// report changes within a call's duration.
constexpr double kLeastWaitMillis = 100;
// Assumed time until there is room where nothing is known, for priority 0 and
// for each less urgent priority on top.
constexpr double kWaitMillis = 300;
constexpr double kWaitStepMillis = 200;
// A client that waited longer would ask too late to be served.
constexpr double kMaxRemainingFraction = 1.0 / 3;

} // namespace

Millis
RetryAfter(int aPriority, Millis aWait, Millis aRemaining, double aDraw)
{
  const int priority = std::clamp(aPriority, 0, 10);
  const double assumed = kWaitMillis + kWaitStepMillis * priority;
  const double wait = std::max(assumed, static_cast<double>(aWait.count()));
  const double longest =
    static_cast<double>(aRemaining.count()) * kMaxRemainingFraction;
  const double upper = std::min(wait * 1.5, longest);
  // Where the client's time is the limit, its third is spread as a whole.
  const double lower = std::min({ kLeastWaitMillis, upper });
  const double from = std::max(lower, std::min(wait * 0.5, upper * 0.4));
  const double drawn = from + (upper - from) * std::clamp(aDraw, 0.0, 1.0);
  return Millis(std::max<int64_t>(1, static_cast<int64_t>(drawn)));
}

} // namespace tanagerseam
