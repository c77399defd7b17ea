// Shared parts of model turns and service turns of a program: building their
// records and mapping persistence outcomes to refusals.
//
//   CallStarted started = MakeCallStarted(turn);
//   ...  // persist the record
//   if (!outcome.IsDurable()) { sink.Refuse(RefusalForStart(outcome)); }
#ifndef TANAGERSEAM_DAEMON_TURN_H_
#define TANAGERSEAM_DAEMON_TURN_H_

#include <string>
#include <vector>

#include "daemon/call.h"
#include "daemon/record_keeper.h"
#include "state/state.h"

namespace tanagerseam {

// Kinds of turns, as stored in the log.
constexpr const char* kModelKind = "model";
constexpr const char* kServiceKind = "service";
// A service call whose outcome is permanently unknown.
constexpr const char* kUnknownOutcomeKind = "unknown";

constexpr const char* kJsonType = "application/json";

// The next call of a program, about to be made.
struct TurnContext
{
  const CallRequest& request;
  const ProgramState& program;
  // Epoch of the program's slot.
  int64_t epoch = 0;
  // Equal for retries of a request, whichever daemon received them.
  std::string requestDigest;
};

// Response headers with the program id and the call number, as name-value
// pairs.
std::vector<std::string>
CallHeaders(const std::string& aProgram, int64_t aCall);

// The start record of the call, with the next attempt number.
CallStarted
MakeCallStarted(const TurnContext& aTurn);

// The finish record of the call, without the fields of its response.
CallFinished
MakeCallFinished(const TurnContext& aTurn, int64_t aAttempt);

// The refusal for a record that was rejected with this verdict.
Refusal
RefusalForVerdict(Verdict aVerdict);

// The refusal if the start record is not durable. Nothing was sent.
Refusal
RefusalForStart(const PersistOutcome& aOutcome);

// The refusal if the finish record is not durable or was rejected. The call
// ran.
Refusal
RefusalForFinish(const PersistOutcome& aOutcome);

} // namespace tanagerseam

#endif // TANAGERSEAM_DAEMON_TURN_H_
