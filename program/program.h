// Durable per-program state in the record log: token budgets and turn history.
//
//   BudgetService budgets(log, settings);
//   budgets.Reserve("club/p-1", 2304, 288, GrantMode::kBatch, deadline,
//                   [](BudgetVerdict aVerdict) { ... });
//   budgets.Settle("club/p-1", 288, 144);
//
//   HistoryService history(log, settings);
//   history.Find("club", "turn-7", deadline,
//                [](const HistoryResult& aFound) { ... });
//   history.Store(turn, prior, deadline, [](bool aStored) { ... });
//   history.Store(turn, prior, deadline, write, done);
//
// Both services write their durable state to a RecordLog, spread over many
// partitions, and keep only a cache in memory. A host that restarts or takes
// over a program reads one small partition.
//
// Budgets. A grant is a record in the program's partition. Every host applies
// the records of a partition in offset order, so all hosts reach the same
// verdict: a grant is accepted if it fits into the remaining budget. The log
// forgets old records. So each record states the sum of its program that the
// writer knew, and one host writes the sums of a partition as a checkpoint
// before the records that state them expire. The oldest record that is left is
// never taken for the beginning of a program. No host
// owns a program, and a lost acknowledgement or a duplicate record changes
// nothing. A host requests grants for more than one turn and reserves turns
// from them without further appends. Tokens left unused for kIdleBeforeReturn
// are returned, unless the log is failing: then they are kept, since the
// program can use nothing else. Invariant: tokens used on all hosts <= accepted
// grants - returned tokens <= budget.
//
// Nobody can tell which tokens of a crashed host were used, so they are lost to
// the program. While kTurnsKeptOutside turns are not granted to any host, that
// ends no program. A grant for more than the waiting turns leaves that much.
// Once there is less, a program is nearly spent: each turn returns what it did
// not use before its client sees its end, so that a crash costs only the turns
// that it breaks off.
//
// History. A turn is a record in the partition of its id, or in one of two
// fallback partitions if that one can't be written. The record contains the
// text of all earlier turns while the transcript is at most kMaxInlineBytes,
// and the id of the previous turn otherwise. A record may be written in both
// forms, both under the turn's id: they lead to the same transcript.
// A turn that is kept for longer than the log keeps records is also written to
// a topic that forgets nothing by itself. Invariant: a turn whose Store
// succeeded is found by every Find within its time that can read the log. A
// record names the previous turn only if the records of the earlier turns
// outlast the time for which this turn is kept.
//
// Cost: a grant is one append, plus a read if other hosts have written to the
// partition since, or this host has not read it lately. A checkpoint is a read
// and an append of a partition, a few times in the log's retention. Storing a
// turn is one append, or two if it outlasts the log's records. Finding a turn
// that is not cached is one read for each candidate partition tried and each
// earlier turn whose text is not inlined, and up to three more where the log
// has forgotten records.
#ifndef TANAGERSEAM_PROGRAM_PROGRAM_H_
#define TANAGERSEAM_PROGRAM_PROGRAM_H_

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>

#include "recordlog/persistent_log.h"

