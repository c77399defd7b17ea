#include "daemon/turn.h"

namespace tanagerseam {

std::vector<std::string>
CallHeaders(const std::string& aProgram, int64_t aCall)
{
  return { "X-Program", aProgram, "X-Call", std::to_string(aCall) };
}

CallStarted
MakeCallStarted(const TurnContext& aTurn)
{
  CallStarted started;
  started.program = aTurn.program.id;
  started.call = aTurn.program.NextCall();
  started.attempt = aTurn.program.open ? aTurn.program.open->attempt + 1 : 1;
  started.epoch = aTurn.epoch;
  started.requestDigest = aTurn.requestDigest;
  return started;
}

CallFinished
MakeCallFinished(const TurnContext& aTurn, int64_t aAttempt)
{
  CallFinished finished;
  finished.program = aTurn.program.id;
  finished.call = aTurn.program.NextCall();
  finished.attempt = aAttempt;
  finished.previousDigest = aTurn.program.HeadDigest();
  return finished;
}

Refusal
RefusalForVerdict(Verdict aVerdict)
{
  switch (aVerdict) {
    case Verdict::kBudgetExhausted:
      return MakeRefusal(
        RefusalReason::kBudgetExhausted,
        "the program's remaining budget is too small for the call");
    case Verdict::kTurnLimit:
      return MakeRefusal(RefusalReason::kProgramLimit,
                         "the program reached its max_turns limit");
    case Verdict::kProgramEnded:
      return MakeRefusal(RefusalReason::kProgramEnded, "the program has ended");
    case Verdict::kUnknownProgram:
      return MakeRefusal(RefusalReason::kProgramNotFound, "no such program");
    default:
      return MakeRefusal(RefusalReason::kCallSuperseded,
                         "another daemon has taken over the call");
  }
}

Refusal
RefusalForStart(const PersistOutcome& aOutcome)
{
  if (aOutcome.durability == Durability::kRejected) {
    return RefusalForVerdict(aOutcome.verdict);
  }
  return MakeRefusal(RefusalReason::kLogUnavailable,
                     "the start of the call could not be recorded durably");
}

Refusal
RefusalForFinish(const PersistOutcome& aOutcome)
{
  Refusal refusal =
    aOutcome.durability == Durability::kRejected
      ? RefusalForVerdict(aOutcome.verdict)
      : MakeRefusal(
          RefusalReason::kLogUnavailable,
          "the response could not be recorded durably; retry the call with "
          "the same call number");
  refusal.ran = RanState::kUnknown;
  return refusal;
}

} // namespace tanagerseam
