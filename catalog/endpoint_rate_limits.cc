// What endpoints say of themselves in responses.
#include <algorithm>

#include "catalog/catalog.h"

namespace tanagerseam {

bool
StartedAfter(const EndpointEntry& aEndpoint,
             int64_t aStartedAtMillis,
             int64_t aAnnouncedAtMillis)
{
  // A new incarnation may itself have made the announcement before its entry
  // arrived here.
  return aEndpoint.startedAtMillis > aStartedAtMillis &&
         aEndpoint.startedAtMillis >
           aAnnouncedAtMillis - kClockTolerance.count();
}

std::optional<double>
EndpointRateLimits::Find(const std::string& aId) const
{
  auto found = this->announcements.find(aId);
  return found == this->announcements.end() ? std::nullopt
                                            : found->second.callsPerSecond;
}

bool
EndpointRateLimits::Replace(const EndpointRateLimit& aAnnouncement)
{
  EndpointRateLimit& newest = this->announcements[aAnnouncement.id];
  const bool changed = newest.callsPerSecond != aAnnouncement.callsPerSecond;
  const int64_t startedAtMillis =
    std::max(newest.startedAtMillis, aAnnouncement.startedAtMillis);
  newest = aAnnouncement;
  newest.startedAtMillis = startedAtMillis;
  return changed;
}

bool
EndpointRateLimits::OnResponse(const EndpointRateLimit& aAnnouncement,
                               int64_t aSentAtMillis)
{
  if (aAnnouncement.callsPerSecond) {
    return this->Replace(aAnnouncement);
  }
  auto known = this->announcements.find(aAnnouncement.id);
  if (known == this->announcements.end() || !known->second.callsPerSecond ||
      aSentAtMillis <= known->second.announcedAtMillis) {
    return false;
  }
  EndpointRateLimit withdrawal = aAnnouncement;
  withdrawal.announcedAtMillis = aSentAtMillis;
  return this->Replace(withdrawal);
}

bool
EndpointRateLimits::OnPeerReport(const EndpointRateLimit& aAnnouncement,
                                 const EndpointEntry* aEntry)
{
  if (aEntry == nullptr || StartedAfter(*aEntry,
                                        aAnnouncement.startedAtMillis,
                                        aAnnouncement.announcedAtMillis)) {
    return false;
  }
  auto known = this->announcements.find(aAnnouncement.id);
  if (known != this->announcements.end() &&
      aAnnouncement.announcedAtMillis <= known->second.announcedAtMillis) {
    return false;
  }
  return this->Replace(aAnnouncement);
}

bool
EndpointRateLimits::OnEntry(const EndpointEntry& aEndpoint)
{
  auto known = this->announcements.find(aEndpoint.id);
  if (known == this->announcements.end() ||
      !StartedAfter(aEndpoint,
                    known->second.startedAtMillis,
                    known->second.announcedAtMillis)) {
    return false;
  }
  const bool limited = known->second.callsPerSecond.has_value();
  this->announcements.erase(known);
  return limited;
}

size_t
EndpointRateLimits::Count() const
{
  return static_cast<size_t>(std::count_if(
    this->announcements.begin(),
    this->announcements.end(),
    [](const auto& aEntry) { return aEntry.second.callsPerSecond; }));
}

std::vector<EndpointRateLimit>
EndpointRateLimits::Announcements(int64_t aNowMillis) const
{
  std::vector<EndpointRateLimit> current;
  for (const auto& entry : this->announcements) {
    const int64_t age = aNowMillis - entry.second.announcedAtMillis;
    if (entry.second.callsPerSecond || age < kWithdrawalMemory.count()) {
      current.push_back(entry.second);
    }
  }
  return current;
}

} // namespace tanagerseam
