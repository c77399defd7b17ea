#include "quota/quota.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace tanagerseam {

namespace {

// Fraction of the slack that is added to the burst.
constexpr double kBurstSlackFraction = 0.5;
// Fraction of the burst below which calls are also charged to the host bucket.
constexpr double kFleetBucketFloor = 0.05;
// Fraction of the burst that the fleet bucket must hold for a new program.
constexpr double kProgramAdmissionFloor = 0.45;
// Fraction of the burst from which on the fleet bucket counts as underused.
constexpr double kUnderusedFraction = 0.75;
// Upper bound, as a fraction of the burst, on the calls that must be reservable
// for a new program.
constexpr double kMaxReservationFraction = 0.5;
// Prior and bounds of the average of calls per program.
constexpr double kInitialCallsPerProgram = 12;
constexpr double kMinCallsPerProgram = 2;
constexpr double kMaxCallsPerProgram = 80;
// Weight of the prior, in programs.
constexpr double kPriorPrograms = 4;
// When more programs than this are counted, the counts behind the average are
// halved, so that older programs weigh less.
constexpr double kHalvingPrograms = 60;
// Capacity of all host buckets together, as a fraction of the burst.
constexpr double kHostBurstFraction = 0.2;
// Factor on the refill rate of the host bucket while the fleet bucket is
// negative.
constexpr double kOverdrawnRateFactor = 0.5;
// Calls per second; a lower demand is not reported. A single call decays to
// this within 3 s.
constexpr double kMinReportedDemand = 0.05;
// An organisation is reported for this long after its last new program.
constexpr Millis kProgramReportPeriod(3000);
// Demand added for every host, as a fraction of its equal share of the rate, so
// that hosts without calls keep a share.
constexpr double kBaseDemandFraction = 0.1;

double
SecondsBetween(TimePoint aFrom, TimePoint aTo)
{
  return std::max(0.0, std::chrono::duration<double>(aTo - aFrom).count());
}

} // namespace

FleetQuota::FleetQuota(std::string aOwnHost,
                       uint64_t aStartTime,
                       QuotaSlack aSlack)
  : ownHost(std::move(aOwnHost))
  , startTime(aStartTime)
  , slack(aSlack)
  , members{ this->ownHost }
{
}

void
FleetQuota::SetMembers(const std::vector<std::string>& aHosts)
{
  std::set<std::string> hosts(aHosts.begin(), aHosts.end());
  hosts.insert(this->ownHost);
  this->members.assign(hosts.begin(), hosts.end());
}

double
FleetQuota::BurstWithSlack(QuotaCap aCap) const
{
  const double seconds =
    std::chrono::duration<double>(this->slack.window).count();
  const double callsInWindow = aCap.ratePerSecond * seconds + aCap.burst;
  return aCap.burst +
         kBurstSlackFraction *
           (callsInWindow * this->slack.overage + this->slack.tolerance);
}

void
FleetQuota::SetCap(const std::string& aOrganisation,
                   QuotaCap aCap,
                   bool aStartFull,
                   TimePoint aNow)
{
  aCap.burst = this->BurstWithSlack(aCap);
  const uint64_t hash = OrganisationHash(aOrganisation);
  const bool isNew = this->organisations.count(hash) == 0;
  OrganisationState& state = this->organisations[hash];
  if (isNew) {
    state.refilledAt = aNow;
    state.demandAt = aNow;
    state.fleetBucket = aStartFull ? aCap.burst : 0;
    state.reservationBucket = state.fleetBucket;
  } else {
    this->Refill(hash, state, aNow);
  }
  state.cap = aCap;
  state.fleetBucket = std::min(state.fleetBucket, aCap.burst);
  state.reservationBucket = std::min(state.reservationBucket, aCap.burst);
}

void
FleetQuota::RetainOrganisations(const std::vector<std::string>& aOrganisations)
{
  std::set<uint64_t> retained;
  for (const std::string& name : aOrganisations) {
    retained.insert(OrganisationHash(name));
  }
  for (auto it = this->organisations.begin();
       it != this->organisations.end();) {
    it = retained.count(it->first) == 0 ? this->organisations.erase(it)
                                        : std::next(it);
  }
}

