// Lease-based membership and slot ownership, derived from the replayed log.
//
// Usage:
//
//   OwnershipDecider decider(settings, "host-1", incarnation);
//   decider.OnLogResponse(now);           // after each successful read
//   decider.Observe(state, now);          // after each applied page
//   for (RecordBody& body : decider.Decide(state, now, busySlots)) {
//     uint64_t sequence = Append(body);
//     if (std::holds_alternative<MemberRenewed>(body)) {
//       decider.OnRenewalSent(sequence, now);
//     }
//   }
//   decider.OnRenewalApplied(sequence);   // accepted in the local replay
//   if (decider.MayAct(state, slot, now)) { ... act as owner ... }
//   if (decider.Expelled(state)) { ... join with a new incarnation ... }
//
// OnRenewalApplied is for accepted records only; it starts a lease without
// waiting for the next Observe. Observe also confirms renewals for which it was
// not called: a record can be replayed before OnRenewalSent, and a restarted
// replay reports none. Use one decider for each incarnation. No clock is read
// and nothing is sent from here: time and state are passed in.
//
// Terms: a holder is a member that holds a lease, its peers are the other
// members. While the log is unavailable, peers can grant a holder a lease
// extension: they commit not to vote for its expiry until a given time (on the
// wire a grant is called a promise).
//
// Invariants:
// - A holder's lease is counted on its own monotonic clock, from just before a
//   renewal was first sent, and starts only once that renewal is replayed.
// - A member votes for the expiry of another only after it has seen no renewal
//   of it for lease + margin on its own clock, counted while the log responded
//   without interruption. ClusterState rejects the vote if the member has
//   renewed since.
// - After an interruption of the log a member votes for an expiry only once
//   every other member has renewed twice or is overdue itself. A daemon that
//   keeps replicas of other daemons' records appends them before it renews, and
//   its records reach the log in order, so the log holds what a dead owner had
//   answered before it holds that owner's expiry.
// - So an expired holder's lease has ended before its slots are free, as long
//   as the clock rates of two hosts differ by less than margin / lease.
// - While the log is unavailable a lease can be extended only by grants of
//   peers, and for at most maxOutage since the last renewal seen in the log.
//   A holder's renewals state how many grants it can do without (spare grants,
//   stored as sparePromises): a third of the members if there are at least
//   four. Its expiry takes one vote more than that, from members known to the
//   holder that are still members. Any sufficient sets of granters and of
//   voters thus share a member, which votes only after its grant has ended and
//   grants nothing after its vote.
// - A member whose join the holder never saw waits maxOutage before it votes
//   for the holder's expiry, unless the holder's renewal shows that it had
//   replayed the join, or that it had no peers: without peers there is nobody
//   to grant an extension, and the lease is not extended. An extension ends
//   when the holder sees a join later than its request, before it writes that
//   it replayed the join.
// - A member stops acting for a slot as soon as Decide returns the slot's
//   release, since a peer may claim it before the release is replayed here.
// - A draining member says so in its renewals and releases slots only once it
//   has replayed such a renewal, so that others claim what it releases.
//
// Durations counted on another host's clock are lengthened by margin / lease.
// Cost: a Decide call is O(slots x members).
#ifndef TANAGERSEAM_OWNERSHIP_OWNERSHIP_H_
#define TANAGERSEAM_OWNERSHIP_OWNERSHIP_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "kernel/kernel.h"
#include "state/state.h"

namespace tanagerseam {

struct LeaseSettings
{
  Millis duration{ 2000 };
  // Added to the duration before a member votes for an expiry, to allow for
  // clocks that run at different rates.
  Millis margin{ 500 };
  Millis renewInterval{ 500 };
  // How long a new member must have been seen before slots move to it.
  Millis settleTime{ 1000 };
  // Longest time that extensions can replace renewals.
  Millis maxOutage{ 3600000 };
};

// The member that should own a slot: rendezvous hashing over the hosts that are
// not draining. Empty if there are none. Cost: one hash per member.
std::string
PreferredOwner(const std::map<std::string, Member>& aMembers, int aSlot);

class OwnershipDecider
{
public:
  OwnershipDecider(LeaseSettings aSettings,
                   std::string aHost,
                   std::string aIncarnation);

