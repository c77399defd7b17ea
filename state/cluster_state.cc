#include "state/cluster_state.h"

#include <algorithm>
#include <array>

#include "state/program_rules.h"

namespace tanagerseam {

namespace {

// Ended programs that are kept, with their history, so that calls are refused
// with "program_ended". Eviction keeps the newest half.
constexpr size_t kMaxEndedPrograms = 2000;
// Finished requests whose responses are kept for duplicate requests; the oldest
// are evicted first.
constexpr size_t kMaxFinishedRequests = 100000;
// A writer's deduplication window is evicted once it has written nothing for
// this many offsets.
constexpr int64_t kWriterRetentionOffsets = 200000;
// Interval, in offsets, between evictions of stale writers.
constexpr int64_t kWriterSweepIntervalOffsets = 4096;
// Sequence numbers held above the floor. Beyond this the floor advances to the
// lowest of them, and the missing ones below count as skipped.
constexpr size_t kMaxOutOfOrderSequences = 100000;

constexpr std::array<std::string_view, 15> kVerdictNames = {
  "accepted",        "duplicate",        "not_member",      "stale_renewal",
  "wrong_epoch",     "version_conflict", "unknown_program", "program_ended",
  "out_of_order",    "budget_exhausted", "turn_limit",      "already_exists",
  "already_started", "not_started",      "voted",
};

ApplyOutcome
OutcomeOf(Verdict aVerdict)
{
  return ApplyOutcome{ aVerdict, {} };
}

} // namespace

std::string_view
VerdictName(Verdict aVerdict)
{
  return kVerdictNames[static_cast<size_t>(aVerdict)];
}

ClusterState::ClusterState(int aSlotCount)
  : slots(static_cast<size_t>(aSlotCount))
{
}

ApplyOutcome
ClusterState::Apply(int64_t aOffset, const Record& aRecord)
{
  this->lastOffset = aOffset;
  if (!this->MarkSeen(aRecord.header, aOffset)) {
    return OutcomeOf(Verdict::kDuplicate);
  }
  if (aOffset % kWriterSweepIntervalOffsets == 0) {
    this->EvictStaleWriters(aOffset);
  }
  return std::visit(
    [&](const auto& aBody) {
      return this->ApplyBody(aOffset, aRecord.header, aBody);
    },
    aRecord.body);
}

int
ClusterState::SlotOf(const std::string& aKey) const
{
  return static_cast<int>(StableHash(aKey) % this->slots.size());
}

std::optional<ProgramState>
ClusterState::Program(const std::string& aId) const
{
  auto found = this->programs.find(aId);
  if (found == this->programs.end()) {
    return std::nullopt;
  }
  return *found->second;
}

const LedgerEntry*
ClusterState::FindLedgerEntry(const std::string& aKey) const
{
  auto found = this->ledger.find(aKey);
  return found == this->ledger.end() ? nullptr : &found->second;
}

bool
ClusterState::HasSeen(const RecordHeader& aHeader) const
{
  auto found = this->writers.find(aHeader.host + "/" + aHeader.incarnation);
  if (found == this->writers.end()) {
    return false;
  }
  return aHeader.sequence <= found->second.floor ||
         found->second.above.count(aHeader.sequence) > 0;
}

bool
ClusterState::MarkSeen(const RecordHeader& aHeader, int64_t aOffset)
{
  SequenceWindow& window =
    this->writers[aHeader.host + "/" + aHeader.incarnation];
  window.lastOffset = aOffset;
  if (aHeader.sequence <= window.floor ||
      !window.above.insert(aHeader.sequence).second) {
    return false;
  }
  while (!window.above.empty() && *window.above.begin() == window.floor + 1) {
    window.above.erase(window.above.begin());
    ++window.floor;
  }
  if (window.above.size() > kMaxOutOfOrderSequences) {
    window.floor = *window.above.begin();
    window.above.erase(window.above.begin());
  }
  return true;
}

void
ClusterState::EvictStaleWriters(int64_t aOffset)
{
  for (auto it = this->writers.begin(); it != this->writers.end();) {
    const bool stale =
      it->second.lastOffset + kWriterRetentionOffsets < aOffset;
    it = stale ? this->writers.erase(it) : std::next(it);
  }
}

bool
ClusterState::IsMember(const RecordHeader& aHeader) const
{
  auto found = this->members.find(aHeader.host);
  return found != this->members.end() &&
         found->second.incarnation == aHeader.incarnation;
}

int
ClusterState::CountExpiryVotes(const Member& aMember) const
{
  int votes = 0;
  for (const auto& vote : aMember.expiryVotes) {
    const auto voter = this->members.find(vote.first);
    votes +=
      voter != this->members.end() && voter->second.incarnation == vote.second;
  }
  return votes;
}

void
ClusterState::FreeSlotsOf(const std::string& aHost)
{
  for (Slot& slot : this->slots) {
    if (slot.owner == aHost) {
      slot.owner.clear();
      slot.ownerIncarnation.clear();
      slot.levels.clear();
    }
  }
}

bool
ClusterState::OwnsSlotInEpoch(const RecordHeader& aHeader,
                              int aSlot,
                              int64_t aEpoch) const
{
  const Slot& slot = this->slots[static_cast<size_t>(aSlot)];
  return slot.owner == aHeader.host &&
         slot.ownerIncarnation == aHeader.incarnation && slot.epoch == aEpoch;
}

Verdict
ClusterState::CheckLastRenewal(const std::string& aHost,
                               const std::string& aIncarnation,
                               int64_t aRenewal) const
{
  const auto found = this->members.find(aHost);
  if (found == this->members.end() ||
      found->second.incarnation != aIncarnation) {
    return Verdict::kNotMember;
  }
  return found->second.renewedOffset == aRenewal ? Verdict::kAccepted
                                                 : Verdict::kStaleRenewal;
}

void
ClusterState::RemoveMember(const std::string& aHost)
{
  this->FreeSlotsOf(aHost);
  this->members.erase(aHost);
}

ProgramState*
ClusterState::FindProgram(const std::string& aId)
{
  auto found = this->programs.find(aId);
  return found == this->programs.end() ? nullptr : found->second.get();
}

ApplyOutcome
ClusterState::ApplyBody(int64_t aOffset,
                        const RecordHeader& aHeader,
                        const MemberJoined& aBody)
{
  auto present = this->members.find(aHeader.host);
  if (present != this->members.end() &&
      aBody.replayedOffset < present->second.joinedOffset) {
    return OutcomeOf(Verdict::kStaleRenewal);
  }
  this->FreeSlotsOf(aHeader.host);
  Member member;
  member.host = aHeader.host;
  member.incarnation = aHeader.incarnation;
  member.zone = aBody.zone;
  member.peerAddress = aBody.peerAddress;
  member.callerAddress = aBody.callerAddress;
  member.adminAddress = aBody.adminAddress;
  member.joinedOffset = aOffset;
  member.renewedOffset = aOffset;
  this->members[aHeader.host] = member;
  return OutcomeOf(Verdict::kAccepted);
}

ApplyOutcome
ClusterState::ApplyBody(int64_t aOffset,
                        const RecordHeader& aHeader,
                        const MemberRenewed& aBody)
{
  if (!this->IsMember(aHeader)) {
    return OutcomeOf(Verdict::kNotMember);
  }
  Member& member = this->members[aHeader.host];
  member.renewedOffset = aOffset;
  member.replayedOffset = aBody.replayedOffset;
  member.draining = aBody.draining;
  member.others = aBody.others;
  member.sparePromises = aBody.sparePromises;
  member.expiryVotes.clear();
  return OutcomeOf(Verdict::kAccepted);
}

ApplyOutcome
ClusterState::ApplyBody(int64_t, const RecordHeader& aHeader, const MemberLeft&)
{
  if (!this->IsMember(aHeader)) {
    return OutcomeOf(Verdict::kNotMember);
  }
  this->RemoveMember(aHeader.host);
  return OutcomeOf(Verdict::kAccepted);
}

ApplyOutcome
ClusterState::ApplyBody(int64_t,
                        const RecordHeader& aHeader,
                        const MemberExpired& aBody)
{
  if (!this->IsMember(aHeader)) {
    return OutcomeOf(Verdict::kNotMember);
  }
  const Verdict seen = this->CheckLastRenewal(
    aBody.member, aBody.memberIncarnation, aBody.observedRenewal);
  if (seen != Verdict::kAccepted) {
    return OutcomeOf(seen);
  }
  Member& member = this->members[aBody.member];
  member.expiryVotes[aHeader.host] = aHeader.incarnation;
  const bool enough = this->CountExpiryVotes(member) > member.sparePromises;
  if (!enough && !aBody.maxOutagePassed) {
    return OutcomeOf(Verdict::kVoted);
  }
  this->RemoveMember(aBody.member);
  return OutcomeOf(Verdict::kAccepted);
}

ApplyOutcome
ClusterState::ApplyBody(int64_t,
                        const RecordHeader&,
                        const MemberRemoved& aBody)
{
  const Verdict seen = this->CheckLastRenewal(
    aBody.member, aBody.memberIncarnation, aBody.observedRenewal);
  if (seen == Verdict::kAccepted) {
    this->RemoveMember(aBody.member);
  }
  return OutcomeOf(seen);
}

ApplyOutcome
ClusterState::ApplyBody(int64_t aOffset,
                        const RecordHeader& aHeader,
                        const SlotsClaimed& aBody)
{
  if (!this->IsMember(aHeader)) {
    return OutcomeOf(Verdict::kNotMember);
  }
  ApplyOutcome outcome;
  for (const SlotClaim& claim : aBody.claims) {
    if (claim.slot < 0 || size_t(claim.slot) >= this->slots.size()) {
      continue;
    }
    Slot& slot = this->slots[size_t(claim.slot)];
    if (!slot.owner.empty() || slot.epoch != claim.expectedEpoch) {
      continue;
    }
    slot.owner = aHeader.host;
    slot.ownerIncarnation = aHeader.incarnation;
    slot.previousEpoch = slot.epoch;
    slot.epoch = aOffset + 1;
    outcome.slots.push_back(claim.slot);
  }
  outcome.verdict =
    outcome.slots.empty() ? Verdict::kWrongEpoch : Verdict::kAccepted;
  return outcome;
}

ApplyOutcome
ClusterState::ApplyBody(int64_t,
                        const RecordHeader& aHeader,
                        const SlotsReleased& aBody)
{
  ApplyOutcome outcome;
  for (int slotNumber : aBody.slots) {
    if (slotNumber < 0 || size_t(slotNumber) >= this->slots.size()) {
      continue;
    }
    Slot& slot = this->slots[size_t(slotNumber)];
    if (slot.owner == aHeader.host &&
        slot.ownerIncarnation == aHeader.incarnation) {
      slot.owner.clear();
      slot.ownerIncarnation.clear();
      slot.levels.clear();
      for (const auto& level : aBody.levels) {
        if (this->SlotOf("organisation/" + level.first) == slotNumber) {
          slot.levels.insert(level);
        }
      }
      outcome.slots.push_back(slotNumber);
    }
  }
  return outcome;
}

ApplyOutcome
ClusterState::ApplyBody(int64_t,
                        const RecordHeader&,
                        const ConfigApplied& aBody)
{
  if (aBody.base != this->config.version) {
    return OutcomeOf(Verdict::kVersionConflict);
  }
  ++this->config.version;
  this->config.config = aBody.config;
  this->config.author = aBody.author;
  this->config.wallMillis = aBody.wallMillis;
  return OutcomeOf(Verdict::kAccepted);
}

ApplyOutcome
ClusterState::ApplyBody(int64_t,
                        const RecordHeader& aHeader,
                        const ProgramOpened& aBody)
{
  const int slot = this->SlotOf("program/" + aBody.program);
  if (!this->OwnsSlotInEpoch(aHeader, slot, aBody.epoch)) {
    return OutcomeOf(Verdict::kWrongEpoch);
  }
  if (this->FindProgram(aBody.program) != nullptr) {
    return OutcomeOf(Verdict::kAlreadyExists);
  }
  if (!aBody.parent.empty()) {
    ProgramState* parent = this->FindProgram(aBody.parent);
    if (parent == nullptr || parent->organisation != aBody.organisation) {
      return OutcomeOf(Verdict::kUnknownProgram);
    }
    if (parent->ended) {
      return OutcomeOf(Verdict::kProgramEnded);
    }
    if (parent->RemainingTokens() < aBody.budgetTokens) {
      return OutcomeOf(Verdict::kBudgetExhausted);
    }
    parent->reservedTokens += aBody.budgetTokens;
    parent->children.insert(aBody.program);
  }
  auto program = std::make_shared<ProgramState>(OpenProgram(aBody));
  this->programs[aBody.program] = std::move(program);
  return OutcomeOf(Verdict::kAccepted);
}

ApplyOutcome
ClusterState::ApplyBody(int64_t,
                        const RecordHeader& aHeader,
                        const CallStarted& aBody)
{
  const int slot = this->SlotOf("program/" + aBody.program);
  if (!this->OwnsSlotInEpoch(aHeader, slot, aBody.epoch)) {
    return OutcomeOf(Verdict::kWrongEpoch);
  }
  ProgramState* program = this->FindProgram(aBody.program);
  if (program == nullptr) {
    return OutcomeOf(Verdict::kUnknownProgram);
  }
  return OutcomeOf(StartCall(*program, aBody));
}

ApplyOutcome
ClusterState::ApplyBody(int64_t, const RecordHeader&, const CallFinished& aBody)
{
  ProgramState* program = this->FindProgram(aBody.program);
  if (program == nullptr) {
    return OutcomeOf(Verdict::kUnknownProgram);
  }
  return OutcomeOf(FinishCall(*program, aBody));
}

ApplyOutcome
ClusterState::ApplyBody(int64_t, const RecordHeader&, const CallVoided& aBody)
{
  ProgramState* program = this->FindProgram(aBody.program);
  if (program == nullptr) {
    return OutcomeOf(Verdict::kUnknownProgram);
  }
  return OutcomeOf(VoidCall(*program, aBody));
}

void
ClusterState::SettleWithParent(ProgramState& aChild)
{
  ProgramState* parent = this->FindProgram(aChild.parent);
  if (parent == nullptr || parent->children.erase(aChild.id) == 0) {
    return;
  }
  parent->reservedTokens -= aChild.budgetTokens;
  // The child's open call may still use its reservation: count it as spent.
  parent->spentTokens += aChild.spentTokens + aChild.reservedTokens;
}

ApplyOutcome
ClusterState::ApplyBody(int64_t, const RecordHeader&, const ProgramEnded& aBody)
{
  ProgramState* program = this->FindProgram(aBody.program);
  if (program == nullptr) {
    return OutcomeOf(Verdict::kUnknownProgram);
  }
  if (program->ended) {
    return OutcomeOf(Verdict::kProgramEnded);
  }
  program->ended = true;
  program->endReason = aBody.reason;
  this->SettleWithParent(*program);
  this->endedPrograms.push_back(aBody.program);
  this->EvictEndedPrograms();
  return OutcomeOf(Verdict::kAccepted);
}

void
ClusterState::EvictEndedPrograms()
{
  if (this->endedPrograms.size() <= kMaxEndedPrograms) {
    return;
  }
  const size_t surplus = this->endedPrograms.size() - kMaxEndedPrograms / 2;
  for (size_t i = 0; i < surplus; ++i) {
    this->programs.erase(this->endedPrograms[i]);
  }
  this->endedPrograms.erase(this->endedPrograms.begin(),
                            this->endedPrograms.begin() + long(surplus));
}

ApplyOutcome
ClusterState::ApplyBody(int64_t aOffset,
                        const RecordHeader& aHeader,
                        const RequestStarted& aBody)
{
  const int slot = this->SlotOf("ledger/" + aBody.key);
  if (!this->OwnsSlotInEpoch(aHeader, slot, aBody.epoch)) {
    return OutcomeOf(Verdict::kWrongEpoch);
  }
  auto found = this->ledger.find(aBody.key);
  if (found != this->ledger.end() &&
      found->second.phase != LedgerPhase::kVoided) {
    return OutcomeOf(Verdict::kAlreadyStarted);
  }
  LedgerEntry entry;
  entry.requestDigest = aBody.requestDigest;
  entry.startedOffset = aOffset;
  entry.epoch = aBody.epoch;
  this->ledger[aBody.key] = std::move(entry);
  return OutcomeOf(Verdict::kAccepted);
}

ApplyOutcome
ClusterState::ApplyBody(int64_t,
                        const RecordHeader&,
                        const RequestFinished& aBody)
{
  auto found = this->ledger.find(aBody.key);
  if (found == this->ledger.end() ||
      found->second.phase != LedgerPhase::kStarted) {
    return OutcomeOf(Verdict::kNotStarted);
  }
  LedgerEntry& entry = found->second;
  entry.phase = LedgerPhase::kFinished;
  entry.httpStatus = aBody.httpStatus;
  entry.contentType = aBody.contentType;
  entry.body = aBody.body;
  entry.bodyKept = aBody.bodyKept;
  this->finishedRequests[entry.startedOffset] = aBody.key;
  if (this->finishedRequests.size() > kMaxFinishedRequests) {
    this->ledger.erase(this->finishedRequests.begin()->second);
    this->finishedRequests.erase(this->finishedRequests.begin());
  }
  return OutcomeOf(Verdict::kAccepted);
}

ApplyOutcome
ClusterState::ApplyBody(int64_t,
                        const RecordHeader& aHeader,
                        const RequestVoided& aBody)
{
  auto found = this->ledger.find(aBody.key);
  // Only the owner that started the request, in the same epoch, may void it.
  if (found == this->ledger.end() ||
      found->second.phase != LedgerPhase::kStarted ||
      found->second.epoch != aBody.epoch) {
    return OutcomeOf(Verdict::kNotStarted);
  }
  // A later owner may already have reported the outcome as unknown, and callers
  // act on that report: the request must not become runnable again.
  const int slot = this->SlotOf("ledger/" + aBody.key);
  if (!this->OwnsSlotInEpoch(aHeader, slot, aBody.epoch)) {
    return OutcomeOf(Verdict::kWrongEpoch);
  }
  found->second.phase = LedgerPhase::kVoided;
  return OutcomeOf(Verdict::kAccepted);
}

ApplyOutcome
ClusterState::ApplyBody(int64_t, const RecordHeader&, const Snapshot&)
{
  return OutcomeOf(Verdict::kAccepted);
}

} // namespace tanagerseam
