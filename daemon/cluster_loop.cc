#include "daemon/cluster_loop.h"

#include <algorithm>

namespace tanagerseam {

namespace {

constexpr Millis kTickInterval(20);
constexpr Millis kBackgroundInterval(1000);
constexpr Millis kMinExtensionRoundInterval(300);

} // namespace

ClusterLoop::ClusterLoop(const DaemonContext& aContext, Hooks aHooks)
  : context(aContext)
  , hooks(std::move(aHooks))
  , replicas(aContext.journal)
{
}

ClusterLoop::~ClusterLoop()
{
  this->Stop();
}

void
ClusterLoop::Start()
{
  this->context.journal.SetOnApplied(
    [this](const Record& aRecord, const RecordVerdict& aVerdict) {
      this->OnApplied(aRecord, aVerdict);
    });
  this->Join();
  this->ownershipThread = std::thread([this] { this->Run(); });
  this->backgroundThread = std::thread([this] { this->RunBackgroundTasks(); });
}

void
ClusterLoop::Join()
{
  const DaemonSettings& settings = this->context.settings;
  std::lock_guard<std::mutex> lock(this->mutex);
  this->decider = std::make_unique<OwnershipDecider>(
    settings.lease, settings.host, this->context.journal.Incarnation());
  if (this->draining) {
    // A daemon that is expelled while draining must not claim slots again.
    this->decider->StartDraining();
  }
  MemberJoined joined;
  joined.zone = settings.zone;
  joined.peerAddress = settings.advertisedPeerAddress;
  joined.callerAddress = settings.callerAddress;
  joined.adminAddress = settings.adminAddress;
  joined.replayedOffset = this->context.journal.With(
    [](const ClusterState& aState) { return aState.LastOffset(); });
  const TimePoint now = Now();
  const auto ticket = this->context.journal.Submit(joined);
  if (ticket) {
    this->joinSequence = ticket->sequence;
    this->decider->OnJoinSent(ticket->sequence, now);
  }
  this->joinRetryNeeded = !ticket;
}

void
ClusterLoop::Run()
{
  while (!this->stopping) {
    this->Tick();
    std::this_thread::sleep_for(kTickInterval);
  }
}

void
ClusterLoop::Tick()
{
  if (this->joinRetryNeeded) {
    this->Join();
    return;
  }
  const std::set<int> busy = this->hooks.busySlots();
  std::vector<RecordBody> bodies;
  bool needsExtension = false;
  bool expelled = false;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    const TimePoint now = Now();
    if (this->context.journal.LogRequestsFail()) {
      this->lastLogFailure = now;
      this->decider->OnLogFailure(now);
    } else if (this->context.journal.LastLogResponse() > this->lastLogFailure) {
      this->decider->OnLogResponse(this->context.journal.LastLogResponse());
    }
    this->context.journal.With([&](const ClusterState& aState) {
      this->decider->Observe(aState, now);
      expelled =
        this->decider->Expelled(aState) || this->joinRejected.exchange(false);
      if (!expelled) {
        bodies = this->decider->Decide(aState, now, busy);
      }
    });
    needsExtension =
      this->decider->NeedsExtension(now) ||
      (this->extensionRoundRequested && this->decider->LogUnhealthy(now));
    if (!this->decider->LogRecentlyUnhealthy(now)) {
      this->unresponsivePeers.clear();
    }
  }
  if (expelled && !this->leaving) {
    LogWarn("expelled", {});
    this->context.metrics.Count("tanagerseam_expelled_total", {});
    this->context.journal.NewIncarnation();
    this->Join();
    return;
  }
  this->SubmitRecords(std::move(bodies));
  if (needsExtension &&
      Now() - this->lastExtensionRound > kMinExtensionRoundInterval) {
    this->lastExtensionRound = Now();
    this->extensionRoundRequested = false;
    this->RunExtensionRound();
  }
}

void
ClusterLoop::RunBackgroundTasks()
{
  TimePoint last{};
  while (!this->stopping) {
    if (Now() - last >= kBackgroundInterval) {
      last = Now();
      this->PullConfigFromNextPeers();
      this->replicas.RelayIfLogAvailable();
      this->MaybeSnapshot();
      this->hooks.everySecond();
    }
    std::this_thread::sleep_for(kTickInterval);
  }
}

void
ClusterLoop::SubmitRecords(std::vector<RecordBody> aBodies)
{
  for (RecordBody& body : aBodies) {
    const bool renewal = std::holds_alternative<MemberRenewed>(body);
    const bool expiry = std::holds_alternative<MemberExpired>(body);
    // A renewal allows other members to vote for a dead owner's expiry, and an
    // expiry record is such a vote: the stored records must reach the log
    // first.
    if ((renewal || expiry) && !this->replicas.RelayAll()) {
      continue;
    }
    if (auto* released = std::get_if<SlotsReleased>(&body)) {
      for (int slot : released->slots) {
        for (auto& level : this->hooks.handOverLevels(slot)) {
          released->levels.insert(level);
        }
      }
    }
    // The mutex makes OnRenewalSent precede OnRenewalApplied. Otherwise the
    // decider would wait for this renewal forever and send no other.
    std::lock_guard<std::mutex> lock(this->mutex);
    const TimePoint sentAt = Now();
    const auto ticket = this->context.journal.Submit(std::move(body));
    if (ticket && renewal) {
      this->decider->OnRenewalSent(ticket->sequence, sentAt);
    }
  }
}

