#include "cli/exit_code.h"

namespace tanagerseam {

const std::vector<ExitRow>&
ExitTable()
{
  static const std::vector<ExitRow> kTable = {
    { ExitCode::kOk, "ok", "done" },
    { ExitCode::kFindings, "findings", "the files have findings" },
    { ExitCode::kUsage, "usage", "the command line is invalid" },
    { ExitCode::kConflict,
      "conflict",
      "conflicts with another change or a daemon that is alive" },
    { ExitCode::kLagging, "lagging", "in force, but not on every daemon yet" },
    { ExitCode::kLogUnavailable,
      "log_unavailable",
      "the log is unavailable; the detail says what is unknown" },
    { ExitCode::kNotFound, "not_found", "no item or file has this name" },
    { ExitCode::kUnreachable, "unreachable", "a daemon did not answer" },
  };
  return kTable;
}

std::string_view
ExitName(ExitCode aCode)
{
  return ExitTable()[static_cast<size_t>(aCode)].name;
}

std::string
ExitHelp()
{
  std::string text = "Exit codes:\n";
  for (const ExitRow& row : ExitTable()) {
    text += "  " + std::to_string(static_cast<int>(row.code)) + "  " +
            std::string(row.name) + ": " + std::string(row.meaning) + "\n";
  }
  return text;
}

} // namespace tanagerseam
