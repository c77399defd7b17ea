#include "daemon/service_turn.h"

namespace tanagerseam {

namespace {

// The request with an idempotency key. If the caller set none, the key is
// derived from the program and the call number, so that all retries of a call
// share it.
CallRequest
WithIdempotencyKey(const TurnContext& aTurn)
{
  CallRequest request = aTurn.request;
  if (request.idempotencyKey.empty()) {
    request.idempotencyKey = "call/" + aTurn.program.id + "/" +
                             std::to_string(aTurn.program.NextCall());
  }
  return request;
}

bool
IsOutcomeUnknown(const Result<ServiceResponse>& aResult)
{
  const auto* refusal = std::get_if<Refusal>(&aResult);
  return refusal != nullptr &&
         refusal->reason == RefusalReason::kOutcomeUnknown;
}

CallFinished
MakeCallFinished(const TurnContext& aTurn,
                 int64_t aAttempt,
                 const Result<ServiceResponse>& aResult)
{
  CallFinished finished = MakeCallFinished(aTurn, aAttempt);
  if (IsOutcomeUnknown(aResult)) {
    finished.kind = kUnknownOutcomeKind;
    finished.httpStatus = RowOf(RefusalReason::kOutcomeUnknown).httpStatus;
    finished.answer = std::get<Refusal>(aResult).detail;
    return finished;
  }
  finished.kind = kServiceKind;
  finished.httpStatus = std::get<ServiceResponse>(aResult).httpStatus;
  finished.contentType = std::get<ServiceResponse>(aResult).contentType;
  finished.answer = std::get<ServiceResponse>(aResult).body;
  return finished;
}

} // namespace

bool
RunServiceTurn(RecordPersister& aPersister,
               const ServiceCallFunction& aCallService,
               const TurnContext& aTurn,
               CallSink& aSink)
{
  CallStarted started = MakeCallStarted(aTurn);
  started.repeatable = false;
  const PersistOutcome startOutcome =
    aPersister.Persist(started.program, started, true);
  if (startOutcome.verdict == Verdict::kWrongEpoch) {
    return false;
  }
  if (!startOutcome.IsDurable()) {
    aSink.Refuse(RefusalForStart(startOutcome));
    return true;
  }
  const Result<ServiceResponse> result =
    aCallService(WithIdempotencyKey(aTurn));
  if (!IsOk(result) && !IsOutcomeUnknown(result)) {
    aPersister.Submit(
      started.program,
      CallVoided{ started.program, started.call, started.attempt });
    aSink.Refuse(std::get<Refusal>(result));
    return true;
  }
  const PersistOutcome finishOutcome = aPersister.Persist(
    started.program, MakeCallFinished(aTurn, started.attempt, result), true);
  if (IsOutcomeUnknown(result)) {
    aSink.Refuse(std::get<Refusal>(result));
    return true;
  }
  if (!finishOutcome.IsDurable()) {
    aSink.Refuse(RefusalForFinish(finishOutcome));
    return true;
  }
  const ServiceResponse& response = std::get<ServiceResponse>(result);
  aSink.Head(response.httpStatus,
             response.contentType,
             CallHeaders(started.program, started.call));
  aSink.Chunk(response.body);
  aSink.End(CompletionInfo{});
  return true;
}

} // namespace tanagerseam
