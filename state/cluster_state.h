// The replicated state machine and its parts. Not thread-safe; the daemon
// guards it with one mutex.
#ifndef TANAGERSEAM_STATE_CLUSTER_STATE_H_
#define TANAGERSEAM_STATE_CLUSTER_STATE_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "state/record.h"

namespace tanagerseam {

// Result of applying a record.
enum class Verdict
{
  kAccepted,
  kDuplicate,
  kNotMember,
  kStaleRenewal,
  kWrongEpoch,
  kVersionConflict,
  kUnknownProgram,
  kProgramEnded,
  kOutOfOrder,
  kBudgetExhausted,
  kTurnLimit,
  kAlreadyExists,
  kAlreadyStarted,
  kNotStarted,
  kVoted,
};

std::string_view
VerdictName(Verdict aVerdict);

struct Member
{
  std::string host;
  std::string incarnation;
  std::string zone;
  std::string peerAddress;
  std::string callerAddress;
  std::string adminAddress;
  int64_t joinedOffset = 0;
  int64_t renewedOffset = 0;
  // The following four come from the newest renewal (see MemberRenewed);
  // replayedOffset is -1 until the first renewal after the join.
  int64_t replayedOffset = -1;
  bool draining = false;
  int others = -1;
  int sparePromises = 0;
  // Votes to expire this member since its newest renewal: host to incarnation
  // of the voter.
  std::map<std::string, std::string> expiryVotes;
};

// A hash partition of keys, owned by at most one member.
struct Slot
{
  // Host of the owner; empty if the slot can be claimed.
  std::string owner;
  std::string ownerIncarnation;
  // Offset of the accepted claim plus one; 0 if the slot was never owned.
  int64_t epoch = 0;
  // Epoch of the previous owner; 0 if there was none.
  int64_t previousEpoch = 0;
  // Token bucket levels by organisation that the previous owner handed over on
  // release; empty if it did not release the slot.
  std::map<std::string, double> levels;
};

// A finished call in a program's history.
struct Turn
{
  int64_t call = 0;
  std::string kind;
  std::string request;
  std::string answer;
  std::string message;
  std::string requestDigest;
  int httpStatus = 200;
  std::string contentType;
  int64_t usedTokens = 0;
  std::string endpoint;
  // Hash chain over this turn and all turns before it.
  std::string digest;
};

// A call that was started and has not finished.
struct OpenCall
{
  int64_t call = 0;
  int64_t attempt = 0;
  int64_t epoch = 0;
  // Sum over all attempts: an attempt with an unknown outcome keeps its
  // reservation.
  int64_t reservedTokens = 0;
  // Reservation of the newest attempt; 0 after that attempt was voided.
  int64_t lastReservation = 0;
  bool repeatable = true;
  std::string requestDigest;
};

struct ProgramState
{
  std::string id;
  std::string organisation;
  std::string parent;
  std::string urgency;
  int64_t budgetTokens = 0;
  int64_t maxTurns = 0;
  int64_t endsAtMillis = 0;
  int64_t spentTokens = 0;
  // Reserved by the open call and by sub-agents that have not ended.
  int64_t reservedTokens = 0;
  std::vector<std::shared_ptr<const Turn>> turns;
  std::optional<OpenCall> open;
  std::set<std::string> children;
  bool ended = false;
  std::string endReason;

  int64_t NextCall() const { return int64_t(this->turns.size()) + 1; }
  int64_t RemainingTokens() const
  {
    return this->budgetTokens - this->spentTokens - this->reservedTokens;
  }
  std::string HeadDigest() const
  {
    return this->turns.empty() ? this->id : this->turns.back()->digest;
  }
};

enum class LedgerPhase
{
  kStarted,
  kFinished,
  kVoided,
};

// A request with an idempotency key, and its response once finished.
struct LedgerEntry
{
  LedgerPhase phase = LedgerPhase::kStarted;
  std::string requestDigest;
  // Offset of the RequestStarted record; given to callers as reference.
  int64_t startedOffset = 0;
  int64_t epoch = 0;
  int httpStatus = 0;
  std::string contentType;
  std::string body;
  bool bodyKept = true;
};

struct ConfigVersion
{
  int64_t version = 0;
  Json config = Json::object();
  std::string author;
  int64_t wallMillis = 0;
};

struct ApplyOutcome
{
  Verdict verdict = Verdict::kAccepted;
  // Slots gained by SlotsClaimed or given up by SlotsReleased.
  std::vector<int> slots;
};

// Digest of the turn that aCall adds, chained to the digest aPrevious.
std::string
TurnDigest(const std::string& aPrevious, const CallFinished& aCall);

// The state machine; state.h states its invariants and costs.
class ClusterState
{
public:
  explicit ClusterState(int aSlotCount);

  // Applies one record. Offsets must increase from call to call.
  ApplyOutcome Apply(int64_t aOffset, const Record& aRecord);

