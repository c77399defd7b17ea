#include "kernel/clock.h"

#include <time.h>

namespace tanagerseam {

TimePoint
BootNow()
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::seconds(now.tv_sec) +
                   std::chrono::nanoseconds(now.tv_nsec));
}

} // namespace tanagerseam
