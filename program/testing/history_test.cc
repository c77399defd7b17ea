// A stored turn is found by any host with all earlier turns in order, a missing
// turn is reported as missing, and neither is reported without the log.
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "program/kept_turns.h"
#include "program/testing/memory_log.h"

namespace tanagerseam {
namespace {

// Longer than turns are kept.
constexpr Millis kLogRetention(300000);

class HistoryServiceTest : public ::testing::Test
{
protected:
  static ProgramSettings Settings()
  {
    ProgramSettings settings;
    settings.incarnation = "host.1";
    settings.logRetention = kLogRetention;
    return settings;
  }

  // Text of a turn, "missing" or "unavailable".
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
                       : "unavailable";
                 }
               });
    this->Run();
    return found;
  }

  bool Store(HistoryService& aHost,
             const std::string& aId,
             const std::string& aPrevious,
             const std::string& aInput,
             Transcript aPrior)
  {
    bool stored = false;
    aHost.Store(
      { aId, "club", aPrevious, aInput, "answer to " + aInput + "\n" },
      std::move(aPrior),
      BootNow() + Millis(300),
      [&stored](bool aStored) { stored = aStored; });
    this->Run();
    return stored;
  }

  void Run()
  {
    this->io.restart();
    this->io.run();
  }

  restinio::asio_ns::io_context io;
  MemoryLog log{ io };
  RetryingLog retryingLog{ io, log };
  HistoryService one{ retryingLog, Settings() };
  HistoryService two{ retryingLog, Settings() };
};

TEST_F(HistoryServiceTest, AnotherHostFindsAllTurns)
{
  EXPECT_TRUE(this->Store(this->one, "t1", "", "a", nullptr));
  const std::string first = this->Find(this->two, "t1");
  EXPECT_EQ(first, "aanswer to a\n");
  EXPECT_TRUE(this->Store(
    this->two, "t2", "t1", "b", std::make_shared<const std::string>(first)));
  EXPECT_EQ(this->Find(this->one, "t2"), "aanswer to a\nbanswer to b\n");
  {
    SCOPED_TRACE("a cached turn is found without a read");
    const int reads = this->log.reads;
    this->Find(this->one, "t2");
    EXPECT_EQ(this->log.reads, reads);
  }
}

TEST_F(HistoryServiceTest, StoresLongTranscriptInSeveralRecords)
{
  const std::string input(40000, 'x');
  Transcript prior;
  std::string previous;
  std::string expected;
  for (int i = 0; i < 4; ++i) {
    const std::string id = "t" + std::to_string(i);
    EXPECT_TRUE(this->Store(this->one, id, previous, input, prior));
    expected += input + "answer to " + input + "\n";
    prior = std::make_shared<const std::string>(expected);
    previous = id;
  }
  EXPECT_EQ(this->Find(this->two, "t3"), expected);
}

// Guards against review/1: the records of the first turns of a long
// conversation expired while it went on, and its last turn was no longer found.
TEST_F(HistoryServiceTest, ATurnOutlastsTheRecordsOfTheTurnsBefore)
{
  ProgramSettings forgetful = Settings();
  forgetful.logRetention = CompletedTurn{}.keepFor;
  HistoryService host(this->retryingLog, forgetful);
  const std::string input(70000, 'x');
  EXPECT_TRUE(this->Store(host, "t1", "", input, nullptr));
  const auto first =
    std::make_shared<const std::string>(this->Find(host, "t1"));
  EXPECT_TRUE(this->Store(host, "t2", "t1", "b", first));
  const std::string second = this->Find(host, "t2");
  {
    SCOPED_TRACE("the record of the first turn has expired");
    const auto partitions = CandidatePartitions(Settings().turns, "t1");
    this->log.ExpirePartition(partitions[0]);
    const int newestReads = this->log.newestReads;
    EXPECT_EQ(this->Find(this->two, "t1"), *first) << "its copy is left";
    EXPECT_GT(this->log.newestReads, newestReads);
  }
  EXPECT_EQ(this->Find(this->two, "t2"), second);
}

// A log that keeps records for less time than turns are kept.
class ForgetfulLogTest : public HistoryServiceTest
{
protected:
  static constexpr Millis kKeepFor{ 60000 };

  static ProgramSettings Forgetful(const std::string& aIncarnation)
  {
    ProgramSettings settings = Settings();
    settings.incarnation = aIncarnation;
    settings.logRetention = Millis(20000);
    return settings;
  }

