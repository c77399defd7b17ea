// State transitions of a single program. ClusterState applies them to replayed
// records; a slot's owner also applies them to a copy, with its own records
// that are not in the log yet.
#ifndef TANAGERSEAM_STATE_PROGRAM_RULES_H_
#define TANAGERSEAM_STATE_PROGRAM_RULES_H_

#include "state/cluster_state.h"

namespace tanagerseam {

// Initial state of a program.
ProgramState
OpenProgram(const ProgramOpened& aBody);

// Opens the program's next call and reserves its tokens. A retry of the open
// call adds its reservation to those of the earlier attempts, whose outcome is
// unknown.
Verdict
StartCall(ProgramState& aProgram, const CallStarted& aBody);

// Closes the open call and appends it to the history as a turn. Reservations of
// earlier attempts that were not voided count as spent in full.
Verdict
FinishCall(ProgramState& aProgram, const CallFinished& aBody);

// Releases the reservation of the newest attempt, which did not run. The call
// stays open.
Verdict
VoidCall(ProgramState& aProgram, const CallVoided& aBody);

} // namespace tanagerseam

#endif // TANAGERSEAM_STATE_PROGRAM_RULES_H_
