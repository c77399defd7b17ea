// Hosts that share only the log never use more than a program's budget, also
// with lost acknowledgements and crashed hosts.
#include <gtest/gtest.h>

#include <random>
#include <thread>

#include "program/program.h"
#include "program/testing/budget_host.h"
#include "program/testing/memory_log.h"

namespace tanagerseam {
namespace {

constexpr int64_t kBudget = 864;
constexpr int64_t kTurnTokens = 288;

ProgramSettings
SettingsOf(const std::string& aIncarnation)
{
  ProgramSettings settings;
  settings.incarnation = aIncarnation;
  return settings;
}

class BudgetServiceTest : public ::testing::Test
{
protected:
  std::optional<BudgetVerdict> Reserve(BudgetHost& aHost,
                                       GrantMode aMode = GrantMode::kBatch,
                                       int64_t aReservedTokens = kTurnTokens,
                                       Millis aWait = Millis(500))
  {
    std::optional<BudgetVerdict> verdict;
    aHost.service.Reserve(
      "club/p",
      kBudget,
      aReservedTokens,
      aMode,
      BootNow() + aWait,
      [&verdict](BudgetVerdict aVerdict) { verdict = aVerdict; });
    this->Run();
    return verdict;
  }

  void Run()
  {
    this->io.restart();
    this->io.run();
  }

  restinio::asio_ns::io_context io;
  MemoryLog log{ io };
  BudgetHost one{ io, log, SettingsOf("host-1.1") };
  BudgetHost two{ io, log, SettingsOf("host-2.1") };
};

TEST_F(BudgetServiceTest, ReservesTurnsUntilBudgetIsExhausted)
{
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(this->Reserve(this->one), BudgetVerdict::kReserved);
  }
  EXPECT_EQ(this->Reserve(this->one), BudgetVerdict::kBudgetExhausted);
  {
    SCOPED_TRACE("unused tokens of a turn are available to the next one");
    this->one.service.Settle("club/p", kTurnTokens, 0);
    EXPECT_EQ(this->Reserve(this->one), BudgetVerdict::kReserved);
    EXPECT_EQ(this->Reserve(this->one), BudgetVerdict::kBudgetExhausted);
  }
}

TEST_F(BudgetServiceTest, SharesOneBudgetBetweenHosts)
{
  int reserved = 0;
  for (int i = 0; i < 4; ++i) {
    reserved += this->Reserve(this->one, GrantMode::kSingleTurn) ==
                BudgetVerdict::kReserved;
    reserved += this->Reserve(this->two, GrantMode::kSingleTurn) ==
                BudgetVerdict::kReserved;
  }
  EXPECT_EQ(reserved, kBudget / kTurnTokens);
}

TEST_F(BudgetServiceTest, ReturnedTokensServeAnotherHost)
{
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(this->Reserve(this->one, GrantMode::kSingleTurn),
              BudgetVerdict::kReserved);
  }
  EXPECT_EQ(this->Reserve(this->two, GrantMode::kSingleTurn),
            BudgetVerdict::kBudgetExhausted);
  for (int i = 0; i < 3; ++i) {
    this->one.service.Settle("club/p", kTurnTokens, 70);
    this->Run();
  }
  EXPECT_EQ(this->Reserve(this->two, GrantMode::kSingleTurn),
            BudgetVerdict::kReserved);
}

// Found by gateway_fleet_test during a soak: each log outage in which a host
// returned idle tokens lost those tokens to the program, up to a wrong 402.
TEST_F(BudgetServiceTest, ResendsReturnAfterLogOutage)
{
  for (int outage = 0; outage < kBudget / kTurnTokens; ++outage) {
    SCOPED_TRACE(outage);
    EXPECT_EQ(this->Reserve(this->one), BudgetVerdict::kReserved);
    this->one.service.Settle("club/p", kTurnTokens, 0);
    std::this_thread::sleep_for(BudgetService::kIdleBeforeReturn + Millis(50));
    this->log.down = true;
    this->one.service.Tick(BootNow());
    this->Run();
    this->log.down = false;
  }
  {
    SCOPED_TRACE("the host's next turn waits until its return is in the log");
    EXPECT_EQ(this->Reserve(this->one), BudgetVerdict::kReserved);
    this->one.service.Settle("club/p", kTurnTokens, 0);
  }
  std::this_thread::sleep_for(BudgetService::kIdleBeforeReturn + Millis(50));
  this->one.service.Tick(BootNow());
  this->Run();
  for (int i = 0; i < kBudget / kTurnTokens; ++i) {
    EXPECT_EQ(this->Reserve(this->two, GrantMode::kSingleTurn),
              BudgetVerdict::kReserved);
  }
}

