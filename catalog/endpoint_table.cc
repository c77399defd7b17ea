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
  return purged;
}

std::vector<const EndpointEntry*>
EndpointTable::Usable(const std::string& aService) const
{
  std::vector<const EndpointEntry*> usable;
  for (const auto& entry : this->entries) {
    const EndpointEntry& endpoint = entry.second.endpoint;
    if (endpoint.service == aService && entry.second.IsUsable()) {
      usable.push_back(&endpoint);
    }
  }
  return usable;
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
  return found != this->entries.end() && found->second.IsUsable();
}

} // namespace tanagerseam
