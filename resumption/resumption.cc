#include "resumption/resumption.h"

#include <algorithm>

#include "kernel/digest.h"

namespace tanagerseam {

uint64_t
StreamKey(const std::string& aOrganisation, const std::string& aRequestId)
{
  return StableHash(aOrganisation + "/" + aRequestId);
}

uint64_t
OriginKey(const StreamOrigin& aOrigin)
{
  // Request ids contain no line feed, so no stream has this key.
  return StreamKey(aOrigin.service, "\n" + aOrigin.version);
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

} // namespace tanagerseam
