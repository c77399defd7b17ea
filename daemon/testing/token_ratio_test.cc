// Token estimates converge to the ratio that engines report.
#include <gtest/gtest.h>

#include "daemon/token_ratio.h"

namespace tanagerseam {
namespace {

TEST(TokenRatio, ConvergesToRatioOfEachModel)
{
  TokenRatio ratio;
  EXPECT_EQ(ratio.EstimateTokens("czech", 4000), 1000);
  for (int i = 0; i < 200; ++i) {
    ratio.AddSample("czech", 1000, 400);
  }
  EXPECT_NEAR(double(ratio.EstimateTokens("czech", 1000)), 400, 2);
  EXPECT_EQ(ratio.EstimateTokens("other", 4000), 1000);
  {
    SCOPED_TRACE("at most one token per byte, whatever an engine reports");
    for (int i = 0; i < 200; ++i) {
      ratio.AddSample("czech", 10, 1000);
      ratio.AddSample("czech", 0, 1000);
    }
    EXPECT_LE(ratio.EstimateTokens("czech", 1000), 1000);
    EXPECT_EQ(ratio.EstimateTokens("czech", 0), 0);
  }
}

} // namespace
} // namespace tanagerseam
