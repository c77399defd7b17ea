// This daemon's replica of the log: the state replayed from it, the records
// that this daemon submitted and that are not replayed yet (pending), and the
// verdicts on them.
//
// Usage:
//
//   Journal journal(settings, service);
//   journal.Start(timeout);
//   auto verdict = journal.SubmitAndWait(RequestStarted{ ... }, timeout);
//   if (verdict && verdict->verdict == Verdict::kAccepted) { dispatch }
//
// Invariants:
// - A verdict is returned only after the local replay has applied the record.
// - ProgramView is the replayed program with this daemon's pending records
//   applied by the same rules as in the replay.
// - The version of the configuration in force never decreases, whether versions
//   arrive through the log or from peers.
// Lock order: the mutex is taken last, after every other lock of the daemon;
// callbacks run without it.
#ifndef TANAGERSEAM_DAEMON_JOURNAL_H_
#define TANAGERSEAM_DAEMON_JOURNAL_H_

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "daemon/daemon_settings.h"
#include "desired/desired.h"
#include "eventlog/eventlog.h"
#include "state/state.h"

namespace tanagerseam {

// A parsed configuration that requests are served by; immutable once published.
struct ConfigInForce
{
  int64_t version = 0;
  DesiredState desired;
  ConfigVersion source;
};

// The owner of a slot according to a peer's replay.
struct OwnerHint
{
  std::string host;
  std::string peerAddress;
  int64_t epoch = 0;
};

// The result of applying a record at its offset; for claims, the slots that
// were won.
struct RecordVerdict
{
  Verdict verdict = Verdict::kAccepted;
  int64_t offset = 0;
  std::vector<int> slots;
};

// Identifies a submitted record by its position in this daemon's sequence.
struct RecordTicket
{
  std::string incarnation;
  uint64_t sequence = 0;
  // The encoded record, as appended to the log; used for replication.
  std::string text;
};

class Journal
{
public:
  Journal(const DaemonSettings& aSettings, LogService& aService);
  ~Journal();

  // Replays the log up to its current end, within aTimeout, then follows it.
  // False if the replay failed; following starts all the same.
  bool Start(Millis aTimeout);
  void Stop();

  // Queues a record for the log. Empty if the queue is full.
  std::optional<RecordTicket> Submit(RecordBody aBody);
  // Waits for the verdict; empty if there is none within aTimeout.
  std::optional<RecordVerdict> Wait(const RecordTicket& aTicket,
                                    Millis aTimeout);
  std::optional<RecordVerdict> SubmitAndWait(RecordBody aBody, Millis aTimeout);
  // Queues an encoded record of another daemon under its original header. False
  // if the queue is full.
  bool SubmitEncoded(std::string aText);
  // Whether the replay has applied a record with this header.
  bool HasSeen(const RecordHeader& aHeader) const;

  // Runs aRead on the replayed state with the mutex held, so aRead must be
  // short.
  template<typename Read>
  auto With(Read aRead) const
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    return aRead(const_cast<const ClusterState&>(*this->state));
  }

  // The pending records of a program, encoded, in the order of submission.
  std::vector<std::string> EncodedPendingRecords(
    const std::string& aProgram) const;

  std::optional<ProgramState> ProgramView(const std::string& aId) const;
  std::shared_ptr<const ConfigInForce> Config() const;
  // Puts a configuration from a peer in force if its version is newer.
  void AdoptConfig(const ConfigVersion& aConfig);

  // Slot owners according to a peer's replay, used until the local replay has
  // caught up. Soft state: an owner verifies its ownership by its own replay.
  void SetOwnerHints(std::map<int, OwnerHint> aOwners);
  OwnerHint FindOwnerHint(int aSlot) const;

  // True while appends or reads fail or hang; a hanging log is detected within
  // a second.
  bool LogFailing() const;
  // What LogFailing is decided from, for log lines.
  LogFields LogHealth() const;
  // True if the newest append or read failed, or before Start.
  bool LogRequestsFail() const;
  TimePoint LastLogResponse() const;
  // True once the replay has reached the end of the log.
  bool CaughtUp() const { return this->caughtUp; }
  // The offset after the last entry that was read from the log.
  int64_t Position() const;
  // Records queued for the log.
  size_t WaitingRecords() const;
  // Waits until no record is queued; false if aTimeout passes first.
  bool Flush(Millis aTimeout);

  std::string Incarnation() const;
  // Starts a new incarnation with new sequence numbers, after this daemon was
  // expelled.
  void NewIncarnation();

  // Called after each applied record on the replay thread, without the mutex.
  using OnApplied = std::function<void(const Record&, const RecordVerdict&)>;
  void SetOnApplied(OnApplied aOnApplied) { this->onApplied = aOnApplied; }

private:
  using RecordKey = std::pair<std::string, uint64_t>;

  void Apply(const LogEntry& aEntry);
  void PublishConfig(const ConfigVersion& aVersion);
  void Resync();
  void DropReplayedRecords();
  void RemoveFromProgram(const std::string& aProgram, const RecordKey& aKey);
  // Whether records are pending and the log has not answered for
  // kLogHangTimeout.
  bool LogHangs() const;

  const DaemonSettings& settings;
  LogService& service;
  std::unique_ptr<LogWriter> writer;
  std::unique_ptr<LogFollower> follower;
  OnApplied onApplied;

  mutable std::mutex mutex;
  std::condition_variable verdictArrived;
  std::unique_ptr<ClusterState> state;
  std::string incarnation;
  uint64_t nextSequence = 1;
  // Submitted records that the replay has not applied yet.
  std::map<RecordKey, std::shared_ptr<const Record>> pending;
  // When pending last became non-empty or the replay last applied one of them.
  TimePoint pendingProgressAt{};
  std::map<std::string, std::vector<RecordKey>> pendingByProgram;
  std::map<RecordKey, RecordVerdict> verdicts;
  std::shared_ptr<const ConfigInForce> config;
  std::map<int, OwnerHint> ownerHints;
  std::atomic<bool> caughtUp{ false };
  std::atomic<bool> stopping{ false };
};

} // namespace tanagerseam

#endif // TANAGERSEAM_DAEMON_JOURNAL_H_
