// Hosts that share only a log which forgets old records never use more than a
// program's budget, wherever they began to read.
#include <gtest/gtest.h>

#include <random>
#include <thread>

#include "program/budget_ledger.h"
#include "program/testing/budget_host.h"
#include "program/testing/memory_log.h"

namespace tanagerseam {
namespace {

constexpr int64_t kBudget = 800;
constexpr int64_t kTurnTokens = 100;
constexpr const char* kProgram = "club/p";
constexpr Millis kRetention(600);

ProgramSettings
SettingsOf(const std::string& aIncarnation)
{
  ProgramSettings settings;
  settings.incarnation = aIncarnation;
  settings.budgets = { "budgets-", 1, 1 };
  settings.logRetention = kRetention;
  return settings;
}

class BudgetExpiryTest : public ::testing::Test
{
protected:
  // Reserves a turn and uses all of it. False: the budget is spent.
  bool TakeTurn(BudgetHost& aHost,
                GrantMode aMode = GrantMode::kSingleTurn,
                int64_t aUsedTokens = kTurnTokens)
  {
    std::optional<BudgetVerdict> verdict;
    aHost.service.Reserve(
      kProgram,
      kBudget,
      kTurnTokens,
      aMode,
      BootNow() + Millis(500),
      [&verdict](BudgetVerdict aVerdict) { verdict = aVerdict; });
    this->Run();
    if (verdict != BudgetVerdict::kReserved) {
      return false;
    }
    this->usedTokens += aUsedTokens;
    aHost.service.Settle(kProgram, kTurnTokens, aUsedTokens);
    this->Run();
    return true;
  }

  void TakeTurnsUntilSpent(BudgetHost& aHost)
  {
    int turns = 0;
    while (turns < 100 && this->TakeTurn(aHost)) {
      ++turns;
    }
  }

  std::unique_ptr<BudgetHost> Host(const std::string& aName)
  {
    return std::make_unique<BudgetHost>(this->io, this->log, SettingsOf(aName));
  }

  void Run()
  {
    this->io.restart();
    this->io.run();
  }

