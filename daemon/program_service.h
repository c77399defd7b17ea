// Programs: open, look, end, and their calls in order.
//
// Algorithm of a call, on the daemon that owns the program's slot:
// 1. Pass the program's gate: one call at a time.
// 2. A call number that was answered gets the stored answer, if the request is
//    the same; a number out of order is refused.
// 3. Append CallStarted with the reservation, and meanwhile wait for an
//    endpoint. Nothing is sent before the record's verdict.
// 4. Send; pass pieces of text on as they come.
// 5. Append CallFinished; the answer ends only after its verdict.
//
// While the log is down, steps 3 and 5 count as done for repeatable calls when
// the lease is valid (by promises) and daemons of other zones hold the records;
// the records go to the log when it is back, in their order.
//
// Invariants: see state/state.h; and an answer that ended well is a turn of the
// history, whatever fails afterwards.
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
                 RunService aRunService);

  // Handles one request to the end. False, with nothing sent, if this daemon
  // does not own the program.
  bool Handle(const CallRequest& aRequest, CallSink& aSink);

  // Slots with a call under way, which must not be released.
  std::set<int> BusySlots() const;
  // Ends programs of own slots that are past their time or had no turn for the
  // idle limit; none while the log fails. Called regularly, by one thread.
  void EndOverdue();

private:
  bool Inside(const CallRequest& aRequest, CallSink& aSink);
  void EndIdle();
  bool Open(const CallRequest& aRequest, CallSink& aSink, int64_t aEpoch);
  void Look(const ProgramState& aProgram, CallSink& aSink);
  bool End(const CallRequest& aRequest,
           const ProgramState& aProgram,
           CallSink& aSink);
  bool Call(const CallRequest& aRequest,
            const ProgramState& aProgram,
            int64_t aEpoch,
            CallSink& aSink);
  const DaemonContext& context;
  RecordKeeper keeper;
  ModelRunner& models;
  RunService runService;
  KeyedGates gates;
  IdleProgramDetector idle;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_DAEMON_PROGRAM_SERVICE_H_
