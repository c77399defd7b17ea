// OwnershipDecider::Decide: the records that a member should append now.
#include <algorithm>

#include "ownership/ownership.h"

namespace tanagerseam {

namespace {

// The first renewal after an interruption may have been queued before the
// member stored its last replica; the second was queued after the first was
// replayed.
constexpr int kMinRenewalsAfterInterruption = 2;
// Tolerates the loss of a third of the members, such as one of three
// availability zones, during a log outage.
constexpr int kMembersPerSpareGrant = 3;
// With spare grants in a smaller fleet, an expiry could not get enough votes
// whenever one more member is dead or has just restarted.
constexpr int kMinMembersForSpareGrants = 4;

int
SpareGrants(int aMembers)
{
  return aMembers < kMinMembersForSpareGrants
           ? 0
           : aMembers / kMembersPerSpareGrant;
}

} // namespace

std::string
PreferredOwner(const std::map<std::string, Member>& aMembers, int aSlot)
{
  std::string best;
  uint64_t bestWeight = 0;
  for (const auto& entry : aMembers) {
    if (entry.second.draining) {
      continue;
    }
    const uint64_t weight =
      StableHash(entry.first + "/" + std::to_string(aSlot));
    if (best.empty() || weight > bestWeight) {
      best = entry.first;
      bestWeight = weight;
    }
  }
  return best;
}

std::map<std::string, Member>
OwnershipDecider::SettledMembers(const ClusterState& aState,
                                 TimePoint aNow) const
{
  std::map<std::string, Member> settled;
  for (const auto& entry : aState.Members()) {
    auto observation = this->observations.find(entry.first);
    if (!entry.second.draining && observation != this->observations.end() &&
        aNow - observation->second.firstSeenAt >= this->settings.settleTime) {
      settled.insert(entry);
    }
  }
  return settled.empty() ? aState.Members() : settled;
}

std::vector<RecordBody>
OwnershipDecider::Decide(const ClusterState& aState,
                         TimePoint aNow,
                         const std::set<int>& aBusySlots)
{
  this->Observe(aState, aNow);
  std::vector<RecordBody> out;
  if (!this->observedAsMember) {
    return out;
  }
  this->DecideRenewal(aState, aNow, out);
  // The rest requires a responding log: records that wait in a queue would be
  // based on stale state.
  if (!this->logRespondingSince) {
    return out;
  }
  this->DecideExpiryVotes(aState, aNow, out);
  this->DecideClaims(aState, aNow, out);
  this->DecideReleases(aState, aNow, aBusySlots, out);
  return out;
}

void
OwnershipDecider::DecideRenewal(const ClusterState& aState,
                                TimePoint aNow,
                                std::vector<RecordBody>& aOut)
{
  const bool tooEarly = this->nextRenewalAt && aNow < *this->nextRenewalAt;
  if (tooEarly || !this->unconfirmedRenewals.empty()) {
    return;
  }
  this->nextRenewalAt = aNow + this->settings.renewInterval;
  MemberRenewed renewed;
  renewed.replayedOffset = aState.LastOffset();
  renewed.draining = this->draining;
  renewed.others = int(this->ExtensionPeers(aState).size());
  renewed.sparePromises = SpareGrants(renewed.others + 1);
  this->sentPeerCount = renewed.others;
  this->sentSpareGrants = renewed.sparePromises;
  this->everSpareGrants = this->everSpareGrants || this->sentSpareGrants > 0;
  aOut.push_back(renewed);
}

bool
OwnershipDecider::IsOverdue(const MemberObservation& aObservation) const
{
  const TimePoint countedFrom =
    std::max(aObservation.renewalSeenAt, *this->logRespondingSince);
  return *this->lastLogResponse - countedFrom >
         this->settings.duration + this->settings.margin;
}

bool
OwnershipDecider::MayExpire(const Member& aMember, TimePoint aNow) const
{
  const MemberObservation& observation = this->observations.at(aMember.host);
  auto granted = this->extensionGrantedUntil.find(aMember.host);
  if (granted != this->extensionGrantedUntil.end() && aNow < granted->second) {
    return false;
  }
  if (!this->IsOverdue(observation)) {
    return false;
  }
  for (const auto& entry : this->observations) {
    const MemberObservation& other = entry.second;
    const bool caughtUp =
      entry.first == this->host || this->IsOverdue(other) ||
      other.renewalsSinceInterruption >= kMinRenewalsAfterInterruption;
    if (entry.first != aMember.host && !caughtUp) {
      return false;
    }
  }
  return observation.expirableEarly || this->MaxOutagePassed(observation, aNow);
}

bool
OwnershipDecider::MaxOutagePassed(const MemberObservation& aObservation,
                                  TimePoint aNow) const
{
  return aNow - aObservation.renewalSeenAt >
         this->WithDriftAllowance(this->settings.maxOutage);
}

void
OwnershipDecider::DecideExpiryVotes(const ClusterState& aState,
                                    TimePoint aNow,
                                    std::vector<RecordBody>& aOut)
{
  for (const auto& entry : aState.Members()) {
    const Member& member = entry.second;
    if (member.host == this->host || !this->MayExpire(member, aNow)) {
      continue;
    }
    auto next = this->nextExpiryVoteAt.find(member.host);
    if (next != this->nextExpiryVoteAt.end() && aNow < next->second) {
      continue;
    }
    this->nextExpiryVoteAt[member.host] = aNow + this->settings.renewInterval;
    this->renewalAtExpiryVote[member.host] = member.renewedOffset;
    aOut.push_back(MemberExpired{
      member.host,
      member.incarnation,
      member.renewedOffset,
      this->MaxOutagePassed(this->observations.at(member.host), aNow) });
  }
}

void
OwnershipDecider::DecideClaims(const ClusterState& aState,
                               TimePoint aNow,
                               std::vector<RecordBody>& aOut)
{
  const bool tooEarly = this->nextClaimAt && aNow < *this->nextClaimAt;
  if (tooEarly || this->draining || !this->LeaseValid(aNow)) {
    return;
  }
  const auto members = this->SettledMembers(aState, aNow);
  SlotsClaimed claims;
  for (size_t i = 0; i < aState.Slots().size(); ++i) {
    const Slot& slot = aState.Slots()[i];
    if (slot.owner.empty() && PreferredOwner(members, int(i)) == this->host) {
      claims.claims.push_back(SlotClaim{ int(i), slot.epoch });
    }
  }
  if (!claims.claims.empty()) {
    this->nextClaimAt = aNow + this->settings.renewInterval;
    aOut.push_back(std::move(claims));
  }
}

void
OwnershipDecider::DecideReleases(const ClusterState& aState,
                                 TimePoint aNow,
                                 const std::set<int>& aBusySlots,
                                 std::vector<RecordBody>& aOut)
{
  const bool tooEarly = this->nextReleaseAt && aNow < *this->nextReleaseAt;
  const bool drainingReplayed = aState.Members().at(this->host).draining;
  if (tooEarly || (this->draining && !drainingReplayed)) {
    return;
  }
  const auto members = this->SettledMembers(aState, aNow);
  SlotsReleased release;
  for (size_t i = 0; i < aState.Slots().size(); ++i) {
    const int number = int(i);
    const Slot& slot = aState.Slots()[i];
    const bool isOwner =
      slot.owner == this->host && slot.ownerIncarnation == this->incarnation;
    if (!isOwner || aBusySlots.count(number) != 0) {
      continue;
    }
    if (this->draining || PreferredOwner(members, number) != this->host) {
      this->releasedEpochs[number] = slot.epoch;
      release.slots.push_back(number);
    }
  }
  if (!release.slots.empty()) {
    this->nextReleaseAt = aNow + this->settings.renewInterval;
    aOut.push_back(std::move(release));
  }
}

} // namespace tanagerseam
