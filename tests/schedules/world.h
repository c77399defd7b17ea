// A small model of two to four daemons, their clocks, links, one log and one
// engine, driven by a seeded random schedule, with judges that know the truth.
//
// It tests decisions (ownership/, the fold of state/, the protocols of the
// request ledger, program calls, budgets, configuration, rates), not the
// daemon's code around them. Invariants of the model: the log may take effect
// and lose the answer, delay a copy past the death of its sender, and fail;
// clocks of two daemons differ in rate by less than margin / lease; any daemon
// may pause or die between any two steps. A seed gives the same schedule
// everywhere.
#ifndef TANAGERSEAM_TESTS_SCHEDULES_WORLD_H_
#define TANAGERSEAM_TESTS_SCHEDULES_WORLD_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "limit/limit.h"
#include "ownership/ownership.h"

namespace tanagerseam::schedules {

constexpr int kSlots = 4;
constexpr int kMinDaemons = 2;
constexpr int kMaxDaemons = 4;
constexpr int64_t kParentBudget = 40;
constexpr int64_t kChildBudget = 15;

// A mechanism that is left out, to show that the judges notice.
enum class Omission
{
  kNothing,
  kReplayBeforeDispatch,
  kMarginOfExpiry,
  kDoubtAfterDispatch,
  kLeaseCheck,
  kLeaseFromSending,
  kPromises,
  kReservationOfBudget,
  kReplayedOffsetOfJoin,
  kVotesOfExpiry,
  kLeaseGivenUpOnLeaving,
  kWritersInSnapshot,
  kEmptyAfterTakeover,
  kCountingOfLoans,
  kLeaseOfGrant,
};

// What a record of one's own is about, until the own replay shows it.
struct Pending
{
  enum class Kind
  {
    kRequest,
    kCallStart,
    kCallFinish,
  };
  Kind kind = Kind::kRequest;
  // The ledger's key or the program.
  std::string key;
  int attemptId = 0;
  bool cancelled = false;
  std::string answer;
};

// Work on its way to the engine.
struct Dispatch
{
  int daemon = 0;
  int process = 0;
  bool isCall = false;
  std::string key;
  int attemptId = 0;
  int64_t epoch = 0;
  int64_t call = 0;
  int64_t attempt = 0;
  int64_t reserved = 0;
};

using RecordId = std::pair<std::string, uint64_t>;

LimitSettings
RateLimits();

// What a daemon knows of the organisation's rate, as owner and as borrower.
struct RateSide
{
  OrganisationBuckets buckets{ RateLimits() };
  BorrowedLoans loans;
  int64_t heldEpoch = 0;
  int64_t givenUpEpoch = 0;
  int64_t claimedEpoch = 0;
  TimePoint claimedAt{};
};

// One daemon: what dies with its process, and its links and clock.
struct Replica
{
  std::string host;
  int index = 0;
  int process = 0;
  int incarnation = 0;
  bool alive = false;
  bool paused = false;
  bool reachesLog = true;
  // Reads of the log hang while appends go through.
  bool readsHang = false;
  bool reachesPeers = true;
  int rateMille = 1000;
  ClusterState state{ kSlots };
  std::unique_ptr<OwnershipDecider> decider;
  uint64_t sequence = 0;
  uint64_t joinSequence = 0;
  std::deque<Record> queue;
  std::vector<Record> batch;
  std::map<RecordId, Pending> pending;
  std::set<std::string> callsInWork;
  // Granted promises whose answers are on the way: asked at, for how long.
  std::vector<std::pair<TimePoint, Millis>> promises;
  int64_t seenVersion = 0;
  // Records that a slow thread decided on and has not submitted.
  std::vector<RecordBody> late;
  bool leaving = false;
  RateSide rates;

  std::string Incarnation() const { return std::to_string(this->incarnation); }
  bool Running() const { return this->alive && !this->paused; }
};

class World
{
public:
  World(uint64_t aSeed, Omission aOmission, bool aTrace);

  // Runs the schedule; empty, or what went wrong.
  std::string Run(int aSteps);
  const std::vector<std::string>& Trace() const { return this->trace; }
  // Things that happened, to see that schedules reach what they should.
  std::map<std::string, int64_t> Counts() const { return this->counts; }

private:
  struct DelayedAppend
  {
    int64_t dueMillis = 0;
    std::vector<Record> batch;
  };

