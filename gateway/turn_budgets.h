// Reserves budget tokens for turns through the owner of each program's budget.
// Private to this library.
//
//   TurnBudgets budgets("host-1", link, budgetService, log, admitProgram);
//   budgets.SetMembers({ "host-1", "host-2" });
//   budgets.Reserve(request, deadline, [](auto aStatus, auto aReservation) {
//     ...
//   });
//   budgets.Settle(reservation, usedTokens);
//
// Rendezvous hashing assigns each program's budget an owner: of the live
// members, the one with the highest hash of program and host. The owner obtains
// grants for a larger part of the budget from the record log and serves
// reservations out of them, so a turn that arrives at any host costs a message
// and not an append. The owner also detects the first turn of a program and
// admits new programs against the organisation's quota. If the owner does not
// respond or can't decide, this host obtains a grant from the log for this turn
// alone. A member that can't reach the log is not chosen as owner, unless no
// host can: then the grants that the owners hold are all there is. Ownership
// is not exclusive: hosts that disagree about the owner cost additional appends
// but never overspend, since every reservation is covered by a grant in the
// log.
#ifndef TANAGERSEAM_GATEWAY_TURN_BUDGETS_H_
#define TANAGERSEAM_GATEWAY_TURN_BUDGETS_H_

#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "fleet/fleet.h"
#include "program/program.h"

namespace tanagerseam {

// Budget tokens reserved for one turn.
struct TurnReservation
{
  TokenRequest request;
  // Host that owns the budget and settles the reservation; empty for this host.
  std::string owner;
  // Id that FleetLink gave the reservation; 0 if made on this host.
  uint64_t reservationId = 0;
  // The turn is the first of its program.
  bool beginsProgram = false;
  // The program is nearly spent: the turn has to return its unused tokens
  // before its client sees its end.
  bool nearlySpent = false;
};

enum class TurnReservationStatus
{
  kReserved,
  // The budget has too few tokens left for the turn.
  kBudgetExhausted,
  // The record log could not be reached in time.
  kUnavailable,
  // The organisation's quota admits no new program now.
  kOverQuota,
};

class TurnBudgets
{
public:
  // Timeout of a reservation at the owner, after which this host makes it.
  static constexpr Millis kOwnerTimeout{ 100 };
  // An owner that timed out is not chosen again for this long.
  static constexpr Millis kSuspicionDuration{ 1000 };
  // Failure detector: a member whose last heartbeat is older than this many
  // report periods is not chosen as owner.
  static constexpr int kMissedHeartbeats = 11;

  using Callback = std::function<void(TurnReservationStatus, TurnReservation)>;
  // Returns whether the organisation's quota admits a new program.
  using ProgramAdmission = std::function<bool(const std::string&)>;

  TurnBudgets(std::string aOwnHost,
              FleetLink& aLink,
              BudgetService& aBudgetService,
              const RetryingLog& aLog,
              ProgramAdmission aAdmitProgram);

  void SetMembers(const std::vector<std::string>& aHosts);
  // Records a report of a member.
  void RecordHeartbeat(const std::string& aHost,
                       bool aLogReachable,
                       TimePoint aNow);
  // True if this host owns the program or partition of that name.
  bool IsOwner(const std::string& aName) const;
  // Calls aDone once. A reservation with status kReserved must be settled.
  void Reserve(const TokenRequest& aRequest,
               TimePoint aDeadline,
               Callback aDone);
  void Settle(const TurnReservation& aReservation, int64_t aUsedTokens);
  // The same for a turn of a program that is nearly spent. This host returns
  // the unused tokens to the log itself, since the owner may crash before it
  // would. aDone runs once they are returned, or the log did not answer, or at
  // once if the log is unavailable.
  void SettleAndReturn(const TurnReservation& aReservation,
                       int64_t aUsedTokens,
                       const std::function<void()>& aDone);
  // Handle requests of other hosts for budgets that this host owns.
  void ReserveForPeer(const TokenRequest& aRequest,
                      Millis aTimeout,
                      std::function<void(ReserveResponse)> aDone);
  void SettleForPeer(const TokenRequest& aRequest, int64_t aUsedTokens);

private:
  struct Heartbeat
  {
    TimePoint at{};
    bool logReachable = false;
  };

  // The owner of the program's budget; this host if no other member qualifies.
  std::string FindBudgetOwner(const std::string& aProgram,
                              TimePoint aNow) const;
  // Admits and reserves through this host's BudgetService.
  void ReserveLocally(const TokenRequest& aRequest,
                      GrantMode aUse,
                      TimePoint aDeadline,
                      Callback aDone);
  bool IsAlive(const std::string& aHost, TimePoint aNow) const;
  bool IsSuspect(const std::string& aHost, TimePoint aNow) const;
  // True if a live member, other than this host, reaches the record log.
  bool AnyPeerReachesLog(TimePoint aNow) const;

  std::string ownHost;
  FleetLink& link;
  BudgetService& budgetService;
  const RetryingLog& log;
  ProgramAdmission admitProgram;
  std::vector<std::string> members;
  std::unordered_map<std::string, TimePoint> suspectUntil;
  std::unordered_map<std::string, Heartbeat> lastHeartbeats;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_GATEWAY_TURN_BUDGETS_H_
