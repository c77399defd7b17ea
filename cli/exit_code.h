// Exit codes of the command-line tool.
#ifndef TANAGERSEAM_CLI_EXIT_CODE_H_
#define TANAGERSEAM_CLI_EXIT_CODE_H_

#include <string>
#include <string_view>
#include <vector>

namespace tanagerseam {

enum class ExitCode
{
  kOk = 0,
  kFindings = 1,
  kUsage = 2,
  kConflict = 3,
  kLagging = 4,
  kLogUnavailable = 5,
  kNotFound = 6,
  kUnreachable = 7,
};

struct ExitRow
{
  ExitCode code;
  std::string_view name;
  std::string_view meaning;
};

// Ordered by code; row i has code i.
const std::vector<ExitRow>&
ExitTable();

std::string_view
ExitName(ExitCode aCode);

// Returns the table as text for --help.
std::string
ExitHelp();

} // namespace tanagerseam

#endif // TANAGERSEAM_CLI_EXIT_CODE_H_
