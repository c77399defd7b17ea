// Limits the call rate and burst of each organisation over the whole fleet,
// without a coordinator.
//
//   FleetQuota quota("host-1", startTime, { Millis(5000), 0.1, 20 });
//   quota.SetMembers({ "host-1", "host-2" });
//   quota.SetCap("ski-club", { 155, 155 }, false, now);
//   quota.OnPeerReport("host-2", startTime2, reports, now);
//   if (!quota.AdmitProgram("ski-club", now)) { ... refuse the program ... }
//   if (!quota.AdmitCall("ski-club", now)) { ... refuse the call ... }
//
// Fleet bucket: hosts periodically report, for each organisation, how many
// calls they have admitted since they started and their current demand. Each
// host keeps its own replica of one token bucket for the whole fleet, which is
// refilled at the organisation's rate up to its burst and charged with the
// calls of all hosts. While the bucket is above a floor, a call is admitted at
// whichever host it arrives, so an organisation with a small cap can use all of
// it at any host.
//
// Host bucket: the replicas are as stale as the last reports. Below the floor
// each host therefore also charges a small bucket of its own, which is refilled
// at the host's share of the rate, in proportion to its share of the demand.
//
// Bound: burst + rate x time, plus the calls that all hosts admit between two
// reports while the fleet bucket is above its floor. The bucket then becomes
// negative, and that debt is paid by later calls.
//
// Partitions: a member without a report for kReportTimeout is assumed to use an
// equal share of rate and burst, and the members that reach each other divide
// the rest. So each side of a partition stays within its own share.
//
// Slack: the bound on an organisation's use within a window (QuotaSlack)
// exceeds rate x window + burst, to allow for the delay of reports between
// hosts. Half of the excess is added to the burst, so that calls within the cap
// are not refused because of those delays; the other half covers what hosts
// admit before they learn of each other's calls.
//
// Program admission: admitting a program reserves as many calls as programs of
// its organisation have needed on average, from a second fleet-wide bucket of
// the same rate and burst. So admitted programs can run to their end, and an
// organisation with a demand of several times its rate gets its rate in
// programs that finish.
//
// Complexity: admission is linear in the number of hosts; a report is linear in
// its organisations times hosts.
#ifndef TANAGERSEAM_QUOTA_QUOTA_H_
#define TANAGERSEAM_QUOTA_QUOTA_H_

#include <map>
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

// By OrganisationHash.
using QuotaReports = std::unordered_map<uint64_t, QuotaReport>;

// The state behind an admission decision, for logs.
struct QuotaStatus
{
  // Calls left in the buckets.
  double fleetBucket = 0;
  double hostBucket = 0;
  double reservationBucket = 0;
  double callsPerProgram = 0;
  double ratePerSecond = 0;
  // This host's share of the demand.
  double demandShare = 0;
  size_t reachableMembers = 0;
  size_t members = 0;
};

class FleetQuota
{
public:
  // A member without a report for longer counts as unreachable.
  static constexpr Millis kReportTimeout{ 2000 };
  // Time constant of the exponential average of demand.
  static constexpr Millis kDemandWindow{ 1000 };

  // aStartTime: start of this process, comparable with that of peers.
  FleetQuota(std::string aOwnHost, uint64_t aStartTime, QuotaSlack aSlack);

  // All members of the fleet. This host is added if it is missing.
  void SetMembers(const std::vector<std::string>& aHosts);
  // aStartFull: buckets of a new organisation start full. Only valid when the
  // whole fleet starts: otherwise the recent use is unknown.
  void SetCap(const std::string& aOrganisation,
              QuotaCap aCap,
              bool aStartFull,
              TimePoint aNow);
  // Drops the state of all other organisations.
  void RetainOrganisations(const std::vector<std::string>& aOrganisations);
  // aStartTime: start of the peer's process; its counters restart from 0 when
  // it changes.
  void OnPeerReport(const std::string& aHost,
                    uint64_t aStartTime,
                    const QuotaReports& aReports,
                    TimePoint aNow);

  // Charges one call to the buckets. False if the call is refused.
  bool AdmitCall(const std::string& aOrganisation, TimePoint aNow);
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
    // With the slack added to the burst.
    QuotaCap cap;
    // Calls left in this host's replica of the fleet bucket; may be negative.
    double fleetBucket = 0;
    double hostBucket = 0;
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
    QuotaReports reports;
    TimePoint reportedAt{};
  };

  // The burst with the part of the slack that is added to it.
  double BurstWithSlack(QuotaCap aCap) const;
  static double CallsPerProgram(const OrganisationState& aState);
  static void CountUsage(OrganisationState& aState,
                         double aCalls,
                         double aPrograms);
  OrganisationState* Find(const std::string& aOrganisation);
  void Refill(uint64_t aHash, OrganisationState& aState, TimePoint aNow);
  // Fraction of the members that are reachable.
  double ReachableFraction(TimePoint aNow) const;
  // This host's fraction of the demand at all reachable hosts.
  double DemandShare(uint64_t aHash,
                     const OrganisationState& aState,
                     TimePoint aNow) const;
  static double DemandAt(const OrganisationState& aState, TimePoint aNow);

  std::string ownHost;
  uint64_t startTime;
  QuotaSlack slack;
  std::vector<std::string> members;
  std::unordered_map<std::string, Peer> peers;
  // By OrganisationHash.
  std::unordered_map<uint64_t, OrganisationState> organisations;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_QUOTA_QUOTA_H_
