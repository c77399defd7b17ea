// Rebuilds the replicated state by replaying the log.
//
// Usage:
//
//   auto replayed = Replay(service, kSlotCount, Millis(10000));
//   if (auto* state = std::get_if<ClusterState>(&replayed)) { ... }
//
// The log truncates old records. A replay from offset 0 needs no snapshot; one
// that starts later, or that loses records to truncation while reading, needs a
// snapshot that covers every record before the oldest one still in the log.
#ifndef TANAGERSEAM_STATE_BOOTSTRAP_H_
#define TANAGERSEAM_STATE_BOOTSTRAP_H_

#include <functional>
#include <optional>
#include <vector>

#include "eventlog/eventlog.h"
#include "state/cluster_state.h"

namespace tanagerseam {

// Number of slots (hash partitions of keys; see ClusterState::SlotOf). Must be
// the same on every daemon and constant for the life of a log stream.
constexpr int kSlotCount = 64;

// Applies pages of the log to a ClusterState.
//
// Invariant: while State() is set, every record before Position() has been
// applied to it. While State() is empty, `buffered` holds every record from
// `replayStart` on, so the first snapshot with covers + 1 >= replayStart
// restores the state. Memory is bounded by the records between two snapshots.
class Replayer
{
public:
  // Called after each record is applied.
  using Observer = std::function<
    void(const ClusterState&, const Record&, const ApplyOutcome&)>;

  explicit Replayer(int aSlotCount, Observer aObserver = {});

  // Processes a page read from Position(); entries already processed are
  // skipped.
  void Feed(const LogPage& aPage);
  // Next offset to read.
  int64_t Position() const { return this->position; }
  // Empty while truncated records are not covered by a snapshot seen so far.
  const std::optional<ClusterState>& State() const { return this->state; }

private:
  // If records between Position() and aFirst were truncated, discards the state
  // and restarts the replay at aFirst.
  void DiscardTruncated(int64_t aFirst);
  void ProcessEntry(const LogEntry& aEntry);
  // Restores the state from aSnapshot and the buffered records after it, unless
  // the snapshot leaves a gap or is invalid.
  void TryRestore(const Snapshot& aSnapshot);
  void Apply(int64_t aOffset, const Record& aRecord);

  struct BufferedRecord
  {
    int64_t offset = 0;
    Record record;
  };

  const int slotCount;
  const Observer observer;
  int64_t position = 0;
  int64_t replayStart = 0;
  std::optional<ClusterState> state;
  std::vector<BufferedRecord> buffered;
};

// Feeds aReplayer up to the log's end as reported by the first successful read.
// Fails with kLogUnavailable if that end is not reached within aLimit, and with
// kInternalError if truncated records are not covered by a snapshot.
Result<Done>
CatchUp(LogService& aService, Replayer& aReplayer, Millis aLimit);

// Replays the log from offset 0 into a new state; fails as CatchUp does.
Result<ClusterState>
Replay(LogService& aService, int aSlotCount, Millis aLimit);

} // namespace tanagerseam

#endif // TANAGERSEAM_STATE_BOOTSTRAP_H_
