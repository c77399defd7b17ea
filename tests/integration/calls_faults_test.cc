// A program's history under faults of the log, the links and the engines.
#include "tests/support/calls_fixture.h"

namespace tanagerseam::testing_support {
namespace {

// Log, links and engines fail, alone and in pairs, while a call is under way.
TEST_F(CallsTest, HistoryIsWhatWasAnsweredWhateverFailsAround)
{
  using Set = std::function<void()>;
  struct Row
  {
    const char* name;
    std::vector<Set> faults;
    ProcessFault act = ProcessFault::kNone;
  };
  const auto log = [this](nlohmann::json aControl) -> Set {
    return [this, aControl] { this->fleet.SetLogMode(aControl); };
  };
  const auto link = [this](const char* aLink, const char* aKind) -> Set {
    return [=, this] { this->fleet.SetFault(this->OwnerLink(aLink), aKind); };
  };
  const auto engine = [this](nlohmann::json aControl) -> Set {
    return [this, aControl] { this->SetEngines(aControl); };
  };
  const Set down = log({ { "mode", "down" } });
  const Set slow = log({ { "mode", "slow" }, { "delay_ms", 400 } });
  const Set lose =
    log({ { "mode", "lose_answers" }, { "lose_share", 0.7 }, { "seed", 4 } });
  const Set drop = engine({ { "drop_share", 1 }, { "seed", 11 } });
  const Set cross = engine({ { "cross_share", 1 }, { "seed", 12 } });
  const Set late = engine({ { "delay_ms", 800 } });
  const Set peerCut = link("peer-", "cut");
  const std::vector<Row> rows{
    { "log down", { down } },
    { "log slow", { slow } },
    { "log loses answers", { lose } },
    { "log link cut", { link("log-", "cut") } },
    { "log link one way up", { link("log-", "one_way_up") } },
    { "log link one way down", { link("log-", "one_way_down") } },
    { "peer link cut", { late, peerCut } },
    { "peer link half open", { late, link("peer-", "half_open") } },
    { "peer link one way", { late, link("peer-", "one_way_up") } },
    { "engine drops", { drop } },
    { "engine crosses", { cross } },
    { "engine delays", { late } },
    { "log slow, engine drops", { slow, drop } },
    { "log loses answers, engine crosses", { lose, cross } },
    { "log loses answers, owner killed", { lose, late }, ProcessFault::kKill },
    { "engine drops, owner killed", { drop, late }, ProcessFault::kKill },
    { "log down, owner killed after", { down }, ProcessFault::kKill },
  };
  for (const Row& row : rows) {
    SCOPED_TRACE(row.name);
    this->NewProgram();
    const std::string text = "second turn of " + this->transcript.id;
    const std::string expected =
      ProgramClient::ExpectedAnswer(this->transcript, text, kShortAnswerTokens);
    for (const Set& fault : row.faults) {
      fault();
    }
    auto first =
      this->CallModelAsync(text, kShortAnswerTokens, false, Millis(6000));
    const bool answered =
      first.wait_for(Millis(2500)) == std::future_status::ready;
    if (row.act == ProcessFault::kKill) {
      this->fleet.Daemon(this->owner).Kill();
    }
    this->ClearFaults();
    const HttpAnswer answer = first.get();
    const ModelAnswer read = ProgramClient::ParseAnswer(answer, false);
    ProgramClient::ExpectCompleteOrPrefix(read, expected);
    if (row.faults.size() == 1 && std::string(row.name) == "log down") {
      EXPECT_TRUE(answered && read.complete) << answer.body;
    }
    this->ExpectConversationContinues(
      text, kShortAnswerTokens, false, read.complete);
    if (row.act == ProcessFault::kKill) {
      this->fleet.StartDaemon(this->owner);
      ASSERT_TRUE(this->fleet.WaitReady(this->owner, kRecoveryTimeout));
    }
  }
  for (const Transcript& one : this->transcripts) {
    this->caller.ExpectHistory(one, 0);
  }
}

} // namespace
} // namespace tanagerseam::testing_support
