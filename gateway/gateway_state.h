// What all calls of one gateway share. Private to this library.
#ifndef TANAGERSEAM_GATEWAY_GATEWAY_STATE_H_
#define TANAGERSEAM_GATEWAY_GATEWAY_STATE_H_

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>

#include "fleet/member_table.h"
#include "gateway/gateway.h"
#include "gateway/peer_table.h"
#include "gateway/turn_budgets.h"

namespace tanagerseam {

class CallFlow;

// Bytes that a client may leave unread before its endpoint is read no further.
constexpr size_t kMostUnreadBytes = 256u << 10;

struct GatewayState
{
  GatewayState(GatewaySettings aSettings, GatewayParts aParts);

  // Keys and routes are known well enough to be judged.
  bool CatalogFresh(TimePoint aNow) const;
  Millis CatalogAge(TimePoint aNow) const;
  // Tells the dispatcher which endpoints there are.
  void UpdateDispatcher();
  // The store has not answered for some time.
  bool StoreAway(TimePoint aNow) const;
  // Calls can be judged and served here.
  bool Ready(TimePoint aNow) const;
  // Tells all parts which hosts there are.
  void UpdateMembers();
  // Sends the calls that waited and can go now.
  void SendWaiting();

  GatewaySettings settings;
  GatewayParts parts;
  std::shared_ptr<const Catalog> catalog;
  TimePoint catalogConfirmedAt{};
  EndpointTable endpoints;
  bool endpointsKnown = false;
  // Since when the configuration or the endpoints can't be read; unset if they
  // can.
  TimePoint storeLostSince{};
  Dispatcher dispatcher;
  FleetQuota quota;
  RetryingLog persistentLog;
  BudgetService budgets;
  TurnBudgets turnBudgets;
  HistoryService history;
  PeerTable peers;
  MemberTable members;
  // Calls that wait for an endpoint or have one, by their number.
  std::unordered_map<uint64_t, std::weak_ptr<CallFlow>> calls;
  uint64_t nextCall = 1;
  size_t underWay = 0;
  bool draining = false;
  // False shortly before the process ends.
  bool takesCalls = true;
  std::mt19937_64 random;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_GATEWAY_GATEWAY_STATE_H_
