// Allocates TCP ports for tests.
//
//   const uint16_t port = FreePort();
//   const std::string address = LoopbackAddress(port);  // "127.0.0.1:PORT"
#ifndef TANAGERSEAM_TESTS_SUPPORT_FREE_PORT_H_
#define TANAGERSEAM_TESTS_SUPPORT_FREE_PORT_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>
#include <stdexcept>
#include <string>

namespace tanagerseam::testing_support {

// A TCP port of 127.0.0.1 that was free at the time of the call. Ports lie
// below the system's ephemeral range, and the search starts at an offset
// derived from the process id, so that test programs can run in parallel.
inline uint16_t
FreePort()
{
  constexpr int kFirst = 10000;
  constexpr int kCount = 22000;
  static std::atomic<int> next{ int(getpid()) * 97 };
  for (int attempt = 0; attempt < kCount; ++attempt) {
    const auto port = uint16_t(kFirst + next++ % kCount);
    const int probe = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int bound =
      bind(probe, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    close(probe);
    if (bound == 0) {
      return port;
    }
  }
  throw std::runtime_error("no free TCP port on 127.0.0.1 in 10000..31999");
}

// "IP:port" of a port of 127.0.0.1.
inline std::string
LoopbackAddress(uint16_t aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

} // namespace tanagerseam::testing_support

#endif // TANAGERSEAM_TESTS_SUPPORT_FREE_PORT_H_
