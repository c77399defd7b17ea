// Makes records of programs durable: in the log, or replicated to other daemons
// while the log is down.
//
//   SubmittedRecord record = persister.Submit(program, body);
//   // ... work that does not depend on the record ...
//   if (persister.AwaitDurable(record, mayReplicate).IsDurable()) { answer }
//
// While the log is down a record is replicated together with all pending
// records of its program. Otherwise a daemon that was chosen later to store
// them, in place of one that died, would write the newest record to the log
// before the older ones, and ClusterState permanently rejects a turn that is
// out of order. Cost: during an outage each turn replicates all of the
// program's turns since its start, O(turns of the outage) bytes for each turn.
#ifndef TANAGERSEAM_DAEMON_RECORD_KEEPER_H_
#define TANAGERSEAM_DAEMON_RECORD_KEEPER_H_

#include <optional>
#include <string>

#include "daemon/context.h"

namespace tanagerseam {

// Whether and where a record became durable.
enum class Durability
{
  // Applied by the local replay and accepted.
  kLogged,
  // The log is down; enough other daemons hold a replica, see
  // ClusterLoop::Replicate.
  kReplicated,
  // Applied by the local replay and rejected.
  kRejected,
  // None of these before the timeout. The record may still reach the log.
  kFailed,
};

struct PersistOutcome
{
  Durability durability = Durability::kFailed;
  Verdict verdict = Verdict::kAccepted;

  bool IsDurable() const
  {
    return this->durability == Durability::kLogged ||
           this->durability == Durability::kReplicated;
  }
};

// A submitted record whose durability is not known yet.
struct SubmittedRecord
{
  // Empty if the queue of records for the log is full.
  std::optional<RecordTicket> ticket;
  std::string program;
};

class RecordPersister
{
public:
  explicit RecordPersister(const DaemonContext& aContext);

  // Queues the record without waiting for it.
  SubmittedRecord Submit(const std::string& aProgram, RecordBody aBody);

  // Waits for the verdict or for enough replicas. aMayReplicate: replicas are
  // sufficient while the log is down and this daemon may act as owner of the
  // program's slot.
  PersistOutcome AwaitDurable(const SubmittedRecord& aRecord,
                              bool aMayReplicate);

  // Submit and AwaitDurable in one call.
  PersistOutcome Persist(const std::string& aProgram,
                         RecordBody aBody,
                         bool aMayReplicate);

private:
  // False if too few other daemons store the record, or if it is not pending
  // any more.
  bool Replicate(const SubmittedRecord& aRecord);

  const DaemonContext& context;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_DAEMON_RECORD_KEEPER_H_
