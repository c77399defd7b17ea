// Replicas of other daemons' records, stored while the log is down.
//
// A daemon that answers a call during a log outage first replicates the call's
// records to other daemons, so that its own crash loses nothing. Each daemon
// that stores them writes them to the log under their original header as soon
// as it can; ClusterState drops duplicates.
#ifndef TANAGERSEAM_DAEMON_REPLICA_STORE_H_
#define TANAGERSEAM_DAEMON_REPLICA_STORE_H_

#include <cstdint>
#include <mutex>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "daemon/journal.h"

namespace tanagerseam {

class ReplicaStore
{
public:
  explicit ReplicaStore(Journal& aJournal);

  // Stores encoded records, dropping duplicates. False, and none is stored, if
  // one can't be decoded or the store would exceed its bound.
  bool Store(const std::vector<std::string>& aTexts);
  // Unless the log is failing: queues the stored records that the log lacks and
  // drops those that the replay has applied. Called periodically.
  void RelayIfLogAvailable();
  // The same even if the log is failing, so that the stored records reach it
  // before any record that this daemon submits next. False if the queue is
  // full.
  bool RelayAll();
  size_t Size() const;

private:
  struct StoredRecord
  {
    RecordHeader header;
    std::string text;
    bool relayed = false;
  };

  // Host, incarnation and sequence.
  using HeaderKey = std::tuple<std::string, std::string, uint64_t>;

  static HeaderKey KeyOf(const RecordHeader& aHeader);
  bool RelayLocked();

  Journal& journal;
  mutable std::mutex mutex;
  // In the order of arrival, which is the order in which their daemons
  // submitted them.
  std::vector<StoredRecord> records;
  // Keys of all stored records, to drop duplicates.
  std::set<HeaderKey> storedKeys;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_DAEMON_REPLICA_STORE_H_
