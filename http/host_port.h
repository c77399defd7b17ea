// Addresses in the form IP:PORT.
//
//   const auto address = ParseHostPort("10.0.0.2:8080");
//   if (address) { connect(address->ip, address->port); }
//
// Names, brackets, blanks, a missing or zero port and ports above 65535 are not
// accepted: such a text names no socket.
#ifndef TANAGERSEAM_HTTP_HOST_PORT_H_
#define TANAGERSEAM_HTTP_HOST_PORT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tanagerseam {

struct HostPort
{
  std::string ip;
  uint16_t port = 0;
};

// Nothing if aText is not an IPv4 address and a port.
std::optional<HostPort>
ParseHostPort(std::string_view aText);

} // namespace tanagerseam

#endif // TANAGERSEAM_HTTP_HOST_PORT_H_
