// Requests of callers and operators, and the engine that runs them.
#include "tests/schedules/world.h"

namespace tanagerseam::schedules {

namespace {

constexpr size_t kKeys = 3;
constexpr size_t kMaxReservation = 14;

} // namespace

void
World::AnswerNotRun(int aAttemptId)
{
  this->notRunAttempts.insert(aAttemptId);
  ++this->counts["answered not run"];
  if (this->executedAttempts.count(aAttemptId) != 0) {
    this->Fail("answered not run, but it ran");
  }
}

void
World::SubmitRequest(Replica& aReplica)
{
  const std::string key = "k" + std::to_string(this->Below(kKeys));
  const int attemptId = ++this->lastAttemptId;
  if (!this->MayAct(aReplica, "ledger/" + key)) {
    this->AnswerNotRun(attemptId);
    return;
  }
  const LedgerEntry* entry = aReplica.state.FindLedgerEntry(key);
  if (entry != nullptr && entry->phase != LedgerPhase::kVoided) {
    // The stored answer, or "outcome unknown".
    return;
  }
  const int slot = aReplica.state.SlotOf("ledger/" + key);
  const int64_t epoch = aReplica.state.Slots()[size_t(slot)].epoch;
  const RequestStarted start{ key, "digest", epoch };
  if (this->Chance(10)) {
    aReplica.late.emplace_back(start);
    return;
  }
  const RecordId id = this->Send(aReplica, start);
  this->Note(aReplica.host + " starts " + key + " attempt " +
             std::to_string(attemptId));
  aReplica.pending[id] = { Pending::Kind::kRequest, key, attemptId };
  if (this->omission == Omission::kReplayBeforeDispatch) {
    Dispatch dispatch{ aReplica.index, aReplica.process, false, key };
    dispatch.attemptId = attemptId;
    dispatch.epoch = epoch;
    this->dispatches.push_back(dispatch);
  }
}

void
World::SubmitCall(Replica& aReplica)
{
  const bool isChild = this->Chance(40);
  const std::string id = isChild ? "child" : "parent";
  if (!this->MayAct(aReplica, "program/" + id) ||
      aReplica.callsInWork.count(id) != 0) {
    return;
  }
  const int slot = aReplica.state.SlotOf("program/" + id);
  const int64_t epoch = aReplica.state.Slots()[size_t(slot)].epoch;
  auto found = aReplica.state.Programs().find(id);
  if (found == aReplica.state.Programs().end()) {
    ProgramOpened open;
    open.program = id;
    open.parent = isChild ? "parent" : "";
    open.budgetTokens = isChild ? kChildBudget : kParentBudget;
    open.maxTurns = 100;
    open.epoch = epoch;
    this->Send(aReplica, open);
    return;
  }
  const ProgramState& program = *found->second;
  if (program.ended) {
    return;
  }
  CallStarted call;
  call.program = id;
  call.call = program.NextCall();
  call.attempt = program.open ? program.open->attempt + 1 : 1;
  call.epoch = epoch;
  call.reservedTokens = int64_t(1 + this->Below(kMaxReservation));
  aReplica.callsInWork.insert(id);
  const RecordId record = this->Send(aReplica, call);
  aReplica.pending[record] = { Pending::Kind::kCallStart, id };
}

// What a slow thread decided on before the slot changed hands, perhaps more
// than once.
void
World::SubmitLate(Replica& aReplica)
{
  if (this->Chance(30)) {
    this->ClaimOwnedSlot(aReplica);
    this->VoidOfFormerOwner(aReplica);
    return;
  }
  if (aReplica.late.empty()) {
    return;
  }
  const size_t index = this->Below(aReplica.late.size());
  const RecordBody body = aReplica.late[index];
  if (const auto* voided = std::get_if<RequestVoided>(&body)) {
    // Under the same epoch it would speak of a later attempt, so it comes only
    // once no such attempt can be open.
    const int slot = aReplica.state.SlotOf("ledger/" + voided->key);
    const LedgerEntry* entry = aReplica.state.FindLedgerEntry(voided->key);
    const bool open = entry != nullptr && entry->epoch == voided->epoch &&
                      entry->phase != LedgerPhase::kVoided;
    if (open || aReplica.state.Slots()[size_t(slot)].epoch <= voided->epoch) {
      return;
    }
  }
  aReplica.late.erase(aReplica.late.begin() + long(index));
  const RecordId id = this->Send(aReplica, body);
  if (const auto* start = std::get_if<RequestStarted>(&body)) {
    const int attemptId = ++this->lastAttemptId;
    aReplica.pending[id] = { Pending::Kind::kRequest, start->key, attemptId };
  }
}

// A claim with the epoch of an owner that the claimer takes for gone.
void
World::ClaimOwnedSlot(Replica& aReplica)
{
  const size_t number = this->Below(kSlots);
  const Slot& slot = aReplica.state.Slots()[number];
  if (!slot.owner.empty() && slot.owner != aReplica.host) {
    this->Send(aReplica, SlotsClaimed{ { { int(number), slot.epoch } } });
  }
}

// A void, under the present epoch, of what a former owner started.
void
World::VoidOfFormerOwner(Replica& aReplica)
{
  const std::string key = "k" + std::to_string(this->Below(kKeys));
  const LedgerEntry* entry = aReplica.state.FindLedgerEntry(key);
  const int slot = aReplica.state.SlotOf("ledger/" + key);
  const int64_t epoch = aReplica.state.Slots()[size_t(slot)].epoch;
  const bool open = entry != nullptr && entry->phase != LedgerPhase::kVoided;
  if (open && entry->epoch != epoch) {
    this->Send(aReplica, RequestVoided{ key, epoch });
  }
}

void
World::SubmitConfig(Replica& aReplica)
{
  ConfigApplied config;
  config.base = aReplica.state.Config().version;
  config.author = std::to_string(++this->lastConfig);
  this->Send(aReplica, config);
}

void
World::EndProgram(Replica& aReplica)
{
  const std::string id = this->Chance(70) ? "child" : "parent";
  if (this->MayAct(aReplica, "program/" + id)) {
    this->Send(aReplica, ProgramEnded{ id, "asked" });
  }
}

// A caller's deadline passes before the intent is seen in the replay.
void
World::CancelPending(Replica& aReplica)
{
  for (auto& entry : aReplica.pending) {
    Pending& pending = entry.second;
    if (pending.kind == Pending::Kind::kRequest && !pending.cancelled) {
      pending.cancelled = true;
      this->AnswerNotRun(pending.attemptId);
      return;
    }
  }
}

void
World::OnOwnRecord(Replica& aReplica,
                   const Record& aRecord,
                   const ApplyOutcome& aOutcome,
                   const Pending& aPending)
{
  const Verdict verdict = aOutcome.verdict;
  if (const auto* request = std::get_if<RequestStarted>(&aRecord.body)) {
    this->OnRequestStarted(aReplica, *request, verdict, aPending);
  } else if (const auto* start = std::get_if<CallStarted>(&aRecord.body)) {
    this->OnCallStarted(aReplica, *start, verdict);
  } else if (const auto* finish = std::get_if<CallFinished>(&aRecord.body)) {
    aReplica.callsInWork.erase(finish->program);
    if (verdict == Verdict::kAccepted) {
      this->OnCallFinished(*finish, aPending);
    }
  }
}

void
World::OnRequestStarted(Replica& aReplica,
                        const RequestStarted& aBody,
                        Verdict aVerdict,
                        const Pending& aPending)
{
  if (this->omission == Omission::kReplayBeforeDispatch) {
    return;
  }
  if (aVerdict != Verdict::kAccepted) {
    this->AnswerNotRun(aPending.attemptId);
    return;
  }
  Dispatch dispatch{ aReplica.index, aReplica.process, false, aBody.key };
  dispatch.attemptId = aPending.attemptId;
  dispatch.epoch = aBody.epoch;
  if (aPending.cancelled || !this->MayAct(aReplica, "ledger/" + aBody.key)) {
    this->VoidDispatch(aReplica, dispatch);
    return;
  }
  this->dispatches.push_back(dispatch);
}

void
World::OnCallStarted(Replica& aReplica,
                     const CallStarted& aBody,
                     Verdict aVerdict)
{
  const bool unreserved = this->omission == Omission::kReservationOfBudget &&
                          aVerdict == Verdict::kBudgetExhausted;
  if (aVerdict != Verdict::kAccepted && !unreserved) {
    aReplica.callsInWork.erase(aBody.program);
    return;
  }
  Dispatch dispatch{ aReplica.index, aReplica.process, true, aBody.program };
  dispatch.call = aBody.call;
  dispatch.attempt = aBody.attempt;
  dispatch.reserved = aBody.reservedTokens;
  if (!this->MayAct(aReplica, "program/" + aBody.program)) {
    this->VoidDispatch(aReplica, dispatch);
    return;
  }
  const ProgramState& program = *aReplica.state.Programs().at(aBody.program);
  for (const auto& turn : this->answered[aBody.program]) {
    const auto index = size_t(turn.first) - 1;
    if (turn.first >= aBody.call || index >= program.turns.size() ||
        program.turns[index]->answer != turn.second) {
      this->Fail("a call is dispatched without all answered turns");
    }
  }
  this->dispatches.push_back(dispatch);
}

void
World::OnCallFinished(const CallFinished& aBody, const Pending& aPending)
{
  ++this->counts["answered turn"];
  auto& turns = this->answered[aBody.program];
  if (!turns.emplace(aBody.call, aPending.answer).second) {
    this->Fail("a turn was answered twice");
  }
  this->JudgeHistories();
}

// It certainly did not run: never for work that reached the engine.
void
World::VoidDispatch(Replica& aReplica, const Dispatch& aDispatch)
{
  if (aDispatch.isCall) {
    aReplica.callsInWork.erase(aDispatch.key);
    this->Send(aReplica,
               CallVoided{ aDispatch.key, aDispatch.call, aDispatch.attempt });
    return;
  }
  const RequestVoided voided{ aDispatch.key, aDispatch.epoch };
  this->Send(aReplica, voided);
  if (this->Chance(30)) {
    aReplica.late.emplace_back(voided);
  }
  this->AnswerNotRun(aDispatch.attemptId);
}

void
World::RunEngine()
{
  if (this->dispatches.empty()) {
    return;
  }
  const size_t index = this->Below(this->dispatches.size());
  const Dispatch dispatch = this->dispatches[index];
  this->dispatches.erase(this->dispatches.begin() + long(index));
  if (this->Chance(15)) {
    this->RefuseAtEngine(dispatch);
  } else {
    this->Execute(dispatch);
  }
}

// The connection was refused: the daemon knows that it did not run.
void
World::RefuseAtEngine(const Dispatch& aDispatch)
{
  Replica& replica = this->replicas[size_t(aDispatch.daemon)];
  if (replica.Running() && replica.process == aDispatch.process) {
    this->VoidDispatch(replica, aDispatch);
  }
}

void
World::Execute(const Dispatch& aDispatch)
{
  int64_t used = 0;
  std::string answer = aDispatch.key + "/" + std::to_string(aDispatch.call);
  if (aDispatch.isCall) {
    used = 1 + int64_t(this->Below(size_t(aDispatch.reserved)));
    this->usedTokens[aDispatch.key] += used;
    answer += "/" + std::to_string(aDispatch.attempt) + "/" +
              std::to_string(this->random());
    ++this->counts["call executed"];
    this->JudgeBudgets();
  } else {
    this->Note("the engine runs " + aDispatch.key + " attempt " +
               std::to_string(aDispatch.attemptId));
    this->executedAttempts.insert(aDispatch.attemptId);
    ++this->counts["request executed"];
    if (++this->executions[aDispatch.key] > 1) {
      this->Fail(aDispatch.key + " ran twice");
    }
    if (this->notRunAttempts.count(aDispatch.attemptId) != 0) {
      this->Fail("ran after the answer not run");
    }
  }
  Replica& replica = this->replicas[size_t(aDispatch.daemon)];
  if (!replica.Running() || replica.process != aDispatch.process) {
    return;
  }
  if (this->Chance(80)) {
    this->ReturnAnswer(replica, aDispatch, answer, used);
    return;
  }
  // The answer is lost: what happened is unknown from here on.
  if (this->omission == Omission::kDoubtAfterDispatch) {
    this->VoidDispatch(replica, aDispatch);
  }
  replica.callsInWork.erase(aDispatch.isCall ? aDispatch.key : "");
}

void
World::ReturnAnswer(Replica& aReplica,
                    const Dispatch& aDispatch,
                    const std::string& aAnswer,
                    int64_t aUsed)
{
  if (!aDispatch.isCall) {
    this->Send(aReplica, RequestFinished{ aDispatch.key, 200, "", aAnswer });
    return;
  }
  const ProgramState& program = *aReplica.state.Programs().at(aDispatch.key);
  CallFinished finish;
  finish.program = aDispatch.key;
  finish.call = aDispatch.call;
  finish.attempt = aDispatch.attempt;
  finish.previousDigest = program.HeadDigest();
  finish.answer = aAnswer;
  finish.usedTokens = aUsed;
  const RecordId id = this->Send(aReplica, finish);
  Pending pending{ Pending::Kind::kCallFinish, aDispatch.key };
  pending.answer = aAnswer;
  aReplica.pending[id] = pending;
}

} // namespace tanagerseam::schedules
