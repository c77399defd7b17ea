// Choice between moving a prefix and prefilling it, and rate of moves.
#include <gtest/gtest.h>

#include "route/wind_down.h"

namespace tanagerseam {
namespace {

TEST(PrefixAction, ChoosesCheaperAction)
{
  PrefixCosts costs;
  costs.prefillMillisPerToken = 0.1;
  costs.moveMillisPerToken = 0.02;
  costs.moveMillisFixed = 8;
  // Both cost 10 ms at 100 tokens.
  EXPECT_EQ(CheaperPrefixAction(0, costs), PrefixAction::kPrefill);
  EXPECT_EQ(CheaperPrefixAction(99, costs), PrefixAction::kPrefill);
  EXPECT_EQ(CheaperPrefixAction(102, costs), PrefixAction::kMove);
  SCOPED_TRACE("on a slow link a move is never cheaper");
  costs.moveMillisPerToken = 0.2;
  EXPECT_EQ(CheaperPrefixAction(1000000, costs), PrefixAction::kPrefill);
}

TEST(PrefixAction, MovesSpreadOverHalfOfRemainingTime)
{
  struct Row
  {
    size_t warm;
    int64_t leavesIn;
    size_t due;
  };
  // An interval of 250 ms, at most 8 moves per interval.
  for (const Row& row : { Row{ 0, 60000, 0 },
                          Row{ 1, 60000, 1 },
                          Row{ 120, 60000, 1 },
                          Row{ 240, 60000, 2 },
                          Row{ 5, 400, 5 },
                          Row{ 100, 0, 8 },
                          Row{ 3, -5, 3 } }) {
    SCOPED_TRACE(row.warm);
    EXPECT_EQ(MovesDue(row.warm, Millis(row.leavesIn), Millis(250), 8),
              row.due);
  }
}

} // namespace
} // namespace tanagerseam
