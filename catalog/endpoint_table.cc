#include <algorithm>

#include "catalog/catalog.h"

namespace tanagerseam {

bool
EndpointTable::AcceptsRemovals(TimePoint aNow) const
{
  const bool inMassExpiry = this->massExpiryAt != TimePoint{} &&
                            aNow - this->massExpiryAt < kMaxMassExpiryTime;
  return !this->registryLost && !inMassExpiry &&
         aNow >= this->acceptRemovalsFrom;
}

void
EndpointTable::Put(EndpointEntry aEndpoint, TimePoint aNow)
{
  Entry& entry = this->entries[aEndpoint.id];
  const bool returned = entry.removed && !entry.removalConfirmed;
  if (returned && this->massExpiryAt != TimePoint{}) {
    this->massExpiryAt = TimePoint{};
    this->acceptRemovalsFrom = aNow + this->recoveryGrace;
  }
  entry.endpoint = std::move(aEndpoint);
  entry.removed = false;
  auto announcement = this->announcements.find(entry.endpoint.id);
  if (announcement != this->announcements.end() &&
      StartedAfter(entry.endpoint,
                   announcement->second.leaving.startedAtMillis,
                   announcement->second.leaving.announcedAtMillis)) {
    this->announcements.erase(announcement);
  }
}

bool
EndpointTable::MarkLeaving(const LeavingEndpoint& aAnnouncement, TimePoint aNow)
{
  auto entry = this->entries.find(aAnnouncement.id);
  const bool known = entry != this->entries.end();
  if (known && StartedAfter(entry->second.endpoint,
                            aAnnouncement.startedAtMillis,
                            aAnnouncement.announcedAtMillis)) {
    return false;
  }
  const bool wasUsable = known && this->IsUsable(entry->second);
  Announcement& newest = this->announcements[aAnnouncement.id];
  newest.leaving.id = aAnnouncement.id;
  newest.leaving.startedAtMillis =
    std::max(newest.leaving.startedAtMillis, aAnnouncement.startedAtMillis);
  newest.leaving.announcedAtMillis =
    std::max(newest.leaving.announcedAtMillis, aAnnouncement.announcedAtMillis);
  newest.heardAt = aNow;
  return wasUsable;
}

std::vector<LeavingEndpoint>
EndpointTable::Leaving() const
{
  std::vector<LeavingEndpoint> leaving;
  for (const auto& entry : this->announcements) {
    if (this->entries.count(entry.first) > 0) {
      leaving.push_back(entry.second.leaving);
    }
  }
  return leaving;
}

void
EndpointTable::ForgetAnnouncements(TimePoint aNow)
{
  for (auto it = this->announcements.begin();
       it != this->announcements.end();) {
    const bool old = aNow - it->second.heardAt > kLeavingMemory;
    const bool forget = old && this->entries.count(it->first) == 0;
    it = forget ? this->announcements.erase(it) : std::next(it);
  }
}

bool
EndpointTable::IsUsable(const Entry& aEntry) const
{
  const bool gone = aEntry.removed && aEntry.removalConfirmed;
  return !aEntry.endpoint.draining && !gone &&
         this->announcements.count(aEntry.endpoint.id) == 0 &&
         !this->IsZoneEvacuated(aEntry.endpoint.zone);
}

void
EndpointTable::SetZoneEvacuated(const std::string& aZone, bool aEvacuated)
{
  if (aEvacuated) {
    this->evacuatedZones.insert(aZone);
  } else {
    this->evacuatedZones.erase(aZone);
  }
}

void
EndpointTable::Remove(const std::string& aId, TimePoint aNow)
{
  auto found = this->entries.find(aId);
  if (found == this->entries.end()) {
    return;
  }
  Entry& entry = found->second;
  if (entry.endpoint.draining) {
    this->entries.erase(found);
    return;
  }
  entry.removed = true;
  entry.removedAt = aNow;
  entry.removalConfirmed = this->AcceptsRemovals(aNow);
  this->DetectMassExpiry(aNow);
}

void
EndpointTable::DetectMassExpiry(TimePoint aNow)
{
  std::vector<Entry*> removedRecently;
  for (auto& entry : this->entries) {
    const bool recent = aNow - entry.second.removedAt <= kMassExpiryWindow;
    if (entry.second.removed && recent) {
      removedRecently.push_back(&entry.second);
    }
  }
  const bool atLeastHalf = 2 * removedRecently.size() >= this->entries.size();
  if (removedRecently.size() < kMinMassExpiryEntries || !atLeastHalf) {
    return;
  }
  this->massExpiryAt = aNow;
  for (Entry* entry : removedRecently) {
    entry->removalConfirmed = false;
  }
}

void
EndpointTable::OnRegistryLost()
{
  this->registryLost = true;
}

void
EndpointTable::OnRegistryRecovered(TimePoint aNow)
{
  if (!this->registryLost) {
    return;
  }
  this->registryLost = false;
  this->acceptRemovalsFrom = aNow + this->recoveryGrace;
}

std::vector<std::string>
EndpointTable::PurgeRemoved(TimePoint aNow)
{
  std::vector<std::string> purged;
  const bool acceptsRemovals = this->AcceptsRemovals(aNow);
  for (auto it = this->entries.begin(); it != this->entries.end();) {
    const Entry& entry = it->second;
    const bool pastWindow = aNow - entry.removedAt > kMassExpiryWindow;
    const bool purge =
      entry.removed && (entry.removalConfirmed ? pastWindow : acceptsRemovals);
    if (purge) {
      purged.push_back(it->first);
    }
    it = purge ? this->entries.erase(it) : std::next(it);
  }
  this->ForgetAnnouncements(aNow);
  return purged;
}

std::vector<const EndpointEntry*>
EndpointTable::Usable(const std::string& aService) const
{
  std::vector<const EndpointEntry*> usable;
  for (const auto& entry : this->entries) {
    const EndpointEntry& endpoint = entry.second.endpoint;
    if (endpoint.service == aService && this->IsUsable(entry.second)) {
      usable.push_back(&endpoint);
    }
  }
  return usable;
}

std::vector<const EndpointEntry*>
EndpointTable::All(const std::string& aService) const
{
  std::vector<const EndpointEntry*> all;
  for (const auto& entry : this->entries) {
    if (entry.second.endpoint.service == aService) {
      all.push_back(&entry.second.endpoint);
    }
  }
  return all;
}

const EndpointEntry*
EndpointTable::Find(const std::string& aId) const
{
  auto found = this->entries.find(aId);
  return found == this->entries.end() ? nullptr : &found->second.endpoint;
}

bool
EndpointTable::IsUsable(const std::string& aId) const
{
  auto found = this->entries.find(aId);
  return found != this->entries.end() && this->IsUsable(found->second);
}

} // namespace tanagerseam
