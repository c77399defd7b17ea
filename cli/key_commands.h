// Commands on single API keys. Both edit the configuration in force, and repeat
// the edit on the new version when another operator changed it concurrently.
#ifndef TANAGERSEAM_CLI_KEY_COMMANDS_H_
#define TANAGERSEAM_CLI_KEY_COMMANDS_H_

#include <string>

#include "cli/command.h"

namespace tanagerseam {

// Issues a random key named options.name. The key is printed once, after its
// digest is in force, and stored nowhere.
ExitCode
RunKeyIssue(const CommandContext& aContext, const std::string& aOrganisation);

// Withdraws a key from a file or an issued key. Its name cannot be issued
// again.
ExitCode
RunKeyWithdraw(const CommandContext& aContext, const std::string& aName);

} // namespace tanagerseam

#endif // TANAGERSEAM_CLI_KEY_COMMANDS_H_
