// What daemons do for each other while the log is down: replicas of records,
// and promises that stand in for renewals.
#include "daemon/cluster_loop.h"

#include <algorithm>
#include <thread>

namespace tanagerseam {

namespace {

constexpr Millis kPromiseTimeout(300);
constexpr Millis kReplicateTimeout(400);
// Longest wait for a promise round that tells which members are silent.
constexpr Millis kRoundWait(1500);
constexpr Millis kRoundPoll(20);
constexpr size_t kReplicas = 2;

} // namespace

std::vector<std::string>
ClusterLoop::AnsweringPeers() const
{
  std::vector<std::string> peers = this->MemberPeers();
  std::lock_guard<std::mutex> lock(this->mutex);
  const auto silent = [this](const std::string& aPeer) {
    return this->silentPeers.count(aPeer) != 0;
  };
  peers.erase(std::remove_if(peers.begin(), peers.end(), silent), peers.end());
  return peers;
}

bool
ClusterLoop::StoreAt(const std::string& aPeer,
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
ClusterLoop::EnoughHolders(const std::set<std::string>& aHolders) const
{
  if (aHolders.size() >= kReplicas) {
    return true;
  }
  // A fleet of two, or one with dead members, may have only one other daemon.
  const std::vector<std::string> peers = this->AnsweringPeers();
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
  for (const std::string& peer : this->AnsweringPeers()) {
    if (holders.size() < kReplicas && this->StoreAt(peer, aTexts)) {
      holders.insert(peer);
    }
  }
  if (!holders.empty() && !this->EnoughHolders(holders)) {
    // A member may have died since the newest promise round.
    this->AwaitPromiseRound(start);
  }
  return this->EnoughHolders(holders);
}

void
ClusterLoop::AwaitPromiseRound(TimePoint aSince)
{
  this->roundWanted = true;
  while (Now() - aSince < kRoundWait) {
    {
      std::lock_guard<std::mutex> lock(this->mutex);
      if (this->silentPeersOf > aSince) {
        return;
      }
    }
    std::this_thread::sleep_for(kRoundPoll);
  }
}

bool
ClusterLoop::OnReplicate(const wire::ReplicateAskT& aAsk)
{
  if (!this->replicas.Keep(aAsk.records)) {
    return false;
  }
  this->replicas.Advance();
  return true;
}

std::vector<ClusterLoop::PromiseRound::Ask>
ClusterLoop::OpenPromiseAsks(const std::vector<std::string>& aAddresses)
{
  std::vector<PromiseRound::Ask> asks;
  for (const std::string& address : aAddresses) {
    wire::PromiseAskT ask;
    ask.holder = this->context.settings.host;
    ask.incarnation = this->context.journal.Incarnation();
    ask.for_ms = this->context.settings.lease.duration.count();
    wire::AskUnion any;
    any.Set(std::move(ask));
    asks.push_back({ address, this->context.peers.Open(address, any) });
  }
  return asks;
}

ClusterLoop::PromiseRound
ClusterLoop::Promisers() const
{
  PromiseRound round;
  std::lock_guard<std::mutex> lock(this->mutex);
  this->context.journal.With([&](const ClusterState& aState) {
    for (const std::string& host : this->decider->ExtensionPeers(aState)) {
      round.addresses.push_back(aState.Members().at(host).peerAddress);
    }
    round.needed = this->decider->ExtensionGrantsNeeded(aState);
  });
  return round;
}

// All are asked at once, and the round has one bound.
void
ClusterLoop::AskPromises()
{
  const TimePoint askedAt = Now();
  const PromiseRound round = this->Promisers();
  const auto asks = this->OpenPromiseAsks(round.addresses);
  std::set<std::string> silent;
  size_t promised = 0;
  for (const PromiseRound::Ask& ask : asks) {
    const int64_t left = MillisBetween(Now(), askedAt + kPromiseTimeout);
    PeerOutcome outcome = ask.stream->Next(Millis(std::max<int64_t>(0, left)));
    auto* frame = std::get_if<wire::FrameT>(&outcome);
    const auto* answer = frame ? frame->answer.AsPromiseAnswer() : nullptr;
    if (answer == nullptr) {
      silent.insert(ask.address);
    }
    promised += answer != nullptr && answer->promised;
    if (promised == round.needed) {
      std::lock_guard<std::mutex> lock(this->mutex);
      this->decider->OnExtensionGranted(askedAt,
                                        this->context.settings.lease.duration);
    }
  }
  const bool enough = promised >= round.needed;
  this->context.metrics.Count(enough ? "tanagerseam_promise_rounds_total"
                                     : "tanagerseam_promises_refused_total",
                              {});
  std::lock_guard<std::mutex> lock(this->mutex);
  this->silentPeers = std::move(silent);
  this->silentPeersOf = askedAt;
}

wire::PromiseAnswerT
ClusterLoop::OnPromise(const wire::PromiseAskT& aAsk)
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
