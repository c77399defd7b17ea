// One daemon's turn: write, read, decide.
#include <limits>

#include "tests/schedules/world.h"

namespace tanagerseam::schedules {

namespace {

constexpr Millis kPromiseFor(1500);
constexpr Millis kLongPromise(8000);

} // namespace

TimePoint
World::LocalTime(const Replica& aReplica) const
{
  const std::chrono::microseconds past(this->millis * aReplica.rateMille);
  return TimePoint(std::chrono::hours(1) + past);
}

RecordId
World::Send(Replica& aReplica, const RecordBody& aBody)
{
  const RecordId id{ aReplica.Incarnation(), ++aReplica.sequence };
  aReplica.queue.push_back({ { aReplica.host, id.first, id.second }, aBody });
  return id;
}

void
World::Start(Replica& aReplica)
{
  this->Note(aReplica.host + " started");
  aReplica.alive = true;
  aReplica.paused = false;
  ++aReplica.process;
  // From a snapshot where there is one, else from the first record.
  aReplica.state = this->snapshot && this->Chance(50)
                     ? ClusterState::FromJson(*this->snapshot)
                     : ClusterState(kSlots);
  aReplica.late.clear();
  aReplica.leaving = false;
  aReplica.seenVersion = 0;
  aReplica.rates = RateSide{};
  aReplica.queue.clear();
  aReplica.batch.clear();
  aReplica.pending.clear();
  aReplica.callsInWork.clear();
  ++aReplica.incarnation;
  aReplica.sequence = 0;
  aReplica.joinSequence = 0;
  aReplica.promises.clear();
  aReplica.decider = std::make_unique<OwnershipDecider>(
    this->settings, aReplica.host, aReplica.Incarnation());
}

// Needs a replay up to the end of the log.
void
World::Join(Replica& aReplica)
{
  if (aReplica.sequence != 0) {
    ++aReplica.incarnation;
    aReplica.sequence = 0;
    aReplica.promises.clear();
    aReplica.decider = std::make_unique<OwnershipDecider>(
      this->settings, aReplica.host, aReplica.Incarnation());
  }
  MemberJoined join;
  join.replayedOffset = this->omission == Omission::kReplayedOffsetOfJoin
                          ? std::numeric_limits<int64_t>::max()
                          : aReplica.state.LastOffset();
  aReplica.joinSequence = this->Send(aReplica, join).second;
  aReplica.decider->OnJoinSent(aReplica.joinSequence,
                               this->LocalTime(aReplica));
}

void
World::Turn(Replica& aReplica)
{
  if (!aReplica.Running()) {
    return;
  }
  const TimePoint now = this->LocalTime(aReplica);
  if (this->logUp && aReplica.reachesLog) {
    this->WriteLog(aReplica);
  }
  if (this->logUp && aReplica.reachesLog && !aReplica.readsHang) {
    const bool atEnd = this->ReadLog(aReplica);
    aReplica.decider->OnLogResponse(now);
    aReplica.decider->Observe(aReplica.state, now);
    const bool mustJoin =
      aReplica.joinSequence == 0 || aReplica.decider->Expelled(aReplica.state);
    if (aReplica.leaving && aReplica.decider->Expelled(aReplica.state)) {
      this->Kill(aReplica);
      return;
    }
    if (atEnd && mustJoin) {
      this->Join(aReplica);
    }
  } else {
    aReplica.decider->OnLogFailure(now);
  }
  for (RecordBody& body : aReplica.decider->Decide(
         aReplica.state, now, this->BusySlots(aReplica))) {
    auto* expiry = std::get_if<MemberExpired>(&body);
    if (expiry != nullptr && this->omission == Omission::kVotesOfExpiry) {
      expiry->maxOutagePassed = true;
    }
    if (auto* release = std::get_if<SlotsReleased>(&body)) {
      this->HandOverRate(aReplica, *release);
    }
    const RecordId id = this->Send(aReplica, body);
    if (std::holds_alternative<MemberRenewed>(body)) {
      aReplica.decider->OnRenewalSent(id.second, now);
    }
  }
  this->AskPromises(aReplica);
  this->ReturnLoans(aReplica);
}

void
World::WriteLog(Replica& aReplica)
{
  if (aReplica.batch.empty()) {
    aReplica.batch.assign(aReplica.queue.begin(), aReplica.queue.end());
    aReplica.queue.clear();
  }
  if (!aReplica.batch.empty() && this->TryAppend(aReplica.batch)) {
    aReplica.batch.clear();
  }
}

// True if the replay is at the end of the log.
bool
World::ReadLog(Replica& aReplica)
{
  const size_t limit = this->Chance(70) ? this->log.size() : this->Below(6);
  auto next = size_t(aReplica.state.LastOffset() + 1);
  for (size_t i = 0; i < limit && next < this->log.size(); ++i, ++next) {
    const Record record = this->log[next];
    const ApplyOutcome outcome = aReplica.state.Apply(int64_t(next), record);
    if (outcome.verdict != this->verdicts[next]) {
      this->Fail("verdicts differ at offset " + std::to_string(next));
    }
    this->OnReplayed(aReplica, record, outcome);
  }
  const int64_t version = aReplica.state.Config().version;
  if (version < aReplica.seenVersion) {
    this->Fail("the configuration's version fell on " + aReplica.host);
  }
  aReplica.seenVersion = version;
  return next == this->log.size();
}

void
World::OnReplayed(Replica& aReplica,
                  const Record& aRecord,
                  const ApplyOutcome& aOutcome)
{
  if (aRecord.header.host != aReplica.host ||
      aOutcome.verdict == Verdict::kDuplicate) {
    return;
  }
  const uint64_t sequence = aRecord.header.sequence;
  if (aRecord.header.incarnation == aReplica.Incarnation()) {
    const bool accepted = aOutcome.verdict == Verdict::kAccepted;
    if (accepted && this->omission == Omission::kLeaseFromSending &&
        std::holds_alternative<MemberRenewed>(aRecord.body)) {
      aReplica.decider->OnRenewalSent(sequence, this->LocalTime(aReplica));
    }
    if (accepted && std::holds_alternative<SlotsClaimed>(aRecord.body)) {
      this->OnSlotsClaimed(aReplica, aOutcome.slots);
    }
    if (accepted) {
      aReplica.decider->OnRenewalApplied(sequence);
    } else if (sequence == aReplica.joinSequence) {
      // Another incarnation joined in between: try anew.
      aReplica.joinSequence = 0;
    }
  }
  auto found = aReplica.pending.find({ aRecord.header.incarnation, sequence });
  if (found != aReplica.pending.end()) {
    const Pending pending = found->second;
    aReplica.pending.erase(found);
    this->OnOwnRecord(aReplica, aRecord, aOutcome, pending);
  }
}

// Answers come at a later turn, or never.
void
World::AskPromises(Replica& aReplica)
{
  for (const auto& promise : aReplica.promises) {
    if (this->Chance(90)) {
      aReplica.decider->OnExtensionGranted(promise.first, promise.second);
      ++this->counts["promised"];
    }
  }
  aReplica.promises.clear();
  const TimePoint now = this->LocalTime(aReplica);
  if (!aReplica.reachesPeers || !aReplica.decider->NeedsExtension(now)) {
    return;
  }
  const Millis term = this->Chance(50) ? kLongPromise : kPromiseFor;
  size_t granted = 0;
  size_t asked = 0;
  for (const auto& name : aReplica.decider->ExtensionPeers(aReplica.state)) {
    Replica& other = this->replicas[size_t(name[0] - 'a')];
    ++asked;
    granted +=
      other.Running() && other.reachesPeers &&
      other.decider->GrantExtension(
        aReplica.host, aReplica.Incarnation(), term, this->LocalTime(other));
  }
  if (granted < aReplica.decider->ExtensionGrantsNeeded(aReplica.state) &&
      this->omission != Omission::kPromises) {
    return;
  }
  this->Note(aReplica.host + " has enough promises");
  this->counts["promised by some"] += granted < asked ? 1 : 0;
  aReplica.promises.emplace_back(now, term);
}

// A shutdown whose limit passed while it still owned slots.
void
World::Leave(Replica& aReplica)
{
  if (!aReplica.Running() || aReplica.leaving) {
    return;
  }
  this->Note(aReplica.host + " leaves");
  aReplica.leaving = true;
  aReplica.decider->StartDraining();
  if (this->omission != Omission::kLeaseGivenUpOnLeaving) {
    aReplica.decider->RelinquishLease();
  }
  this->Send(aReplica, MemberLeft{});
}

std::set<int>
World::BusySlots(const Replica& aReplica) const
{
  std::set<int> busy;
  for (const auto& program : aReplica.callsInWork) {
    busy.insert(aReplica.state.SlotOf("program/" + program));
  }
  return busy;
}

bool
World::MayAct(const Replica& aReplica, const std::string& aKey) const
{
  return aReplica.decider->MayAct(
    aReplica.state, aReplica.state.SlotOf(aKey), this->LocalTime(aReplica));
}

} // namespace tanagerseam::schedules
