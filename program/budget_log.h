// The ledgers of all partitions of the budget log, as far as this host reads
// them. Private to this library.
//
//   BudgetLog budgetLog(log, settings, onApplied);
//   budgetLog.Append(partition, record, deadline, [](bool aApplied) { ... });
//   budgetLog.Refresh(partition, deadline, [](bool aCurrent) { ... });
//   budgetLog.RefreshIfOld(partition, deadline, [](bool aCurrent) { ... });
//
// A record states the sum that this host knows, so a partition that was not
// read lately is read before a record is appended to it.
#ifndef TANAGERSEAM_PROGRAM_BUDGET_LOG_H_
#define TANAGERSEAM_PROGRAM_BUDGET_LOG_H_

#include <functional>
#include <map>

#include "program/budget_ledger.h"

namespace tanagerseam {

class BudgetLog
{
public:
  using Done = std::function<void(bool)>;
  // A record was applied to a ledger for the first time.
  using OnApplied = std::function<void(const BudgetRecord&, bool aAccepted)>;

  // A partition that was read longer ago than the log's retention divided by
  // this is read again before a record is appended. A sum that a record states
  // can be so much older than the record.
  static constexpr int kReadsPerRetention = 6;

  BudgetLog(RetryingLog& aLog, ProgramSettings aSettings, OnApplied aOnApplied);

  LogPartition PartitionOf(const std::string& aProgram) const;
  // Created if missing and marked as used.
  BudgetLedger& Ledger(const LogPartition& aPartition);
  // Appends the record with the sum that is known of its program. aDone(true):
  // it is applied to the ledger. After aDone(false) it may still be appended.
  void Append(const LogPartition& aPartition,
              BudgetRecord aRecord,
              TimePoint aDeadline,
              Done aDone);
  // Applies the records that others have written.
  void Refresh(const LogPartition& aPartition, TimePoint aDeadline, Done aDone);
  // The same for a partition that was not read lately. For another one aDone
  // runs before this returns.
  void RefreshIfOld(const LogPartition& aPartition,
                    TimePoint aDeadline,
                    Done aDone);
  // Drops partitions not in use for aIdle, and what ledgers need not know any
  // more.
  void Forget(Millis aIdle, Millis aKeepFor, TimePoint aNow);

private:
  struct Partition
  {
    BudgetLedger ledger;
    // All records written before this time are applied; unset before the first
    // reading.
    TimePoint currentAt{};
    TimePoint lastUsedAt{};
  };

  Partition& Touch(const LogPartition& aPartition);
  bool IsOld(const Partition& aPartition) const;
  void AppendCurrent(const LogPartition& aPartition,
                     BudgetRecord aRecord,
                     TimePoint aDeadline,
                     const Done& aDone);
  void OnPage(const LogPartition& aPartition,
              const RecordPage& aPage,
              TimePoint aSentAt);
  void Apply(Partition& aPartition,
             int64_t aOffset,
             const BudgetRecord& aRecord);

  RetryingLog& log;
  ProgramSettings settings;
  OnApplied onApplied;
  std::map<LogPartition, Partition> partitions;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_PROGRAM_BUDGET_LOG_H_
