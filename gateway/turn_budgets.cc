#include "gateway/turn_budgets.h"

namespace tanagerseam {

namespace {

TurnReservationStatus
ToReservationStatus(BudgetVerdict aVerdict)
{
  switch (aVerdict) {
    case BudgetVerdict::kReserved:
      return TurnReservationStatus::kReserved;
    case BudgetVerdict::kBudgetExhausted:
      return TurnReservationStatus::kBudgetExhausted;
    case BudgetVerdict::kUnavailable:
      break;
  }
  return TurnReservationStatus::kUnavailable;
}

ReserveStatus
ToReserveVerdict(TurnReservationStatus aStatus)
{
  switch (aStatus) {
    case TurnReservationStatus::kReserved:
      return ReserveStatus::kReserved;
    case TurnReservationStatus::kBudgetExhausted:
      return ReserveStatus::kSpent;
    case TurnReservationStatus::kOverQuota:
      return ReserveStatus::kOverQuota;
    case TurnReservationStatus::kUnavailable:
      break;
  }
  return ReserveStatus::kUnknown;
}

} // namespace

TurnBudgets::TurnBudgets(std::string aOwnHost,
                         FleetLink& aLink,
                         BudgetService& aBudgetService,
                         ProgramAdmission aAdmitProgram)
  : ownHost(std::move(aOwnHost))
  , link(aLink)
  , budgetService(aBudgetService)
  , admitProgram(std::move(aAdmitProgram))
{
}

void
TurnBudgets::SetMembers(const std::vector<std::string>& aHosts)
{
  this->members = aHosts;
}

void
TurnBudgets::RecordHeartbeat(const std::string& aHost, bool aLogReachable, TimePoint aNow)
{
  if (aLogReachable) {
    this->lastHeartbeatAt[aHost] = aNow;
  } else {
    this->lastHeartbeatAt.erase(aHost);
  }
}

bool
TurnBudgets::IsHomeCandidate(const std::string& aHost, TimePoint aNow) const
{
  auto suspected = this->suspectUntil.find(aHost);
  if (suspected != this->suspectUntil.end() && aNow < suspected->second) {
    return false;
  }
  // A report goes to kFanOut peers at most, so in a larger fleet the reports of
  // one member arrive less often.
  const auto reportRounds =
    static_cast<int64_t>(1 + this->members.size() / (FleetLink::kFanOut + 1));
  auto lastHeartbeat = this->lastHeartbeatAt.find(aHost);
  return lastHeartbeat != this->lastHeartbeatAt.end() &&
         aNow - lastHeartbeat->second <= kHeartbeatTimeout * reportRounds;
}

std::string
TurnBudgets::FindHome(const std::string& aProgram, TimePoint aNow) const
{
  std::string home = this->ownHost;
  uint64_t highest = StableHash(aProgram + "@" + this->ownHost);
  for (const std::string& member : this->members) {
    const uint64_t hash = StableHash(aProgram + "@" + member);
    if (hash > highest && this->IsHomeCandidate(member, aNow)) {
      highest = hash;
      home = member;
    }
  }
  return home;
}

void
TurnBudgets::Reserve(const TokenRequest& aRequest,
                     TimePoint aDeadline,
                     Callback aDone)
{
  const std::string home = this->FindHome(aRequest.program, BootNow());
  if (home == this->ownHost || !this->link.IsPeer(home)) {
    this->ReserveLocally(aRequest, GrantMode::kBatch, aDeadline, std::move(aDone));
    return;
  }
  auto reservationId = std::make_shared<uint64_t>(0);
  *reservationId = this->link.Reserve(
    home,
    aRequest,
    kHomeTimeout,
    [this, home, aRequest, aDeadline, reservationId, done = std::move(aDone)](
      const ReserveResponse& aAnswer) {
      const TurnReservation reservation{
        aRequest, home, *reservationId, aAnswer.beginsProgram
      };
      switch (aAnswer.status) {
        case ReserveStatus::kReserved:
          done(TurnReservationStatus::kReserved, reservation);
          return;
        case ReserveStatus::kSpent:
          done(TurnReservationStatus::kBudgetExhausted, reservation);
          return;
        case ReserveStatus::kOverQuota:
          done(TurnReservationStatus::kOverQuota, reservation);
          return;
        case ReserveStatus::kNoAnswer:
          LogInfo("budget_home_silent",
                  { { "home", home }, { "program", aRequest.program } });
          // The home may have reserved the tokens: release them.
          this->link.Settle(home, *reservationId, 0);
          this->suspectUntil[home] = BootNow() + kSuspicionDuration;
          break;
        case ReserveStatus::kUnknown:
          break;
      }
      this->ReserveLocally(aRequest, GrantMode::kSingleTurn, aDeadline, done);
    });
}

void
TurnBudgets::ReserveLocally(const TokenRequest& aRequest,
                         GrantMode aUse,
                         TimePoint aDeadline,
                         Callback aDone)
{
  const bool startsProgram =
    !aRequest.continuesProgram && this->budgetService.IsNewProgram(aRequest.program);
  if (startsProgram && !this->admitProgram(aRequest.organisation)) {
    aDone(TurnReservationStatus::kOverQuota, { aRequest, "", 0, true });
    return;
  }
  this->budgetService.Reserve(
    aRequest.program,
    aRequest.programBudget,
    aRequest.maxTokens,
    aUse,
    aDeadline,
    [aRequest, startsProgram, done = std::move(aDone)](BudgetVerdict aVerdict) {
      done(ToReservationStatus(aVerdict), { aRequest, "", 0, startsProgram });
    });
}

void
TurnBudgets::Settle(const TurnReservation& aReservation, int64_t aUsedTokens)
{
  if (aReservation.home.empty()) {
    this->SettleForPeer(aReservation.request, aUsedTokens);
    return;
  }
  this->link.Settle(aReservation.home, aReservation.reservationId, aUsedTokens);
}

void
TurnBudgets::ReserveForPeer(const TokenRequest& aRequest,
                            Millis aTimeout,
                            std::function<void(ReserveResponse)> aDone)
{
  this->ReserveLocally(
    aRequest,
    GrantMode::kBatch,
    BootNow() + aTimeout,
    [done = std::move(aDone)](TurnReservationStatus aStatus,
                              const TurnReservation& aReservation) {
      done({ ToReserveVerdict(aStatus), aReservation.startsProgram });
    });
}

void
TurnBudgets::SettleForPeer(const TokenRequest& aRequest, int64_t aUsedTokens)
{
  this->budgetService.Settle(aRequest.program, aRequest.maxTokens, aUsedTokens);
}

} // namespace tanagerseam
