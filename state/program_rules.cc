#include "state/program_rules.h"

namespace tanagerseam {

std::string
TurnDigest(const std::string& aPrevious, const CallFinished& aCall)
{
  std::string text = aPrevious + "\n" + std::to_string(aCall.call) + "\n";
  text += std::to_string(aCall.request.size()) + "\n" + aCall.request;
  text += std::to_string(aCall.message.size()) + "\n" + aCall.message;
  text += aCall.answer;
  return Sha256Hex(text);
}

ProgramState
OpenProgram(const ProgramOpened& aBody)
{
  ProgramState program;
  program.id = aBody.program;
  program.organisation = aBody.organisation;
  program.parent = aBody.parent;
  program.urgency = aBody.urgency;
  program.budgetTokens = aBody.budgetTokens;
  program.maxTurns = aBody.maxTurns;
  program.endsAtMillis = aBody.endsAtMillis;
  return program;
}

Verdict
StartCall(ProgramState& aProgram, const CallStarted& aBody)
{
  if (aProgram.ended) {
    return Verdict::kProgramEnded;
  }
  if (aBody.call != aProgram.NextCall()) {
    return Verdict::kOutOfOrder;
  }
  if (aBody.call > aProgram.maxTurns) {
    return Verdict::kTurnLimit;
  }
  if (aProgram.RemainingTokens() < aBody.reservedTokens) {
    return Verdict::kBudgetExhausted;
  }
  OpenCall open = aProgram.open.value_or(OpenCall{});
  if (aProgram.open && aBody.attempt <= open.attempt) {
    return Verdict::kAlreadyStarted;
  }
  aProgram.reservedTokens += aBody.reservedTokens;
  open.call = aBody.call;
  open.attempt = aBody.attempt;
  open.epoch = aBody.epoch;
  open.reservedTokens += aBody.reservedTokens;
  open.lastReservation = aBody.reservedTokens;
  open.repeatable = aBody.repeatable;
  open.requestDigest = aBody.requestDigest;
  aProgram.open = open;
  return Verdict::kAccepted;
}

Verdict
FinishCall(ProgramState& aProgram, const CallFinished& aBody)
{
  const bool matches = aProgram.open && aProgram.open->call == aBody.call &&
                       aProgram.open->attempt == aBody.attempt &&
                       aProgram.HeadDigest() == aBody.previousDigest;
  if (!matches) {
    return Verdict::kOutOfOrder;
  }
  auto turn = std::make_shared<Turn>();
  turn->call = aBody.call;
  turn->kind = aBody.kind;
  turn->request = aBody.request;
  turn->answer = aBody.answer;
  turn->message = aBody.message;
  turn->requestDigest = aProgram.open->requestDigest;
  turn->httpStatus = aBody.httpStatus;
  turn->contentType = aBody.contentType;
  turn->usedTokens = aBody.usedTokens;
  turn->endpoint = aBody.endpoint;
  turn->digest = TurnDigest(aBody.previousDigest, aBody);
  aProgram.turns.push_back(std::move(turn));
  const int64_t unknownOutcomeTokens =
    aProgram.open->reservedTokens - aProgram.open->lastReservation;
  aProgram.reservedTokens -= aProgram.open->reservedTokens;
  aProgram.spentTokens += unknownOutcomeTokens + aBody.usedTokens;
  aProgram.open.reset();
  return Verdict::kAccepted;
}

Verdict
VoidCall(ProgramState& aProgram, const CallVoided& aBody)
{
  if (!aProgram.open || aProgram.open->call != aBody.call ||
      aProgram.open->attempt != aBody.attempt) {
    return Verdict::kNotStarted;
  }
  aProgram.reservedTokens -= aProgram.open->lastReservation;
  aProgram.open->reservedTokens -= aProgram.open->lastReservation;
  aProgram.open->lastReservation = 0;
  return Verdict::kAccepted;
}

} // namespace tanagerseam
