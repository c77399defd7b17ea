// The platform's log is away for longer than several leases: programs go on,
// calls that may not be repeated are refused truthfully, and the history is
// whole once the log is back.
#include "tests/integration/outage_fixture.h"

namespace tanagerseam::testing_support {
namespace {

constexpr Millis kOutage(8000);
constexpr Millis kNoticeLimit(1000);
constexpr Millis kTurnPause(200);

struct OutageCase
{
  const char* name;
  Json control;
};

class LogOutage
  : public OutageFleet
  , public testing::WithParamInterface<OutageCase>
{};

TEST_P(LogOutage, ProgramsGoOnThroughEveryDaemonAndNoSlotMoves)
{
  const size_t claims = this->Logged("slots_claimed").size();
  this->fleet.SetLogMode(GetParam().control);
  const TimePoint down = Now();
  std::vector<std::string> refusedKeys;
  std::optional<int64_t> firstRefusal;
  int64_t slowest = 0;
  int small = 0;
  const TimePoint smallStart = Now();
  for (int round = 0; MillisSince(down) < kOutage.count(); ++round) {
    for (int i = 0; i < kPrograms; ++i) {
      const TimePoint start = Now();
      const HttpAnswer answer = this->Turn(i, (i + round) % 3);
      slowest = std::max(slowest, MillisSince(start));
      ASSERT_EQ(answer.status, 200)
        << "program " << i << " at " << MillisSince(down)
        << " ms: " << answer.body;
    }
    const std::string key = "refused-" + std::to_string(round);
    const TimePoint start = Now();
    const HttpAnswer refused = this->Groom(round % 3, key);
    ASSERT_NE(refused.status, 200) << MillisSince(down);
    EXPECT_EQ(HeaderOf(refused, "X-Refusal"), "log_unavailable")
      << refused.body;
    EXPECT_EQ(HeaderOf(refused, "X-Ran"), "no");
    EXPECT_NE(HeaderOf(refused, "Retry-After"), "");
    if (MillisBetween(down, start) > kNoticeLimit.count()) {
      EXPECT_LT(MillisSince(start), 500) << "at once, once noticed";
    }
    firstRefusal = firstRefusal.value_or(MillisSince(down));
    refusedKeys.push_back(key);
    for (int i = 0; i < 10; ++i) {
      const HttpAnswer look =
        this->fleet.Call(i % 3, "GET", "/v1/programs/none", Headers(kSmallKey));
      small += look.status == 429 ? 0 : 1;
    }
    std::this_thread::sleep_for(kTurnPause);
  }
  const double window = double(MillisSince(smallStart)) / 1000;
  EXPECT_LE(small, kSmallBurst + kSmallRate * window);
  EXPECT_GT(small, 0);
  this->fleet.SetLogMode({ { "mode", "up" } });
  for (int i = 0; i < 3; ++i) {
    this->ExpectNormalAgain(i);
  }
  std::cerr << GetParam().name << ": first refusal of a call that may not be "
            << "repeated after " << *firstRefusal << " ms, slowest turn "
            << slowest << " ms, small organisation served " << small << " in "
            << window << " s\n";
  this->ExpectOrderInLog();
  this->ExpectAllTurns(0);
  this->ExpectAllTurns(1);
  EXPECT_EQ(this->Logged("slots_claimed").size(), claims);
  EXPECT_EQ(this->Logged("member_expired").size(), 0U);
  const auto counts = this->fleet.ExecutionCounts();
  for (const std::string& key : refusedKeys) {
    EXPECT_EQ(counts.count(key), 0U) << key << " was refused as not run";
  }
}

TEST_P(LogOutage, TurnsOfAnOwnerKilledDuringItAreInTheHistory)
{
  const int victim = this->OwnerOf(0);
  ASSERT_GE(victim, 0);
  const int other = (victim + 1) % 3;
  this->fleet.SetLogMode(GetParam().control);
  const TimePoint down = Now();
  while (MillisSince(down) < 5000) {
    for (int i = 0; i < kPrograms; ++i) {
      ASSERT_EQ(this->Turn(i, other).status, 200) << MillisSince(down);
    }
  }
  this->fleet.Daemon(victim).Kill();
  std::this_thread::sleep_for(Millis(1000));
  this->fleet.SetLogMode({ { "mode", "up" } });
  const TimePoint up = Now();
  for (int i = 0; i < kPrograms; ++i) {
    SCOPED_TRACE("program " + std::to_string(i));
    // The next call sees all turns: it is refused as out of order if not.
    HttpAnswer answer;
    do {
      answer = this->Turn(i, other);
    } while (answer.status == 503 && MillisSince(up) < 20000);
    EXPECT_EQ(answer.status, 200) << answer.body;
  }
  std::cerr << GetParam().name << ": all programs served " << MillisSince(up)
            << " ms after the log was back\n";
  this->ExpectAllTurns(other);
  this->ExpectOrderInLog();
}

INSTANTIATE_TEST_SUITE_P(
  Modes,
  LogOutage,
  testing::Values(OutageCase{ "refusing", { { "mode", "down" } } },
                  OutageCase{ "hanging",
                              { { "mode", "down" }, { "hang", true } } }),
  [](const auto& aInfo) { return std::string(aInfo.param.name); });

} // namespace
} // namespace tanagerseam::testing_support
