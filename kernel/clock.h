// Time as an argument. Decision code never reads a clock: its callers pass the
// time in, so that tests can run it through any schedule.
#ifndef TANAGERSEAM_KERNEL_CLOCK_H_
#define TANAGERSEAM_KERNEL_CLOCK_H_

#include <chrono>
#include <cstdint>

#include "kernel/result.h"

namespace tanagerseam {

// A point on this process's monotonic clock.
using TimePoint = std::chrono::steady_clock::time_point;

inline TimePoint
Now()
{
  return std::chrono::steady_clock::now();
}

// The same kind of point on the clock that also counts the time in which the
// host was suspended. Points of the two clocks must not be mixed.
TimePoint
BootNow();

// Whole milliseconds from aFrom to aTo; negative if aTo is earlier.
inline int64_t
MillisBetween(TimePoint aFrom, TimePoint aTo)
{
  return std::chrono::duration_cast<Millis>(aTo - aFrom).count();
}

// Bound on the difference of the wall clocks of two hosts.
inline constexpr Millis kClockTolerance{ 1000 };

// Milliseconds since the epoch of the wall clock; for logs and display only.
inline int64_t
WallMillis()
{
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Millis>(since).count();
}

} // namespace tanagerseam

#endif // TANAGERSEAM_KERNEL_CLOCK_H_
