// Commands on configuration files: check, apply, diff.
#ifndef TANAGERSEAM_CLI_CONFIG_COMMANDS_H_
#define TANAGERSEAM_CLI_CONFIG_COMMANDS_H_

#include <string>
#include <vector>

#include "cli/command.h"
#include "desired/desired.h"

namespace tanagerseam {

// Validates the files and prints all findings.
ExitCode
RunCheck(const CommandContext& aContext,
         const std::vector<std::string>& aFiles);

// Replaces the configuration in force by the files, except for issued and
// withdrawn keys, which are kept.
ExitCode
RunApply(const CommandContext& aContext,
         const std::vector<std::string>& aFiles);

// Prints the changes that apply would make.
ExitCode
RunDiff(const CommandContext& aContext, const std::vector<std::string>& aFiles);

// Returns aFiles with the issued and withdrawn keys of aInForce. Adds findings
// for a key of the files whose digest was withdrawn under another name, an
// issued key with the name or digest of a key of the files, and an issued key
// that is not withdrawn and whose organisation is not in aFiles.
DesiredState
KeepIssuedKeys(DesiredState aFiles,
               const DesiredState& aInForce,
               Findings& aFindings);

} // namespace tanagerseam

#endif // TANAGERSEAM_CLI_CONFIG_COMMANDS_H_
