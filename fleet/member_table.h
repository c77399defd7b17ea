// Which hosts belong to the fleet, from their announcements in a log that may
// be away and from the reports that they send.
//
//   MemberTable table;
//   table.Announced({ "host-2", "10.0.0.2", 7780 }, false, now);
//   table.Heard("host-2", now);
//   for (const std::string& host : table.Expire(now)) { ... }
//   table.Members();
//
// A host announces itself each kAnnounceEvery. One that is taken for gone makes
// the others use its part of every quota, so it is removed only if all of this
// holds: its announcement is older than its life, no report came from it for
// kHeardWithin, and the log has been read without a fault for long enough that
// a living host would have announced itself again.
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
  static constexpr Millis kAnnounceEvery{ 4000 };
  static constexpr Millis kLife{ 14000 };
  // Of an announcement that was there before this host: its age is not known.
  static constexpr Millis kOldLife{ 6000 };
  static constexpr Millis kHeardWithin{ 4000 };
  // A host whose announcement failed tries again before this has passed.
  static constexpr Millis kSoundLog{ 8000 };

  // aOld: it was there before this host began to read.
  void Announced(const FleetMember& aMember, bool aOld, TimePoint aNow);
  void Dropped(const std::string& aHost);
  void Heard(const std::string& aHost, TimePoint aNow);
  void LogLost();
  void LogConfirmed(TimePoint aNow);
  // Removes the hosts that are gone, and names them.
  std::vector<std::string> Expire(TimePoint aNow);
  std::vector<FleetMember> Members() const;

private:
  struct Entry
  {
    FleetMember member;
    TimePoint goneAt{};
    TimePoint heardAt{};
  };

  std::map<std::string, Entry> entries;
  // Since when the log has been read without a fault; unset while it is lost.
  TimePoint soundSince{};
};

} // namespace tanagerseam

#endif // TANAGERSEAM_FLEET_MEMBER_TABLE_H_
