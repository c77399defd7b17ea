// Which hosts of the fleet can serve calls, from their last reports. Private to
// this library.
#ifndef TANAGERSEAM_GATEWAY_PEER_TABLE_H_
#define TANAGERSEAM_GATEWAY_PEER_TABLE_H_

#include <string>
#include <unordered_map>
#include <vector>

#include "fleet/fleet.h"

namespace tanagerseam {

class PeerTable
{
public:
  // A report is believed this long, times the rounds that it takes a host to
  // report to all members.
  static constexpr Millis kBelieved{ 600 };

  void Heard(const HostReport& aReport, TimePoint aNow)
  {
    this->peers[aReport.host] = { aReport.callAddress, aReport.ready, aNow };
  }

  // Where the peers take calls that can serve them.
  std::vector<std::string> ReadyAddresses(TimePoint aNow) const
  {
    const auto rounds =
      static_cast<int64_t>(1 + this->peers.size() / (FleetLink::kFanOut + 1));
    std::vector<std::string> addresses;
    for (const auto& entry : this->peers) {
      const Peer& peer = entry.second;
      const bool believed = aNow - peer.heardAt <= kBelieved * rounds;
      if (peer.ready && believed && !peer.callAddress.empty()) {
        addresses.push_back(peer.callAddress);
      }
    }
    return addresses;
  }

private:
  struct Peer
  {
    std::string callAddress;
    bool ready = false;
    TimePoint heardAt{};
  };

  std::unordered_map<std::string, Peer> peers;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_GATEWAY_PEER_TABLE_H_
