#include "daemon/record_keeper.h"

#include <algorithm>

namespace tanagerseam {

namespace {

// Longest wait for a verdict while the log is known to fail.
constexpr Millis kVerdictWaitInOutage(50);

} // namespace

RecordPersister::RecordPersister(const DaemonContext& aContext)
  : context(aContext)
{
}

SubmittedRecord
RecordPersister::Submit(const std::string& aProgram, RecordBody aBody)
{
  return { this->context.journal.Submit(std::move(aBody)), aProgram };
}

PersistOutcome
RecordPersister::AwaitDurable(const SubmittedRecord& aRecord,
                              bool aMayReplicate)
{
  if (!aRecord.ticket) {
    return {};
  }
  Journal& journal = this->context.journal;
  const Millis timeout = journal.LogFailing()
                           ? kVerdictWaitInOutage
                           : this->context.settings.verdictTimeout;
  auto verdict = journal.Wait(*aRecord.ticket, timeout);
  const int slot = FindOwner(this->context, ProgramKey(aRecord.program)).slot;
  if (!verdict && aMayReplicate && this->context.mayActAsOwner(slot) &&
      this->Replicate(aRecord) && this->context.mayActAsOwner(slot)) {
    this->context.metrics.Count("tanagerseam_records_replicated_total", {});
    return { Durability::kReplicated, Verdict::kAccepted };
  }
  if (!verdict) {
    verdict = journal.Wait(*aRecord.ticket, kVerdictWaitInOutage);
  }
  if (!verdict) {
    return {};
  }
  const bool accepted = verdict->verdict == Verdict::kAccepted;
  return { accepted ? Durability::kLogged : Durability::kRejected,
           verdict->verdict };
}

bool
RecordPersister::Replicate(const SubmittedRecord& aRecord)
{
  const auto texts =
    this->context.journal.EncodedPendingRecords(aRecord.program);
  const bool isPending =
    std::find(texts.begin(), texts.end(), aRecord.ticket->text) != texts.end();
  return isPending && this->context.replicate(texts);
}

PersistOutcome
RecordPersister::Persist(const std::string& aProgram,
                         RecordBody aBody,
                         bool aMayReplicate)
{
  return this->AwaitDurable(this->Submit(aProgram, std::move(aBody)),
                            aMayReplicate);
}

} // namespace tanagerseam
