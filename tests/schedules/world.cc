// The schedule, the simulated log and the invariant checks.
#include "tests/schedules/world.h"

namespace tanagerseam::schedules {

namespace {

constexpr int64_t kMaxLongStepMillis = 3000;
constexpr int64_t kMaxShortStepMillis = 120;
constexpr int64_t kMaxAppendDelayMillis = 6000;
// Ratio of two clock rates: at most 1100 / 900, which is below the bound of
// 1 + margin / lease = 1 + 500 / 2000.
constexpr int kMinClockRatePermille = 900;
constexpr int kClockRateSpreadPermille = 201;

} // namespace

Simulation::Simulation(uint64_t aSeed,
                       DisabledMechanism aDisabledMechanism,
                       bool aTrace)
  : randomEngine(aSeed)
  , rateRandomEngine(aSeed)
  , disabledMechanism(aDisabledMechanism)
  , traceOn(aTrace)
{
  // Short enough to pass within a schedule.
  this->settings.maxOutage = Millis(15000);
  if (aDisabledMechanism == DisabledMechanism::kExpiryMargin) {
    this->settings.margin = Millis(0);
  }
  const auto count =
    int(kMinDaemons + this->DrawBelow(kMaxDaemons - kMinDaemons + 1));
  this->daemons.resize(size_t(count));
  for (int i = 0; i < count; ++i) {
    SimulatedDaemon& daemon = this->daemons[size_t(i)];
    daemon.index = i;
    daemon.host = std::string(1, char('a' + i));
    daemon.clockRatePermille =
      kMinClockRatePermille + int(this->DrawBelow(kClockRateSpreadPermille));
    if (this->Chance(80)) {
      this->Start(daemon);
    }
  }
}

void
Simulation::AppendTrace(const std::string& aText)
{
  if (this->traceOn) {
    this->trace.push_back(std::to_string(this->nowMillis) + " " + aText);
  }
}

void
Simulation::Fail(const std::string& aText)
{
  this->AppendTrace("FAILED " + aText);
  if (this->failure.empty()) {
    this->failure = aText;
  }
}

std::string
Simulation::Run(int aSteps)
{
  for (int i = 0; i < aSteps && this->failure.empty(); ++i) {
    this->Step();
    this->CheckSlotOwnership();
  }
  this->CheckBudgets();
  this->CheckTurnHistories();
  this->CheckSnapshot();
  return this->failure;
}

void
Simulation::Step()
{
  this->MaybeRequestTokens();
  SimulatedDaemon& daemon =
    this->daemons[this->DrawBelow(this->daemons.size())];
  const size_t kind = this->DrawBelow(100);
  if (kind < 35) {
    this->AdvanceTime();
  } else if (kind < 45) {
    this->RunCycle(daemon);
  } else if (kind < 75) {
    this->SubmitWork(daemon);
  } else if (kind < 93) {
    this->RunEngine();
  } else {
    this->InjectFault(daemon);
  }
}

void
Simulation::AdvanceTime()
{
  const bool isLong = this->Chance(4);
  const int64_t bound = isLong ? kMaxLongStepMillis : kMaxShortStepMillis;
  this->nowMillis += 1 + int64_t(this->DrawBelow(size_t(bound)));
  this->CheckSlotOwnership();
  this->ApplyDelayedAppends();
  for (SimulatedDaemon& daemon : this->daemons) {
    if (this->Chance(85)) {
      this->RunCycle(daemon);
    }
  }
}

void
Simulation::InjectFault(SimulatedDaemon& aDaemon)
{
  switch (this->DrawBelow(9)) {
    case 0:
      aDaemon.paused = !aDaemon.paused;
      this->AppendTrace(aDaemon.host +
                        (aDaemon.paused ? " paused" : " resumed"));
      break;
    case 1:
      if (aDaemon.alive) {
        this->AppendTrace(aDaemon.host + " killed");
        this->Kill(aDaemon);
      }
      break;
    case 2:
      if (!aDaemon.alive) {
        this->Start(aDaemon);
      }
      break;
    case 3:
      aDaemon.reachesLog = !aDaemon.reachesLog || this->Chance(30);
      this->AppendTrace(aDaemon.host +
                        (aDaemon.reachesLog ? " reaches" : " lost") +
                        " the log");
      break;
    case 4:
      this->logAvailable = !this->logAvailable || this->Chance(50);
      this->AppendTrace(this->logAvailable ? "log up" : "log down");
      break;
    case 5:
      aDaemon.logReadsHang = !aDaemon.logReadsHang && this->Chance(70);
      this->AppendTrace(aDaemon.host + (aDaemon.logReadsHang
                                          ? " log reads hang"
                                          : " log reads work"));
      break;
    case 6:
      this->TakeSnapshot();
      break;
    case 7:
      if (this->Chance(20)) {
        this->Leave(aDaemon);
      }
      break;
    default:
      aDaemon.reachesPeers = !aDaemon.reachesPeers || this->Chance(50);
      break;
  }
}

// What was on its way to the log may still land.
void
Simulation::Kill(SimulatedDaemon& aDaemon)
{
  aDaemon.alive = false;
  if (aDaemon.batch.empty()) {
    aDaemon.batch.assign(aDaemon.appendQueue.begin(),
                         aDaemon.appendQueue.end());
  }
  if (!aDaemon.batch.empty() && this->Chance(50)) {
    const auto delay = int64_t(this->DrawBelow(kMaxAppendDelayMillis));
    this->delayedAppends.push_back({ this->nowMillis + delay, aDaemon.batch });
  }
  if (this->Chance(40)) {
    this->Start(aDaemon);
  }
}

void
Simulation::SubmitWork(SimulatedDaemon& aDaemon)
{
  if (!aDaemon.Running()) {
    return;
  }
  switch (this->DrawBelow(8)) {
    case 0:
    case 1:
    case 2:
      this->SubmitRequest(aDaemon);
      break;
    case 3:
    case 4:
    case 5:
      this->SubmitCall(aDaemon);
      break;
    case 6:
      this->SubmitConfig(aDaemon);
      break;
    default:
      if (this->Chance(40)) {
        this->SubmitStaleRecord(aDaemon);
      } else if (this->Chance(50)) {
        this->CancelPendingRequest(aDaemon);
      } else if (this->Chance(30)) {
        this->EndProgram(aDaemon);
      }
      break;
  }
}

void
Simulation::AppendToLog(const std::vector<Record>& aBatch)
{
  for (const Record& record : aBatch) {
    this->Apply(record);
  }
  this->CheckBudgets();
}

void
Simulation::Apply(const Record& aRecord)
{
  const auto offset = int64_t(this->log.size());
  const std::vector<Slot> before = this->referenceState.Slots();
  const auto* voided = std::get_if<RequestVoided>(&aRecord.body);
  const LedgerEntry* entry =
    voided == nullptr ? nullptr
                      : this->referenceState.FindLedgerEntry(voided->key);
  const bool startedByOther = entry != nullptr && entry->epoch != voided->epoch;
  const ApplyOutcome outcome = this->referenceState.Apply(offset, aRecord);
  this->log.push_back(aRecord);
  this->verdicts.push_back(outcome.verdict);
  ++this->counts[RecordTypeName(aRecord.body) + " " +
                 std::string(VerdictName(outcome.verdict))];
  if (this->traceOn) {
    this->AppendTrace("log " + std::to_string(offset) + " " +
                      EncodeRecord(aRecord) + " " +
                      std::string(VerdictName(outcome.verdict)));
  }
  if (this->restoredState &&
      this->restoredState->Apply(offset, aRecord).verdict != outcome.verdict) {
    this->Fail("state restored from a snapshot returns a different verdict");
  }
  if (outcome.verdict != Verdict::kAccepted) {
    return;
  }
  this->CheckAcceptedRecord(aRecord, before);
  if (startedByOther) {
    this->Fail(
      "a request was voided under an epoch other than the one that started it");
  }
}

// Checks accepted records against rules that follow from the log alone,
// independently of how ClusterState implements them.
void
Simulation::CheckAcceptedRecord(const Record& aRecord,
                                const std::vector<Slot>& aBefore)
{
  if (const auto* config = std::get_if<ConfigApplied>(&aRecord.body)) {
    if (!this->acceptedConfigs.emplace(config->base, config->author).second) {
      this->Fail("two configurations were accepted for one base version");
    }
  }
  if (const auto* request = std::get_if<RequestStarted>(&aRecord.body)) {
    const int slot = this->referenceState.SlotOf("ledger/" + request->key);
    if (aBefore[size_t(slot)].epoch != request->epoch) {
      this->Fail("a request was started under an outdated epoch");
    }
  }
  const std::vector<Slot>& after = this->referenceState.Slots();
  for (size_t i = 0; i < after.size(); ++i) {
    if (after[i].epoch != aBefore[i].epoch && !aBefore[i].owner.empty()) {
      this->Fail("slot " + std::to_string(i) + " was claimed while " +
                 aBefore[i].owner + " owned it");
    }
  }
}

void
Simulation::TakeSnapshot()
{
  Json json = this->referenceState.ToJson();
  if (this->disabledMechanism == DisabledMechanism::kWritersInSnapshot) {
    json["writers"] = Json::object();
  }
  this->snapshot = std::move(json);
  this->restoredState = ClusterState::FromJson(*this->snapshot);
  ++this->counts["snapshot"];
}

// Checks that a state restored from a snapshot and the records after it equals
// the state replayed from the whole log.
void
Simulation::CheckSnapshot()
{
  if (this->restoredState &&
      this->restoredState->ToJson() != this->referenceState.ToJson()) {
    this->Fail("state restored from a snapshot differs from the replay of the "
               "whole log");
  }
}

void
Simulation::ApplyDelayedAppends()
{
  for (size_t i = 0; i < this->delayedAppends.size();) {
    if (this->delayedAppends[i].dueMillis > this->nowMillis) {
      ++i;
      continue;
    }
    const std::vector<Record> batch = this->delayedAppends[i].batch;
    this->delayedAppends.erase(this->delayedAppends.begin() + long(i));
    this->AppendTrace("a delayed append takes effect");
    ++this->counts["delayed append"];
    this->AppendToLog(batch);
  }
}

// One attempt to append; returns whether it was acknowledged. Without an
// acknowledgement it takes effect now, after a delay or never.
bool
Simulation::TryAppend(const std::vector<Record>& aBatch)
{
  if (this->Chance(92)) {
    this->AppendToLog(aBatch);
    return true;
  }
  if (this->Chance(50)) {
    this->AppendTrace("acknowledgement of the next append is lost");
    this->AppendToLog(aBatch);
    return false;
  }
  if (this->Chance(60)) {
    const auto delay = int64_t(this->DrawBelow(kMaxAppendDelayMillis));
    this->delayedAppends.push_back({ this->nowMillis + delay, aBatch });
  }
  return false;
}

// Checks that a daemon which may act for a slot is its owner in the log at this
// moment, under the same epoch; so at most one daemon may act.
void
Simulation::CheckSlotOwnership()
{
  for (const SimulatedDaemon& daemon : this->daemons) {
    if (!daemon.alive) {
      continue;
    }
    const TimePoint now = this->LocalTime(daemon);
    for (int number = 0; number < kSlots; ++number) {
      const bool mayAct =
        this->disabledMechanism == DisabledMechanism::kLeaseCheck
          ? daemon.state.Slots()[size_t(number)].owner == daemon.host
          : daemon.decider->MayAct(daemon.state, number, now);
      const Slot& real = this->referenceState.Slots()[size_t(number)];
      const bool owns = real.owner == daemon.host &&
                        real.ownerIncarnation == daemon.Incarnation() &&
                        real.epoch == daemon.state.Slots()[number].epoch;
      if (mayAct && !owns) {
        this->Fail(daemon.host + " may act for slot " + std::to_string(number) +
                   " owned by " + real.owner);
      }
      this->counts["slots acted for"] += mayAct ? 1 : 0;
    }
  }
}

void
Simulation::CheckBudgets()
{
  for (const auto& entry : this->referenceState.Programs()) {
    const ProgramState& program = *entry.second;
    if (program.spentTokens + program.reservedTokens > program.budgetTokens) {
      this->Fail("spent and reserved exceed the budget of " + entry.first);
    }
  }
  const int64_t child = this->usedTokens["child"];
  if (child > kChildBudget ||
      this->usedTokens["parent"] + child > kParentBudget) {
    this->Fail("tokens used exceed the budget of a program");
  }
}

void
Simulation::CheckTurnHistories()
{
  for (const auto& program : this->answeredTurns) {
    auto found = this->referenceState.Programs().find(program.first);
    for (const auto& turn : program.second) {
      const bool kept =
        found != this->referenceState.Programs().end() &&
        int64_t(found->second->turns.size()) >= turn.first &&
        found->second->turns[size_t(turn.first) - 1]->answer == turn.second;
      if (!kept) {
        this->Fail("answered turn " + std::to_string(turn.first) + " of " +
                   program.first + " is not in the history");
      }
    }
  }
}

} // namespace tanagerseam::schedules
