// Handles programs on the owner of their slot: opens, shows and ends them, and
// runs their calls in order.
//
//   ProgramService programs(context, models, callService);
//   if (!programs.Handle(request, sink)) {
//     // Not the owner: look the owner up again.
//   }
//
// Algorithm of a call, on the daemon that owns the program's slot:
// 1. Acquire the program's lock: one call at a time.
// 2. A call number that has a turn gets the stored response, if the request is
//    the same; a number out of order is refused.
// 3. Append CallStarted with the reservation, and wait for an endpoint at the
//    same time. Nothing is sent before the record is accepted.
// 4. Send the request; stream pieces of text to the caller as they arrive.
// 5. Append CallFinished; the response ends only after the record is accepted.
//
// While the log is down, the records of steps 3 and 5 count as accepted when
// the lease is valid (extended by peers) and enough other daemons, in other
// zones first, store replicas; the records are appended to the log in their
// order when it is available again. During the outage the ledger refuses
// service calls that are not repeatable, unless it has their outcome already.
//
// Invariants: see state/state.h; and a response that ended without a refusal is
// a turn of the history, whatever fails afterwards.
#ifndef TANAGERSEAM_DAEMON_PROGRAM_SERVICE_H_
#define TANAGERSEAM_DAEMON_PROGRAM_SERVICE_H_

#include <functional>
#include <set>
#include <string>

#include "daemon/call.h"
#include "daemon/context.h"
#include "daemon/engine_memory.h"
#include "daemon/keyed_gates.h"
#include "daemon/model_turn.h"
#include "daemon/record_keeper.h"
#include "daemon/service_turn.h"

namespace tanagerseam {

class ProgramService
{
public:
  ProgramService(const DaemonContext& aContext,
                 ModelRunner& aModels,
                 ServiceCallFunction aCallService);

  // Handles one request and returns when its response is complete. False, with
  // nothing sent, if this daemon does not own the program.
  bool Handle(const CallRequest& aRequest, CallSink& aSink);

  // Slots with a call in progress, which must not be released.
  std::set<int> BusySlots() const;
  // Ends programs of owned slots that are past their end time or had no turn
  // for settings.maxIdleTime; none while the log fails. Called periodically, by
  // one thread.
  void EndExpiredPrograms();

private:
  bool HandleAsOwner(const CallRequest& aRequest, CallSink& aSink);
  void EndIdlePrograms();
  bool HandleOpen(const CallRequest& aRequest, CallSink& aSink, int64_t aEpoch);
  void HandleGet(const ProgramState& aProgram, CallSink& aSink);
  bool HandleEnd(const CallRequest& aRequest,
                 const ProgramState& aProgram,
                 CallSink& aSink);
  bool HandleCall(const CallRequest& aRequest,
                  const ProgramState& aProgram,
                  int64_t aEpoch,
                  CallSink& aSink);
  const DaemonContext& context;
  RecordPersister persister;
  ModelRunner& models;
  ServiceCallFunction callService;
  KeyedLocks locks;
  IdleProgramDetector idleDetector;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_DAEMON_PROGRAM_SERVICE_H_
