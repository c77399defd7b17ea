// The command that tells a request's or a program's story from the logs of many
// hosts.
//
// It prints the lines of that request or program, and of the hosts that took
// part what they came to believe in the kBelief before its first line. Lines
// are ordered by their own time; hosts' clocks differ, so the order between
// hosts is only as good as the clocks, and each line names its host.
#ifndef TANAGERSEAM_CLI_TRACE_COMMAND_H_
#define TANAGERSEAM_CLI_TRACE_COMMAND_H_

#include <string>
#include <vector>

#include "cli/command.h"

namespace tanagerseam {

// aWords: an id, then files; "-" is standard input.
ExitCode
RunTrace(const CommandContext& aContext,
         const std::vector<std::string>& aWords);

} // namespace tanagerseam

#endif // TANAGERSEAM_CLI_TRACE_COMMAND_H_
