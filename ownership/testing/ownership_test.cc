// Simulates up to four members on one log and one clock, with outages, pauses,
// restarts and lease extensions. After every tick it checks that at most one
// member may act for each slot.
#include <gtest/gtest.h>

#include <memory>

#include "ownership/ownership.h"

namespace tanagerseam {
namespace {

constexpr int kSlots = 8;
constexpr Millis kTickInterval(50);
constexpr LeaseSettings kSettings;

// A daemon: its replayed state, its decider and the records not yet in the log.
struct Daemon
{
  std::string host;
  std::string incarnation;
  ClusterState state{ kSlots };
  std::unique_ptr<OwnershipDecider> decider;
  uint64_t sequence = 0;
  std::set<int> busySlots;
  bool running = true;
  bool logReachable = true;
  std::vector<Record> pendingRecords;

  size_t OwnedSlots() const
  {
    size_t count = 0;
    for (const Slot& slot : this->state.Slots()) {
      count += slot.owner == this->host ? 1 : 0;
    }
    return count;
  }
};

class OwnershipTest : public testing::Test
{
protected:
  Daemon& Join(const std::string& aHost, const std::string& aIncarnation)
  {
    Daemon& daemon = this->daemons[aHost];
    daemon = Daemon{};
    daemon.host = aHost;
    daemon.incarnation = aIncarnation;
    daemon.decider =
      std::make_unique<OwnershipDecider>(kSettings, aHost, aIncarnation);
    this->Replay(daemon);
    this->Send(daemon,
               MemberJoined{ "zone", "", "", "", daemon.state.LastOffset() });
    return daemon;
  }

  void Send(Daemon& aDaemon, const RecordBody& aBody)
  {
    const uint64_t sequence = ++aDaemon.sequence;
    aDaemon.pendingRecords.push_back(
      { { aDaemon.host, aDaemon.incarnation, sequence }, aBody });
    if (std::holds_alternative<MemberJoined>(aBody)) {
      aDaemon.decider->OnJoinSent(sequence, this->now);
    }
    if (std::holds_alternative<MemberRenewed>(aBody)) {
      ++this->renewalCount;
      aDaemon.decider->OnRenewalSent(sequence, this->now);
    }
  }

  void Replay(Daemon& aDaemon)
  {
    for (auto i = size_t(aDaemon.state.LastOffset() + 1); i < this->log.size();
         ++i) {
      const Record& record = this->log[i];
      const auto outcome = aDaemon.state.Apply(int64_t(i), record);
      const bool own = record.header.host == aDaemon.host &&
                       record.header.incarnation == aDaemon.incarnation;
      if (own && outcome.verdict == Verdict::kAccepted) {
        aDaemon.decider->OnRenewalApplied(record.header.sequence);
      }
    }
  }

  void Tick(Daemon& aDaemon)
  {
    if (!aDaemon.running) {
      return;
    }
    if (this->logAvailable && aDaemon.logReachable) {
      for (const Record& record : aDaemon.pendingRecords) {
        this->log.push_back(record);
      }
      aDaemon.pendingRecords.clear();
      this->Replay(aDaemon);
      aDaemon.decider->OnLogResponse(this->now);
    } else {
      aDaemon.decider->OnLogFailure(this->now);
    }
    aDaemon.decider->Observe(aDaemon.state, this->now);
    for (const auto& body :
         aDaemon.decider->Decide(aDaemon.state, this->now, aDaemon.busySlots)) {
      this->Send(aDaemon, body);
    }
  }

  // Fails if two members may act for one slot.
  void CheckSingleActor()
  {
    for (int slot = 0; slot < kSlots; ++slot) {
      int actors = 0;
      for (const auto& entry : this->daemons) {
        const Daemon& daemon = entry.second;
        actors += daemon.decider->MayAct(daemon.state, slot, this->now) ? 1 : 0;
      }
      ASSERT_LE(actors, 1) << "slot " << slot;
    }
  }

