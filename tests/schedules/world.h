// Deterministic simulation of two to four daemons with their clocks, network
// links, one replicated log and one engine, driven by a seeded random schedule.
// Invariants are checked against a reference state replayed from the whole log.
//
// Usage:
//
//   Simulation simulation(seed, DisabledMechanism::kNone, false);
//   std::string failure = simulation.Run(200);   // empty if none
//
// The code under test makes the decisions: ownership/, the replay in state/,
// limit/, and the protocols of the request ledger, program calls, budgets,
// configuration and rate limits. The daemon's code around it is not tested.
//
// Fault model:
// - An append may take effect without an acknowledgement, be delayed past the
//   death of its sender, or fail.
// - Clock rates of two daemons differ by less than margin / lease.
// - Any daemon may pause or die between any two steps.
// A seed gives the same schedule on every platform.
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

// A mechanism that a simulation leaves out, to test that the checks detect it.
enum class DisabledMechanism
{
  kNone,
  // A request is dispatched only once its RequestStarted record is replayed.
  kReplayBeforeDispatch,
  // Expiry votes wait for lease + margin, not only for the lease.
  kExpiryMargin,
  // A dispatch whose response is lost is not voided.
  kUnknownOutcomeAfterDispatch,
  // Acting for a slot requires a valid lease.
  kLeaseCheck,
  // A lease is counted from sending its renewal, not from replaying it.
  kLeaseCountedFromSend,
  // A lease extension requires grants of enough peers.
  kExtensionQuorum,
  // A call is not dispatched if its reservation exceeds the budget.
  kBudgetReservation,
  // A join states the offset up to which the daemon has replayed the log.
  kJoinReplayedOffset,
  // An expiry takes several votes until maxOutage has passed.
  kExpiryQuorum,
  // A daemon relinquishes its lease before it appends MemberLeft.
  kLeaseRelinquishedOnLeave,
  // Snapshots contain the writers of the log.
  kWritersInSnapshot,
  // A bucket taken over without a known level starts empty.
  kEmptyBucketAfterTakeover,
  // Lent tokens stay deducted from the bucket until the loan is closed.
  kLoanAccounting,
  // Granting a rate request requires a valid lease of the owner.
  kLeaseCheckForGrant,
};

// Context of a record that this daemon sent and has not replayed yet.
struct PendingRecord
{
  enum class Kind
  {
    kRequest,
    kCallStart,
    kCallFinish,
  };
  Kind kind = Kind::kRequest;
  // Idempotency key in the request ledger, or program id.
  std::string key;
  int attemptId = 0;
  bool cancelled = false;
  std::string answer;
};

// Work sent to the engine and not executed yet.
struct Dispatch
{
  int daemonIndex = 0;
  int processNumber = 0;
  bool isCall = false;
  std::string key;
  int attemptId = 0;
  int64_t epoch = 0;
  int64_t call = 0;
  int64_t attempt = 0;
  int64_t reservedTokens = 0;
};

using RecordId = std::pair<std::string, uint64_t>;

LimitSettings
SimulationLimitSettings();

// A daemon's rate limiting state, as owner of the bucket and as borrower.
struct RateState
{
  OrganisationBuckets buckets{ SimulationLimitSettings() };
  BorrowedLoans loans;
  int64_t bucketEpoch = 0;
  int64_t relinquishedEpoch = 0;
  int64_t claimedEpoch = 0;
  TimePoint claimedAt{};
};

// One daemon: its process state, which a restart resets, its links and its
// clock.
struct SimulatedDaemon
{
  std::string host;
  int index = 0;
  int processNumber = 0;
  int incarnation = 0;
  bool alive = false;
  bool paused = false;
  bool reachesLog = true;
  // Log reads hang while appends succeed.
  bool logReadsHang = false;
  bool reachesPeers = true;
  int clockRatePermille = 1000;
  ClusterState state{ kSlots };
  std::unique_ptr<OwnershipDecider> decider;
  uint64_t sequence = 0;
  uint64_t joinSequence = 0;
  std::deque<Record> appendQueue;
  std::vector<Record> batch;
  std::map<RecordId, PendingRecord> pending;
  std::set<std::string> busyPrograms;
  // Granted lease extensions whose responses are in flight: request time, term.
  std::vector<std::pair<TimePoint, Millis>> pendingExtensions;
  int64_t seenConfigVersion = 0;
  // Records that a slow thread prepared and has not submitted yet.
  std::vector<RecordBody> staleRecords;
  bool leaving = false;
  RateState rates;

  std::string Incarnation() const { return std::to_string(this->incarnation); }
  bool Running() const { return this->alive && !this->paused; }
};

class Simulation
{
public:
  Simulation(uint64_t aSeed, DisabledMechanism aDisabledMechanism, bool aTrace);

  // Runs the schedule; returns the first violation, empty if there is none.
  std::string Run(int aSteps);
  const std::vector<std::string>& Trace() const { return this->trace; }
  // Occurrences of each kind of event, to check that schedules cover them.
  std::map<std::string, int64_t> Counts() const { return this->counts; }

private:
  struct DelayedAppend
  {
    int64_t dueMillis = 0;
    std::vector<Record> batch;
  };

