// When refused clients come back.
#include <gtest/gtest.h>

#include "admission/admission.h"

namespace tanagerseam {
namespace {

// Guards against clients that come back too late to be served, or all at once.
TEST(RetryAfterTest, SpreadsClientsWithinAThirdOfTheirTime)
{
  for (const int64_t remaining : { 1, 30, 300, 3000, 60000 }) {
    for (const int64_t wait : { 0, 500, 100000 }) {
      for (const double draw : { 0.0, 0.5, 0.999 }) {
        const Millis after =
          RetryAfter(2, Millis(wait), Millis(remaining), draw);
        EXPECT_GE(after, Millis(1));
        EXPECT_LE(after.count(), std::max<int64_t>(1, remaining / 3));
      }
    }
  }
  const Millis none(0);
  const Millis minute(60000);
  EXPECT_GT(RetryAfter(1, none, minute, 0.9),
            2 * RetryAfter(1, none, minute, 0.0));
  {
    SCOPED_TRACE("urgent clients come back sooner");
    EXPECT_LT(RetryAfter(0, none, minute, 0.5),
              RetryAfter(2, none, minute, 0.5));
  }
  {
    SCOPED_TRACE("a longer queue sends them away for longer");
    EXPECT_LT(RetryAfter(1, none, minute, 0.0),
              RetryAfter(1, Millis(5000), minute, 0.0));
  }
}

} // namespace
} // namespace tanagerseam
