// Leases, lease extensions and the observation of members. See ownership.h for
// the invariants; decisions.cc implements Decide.
#include "ownership/ownership.h"

#include <algorithm>

namespace tanagerseam {

namespace {

// Lease durations after the log recovers in which it counts as recently
// unhealthy. An append that hung in an outage is resent only after its timeout,
// so a holder may need extensions for some leases after the recovery.
constexpr int kRecoveryLeases = 2;

} // namespace

OwnershipDecider::OwnershipDecider(LeaseSettings aSettings,
                                   std::string aHost,
                                   std::string aIncarnation)
  : settings(aSettings)
  , host(std::move(aHost))
  , incarnation(std::move(aIncarnation))
{
}

void
OwnershipDecider::OnLogResponse(TimePoint aNow)
{
  // A gap between responses longer than a lease, as after a pause of the
  // process, also counts as an interruption.
  const bool interrupted =
    this->lastLogResponse &&
    aNow - *this->lastLogResponse > this->settings.duration;
  if (!this->logRespondingSince || interrupted) {
    this->logRespondingSince = aNow;
    for (auto& entry : this->observations) {
      entry.second.renewalsSinceInterruption = 0;
    }
  }
  this->lastLogResponse = aNow;
}

void
OwnershipDecider::OnLogFailure(TimePoint)
{
  this->logRespondingSince.reset();
}

void
OwnershipDecider::ObserveMember(const Member& aMember, TimePoint aNow)
{
  auto insertion = this->observations.try_emplace(aMember.host);
  MemberObservation& observation = insertion.first->second;
  if (insertion.second || observation.incarnation != aMember.incarnation) {
    observation = MemberObservation{};
    observation.incarnation = aMember.incarnation;
    observation.firstSeenAt = aNow;
    if (aMember.host != this->host) {
      // The new member did not grant the extension in force.
      this->peerJoinSeenAt = aNow;
      this->extensionExpiry.reset();
    }
  }
  if (observation.renewedOffset != aMember.renewedOffset) {
    observation.renewedOffset = aMember.renewedOffset;
    observation.renewalSeenAt = aNow;
    observation.renewalsSinceInterruption += insertion.second ? 0 : 1;
  }
}

void
OwnershipDecider::Observe(const ClusterState& aState, TimePoint aNow)
{
  const auto& members = aState.Members();
  for (auto it = this->observations.begin(); it != this->observations.end();) {
    it = members.count(it->first) == 0 ? this->observations.erase(it) : ++it;
  }
  for (const auto& entry : members) {
    this->ObserveMember(entry.second, aNow);
  }
  this->observedAsMember = this->IsMember(aState);
  // A replayed join was either accepted or rejected.
  const bool joinReplayed =
    this->joinSequence != 0 &&
    aState.HasSeen({ this->host, this->incarnation, this->joinSequence });
  this->joinResolved =
    this->joinResolved || this->observedAsMember || joinReplayed;
  if (!this->observedAsMember) {
    return;
  }
  this->ConfirmReplayedRenewals(aState);
  const int64_t ownJoinOffset = members.at(this->host).joinedOffset;
  for (const auto& entry : members) {
    const Member& member = entry.second;
    // A member does not extend its lease before its first renewal, nor while
    // its newest renewal states that it has no peers.
    const bool onlyJoined = member.renewedOffset == member.joinedOffset;
    const bool hadNoPeers = member.others == 0;
    this->observations[entry.first].expirableEarly =
      onlyJoined || hadNoPeers || member.replayedOffset >= ownJoinOffset;
  }
  this->renewalCountsPeers = members.at(this->host).others != 0;
}

void
OwnershipDecider::ConfirmReplayedRenewals(const ClusterState& aState)
{
  // This incarnation is a member and thus has been since its join, so its
  // replayed renewals were accepted.
  std::optional<uint64_t> newestReplayed;
  for (const auto& entry : this->unconfirmedRenewals) {
    if (aState.HasSeen({ this->host, this->incarnation, entry.first })) {
      newestReplayed = entry.first;
    }
  }
  if (newestReplayed) {
    this->OnRenewalApplied(*newestReplayed);
  }
}

void
OwnershipDecider::OnRenewalSent(uint64_t aSequence, TimePoint aSentAt)
{
  this->unconfirmedRenewals[aSequence] = aSentAt;
}

void
OwnershipDecider::OnJoinSent(uint64_t aSequence, TimePoint aSentAt)
{
  this->joinSequence = aSequence;
  this->unconfirmedRenewals[aSequence] = aSentAt;
}

void
OwnershipDecider::OnRenewalApplied(uint64_t aSequence)
{
  auto found = this->unconfirmedRenewals.find(aSequence);
  if (found == this->unconfirmedRenewals.end()) {
    return;
  }
  this->joinResolved = true;
  this->renewalConfirmed =
    this->renewalConfirmed || aSequence != this->joinSequence;
  if (!this->leaseStartedAt || *this->leaseStartedAt < found->second) {
    this->leaseStartedAt = found->second;
  }
  this->unconfirmedRenewals.erase(this->unconfirmedRenewals.begin(),
                                  std::next(found));
}

TimePoint
OwnershipDecider::LeaseExpiry() const
{
  if (!this->leaseStartedAt) {
    return TimePoint{};
  }
  const TimePoint end = *this->leaseStartedAt + this->settings.duration;
  return this->extensionExpiry ? std::max(end, *this->extensionExpiry) : end;
}

bool
OwnershipDecider::LeaseValid(TimePoint aNow) const
{
  return !this->leaseRelinquished && this->leaseStartedAt &&
         aNow < this->LeaseExpiry();
}

bool
OwnershipDecider::MayAct(const ClusterState& aState,
                         int aSlot,
                         TimePoint aNow) const
{
  const Slot& slot = aState.Slots().at(size_t(aSlot));
  if (slot.owner != this->host || slot.ownerIncarnation != this->incarnation) {
    return false;
  }
  auto releasedEpoch = this->releasedEpochs.find(aSlot);
  if (releasedEpoch != this->releasedEpochs.end() &&
      releasedEpoch->second == slot.epoch) {
    return false;
  }
  return this->LeaseValid(aNow);
}

bool
OwnershipDecider::IsMember(const ClusterState& aState) const
{
  auto found = aState.Members().find(this->host);
  return found != aState.Members().end() &&
         found->second.incarnation == this->incarnation;
}

bool
OwnershipDecider::Expelled(const ClusterState& aState) const
{
  return this->joinResolved && !this->IsMember(aState);
}

Millis
OwnershipDecider::WithDriftAllowance(Millis aDuration) const
{
  const auto durationTimesMargin =
    aDuration.count() * this->settings.margin.count();
  return aDuration +
         Millis(durationTimesMargin / this->settings.duration.count() + 1);
}

bool
OwnershipDecider::GrantExtension(const std::string& aHolder,
                                 const std::string& aIncarnation,
                                 Millis aTerm,
                                 TimePoint aNow)
{
  auto observation = this->observations.find(aHolder);
  if (!this->observedAsMember || aHolder == this->host ||
      observation == this->observations.end() ||
      aTerm > this->settings.maxOutage) {
    return false;
  }
  // After the requester's expiry a delayed join of an earlier incarnation may
  // have taken its place.
  if (observation->second.incarnation != aIncarnation) {
    return false;
  }
  auto vote = this->renewalAtExpiryVote.find(aHolder);
  if (vote != this->renewalAtExpiryVote.end() &&
      vote->second == observation->second.renewedOffset) {
    return false;
  }
  TimePoint& until = this->extensionGrantedUntil[aHolder];
  until = std::max(until, aNow + this->WithDriftAllowance(aTerm));
  return true;
}

std::vector<std::string>
OwnershipDecider::ExtensionPeers(const ClusterState& aState) const
{
  std::vector<std::string> names;
  for (const auto& entry : aState.Members()) {
    if (entry.first != this->host) {
      names.push_back(entry.first);
    }
  }
  return names;
}

size_t
OwnershipDecider::ExtensionGrantsNeeded(const ClusterState& aState) const
{
  const auto others = int(this->ExtensionPeers(aState).size());
  const auto ownEntry = aState.Members().find(this->host);
  if (others == 0 || ownEntry == aState.Members().end()) {
    return size_t(others);
  }
  // The newest renewal in the log is either the replayed or the sent one.
  const int spareGrants =
    std::min(this->sentSpareGrants, ownEntry->second.sparePromises);
  return size_t(std::max(1, others - spareGrants));
}

void
OwnershipDecider::OnExtensionGranted(TimePoint aRequestedAt, Millis aTerm)
{
  if (!this->leaseStartedAt || !this->renewalConfirmed ||
      !this->observedAsMember || !this->renewalCountsPeers ||
      this->sentPeerCount == 0) {
    return;
  }
  if (this->peerJoinSeenAt && aRequestedAt <= *this->peerJoinSeenAt) {
    return;
  }
  const Millis cappedTerm =
    this->everSpareGrants ? std::min(aTerm, this->settings.duration) : aTerm;
  const TimePoint end =
    std::min(aRequestedAt + cappedTerm,
             *this->leaseStartedAt + this->settings.maxOutage);
  if (!this->extensionExpiry || *this->extensionExpiry < end) {
    this->extensionExpiry = end;
  }
}

bool
OwnershipDecider::NeedsExtension(TimePoint aNow) const
{
  if (!this->renewalConfirmed || !this->observedAsMember) {
    return false;
  }
  if (aNow >= *this->leaseStartedAt + this->settings.maxOutage) {
    return false;
  }
  return this->LogUnhealthy(aNow) &&
         this->LeaseExpiry() - aNow < this->settings.duration / 2;
}

bool
OwnershipDecider::LogRecentlyUnhealthy(TimePoint aNow) const
{
  return this->LogUnhealthy(aNow) ||
         aNow - *this->logRespondingSince <
           this->settings.duration * kRecoveryLeases;
}

bool
OwnershipDecider::LogUnhealthy(TimePoint aNow) const
{
  const bool renewalDelayed = !this->unconfirmedRenewals.empty() &&
                              aNow - this->unconfirmedRenewals.begin()->second >
                                this->settings.renewInterval;
  return !this->logRespondingSince || renewalDelayed;
}

void
OwnershipDecider::RelinquishLease()
{
  this->leaseRelinquished = true;
}

void
OwnershipDecider::StartDraining()
{
  if (!this->draining) {
    this->draining = true;
    // Send the next renewal, which states the draining, at once.
    this->nextRenewalAt.reset();
  }
}

} // namespace tanagerseam
