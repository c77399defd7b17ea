#include "daemon/cluster_loop.h"

#include <algorithm>

namespace tanagerseam {

namespace {

constexpr Millis kTick(20);
constexpr Millis kSecond(1000);
constexpr Millis kPromiseRound(300);

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
  this->thread = std::thread([this] { this->Run(); });
  this->chores = std::thread([this] { this->RunChores(); });
}

void
ClusterLoop::Join()
{
  const DaemonSettings& settings = this->context.settings;
  std::lock_guard<std::mutex> lock(this->mutex);
  this->decider = std::make_unique<OwnershipDecider>(
    settings.lease, settings.host, this->context.journal.Incarnation());
  if (this->draining) {
    // Expelled while it drains: it must not take slots over again.
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
  this->joinWaits = !ticket;
}

void
ClusterLoop::Run()
{
  while (!this->stopping) {
    this->Tick();
    std::this_thread::sleep_for(kTick);
  }
}

void
ClusterLoop::Tick()
{
  if (this->joinWaits) {
    this->Join();
    return;
  }
  const std::set<int> busy = this->hooks.busySlots();
  std::vector<RecordBody> bodies;
  bool wantsPromises = false;
  bool expelled = false;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    const TimePoint now = Now();
    if (this->context.journal.AnswersFail()) {
      this->lastFailure = now;
      this->decider->OnLogFailure(now);
    } else if (this->context.journal.LastLogAnswer() > this->lastFailure) {
      this->decider->OnLogResponse(this->context.journal.LastLogAnswer());
    }
    this->context.journal.With([&](const ClusterState& aState) {
      this->decider->Observe(aState, now);
      expelled =
        this->decider->Expelled(aState) || this->joinRejected.exchange(false);
      if (!expelled) {
        bodies = this->decider->Decide(aState, now, busy);
      }
    });
    wantsPromises = this->decider->NeedsExtension(now) ||
                    (this->roundWanted && this->decider->LogUnhealthy(now));
    if (!this->decider->LogRecentlyUnhealthy(now)) {
      this->silentPeers.clear();
    }
  }
  if (expelled && !this->leaving) {
    LogWarn("expelled", {});
    this->context.metrics.Count("tanagerseam_expelled_total", {});
    this->context.journal.NewIncarnation();
    this->Join();
    return;
  }
  this->SubmitDecided(std::move(bodies));
  if (wantsPromises && Now() - this->lastPromiseRound > kPromiseRound) {
    this->lastPromiseRound = Now();
    this->roundWanted = false;
    this->AskPromises();
  }
}

void
ClusterLoop::RunChores()
{
  TimePoint last{};
  while (!this->stopping) {
    if (Now() - last >= kSecond) {
      last = Now();
      this->ExchangeConfig();
      this->replicas.Advance();
      this->MaybeSnapshot();
      this->hooks.everySecond();
    }
    std::this_thread::sleep_for(kTick);
  }
}

void
ClusterLoop::SubmitDecided(std::vector<RecordBody> aBodies)
{
  for (RecordBody& body : aBodies) {
    const bool renewal = std::holds_alternative<MemberRenewed>(body);
    const bool expiry = std::holds_alternative<MemberExpired>(body);
    // Others may expire a dead owner once they saw this renewal.
    if ((renewal || expiry) && !this->replicas.RelayAll()) {
      continue;
    }
    if (auto* released = std::get_if<SlotsReleased>(&body)) {
      for (int slot : released->slots) {
        for (auto& level : this->hooks.levelsOf(slot)) {
          released->levels.insert(level);
        }
      }
    }
    // A renewal must be known as sent before OnApplied sees it, or the decider
    // waits for it for ever and sends no other.
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
    this->lastSnapshot = aVerdict.offset;
  }
  if (own && aVerdict.verdict == Verdict::kStaleRenewal &&
      std::holds_alternative<MemberJoined>(aRecord.body)) {
    // Another incarnation of this host joined after what this one had seen.
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
      this->hooks.slotClaimed(slot);
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
ClusterLoop::OtherPeers() const
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
  const int64_t due = this->lastSnapshot + this->context.settings.snapshotEvery;
  if (!place.isSelf || position < due || this->context.journal.LogFailing()) {
    return;
  }
  Snapshot snapshot;
  this->context.journal.With([&](const ClusterState& aState) {
    snapshot.covers = aState.LastOffset();
    snapshot.state = aState.ToJson();
  });
  this->lastSnapshot = position;
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
ClusterLoop::Leave(Millis aLimit)
{
  this->StartDraining();
  const TimePoint start = Now();
  // Without the log nothing can be handed over.
  while (this->OwnedSlots() > 0 && !this->context.journal.LogFailing() &&
         Now() - start < aLimit) {
    std::this_thread::sleep_for(kTick);
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
  for (std::thread* running : { &this->thread, &this->chores }) {
    if (running->joinable()) {
      running->join();
    }
  }
}

} // namespace tanagerseam
