// Limits the call rate and burst of each organisation over the whole fleet,
// without a coordinator.
//
//   FleetQuota quota("host-1", startTime, { Millis(5000), 0.1, 20 });
//   quota.SetMembers({ "host-1", "host-2" }, Millis(100));
//   quota.SetCap("ski-club", { 155, 155 }, false, now);
//   quota.OnPeerReport("host-2", startTime2, reports, now);
//   quota.OnTick(now);   // several times within kMaxPause, also without calls
//   if (!quota.AdmitProgram("ski-club", now)) { ... refuse the program ... }
//   const QuotaDecision decision = quota.AdmitCall("ski-club", now);
//   if (decision.verdict == QuotaVerdict::kAskOwner) {
//     // At decision.owner: AdmitForPeer(OrganisationHash("ski-club"), ...)
//     // Here, then: OnGranted, or OnOwnerSilent and AdmitAfterSilence
//   }
//
// Fleet bucket: hosts periodically report, for each organisation, how many
// calls they have admitted since they started. Each host keeps its own replica
// of one token bucket for the whole fleet, which is refilled at the
// organisation's rate up to its burst and charged with the calls of all hosts.
//
// Quota owner: the replicas are as stale as the last reports, so hosts that all
// admitted calls from their own replica would together admit more than the
// bucket holds. Rendezvous hashing assigns each organisation an owner among the
// members that report: a host asks it for each call, and it decides from its
// replica. Between two reports a host admits only its part of the local
// allowance by itself, which saves small fleets most of the messages and is
// less than one call in large ones.
//
// Ownership is not exclusive. An owner's replica is charged with the calls that
// others granted once they are reported, so hosts that disagree about the owner
// overdraw the bucket by the calls between two reports.
//
// Restart: a host forgets the debt of the buckets, which may be as large as the
// local allowance. It therefore asks for each call until one window has passed
// since its start.
//
// Silent owner: the host asks the next member by rendezvous. After kMaxAsks, or
// if it is itself the next one, it admits its calls at the rate of an equal
// share of the members: either the owner is gone or this host is cut off, and
// then all others may be doing the same. That bucket starts at a random level
// below one call, so hosts that begin to use it at once admit no more together
// than the organisation's rate.
//
// Strict owner: a member that is asked in place of a silent owner can't tell
// whether that owner is gone or grants calls on the other side of a partition.
// It grants as its owner would; until the owner's reports time out, both sides
// together may so use up to twice the rate. Where that is too much, it refuses
// instead, and the cap is served again when the owner's reports have timed out.
//
// Pause: a host that stood still does not know what others granted meanwhile,
// and calls that waited in its sockets come before its peers' reports. So after
// a pause it does not decide as an owner: it asks the next member for its own
// calls and gives its peers no answer, until all reachable peers have reported
// and one report period has passed.
//
// Bound: burst + rate x time + the local allowance of all hosts. The bucket
// then becomes negative, and that debt is paid by later calls.
//
// Partitions: a member without a report for longer than the report timeout is
// assumed to use an equal share of rate and burst, and the members that reach
// each other divide the rest. So each side of a partition stays within its own
// share.
//
// Slack: the bound on an organisation's use within a window (QuotaSlack)
// exceeds rate x window + burst. Half of the excess is added to the burst, so
// that calls within the cap are not refused because of delays between hosts;
// the other half is the local allowance.
//
// Program admission: admitting a program reserves as many calls as programs of
// its organisation have needed on average, from a second fleet-wide bucket of
// the same rate and burst. So admitted programs can run to their end, and an
// organisation with a demand of several times its rate gets its rate in
// programs that finish.
//
// Endpoints: the rate that an endpoint takes from the whole fleet is limited in
// the same way, in a FleetQuota of its own, under RateQuotaName.
//
// Complexity: choosing an owner is linear in the number of hosts, a report in
// its organisations.
#ifndef TANAGERSEAM_QUOTA_QUOTA_H_
#define TANAGERSEAM_QUOTA_QUOTA_H_

#include <deque>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "kernel/digest.h"
#include "kernel/kernel.h"

