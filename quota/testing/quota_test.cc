// Tests of one quota over a simulated fleet whose hosts exchange reports with a
// delay: a small cap is usable in full, large demand is bounded, partitions and
// restarts stay within the cap, and admitted programs can finish.
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <random>

#include "quota/quota.h"

namespace tanagerseam {
namespace {

const std::string kOrganisation = "club";
constexpr int kReportIntervalMillis = 100;
constexpr int kWindowMillis = 5000;
// Allowed use beyond rate x window + burst; see QuotaSlack.
constexpr double kOverage = 0.1;
constexpr double kTolerance = 20;

TimePoint
At(int64_t aMillis)
{
  return TimePoint{} + std::chrono::hours(1) + Millis(aMillis);
}

// Simulates the hosts and their reports, and records all admitted calls.
class SimulatedFleet
{
public:
  SimulatedFleet(int aHosts, QuotaCap aCap, bool aStartFull = true)
    : cap(aCap)
  {
    for (int i = 0; i < aHosts; ++i) {
      this->names.push_back("host-" + std::to_string(i));
      this->startTimes.push_back(1);
      this->inMajority.push_back(true);
    }
    for (int i = 0; i < aHosts; ++i) {
      this->hosts.push_back(this->NewHost(i, aStartFull, 0));
    }
  }

  FleetQuota NewHost(int aHost, bool aStartFull, int64_t aNow)
  {
    const QuotaSlack slack{ Millis(kWindowMillis), kOverage, kTolerance };
    FleetQuota quota(this->names[aHost], this->startTimes[aHost], slack);
    quota.SetMembers(this->names);
    quota.SetCap(kOrganisation, this->cap, aStartFull, At(aNow));
    return quota;
  }

  void Restart(int aHost, int64_t aNow)
  {
    this->startTimes[aHost] = static_cast<uint64_t>(aNow);
    this->hosts[aHost] = this->NewHost(aHost, false, aNow);
  }

  void SetCap(QuotaCap aCap, int64_t aNow)
  {
    this->cap = aCap;
    for (FleetQuota& host : this->hosts) {
      host.SetCap(kOrganisation, aCap, false, At(aNow));
    }
  }

  void ExchangeReports(int64_t aNow)
  {
    for (size_t from = 0; from < this->hosts.size(); ++from) {
      const auto reports = this->hosts[from].OwnReports(At(aNow));
      for (size_t to = 0; to < this->hosts.size(); ++to) {
        if (from != to && this->inMajority[from] == this->inMajority[to]) {
          this->hosts[to].OnPeerReport(
            this->names[from], this->startTimes[from], reports, At(aNow));
        }
      }
    }
  }

  bool AdmitCall(int aHost, int64_t aNow)
  {
    const bool admitted = this->hosts[aHost].AdmitCall(kOrganisation, At(aNow));
    if (admitted) {
      this->admittedAt.push_back(aNow);
    }
    return admitted;
  }

  // Sends aCallsPerSecond calls on average, in groups of aGroupSize, each to a
  // random host; returns the fraction refused.
  double Run(int64_t aFrom,
             int64_t aTo,
             double aCallsPerSecond,
             int aGroupSize = 1)
  {
    int total = 0;
    int refused = 0;
    std::uniform_int_distribution<int> host(
      0, static_cast<int>(this->hosts.size()) - 1);
    std::poisson_distribution<int> groups(aCallsPerSecond / aGroupSize / 1000);
    for (int64_t now = aFrom; now < aTo; ++now) {
      if (now % kReportIntervalMillis == 0) {
        this->ExchangeReports(now);
      }
      for (int i = groups(this->random) * aGroupSize; i > 0; --i) {
        ++total;
        refused += this->AdmitCall(host(this->random), now) ? 0 : 1;
      }
    }
    return total == 0 ? 0 : static_cast<double>(refused) / total;
  }

  // The most calls admitted in any window that starts at aFromMillis or later.
  size_t MaxCallsInWindow(int64_t aFromMillis = 0) const
  {
    std::deque<int64_t> window;
    size_t most = 0;
    for (int64_t at : this->admittedAt) {
      if (at < aFromMillis) {
        continue;
      }
      window.push_back(at);
      while (window.front() <= at - kWindowMillis) {
        window.pop_front();
      }
      most = std::max(most, window.size());
    }
    return most;
  }

  static double Bound(QuotaCap aCap)
  {
    const double seconds = kWindowMillis / 1000.0;
    return (aCap.ratePerSecond * seconds + aCap.burst) * (1 + kOverage) +
           kTolerance;
  }

