#include "daemon/model_turn.h"

#include <algorithm>

namespace tanagerseam {

namespace {

using Json = nlohmann::json;

// What a call may need, before the engine has counted it.
struct TokenPlan
{
  int64_t promptBound = 0;
  int64_t maxTokens = 0;
};

// The program's own prefix; before its first turn, what it shares with its
// parent.
WarmPrefix
KnownPrefixOf(const DaemonContext& aContext,
              const ProgramState& aProgram,
              const ChatRequest& aChat,
              const WarmPrefix& aOwn)
{
  if (!aOwn.endpoint.empty() || aProgram.parent.empty()) {
    return aOwn;
  }
  const auto parent = aContext.journal.ProgramView(aProgram.parent);
  return parent ? InheritedPrefixOf(*parent, aChat.model, aChat.messages)
                : aOwn;
}

Result<ChatRequest>
ParseForFleet(const DaemonContext& aContext, const std::string& aBody)
{
  Result<ChatRequest> parsed = ParseChat(aBody);
  if (!IsOk(parsed)) {
    return parsed;
  }
  const std::string& model = std::get<ChatRequest>(parsed).model;
  if (!aContext.journal.Config()->desired.HasModel(model)) {
    return MakeRefusal(RefusalReason::kModelUnknown, "no model " + model);
  }
  return parsed;
}

// The longest answer is cut to the budget only if the caller named none.
Result<TokenPlan>
PlanTokens(const DaemonContext& aContext,
           const ProgramState& aProgram,
           const ChatRequest& aChat,
           const Json& aMessages,
           const WarmPrefix& aWarm)
{
  TokenPlan plan;
  plan.promptBound =
    aWarm.tokens > 0
      ? aWarm.tokens + aWarm.otherTurnsTokenBound + TokenBound(aChat.messages)
      : TokenBound(aMessages);
  const int64_t left = aProgram.RemainingTokens() - plan.promptBound;
  plan.maxTokens = aChat.maxTokens.value_or(
    std::min(aContext.settings.defaultMaxTokens, left));
  if (plan.maxTokens >= 1 && plan.maxTokens <= left) {
    return plan;
  }
  const int64_t needed =
    plan.promptBound + std::max<int64_t>(1, plan.maxTokens);
  return MakeRefusal(
    RefusalReason::kBudgetExhausted,
    "the call may need " + std::to_string(needed) + " tokens and " +
      std::to_string(aProgram.RemainingTokens()) + " are left");
}

DispatchRequest
DispatchOf(const DaemonContext& aContext, const CallRequest& aRequest)
{
  const auto config = aContext.journal.Config();
  DispatchRequest dispatch;
  dispatch.organisation = aRequest.organisation;
  auto organisation = config->desired.organisations.find(aRequest.organisation);
  if (organisation != config->desired.organisations.end()) {
    dispatch.weight = organisation->second.weight;
  }
  dispatch.program = aRequest.program;
  dispatch.deadline = aRequest.deadline;
  return dispatch;
}

// Passes text on to the caller and stops for a withdrawn key.
class CallerTries : public ModelCallHooks
{
public:
  CallerTries(const DaemonContext& aContext,
              const CallRequest& aRequest,
              CallSink& aSink,
              std::vector<std::string> aHeaders)
    : context(aContext)
    , request(aRequest)
    , sink(aSink)
    , headers(std::move(aHeaders))
  {
  }

  void PrepareAttempt(int, bool) override {}

  std::optional<Refusal> BeforeSend() override { return this->ShouldStop(); }

  bool OnText(std::string_view aText) override
  {
    this->SendHead();
    return this->sink.Chunk(aText);
  }

  std::optional<Refusal> ShouldStop() override
  {
    if (this->sink.Cancelled()) {
      return MakeRefusal(RefusalReason::kDeadlineExceeded,
                         "the caller has gone");
    }
    return this->CheckCallersKey();
  }

