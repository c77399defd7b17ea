// Wind-down of an endpoint that leaves: whether to move a warm prefix (one in
// the endpoint's prefix cache) to another endpoint or to prefill it there
// again, and how many moves to start at a time.
//
// Usage:
//
//   size_t due = MovesDue(prefixes.size(), leavesIn, interval, maxMoves);
//   if (CheaperPrefixAction(tokens, costs) == PrefixAction::kMove) { ... }
//
// Pure functions. The estimated time of a move is a fixed part, for its two
// requests to the engines, plus a part per token; that of a prefill is the
// target's prefill time per token. The prefill is done by the program's next
// call, so it needs no request of its own.
#ifndef TANAGERSEAM_ROUTE_WIND_DOWN_H_
#define TANAGERSEAM_ROUTE_WIND_DOWN_H_

#include <cstddef>
#include <cstdint>

#include "kernel/kernel.h"

namespace tanagerseam {

// How the prefix gets into the cache of the target endpoint.
enum class PrefixAction
{
  kMove,
  kPrefill,
};

// Time estimates for one prefix.
struct PrefixCosts
{
  double prefillMillisPerToken = 0.1;
  double moveMillisPerToken = 0.005;
  double moveMillisFixed = 5;
};

// A tie selects kPrefill.
PrefixAction
CheaperPrefixAction(int64_t aWarmTokens, const PrefixCosts& aCosts);

// Number of moves to start in the current interval so that all aWarmPrefixes
// are moved within half of the remaining time aLeavesIn: at least one if there
// is a warm prefix, at most aMaxMoves.
size_t
MovesDue(size_t aWarmPrefixes,
         Millis aLeavesIn,
         Millis aInterval,
         size_t aMaxMoves);

} // namespace tanagerseam

#endif // TANAGERSEAM_ROUTE_WIND_DOWN_H_
