#include "resumption/resumption.h"

#include <algorithm>

namespace tanagerseam {

void
VersionHistory::See(const std::string& aService,
                    const std::string& aVersion,
                    TimePoint aNow)
{
  TimePoint& seenAt = this->lastSeen[aService][aVersion];
  seenAt = std::max(seenAt, aNow);
}

void
VersionHistory::Confirm(TimePoint aReadStartedAt)
{
  // Readings may overlap; one that began earlier adds nothing.
  if (aReadStartedAt < this->lastReadAt) {
    return;
  }
  const bool isFirst = this->watchedSince == TimePoint{};
  const bool hasGap = !isFirst && aReadStartedAt - this->lastReadAt > kMaxGap;
  if (isFirst || hasGap) {
    this->watchedSince = aReadStartedAt;
  }
  if (hasGap) {
    this->isNewFleet = false;
  }
  this->lastReadAt = aReadStartedAt;
  this->confirmedAt = aReadStartedAt;
  this->Forget(aReadStartedAt);
}

size_t
VersionHistory::Size() const
{
  size_t size = 0;
  for (const auto& entry : this->lastSeen) {
    size += entry.second.size();
  }
  return size;
}

void
VersionHistory::Forget(TimePoint aNow)
{
  for (auto service = this->lastSeen.begin();
       service != this->lastSeen.end();) {
    auto& versions = service->second;
    for (auto it = versions.begin(); it != versions.end();) {
      const bool old = aNow - it->second > StreamOrigins::kStreamMemory;
      it = old ? versions.erase(it) : std::next(it);
    }
    service =
      versions.empty() ? this->lastSeen.erase(service) : std::next(service);
  }
}

bool
VersionHistory::HasWatchedSince(TimePoint aSince, TimePoint aNow) const
{
  const bool current = this->confirmedAt != TimePoint{} &&
                       aNow - this->confirmedAt <= kMaxConfirmationAge;
  return current && (this->isNewFleet || this->watchedSince <= aSince);
}

std::vector<std::string>
VersionHistory::VersionsSince(const std::string& aService,
                              TimePoint aSince) const
{
  std::vector<std::string> versions;
  const auto found = this->lastSeen.find(aService);
  if (found == this->lastSeen.end()) {
    return versions;
  }
  for (const auto& [version, seenAt] : found->second) {
    if (seenAt >= aSince) {
      versions.push_back(version);
    }
  }
  return versions;
}

std::optional<std::string>
VersionHistory::SoleVersion(const std::string& aService,
                            TimePoint aSince,
                            TimePoint aNow) const
{
  const auto versions = this->lastSeen.find(aService);
  if (!this->HasWatchedSince(aSince, aNow) ||
      versions == this->lastSeen.end()) {
    return std::nullopt;
  }
  std::optional<std::string> sole;
  for (const auto& [version, seenAt] : versions->second) {
    if (seenAt < aSince) {
      continue;
    }
    if (sole) {
      return std::nullopt;
    }
    sole = version;
  }
  return sole;
}

} // namespace tanagerseam
