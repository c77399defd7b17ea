// Tests of the search for calls that crash endpoints.
#include <gtest/gtest.h>

#include "quarantine/quarantine.h"

namespace tanagerseam {
namespace {

constexpr int64_t kStart = 1784534043000;

// An attempt that is sent at aSent and breaks 100 ms later; times in
// milliseconds from kStart.
BrokenCall
Broken(const std::string& aCall, const std::string& aEndpoint, int64_t aSent)
{
  return { aCall, aEndpoint, kStart + aSent, kStart + aSent + 100 };
}

class CallQuarantineTest : public ::testing::Test
{
protected:
  // A call breaks at aSent + 100 since its endpoint crashes.
  void Crash(CallQuarantine& aHost,
             const std::string& aCall,
             const std::string& aEndpoint,
             int64_t aSent)
  {
    aHost.OnBroken(Broken(aCall, aEndpoint, aSent));
    aHost.OnEndpointDown(aEndpoint, kStart + aSent + 120);
  }

  // aHost sees the endpoints e-1, e-2 ... crash, one each second.
  void CrashInARow(CallQuarantine& aHost,
                   const std::string& aCall,
                   int aCrashes)
  {
    for (int i = 1; i <= aCrashes; ++i) {
      this->Crash(aHost, aCall, "e-" + std::to_string(i), 1000 * i);
    }
  }

  bool IsQuarantined(const CallQuarantine& aHost,
                     const std::string& aCall,
                     int64_t aNow)
  {
    return aHost.Find(aCall, kStart + aNow).has_value();
  }

