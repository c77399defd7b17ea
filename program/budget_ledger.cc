#include "program/budget_ledger.h"

#include <algorithm>

namespace tanagerseam {

int64_t
BudgetLedger::SumBefore(const std::string& aName,
                        const Program& aProgram,
                        const BudgetSum& aKnown) const
{
  int64_t sum = aKnown.outstandingTokens;
  for (const Change& change : aProgram.changes) {
    sum += change.offset >= aKnown.offset ? change.tokens : 0;
  }
  const bool known =
    this->firstOffset == 0 || aProgram.statedAfter != TimePoint{};
  if (known && sum != aProgram.outstandingTokens) {
    LogWarn("budget_sum_differs",
            { { "program", aName },
              { "outstanding", std::to_string(aProgram.outstandingTokens) },
              { "stated", std::to_string(sum) },
              { "from", std::to_string(aKnown.offset) } });
  }
  return sum;
}

int64_t
BudgetLedger::TokensOf(const BudgetRecord& aRecord, int64_t aSum)
{
  if (aRecord.kind == BudgetRecordKind::kReturn) {
    return -aRecord.tokens;
  }
  return aSum + aRecord.tokens <= aRecord.budget ? aRecord.tokens : 0;
}

bool
BudgetLedger::MayRepeatUnread(const BudgetRecord& aRecord) const
{
  return aRecord.known && aRecord.known->offset < this->firstOffset;
}

bool
BudgetLedger::Apply(int64_t aOffset,
                    const BudgetRecord& aRecord,
                    TimePoint aWrittenAfter,
                    TimePoint aNow)
{
  this->nextOffset = aOffset + 1;
  const auto applied = this->verdicts.find(aRecord.id);
  if (applied != this->verdicts.end()) {
    return applied->second.accepted;
  }
  Verdict& verdict = this->verdicts[aRecord.id];
  verdict.appliedAt = aNow;
  if (aRecord.kind == BudgetRecordKind::kCheckpoint) {
    this->ApplyCheckpoint(aRecord, aWrittenAfter, aNow);
    return false;
  }
  Program& program = this->programs[aRecord.program];
  const int64_t sum =
    aRecord.known ? this->SumBefore(aRecord.program, program, *aRecord.known)
                  : program.outstandingTokens;
  const int64_t tokens = TokensOf(aRecord, sum);
  program.outstandingTokens = sum + tokens;
  program.usedOffset = aOffset;
  program.usedAt = aNow;
  if (aRecord.known) {
    program.statedAfter = aWrittenAfter;
  }
  // Later records that state a sum from before this offset must not subtract a
  // return once more.
  const bool isReturn = aRecord.kind == BudgetRecordKind::kReturn;
  if (tokens != 0 && !(isReturn && this->MayRepeatUnread(aRecord))) {
    program.changes.push_back({ aOffset, tokens, aNow });
  }
  verdict.accepted = aRecord.kind == BudgetRecordKind::kGrant &&
                     sum + aRecord.tokens <= aRecord.budget;
  return verdict.accepted;
}

void
BudgetLedger::ApplyCheckpoint(const BudgetRecord& aRecord,
                              TimePoint aWrittenAfter,
                              TimePoint aNow)
{
  if (!aRecord.known) {
    return;
  }
  const int64_t from = aRecord.known->offset;
  for (const ProgramSum& stated : aRecord.sums) {
    const bool isNew = this->programs.count(stated.program) == 0;
    Program& program = this->programs[stated.program];
    program.outstandingTokens = this->SumBefore(
      stated.program, program, { from, stated.outstandingTokens });
    program.statedAfter = aWrittenAfter;
    const TimePoint usedAt = aNow - stated.idle;
    if (isNew) {
      program.usedAt = usedAt;
    } else if (program.usedOffset < from) {
      program.usedAt = std::min(program.usedAt, usedAt);
    }
  }
}

void
BudgetLedger::SkipTo(int64_t aOffset)
{
  this->nextOffset = std::max(this->nextOffset, aOffset);
  this->firstOffset = this->nextOffset;
}

void
BudgetLedger::AdvanceTo(int64_t aOffset)
{
  this->nextOffset = std::max(this->nextOffset, aOffset);
}

bool
BudgetLedger::IsAccepted(const std::string& aId) const
{
  const auto applied = this->verdicts.find(aId);
  return applied != this->verdicts.end() && applied->second.accepted;
}

bool
BudgetLedger::HasApplied(const std::string& aId) const
{
  return this->verdicts.count(aId) > 0;
}

int64_t
BudgetLedger::OutstandingTokens(const std::string& aProgram) const
{
  const auto found = this->programs.find(aProgram);
  return found == this->programs.end() ? 0 : found->second.outstandingTokens;
}

BudgetSum
BudgetLedger::KnownSum(const std::string& aProgram) const
{
  return { this->nextOffset, this->OutstandingTokens(aProgram) };
}

std::vector<ProgramSum>
BudgetLedger::SumsToCheckpoint(TimePoint aStatedBefore,
                               Millis aKeepFor,
                               TimePoint aNow) const
{
  std::vector<ProgramSum> sums;
  for (const auto& entry : this->programs) {
    const Program& program = entry.second;
    const auto idle = std::chrono::duration_cast<Millis>(aNow - program.usedAt);
    // A program that no record names counts as having used nothing.
    const bool counts = program.outstandingTokens != 0;
    if (counts && program.statedAfter < aStatedBefore && idle < aKeepFor) {
      sums.push_back({ entry.first, program.outstandingTokens, idle });
    }
  }
  return sums;
}

void
BudgetLedger::Forget(Millis aKeepFor, Millis aRetention, TimePoint aNow)
{
  for (auto it = this->programs.begin(); it != this->programs.end();) {
    std::deque<Change>& changes = it->second.changes;
    while (!changes.empty() && aNow - changes.front().appliedAt > aRetention) {
      changes.pop_front();
    }
    const bool idle = aNow - it->second.usedAt > aKeepFor + aRetention;
    it = idle ? this->programs.erase(it) : std::next(it);
  }
  for (auto it = this->verdicts.begin(); it != this->verdicts.end();) {
    const bool expired = aNow - it->second.appliedAt > aRetention;
    it = expired ? this->verdicts.erase(it) : std::next(it);
  }
}

} // namespace tanagerseam
