#include "cli/daemons.h"

#include <algorithm>
#include <thread>

namespace tanagerseam {

namespace {

constexpr Millis kDaemonCallTimeout(1000);
constexpr Millis kPollInterval(200);

Refusal
CallFailure(const Member& aMember, const std::string& aDetail)
{
  return MakeRefusal(RefusalReason::kOwnerUnavailable,
                     aMember.host + " at " + aMember.adminAddress + ": " +
                       aDetail);
}

int64_t
ConfigVersionIn(const Json& aStatus)
{
  const auto found = aStatus.find("config_version");
  if (found == aStatus.end() || !found->is_number_integer()) {
    return -1;
  }
  return found->get<int64_t>();
}

} // namespace

Result<Json>
CallDaemon(const CommandContext& aContext,
           const Member& aMember,
           const std::string& aMethod,
           const std::string& aPath)
{
  HttpCall call;
  call.method = aMethod;
  call.url = "http://" + aMember.adminAddress + aPath;
  call.timeout = std::min(kDaemonCallTimeout, aContext.options.timeout);
  const HttpOutcome outcome = aContext.fetch(call);
  if (auto* failure = std::get_if<TransportFailure>(&outcome)) {
    return CallFailure(aMember, failure->detail);
  }
  const auto& answer = std::get<HttpAnswer>(outcome);
  if (answer.status < 200 || answer.status > 299) {
    return CallFailure(aMember, "status " + std::to_string(answer.status));
  }
  Json json = Json::parse(answer.body, nullptr, false);
  // Responses to POST carry no information beyond the status.
  if (json.is_discarded() && aMethod == "GET") {
    return CallFailure(aMember, "the response is not JSON");
  }
  return json;
}

std::vector<DaemonProblem>
FindLagging(const CommandContext& aContext,
            const std::map<std::string, Member>& aMembers,
            int64_t aVersion)
{
  std::vector<DaemonProblem> lagging;
  for (const auto& entry : aMembers) {
    const Result<Json> status =
      CallDaemon(aContext, entry.second, "GET", "/status");
    if (auto* refusal = std::get_if<Refusal>(&status)) {
      lagging.push_back({ entry.first, refusal->detail });
      continue;
    }
    const int64_t version = ConfigVersionIn(std::get<Json>(status));
    if (version < aVersion) {
      lagging.push_back(
        { entry.first, "has version " + std::to_string(version) });
    }
  }
  return lagging;
}

std::vector<DaemonProblem>
WaitForDaemons(const CommandContext& aContext,
               ConfigLog& aLog,
               int64_t aVersion)
{
  const TimePoint deadline = Now() + aContext.options.timeout;
  std::map<std::string, Member> members = aLog.State().Members();
  while (true) {
    auto lagging = FindLagging(aContext, members, aVersion);
    if (lagging.empty() || Now() + kPollInterval >= deadline) {
      return lagging;
    }
    std::this_thread::sleep_for(kPollInterval);
    if (IsOk(aLog.Refresh(kPollInterval))) {
      members = aLog.State().Members();
    }
  }
}

ExitCode
ReportChange(const CommandContext& aContext,
             ConfigLog& aLog,
             Json aJson,
             std::vector<std::string> aLines)
{
  const int64_t version = aLog.ConfigInForce().version;
  aJson["version"] = version;
  aLines.push_back("version " + std::to_string(version) + " is in force");
  if (!aContext.options.wait) {
    PrintResult(aContext, aJson, aLines);
    return ExitCode::kOk;
  }
  const auto lagging = WaitForDaemons(aContext, aLog, version);
  aJson["lagging"] = Json::array();
  for (const DaemonProblem& daemon : lagging) {
    aJson["lagging"].push_back(
      { { "host", daemon.host }, { "detail", daemon.detail } });
    aLines.push_back("lagging: " + daemon.host + ": " + daemon.detail);
  }
  if (lagging.empty()) {
    aLines.push_back("every daemon has it");
  }
  PrintResult(aContext, aJson, aLines);
  return lagging.empty() ? ExitCode::kOk : ExitCode::kLagging;
}

} // namespace tanagerseam
