// Commands on cluster members: status, programs, drain, remove.
#ifndef TANAGERSEAM_CLI_FLEET_COMMANDS_H_
#define TANAGERSEAM_CLI_FLEET_COMMANDS_H_

#include <string>

#include "cli/command.h"

namespace tanagerseam {

// Prints the configuration in force and the status of every member.
ExitCode
RunStatus(const CommandContext& aContext);

// Prints the programs of all members.
ExitCode
RunPrograms(const CommandContext& aContext);

// Requests one member to finish its work and leave.
ExitCode
RunDrain(const CommandContext& aContext, const std::string& aHost);

// Records that a member's host is permanently lost, which frees its slots at
// once. Fails with kConflict if the member responds to a status call, or renews
// its lease or leaves during the options.timeout that the command waits.
ExitCode
RunRemove(const CommandContext& aContext, const std::string& aHost);

} // namespace tanagerseam

#endif // TANAGERSEAM_CLI_FLEET_COMMANDS_H_
