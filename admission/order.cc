// The order of calls, and the recent arrivals by priority.
#include "admission/admission.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace tanagerseam {

namespace {

// A priority is forgotten after about ten half-lives without a call, which
// outlasts the gaps between bursts.
constexpr double kForgottenCount = 0.001;
// Priorities come from the configuration; the limit bounds the memory.
constexpr size_t kMaxPriorities = 32;
// A program counts as able to end in time if so many times its expected time is
// left. Programs vary; 0.75 let the queue begin programs that just missed.
constexpr double kLeastNeed = 1.2;

bool
CannotEndInTime(const PendingCall& aCall, TimePoint aNow)
{
  return aCall.programDeadline < aNow + aCall.need * kLeastNeed;
}

double
HalfLives(std::chrono::duration<double, std::milli> aTime)
{
  return aTime / DecayedCount::kHalfLife;
}

} // namespace

double
DecayedCount::At(TimePoint aNow) const
{
  return this->count * std::exp2(-HalfLives(aNow - this->updatedAt));
}

void
DecayedCount::Add(double aCount, TimePoint aNow)
{
  this->count = this->At(aNow) + aCount;
  this->updatedAt = aNow;
}

double
DecayedCount::Rate(TimePoint aNow) const
{
  return this->At(aNow) * std::log(2.0) /
         static_cast<double>(kHalfLife.count());
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
  found->second.Add(1, aNow);
}

bool
UrgencyMix::IsUrgent(int aPriority, TimePoint aNow) const
{
  return std::none_of(this->counts.begin(),
                      this->counts.lower_bound(aPriority),
                      [aNow](const auto& aEntry) {
                        return aEntry.second.At(aNow) > kForgottenCount;
                      });
}

double
UrgencyMix::MoreUrgentFraction(int aPriority, TimePoint aNow) const
{
  double moreUrgent = 0;
  double all = 0;
  for (const auto& entry : this->counts) {
    const double count = entry.second.At(aNow);
    moreUrgent += entry.first < aPriority ? count : 0;
    all += count;
  }
  return all > 0 ? moreUrgent / all : 0;
}

bool
GoesBefore(const PendingCall& aLeft, const PendingCall& aRight, TimePoint aNow)
{
  const bool leftLate = CannotEndInTime(aLeft, aNow);
  const bool rightLate = CannotEndInTime(aRight, aNow);
  return std::tie(leftLate,
                  aLeft.isOverShare,
                  aLeft.priority,
                  aLeft.beginsProgram,
                  aLeft.programDeadline,
                  aLeft.id) < std::tie(rightLate,
                                       aRight.isOverShare,
                                       aRight.priority,
                                       aRight.beginsProgram,
                                       aRight.programDeadline,
                                       aRight.id);
}

} // namespace tanagerseam
