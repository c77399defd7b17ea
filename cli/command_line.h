// Parses the command line and dispatches to the command.
//
// Abseil's own parser exits with status 1 on an invalid flag, which this tool
// uses for findings. ParseFlags therefore sets flags one by one through
// Abseil's flag registry.
#ifndef TANAGERSEAM_CLI_COMMAND_LINE_H_
#define TANAGERSEAM_CLI_COMMAND_LINE_H_

#include <string>
#include <variant>
#include <vector>

#include "cli/command.h"

namespace tanagerseam {

struct UsageError
{
  std::string detail;
};

// Sets Abseil flags from "--flag=value", "--flag value", "--flag" and
// "--noflag", and returns the positional arguments ("words"). After "--",
// all arguments are positional.
std::variant<std::vector<std::string>, UsageError>
ParseFlags(const std::vector<std::string>& aArguments);

// Returns the text of --help.
std::string
HelpText();

// Runs the command named by the first one or two words with the other words as
// its arguments.
ExitCode
RunCommand(const CommandContext& aContext,
           const std::vector<std::string>& aWords);

} // namespace tanagerseam

#endif // TANAGERSEAM_CLI_COMMAND_LINE_H_
