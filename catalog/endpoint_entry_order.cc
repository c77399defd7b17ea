#include "catalog/catalog.h"

namespace tanagerseam {

namespace {

constexpr Millis kForgetInterval(10000);

} // namespace

bool
EndpointEntryOrder::IsOutdated(const EndpointEntry& aEntry,
                               const Newest& aNewest)
{
  if (aEntry.startedAtMillis != aNewest.startedAtMillis) {
    return aEntry.startedAtMillis < aNewest.startedAtMillis;
  }
  if (aEntry.startedAtMillis == 0) {
    return false;
  }
  const bool ordered = aEntry.sequence && aNewest.sequence &&
                       *aEntry.sequence != *aNewest.sequence;
  if (ordered) {
    return *aEntry.sequence < *aNewest.sequence;
  }
  return aNewest.draining && !aEntry.draining;
}

bool
EndpointEntryOrder::Take(const EndpointEntry& aEntry, TimePoint aNow)
{
  this->Forget(aNow);
  const auto known = this->newest.find(aEntry.id);
  if (known != this->newest.end() && IsOutdated(aEntry, known->second)) {
    return false;
  }
  this->newest[aEntry.id] = {
    aEntry.startedAtMillis, aEntry.sequence, aEntry.draining, aNow
  };
  return true;
}

void
EndpointEntryOrder::Forget(TimePoint aNow)
{
  if (aNow < this->forgetAt) {
    return;
  }
  this->forgetAt = aNow + kForgetInterval;
  for (auto it = this->newest.begin(); it != this->newest.end();) {
    const bool old = aNow - it->second.takenAt > kMemory;
    it = old ? this->newest.erase(it) : std::next(it);
  }
}

} // namespace tanagerseam
