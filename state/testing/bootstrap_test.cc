#include <gtest/gtest.h>

#include "state/state.h"
#include "state/testing/fake_log.h"

namespace tanagerseam {
namespace {

constexpr Millis kReplayTimeout(300);

// Writes records to a log and applies them to the state that a replay of the
// log must give.
class ReplayTest : public testing::Test
{
protected:
  void Write(const RecordBody& aBody)
  {
    const Record record{ { "host-1", "i", ++this->sequence }, aBody };
    this->expectedState.Apply(this->log.End(), record);
    this->log.Append({ EncodeRecord(record) });
  }

  void WriteConfigs(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      const int64_t base = this->expectedState.Config().version;
      this->Write(ConfigApplied{ base, Json{ { "n", base + 1 } }, "ann", 5 });
    }
  }

  // Writes a snapshot of all records so far, but only after aLater further
  // configuration records.
  void WriteSnapshotAfter(int aLater)
  {
    const Snapshot snapshot{ this->log.End() - 1,
                             this->expectedState.ToJson() };
    this->WriteConfigs(aLater);
    this->Write(snapshot);
  }

  void ExpectReplayGivesExpectedState()
  {
    auto replayed = Replay(this->log, kSlotCount, kReplayTimeout);
    ASSERT_TRUE(IsOk(replayed)) << std::get<Refusal>(replayed).detail;
    EXPECT_EQ(std::get<ClusterState>(replayed).ToJson(),
              this->expectedState.ToJson());
  }

  testing_support::FakeLog log;
  ClusterState expectedState{ kSlotCount };
  uint64_t sequence = 0;
};

TEST_F(ReplayTest, ReplayOfEmptyLogGivesEmptyState)
{
  ExpectReplayGivesExpectedState();
}

TEST_F(ReplayTest, ReplaysUntruncatedLogWithoutSnapshot)
{
  Write(MemberJoined{ "z", "p", "c", "a" });
  WriteConfigs(10);
  ExpectReplayGivesExpectedState();
}

TEST_F(ReplayTest, RestoresTruncatedRecordsFromSnapshot)
{
  Write(MemberJoined{ "z", "p", "c", "a" });
  WriteConfigs(5);
  WriteSnapshotAfter(4);
  WriteConfigs(2);
  WriteSnapshotAfter(0);
  WriteConfigs(3);
  for (int64_t first = 1; first <= 6; ++first) {
    SCOPED_TRACE(first);
    log.firstRetainedOffset = first;
    ExpectReplayGivesExpectedState();
  }
  SCOPED_TRACE("only the second snapshot covers the truncated records");
  log.firstRetainedOffset = 8;
  ExpectReplayGivesExpectedState();
}

TEST_F(ReplayTest, RejectsSnapshotThatLeavesGap)
{
  WriteConfigs(5);
  WriteSnapshotAfter(4);
  log.firstRetainedOffset = 6;
  auto replayed = Replay(log, kSlotCount, kReplayTimeout);
  ASSERT_FALSE(IsOk(replayed));
  EXPECT_EQ(std::get<Refusal>(replayed).reason, RefusalReason::kInternalError);
}

TEST_F(ReplayTest, RestartsWhenRecordsAreTruncatedDuringReplay)
{
  WriteConfigs(9);
  WriteSnapshotAfter(0);
  WriteConfigs(2);
  Replayer replayer(kSlotCount);
  replayer.Feed(std::get<LogPage>(log.Read(0, Millis(0))));
  EXPECT_EQ(replayer.State()->Config().version, 3);
  log.firstRetainedOffset = 7;
  log.maxPageEntries = 1;
  replayer.Feed(std::get<LogPage>(log.Read(replayer.Position(), Millis(0))));
  EXPECT_FALSE(replayer.State());
  ASSERT_TRUE(IsOk(CatchUp(log, replayer, kReplayTimeout)));
  EXPECT_EQ(replayer.State()->ToJson(), expectedState.ToJson());
}

TEST_F(ReplayTest, SkipsMalformedRecordsAndSnapshots)
{
  WriteConfigs(2);
  WriteSnapshotAfter(0);
  log.Append({ "not a record" });
  Write(Snapshot{ log.End() - 1, Json{ { "no", "state" } } });
  ClusterState other(kSlotCount / 2);
  Write(Snapshot{ log.End() - 1, other.ToJson() });
  WriteSnapshotAfter(1);
  log.firstRetainedOffset = 4;
  ExpectReplayGivesExpectedState();
}

TEST_F(ReplayTest, ReportsUnavailableLog)
{
  log.unavailable = true;
  auto replayed = Replay(log, kSlotCount, kReplayTimeout);
  ASSERT_FALSE(IsOk(replayed));
  EXPECT_EQ(std::get<Refusal>(replayed).reason, RefusalReason::kLogUnavailable);
}

} // namespace
} // namespace tanagerseam
