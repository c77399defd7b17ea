#include "quota/quota.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace tanagerseam {

namespace {

// Part of the slack that is added to the burst.
constexpr double kUsedSlack = 0.5;
// Part of the burst below which hosts keep to their own parts of the rate.
constexpr double kPoolFloor = 0.05;
// Of the pool, the part that must be left for a program to begin.
constexpr double kBeginFloor = 0.45;
// A pool filled above this part is not being used.
constexpr double kIdlePool = 0.75;
// Of the burst, the most that a new program must find free in the promises.
constexpr double kMostPromise = 0.5;
// Calls of a program before any was seen, and the bounds of the average.
constexpr double kFirstCallsPerProgram = 12;
constexpr double kLeastCallsPerProgram = 2;
constexpr double kMostCallsPerProgram = 80;
// Programs that are taken for one program's calls before any was seen.
constexpr double kPriorPrograms = 4;
// Programs after which older ones count half.
constexpr double kHalvingPrograms = 60;
// Part of the burst that all hosts' own buckets hold together.
constexpr double kOwnBurst = 0.2;
// The rate of own buckets while the pool is overdrawn.
constexpr double kOverdrawnRate = 0.5;
// Calls a second below which nothing is told: that is a call 3 s ago.
constexpr double kLeastDemand = 0.05;
// A program that began is told for so long.
constexpr Millis kToldFor(3000);
// Part of the equal share that a host has without any demand.
constexpr double kIdlePart = 0.1;

double
SecondsBetween(TimePoint aFrom, TimePoint aTo)
{
  return std::max(0.0, std::chrono::duration<double>(aTo - aFrom).count());
}

} // namespace

FleetQuota::FleetQuota(std::string aOwnHost,
                       uint64_t aStarted,
                       QuotaSlack aSlack)
  : ownHost(std::move(aOwnHost))
  , started(aStarted)
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
FleetQuota::WidenedBurst(QuotaCap aCap) const
{
  const double seconds =
    std::chrono::duration<double>(this->slack.window).count();
  const double inWindow = aCap.ratePerSecond * seconds + aCap.burst;
  return aCap.burst +
         kUsedSlack * (inWindow * this->slack.overage + this->slack.tolerance);
}

void
FleetQuota::SetCap(const std::string& aOrganisation,
                   QuotaCap aCap,
                   bool aFull,
                   TimePoint aNow)
{
  aCap.burst = this->WidenedBurst(aCap);
  const uint64_t tag = OrganisationTag(aOrganisation);
  const bool isNew = this->buckets.count(tag) == 0;
  Bucket& bucket = this->buckets[tag];
  if (isNew) {
    bucket.filledAt = aNow;
    bucket.demandAt = aNow;
    bucket.pool = aFull ? aCap.burst : 0;
    bucket.promises = bucket.pool;
  } else {
    this->Fill(tag, bucket, aNow);
  }
  bucket.cap = aCap;
  bucket.pool = std::min(bucket.pool, aCap.burst);
  bucket.promises = std::min(bucket.promises, aCap.burst);
}

void
FleetQuota::KeepOnly(const std::vector<std::string>& aKept)
{
  std::set<uint64_t> kept;
  for (const std::string& name : aKept) {
    kept.insert(OrganisationTag(name));
  }
  for (auto it = this->buckets.begin(); it != this->buckets.end();) {
    it = kept.count(it->first) == 0 ? this->buckets.erase(it) : std::next(it);
  }
}