  // Stores a first turn that need not be kept for longer than aKeepFor.
  bool StoreFor(HistoryService& aHost, const std::string& aId, Millis aKeepFor)
  {
    bool stored = false;
    aHost.Store({ aId, "club", "", "in " + aId, " out\n", aKeepFor },
                nullptr,
                BootNow() + Millis(300),
                [&stored](bool aStored) { stored = aStored; });
    this->Run();
    return stored;
  }

  size_t CopyCount()
  {
    const PartitionLayout layout = Settings().keptTurns;
    size_t count = 0;
    for (int number = 0; number < layout.partitionsPerTopic; ++number) {
      count += this->log.Newest({ layout.topicPrefix + "0", number }).size();
    }
    return count;
  }

  HistoryService killed{ retryingLog, Forgetful("host-1.1") };
  HistoryService other{ retryingLog, Forgetful("host-2.1") };
};

// Guards against turns that are told to be unknown within their retention, once
// the log has forgotten their records and their host was restarted (review/15).
TEST_F(ForgetfulLogTest, ATurnOutlivesItsRecordAndItsHost)
{
  EXPECT_TRUE(this->StoreFor(this->killed, "t1", kKeepFor));
  EXPECT_TRUE(this->Store(this->killed,
                          "t2",
                          "t1",
                          "b",
                          std::make_shared<const std::string>("in t1 out\n")));
  this->log.Expire();
  EXPECT_EQ(this->Find(this->other, "t1"), "in t1 out\n");
  EXPECT_EQ(this->Find(this->other, "t2"), "in t1 out\nbanswer to b\n");
  EXPECT_EQ(this->Find(this->other, "t1", "rival"), "missing");
  EXPECT_EQ(this->Find(this->other, "t9"), "missing");
  {
    SCOPED_TRACE("it is not said to be missing while copies can't be read");
    HistoryService third(this->retryingLog, Forgetful("host-3.1"));
    this->log.unavailablePartitions =
      CandidatePartitions(Settings().keptTurns, "t1");
    EXPECT_EQ(this->Find(third, "t1"), "unavailable");
  }
}

TEST_F(ForgetfulLogTest, ManyTurnsShareAPartition)
{
  constexpr int kTurns = 200;
  this->log.maxKeysOfAPage = 3;
  for (int i = 0; i < kTurns; ++i) {
    EXPECT_TRUE(
      this->StoreFor(this->killed, "t" + std::to_string(i), kKeepFor));
  }
  this->log.Expire();
  for (int i = 0; i < kTurns; ++i) {
    const std::string id = "t" + std::to_string(i);
    EXPECT_EQ(this->Find(this->other, id), "in " + id + " out\n");
  }
}

// Guards against a log that fills up with copies, which it forgets none of.
TEST_F(ForgetfulLogTest, CopiesAreDroppedOnceTheirTurnsNeedNotBeKept)
{
  EXPECT_TRUE(this->StoreFor(this->killed, "t1", kKeepFor));
  EXPECT_TRUE(this->StoreFor(this->killed, "t2", 2 * kKeepFor));
  EXPECT_EQ(this->CopyCount(), 2u);
  const TimePoint start = BootNow();
  this->killed.Tick(start + kKeepFor);
  this->Run();
  EXPECT_EQ(this->CopyCount(), 2u);
  this->killed.Tick(start + kKeepFor + Millis(20000));
  this->Run();
  EXPECT_EQ(this->CopyCount(), 1u);
}

TEST_F(ForgetfulLogTest, CopiesOfAHostThatHasEndedAreSweptByTheOwner)
{
  // Its retention was over long ago.
  constexpr Millis kOver{ -120000 };
  EXPECT_TRUE(this->StoreFor(this->killed, "t1", kKeepFor));
  const std::string copy = KeptTurns::CopyOf("t2", "record", kOver);
  const LogPartition partition =
    CandidatePartitions(Settings().keptTurns, "t2")[0];
  this->log.Append(
    partition, copy, Millis(300), [](const AppendResult& /*aResult*/) {});
  this->Run();
  EXPECT_EQ(this->CopyCount(), 2u);
  this->other.SetOwner([](const std::string& /*aPartition*/) { return true; });
  this->other.Tick(BootNow() + KeptTurns::kSweepInterval);
  this->Run();
  EXPECT_EQ(this->CopyCount(), 1u);
}

TEST_F(ForgetfulLogTest, ALogThatKeepsRecordsLongerGetsNoCopies)
{
  EXPECT_TRUE(this->Store(this->one, "t1", "", "a", nullptr));
  EXPECT_EQ(this->CopyCount(), 0u);
  EXPECT_EQ(this->Find(this->two, "t9"), "missing");
  EXPECT_EQ(this->log.newestReads, 0);
}

