// A turn's record reaches the log through a peer when this host can't write it,
// whatever is lost on the way, and readers find one turn, however often its
// record was written.
#include <gtest/gtest.h>

#include <optional>

#include "gateway/record_relay.h"
#include "program/testing/host_log.h"
#include "program/testing/memory_log.h"

namespace tanagerseam {
namespace {

namespace net = restinio::asio_ns;

// What happens to a request at a peer.
enum class PeerFate
{
  kServes,
  kLostBeforeAppend,
  // Also stands for a lost answer.
  kLostAfterAppend,
  kBusy,
  kFull,
};

class FakePeers : public RecordPeers
{
public:
  explicit FakePeers(net::io_context& aIo)
    : io(aIo)
  {
  }

  std::vector<std::string> ReachingStore(const RegionSet&) override
  {
    std::vector<std::string> hosts;
    for (const auto& entry : this->fates) {
      hosts.push_back(entry.first);
    }
    return hosts;
  }

  uint64_t Append(const std::string& aHost,
                  const PeerRecord& aRecord,
                  Millis,
                  std::function<void(const PeerAppendAnswer&)> aDone) override
  {
    this->asked.push_back(aHost);
    this->records.push_back(aRecord);
    const uint64_t id = this->nextId++;
    net::post(this->io, [this, id, fate = this->fates[aHost], aRecord, aDone] {
      this->Serve(id, fate, aRecord, aDone);
    });
    return id;
  }

  void Cancel(uint64_t aRequest) override { this->cancelled.insert(aRequest); }

  std::map<std::string, PeerFate> fates;
  std::vector<std::string> asked;
  std::vector<PeerRecord> records;
  std::set<uint64_t> cancelled;
  // Of the peers, which share it.
  RecordRelay* relay = nullptr;

private:
  void Serve(uint64_t aId,
             PeerFate aFate,
             const PeerRecord& aRecord,
             const std::function<void(const PeerAppendAnswer&)>& aDone)
  {
    if (aFate == PeerFate::kLostBeforeAppend) {
      return;
    }
    if (aFate == PeerFate::kBusy || aFate == PeerFate::kFull) {
      aDone({ aFate == PeerFate::kBusy ? PeerAppendStatus::kBusy
                                       : PeerAppendStatus::kFull });
      return;
    }
    this->relay->AppendForPeer(
      aRecord, [this, aId, aFate, aDone](const PeerAppendAnswer& aAnswer) {
        const bool lost = aFate == PeerFate::kLostAfterAppend;
        if (!lost && this->cancelled.count(aId) == 0) {
          aDone(aAnswer);
        }
      });
  }

  net::io_context& io;
  uint64_t nextId = 1;
};

class RecordRelayTest : public ::testing::Test
{
protected:
  void SetUp() override { this->peers.relay = &this->peerRelay; }

  RecordRelaySettings RelaySettings()
  {
    return { true, [this](const auto& aPartition, const auto& aRecord) {
              return this->reader.IsTurnRecord(aPartition, aRecord);
            } };
  }

  // Stores a turn. Its result is in `stored` once there is one.
  void Store(const std::string& aId,
             const std::string& aPrevious = "",
             Transcript aPrior = nullptr,
             Millis aTime = Millis(2500))
  {
    this->stored.reset();
    this->startedAt = BootNow();
    this->history.Store(
      { aId, "club", aPrevious, "in " + aId, " out " + aId + "\n" },
      std::move(aPrior),
      this->startedAt + aTime,
      [this](TurnWrite aWrite, auto aDone) {
        this->relay.Append(std::move(aWrite), std::nullopt, aDone);
      },
      [this](bool aStored) { this->stored = aStored; });
  }

  // Runs until the turn is stored or has failed. Returns the time it took.
  Millis Finish()
  {
    while (!this->stored && BootNow() < this->startedAt + Millis(4000)) {
      this->RunFor(Millis(2));
    }
    return Millis(MillisBetween(this->startedAt, BootNow()));
  }

  void RunFor(Millis aTime)
  {
    this->io.restart();
    this->io.run_for(aTime);
  }

  // Runs until the log is known to be unavailable.
  void RunUntilUnavailable(const RetryingLog& aLog)
  {
    const TimePoint end = BootNow() + Millis(2000);
    while (!aLog.IsUnavailable(BootNow()) && BootNow() < end) {
      this->RunFor(Millis(2));
    }
    EXPECT_TRUE(aLog.IsUnavailable(BootNow()));
  }

  // The transcript that another host finds; empty if there is none.
  std::string Find(const std::string& aId)
  {
    std::string found;
    this->reader.Find("club",
                      aId,
                      BootNow() + Millis(300),
                      [&found](const HistoryResult& aResult) {
                        if (const auto* text =
                              std::get_if<Transcript>(&aResult)) {
                          found = **text;
                        }
                      });
    this->RunFor(Millis(30));
    return found;
  }

  double Relayed(const std::string& aResult) const
  {
    return this->metrics.Value("tanagerseam_records_relayed_total",
                               { { "result", aResult } });
  }