TEST_F(BudgetServiceTest, RetriedGrantCountsOnce)
{
  this->log.lostAcks = 1;
  EXPECT_EQ(this->Reserve(this->one), BudgetVerdict::kReserved);
  for (int i = 0; i < 2; ++i) {
    EXPECT_EQ(this->Reserve(this->one), BudgetVerdict::kReserved);
  }
  EXPECT_EQ(this->Reserve(this->one), BudgetVerdict::kBudgetExhausted);
}

// Guards against tokens that nobody holds: the log accepted a grant whose
// answer was lost, and the host that asked for it gets no further turn.
TEST_F(BudgetServiceTest, GrantWithoutAnswerIsFoundAndReturned)
{
  this->log.lostAcks = 1;
  this->log.downAfterLostAcks = true;
  EXPECT_EQ(this->Reserve(this->one), BudgetVerdict::kUnavailable);
  this->log.down = false;
  std::this_thread::sleep_for(BudgetService::kIdleBeforeReturn + Millis(50));
  for (int i = 0; i < 2; ++i) {
    this->one.service.Tick(BootNow());
    this->Run();
  }
  for (int i = 0; i < kBudget / kTurnTokens; ++i) {
    EXPECT_EQ(this->Reserve(this->two, GrantMode::kSingleTurn),
              BudgetVerdict::kReserved);
  }
}

TEST_F(BudgetServiceTest, ReservesNothingWithoutLog)
{
  this->log.down = true;
  EXPECT_EQ(this->Reserve(this->one), BudgetVerdict::kUnavailable);
  this->log.down = false;
  EXPECT_EQ(this->Reserve(this->one), BudgetVerdict::kReserved);
}

TEST_F(BudgetServiceTest, GrantedTokensCoverTurnsWithoutLog)
{
  EXPECT_FALSE(this->one.service.CanReserveWithoutLog("club/p", kTurnTokens));
  EXPECT_EQ(this->Reserve(this->one), BudgetVerdict::kReserved);
  EXPECT_FALSE(this->one.service.CanReserveWithoutLog("club/p", kTurnTokens));
  this->one.service.Settle("club/p", kTurnTokens, 0);
  this->log.down = true;
  EXPECT_TRUE(this->one.service.CanReserveWithoutLog("club/p", kTurnTokens));
  EXPECT_EQ(this->Reserve(this->one), BudgetVerdict::kReserved);
}

TEST_F(BudgetServiceTest, CrashedHostLosesOnlyItsGrant)
{
  EXPECT_EQ(this->Reserve(this->one), BudgetVerdict::kReserved);
  BudgetHost restarted(this->io, this->log, SettingsOf("host-1.2"));
  int reserved = 0;
  for (int i = 0; i < 4; ++i) {
    reserved += this->Reserve(restarted) == BudgetVerdict::kReserved;
  }
  EXPECT_EQ(reserved, 2);
}

TEST_F(BudgetServiceTest, ProgramIsNewUntilATurnIsServed)
{
  EXPECT_TRUE(this->one.service.IsNewProgram("club/p"));
  EXPECT_EQ(this->Reserve(this->one), BudgetVerdict::kReserved);
  EXPECT_FALSE(this->one.service.IsNewProgram("club/p"));
  this->one.service.Settle("club/p", kTurnTokens, 0);
  EXPECT_TRUE(this->one.service.IsNewProgram("club/p"))
    << "a turn that used no tokens does not count as served";
}

TEST_F(BudgetServiceTest, RandomHostsNeverExceedBudget)
{
  constexpr int kHosts = 5;
  std::mt19937 random(11);
  for (int round = 0; round < 40; ++round) {
    MemoryLog fresh(this->io);
    std::vector<std::unique_ptr<BudgetHost>> hosts;
    for (int i = 0; i < kHosts; ++i) {
      hosts.push_back(std::make_unique<BudgetHost>(
        this->io, fresh, SettingsOf("host-" + std::to_string(i))));
    }
    int64_t usedTokens = 0;
    int64_t unsettledTokens = 0;
    for (int turn = 0; turn < 60; ++turn) {
      BudgetHost& host = *hosts[random() % kHosts];
      const GrantMode mode =
        random() % 2 == 0 ? GrantMode::kBatch : GrantMode::kSingleTurn;
      fresh.lostAcks = random() % 8 == 0 ? 1 : 0;
      if (this->Reserve(host, mode) != BudgetVerdict::kReserved) {
        continue;
      }
      // A turn may end unused, with some of its tokens used, or never.
      const auto used = static_cast<int64_t>(random() % (kTurnTokens + 1));
      if (random() % 4 == 0) {
        unsettledTokens += kTurnTokens;
      } else {
        usedTokens += used;
        host.service.Settle("club/p", kTurnTokens, used);
        this->Run();
      }
    }
    EXPECT_LE(usedTokens + unsettledTokens, kBudget) << "round " << round;
  }
}

} // namespace
} // namespace tanagerseam
