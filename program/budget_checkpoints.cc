#include "program/budget_checkpoints.h"

#include <algorithm>

namespace tanagerseam {

namespace {

// Bounds the size of a record.
constexpr size_t kMaxSumsPerRecord = 1000;
// Spreads the readings of a host that owns many partitions.
constexpr int kMaxReadingsPerTick = 8;
// For one reading or append. What fails is due again soon.
constexpr Millis kCallTimeout(1000);
constexpr Millis kRetryAfter(500);

} // namespace

BudgetCheckpoints::BudgetCheckpoints(BudgetLog& aLog,
                                     const ProgramSettings& aSettings,
                                     IsOwner aIsOwner)
  : log(aLog)
  , logRetention(aSettings.logRetention)
  , incarnation(aSettings.incarnation)
  , isOwner(std::move(aIsOwner))
  , random(StableHash(aSettings.incarnation))
{
  // Not all at once after a start.
  const Millis interval = this->logRetention / BudgetLog::kReadsPerRetention;
  std::uniform_int_distribution<int64_t> draw(0, interval.count());
  for (const LogPartition& partition : AllPartitions(aSettings.budgets)) {
    this->dueAt[partition] = BootNow() + Millis(draw(this->random));
  }
}

std::string
BudgetCheckpoints::NextId()
{
  return this->incarnation + "-checkpoint-" + std::to_string(this->nextId++);
}

void
BudgetCheckpoints::Tick(TimePoint aNow, Millis aKeepFor)
{
  int readings = 0;
  for (auto& entry : this->dueAt) {
    if (entry.second > aNow || readings >= kMaxReadingsPerTick) {
      continue;
    }
    const LogPartition partition = entry.first;
    entry.second = aNow + this->logRetention / BudgetLog::kReadsPerRetention;
    if (!this->isOwner(NameOf(partition))) {
      continue;
    }
    ++readings;
    this->log.Refresh(partition,
                      aNow + kCallTimeout,
                      [this, partition, aKeepFor](bool aCurrent) {
                        if (aCurrent) {
                          this->Write(partition, aKeepFor);
                        } else {
                          this->dueAt[partition] = BootNow() + kRetryAfter;
                        }
                      });
  }
}

void
BudgetCheckpoints::Write(const LogPartition& aPartition, Millis aKeepFor)
{
  const TimePoint now = BootNow();
  const TimePoint statedBefore =
    now - this->logRetention / kStatementsPerRetention;
  const std::vector<ProgramSum> sums =
    this->log.Ledger(aPartition).SumsToCheckpoint(statedBefore, aKeepFor, now);
  for (size_t begin = 0; begin < sums.size(); begin += kMaxSumsPerRecord) {
    const size_t end = std::min(sums.size(), begin + kMaxSumsPerRecord);
    BudgetRecord record;
    record.kind = BudgetRecordKind::kCheckpoint;
    record.id = this->NextId();
    record.holder = this->incarnation;
    record.sums.assign(sums.begin() + static_cast<std::ptrdiff_t>(begin),
                       sums.begin() + static_cast<std::ptrdiff_t>(end));
    LogInfo("budget_checkpoint",
            { { "topic", aPartition.topic },
              { "partition", std::to_string(aPartition.number) },
              { "programs", std::to_string(record.sums.size()) } });
    this->log.Append(aPartition,
                     std::move(record),
                     now + kCallTimeout,
                     [this, aPartition](bool aApplied) {
                       if (!aApplied) {
                         this->dueAt[aPartition] = BootNow() + kRetryAfter;
                       }
                     });
  }
}

} // namespace tanagerseam
