#include "catalog/catalog.h"

namespace tanagerseam {

bool
EndpointTable::Trusts(TimePoint aNow) const
{
  const bool lapsed =
    this->lapsedAt != TimePoint{} && aNow - this->lapsedAt < kLongestLapse;
  return !this->lost && !lapsed && aNow >= this->trustRemovalsFrom;
}

void
EndpointTable::Put(EndpointEntry aEndpoint, TimePoint aNow)
{
  Entry& entry = this->entries[aEndpoint.id];
  const bool back = entry.removed && !entry.believed;
  if (back && this->lapsedAt != TimePoint{}) {
    this->lapsedAt = TimePoint{};
    this->trustRemovalsFrom = aNow + this->returnGrace;
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
  entry.believed = this->Trusts(aNow);
  this->LookForLapse(aNow);
}

void
EndpointTable::LookForLapse(TimePoint aNow)
{
  std::vector<Entry*> lapses;
  for (auto& entry : this->entries) {
    const bool lately = aNow - entry.second.removedAt <= kLapseWindow;
    if (entry.second.removed && lately) {
      lapses.push_back(&entry.second);
    }
  }
  const bool most = 2 * lapses.size() >= this->entries.size();
  if (lapses.size() < kLeastLapses || !most) {
    return;
  }
  this->lapsedAt = aNow;
  for (Entry* entry : lapses) {
    entry->believed = false;
  }
}

void
EndpointTable::RegistryLost()
{
  this->lost = true;
}

void
EndpointTable::RegistryBack(TimePoint aNow)
{
  if (!this->lost) {
    return;
  }
  this->lost = false;
  this->trustRemovalsFrom = aNow + this->returnGrace;
}

std::vector<std::string>
EndpointTable::Expire(TimePoint aNow)
{
  std::vector<std::string> expired;
  const bool trusts = this->Trusts(aNow);
  for (auto it = this->entries.begin(); it != this->entries.end();) {
    const Entry& entry = it->second;
    const bool old = aNow - entry.removedAt > kLapseWindow;
    const bool gone = entry.removed && (entry.believed ? old : trusts);
    if (gone) {
      expired.push_back(it->first);
    }
    it = gone ? this->entries.erase(it) : std::next(it);
  }
  return expired;
}

std::vector<const EndpointEntry*>
EndpointTable::Usable(const std::string& aService) const
{
  std::vector<const EndpointEntry*> usable;
  for (const auto& entry : this->entries) {
    const EndpointEntry& endpoint = entry.second.endpoint;
    if (endpoint.service == aService && entry.second.Usable()) {
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
  return found != this->entries.end() && found->second.Usable();
}

} // namespace tanagerseam
