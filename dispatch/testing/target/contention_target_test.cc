// Targets of adaptive placement, in the fleet model.
#include <gtest/gtest.h>

#include "dispatch/testing/contention_cases.h"

namespace tanagerseam {
namespace {

// Guards the target that 75 of 100 prompt tokens are found cached.
TEST(ContentionTargetTest, ThreeQuartersOfPromptTokensAreFoundCached)
{
  const Outcome adaptive = RunFleet(PlacementMode::kAdaptive, ManySubAgents());
  EXPECT_GE(adaptive.cachedFraction, 0.75) << adaptive.ToString();
}

// Guards against programs that converge on few engines, which all hosts rank
// alike.
TEST(ContentionTargetTest, CallsDoNotConvergeOnFewEngines)
{
  const Outcome adaptive = RunFleet(PlacementMode::kAdaptive, ManySubAgents());
  EXPECT_LE(adaptive.busiestEngine, 1.5) << adaptive.ToString();
}

} // namespace
} // namespace tanagerseam