  CallQuarantine host;
};

TEST_F(CallQuarantineTest, RefusesACallThatHasCrashedThreeEndpoints)
{
  this->CrashInARow(this->host, "killer", 2);
  EXPECT_FALSE(this->IsQuarantined(this->host, "killer", 2500));
  this->Crash(this->host, "killer", "e-3", 3000);
  EXPECT_TRUE(this->IsQuarantined(this->host, "killer", 3200));
  EXPECT_EQ(this->host.Find("killer", kStart + 3200)->endpoints,
            (std::vector<std::string>{ "e-1", "e-2", "e-3" }));
  EXPECT_FALSE(this->IsQuarantined(this->host, "other", 3200));
  EXPECT_EQ(this->host.Count(kStart + 3200), 1u);
}

TEST_F(CallQuarantineTest, EndsAndLastsLongerAfterAnotherCrash)
{
  this->CrashInARow(this->host, "killer", 3);
  const int64_t end = 3100 + CallQuarantine::kMinQuarantine.count();
  EXPECT_TRUE(this->IsQuarantined(this->host, "killer", end - 1));
  EXPECT_FALSE(this->IsQuarantined(this->host, "killer", end));
  this->host.Expire(kStart + end);
  this->Crash(this->host, "killer", "e-4", end);
  EXPECT_TRUE(
    this->IsQuarantined(this->host,
                        "killer",
                        end + CallQuarantine::kMinQuarantine.count() * 3 / 2));
}

// Pattern: a crash breaks all calls on the endpoint.
TEST_F(CallQuarantineTest, SparesTheCallsThatRanBesideIt)
{
  for (int crash = 1; crash <= 3; ++crash) {
    const std::string endpoint = "e-" + std::to_string(crash);
    this->Crash(this->host, "killer", endpoint, 1000 * crash);
    for (int call = 0; call < 20; ++call) {
      const std::string neighbour =
        std::to_string(crash) + "." + std::to_string(call);
      this->Crash(this->host, neighbour, endpoint, 1000 * crash - 10 * call);
    }
  }
  EXPECT_EQ(this->host.Count(kStart + 3200), 1u);
  {
    SCOPED_TRACE("one that was unlucky twice and then ended well");
    this->CrashInARow(this->host, "unlucky", 2);
    this->host.OnSucceeded("unlucky", kStart + 2500);
    this->Crash(this->host, "unlucky", "e-3", 3000);
    EXPECT_FALSE(this->IsQuarantined(this->host, "unlucky", 3200));
  }
}

// Pattern: all endpoints lose power while the same call, such as a look-up
// without a body, runs on each of them.
TEST_F(CallQuarantineTest, CountsCrashesAtTheSameTimeOnce)
{
  for (int i = 0; i < 20; ++i) {
    this->Crash(this->host, "look-up", "e-" + std::to_string(i), 1000 + i);
  }
  EXPECT_FALSE(this->IsQuarantined(this->host, "look-up", 1300));
}

// Pattern: connections are reset, or responses are cut, by endpoints that live.
TEST_F(CallQuarantineTest, CountsNoBreakOfAnEndpointThatLives)
{
  for (int i = 1; i <= 10; ++i) {
    this->host.OnBroken(Broken("call", "e-" + std::to_string(i), 1000 * i));
  }
  EXPECT_FALSE(this->IsQuarantined(this->host, "call", 11000));
  {
    SCOPED_TRACE("they end long afterwards");
    for (int i = 1; i <= 10; ++i) {
      this->host.OnEndpointDown("e-" + std::to_string(i), kStart + 40000);
    }
    EXPECT_FALSE(this->IsQuarantined(this->host, "call", 40100));
  }
}

TEST_F(CallQuarantineTest, HostsCountWhatEachOfThemSaw)
{
  std::vector<CallQuarantine> hosts(4);
  const auto exchange = [&hosts](int64_t aNow) {
    for (CallQuarantine& from : hosts) {
      const QuarantineReport report = from.Report(kStart + aNow);
      for (CallQuarantine& to : hosts) {
        to.OnPeerReport(report);
      }
    }
  };
  for (int i = 0; i < 3; ++i) {
    this->Crash(hosts[i], "killer", "e-" + std::to_string(i), 1000 * i);
  }
  exchange(2300);
  EXPECT_TRUE(this->IsQuarantined(hosts[3], "killer", 2300));
  {
    SCOPED_TRACE("a host that saw the break learns of the crash from a peer");
    hosts[0].OnBroken(Broken("second", "e-7", 3000));
    this->Crash(hosts[1], "second", "e-8", 4000);
    this->Crash(hosts[2], "second", "e-9", 5000);
    exchange(5300);
    EXPECT_FALSE(this->IsQuarantined(hosts[0], "second", 5300));
    hosts[3].OnEndpointDown("e-7", kStart + 5400);
    exchange(5500);
    EXPECT_TRUE(this->IsQuarantined(hosts[0], "second", 5500));
  }
  {
    SCOPED_TRACE("a host that has just started, long after the crashes");
    hosts[0].OnEndpointDown("e-1", kStart + 20000);
    hosts[1] = CallQuarantine();
    exchange(30000);
    EXPECT_TRUE(this->IsQuarantined(hosts[1], "killer", 30000));
  }
  {
    SCOPED_TRACE("a success anywhere clears a suspect");
    this->Crash(hosts[0], "unlucky", "e-20", 40000);
    this->Crash(hosts[1], "unlucky", "e-21", 41000);
    exchange(41300);
    hosts[2].OnSucceeded("unlucky", kStart + 41500);
    exchange(41900);
    this->Crash(hosts[3], "unlucky", "e-22", 42000);
    exchange(42300);
    EXPECT_FALSE(this->IsQuarantined(hosts[0], "unlucky", 42300));
  }
}

TEST_F(CallQuarantineTest, IsNotDisplacedByAFloodOfOtherSuspects)
{
  this->CrashInARow(this->host, "killer", 2);
  for (int i = 0; i < 5000; ++i) {
    this->Crash(this->host, "call-" + std::to_string(i), "e-9", 2500);
  }
  this->Crash(this->host, "killer", "e-3", 3000);
  EXPECT_TRUE(this->IsQuarantined(this->host, "killer", 3200));
  const QuarantineReport report = this->host.Report(kStart + 3200);
  EXPECT_LE(report.broken.size(), CallQuarantine::kMaxReported);
  EXPECT_EQ(std::count_if(report.broken.begin(),
                          report.broken.end(),
                          [](const BrokenCall& aBroken) {
                            return aBroken.call == "killer";
                          }),
            3);
}

TEST_F(CallQuarantineTest, ForgetsSuspects)
{
  this->CrashInARow(this->host, "killer", 2);
  EXPECT_FALSE(this->host.Empty());
  this->host.Expire(kStart + 2200 + CallQuarantine::kSuspicionMemory.count());
  EXPECT_TRUE(this->host.Empty());
  EXPECT_TRUE(this->host.Report(kStart + 90000).down.empty());
}

} // namespace
} // namespace tanagerseam
