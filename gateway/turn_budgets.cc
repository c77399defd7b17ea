#include "gateway/turn_budgets.h"

#include <algorithm>

namespace tanagerseam {

namespace {

// An owner that waits for the log answers this long before the asker's timeout,
// so that it is not taken for silent.
constexpr Millis kAnswerMargin(25);

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
ToReserveStatus(TurnReservationStatus aStatus)
{
  switch (aStatus) {
    case TurnReservationStatus::kReserved:
      return ReserveStatus::kReserved;
    case TurnReservationStatus::kBudgetExhausted:
      return ReserveStatus::kBudgetExhausted;
    case TurnReservationStatus::kOverQuota:
      return ReserveStatus::kOverQuota;
    case TurnReservationStatus::kUnavailable:
      break;
  }
  return ReserveStatus::kUnavailable;
}

} // namespace

TurnBudgets::TurnBudgets(std::string aOwnHost,
                         FleetLink& aLink,
                         BudgetService& aBudgetService,
                         const RetryingLog& aLog,
                         ProgramAdmission aAdmitProgram)
  : ownHost(std::move(aOwnHost))
  , link(aLink)
  , budgetService(aBudgetService)
  , log(aLog)
  , admitProgram(std::move(aAdmitProgram))
{
}

void
TurnBudgets::SetMembers(const std::vector<std::string>& aHosts)
{
  this->members = aHosts;
}

void
TurnBudgets::RecordHeartbeat(const std::string& aHost,
                             bool aLogReachable,
                             TimePoint aNow)
{
  this->lastHeartbeats[aHost] = { aNow, aLogReachable };
}

bool
TurnBudgets::IsAlive(const std::string& aHost, TimePoint aNow) const
{
  const Millis timeout =
    kMissedHeartbeats * FleetLink::ReportPeriod(this->members.size());
  auto last = this->lastHeartbeats.find(aHost);
  return last != this->lastHeartbeats.end() &&
         aNow - last->second.at <= timeout;
}

bool
TurnBudgets::IsSuspect(const std::string& aHost, TimePoint aNow) const
{
  auto suspected = this->suspectUntil.find(aHost);
  return suspected != this->suspectUntil.end() && aNow < suspected->second;
}

bool
TurnBudgets::AnyPeerReachesLog(TimePoint aNow) const
{
  return std::any_of(this->members.begin(),
                     this->members.end(),
                     [this, aNow](const std::string& aMember) {
                       auto last = this->lastHeartbeats.find(aMember);
                       return last != this->lastHeartbeats.end() &&
                              last->second.logReachable &&
                              this->IsAlive(aMember, aNow);
                     });
}

std::string
TurnBudgets::FindBudgetOwner(const std::string& aProgram, TimePoint aNow) const
{
  const bool logNeeded =
    !this->log.IsFailing() || this->AnyPeerReachesLog(aNow);
  std::string owner = this->ownHost;
  uint64_t highest = StableHash(aProgram + "@" + this->ownHost);
  for (const std::string& member : this->members) {
    const uint64_t hash = StableHash(aProgram + "@" + member);
    if (hash <= highest || !this->IsAlive(member, aNow) ||
        this->IsSuspect(member, aNow)) {
      continue;
    }
    if (!logNeeded || this->lastHeartbeats.at(member).logReachable) {
      highest = hash;
      owner = member;
    }
  }
  return owner;
}

bool
TurnBudgets::IsOwner(const std::string& aName) const
{
  return this->FindBudgetOwner(aName, BootNow()) == this->ownHost;
}

void
TurnBudgets::Reserve(const TokenRequest& aRequest,
                     TimePoint aDeadline,
                     Callback aDone)
{
  const std::string owner = this->FindBudgetOwner(aRequest.program, BootNow());
  if (owner == this->ownHost || !this->link.IsPeer(owner)) {
    this->ReserveLocally(
      aRequest, GrantMode::kBatch, aDeadline, std::move(aDone));
    return;
  }
  auto reservationId = std::make_shared<uint64_t>(0);
  *reservationId = this->link.Reserve(
    owner,
    aRequest,
    kOwnerTimeout,
    [this, owner, aRequest, aDeadline, reservationId, done = std::move(aDone)](
      const ReserveResponse& aResponse) {
      const TurnReservation reservation{ aRequest,
                                         owner,
                                         *reservationId,
                                         aResponse.beginsProgram,
                                         aResponse.nearlySpent };
      switch (aResponse.status) {
        case ReserveStatus::kReserved:
          done(TurnReservationStatus::kReserved, reservation);
          return;
        case ReserveStatus::kBudgetExhausted:
          done(TurnReservationStatus::kBudgetExhausted, reservation);
          return;
        case ReserveStatus::kOverQuota:
          done(TurnReservationStatus::kOverQuota, reservation);
          return;
        case ReserveStatus::kNoAnswer:
          // The log calls the owner "home".
          LogInfo("budget_home_silent",
                  { { "home", owner }, { "program", aRequest.program } });
          // The owner may have reserved the tokens: release them.
          this->link.Settle(owner, *reservationId, 0);
          this->suspectUntil[owner] = BootNow() + kSuspicionDuration;
          break;
        case ReserveStatus::kUnavailable:
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
  if (this->log.IsUnavailable(BootNow()) &&
      !this->budgetService.CanReserveWithoutLog(aRequest.program,
                                                aRequest.maxTokens)) {
    aDone(TurnReservationStatus::kUnavailable,
          { aRequest, "", 0, false, false });
    return;
  }
  const bool beginsProgram = !aRequest.continuesProgram &&
                             this->budgetService.IsNewProgram(aRequest.program);
  if (beginsProgram && !this->admitProgram(aRequest.organisation)) {
    aDone(TurnReservationStatus::kOverQuota, { aRequest, "", 0, true, false });
    return;
  }
  this->budgetService.Reserve(
    aRequest.program,
    aRequest.programBudget,
    aRequest.maxTokens,
    aUse,
    aDeadline,
    [this, aRequest, beginsProgram, done = std::move(aDone)](
      BudgetVerdict aVerdict) {
      const bool nearlySpent =
        aVerdict == BudgetVerdict::kReserved &&
        this->budgetService.IsNearlySpent(aRequest.program, aRequest.maxTokens);
      done(ToReservationStatus(aVerdict),
           { aRequest, "", 0, beginsProgram, nearlySpent });
    });
}

void
TurnBudgets::Settle(const TurnReservation& aReservation, int64_t aUsedTokens)
{
  if (aReservation.owner.empty()) {
    this->SettleForPeer(aReservation.request, aUsedTokens);
    return;
  }
  this->link.Settle(
    aReservation.owner, aReservation.reservationId, aUsedTokens);
}

void
TurnBudgets::SettleAndReturn(const TurnReservation& aReservation,
                             int64_t aUsedTokens,
                             const std::function<void()>& aDone)
{
  const TokenRequest& request = aReservation.request;
  const int64_t unused = request.maxTokens - aUsedTokens;
  // To whoever made the reservation, all its tokens are used.
  this->Settle(aReservation, request.maxTokens);
  const bool waits = unused != 0 && !this->log.IsUnavailable(BootNow());
  if (unused != 0) {
    this->budgetService.Return(request.program,
                               request.programBudget,
                               unused,
                               [waits, aDone](bool /*aReturned*/) {
                                 if (waits) {
                                   aDone();
                                 }
                               });
  }
  if (!waits) {
    aDone();
  }
}

void
TurnBudgets::ReserveForPeer(const TokenRequest& aRequest,
                            Millis aTimeout,
                            std::function<void(ReserveResponse)> aDone)
{
  this->ReserveLocally(
    aRequest,
    GrantMode::kBatch,
    BootNow() + std::max(Millis(1), aTimeout - kAnswerMargin),
    [done = std::move(aDone)](TurnReservationStatus aStatus,
                              const TurnReservation& aReservation) {
      done({ ToReserveStatus(aStatus),
             aReservation.beginsProgram,
             aReservation.nearlySpent });
    });
}

void
TurnBudgets::SettleForPeer(const TokenRequest& aRequest, int64_t aUsedTokens)
{
  this->budgetService.Settle(aRequest.program, aRequest.maxTokens, aUsedTokens);
}

} // namespace tanagerseam
