// What belongs to a whole program: its token budget and its history.
//
//   BudgetService budgets(io, log, settings);
//   budgets.Reserve("club/p-1", 2304, 288, BudgetUse::kAhead, giveUpAt,
//                   [](BudgetVerdict aVerdict) { ... });
//   budgets.Settle("club/p-1", 288, 144);
//
//   HistoryService history(io, log, settings);
//   history.Find("club", "turn-7", giveUpAt, [](const HistoryResult& aFound) {
//     ...
//   });
//   history.Keep(turn, giveUpAt, [](bool aKept) { ... });
//
// Both keep what must last in a RecordLog, spread over many partitions, and
// only a cache in memory: a host that starts anew, or takes a program over,
// reads one small partition.
//
// Budgets. A grant is a record in the program's partition. Everyone folds the
// records of a partition in the order of their offsets and comes to the same
// verdict: a grant holds if it fits into what is left of the budget. So no host
// owns a program, and a lost answer or a second copy changes nothing. A host
// asks for more than one turn's worth at a time and hands it out without
// another call; what it doesn't use within kIdleReturn it gives back, as soon
// as the log takes it. Invariant: tokens handed out by all hosts <= tokens of
// grants that hold, less what was given back, <= budget. A host that dies takes
// its unused part along.
//
// History. A turn is a record in the partition of its own id, or in one of two
// others if that can't be written, with the text of all turns before it while
// that is short, else with the id of the turn before.
// Invariant: a turn whose Keep succeeded is found by every later Find.
//
// Cost: a grant is one append, and a read if others wrote to the partition
// since; a turn is one append; a turn that this host doesn't know is one read.
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

// Where a family of records lies.
struct PartitionSpread
{
  std::string topicPrefix;
  int topics = 1;
  int partsPerTopic = 1;
};

LogPartition
PartitionOf(const PartitionSpread& aSpread, const std::string& aKey);

// The partition of aKey, and others in case that it can't be written.
std::vector<LogPartition>
PartitionsOf(const PartitionSpread& aSpread, const std::string& aKey);

// ---- budgets

enum class BudgetRecordKind
{
  kGrant,
  kReturn,
};

struct BudgetRecord
{
  BudgetRecordKind kind = BudgetRecordKind::kGrant;
  // Unique; a second record with the same id is a copy.
  std::string id;
  std::string program;
  // Incarnation of the host that asked.
  std::string holder;
  int64_t tokens = 0;
  // The whole budget of the program.
  int64_t budget = 0;
};

std::string
Encode(const BudgetRecord& aRecord);
// Nothing for bytes that are no such record.
std::optional<BudgetRecord>
ParseBudgetRecord(const std::string& aData);

// The fold over the records of one partition.
class BudgetLedger
{
public:
  // True if the record is a grant that holds. Copies change nothing and have
  // the verdict of the first.
  bool Apply(const BudgetRecord& aRecord);
  bool Holds(const std::string& aGrantId) const;
  // Tokens of a program that are granted and not given back.
  int64_t Granted(const std::string& aProgram) const;

private:
  std::unordered_map<std::string, int64_t> granted;
  std::unordered_map<std::string, bool> verdicts;
};

enum class BudgetVerdict
{
  kReserved,
  kSpent,
  // The log could not be reached in time.
  kUnknown,
};

// How a host uses the budget of a program.
enum class BudgetUse
{
  // It hands out tokens for many turns: ask for some ahead.
  kAhead,
  // For this turn only: what is not used goes back at once.
  kOnce,
};

struct ProgramSettings
{
  // Name of this start of this host; grants belong to it.
  std::string incarnation;
  PartitionSpread budgets{ "budgets-", 12, 12 };
  PartitionSpread turns{ "turns-", 80, 12 };
  // Part of a budget that is asked for at a time, as a divisor.
  int64_t grantDivisor = 4;
  size_t maxHistoryBytes = 24u << 20;
};

class BudgetService
{
public:
  // An unused part is given back after this time without a turn.
  static constexpr Millis kIdleReturn{ 600 };
  // What nobody asked about for so long is forgotten.
  static constexpr Millis kForgetAfter{ 120000 };

  using Callback = std::function<void(BudgetVerdict)>;

  BudgetService(PersistentLog& aLog, ProgramSettings aSettings);

