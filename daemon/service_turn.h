// Runs service calls of a program.
//
//   if (!RunServiceTurn(persister, callService, turn, sink)) {
//     // This daemon lost the program's slot: forward to the new owner.
//   }
#ifndef TANAGERSEAM_DAEMON_SERVICE_TURN_H_
#define TANAGERSEAM_DAEMON_SERVICE_TURN_H_

#include <functional>

#include "daemon/service_runner.h"
#include "daemon/turn.h"

namespace tanagerseam {

// Runs a service call; if the route is not repeatable, on the owner of its
// ledger key.
using ServiceCallFunction =
  std::function<Result<ServiceResponse>(const CallRequest&)>;

// Runs the next call of a program at a service and records it in the program's
// history. At-most-once execution is left to the ledger. A call with an unknown
// outcome is recorded as a turn as well, so that the program can continue.
// Returns false, with nothing sent, if another daemon now owns the program's
// slot.
bool
RunServiceTurn(RecordPersister& aPersister,
               const ServiceCallFunction& aCallService,
               const TurnContext& aTurn,
               CallSink& aSink);

} // namespace tanagerseam

#endif // TANAGERSEAM_DAEMON_SERVICE_TURN_H_
