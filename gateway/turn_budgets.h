// Tokens for turns, from the host that keeps the program's budget at hand.
// Private to this library.
//
// Each program has a home among the hosts that are heard: the one with the
// highest hash of program and host. The home asks the log for a larger part of
// the budget and hands it out turn by turn, so that turns that come in anywhere
// cost a message and not an append. It also knows which turn is the first of
// its program, and lets new programs in by the organisation's quota. If the
// home does not answer, this host asks the log itself, for this one turn. Hosts
// that disagree about the home cost appends and nothing else: what is handed
// out is always granted by the log.
#ifndef TANAGERSEAM_GATEWAY_TURN_BUDGETS_H_
#define TANAGERSEAM_GATEWAY_TURN_BUDGETS_H_

#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "fleet/fleet.h"
#include "program/program.h"

namespace tanagerseam {

// Tokens set aside for one turn.
struct TurnReservation
{
  TokenRequest request;
  // Where it is to be settled; empty for this host.
  std::string home;
  uint64_t number = 0;
  // It is the first turn of its program.
  bool begins = false;
};

enum class TurnVerdict
{
  kReserved,
  kSpent,
  kUnknown,
  kOverQuota,
};

class TurnBudgets
{
public:
  // A home that does not answer within this time is passed over.
  static constexpr Millis kHomeWait{ 100 };
  static constexpr Millis kSuspectFor{ 1000 };
  // A member that was not heard of for longer is nobody's home.
  static constexpr Millis kHeardWithin{ 1100 };

  using Callback = std::function<void(TurnVerdict, TurnReservation)>;
  // Lets a new program of an organisation in, or not.
  using MayBegin = std::function<bool(const std::string&)>;

  TurnBudgets(std::string aOwnHost,
              FleetLink& aLink,
              BudgetService& aService,
              MayBegin aMayBegin);

  void SetMembers(const std::vector<std::string>& aHosts);
  // A member told that it lives, and whether it reaches the log.
  void Heard(const std::string& aHost, bool aReachesLog, TimePoint aNow);
  // Answers once; every kReserved is to be settled.
  void Reserve(const TokenRequest& aRequest,
               TimePoint aGiveUpAt,
               Callback aDone);
  void Settle(const TurnReservation& aReservation, int64_t aUsed);
  // For another host whose programs have their home here.
  void ReserveForPeer(const TokenRequest& aRequest,
                      Millis aWait,
                      std::function<void(ReserveResponse)> aDone);
  void SettleForPeer(const TokenRequest& aRequest, int64_t aUsed);

private:
  std::string HomeOf(const std::string& aProgram, TimePoint aNow) const;
  void ReserveHere(const TokenRequest& aRequest,
                   GrantMode aUse,
                   TimePoint aGiveUpAt,
                   Callback aDone);
  bool MayBeHome(const std::string& aHost, TimePoint aNow) const;

  std::string ownHost;
  FleetLink& link;
  BudgetService& service;
  MayBegin mayBegin;
  std::vector<std::string> members;
  std::unordered_map<std::string, TimePoint> suspectUntil;
  std::unordered_map<std::string, TimePoint> heardAt;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_GATEWAY_TURN_BUDGETS_H_
