#include "cli/config_commands.h"

#include "cli/config_log.h"
#include "cli/daemons.h"

namespace tanagerseam {

namespace {

Json
FindingsJson(const Findings& aFindings)
{
  Json list = Json::array();
  for (const Finding& finding : aFindings.Items()) {
    list.push_back({ { "file", finding.place.file },
                     { "line", finding.place.line },
                     { "key", finding.place.key },
                     { "message", finding.message } });
  }
  return list;
}

ExitCode
PrintFindings(const CommandContext& aContext, const Findings& aFindings)
{
  std::string text = aFindings.Text();
  if (!text.empty()) {
    text.pop_back();
  }
  PrintResult(
    aContext, Json{ { "findings", FindingsJson(aFindings) } }, { text });
  return ExitCode::kFindings;
}

std::string
VersionText(int64_t aVersion)
{
  return "version " + std::to_string(aVersion);
}

// Prints the author of the version in force and the changes since aBase.
ExitCode
FailWithConflict(const CommandContext& aContext,
                 const ConfigLog& aLog,
                 int64_t aBase)
{
  const ConfigVersion& inForce = aLog.ConfigInForce();
  Json fields{ { "base", aBase },
               { "version", inForce.version },
               { "author", inForce.author },
               { "wall_ms", inForce.wallMillis } };
  std::string detail = VersionText(inForce.version) + " by " + inForce.author +
                       " is in force, not " + VersionText(aBase);
  const auto base = aLog.DesiredAt(aBase);
  const auto current = aLog.DesiredInForce();
  if (!base || !IsOk(current)) {
    detail += "; the changes since are no longer in the log";
    return Fail(aContext, ExitCode::kConflict, detail, std::move(fields));
  }
  const auto lines = DescribeDifference(*base, std::get<DesiredState>(current));
  fields["difference"] = lines;
  for (const std::string& line : lines) {
    detail += "\n" + line;
  }
  return Fail(aContext, ExitCode::kConflict, detail, std::move(fields));
}

// Returns the state that applying the files would give, or prints the error and
// returns its exit code.
std::variant<DesiredState, ExitCode>
ReadFiles(const CommandContext& aContext,
          const std::vector<std::string>& aFiles,
          ConfigLog& aLog)
{
  Findings findings;
  DesiredState files = ParseDesired(aFiles, findings);
  if (!findings.Empty()) {
    return PrintFindings(aContext, findings);
  }
  const Result<Done> read = aLog.Refresh();
  if (auto* refusal = std::get_if<Refusal>(&read)) {
    return FailWithRefusal(aContext, *refusal);
  }
  const Result<DesiredState> current = aLog.DesiredInForce();
  if (auto* refusal = std::get_if<Refusal>(&current)) {
    return FailWithRefusal(aContext, *refusal);
  }
  DesiredState next =
    KeepIssuedKeys(std::move(files), std::get<DesiredState>(current), findings);
  if (!findings.Empty()) {
    return PrintFindings(aContext, findings);
  }
  return next;
}

} // namespace

DesiredState
KeepIssuedKeys(DesiredState aFiles,
               const DesiredState& aInForce,
               Findings& aFindings)
{
  aFiles.issuedKeys = aInForce.issuedKeys;
  aFiles.withdrawnKeys = aInForce.withdrawnKeys;
  aFiles.withdrawnDigests = aInForce.withdrawnDigests;
  for (const auto& entry : aFiles.keys) {
    const bool sameName = aFiles.withdrawnKeys.count(entry.first) != 0;
    if (!sameName && aFiles.IsWithdrawn(entry.second)) {
      aFindings.Add(Place{ "(in force)", 0, "key " + entry.first },
                    "its digest was withdrawn under another name");
    }
  }
  for (const auto& entry : aInForce.issuedKeys) {
    const ApiKey& issued = entry.second;
    const Place place{ "(in force)", 0, "issued key " + issued.name };
    if (aFiles.keys.count(issued.name) != 0) {
      aFindings.Add(place, "a key of the files has the same name");
    }
    const ApiKey* same = aFiles.FindKey(issued.digest);
    if (same != nullptr && same->name != issued.name) {
      aFindings.Add(place, "key " + same->name + " has the same digest");
    }
    if (aFiles.withdrawnKeys.count(issued.name) == 0 &&
        aFiles.organisations.count(issued.organisation) == 0) {
      aFindings.Add(place,
                    "its organisation " + issued.organisation +
                      " is not in the files; withdraw the key first");
    }
  }
  return aFiles;
}

ExitCode
RunCheck(const CommandContext& aContext, const std::vector<std::string>& aFiles)
{
  Findings findings;
  ParseDesired(aFiles, findings);
  if (!findings.Empty()) {
    return PrintFindings(aContext, findings);
  }
  PrintResult(
    aContext, Json{ { "findings", Json::array() } }, { "no findings" });
  return ExitCode::kOk;
}

ExitCode
RunApply(const CommandContext& aContext, const std::vector<std::string>& aFiles)
{
  ConfigLog log(aContext.log, aContext.options.timeout);
  auto files = ReadFiles(aContext, aFiles, log);
  if (auto* code = std::get_if<ExitCode>(&files)) {
    return *code;
  }
  const auto& next = std::get<DesiredState>(files);
  const int64_t base =
    aContext.options.base.value_or(log.ConfigInForce().version);
  if (base != log.ConfigInForce().version) {
    return FailWithConflict(aContext, log, base);
  }
  const auto lines =
    DescribeDifference(std::get<DesiredState>(log.DesiredInForce()), next);
  if (lines.empty() && base > 0) {
    return ReportChange(
      aContext, log, Json{ { "difference", lines } }, { "no difference" });
  }
  const Result<Verdict> verdict =
    log.Publish(aContext.options.operatorName, base, next);
  if (auto* refusal = std::get_if<Refusal>(&verdict)) {
    return FailWithRefusal(aContext, *refusal);
  }
  if (std::get<Verdict>(verdict) != Verdict::kAccepted) {
    return FailWithConflict(aContext, log, base);
  }
  return ReportChange(aContext, log, Json{ { "difference", lines } }, lines);
}

ExitCode
RunDiff(const CommandContext& aContext, const std::vector<std::string>& aFiles)
{
  ConfigLog log(aContext.log, aContext.options.timeout);
  auto files = ReadFiles(aContext, aFiles, log);
  if (auto* code = std::get_if<ExitCode>(&files)) {
    return *code;
  }
  const auto lines =
    DescribeDifference(std::get<DesiredState>(log.DesiredInForce()),
                       std::get<DesiredState>(files));
  const Json json{ { "version", log.ConfigInForce().version },
                   { "difference", lines } };
  PrintResult(aContext,
              json,
              lines.empty() ? std::vector<std::string>{ "no difference" }
                            : lines);
  return ExitCode::kOk;
}

} // namespace tanagerseam