namespace tanagerseam {

// Topics and partitions over which one kind of record is spread.
struct PartitionLayout
{
  std::string topicPrefix;
  int topicCount = 1;
  int partitionsPerTopic = 1;
};

LogPartition
PartitionOf(const PartitionLayout& aLayout, const std::string& aKey);

std::vector<LogPartition>
AllPartitions(const PartitionLayout& aLayout);

// As an owner is asked for.
std::string
NameOf(const LogPartition& aPartition);

// The partition of aKey, followed by two fallbacks for failed appends.
std::vector<LogPartition>
CandidatePartitions(const PartitionLayout& aLayout, const std::string& aKey);

// ---- budgets

enum class BudgetRecordKind
{
  kGrant,
  kReturn,
  // States the sums of programs once more.
  kCheckpoint,
};

// Tokens of a program that are granted and not returned, after the records of
// its partition before `offset`.
struct BudgetSum
{
  int64_t offset = 0;
  int64_t outstandingTokens = 0;
};

// A program in a checkpoint.
struct ProgramSum
{
  std::string program;
  int64_t outstandingTokens = 0;
  // The program has had no grant and no return for at least this long.
  Millis idle{ 0 };
};

struct BudgetRecord
{
  BudgetRecordKind kind = BudgetRecordKind::kGrant;
  // Idempotency key: later records with the same id are duplicates.
  std::string id;
  // Empty for a checkpoint.
  std::string program;
  // Incarnation of the host that wrote the record.
  std::string holder;
  // Of a return, negative if turns used more than was granted for them.
  int64_t tokens = 0;
  // Total budget of the program.
  int64_t budget = 0;
  // What the writer knew before this record. Records of the build before state
  // nothing.
  std::optional<BudgetSum> known;
  // Of a checkpoint: sums after the records before known->offset.
  std::vector<ProgramSum> sums;
};

std::string
Encode(const BudgetRecord& aRecord);
// std::nullopt if aData is not a valid record.
std::optional<BudgetRecord>
ParseBudgetRecord(const std::string& aData);

class BudgetLog;
class BudgetCheckpoints;

enum class BudgetVerdict
{
  kReserved,
  // The remaining budget does not cover the reservation.
  kBudgetExhausted,
  // The log did not respond before the deadline, or a return could not be
  // written.
  kUnavailable,
};

// Size of the grants that a host requests for a program.
enum class GrantMode
{
  // Grants cover many turns; a new one is requested before the last runs out.
  kBatch,
  // Grants cover the waiting turns only; unused tokens are returned at once.
  kSingleTurn,
};

struct ProgramSettings
{
  // Identifies this run of the host's process; the holder of its grants.
  std::string incarnation;
  PartitionLayout budgets{ "budgets-", 12, 12 };
  PartitionLayout turns{ "turns-", 80, 12 };
  PartitionLayout keptTurns{ "keyed.turns-", 1, 12 };
  // A kBatch grant requests at least 1/grantDivisor of the tokens that are not
  // granted, as long as enough of them are left.
  int64_t grantDivisor = 4;
  size_t maxHistoryCacheBytes = 24u << 20;
  // How long the log keeps a record.
  Millis logRetention = kDefaultLogRetention;
};

class BudgetService
{
public:
  // Unused tokens are returned after this time without a turn.
  static constexpr Millis kIdleBeforeReturn{ 600 };
  // Programs are evicted from memory after this time without use, partitions
  // after twice this time.
  static constexpr Millis kEvictAfterIdle{ 120000 };
  // One may be broken off by a crash, and the program goes on with the other.
  static constexpr int64_t kTurnsKeptOutside = 2;

  using Callback = std::function<void(BudgetVerdict)>;

  BudgetService(RetryingLog& aLog, ProgramSettings aSettings);
  ~BudgetService();
  BudgetService(const BudgetService&) = delete;
  BudgetService& operator=(const BudgetService&) = delete;

