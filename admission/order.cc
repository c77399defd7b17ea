// The order of calls, and the slots that they may use.
#include "admission/admission.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace tanagerseam {

namespace {

// Half-life of the counted arrivals. A priority is forgotten after about ten
// half-lives without a call, which outlasts the gaps between bursts.
constexpr double kHalfLifeMillis = 3000;
constexpr double kForgottenCount = 0.001;
// Priorities come from the configuration; the limit bounds the memory.
constexpr size_t kMaxPriorities = 32;
// Upper limit of the fraction of slots that less urgent calls leave free: one
// of six slots.
constexpr double kMaxHeadroom = 0.2;
// A call is about to miss its program's time if less than this many times its
// expected duration is left.
constexpr double kUrgentSlack = 1.5;
// A call that has waited for this fraction of its client's time may be sent
// beyond the slots, whatever its priority, so that no call starves.
constexpr double kMaxWaitFraction = 0.5;

bool
IsAboutToMiss(const PendingCall& aCall, Millis aExpected, TimePoint aNow)
{
  const auto left = aCall.programDeadline - aNow;
  return left >= Millis(0) && left < aExpected * kUrgentSlack;
}

bool
HasWaitedTooLong(const PendingCall& aCall, TimePoint aNow)
{
  if (!aCall.deadline) {
    return false;
  }
  return aNow - aCall.queuedAt >
         (*aCall.deadline - aCall.queuedAt) * kMaxWaitFraction;
}

} // namespace

double
UrgencyMix::CountAt(const DecayedCount& aCount, TimePoint aNow)
{
  const std::chrono::duration<double, std::milli> age = aNow - aCount.updatedAt;
  return aCount.count * std::exp2(-age.count() / kHalfLifeMillis);
}

void
UrgencyMix::Record(int aPriority, TimePoint aNow)
{
  auto found = this->counts.find(aPriority);
  if (found == this->counts.end()) {
    if (this->counts.size() >= kMaxPriorities) {
      return;
    }
    found = this->counts.emplace(aPriority, DecayedCount{}).first;
  }
  found->second = { CountAt(found->second, aNow) + 1, aNow };
}

bool
UrgencyMix::IsUrgent(int aPriority, TimePoint aNow) const
{
  return std::none_of(this->counts.begin(),
                      this->counts.lower_bound(aPriority),
                      [aNow](const auto& aEntry) {
                        return CountAt(aEntry.second, aNow) > kForgottenCount;
                      });
}

double
UrgencyMix::MoreUrgentFraction(int aPriority, TimePoint aNow) const
{
  double moreUrgent = 0;
  double all = 0;
  for (const auto& entry : this->counts) {
    const double count = CountAt(entry.second, aNow);
    moreUrgent += entry.first < aPriority ? count : 0;
    all += count;
  }
  return all > 0 ? moreUrgent / all : 0;
}

bool
GoesBefore(const PendingCall& aLeft, const PendingCall& aRight, TimePoint aNow)
{
  const bool leftLate = aLeft.programDeadline < aNow;
  const bool rightLate = aRight.programDeadline < aNow;
  return std::tie(leftLate,
                  aLeft.priority,
                  aLeft.beginsProgram,
                  aLeft.programDeadline,
                  aLeft.id) < std::tie(rightLate,
                                       aRight.priority,
                                       aRight.beginsProgram,
                                       aRight.programDeadline,
                                       aRight.id);
}

double
SlotFactor(const PendingCall& aCall,
           const UrgencyMix& aMix,
           Millis aExpected,
           const SlotRules& aRules,
           TimePoint aNow)
{
  const bool isUrgent = aMix.IsUrgent(aCall.priority, aNow);
  const bool waitedLong = aNow - aCall.queuedAt >= aRules.maxSlotWait;
  const bool overcommits = isUrgent || IsAboutToMiss(aCall, aExpected, aNow) ||
                           HasWaitedTooLong(aCall, aNow);
  if (waitedLong && overcommits) {
    return aRules.overcommitFactor;
  }
  if (isUrgent) {
    return 1;
  }
  return 1 -
         std::min(kMaxHeadroom, aMix.MoreUrgentFraction(aCall.priority, aNow));
}

} // namespace tanagerseam
