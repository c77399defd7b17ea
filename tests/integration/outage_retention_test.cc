// The log keeps only its newest records: daemons that come late, or were
// stopped for longer than that, reach the same state from a snapshot.
#include "tests/integration/outage_fixture.h"

namespace tanagerseam::testing_support {
namespace {

constexpr int64_t kRetained = 500;
constexpr int64_t kMuch = 2 * kRetained;
constexpr int kCallers = 8;
constexpr int kCallsEach = 10;
constexpr Millis kLoadLimit(30000);
constexpr Millis kSameLimit(10000);

FleetSettings
WithRetention()
{
  FleetSettings settings;
  settings.engines = 2;
  settings.engineFlags = { "--time_scale=0.1" };
  settings.platformFlags = { "--retain_records=" + std::to_string(kRetained) };
  settings.daemonSections = "snapshot_every = 100\n";
  return settings;
}

class Retention : public OutageFleet
{
protected:
  Retention()
    : OutageFleet(WithRetention())
  {
  }

  Json Admin(int aDaemon, const std::string& aPath)
  {
    return Json::parse(this->fleet.Admin(aDaemon, aPath).body, nullptr, false);
  }

  int64_t Position(int aDaemon)
  {
    const Json status = this->Admin(aDaemon, "/status");
    return status.is_object() ? status.at("log_position").get<int64_t>() : 0;
  }

  // Calls through one daemon until the log has moved on by far more records
  // than it keeps.
  void Load(int aDaemon)
  {
    const TimePoint start = Now();
    const int64_t from = this->Position(aDaemon);
    for (int round = 0; MillisSince(start) < kLoadLimit.count() &&
                        this->Position(aDaemon) < from + kMuch;
         ++round) {
      for (int i = 0; i < kPrograms - 1; ++i) {
        this->Turn(i, aDaemon);
      }
      std::vector<std::thread> callers;
      for (int caller = 0; caller < kCallers; ++caller) {
        const std::string name = "load-" + std::to_string(from) + "-" +
                                 std::to_string(round) + "-" +
                                 std::to_string(caller) + "-";
        callers.emplace_back([this, aDaemon, name] {
          for (int i = 0; i < kCallsEach; ++i) {
            this->Groom(aDaemon, name + std::to_string(i));
          }
        });
      }
      for (std::thread& caller : callers) {
        caller.join();
      }
    }
    EXPECT_GE(this->Position(aDaemon), from + kMuch);
  }

  // Every daemon's own replay shows the same programs, and every entry gives
  // the same turns and the old answer of a call that may not be repeated.
  void ExpectSameEverywhere()
  {
    const TimePoint start = Now();
    bool same = false;
    while (!same && MillisSince(start) < kSameLimit.count()) {
      std::this_thread::sleep_for(Millis(100));
      const Json first = this->Admin(0, "/programs");
      same = first.size() == size_t(kPrograms) &&
             first == this->Admin(1, "/programs") &&
             first == this->Admin(2, "/programs");
    }
    EXPECT_TRUE(same) << this->Admin(0, "/programs") << "\n"
                      << this->Admin(1, "/programs") << "\n"
                      << this->Admin(2, "/programs");
    for (int i = 0; i < 3; ++i) {
      SCOPED_TRACE("daemon " + std::to_string(i));
      EXPECT_EQ(this->Admin(i, "/status").at("config_version"), 1);
      this->ExpectAllTurns(i);
      EXPECT_EQ(this->Groom(i, "old").status, 200);
    }
    EXPECT_EQ(this->fleet.ExecutionCounts().at("old"), 1);
  }
};

TEST_F(Retention, LateAndStoppedDaemonsReachTheSameState)
{
  EXPECT_EQ(this->Groom(0, "old").status, 200);
  {
    SCOPED_TRACE("stopped for longer than the log keeps records");
    this->fleet.Daemon(2).Pause();
    this->Load(0);
    this->fleet.Daemon(2).Continue();
    this->ExpectSameEverywhere();
  }
  {
    SCOPED_TRACE("started after the first records are gone");
    this->fleet.Daemon(1).Kill();
    this->Load(0);
    this->fleet.StartDaemon(1);
    ASSERT_TRUE(this->fleet.WaitReady(1, Millis(20000)));
    this->ExpectSameEverywhere();
  }
}

} // namespace
} // namespace tanagerseam::testing_support
