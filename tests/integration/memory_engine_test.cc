// What engines hold for programs that are gone returns to nothing within
// kReleased, whatever was killed; the engines' own statistics are the judge.
#include "tests/integration/outage_fixture.h"

namespace tanagerseam::testing_support {
namespace {

constexpr Millis kReleased(10000);

FleetSettings
BothKindsOfEngines()
{
  FleetSettings settings;
  settings.engines = 2;
  settings.flagsByEngine["engine-0"] = { "--checks_fencing" };
  settings.endpointKeys["engine-0"] = "checks_fencing = true";
  settings.daemonSections = "[limits]\nmax_idle_ms = 4000\n";
  return settings;
}

class EngineMemoryRelease : public OutageFleet
{
protected:
  EngineMemoryRelease()
    : OutageFleet(BothKindsOfEngines())
  {
  }

  // Programs that engines hold, over all engines.
  std::set<std::string> Held()
  {
    std::set<std::string> held;
    for (int i = 0; i < 2; ++i) {
      HttpCall call;
      call.url = "http://" + this->fleet.EngineAddress(i) + "/stats";
      const HttpOutcome outcome = this->client.Perform(call);
      const Json stats = Json::parse(std::get<HttpAnswer>(outcome).body);
      for (const Json& name : stats.at("held_programs")) {
        held.insert(name.get<std::string>());
      }
    }
    return held;
  }

  void ExpectReleased(const std::set<std::string>& aKept = {})
  {
    const TimePoint start = Now();
    while (this->Held() != aKept && MillisSince(start) < kReleased.count()) {
      std::this_thread::sleep_for(Millis(50));
    }
    EXPECT_EQ(this->Held(), aKept);
    std::cerr << "released after " << MillisSince(start) << " ms\n";
  }

  void End(int aProgram, int aDaemon)
  {
    const HttpAnswer answer =
      this->fleet.Call(aDaemon,
                       "DELETE",
                       "/v1/programs/" + this->programs[size_t(aProgram)],
                       Headers());
    EXPECT_EQ(answer.status, 200) << answer.body;
  }

  HttpClient client;
};

TEST_F(EngineMemoryRelease, EndedProgramsWhileTheirOwnerIsKilled)
{
  ASSERT_EQ(this->Held().size(), size_t(kPrograms));
  const int victim = this->OwnerOf(0);
  const int other = (victim + 1) % 3;
  for (int i = 0; i < kPrograms / 2; ++i) {
    this->End(i, other);
  }
  this->fleet.Daemon(victim).Kill();
  const TimePoint start = Now();
  // The others go on; their memory is kept as long as they are used.
  std::set<std::string> used;
  for (int i = kPrograms / 2; i < kPrograms; ++i) {
    used.insert(this->programs[size_t(i)]);
  }
  bool released = false;
  while (!released && MillisSince(start) < kReleased.count()) {
    for (int i = kPrograms / 2; i < kPrograms; ++i) {
      this->Turn(i, other);
    }
    released = this->Held() == used;
  }
  EXPECT_TRUE(released);
  std::cerr << "owner killed: released after " << MillisSince(start) << " ms\n";
  SCOPED_TRACE("abandoned ones end after the idle limit");
  std::this_thread::sleep_for(Millis(4000));
  this->ExpectReleased();
}

TEST_F(EngineMemoryRelease, ALoopingProgramMeetsItsLimits)
{
  const std::string body = R"({"max_turns":3,"max_seconds":3600})";
  const std::string timed = R"({"max_turns":1000,"max_seconds":2})";
  for (const std::string& limits : { body, timed }) {
    SCOPED_TRACE(limits);
    const HttpAnswer opened =
      this->fleet.Call(0, "POST", "/v1/programs", Headers(), limits);
    this->programs.push_back(Json::parse(opened.body).at("id"));
    this->answered.push_back(0);
    const int index = int(this->programs.size()) - 1;
    HttpAnswer answer;
    const TimePoint start = Now();
    do {
      answer = this->Turn(index, 1);
    } while (answer.status == 200 && MillisSince(start) < 5000);
    EXPECT_NE(answer.status, 200);
    EXPECT_EQ(HeaderOf(answer, "X-Ran"), "no");
    const TimePoint gone = Now();
    while (this->Held().count(this->programs.back()) != 0 &&
           MillisSince(gone) < kReleased.count()) {
      std::this_thread::sleep_for(Millis(50));
    }
    EXPECT_EQ(this->Held().count(this->programs.back()), 0U);
  }
}

} // namespace
} // namespace tanagerseam::testing_support
