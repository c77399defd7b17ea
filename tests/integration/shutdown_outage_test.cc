// Graceful shutdown while the log is down: the slots of the daemon that leaves
// can't be handed over. While it drains no call of any program is cut or
// refused; one that is under way when it goes at its limit is told to repeat.
// What was answered is history.
#include <atomic>

#include "tests/support/calls_fixture.h"

namespace tanagerseam::testing_support {
namespace {

constexpr int kPrograms = 9;
constexpr Millis kUnderLoad(700);
constexpr Millis kDrainLimit(6000);
// Connections that a caller leaves open close after this.
constexpr Millis kReadTimeout(1000);
// Beside the drain: the notice, and records that find no log.
constexpr Millis kExitLimit(30000);
constexpr Millis kLogBack(2000);

FleetSettings
ShortDrain()
{
  FleetSettings settings = Settings();
  settings.daemonKeys =
    "drain_limit_ms = " + std::to_string(kDrainLimit.count()) +
    "\nread_timeout_ms = " + std::to_string(kReadTimeout.count()) + "\n";
  return settings;
}

class ShutdownOutage : public CallsTest
{
protected:
  ShutdownOutage()
    : CallsTest(ShortDrain())
  {
    for (int i = 0; i < kPrograms; ++i) {
      this->transcripts.push_back(this->caller.OpenProgram(i % kDaemons));
    }
    this->leaving = this->caller.OwnerOfProgram(this->transcripts[0].id);
  }

  ~ShutdownOutage() override { this->EndLoad(); }

  // Streams of all programs through all daemons; callers of the one that leaves
  // go elsewhere once it says that it is not ready, as behind a balancer.
  void StartLoad()
  {
    this->stopping = false;
    for (int i = 0; i < kPrograms; ++i) {
      this->callers.push_back(std::async(std::launch::async, [this, i] {
        while (!this->stopping) {
          this->NextTurn(this->transcripts[size_t(i)], i);
        }
      }));
    }
    std::this_thread::sleep_for(kUnderLoad);
  }

  void EndLoad()
  {
    this->stopping = true;
    for (auto& one : this->callers) {
      one.get();
    }
    this->callers.clear();
  }

  void NextTurn(Transcript& aTranscript, int aCaller)
  {
    int daemon = aCaller % kDaemons;
    if (daemon == this->leaving &&
        this->fleet.Admin(daemon, "/ready").status != 200) {
      daemon = (daemon + 1) % kDaemons;
    }
    const std::string text =
      "turn " + std::to_string(aTranscript.answered) + " of " + aTranscript.id;
    const std::string expected =
      ProgramClient::ExpectedAnswer(aTranscript, text, kLongAnswerTokens);
    const TimePoint start = Now();
    const HttpAnswer answer = this->caller.CallModel(daemon,
                                                     aTranscript.id,
                                                     aTranscript.answered + 1,
                                                     text,
                                                     kLongAnswerTokens,
                                                     true);
    const ModelAnswer read = ProgramClient::ParseAnswer(answer, true);
    ProgramClient::ExpectCompleteOrPrefix(read, expected);
    if (read.complete) {
      ProgramClient::AppendTurn(aTranscript, text, expected);
      this->slowest =
        std::max(this->slowest.load(), MillisBetween(start, Now()));
      return;
    }
    EXPECT_NE(read.refusal, "") << answer.status << " " << answer.body;
    if (read.ran == "no") {
      EXPECT_EQ(CountOccurrences(this->fleet.ReceivedRequests(), text), 0)
        << answer.body;
    } else {
      EXPECT_EQ(read.ran, "unknown") << answer.body;
    }
    ++this->refusals;
    this->caller.CompleteTurn(
      aTranscript, daemon, text, kLongAnswerTokens, true);
  }

  // Terminates the daemon; gives the time it took to leave.
  int64_t Leave()
  {
    const TimePoint start = Now();
    this->fleet.Daemon(this->leaving).Terminate();
    EXPECT_EQ(this->fleet.Daemon(this->leaving).Wait(kExitLimit), 0);
    return MillisBetween(start, Now());
  }

  void ExpectAllHistory()
  {
    for (const Transcript& transcript : this->transcripts) {
      for (int i = 1; i < kDaemons; ++i) {
        this->caller.ExpectHistory(transcript, (this->leaving + i) % kDaemons);
      }
    }
  }

  int leaving = 0;
  std::atomic<bool> stopping{ false };
  std::atomic<int64_t> slowest{ 0 };
  std::atomic<int> refusals{ 0 };
  std::vector<std::future<void>> callers;
};

TEST_F(ShutdownOutage, CutsNoCallSilently)
{
  this->StartLoad();
  {
    SCOPED_TRACE("the log is back within the drain limit");
    this->fleet.SetLogMode({ { "mode", "down" } });
    std::this_thread::sleep_for(kUnderLoad);
    auto back = std::async(std::launch::async, [this] {
      std::this_thread::sleep_for(kLogBack);
      this->fleet.SetLogMode({ { "mode", "up" } });
    });
    const int64_t took = this->Leave();
    std::this_thread::sleep_for(kUnderLoad);
    this->EndLoad();
    std::cerr << "left after " << took << " ms, slowest call " << this->slowest
              << " ms\n";
    EXPECT_LT(took, kDrainLimit.count()) << "it waited for nothing";
    EXPECT_EQ(this->refusals, 0);
    this->ExpectAllHistory();
    this->fleet.StartDaemon(this->leaving);
    ASSERT_TRUE(this->fleet.WaitReady(this->leaving, kRecoveryTimeout));
    std::this_thread::sleep_for(kJoinSettleTime);
  }
  this->leaving = (this->leaving + 1) % kDaemons;
  this->slowest = 0;
  this->StartLoad();
  {
    SCOPED_TRACE("the log stays away");
    this->fleet.SetLogMode({ { "mode", "down" } });
    std::this_thread::sleep_for(kUnderLoad);
    const int64_t took = this->Leave();
    EXPECT_GE(took, kDrainLimit.count());
    std::this_thread::sleep_for(kUnderLoad);
    this->fleet.SetLogMode({ { "mode", "up" } });
    std::this_thread::sleep_for(kUnderLoad);
    this->EndLoad();
    std::cerr << "left after " << took << " ms, slowest call " << this->slowest
              << " ms, told to repeat " << this->refusals << "\n";
    this->ExpectAllHistory();
  }
}

} // namespace
} // namespace tanagerseam::testing_support
