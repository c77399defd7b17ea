#include "daemon/member_entry.h"

#include <absl/strings/numbers.h>

#include <nlohmann/json.hpp>

namespace tanagerseam {

HostPort
SplitAddress(const std::string& aAddress)
{
  HostPort parts;
  const size_t colon = aAddress.rfind(':');
  parts.ip = aAddress.substr(0, colon);
  int port = 0;
  if (colon != std::string::npos &&
      absl::SimpleAtoi(aAddress.substr(colon + 1), &port)) {
    parts.port = static_cast<uint16_t>(port);
  }
  return parts;
}

std::string
MemberEntryText(const MemberEntry& aEntry)
{
  const nlohmann::json fields = { { "address", aEntry.address },
                                  { "zone", aEntry.zone },
                                  { "started", aEntry.startTime } };
  return fields.dump();
}

std::optional<FleetMember>
ParseMember(const std::string& aHost, const std::string& aText)
{
  const bool allowExceptions = false;
  const auto fields = nlohmann::json::parse(aText, nullptr, allowExceptions);
  const bool hasAddress = fields.is_object() && fields.contains("address") &&
                          fields["address"].is_string();
  const auto address = hasAddress
                         ? ParseHostPort(fields["address"].get<std::string>())
                         : std::nullopt;
  if (!address) {
    LogWarn("member_entry_unreadable", { { "member", aHost } });
    return std::nullopt;
  }
  const auto started = fields.find("started");
  const bool hasStart =
    started != fields.end() && started->is_number_unsigned();
  const auto zone = fields.find("zone");
  const bool hasZone = zone != fields.end() && zone->is_string();
  return FleetMember{ aHost,
                      address->ip,
                      address->port,
                      hasZone ? zone->get<std::string>() : "",
                      hasStart ? started->get<uint64_t>() : 0 };
}

} // namespace tanagerseam
