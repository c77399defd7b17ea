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
#include "tests/support/testing/forked_process.h"

namespace tanagerseam::testing_support {
namespace {

constexpr int kPorts = 200;

std::vector<int>
AskForPorts()
{
  std::vector<int> ports;
  for (int i = 0; i < kPorts; ++i) {
    ports.push_back(FreePort());
  }
  return ports;
}

size_t
CountCommon(const std::vector<int>& aLeft, const std::vector<int>& aRight)
{
  const std::set<int> left(aLeft.begin(), aLeft.end());
  size_t common = 0;
  for (const int port : aRight) {
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
  std::vector<int> own = { FreePort() };
  ForkedProcess first(AskForPorts);
  ForkedProcess second(AskForPorts);
  const std::vector<int> firstPorts = first.Reports();
  const std::vector<int> secondPorts = second.Reports();
  ASSERT_EQ(firstPorts.size(), size_t(kPorts));
  ASSERT_EQ(secondPorts.size(), size_t(kPorts));
  {
    SCOPED_TRACE("two processes that search at the same time");
    EXPECT_EQ(CountCommon(firstPorts, secondPorts), 0u);
  }
  {
    SCOPED_TRACE("the process that forked them and searches after them");
    const std::vector<int> more = AskForPorts();
    own.insert(own.end(), more.begin(), more.end());
    EXPECT_EQ(CountCommon(own, firstPorts), 0u);
    EXPECT_EQ(CountCommon(own, secondPorts), 0u);
  }
}

TEST(FreePort, IsGivenToOneThreadOnly)
{
  std::vector<int> firstPorts;
  std::thread first([&firstPorts] { firstPorts = AskForPorts(); });
  const std::vector<int> secondPorts = AskForPorts();
  first.join();
  const std::set<int> distinct(firstPorts.begin(), firstPorts.end());
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
  ForkedProcess first(
    [udp] { return std::vector<int>{ BindToFreePort(udp) }; });
  const std::vector<int> bound = first.Reports();
  ASSERT_EQ(bound.size(), 1u);
  first.Kill();
  ForkedProcess second(AskForPorts);
  const std::vector<int> ports = second.Reports();
  close(udp);
  ASSERT_EQ(ports.size(), size_t(kPorts));
  EXPECT_EQ(CountCommon(ports, bound), 0u);
}

TEST(FreePort, LiesOutsideTheEphemeralRange)
{
  const PortRange ephemeral = ReadPortRange(kEphemeralRangeFile);
  for (const int port : AskForPorts()) {
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
