// Replication of records to other daemons while the log is down.
#include <gtest/gtest.h>

#include "daemon/record_keeper.h"
#include "daemon/replica_store.h"
#include "daemon/testing/one_daemon.h"

namespace tanagerseam {
namespace {

class ReplicationInOutageTest : public SingleDaemonTest
{
protected:
  ReplicationInOutageTest()
    : SingleDaemonTest(Millis(50))
    , persister(this->context)
  {
    this->log.SetDown(true);
    this->journal.Start(Millis(50));
  }

  Durability PersistFinish(const std::string& aProgram, int64_t aCall)
  {
    CallFinished body;
    body.program = aProgram;
    body.call = aCall;
    return this->persister.Persist(aProgram, body, true).durability;
  }

  RecordPersister persister;
};

TEST_F(ReplicationInOutageTest, ReplicatesAllPendingRecordsOfProgram)
{
  EXPECT_EQ(this->PersistFinish("p", 1), Durability::kReplicated);
  EXPECT_EQ(this->PersistFinish("q", 1), Durability::kReplicated);
  EXPECT_EQ(this->PersistFinish("p", 2), Durability::kReplicated);
  ASSERT_EQ(this->replicatedBatches.size(), 3U);
  EXPECT_EQ(this->replicatedBatches[1].size(), 1U);
  ASSERT_EQ(this->replicatedBatches[2].size(), 2U);
  EXPECT_EQ(this->replicatedBatches[2][0], this->replicatedBatches[0][0]);
  {
    SCOPED_TRACE("a replica stores each record once");
    ReplicaStore store(this->journal);
    for (const auto& texts : this->replicatedBatches) {
      EXPECT_TRUE(store.Store(texts));
    }
    EXPECT_EQ(store.Size(), 3U);
  }
}

} // namespace
} // namespace tanagerseam
