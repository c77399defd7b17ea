// Runs model calls: the next call of a program, or a standalone call.
//
//   if (!RunModelTurn(context, persister, models, turn, sink)) {
//     // This daemon lost the program's slot: forward to the new owner.
//   }
#ifndef TANAGERSEAM_DAEMON_MODEL_TURN_H_
#define TANAGERSEAM_DAEMON_MODEL_TURN_H_

#include <optional>
#include <string>

#include "daemon/chat.h"
#include "daemon/model_runner.h"
#include "daemon/turn.h"

namespace tanagerseam {

// Runs the next call of a program: reserves tokens, persists the start record
// while the call waits for an endpoint, streams the text, and ends the response
// once the finish record is durable. Continues after the caller disconnects, so
// that a retry of the call gets the stored response. Returns false, with
// nothing sent, if another daemon now owns the program's slot.
bool
RunModelTurn(const DaemonContext& aContext,
             RecordPersister& aPersister,
             ModelRunner& aModels,
             const TurnContext& aTurn,
             CallSink& aSink);

// Runs a model call outside any program. Nothing is recorded, and the call is
// cancelled when the caller disconnects.
void
RunStandaloneModelCall(const DaemonContext& aContext,
                       ModelRunner& aModels,
                       const CallRequest& aRequest,
                       CallSink& aSink);

} // namespace tanagerseam

#endif // TANAGERSEAM_DAEMON_MODEL_TURN_H_