  restinio::asio_ns::io_context io;
  MemoryLog log{ io };
  int64_t usedTokens = 0;
};

// Guards against incident BUDGET on stopa-seam: the oldest record that the log
// still had was taken for the first of the program.
TEST_F(BudgetExpiryTest, ARestartedHostKnowsWhatExpiredRecordsGranted)
{
  const auto first = this->Host("host-1.1");
  for (int turn = 0; turn < 5; ++turn) {
    EXPECT_TRUE(this->TakeTurn(*first));
  }
  this->log.Expire(1);
  const auto restarted = this->Host("host-1.2");
  this->TakeTurnsUntilSpent(*restarted);
  EXPECT_EQ(this->usedTokens, kBudget);
}

TEST_F(BudgetExpiryTest, HostsThatBeganToReadAtDifferentTimesAgree)
{
  const auto first = this->Host("host-1.1");
  EXPECT_TRUE(this->TakeTurn(*first));
  for (int host = 2; host < 20; ++host) {
    this->log.Expire(1);
    const auto next = this->Host("host-" + std::to_string(host) + ".1");
    this->TakeTurn(*next);
    this->TakeTurn(*first);
  }
  EXPECT_EQ(this->usedTokens, kBudget);
}

// Guards against a return whose grant has expired: it made the sum less than
// nothing.
TEST_F(BudgetExpiryTest, AReturnOfExpiredTokensAddsNothingToTheBudget)
{
  const auto first = this->Host("host-1.1");
  for (int turn = 0; turn < 4; ++turn) {
    EXPECT_TRUE(this->TakeTurn(*first, GrantMode::kSingleTurn, 40));
  }
  this->log.Expire(1);
  const auto restarted = this->Host("host-1.2");
  this->TakeTurnsUntilSpent(*restarted);
  EXPECT_LE(this->usedTokens, kBudget);
  EXPECT_GT(this->usedTokens, kBudget - kTurnTokens);
}

// Guards against a program that comes back after all records of it have
// expired: it had its whole budget again.
TEST_F(BudgetExpiryTest, CheckpointsKeepTheSumOfAProgramThatPauses)
{
  const auto first = this->Host("host-1.1");
  first->service.SetCheckpointOwner([](const std::string&) { return true; });
  this->TakeTurnsUntilSpent(*first);
  EXPECT_EQ(this->usedTokens, kBudget);
  const TimePoint end = BootNow() + 3 * kRetention;
  while (BootNow() < end) {
    std::this_thread::sleep_for(Millis(20));
    first->service.Tick(BootNow());
    this->Run();
  }
  {
    SCOPED_TRACE("only checkpoints are left");
    this->log.Expire(1);
  }
  const auto restarted = this->Host("host-1.2");
  EXPECT_FALSE(this->TakeTurn(*restarted));
}

TEST_F(BudgetExpiryTest, AHostThatJustStartedWritesACheckpointOfWhatItFinds)
{
  const auto first = this->Host("host-1.1");
  this->TakeTurnsUntilSpent(*first);
  const auto second = this->Host("host-2.1");
  second->service.SetCheckpointOwner([](const std::string&) { return true; });
  std::this_thread::sleep_for(kRetention / 4);
  second->service.Tick(BootNow());
  this->Run();
  this->log.Expire(1);
  const auto restarted = this->Host("host-1.2");
  EXPECT_FALSE(this->TakeTurn(*restarted));
}

TEST_F(BudgetExpiryTest, CheckpointsLeaveOutProgramsThatAreNotKeptAnyMore)
{
  const auto first = this->Host("host-1.1");
  first->service.SetKeepTime(Millis(50));
  first->service.SetCheckpointOwner([](const std::string&) { return true; });
  EXPECT_TRUE(this->TakeTurn(*first));
  std::this_thread::sleep_for(kRetention);
  const int appends = this->log.appends;
  first->service.Tick(BootNow());
  this->Run();
  EXPECT_EQ(this->log.appends, appends);
}

// Guards against turns that hand out more than they reserved: only the
// reservation was charged.
TEST_F(BudgetExpiryTest, TokensBeyondAReservationAreCharged)
{
  const auto first = this->Host("host-1.1");
  const auto second = this->Host("host-2.1");
  constexpr int64_t kOverrun = kTurnTokens + 60;
  for (int turn = 0; turn < 20; ++turn) {
    this->TakeTurn(turn % 2 == 0 ? *first : *second,
                   turn % 3 == 0 ? GrantMode::kBatch : GrantMode::kSingleTurn,
                   kOverrun);
  }
  EXPECT_LE(this->usedTokens, kBudget + kOverrun);
}

// Guards against a grant that is read again after its partition was dropped
// from memory: its tokens were available twice.
TEST_F(BudgetExpiryTest, AGrantThatIsReadAgainCountsNothing)
{
  const auto first = this->Host("host-1.1");
  EXPECT_TRUE(this->TakeTurn(*first, GrantMode::kBatch));
  first->service.ReturnUnused();
  this->Run();
  first->service.Tick(BootNow() + 4 * BudgetService::kEvictAfterIdle);
  this->Run();
  this->TakeTurnsUntilSpent(*first);
  EXPECT_EQ(this->usedTokens, kBudget);
}

TEST_F(BudgetExpiryTest, RandomHostsAndExpiryNeverExceedBudget)
{
  constexpr int kRounds = 4;
  constexpr int kTurns = 60;
  constexpr unsigned kMaxPauseMillis = 40;
  std::mt19937 random(49);
  for (int round = 0; round < kRounds; ++round) {
    MemoryLog fresh(this->io);
    fresh.retention = kRetention;
    this->usedTokens = 0;
    std::vector<std::unique_ptr<BudgetHost>> hosts(4);
    for (int turn = 0; turn < kTurns; ++turn) {
      const size_t index = random() % hosts.size();
      if (!hosts[index] || random() % 6 == 0) {
        hosts[index] = std::make_unique<BudgetHost>(
          this->io,
          fresh,
          SettingsOf("host-" + std::to_string(index) + "." +
                     std::to_string(turn)));
      }
      fresh.lostAcks = random() % 8 == 0 ? 1 : 0;
      const GrantMode mode =
        random() % 2 == 0 ? GrantMode::kBatch : GrantMode::kSingleTurn;
      this->TakeTurn(*hosts[index],
                     mode,
                     static_cast<int64_t>(random() % (kTurnTokens + 1)));
      std::this_thread::sleep_for(Millis(random() % kMaxPauseMillis));
    }
    EXPECT_LE(this->usedTokens, kBudget) << "round " << round;
    EXPECT_GT(fresh.FirstOffset(PartitionOf(SettingsOf("").budgets, kProgram)),
              0)
      << "records have expired";
  }
}

class BudgetLedgerTest : public ::testing::Test
{
protected:
  static BudgetRecord Grant(const std::string& aId,
                            int64_t aTokens,
                            std::optional<BudgetSum> aKnown)
  {
    BudgetRecord record;
    record.id = aId;
    record.program = kProgram;
    record.tokens = aTokens;
    record.budget = kBudget;
    record.known = aKnown;
    return record;
  }

