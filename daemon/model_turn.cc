#include "daemon/model_turn.h"

#include <algorithm>

namespace tanagerseam {

namespace {

using Json = nlohmann::json;

// Upper bounds of the tokens of a call, before the engine has counted them.
struct TokenReservation
{
  int64_t promptBound = 0;
  int64_t maxTokens = 0;
};

// The cached prefix of the program; before its first turn of this model, the
// prefix shared with its parent.
WarmPrefix
FindCachedPrefix(const DaemonContext& aContext,
                 const ProgramState& aProgram,
                 const ChatRequest& aChat,
                 const WarmPrefix& aOwnPrefix)
{
  if (!aOwnPrefix.endpoint.empty() || aProgram.parent.empty()) {
    return aOwnPrefix;
  }
  const auto parent = aContext.journal.ProgramView(aProgram.parent);
  return parent ? InheritedPrefixOf(*parent, aChat.model, aChat.messages)
                : aOwnPrefix;
}

Result<ChatRequest>
ParseChatOfKnownModel(const DaemonContext& aContext, const std::string& aBody)
{
  Result<ChatRequest> parsed = ParseChat(aBody);
  if (!IsOk(parsed)) {
    return parsed;
  }
  const std::string& model = std::get<ChatRequest>(parsed).model;
  if (!aContext.journal.Config()->desired.HasModel(model)) {
    return MakeRefusal(RefusalReason::kModelUnknown, "unknown model " + model);
  }
  return parsed;
}

// The default of maxTokens is reduced to fit the remaining budget; a value set
// by the caller is not.
Result<TokenReservation>
ComputeReservation(const DaemonContext& aContext,
                   const ProgramState& aProgram,
                   const ChatRequest& aChat,
                   const Json& aMessages,
                   const WarmPrefix& aWarm)
{
  TokenReservation reservation;
  reservation.promptBound =
    aWarm.tokens > 0
      ? aWarm.tokens + aWarm.otherTurnsTokenBound + TokenBound(aChat.messages)
      : TokenBound(aMessages);
  const int64_t left = aProgram.RemainingTokens() - reservation.promptBound;
  reservation.maxTokens = aChat.maxTokens.value_or(
    std::min(aContext.settings.defaultMaxTokens, left));
  if (reservation.maxTokens >= 1 && reservation.maxTokens <= left) {
    return reservation;
  }
  const int64_t needed =
    reservation.promptBound + std::max<int64_t>(1, reservation.maxTokens);
  return MakeRefusal(RefusalReason::kBudgetExhausted,
                     "the call needs up to " + std::to_string(needed) +
                       " tokens, but the remaining budget is " +
                       std::to_string(aProgram.RemainingTokens()) + " tokens");
}

DispatchRequest
MakeDispatchRequest(const DaemonContext& aContext, const CallRequest& aRequest)
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

// Streams text to the caller; ends the call if the caller disconnects or its
// API key is withdrawn.
class CallHooks : public ModelCallHooks
{
public:
  CallHooks(const DaemonContext& aContext,
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
                         "the caller disconnected");
    }
    return this->CheckCallerKey();
  }

  void SendHead()
  {
    if (!this->headSent) {
      this->headSent = true;
      this->sink.Head(200, kJsonType, this->headers);
    }
  }

protected:
  std::optional<Refusal> CheckCallerKey() const
  {
    return CheckApiKey(
      this->context, this->request.keyDigest, this->request.organisation);
  }

private:
  const DaemonContext& context;
  const CallRequest& request;
  CallSink& sink;
  const std::vector<std::string> headers;
  bool headSent = false;
};

// Also records each attempt, and continues after the caller disconnects.
class ProgramCallHooks : public CallHooks
{
public:
  ProgramCallHooks(const DaemonContext& aContext,
                   RecordPersister& aPersister,
                   const TurnContext& aTurn,
                   int64_t aReservedTokens,
                   CallSink& aSink)
    : CallHooks(aContext,
                aTurn.request,
                aSink,
                CallHeaders(aTurn.program.id, aTurn.program.NextCall()))
    , persister(aPersister)
    , started(MakeCallStarted(aTurn))
  {
    this->started.reservedTokens = aReservedTokens;
  }

  // If the previous attempt certainly did not run, its attempt number and start
  // record are used again.
  void PrepareAttempt(int aAttempt, bool aMayHaveRun) override
  {
    if (aAttempt > 1 && !aMayHaveRun) {
      return;
    }
    this->started.attempt += aAttempt > 1 ? 1 : 0;
    this->submittedStart =
      this->persister.Submit(this->started.program, this->started);
    this->startDurable = false;
  }

  std::optional<Refusal> BeforeSend() override
  {
    if (auto refusal = this->ShouldStop()) {
      return refusal;
    }
    if (this->startDurable) {
      return std::nullopt;
    }
    const PersistOutcome outcome =
      this->persister.AwaitDurable(this->submittedStart, true);
    this->startDurable = outcome.IsDurable();
    if (this->startDurable) {
      return std::nullopt;
    }
    this->ownerChanged = outcome.verdict == Verdict::kWrongEpoch;
    return RefusalForStart(outcome);
  }

  bool OnText(std::string_view aText) override
  {
    CallHooks::OnText(aText);
    return true;
  }

  std::optional<Refusal> ShouldStop() override
  {
    return this->CheckCallerKey();
  }

  // Whether the slot got another owner before the call was sent.
  bool OwnerChanged() const { return this->ownerChanged; }
  const CallStarted& Started() const { return this->started; }

private:
  RecordPersister& persister;
  CallStarted started;
  SubmittedRecord submittedStart;
  bool startDurable = false;
  bool ownerChanged = false;
};

