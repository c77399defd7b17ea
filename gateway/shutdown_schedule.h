// Which calls a host still serves while it shuts down. Private to this library.
//
//   ShutdownSchedule shutdown;
//   shutdown.Begin(now, now + Millis(7300));
//   if (!shutdown.Serves(callDeadline, now)) {
//     // refuse the call: its client uses another host
//   }
//
// The process exits at a set time, and an exit cuts off what is under way. So a
// call is served only if its deadline lies no later than the exit, whatever it
// waits for before it is sent.
//
// In the first kClientTransition that rule does not hold: load balancers still
// send new connections, so a refused client may come back to this host, and
// nearly all calls end long before their deadline. A call that is sent to an
// endpoint then has the rest of the time until the exit.
//
// Deterministic: the time is an argument.
#ifndef TANAGERSEAM_GATEWAY_SHUTDOWN_SCHEDULE_H_
#define TANAGERSEAM_GATEWAY_SHUTDOWN_SCHEDULE_H_

#include "kernel/kernel.h"

namespace tanagerseam {

class ShutdownSchedule
{
public:
  // Time in which clients and load balancers move to other hosts; half of the
  // time until the exit if that is shorter.
  static constexpr Millis kClientTransition{ 3000 };

  // The process exits at aExit at the latest.
  void Begin(TimePoint aNow, TimePoint aExit);
  bool HasBegun() const { return this->exit != TimePoint{}; }
  // Whether a call that ends by aDeadline may be taken, or sent to an endpoint,
  // at aNow.
  bool Serves(TimePoint aDeadline, TimePoint aNow) const;

private:
  TimePoint exit{};
  TimePoint transitionEnd{};
};

} // namespace tanagerseam

#endif // TANAGERSEAM_GATEWAY_SHUTDOWN_SCHEDULE_H_
