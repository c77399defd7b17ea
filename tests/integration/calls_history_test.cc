// The calls of a program run in order and stand once in its history, whatever
// happens to the daemon that owns it.
#include "tests/support/calls_fixture.h"

namespace tanagerseam::testing_support {
namespace {

TEST_F(CallsTest, RunInOrderAndAnswerRepeats)
{
  this->NewProgram();
  const std::string id = this->transcript.id;
  // Story: a repeat of an answered call gets the stored answer, anywhere.
  for (int daemon = 0; daemon < kDaemons; ++daemon) {
    SCOPED_TRACE("daemon " + std::to_string(daemon));
    const HttpAnswer again =
      this->caller.CallModel(daemon, id, 1, "first turn", kShortAnswerTokens);
    EXPECT_EQ(ProgramClient::ParseAnswer(again, false).text,
              this->transcript.messages.back().at("content"));
    for (const auto& [call, text] : { std::pair<int64_t, const char*>{ 1, "x" },
                                      { 3, "third turn" },
                                      { 99, "first turn" } }) {
      const HttpAnswer refused =
        this->caller.CallModel(daemon, id, call, text, kShortAnswerTokens);
      EXPECT_EQ(HeaderValue(refused, "X-Refusal"), "call_out_of_order");
      EXPECT_EQ(HeaderValue(refused, "X-Ran"), "no");
    }
    // Another organisation can't tell a program from none.
    ProgramClient stranger(this->fleet, kOtherKey);
    const auto plain = [&](const std::string& aProgram, bool aLook) {
      HttpAnswer answer =
        aLook
          ? stranger.Send(daemon,
                          "GET",
                          "/v1/programs/" + aProgram,
                          {},
                          "",
                          kRecoveryTimeout)
          : stranger.CallModel(daemon, aProgram, 2, "spy", kShortAnswerTokens);
      return ProgramClient::ComparableRefusal(answer);
    };
    for (const bool look : { true, false }) {
      EXPECT_EQ(plain(id, look), plain("p-000000000000000000000000", look));
      EXPECT_EQ(plain(id, look).substr(0, 3), "404");
    }
    const auto child = [&](const std::string& aParent) {
      const HttpAnswer answer = stranger.Send(
        daemon,
        "POST",
        "/v1/programs",
        {},
        nlohmann::json{ { "parent", aParent }, { "budget_tokens", 10 } }.dump(),
        kRecoveryTimeout);
      return ProgramClient::ComparableRefusal(answer);
    };
    EXPECT_EQ(child(id), child("p-000000000000000000000000"));
  }
  // Story: callers race for one call number through all daemons.
  const std::string text = "race of " + id;
  std::vector<std::future<HttpAnswer>> racers;
  for (int i = 0; i < 6; ++i) {
    racers.push_back(std::async(std::launch::async, [&, i] {
      return this->caller.CallModel(
        i % kDaemons, id, 2, text, kLongAnswerTokens);
    }));
  }
  const std::string expected =
    ProgramClient::ExpectedAnswer(this->transcript, text, kLongAnswerTokens);
  for (auto& racer : racers) {
    EXPECT_EQ(ProgramClient::ParseAnswer(racer.get(), false).text, expected);
  }
  EXPECT_EQ(CountOccurrences(this->fleet.ReceivedRequests(), text), 1);
  EXPECT_EQ(this->caller.GetProgram(id, this->other).at("turns").size(), 2U);
}

constexpr int kTriesToReach = 3;

// The owner is struck at each point of a call.
TEST_F(CallsTest, HistoryIsWhatWasAnsweredWhateverHappensToTheOwner)
{
  struct Point
  {
    const char* name;
    std::function<void()> prepare;
    std::function<bool()> reached;
    Millis after;
  };
  const auto dispatched = [this] {
    return this->RequestReceived("second turn");
  };
  const std::vector<Point> points{
    { "between turns", nullptr, nullptr, Millis(0) },
    { "in the log, not dispatched",
      [this] { this->fleet.SetFault(this->OwnerLink("log-"), "one_way_up"); },
      [this] { return this->CallStartLogged(); },
      Millis(0) },
    { "dispatched, not answered",
      [this] {
        this->SetEngines({ { "delay_ms", 700 } });
      },
      dispatched,
      Millis(100) },
    { "in the stream", nullptr, dispatched, Millis(400) },
    { "generated, not recorded",
      nullptr,
      [this, dispatched] {
        if (!dispatched()) {
          return false;
        }
        this->fleet.SetLogMode({ { "mode", "slow" }, { "delay_ms", 3000 } });
        return true;
      },
      Millis(1400) },
  };
  for (const ProcessFault act : { ProcessFault::kKill, ProcessFault::kPause }) {
    for (const Point& point : points) {
      SCOPED_TRACE(std::string(point.name) + ", " +
                   kProcessFaultNames[int(act)]);
      std::string text;
      std::future<HttpAnswer> first;
      bool reached = false;
      // A renewal that is on its way to the log when its answers stop is sent
      // again until it is answered, and no record passes it: such a program
      // does not reach its point, and another one is tried.
      for (int i = 0; i < kTriesToReach && !reached; ++i) {
        if (first.valid()) {
          this->ClearFaults();
          ProgramClient::ParseAnswer(first.get(), true);
        }
        this->NewProgram();
        text = "second turn of " + this->transcript.id;
        if (point.prepare) {
          point.prepare();
        }
        if (point.reached) {
          first = this->CallModelAsync(text, kLongAnswerTokens, true);
        }
        reached = !point.reached || WaitUntil(point.reached, Millis(8000));
      }
      EXPECT_TRUE(reached);
      const std::string expected = ProgramClient::ExpectedAnswer(
        this->transcript, text, kLongAnswerTokens);
      std::this_thread::sleep_for(point.after);
      if (act == ProcessFault::kKill) {
        this->fleet.Daemon(this->owner).Kill();
      } else {
        this->fleet.Daemon(this->owner).Pause();
      }
      this->ClearFaults();
      bool answered = false;
      if (first.valid()) {
        // Whoever owns the program next answers the call without a gap.
        const ModelAnswer read = ProgramClient::ParseAnswer(first.get(), true);
        ProgramClient::ExpectCompleteOrPrefix(read, expected);
        answered = read.complete;
      }
      if (act == ProcessFault::kPause) {
        WaitUntil(
          [this] {
            return this->caller.OwnerOfProgram(this->transcript.id) !=
                   this->owner;
          },
          kAfterLeaseExpiry);
        this->fleet.Daemon(this->owner).Continue();
      }
      this->ExpectConversationContinues(
        text, kLongAnswerTokens, true, answered);
      if (act == ProcessFault::kKill) {
        this->fleet.StartDaemon(this->owner);
      }
      ASSERT_TRUE(this->fleet.WaitReady(this->owner, kRecoveryTimeout));
    }
  }
  // Story: nothing of one program is in another, on any daemon.
  for (const Transcript& one : this->transcripts) {
    for (int daemon = 0; daemon < kDaemons; ++daemon) {
      this->caller.ExpectHistory(one, daemon);
    }
  }
}

} // namespace
} // namespace tanagerseam::testing_support