void
FleetQuota::OnPeerReport(const std::string& aHost,
                         uint64_t aStartTime,
                         const QuotaReports& aReports,
                         TimePoint aNow)
{
  const bool known = this->peers.count(aHost) > 0;
  Peer& peer = this->peers[aHost];
  const bool sameProcess = known && peer.startTime == aStartTime;
  // The first report of a peer that started before this host is only a
  // baseline: the fleet bucket started empty, so its earlier calls are not
  // charged.
  const bool countFromZero =
    !sameProcess && (known || aStartTime > this->startTime);
  for (const auto& entry : aReports) {
    auto organisation = this->organisations.find(entry.first);
    if (organisation == this->organisations.end()) {
      continue;
    }
    auto previous = peer.reports.find(entry.first);
    const bool hasPrevious = sameProcess && previous != peer.reports.end();
    const QuotaReport last = hasPrevious ? previous->second : QuotaReport{};
    if ((sameProcess || countFromZero) &&
        entry.second.admittedCalls >= last.admittedCalls) {
      this->Refill(entry.first, organisation->second, aNow);
      const double admitted =
        static_cast<double>(entry.second.admittedCalls - last.admittedCalls);
      organisation->second.fleetBucket -= admitted;
      organisation->second.reservationBucket -=
        entry.second.reservedCalls - last.reservedCalls;
      CountUsage(organisation->second,
                 admitted,
                 static_cast<double>(entry.second.admittedPrograms -
                                     last.admittedPrograms));
    }
  }
  if (!sameProcess) {
    peer.reports.clear();
  }
  for (auto& entry : peer.reports) {
    entry.second.demand = 0;
  }
  for (const auto& entry : aReports) {
    peer.reports[entry.first] = entry.second;
  }
  peer.startTime = aStartTime;
  peer.reportedAt = aNow;
}

size_t
FleetQuota::ReachableMembers(TimePoint aNow) const
{
  size_t reachable = 1;
  for (const std::string& member : this->members) {
    auto peer = this->peers.find(member);
    if (member != this->ownHost && peer != this->peers.end() &&
        aNow - peer->second.reportedAt <= kReportTimeout) {
      ++reachable;
    }
  }
  return reachable;
}

double
FleetQuota::ReachableFraction(TimePoint aNow) const
{
  const double reachable = static_cast<double>(this->ReachableMembers(aNow));
  return std::min(1.0, reachable / static_cast<double>(this->members.size()));
}

double
FleetQuota::DemandShare(uint64_t aHash,
                        const OrganisationState& aState,
                        TimePoint aNow) const
{
  const double reachable = static_cast<double>(this->ReachableMembers(aNow));
  const double base =
    aState.cap.ratePerSecond * kBaseDemandFraction / reachable;
  const double own = DemandAt(aState, aNow) + base;
  double total = own;
  for (const auto& peer : this->peers) {
    if (aNow - peer.second.reportedAt > kReportTimeout) {
      continue;
    }
    auto report = peer.second.reports.find(aHash);
    total += base;
    total += report == peer.second.reports.end() ? 0 : report->second.demand;
  }
  return total > 0 ? own / total : 1 / reachable;
}

FleetQuota::OrganisationState*
FleetQuota::Find(const std::string& aOrganisation)
{
  auto found = this->organisations.find(OrganisationHash(aOrganisation));
  return found == this->organisations.end() ? nullptr : &found->second;
}

void
FleetQuota::Refill(uint64_t aHash, OrganisationState& aState, TimePoint aNow)
{
  const double seconds = SecondsBetween(aState.refilledAt, aNow);
  if (seconds <= 0) {
    return;
  }
  aState.refilledAt = aNow;
  const double reachable = this->ReachableFraction(aNow);
  const double burst = aState.cap.burst * reachable;
  const double rate = aState.cap.ratePerSecond * reachable;
  aState.fleetBucket = std::min(burst, aState.fleetBucket + seconds * rate);
  aState.reservationBucket =
    std::min(burst, aState.reservationBucket + seconds * rate);
  const double share = this->DemandShare(aHash, aState, aNow);
  const double rateFactor = aState.fleetBucket < 0 ? kOverdrawnRateFactor : 1;
  const double capacity = std::max(1.0, burst * kHostBurstFraction * share);
  aState.hostBucket =
    std::min(capacity, aState.hostBucket + seconds * rate * share * rateFactor);
}

