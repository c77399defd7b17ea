// Peers to which calls can be forwarded, from their latest reports. Private to
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
  // A report expires after this many report periods.
  static constexpr int kReportLifetime = 6;

  void RecordReport(const HostReport& aReport, TimePoint aNow)
  {
    this->peers[aReport.host] = { aReport.callAddress, aReport.ready, aNow };
  }

  // Call addresses of the peers whose unexpired report says that they are
  // ready.
  std::vector<std::string> ReadyAddresses(TimePoint aNow) const
  {
    const Millis lifetime =
      kReportLifetime * FleetLink::ReportPeriod(this->peers.size());
    std::vector<std::string> addresses;
    for (const auto& entry : this->peers) {
      const Peer& peer = entry.second;
      const bool current = aNow - peer.lastReportAt <= lifetime;
      if (peer.ready && current && !peer.callAddress.empty()) {
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
    TimePoint lastReportAt{};
  };

  std::unordered_map<std::string, Peer> peers;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_GATEWAY_PEER_TABLE_H_