  QuotaCap cap;
  std::vector<std::string> names;
  std::vector<uint64_t> startTimes;
  std::vector<bool> inMajority;
  std::vector<FleetQuota> hosts;
  std::vector<int64_t> admittedAt;
  std::mt19937 random{ 7 };
};

TEST(FleetQuotaTest, AdmitsSmallOrganisationWithinItsCap)
{
  constexpr QuotaCap kSmall{ 28, 28 };
  SimulatedFleet fleet(11, kSmall);
  EXPECT_LT(fleet.Run(0, 20000, 17), 0.005);
  {
    SCOPED_TRACE("a burst of calls at one host");
    fleet.ExchangeReports(20200);
    int refused = 0;
    for (int i = 0; i < 15; ++i) {
      refused += fleet.AdmitCall(3, 20201) ? 0 : 1;
    }
    EXPECT_EQ(refused, 0);
  }
}

// Calls arrive in groups, as from programs with concurrent sub-agents.
TEST(FleetQuotaTest, RefusesFewCallsNearTheRate)
{
  constexpr int kGroupSize = 6;
  for (const QuotaCap cap : { QuotaCap{ 155, 155 }, QuotaCap{ 28, 28 } }) {
    SCOPED_TRACE(cap.ratePerSecond);
    SimulatedFleet fleet(11, cap);
    EXPECT_LT(fleet.Run(0, 60000, cap.ratePerSecond * 0.85, kGroupSize), 0.02);
    EXPECT_LE(fleet.MaxCallsInWindow(), SimulatedFleet::Bound(cap));
  }
}

TEST(FleetQuotaTest, BoundsDemandFarAboveTheRate)
{
  for (const QuotaCap cap : { QuotaCap{ 155, 155 }, QuotaCap{ 28, 28 } }) {
    SCOPED_TRACE(cap.ratePerSecond);
    SimulatedFleet fleet(11, cap);
    fleet.Run(0, 5000, cap.ratePerSecond * 0.6);
    fleet.Run(5000, 15000, cap.ratePerSecond * 7.5);
    EXPECT_LE(fleet.MaxCallsInWindow(), SimulatedFleet::Bound(cap));
    // The organisation still gets at least 80 % of its rate.
    EXPECT_GE(fleet.admittedAt.size(), cap.ratePerSecond * 10 * 0.8);
  }
}

TEST(FleetQuotaTest, KeepsCapDuringPartition)
{
  constexpr QuotaCap kCap{ 100, 100 };
  SimulatedFleet fleet(10, kCap);
  fleet.Run(0, 4000, 60);
  for (int i = 0; i < 4; ++i) {
    fleet.inMajority[i] = false;
  }
  fleet.Run(4000, 16000, 500);
  EXPECT_LE(fleet.MaxCallsInWindow(6000), SimulatedFleet::Bound(kCap));
}

TEST(FleetQuotaTest, KeepsCapAfterRestartOfAllHosts)
{
  constexpr QuotaCap kCap{ 100, 100 };
  SimulatedFleet fleet(11, kCap);
  fleet.Run(0, 4000, 600);
  for (int i = 0; i < 11; ++i) {
    fleet.Restart(i, 4000);
  }
  fleet.Run(4000, 12000, 600);
  EXPECT_LE(fleet.MaxCallsInWindow(), SimulatedFleet::Bound(kCap));
}

TEST(FleetQuotaTest, EnforcesLoweredCap)
{
  constexpr QuotaCap kBefore{ 155, 155 };
  constexpr QuotaCap kAfter{ 28, 28 };
  SimulatedFleet fleet(11, kBefore);
  fleet.Run(0, 5000, 100);
  fleet.SetCap(kAfter, 5000);
  fleet.Run(5000, 15000, 100);
  EXPECT_LE(fleet.MaxCallsInWindow(5000), SimulatedFleet::Bound(kAfter));
}

TEST(FleetQuotaTest, AdmittedProgramsCanFinish)
{
  constexpr QuotaCap kCap{ 30, 30 };
  constexpr int kCallsPerProgram = 15;
  SimulatedFleet fleet(1, kCap);
  int programs = 0;
  int refusedCalls = 0;
  std::deque<std::pair<int64_t, int>> running;
  for (int64_t now = 0; now < 30000; now += 10) {
    // 20 programs per second, ten times what the cap allows, with five calls a
    // second each.
    if (now % 50 == 0 && fleet.hosts[0].AdmitProgram(kOrganisation, At(now))) {
      ++programs;
      running.emplace_back(now, kCallsPerProgram);
    }
    for (auto& program : running) {
      const bool due = (now - program.first) % 200 == 0;
      if (program.second > 0 && due) {
        --program.second;
        refusedCalls += fleet.AdmitCall(0, now) ? 0 : 1;
      }
    }
  }
  EXPECT_GE(programs, 30 * 30 / kCallsPerProgram * 0.6);
  EXPECT_LE(refusedCalls, programs * kCallsPerProgram * 0.1);
  EXPECT_LE(fleet.MaxCallsInWindow(), SimulatedFleet::Bound(kCap));
}

TEST(FleetQuotaTest, AdmitsAllCallsWithoutACap)
{
  SimulatedFleet fleet(3, QuotaCap{ 0, 0 });
  EXPECT_EQ(fleet.Run(0, 2000, 1000), 0);
  EXPECT_TRUE(fleet.hosts[0].AdmitCall("unknown", At(2000)));
}

} // namespace
} // namespace tanagerseam
