// The schedule, the log and the judges.
#include "tests/schedules/world.h"

namespace tanagerseam::schedules {

namespace {

constexpr int64_t kLongStepMillis = 3000;
constexpr int64_t kShortStepMillis = 120;
constexpr int64_t kMaxDelayMillis = 6000;
// Rates of two clocks differ by at most 1100 / 900, less than 1 + 500 / 2000.
constexpr int kSlowestMille = 900;
constexpr int kRateSpreadMille = 201;

} // namespace

World::World(uint64_t aSeed, Omission aOmission, bool aTrace)
  : random(aSeed)
  , rateRandom(aSeed)
  , omission(aOmission)
  , traceOn(aTrace)
{
  // Short, so that a schedule sees an outage end.
  this->settings.maxOutage = Millis(15000);
  if (aOmission == Omission::kMarginOfExpiry) {
    this->settings.margin = Millis(0);
  }
  const auto count =
    int(kMinDaemons + this->Below(kMaxDaemons - kMinDaemons + 1));
  this->replicas.resize(size_t(count));
  for (int i = 0; i < count; ++i) {
    Replica& replica = this->replicas[size_t(i)];
    replica.index = i;
    replica.host = std::string(1, char('a' + i));
    replica.rateMille = kSlowestMille + int(this->Below(kRateSpreadMille));
    if (this->Chance(80)) {
      this->Start(replica);
    }
  }
}

void
World::Note(const std::string& aText)
{
  if (this->traceOn) {
    this->trace.push_back(std::to_string(this->millis) + " " + aText);
  }
}

void
World::Fail(const std::string& aText)
{
  this->Note("FAILED " + aText);
  if (this->failure.empty()) {
    this->failure = aText;
  }
}

std::string
World::Run(int aSteps)
{
  for (int i = 0; i < aSteps && this->failure.empty(); ++i) {
    this->Step();
    this->JudgeSlots();
  }
  this->JudgeBudgets();
  this->JudgeHistories();
  this->JudgeSnapshot();
  return this->failure;
}

void
World::Step()
{
  this->MaybeRequestRate();
  Replica& replica = this->replicas[this->Below(this->replicas.size())];
  const size_t kind = this->Below(100);
  if (kind < 35) {
    this->Advance();
  } else if (kind < 45) {
    this->Turn(replica);
  } else if (kind < 75) {
    this->Request(replica);
  } else if (kind < 93) {
    this->RunEngine();
  } else {
    this->Fault(replica);
  }
}

void
World::Advance()
{
  const bool isLong = this->Chance(4);
  const int64_t bound = isLong ? kLongStepMillis : kShortStepMillis;
  this->millis += 1 + int64_t(this->Below(size_t(bound)));
  this->JudgeSlots();
  this->LandDelayed();
  for (Replica& replica : this->replicas) {
    if (this->Chance(85)) {
      this->Turn(replica);
    }
  }
}

void
World::Fault(Replica& aReplica)
{
  switch (this->Below(9)) {
    case 0:
      aReplica.paused = !aReplica.paused;
      this->Note(aReplica.host + (aReplica.paused ? " paused" : " continued"));
      break;
    case 1:
      if (aReplica.alive) {
        this->Note(aReplica.host + " killed");
        this->Kill(aReplica);
      }
      break;
    case 2:
      if (!aReplica.alive) {
        this->Start(aReplica);
      }
      break;
    case 3:
      aReplica.reachesLog = !aReplica.reachesLog || this->Chance(30);
      this->Note(aReplica.host + (aReplica.reachesLog ? " has" : " lost") +
                 " the log");
      break;
    case 4:
      this->logUp = !this->logUp || this->Chance(50);
      this->Note(this->logUp ? "log up" : "log down");
      break;
    case 5:
      aReplica.readsHang = !aReplica.readsHang && this->Chance(70);
      this->Note(aReplica.host +
                 (aReplica.readsHang ? " reads hang" : " reads"));
      break;
    case 6:
      this->TakeSnapshot();
      break;
    case 7:
      if (this->Chance(20)) {
        this->Leave(aReplica);
      }
      break;
    default:
      aReplica.reachesPeers = !aReplica.reachesPeers || this->Chance(50);
      break;
  }
}

// What was on its way to the log may still land.
void
World::Kill(Replica& aReplica)
{
  aReplica.alive = false;
  if (aReplica.batch.empty()) {
    aReplica.batch.assign(aReplica.queue.begin(), aReplica.queue.end());
  }
  if (!aReplica.batch.empty() && this->Chance(50)) {
    const auto delay = int64_t(this->Below(kMaxDelayMillis));
    this->delayed.push_back({ this->millis + delay, aReplica.batch });
  }
  if (this->Chance(40)) {
    this->Start(aReplica);
  }
}

void
World::Request(Replica& aReplica)
{
  if (!aReplica.Running()) {
    return;
  }
  switch (this->Below(8)) {
    case 0:
    case 1:
    case 2:
      this->SubmitRequest(aReplica);
      break;
    case 3:
    case 4:
    case 5:
      this->SubmitCall(aReplica);
      break;
    case 6:
      this->SubmitConfig(aReplica);
      break;
    default:
      if (this->Chance(40)) {
        this->SubmitLate(aReplica);
      } else if (this->Chance(50)) {
        this->CancelPending(aReplica);
      } else if (this->Chance(30)) {
        this->EndProgram(aReplica);
      }
      break;
  }
}

void
World::AppendToLog(const std::vector<Record>& aBatch)
{
  for (const Record& record : aBatch) {
    this->Apply(record);
  }
  this->JudgeBudgets();
}

void
World::Apply(const Record& aRecord)
{
  const auto offset = int64_t(this->log.size());
  const std::vector<Slot> before = this->truth.Slots();
  const auto* voided = std::get_if<RequestVoided>(&aRecord.body);
  const LedgerEntry* entry =
    voided == nullptr ? nullptr : this->truth.FindLedgerEntry(voided->key);
  const bool ofOther = entry != nullptr && entry->epoch != voided->epoch;
  const ApplyOutcome outcome = this->truth.Apply(offset, aRecord);
  this->log.push_back(aRecord);
  this->verdicts.push_back(outcome.verdict);
  ++this->counts[RecordTypeName(aRecord.body) + " " +
                 std::string(VerdictName(outcome.verdict))];
  if (this->traceOn) {
    this->Note("log " + std::to_string(offset) + " " + EncodeRecord(aRecord) +
               " " + std::string(VerdictName(outcome.verdict)));
  }
  if (this->restored &&
      this->restored->Apply(offset, aRecord).verdict != outcome.verdict) {
    this->Fail("a state from a snapshot gives another verdict");
  }
  if (outcome.verdict != Verdict::kAccepted) {
    return;
  }
  this->JudgeAccepted(aRecord, before);
  if (ofOther) {
    this->Fail("a request is voided by an attempt that did not start it");
  }
}

// Turns the fold's rules into what a reader of the log alone would demand.
void
World::JudgeAccepted(const Record& aRecord, const std::vector<Slot>& aBefore)
{
  if (const auto* config = std::get_if<ConfigApplied>(&aRecord.body)) {
    if (!this->configWinners.emplace(config->base, config->author).second) {
      this->Fail("two configurations won over one base");
    }
  }
  if (const auto* request = std::get_if<RequestStarted>(&aRecord.body)) {
    const int slot = this->truth.SlotOf("ledger/" + request->key);
    if (aBefore[size_t(slot)].epoch != request->epoch) {
      this->Fail("a request is started under an epoch that is over");
    }
  }
  const std::vector<Slot>& after = this->truth.Slots();
  for (size_t i = 0; i < after.size(); ++i) {
    if (after[i].epoch != aBefore[i].epoch && !aBefore[i].owner.empty()) {
      this->Fail("slot " + std::to_string(i) + " is claimed though " +
                 aBefore[i].owner + " owns it");
    }
  }
}

void
World::TakeSnapshot()
{
  Json json = this->truth.ToJson();
  if (this->omission == Omission::kWritersInSnapshot) {
    json["writers"] = Json::object();
  }
  this->snapshot = std::move(json);
  this->restored = ClusterState::FromJson(*this->snapshot);
  ++this->counts["snapshot"];
}

// A state rebuilt from a snapshot and the records after it is the state of the
// whole log.
void
World::JudgeSnapshot()
{
  if (this->restored && this->restored->ToJson() != this->truth.ToJson()) {
    this->Fail("a state from a snapshot differs from that of the whole log");
  }
}

void
World::LandDelayed()
{
  for (size_t i = 0; i < this->delayed.size();) {
    if (this->delayed[i].dueMillis > this->millis) {
      ++i;
      continue;
    }
    const std::vector<Record> batch = this->delayed[i].batch;
    this->delayed.erase(this->delayed.begin() + long(i));
    this->Note("a delayed append lands");
    ++this->counts["delayed append"];
    this->AppendToLog(batch);
  }
}

// One attempt; true if it was answered.
bool
World::TryAppend(const std::vector<Record>& aBatch)
{
  if (this->Chance(92)) {
    this->AppendToLog(aBatch);
    return true;
  }
  if (this->Chance(50)) {
    this->Note("the next append's answer is lost");
    this->AppendToLog(aBatch);
    return false;
  }
  if (this->Chance(60)) {
    const auto delay = int64_t(this->Below(kMaxDelayMillis));
    this->delayed.push_back({ this->millis + delay, aBatch });
  }
  return false;
}

// Who may act for a slot is its owner in the log at this very moment, under
// the same epoch; so there is at most one.
void
World::JudgeSlots()
{
  for (const Replica& replica : this->replicas) {
    if (!replica.alive) {
      continue;
    }
    const TimePoint now = this->LocalTime(replica);
    for (int number = 0; number < kSlots; ++number) {
      const bool acts =
        this->omission == Omission::kLeaseCheck
          ? replica.state.Slots()[size_t(number)].owner == replica.host
          : replica.decider->MayAct(replica.state, number, now);
      const Slot& real = this->truth.Slots()[size_t(number)];
      const bool owns = real.owner == replica.host &&
                        real.ownerIncarnation == replica.Incarnation() &&
                        real.epoch == replica.state.Slots()[number].epoch;
      if (acts && !owns) {
        this->Fail(replica.host + " may act for slot " +
                   std::to_string(number) + " of " + real.owner);
      }
      this->counts["acting"] += acts ? 1 : 0;
    }
  }
}

void
World::JudgeBudgets()
{
  for (const auto& entry : this->truth.Programs()) {
    const ProgramState& program = *entry.second;
    if (program.spentTokens + program.reservedTokens > program.budgetTokens) {
      this->Fail("spent and reserved exceed the budget of " + entry.first);
    }
  }
  const int64_t child = this->usedTokens["child"];
  if (child > kChildBudget ||
      this->usedTokens["parent"] + child > kParentBudget) {
    this->Fail("tokens used exceed the budget");
  }
}

void
World::JudgeHistories()
{
  for (const auto& program : this->answered) {
    auto found = this->truth.Programs().find(program.first);
    for (const auto& turn : program.second) {
      const bool kept =
        found != this->truth.Programs().end() &&
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
