// What hosts tell each other of their use of quotas, and what they charge to
// their replicas for it.
#include <algorithm>
#include <cmath>

#include "quota/quota.h"

namespace tanagerseam {

namespace {

// Calls per second; a lower demand is not reported. A single call decays to
// this within 3 s.
constexpr double kMinReportedDemand = 0.05;
// An organisation is reported for this long after its last new program.
constexpr Millis kProgramReportPeriod(3000);

} // namespace

void
FleetQuota::ChargePeerCalls(OrganisationState& aState,
                            const QuotaReport& aLast,
                            const QuotaReport& aReport,
                            uint64_t& aUnreportedGrants,
                            TimePoint aNow)
{
  this->Refill(aState, aNow);
  const uint64_t calls = aReport.admittedCalls - aLast.admittedCalls;
  const uint64_t alreadyCharged = std::min(calls, aUnreportedGrants);
  aUnreportedGrants -= alreadyCharged;
  aState.fleetBucket -= static_cast<double>(calls - alreadyCharged);
  aState.reservationBucket -= aReport.reservedCalls - aLast.reservedCalls;
  CountUsage(
    aState,
    static_cast<double>(calls),
    static_cast<double>(aReport.admittedPrograms - aLast.admittedPrograms));
}

QuotaReport
FleetQuota::Baseline(const Peer& aPeer,
                     bool aHeardBefore,
                     const QuotaReport& aReport)
{
  if (aPeer.startedLater) {
    return QuotaReport{};
  }
  QuotaReport baseline = aReport;
  if (aHeardBefore) {
    // The organisation had no recent calls at the peer when it last reported.
    const auto recent = static_cast<uint64_t>(std::ceil(
      aReport.demand * std::chrono::duration<double>(kDemandWindow).count()));
    baseline.admittedCalls -= std::min(baseline.admittedCalls, recent);
  }
  return baseline;
}

void
FleetQuota::OnPeerReport(const std::string& aHost,
                         uint64_t aStartTime,
                         const QuotaReports& aReports,
                         TimePoint aNow)
{
  this->OnTick(aNow);
  const bool known = this->peers.count(aHost) > 0;
  Peer& peer = this->peers[aHost];
  UnreportedGrants& grants = this->unreportedGrants[aHost];
  const bool restarted = known && peer.startTime != aStartTime;
  if (restarted) {
    peer.reports.clear();
    grants.clear();
  }
  if (restarted || !known) {
    peer.startedLater = restarted || aStartTime > this->startTime;
  }
  for (const auto& entry : aReports) {
    auto organisation = this->organisations.find(entry.first);
    if (organisation == this->organisations.end()) {
      continue;
    }
    auto previous = peer.reports.find(entry.first);
    const bool hasPrevious = previous != peer.reports.end();
    const QuotaReport last =
      hasPrevious ? previous->second : Baseline(peer, known, entry.second);
    if (entry.second.admittedCalls >= last.admittedCalls) {
      this->ChargePeerCalls(
        organisation->second, last, entry.second, grants[entry.first], aNow);
    }
  }
  for (const auto& entry : aReports) {
    peer.reports[entry.first] = entry.second;
  }
  peer.startTime = aStartTime;
  peer.reportedAt = aNow;
}

QuotaReports
FleetQuota::OwnReports(TimePoint aNow) const
{
  QuotaReports reports;
  for (const auto& entry : this->organisations) {
    const double demand = DemandAt(entry.second, aNow);
    const bool hasRecentProgram =
      entry.second.admittedPrograms > 0 &&
      aNow - entry.second.lastProgramAt < kProgramReportPeriod;
    if (demand > kMinReportedDemand || hasRecentProgram) {
      const OrganisationState& state = entry.second;
      reports[entry.first] = {
        demand, state.admittedCalls, state.admittedPrograms, state.reservedCalls
      };
    }
  }
  return reports;
}

} // namespace tanagerseam
