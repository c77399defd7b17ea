#include "gateway/fleet_record_peers.h"

#include <algorithm>

namespace tanagerseam {

FleetRecordPeers::FleetRecordPeers(const GatewaySettings& aSettings,
                                   FleetLink& aLink,
                                   const PeerTable& aPeers,
                                   const MemberTable& aMembers)
  : settings(aSettings)
  , link(aLink)
  , peers(aPeers)
  , members(aMembers)
  , random(std::random_device{}())
{
}

std::vector<std::string>
FleetRecordPeers::ReachingStore(const RegionSet& aAllowed)
{
  std::vector<std::string> hosts;
  for (const std::string& host : this->peers.ReachingStore(BootNow())) {
    const std::string zone = this->members.ZoneOf(host);
    if (this->link.IsPeer(host) &&
        this->settings.regions.Allows(aAllowed, zone)) {
      hosts.push_back(host);
    }
  }
  std::shuffle(hosts.begin(), hosts.end(), this->random);
  std::stable_partition(
    hosts.begin(), hosts.end(), [this](const std::string& aHost) {
      return this->members.ZoneOf(aHost) != this->settings.zone;
    });
  return hosts;
}

uint64_t
FleetRecordPeers::Append(const std::string& aHost,
                         const PeerRecord& aRecord,
                         Millis aWait,
                         std::function<void(const PeerAppendAnswer&)> aDone)
{
  return this->link.AppendRecord(aHost, aRecord, aWait, std::move(aDone));
}

void
FleetRecordPeers::Cancel(uint64_t aRequest)
{
  this->link.CancelAppend(aRequest);
}

} // namespace tanagerseam