  // world.cc: schedule, log and invariant checks.
  size_t DrawBelow(size_t aBound) { return this->randomEngine() % aBound; }
  bool Chance(int aPercent) { return int(this->DrawBelow(100)) < aPercent; }
  void AppendTrace(const std::string& aText);
  void Fail(const std::string& aText);
  void Step();
  void AdvanceTime();
  void InjectFault(SimulatedDaemon& aDaemon);
  void Kill(SimulatedDaemon& aDaemon);
  void SubmitWork(SimulatedDaemon& aDaemon);
  void AppendToLog(const std::vector<Record>& aBatch);
  void ApplyDelayedAppends();
  bool TryAppend(const std::vector<Record>& aBatch);
  void Apply(const Record& aRecord);
  void TakeSnapshot();
  void CheckAcceptedRecord(const Record& aRecord,
                           const std::vector<Slot>& aBefore);
  void CheckSnapshot();
  void CheckSlotOwnership();
  void CheckBudgets();
  void CheckTurnHistories();

  // replica.cc: one daemon's cycle.
  TimePoint LocalTime(const SimulatedDaemon& aDaemon) const;
  RecordId EnqueueRecord(SimulatedDaemon& aDaemon, const RecordBody& aBody);
  void Start(SimulatedDaemon& aDaemon);
  void Join(SimulatedDaemon& aDaemon);
  void RunCycle(SimulatedDaemon& aDaemon);
  void WriteLog(SimulatedDaemon& aDaemon);
  bool ReadLog(SimulatedDaemon& aDaemon);
  void OnRecordReplayed(SimulatedDaemon& aDaemon,
                        const Record& aRecord,
                        const ApplyOutcome& aOutcome);
  void RequestLeaseExtension(SimulatedDaemon& aDaemon);
  void Leave(SimulatedDaemon& aDaemon);
  std::set<int> BusySlots(const SimulatedDaemon& aDaemon) const;
  bool MayAct(const SimulatedDaemon& aDaemon, const std::string& aKey) const;

  // work.cc: requests, calls, configuration, engine.
  void SubmitRequest(SimulatedDaemon& aDaemon);
  void SubmitCall(SimulatedDaemon& aDaemon);
  void SubmitConfig(SimulatedDaemon& aDaemon);
  void EndProgram(SimulatedDaemon& aDaemon);
  void SubmitStaleRecord(SimulatedDaemon& aDaemon);
  void ClaimOwnedSlot(SimulatedDaemon& aDaemon);
  void VoidFormerOwnerRequest(SimulatedDaemon& aDaemon);
  void CancelPendingRequest(SimulatedDaemon& aDaemon);
  void OnOwnRecordReplayed(SimulatedDaemon& aDaemon,
                           const Record& aRecord,
                           const ApplyOutcome& aOutcome,
                           const PendingRecord& aPending);
  void OnRequestStarted(SimulatedDaemon& aDaemon,
                        const RequestStarted& aBody,
                        Verdict aVerdict,
                        const PendingRecord& aPending);
  void OnCallStarted(SimulatedDaemon& aDaemon,
                     const CallStarted& aBody,
                     Verdict aVerdict);
  void OnCallFinished(const CallFinished& aBody, const PendingRecord& aPending);
  void RunEngine();
  void Execute(const Dispatch& aDispatch);
  void RefuseDispatch(const Dispatch& aDispatch);
  void VoidDispatch(SimulatedDaemon& aDaemon, const Dispatch& aDispatch);
  void ReturnAnswer(SimulatedDaemon& aDaemon,
                    const Dispatch& aDispatch,
                    const std::string& aAnswer,
                    int64_t aUsed);
  void RespondNotExecuted(int aAttemptId);

  // rates.cc: one organisation's bucket.
  void MaybeRequestTokens();
  void RequestTokens(SimulatedDaemon& aDaemon);
  std::optional<RateDecision> RequestFromOwner(SimulatedDaemon& aDaemon);
  std::optional<RateDecision> GrantFromBucket(SimulatedDaemon& aOwner,
                                              const std::string& aBorrower);
  void TakeOverBucket(SimulatedDaemon& aOwner);
  void OnSlotsClaimed(SimulatedDaemon& aOwner, const std::vector<int>& aSlots);
  void HandOverBucket(SimulatedDaemon& aOwner, SlotsReleased& aRelease);
  void ReturnLoans(SimulatedDaemon& aDaemon);
  void CountServedRequest(const std::string& aCounter);

  std::mt19937_64 randomEngine;
  // Separate, so that rate requests do not change the rest of a schedule.
  std::mt19937_64 rateRandomEngine;
  const DisabledMechanism disabledMechanism;
  const bool traceOn;
  LeaseSettings settings;
  int64_t nowMillis = 1;
  bool logAvailable = true;
  std::vector<Record> log;
  // The state replayed from the whole log, and its verdict on each record.
  ClusterState referenceState{ kSlots };
  std::vector<Verdict> verdicts;
  // A state restored from the newest snapshot and kept up to date since.
  std::optional<ClusterState> restoredState;
  // The newest snapshot, loaded by some daemons when they start.
  std::optional<Json> snapshot;
  std::vector<DelayedAppend> delayedAppends;
  std::vector<SimulatedDaemon> daemons;
  std::vector<Dispatch> dispatches;

  int lastAttemptId = 0;
  int lastConfigNumber = 0;
  std::map<std::string, int> executions;
  std::set<int> executedAttempts;
  std::set<int> notExecutedAttempts;
  std::map<std::string, int64_t> usedTokens;
  std::map<std::string, std::map<int64_t, std::string>> answeredTurns;
  std::map<int64_t, std::string> acceptedConfigs;
  int64_t servedRequests = 0;
  double minRateExcess = 0;

  std::string failure;
  std::vector<std::string> trace;
  std::map<std::string, int64_t> counts;
};

} // namespace tanagerseam::schedules

#endif // TANAGERSEAM_TESTS_SCHEDULES_WORLD_H_
