#include "fleet/member_table.h"

namespace tanagerseam {

void
MemberTable::Announced(const FleetMember& aMember, bool aOld, TimePoint aNow)
{
  Entry& entry = this->entries[aMember.host];
  entry.member = aMember;
  entry.goneAt = aNow + (aOld ? kOldLife : kLife);
}

void
MemberTable::Dropped(const std::string& aHost)
{
  this->entries.erase(aHost);
}

void
MemberTable::Heard(const std::string& aHost, TimePoint aNow)
{
  auto found = this->entries.find(aHost);
  if (found != this->entries.end()) {
    found->second.heardAt = aNow;
  }
}

void
MemberTable::LogLost()
{
  this->soundSince = TimePoint{};
}

void
MemberTable::LogConfirmed(TimePoint aNow)
{
  if (this->soundSince == TimePoint{}) {
    this->soundSince = aNow;
  }
}

std::vector<std::string>
MemberTable::Expire(TimePoint aNow)
{
  std::vector<std::string> expired;
  const bool sound =
    this->soundSince != TimePoint{} && aNow - this->soundSince >= kSoundLog;
  if (!sound) {
    return expired;
  }
  for (auto it = this->entries.begin(); it != this->entries.end();) {
    const Entry& entry = it->second;
    const bool silent = aNow - entry.heardAt > kHeardWithin;
    const bool gone = silent && aNow > entry.goneAt;
    if (gone) {
      expired.push_back(it->first);
    }
    it = gone ? this->entries.erase(it) : std::next(it);
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

} // namespace tanagerseam
