// Pulls configurations from peers, and slot owners while this daemon's replay
// has not caught up.
#include "daemon/cluster_loop.h"

namespace tanagerseam {

namespace {

constexpr Millis kConfigRequestTimeout(400);
// Each peer is asked for its configuration within this many seconds, so that
// the newest one arrives in that time even if only one peer has it.
constexpr size_t kConfigRoundSeconds = 3;

} // namespace

void
ClusterLoop::PullConfigFromNextPeers()
{
  const auto peers = this->MemberAndSeedPeers();
  const size_t share =
    (peers.size() + kConfigRoundSeconds - 1) / kConfigRoundSeconds;
  for (size_t i = 0; i < share; ++i) {
    this->PullConfigFrom(peers[this->nextConfigPeer++ % peers.size()]);
  }
}

void
ClusterLoop::PullConfigFromAllPeers()
{
  for (const std::string& peer : this->MemberAndSeedPeers()) {
    this->PullConfigFrom(peer);
  }
}

void
ClusterLoop::PullConfigFrom(const std::string& aPeer)
{
  wire::ConfigAskT ask;
  ask.have_version = this->context.journal.Config()->version;
  ask.host = this->context.settings.host;
  ask.peer_address = this->context.settings.advertisedPeerAddress;
  ask.wants_owners = !this->context.journal.CaughtUp();
  PeerOutcome outcome =
    this->context.peers.AskOnce(aPeer, std::move(ask), kConfigRequestTimeout);
  auto* frame = std::get_if<wire::FrameT>(&outcome);
  const auto* answer = frame ? frame->answer.AsConfigAnswer() : nullptr;
  if (answer == nullptr) {
    return;
  }
  if (!answer->owners.empty()) {
    std::map<int, OwnerHint> owners;
    for (const auto& row : answer->owners) {
      owners[row->slot] = { row->host, row->peer_address, row->epoch };
    }
    this->context.journal.SetOwnerHints(std::move(owners));
  }
  if (answer->version == 0) {
    return;
  }
  ConfigVersion version;
  version.version = answer->version;
  version.config = Json::parse(answer->config, nullptr, false);
  version.author = answer->author;
  version.wallMillis = answer->wall_millis;
  this->context.journal.AdoptConfig(version);
}

wire::ConfigAnswerT
ClusterLoop::OnConfig(const wire::ConfigAskT& aAsk)
{
  const auto config = this->context.journal.Config();
  wire::ConfigAnswerT answer;
  if (config->version > aAsk.have_version) {
    answer.version = config->version;
    answer.config = config->source.config.dump();
    answer.author = config->source.author;
    answer.wall_millis = config->source.wallMillis;
  }
  if (aAsk.wants_owners && this->context.journal.CaughtUp()) {
    this->AddSlotOwners(answer);
  }
  return answer;
}

void
ClusterLoop::AddSlotOwners(wire::ConfigAnswerT& aAnswer) const
{
  this->context.journal.With([&aAnswer](const ClusterState& aState) {
    for (size_t i = 0; i < aState.Slots().size(); ++i) {
      const Slot& slot = aState.Slots()[i];
      const auto member = aState.Members().find(slot.owner);
      if (member == aState.Members().end()) {
        continue;
      }
      auto row = std::make_unique<wire::SlotOwnerT>();
      row->slot = int(i);
      row->host = slot.owner;
      row->peer_address = member->second.peerAddress;
      row->epoch = slot.epoch;
      aAnswer.owners.push_back(std::move(row));
    }
  });
}

} // namespace tanagerseam
