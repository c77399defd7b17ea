#include <algorithm>

#include "program/budget_checkpoints.h"
#include "program/budget_log.h"

namespace tanagerseam {

namespace {

// Grants without an answer are looked for this long, less and less often: an
// append may take effect seconds later.
constexpr Millis kMaxAppendDelay(60000);
constexpr Millis kForgetInterval(10000);

// For one append of a return; Tick starts further ones.
constexpr Millis kReturnTimeout(600);
// For one reading.
constexpr Millis kSearchTimeout(600);
// For grants that are requested before a turn needs them.
constexpr Millis kBatchGrantTimeout(2000);

} // namespace

BudgetService::BudgetService(RetryingLog& aLog, ProgramSettings aSettings)
  : log(aLog)
  , settings(std::move(aSettings))
  , budgetLog(std::make_unique<BudgetLog>(
      aLog,
      this->settings,
      [this](const BudgetRecord& aRecord, bool aAccepted) {
        this->OnRecordApplied(aRecord, aAccepted);
      }))
{
}

BudgetService::~BudgetService() = default;

void
BudgetService::SetKeepTime(Millis aTime)
{
  this->keepSumsFor = 2 * aTime;
}

void
BudgetService::SetCheckpointOwner(
  std::function<bool(const std::string&)> aIsOwner)
{
  this->checkpoints = std::make_unique<BudgetCheckpoints>(
    *this->budgetLog, this->settings, std::move(aIsOwner));
}

std::string
BudgetService::NextId()
{
  return this->settings.incarnation + "-" + std::to_string(this->nextId++);
}

void
BudgetService::Reserve(const std::string& aProgram,
                       int64_t aBudget,
                       int64_t aReservedTokens,
                       GrantMode aMode,
                       TimePoint aDeadline,
                       Callback aDone)
{
  Program& program = this->programs[aProgram];
  program.budget = aBudget;
  program.mode = aMode;
  program.lastUsedAt = BootNow();
  if (program.availableTokens >= aReservedTokens && program.waiters.empty()) {
    program.availableTokens -= aReservedTokens;
    ++program.turnsInFlight;
    const bool runningLow = program.availableTokens < aReservedTokens;
    const bool noGrantRejected = program.rejectedGrantTokens == 0;
    if (runningLow && noGrantRejected && !program.grantPending &&
        aMode == GrantMode::kBatch) {
      this->RequestGrantAhead(aProgram, aReservedTokens);
    }
    aDone(BudgetVerdict::kReserved);
    return;
  }
  program.waiters.push_back({ aReservedTokens, aDeadline, std::move(aDone) });
  this->RequestGrantForWaiters(aProgram);
}

bool
BudgetService::CanReserveWithoutLog(const std::string& aProgram,
                                    int64_t aReservedTokens) const
{
  auto found = this->programs.find(aProgram);
  return found != this->programs.end() && found->second.waiters.empty() &&
         found->second.availableTokens >= aReservedTokens;
}

bool
BudgetService::IsNewProgram(const std::string& aProgram) const
{
  auto found = this->programs.find(aProgram);
  return found == this->programs.end() ||
         (!found->second.servedTurn && found->second.turnsInFlight == 0 &&
          found->second.waiters.empty());
}

void
BudgetService::Settle(const std::string& aProgram,
                      int64_t aReservedTokens,
                      int64_t aUsedTokens)
{
  auto found = this->programs.find(aProgram);
  if (found == this->programs.end()) {
    return;
  }
  Program& program = found->second;
  program.availableTokens += aReservedTokens - aUsedTokens;
  program.turnsInFlight = std::max(0, program.turnsInFlight - 1);
  program.servedTurn = program.servedTurn || aUsedTokens > 0;
  program.lastUsedAt = BootNow();
  // A grant for the new amount may fit where the last one did not.
  program.rejectedGrantTokens = 0;
  this->ServeWaiters(aProgram);
  const bool keepsNone =
    program.mode == GrantMode::kSingleTurn ||
    (this->IsNearlySpent(aProgram, aReservedTokens) && !this->log.IsFailing());
  const bool due =
    program.availableTokens < 0 || (keepsNone && program.availableTokens > 0);
  const bool returnNow = due && program.waiters.empty() &&
                         !program.grantPending &&
                         program.pendingReturns.empty();
  if (returnNow) {
    this->ReturnAvailable(aProgram, program);
  }
}

int64_t
BudgetService::OutsideTokens(const std::string& aProgram, int64_t aBudget)
{
  const LogPartition partition = this->budgetLog->PartitionOf(aProgram);
  return aBudget -
         this->budgetLog->Ledger(partition).OutstandingTokens(aProgram);
}

bool
BudgetService::IsNearlySpent(const std::string& aProgram, int64_t aTurnTokens)
{
  const int64_t granted = 0;
  return !this->LeavesEnough(
    aProgram, this->programs[aProgram], granted, aTurnTokens);
}

bool
BudgetService::LeavesEnough(const std::string& aProgram,
                            const Program& aState,
                            int64_t aTokens,
                            int64_t aTurnTokens)
{
  return this->OutsideTokens(aProgram, aState.budget) - aTokens >=
         kTurnsKeptOutside * aTurnTokens;
}

int64_t
BudgetService::MinGrantTokens(const std::string& aProgram,
                              const Program& aState,
                              int64_t aTurnTokens)
{
  if (aState.mode == GrantMode::kSingleTurn) {
    return 0;
  }
  const int64_t tokens =
    this->OutsideTokens(aProgram, aState.budget) / this->settings.grantDivisor;
  return this->LeavesEnough(aProgram, aState, tokens, aTurnTokens) ? tokens : 0;
}

void
BudgetService::RequestGrantAhead(const std::string& aProgram,
                                 int64_t aTurnTokens)
{
  const Program& program = this->programs[aProgram];
  const int64_t tokens =
    std::max(aTurnTokens, this->MinGrantTokens(aProgram, program, aTurnTokens));
  if (this->LeavesEnough(aProgram, program, tokens, aTurnTokens)) {
    this->RequestGrant(
      aProgram, tokens, program.lastUsedAt + kBatchGrantTimeout);
  }
}

int64_t
BudgetService::TokensForWaiters(const std::string& aProgram,
                                const Program& aState)
{
  int64_t needed = 0;
  for (const Waiter& waiter : aState.waiters) {
    needed += waiter.reservedTokens;
  }
  const int64_t ofFirst = aState.waiters.front().reservedTokens;
  const int64_t tokens =
    std::max(needed - aState.availableTokens,
             this->MinGrantTokens(aProgram, aState, ofFirst));
  // A grant of the rejected size would be rejected again, so request only what
  // the first waiter lacks.
  if (aState.rejectedGrantTokens > 0 && tokens >= aState.rejectedGrantTokens) {
    return std::max<int64_t>(1, ofFirst - aState.availableTokens);
  }
  return tokens;
}

void
BudgetService::RequestGrantForWaiters(const std::string& aProgram)
{
  Program& program = this->programs[aProgram];
  if (program.grantPending || program.returnInFlight ||
      program.waiters.empty()) {
    return;
  }
  // The turn may fit once this host's own returns are in the log.
  if (!program.pendingReturns.empty()) {
    this->AppendReturn(aProgram);
    return;
  }
  program.grantPending = true;
  const TimePoint deadline = program.waiters.front().deadline;
  this->budgetLog->RefreshIfOld(
    this->budgetLog->PartitionOf(aProgram),
    deadline,
    [this, aProgram, deadline](bool aCurrent) {
      if (!aCurrent) {
        this->OnGrantUnanswered(aProgram, "");
        return;
      }
      Program& current = this->programs[aProgram];
      current.grantPending = false;
      // Tokens of a turn that has ended may have served them.
      if (!current.waiters.empty()) {
        this->RequestGrant(
          aProgram, this->TokensForWaiters(aProgram, current), deadline);
      }
    });
}

void
BudgetService::RequestGrant(const std::string& aProgram,
                            int64_t aTokens,
                            TimePoint aDeadline)
{
  Program& program = this->programs[aProgram];
  program.grantPending = true;
  BudgetRecord record;
  record.id = this->NextId();
  record.program = aProgram;
  record.holder = this->settings.incarnation;
  record.tokens = aTokens;
  record.budget = program.budget;
  this->uncreditedGrants[record.id] = { aProgram, BootNow() };
  this->budgetLog->Append(this->budgetLog->PartitionOf(aProgram),
                          record,
                          aDeadline,
                          [this, aProgram, record](bool aApplied) {
                            if (aApplied) {
                              this->OnGrantDecided(aProgram, record);
                            } else {
                              this->OnGrantUnanswered(aProgram, record.id);
                            }
                          });
}

void
BudgetService::OnGrantUnanswered(const std::string& aProgram,
                                 const std::string& aGrant)
{
  const auto requested = this->uncreditedGrants.find(aGrant);
  if (requested != this->uncreditedGrants.end()) {
    requested->second.searchAt = BootNow();
  }
  this->programs[aProgram].grantPending = false;
  this->FailExpiredWaiters(aProgram, BudgetVerdict::kUnavailable);
}

void
BudgetService::OnRecordApplied(const BudgetRecord& aRecord, bool aAccepted)
{
  const bool isOwnGrant = this->uncreditedGrants.erase(aRecord.id) > 0;
  if (isOwnGrant && aAccepted) {
    this->programs[aRecord.program].availableTokens += aRecord.tokens;
  }
  if (aRecord.kind == BudgetRecordKind::kReturn) {
    auto program = this->programs.find(aRecord.program);
    if (program != this->programs.end()) {
      program->second.rejectedGrantTokens = 0;
    }
  }
}

void
BudgetService::OnGrantDecided(const std::string& aProgram,
                              const BudgetRecord& aRecord)
{
  const BudgetLedger& ledger =
    this->budgetLog->Ledger(this->budgetLog->PartitionOf(aProgram));
  Program& program = this->programs[aProgram];
  program.grantPending = false;
  const bool accepted = ledger.IsAccepted(aRecord.id);
  const std::string outstanding =
    std::to_string(ledger.OutstandingTokens(aProgram));
  LogInfo("budget_grant",
          { { "program", aProgram },
            { "id", aRecord.id },
            { "tokens", std::to_string(aRecord.tokens) },
            { "accepted", accepted ? "yes" : "no" },
            { "outstanding", outstanding },
            { "budget", std::to_string(aRecord.budget) } });
  if (!accepted) {
    program.rejectedGrantTokens = aRecord.tokens;
    const bool coversOnlyFirstWaiter =
      !program.waiters.empty() &&
      aRecord.tokens <=
        program.waiters.front().reservedTokens - program.availableTokens;
    if (coversOnlyFirstWaiter) {
      Waiter waiter = std::move(program.waiters.front());
      program.waiters.pop_front();
      LogInfo("budget_spent",
              { { "program", aProgram },
                { "budget", std::to_string(program.budget) },
                { "granted", outstanding },
                { "turn_most", std::to_string(waiter.reservedTokens) } });
      waiter.done(BudgetVerdict::kBudgetExhausted);
    }
  }
  this->ServeWaiters(aProgram);
  this->RequestGrantForWaiters(aProgram);
}

void
BudgetService::ServeWaiters(const std::string& aProgram)
{
  while (true) {
    Program& program = this->programs[aProgram];
    if (program.waiters.empty() ||
        program.availableTokens < program.waiters.front().reservedTokens) {
      return;
    }
    Waiter waiter = std::move(program.waiters.front());
    program.waiters.pop_front();
    program.availableTokens -= waiter.reservedTokens;
    ++program.turnsInFlight;
    waiter.done(BudgetVerdict::kReserved);
  }
}

void
BudgetService::FailExpiredWaiters(const std::string& aProgram,
                                  BudgetVerdict aVerdict)
{
  Program& program = this->programs[aProgram];
  const TimePoint now = BootNow();
  std::deque<Waiter> remaining;
  std::deque<Waiter> expired;
  for (Waiter& waiter : program.waiters) {
    (waiter.deadline <= now ? expired : remaining).push_back(std::move(waiter));
  }
  program.waiters = std::move(remaining);
  for (Waiter& waiter : expired) {
    waiter.done(aVerdict);
  }
  this->RequestGrantForWaiters(aProgram);
}

void
BudgetService::ReturnAvailable(const std::string& aProgram, Program& aState)
{
  const int64_t tokens = aState.availableTokens;
  aState.availableTokens = 0;
  this->Return(aProgram, aState.budget, tokens, nullptr);
}

void
BudgetService::Return(const std::string& aProgram,
                      int64_t aBudget,
                      int64_t aTokens,
                      std::function<void(bool)> aDone)
{
  BudgetRecord record;
  record.kind = BudgetRecordKind::kReturn;
  record.id = this->NextId();
  record.program = aProgram;
  record.holder = this->settings.incarnation;
  record.tokens = aTokens;
  record.budget = aBudget;
  LogInfo("budget_return",
          { { "program", aProgram },
            { "id", record.id },
            { "tokens", std::to_string(record.tokens) } });
  Program& program = this->programs[aProgram];
  program.lastUsedAt = BootNow();
  program.pendingReturns.push_back({ std::move(record), std::move(aDone) });
  this->AppendReturn(aProgram);
}

void
BudgetService::AppendReturn(const std::string& aProgram)
{
  Program& program = this->programs[aProgram];
  if (program.returnInFlight || program.pendingReturns.empty()) {
    return;
  }
  program.returnInFlight = true;
  this->budgetLog->Append(this->budgetLog->PartitionOf(aProgram),
                          program.pendingReturns.front().record,
                          BootNow() + kReturnTimeout,
                          [this, aProgram](bool aApplied) {
                            this->OnReturnAppended(aProgram, aApplied);
                          });
}

void
BudgetService::OnReturnAppended(const std::string& aProgram, bool aApplied)
{
  Program& program = this->programs[aProgram];
  program.returnInFlight = false;
  if (!aApplied) {
    this->OnReturnsUnanswered(aProgram, program);
    return;
  }
  const PendingReturn returned = std::move(program.pendingReturns.front());
  program.pendingReturns.pop_front();
  this->AppendReturn(aProgram);
  this->RequestGrantForWaiters(aProgram);
  if (returned.done) {
    returned.done(true);
  }
}

void
BudgetService::OnReturnsUnanswered(const std::string& aProgram, Program& aState)
{
  LogWarn("budget_not_returned", { { "program", aProgram } });
  std::deque<Waiter> failed;
  failed.swap(aState.waiters);
  std::vector<std::function<void(bool)>> unanswered;
  for (PendingReturn& pending : aState.pendingReturns) {
    if (pending.done) {
      unanswered.push_back(std::move(pending.done));
      pending.done = nullptr;
    }
  }
  for (Waiter& waiter : failed) {
    waiter.done(BudgetVerdict::kUnavailable);
  }
  for (const auto& done : unanswered) {
    done(false);
  }
}

void
BudgetService::SearchUnansweredGrants(TimePoint aNow)
{
  std::set<LogPartition> due;
  for (auto& entry : this->uncreditedGrants) {
    UncreditedGrant& grant = entry.second;
    if (grant.searchAt == TimePoint{} || grant.searchAt > aNow) {
      continue;
    }
    grant.searchAt = aNow + grant.searchInterval;
    grant.searchInterval *= 2;
    due.insert(this->budgetLog->PartitionOf(grant.program));
  }
  for (const LogPartition& partition : due) {
    this->budgetLog->Refresh(
      partition, aNow + kSearchTimeout, [](bool /*aCurrent*/) {});
  }
}

bool
BudgetService::IsInactive(const Program& aProgram)
{
  return aProgram.turnsInFlight == 0 && aProgram.waiters.empty() &&
         !aProgram.grantPending && !aProgram.returnInFlight;
}

void
BudgetService::Tick(TimePoint aNow)
{
  for (auto it = this->programs.begin(); it != this->programs.end();) {
    Program& program = it->second;
    const bool inactive = IsInactive(program);
    const auto idle = aNow - program.lastUsedAt;
    const bool logAvailable = !this->log.IsUnavailable(aNow);
    if (inactive && logAvailable && !program.pendingReturns.empty()) {
      this->AppendReturn(it->first);
    } else if (inactive && !this->log.IsFailing() && idle > kIdleBeforeReturn &&
               program.availableTokens != 0) {
      this->ReturnAvailable(it->first, program);
    }
    const bool evict = inactive && program.availableTokens == 0 &&
                       program.pendingReturns.empty() && idle > kEvictAfterIdle;
    it = evict ? this->programs.erase(it) : std::next(it);
  }
  for (auto it = this->uncreditedGrants.begin();
       it != this->uncreditedGrants.end();) {
    const bool lost = aNow - it->second.requestedAt > kMaxAppendDelay;
    it = lost ? this->uncreditedGrants.erase(it) : std::next(it);
  }
  if (!this->log.IsUnavailable(aNow)) {
    this->SearchUnansweredGrants(aNow);
  }
  if (aNow >= this->forgetAt) {
    this->forgetAt = aNow + kForgetInterval;
    this->budgetLog->Forget(2 * kEvictAfterIdle, this->keepSumsFor, aNow);
  }
  if (this->checkpoints && !this->log.IsUnavailable(aNow)) {
    this->checkpoints->Tick(aNow, this->keepSumsFor);
  }
}

void
BudgetService::ReturnUnused()
{
  for (auto& entry : this->programs) {
    if (entry.second.availableTokens != 0) {
      this->ReturnAvailable(entry.first, entry.second);
    }
  }
}

} // namespace tanagerseam
