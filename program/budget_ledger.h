// Sums of the programs of one partition of the budget log. Private to this
// library.
//
//   BudgetLedger ledger;
//   ledger.Apply(offset, record, writtenAfter, now);   // in offset order
//   if (ledger.IsAccepted(record.id)) { ... }
//   record.known = ledger.KnownSum(record.program);    // before it is appended
//
// The sum before a record is the one that the record states, and the changes by
// the records from the stated offset on. A record that states none goes by the
// records that were applied before it.
//
// Invariant: all readers that see the records from the stated offset on reach
// the same verdict on a grant, wherever they began to read.
#ifndef TANAGERSEAM_PROGRAM_BUDGET_LEDGER_H_
#define TANAGERSEAM_PROGRAM_BUDGET_LEDGER_H_

#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "program/program.h"

namespace tanagerseam {

class BudgetLedger
{
public:
  // Applies the record at aOffset, which is not before NextOffset. It was
  // written between aWrittenAfter (unset: at any time) and aNow. True if it is
  // a grant that fits into the budget. A duplicate changes nothing and returns
  // the verdict of the first record.
  bool Apply(int64_t aOffset,
             const BudgetRecord& aRecord,
             TimePoint aWrittenAfter,
             TimePoint aNow);
  // The records before aOffset can't be read any more. What is known stays.
  void SkipTo(int64_t aOffset);
  // The records before aOffset are applied; there may be some that can't be
  // parsed.
  void AdvanceTo(int64_t aOffset);

  int64_t NextOffset() const { return this->nextOffset; }
  bool IsAccepted(const std::string& aId) const;
  bool HasApplied(const std::string& aId) const;
  // Tokens of a program that are granted and not returned.
  int64_t OutstandingTokens(const std::string& aProgram) const;
  // The same, as a record that is appended now states it.
  BudgetSum KnownSum(const std::string& aProgram) const;

  // The sums that no record written since aStatedBefore states, of programs
  // that were in use within aKeepFor.
  std::vector<ProgramSum> SumsToCheckpoint(TimePoint aStatedBefore,
                                           Millis aKeepFor,
                                           TimePoint aNow) const;
  // Drops programs that were not in use within aKeepFor, and the ids and
  // changes of records that have expired.
  void Forget(Millis aKeepFor, Millis aRetention, TimePoint aNow);

private:
  struct Change
  {
    int64_t offset = 0;
    int64_t tokens = 0;
    TimePoint appliedAt{};
  };
  struct Program
  {
    int64_t outstandingTokens = 0;
    // Those of records that have not expired, newest last. A writer may state a
    // sum from before any of them.
    std::deque<Change> changes;
    // The newest record that states the sum was written after this time.
    TimePoint statedAfter{};
    // Of the last grant, accepted or not, or return; and when it was read.
    int64_t usedOffset = 0;
    TimePoint usedAt{};
  };
  struct Verdict
  {
    bool accepted = false;
    TimePoint appliedAt{};
  };

  // The sum before a record that states aKnown of the program.
  int64_t SumBefore(const std::string& aName,
                    const Program& aProgram,
                    const BudgetSum& aKnown) const;
  // The tokens that the record adds to the sum; aSum is the one before it.
  static int64_t TokensOf(const BudgetRecord& aRecord, int64_t aSum);
  void ApplyCheckpoint(const BudgetRecord& aRecord,
                       TimePoint aWrittenAfter,
                       TimePoint aNow);
  // The record may be the second copy of one that expired unread.
  bool MayRepeatUnread(const BudgetRecord& aRecord) const;

  // Offset of the first record that is not applied yet.
  int64_t nextOffset = 0;
  // Where the records begin that were applied without a gap.
  int64_t firstOffset = 0;
  std::unordered_map<std::string, Program> programs;
  std::unordered_map<std::string, Verdict> verdicts;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_PROGRAM_BUDGET_LEDGER_H_
