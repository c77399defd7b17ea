#include "reach/reach.h"

#include <algorithm>

namespace tanagerseam {

bool
ServiceReach::OnConnected(const std::string& aService)
{
  auto found = this->failures.find(aService);
  if (found == this->failures.end()) {
    return false;
  }
  const bool wasLost = found->second.lost;
  this->failures.erase(found);
  return wasLost;
}

bool
ServiceReach::OnUnreachable(const std::string& aService,
                            const std::string& aEndpoint,
                            size_t aEndpoints,
                            TimePoint aNow)
{
  Failures& failed = this->failures[aService];
  if (failed.lost) {
    return false;
  }
  ++failed.count;
  failed.endpoints.insert(aEndpoint);
  const size_t needed = std::clamp<size_t>(aEndpoints, 1, kMinEndpoints);
  failed.lost =
    failed.count >= kMinFailures && failed.endpoints.size() >= needed;
  failed.lastTrialAt = aNow;
  return failed.lost;
}

bool
ServiceReach::IsLost(const std::string& aService) const
{
  auto found = this->failures.find(aService);
  return found != this->failures.end() && found->second.lost;
}

bool
ServiceReach::TakeTrial(const std::string& aService, TimePoint aNow)
{
  auto found = this->failures.find(aService);
  if (found == this->failures.end() ||
      aNow - found->second.lastTrialAt < kTrialInterval) {
    return false;
  }
  found->second.lastTrialAt = aNow;
  return true;
}

std::vector<std::string>
ServiceReach::Lost() const
{
  std::vector<std::string> lost;
  for (const auto& entry : this->failures) {
    if (entry.second.lost) {
      lost.push_back(entry.first);
    }
  }
  return lost;
}

} // namespace tanagerseam
