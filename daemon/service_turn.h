// One service call of a program.
#ifndef TANAGERSEAM_DAEMON_SERVICE_TURN_H_
#define TANAGERSEAM_DAEMON_SERVICE_TURN_H_

#include <functional>

#include "daemon/service_runner.h"
#include "daemon/turn.h"

namespace tanagerseam {

// Runs a service call wherever its ledger key is owned.
using RunService = std::function<Result<ServiceResponse>(const CallRequest&)>;

// Makes the next call of a program at a service. Whether it runs at most once
// is the ledger's matter; here it gets its place in the history. A call whose
// outcome is unknown is a turn too, so that the program can go on. False, with
// nothing sent, if the program's slot went to another daemon.
bool
RunServiceTurn(RecordKeeper& aKeeper,
               const RunService& aRunService,
               const TurnContext& aTurn,
               CallSink& aSink);

} // namespace tanagerseam

#endif // TANAGERSEAM_DAEMON_SERVICE_TURN_H_
