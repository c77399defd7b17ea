#include "fleet/member_table.h"

#include <algorithm>

namespace tanagerseam {

bool
MemberTable::OnAnnouncement(const FleetMember& aMember,
                            bool aAgeUnknown,
                            TimePoint aNow)
{
  const bool known = this->entries.count(aMember.host) > 0;
  Entry& entry = this->entries[aMember.host];
  const bool moved =
    entry.member.ip != aMember.ip || entry.member.port != aMember.port;
  const bool isEarlier = known && aMember.startTime != 0 &&
                         aMember.startTime < entry.member.startTime;
  if (isEarlier && moved) {
    LogInfo("member_entry_outdated", { { "member", aMember.host } });
    return false;
  }
  entry.member = aMember;
  entry.expiresAt = aNow + (aAgeUnknown ? kUnknownAgeTtl : kAnnouncementTtl);
  return !known || moved;
}

bool
MemberTable::Remove(const std::string& aHost)
{
  return this->entries.erase(aHost) > 0;
}

void
MemberTable::OnReport(const std::string& aHost, TimePoint aNow)
{
  auto found = this->entries.find(aHost);
  if (found != this->entries.end()) {
    found->second.reportedAt = aNow;
  }
}

void
MemberTable::OnLogUnavailable()
{
  this->logAvailableSince = TimePoint{};
}

void
MemberTable::OnLogAvailable(TimePoint aNow)
{
  if (this->logAvailableSince == TimePoint{}) {
    this->logAvailableSince = aNow;
  }
}

std::vector<std::string>
MemberTable::RemoveExpired(TimePoint aNow)
{
  std::vector<std::string> expired;
  const bool logStable = this->logAvailableSince != TimePoint{} &&
                         aNow - this->logAvailableSince >= kLogStablePeriod;
  if (!logStable) {
    return expired;
  }
  const Millis reportTimeout =
    std::max(kMinReportTimeout,
             kMissedReports * FleetLink::ReportPeriod(this->entries.size()));
  for (auto it = this->entries.begin(); it != this->entries.end();) {
    const Entry& entry = it->second;
    const bool silent = aNow - entry.reportedAt > reportTimeout;
    const bool isExpired = silent && aNow > entry.expiresAt;
    if (isExpired) {
      expired.push_back(it->first);
    }
    it = isExpired ? this->entries.erase(it) : std::next(it);
  }
  return expired;
}

std::vector<FleetMember>
MemberTable::Members() const
{
  std::vector<FleetMember> members;
  for (const auto& entry : this->entries) {
    members.push_back(entry.second.member);
  }
  return members;
}

std::string
MemberTable::ZoneOf(const std::string& aHost) const
{
  auto found = this->entries.find(aHost);
  return found == this->entries.end() ? "" : found->second.member.zone;
}

} // namespace tanagerseam
