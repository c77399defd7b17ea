// Ports handed out to tests, with real processes.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <set>
#include <string>
#include <thread>
#include <vector>

#include "tests/support/free_port.h"
#include "tests/support/testing/port_user.h"

namespace tanagerseam::testing_support {
namespace {

constexpr int kPorts = 200;

std::vector<uint16_t>
AskForPorts()
{
  std::vector<uint16_t> ports;
  for (int i = 0; i < kPorts; ++i) {
    ports.push_back(FreePort());
  }
  return ports;
}

size_t
CountCommon(const std::vector<uint16_t>& aLeft,
            const std::vector<uint16_t>& aRight)
{
  const std::set<uint16_t> left(aLeft.begin(), aLeft.end());
  size_t common = 0;
  for (const uint16_t port : aRight) {
    common += left.count(port);
  }
  return common;
}

// Throws std::runtime_error if the port cannot be bound.
uint16_t
BindToFreePort(int aSocket)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(FreePort());
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (bind(aSocket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) !=
      0) {
    throw std::runtime_error("cannot bind a socket to a port that was free");
  }
  return ntohs(address.sin_port);
}

// Regression test: fleet_config_test's last daemon ended with "bind: Address
// already in use", since another test program had been given the same port
// before the daemon bound it.
TEST(FreePort, IsGivenToOneProcessOnlyThoughNoneHasBoundIt)
{
  // Forked processes go on from here, so their searches start at one offset.
  std::vector<uint16_t> own = { FreePort() };
  PortUser first(AskForPorts);
  PortUser second(AskForPorts);
  const std::vector<uint16_t> firstPorts = first.Ports();
  const std::vector<uint16_t> secondPorts = second.Ports();
  ASSERT_EQ(firstPorts.size(), size_t(kPorts));
  ASSERT_EQ(secondPorts.size(), size_t(kPorts));
  {
    SCOPED_TRACE("two processes that search at the same time");
    EXPECT_EQ(CountCommon(firstPorts, secondPorts), 0u);
  }
  {
    SCOPED_TRACE("the process that forked them and searches after them");
    const std::vector<uint16_t> more = AskForPorts();
    own.insert(own.end(), more.begin(), more.end());
    EXPECT_EQ(CountCommon(own, firstPorts), 0u);
    EXPECT_EQ(CountCommon(own, secondPorts), 0u);
  }
}

TEST(FreePort, IsGivenToOneThreadOnly)
{
  std::vector<uint16_t> firstPorts;
  std::thread first([&firstPorts] { firstPorts = AskForPorts(); });
  const std::vector<uint16_t> secondPorts = AskForPorts();
  first.join();
  const std::set<uint16_t> distinct(firstPorts.begin(), firstPorts.end());
  EXPECT_EQ(distinct.size(), size_t(kPorts));
  EXPECT_EQ(CountCommon(firstPorts, secondPorts), 0u);
}

// Regression test: daemons bind TCP and UDP at one port, and only TCP was
// probed.
TEST(FreePort, IsFreeForUdpToo)
{
  // Forked processes go on from here, so their searches start at one offset.
  FreePort();
  // The first process binds its port to a socket that outlives it, so that the
  // port is bound and no longer reserved.
  const int udp = socket(AF_INET, SOCK_DGRAM, 0);
  ASSERT_GE(udp, 0);
  PortUser first(
    [udp] { return std::vector<uint16_t>{ BindToFreePort(udp) }; });
  const std::vector<uint16_t> bound = first.Ports();
  ASSERT_EQ(bound.size(), 1u);
  first.Kill();
  PortUser second(AskForPorts);
  const std::vector<uint16_t> ports = second.Ports();
  close(udp);
  ASSERT_EQ(ports.size(), size_t(kPorts));
  EXPECT_EQ(CountCommon(ports, bound), 0u);
}

TEST(FreePort, LiesOutsideTheEphemeralRange)
{
  const PortRange ephemeral = ReadPortRange(kEphemeralRangeFile);
  for (const uint16_t port : AskForPorts()) {
    EXPECT_TRUE(port < ephemeral.first || port > ephemeral.last) << port;
  }
}

// Regression test: where the system's ephemeral range reaches into FreePort's,
// an outgoing connection or a bind of port 0 could take a port that a test had
// been given.
TEST(FreePortRange, LeavesOutTheEphemeralRange)
{
  const auto search = [](uint16_t aFirst, uint16_t aLast) {
    const PortRange range = PortsToSearch({ aFirst, aLast });
    return std::make_pair(int(range.first), int(range.last));
  };
  EXPECT_EQ(search(32768, 60999), std::make_pair(10000, 31999));
  EXPECT_EQ(search(1024, 4999), std::make_pair(10000, 31999));
  {
    SCOPED_TRACE("an overlap at one end");
    EXPECT_EQ(search(15000, 65535), std::make_pair(10000, 14999));
    EXPECT_EQ(search(1024, 20000), std::make_pair(20001, 31999));
  }
  {
    SCOPED_TRACE("an overlap in the middle leaves the larger side");
    EXPECT_EQ(search(12000, 14000), std::make_pair(14001, 31999));
    EXPECT_EQ(search(30000, 31000), std::make_pair(10000, 29999));
  }
  {
    SCOPED_TRACE("no port left");
    try {
      search(1024, 65535);
      ADD_FAILURE() << "an ephemeral range that holds all of FreePort's ports";
    } catch (const std::runtime_error& error) {
      EXPECT_EQ(std::string(error.what()),
                "the system's ephemeral ports 1024..65535 leave no test port "
                "in 10000..31999");
    }
  }
}

TEST(FreePortRange, SaysThatTheEphemeralRangeIsUnknown)
{
  try {
    ReadPortRange("/dev/null");
    ADD_FAILURE() << "a range read from an empty file";
  } catch (const std::runtime_error& error) {
    EXPECT_EQ(std::string(error.what()), "no port range in /dev/null");
  }
}

} // namespace
} // namespace tanagerseam::testing_support
