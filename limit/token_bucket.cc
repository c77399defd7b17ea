// Token bucket: the level grows by rate x time up to a cap. It is refilled on
// access, so an idle bucket costs nothing.
#include <algorithm>
#include <cmath>

#include "limit/limit.h"

namespace tanagerseam {

namespace {

// Tolerance for rounding errors of refills; far below one token.
constexpr double kRoundingToleranceTokens = 1e-9;
constexpr double kMillisPerSecond = 1000;

} // namespace

TokenBucket::TokenBucket(RateLimit aLimit, double aLevel, TimePoint aNow)
  : limit(aLimit)
  , level(std::min(aLevel, aLimit.burst))
  , refilledAt(aNow)
{
}

void
TokenBucket::Refill(double aCap, TimePoint aNow)
{
  if (aNow > this->refilledAt) {
    const std::chrono::duration<double> passed = aNow - this->refilledAt;
    this->level += passed.count() * this->limit.ratePerSecond;
    this->refilledAt = aNow;
  }
  const double highest = std::max(0.0, std::min(aCap, this->limit.burst));
  this->level = std::min(this->level, highest);
}

bool
TokenBucket::TryConsume(double aTokens, double aCap, TimePoint aNow)
{
  this->Refill(aCap, aNow);
  if (this->level + kRoundingToleranceTokens < aTokens) {
    return false;
  }
  this->level -= aTokens;
  return true;
}

double
TokenBucket::Level(double aCap, TimePoint aNow)
{
  this->Refill(aCap, aNow);
  return this->level;
}

void
TokenBucket::AddTokens(double aTokens, double aCap, TimePoint aNow)
{
  this->Refill(aCap, aNow);
  this->level += aTokens;
  this->Refill(aCap, aNow);
}

void
TokenBucket::SetLimit(RateLimit aLimit, double aCap, TimePoint aNow)
{
  this->Refill(aCap, aNow);
  this->limit = aLimit;
  this->Refill(aCap, aNow);
}

Millis
TokenBucket::TimeUntilAvailable(double aTokens, double aCap, TimePoint aNow)
{
  this->Refill(aCap, aNow);
  const double missing = aTokens - this->level;
  if (missing <= kRoundingToleranceTokens) {
    return Millis{ 0 };
  }
  const double longest = static_cast<double>(kMaxRetryAfter.count());
  if (this->limit.ratePerSecond <= 0) {
    return kMaxRetryAfter;
  }
  const double millis = missing / this->limit.ratePerSecond * kMillisPerSecond;
  return Millis{ static_cast<int64_t>(std::ceil(std::min(millis, longest))) };
}

} // namespace tanagerseam
