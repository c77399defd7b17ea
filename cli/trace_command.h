// The trace command: collects the log lines of one request or program from the
// logs of several hosts.
//
// It prints the lines of the request or program and, for the hosts that logged
// them, the state changes (such as a lost dependency or a changed endpoint) in
// the 3 s before the first line. Lines are ordered by their own timestamps, so
// clock skew can misorder lines of different hosts; each line gives its host.
#ifndef TANAGERSEAM_CLI_TRACE_COMMAND_H_
#define TANAGERSEAM_CLI_TRACE_COMMAND_H_

#include <string>
#include <vector>

#include "cli/command.h"

namespace tanagerseam {

// aWords is the id of the request or program, then log files; "-" is standard
// input.
ExitCode
RunTrace(const CommandContext& aContext,
         const std::vector<std::string>& aWords);

} // namespace tanagerseam

#endif // TANAGERSEAM_CLI_TRACE_COMMAND_H_
