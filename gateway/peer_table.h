// Peers to which calls can be forwarded, from their latest reports. Private to
// this library.
#ifndef TANAGERSEAM_GATEWAY_PEER_TABLE_H_
#define TANAGERSEAM_GATEWAY_PEER_TABLE_H_

#include <algorithm>
#include <string>
#include <unordered_map>
#include <vector>

#include "fleet/fleet.h"

namespace tanagerseam {

struct ReadyPeer
{
  std::string host;
  std::string callAddress;
};

class PeerTable
{
public:
  // A report expires after this many report periods.
  static constexpr int kReportLifetime = 6;

  void RecordReport(const HostReport& aReport, TimePoint aNow)
  {
    this->peers[aReport.host] = {
      aReport.callAddress, aReport.ready, aReport.lostServices, aNow
    };
  }

  // The peers whose unexpired report says that they are ready and reach the
  // service. An empty service stands for any.
  std::vector<ReadyPeer> Ready(const std::string& aService,
                               TimePoint aNow) const
  {
    const Millis lifetime =
      kReportLifetime * FleetLink::ReportPeriod(this->peers.size());
    std::vector<ReadyPeer> ready;
    for (const auto& entry : this->peers) {
      const Peer& peer = entry.second;
      const bool current = aNow - peer.lastReportAt <= lifetime;
      const auto& lost = peer.lostServices;
      const bool reaches =
        std::find(lost.begin(), lost.end(), aService) == lost.end();
      if (peer.ready && current && reaches && !peer.callAddress.empty()) {
        ready.push_back({ entry.first, peer.callAddress });
      }
    }
    return ready;
  }

private:
  struct Peer
  {
    std::string callAddress;
    bool ready = false;
    // Services of which it reaches no endpoint.
    std::vector<std::string> lostServices;
    TimePoint lastReportAt{};
  };

  std::unordered_map<std::string, Peer> peers;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_GATEWAY_PEER_TABLE_H_
