#include "gateway/registry_readings.h"

#include <vector>

namespace tanagerseam {

void
RegistryReadings::Await(TimePoint aSince, Callback aDone)
{
  if (!this->readable || this->lastStartedAt >= aSince) {
    aDone(this->readable);
    return;
  }
  this->waits.emplace(aSince, std::move(aDone));
  if (this->waits.size() == 1) {
    this->ScheduleTimeout();
  }
  if (this->registry != nullptr) {
    this->registry->ReadNow();
  }
}

void
RegistryReadings::OnRead(TimePoint aStartedAt)
{
  this->readable = true;
  this->lastStartedAt = std::max(this->lastStartedAt, aStartedAt);
  this->EndWaits(aStartedAt, true);
}

void
RegistryReadings::OnFailed()
{
  this->readable = false;
  this->EndWaits(TimePoint::max(), false);
}

void
RegistryReadings::EndWaits(TimePoint aSince, bool aRead)
{
  std::vector<Callback> ended;
  const auto end = this->waits.upper_bound(aSince);
  for (auto it = this->waits.begin(); it != end; ++it) {
    ended.push_back(std::move(it->second));
  }
  this->waits.erase(this->waits.begin(), end);
  for (const Callback& done : ended) {
    done(aRead);
  }
}

void
RegistryReadings::ScheduleTimeout()
{
  const TimePoint first = this->waits.begin()->first;
  const TimePoint now = BootNow();
  this->timer.expires_after(
    std::chrono::duration_cast<Millis>(first + kMaxWait - now));
  this->timer.async_wait([this](const auto& aError) {
    if (aError) {
      return;
    }
    this->EndWaits(BootNow() - kMaxWait, false);
    if (!this->waits.empty()) {
      this->ScheduleTimeout();
    }
  });
}

} // namespace tanagerseam
