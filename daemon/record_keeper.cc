#include "daemon/record_keeper.h"

#include <algorithm>

namespace tanagerseam {

namespace {

// Wait for a verdict while the log is known to fail.
constexpr Millis kFailingWait(50);

} // namespace

RecordKeeper::RecordKeeper(const DaemonContext& aContext)
  : context(aContext)
{
}

PendingRecord
RecordKeeper::Begin(const std::string& aProgram, RecordBody aBody)
{
  return { this->context.journal.Submit(std::move(aBody)), aProgram };
}

PersistOutcome
RecordKeeper::Await(const PendingRecord& aRecord, bool aMayReplicate)
{
  if (!aRecord.ticket) {
    return {};
  }
  Journal& journal = this->context.journal;
  const Millis limit =
    journal.LogFailing() ? kFailingWait : this->context.settings.verdictTimeout;
  auto verdict = journal.Wait(*aRecord.ticket, limit);
  const int slot = FindOwner(this->context, ProgramKey(aRecord.program)).slot;
  if (!verdict && aMayReplicate && this->context.mayActAsOwner(slot) &&
      this->Replicate(aRecord) && this->context.mayActAsOwner(slot)) {
    this->context.metrics.Count("tanagerseam_records_replicated_total", {});
    return { Persisted::kReplicated, Verdict::kAccepted };
  }
  if (!verdict) {
    verdict = journal.Wait(*aRecord.ticket, kFailingWait);
  }
  if (!verdict) {
    return {};
  }
  const bool accepted = verdict->verdict == Verdict::kAccepted;
  return { accepted ? Persisted::kLogged : Persisted::kRejected,
           verdict->verdict };
}

bool
RecordKeeper::Replicate(const PendingRecord& aRecord)
{
  const auto texts = this->context.journal.PendingOf(aRecord.program);
  const bool waits =
    std::find(texts.begin(), texts.end(), aRecord.ticket->text) != texts.end();
  return waits && this->context.replicate(texts);
}

PersistOutcome
RecordKeeper::Persist(const std::string& aProgram,
                      RecordBody aBody,
                      bool aMayReplicate)
{
  return this->Await(this->Begin(aProgram, std::move(aBody)), aMayReplicate);
}

} // namespace tanagerseam
