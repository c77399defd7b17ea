#include "cli/fleet_commands.h"

#include <thread>

#include "cli/daemons.h"

namespace tanagerseam {

namespace {

// Returns "name=value" for each of the fields that the object has.
std::string
FieldsText(const Json& aObject, const std::vector<std::string>& aNames)
{
  std::string text;
  for (const std::string& name : aNames) {
    auto found = aObject.find(name);
    if (found == aObject.end()) {
      continue;
    }
    const std::string value =
      found->is_string() ? found->get<std::string>() : found->dump();
    text += (text.empty() ? "" : " ") + name + "=" + value;
  }
  return text;
}

// Responses of all members to one GET request.
struct MemberAnswers
{
  // (host, response body) of members that answered.
  std::vector<std::pair<std::string, Json>> answers;
  std::vector<DaemonProblem> unreachable;
};

MemberAnswers
QueryMembers(const CommandContext& aContext,
             const ClusterState& aState,
             const std::string& aPath)
{
  MemberAnswers memberAnswers;
  for (const auto& entry : aState.Members()) {
    Result<Json> answer = CallDaemon(aContext, entry.second, "GET", aPath);
    if (auto* refusal = std::get_if<Refusal>(&answer)) {
      memberAnswers.unreachable.push_back({ entry.first, refusal->detail });
      continue;
    }
    memberAnswers.answers.emplace_back(entry.first, std::get<Json>(answer));
  }
  return memberAnswers;
}

ExitCode
PrintMemberAnswers(const CommandContext& aContext,
                   const MemberAnswers& aMemberAnswers,
                   Json aJson,
                   std::vector<std::string> aLines)
{
  aJson["unreachable"] = Json::array();
  for (const DaemonProblem& daemon : aMemberAnswers.unreachable) {
    aJson["unreachable"].push_back(
      { { "host", daemon.host }, { "detail", daemon.detail } });
    aLines.push_back("unreachable: " + daemon.detail);
  }
  PrintResult(aContext, aJson, aLines);
  return aMemberAnswers.unreachable.empty() ? ExitCode::kOk
                                            : ExitCode::kUnreachable;
}

} // namespace

ExitCode
RunStatus(const CommandContext& aContext)
{
  ConfigLog log(aContext.log, aContext.options.timeout);
  const Result<Done> read = log.Refresh();
  if (auto* refusal = std::get_if<Refusal>(&read)) {
    return FailWithRefusal(aContext, *refusal);
  }
  const ConfigVersion& config = log.ConfigInForce();
  Json json{ { "config_version", config.version },
             { "config_author", config.author },
             { "config_wall_ms", config.wallMillis },
             { "log_position", log.State().LastOffset() + 1 },
             { "daemons", Json::array() } };
  std::vector<std::string> lines{ FieldsText(
    json, { "config_version", "config_author", "log_position" }) };
  const MemberAnswers memberAnswers =
    QueryMembers(aContext, log.State(), "/status");
  for (const auto& answer : memberAnswers.answers) {
    json["daemons"].push_back(answer.second);
    lines.push_back(FieldsText(answer.second,
                               { "host",
                                 "zone",
                                 "ready",
                                 "draining",
                                 "lease_valid",
                                 "config_version",
                                 "log_position",
                                 "slots_owned",
                                 "programs",
                                 "waiting_records" }));
  }
  return PrintMemberAnswers(
    aContext, memberAnswers, std::move(json), std::move(lines));
}

ExitCode
RunPrograms(const CommandContext& aContext)
{
  ConfigLog log(aContext.log, aContext.options.timeout);
  const Result<Done> read = log.Refresh();
  if (auto* refusal = std::get_if<Refusal>(&read)) {
    return FailWithRefusal(aContext, *refusal);
  }
  const MemberAnswers memberAnswers =
    QueryMembers(aContext, log.State(), "/programs");
  // A program that moves to another host between two calls is listed once.
  std::map<std::string, Json> programs;
  for (const auto& answer : memberAnswers.answers) {
    for (const Json& program : answer.second) {
      if (program.is_object()) {
        programs[program.value("id", "")] = program;
      }
    }
  }
  Json json{ { "programs", Json::array() } };
  std::vector<std::string> lines;
  for (const auto& entry : programs) {
    json["programs"].push_back(entry.second);
    lines.push_back(FieldsText(entry.second,
                               { "id",
                                 "organisation",
                                 "turns",
                                 "spent_tokens",
                                 "budget_tokens",
                                 "urgency",
                                 "ended" }));
  }
  return PrintMemberAnswers(
    aContext, memberAnswers, std::move(json), std::move(lines));
}

ExitCode
RunDrain(const CommandContext& aContext, const std::string& aHost)
{
  ConfigLog log(aContext.log, aContext.options.timeout);
  const Result<Done> read = log.Refresh();
  if (auto* refusal = std::get_if<Refusal>(&read)) {
    return FailWithRefusal(aContext, *refusal);
  }
  const auto& members = log.State().Members();
  auto found = members.find(aHost);
  if (found == members.end()) {
    return Fail(aContext, ExitCode::kNotFound, "no member on host " + aHost);
  }
  const Result<Json> answer =
    CallDaemon(aContext, found->second, "POST", "/drain");
  if (auto* refusal = std::get_if<Refusal>(&answer)) {
    return Fail(aContext, ExitCode::kUnreachable, refusal->detail);
  }
  PrintResult(aContext,
              Json{ { "host", aHost }, { "draining", true } },
              { aHost + " is draining" });
  return ExitCode::kOk;
}

ExitCode
RunRemove(const CommandContext& aContext, const std::string& aHost)
{
  ConfigLog log(aContext.log, aContext.options.timeout);
  Result<Done> read = log.Refresh();
  if (auto* refusal = std::get_if<Refusal>(&read)) {
    return FailWithRefusal(aContext, *refusal);
  }
  auto found = log.State().Members().find(aHost);
  if (found == log.State().Members().end()) {
    return Fail(aContext, ExitCode::kNotFound, aHost + " is not a member");
  }
  const Member member = found->second;
  if (IsOk(CallDaemon(aContext, member, "GET", "/status"))) {
    return Fail(
      aContext, ExitCode::kConflict, aHost + " is reachable; drain it instead");
  }
  std::this_thread::sleep_for(aContext.options.timeout);
  const Result<Verdict> verdict =
    log.Propose(aContext.options.operatorName,
                MemberRemoved{ aHost,
                               member.incarnation,
                               member.renewedOffset,
                               aContext.options.operatorName });
  if (auto* refusal = std::get_if<Refusal>(&verdict)) {
    return FailWithRefusal(aContext, *refusal);
  }
  if (std::get<Verdict>(verdict) != Verdict::kAccepted) {
    return Fail(aContext,
                ExitCode::kConflict,
                aHost + " renewed its lease or left in the meantime");
  }
  PrintResult(aContext,
              Json{ { "host", aHost }, { "removed", true } },
              { aHost + " is removed; its slots are free" });
  return ExitCode::kOk;
}

} // namespace tanagerseam
