#include "cli/key_commands.h"

#include <functional>

#include "cli/config_log.h"
#include "cli/daemons.h"
#include "desired/desired.h"

namespace tanagerseam {

namespace {

constexpr int kKeyBytes = 32;
constexpr const char* kKeyPrefix = "tsk_";
// Version conflicts with other operators before the command gives up.
constexpr int kMaxEditAttempts = 20;

// Edits the state, or prints an error and returns its code. Called again for
// each new base version.
using ConfigEdit = std::function<std::optional<ExitCode>(DesiredState&)>;

// Applies an edit to the configuration in force; returns nothing on success,
// else the exit code.
std::optional<ExitCode>
ApplyEdit(const CommandContext& aContext,
          ConfigLog& aLog,
          const ConfigEdit& aEdit)
{
  const Result<Done> read = aLog.Refresh();
  if (auto* refusal = std::get_if<Refusal>(&read)) {
    return FailWithRefusal(aContext, *refusal);
  }
  for (int attempt = 0; attempt < kMaxEditAttempts; ++attempt) {
    const Result<DesiredState> current = aLog.DesiredInForce();
    if (auto* refusal = std::get_if<Refusal>(&current)) {
      return FailWithRefusal(aContext, *refusal);
    }
    DesiredState next = std::get<DesiredState>(current);
    if (auto code = aEdit(next)) {
      return code;
    }
    const Result<Verdict> verdict = aLog.Publish(
      aContext.options.operatorName, aLog.ConfigInForce().version, next);
    if (auto* refusal = std::get_if<Refusal>(&verdict)) {
      return FailWithRefusal(aContext, *refusal);
    }
    if (std::get<Verdict>(verdict) == Verdict::kAccepted) {
      return std::nullopt;
    }
  }
  return Fail(aContext,
              ExitCode::kConflict,
              "concurrent changes by other operators " +
                std::to_string(kMaxEditAttempts) + " times; try again");
}

} // namespace

ExitCode
RunKeyIssue(const CommandContext& aContext, const std::string& aOrganisation)
{
  const std::string& name = aContext.options.name;
  if (!IsName(name)) {
    return Fail(aContext, ExitCode::kUsage, "key issue needs --name=NAME");
  }
  const std::string key = kKeyPrefix + RandomHex(kKeyBytes);
  const ConfigEdit edit = [&](DesiredState& aState) -> std::optional<ExitCode> {
    if (aState.organisations.count(aOrganisation) == 0) {
      return Fail(
        aContext, ExitCode::kNotFound, "unknown organisation " + aOrganisation);
    }
    if (aState.HasKeyNamed(name) || aState.withdrawnKeys.count(name) != 0) {
      return Fail(
        aContext, ExitCode::kFindings, "the name " + name + " is taken");
    }
    aState.issuedKeys[name] = { name, aOrganisation, Sha256Hex(key) };
    return std::nullopt;
  };
  ConfigLog log(aContext.log, aContext.options.timeout);
  if (auto code = ApplyEdit(aContext, log, edit)) {
    return *code;
  }
  const Json json{ { "name", name },
                   { "organisation", aOrganisation },
                   { "key", key } };
  return ReportChange(aContext, log, json, { key });
}

ExitCode
RunKeyWithdraw(const CommandContext& aContext, const std::string& aName)
{
  bool alreadyWithdrawn = false;
  const ConfigEdit edit = [&](DesiredState& aState) -> std::optional<ExitCode> {
    alreadyWithdrawn = aState.withdrawnKeys.count(aName) != 0;
    if (alreadyWithdrawn) {
      return ExitCode::kOk;
    }
    if (!aState.Withdraw(aName)) {
      return Fail(aContext, ExitCode::kNotFound, "unknown key " + aName);
    }
    return std::nullopt;
  };
  ConfigLog log(aContext.log, aContext.options.timeout);
  const auto code = ApplyEdit(aContext, log, edit);
  if (code && !alreadyWithdrawn) {
    return *code;
  }
  const std::string line =
    aName + (alreadyWithdrawn ? " was already withdrawn" : " is withdrawn");
  return ReportChange(aContext, log, Json{ { "name", aName } }, { line });
}

} // namespace tanagerseam