  // world.cc: schedule, log and judges.
  size_t Below(size_t aBound) { return this->random() % aBound; }
  bool Chance(int aPercent) { return int(this->Below(100)) < aPercent; }
  void Note(const std::string& aText);
  void Fail(const std::string& aText);
  void Step();
  void Advance();
  void Fault(Replica& aReplica);
  void Kill(Replica& aReplica);
  void Request(Replica& aReplica);
  void AppendToLog(const std::vector<Record>& aBatch);
  void LandDelayed();
  bool TryAppend(const std::vector<Record>& aBatch);
  void Apply(const Record& aRecord);
  void TakeSnapshot();
  void JudgeAccepted(const Record& aRecord, const std::vector<Slot>& aBefore);
  void JudgeSnapshot();
  void JudgeSlots();
  void JudgeBudgets();
  void JudgeHistories();

  // replica.cc: one daemon's turn.
  TimePoint LocalTime(const Replica& aReplica) const;
  RecordId Send(Replica& aReplica, const RecordBody& aBody);
  void Start(Replica& aReplica);
  void Join(Replica& aReplica);
  void Turn(Replica& aReplica);
  void WriteLog(Replica& aReplica);
  bool ReadLog(Replica& aReplica);
  void OnReplayed(Replica& aReplica,
                  const Record& aRecord,
                  const ApplyOutcome& aOutcome);
  void AskPromises(Replica& aReplica);
  void Leave(Replica& aReplica);
  std::set<int> BusySlots(const Replica& aReplica) const;
  bool MayAct(const Replica& aReplica, const std::string& aKey) const;

  // work.cc: requests, calls, configuration, engine.
  void SubmitRequest(Replica& aReplica);
  void SubmitCall(Replica& aReplica);
  void SubmitConfig(Replica& aReplica);
  void EndProgram(Replica& aReplica);
  void SubmitLate(Replica& aReplica);
  void ClaimOwnedSlot(Replica& aReplica);
  void VoidOfFormerOwner(Replica& aReplica);
  void CancelPending(Replica& aReplica);
  void OnOwnRecord(Replica& aReplica,
                   const Record& aRecord,
                   const ApplyOutcome& aOutcome,
                   const Pending& aPending);
  void OnRequestStarted(Replica& aReplica,
                        const RequestStarted& aBody,
                        Verdict aVerdict,
                        const Pending& aPending);
  void OnCallStarted(Replica& aReplica,
                     const CallStarted& aBody,
                     Verdict aVerdict);
  void OnCallFinished(const CallFinished& aBody, const Pending& aPending);
  void RunEngine();
  void Execute(const Dispatch& aDispatch);
  void RefuseAtEngine(const Dispatch& aDispatch);
  void VoidDispatch(Replica& aReplica, const Dispatch& aDispatch);
  void ReturnAnswer(Replica& aReplica,
                    const Dispatch& aDispatch,
                    const std::string& aAnswer,
                    int64_t aUsed);
  void AnswerNotRun(int aAttemptId);

  // rates.cc: one organisation's bucket.
  void MaybeRequestRate();
  void RequestRate(Replica& aReplica);
  std::optional<RateDecision> AskRate(Replica& aReplica);
  std::optional<RateDecision> GrantRate(Replica& aOwner,
                                        const std::string& aBorrower);
  void HoldRate(Replica& aOwner);
  void OnSlotsClaimed(Replica& aOwner, const std::vector<int>& aSlots);
  void HandOverRate(Replica& aOwner, SlotsReleased& aRelease);
  void ReturnLoans(Replica& aReplica);
  void ServeRate(const std::string& aHow);

  std::mt19937_64 random;
  // Of their own, so that rates leave the rest of a schedule as it is.
  std::mt19937_64 rateRandom;
  const Omission omission;
  const bool traceOn;
  LeaseSettings settings;
  int64_t millis = 1;
  bool logUp = true;
  std::vector<Record> log;
  // The fold of the whole log, and its verdicts.
  ClusterState truth{ kSlots };
  std::vector<Verdict> verdicts;
  // A state read back from a snapshot that follows the log since.
  std::optional<ClusterState> restored;
  // The newest snapshot, for daemons that start.
  std::optional<Json> snapshot;
  std::vector<DelayedAppend> delayed;
  std::vector<Replica> replicas;
  std::vector<Dispatch> dispatches;

  int lastAttemptId = 0;
  int lastConfig = 0;
  std::map<std::string, int> executions;
  std::set<int> executedAttempts;
  std::set<int> notRunAttempts;
  std::map<std::string, int64_t> usedTokens;
  std::map<std::string, std::map<int64_t, std::string>> answered;
  std::map<int64_t, std::string> configWinners;
  int64_t ratesServed = 0;
  double leastRateExcess = 0;

  std::string failure;
  std::vector<std::string> trace;
  std::map<std::string, int64_t> counts;
};

} // namespace tanagerseam::schedules

#endif // TANAGERSEAM_TESTS_SCHEDULES_WORLD_H_
