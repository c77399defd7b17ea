// Allocates TCP and UDP ports for tests.
//
//   const uint16_t port = FreePort();
//   const std::string address = LoopbackAddress(port);  // "127.0.0.1:PORT"
#ifndef TANAGERSEAM_TESTS_SUPPORT_FREE_PORT_H_
#define TANAGERSEAM_TESTS_SUPPORT_FREE_PORT_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <fstream>
#include <stdexcept>
#include <string>

#include "tests/support/port_reservations.h"

namespace tanagerseam::testing_support {

// Not TMPDIR: test programs with different environments share the ports.
constexpr const char* kPortLockFile = P_tmpdir "/tanagerseam-test-ports.lock";
constexpr const char* kEphemeralRangeFile =
  "/proc/sys/net/ipv4/ip_local_port_range";

// Both ends belong to the range.
struct PortRange
{
  uint16_t first = 0;
  uint16_t last = 0;
};

// Throws std::runtime_error if the file does not hold two ports.
inline PortRange
ReadPortRange(const std::string& aPath)
{
  PortRange range;
  std::ifstream file(aPath);
  if (!(file >> range.first >> range.last)) {
    throw std::runtime_error("no port range in " + aPath);
  }
  return range;
}

// The test ports below or above the ephemeral ones, whichever are more: the
// kernel may give an ephemeral port to any connection. Throws
// std::runtime_error if none is left.
inline PortRange
PortsToSearch(PortRange aEphemeral)
{
  constexpr int kFirst = 10000;
  constexpr int kLast = 31999;
  const int lastBelow = std::min<int>(kLast, aEphemeral.first - 1);
  const int firstAbove = std::max<int>(kFirst, aEphemeral.last + 1);
  const int below = lastBelow - kFirst + 1;
  const int above = kLast - firstAbove + 1;
  if (below <= 0 && above <= 0) {
    throw std::runtime_error(
      "the system's ephemeral ports " + std::to_string(aEphemeral.first) +
      ".." + std::to_string(aEphemeral.last) + " leave no test port in " +
      std::to_string(kFirst) + ".." + std::to_string(kLast));
  }
  return below >= above ? PortRange{ kFirst, uint16_t(lastBelow) }
                        : PortRange{ uint16_t(firstAbove), kLast };
}

// Whether a socket of the type can be bound to the port on 127.0.0.1.
inline bool
IsUnbound(uint16_t aPort, int aType)
{
  const int probe = socket(AF_INET, aType | SOCK_CLOEXEC, 0);
  if (probe < 0) {
    throw std::runtime_error("no socket to probe a port");
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const int bound =
    bind(probe, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  close(probe);
  return bound == 0;
}

// A port of 127.0.0.1 that was free for TCP and UDP at the time of the call. It
// stays reserved until this process ends: no other call of FreePort on the
// machine returns it, though it is bound later, or never. Ports lie outside the
// system's ephemeral range, and the search starts at an offset derived from the
// process id, so that test programs that run in parallel seldom meet. Throws
// std::runtime_error if the lock file cannot be used or no port is left.
inline uint16_t
FreePort()
{
  static const PortRange range =
    PortsToSearch(ReadPortRange(kEphemeralRangeFile));
  static std::atomic<int> next{ int(getpid()) * 97 };
  // Never destroyed, so that the ports are held until the process has ended.
  static auto& reservations = *new PortReservations(kPortLockFile);
  const int count = range.last - range.first + 1;
  for (int attempt = 0; attempt < count; ++attempt) {
    const auto port = uint16_t(range.first + next++ % count);
    // The reservation comes first: a probe of another test's port would be in
    // the way of the process that binds it.
    if (!reservations.Reserve(port)) {
      continue;
    }
    if (IsUnbound(port, SOCK_STREAM) && IsUnbound(port, SOCK_DGRAM)) {
      return port;
    }
    reservations.Release(port);
  }
  throw std::runtime_error("no free port on 127.0.0.1 in " +
                           std::to_string(range.first) + ".." +
                           std::to_string(range.last));
}

// "IP:port" of a port of 127.0.0.1.
inline std::string
LoopbackAddress(uint16_t aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

} // namespace tanagerseam::testing_support

#endif // TANAGERSEAM_TESTS_SUPPORT_FREE_PORT_H_
