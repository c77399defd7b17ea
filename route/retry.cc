// Retry budget and backoff.
#include <algorithm>

#include "route/route.h"

namespace tanagerseam {

RetryBudget::RetryBudget(double aShare, double aMax)
  : share(aShare)
  , max(aMax)
  , tokens(aMax)
{
}

void
RetryBudget::OnFirstAttempt()
{
  this->tokens = std::min(this->max, this->tokens + this->share);
}

bool
RetryBudget::TryConsume()
{
  if (this->tokens < 1) {
    return false;
  }
  this->tokens -= 1;
  return true;
}

Millis
RetryBackoff(int aAttempt, Millis aBase, Millis aMax, std::mt19937_64& aRandom)
{
  Millis upperBound = std::min(aBase, aMax);
  for (int i = 1; i < aAttempt && upperBound < aMax; ++i) {
    upperBound = std::min(upperBound * 2, aMax);
  }
  std::uniform_int_distribution<int64_t> jitter(0, upperBound.count());
  return Millis{ jitter(aRandom) };
}

} // namespace tanagerseam
