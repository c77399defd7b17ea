#include <algorithm>

#include "program/program.h"

namespace tanagerseam {

namespace {

// For one try; Tick makes others.
constexpr Millis kReturnWithin(600);
// Programs whose partitions are read ahead of their next turn.
constexpr Millis kPrefetchWithin(2000);

} // namespace

BudgetService::BudgetService(PersistentLog& aLog, ProgramSettings aSettings)
  : log(aLog)
  , settings(std::move(aSettings))
{
}

std::string
BudgetService::NextId()
{
  return this->settings.incarnation + "-" + std::to_string(this->nextId++);
}

BudgetService::Partition&
BudgetService::PartitionFor(const std::string& aProgram)
{
  Partition& partition =
    this->partitions[PartitionOf(this->settings.budgets, aProgram)];
  partition.usedAt = BootNow();
  return partition;
}

void
BudgetService::Reserve(const std::string& aProgram,
                       int64_t aBudget,
                       int64_t aMost,
                       BudgetUse aUse,
                       TimePoint aGiveUpAt,
                       Callback aDone)
{
  Program& program = this->programs[aProgram];
  program.budget = aBudget;
  program.use = aUse;
  program.usedAt = BootNow();
  if (program.available >= aMost && program.waiters.empty()) {
    program.available -= aMost;
    ++program.inFlight;
    const bool low = program.available < aMost;
    const bool mayFit = program.refusedTokens == 0;
    if (low && mayFit && !program.asking && aUse == BudgetUse::kAhead) {
      this->Ask(aProgram,
                std::max(aMost, this->Ahead(program)),
                program.usedAt + kPrefetchWithin);
    }
    aDone(BudgetVerdict::kReserved);
    return;
  }
  program.waiters.push_back({ aMost, aGiveUpAt, std::move(aDone) });
  this->AskForWaiters(aProgram);
}

bool
BudgetService::Begins(const std::string& aProgram) const
{
  auto found = this->programs.find(aProgram);
  return found == this->programs.end() ||
         (!found->second.served && found->second.inFlight == 0 &&
          found->second.waiters.empty());
}

void
BudgetService::Settle(const std::string& aProgram, int64_t aMost, int64_t aUsed)
{
  auto found = this->programs.find(aProgram);
  if (found == this->programs.end()) {
    return;
  }
  Program& program = found->second;
  program.available += std::max<int64_t>(0, aMost - aUsed);
  program.inFlight = std::max(0, program.inFlight - 1);
  program.served = program.served || aUsed > 0;
  program.usedAt = BootNow();
  // A new sum may fit where the last one did not.
  program.refusedTokens = 0;
  this->ServeWaiters(aProgram);
  const bool giveBack = program.use == BudgetUse::kOnce &&
                        program.available > 0 && program.waiters.empty() &&
                        !program.asking && !program.unreturned;
  if (giveBack) {
    this->GiveBack(aProgram, program);
  }
}

int64_t
BudgetService::Ahead(const Program& aProgram) const
{
  return aProgram.use == BudgetUse::kOnce
           ? 0
           : aProgram.budget / this->settings.grantDivisor;
}

void
BudgetService::AskForWaiters(const std::string& aProgram)
{
  Program& program = this->programs[aProgram];
  if (program.asking || program.returning || program.waiters.empty()) {
    return;
  }
  // The budget may hold the turn once this host's own return is in the log.
  if (program.unreturned) {
    this->SendReturn(aProgram);
    return;
  }
  int64_t needed = 0;
  for (const Waiter& waiter : program.waiters) {
    needed += waiter.most;
  }
  int64_t tokens = std::max(needed - program.available, this->Ahead(program));
  // What did not fit before won't fit now: ask for just the first turn.
  if (program.refusedTokens > 0 && tokens >= program.refusedTokens) {
    tokens =
      std::max<int64_t>(1, program.waiters.front().most - program.available);
  }
  this->Ask(aProgram, tokens, program.waiters.front().giveUpAt);
}

void
BudgetService::Ask(const std::string& aProgram,
                   int64_t aTokens,
                   TimePoint aGiveUpAt)
{
  Program& program = this->programs[aProgram];
  program.asking = true;
  BudgetRecord record;
  record.id = this->NextId();
  record.program = aProgram;
  record.holder = this->settings.incarnation;
  record.tokens = aTokens;
  record.budget = program.budget;
  const LogPartition partition = PartitionOf(this->settings.budgets, aProgram);
  this->log.Append({ partition },
                   Encode(record),
                   aGiveUpAt,
                   [this, aProgram, record, aGiveUpAt](const auto& aResult) {
                     this->OnAppended(aProgram, record, aResult, aGiveUpAt);
                   });
}

void
BudgetService::Fold(Partition& aPartition, const std::string& aData)
{
  const auto record = ParseBudgetRecord(aData);
  if (!record) {
    return;
  }
  const int64_t before = aPartition.ledger.Granted(record->program);
  const bool holds = aPartition.ledger.Apply(*record);
  const bool first = aPartition.ledger.Granted(record->program) != before;
  if (holds && first && record->holder == this->settings.incarnation) {
    this->programs[record->program].available += record->tokens;
  }
  if (record->kind == BudgetRecordKind::kReturn) {
    auto program = this->programs.find(record->program);
    if (program != this->programs.end()) {
      program->second.refusedTokens = 0;
    }
  }
}

void
BudgetService::OnAppended(const std::string& aProgram,
                          const BudgetRecord& aRecord,
                          const AppendResult& aResult,
                          TimePoint aGiveUpAt)
{
  const auto* appended = std::get_if<Appended>(&aResult);
  if (appended == nullptr) {
    this->programs[aProgram].asking = false;
    this->FailWaiters(aProgram, BudgetVerdict::kUnknown);
    return;
  }
  Partition& partition = this->PartitionFor(aProgram);
  if (appended->offset < partition.next) {
    this->OnVerdict(aProgram, aRecord, aGiveUpAt);
    return;
  }
  if (appended->offset == partition.next) {
    ++partition.next;
    this->Fold(partition, Encode(aRecord));
    this->OnVerdict(aProgram, aRecord, aGiveUpAt);
    return;
  }
  this->log.ReadAll(
    PartitionOf(this->settings.budgets, aProgram),
    partition.next,
    aGiveUpAt,
    [this, aProgram, aRecord, aGiveUpAt](const ReadResult& aRead) {
      const auto* page = std::get_if<ReadRecords>(&aRead);
      if (page == nullptr) {
        this->programs[aProgram].asking = false;
        this->FailWaiters(aProgram, BudgetVerdict::kUnknown);
        return;
      }
      Partition& target = this->PartitionFor(aProgram);
      for (const LogRecord& entry : page->records) {
        if (entry.offset >= target.next) {
          target.next = entry.offset + 1;
          this->Fold(target, entry.data);
        }
      }
      this->OnVerdict(aProgram, aRecord, aGiveUpAt);
    });
}

void
BudgetService::OnVerdict(const std::string& aProgram,
                         const BudgetRecord& aRecord,
                         TimePoint)
{
  Partition& partition = this->PartitionFor(aProgram);
  Program& program = this->programs[aProgram];
  program.asking = false;
  if (!partition.ledger.Holds(aRecord.id)) {
    program.refusedTokens = aRecord.tokens;
    const bool justOne =
      !program.waiters.empty() &&
      aRecord.tokens <= program.waiters.front().most - program.available;
    if (justOne) {
      Waiter waiter = std::move(program.waiters.front());
      program.waiters.pop_front();
      LogInfo(
        "budget_spent",
        { { "program", aProgram },
          { "budget", std::to_string(program.budget) },
          { "granted", std::to_string(partition.ledger.Granted(aProgram)) },
          { "turn_most", std::to_string(waiter.most) } });
      waiter.done(BudgetVerdict::kSpent);
    }
  }
  this->ServeWaiters(aProgram);
  this->AskForWaiters(aProgram);
}

void
BudgetService::ServeWaiters(const std::string& aProgram)
{
  while (true) {
    Program& program = this->programs[aProgram];
    if (program.waiters.empty() ||
        program.available < program.waiters.front().most) {
      return;
    }
    Waiter waiter = std::move(program.waiters.front());
    program.waiters.pop_front();
    program.available -= waiter.most;
    ++program.inFlight;
    waiter.done(BudgetVerdict::kReserved);
  }
}

void
BudgetService::FailWaiters(const std::string& aProgram, BudgetVerdict aVerdict)
{
  Program& program = this->programs[aProgram];
  const TimePoint now = BootNow();
  std::deque<Waiter> rest;
  std::deque<Waiter> failed;
  for (Waiter& waiter : program.waiters) {
    (waiter.giveUpAt <= now ? failed : rest).push_back(std::move(waiter));
  }
  program.waiters = std::move(rest);
  for (Waiter& waiter : failed) {
    waiter.done(aVerdict);
  }
  this->AskForWaiters(aProgram);
}

void
BudgetService::GiveBack(const std::string& aProgram, Program& aState)
{
  BudgetRecord record;
  record.kind = BudgetRecordKind::kReturn;
  record.id = this->NextId();
  record.program = aProgram;
  record.holder = this->settings.incarnation;
  record.tokens = aState.available;
  record.budget = aState.budget;
  aState.available = 0;
  aState.unreturned = std::move(record);
  this->SendReturn(aProgram);
}

void
BudgetService::SendReturn(const std::string& aProgram)
{
  Program& state = this->programs[aProgram];
  state.returning = true;
  this->log.Append(
    { PartitionOf(this->settings.budgets, aProgram) },
    Encode(*state.unreturned),
    BootNow() + kReturnWithin,
    [this, aProgram](const AppendResult& aResult) {
      Program& program = this->programs[aProgram];
      program.returning = false;
      if (std::holds_alternative<LogFault>(aResult)) {
        LogWarn("budget_not_returned", { { "program", aProgram } });
        std::deque<Waiter> failed;
        failed.swap(program.waiters);
        for (Waiter& waiter : failed) {
          waiter.done(BudgetVerdict::kUnknown);
        }
        return;
      }
      program.unreturned.reset();
      this->AskForWaiters(aProgram);
    });
}

void
BudgetService::Tick(TimePoint aNow)
{
  for (auto it = this->programs.begin(); it != this->programs.end();) {
    Program& program = it->second;
    const bool quiet = program.inFlight == 0 && program.waiters.empty() &&
                       !program.asking && !program.returning;
    const auto idle = aNow - program.usedAt;
    const bool sound = !this->log.Away(aNow);
    if (quiet && sound && program.unreturned) {
      this->SendReturn(it->first);
    } else if (quiet && sound && idle > kIdleReturn && program.available > 0) {
      this->GiveBack(it->first, program);
    }
    const bool forget = quiet && program.available == 0 &&
                        !program.unreturned && idle > kForgetAfter;
    it = forget ? this->programs.erase(it) : std::next(it);
  }
  for (auto it = this->partitions.begin(); it != this->partitions.end();) {
    const bool forget = aNow - it->second.usedAt > 2 * kForgetAfter;
    it = forget ? this->partitions.erase(it) : std::next(it);
  }
}

void
BudgetService::ReturnAll()
{
  for (auto& entry : this->programs) {
    if (entry.second.available > 0 && !entry.second.unreturned) {
      this->GiveBack(entry.first, entry.second);
    }
  }
}

} // namespace tanagerseam
