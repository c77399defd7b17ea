#include "daemon/service_turn.h"

namespace tanagerseam {

namespace {

// The request with an idempotency key: without one of the caller's, the same
// call of a program is the same request, whoever repeats it.
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
IsUnknown(const Result<ServiceResponse>& aRan)
{
  const auto* refusal = std::get_if<Refusal>(&aRan);
  return refusal != nullptr &&
         refusal->reason == RefusalReason::kOutcomeUnknown;
}

CallFinished
FinishOf(const TurnContext& aTurn,
         int64_t aAttempt,
         const Result<ServiceResponse>& aRan)
{
  CallFinished finished = FinishOf(aTurn, aAttempt);
  if (IsUnknown(aRan)) {
    finished.kind = kUnknownKind;
    finished.httpStatus = RowOf(RefusalReason::kOutcomeUnknown).httpStatus;
    finished.answer = std::get<Refusal>(aRan).detail;
    return finished;
  }
  finished.kind = kServiceKind;
  finished.httpStatus = std::get<ServiceResponse>(aRan).httpStatus;
  finished.contentType = std::get<ServiceResponse>(aRan).contentType;
  finished.answer = std::get<ServiceResponse>(aRan).body;
  return finished;
}

} // namespace

bool
RunServiceTurn(RecordKeeper& aKeeper,
               const RunService& aRunService,
               const TurnContext& aTurn,
               CallSink& aSink)
{
  CallStarted started = StartOf(aTurn);
  started.repeatable = false;
  const PersistOutcome begun = aKeeper.Persist(started.program, started, true);
  if (begun.verdict == Verdict::kWrongEpoch) {
    return false;
  }
  if (!begun.Lasting()) {
    aSink.Refuse(StartRefusal(begun));
    return true;
  }
  const Result<ServiceResponse> ran = aRunService(WithIdempotencyKey(aTurn));
  if (!IsOk(ran) && !IsUnknown(ran)) {
    aKeeper.Begin(started.program,
                  CallVoided{ started.program, started.call, started.attempt });
    aSink.Refuse(std::get<Refusal>(ran));
    return true;
  }
  const PersistOutcome outcome = aKeeper.Persist(
    started.program, FinishOf(aTurn, started.attempt, ran), true);
  if (IsUnknown(ran)) {
    aSink.Refuse(std::get<Refusal>(ran));
    return true;
  }
  if (!outcome.Lasting()) {
    aSink.Refuse(FinishRefusal(outcome));
    return true;
  }
  const ServiceResponse& answer = std::get<ServiceResponse>(ran);
  aSink.Head(answer.httpStatus,
             answer.contentType,
             CallHeaders(started.program, started.call));
  aSink.Chunk(answer.body);
  aSink.End(CallEnd{});
  return true;
}

} // namespace tanagerseam