  TimePoint now = BootNow();
  BudgetLedger ledger;
};

TEST_F(BudgetLedgerTest, AStatedSumAndTheChangesSinceDecide)
{
  this->ledger.SkipTo(10);
  const auto apply = [this](int64_t aOffset, const BudgetRecord& aRecord) {
    return this->ledger.Apply(aOffset, aRecord, this->now, this->now);
  };
  EXPECT_TRUE(apply(10, Grant("a", 200, BudgetSum{ 10, 500 })));
  EXPECT_EQ(this->ledger.OutstandingTokens(kProgram), 700);
  {
    SCOPED_TRACE("the writer did not know of the first");
    EXPECT_FALSE(apply(11, Grant("b", 200, BudgetSum{ 10, 500 })));
    EXPECT_TRUE(apply(12, Grant("c", 100, BudgetSum{ 10, 500 })));
  }
  {
    SCOPED_TRACE("a second copy");
    EXPECT_TRUE(apply(13, Grant("a", 200, BudgetSum{ 10, 500 })));
    EXPECT_EQ(this->ledger.OutstandingTokens(kProgram), kBudget);
  }
}

// Guards against a hunted day of stopa-seam: a program that looped was refused
// more than a hundred times between the offset that a host stated and its
// grant, and the tokens granted meanwhile no longer counted.
TEST_F(BudgetLedgerTest, AllChangesSinceTheStatedOffsetCountHoweverMany)
{
  constexpr int64_t kRefusals = 500;
  const auto apply = [this](int64_t aOffset, const BudgetRecord& aRecord) {
    return this->ledger.Apply(aOffset, aRecord, this->now, this->now);
  };
  EXPECT_TRUE(apply(0, Grant("granted", kBudget, BudgetSum{ 0, 0 })));
  for (int64_t offset = 1; offset <= kRefusals; ++offset) {
    const std::string id = "refused " + std::to_string(offset);
    EXPECT_FALSE(apply(offset, Grant(id, 100, BudgetSum{ offset, kBudget })));
  }
  EXPECT_FALSE(apply(kRefusals + 1, Grant("late", 100, BudgetSum{ 0, 0 })));
  EXPECT_EQ(this->ledger.OutstandingTokens(kProgram), kBudget);
}

TEST_F(BudgetLedgerTest, ACheckpointStatesTheSumOfAProgramNotReadBefore)
{
  this->ledger.SkipTo(10);
  BudgetRecord checkpoint;
  checkpoint.kind = BudgetRecordKind::kCheckpoint;
  checkpoint.id = "checkpoint";
  checkpoint.known = { 10, 0 };
  checkpoint.sums = { { kProgram, 700, Millis(1000) } };
  const auto read = ParseBudgetRecord(Encode(checkpoint));
  ASSERT_TRUE(read);
  this->ledger.Apply(10, *read, this->now, this->now);
  EXPECT_EQ(this->ledger.OutstandingTokens(kProgram), 700);
  EXPECT_EQ(this->ledger.KnownSum(kProgram).offset, 11);
}

// Guards against a program in use that is given up: a checkpoint whose writer
// did not know of its last request called it idle.
TEST_F(BudgetLedgerTest, ARefusedGrantCountsAsUseBehindAnOlderCheckpoint)
{
  constexpr Millis kKeepFor(1000);
  const auto apply = [this](int64_t aOffset, const BudgetRecord& aRecord) {
    return this->ledger.Apply(aOffset, aRecord, TimePoint{}, this->now);
  };
  EXPECT_TRUE(apply(0, Grant("granted", kBudget, BudgetSum{ 0, 0 })));
  EXPECT_FALSE(apply(1, Grant("refused", 100, BudgetSum{ 1, kBudget })));
  BudgetRecord checkpoint;
  checkpoint.kind = BudgetRecordKind::kCheckpoint;
  checkpoint.id = "checkpoint";
  checkpoint.known = { 1, 0 };
  checkpoint.sums = { { kProgram, kBudget, 2 * kKeepFor } };
  apply(2, checkpoint);
  EXPECT_EQ(
    this->ledger.SumsToCheckpoint(this->now, kKeepFor, this->now).size(), 1u);
}

} // namespace
} // namespace tanagerseam
