#include "program/budget_log.h"

namespace tanagerseam {

BudgetLog::BudgetLog(RetryingLog& aLog,
                     ProgramSettings aSettings,
                     OnApplied aOnApplied)
  : log(aLog)
  , settings(std::move(aSettings))
  , onApplied(std::move(aOnApplied))
{
}

LogPartition
BudgetLog::PartitionOf(const std::string& aProgram) const
{
  return tanagerseam::PartitionOf(this->settings.budgets, aProgram);
}

BudgetLog::Partition&
BudgetLog::Touch(const LogPartition& aPartition)
{
  Partition& partition = this->partitions[aPartition];
  partition.lastUsedAt = BootNow();
  return partition;
}

BudgetLedger&
BudgetLog::Ledger(const LogPartition& aPartition)
{
  return this->Touch(aPartition).ledger;
}

bool
BudgetLog::IsOld(const Partition& aPartition) const
{
  return aPartition.currentAt == TimePoint{} ||
         BootNow() - aPartition.currentAt >
           this->settings.logRetention / kReadsPerRetention;
}

void
BudgetLog::Append(const LogPartition& aPartition,
                  BudgetRecord aRecord,
                  TimePoint aDeadline,
                  Done aDone)
{
  this->RefreshIfOld(
    aPartition,
    aDeadline,
    [this, aPartition, record = std::move(aRecord), aDeadline, aDone](
      bool aCurrent) {
      if (!aCurrent) {
        aDone(false);
        return;
      }
      // An earlier append that got no answer may have taken effect.
      if (this->Ledger(aPartition).HasApplied(record.id)) {
        aDone(true);
        return;
      }
      this->AppendCurrent(aPartition, record, aDeadline, aDone);
    });
}

void
BudgetLog::AppendCurrent(const LogPartition& aPartition,
                         BudgetRecord aRecord,
                         TimePoint aDeadline,
                         const Done& aDone)
{
  aRecord.known = this->Ledger(aPartition).KnownSum(aRecord.program);
  const std::string bytes = Encode(aRecord);
  const TimePoint sentAt = BootNow();
  this->log.Append({ aPartition },
                   bytes,
                   aDeadline,
                   [this, aPartition, aRecord, sentAt, aDeadline, aDone](
                     const AppendResult& aResult) {
                     const auto* appended = std::get_if<Appended>(&aResult);
                     if (appended == nullptr) {
                       aDone(false);
                       return;
                     }
                     Partition& partition = this->Touch(aPartition);
                     if (appended->offset > partition.ledger.NextOffset()) {
                       this->Refresh(aPartition, aDeadline, aDone);
                       return;
                     }
                     if (appended->offset == partition.ledger.NextOffset()) {
                       this->Apply(partition, appended->offset, aRecord);
                       partition.currentAt =
                         std::max(partition.currentAt, sentAt);
                     }
                     aDone(true);
                   });
}

void
BudgetLog::RefreshIfOld(const LogPartition& aPartition,
                        TimePoint aDeadline,
                        Done aDone)
{
  if (!this->IsOld(this->Touch(aPartition))) {
    aDone(true);
    return;
  }
  this->Refresh(aPartition, aDeadline, std::move(aDone));
}

void
BudgetLog::Refresh(const LogPartition& aPartition,
                   TimePoint aDeadline,
                   Done aDone)
{
  const TimePoint sentAt = BootNow();
  this->log.ReadAll(aPartition,
                    this->Touch(aPartition).ledger.NextOffset(),
                    aDeadline,
                    [this, aPartition, sentAt, done = std::move(aDone)](
                      const ReadResult& aRead) {
                      const auto* page = std::get_if<RecordPage>(&aRead);
                      if (page != nullptr) {
                        this->OnPage(aPartition, *page, sentAt);
                      }
                      done(page != nullptr);
                    });
}

void
BudgetLog::OnPage(const LogPartition& aPartition,
                  const RecordPage& aPage,
                  TimePoint aSentAt)
{
  Partition& partition = this->Touch(aPartition);
  BudgetLedger& ledger = partition.ledger;
  if (aPage.first > ledger.NextOffset()) {
    LogInfo("budget_records_expired",
            { { "topic", aPartition.topic },
              { "partition", std::to_string(aPartition.number) },
              { "from", std::to_string(ledger.NextOffset()) },
              { "first", std::to_string(aPage.first) },
              { "end", std::to_string(aPage.end) } });
    ledger.SkipTo(aPage.first);
  }
  for (const LogRecord& entry : aPage.records) {
    if (entry.offset < ledger.NextOffset()) {
      continue;
    }
    if (const auto record = ParseBudgetRecord(entry.data)) {
      this->Apply(partition, entry.offset, *record);
    }
    ledger.AdvanceTo(entry.offset + 1);
  }
  partition.currentAt = std::max(partition.currentAt, aSentAt);
}

void
BudgetLog::Apply(Partition& aPartition,
                 int64_t aOffset,
                 const BudgetRecord& aRecord)
{
  const bool isFirst = !aPartition.ledger.HasApplied(aRecord.id);
  const bool accepted =
    aPartition.ledger.Apply(aOffset, aRecord, aPartition.currentAt, BootNow());
  if (isFirst) {
    this->onApplied(aRecord, accepted);
  }
}

void
BudgetLog::Forget(Millis aIdle, Millis aKeepFor, TimePoint aNow)
{
  for (auto it = this->partitions.begin(); it != this->partitions.end();) {
    it->second.ledger.Forget(aKeepFor, this->settings.logRetention, aNow);
    const bool idle = aNow - it->second.lastUsedAt > aIdle;
    it = idle ? this->partitions.erase(it) : std::next(it);
  }
}

} // namespace tanagerseam
