#include "catalog/catalog.h"

namespace tanagerseam {

void
EndpointTable::Put(EndpointEntry aEndpoint, TimePoint aNow)
{
  if (this->Silent(aNow)) {
    this->trustRemovalsFrom = aNow + this->returnGrace;
  }
  this->refreshedAt = aNow;
  Entry& entry = this->entries[aEndpoint.id];
  entry.endpoint = std::move(aEndpoint);
  entry.removed = false;
}

bool
EndpointTable::Silent(TimePoint aNow) const
{
  return this->entries.size() >= kLeastForSilence &&
         aNow - this->refreshedAt > kSilence;
}

void
EndpointTable::Remove(const std::string& aId, TimePoint aNow)
{
  auto found = this->entries.find(aId);
  if (found == this->entries.end()) {
    return;
  }
  if (this->lost || this->Silent(aNow) || aNow < this->trustRemovalsFrom) {
    found->second.removed = true;
    return;
  }
  this->entries.erase(found);
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
  if (this->lost || this->Silent(aNow) || aNow < this->trustRemovalsFrom) {
    return expired;
  }
  for (auto it = this->entries.begin(); it != this->entries.end();) {
    if (it->second.removed) {
      expired.push_back(it->first);
      it = this->entries.erase(it);
    } else {
      ++it;
    }
  }
  return expired;
}

std::vector<const EndpointEntry*>
EndpointTable::Usable(const std::string& aService) const
{
  std::vector<const EndpointEntry*> usable;
  for (const auto& entry : this->entries) {
    const EndpointEntry& endpoint = entry.second.endpoint;
    if (endpoint.service == aService && !endpoint.draining) {
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

} // namespace tanagerseam
