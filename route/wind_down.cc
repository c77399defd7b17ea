#include "route/wind_down.h"

#include <algorithm>

namespace tanagerseam {

PrefixAction
CheaperPrefixAction(int64_t aWarmTokens, const PrefixCosts& aCosts)
{
  const double tokens = double(aWarmTokens);
  const double prefillMillis = tokens * aCosts.prefillMillisPerToken;
  const double moveMillis =
    aCosts.moveMillisFixed + tokens * aCosts.moveMillisPerToken;
  return moveMillis < prefillMillis ? PrefixAction::kMove
                                    : PrefixAction::kPrefill;
}

size_t
MovesDue(size_t aWarmPrefixes,
         Millis aLeavesIn,
         Millis aInterval,
         size_t aMaxMoves)
{
  const Millis timeForMoves = aLeavesIn / 2;
  if (timeForMoves <= aInterval) {
    return std::min(aWarmPrefixes, aMaxMoves);
  }
  const auto intervals = size_t(timeForMoves.count() / aInterval.count());
  const size_t due = (aWarmPrefixes + intervals - 1) / intervals;
  return std::min(due, aMaxMoves);
}

} // namespace tanagerseam