namespace tanagerseam {

struct QuotaCap
{
  // Calls per second; 0 means no limit.
  double ratePerSecond = 0;
  double burst = 0;
  // Only the member that ranks highest of those that report may grant calls.
  bool strictOwner = false;
};

// In any window an organisation may use
// (rate x window + burst) x (1 + overage) + tolerance calls.
struct QuotaSlack
{
  Millis window{ 0 };
  double overage = 0;
  double tolerance = 0;
};

// The use of one organisation's quota at one host.
struct QuotaReport
{
  // Calls per second that arrive at the host, admitted or not.
  double demand = 0;
  // Since the host started: calls admitted, programs admitted, and calls
  // reserved for these programs.
  uint64_t admittedCalls = 0;
  uint64_t admittedPrograms = 0;
  double reservedCalls = 0;
};

// Identifies an organisation in reports.
inline uint64_t
OrganisationHash(const std::string& aName)
{
  return StableHash(aName);
}

// The name under which a FleetQuota limits the calls to an endpoint. Its hash
// differs from those of organisations, so that one report covers both.
inline std::string
RateQuotaName(const std::string& aEndpoint)
{
  return "endpoint\n" + aEndpoint;
}

// By OrganisationHash.
using QuotaReports = std::unordered_map<uint64_t, QuotaReport>;

enum class QuotaVerdict
{
  kAdmitted,
  kRefused,
  // The owner decides.
  kAskOwner,
};

struct QuotaDecision
{
  QuotaVerdict verdict = QuotaVerdict::kRefused;
  // Host to ask; empty unless the verdict is kAskOwner.
  std::string owner;
};

// The state behind an admission decision, for logs.
struct QuotaStatus
{
  // Calls left in the buckets.
  double fleetBucket = 0;
  double reservationBucket = 0;
  double callsPerProgram = 0;
  double ratePerSecond = 0;
  std::string owner;
  size_t reachableMembers = 0;
  size_t members = 0;
};

class FleetQuota
{
public:
  // A member without a report for longer counts as unreachable. Applies where
  // it is longer than kMissedReports report periods.
  static constexpr Millis kMinReportTimeout{ 2000 };
  static constexpr int kMissedReports = 3;
  // An owner that did not answer is not asked again for this long.
  static constexpr Millis kSuspicionDuration{ 1000 };
  // A host that took no part in anything for longer has stood still.
  static constexpr Millis kMaxPause{ 200 };
  // Owners that are asked for one call.
  static constexpr int kMaxAsks = 2;
  // Time constant of the exponential average of demand.
  static constexpr Millis kDemandWindow{ 1000 };

  // aStartTime: start of this process, comparable with that of peers.
  FleetQuota(std::string aOwnHost, uint64_t aStartTime, QuotaSlack aSlack);

  // All members of the fleet; this host is added if it is missing. A host gets
  // the report of another one every aReportPeriod.
  void SetMembers(const std::vector<std::string>& aHosts, Millis aReportPeriod);
  // aStartFull: buckets of a new organisation start full. Only valid when the
  // whole fleet starts: otherwise the recent use is unknown.
  void SetCap(const std::string& aOrganisation,
              QuotaCap aCap,
              bool aStartFull,
              TimePoint aNow)
  {
    this->SetCap(aOrganisation, aCap, this->slack, aStartFull, aNow);
  }
  // The same with a slack of its own.
  void SetCap(const std::string& aOrganisation,
              QuotaCap aCap,
              const QuotaSlack& aSlack,
              bool aStartFull,
              TimePoint aNow);
  void RemoveOrganisation(const std::string& aOrganisation)
  {
    this->organisations.erase(OrganisationHash(aOrganisation));
  }
  // Drops the state of all other organisations.
  void RetainOrganisations(const std::vector<std::string>& aOrganisations);
  // aStartTime: start of the peer's process; its counters restart from 0 when
  // it changes.
  void OnPeerReport(const std::string& aHost,
                    uint64_t aStartTime,
                    const QuotaReports& aReports,
                    TimePoint aNow);

  // Shows that this host runs.
  void OnTick(TimePoint aNow);
  // Decides about one call. An admitted call is charged to the fleet bucket.
  QuotaDecision AdmitCall(const std::string& aOrganisation, TimePoint aNow);
  // The owner that AdmitCall named has admitted the call.
  void OnGranted(const std::string& aOrganisation, TimePoint aNow);
  // The owner did not answer. Decides again; aAsks is the number of owners
  // asked so far.
  QuotaDecision AdmitAfterSilence(const std::string& aOrganisation,
                                  const std::string& aOwner,
                                  int aAsks,
                                  TimePoint aNow);
  // Decides about a call at aHost as its organisation's owner. Nothing for an
  // organisation that is not known here, and after a pause.
  std::optional<bool> AdmitForPeer(uint64_t aOrganisationHash,
                                   const std::string& aHost,
                                   TimePoint aNow);
  // Reserves calls for a new program. False if the program is refused.
  bool AdmitProgram(const std::string& aOrganisation, TimePoint aNow);
  // Refunds an admitted call that was not executed.
  void RefundCall(const std::string& aOrganisation);
  // This host's use, to be reported to the peers. Leaves out organisations
  // without recent calls and programs.
  QuotaReports OwnReports(TimePoint aNow) const;
  QuotaStatus Status(const std::string& aOrganisation, TimePoint aNow) const;
  // Number of members with a recent report, including this host.
  size_t ReachableMembers(TimePoint aNow) const;

private:
  struct OrganisationState
  {
    // With a part of the slack added to the burst.
    QuotaCap cap;
    // Calls that all hosts together may admit by themselves.
    double localAllowance = 0;
    // Calls left in this host's replica of the fleet bucket; may be negative.
    double fleetBucket = 0;
    // No call is admitted by this host alone before this time.
    TimePoint localFrom{};
    // When this host admitted calls alone, within the last report period.
    std::deque<TimePoint> localCalls;
    // Bucket of this host's equal share, in use since the last owner was
    // silent.
    std::optional<double> shareBucket;
    TimePoint shareRefilledAt{};
    // Calls that can still be reserved for new programs; may be negative.
    double reservationBucket = 0;
    TimePoint refilledAt{};
    // Average calls per second at this host as of demandAt.
    double demand = 0;
    TimePoint demandAt{};
    // Counters of this host since its start, as in QuotaReport.
    uint64_t admittedCalls = 0;
    uint64_t admittedPrograms = 0;
    TimePoint lastProgramAt{};
    double reservedCalls = 0;
    // Calls and programs over the fleet, for the average of calls per program;
    // halved from time to time so that older programs weigh less.
    double fleetCalls = 0;
    double fleetPrograms = 0;
  };
  struct Peer
  {
    uint64_t startTime = 0;
    // The peer started after this host, so all its calls are charged.
    bool startedLater = false;
    QuotaReports reports;
    TimePoint reportedAt{};
  };
  // Calls that this host granted to a peer as an owner and has charged, but has
  // not seen in the peer's reports; by OrganisationHash.
  using UnreportedGrants = std::unordered_map<uint64_t, uint64_t>;
  struct Member
  {
    std::string host;
    uint64_t hash = 0;
  };