  void SendHead()
  {
    if (!this->headSent) {
      this->headSent = true;
      this->sink.Head(200, kJsonType, this->headers);
    }
  }

protected:
  std::optional<Refusal> CheckCallersKey() const
  {
    return CheckKey(
      this->context, this->request.keyDigest, this->request.organisation);
  }

private:
  const DaemonContext& context;
  const CallRequest& request;
  CallSink& sink;
  const std::vector<std::string> headers;
  bool headSent = false;
};

// Besides: records each attempt, and goes on without the caller.
class ProgramTries : public CallerTries
{
public:
  ProgramTries(const DaemonContext& aContext,
               RecordKeeper& aKeeper,
               const TurnContext& aTurn,
               int64_t aReservation,
               CallSink& aSink)
    : CallerTries(aContext,
                  aTurn.request,
                  aSink,
                  CallHeaders(aTurn.program.id, aTurn.program.NextCall()))
    , keeper(aKeeper)
    , started(StartOf(aTurn))
  {
    this->started.reservedTokens = aReservation;
  }

  // A try that certainly did not run leaves its attempt to the next one.
  void PrepareAttempt(int aTry, bool aDoubtful) override
  {
    if (aTry > 1 && !aDoubtful) {
      return;
    }
    this->started.attempt += aTry > 1 ? 1 : 0;
    this->pending = this->keeper.Begin(this->started.program, this->started);
    this->recorded = false;
  }

  std::optional<Refusal> BeforeSend() override
  {
    if (auto refusal = this->ShouldStop()) {
      return refusal;
    }
    if (this->recorded) {
      return std::nullopt;
    }
    const PersistOutcome outcome = this->keeper.Await(this->pending, true);
    this->recorded = outcome.Lasting();
    if (this->recorded) {
      return std::nullopt;
    }
    this->moved = outcome.verdict == Verdict::kWrongEpoch;
    return StartRefusal(outcome);
  }

  bool OnText(std::string_view aText) override
  {
    CallerTries::OnText(aText);
    return true;
  }

  std::optional<Refusal> ShouldStop() override
  {
    return this->CheckCallersKey();
  }

