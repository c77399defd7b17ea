#include "quota/quota.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <set>

namespace tanagerseam {

namespace {

// Fraction of the slack that is added to the burst; the rest is the local
// allowance.
constexpr double kBurstSlackFraction = 0.5;
// Fraction of the burst below which a host admits no call by itself.
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
// The reachable members are counted again after this time.
constexpr Millis kReachableCacheTime(50);

double
SecondsBetween(TimePoint aFrom, TimePoint aTo)
{
  return std::max(0.0, std::chrono::duration<double>(aTo - aFrom).count());
}

uint64_t
RendezvousRank(uint64_t aOrganisationHash, uint64_t aHostHash)
{
  const std::array<uint64_t, 2> hashes = { aOrganisationHash, aHostHash };
  return StableHash(std::string_view(
    reinterpret_cast<const char*>(hashes.data()), sizeof hashes));
}

} // namespace

FleetQuota::FleetQuota(std::string aOwnHost,
                       uint64_t aStartTime,
                       QuotaSlack aSlack)
  : ownHost(std::move(aOwnHost))
  , startTime(aStartTime)
  , slack(aSlack)
  , ownHash(StableHash(this->ownHost))
  , members{ { this->ownHost, this->ownHash } }
  , random(StableHash(this->ownHost) ^ aStartTime)
{
}

void
FleetQuota::SetMembers(const std::vector<std::string>& aHosts,
                       Millis aReportPeriod)
{
  std::set<std::string> hosts(aHosts.begin(), aHosts.end());
  hosts.insert(this->ownHost);
  this->members.clear();
  for (const std::string& host : hosts) {
    this->members.push_back({ host, StableHash(host) });
  }
  this->reportPeriod = aReportPeriod;
  this->reachableAt = TimePoint{};
}

double
FleetQuota::SlackCalls(const QuotaCap& aCap, const QuotaSlack& aSlack)
{
  const double seconds = std::chrono::duration<double>(aSlack.window).count();
  const double callsInWindow = aCap.ratePerSecond * seconds + aCap.burst;
  return callsInWindow * aSlack.overage + aSlack.tolerance;
}

void
FleetQuota::SetCap(const std::string& aOrganisation,
                   QuotaCap aCap,
                   const QuotaSlack& aSlack,
                   bool aStartFull,
                   TimePoint aNow)
{
  const double slackCalls = SlackCalls(aCap, aSlack);
  aCap.burst += kBurstSlackFraction * slackCalls;
  const uint64_t hash = OrganisationHash(aOrganisation);
  const bool isNew = this->organisations.count(hash) == 0;
  OrganisationState& state = this->organisations[hash];
  state.localAllowance = (1 - kBurstSlackFraction) * slackCalls;
  if (isNew) {
    state.refilledAt = aNow;
    state.demandAt = aNow;
    state.localFrom = aStartFull ? aNow : aNow + aSlack.window;
    state.fleetBucket = aStartFull ? aCap.burst : 0;
    state.reservationBucket = state.fleetBucket;
  } else {
    this->Refill(state, aNow);
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

Millis
FleetQuota::ReportTimeout() const
{
  return std::max(kMinReportTimeout, kMissedReports * this->reportPeriod);
}

bool
FleetQuota::IsReachable(const std::string& aHost, TimePoint aNow) const
{
  auto peer = this->peers.find(aHost);
  if (peer == this->peers.end()) {
    return false;
  }
  const TimePoint reportedAt = peer->second.reportedAt;
  const bool reportedBefore = reportedAt < this->resumedAt &&
                              aNow - this->resumedAt < this->MaxCatchUpTime();
  // No report could arrive during the pause.
  const auto age =
    aNow - reportedAt - (reportedBefore ? this->pause : Millis(0));
  return age <= this->ReportTimeout();
}

bool
FleetQuota::IsSuspect(const std::string& aHost, TimePoint aNow) const
{
  auto suspected = this->suspectUntil.find(aHost);
  return suspected != this->suspectUntil.end() && aNow < suspected->second;
}

size_t
FleetQuota::ReachableMembers(TimePoint aNow) const
{
  size_t reachable = 1;
  for (const Member& member : this->members) {
    const bool isPeer = member.host != this->ownHost;
    reachable += isPeer && this->IsReachable(member.host, aNow) ? 1 : 0;
  }
  return reachable;
}

double
FleetQuota::ReachableFraction(TimePoint aNow) const
{
  if (this->reachableAt == TimePoint{} ||
      aNow - this->reachableAt >= kReachableCacheTime) {
    const double reachable = static_cast<double>(this->ReachableMembers(aNow));
    this->reachableFraction =
      std::min(1.0, reachable / static_cast<double>(this->members.size()));
    this->reachableAt = aNow;
  }
  return this->reachableFraction;
}

void
FleetQuota::OnTick(TimePoint aNow)
{
  const bool paused =
    this->lastTickAt != TimePoint{} && aNow - this->lastTickAt > kMaxPause;
  if (paused) {
    this->resumedAt = aNow;
    this->pause = std::chrono::duration_cast<Millis>(aNow - this->lastTickAt);
    LogInfo("quota_paused",
            { { "pause_ms", std::to_string(this->pause.count()) } });
  }
  this->lastTickAt = std::max(this->lastTickAt, aNow);
}

bool
FleetQuota::IsCatchingUp(TimePoint aNow) const
{
  if (this->resumedAt == TimePoint{} ||
      aNow - this->resumedAt >= this->MaxCatchUpTime()) {
    return false;
  }
  if (aNow - this->resumedAt < this->reportPeriod) {
    return true;
  }
  return std::any_of(
    this->peers.begin(), this->peers.end(), [&](const auto& aPeer) {
      return this->IsReachable(aPeer.first, aNow) &&
             aPeer.second.reportedAt < this->resumedAt;
    });
}

std::string
FleetQuota::FindOwner(uint64_t aHash, TimePoint aNow) const
{
  std::string owner = this->ownHost;
  uint64_t highest =
    this->IsCatchingUp(aNow) ? 0 : RendezvousRank(aHash, this->ownHash);
  for (const Member& member : this->members) {
    const uint64_t rank = RendezvousRank(aHash, member.hash);
    if (rank <= highest || !this->IsReachable(member.host, aNow)) {
      continue;
    }
    if (!this->IsSuspect(member.host, aNow)) {
      highest = rank;
      owner = member.host;
    }
  }
  return owner;
}

bool
FleetQuota::IsSubstitute(uint64_t aHash, TimePoint aNow) const
{
  const uint64_t ownRank = RendezvousRank(aHash, this->ownHash);
  return std::any_of(
    this->members.begin(), this->members.end(), [&](const Member& aMember) {
      return this->IsSuspect(aMember.host, aNow) &&
             this->IsReachable(aMember.host, aNow) &&
             RendezvousRank(aHash, aMember.hash) > ownRank;
    });
}

bool
FleetQuota::IsFirstOwner(uint64_t aHash, TimePoint aNow) const
{
  const uint64_t ownRank = RendezvousRank(aHash, this->ownHash);
  return std::none_of(
    this->members.begin(), this->members.end(), [&](const Member& aMember) {
      return RendezvousRank(aHash, aMember.hash) > ownRank &&
             this->IsReachable(aMember.host, aNow);
    });
}

FleetQuota::OrganisationState*
FleetQuota::Find(const std::string& aOrganisation)
{
  auto found = this->organisations.find(OrganisationHash(aOrganisation));
  return found == this->organisations.end() ? nullptr : &found->second;
}

void
FleetQuota::Refill(OrganisationState& aState, TimePoint aNow)
{
  const double seconds = SecondsBetween(aState.refilledAt, aNow);
  if (seconds <= 0) {
    return;
  }
  aState.refilledAt = aNow;
  const double reachable = this->ReachableFraction(aNow);
  // What refills during a pause is charged with the calls of that time first.
  const double burst = this->IsCatchingUp(aNow)
                         ? std::numeric_limits<double>::max()
                         : aState.cap.burst * reachable;
  const double rate = aState.cap.ratePerSecond * reachable;
  aState.fleetBucket = std::min(burst, aState.fleetBucket + seconds * rate);
  aState.reservationBucket =
    std::min(burst, aState.reservationBucket + seconds * rate);
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
  this->Refill(state, aNow);
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
FleetQuota::ChargeFleetBucket(OrganisationState& aState, TimePoint aNow)
{
  this->Refill(aState, aNow);
  if (aState.fleetBucket < 1) {
    return false;
  }
  aState.fleetBucket -= 1;
  return true;
}

size_t
FleetQuota::LocalShare(const OrganisationState& aState) const
{
  return static_cast<size_t>(aState.localAllowance /
                             static_cast<double>(this->members.size()));
}

bool
FleetQuota::AdmitLocally(OrganisationState& aState, TimePoint aNow)
{
  std::deque<TimePoint>& localCalls = aState.localCalls;
  while (!localCalls.empty() &&
         aNow - localCalls.front() >= this->reportPeriod) {
    localCalls.pop_front();
  }
  this->Refill(aState, aNow);
  const double floor =
    aState.cap.burst * this->ReachableFraction(aNow) * kFleetBucketFloor;
  if (aNow < aState.localFrom ||
      localCalls.size() >= this->LocalShare(aState) ||
      aState.fleetBucket < floor + 1) {
    return false;
  }
  localCalls.push_back(aNow);
  aState.fleetBucket -= 1;
  return true;
}

bool
FleetQuota::AdmitFromShare(OrganisationState& aState, TimePoint aNow)
{
  const double members = static_cast<double>(this->members.size());
  const double rate = aState.cap.ratePerSecond / members;
  const double capacity = std::max(1.0, aState.cap.burst / members);
  if (!aState.shareBucket) {
    std::uniform_real_distribution<double> level(0, 1);
    aState.shareBucket = level(this->random);
    aState.shareRefilledAt = aNow;
  }
  const double seconds = SecondsBetween(aState.shareRefilledAt, aNow);
  aState.shareRefilledAt = aNow;
  aState.shareBucket = std::min(capacity, *aState.shareBucket + seconds * rate);
  if (*aState.shareBucket < 1) {
    return false;
  }
  *aState.shareBucket -= 1;
  return true;
}

QuotaDecision
FleetQuota::DecideOrAsk(uint64_t aHash,
                        OrganisationState& aState,
                        TimePoint aNow)
{
  const std::string owner = this->FindOwner(aHash, aNow);
  if (owner != this->ownHost) {
    return { QuotaVerdict::kAskOwner, owner };
  }
  if (this->IsSubstitute(aHash, aNow) || this->IsCatchingUp(aNow)) {
    return this->DecideFromShare(aState, aNow);
  }
  if (!this->ChargeFleetBucket(aState, aNow)) {
    return { QuotaVerdict::kRefused, "" };
  }
  CountAdmitted(aState);
  return { QuotaVerdict::kAdmitted, "" };
}

QuotaDecision
FleetQuota::DecideFromShare(OrganisationState& aState, TimePoint aNow)
{
  if (!this->AdmitFromShare(aState, aNow)) {
    return { QuotaVerdict::kRefused, "" };
  }
  aState.fleetBucket -= 1;
  CountAdmitted(aState);
  return { QuotaVerdict::kAdmitted, "" };
}

QuotaDecision
FleetQuota::AdmitCall(const std::string& aOrganisation, TimePoint aNow)
{
  OrganisationState* found = this->Find(aOrganisation);
  if (found == nullptr) {
    return { QuotaVerdict::kAdmitted, "" };
  }
  OrganisationState& state = *found;
  const double window = std::chrono::duration<double>(kDemandWindow).count();
  this->OnTick(aNow);
  state.demand = DemandAt(state, aNow) + 1 / window;
  state.demandAt = aNow;
  if (state.cap.ratePerSecond <= 0) {
    ++state.admittedCalls;
    return { QuotaVerdict::kAdmitted, "" };
  }
  if (this->AdmitLocally(state, aNow)) {
    CountAdmitted(state);
    return { QuotaVerdict::kAdmitted, "" };
  }
  return this->DecideOrAsk(OrganisationHash(aOrganisation), state, aNow);
}

void
FleetQuota::OnGranted(const std::string& aOrganisation, TimePoint aNow)
{
  OrganisationState* state = this->Find(aOrganisation);
  if (state == nullptr) {
    return;
  }
  this->Refill(*state, aNow);
  state->fleetBucket -= 1;
  state->shareBucket.reset();
  CountAdmitted(*state);
}

QuotaDecision
FleetQuota::AdmitAfterSilence(const std::string& aOrganisation,
                              const std::string& aOwner,
                              int aAsks,
                              TimePoint aNow)
{
  this->suspectUntil[aOwner] = aNow + kSuspicionDuration;
  OrganisationState* state = this->Find(aOrganisation);
  if (state == nullptr) {
    return { QuotaVerdict::kRefused, "" };
  }
  if (aAsks < kMaxAsks) {
    return this->DecideOrAsk(OrganisationHash(aOrganisation), *state, aNow);
  }
  return this->DecideFromShare(*state, aNow);
}

std::optional<bool>
FleetQuota::AdmitForPeer(uint64_t aOrganisationHash,
                         const std::string& aHost,
                         TimePoint aNow)
{
  auto found = this->organisations.find(aOrganisationHash);
  if (found == this->organisations.end()) {
    return std::nullopt;
  }
  const bool limited = found->second.cap.ratePerSecond > 0;
  this->OnTick(aNow);
  if (limited && this->IsCatchingUp(aNow)) {
    return std::nullopt;
  }
  if (limited && found->second.cap.strictOwner &&
      !this->IsFirstOwner(aOrganisationHash, aNow)) {
    return false;
  }
  if (limited && !this->ChargeFleetBucket(found->second, aNow)) {
    return false;
  }
  ++this->unreportedGrants[aHost][aOrganisationHash];
  return true;
}

void
FleetQuota::CountAdmitted(OrganisationState& aState)
{
  ++aState.admittedCalls;
  CountUsage(aState, 1, 0);
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
    status.reservationBucket = found->second.reservationBucket;
    status.callsPerProgram = CallsPerProgram(found->second);
    status.ratePerSecond = found->second.cap.ratePerSecond;
    status.owner = this->FindOwner(hash, aNow);
  }
  return status;
}

} // namespace tanagerseam
