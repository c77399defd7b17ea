// Membership of the fleet, from the announcements that hosts append to a log
// and from the reports that they send directly. The log may be unavailable.
//
//   MemberTable table;
//   table.OnAnnouncement({ "host-2", "10.0.0.2", 7780 }, false, now);
//   table.OnReport("host-2", now);
//   for (const std::string& host : table.RemoveExpired(now)) { ... }
//   table.Members();
//
// A host announces itself every kAnnounceInterval. When a member is removed,
// the remaining members use its share of every quota. A member is therefore
// removed only if all of these hold: its announcement has expired, it has sent
// no report for kMinReportTimeout or several report periods, and the log has
// been readable without a fault for long enough that a live host would have
// announced itself again.
#ifndef TANAGERSEAM_FLEET_MEMBER_TABLE_H_
#define TANAGERSEAM_FLEET_MEMBER_TABLE_H_

#include <map>
#include <string>
#include <vector>

#include "fleet/fleet.h"

namespace tanagerseam {

class MemberTable
{
public:
  static constexpr Millis kAnnounceInterval{ 4000 };
  static constexpr Millis kAnnouncementTtl{ 14000 };
  // For an announcement made before this host began to read the log, whose age
  // is unknown.
  static constexpr Millis kUnknownAgeTtl{ 6000 };
  // Applies where it is longer than kMissedReports report periods.
  static constexpr Millis kMinReportTimeout{ 4000 };
  static constexpr int kMissedReports = 3;
  // No member expires until the log has been readable for this long. A host
  // whose announcement failed retries within this time.
  static constexpr Millis kLogStablePeriod{ 8000 };

  // aAgeUnknown: the announcement was made before this host began to read the
  // log. True if the member is new or has a new address. An announcement of an
  // earlier start at another address was executed late and has no effect.
  bool OnAnnouncement(const FleetMember& aMember,
                      bool aAgeUnknown,
                      TimePoint aNow);
  // True if there was such a member.
  bool Remove(const std::string& aHost);
  // Ignored for a host that is not a member.
  void OnReport(const std::string& aHost, TimePoint aNow);
  void OnLogUnavailable();
  void OnLogAvailable(TimePoint aNow);
  // Removes and returns the members that have expired.
  std::vector<std::string> RemoveExpired(TimePoint aNow);
  std::vector<FleetMember> Members() const;
  // Empty for an unknown host.
  std::string ZoneOf(const std::string& aHost) const;

private:
  struct Entry
  {
    FleetMember member;
    TimePoint expiresAt{};
    TimePoint reportedAt{};
  };

  std::map<std::string, Entry> entries;
  // Start of the current period without log faults; unset while the log is
  // unavailable.
  TimePoint logAvailableSince{};
};

} // namespace tanagerseam

#endif // TANAGERSEAM_FLEET_MEMBER_TABLE_H_
