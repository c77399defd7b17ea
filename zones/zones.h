// Evacuated availability zones, and the regions that zones lie in.
//
//   EvacuatedZones zones;
//   zones.OnStoreRecord({ "zone-a", true, offset });
//   zones.OnStoreRead(endOffset);
//   zones.OnPeerRecord(record);
//   if (zones.IsEvacuated(endpoint.zone)) { ... send nothing there ... }
//   report.evacuations = zones.Records();
//
//   ZoneRegions regions({ { "zone-a", "north" }, { "zone-b", "south" } });
//   const RegionSet allowed = IntersectRegions(route, organisation);
//   if (!regions.Allows(allowed, endpoint.zone)) { ... not this endpoint ... }
//
// Evacuation: operators ask in the platform's store that nothing more is sent
// to a zone's endpoints, and take it back there. Hosts also tell each other,
// for those that can't read the store. The position of a record in the store's
// log orders the two: the record with the highest position of a zone is in
// force, whoever brought it, so a report that arrives late changes nothing. A
// peer's record from before the position up to which this host has read the
// store is ignored: the store no longer has it, or this host knows it already.
//
// Regions: an unset RegionSet allows all. An endpoint or a host whose zone is
// in no known region is allowed only by an unset one.
#ifndef TANAGERSEAM_ZONES_ZONES_H_
#define TANAGERSEAM_ZONES_ZONES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tanagerseam {

// What an operator asked last for a zone.
struct ZoneEvacuation
{
  std::string zone;
  // False: the evacuation was taken back.
  bool evacuated = false;
  // Of the record in the store's log.
  int64_t position = 0;
};

class EvacuatedZones
{
public:
  // Zones that are remembered. Beyond it, records of zones that are not
  // evacuated are forgotten first, and further zones are ignored.
  static constexpr size_t kMaxZones = 64;

  // A record of the store. True if the zone is evacuated now and was not
  // before, or the reverse.
  bool OnStoreRecord(const ZoneEvacuation& aRecord);
  // All records before this position have been passed on. Returns the zones
  // that are no longer evacuated: only peers still said so.
  std::vector<std::string> OnStoreRead(int64_t aPosition);
  // A record that a peer reported. True as in OnStoreRecord.
  bool OnPeerRecord(const ZoneEvacuation& aRecord);
  bool IsEvacuated(const std::string& aZone) const;
  // Number of evacuated zones.
  size_t Count() const;
  // The records in force, to be reported to peers.
  std::vector<ZoneEvacuation> Records() const;

private:
  struct Entry
  {
    ZoneEvacuation record;
    // The store has it, or had it when it was last read.
    bool fromStore = false;
  };

  bool Apply(const ZoneEvacuation& aRecord, bool aFromStore);
  void MakeRoom();

  // By zone.
  std::map<std::string, Entry> entries;
  int64_t readUpTo = 0;
};

// Names of regions; unset if all are allowed.
using RegionSet = std::optional<std::set<std::string>>;

// The regions that two lists allow together; an empty list allows all.
RegionSet
IntersectRegions(const std::vector<std::string>& aLeft,
                 const std::vector<std::string>& aRight);

class ZoneRegions
{
public:
  ZoneRegions() = default;
  explicit ZoneRegions(std::map<std::string, std::string> aRegionByZone)
    : regionByZone(std::move(aRegionByZone))
  {
  }

  bool IsKnown(const std::string& aZone) const
  {
    return this->regionByZone.count(aZone) > 0;
  }
  // Empty for an unknown zone.
  std::string RegionOf(const std::string& aZone) const;
  bool Allows(const RegionSet& aAllowed, const std::string& aZone) const;
  // True if the zones lie in two regions or more.
  bool HasSeveralRegions() const;

private:
  std::map<std::string, std::string> regionByZone;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_ZONES_ZONES_H_
