// Warm programs on an engine that leaves, where their move fails, and under
// load up to a leaving time: calls go on, and nothing new comes to the engine.
#include <array>
#include <atomic>
#include <ctime>

#include "tests/support/calls_fixture.h"

namespace tanagerseam::testing_support {
namespace {

constexpr int kEngines = 3;
constexpr int kWarm = 6;
constexpr int kPromptWords = 1500;
// The longest report lag, and a few intervals of the wind-down.
constexpr Millis kToolPause(2500);
constexpr Millis kLeavesIn(5000);
constexpr Millis kLeft(2000);
constexpr Millis kReleased(10000);
constexpr Millis kServedLimit(5000);

FleetSettings
ThreeEngines()
{
  FleetSettings settings = Settings();
  settings.engines = kEngines;
  settings.engineFlags = { "--decode_ms_per_token=5" };
  return settings;
}

class WindDownFaults : public CallsTest
{
protected:
  WindDownFaults()
    : CallsTest(ThreeEngines())
  {
  }

  void OpenWarm()
  {
    this->transcripts.clear();
    std::string prompt = "warm";
    for (int i = 0; i < kPromptWords; ++i) {
      prompt += " word";
    }
    for (int i = 0; i < kWarm; ++i) {
      this->transcripts.push_back(this->caller.OpenProgram(i % kDaemons));
      this->caller.CompleteTurn(
        this->transcripts.back(), i % kDaemons, prompt, kShortAnswerTokens);
    }
  }

  void SetAll(const nlohmann::json& aControl)
  {
    for (int i = 0; i < kEngines; ++i) {
      this->fleet.SetEngine(i, aControl);
    }
  }

  // The engine that holds most programs.
  int Fullest()
  {
    int fullest = 0;
    for (int i = 1; i < kEngines; ++i) {
      fullest =
        this->Stat(i, "held_tokens") > this->Stat(fullest, "held_tokens")
          ? i
          : fullest;
    }
    return fullest;
  }

  int64_t Stat(int aEngine, const char* aName)
  {
    return this->fleet.EngineStats(aEngine).at(aName).get<int64_t>();
  }

  void Leave(int aEngine, const std::string& aKeys)
  {
    this->fleet.SetEndpointKeys("engine-" + std::to_string(aEngine), aKeys);
    EXPECT_EQ(this->fleet.Apply(Desired()), 0);
  }

  // Programs that were moved off an engine with this result, over all daemons.
  int Moves(const std::string& aResult)
  {
    const std::string name =
      "tanagerseam_wind_down_total{result=\"" + aResult + "\"} ";
    int moves = 0;
    for (int i = 0; i < kDaemons; ++i) {
      const std::string text = this->fleet.Admin(i, "/metrics").body;
      const size_t at = text.find(name);
      moves +=
        at == std::string::npos ? 0 : std::stoi(text.substr(at + name.size()));
    }
    return moves;
  }

  void ExpectReleased()
  {
    for (const Transcript& transcript : this->transcripts) {
      this->caller.Send(
        0, "DELETE", "/v1/programs/" + transcript.id, {}, "", kRecoveryTimeout);
    }
    const auto held = [this] {
      int64_t sum = 0;
      for (int i = 0; i < kEngines; ++i) {
        sum += this->Stat(i, "held_tokens");
      }
      return sum;
    };
    EXPECT_GT(held(), 0);
    EXPECT_TRUE(WaitUntil([&] { return held() == 0; }, kReleased));
  }
};

TEST_F(WindDownFaults, AFailingMoveCostsAPrefillAndNoCall)
{
  const std::vector<std::pair<const char*, nlohmann::json>> rows{
    { "export refused", { { "path", "/kv/export" }, { "path_status", 503 } } },
    { "import refused", { { "path", "/kv/import" }, { "path_status", 503 } } },
    // Longer than a move may take: no daemon sees its answer in this test.
    { "import's answer lost",
      { { "path", "/kv/import" }, { "path_hang_ms", 40000 } } },
  };
  for (const auto& [name, control] : rows) {
    SCOPED_TRACE(name);
    this->OpenWarm();
    const int leaving = this->Fullest();
    const int failed = this->Moves("failed");
    this->SetAll(control);
    this->Leave(leaving, "leaving = true");
    std::this_thread::sleep_for(kToolPause);
    const int64_t servedThere = this->Stat(leaving, "requests");
    for (Transcript& transcript : this->transcripts) {
      const TimePoint start = Now();
      this->caller.CompleteTurn(
        transcript, 1, "after the move failed", kShortAnswerTokens);
      EXPECT_LT(MillisBetween(start, Now()), kServedLimit.count());
      this->caller.ExpectHistory(transcript, 2);
    }
    EXPECT_EQ(this->Stat(leaving, "requests"), servedThere);
    EXPECT_EQ(this->Moves("moved"), 0);
    if (control.contains("path_status")) {
      EXPECT_GT(this->Moves("failed"), failed) << "no move was tried";
    } else {
      EXPECT_GT(CountOccurrences(this->fleet.ReceivedRequests(), "/kv/import"),
                0);
    }
    this->ExpectReleased();
    this->SetAll({ { "path", "" } });
    this->Leave(leaving, "leaving = false");
  }
}

TEST_F(WindDownFaults, AnEngineLeavesAtItsTimeUnderLoad)
{
  this->OpenWarm();
  const int leaving = this->Fullest();
  const int64_t before = this->Stat(leaving, "requests");
  std::atomic<bool> stopping{ false };
  std::vector<std::future<void>> callers;
  for (size_t i = 0; i < this->transcripts.size(); ++i) {
    callers.push_back(std::async(std::launch::async, [&, i] {
      Transcript& transcript = this->transcripts[i];
      while (!stopping) {
        const std::string text = "turn " + std::to_string(transcript.answered);
        const std::string expected =
          ProgramClient::ExpectedAnswer(transcript, text, kLongAnswerTokens);
        const HttpAnswer answer =
          this->caller.CallModel(int(i) % kDaemons,
                                 transcript.id,
                                 transcript.answered + 1,
                                 text,
                                 kLongAnswerTokens,
                                 true);
        const ModelAnswer read = ProgramClient::ParseAnswer(answer, true);
        // Nothing is cut or refused because an engine leaves.
        ASSERT_TRUE(read.complete) << answer.body;
        EXPECT_EQ(read.text, expected);
        ProgramClient::AppendTurn(transcript, text, expected);
        std::this_thread::sleep_for(Millis(50));
      }
    }));
  }
  const time_t at = time(nullptr) + kLeavesIn.count() / 1000;
  std::array<char, 32> text{};
  tm utc{};
  strftime(text.data(), text.size(), "%FT%TZ", gmtime_r(&at, &utc));
  this->Leave(leaving, std::string("leaves_at = ") + text.data());
  while (time(nullptr) <= at) {
    std::this_thread::sleep_for(Millis(50));
  }
  const int64_t whenLeft = this->Stat(leaving, "requests");
  std::this_thread::sleep_for(kLeft);
  EXPECT_EQ(this->Stat(leaving, "requests"), whenLeft);
  stopping = true;
  for (auto& caller : callers) {
    caller.get();
  }
  std::cerr << "engine served " << whenLeft - before
            << " calls before it left, programs moved " << this->Moves("moved")
            << ", prefilled anew " << this->Moves("prefill") << ", failed "
            << this->Moves("failed") << "\n";
  for (const Transcript& transcript : this->transcripts) {
    this->caller.ExpectHistory(transcript, 0);
  }
  this->ExpectReleased();
}

} // namespace
} // namespace tanagerseam::testing_support
