#include "cli/explain_command.h"

namespace tanagerseam {

namespace {

std::string
RefusalNames()
{
  std::string names;
  for (const RefusalRow& row : RefusalTable()) {
    names += (names.empty() ? "" : ", ") + std::string(row.name);
  }
  return names;
}

} // namespace

ExitCode
RunExplain(const CommandContext& aContext, const std::string& aName)
{
  const RefusalRow* row = FindRefusal(aName);
  if (row == nullptr) {
    return Fail(aContext,
                ExitCode::kNotFound,
                "unknown refusal " + aName +
                  "; must be one of: " + RefusalNames());
  }
  const bool mayHaveRun = row->ran == RanState::kUnknown;
  Json json{ { "refusal", std::string(row->name) },
             { "http_status", row->httpStatus },
             { "ran", mayHaveRun ? "unknown" : "no" },
             { "retry_after_ms", nullptr },
             { "advice", std::string(row->advice) } };
  std::string retry = "retrying does not help";
  if (row->retryAfter) {
    json["retry_after_ms"] = row->retryAfter->count();
    retry = "retry after " + std::to_string(row->retryAfter->count()) + " ms";
  }
  PrintResult(aContext,
              json,
              { std::string(row->name) + " (HTTP status " +
                  std::to_string(row->httpStatus) + ")",
                mayHaveRun ? "may have run" : "not run",
                retry,
                std::string(row->advice) });
  return ExitCode::kOk;
}

} // namespace tanagerseam