  net::io_context io{ 1 };
  MemoryLog store{ io };
  HostLog ownLog{ io, store };
  HostLog peerLog{ io, store };
  RetryingLog ownRetryingLog{ io, ownLog };
  RetryingLog peerRetryingLog{ io, peerLog };
  // A turn is one record: the log keeps it for longer than the turn.
  static ProgramSettings Settings()
  {
    ProgramSettings settings;
    settings.logRetention = 2 * CompletedTurn{}.keepFor;
    return settings;
  }

  HistoryService history{ ownRetryingLog, Settings() };
  HistoryService reader{ peerRetryingLog, Settings() };
  Metrics metrics;
  FakePeers peers{ io };
  RecordRelay relay{ io, ownRetryingLog, peers, RelaySettings(), metrics };
  RecordRelay peerRelay{ io, peerRetryingLog, peers, RelaySettings(), metrics };
  TimePoint startedAt{};
  std::optional<bool> stored;
};

TEST_F(RecordRelayTest, WritesAloneWhileItsLogAnswers)
{
  this->peers.fates = { { "a", PeerFate::kServes } };
  this->Store("t1");
  EXPECT_LT(this->Finish(), RecordRelay::kDirectTimeout);
  EXPECT_EQ(this->stored, true);
  this->RunFor(Millis(350));
  EXPECT_TRUE(this->peers.asked.empty());
  EXPECT_EQ(this->store.appends, 1);
}

TEST_F(RecordRelayTest, APeerWritesWhatThisHostCannot)
{
  this->peers.fates = { { "a", PeerFate::kServes } };
  this->Store("t1");
  this->Finish();
  const std::string first = this->Find("t1");
  this->ownLog.lost = true;
  this->Store("t2", "t1", std::make_shared<const std::string>(first));
  const Millis took = this->Finish();
  EXPECT_EQ(this->stored, true);
  EXPECT_GE(took, RecordRelay::kDirectTimeout);
  EXPECT_LT(took, RecordRelay::kDirectTimeout + RecordRelay::kPeerTimeout);
  EXPECT_EQ(this->Find("t2"), first + "in t2 out t2\n");
  EXPECT_EQ(this->Relayed("appended"), 1);
  {
    SCOPED_TRACE("the peer got the turn without the text before it");
    ASSERT_EQ(this->peers.records.size(), 1u);
    EXPECT_EQ(this->peers.records[0].data.find(first), std::string::npos);
  }
  {
    SCOPED_TRACE("a log known to be unavailable is not waited for");
    this->Store("t3");
    this->RunUntilUnavailable(this->ownRetryingLog);
    this->Store("t4");
    EXPECT_LT(this->Finish(), RecordRelay::kDirectTimeout);
    EXPECT_EQ(this->stored, true);
  }
  {
    SCOPED_TRACE("nothing is written again once the log is back");
    this->RunFor(Millis(100));
    const int appends = this->store.appends;
    this->ownLog.lost = false;
    this->RunFor(Millis(1700));
    EXPECT_EQ(this->store.appends, appends);
  }
}

TEST_F(RecordRelayTest, AsksTheNextPeerWhenOneIsLostOrBusy)
{
  this->ownLog.lost = true;
  for (const PeerFate fate : { PeerFate::kLostBeforeAppend,
                               PeerFate::kLostAfterAppend,
                               PeerFate::kBusy }) {
    SCOPED_TRACE(static_cast<int>(fate));
    const std::string turn = "t" + std::to_string(static_cast<int>(fate));
    this->peers.asked.clear();
    this->peers.fates = { { "a", fate }, { "b", PeerFate::kServes } };
    this->Store(turn);
    this->Finish();
    EXPECT_EQ(this->stored, true);
    EXPECT_EQ(this->peers.asked, (std::vector<std::string>{ "a", "b" }));
    EXPECT_EQ(this->Find(turn), "in " + turn + " out " + turn + "\n")
      << "one turn, also if both peers have written it";
  }
}

TEST_F(RecordRelayTest, EndsAsUnwrittenWithoutAPeer)
{
  this->ownLog.lost = true;
  {
    SCOPED_TRACE("no peer at all");
    this->Store("t1", "", nullptr, Millis(800));
    EXPECT_GE(this->Finish(), Millis(790));
    EXPECT_EQ(this->stored, false);
    EXPECT_EQ(this->Relayed("no_peer"), 1);
  }
  {
    SCOPED_TRACE("no more than three are asked");
    this->peers.fates = { { "a", PeerFate::kBusy },
                          { "b", PeerFate::kLostBeforeAppend },
                          { "c", PeerFate::kBusy },
                          { "d", PeerFate::kServes } };
    this->Store("t2", "", nullptr, Millis(1200));
    this->Finish();
    EXPECT_EQ(this->stored, false);
    EXPECT_EQ(this->peers.asked.size(), RecordRelay::kMaxPeers);
  }
  {
    SCOPED_TRACE("a full store is full for all");
    this->peers.asked.clear();
    this->peers.fates = { { "a", PeerFate::kFull },
                          { "b", PeerFate::kServes } };
    this->Store("t3", "", nullptr, Millis(800));
    this->Finish();
    EXPECT_EQ(this->stored, false);
    EXPECT_EQ(this->peers.asked.size(), 1u);
  }
  {
    SCOPED_TRACE("a peer that comes later is asked");
    this->peers.fates.clear();
    this->Store("t4");
    this->RunFor(Millis(500));
    this->peers.fates = { { "a", PeerFate::kServes } };
    this->Finish();
    EXPECT_EQ(this->stored, true);
  }
}

// Guards against a turn that is kept no longer than its record, since a peer
// wrote that alone.
TEST_F(RecordRelayTest, APeerWritesTheCopyOfATurnThatOutlastsItsRecord)
{
  ProgramSettings forgetful;
  forgetful.logRetention = CompletedTurn{}.keepFor / 3;
  HistoryService host(this->ownRetryingLog, forgetful);
  this->peers.fates = { { "a", PeerFate::kServes } };
  this->ownLog.lost = true;
  this->startedAt = BootNow();
  host.Store(
    { "t1", "club", "", "in t1", " out t1\n" },
    nullptr,
    this->startedAt + Millis(2500),
    [this](TurnWrite aWrite, auto aDone) {
      this->relay.Append(std::move(aWrite), std::nullopt, aDone);
    },
    [this](bool aStored) { this->stored = aStored; });
  this->Finish();
  EXPECT_EQ(this->stored, true);
  EXPECT_EQ(this->peers.records.size(), 2u);
  this->store.Expire();
  EXPECT_EQ(this->Find("t1"), "in t1 out t1\n");
}

// Guards against a slow store that is loaded further by all hosts that retry,
// and against a turn that is found under two ids.
TEST_F(RecordRelayTest, ASlowStoreHoldsTheTurnOnce)
{
  this->ownLog.delay = Millis(500);
  this->peerLog.delay = Millis(500);
  this->peers.fates = { { "a", PeerFate::kServes },
                        { "b", PeerFate::kServes },
                        { "c", PeerFate::kServes } };
  this->Store("t1");
  EXPECT_LT(this->Finish(), Millis(1300)) << "before this host's own attempts";
  EXPECT_EQ(this->stored, true);
  const int ownAppends = this->ownLog.appends;
  EXPECT_LE(this->peers.asked.size(), 2u) << "the first has answered then";
  this->RunFor(Millis(2500));
  EXPECT_EQ(this->ownLog.appends, ownAppends);
  EXPECT_EQ(static_cast<size_t>(this->peerLog.appends),
            this->peers.asked.size());
  this->peerLog.delay = Millis(0);
  EXPECT_EQ(this->Find("t1"), "in t1 out t1\n");
  for (const PeerRecord& record : this->peers.records) {
    EXPECT_TRUE(this->reader.IsTurnRecord(record.partition, record.data));
  }
}

TEST_F(RecordRelayTest, BoundsAndChecksWhatItWritesForPeers)
{
  std::vector<PeerAppendStatus> answers;
  const auto answer = [&answers](const PeerAppendAnswer& aAnswer) {
    answers.push_back(aAnswer.status);
  };
  {
    SCOPED_TRACE("only records of turns, in their partitions");
    this->peerRelay.AppendForPeer({ { "keyed.op", 0 }, "x" }, answer);
    EXPECT_EQ(answers.back(), PeerAppendStatus::kRejected);
    this->ownLog.lost = true;
    this->peers.fates = { { "a", PeerFate::kLostBeforeAppend } };
    this->Store("t1", "", nullptr, Millis(400));
    this->Finish();
    ASSERT_EQ(this->peers.records.size(), 1u);
    PeerRecord elsewhere = this->peers.records[0];
    elsewhere.partition.topic = "keyed.op";
    this->peerRelay.AppendForPeer(elsewhere, answer);
    EXPECT_EQ(answers.back(), PeerAppendStatus::kRejected);
    EXPECT_EQ(this->store.appends, 0);
  }
  {
    SCOPED_TRACE("so many at a time");
    answers.clear();
    for (size_t i = 0; i <= RecordRelay::kMaxAppendsForPeers; ++i) {
      this->peerRelay.AppendForPeer(this->peers.records[0], answer);
    }
    EXPECT_EQ(answers, std::vector{ PeerAppendStatus::kBusy });
    this->RunFor(Millis(50));
    EXPECT_EQ(answers.size(), RecordRelay::kMaxAppendsForPeers + 1);
  }
  {
    SCOPED_TRACE("nothing without the log, and at once");
    this->peerLog.lost = true;
    this->peerRetryingLog.Append(
      { { "topic", 0 } }, "own", BootNow() + Millis(2000), [](const auto&) {});
    this->RunUntilUnavailable(this->peerRetryingLog);
    answers.clear();
    this->peerRelay.AppendForPeer(this->peers.records[0], answer);
    EXPECT_EQ(answers, std::vector{ PeerAppendStatus::kUnavailable });
  }
}

} // namespace
} // namespace tanagerseam