  // The log responded, or failed, at this time.
  void OnLogResponse(TimePoint aNow);
  void OnLogFailure(TimePoint aNow);
  // Tracks joins and renewals in the replayed state.
  void Observe(const ClusterState& aState, TimePoint aNow);

  // Records to append now: a renewal, expiry votes, claims of free slots that
  // this member should own, releases of idle slots that another should own.
  // A record that was rejected is returned again, at the earliest after
  // renewInterval.
  std::vector<RecordBody> Decide(const ClusterState& aState,
                                 TimePoint aNow,
                                 const std::set<int>& aBusySlots);

  void OnRenewalSent(uint64_t aSequence, TimePoint aSentAt);
  void OnRenewalApplied(uint64_t aSequence);
  // The join record counts as the first renewal.
  void OnJoinSent(uint64_t aSequence, TimePoint aSentAt);

  // Whether this member holds a valid lease. Not sufficient to act as an owner;
  // see MayAct.
  bool LeaseValid(TimePoint aNow) const;
  // Whether this member may act as the owner of a slot: its lease is valid, the
  // replayed state shows the ownership and it has not released the slot since.
  bool MayAct(const ClusterState& aState, int aSlot, TimePoint aNow) const;
  // Whether this incarnation was removed from the members, or its join was
  // rejected. This is permanent: the daemon must join with a new incarnation.
  bool Expelled(const ClusterState& aState) const;
  // End of the lease, extension included; the clock's epoch if there is none.
  TimePoint LeaseExpiry() const;

  // Grants a lease extension to this incarnation of aHolder: no expiry vote
  // against it until aNow + aTerm, lengthened by the allowed clock drift.
  // Refused if this member has voted for its expiry since its newest renewal,
  // if either was not a member at the last Observe, or if aTerm exceeds
  // maxOutage.
  bool GrantExtension(const std::string& aHolder,
                      const std::string& aIncarnation,
                      Millis aTerm,
                      TimePoint aNow);
  // The members to ask for an extension, and how many of them must grant it.
  // Empty and 0 if there are no peers.
  std::vector<std::string> ExtensionPeers(const ClusterState& aState) const;
  size_t ExtensionGrantsNeeded(const ClusterState& aState) const;
  // Enough members granted aTerm in response to a request sent at aRequestedAt.
  // No effect if a join was observed since, or before a first renewal (not the
  // join) is confirmed: peers rely on both. Nor if the newest renewal, replayed
  // or sent, counts no peers. Limited to one lease duration once this member
  // has stated spare grants in a renewal.
  void OnExtensionGranted(TimePoint aRequestedAt, Millis aTerm);
  // Whether to request an extension now: the log is unhealthy and less than
  // half of the lease duration remains.
  bool NeedsExtension(TimePoint aNow) const;
  // Whether the log fails, or a renewal has been unconfirmed for longer than
  // renewInterval: the log hangs, is slow, or serves reads but no appends.
  bool LogUnhealthy(TimePoint aNow) const;
  // Whether the log is unhealthy or was until a few leases ago. Extensions are
  // to be granted only then: a holder that alone has lost access to the log
  // should lose its slots.
  bool LogRecentlyUnhealthy(TimePoint aNow) const;

  // For a graceful shutdown: no more claims, and Decide releases idle slots.
  void StartDraining();
  // Ends the lease permanently. Must precede the append of MemberLeft, after
  // which others may act for the slots.
  void RelinquishLease();

private:
  // What was observed of a member, with times on this host's clock.
  struct MemberObservation
  {
    std::string incarnation;
    int64_t renewedOffset = -1;
    TimePoint renewalSeenAt;
    TimePoint firstSeenAt;
    // Whether its expiry need not wait for maxOutage: the member counts this
    // one among its peers, or cannot have extended its lease.
    bool expirableEarly = false;
    // Renewals seen since the last interruption of the log.
    int renewalsSinceInterruption = 0;
  };

