// The explain command.
#ifndef TANAGERSEAM_CLI_EXPLAIN_COMMAND_H_
#define TANAGERSEAM_CLI_EXPLAIN_COMMAND_H_

#include <string>

#include "cli/command.h"

namespace tanagerseam {

// Prints HTTP status, retry delay and advice for the refusal with this name.
ExitCode
RunExplain(const CommandContext& aContext, const std::string& aName);

} // namespace tanagerseam

#endif // TANAGERSEAM_CLI_EXPLAIN_COMMAND_H_
