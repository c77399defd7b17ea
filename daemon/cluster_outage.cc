// Log outages: replication of records to other members, and lease extensions in
// place of renewals.
#include "daemon/cluster_loop.h"

#include <algorithm>
#include <thread>

namespace tanagerseam {

namespace {

constexpr Millis kExtensionRoundTimeout(300);
constexpr Millis kReplicateTimeout(400);
// Longest wait for an extension round that finds the unresponsive members.
constexpr Millis kMaxExtensionRoundWait(1500);
constexpr Millis kExtensionRoundPollInterval(20);
constexpr size_t kReplicaCount = 2;

} // namespace

std::vector<std::string>
ClusterLoop::ResponsivePeers() const
{
  std::vector<std::string> peers = this->MemberPeers();
  std::lock_guard<std::mutex> lock(this->mutex);
  const auto unresponsive = [this](const std::string& aPeer) {
    return this->unresponsivePeers.count(aPeer) != 0;
  };
  peers.erase(std::remove_if(peers.begin(), peers.end(), unresponsive),
              peers.end());
  return peers;
}

bool
ClusterLoop::ReplicateTo(const std::string& aPeer,
                         const std::vector<std::string>& aTexts)
{
  wire::ReplicateAskT ask;
  ask.records = aTexts;
  PeerOutcome outcome =
    this->context.peers.AskOnce(aPeer, std::move(ask), kReplicateTimeout);
  auto* frame = std::get_if<wire::FrameT>(&outcome);
  return frame != nullptr && frame->answer.AsDoneAnswer() != nullptr;
}

bool
ClusterLoop::HasEnoughReplicas(const std::set<std::string>& aHolders) const
{
  if (aHolders.size() >= kReplicaCount) {
    return true;
  }
  // A fleet of two, or one with dead members, may have only one other live
  // daemon.
  const std::vector<std::string> peers = this->ResponsivePeers();
  return !aHolders.empty() &&
         std::all_of(peers.begin(), peers.end(), [&](const std::string& aPeer) {
           return aHolders.count(aPeer) != 0;
         });
}

bool
ClusterLoop::Replicate(const std::vector<std::string>& aTexts)
{
  const TimePoint start = Now();
  std::set<std::string> holders;
  for (const std::string& peer : this->ResponsivePeers()) {
    if (holders.size() < kReplicaCount && this->ReplicateTo(peer, aTexts)) {
      holders.insert(peer);
    }
  }
  if (!holders.empty() && !this->HasEnoughReplicas(holders)) {
    // A member may have crashed since the newest extension round.
    this->AwaitExtensionRound(start);
  }
  return this->HasEnoughReplicas(holders);
}

void
ClusterLoop::AwaitExtensionRound(TimePoint aSince)
{
  this->extensionRoundRequested = true;
  while (Now() - aSince < kMaxExtensionRoundWait) {
    {
      std::lock_guard<std::mutex> lock(this->mutex);
      if (this->unresponsivePeersAsOf > aSince) {
        return;
      }
    }
    std::this_thread::sleep_for(kExtensionRoundPollInterval);
  }
}

bool
ClusterLoop::OnReplicate(const wire::ReplicateAskT& aAsk)
{
  if (!this->replicas.Store(aAsk.records)) {
    return false;
  }
  this->replicas.RelayIfLogAvailable();
  return true;
}

std::vector<ClusterLoop::ExtensionRound::Request>
ClusterLoop::SendExtensionRequests(const std::vector<std::string>& aAddresses)
{
  std::vector<ExtensionRound::Request> requests;
  for (const std::string& address : aAddresses) {
    wire::PromiseAskT ask;
    ask.holder = this->context.settings.host;
    ask.incarnation = this->context.journal.Incarnation();
    ask.for_ms = this->context.settings.lease.duration.count();
    wire::AskUnion any;
    any.Set(std::move(ask));
    requests.push_back({ address, this->context.peers.Open(address, any) });
  }
  return requests;
}

ClusterLoop::ExtensionRound
ClusterLoop::PlanExtensionRound() const
{
  ExtensionRound round;
  std::lock_guard<std::mutex> lock(this->mutex);
  this->context.journal.With([&](const ClusterState& aState) {
    for (const std::string& host : this->decider->ExtensionPeers(aState)) {
      round.addresses.push_back(aState.Members().at(host).peerAddress);
    }
    round.needed = this->decider->ExtensionGrantsNeeded(aState);
  });
  return round;
}

// Requests are sent in parallel; kExtensionRoundTimeout bounds the whole round.
void
ClusterLoop::RunExtensionRound()
{
  const TimePoint requestedAt = Now();
  const ExtensionRound round = this->PlanExtensionRound();
  const auto requests = this->SendExtensionRequests(round.addresses);
  std::set<std::string> unresponsive;
  size_t granted = 0;
  for (const ExtensionRound::Request& request : requests) {
    const int64_t left =
      MillisBetween(Now(), requestedAt + kExtensionRoundTimeout);
    PeerOutcome outcome =
      request.stream->Next(Millis(std::max<int64_t>(0, left)));
    auto* frame = std::get_if<wire::FrameT>(&outcome);
    const auto* answer = frame ? frame->answer.AsPromiseAnswer() : nullptr;
    if (answer == nullptr) {
      unresponsive.insert(request.address);
    }
    granted += answer != nullptr && answer->promised;
    if (granted == round.needed) {
      std::lock_guard<std::mutex> lock(this->mutex);
      this->decider->OnExtensionGranted(requestedAt,
                                        this->context.settings.lease.duration);
    }
  }
  const bool enough = granted >= round.needed;
  this->context.metrics.Count(enough ? "tanagerseam_promise_rounds_total"
                                     : "tanagerseam_promises_refused_total",
                              {});
  std::lock_guard<std::mutex> lock(this->mutex);
  this->unresponsivePeers = std::move(unresponsive);
  this->unresponsivePeersAsOf = requestedAt;
}

wire::PromiseAnswerT
ClusterLoop::OnExtensionRequest(const wire::PromiseAskT& aAsk)
{
  wire::PromiseAnswerT answer;
  std::lock_guard<std::mutex> lock(this->mutex);
  const TimePoint now = Now();
  answer.log_failing =
    this->decider && this->decider->LogRecentlyUnhealthy(now);
  answer.promised = answer.log_failing &&
                    this->decider->GrantExtension(
                      aAsk.holder, aAsk.incarnation, Millis(aAsk.for_ms), now);
  return answer;
}

} // namespace tanagerseam
