#include "state/bootstrap.h"

#include <algorithm>
#include <thread>

namespace tanagerseam {

namespace {

// Delay before a failed read is retried.
constexpr Millis kReadRetryDelay(100);
// Long-poll wait of a read after an empty page, when records that the log
// reported cannot be read yet.
constexpr Millis kReadPollWait(200);

} // namespace

Replayer::Replayer(int aSlotCount, Observer aObserver)
  : slotCount(aSlotCount)
  , observer(std::move(aObserver))
  , state(ClusterState(aSlotCount))
{
}

void
Replayer::Feed(const LogPage& aPage)
{
  this->DiscardTruncated(aPage.firstOffset);
  for (const LogEntry& entry : aPage.entries) {
    // Entries of a page that was read twice are already processed.
    if (entry.offset < this->position) {
      continue;
    }
    this->DiscardTruncated(entry.offset);
    this->ProcessEntry(entry);
    this->position = entry.offset + 1;
  }
}

void
Replayer::DiscardTruncated(int64_t aFirst)
{
  if (aFirst <= this->position) {
    return;
  }
  this->state.reset();
  this->buffered.clear();
  this->replayStart = aFirst;
  this->position = aFirst;
}

void
Replayer::ProcessEntry(const LogEntry& aEntry)
{
  Result<Record> decoded = DecodeRecord(aEntry.text);
  auto* record = std::get_if<Record>(&decoded);
  if (record == nullptr) {
    // Decoding is deterministic: every replica skips the same entries, so the
    // replicas stay identical.
    return;
  }
  if (this->state) {
    this->Apply(aEntry.offset, *record);
    return;
  }
  this->buffered.push_back({ aEntry.offset, *record });
  if (auto* snapshot = std::get_if<Snapshot>(&record->body)) {
    this->TryRestore(*snapshot);
  }
}

void
Replayer::TryRestore(const Snapshot& aSnapshot)
{
  if (aSnapshot.covers + 1 < this->replayStart) {
    return;
  }
  try {
    ClusterState parsed = ClusterState::FromJson(aSnapshot.state);
    if (parsed.Slots().size() != size_t(this->slotCount)) {
      return;
    }
    this->state = std::move(parsed);
  } catch (const Json::exception&) {
    // Invalid snapshot; a later one may be valid.
    return;
  }
  for (const BufferedRecord& entry : this->buffered) {
    if (entry.offset > aSnapshot.covers) {
      this->Apply(entry.offset, entry.record);
    }
  }
  this->buffered.clear();
}

void
Replayer::Apply(int64_t aOffset, const Record& aRecord)
{
  const ApplyOutcome outcome = this->state->Apply(aOffset, aRecord);
  if (this->observer) {
    this->observer(*this->state, aRecord, outcome);
  }
}

Result<Done>
CatchUp(LogService& aService, Replayer& aReplayer, Millis aLimit)
{
  const TimePoint deadline = Now() + aLimit;
  std::optional<int64_t> target;
  std::string failure = "no response";
  Millis wait(0);
  do {
    auto outcome = aService.Read(aReplayer.Position(), wait);
    if (auto* failed = std::get_if<LogFailure>(&outcome)) {
      failure = failed->detail;
      std::this_thread::sleep_for(kReadRetryDelay);
      continue;
    }
    const auto& page = std::get<LogPage>(outcome);
    target = target.value_or(page.endOffset);
    aReplayer.Feed(page);
    if (aReplayer.Position() >= *target) {
      if (aReplayer.State()) {
        return Done{};
      }
      return MakeRefusal(RefusalReason::kInternalError,
                         "log records were truncated that no snapshot covers");
    }
    wait = page.entries.empty() ? kReadPollWait : Millis(0);
  } while (Now() < deadline);
  return MakeRefusal(
    RefusalReason::kLogUnavailable,
    "log replay timed out before reaching the end of the log: " + failure);
}

Result<ClusterState>
Replay(LogService& aService, int aSlotCount, Millis aLimit)
{
  Replayer replayer(aSlotCount);
  Result<Done> caughtUp = CatchUp(aService, replayer, aLimit);
  if (auto* refusal = std::get_if<Refusal>(&caughtUp)) {
    return *refusal;
  }
  return *replayer.State();
}

} // namespace tanagerseam