void
FleetQuota::PeerReport(const std::string& aHost,
                       uint64_t aStarted,
                       const QuotaReports& aReports,
                       TimePoint aNow)
{
  const bool known = this->peers.count(aHost) > 0;
  Peer& peer = this->peers[aHost];
  const bool sameStart = known && peer.started == aStarted;
  // What an older host had admitted before this one started is not counted:
  // the pool started empty for it.
  const bool countAll = !sameStart && (known || aStarted > this->started);
  for (const auto& entry : aReports) {
    auto bucket = this->buckets.find(entry.first);
    if (bucket == this->buckets.end()) {
      continue;
    }
    auto before = peer.reports.find(entry.first);
    const bool hasBefore = sameStart && before != peer.reports.end();
    const QuotaReport from = hasBefore ? before->second : QuotaReport{};
    if ((sameStart || countAll) && entry.second.admitted >= from.admitted) {
      this->Fill(entry.first, bucket->second, aNow);
      const double admitted =
        static_cast<double>(entry.second.admitted - from.admitted);
      bucket->second.pool -= admitted;
      bucket->second.promises -= entry.second.promised - from.promised;
      Count(bucket->second,
            admitted,
            static_cast<double>(entry.second.begun - from.begun));
    }
  }
  if (!sameStart) {
    peer.reports.clear();
  }
  for (auto& entry : peer.reports) {
    entry.second.demand = 0;
  }
  for (const auto& entry : aReports) {
    peer.reports[entry.first] = entry.second;
  }
  peer.started = aStarted;
  peer.heardAt = aNow;
}

size_t
FleetQuota::Heard(TimePoint aNow) const
{
  size_t heard = 1;
  for (const std::string& member : this->members) {
    auto peer = this->peers.find(member);
    if (member != this->ownHost && peer != this->peers.end() &&
        aNow - peer->second.heardAt <= kHeardWithin) {
      ++heard;
    }
  }
  return heard;
}

double
FleetQuota::Reachable(TimePoint aNow) const
{
  const double heard = static_cast<double>(this->Heard(aNow));
  return std::min(1.0, heard / static_cast<double>(this->members.size()));
}

double
FleetQuota::Part(uint64_t aTag, const Bucket& aBucket, TimePoint aNow) const
{
  const double heard = static_cast<double>(this->Heard(aNow));
  const double idle = aBucket.cap.ratePerSecond * kIdlePart / heard;
  const double own = DemandAt(aBucket, aNow) + idle;
  double asked = own;
  for (const auto& peer : this->peers) {
    if (aNow - peer.second.heardAt > kHeardWithin) {
      continue;
    }
    auto report = peer.second.reports.find(aTag);
    asked += idle;
    asked += report == peer.second.reports.end() ? 0 : report->second.demand;
  }
  return asked > 0 ? own / asked : 1 / heard;
}

FleetQuota::Bucket*
FleetQuota::Find(const std::string& aOrganisation)
{
  auto found = this->buckets.find(OrganisationTag(aOrganisation));
  return found == this->buckets.end() ? nullptr : &found->second;
}

void
FleetQuota::Fill(uint64_t aTag, Bucket& aBucket, TimePoint aNow)
{
  const double seconds = SecondsBetween(aBucket.filledAt, aNow);
  if (seconds <= 0) {
    return;
  }
  aBucket.filledAt = aNow;
  const double reachable = this->Reachable(aNow);
  const double burst = aBucket.cap.burst * reachable;
  const double rate = aBucket.cap.ratePerSecond * reachable;
  aBucket.pool = std::min(burst, aBucket.pool + seconds * rate);
  aBucket.promises = std::min(burst, aBucket.promises + seconds * rate);
  const double part = this->Part(aTag, aBucket, aNow);
  const double slowed = aBucket.pool < 0 ? kOverdrawnRate : 1;
  const double capacity = std::max(1.0, burst * kOwnBurst * part);
  aBucket.own =
    std::min(capacity, aBucket.own + seconds * rate * part * slowed);
}

double
FleetQuota::DemandAt(const Bucket& aBucket, TimePoint aNow)
{
  const double window = std::chrono::duration<double>(kDemandWindow).count();
  const double seconds = SecondsBetween(aBucket.demandAt, aNow);
  return aBucket.demand * std::exp(-seconds / window);
}

double
FleetQuota::CallsPerProgram(const Bucket& aBucket)
{
  const double calls =
    (aBucket.fleetAdmitted + kPriorPrograms * kFirstCallsPerProgram) /
    (aBucket.fleetBegun + kPriorPrograms);
  return std::clamp(calls, kLeastCallsPerProgram, kMostCallsPerProgram);
}