  // Sets aMost tokens aside; may answer before it returns.
  void Reserve(const std::string& aProgram,
               int64_t aBudget,
               int64_t aMost,
               BudgetUse aUse,
               TimePoint aGiveUpAt,
               Callback aDone);
  // No turn of the program is under way or was served, as far as this host
  // knows.
  bool Begins(const std::string& aProgram) const;
  // Ends a reservation of aMost tokens, of which aUsed were handed out.
  void Settle(const std::string& aProgram, int64_t aMost, int64_t aUsed);
  // Gives back what lies idle; a few times a second.
  void Tick(TimePoint aNow);
  // Gives back all that is unused, at the end of the process.
  void ReturnAll();

private:
  struct Waiter
  {
    int64_t most = 0;
    TimePoint giveUpAt;
    Callback done;
  };
  struct Program
  {
    int64_t budget = 0;
    int64_t available = 0;
    int inFlight = 0;
    bool served = false;
    bool asking = false;
    // A return that is not known to be in the log; the same record is sent
    // until it is, since a copy changes nothing.
    std::optional<BudgetRecord> unreturned;
    bool returning = false;
    BudgetUse use = BudgetUse::kAhead;
    // A grant of this size did not fit lately.
    int64_t refusedTokens = 0;
    TimePoint usedAt{};
    std::deque<Waiter> waiters;
  };
  struct Partition
  {
    BudgetLedger ledger;
    int64_t next = 0;
    TimePoint usedAt{};
  };

  // Tokens to ask for beyond what is needed now.
  int64_t Ahead(const Program& aProgram) const;
  void Ask(const std::string& aProgram, int64_t aTokens, TimePoint aGiveUpAt);
  void OnAppended(const std::string& aProgram,
                  const BudgetRecord& aRecord,
                  const AppendResult& aResult,
                  TimePoint aGiveUpAt);
  void OnVerdict(const std::string& aProgram,
                 const BudgetRecord& aRecord,
                 TimePoint aGiveUpAt);
  void Fold(Partition& aPartition, const std::string& aData);
  void ServeWaiters(const std::string& aProgram);
  void FailWaiters(const std::string& aProgram, BudgetVerdict aVerdict);
  void AskForWaiters(const std::string& aProgram);
  void GiveBack(const std::string& aProgram, Program& aState);
  void SendReturn(const std::string& aProgram);
  Partition& PartitionFor(const std::string& aProgram);
  std::string NextId();

  PersistentLog& log;
  ProgramSettings settings;
  std::unordered_map<std::string, Program> programs;
  std::map<LogPartition, Partition> partitions;
  uint64_t nextId = 1;
};

// ---- history

struct KeptTurn
{
  std::string id;
  std::string organisation;
  // Id of the turn before; empty at the start.
  std::string previous;
  std::string input;
  // The data of each event, each followed by a line feed.
  std::string output;
};

enum class HistoryMiss
{
  // There certainly is no such turn of this organisation.
  kNoSuchTurn,
  // The log could not be reached in time.
  kUnknown,
};

// Inputs and outputs of a turn and all before it, oldest first.
using Transcript = std::shared_ptr<const std::string>;
using HistoryResult = std::variant<Transcript, HistoryMiss>;

class HistoryService
{
public:
  // A record holds the text before its turn up to this size.
  static constexpr size_t kMaxInlineBytes = 64u << 10;
  static constexpr Millis kForgetAfter{ 120000 };

  HistoryService(PersistentLog& aLog, ProgramSettings aSettings);

  // The transcript up to and with aTurn; may answer before it returns.
  void Find(const std::string& aOrganisation,
            const std::string& aTurn,
            TimePoint aGiveUpAt,
            std::function<void(const HistoryResult&)> aDone);
  // aBefore is the transcript up to aTurn.previous; null at the start.
  void Keep(KeptTurn aTurn,
            Transcript aBefore,
            TimePoint aGiveUpAt,
            std::function<void(bool)> aDone);
  size_t CachedBytes() const { return this->cachedBytes; }

private:
  struct Cached
  {
    std::string id;
    std::string organisation;
    Transcript transcript;
    TimePoint usedAt{};
  };
  struct StoredTurn;

  // Looks into the aTry-th partition of the turn, and into the next ones.
  void Look(const std::string& aOrganisation,
            const std::string& aTurn,
            size_t aTry,
            TimePoint aGiveUpAt,
            std::function<void(const HistoryResult&)> aDone);
  void Resolve(const StoredTurn& aTurn,
               TimePoint aGiveUpAt,
               std::function<void(const HistoryResult&)> aDone);
  void Remember(const std::string& aId,
                const std::string& aOrganisation,
                Transcript aTranscript);
  static std::optional<StoredTurn> Parse(const std::string& aData);

  PersistentLog& log;
  ProgramSettings settings;
  // Newest use first.
  std::list<Cached> cache;
  std::unordered_map<std::string, std::list<Cached>::iterator> index;
  size_t cachedBytes = 0;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_PROGRAM_PROGRAM_H_
