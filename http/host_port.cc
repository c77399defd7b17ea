#include "http/host_port.h"

#include <arpa/inet.h>

#include <charconv>

namespace tanagerseam {

std::optional<HostPort>
ParseHostPort(std::string_view aText)
{
  const size_t colon = aText.find(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  HostPort parsed;
  parsed.ip = std::string(aText.substr(0, colon));
  in_addr address{};
  // The C string ends at a zero byte, so that an address may hold none.
  const bool isAddress = parsed.ip.find('\0') == std::string::npos &&
                         inet_pton(AF_INET, parsed.ip.c_str(), &address) == 1;
  const std::string_view port = aText.substr(colon + 1);
  const char* end = port.data() + port.size();
  const auto number = std::from_chars(port.data(), end, parsed.port);
  const bool isPort =
    number.ec == std::errc() && number.ptr == end && parsed.port > 0;
  if (!isAddress || !isPort) {
    return std::nullopt;
  }
  return parsed;
}

} // namespace tanagerseam