// Guards against an upgrade in which hosts of the build before can't read the
// records of this one, or the other way round.
TEST_F(ForgetfulLogTest, RecordsAreThoseOfTheBuildBefore)
{
  const LogPartition partition = CandidatePartitions(Settings().turns, "t1")[0];
  const nlohmann::json former = {
    { "id", "t1" },
    { "organisation", "club" },
    { "previous", "" },
    { "text", nlohmann::json::binary({ 'a', 'b' }) },
  };
  const auto bytes = nlohmann::json::to_cbor(former);
  this->log.Append(partition,
                   std::string(bytes.begin(), bytes.end()),
                   Millis(300),
                   [](const AppendResult& /*aResult*/) {});
  this->Run();
  EXPECT_EQ(this->Find(this->other, "t1"), "ab");
  {
    SCOPED_TRACE("a record of this build, as the build before reads it");
    EXPECT_TRUE(this->StoreFor(this->killed, "t2", kKeepFor));
    std::vector<LogRecord> records;
    this->log.Read(CandidatePartitions(Settings().turns, "t2")[0],
                   0,
                   Millis(300),
                   [&records](const ReadResult& aResult) {
                     records = std::get<RecordPage>(aResult).records;
                   });
    this->Run();
    ASSERT_EQ(records.size(), 1u);
    const auto fields = nlohmann::json::from_cbor(records[0].data);
    EXPECT_EQ(fields.size(), former.size());
    EXPECT_EQ(fields.at("id"), "t2");
    EXPECT_EQ(fields.at("previous"), "");
  }
}

TEST_F(HistoryServiceTest, HidesTurnsFromOtherOrganisations)
{
  EXPECT_TRUE(this->Store(this->one, "t1", "", "a", nullptr));
  EXPECT_EQ(this->Find(this->one, "t1", "rival"), "missing");
  EXPECT_EQ(this->Find(this->two, "t1", "rival"), "missing");
  EXPECT_EQ(this->Find(this->two, "t9"), "missing");
}

TEST_F(HistoryServiceTest, ReportsUnavailableWithoutLog)
{
  EXPECT_TRUE(this->Store(this->one, "t1", "", "a", nullptr));
  this->log.down = true;
  EXPECT_EQ(this->Find(this->two, "t1"), "unavailable");
  EXPECT_EQ(this->Find(this->two, "t9"), "unavailable");
  EXPECT_FALSE(this->Store(this->one, "t2", "t1", "b", nullptr));
  EXPECT_EQ(this->Find(this->one, "t1"), "aanswer to a\n")
    << "cached turns are found without the log";
}

TEST_F(HistoryServiceTest, RetriedStoreDoesNotDuplicateTurn)
{
  this->log.lostAcks = 1;
  EXPECT_TRUE(this->Store(this->one, "t1", "", "a", nullptr));
  EXPECT_EQ(this->Find(this->two, "t1"), "aanswer to a\n");
}

TEST_F(HistoryServiceTest, EvictsFromFullCacheAndReadsAgain)
{
  ProgramSettings small = Settings();
  small.maxHistoryCacheBytes = 3000;
  HistoryService host(this->retryingLog, small);
  const std::string input(900, 'x');
  for (int i = 0; i < 20; ++i) {
    EXPECT_TRUE(this->Store(host, "t" + std::to_string(i), "", input, nullptr));
  }
  EXPECT_LE(host.CachedBytes(), small.maxHistoryCacheBytes);
  EXPECT_EQ(this->Find(host, "t0"), input + "answer to " + input + "\n");
  EXPECT_EQ(this->Find(host, "t1"), input + "answer to " + input + "\n");
}

TEST_F(HistoryServiceTest, StoresInFallbackPartitionWhenFirstIsDown)
{
  const auto partitions = CandidatePartitions(Settings().turns, "t1");
  this->log.unavailablePartitions = { partitions[0] };
  EXPECT_TRUE(this->Store(this->one, "t1", "", "a", nullptr));
  {
    SCOPED_TRACE("the turn is not reported as missing");
    EXPECT_EQ(this->Find(this->two, "t1"), "unavailable");
  }
  this->log.unavailablePartitions.clear();
  EXPECT_EQ(this->Find(this->two, "t1"), "aanswer to a\n");
}

} // namespace
} // namespace tanagerseam
