#include "quota/quota.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace tanagerseam {

namespace {

// Part of a bucket that is kept for programs that have begun.
constexpr double kContinueReserve = 0.3;
// Of what nobody asked for, the part that is divided equally.
constexpr double kEqualPart = 0.5;

double
SecondsBetween(TimePoint aFrom, TimePoint aTo)
{
  return std::chrono::duration<double>(aTo - aFrom).count();
}

} // namespace

FleetQuota::FleetQuota(std::string aOwnHost)
  : ownHost(std::move(aOwnHost))
  , members{ this->ownHost }
{
}

void
FleetQuota::SetMembers(const std::vector<std::string>& aHosts)
{
  std::set<std::string> hosts(aHosts.begin(), aHosts.end());
  hosts.insert(this->ownHost);
  this->members.assign(hosts.begin(), hosts.end());
  for (auto it = this->peers.begin(); it != this->peers.end();) {
    it = hosts.count(it->first) == 0 ? this->peers.erase(it) : std::next(it);
  }
}

void
FleetQuota::SetCap(const std::string& aOrganisation,
                   QuotaCap aCap,
                   bool aFull,
                   TimePoint aNow)
{
  auto found = this->buckets.find(aOrganisation);
  const bool isNew = found == this->buckets.end();
  Bucket& bucket = this->buckets[aOrganisation];
  if (isNew) {
    bucket.filledAt = aNow;
    bucket.demandAt = aNow;
  }
  this->Fill(bucket, aNow);
  bucket.cap = aCap;
  this->Divide(aOrganisation, bucket, aNow);
  if (isNew && aFull) {
    bucket.level = bucket.capacity;
  }
}

void
FleetQuota::KeepOnly(const std::vector<std::string>& aKept)
{
  const std::set<std::string> kept(aKept.begin(), aKept.end());
  for (auto it = this->buckets.begin(); it != this->buckets.end();) {
    it = kept.count(it->first) == 0 ? this->buckets.erase(it) : std::next(it);
  }
}

void
FleetQuota::PeerDemand(const std::string& aHost,
                       QuotaDemand aDemand,
                       TimePoint aNow)
{
  Peer& peer = this->peers[aHost];
  peer.demand = std::move(aDemand);
  peer.heardAt = aNow;
}

void
FleetQuota::Rebalance(TimePoint aNow)
{
  for (auto& entry : this->buckets) {
    this->Fill(entry.second, aNow);
    this->Divide(entry.first, entry.second, aNow);
  }
}

size_t
FleetQuota::Heard(TimePoint aNow) const
{
  size_t heard = 1;
  for (const std::string& member : this->members) {
    auto peer = this->peers.find(member);
    if (peer != this->peers.end() &&
        aNow - peer->second.heardAt <= kHeardWithin) {
      ++heard;
    }
  }
  return heard;
}

void
FleetQuota::Divide(const std::string& aName, Bucket& aBucket, TimePoint aNow)
{
  const double own = DemandAt(aBucket, aNow);
  double asked = own;
  for (const auto& peer : this->peers) {
    if (aNow - peer.second.heardAt > kHeardWithin) {
      continue;
    }
    auto demand = peer.second.demand.find(aName);
    asked += demand == peer.second.demand.end() ? 0 : demand->second;
  }
  const double heard = static_cast<double>(this->Heard(aNow));
  const double all = static_cast<double>(this->members.size());
  const double reachable = std::min(1.0, heard / all);
  const double rate = aBucket.cap.ratePerSecond * reachable;
  const double proportion = asked > 0 ? own / asked : 1 / heard;
  const double rest = rate - asked;
  if (rest <= 0) {
    aBucket.rate = rate * proportion;
  } else {
    aBucket.rate =
      own + rest * (kEqualPart / heard + (1 - kEqualPart) * proportion);
  }
  const double part = rate > 0 ? aBucket.rate / rate : 1 / heard;
  aBucket.capacity = aBucket.cap.burst * reachable * part;
  aBucket.level = std::min(aBucket.level, std::max(1.0, aBucket.capacity));
}

void
FleetQuota::Fill(Bucket& aBucket, TimePoint aNow) const
{
  const double seconds = std::max(0.0, SecondsBetween(aBucket.filledAt, aNow));
  aBucket.filledAt = aNow;
  const double capacity = std::max(1.0, aBucket.capacity);
  aBucket.level = std::min(capacity, aBucket.level + seconds * aBucket.rate);
}

double
FleetQuota::DemandAt(const Bucket& aBucket, TimePoint aNow)
{
  const double window = std::chrono::duration<double>(kDemandWindow).count();
  const double seconds = std::max(0.0, SecondsBetween(aBucket.demandAt, aNow));
  return aBucket.demand * std::exp(-seconds / window);
}

bool
FleetQuota::Admit(const std::string& aOrganisation,
                  QuotaUse aUse,
                  TimePoint aNow)
{
  auto found = this->buckets.find(aOrganisation);
  if (found == this->buckets.end()) {
    return true;
  }
  Bucket& bucket = found->second;
  const double window = std::chrono::duration<double>(kDemandWindow).count();
  bucket.demand = DemandAt(bucket, aNow) + 1 / window;
  bucket.demandAt = aNow;
  if (bucket.cap.ratePerSecond <= 0) {
    return true;
  }
  this->Fill(bucket, aNow);
  const double reserve =
    aUse == QuotaUse::kBegin ? bucket.capacity * kContinueReserve : 0;
  if (bucket.level < 1 + reserve && bucket.level < bucket.capacity) {
    return false;
  }
  if (bucket.level < 1) {
    return false;
  }
  bucket.level -= 1;
  return true;
}

void
FleetQuota::Return(const std::string& aOrganisation)
{
  auto found = this->buckets.find(aOrganisation);
  if (found != this->buckets.end()) {
    Bucket& bucket = found->second;
    bucket.level = std::min(std::max(1.0, bucket.capacity), bucket.level + 1);
  }
}

Millis
FleetQuota::NextAfter(const std::string& aOrganisation, Millis aMost) const
{
  auto found = this->buckets.find(aOrganisation);
  if (found == this->buckets.end() || found->second.rate <= 0) {
    return aMost;
  }
  const Bucket& bucket = found->second;
  const double seconds = std::max(0.0, 1 - bucket.level) / bucket.rate;
  const Millis wait(static_cast<int64_t>(std::ceil(seconds * 1000)));
  return std::min(aMost, wait);
}

QuotaDemand
FleetQuota::OwnDemand(TimePoint aNow) const
{
  QuotaDemand demand;
  for (const auto& entry : this->buckets) {
    const double rate = DemandAt(entry.second, aNow);
    if (rate > 0.01) {
      demand[entry.first] = rate;
    }
  }
  return demand;
}

} // namespace tanagerseam