void
ClusterLoop::OnApplied(const Record& aRecord, const RecordVerdict& aVerdict)
{
  const bool own =
    aRecord.header.host == this->context.settings.host &&
    aRecord.header.incarnation == this->context.journal.Incarnation();
  if (std::holds_alternative<Snapshot>(aRecord.body)) {
    this->lastSnapshotOffset = aVerdict.offset;
  }
  if (own && aVerdict.verdict == Verdict::kStaleRenewal &&
      std::holds_alternative<MemberJoined>(aRecord.body)) {
    // Another incarnation of this host joined after the offset up to which this
    // one had replayed the log.
    this->joinRejected = true;
  }
  if (!own || aVerdict.verdict != Verdict::kAccepted) {
    return;
  }
  if (std::holds_alternative<MemberRenewed>(aRecord.body) ||
      std::holds_alternative<MemberJoined>(aRecord.body)) {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->decider->OnRenewalApplied(aRecord.header.sequence);
  }
  if (std::holds_alternative<SlotsClaimed>(aRecord.body)) {
    for (int slot : aVerdict.slots) {
      this->hooks.onSlotClaimed(slot);
    }
  }
}

std::vector<std::string>
ClusterLoop::MemberPeers() const
{
  const std::string self = this->context.settings.host;
  const std::string zone = this->context.settings.zone;
  return this->context.journal.With([&](const ClusterState& aState) {
    std::vector<std::string> other;
    std::vector<std::string> same;
    for (const auto& entry : aState.Members()) {
      if (entry.first != self) {
        auto& list = entry.second.zone == zone ? same : other;
        list.push_back(entry.second.peerAddress);
      }
    }
    other.insert(other.end(), same.begin(), same.end());
    return other;
  });
}

std::vector<std::string>
ClusterLoop::MemberAndSeedPeers() const
{
  auto peers = this->MemberPeers();
  for (const std::string& seed : this->context.settings.seeds) {
    const bool known =
      std::find(peers.begin(), peers.end(), seed) != peers.end();
    if (!known && seed != this->context.settings.advertisedPeerAddress) {
      peers.push_back(seed);
    }
  }
  return peers;
}

void
ClusterLoop::MaybeSnapshot()
{
  const int64_t position = this->context.journal.Position();
  const OwnerLocation place = FindOwner(this->context, "snapshot");
  const int64_t due =
    this->lastSnapshotOffset + this->context.settings.snapshotInterval;
  if (!place.isSelf || position < due || this->context.journal.LogFailing()) {
    return;
  }
  Snapshot snapshot;
  this->context.journal.With([&](const ClusterState& aState) {
    snapshot.covers = aState.LastOffset();
    snapshot.state = aState.ToJson();
  });
  this->lastSnapshotOffset = position;
  this->context.journal.Submit(std::move(snapshot));
}

bool
ClusterLoop::LeaseValid() const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  return this->decider && this->decider->LeaseValid(Now());
}

bool
ClusterLoop::MayAct(int aSlot) const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  return this->decider &&
         this->context.journal.With([&](const ClusterState& aState) {
           return this->decider->MayAct(aState, aSlot, Now());
         });
}

bool
ClusterLoop::IsMember() const
{
  const std::string host = this->context.settings.host;
  const std::string incarnation = this->context.journal.Incarnation();
  return this->context.journal.With([&](const ClusterState& aState) {
    auto found = aState.Members().find(host);
    return found != aState.Members().end() &&
           found->second.incarnation == incarnation;
  });
}

void
ClusterLoop::StartDraining()
{
  std::lock_guard<std::mutex> lock(this->mutex);
  this->draining = true;
  if (this->decider) {
    this->decider->StartDraining();
  }
}

int
ClusterLoop::OwnedSlots() const
{
  const std::string host = this->context.settings.host;
  const std::string incarnation = this->context.journal.Incarnation();
  return this->context.journal.With([&](const ClusterState& aState) {
    int owned = 0;
    for (const Slot& slot : aState.Slots()) {
      owned += slot.owner == host && slot.ownerIncarnation == incarnation;
    }
    return owned;
  });
}

void
ClusterLoop::Leave(Millis aTimeout)
{
  this->StartDraining();
  const TimePoint start = Now();
  // Slots can't be released while the log fails.
  while (this->OwnedSlots() > 0 && !this->context.journal.LogFailing() &&
         Now() - start < aTimeout) {
    std::this_thread::sleep_for(kTickInterval);
  }
  this->leaving = true;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->decider->RelinquishLease();
  }
  this->context.journal.SubmitAndWait(MemberLeft{},
                                      this->context.settings.verdictTimeout);
  this->Stop();
}

void
ClusterLoop::Stop()
{
  this->stopping = true;
  for (std::thread* running :
       { &this->ownershipThread, &this->backgroundThread }) {
    if (running->joinable()) {
      running->join();
    }
  }
}

} // namespace tanagerseam
