// Host list of the platform stand-in: changes become visible after a lag, and
// an incorrect list can be injected.
#ifndef TANAGERSEAM_TESTS_STANDINS_PLATFORM_HOSTS_H_
#define TANAGERSEAM_TESTS_STANDINS_PLATFORM_HOSTS_H_

#include <deque>
#include <mutex>
#include <utility>

#include <nlohmann/json.hpp>

#include "kernel/kernel.h"

namespace tanagerseam::standin {

// Thread-safe.
class HostList
{
public:
  explicit HostList(Millis aLag)
    : lag(aLag)
  {
  }

  void Set(nlohmann::json aHosts, TimePoint aNow)
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->pendingVersions.emplace_back(aNow, std::move(aHosts));
  }

  // Get returns aHosts at once instead of the true list; null removes the
  // override.
  void SetOverride(nlohmann::json aHosts)
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->overrideHosts = std::move(aHosts);
  }

  nlohmann::json Get(TimePoint aNow)
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    while (!this->pendingVersions.empty() &&
           aNow - this->pendingVersions.front().first >= this->lag) {
      this->visibleHosts = std::move(this->pendingVersions.front().second);
      this->pendingVersions.pop_front();
    }
    return this->overrideHosts.is_null() ? this->visibleHosts
                                         : this->overrideHosts;
  }

private:
  const Millis lag;
  std::mutex mutex;
  // Lists not visible yet with the times they were set, oldest first.
  std::deque<std::pair<TimePoint, nlohmann::json>> pendingVersions;
  nlohmann::json visibleHosts = nlohmann::json::array();
  nlohmann::json overrideHosts;
};

} // namespace tanagerseam::standin

#endif // TANAGERSEAM_TESTS_STANDINS_PLATFORM_HOSTS_H_
