// Decides which calls of a contended service go first, and which of them may
// use the slots of its endpoints.
//
//   UrgencyMix mix;                       // one for each service
//   mix.Record(call.priority, now);
//   std::sort(..., [now](...) { return GoesBefore(left, right, now); });
//   double factor = SlotFactor(call, mix, expected, now);
//   // Send the call to an endpoint with fewer than factor x slots calls.
//
// Deterministic: the time is an argument, there is no I/O.
//
// Order: calls whose program is past its time go last; otherwise calls go by
// priority, then turns of programs under way before first turns, then earliest
// deadline first.
//
// Slots: an endpoint runs calls in order of arrival, so urgency has no effect
// once a call has been sent. A call is urgent if no call of a lower priority
// number has arrived lately for its service. Less urgent calls are sent only to
// endpoints with a free slot and headroom for urgent ones. Beyond the slots go
// only urgent calls that have waited for a slot, and calls that are about to
// miss their program's time or their client's deadline.
#ifndef TANAGERSEAM_ADMISSION_ADMISSION_H_
#define TANAGERSEAM_ADMISSION_ADMISSION_H_

#include <map>
#include <optional>

#include "kernel/kernel.h"

namespace tanagerseam {

// What the rules need to know about a call that waits to be sent.
struct PendingCall
{
  uint64_t id = 0;
  // 0 is the most urgent.
  int priority = 0;
  bool beginsProgram = false;
  TimePoint queuedAt{};
  // When the call's program should end.
  TimePoint programDeadline{};
  // When the client stops waiting; never, if unset.
  std::optional<TimePoint> deadline;
};

// The recent arrivals of a service by priority.
class UrgencyMix
{
public:
  void Record(int aPriority, TimePoint aNow);
  // True if no call that is more urgent has arrived lately.
  bool IsUrgent(int aPriority, TimePoint aNow) const;
  // Fraction of the recent arrivals that are more urgent.
  double MoreUrgentFraction(int aPriority, TimePoint aNow) const;

private:
  struct DecayedCount
  {
    double count = 0;
    TimePoint updatedAt{};
  };

  static double CountAt(const DecayedCount& aCount, TimePoint aNow);

  // By priority; at most kMaxPriorities.
  std::map<int, DecayedCount> counts;
};

// The order in which queued calls are sent.
bool
GoesBefore(const PendingCall& aLeft, const PendingCall& aRight, TimePoint aNow);

struct SlotRules
{
  // An urgent call that has waited this long is sent to an endpoint with fewer
  // than `overcommitFactor` x slots calls.
  Millis maxSlotWait{ 40 };
  double overcommitFactor = 1.5;
};

// The call may be sent to an endpoint with fewer than this many times its slots
// in calls. aExpected: how long the call is expected to take.
double
SlotFactor(const PendingCall& aCall,
           const UrgencyMix& aMix,
           Millis aExpected,
           const SlotRules& aRules,
           TimePoint aNow);

} // namespace tanagerseam

#endif // TANAGERSEAM_ADMISSION_ADMISSION_H_
