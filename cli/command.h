// Options, dependencies and output streams that every command takes, and the
// printing of results and errors.
#ifndef TANAGERSEAM_CLI_COMMAND_H_
#define TANAGERSEAM_CLI_COMMAND_H_

#include <cstdint>
#include <functional>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

#include "cli/exit_code.h"
#include "eventlog/eventlog.h"
#include "http/http.h"
#include "state/state.h"

namespace tanagerseam {

struct CommandOptions
{
  // Print one JSON object to standard output instead of text.
  bool json = false;
  // Wait until every daemon has applied the configuration.
  bool wait = false;
  // Version that apply replaces; absent: the version in force.
  std::optional<int64_t> base;
  // Bounds each operation on the log and the polling of --wait; a call to a
  // daemon takes at most 1 s of it. Also the time that remove waits.
  Millis timeout{ 10000 };
  std::string operatorName;
  // Name of the API key to issue.
  std::string name;
};

struct CommandContext
{
  CommandOptions options;
  LogService& log;
  // Sends an HTTP request to a daemon.
  std::function<HttpOutcome(const HttpCall&)> fetch;
  std::ostream& out;
  std::ostream& err;
};

// Prints aJson with --json, else aLines.
void
PrintResult(const CommandContext& aContext,
            const Json& aJson,
            const std::vector<std::string>& aLines);

// Prints why a command failed and returns aCode. With --json, prints aFields
// with the name of the code as "error" and aDetail as "detail".
ExitCode
Fail(const CommandContext& aContext,
     ExitCode aCode,
     const std::string& aDetail,
     Json aFields = Json::object());

// Fails with kLogUnavailable, for errors of the log or of the state read from
// it.
ExitCode
FailWithRefusal(const CommandContext& aContext, const Refusal& aRefusal);

} // namespace tanagerseam

#endif // TANAGERSEAM_CLI_COMMAND_H_
