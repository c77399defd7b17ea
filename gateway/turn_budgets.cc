#include "gateway/turn_budgets.h"

namespace tanagerseam {

TurnBudgets::TurnBudgets(std::string aOwnHost,
                         FleetLink& aLink,
                         BudgetService& aService)
  : ownHost(std::move(aOwnHost))
  , link(aLink)
  , service(aService)
{
}

void
TurnBudgets::SetMembers(const std::vector<std::string>& aHosts)
{
  this->members = aHosts;
}

std::string
TurnBudgets::HomeOf(const std::string& aProgram, TimePoint aNow) const
{
  std::string home = this->ownHost;
  uint64_t highest = StableHash(aProgram + "@" + this->ownHost);
  for (const std::string& member : this->members) {
    auto suspect = this->suspectUntil.find(member);
    if (suspect != this->suspectUntil.end() && aNow < suspect->second) {
      continue;
    }
    const uint64_t hash = StableHash(aProgram + "@" + member);
    if (hash > highest) {
      highest = hash;
      home = member;
    }
  }
  return home;
}

void
TurnBudgets::Reserve(const TokenRequest& aRequest,
                     TimePoint aGiveUpAt,
                     Callback aDone)
{
  const std::string home = this->HomeOf(aRequest.program, BootNow());
  if (home == this->ownHost || !this->link.IsPeer(home)) {
    this->ReserveHere(
      aRequest, BudgetUse::kAhead, aGiveUpAt, std::move(aDone));
    return;
  }
  auto number = std::make_shared<uint64_t>(0);
  *number = this->link.Reserve(
    home,
    aRequest,
    kHomeWait,
    [this, home, aRequest, aGiveUpAt, number, done = std::move(aDone)](
      ReserveAnswer aAnswer) {
      if (aAnswer == ReserveAnswer::kReserved) {
        done(BudgetVerdict::kReserved, { aRequest, home, *number });
        return;
      }
      if (aAnswer == ReserveAnswer::kSpent) {
        done(BudgetVerdict::kSpent, { aRequest, home, *number });
        return;
      }
      if (aAnswer == ReserveAnswer::kNoAnswer) {
        LogInfo("budget_home_silent",
                { { "home", home }, { "program", aRequest.program } });
        this->link.Settle(home, *number, 0);
        this->suspectUntil[home] = BootNow() + kSuspectFor;
      }
      this->ReserveHere(aRequest, BudgetUse::kOnce, aGiveUpAt, done);
    });
}

void
TurnBudgets::ReserveHere(const TokenRequest& aRequest,
                         BudgetUse aUse,
                         TimePoint aGiveUpAt,
                         Callback aDone)
{
  this->service.Reserve(
    aRequest.program,
    aRequest.budget,
    aRequest.most,
    aUse,
    aGiveUpAt,
    [aRequest, done = std::move(aDone)](BudgetVerdict aVerdict) {
      done(aVerdict, { aRequest, "", 0 });
    });
}

void
TurnBudgets::Settle(const TurnReservation& aReservation, int64_t aUsed)
{
  if (aReservation.home.empty()) {
    this->SettleForPeer(aReservation.request, aUsed);
    return;
  }
  this->link.Settle(aReservation.home, aReservation.number, aUsed);
}

void
TurnBudgets::ReserveForPeer(const TokenRequest& aRequest,
                            Millis aWait,
                            std::function<void(ReserveAnswer)> aDone)
{
  this->service.Reserve(
    aRequest.program,
    aRequest.budget,
    aRequest.most,
    BudgetUse::kAhead,
    BootNow() + aWait,
    [done = std::move(aDone)](BudgetVerdict aVerdict) {
      switch (aVerdict) {
        case BudgetVerdict::kReserved:
          done(ReserveAnswer::kReserved);
          return;
        case BudgetVerdict::kSpent:
          done(ReserveAnswer::kSpent);
          return;
        case BudgetVerdict::kUnknown:
          done(ReserveAnswer::kUnknown);
          return;
      }
    });
}

void
TurnBudgets::SettleForPeer(const TokenRequest& aRequest, int64_t aUsed)
{
  this->service.Settle(aRequest.program, aRequest.most, aUsed);
}

} // namespace tanagerseam
