#include "zones/zones.h"

#include <algorithm>
#include <iterator>

namespace tanagerseam {

bool
EvacuatedZones::Apply(const ZoneEvacuation& aRecord, bool aFromStore)
{
  auto found = this->entries.find(aRecord.zone);
  if (found == this->entries.end()) {
    this->MakeRoom();
    if (this->entries.size() >= kMaxZones) {
      return false;
    }
    this->entries[aRecord.zone] = { aRecord, aFromStore };
    return aRecord.evacuated;
  }
  Entry& entry = found->second;
  if (aRecord.position < entry.record.position) {
    return false;
  }
  const bool changed = entry.record.evacuated != aRecord.evacuated;
  entry.record = aRecord;
  entry.fromStore = entry.fromStore || aFromStore;
  return changed;
}

bool
EvacuatedZones::OnStoreRecord(const ZoneEvacuation& aRecord)
{
  const bool fromStore = true;
  return this->Apply(aRecord, fromStore);
}

bool
EvacuatedZones::OnPeerRecord(const ZoneEvacuation& aRecord)
{
  const bool fromStore = false;
  return aRecord.position >= this->readUpTo && this->Apply(aRecord, fromStore);
}

std::vector<std::string>
EvacuatedZones::OnStoreRead(int64_t aPosition)
{
  this->readUpTo = std::max(this->readUpTo, aPosition);
  std::vector<std::string> withdrawn;
  for (auto& mapEntry : this->entries) {
    Entry& entry = mapEntry.second;
    const bool outdated =
      !entry.fromStore && entry.record.position < this->readUpTo;
    if (outdated && entry.record.evacuated) {
      entry.record.evacuated = false;
      withdrawn.push_back(mapEntry.first);
    }
  }
  return withdrawn;
}

void
EvacuatedZones::MakeRoom()
{
  if (this->entries.size() < kMaxZones) {
    return;
  }
  auto withdrawn = std::find_if(
    this->entries.begin(), this->entries.end(), [](const auto& aEntry) {
      return !aEntry.second.record.evacuated;
    });
  if (withdrawn != this->entries.end()) {
    this->entries.erase(withdrawn);
  }
}

bool
EvacuatedZones::IsEvacuated(const std::string& aZone) const
{
  auto found = this->entries.find(aZone);
  return found != this->entries.end() && found->second.record.evacuated;
}

size_t
EvacuatedZones::Count() const
{
  return static_cast<size_t>(std::count_if(
    this->entries.begin(), this->entries.end(), [](const auto& aEntry) {
      return aEntry.second.record.evacuated;
    }));
}

std::vector<ZoneEvacuation>
EvacuatedZones::Records() const
{
  std::vector<ZoneEvacuation> all;
  all.reserve(this->entries.size());
  for (const auto& entry : this->entries) {
    all.push_back(entry.second.record);
  }
  return all;
}

RegionSet
IntersectRegions(const std::vector<std::string>& aLeft,
                 const std::vector<std::string>& aRight)
{
  if (aLeft.empty() && aRight.empty()) {
    return std::nullopt;
  }
  const std::set<std::string> left(aLeft.begin(), aLeft.end());
  const std::set<std::string> right(aRight.begin(), aRight.end());
  if (left.empty() || right.empty()) {
    return left.empty() ? right : left;
  }
  std::set<std::string> both;
  std::set_intersection(left.begin(),
                        left.end(),
                        right.begin(),
                        right.end(),
                        std::inserter(both, both.begin()));
  return both;
}

std::string
ZoneRegions::RegionOf(const std::string& aZone) const
{
  auto found = this->regionByZone.find(aZone);
  return found == this->regionByZone.end() ? "" : found->second;
}

bool
ZoneRegions::Allows(const RegionSet& aAllowed, const std::string& aZone) const
{
  return !aAllowed ||
         (this->IsKnown(aZone) && aAllowed->count(this->RegionOf(aZone)) > 0);
}

bool
ZoneRegions::HasSeveralRegions() const
{
  return std::any_of(this->regionByZone.begin(),
                     this->regionByZone.end(),
                     [this](const auto& aEntry) {
                       return aEntry.second !=
                              this->regionByZone.begin()->second;
                     });
}

} // namespace tanagerseam
