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

#include <atomic>
#include <cstdint>
#include <stdexcept>
#include <string>

#include "tests/support/port_reservations.h"

namespace tanagerseam::testing_support {

// Not TMPDIR: test programs with different environments share the ports.
constexpr const char* kPortLockFile = P_tmpdir "/tanagerseam-test-ports.lock";

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
// machine returns it, though it is bound later, or never. Ports lie below the
// system's ephemeral range, and the search starts at an offset derived from the
// process id, so that test programs that run in parallel seldom meet. Throws
// std::runtime_error if the lock file cannot be used or no port is left.
inline uint16_t
FreePort()
{
  constexpr int kFirst = 10000;
  constexpr int kCount = 22000;
  static std::atomic<int> next{ int(getpid()) * 97 };
  // Never destroyed, so that the ports are held until the process has ended.
  static auto& reservations = *new PortReservations(kPortLockFile);
  for (int attempt = 0; attempt < kCount; ++attempt) {
    const auto port = uint16_t(kFirst + next++ % kCount);
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
  throw std::runtime_error("no free port on 127.0.0.1 in 10000..31999");
}

// "IP:port" of a port of 127.0.0.1.
inline std::string
LoopbackAddress(uint16_t aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

} // namespace tanagerseam::testing_support

#endif // TANAGERSEAM_TESTS_SUPPORT_FREE_PORT_H_