  void Advance(Millis aDuration)
  {
    for (Millis elapsed(0); elapsed < aDuration; elapsed += kTickInterval) {
      this->now += kTickInterval;
      for (auto& entry : this->daemons) {
        this->Tick(entry.second);
      }
      this->CheckSingleActor();
    }
  }

  size_t FreeSlots(const Daemon& aDaemon) const
  {
    size_t count = 0;
    for (const Slot& slot : aDaemon.state.Slots()) {
      count += slot.owner.empty() ? 1 : 0;
    }
    return count;
  }

  // Requests an extension from all peers; true if enough granted it.
  bool RequestExtension(Daemon& aHolder, Millis aDuration)
  {
    const TimePoint requestedAt = this->now;
    size_t granted = 0;
    for (const auto& name : aHolder.decider->ExtensionPeers(aHolder.state)) {
      Daemon& peer = this->daemons.at(name);
      granted += peer.running &&
                 peer.decider->GrantExtension(
                   aHolder.host, aHolder.incarnation, aDuration, this->now);
    }
    if (granted < aHolder.decider->ExtensionGrantsNeeded(aHolder.state)) {
      return false;
    }
    aHolder.decider->OnExtensionGranted(requestedAt, aDuration);
    return true;
  }

  TimePoint now{ std::chrono::hours(1) };
  std::vector<Record> log;
  std::map<std::string, Daemon> daemons;
  bool logAvailable = true;
  int renewalCount = 0;
};

TEST_F(OwnershipTest, SingleMemberClaimsAllSlotsAndRenewsPeriodically)
{
  Daemon& a = this->Join("a", "1");
  this->Advance(Millis(1000));
  EXPECT_EQ(a.OwnedSlots(), size_t(kSlots));
  this->renewalCount = 0;
  this->Advance(Millis(5000));
  EXPECT_GE(this->renewalCount, 8);
  EXPECT_LE(this->renewalCount, 10);
}

TEST_F(OwnershipTest, MovesSlotsToNewMemberAfterSettleTime)
{
  Daemon& a = this->Join("a", "1");
  this->Advance(Millis(2000));
  Daemon& b = this->Join("b", "1");
  this->Advance(Millis(500));
  EXPECT_EQ(b.OwnedSlots(), 0U);
  {
    SCOPED_TRACE("busy slots are not moved");
    for (int slot = 0; slot < kSlots; ++slot) {
      a.busySlots.insert(slot);
    }
    this->Advance(Millis(3000));
    EXPECT_EQ(b.OwnedSlots(), 0U);
  }
  a.busySlots.clear();
  this->Advance(Millis(3000));
  EXPECT_GT(b.OwnedSlots(), 0U);
  EXPECT_EQ(a.OwnedSlots() + b.OwnedSlots(), size_t(kSlots));
}

TEST_F(OwnershipTest, ReclaimsSlotsOfKilledMemberAfterLeaseAndMargin)
{
  Daemon& a = this->Join("a", "1");
  Daemon& b = this->Join("b", "1");
  this->Advance(Millis(6000));
  ASSERT_GT(b.OwnedSlots(), 0U);
  b.running = false;
  this->Advance(kSettings.duration);
  EXPECT_LT(a.OwnedSlots(), size_t(kSlots));
  this->Advance(kSettings.margin + Millis(1500));
  EXPECT_EQ(a.OwnedSlots(), size_t(kSlots));
}

TEST_F(OwnershipTest, PausedHolderIsExpelledAndDoesNotAct)
{
  Daemon& a = this->Join("a", "1");
  Daemon& b = this->Join("b", "1");
  this->Advance(Millis(6000));
  b.running = false;
  this->Advance(Millis(6000));
  ASSERT_EQ(a.OwnedSlots(), size_t(kSlots));
  // When it resumes, its replayed state still shows the ownership.
  EXPECT_GT(b.OwnedSlots(), 0U);
  EXPECT_FALSE(b.decider->LeaseValid(this->now));
  EXPECT_FALSE(b.decider->Expelled(b.state));
  b.running = true;
  this->Advance(Millis(200));
  EXPECT_TRUE(b.decider->Expelled(b.state));
  Daemon& restarted = this->Join("b", "2");
  this->Advance(Millis(6000));
  EXPECT_GT(restarted.OwnedSlots(), 0U);
}

TEST_F(OwnershipTest, ExtendsLeaseInLogOutageByGrantsOfAllPeers)
{
  Daemon& a = this->Join("a", "1");
  Daemon& b = this->Join("b", "1");
  this->Advance(Millis(6000));
  const size_t owned = a.OwnedSlots();
  ASSERT_GT(owned, 0U);
  this->logAvailable = false;
  this->Advance(kSettings.duration + Millis(50));
  EXPECT_FALSE(a.decider->LeaseValid(this->now));
  {
    SCOPED_TRACE("repeated extensions keep the lease for 20 s");
    for (int i = 0; i < 20; ++i) {
      ASSERT_TRUE(a.decider->NeedsExtension(this->now));
      ASSERT_TRUE(this->RequestExtension(a, Millis(1500)));
      EXPECT_TRUE(a.decider->LeaseValid(this->now));
      this->Advance(Millis(1000));
    }
  }
  {
    SCOPED_TRACE("renewals do not accumulate during the outage");
    EXPECT_EQ(a.pendingRecords.size(), 1U);
  }
  {
    SCOPED_TRACE("an unavailable peer prevents further extensions");
    b.running = false;
    EXPECT_FALSE(this->RequestExtension(a, Millis(1500)));
    this->Advance(Millis(1500));
    EXPECT_FALSE(a.decider->LeaseValid(this->now));
    b.running = true;
  }
  this->logAvailable = true;
  this->Advance(Millis(1000));
  EXPECT_TRUE(a.decider->LeaseValid(this->now));
  EXPECT_EQ(a.OwnedSlots(), owned);
}

TEST_F(OwnershipTest, DelaysExpiryAfterOutageUntilReplicasAreLogged)
{
  Daemon& a = this->Join("a", "1");
  Daemon& b = this->Join("b", "1");
  Daemon& c = this->Join("c", "1");
  this->Advance(Millis(6000));
  this->logAvailable = false;
  this->Advance(Millis(3000));
  c.running = false;
  this->logAvailable = true;
  b.logReachable = false;
  // Guards against an expiry of c before the replicas that b keeps of c's
  // records are in the log. By now c would be overdue, but b has renewed only
  // once, with the renewal queued before it stored the last record of c.
  this->Advance(Millis(2400));
  b.logReachable = true;
  this->Tick(b);
  b.logReachable = false;
  this->Advance(Millis(600));
  EXPECT_EQ(a.state.Members().count("c"), 1U);
  EXPECT_EQ(a.state.Members().count("b"), 1U);
  b.logReachable = true;
  this->Advance(Millis(1000));
  EXPECT_EQ(a.state.Members().count("c"), 0U);
  EXPECT_EQ(a.state.Members().count("b"), 1U);
}

TEST_F(OwnershipTest, KeepsOtherLeasesWhenMemberDiesInOutage)
{
  Daemon& a = this->Join("a", "1");
  Daemon& b = this->Join("b", "1");
  Daemon& c = this->Join("c", "1");
  Daemon& d = this->Join("d", "1");
  this->Advance(Millis(6000));
  this->logAvailable = false;
  c.running = false;
  this->Advance(Millis(1500));
  for (int i = 0; i < 10; ++i) {
    for (Daemon* holder : { &a, &b, &d }) {
      ASSERT_TRUE(this->RequestExtension(*holder, Millis(1500)));
    }
    this->Advance(Millis(1000));
    EXPECT_TRUE(a.decider->LeaseValid(this->now));
    EXPECT_TRUE(b.decider->LeaseValid(this->now));
  }
  this->logAvailable = true;
  this->Advance(Millis(6000));
  EXPECT_EQ(a.state.Members().count("c"), 0U);
  EXPECT_EQ(a.OwnedSlots() + b.OwnedSlots() + d.OwnedSlots(), size_t(kSlots));
}

TEST_F(OwnershipTest, SingleVoteDoesNotExpireExtendedHolder)
{
  Daemon& a = this->Join("a", "1");
  Daemon& b = this->Join("b", "1");
  Daemon& c = this->Join("c", "1");
  Daemon& d = this->Join("d", "1");
  this->Advance(Millis(6000));
  a.logReachable = false;
  b.logReachable = false;
  c.logReachable = false;
  this->Advance(Millis(1500));
  for (int i = 0; i < 10; ++i) {
    ASSERT_TRUE(b.decider->GrantExtension("a", "1", Millis(1500), this->now));
    ASSERT_TRUE(c.decider->GrantExtension("a", "1", Millis(1500), this->now));
    a.decider->OnExtensionGranted(this->now, Millis(1500));
    this->Advance(Millis(1000));
    EXPECT_TRUE(a.decider->LeaseValid(this->now));
  }
  EXPECT_EQ(d.state.Members().count("a"), 1U);
  {
    SCOPED_TRACE("a second vote expires the holder");
    b.logReachable = true;
    this->Advance(Millis(6000));
    EXPECT_EQ(d.state.Members().count("a"), 0U);
  }
}

TEST_F(OwnershipTest, ExpiresMemberThatDiesAfterAnotherRestarts)
{
  this->Join("a", "1");
  Daemon& b = this->Join("b", "1");
  Daemon& c = this->Join("c", "1");
  this->Advance(Millis(6000));
  this->Join("a", "2");
  b.running = false;
  this->Advance(Millis(6000));
  EXPECT_EQ(c.state.Members().count("b"), 0U);
}

TEST_F(OwnershipTest, OneOfThreeMembersReclaimsAllSlots)
{
  Daemon& a = this->Join("a", "1");
  Daemon& b = this->Join("b", "1");
  Daemon& c = this->Join("c", "1");
  this->Advance(Millis(6000));
  a.running = false;
  b.running = false;
  this->Advance(Millis(8000));
  EXPECT_EQ(c.OwnedSlots(), size_t(kSlots));
}

TEST_F(OwnershipTest, ExpiresNobodyWhileLogDoesNotRespond)
{
  Daemon& a = this->Join("a", "1");
  this->Join("b", "1");
  this->Advance(Millis(6000));
  // The log hangs: the newest read has neither failed nor returned.
  for (int i = 0; i < 100; ++i) {
    this->now += kTickInterval;
    for (const auto& body : a.decider->Decide(a.state, this->now, {})) {
      EXPECT_FALSE(std::holds_alternative<MemberExpired>(body));
    }
  }
}

TEST_F(OwnershipTest, GrantPreventsExpiryUntilItEnds)
{
  Daemon& a = this->Join("a", "1");
  Daemon& b = this->Join("b", "1");
  this->Advance(Millis(6000));
  a.logReachable = false;
  this->Advance(Millis(1500));
  ASSERT_TRUE(this->RequestExtension(a, Millis(10000)));
  this->Advance(Millis(9500));
  EXPECT_TRUE(a.decider->LeaseValid(this->now));
  EXPECT_EQ(this->FreeSlots(b), 0U);
  EXPECT_EQ(b.state.Members().count("a"), 1U);
  this->Advance(Millis(6000));
  EXPECT_FALSE(a.decider->LeaseValid(this->now));
  EXPECT_EQ(b.OwnedSlots(), size_t(kSlots));
  SCOPED_TRACE("no grant to an expired member");
  EXPECT_FALSE(b.decider->GrantExtension("a", "1", Millis(1000), this->now));
}

TEST_F(OwnershipTest, RefusesGrantWhileOwnExpiryVoteIsPending)
{
  Daemon& a = this->Join("a", "1");
  Daemon& b = this->Join("b", "1");
  this->Advance(Millis(6000));
  a.running = false;
  b.running = false;
  this->now += Millis(1000);
  b.decider->OnLogResponse(this->now);
  for (int i = 0; i < 3; ++i) {
    this->now += Millis(900);
    b.decider->OnLogResponse(this->now);
  }
  EXPECT_TRUE(b.decider->GrantExtension("a", "1", Millis(10), this->now));
  this->now += Millis(50);
  bool expired = false;
  for (const auto& body : b.decider->Decide(b.state, this->now, {})) {
    expired = expired || std::holds_alternative<MemberExpired>(body);
  }
  ASSERT_TRUE(expired);
  EXPECT_FALSE(b.decider->GrantExtension("a", "1", Millis(1000), this->now));
  // The vote stays pending until this member sees a newer renewal of the
  // holder.
  a.decider->OnLogResponse(this->now);
  a.running = true;
  b.running = true;
  this->Tick(a);
  this->Tick(a);
  this->Tick(b);
  EXPECT_TRUE(b.decider->GrantExtension("a", "1", Millis(1000), this->now));
}

TEST_F(OwnershipTest, MemberUnknownToHolderDoesNotExpireIt)
{
  Daemon& a = this->Join("a", "1");
  Daemon& b = this->Join("b", "1");
  this->Advance(Millis(6000));
  a.logReachable = false;
  Daemon& c = this->Join("c", "1");
  this->Advance(Millis(1200));
  ASSERT_EQ(a.decider->ExtensionPeers(a.state),
            std::vector<std::string>{ "b" });
  for (int i = 0; i < 10; ++i) {
    ASSERT_TRUE(this->RequestExtension(a, Millis(2000)));
    this->Advance(Millis(1000));
    ASSERT_TRUE(a.decider->LeaseValid(this->now));
  }
  EXPECT_EQ(c.state.Members().count("a"), 1U);
  {
    SCOPED_TRACE("a member known to the holder expires it once the grant ends");
    this->Advance(Millis(6000));
    EXPECT_EQ(c.state.Members().count("a"), 0U);
    EXPECT_EQ(b.state.Members().count("a"), 0U);
  }
}

TEST_F(OwnershipTest, MemberKnownToHolderExpiresItOnTime)
{
  Daemon& a = this->Join("a", "1");
  this->Advance(Millis(3000));
  Daemon& c = this->Join("c", "1");
  this->Advance(Millis(6000));
  a.running = false;
  this->Advance(Millis(4500));
  EXPECT_EQ(c.OwnedSlots(), size_t(kSlots));
}

TEST_F(OwnershipTest, ExpiresHolderWithoutPeersOnTime)
{
  Daemon& a = this->Join("a", "1");
  this->Advance(Millis(3000));
  // It dies before a renewal states that it replayed the other's join.
  Daemon& b = this->Join("b", "1");
  a.running = false;
  {
    SCOPED_TRACE("without peers to ask, the lease cannot be extended");
    EXPECT_TRUE(this->RequestExtension(a, Millis(20000)));
    EXPECT_LE(a.decider->LeaseExpiry(), this->now + kSettings.duration);
  }
  this->Advance(Millis(4500));
  EXPECT_EQ(b.OwnedSlots(), size_t(kSlots));
}

TEST_F(OwnershipTest, JoinEndsExtensionNotGrantedByJoiner)
{
  Daemon& a = this->Join("a", "1");
  this->Join("b", "1");
  this->Advance(Millis(6000));
  ASSERT_TRUE(this->RequestExtension(a, Millis(20000)));
  const TimePoint requestedAt = this->now;
  EXPECT_GT(a.decider->LeaseExpiry(), this->now + Millis(15000));
  this->Join("c", "1");
  this->Advance(Millis(200));
  EXPECT_LE(a.decider->LeaseExpiry(), this->now + kSettings.duration);
  SCOPED_TRACE("grants requested before the join have no effect");
  a.decider->OnExtensionGranted(requestedAt, Millis(20000));
  EXPECT_LE(a.decider->LeaseExpiry(), this->now + kSettings.duration);
}

TEST_F(OwnershipTest, KeepsRenewingIfReplayPrecedesOnRenewalSent)
{
  Daemon& a = this->Join("a", "1");
  this->Advance(Millis(2000));
  {
    SCOPED_TRACE(
      "the renewal is replayed before the submitting thread records it");
    const uint64_t sequence = ++a.sequence;
    this->log.push_back(
      { { a.host, a.incarnation, sequence }, MemberRenewed{} });
    this->Replay(a);
    a.decider->OnRenewalSent(sequence, this->now);
  }
  this->Advance(Millis(4000));
  EXPECT_TRUE(a.decider->LeaseValid(this->now));
  EXPECT_FALSE(a.decider->LogUnhealthy(this->now));
}

TEST_F(OwnershipTest, KeepsRenewingAfterReplayRestarts)
{
  Daemon& a = this->Join("a", "1");
  this->Advance(Millis(2000));
  while (a.pendingRecords.empty()) {
    this->now += kTickInterval;
    this->Tick(a);
  }
  this->log.insert(
    this->log.end(), a.pendingRecords.begin(), a.pendingRecords.end());
  a.pendingRecords.clear();
  a.state = ClusterState(kSlots);
  for (size_t i = 0; i < this->log.size(); ++i) {
    a.state.Apply(int64_t(i), this->log[i]);
  }
  this->Advance(Millis(4000));
  EXPECT_TRUE(a.decider->LeaseValid(this->now));
}

TEST_F(OwnershipTest, DetectsRejectedJoinAfterReplayRestarts)
{
  Daemon& a = this->Join("a", "1");
  this->Advance(Millis(2000));
  Daemon restartedReplay;
  restartedReplay.state = a.state;
  OwnershipDecider decider(kSettings, "a", "0");
  decider.OnJoinSent(1, this->now);
  restartedReplay.state.Apply(restartedReplay.state.LastOffset() + 1,
                              { { "a", "0", 1 }, MemberJoined{} });
  decider.Observe(restartedReplay.state, this->now);
  EXPECT_TRUE(decider.Expelled(restartedReplay.state));
}

TEST_F(OwnershipTest, DrainingMemberHandsOverWithinALease)
{
  Daemon& a = this->Join("a", "1");
  Daemon& b = this->Join("b", "1");
  this->Advance(Millis(6000));
  ASSERT_GT(a.OwnedSlots(), 0U);
  int busySlot = 0;
  while (a.state.Slots()[size_t(busySlot)].owner != "a") {
    ++busySlot;
  }
  a.busySlots = { busySlot };
  a.decider->StartDraining();
  this->Advance(Millis(600));
  EXPECT_EQ(a.OwnedSlots(), 1U);
  EXPECT_EQ(b.OwnedSlots(), size_t(kSlots) - 1);
  EXPECT_TRUE(a.decider->MayAct(a.state, busySlot, this->now));
  a.busySlots.clear();
  this->Advance(Millis(1000));
  EXPECT_EQ(a.OwnedSlots(), 0U);
  EXPECT_EQ(b.OwnedSlots(), size_t(kSlots));
}

TEST_F(OwnershipTest, GrantsExtensionToCurrentIncarnationOnly)
{
  this->Join("a", "1");
  Daemon& b = this->Join("b", "1");
  this->Advance(Millis(3000));
  EXPECT_FALSE(b.decider->GrantExtension("a", "2", Millis(1000), this->now));
  EXPECT_TRUE(b.decider->GrantExtension("a", "1", Millis(1000), this->now));
}

TEST_F(OwnershipTest, StopsActingOnReleaseBeforeReplay)
{
  Daemon& a = this->Join("a", "1");
  this->Advance(Millis(3000));
  a.decider->StartDraining();
  this->Tick(a);
  this->Tick(a);
  bool released = false;
  for (const Record& record : a.pendingRecords) {
    released = released || std::holds_alternative<SlotsReleased>(record.body);
  }
  ASSERT_TRUE(released);
  EXPECT_EQ(a.state.Slots()[0].owner, "a");
  EXPECT_TRUE(a.decider->LeaseValid(this->now));
  EXPECT_FALSE(a.decider->MayAct(a.state, 0, this->now));
}

} // namespace
} // namespace tanagerseam