  void ObserveMember(const Member& aMember, TimePoint aNow);
  // Confirms renewals found in the replayed state.
  void ConfirmReplayedRenewals(const ClusterState& aState);
  // Not renewed for lease + margin, counted while the log responded.
  bool IsOverdue(const MemberObservation& aObservation) const;
  bool MayExpire(const Member& aMember, TimePoint aNow) const;
  // Whether no extension of the member's lease can still be in force.
  bool MaxOutagePassed(const MemberObservation& aObservation,
                       TimePoint aNow) const;
  void DecideRenewal(const ClusterState& aState,
                     TimePoint aNow,
                     std::vector<RecordBody>& aOut);
  void DecideExpiryVotes(const ClusterState& aState,
                         TimePoint aNow,
                         std::vector<RecordBody>& aOut);
  void DecideClaims(const ClusterState& aState,
                    TimePoint aNow,
                    std::vector<RecordBody>& aOut);
  void DecideReleases(const ClusterState& aState,
                      TimePoint aNow,
                      const std::set<int>& aBusySlots,
                      std::vector<RecordBody>& aOut);
  bool IsMember(const ClusterState& aState) const;
  // The members to spread slots over: those seen for at least settleTime that
  // are not draining, or all members if there is none.
  std::map<std::string, Member> SettledMembers(const ClusterState& aState,
                                               TimePoint aNow) const;
  // A duration that on this clock lasts at least aDuration on any other.
  Millis WithDriftAllowance(Millis aDuration) const;

  const LeaseSettings settings;
  const std::string host;
  const std::string incarnation;
  std::map<std::string, MemberObservation> observations;
  // Send time by sequence; includes the join.
  std::map<uint64_t, TimePoint> unconfirmedRenewals;
  // End of the extension that this member granted, by host.
  std::map<std::string, TimePoint> extensionGrantedUntil;
  // Offset of the member's newest renewal when an expiry vote against it was
  // last returned. The vote may still take effect until the member renews.
  std::map<std::string, int64_t> renewalAtExpiryVote;
  // Epoch at which each slot was released.
  std::map<int, int64_t> releasedEpochs;
  // 0 before the join is sent.
  uint64_t joinSequence = 0;
  // Whether a renewal after the join is confirmed.
  bool renewalConfirmed = false;
  // Whether the join was replayed, accepted or rejected.
  bool joinResolved = false;
  // Whether this incarnation was a member at the last Observe.
  bool observedAsMember = false;
  // When a join of another member was last observed.
  std::optional<TimePoint> peerJoinSeenAt;
  std::optional<TimePoint> lastLogResponse;
  std::optional<TimePoint> leaseStartedAt;
  std::optional<TimePoint> extensionExpiry;
  std::optional<TimePoint> nextRenewalAt;
  std::optional<TimePoint> nextClaimAt;
  std::optional<TimePoint> nextReleaseAt;
  std::map<std::string, TimePoint> nextExpiryVoteAt;
  // Since when the log has responded without interruption; unset if it fails.
  std::optional<TimePoint> logRespondingSince;
  // Whether the newest replayed renewal of this member counts peers. If not,
  // grants do not extend the lease.
  bool renewalCountsPeers = false;
  // Peers and spare grants stated in the newest renewal sent, which may not be
  // replayed yet.
  int sentPeerCount = -1;
  int sentSpareGrants = 0;
  // Whether any renewal sent stated spare grants.
  bool everSpareGrants = false;
  bool draining = false;
  bool leaseRelinquished = false;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_OWNERSHIP_OWNERSHIP_H_