  // A program that was stopped may come back within this time. Its sum is kept
  // for twice as long, since turns that a grant covers leave no record.
  void SetKeepTime(Millis aTime);
  // Writes checkpoints of the partitions for whose names aIsOwner is true.
  // Without a call this host writes none.
  void SetCheckpointOwner(std::function<bool(const std::string&)> aIsOwner);
  // Reserves aReservedTokens for a turn; aDone may run before Reserve returns.
  void Reserve(const std::string& aProgram,
               int64_t aBudget,
               int64_t aReservedTokens,
               GrantMode aMode,
               TimePoint aDeadline,
               Callback aDone);
  // True if the tokens that are granted to this host cover the reservation.
  bool CanReserveWithoutLog(const std::string& aProgram,
                            int64_t aReservedTokens) const;
  // True if this host has no turn of the program in flight or waiting and has
  // not served one since it last evicted the program.
  bool IsNewProgram(const std::string& aProgram) const;
  // True if fewer than kTurnsKeptOutside turns of aTurnTokens are not granted.
  bool IsNearlySpent(const std::string& aProgram, int64_t aTurnTokens);
  // Ends a reservation and makes its unused tokens available again. Tokens used
  // beyond it are charged to the program as well.
  void Settle(const std::string& aProgram,
              int64_t aReservedTokens,
              int64_t aUsedTokens);
  // Returns unused tokens of a reservation, which may be one of another host.
  // The reservation has to be settled as if they were used. aDone(false): the
  // return is not acknowledged; it is resent until it is.
  void Return(const std::string& aProgram,
              int64_t aBudget,
              int64_t aTokens,
              std::function<void(bool)> aDone);
  // Returns idle tokens and evicts unused state; call a few times a second.
  void Tick(TimePoint aNow);
  // Returns the available tokens of all programs; for process shutdown.
  void ReturnUnused();

private:
  struct Waiter
  {
    int64_t reservedTokens = 0;
    TimePoint deadline;
    Callback done;
  };
  // A return whose append is not acknowledged yet. The same record is resent
  // until it is, since duplicates change nothing.
  struct PendingReturn
  {
    BudgetRecord record;
    // Empty if nobody waits for the acknowledgement.
    std::function<void(bool)> done;
  };
  struct UncreditedGrant
  {
    std::string program;
    TimePoint requestedAt{};
    // When the log is read for it; unset while its append is under way.
    TimePoint searchAt{};
    Millis searchInterval{ 500 };
  };
  struct Program
  {
    int64_t budget = 0;
    // Granted to this host and not reserved; negative if turns used more than
    // was reserved for them.
    int64_t availableTokens = 0;
    int turnsInFlight = 0;
    bool servedTurn = false;
    bool grantPending = false;
    // Appended one after the other.
    std::deque<PendingReturn> pendingReturns;
    bool returnInFlight = false;
    GrantMode mode = GrantMode::kBatch;
    // Size of the last rejected grant; 0 after a settlement or a return.
    int64_t rejectedGrantTokens = 0;
    TimePoint lastUsedAt{};
    std::deque<Waiter> waiters;
  };
  // Tokens of the budget that are not granted, as far as this host knows.
  int64_t OutsideTokens(const std::string& aProgram, int64_t aBudget);
  // True if a grant of aTokens leaves enough outside for a crash.
  bool LeavesEnough(const std::string& aProgram,
                    const Program& aState,
                    int64_t aTokens,
                    int64_t aTurnTokens);
  // Smallest grant to request, even if the waiting turns need less.
  int64_t MinGrantTokens(const std::string& aProgram,
                         const Program& aState,
                         int64_t aTurnTokens);
  // Requests a grant for later turns, after one of aTurnTokens.
  void RequestGrantAhead(const std::string& aProgram, int64_t aTurnTokens);
  // The size of a grant that covers the waiters.
  int64_t TokensForWaiters(const std::string& aProgram, const Program& aState);
  // Appends a grant record; OnGrantDecided follows once its verdict is known.
  void RequestGrant(const std::string& aProgram,
                    int64_t aTokens,
                    TimePoint aDeadline);
  void OnGrantDecided(const std::string& aProgram, const BudgetRecord& aRecord);
  // aGrant is empty if none was requested.
  void OnGrantUnanswered(const std::string& aProgram,
                         const std::string& aGrant);
  // Reads the log for grants that got no answer: the log may have accepted them
  // all the same, and then their tokens are unused.
  void SearchUnansweredGrants(TimePoint aNow);
  // A record was applied to a ledger for the first time. Credits grants of this
  // host.
  void OnRecordApplied(const BudgetRecord& aRecord, bool aAccepted);
  // Reserves tokens for waiters in arrival order while they suffice.
  void ServeWaiters(const std::string& aProgram);
  // Fails waiters past their deadline and requests a grant for the others.
  void FailExpiredWaiters(const std::string& aProgram, BudgetVerdict aVerdict);
  // Requests a grant that covers the waiters, or first resends a pending
  // return. Does nothing while a grant or return is in flight.
  void RequestGrantForWaiters(const std::string& aProgram);
  // Returns all available tokens.
  void ReturnAvailable(const std::string& aProgram, Program& aState);
  // Appends the oldest pending return, unless one is in flight.
  void AppendReturn(const std::string& aProgram);
  void OnReturnAppended(const std::string& aProgram, bool aApplied);
  // Fails what waits for a pending return; Tick resends the returns.
  static void OnReturnsUnanswered(const std::string& aProgram, Program& aState);
  // True if the program has no turn and no record under way.
  static bool IsInactive(const Program& aProgram);
  std::string NextId();

  RetryingLog& log;
  ProgramSettings settings;
  std::unordered_map<std::string, Program> programs;
  // Grants of this host that were not credited yet, by id. One that is read
  // again later counts nothing.
  std::unordered_map<std::string, UncreditedGrant> uncreditedGrants;
  std::unique_ptr<BudgetLog> budgetLog;
  std::unique_ptr<BudgetCheckpoints> checkpoints;
  // Sums of programs that were not in use for longer are given up.
  Millis keepSumsFor{ 120000 };
  TimePoint forgetAt{};
  uint64_t nextId = 1;
};

// ---- history

struct CompletedTurn
{
  std::string id;
  std::string organisation;
  // Id of the previous turn; empty for the first turn.
  std::string previous;
  std::string input;
  // The data of each event, each followed by a line feed.
  std::string output;
  // How long the turn can be continued.
  Millis keepFor{ 60000 };
};

// The record of a turn, to be written to the log.
struct TurnWrite
{
  // Id of the turn.
  std::string turn;
  // The record goes to one of these; the first is preferred.
  std::vector<LogPartition> partitions;
  std::string record;
  // The record without the text of earlier turns.
  std::function<std::string()> shortRecord;
  TimePoint deadline{};
};

// Writes the record of a turn and calls the function once.
using WriteTurn =
  std::function<void(TurnWrite, std::function<void(const AppendResult&)>)>;

enum class HistoryMiss
{
  // The turn does not exist or belongs to another organisation.
  kNoSuchTurn,
  // The log could not be read before the deadline.
  kUnavailable,
};

// Inputs and outputs of a turn and all earlier turns, oldest first.
using Transcript = std::shared_ptr<const std::string>;
using HistoryResult = std::variant<Transcript, HistoryMiss>;

class KeptTurns;

class HistoryService
{
public:
  // Largest transcript whose earlier turns are inlined in the record.
  static constexpr size_t kMaxInlineBytes = 64u << 10;
  // The same where the records of the earlier turns would expire too early. The
  // log takes records of 256 KiB.
  static constexpr size_t kMaxRecordTextBytes = 240u << 10;
  // Transcripts are evicted after this time without use.
  static constexpr Millis kEvictAfterIdle{ 120000 };

