// The entry by which a gateway announces itself in the store, under the name of
// its host. Private to this library.
//
//   store.PutKeyed(kMembersTopic, host, MemberEntryText(entry), ...);
//   const auto member = ParseMember(host, text);
#ifndef TANAGERSEAM_DAEMON_MEMBER_ENTRY_H_
#define TANAGERSEAM_DAEMON_MEMBER_ENTRY_H_

#include <optional>
#include <string>

#include "fleet/fleet.h"
#include "http/host_port.h"

namespace tanagerseam {

// Of the settings, which were checked. The port is 0 if it is missing or not a
// number.
HostPort
SplitAddress(const std::string& aAddress);

struct MemberEntry
{
  // Where the host receives messages of peers, as IP:PORT.
  std::string address;
  std::string zone;
  // See HostReport::startTime.
  uint64_t startTime = 0;
};

std::string
MemberEntryText(const MemberEntry& aEntry);

// Nothing for an entry without a usable address. Unknown fields are ignored.
std::optional<FleetMember>
ParseMember(const std::string& aHost, const std::string& aText);

} // namespace tanagerseam

#endif // TANAGERSEAM_DAEMON_MEMBER_ENTRY_H_