void
FleetQuota::Count(Bucket& aBucket, double aAdmitted, double aBegun)
{
  aBucket.fleetAdmitted += aAdmitted;
  aBucket.fleetBegun += aBegun;
  if (aBucket.fleetBegun > kHalvingPrograms) {
    aBucket.fleetAdmitted /= 2;
    aBucket.fleetBegun /= 2;
  }
}

bool
FleetQuota::Begin(const std::string& aOrganisation, TimePoint aNow)
{
  Bucket* found = this->Find(aOrganisation);
  if (found == nullptr || found->cap.ratePerSecond <= 0) {
    return true;
  }
  Bucket& bucket = *found;
  this->Fill(OrganisationTag(aOrganisation), bucket, aNow);
  const double burst = bucket.cap.burst * this->Reachable(aNow);
  const double calls = CallsPerProgram(bucket);
  const double needed = std::min(calls, burst * kMostPromise);
  // A pool that stays full shows that programs need less than was promised.
  const bool idle = bucket.pool >= burst * kIdlePool;
  const bool promised = bucket.promises >= needed;
  if (bucket.pool < burst * kBeginFloor || (!promised && !idle)) {
    return false;
  }
  bucket.promises = std::max(bucket.promises - calls, -burst);
  bucket.promised += calls;
  ++bucket.begun;
  bucket.begunAt = aNow;
  Count(bucket, 0, 1);
  return true;
}

bool
FleetQuota::Admit(const std::string& aOrganisation, TimePoint aNow)
{
  Bucket* found = this->Find(aOrganisation);
  if (found == nullptr) {
    return true;
  }
  Bucket& bucket = *found;
  const double window = std::chrono::duration<double>(kDemandWindow).count();
  bucket.demand = DemandAt(bucket, aNow) + 1 / window;
  bucket.demandAt = aNow;
  if (bucket.cap.ratePerSecond <= 0) {
    ++bucket.admitted;
    return true;
  }
  this->Fill(OrganisationTag(aOrganisation), bucket, aNow);
  const double burst = bucket.cap.burst * this->Reachable(aNow);
  if (bucket.pool < burst * kPoolFloor + 1) {
    if (bucket.own < 1) {
      return false;
    }
    bucket.own -= 1;
  }
  bucket.pool -= 1;
  ++bucket.admitted;
  Count(bucket, 1, 0);
  return true;
}

void
FleetQuota::Return(const std::string& aOrganisation)
{
  Bucket* found = this->Find(aOrganisation);
  if (found == nullptr || found->admitted == 0) {
    return;
  }
  // The peers may have taken it out of their copies; theirs stay lower.
  found->pool += 1;
}

QuotaReports
FleetQuota::OwnReports(TimePoint aNow) const
{
  QuotaReports reports;
  for (const auto& entry : this->buckets) {
    const double demand = DemandAt(entry.second, aNow);
    const bool beganLately =
      entry.second.begun > 0 && aNow - entry.second.begunAt < kToldFor;
    if (demand > kLeastDemand || beganLately) {
      const Bucket& bucket = entry.second;
      reports[entry.first] = {
        demand, bucket.admitted, bucket.begun, bucket.promised
      };
    }
  }
  return reports;
}

QuotaView
FleetQuota::View(const std::string& aOrganisation, TimePoint aNow) const
{
  QuotaView view;
  view.heard = this->Heard(aNow);
  view.members = this->members.size();
  const uint64_t tag = OrganisationTag(aOrganisation);
  auto found = this->buckets.find(tag);
  if (found != this->buckets.end()) {
    view.pool = found->second.pool;
    view.own = found->second.own;
    view.promises = found->second.promises;
    view.callsPerProgram = CallsPerProgram(found->second);
    view.rate = found->second.cap.ratePerSecond;
    view.part = this->Part(tag, found->second, aNow);
  }
  return view;
}

} // namespace tanagerseam
