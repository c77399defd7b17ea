#include "resumption/resumption.h"

#include <algorithm>

#include "kernel/digest.h"

namespace tanagerseam {

uint64_t
StreamKey(const std::string& aOrganisation, const std::string& aRequestId)
{
  return StableHash(aOrganisation + "/" + aRequestId);
}

std::vector<std::string>
StreamKeepers(uint64_t aStream,
              const std::vector<std::string>& aHosts,
              size_t aCount)
{
  const std::string salt = std::to_string(aStream) + "@";
  std::vector<std::pair<uint64_t, std::string>> ranked;
  ranked.reserve(aHosts.size());
  for (const std::string& host : aHosts) {
    ranked.emplace_back(StableHash(salt + host), host);
  }
  const auto count = static_cast<ptrdiff_t>(std::min(aCount, ranked.size()));
  std::partial_sort(
    ranked.begin(), ranked.begin() + count, ranked.end(), std::greater<>());
  std::vector<std::string> keepers;
  for (auto it = ranked.begin(); it != ranked.begin() + count; ++it) {
    keepers.push_back(std::move(it->second));
  }
  return keepers;
}

void
StreamOrigins::Put(uint64_t aStream, StreamOrigin aOrigin, TimePoint aNow)
{
  if (!this->origins.emplace(aStream, std::move(aOrigin)).second) {
    return;
  }
  this->arrivals.push_back({ aNow, aStream });
  this->Forget(aNow);
}

const StreamOrigin*
StreamOrigins::Find(uint64_t aStream, TimePoint aNow)
{
  this->Forget(aNow);
  auto found = this->origins.find(aStream);
  return found == this->origins.end() ? nullptr : &found->second;
}

void
VersionHistory::See(const std::string& aService,
                    const std::string& aVersion,
                    TimePoint aNow)
{
  TimePoint& seenAt = this->lastSeen[aService][aVersion];
  seenAt = std::max(seenAt, aNow);
}

void
VersionHistory::Confirm(TimePoint aNow)
{
  this->confirmedAt = aNow;
  if (this->watchedSince == TimePoint{}) {
    this->watchedSince = aNow;
  }
}

std::optional<std::string>
VersionHistory::SoleVersion(const std::string& aService,
                            TimePoint aSince,
                            TimePoint aNow) const
{
  const bool watched =
    this->watchedSince != TimePoint{} && this->watchedSince <= aSince;
  const bool current = this->confirmedAt != TimePoint{} &&
                       aNow - this->confirmedAt <= kMaxConfirmationAge;
  const auto versions = this->lastSeen.find(aService);
  if (!watched || !current || versions == this->lastSeen.end()) {
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

void
StreamOrigins::Forget(TimePoint aNow)
{
  while (!this->arrivals.empty() &&
         (this->arrivals.size() > kMaxStreams ||
          aNow - this->arrivals.front().at > kStreamMemory)) {
    this->origins.erase(this->arrivals.front().stream);
    this->arrivals.pop_front();
  }
}

} // namespace tanagerseam