  // The slot went to another daemon before the call was sent.
  bool Moved() const { return this->moved; }
  const CallStarted& Started() const { return this->started; }

private:
  RecordKeeper& keeper;
  CallStarted started;
  PendingRecord pending;
  bool recorded = false;
  bool moved = false;
};

ModelCallSpec
JobOf(const DaemonContext& aContext,
      const TurnContext& aTurn,
      const ChatRequest& aChat,
      const Json& aMessages,
      const WarmPrefix& aWarm,
      const TokenPlan& aPlan)
{
  ModelCallSpec job;
  job.dispatch = DispatchOf(aContext, aTurn.request);
  job.dispatch.urgency =
    ParseUrgency(aTurn.program.urgency).value_or(Urgency::kNormal);
  job.dispatch.promptTokens = aPlan.promptBound;
  job.dispatch.maxTokens = aPlan.maxTokens;
  job.dispatch.programServedTokens = aTurn.program.spentTokens;
  job.dispatch.warmEndpoint = aWarm.endpoint;
  job.dispatch.warmTokens = std::min(aWarm.tokens, aPlan.promptBound);
  job.warm = aWarm;
  job.model = aChat.model;
  job.engineBody = EngineBody(aChat, aMessages, aPlan.maxTokens);
  job.requestId = aTurn.request.requestId;
  job.program = aTurn.program.id;
  job.fencing = aTurn.epoch;
  return job;
}

CallFinished
FinishOf(const TurnContext& aTurn,
         const ChatRequest& aChat,
         const CallStarted& aStarted,
         const ModelResponse& aAnswer)
{
  CallFinished finished = FinishOf(aTurn, aStarted.attempt);
  finished.kind = kModelKind;
  finished.request = aChat.messages.dump();
  finished.message =
    Json{ { "role", "assistant" }, { "content", aAnswer.text } }.dump(
      -1, ' ', false, Json::error_handler_t::replace);
  finished.answer = EncodeEnd(aAnswer.end);
  // An engine that reports more than it was allowed cannot break the budget.
  finished.usedTokens =
    std::min(aAnswer.end.promptTokens + aAnswer.end.completionTokens,
             aStarted.reservedTokens);
  finished.endpoint = aAnswer.endpoint;
  return finished;
}

} // namespace

bool
RunModelTurn(const DaemonContext& aContext,
             RecordKeeper& aKeeper,
             ModelRunner& aModels,
             const TurnContext& aTurn,
             CallSink& aSink)
{
  Result<ChatRequest> parsed = ParseForFleet(aContext, aTurn.request.body);
  if (!IsOk(parsed)) {
    aSink.Refuse(std::get<Refusal>(parsed));
    return true;
  }
  const ChatRequest& chat = std::get<ChatRequest>(parsed);
  const WarmPrefix warm = WarmPrefixOf(aTurn.program, chat.model);
  const Json messages = WithHistory(aTurn.program, chat.messages);
  Result<TokenPlan> planned =
    PlanTokens(aContext, aTurn.program, chat, messages, warm);
  if (!IsOk(planned)) {
    aSink.Refuse(std::get<Refusal>(planned));
    return true;
  }
  const TokenPlan& plan = std::get<TokenPlan>(planned);

  ProgramTries tries(
    aContext, aKeeper, aTurn, plan.promptBound + plan.maxTokens, aSink);
  const WarmPrefix known = KnownPrefixOf(aContext, aTurn.program, chat, warm);
  const ModelCallSpec job = JobOf(aContext, aTurn, chat, messages, known, plan);
  Result<ModelResponse> ran = aModels.Run(job, tries);
  const CallStarted& started = tries.Started();
  if (!IsOk(ran)) {
    if (tries.Moved()) {
      return false;
    }
    const Refusal& refusal = std::get<Refusal>(ran);
    if (refusal.ran == RanState::kNo) {
      aKeeper.Begin(
        started.program,
        CallVoided{ started.program, started.call, started.attempt });
    }
    aSink.Refuse(refusal);
    return true;
  }

  const ModelResponse& answer = std::get<ModelResponse>(ran);
  const TimePoint answered = Now();
  const PersistOutcome outcome = aKeeper.Persist(
    started.program, FinishOf(aTurn, chat, started, answer), true);
  ObserveCallPart(aContext.metrics, "finish_record", answered);
  if (!outcome.Lasting()) {
    aSink.Refuse(FinishRefusal(outcome));
    return true;
  }
  tries.SendHead();
  aSink.End(answer.end);
  return true;
}

void
RunModelAlone(const DaemonContext& aContext,
              ModelRunner& aModels,
              const CallRequest& aRequest,
              CallSink& aSink)
{
  Result<ChatRequest> parsed = ParseForFleet(aContext, aRequest.body);
  if (!IsOk(parsed)) {
    aSink.Refuse(std::get<Refusal>(parsed));
    return;
  }
  const ChatRequest& chat = std::get<ChatRequest>(parsed);
  const int64_t maxTokens =
    chat.maxTokens.value_or(aContext.settings.defaultMaxTokens);
  CallerTries tries(aContext, aRequest, aSink, {});
  ModelCallSpec job;
  job.dispatch = DispatchOf(aContext, aRequest);
  job.dispatch.program = aRequest.requestId;
  job.dispatch.promptTokens = TokenBound(chat.messages);
  job.dispatch.maxTokens = maxTokens;
  job.model = chat.model;
  job.engineBody = EngineBody(chat, chat.messages, maxTokens);
  job.requestId = aRequest.requestId;
  Result<ModelResponse> ran = aModels.Run(job, tries);
  if (!IsOk(ran)) {
    aSink.Refuse(std::get<Refusal>(ran));
    return;
  }
  tries.SendHead();
  aSink.End(std::get<ModelResponse>(ran).end);
}

} // namespace tanagerseam
