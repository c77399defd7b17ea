#include "gateway/turn_budgets.h"

namespace tanagerseam {

namespace {

TurnVerdict
ToTurnVerdict(BudgetVerdict aVerdict)
{
  switch (aVerdict) {
    case BudgetVerdict::kReserved:
      return TurnVerdict::kReserved;
    case BudgetVerdict::kBudgetExhausted:
      return TurnVerdict::kSpent;
    case BudgetVerdict::kUnavailable:
      break;
  }
  return TurnVerdict::kUnknown;
}

ReserveStatus
ToReserveVerdict(TurnVerdict aVerdict)
{
  switch (aVerdict) {
    case TurnVerdict::kReserved:
      return ReserveStatus::kReserved;
    case TurnVerdict::kSpent:
      return ReserveStatus::kSpent;
    case TurnVerdict::kOverQuota:
      return ReserveStatus::kOverQuota;
    case TurnVerdict::kUnknown:
      break;
  }
  return ReserveStatus::kUnknown;
}

} // namespace

TurnBudgets::TurnBudgets(std::string aOwnHost,
                         FleetLink& aLink,
                         BudgetService& aService,
                         MayBegin aMayBegin)
  : ownHost(std::move(aOwnHost))
  , link(aLink)
  , service(aService)
  , mayBegin(std::move(aMayBegin))
{
}

void
TurnBudgets::SetMembers(const std::vector<std::string>& aHosts)
{
  this->members = aHosts;
}

void
TurnBudgets::Heard(const std::string& aHost, bool aReachesLog, TimePoint aNow)
{
  if (aReachesLog) {
    this->heardAt[aHost] = aNow;
  } else {
    this->heardAt.erase(aHost);
  }
}

bool
TurnBudgets::MayBeHome(const std::string& aHost, TimePoint aNow) const
{
  auto suspect = this->suspectUntil.find(aHost);
  if (suspect != this->suspectUntil.end() && aNow < suspect->second) {
    return false;
  }
  // With more members than a report reaches, each is heard less often.
  const auto rounds =
    static_cast<int64_t>(1 + this->members.size() / (FleetLink::kFanOut + 1));
  auto heard = this->heardAt.find(aHost);
  return heard != this->heardAt.end() &&
         aNow - heard->second <= kHeardWithin * rounds;
}

std::string
TurnBudgets::HomeOf(const std::string& aProgram, TimePoint aNow) const
{
  std::string home = this->ownHost;
  uint64_t highest = StableHash(aProgram + "@" + this->ownHost);
  for (const std::string& member : this->members) {
    const uint64_t hash = StableHash(aProgram + "@" + member);
    if (hash > highest && this->MayBeHome(member, aNow)) {
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
    this->ReserveHere(aRequest, GrantMode::kBatch, aGiveUpAt, std::move(aDone));
    return;
  }
  auto number = std::make_shared<uint64_t>(0);
  *number = this->link.Reserve(
    home,
    aRequest,
    kHomeWait,
    [this, home, aRequest, aGiveUpAt, number, done = std::move(aDone)](
      const ReserveResponse& aAnswer) {
      const TurnReservation made{
        aRequest, home, *number, aAnswer.beginsProgram
      };
      switch (aAnswer.status) {
        case ReserveStatus::kReserved:
          done(TurnVerdict::kReserved, made);
          return;
        case ReserveStatus::kSpent:
          done(TurnVerdict::kSpent, made);
          return;
        case ReserveStatus::kOverQuota:
          done(TurnVerdict::kOverQuota, made);
          return;
        case ReserveStatus::kNoAnswer:
          LogInfo("budget_home_silent",
                  { { "home", home }, { "program", aRequest.program } });
          this->link.Settle(home, *number, 0);
          this->suspectUntil[home] = BootNow() + kSuspectFor;
          break;
        case ReserveStatus::kUnknown:
          break;
      }
      this->ReserveHere(aRequest, GrantMode::kSingleTurn, aGiveUpAt, done);
    });
}

void
TurnBudgets::ReserveHere(const TokenRequest& aRequest,
                         GrantMode aUse,
                         TimePoint aGiveUpAt,
                         Callback aDone)
{
  const bool begins =
    !aRequest.continuesProgram && this->service.IsNewProgram(aRequest.program);
  if (begins && !this->mayBegin(aRequest.organisation)) {
    aDone(TurnVerdict::kOverQuota, { aRequest, "", 0, true });
    return;
  }
  this->service.Reserve(
    aRequest.program,
    aRequest.programBudget,
    aRequest.maxTokens,
    aUse,
    aGiveUpAt,
    [aRequest, begins, done = std::move(aDone)](BudgetVerdict aVerdict) {
      done(ToTurnVerdict(aVerdict), { aRequest, "", 0, begins });
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
                            std::function<void(ReserveResponse)> aDone)
{
  this->ReserveHere(
    aRequest,
    GrantMode::kBatch,
    BootNow() + aWait,
    [done = std::move(aDone)](TurnVerdict aVerdict,
                              const TurnReservation& aReservation) {
      done({ ToReserveVerdict(aVerdict), aReservation.begins });
    });
}

void
TurnBudgets::SettleForPeer(const TokenRequest& aRequest, int64_t aUsed)
{
  this->service.Settle(aRequest.program, aRequest.maxTokens, aUsed);
}

} // namespace tanagerseam
