// The story of a program's history: a turn that was kept is found by any host,
// whole and in order; what is not there is known not to be; and without the log
// nobody claims either.
#include <gtest/gtest.h>

#include "program/program.h"
#include "program/testing/memory_log.h"

namespace tanagerseam {
namespace {

class HistoryStory : public ::testing::Test
{
protected:
  static ProgramSettings Settings()
  {
    ProgramSettings settings;
    settings.incarnation = "host.1";
    return settings;
  }

  // Text of a turn, "missing" or "unknown".
  std::string Find(HistoryService& aHost,
                   const std::string& aTurn,
                   const std::string& aOrganisation = "club")
  {
    std::string found = "no answer";
    aHost.Find(aOrganisation,
               aTurn,
               BootNow() + Millis(300),
               [&found](const HistoryResult& aResult) {
                 if (const auto* text = std::get_if<Transcript>(&aResult)) {
                   found = **text;
                 } else {
                   found =
                     std::get<HistoryMiss>(aResult) == HistoryMiss::kNoSuchTurn
                       ? "missing"
                       : "unknown";
                 }
               });
    this->Run();
    return found;
  }

  bool Keep(HistoryService& aHost,
            const std::string& aId,
            const std::string& aPrevious,
            const std::string& aInput,
            Transcript aBefore)
  {
    bool kept = false;
    aHost.Keep({ aId, "club", aPrevious, aInput, "answer to " + aInput + "\n" },
               std::move(aBefore),
               BootNow() + Millis(300),
               [&kept](bool aKept) { kept = aKept; });
    this->Run();
    return kept;
  }

  void Run()
  {
    this->io.restart();
    this->io.run();
  }

  restinio::asio_ns::io_context io;
  MemoryLog log{ io };
  PersistentLog persistent{ io, log };
  HistoryService one{ persistent, Settings() };
  HistoryService two{ persistent, Settings() };
};

TEST_F(HistoryStory, AnotherHostFindsTheWholeLine)
{
  EXPECT_TRUE(this->Keep(this->one, "t1", "", "a", nullptr));
  const std::string first = this->Find(this->two, "t1");
  EXPECT_EQ(first, "aanswer to a\n");
  EXPECT_TRUE(this->Keep(
    this->two, "t2", "t1", "b", std::make_shared<const std::string>(first)));
  EXPECT_EQ(this->Find(this->one, "t2"), "aanswer to a\nbanswer to b\n");
  {
    SCOPED_TRACE("a turn that is known needs no call");
    const int reads = this->log.reads;
    this->Find(this->one, "t2");
    EXPECT_EQ(this->log.reads, reads);
  }
}

TEST_F(HistoryStory, ALongLineIsKeptInPieces)
{
  const std::string input(40000, 'x');
  Transcript before;
  std::string previous;
  std::string expected;
  for (int i = 0; i < 4; ++i) {
    const std::string id = "t" + std::to_string(i);
    EXPECT_TRUE(this->Keep(this->one, id, previous, input, before));
    expected += input + "answer to " + input + "\n";
    before = std::make_shared<const std::string>(expected);
    previous = id;
  }
  EXPECT_EQ(this->Find(this->two, "t3"), expected);
}

TEST_F(HistoryStory, AnotherOrganisationFindsNothing)
{
  EXPECT_TRUE(this->Keep(this->one, "t1", "", "a", nullptr));
  EXPECT_EQ(this->Find(this->one, "t1", "rival"), "missing");
  EXPECT_EQ(this->Find(this->two, "t1", "rival"), "missing");
  EXPECT_EQ(this->Find(this->two, "t9"), "missing");
}

TEST_F(HistoryStory, WithoutTheLogNothingIsClaimed)
{
  EXPECT_TRUE(this->Keep(this->one, "t1", "", "a", nullptr));
  this->log.down = true;
  EXPECT_EQ(this->Find(this->two, "t1"), "unknown");
  EXPECT_EQ(this->Find(this->two, "t9"), "unknown");
  EXPECT_FALSE(this->Keep(this->one, "t2", "t1", "b", nullptr));
  EXPECT_EQ(this->Find(this->one, "t1"), "aanswer to a\n")
    << "what this host holds is served";
}

TEST_F(HistoryStory, ALostAnswerKeepsTheTurnOnce)
{
  this->log.lostAnswers = 1;
  EXPECT_TRUE(this->Keep(this->one, "t1", "", "a", nullptr));
  EXPECT_EQ(this->Find(this->two, "t1"), "aanswer to a\n");
}

TEST_F(HistoryStory, AFullCacheForgetsAndReadsAgain)
{
  ProgramSettings small = Settings();
  small.maxHistoryBytes = 3000;
  HistoryService host(this->persistent, small);
  const std::string input(900, 'x');
  for (int i = 0; i < 20; ++i) {
    EXPECT_TRUE(this->Keep(host, "t" + std::to_string(i), "", input, nullptr));
  }
  EXPECT_LE(host.CachedBytes(), small.maxHistoryBytes);
  EXPECT_EQ(this->Find(host, "t0"), input + "answer to " + input + "\n");
  EXPECT_EQ(this->Find(host, "t1"), input + "answer to " + input + "\n");
}

TEST_F(HistoryStory, APartitionThatIsDownStopsNoTurn)
{
  const auto partitions = PartitionsOf(Settings().turns, "t1");
  this->log.downPartitions = { partitions[0] };
  EXPECT_TRUE(this->Keep(this->one, "t1", "", "a", nullptr));
  {
    SCOPED_TRACE("nobody claims that the turn is not there");
    EXPECT_EQ(this->Find(this->two, "t1"), "unknown");
  }
  this->log.downPartitions.clear();
  EXPECT_EQ(this->Find(this->two, "t1"), "aanswer to a\n");
}

} // namespace
} // namespace tanagerseam
