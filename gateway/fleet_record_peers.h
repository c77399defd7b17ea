// The peers that append records for this host, by their reports and through the
// fleet link. Private to this library.
#ifndef TANAGERSEAM_GATEWAY_FLEET_RECORD_PEERS_H_
#define TANAGERSEAM_GATEWAY_FLEET_RECORD_PEERS_H_

#include <random>
#include <string>
#include <vector>

#include "fleet/member_table.h"
#include "gateway/gateway.h"
#include "gateway/peer_table.h"
#include "gateway/record_relay.h"

namespace tanagerseam {

class FleetRecordPeers : public RecordPeers
{
public:
  FleetRecordPeers(const GatewaySettings& aSettings,
                   FleetLink& aLink,
                   const PeerTable& aPeers,
                   const MemberTable& aMembers);

  // In random order, so that hosts that are cut off together ask different
  // peers. Those of other zones come first: a zone is often cut off as a whole,
  // and the reports of its hosts say so only later.
  std::vector<std::string> ReachingStore(const RegionSet& aAllowed) override;
  uint64_t Append(const std::string& aHost,
                  const PeerRecord& aRecord,
                  Millis aWait,
                  std::function<void(const PeerAppendAnswer&)> aDone) override;
  void Cancel(uint64_t aRequest) override;

private:
  const GatewaySettings& settings;
  FleetLink& link;
  const PeerTable& peers;
  const MemberTable& members;
  std::mt19937_64 random;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_GATEWAY_FLEET_RECORD_PEERS_H_
