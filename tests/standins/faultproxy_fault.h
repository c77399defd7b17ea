// Faults of one link of the fault proxy.
#ifndef TANAGERSEAM_TESTS_STANDINS_FAULTPROXY_FAULT_H_
#define TANAGERSEAM_TESTS_STANDINS_FAULTPROXY_FAULT_H_

#include <cstdint>

#include <nlohmann/json.hpp>

#include "kernel/kernel.h"

namespace tanagerseam::standin {

enum class FaultKind
{
  kNone,
  // Closes all connections and refuses new ones.
  kCut,
  // Forwards each chunk after `delay` plus up to `jitter`, in order.
  kDelay,
  // Accepts connections without connecting to the target; forwards nothing.
  kHalfOpen,
  // Forwards from client to target only; holds the other direction.
  kOneWayUp,
  // Forwards from target to client only; holds the other direction.
  kOneWayDown,
  // Keeps and accepts connections; holds all bytes.
  kFreeze,
  // Forwards from client to target; drops bytes from the target.
  kDropResponses,
};

NLOHMANN_JSON_SERIALIZE_ENUM(FaultKind,
                             { { FaultKind::kNone, "none" },
                               { FaultKind::kCut, "cut" },
                               { FaultKind::kDelay, "delay" },
                               { FaultKind::kHalfOpen, "half_open" },
                               { FaultKind::kOneWayUp, "one_way_up" },
                               { FaultKind::kOneWayDown, "one_way_down" },
                               { FaultKind::kFreeze, "freeze" },
                               { FaultKind::kDropResponses, "drop_answers" } })

struct Fault
{
  FaultKind kind = FaultKind::kNone;
  Millis delay{ 0 };
  Millis jitter{ 0 };
  uint64_t seed = 1;
};

enum class Direction
{
  // From client to target.
  kUp,
  kDown,
};

// Treatment of the bytes of one direction.
enum class ForwardingAction
{
  kForward,
  // Not forwarded until the fault ends.
  kHold,
  // Discarded; the connection is closed when the fault ends, since its stream
  // has a gap.
  kDrop,
};

inline ForwardingAction
ActionFor(FaultKind aKind, Direction aDirection)
{
  const bool up = aDirection == Direction::kUp;
  switch (aKind) {
    case FaultKind::kNone:
    case FaultKind::kDelay:
      return ForwardingAction::kForward;
    case FaultKind::kCut:
    case FaultKind::kHalfOpen:
    case FaultKind::kFreeze:
      return ForwardingAction::kHold;
    case FaultKind::kOneWayUp:
      return up ? ForwardingAction::kForward : ForwardingAction::kHold;
    case FaultKind::kOneWayDown:
      return up ? ForwardingAction::kHold : ForwardingAction::kForward;
    case FaultKind::kDropResponses:
      return up ? ForwardingAction::kForward : ForwardingAction::kDrop;
  }
  return ForwardingAction::kForward;
}

} // namespace tanagerseam::standin

#endif // TANAGERSEAM_TESTS_STANDINS_FAULTPROXY_FAULT_H_
