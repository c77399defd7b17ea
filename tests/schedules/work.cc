// Requests of callers and operators, and the engine that executes them.
#include "tests/schedules/world.h"

namespace tanagerseam::schedules {

namespace {

constexpr size_t kKeyCount = 3;
constexpr size_t kMaxReservedTokens = 14;

} // namespace

void
Simulation::RespondNotExecuted(int aAttemptId)
{
  this->notExecutedAttempts.insert(aAttemptId);
  ++this->counts["responded not executed"];
  if (this->executedAttempts.count(aAttemptId) != 0) {
    this->Fail("responded not executed to an attempt that was executed");
  }
}

void
Simulation::SubmitRequest(SimulatedDaemon& aDaemon)
{
  const std::string key = "k" + std::to_string(this->DrawBelow(kKeyCount));
  const int attemptId = ++this->lastAttemptId;
  if (!this->MayAct(aDaemon, "ledger/" + key)) {
    this->RespondNotExecuted(attemptId);
    return;
  }
  const LedgerEntry* entry = aDaemon.state.FindLedgerEntry(key);
  if (entry != nullptr && entry->phase != LedgerPhase::kVoided) {
    // The caller gets the stored answer or "outcome unknown"; nothing is
    // executed.
    return;
  }
  const int slot = aDaemon.state.SlotOf("ledger/" + key);
  const int64_t epoch = aDaemon.state.Slots()[size_t(slot)].epoch;
  const RequestStarted start{ key, "digest", epoch };
  if (this->Chance(10)) {
    aDaemon.staleRecords.emplace_back(start);
    return;
  }
  const RecordId id = this->EnqueueRecord(aDaemon, start);
  this->AppendTrace(aDaemon.host + " starts " + key + " attempt " +
                    std::to_string(attemptId));
  aDaemon.pending[id] = { PendingRecord::Kind::kRequest, key, attemptId };
  if (this->disabledMechanism == DisabledMechanism::kReplayBeforeDispatch) {
    Dispatch dispatch{ aDaemon.index, aDaemon.processNumber, false, key };
    dispatch.attemptId = attemptId;
    dispatch.epoch = epoch;
    this->dispatches.push_back(dispatch);
  }
}

void
Simulation::SubmitCall(SimulatedDaemon& aDaemon)
{
  const bool isChild = this->Chance(40);
  const std::string id = isChild ? "child" : "parent";
  if (!this->MayAct(aDaemon, "program/" + id) ||
      aDaemon.busyPrograms.count(id) != 0) {
    return;
  }
  const int slot = aDaemon.state.SlotOf("program/" + id);
  const int64_t epoch = aDaemon.state.Slots()[size_t(slot)].epoch;
  auto found = aDaemon.state.Programs().find(id);
  if (found == aDaemon.state.Programs().end()) {
    ProgramOpened open;
    open.program = id;
    open.parent = isChild ? "parent" : "";
    open.budgetTokens = isChild ? kChildBudget : kParentBudget;
    open.maxTurns = 100;
    open.epoch = epoch;
    this->EnqueueRecord(aDaemon, open);
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
  call.reservedTokens = int64_t(1 + this->DrawBelow(kMaxReservedTokens));
  aDaemon.busyPrograms.insert(id);
  const RecordId record = this->EnqueueRecord(aDaemon, call);
  aDaemon.pending[record] = { PendingRecord::Kind::kCallStart, id };
}

// Submits records that a slow thread prepared before ownership of the slot
// changed, possibly several times.
void
Simulation::SubmitStaleRecord(SimulatedDaemon& aDaemon)
{
  if (this->Chance(30)) {
    this->ClaimOwnedSlot(aDaemon);
    this->VoidFormerOwnerRequest(aDaemon);
    return;
  }
  if (aDaemon.staleRecords.empty()) {
    return;
  }
  const size_t index = this->DrawBelow(aDaemon.staleRecords.size());
  const RecordBody body = aDaemon.staleRecords[index];
  if (const auto* voided = std::get_if<RequestVoided>(&body)) {
    // While the epoch is unchanged the record would void a later attempt, so it
    // is submitted only once no such attempt can be open.
    const int slot = aDaemon.state.SlotOf("ledger/" + voided->key);
    const LedgerEntry* entry = aDaemon.state.FindLedgerEntry(voided->key);
    const bool open = entry != nullptr && entry->epoch == voided->epoch &&
                      entry->phase != LedgerPhase::kVoided;
    if (open || aDaemon.state.Slots()[size_t(slot)].epoch <= voided->epoch) {
      return;
    }
  }
  aDaemon.staleRecords.erase(aDaemon.staleRecords.begin() + long(index));
  const RecordId id = this->EnqueueRecord(aDaemon, body);
  if (const auto* start = std::get_if<RequestStarted>(&body)) {
    const int attemptId = ++this->lastAttemptId;
    aDaemon.pending[id] = { PendingRecord::Kind::kRequest,
                            start->key,
                            attemptId };
  }
}

// Claims a slot under the epoch of its current owner, as a daemon does that
// wrongly considers the owner expired.
void
Simulation::ClaimOwnedSlot(SimulatedDaemon& aDaemon)
{
  const size_t number = this->DrawBelow(kSlots);
  const Slot& slot = aDaemon.state.Slots()[number];
  if (!slot.owner.empty() && slot.owner != aDaemon.host) {
    this->EnqueueRecord(aDaemon,
                        SlotsClaimed{ { { int(number), slot.epoch } } });
  }
}

// Voids, under the current epoch, a request that a former owner started.
void
Simulation::VoidFormerOwnerRequest(SimulatedDaemon& aDaemon)
{
  const std::string key = "k" + std::to_string(this->DrawBelow(kKeyCount));
  const LedgerEntry* entry = aDaemon.state.FindLedgerEntry(key);
  const int slot = aDaemon.state.SlotOf("ledger/" + key);
  const int64_t epoch = aDaemon.state.Slots()[size_t(slot)].epoch;
  const bool open = entry != nullptr && entry->phase != LedgerPhase::kVoided;
  if (open && entry->epoch != epoch) {
    this->EnqueueRecord(aDaemon, RequestVoided{ key, epoch });
  }
}

void
Simulation::SubmitConfig(SimulatedDaemon& aDaemon)
{
  ConfigApplied config;
  config.base = aDaemon.state.Config().version;
  config.author = std::to_string(++this->lastConfigNumber);
  this->EnqueueRecord(aDaemon, config);
}

void
Simulation::EndProgram(SimulatedDaemon& aDaemon)
{
  const std::string id = this->Chance(70) ? "child" : "parent";
  if (this->MayAct(aDaemon, "program/" + id)) {
    this->EnqueueRecord(aDaemon, ProgramEnded{ id, "asked" });
  }
}

// A caller's deadline passes before its RequestStarted record is replayed.
void
Simulation::CancelPendingRequest(SimulatedDaemon& aDaemon)
{
  for (auto& entry : aDaemon.pending) {
    PendingRecord& pending = entry.second;
    if (pending.kind == PendingRecord::Kind::kRequest && !pending.cancelled) {
      pending.cancelled = true;
      this->RespondNotExecuted(pending.attemptId);
      return;
    }
  }
}

void
Simulation::OnOwnRecordReplayed(SimulatedDaemon& aDaemon,
                                const Record& aRecord,
                                const ApplyOutcome& aOutcome,
                                const PendingRecord& aPending)
{
  const Verdict verdict = aOutcome.verdict;
  if (const auto* request = std::get_if<RequestStarted>(&aRecord.body)) {
    this->OnRequestStarted(aDaemon, *request, verdict, aPending);
  } else if (const auto* start = std::get_if<CallStarted>(&aRecord.body)) {
    this->OnCallStarted(aDaemon, *start, verdict);
  } else if (const auto* finish = std::get_if<CallFinished>(&aRecord.body)) {
    aDaemon.busyPrograms.erase(finish->program);
    if (verdict == Verdict::kAccepted) {
      this->OnCallFinished(*finish, aPending);
    }
  }
}

void
Simulation::OnRequestStarted(SimulatedDaemon& aDaemon,
                             const RequestStarted& aBody,
                             Verdict aVerdict,
                             const PendingRecord& aPending)
{
  if (this->disabledMechanism == DisabledMechanism::kReplayBeforeDispatch) {
    return;
  }
  if (aVerdict != Verdict::kAccepted) {
    this->RespondNotExecuted(aPending.attemptId);
    return;
  }
  Dispatch dispatch{ aDaemon.index, aDaemon.processNumber, false, aBody.key };
  dispatch.attemptId = aPending.attemptId;
  dispatch.epoch = aBody.epoch;
  if (aPending.cancelled || !this->MayAct(aDaemon, "ledger/" + aBody.key)) {
    this->VoidDispatch(aDaemon, dispatch);
    return;
  }
  this->dispatches.push_back(dispatch);
}

void
Simulation::OnCallStarted(SimulatedDaemon& aDaemon,
                          const CallStarted& aBody,
                          Verdict aVerdict)
{
  const bool unreserved =
    this->disabledMechanism == DisabledMechanism::kBudgetReservation &&
    aVerdict == Verdict::kBudgetExhausted;
  if (aVerdict != Verdict::kAccepted && !unreserved) {
    aDaemon.busyPrograms.erase(aBody.program);
    return;
  }
  Dispatch dispatch{
    aDaemon.index, aDaemon.processNumber, true, aBody.program
  };
  dispatch.call = aBody.call;
  dispatch.attempt = aBody.attempt;
  dispatch.reservedTokens = aBody.reservedTokens;
  if (!this->MayAct(aDaemon, "program/" + aBody.program)) {
    this->VoidDispatch(aDaemon, dispatch);
    return;
  }
  const ProgramState& program = *aDaemon.state.Programs().at(aBody.program);
  for (const auto& turn : this->answeredTurns[aBody.program]) {
    const auto index = size_t(turn.first) - 1;
    if (turn.first >= aBody.call || index >= program.turns.size() ||
        program.turns[index]->answer != turn.second) {
      this->Fail(
        "a call is dispatched without all answered turns in its history");
    }
  }
  this->dispatches.push_back(dispatch);
}

void
Simulation::OnCallFinished(const CallFinished& aBody,
                           const PendingRecord& aPending)
{
  ++this->counts["answered turn"];
  auto& turns = this->answeredTurns[aBody.program];
  if (!turns.emplace(aBody.call, aPending.answer).second) {
    this->Fail("a turn was answered more than once");
  }
  this->CheckTurnHistories();
}

// Records that a dispatch was not executed. Must not be used for work that may
// have reached the engine.
void
Simulation::VoidDispatch(SimulatedDaemon& aDaemon, const Dispatch& aDispatch)
{
  if (aDispatch.isCall) {
    aDaemon.busyPrograms.erase(aDispatch.key);
    this->EnqueueRecord(
      aDaemon, CallVoided{ aDispatch.key, aDispatch.call, aDispatch.attempt });
    return;
  }
  const RequestVoided voided{ aDispatch.key, aDispatch.epoch };
  this->EnqueueRecord(aDaemon, voided);
  if (this->Chance(30)) {
    aDaemon.staleRecords.emplace_back(voided);
  }
  this->RespondNotExecuted(aDispatch.attemptId);
}

void
Simulation::RunEngine()
{
  if (this->dispatches.empty()) {
    return;
  }
  const size_t index = this->DrawBelow(this->dispatches.size());
  const Dispatch dispatch = this->dispatches[index];
  this->dispatches.erase(this->dispatches.begin() + long(index));
  if (this->Chance(15)) {
    this->RefuseDispatch(dispatch);
  } else {
    this->Execute(dispatch);
  }
}

// The engine refuses the connection, so the work was certainly not executed.
void
Simulation::RefuseDispatch(const Dispatch& aDispatch)
{
  SimulatedDaemon& daemon = this->daemons[size_t(aDispatch.daemonIndex)];
  if (daemon.Running() && daemon.processNumber == aDispatch.processNumber) {
    this->VoidDispatch(daemon, aDispatch);
  }
}

void
Simulation::Execute(const Dispatch& aDispatch)
{
  int64_t used = 0;
  std::string answer = aDispatch.key + "/" + std::to_string(aDispatch.call);
  if (aDispatch.isCall) {
    used = 1 + int64_t(this->DrawBelow(size_t(aDispatch.reservedTokens)));
    this->usedTokens[aDispatch.key] += used;
    answer += "/" + std::to_string(aDispatch.attempt) + "/" +
              std::to_string(this->randomEngine());
    ++this->counts["call executed"];
    this->CheckBudgets();
  } else {
    this->AppendTrace("engine executes " + aDispatch.key + " attempt " +
                      std::to_string(aDispatch.attemptId));
    this->executedAttempts.insert(aDispatch.attemptId);
    ++this->counts["request executed"];
    if (++this->executions[aDispatch.key] > 1) {
      this->Fail(aDispatch.key + " was executed more than once");
    }
    if (this->notExecutedAttempts.count(aDispatch.attemptId) != 0) {
      this->Fail("executed after the response not executed");
    }
  }
  SimulatedDaemon& daemon = this->daemons[size_t(aDispatch.daemonIndex)];
  if (!daemon.Running() || daemon.processNumber != aDispatch.processNumber) {
    return;
  }
  if (this->Chance(80)) {
    this->ReturnAnswer(daemon, aDispatch, answer, used);
    return;
  }
  // The response is lost, so the outcome stays unknown.
  if (this->disabledMechanism ==
      DisabledMechanism::kUnknownOutcomeAfterDispatch) {
    this->VoidDispatch(daemon, aDispatch);
  }
  daemon.busyPrograms.erase(aDispatch.isCall ? aDispatch.key : "");
}

void
Simulation::ReturnAnswer(SimulatedDaemon& aDaemon,
                         const Dispatch& aDispatch,
                         const std::string& aAnswer,
                         int64_t aUsed)
{
  if (!aDispatch.isCall) {
    this->EnqueueRecord(aDaemon,
                        RequestFinished{ aDispatch.key, 200, "", aAnswer });
    return;
  }
  const ProgramState& program = *aDaemon.state.Programs().at(aDispatch.key);
  CallFinished finish;
  finish.program = aDispatch.key;
  finish.call = aDispatch.call;
  finish.attempt = aDispatch.attempt;
  finish.previousDigest = program.HeadDigest();
  finish.answer = aAnswer;
  finish.usedTokens = aUsed;
  const RecordId id = this->EnqueueRecord(aDaemon, finish);
  PendingRecord pending{ PendingRecord::Kind::kCallFinish, aDispatch.key };
  pending.answer = aAnswer;
  aDaemon.pending[id] = pending;
}

} // namespace tanagerseam::schedules
