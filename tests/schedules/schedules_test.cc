// Runs seeded schedules and checks their invariants. A failure prints its seed
// and trace; replay it with
//
//   TANAGERSEAM_SCHEDULE_SEED=4711 build/tests/schedules/schedules_test
//
// TANAGERSEAM_SCHEDULES=N runs N schedules instead of kSchedules;
// TANAGERSEAM_SCHEDULE_FIRST=S starts at seed S instead of 1.
#include <gtest/gtest.h>

#include <atomic>
#include <cstdlib>
#include <iostream>
#include <mutex>
#include <thread>

#include "tests/schedules/world.h"

namespace tanagerseam::schedules {
namespace {

constexpr uint64_t kSchedules = 100000;
constexpr uint64_t kSchedulesPerMechanism = 10000;
constexpr int kSteps = 200;
constexpr int kThreads = 4;

uint64_t
FromEnvironment(const char* aName, uint64_t aDefault)
{
  const char* text = std::getenv(aName);
  return text == nullptr ? aDefault : std::strtoull(text, nullptr, 10);
}

// The lowest failing seed, 0 if none, and event counts over all schedules.
struct RunSummary
{
  uint64_t failingSeed = 0;
  uint64_t failures = 0;
  std::map<std::string, int64_t> counts;
};

RunSummary
RunSchedules(uint64_t aFirst,
             uint64_t aCount,
             DisabledMechanism aDisabledMechanism)
{
  RunSummary summary;
  std::mutex mutex;
  std::atomic<uint64_t> next{ aFirst };
  auto work = [&] {
    for (uint64_t seed = next++; seed < aFirst + aCount; seed = next++) {
      Simulation simulation(seed, aDisabledMechanism, false);
      const bool failed = !simulation.Run(kSteps).empty();
      std::lock_guard<std::mutex> lock(mutex);
      for (const auto& entry : simulation.Counts()) {
        summary.counts[entry.first] += entry.second;
      }
      if (failed) {
        ++summary.failures;
        const bool lower = seed < summary.failingSeed;
        summary.failingSeed =
          lower || summary.failingSeed == 0 ? seed : summary.failingSeed;
      }
    }
  };
  std::vector<std::thread> threads;
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back(work);
  }
  for (auto& thread : threads) {
    thread.join();
  }
  return summary;
}

// Returns the failure of a seed, empty if none; prints its trace on failure or
// if aPrint is set.
std::string
Replay(uint64_t aSeed, DisabledMechanism aDisabledMechanism, bool aPrint)
{
  Simulation simulation(aSeed, aDisabledMechanism, true);
  const std::string failure = simulation.Run(kSteps);
  if (aPrint || !failure.empty()) {
    std::cout << "seed " << aSeed << "\n";
    for (const auto& line : simulation.Trace()) {
      std::cout << line << "\n";
    }
  }
  return failure;
}

TEST(Schedules, SatisfyAllInvariants)
{
  const uint64_t seed = FromEnvironment("TANAGERSEAM_SCHEDULE_SEED", 0);
  if (seed != 0) {
    EXPECT_EQ(Replay(seed, DisabledMechanism::kNone, true), "");
    return;
  }
  const uint64_t first = FromEnvironment("TANAGERSEAM_SCHEDULE_FIRST", 1);
  const uint64_t count = FromEnvironment("TANAGERSEAM_SCHEDULES", kSchedules);
  const RunSummary summary =
    RunSchedules(first, count, DisabledMechanism::kNone);
  for (const auto& entry : summary.counts) {
    std::cout << entry.first << ": " << entry.second << "\n";
  }
  std::cout << count << " schedules, " << summary.failures << " failed\n";
  if (summary.failures > 0) {
    ADD_FAILURE() << "seed " << summary.failingSeed << ": "
                  << Replay(
                       summary.failingSeed, DisabledMechanism::kNone, false);
  }
  for (const char* counter : { "answered turn",
                               "lease extension granted",
                               "delayed append",
                               "responded not executed",
                               "request executed",
                               "lease extension granted by a subset",
                               "snapshot",
                               "member_left accepted",
                               "member_expired accepted",
                               "member_expired voted",
                               "request_started wrong_epoch",
                               "request_voided not_started",
                               "request_voided wrong_epoch",
                               "slots_claimed wrong_epoch",
                               "member_expired stale_renewal",
                               "request_started already_started",
                               "config_applied version_conflict",
                               "call_started budget_exhausted",
                               "rate request granted",
                               "loan token used",
                               "bucket level handed over",
                               "bucket starts full",
                               "bucket starts empty" }) {
    EXPECT_GT(summary.counts.count(counter), 0U) << counter;
  }
}

// With any one of the mechanisms disabled, the checks find a failing schedule.
class DisabledMechanismTest : public testing::TestWithParam<DisabledMechanism>
{};

TEST_P(DisabledMechanismTest, IsDetected)
{
  const RunSummary summary =
    RunSchedules(1, kSchedulesPerMechanism, GetParam());
  EXPECT_GT(summary.failures, 0U);
  if (summary.failures > 0) {
    Simulation simulation(summary.failingSeed, GetParam(), false);
    std::cout << summary.failures << " of " << kSchedulesPerMechanism
              << " failed, the first with seed " << summary.failingSeed << ": "
              << simulation.Run(kSteps) << "\n";
  }
}

INSTANTIATE_TEST_SUITE_P(
  AllMechanisms,
  DisabledMechanismTest,
  testing::Values(DisabledMechanism::kReplayBeforeDispatch,
                  DisabledMechanism::kExpiryMargin,
                  DisabledMechanism::kUnknownOutcomeAfterDispatch,
                  DisabledMechanism::kLeaseCheck,
                  DisabledMechanism::kLeaseCountedFromSend,
                  DisabledMechanism::kExtensionQuorum,
                  DisabledMechanism::kBudgetReservation,
                  DisabledMechanism::kJoinReplayedOffset,
                  DisabledMechanism::kExpiryQuorum,
                  DisabledMechanism::kLeaseRelinquishedOnLeave,
                  DisabledMechanism::kWritersInSnapshot,
                  DisabledMechanism::kEmptyBucketAfterTakeover,
                  DisabledMechanism::kLoanAccounting,
                  DisabledMechanism::kLeaseCheckForGrant));

} // namespace
} // namespace tanagerseam::schedules
