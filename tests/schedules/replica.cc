// One cycle of a simulated daemon: append to the log, read it, decide.
#include <limits>

#include "tests/schedules/world.h"

namespace tanagerseam::schedules {

namespace {

constexpr Millis kShortExtensionTerm(1500);
constexpr Millis kLongExtensionTerm(8000);

} // namespace

TimePoint
Simulation::LocalTime(const SimulatedDaemon& aDaemon) const
{
  const std::chrono::microseconds past(this->nowMillis *
                                       aDaemon.clockRatePermille);
  return TimePoint(std::chrono::hours(1) + past);
}

RecordId
Simulation::EnqueueRecord(SimulatedDaemon& aDaemon, const RecordBody& aBody)
{
  const RecordId id{ aDaemon.Incarnation(), ++aDaemon.sequence };
  aDaemon.appendQueue.push_back(
    { { aDaemon.host, id.first, id.second }, aBody });
  return id;
}

void
Simulation::Start(SimulatedDaemon& aDaemon)
{
  this->AppendTrace(aDaemon.host + " started");
  aDaemon.alive = true;
  aDaemon.paused = false;
  ++aDaemon.processNumber;
  // Half of the starts load the newest snapshot, if there is one; the others
  // replay from the first record.
  aDaemon.state = this->snapshot && this->Chance(50)
                    ? ClusterState::FromJson(*this->snapshot)
                    : ClusterState(kSlots);
  aDaemon.staleRecords.clear();
  aDaemon.leaving = false;
  aDaemon.seenConfigVersion = 0;
  aDaemon.rates = RateState{};
  aDaemon.appendQueue.clear();
  aDaemon.batch.clear();
  aDaemon.pending.clear();
  aDaemon.busyPrograms.clear();
  ++aDaemon.incarnation;
  aDaemon.sequence = 0;
  aDaemon.joinSequence = 0;
  aDaemon.pendingExtensions.clear();
  aDaemon.decider = std::make_unique<OwnershipDecider>(
    this->settings, aDaemon.host, aDaemon.Incarnation());
}

// Requires that the daemon has replayed the log to its end.
void
Simulation::Join(SimulatedDaemon& aDaemon)
{
  if (aDaemon.sequence != 0) {
    ++aDaemon.incarnation;
    aDaemon.sequence = 0;
    aDaemon.pendingExtensions.clear();
    aDaemon.decider = std::make_unique<OwnershipDecider>(
      this->settings, aDaemon.host, aDaemon.Incarnation());
  }
  MemberJoined join;
  join.replayedOffset =
    this->disabledMechanism == DisabledMechanism::kJoinReplayedOffset
      ? std::numeric_limits<int64_t>::max()
      : aDaemon.state.LastOffset();
  aDaemon.joinSequence = this->EnqueueRecord(aDaemon, join).second;
  aDaemon.decider->OnJoinSent(aDaemon.joinSequence, this->LocalTime(aDaemon));
}

void
Simulation::RunCycle(SimulatedDaemon& aDaemon)
{
  if (!aDaemon.Running()) {
    return;
  }
  const TimePoint now = this->LocalTime(aDaemon);
  if (this->logAvailable && aDaemon.reachesLog) {
    this->WriteLog(aDaemon);
  }
  if (this->logAvailable && aDaemon.reachesLog && !aDaemon.logReadsHang) {
    const bool atEnd = this->ReadLog(aDaemon);
    aDaemon.decider->OnLogResponse(now);
    aDaemon.decider->Observe(aDaemon.state, now);
    const bool mustJoin =
      aDaemon.joinSequence == 0 || aDaemon.decider->Expelled(aDaemon.state);
    if (aDaemon.leaving && aDaemon.decider->Expelled(aDaemon.state)) {
      this->Kill(aDaemon);
      return;
    }
    if (atEnd && mustJoin) {
      this->Join(aDaemon);
    }
  } else {
    aDaemon.decider->OnLogFailure(now);
  }
  for (RecordBody& body :
       aDaemon.decider->Decide(aDaemon.state, now, this->BusySlots(aDaemon))) {
    auto* expiry = std::get_if<MemberExpired>(&body);
    if (expiry != nullptr &&
        this->disabledMechanism == DisabledMechanism::kExpiryQuorum) {
      expiry->maxOutagePassed = true;
    }
    if (auto* release = std::get_if<SlotsReleased>(&body)) {
      this->HandOverBucket(aDaemon, *release);
    }
    const RecordId id = this->EnqueueRecord(aDaemon, body);
    if (std::holds_alternative<MemberRenewed>(body)) {
      aDaemon.decider->OnRenewalSent(id.second, now);
    }
  }
  this->RequestLeaseExtension(aDaemon);
  this->ReturnLoans(aDaemon);
}

void
Simulation::WriteLog(SimulatedDaemon& aDaemon)
{
  if (aDaemon.batch.empty()) {
    aDaemon.batch.assign(aDaemon.appendQueue.begin(),
                         aDaemon.appendQueue.end());
    aDaemon.appendQueue.clear();
  }
  if (!aDaemon.batch.empty() && this->TryAppend(aDaemon.batch)) {
    aDaemon.batch.clear();
  }
}

// Returns whether the replay reached the end of the log.
bool
Simulation::ReadLog(SimulatedDaemon& aDaemon)
{
  const size_t limit = this->Chance(70) ? this->log.size() : this->DrawBelow(6);
  auto next = size_t(aDaemon.state.LastOffset() + 1);
  for (size_t i = 0; i < limit && next < this->log.size(); ++i, ++next) {
    const Record record = this->log[next];
    const ApplyOutcome outcome = aDaemon.state.Apply(int64_t(next), record);
    if (outcome.verdict != this->verdicts[next]) {
      this->Fail("verdict differs from the reference state at offset " +
                 std::to_string(next));
    }
    this->OnRecordReplayed(aDaemon, record, outcome);
  }
  const int64_t version = aDaemon.state.Config().version;
  if (version < aDaemon.seenConfigVersion) {
    this->Fail("configuration version decreased on " + aDaemon.host);
  }
  aDaemon.seenConfigVersion = version;
  return next == this->log.size();
}

void
Simulation::OnRecordReplayed(SimulatedDaemon& aDaemon,
                             const Record& aRecord,
                             const ApplyOutcome& aOutcome)
{
  if (aRecord.header.host != aDaemon.host ||
      aOutcome.verdict == Verdict::kDuplicate) {
    return;
  }
  const uint64_t sequence = aRecord.header.sequence;
  if (aRecord.header.incarnation == aDaemon.Incarnation()) {
    const bool accepted = aOutcome.verdict == Verdict::kAccepted;
    if (accepted &&
        this->disabledMechanism == DisabledMechanism::kLeaseCountedFromSend &&
        std::holds_alternative<MemberRenewed>(aRecord.body)) {
      aDaemon.decider->OnRenewalSent(sequence, this->LocalTime(aDaemon));
    }
    if (accepted && std::holds_alternative<SlotsClaimed>(aRecord.body)) {
      this->OnSlotsClaimed(aDaemon, aOutcome.slots);
    }
    if (accepted) {
      aDaemon.decider->OnRenewalApplied(sequence);
    } else if (sequence == aDaemon.joinSequence) {
      // Another incarnation joined in between: join again.
      aDaemon.joinSequence = 0;
    }
  }
  auto found = aDaemon.pending.find({ aRecord.header.incarnation, sequence });
  if (found != aDaemon.pending.end()) {
    const PendingRecord pending = found->second;
    aDaemon.pending.erase(found);
    this->OnOwnRecordReplayed(aDaemon, aRecord, aOutcome, pending);
  }
}

// Responses arrive in a later cycle or are lost.
void
Simulation::RequestLeaseExtension(SimulatedDaemon& aDaemon)
{
  for (const auto& extension : aDaemon.pendingExtensions) {
    if (this->Chance(90)) {
      aDaemon.decider->OnExtensionGranted(extension.first, extension.second);
      ++this->counts["lease extension granted"];
    }
  }
  aDaemon.pendingExtensions.clear();
  const TimePoint now = this->LocalTime(aDaemon);
  if (!aDaemon.reachesPeers || !aDaemon.decider->NeedsExtension(now)) {
    return;
  }
  const Millis term =
    this->Chance(50) ? kLongExtensionTerm : kShortExtensionTerm;
  size_t granted = 0;
  size_t requested = 0;
  for (const auto& name : aDaemon.decider->ExtensionPeers(aDaemon.state)) {
    SimulatedDaemon& other = this->daemons[size_t(name[0] - 'a')];
    ++requested;
    granted +=
      other.Running() && other.reachesPeers &&
      other.decider->GrantExtension(
        aDaemon.host, aDaemon.Incarnation(), term, this->LocalTime(other));
  }
  if (granted < aDaemon.decider->ExtensionGrantsNeeded(aDaemon.state) &&
      this->disabledMechanism != DisabledMechanism::kExtensionQuorum) {
    return;
  }
  this->AppendTrace(aDaemon.host + " has a quorum for a lease extension");
  this->counts["lease extension granted by a subset"] +=
    granted < requested ? 1 : 0;
  aDaemon.pendingExtensions.emplace_back(now, term);
}

// A shutdown that reached its time limit while the daemon still owned slots.
void
Simulation::Leave(SimulatedDaemon& aDaemon)
{
  if (!aDaemon.Running() || aDaemon.leaving) {
    return;
  }
  this->AppendTrace(aDaemon.host + " leaves");
  aDaemon.leaving = true;
  aDaemon.decider->StartDraining();
  if (this->disabledMechanism != DisabledMechanism::kLeaseRelinquishedOnLeave) {
    aDaemon.decider->RelinquishLease();
  }
  this->EnqueueRecord(aDaemon, MemberLeft{});
}

std::set<int>
Simulation::BusySlots(const SimulatedDaemon& aDaemon) const
{
  std::set<int> busy;
  for (const auto& program : aDaemon.busyPrograms) {
    busy.insert(aDaemon.state.SlotOf("program/" + program));
  }
  return busy;
}

bool
Simulation::MayAct(const SimulatedDaemon& aDaemon,
                   const std::string& aKey) const
{
  return aDaemon.decider->MayAct(
    aDaemon.state, aDaemon.state.SlotOf(aKey), this->LocalTime(aDaemon));
}

} // namespace tanagerseam::schedules
