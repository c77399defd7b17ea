// Writes the sums of programs once more before the records that state them
// expire. Private to this library.
//
//   BudgetCheckpoints checkpoints(budgetLog, settings, isOwner);
//   checkpoints.Tick(now, keepFor);   // a few times a second
//
// Each partition has one owner among the hosts. The owner reads it
// kReadsPerRetention times in the log's retention, and writes the sums that no
// record of the last kStatementsPerRetention-th of it states. Hosts that
// disagree about the owner write a checkpoint twice, which changes nothing. A
// host that has just started does not know how old the records are that it
// reads, and takes them for old.
#ifndef TANAGERSEAM_PROGRAM_BUDGET_CHECKPOINTS_H_
#define TANAGERSEAM_PROGRAM_BUDGET_CHECKPOINTS_H_

#include <functional>
#include <map>
#include <random>

#include "program/budget_log.h"

namespace tanagerseam {

class BudgetCheckpoints
{
public:
  static constexpr int kStatementsPerRetention = 3;

  using IsOwner = std::function<bool(const std::string& aPartition)>;

  BudgetCheckpoints(BudgetLog& aLog,
                    const ProgramSettings& aSettings,
                    IsOwner aIsOwner);

  // Reads a few of the partitions that are due. Sums of programs that were not
  // in use within aKeepFor are left out.
  void Tick(TimePoint aNow, Millis aKeepFor);

private:
  // Writes the sums of the partition, which was just read.
  void Write(const LogPartition& aPartition, Millis aKeepFor);
  std::string NextId();

  BudgetLog& log;
  const Millis logRetention;
  const std::string incarnation;
  IsOwner isOwner;
  // When each partition is read next.
  std::map<LogPartition, TimePoint> dueAt;
  std::mt19937_64 random;
  uint64_t nextId = 1;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_PROGRAM_BUDGET_CHECKPOINTS_H_
