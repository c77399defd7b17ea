#include "cli/command.h"

#include <ostream>

namespace tanagerseam {

void
PrintResult(const CommandContext& aContext,
            const Json& aJson,
            const std::vector<std::string>& aLines)
{
  if (aContext.options.json) {
    aContext.out << aJson.dump(2) << "\n";
    return;
  }
  for (const std::string& line : aLines) {
    aContext.out << line << "\n";
  }
}

ExitCode
Fail(const CommandContext& aContext,
     ExitCode aCode,
     const std::string& aDetail,
     Json aFields)
{
  if (aContext.options.json) {
    aFields["error"] = std::string(ExitName(aCode));
    aFields["detail"] = aDetail;
    aContext.out << aFields.dump(2) << "\n";
  } else {
    aContext.err << "tanagerseam: " << aDetail << "\n";
  }
  return aCode;
}

ExitCode
FailWithRefusal(const CommandContext& aContext, const Refusal& aRefusal)
{
  return Fail(aContext, ExitCode::kLogUnavailable, aRefusal.detail);
}

} // namespace tanagerseam