  // The calls that an organisation may use in a window beyond its cap.
  static double SlackCalls(const QuotaCap& aCap, const QuotaSlack& aSlack);
  static double CallsPerProgram(const OrganisationState& aState);
  static void CountAdmitted(OrganisationState& aState);
  static void CountUsage(OrganisationState& aState,
                         double aCalls,
                         double aPrograms);
  OrganisationState* Find(const std::string& aOrganisation);
  void Refill(OrganisationState& aState, TimePoint aNow);
  // Charges a call to the fleet bucket; false if it is empty.
  bool ChargeFleetBucket(OrganisationState& aState, TimePoint aNow);
  // Admits a call within this host's part of the local allowance.
  bool AdmitLocally(OrganisationState& aState, TimePoint aNow);
  // Admits a call from this host's equal share of the rate.
  bool AdmitFromShare(OrganisationState& aState, TimePoint aNow);
  QuotaDecision DecideOrAsk(uint64_t aHash,
                            OrganisationState& aState,
                            TimePoint aNow);
  // What a peer had admitted before this host's buckets started, if its report
  // names an organisation for the first time.
  static QuotaReport Baseline(const Peer& aPeer,
                              bool aHeardBefore,
                              const QuotaReport& aReport);
  // Records the calls that a peer has admitted since its last report.
  void ChargePeerCalls(OrganisationState& aState,
                       const QuotaReport& aLast,
                       const QuotaReport& aReport,
                       uint64_t& aUnreportedGrants,
                       TimePoint aNow);
  QuotaDecision DecideFromShare(OrganisationState& aState, TimePoint aNow);
  // True after a pause, until the replicas are charged with what the peers
  // granted during it.
  bool IsCatchingUp(TimePoint aNow) const;
  // True if no member that reports ranks higher, whether it answers or not.
  bool IsFirstOwner(uint64_t aHash, TimePoint aNow) const;
  // True if this host would own the quota only because members that report did
  // not answer.
  bool IsSubstitute(uint64_t aHash, TimePoint aNow) const;
  // The reachable member that owns the organisation's quota; may be this host,
  // while it catches up only if it reaches no other.
  std::string FindOwner(uint64_t aHash, TimePoint aNow) const;
  Millis ReportTimeout() const;
  // Peers that have not reported by then are given up.
  Millis MaxCatchUpTime() const { return kMissedReports * this->reportPeriod; }
  bool IsReachable(const std::string& aHost, TimePoint aNow) const;
  // True if the host, as an owner, did not answer within kSuspicionDuration.
  bool IsSuspect(const std::string& aHost, TimePoint aNow) const;
  // This host's part of the local allowance, in whole calls per report period.
  size_t LocalShare(const OrganisationState& aState) const;
  // Fraction of the members that are reachable.
  double ReachableFraction(TimePoint aNow) const;
  static double DemandAt(const OrganisationState& aState, TimePoint aNow);

  std::string ownHost;
  uint64_t startTime;
  QuotaSlack slack;
  uint64_t ownHash;
  // Includes this host.
  std::vector<Member> members;
  Millis reportPeriod{ 100 };
  std::unordered_map<std::string, Peer> peers;
  // By host.
  std::unordered_map<std::string, UnreportedGrants> unreportedGrants;
  std::unordered_map<std::string, TimePoint> suspectUntil;
  // When this host last took part, and when it last did so after a pause.
  TimePoint lastTickAt{};
  TimePoint resumedAt{};
  // How long it stood still before that.
  Millis pause{ 0 };
  // Result of ReachableFraction as of reachableAt.
  mutable double reachableFraction = 1;
  mutable TimePoint reachableAt{};
  // Draws the first level of share buckets; seeded by the host's name.
  std::mt19937_64 random;
  // By OrganisationHash.
  std::unordered_map<uint64_t, OrganisationState> organisations;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_QUOTA_QUOTA_H_
