// How long programs are expected to take.
#include <gtest/gtest.h>

#include <random>

#include "admission/admission.h"

namespace tanagerseam {
namespace {

TimePoint
At(int64_t aMillis)
{
  return TimePoint{} + std::chrono::hours(1) + Millis(aMillis);
}

// Guards against a need that is taken from the calls that one host happens to
// see: it sees each later turn with a probability of one half.
TEST(ProgramNeedsTest, InfersTheDurationFromSomeOfTheTurns)
{
  ProgramNeeds needs;
  EXPECT_EQ(needs.NeedOf("draft", Millis(300)), Millis(300));
  std::mt19937_64 random(1);
  std::bernoulli_distribution arrivesHere(0.5);
  for (int program = 0; program < 400; ++program) {
    for (int turn = 0; turn < 7; ++turn) {
      const TimePoint at = At(program * 100 + turn * 500);
      // First turns and later turns arrive here equally often.
      if (arrivesHere(random)) {
        needs.RecordSent("draft", std::to_string(program), turn == 0, at);
      }
    }
  }
  EXPECT_NEAR(
    static_cast<double>(needs.NeedOf("draft", Millis(300)).count()), 3300, 500);
}

} // namespace
} // namespace tanagerseam
