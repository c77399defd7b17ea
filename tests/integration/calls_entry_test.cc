// The daemon that callers are connected to dies, and the owner changes while
// callers race: the call stands once in the history, and whoever asks again
// gets that answer whole.
#include "tests/support/calls_fixture.h"

namespace tanagerseam::testing_support {
namespace {

constexpr int kRacers = 6;
// Into the stream of an answer of kLongAnswerTokens tokens.
constexpr Millis kInTheStream(300);

class CallsEntryTest : public CallsTest
{
protected:
  // Starts turn 2 and waits until the engine is in its stream.
  std::vector<std::future<HttpAnswer>> AskInTheStream(
    const std::string& aText,
    const std::vector<int>& aEntries,
    Millis aTimeout)
  {
    std::vector<std::future<HttpAnswer>> answers;
    for (size_t i = 0; i < aEntries.size(); ++i) {
      answers.push_back(std::async(std::launch::async, [=] {
        return this->caller.CallModel(aEntries[i],
                                      this->transcript.id,
                                      2,
                                      aText,
                                      kLongAnswerTokens,
                                      true,
                                      aTimeout);
      }));
    }
    EXPECT_TRUE(WaitUntil(
      [&] {
        return CountOccurrences(this->fleet.ReceivedRequests(), aText) > 0;
      },
      kRecoveryTimeout));
    std::this_thread::sleep_for(kInTheStream);
    return answers;
  }

  // Turn 2 stands once in the history and in the log, and a third turn sees it.
  void ExpectOnce(const std::string& aText)
  {
    const std::string expected =
      ProgramClient::ExpectedAnswer(this->transcript, aText, kLongAnswerTokens);
    const Transcript before = this->transcript;
    ProgramClient::AppendTurn(this->transcript, aText, expected);
    const int64_t worked = this->Worked();
    for (int daemon = 0; daemon < kDaemons; ++daemon) {
      SCOPED_TRACE("daemon " + std::to_string(daemon));
      if (!this->fleet.Daemon(daemon).Running()) {
        continue;
      }
      const HttpAnswer again = this->caller.CallModel(
        daemon, before.id, 2, aText, kLongAnswerTokens, true);
      const ModelAnswer read = ProgramClient::ParseAnswer(again, true);
      EXPECT_TRUE(read.complete) << again.body;
      EXPECT_EQ(read.text, expected);
      this->caller.ExpectHistory(this->transcript, daemon);
      EXPECT_EQ(this->caller.GetProgram(before.id, daemon).at("turns").size(),
                2U);
    }
    EXPECT_EQ(this->Worked(), worked) << "a repeat was worked on";
    this->caller.CompleteTurn(
      this->transcript, this->other, "third turn", kShortAnswerTokens);
    this->caller.ExpectHistory(this->transcript, this->other);
  }

  // Tokens that the engines generated, by their own count.
  int64_t Worked()
  {
    return this->caller.EngineTokens(0) + this->caller.EngineTokens(1);
  }
};

TEST_F(CallsEntryTest, TheEntryDiesInTheStream)
{
  for (const ProcessFault act : { ProcessFault::kKill, ProcessFault::kPause }) {
    SCOPED_TRACE(act == ProcessFault::kKill ? "entry killed" : "entry paused");
    this->NewProgram();
    const std::string text = "second turn of " + this->transcript.id;
    const std::string expected =
      ProgramClient::ExpectedAnswer(this->transcript, text, kLongAnswerTokens);
    auto first = this->AskInTheStream(text, { this->entry }, Millis(1500));
    if (act == ProcessFault::kKill) {
      this->fleet.Daemon(this->entry).Kill();
    } else {
      this->fleet.Daemon(this->entry).Pause();
    }
    // Its caller asks again elsewhere while the answer is still on its way.
    const HttpAnswer repeat = this->caller.CallModel(
      this->other, this->transcript.id, 2, text, kLongAnswerTokens, true);
    const ModelAnswer read = ProgramClient::ParseAnswer(repeat, true);
    EXPECT_TRUE(read.complete) << repeat.body;
    EXPECT_EQ(read.text, expected);
    EXPECT_EQ(CountOccurrences(this->fleet.ReceivedRequests(), text), 1)
      << "worked on twice";
    if (act == ProcessFault::kPause) {
      std::this_thread::sleep_for(kAfterLeaseExpiry);
      this->fleet.Daemon(this->entry).Continue();
      EXPECT_TRUE(this->fleet.WaitReady(this->entry, kRecoveryTimeout));
    }
    EXPECT_FALSE(ProgramClient::ParseAnswer(first[0].get(), true).complete)
      << "the entry was not struck in the stream";
    this->ExpectOnce(text);
    if (act == ProcessFault::kKill) {
      this->fleet.StartDaemon(this->entry);
      ASSERT_TRUE(this->fleet.WaitReady(this->entry, kRecoveryTimeout));
    }
  }
}

TEST_F(CallsEntryTest, CallersRaceWhileTheOwnerChanges)
{
  for (const ProcessFault act : { ProcessFault::kKill, ProcessFault::kPause }) {
    SCOPED_TRACE(kProcessFaultNames[int(act)]);
    this->NewProgram();
    const std::string text = "race of " + this->transcript.id;
    const std::string expected =
      ProgramClient::ExpectedAnswer(this->transcript, text, kLongAnswerTokens);
    std::vector<int> entries;
    for (int i = 0; i < kRacers; ++i) {
      entries.push_back(i % 2 == 0 ? this->entry : this->other);
    }
    auto racers = this->AskInTheStream(text, entries, kRecoveryTimeout);
    if (act == ProcessFault::kKill) {
      this->fleet.Daemon(this->owner).Kill();
    } else {
      this->fleet.Daemon(this->owner).Pause();
    }
    for (auto& racer : racers) {
      const HttpAnswer answer = racer.get();
      const ModelAnswer read = ProgramClient::ParseAnswer(answer, true);
      EXPECT_TRUE(read.complete) << answer.body;
      EXPECT_EQ(read.text, expected);
    }
    EXPECT_NE(this->caller.OwnerOfProgram(this->transcript.id), this->owner);
    // Once by each owner: only the gate of the new one keeps five back.
    EXPECT_LE(CountOccurrences(this->fleet.ReceivedRequests(), text), 2);
    if (act == ProcessFault::kPause) {
      this->fleet.Daemon(this->owner).Continue();
      ASSERT_TRUE(this->fleet.WaitReady(this->owner, kRecoveryTimeout));
    }
    this->ExpectOnce(text);
    if (act == ProcessFault::kKill) {
      this->fleet.StartDaemon(this->owner);
      ASSERT_TRUE(this->fleet.WaitReady(this->owner, kRecoveryTimeout));
    }
  }
}

} // namespace
} // namespace tanagerseam::testing_support