ModelCallSpec
MakeModelCallSpec(const DaemonContext& aContext,
                  const TurnContext& aTurn,
                  const ChatRequest& aChat,
                  const Json& aMessages,
                  const WarmPrefix& aWarm,
                  const TokenReservation& aReservation)
{
  ModelCallSpec spec;
  spec.dispatch = MakeDispatchRequest(aContext, aTurn.request);
  spec.dispatch.urgency =
    ParseUrgency(aTurn.program.urgency).value_or(Urgency::kNormal);
  spec.dispatch.promptTokens = aReservation.promptBound;
  spec.dispatch.maxTokens = aReservation.maxTokens;
  spec.dispatch.programServedTokens = aTurn.program.spentTokens;
  spec.dispatch.warmEndpoint = aWarm.endpoint;
  spec.dispatch.warmTokens = std::min(aWarm.tokens, aReservation.promptBound);
  spec.warm = aWarm;
  spec.model = aChat.model;
  spec.engineBody = EngineBody(aChat, aMessages, aReservation.maxTokens);
  spec.requestId = aTurn.request.requestId;
  spec.program = aTurn.program.id;
  spec.fencing = aTurn.epoch;
  return spec;
}

CallFinished
MakeCallFinished(const TurnContext& aTurn,
                 const ChatRequest& aChat,
                 const CallStarted& aStarted,
                 const ModelResponse& aResponse)
{
  CallFinished finished = MakeCallFinished(aTurn, aStarted.attempt);
  finished.kind = kModelKind;
  finished.request = aChat.messages.dump();
  finished.message =
    Json{ { "role", "assistant" }, { "content", aResponse.text } }.dump(
      -1, ' ', false, Json::error_handler_t::replace);
  finished.answer = EncodeCompletionInfo(aResponse.end);
  // Capped, so that an engine that reports more tokens than were reserved
  // cannot exceed the budget.
  finished.usedTokens =
    std::min(aResponse.end.promptTokens + aResponse.end.completionTokens,
             aStarted.reservedTokens);
  finished.endpoint = aResponse.endpoint;
  return finished;
}

} // namespace

bool
RunModelTurn(const DaemonContext& aContext,
             RecordPersister& aPersister,
             ModelRunner& aModels,
             const TurnContext& aTurn,
             CallSink& aSink)
{
  Result<ChatRequest> parsed =
    ParseChatOfKnownModel(aContext, aTurn.request.body);
  if (!IsOk(parsed)) {
    aSink.Refuse(std::get<Refusal>(parsed));
    return true;
  }
  const ChatRequest& chat = std::get<ChatRequest>(parsed);
  const WarmPrefix warm = WarmPrefixOf(aTurn.program, chat.model);
  const Json messages = WithHistory(aTurn.program, chat.messages);
  Result<TokenReservation> computed =
    ComputeReservation(aContext, aTurn.program, chat, messages, warm);
  if (!IsOk(computed)) {
    aSink.Refuse(std::get<Refusal>(computed));
    return true;
  }
  const TokenReservation& reservation = std::get<TokenReservation>(computed);

  ProgramCallHooks hooks(aContext,
                         aPersister,
                         aTurn,
                         reservation.promptBound + reservation.maxTokens,
                         aSink);
  const WarmPrefix cachedPrefix =
    FindCachedPrefix(aContext, aTurn.program, chat, warm);
  const ModelCallSpec spec = MakeModelCallSpec(
    aContext, aTurn, chat, messages, cachedPrefix, reservation);
  Result<ModelResponse> result = aModels.Run(spec, hooks);
  const CallStarted& started = hooks.Started();
  if (!IsOk(result)) {
    if (hooks.OwnerChanged()) {
      return false;
    }
    const Refusal& refusal = std::get<Refusal>(result);
    if (refusal.ran == RanState::kNo) {
      aPersister.Submit(
        started.program,
        CallVoided{ started.program, started.call, started.attempt });
    }
    aSink.Refuse(refusal);
    return true;
  }

  const ModelResponse& response = std::get<ModelResponse>(result);
  const TimePoint responseTime = Now();
  const PersistOutcome outcome = aPersister.Persist(
    started.program, MakeCallFinished(aTurn, chat, started, response), true);
  ObserveCallPart(aContext.metrics, "finish_record", responseTime);
  if (!outcome.IsDurable()) {
    aSink.Refuse(RefusalForFinish(outcome));
    return true;
  }
  hooks.SendHead();
  aSink.End(response.end);
  return true;
}

void
RunStandaloneModelCall(const DaemonContext& aContext,
                       ModelRunner& aModels,
                       const CallRequest& aRequest,
                       CallSink& aSink)
{
  Result<ChatRequest> parsed = ParseChatOfKnownModel(aContext, aRequest.body);
  if (!IsOk(parsed)) {
    aSink.Refuse(std::get<Refusal>(parsed));
    return;
  }
  const ChatRequest& chat = std::get<ChatRequest>(parsed);
  const int64_t maxTokens =
    chat.maxTokens.value_or(aContext.settings.defaultMaxTokens);
  CallHooks hooks(aContext, aRequest, aSink, {});
  ModelCallSpec spec;
  spec.dispatch = MakeDispatchRequest(aContext, aRequest);
  spec.dispatch.program = aRequest.requestId;
  spec.dispatch.promptTokens = TokenBound(chat.messages);
  spec.dispatch.maxTokens = maxTokens;
  spec.model = chat.model;
  spec.engineBody = EngineBody(chat, chat.messages, maxTokens);
  spec.requestId = aRequest.requestId;
  Result<ModelResponse> result = aModels.Run(spec, hooks);
  if (!IsOk(result)) {
    aSink.Refuse(std::get<Refusal>(result));
    return;
  }
  hooks.SendHead();
  aSink.End(std::get<ModelResponse>(result).end);
}

} // namespace tanagerseam
