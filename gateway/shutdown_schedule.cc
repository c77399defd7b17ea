#include "gateway/shutdown_schedule.h"

#include <algorithm>

namespace tanagerseam {

void
ShutdownSchedule::Begin(TimePoint aNow, TimePoint aExit)
{
  const auto untilExit = std::chrono::duration_cast<Millis>(aExit - aNow);
  this->exit = aExit;
  this->transitionEnd = aNow + std::min(kClientTransition, untilExit / 2);
}

bool
ShutdownSchedule::Serves(TimePoint aDeadline, TimePoint aNow) const
{
  return !this->HasBegun() || aNow < this->transitionEnd ||
         aDeadline <= this->exit;
}

} // namespace tanagerseam
