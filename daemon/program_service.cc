#include "daemon/program_service.h"

#include <algorithm>

namespace tanagerseam {

namespace {

using Json = nlohmann::json;

constexpr int64_t kMaxBudget = 1000000000;

void
SendJson(CallSink& aSink, int aStatus, const Json& aJson)
{
  aSink.Head(aStatus, kJsonType, {});
  aSink.Chunk(aJson.dump(-1, ' ', false, Json::error_handler_t::replace));
  aSink.End(CallEnd{});
}

// The same request has the same digest, whichever daemon it came through.
std::string
DigestOf(const CallRequest& aRequest)
{
  const std::string identity =
    aRequest.call > 0 ? aRequest.body : "request " + aRequest.requestId;
  return Sha256Hex(std::string(OperationName(aRequest.operation)) + "\n" +
                   aRequest.route + "\n" + aRequest.path + "\n" + identity);
}

void
SendStored(const ProgramState& aProgram, const Turn& aTurn, CallSink& aSink)
{
  const auto headers = CallHeaders(aProgram.id, aTurn.call);
  if (aTurn.kind == kUnknownKind) {
    aSink.Refuse(MakeRefusal(RefusalReason::kOutcomeUnknown, aTurn.answer));
    return;
  }
  if (aTurn.kind == kModelKind) {
    aSink.Head(200, kJsonType, headers);
    const Json message = Json::parse(aTurn.message);
    aSink.Chunk(message.at("content").get<std::string>());
    aSink.End(DecodeEnd(aTurn.answer));
    return;
  }
  aSink.Head(aTurn.httpStatus, aTurn.contentType, headers);
  aSink.Chunk(aTurn.answer);
  aSink.End(CallEnd{});
}

} // namespace

ProgramService::ProgramService(const DaemonContext& aContext,
                               ModelRunner& aModels,
                               RunService aRunService)
  : context(aContext)
  , keeper(aContext)
  , models(aModels)
  , runService(std::move(aRunService))
{
}

std::set<int>
ProgramService::BusySlots() const
{
  return SlotsOf(this->context, this->gates.BusyKeys());
}

bool
ProgramService::Handle(const CallRequest& aRequest, CallSink& aSink)
{
  const std::string key = ProgramKey(aRequest.program);
  if (aRequest.operation == CallOperation::kLookProgram) {
    return this->Inside(aRequest, aSink);
  }
  auto pass = this->gates.Enter(key, aRequest.deadline);
  if (!pass) {
    Refusal refusal = MakeRefusal(RefusalReason::kDeadlineExceeded,
                                  "an earlier call of the program still runs");
    // It may be this call, asked before through another daemon.
    refusal.ran = RanState::kUnknown;
    aSink.Refuse(refusal);
    return true;
  }
  return this->Inside(aRequest, aSink);
}

bool
ProgramService::Inside(const CallRequest& aRequest, CallSink& aSink)
{
  const OwnerPlace place =
    FindOwner(this->context, ProgramKey(aRequest.program));
  if (!place.isSelf) {
    return false;
  }
  if (!this->context.mayAct(place.slot) && this->context.journal.LogFailing()) {
    aSink.Refuse(MakeRefusal(RefusalReason::kOwnerUnavailable,
                             "the owner could not confirm its lease"));
    return true;
  }
  if (aRequest.operation == CallOperation::kOpenProgram) {
    return this->Open(aRequest, aSink, place.epoch);
  }
  const auto program = this->context.journal.ProgramView(aRequest.program);
  // One answer for both, so that nobody learns which programs exist.
  if (!program || program->organisation != aRequest.organisation) {
    aSink.Refuse(
      MakeRefusal(RefusalReason::kProgramNotFound, "no such program"));
    return true;
  }
  switch (aRequest.operation) {
    case CallOperation::kLookProgram:
      this->Look(*program, aSink);
      return true;
    case CallOperation::kEndProgram:
      return this->End(aRequest, *program, aSink);
    default:
      return this->Call(aRequest, *program, place.epoch, aSink);
  }
}

bool
ProgramService::Open(const CallRequest& aRequest,
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
  int64_t seconds = settings.maxProgramTime.count() / 1000;
  try {
    if (!json.is_object()) {
      throw std::invalid_argument("the body must be a JSON object");
    }
    opened.parent = json.value("parent", std::string());
    opened.urgency = json.value("urgency", std::string("normal"));
    opened.budgetTokens =
      json.value("budget_tokens", settings.defaultBudgetTokens);
    opened.maxTurns = json.value("max_turns", settings.defaultMaxTurns);
    seconds = std::min(seconds, json.value("max_seconds", seconds));
  } catch (const std::exception& error) {
    aSink.Refuse(MakeRefusal(RefusalReason::kMalformedRequest, error.what()));
    return true;
  }
  const bool inRange = opened.budgetTokens >= 1 &&
                       opened.budgetTokens <= kMaxBudget &&
                       opened.maxTurns >= 1 && seconds >= 1 &&
                       ParseUrgency(opened.urgency).has_value();
  if (!inRange) {
    aSink.Refuse(MakeRefusal(
      RefusalReason::kMalformedRequest,
      "budget_tokens, max_turns and max_seconds must be at least 1; urgency "
      "is urgent, normal or background"));
    return true;
  }
  opened.endsAtMillis = WallMillis() + seconds * 1000;
  const Json answer{ { "id", opened.program },
                     { "urgency", opened.urgency },
                     { "budget_tokens", opened.budgetTokens },
                     { "max_turns", opened.maxTurns },
                     { "max_seconds", seconds },
                     { "parent", opened.parent },
                     { "next_call", 1 } };
  // A sub-agent takes its budget from its parent, which only the log can rule.
  const bool mayReplicate = opened.parent.empty();
  const PersistOutcome outcome =
    this->keeper.Persist(opened.program, opened, mayReplicate);
  if (outcome.how == Persisted::kRejected) {
    if (outcome.verdict == Verdict::kWrongEpoch) {
      return false;
    }
    if (outcome.verdict != Verdict::kAlreadyExists) {
      aSink.Refuse(FromVerdict(outcome.verdict));
      return true;
    }
  }
  if (outcome.how == Persisted::kFailed) {
    aSink.Refuse(MakeRefusal(RefusalReason::kLogUnavailable,
                             "the program could not be recorded"));
    return true;
  }
  SendJson(aSink, 201, answer);
  return true;
}

void
ProgramService::Look(const ProgramState& aProgram, CallSink& aSink)
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
ProgramService::End(const CallRequest& aRequest,
                    const ProgramState& aProgram,
                    CallSink& aSink)
{
  if (!aProgram.ended) {
    const auto outcome = this->keeper.Persist(
      aRequest.program, ProgramEnded{ aRequest.program, "caller" }, true);
    if (outcome.how == Persisted::kFailed) {
      aSink.Refuse(MakeRefusal(RefusalReason::kLogUnavailable,
                               "the end could not be recorded"));
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
ProgramService::Call(const CallRequest& aRequest,
                     const ProgramState& aProgram,
                     int64_t aEpoch,
                     CallSink& aSink)
{
  const std::string digest = DigestOf(aRequest);
  const auto& turns = aProgram.turns;
  const bool numbered = aRequest.call > 0;
  if (numbered && aRequest.call <= int64_t(turns.size())) {
    const Turn& turn = *turns[size_t(aRequest.call) - 1];
    if (turn.requestDigest == digest) {
      SendStored(aProgram, turn, aSink);
    } else {
      aSink.Refuse(MakeRefusal(RefusalReason::kCallOutOfOrder,
                               "call " + std::to_string(aRequest.call) +
                                 " was a different request; the next call is " +
                                 std::to_string(aProgram.NextCall())));
    }
    return true;
  }
  if (!numbered && !turns.empty() && turns.back()->requestDigest == digest) {
    SendStored(aProgram, *turns.back(), aSink);
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
                             "the program is past its time"));
    return true;
  }
  if (aProgram.NextCall() > aProgram.maxTurns) {
    aSink.Refuse(FromVerdict(Verdict::kTurnLimit));
    return true;
  }
  const TurnContext turn{ aRequest, aProgram, aEpoch, digest };
  if (aRequest.operation == CallOperation::kModelCall) {
    return RunModelTurn(this->context, this->keeper, this->models, turn, aSink);
  }
  return RunServiceTurn(this->keeper, this->runService, turn, aSink);
}

void
ProgramService::EndOverdue()
{
  if (this->context.journal.LogFailing()) {
    // The replay does not show the turns of an outage.
    this->idle = IdleProgramDetector();
    return;
  }
  const int64_t now = WallMillis();
  const std::string host = this->context.settings.host;
  const std::string incarnation = this->context.journal.Incarnation();
  const auto overdue =
    this->context.journal.With([&](const ClusterState& aState) {
      std::vector<std::string> ids;
      for (const auto& entry : aState.Programs()) {
        const Slot& slot =
          aState.Slots()[size_t(aState.SlotOf(ProgramKey(entry.first)))];
        const bool own =
          slot.owner == host && slot.ownerIncarnation == incarnation;
        if (own && !entry.second->ended && entry.second->endsAtMillis <= now) {
          ids.push_back(entry.first);
        }
      }
      return ids;
    });
  for (const std::string& id : overdue) {
    this->context.journal.Submit(ProgramEnded{ id, "time" });
  }
  this->EndIdle();
}

void
ProgramService::EndIdle()
{
  const std::string host = this->context.settings.host;
  const std::string incarnation = this->context.journal.Incarnation();
  const auto owned =
    this->context.journal.With([&](const ClusterState& aState) {
      std::map<std::string, IdleProgramDetector::Activity> marks;
      for (const auto& [id, program] : aState.Programs()) {
        const Slot& slot =
          aState.Slots()[size_t(aState.SlotOf(ProgramKey(id)))];
        const bool own =
          slot.owner == host && slot.ownerIncarnation == incarnation;
        // A parent is used while its sub-agents are.
        const bool busy = program->open || !program->children.empty();
        if (own && !program->ended) {
          marks[id] = { program->turns.size(), busy };
        }
      }
      return marks;
    });
  for (const std::string& id :
       this->idle.FindIdle(owned, this->context.settings.maxIdle, Now())) {
    this->context.journal.Submit(ProgramEnded{ id, "idle" });
  }
}

} // namespace tanagerseam
