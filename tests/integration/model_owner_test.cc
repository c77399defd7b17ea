// The owner of a model's slot is struck while calls wait in its queue: every
// call is answered once, no place at an engine is lost or given twice
// afterwards, and the engines hold nothing once the programs have ended.
#include <atomic>

#include "tests/support/calls_fixture.h"

namespace tanagerseam::testing_support {
namespace {

constexpr int kCallers = 12;
constexpr int kCapacity = 2;
constexpr int kEngines = 2;
// About a third of a second at an engine.
constexpr int64_t kTokens = 20;
constexpr Millis kBeforeStrike(700);
constexpr Millis kStruck(2200);
// Calls that were sent in the fault have ended by then.
constexpr Millis kCalmsDown(1000);
constexpr Millis kAfterwards(1500);
constexpr Millis kReleased(10000);

struct Strike
{
  const char* name;
  std::function<void(int)> begin;
  std::function<void(int)> end;
};

FleetSettings
SmallEngines()
{
  FleetSettings settings = Settings();
  for (int i = 0; i < kEngines; ++i) {
    settings.endpointKeys["engine-" + std::to_string(i)] =
      "capacity = " + std::to_string(kCapacity);
  }
  return settings;
}

class ModelOwnerTest : public CallsTest
{
protected:
  ModelOwnerTest()
    : CallsTest(SmallEngines())
  {
  }

  void OpenPrograms()
  {
    this->programs.clear();
    for (int i = 0; i < kCallers; ++i) {
      this->programs.push_back(this->caller.OpenProgram(i % kDaemons));
    }
  }

  void ResetPeaks()
  {
    for (int i = 0; i < kEngines; ++i) {
      this->fleet.SetEngine(i, { { "reset_peak", true } });
    }
  }

  // Calls have waited at the owner, and no engine got more than its places.
  void ExpectPlacesHold()
  {
    for (int i = 0; i < kEngines; ++i) {
      EXPECT_EQ(this->Peak(i), kCapacity) << "engine " << i;
    }
  }

  // Every program's turns, one after the other, until told to stop; through
  // the daemons from aFirst on, aCount of them.
  std::vector<std::future<void>> Load(int aFirst, int aCount)
  {
    this->stopping = false;
    std::vector<std::future<void>> callers;
    for (int i = 0; i < kCallers; ++i) {
      callers.push_back(std::async(std::launch::async, [=] {
        while (!this->stopping) {
          this->Turn(this->programs[size_t(i)],
                     (aFirst + i % aCount) % kDaemons);
        }
      }));
    }
    return callers;
  }

  void End(std::vector<std::future<void>>& aCallers)
  {
    this->stopping = true;
    for (auto& caller : aCallers) {
      caller.get();
    }
  }

  // One turn, asked until it is answered; each refusal must be true.
  void Turn(Transcript& aTranscript, int aDaemon)
  {
    const std::string text =
      "turn " + std::to_string(aTranscript.answered) + " of " + aTranscript.id;
    const std::string expected =
      ProgramClient::ExpectedAnswer(aTranscript, text, kTokens);
    bool mayHaveRun = false;
    const TimePoint start = Now();
    while (Now() - start < kRecoveryTimeout) {
      const HttpAnswer answer = this->caller.CallModel(
        aDaemon, aTranscript.id, aTranscript.answered + 1, text, kTokens);
      if (answer.status == 200) {
        EXPECT_EQ(ProgramClient::ParseAnswer(answer, false).text, expected);
        ProgramClient::AppendTurn(aTranscript, text, expected);
        ++this->turns;
        return;
      }
      ++this->refusals;
      mayHaveRun = mayHaveRun || HeaderValue(answer, "X-Ran") != "no";
      if (!mayHaveRun) {
        EXPECT_EQ(CountOccurrences(this->fleet.ReceivedRequests(), text), 0)
          << "refused as not run: " << answer.body;
      }
      std::this_thread::sleep_for(Millis(100));
    }
    ADD_FAILURE() << text << " is not answered";
    this->stopping = true;
  }

  void ExpectReleased()
  {
    for (const Transcript& transcript : this->programs) {
      const HttpAnswer ended = this->caller.Send(
        0, "DELETE", "/v1/programs/" + transcript.id, {}, "", kRecoveryTimeout);
      EXPECT_EQ(ended.status, 200) << ended.body;
    }
    const TimePoint start = Now();
    const auto held = [this] {
      return this->fleet.EngineStats(0).at("held_tokens").get<int64_t>() +
             this->fleet.EngineStats(1).at("held_tokens").get<int64_t>();
    };
    EXPECT_GT(held(), 0);
    EXPECT_TRUE(WaitUntil([&] { return held() == 0; }, kReleased));
    std::cerr << "released after " << MillisBetween(start, Now()) << " ms\n";
  }

  int Peak(int aEngine)
  {
    return this->fleet.EngineStats(aEngine).at("peak_in_flight").get<int>();
  }

  std::vector<Transcript> programs;
  std::atomic<bool> stopping{ false };
  std::atomic<int> turns{ 0 };
  std::atomic<int> refusals{ 0 };
};

TEST_F(ModelOwnerTest, NoCallIsLostAndThePlacesHoldAfterwards)
{
  const std::vector<Strike> strikes{
    { "killed",
      [this](int aOwner) { this->fleet.Daemon(aOwner).Kill(); },
      [this](int aOwner) { this->fleet.StartDaemon(aOwner); } },
    { "paused",
      [this](int aOwner) { this->fleet.Daemon(aOwner).Pause(); },
      [this](int aOwner) { this->fleet.Daemon(aOwner).Continue(); } },
    { "cut off",
      [this](int aOwner) {
        this->fleet.SetFault("peer-" + std::to_string(aOwner), "cut");
      },
      [this](int aOwner) {
        this->fleet.SetFault("peer-" + std::to_string(aOwner), "none");
      } },
  };
  for (const Strike& strike : strikes) {
    SCOPED_TRACE(strike.name);
    this->OpenPrograms();
    const int owner = this->caller.OwnerOf("model/model-a");
    ASSERT_GE(owner, 0);
    this->ResetPeaks();
    auto callers = this->Load(owner + 1, kDaemons - 1);
    std::this_thread::sleep_for(kBeforeStrike);
    this->ExpectPlacesHold();
    strike.begin(owner);
    std::this_thread::sleep_for(kStruck);
    strike.end(owner);
    EXPECT_TRUE(this->fleet.WaitReady(owner, kRecoveryTimeout));
    std::this_thread::sleep_for(kCalmsDown);
    this->End(callers);
    const int most = std::max(this->Peak(0), this->Peak(1));
    const int before = this->turns;
    this->ResetPeaks();
    callers = this->Load(0, kDaemons);
    std::this_thread::sleep_for(kAfterwards);
    this->End(callers);
    this->ExpectPlacesHold();
    for (const Transcript& one : this->programs) {
      this->caller.ExpectHistory(one, owner);
      this->caller.ExpectHistory(one, (owner + 1) % kDaemons);
    }
    this->ExpectReleased();
    std::cerr << strike.name << ": most in flight at an engine " << most << ", "
              << this->refusals << " refusals, " << this->turns - before
              << " turns afterwards\n";
  }
}

} // namespace
} // namespace tanagerseam::testing_support