  HistoryService(RetryingLog& aLog, ProgramSettings aSettings);
  ~HistoryService();
  HistoryService(const HistoryService&) = delete;
  HistoryService& operator=(const HistoryService&) = delete;

  // This host tidies up the partitions for whose names aIsOwner is true.
  void SetOwner(std::function<bool(const std::string&)> aIsOwner);
  // Drops what need not be kept any more; call a few times a second.
  void Tick(TimePoint aNow);
  // The transcript up to and including aTurn; aDone may run before Find
  // returns.
  void Find(const std::string& aOrganisation,
            const std::string& aTurn,
            TimePoint aDeadline,
            std::function<void(const HistoryResult&)> aDone);
  // aPrior is the transcript up to aTurn.previous; null for the first turn.
  void Store(CompletedTurn aTurn,
             Transcript aPrior,
             TimePoint aDeadline,
             std::function<void(bool)> aDone);
  // The same, but the record is written by aWrite.
  void Store(CompletedTurn aTurn,
             Transcript aPrior,
             TimePoint aDeadline,
             const WriteTurn& aWrite,
             std::function<void(bool)> aDone);
  // True for a record of a turn in one of the partitions of its id.
  bool IsTurnRecord(const LogPartition& aPartition,
                    const std::string& aRecord) const;
  size_t CachedBytes() const { return this->cachedBytes; }

private:
  struct CacheEntry
  {
    std::string id;
    std::string organisation;
    Transcript transcript;
    // When the oldest record was written that the transcript is read from;
    // unset if that is not known.
    TimePoint recordsWrittenAt{};
    TimePoint lastUsedAt{};
  };
  struct TurnRecord;
  // A turn that is looked for in the log.
  struct Lookup
  {
    std::string organisation;
    std::string turn;
    TimePoint deadline{};
    std::function<void(const HistoryResult&)> done;
    // A partition that was read has forgotten records.
    bool hasForgotten = false;
  };

  // Reads the candidate partition with index aCandidate, then the later ones.
  void FindInCandidate(const std::shared_ptr<Lookup>& aLookup,
                       size_t aCandidate);
  void FindInCopies(const std::shared_ptr<Lookup>& aLookup);
  // Null if no partition has the turn.
  void OnLookedUp(const Lookup& aLookup, const TurnRecord* aFound);
  // Writes the copy of a turn if it needs one.
  void WriteCopy(const TurnWrite& aTurn,
                 Millis aKeepFor,
                 const WriteTurn& aWrite,
                 std::function<void(const AppendResult&)> aDone);
  // Finds the earlier turns if the record does not contain them.
  void PrependPrior(const TurnRecord& aTurn,
                    TimePoint aDeadline,
                    std::function<void(const HistoryResult&)> aDone);
  void AddToCache(const std::string& aId,
                  const std::string& aOrganisation,
                  Transcript aTranscript,
                  TimePoint aRecordsWrittenAt);
  // See CacheEntry; unset if the turn is not in the cache.
  TimePoint RecordsWrittenAt(const std::string& aTurn) const;
  // True if records written then outlast a turn that is stored now and kept for
  // aKeepFor.
  bool RecordsLast(TimePoint aWrittenAt, Millis aKeepFor) const;
  static std::optional<TurnRecord> Parse(const std::string& aData);
  static std::string Encode(const TurnRecord& aTurn);

  RetryingLog& log;
  ProgramSettings settings;
  std::unique_ptr<KeptTurns> keptTurns;
  // Most recently used first.
  std::list<CacheEntry> cache;
  std::unordered_map<std::string, std::list<CacheEntry>::iterator> cacheById;
  size_t cachedBytes = 0;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_PROGRAM_PROGRAM_H_