  // Slot that a key hashes to. Keys have the forms "program/ID",
  // "organisation/NAME", "ledger/KEY" and "model/NAME".
  int SlotOf(const std::string& aKey) const;

  int64_t LastOffset() const { return this->lastOffset; }
  const std::map<std::string, Member>& Members() const { return this->members; }
  const std::vector<Slot>& Slots() const { return this->slots; }
  const ConfigVersion& Config() const { return this->config; }
  const std::map<std::string, std::shared_ptr<ProgramState>>& Programs() const
  {
    return this->programs;
  }
  // Copy of a program that shares its turns; empty if the id is unknown.
  std::optional<ProgramState> Program(const std::string& aId) const;
  // Null if the key is unknown.
  const LedgerEntry* FindLedgerEntry(const std::string& aKey) const;
  // Whether a record with this header was already applied, with any verdict.
  bool HasSeen(const RecordHeader& aHeader) const;
  size_t LedgerSize() const { return this->ledger.size(); }

  // The complete state, for snapshots.
  Json ToJson() const;
  // Throws Json::exception if aJson is not a valid state.
  static ClusterState FromJson(const Json& aJson);

private:
  // Deduplication window: sequence numbers of one writer (one incarnation of a
  // host) that were applied.
  struct SequenceWindow
  {
    // All sequence numbers up to this one were applied or count as skipped.
    uint64_t floor = 0;
    // Applied sequence numbers above the floor.
    std::set<uint64_t> above;
    int64_t lastOffset = 0;
  };

  // False if the record is a duplicate.
  bool MarkSeen(const RecordHeader& aHeader, int64_t aOffset);
  void EvictStaleWriters(int64_t aOffset);
  bool IsMember(const RecordHeader& aHeader) const;
  // Votes to expire aMember whose voters are still members.
  int CountExpiryVotes(const Member& aMember) const;
  void FreeSlotsOf(const std::string& aHost);
  // kAccepted if the incarnation is a member whose newest renewal is at
  // aRenewal; otherwise kNotMember or kStaleRenewal.
  Verdict CheckLastRenewal(const std::string& aHost,
                           const std::string& aIncarnation,
                           int64_t aRenewal) const;
  void RemoveMember(const std::string& aHost);
  bool OwnsSlotInEpoch(const RecordHeader& aHeader,
                       int aSlot,
                       int64_t aEpoch) const;
  ProgramState* FindProgram(const std::string& aId);
  // Returns the budget of an ended sub-agent to its parent, less what it spent.
  void SettleWithParent(ProgramState& aChild);
  // Evicts the programs that ended first once there are too many ended ones.
  void EvictEndedPrograms();

  ApplyOutcome ApplyBody(int64_t, const RecordHeader&, const MemberJoined&);
  ApplyOutcome ApplyBody(int64_t, const RecordHeader&, const MemberRenewed&);
  ApplyOutcome ApplyBody(int64_t, const RecordHeader&, const MemberLeft&);
  ApplyOutcome ApplyBody(int64_t, const RecordHeader&, const MemberExpired&);
  ApplyOutcome ApplyBody(int64_t, const RecordHeader&, const MemberRemoved&);
  ApplyOutcome ApplyBody(int64_t, const RecordHeader&, const SlotsClaimed&);
  ApplyOutcome ApplyBody(int64_t, const RecordHeader&, const SlotsReleased&);
  ApplyOutcome ApplyBody(int64_t, const RecordHeader&, const ConfigApplied&);
  ApplyOutcome ApplyBody(int64_t, const RecordHeader&, const ProgramOpened&);
  ApplyOutcome ApplyBody(int64_t, const RecordHeader&, const CallStarted&);
  ApplyOutcome ApplyBody(int64_t, const RecordHeader&, const CallFinished&);
  ApplyOutcome ApplyBody(int64_t, const RecordHeader&, const CallVoided&);
  ApplyOutcome ApplyBody(int64_t, const RecordHeader&, const ProgramEnded&);
  ApplyOutcome ApplyBody(int64_t, const RecordHeader&, const RequestStarted&);
  ApplyOutcome ApplyBody(int64_t, const RecordHeader&, const RequestFinished&);
  ApplyOutcome ApplyBody(int64_t, const RecordHeader&, const RequestVoided&);
  ApplyOutcome ApplyBody(int64_t, const RecordHeader&, const Snapshot&);

  int64_t lastOffset = -1;
  std::map<std::string, Member> members;
  std::vector<Slot> slots;
  ConfigVersion config;
  std::map<std::string, std::shared_ptr<ProgramState>> programs;
  // Ids of ended programs, in the order in which they ended.
  std::vector<std::string> endedPrograms;
  std::map<std::string, LedgerEntry> ledger;
  // Keys of finished ledger entries by startedOffset, for eviction.
  std::map<int64_t, std::string> finishedRequests;
  // By "HOST/INCARNATION".
  std::map<std::string, SequenceWindow> writers;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_STATE_CLUSTER_STATE_H_
