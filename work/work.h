// How much work endpoints have and how fast they do it: the inputs of adaptive
// placement (docs/design/placement.md).
//
//   EndpointPace pace;
//   pace.OnReport(2.5, now);
//   double slowness = pace.Slowness(longTermSlowness, now);
//
// Deterministic: the time is an argument, and there is no I/O.
#ifndef TANAGERSEAM_WORK_WORK_H_
#define TANAGERSEAM_WORK_WORK_H_

#include <optional>

#include "kernel/kernel.h"

namespace tanagerseam {

// How long work takes at an endpoint at a moment, from what the endpoint says
// and what was learned over a longer time.
class EndpointPace
{
public:
  // Paces change about every 600 ms, so that a report of 300 ms ago counts a
  // quarter.
  static constexpr Millis kHalfLife{ 150 };
  // Larger paces, and those that are not positive numbers, are ignored.
  static constexpr double kMaxPace = 100;

  // aPace: how long work takes relative to the usual time. Returns false if it
  // is absurd.
  bool OnReport(double aPace, TimePoint aNow);
  bool IsStated() const { return this->statedAt != TimePoint{}; }
  // Age of the last report; unset if there was none.
  std::optional<Millis> Age(TimePoint aNow) const;
  // Time that work takes relative to the mean of all endpoints. aLongTerm is
  // the same over a longer time. The last report counts relative to the mean of
  // the reports, as aLongTerm contains the latter already.
  double Slowness(double aLongTerm, TimePoint aNow) const;

private:
  double stated = 1;
  double mean = 1;
  TimePoint statedAt{};
};

} // namespace tanagerseam

#endif // TANAGERSEAM_WORK_WORK_H_
