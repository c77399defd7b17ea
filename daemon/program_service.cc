#include "daemon/program_service.h"

#include <algorithm>

namespace tanagerseam {

namespace {

using Json = nlohmann::json;

constexpr int64_t kMaxBudgetTokens = 1000000000;

void
SendJson(CallSink& aSink, int aStatus, const Json& aJson)
{
  aSink.Head(aStatus, kJsonType, {});
  aSink.Chunk(aJson.dump(-1, ' ', false, Json::error_handler_t::replace));
  aSink.End(CompletionInfo{});
}

// Equal for retries of a request, whichever daemon received them. A call with a
// number is identified by its body, one without by its request id.
std::string
RequestDigest(const CallRequest& aRequest)
{
  const std::string identity =
    aRequest.call > 0 ? aRequest.body : "request " + aRequest.requestId;
  return Sha256Hex(std::string(OperationName(aRequest.operation)) + "\n" +
                   aRequest.route + "\n" + aRequest.path + "\n" + identity);
}

void
SendStoredResponse(const ProgramState& aProgram,
                   const Turn& aTurn,
                   CallSink& aSink)
{
  const auto headers = CallHeaders(aProgram.id, aTurn.call);
  if (aTurn.kind == kUnknownOutcomeKind) {
    aSink.Refuse(MakeRefusal(RefusalReason::kOutcomeUnknown, aTurn.answer));
    return;
  }
  if (aTurn.kind == kModelKind) {
    aSink.Head(200, kJsonType, headers);
    const Json message = Json::parse(aTurn.message);
    aSink.Chunk(message.at("content").get<std::string>());
    aSink.End(DecodeCompletionInfo(aTurn.answer));
    return;
  }
  aSink.Head(aTurn.httpStatus, aTurn.contentType, headers);
  aSink.Chunk(aTurn.answer);
  aSink.End(CompletionInfo{});
}

} // namespace

ProgramService::ProgramService(const DaemonContext& aContext,
                               ModelRunner& aModels,
                               ServiceCallFunction aCallService)
  : context(aContext)
  , persister(aContext)
  , models(aModels)
  , callService(std::move(aCallService))
{
}

std::set<int>
ProgramService::BusySlots() const
{
  return SlotsOf(this->context, this->locks.LockedKeys());
}

bool
ProgramService::Handle(const CallRequest& aRequest, CallSink& aSink)
{
  const std::string key = ProgramKey(aRequest.program);
  if (aRequest.operation == CallOperation::kGetProgram) {
    return this->HandleAsOwner(aRequest, aSink);
  }
  auto guard = this->locks.Acquire(key, aRequest.deadline);
  if (!guard) {
    Refusal refusal =
      MakeRefusal(RefusalReason::kDeadlineExceeded,
                  "timed out waiting for an earlier call of the program");
    // The earlier call may be this one, received through another daemon.
    refusal.ran = RanState::kUnknown;
    aSink.Refuse(refusal);
    return true;
  }
  return this->HandleAsOwner(aRequest, aSink);
}

bool
ProgramService::HandleAsOwner(const CallRequest& aRequest, CallSink& aSink)
{
  const OwnerLocation owner =
    FindOwner(this->context, ProgramKey(aRequest.program));
  if (!owner.isSelf) {
    return false;
  }
  if (!this->context.mayActAsOwner(owner.slot) &&
      this->context.journal.LogFailing()) {
    LogFields fields = this->context.journal.LogHealth();
    fields.emplace_back("program", aRequest.program);
    fields.emplace_back("slot", std::to_string(owner.slot));
    LogWarn("lease_unconfirmed", fields);
    aSink.Refuse(
      MakeRefusal(RefusalReason::kOwnerUnavailable,
                  "the owner of the program could not confirm its lease"));
    return true;
  }
  if (aRequest.operation == CallOperation::kOpenProgram) {
    return this->HandleOpen(aRequest, aSink, owner.epoch);
  }
  const auto program = this->context.journal.ProgramView(aRequest.program);
  // The same refusal in both cases, so that callers cannot probe for programs
  // of other organisations.
  if (!program || program->organisation != aRequest.organisation) {
    aSink.Refuse(
      MakeRefusal(RefusalReason::kProgramNotFound, "no such program"));
    return true;
  }
  switch (aRequest.operation) {
    case CallOperation::kGetProgram:
      this->HandleGet(*program, aSink);
      return true;
    case CallOperation::kEndProgram:
      return this->HandleEnd(aRequest, *program, aSink);
    default:
      return this->HandleCall(aRequest, *program, owner.epoch, aSink);
  }
}

bool
ProgramService::HandleOpen(const CallRequest& aRequest,
                           CallSink& aSink,
                           int64_t aEpoch)
{
  const Json json =
    Json::parse(aRequest.body.empty() ? "{}" : aRequest.body, nullptr, false);
  const DaemonSettings& settings = this->context.settings;
  ProgramOpened opened;
  opened.program = aRequest.program;
  opened.organisation = aRequest.organisation;
  opened.epoch = aEpoch;
  int64_t maxSeconds = settings.maxProgramTime.count() / 1000;
  try {
    if (!json.is_object()) {
      throw std::invalid_argument("the body must be a JSON object");
    }
    opened.parent = json.value("parent", std::string());
    opened.urgency = json.value("urgency", std::string("normal"));
    opened.budgetTokens =
      json.value("budget_tokens", settings.defaultBudgetTokens);
    opened.maxTurns = json.value("max_turns", settings.defaultMaxTurns);
    maxSeconds = std::min(maxSeconds, json.value("max_seconds", maxSeconds));
  } catch (const std::exception& error) {
    aSink.Refuse(MakeRefusal(RefusalReason::kMalformedRequest, error.what()));
    return true;
  }
  const bool valid = opened.budgetTokens >= 1 &&
                     opened.budgetTokens <= kMaxBudgetTokens &&
                     opened.maxTurns >= 1 && maxSeconds >= 1 &&
                     ParseUrgency(opened.urgency).has_value();
  if (!valid) {
    aSink.Refuse(MakeRefusal(
      RefusalReason::kMalformedRequest,
      "budget_tokens must be 1 to 1000000000, max_turns and max_seconds at "
      "least 1; urgency must be urgent, normal or background"));
    return true;
  }
  opened.endsAtMillis = WallMillis() + maxSeconds * 1000;
  const Json response{ { "id", opened.program },
                       { "urgency", opened.urgency },
                       { "budget_tokens", opened.budgetTokens },
                       { "max_turns", opened.maxTurns },
                       { "max_seconds", maxSeconds },
                       { "parent", opened.parent },
                       { "next_call", 1 } };
  // A sub-agent's budget is reserved from its parent's, which only the log can
  // decide.
  const bool mayReplicate = opened.parent.empty();
  const PersistOutcome outcome =
    this->persister.Persist(opened.program, opened, mayReplicate);
  if (outcome.durability == Durability::kRejected) {
    if (outcome.verdict == Verdict::kWrongEpoch) {
      return false;
    }
    if (outcome.verdict != Verdict::kAlreadyExists) {
      aSink.Refuse(RefusalForVerdict(outcome.verdict));
      return true;
    }
  }
  if (outcome.durability == Durability::kFailed) {
    aSink.Refuse(MakeRefusal(RefusalReason::kLogUnavailable,
                             "the new program could not be recorded durably"));
    return true;
  }
  SendJson(aSink, 201, response);
  return true;
}

void
ProgramService::HandleGet(const ProgramState& aProgram, CallSink& aSink)
{
  Json turns = Json::array();
  for (const auto& turn : aProgram.turns) {
    turns.push_back(Json{ { "call", turn->call },
                          { "kind", turn->kind },
                          { "status", turn->httpStatus },
                          { "used_tokens", turn->usedTokens },
                          { "digest", turn->digest } });
  }
  SendJson(aSink,
           200,
           Json{ { "id", aProgram.id },
                 { "urgency", aProgram.urgency },
                 { "budget_tokens", aProgram.budgetTokens },
                 { "spent_tokens", aProgram.spentTokens },
                 { "reserved_tokens", aProgram.reservedTokens },
                 { "max_turns", aProgram.maxTurns },
                 { "next_call", aProgram.NextCall() },
                 { "parent", aProgram.parent },
                 { "ended", aProgram.ended },
                 { "end_reason", aProgram.endReason },
                 { "turns", turns },
                 { "messages", WithHistory(aProgram, Json::array()) } });
}

bool
ProgramService::HandleEnd(const CallRequest& aRequest,
                          const ProgramState& aProgram,
                          CallSink& aSink)
{
  if (!aProgram.ended) {
    const auto outcome = this->persister.Persist(
      aRequest.program, ProgramEnded{ aRequest.program, "caller" }, true);
    if (outcome.durability == Durability::kFailed) {
      aSink.Refuse(
        MakeRefusal(RefusalReason::kLogUnavailable,
                    "the end of the program could not be recorded durably"));
      return true;
    }
  }
  SendJson(aSink,
           200,
           Json{ { "id", aProgram.id },
                 { "ended", true },
                 { "spent_tokens", aProgram.spentTokens } });
  return true;
}

bool
ProgramService::HandleCall(const CallRequest& aRequest,
                           const ProgramState& aProgram,
                           int64_t aEpoch,
                           CallSink& aSink)
{
  const std::string digest = RequestDigest(aRequest);
  const auto& turns = aProgram.turns;
  const bool numbered = aRequest.call > 0;
  if (numbered && aRequest.call <= int64_t(turns.size())) {
    const Turn& turn = *turns[size_t(aRequest.call) - 1];
    if (turn.requestDigest == digest) {
      SendStoredResponse(aProgram, turn, aSink);
    } else {
      aSink.Refuse(
        MakeRefusal(RefusalReason::kCallOutOfOrder,
                    "call " + std::to_string(aRequest.call) +
                      " was made with a different request; the next call is " +
                      std::to_string(aProgram.NextCall())));
    }
    return true;
  }
  if (!numbered && !turns.empty() && turns.back()->requestDigest == digest) {
    SendStoredResponse(aProgram, *turns.back(), aSink);
    return true;
  }
  if (numbered && aRequest.call != aProgram.NextCall()) {
    aSink.Refuse(
      MakeRefusal(RefusalReason::kCallOutOfOrder,
                  "the next call is " + std::to_string(aProgram.NextCall())));
    return true;
  }
  if (aProgram.ended) {
    aSink.Refuse(MakeRefusal(RefusalReason::kProgramEnded,
                             "the program has ended: " + aProgram.endReason));
    return true;
  }
  if (WallMillis() >= aProgram.endsAtMillis) {
    aSink.Refuse(MakeRefusal(RefusalReason::kProgramLimit,
                             "the program is past its end time (max_seconds)"));
    return true;
  }
  if (aProgram.NextCall() > aProgram.maxTurns) {
    aSink.Refuse(RefusalForVerdict(Verdict::kTurnLimit));
    return true;
  }
  const TurnContext turn{ aRequest, aProgram, aEpoch, digest };
  if (aRequest.operation == CallOperation::kModelCall) {
    return RunModelTurn(
      this->context, this->persister, this->models, turn, aSink);
  }
  return RunServiceTurn(this->persister, this->callService, turn, aSink);
}

void
ProgramService::EndExpiredPrograms()
{
  if (this->context.journal.LogFailing()) {
    // The replay lacks the turns made during a log outage, so idle times are
    // measured anew afterwards.
    this->idleDetector = IdleProgramDetector();
    return;
  }
  const int64_t now = WallMillis();
  const std::string host = this->context.settings.host;
  const std::string incarnation = this->context.journal.Incarnation();
  const auto expired =
    this->context.journal.With([&](const ClusterState& aState) {
      std::vector<std::string> ids;
      for (const auto& entry : aState.Programs()) {
        const Slot& slot =
          aState.Slots()[size_t(aState.SlotOf(ProgramKey(entry.first)))];
        const bool isOwned =
          slot.owner == host && slot.ownerIncarnation == incarnation;
        if (isOwned && !entry.second->ended &&
            entry.second->endsAtMillis <= now) {
          ids.push_back(entry.first);
        }
      }
      return ids;
    });
  for (const std::string& id : expired) {
    this->context.journal.Submit(ProgramEnded{ id, "time" });
  }
  this->EndIdlePrograms();
}

void
ProgramService::EndIdlePrograms()
{
  const std::string host = this->context.settings.host;
  const std::string incarnation = this->context.journal.Incarnation();
  const auto activities =
    this->context.journal.With([&](const ClusterState& aState) {
      std::map<std::string, IdleProgramDetector::Activity> activityOf;
      for (const auto& [id, program] : aState.Programs()) {
        const Slot& slot =
          aState.Slots()[size_t(aState.SlotOf(ProgramKey(id)))];
        const bool isOwned =
          slot.owner == host && slot.ownerIncarnation == incarnation;
        // A program is in use while one of its sub-agents is open.
        const bool inUse = program->open || !program->children.empty();
        if (isOwned && !program->ended) {
          activityOf[id] = { program->turns.size(), inUse };
        }
      }
      return activityOf;
    });
  for (const std::string& id : this->idleDetector.FindIdle(
         activities, this->context.settings.maxIdleTime, Now())) {
    this->context.journal.Submit(ProgramEnded{ id, "idle" });
  }
}

} // namespace tanagerseam