double
FleetQuota::DemandAt(const OrganisationState& aState, TimePoint aNow)
{
  const double window = std::chrono::duration<double>(kDemandWindow).count();
  const double seconds = SecondsBetween(aState.demandAt, aNow);
  return aState.demand * std::exp(-seconds / window);
}

double
FleetQuota::CallsPerProgram(const OrganisationState& aState)
{
  const double calls =
    (aState.fleetCalls + kPriorPrograms * kInitialCallsPerProgram) /
    (aState.fleetPrograms + kPriorPrograms);
  return std::clamp(calls, kMinCallsPerProgram, kMaxCallsPerProgram);
}

void
FleetQuota::CountUsage(OrganisationState& aState,
                       double aCalls,
                       double aPrograms)
{
  aState.fleetCalls += aCalls;
  aState.fleetPrograms += aPrograms;
  if (aState.fleetPrograms > kHalvingPrograms) {
    aState.fleetCalls /= 2;
    aState.fleetPrograms /= 2;
  }
}

bool
FleetQuota::AdmitProgram(const std::string& aOrganisation, TimePoint aNow)
{
  OrganisationState* found = this->Find(aOrganisation);
  if (found == nullptr || found->cap.ratePerSecond <= 0) {
    return true;
  }
  OrganisationState& state = *found;
  this->Refill(OrganisationHash(aOrganisation), state, aNow);
  const double burst = state.cap.burst * this->ReachableFraction(aNow);
  const double calls = CallsPerProgram(state);
  const double needed = std::min(calls, burst * kMaxReservationFraction);
  // A fleet bucket that stays full shows that programs use fewer calls than
  // were reserved for them.
  const bool underused = state.fleetBucket >= burst * kUnderusedFraction;
  const bool reservable = state.reservationBucket >= needed;
  if (state.fleetBucket < burst * kProgramAdmissionFloor ||
      (!reservable && !underused)) {
    return false;
  }
  state.reservationBucket = std::max(state.reservationBucket - calls, -burst);
  state.reservedCalls += calls;
  ++state.admittedPrograms;
  state.lastProgramAt = aNow;
  CountUsage(state, 0, 1);
  return true;
}

bool
FleetQuota::AdmitCall(const std::string& aOrganisation, TimePoint aNow)
{
  OrganisationState* found = this->Find(aOrganisation);
  if (found == nullptr) {
    return true;
  }
  OrganisationState& state = *found;
  const double window = std::chrono::duration<double>(kDemandWindow).count();
  state.demand = DemandAt(state, aNow) + 1 / window;
  state.demandAt = aNow;
  if (state.cap.ratePerSecond <= 0) {
    ++state.admittedCalls;
    return true;
  }
  this->Refill(OrganisationHash(aOrganisation), state, aNow);
  const double burst = state.cap.burst * this->ReachableFraction(aNow);
  if (state.fleetBucket < burst * kFleetBucketFloor + 1) {
    if (state.hostBucket < 1) {
      return false;
    }
    state.hostBucket -= 1;
  }
  state.fleetBucket -= 1;
  ++state.admittedCalls;
  CountUsage(state, 1, 0);
  return true;
}

void
FleetQuota::RefundCall(const std::string& aOrganisation)
{
  OrganisationState* found = this->Find(aOrganisation);
  if (found == nullptr || found->admittedCalls == 0) {
    return;
  }
  // Peers that already charged the call to their replicas do not refund it.
  found->fleetBucket += 1;
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

QuotaStatus
FleetQuota::Status(const std::string& aOrganisation, TimePoint aNow) const
{
  QuotaStatus status;
  status.reachableMembers = this->ReachableMembers(aNow);
  status.members = this->members.size();
  const uint64_t hash = OrganisationHash(aOrganisation);
  auto found = this->organisations.find(hash);
  if (found != this->organisations.end()) {
    status.fleetBucket = found->second.fleetBucket;
    status.hostBucket = found->second.hostBucket;
    status.reservationBucket = found->second.reservationBucket;
    status.callsPerProgram = CallsPerProgram(found->second);
    status.ratePerSecond = found->second.cap.ratePerSecond;
    status.demandShare = this->DemandShare(hash, found->second, aNow);
  }
  return status;
}

} // namespace tanagerseam
