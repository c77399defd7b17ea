// Peers to which calls can be forwarded, or which can append records, from
// their latest reports. Private to this library.
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
    this->peers[aReport.host] = { aReport.callAddress,
                                  aReport.ready,
                                  aReport.storeUnavailable,
                                  aReport.lostServices,
                                  aNow };
  }

  // The peers whose unexpired report says that they are ready and reach the
  // service. An empty service stands for any.
  std::vector<ReadyPeer> Ready(const std::string& aService,
                               TimePoint aNow) const
  {
    std::vector<ReadyPeer> ready;
    for (const auto& entry : this->peers) {
      const Peer& peer = entry.second;
      const bool current = this->IsCurrent(peer, aNow);
      const auto& lost = peer.lostServices;
      const bool reaches =
        std::find(lost.begin(), lost.end(), aService) == lost.end();
      if (peer.ready && current && reaches && !peer.callAddress.empty()) {
        ready.push_back({ entry.first, peer.callAddress });
      }
    }
    return ready;
  }

  // The hosts whose unexpired report says that they are ready and reach the
  // store.
  std::vector<std::string> ReachingStore(TimePoint aNow) const
  {
    std::vector<std::string> hosts;
    for (const auto& entry : this->peers) {
      const Peer& peer = entry.second;
      const bool reaches = peer.ready && !peer.storeUnavailable;
      if (reaches && this->IsCurrent(peer, aNow)) {
        hosts.push_back(entry.first);
      }
    }
    return hosts;
  }

private:
  struct Peer
  {
    std::string callAddress;
    bool ready = false;
    bool storeUnavailable = false;
    // Services of which it reaches no endpoint.
    std::vector<std::string> lostServices;
    TimePoint lastReportAt{};
  };

  bool IsCurrent(const Peer& aPeer, TimePoint aNow) const
  {
    const Millis lifetime =
      kReportLifetime * FleetLink::ReportPeriod(this->peers.size());
    return aNow - aPeer.lastReportAt <= lifetime;
  }

  std::unordered_map<std::string, Peer> peers;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_GATEWAY_PEER_TABLE_H_
