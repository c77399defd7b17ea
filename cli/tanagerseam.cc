// The operators' command-line tool. See --help.
#include <absl/flags/flag.h>

#include <cstdlib>
#include <iostream>
#include <optional>

#include "cli/command_line.h"

ABSL_FLAG(std::string, log, "127.0.0.1:9000", "IP:port of the log service");
ABSL_FLAG(std::string, stream, "tanagerseam", "stream of the log");
ABSL_FLAG(bool, json, false, "print one JSON object");
ABSL_FLAG(bool, wait, false, "wait until every daemon has the change");
ABSL_FLAG(std::optional<int64_t>,
          base,
          std::nullopt,
          "version that apply replaces; absent: in force");
ABSL_FLAG(int64_t, timeout_ms, 10000, "limit for the log and for --wait");
ABSL_FLAG(std::string, operator, "", "name of the operator");
ABSL_FLAG(std::string, name, "", "name of the key to issue");
ABSL_FLAG(bool, help, false, "print the help text");

namespace tanagerseam {
namespace {

// Returns --operator, or the login name if it is empty.
std::string
OperatorName()
{
  const std::string name = absl::GetFlag(FLAGS_operator);
  const char* login = std::getenv("USER");
  return !name.empty() || login == nullptr ? name : login;
}

int
Run(const std::vector<std::string>& aArguments)
{
  const auto parsed = ParseFlags(aArguments);
  CommandOptions options;
  options.json = absl::GetFlag(FLAGS_json);
  options.wait = absl::GetFlag(FLAGS_wait);
  options.base = absl::GetFlag(FLAGS_base);
  options.timeout = Millis(absl::GetFlag(FLAGS_timeout_ms));
  options.operatorName = OperatorName();
  options.name = absl::GetFlag(FLAGS_name);
  HttpClient client;
  HttpLogService log(
    absl::GetFlag(FLAGS_log), absl::GetFlag(FLAGS_stream), client);
  const auto fetch = [&client](const HttpCall& aCall) {
    return client.Perform(aCall);
  };
  const CommandContext context{ options, log, fetch, std::cout, std::cerr };
  if (auto* error = std::get_if<UsageError>(&parsed)) {
    return int(Fail(context, ExitCode::kUsage, error->detail));
  }
  if (absl::GetFlag(FLAGS_help)) {
    std::cout << HelpText();
    return int(ExitCode::kOk);
  }
  return int(RunCommand(context, std::get<std::vector<std::string>>(parsed)));
}

} // namespace
} // namespace tanagerseam

int
main(int argc, char** argv)
{
  return tanagerseam::Run({ argv + 1, argv + argc });
}
