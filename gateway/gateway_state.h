// State shared by all calls of one gateway. Private to this library.
#ifndef TANAGERSEAM_GATEWAY_GATEWAY_STATE_H_
#define TANAGERSEAM_GATEWAY_GATEWAY_STATE_H_

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>

#include "coldstart/coldstart.h"
#include "fleet/member_table.h"
#include "gateway/active_calls.h"
#include "gateway/connection_policy.h"
#include "gateway/crash_checks.h"
#include "gateway/fleet_record_peers.h"
#include "gateway/gateway.h"
#include "gateway/outgoing_bytes.h"
#include "gateway/peer_table.h"
#include "gateway/quota_client.h"
#include "gateway/record_relay.h"
#include "gateway/registry_readings.h"
#include "gateway/response_relay.h"
#include "gateway/shutdown_schedule.h"
#include "gateway/stream_event_client.h"
#include "gateway/stream_origin_client.h"
#include "gateway/turn_budgets.h"
#include "quarantine/quarantine.h"
#include "reach/reach.h"

namespace tanagerseam {

class CallFlow;

struct GatewayState
{
  GatewayState(GatewaySettings aSettings, GatewayDependencies aDependencies);

  // True while the catalog is recent enough to check API keys and routes.
  bool CatalogFresh(TimePoint aNow) const;
  // Time since the catalog was last confirmed.
  Millis CatalogAge(TimePoint aNow) const;
  // Passes the usable endpoints to the dispatcher.
  void UpdateDispatcher();
  // Stops new calls to an endpoint that is about to shut down. aSource is for
  // the log.
  void MarkLeaving(const LeavingEndpoint& aAnnouncement, const char* aSource);
  // Of an endpoint that announced it in a response that arrives now.
  void MarkLeavingNow(const std::string& aEndpoint, const char* aSource);
  // A response of an endpoint, which names a rate limit or none. The request
  // was sent at aSentAtMillis, in milliseconds since the epoch.
  void OnRateLimit(const std::string& aEndpoint,
                   std::optional<double> aCallsPerSecond,
                   int64_t aSentAtMillis);
  // The calls per second that an endpoint takes from all hosts, by what it says
  // and because it is cold; unset for any.
  std::optional<double> CallsPerSecond(const std::string& aEndpoint) const;
  // Puts a changed limit into force. aSource is for the log.
  void OnRateLimitChanged(const std::string& aEndpoint, const char* aSource);
  // Puts records of evacuations into force. aSource is for the log.
  void OnEvacuationChanged(const std::string& aZone,
                           bool aEvacuated,
                           const char* aSource);
  // Lifts the limits of endpoints that are no longer cold.
  void ExpireColdEndpoints();
  // An endpoint has responded, or could not be reached.
  void OnColdLeft(const std::string& aEndpoint, std::optional<Millis> aLeft);
  // True if the service has endpoints, all of them in evacuated zones.
  bool IsEvacuated(const std::string& aService) const;
  // Drops what is known of an endpoint that has left the registry.
  void ForgetRateLimit(const std::string& aEndpoint);
  // The endpoint's rate is used up: holds it for about the time of one call at
  // that rate.
  void HoldEndpoint(const std::string& aEndpoint);
  // True if the configuration has been unreadable for longer than
  // kStoreUnavailableAfter.
  bool StoreUnavailable(TimePoint aNow) const;
  // True if this host can admit and serve calls and is not draining.
  bool Ready(TimePoint aNow) const;
  // A new connection to an endpoint of the service worked.
  void OnConnected(const std::string& aService);
  // No connection to the endpoint could be made.
  void OnUnreachable(const std::string& aService, const std::string& aEndpoint);
  // The only version of the service since aSince, if that is certain.
  std::optional<std::string> SoleVersion(const std::string& aService,
                                         TimePoint aSince);
  // A new configuration: remembers which routes lead to other services than
  // before.
  void RecordMovedRoutes(const Catalog& aFormer, const Catalog& aNext);
  // True if streams of the route may have begun at another service since
  // aSince.
  bool HasMovedSince(const RouteEntry& aRoute, TimePoint aSince) const;
  // Passes the current members to the quota, the budgets and the fleet link.
  void UpdateMembers();
  std::shared_ptr<ResponseRelay> MakeRelay(
    const std::shared_ptr<EventReply>& aReply) const;
  // Sends the queued calls for which the dispatcher has an endpoint now, and
  // refuses those that can't begin early enough any more.
  void SendQueuedCalls();
  // Refuses the queued calls that no endpoint is left for.
  void RefuseUnservableCalls();
  // Refuses the queued calls that the shutdown leaves no time for.
  void RefuseCallsPastExit();
  // The call in the dispatcher; null if it has ended.
  std::shared_ptr<CallFlow> FindCall(uint64_t aDispatchId) const;

  GatewaySettings settings;
  GatewayDependencies dependencies;
  // Of all responses together: gathered bodies, outputs of turns, and what
  // waits to be sent.
  std::shared_ptr<ByteBudget> responseMemory;
  OutgoingBytes outgoing;
  std::shared_ptr<const Catalog> catalog;
  TimePoint catalogConfirmedAt{};
  EndpointEntryOrder entryOrder;
  EndpointTable endpoints;
  EndpointRateLimits rateLimits;
  ColdEndpoints coldEndpoints;
  EvacuatedZones evacuatedZones;
  bool endpointsConfirmed = false;
  // The members were read at least once. Until then this host would take itself
  // for the whole fleet.
  bool membersConfirmed = false;
  // When reading the configuration first failed; unset while it succeeds.
  TimePoint storeUnavailableSince{};
  Dispatcher dispatcher;
  FleetQuota quota;
  QuotaClient quotaClient;
  // Limits the calls to endpoints that name a rate; see RateQuotaName.
  FleetQuota endpointQuota;
  QuotaClient endpointQuotaClient;
  StreamOriginClient streamOrigins;
  StreamEventClient streamEvents;
  VersionHistory versions;
  RegistryReadings registryReadings;
  // When a route last changed its services, by host and path prefix.
  std::map<std::pair<std::string, std::string>, TimePoint> routesMovedAt;
  ServiceReach reach;
  RetryingLog persistentLog;
  BudgetService budgets;
  TurnBudgets turnBudgets;
  HistoryService history;
  PeerTable peers;
  ConnectionPolicy connections;
  CallQuarantine quarantine;
  const std::shared_ptr<CrashChecks> crashChecks;
  MemberTable members;
  FleetRecordPeers recordPeers;
  RecordRelay recordRelay;
  // Calls in the dispatcher, queued or placed, by dispatch id.
  std::unordered_map<uint64_t, std::weak_ptr<CallFlow>> calls;
  uint64_t nextDispatchId = 1;
  const std::shared_ptr<ActiveCalls> activeCalls =
    std::make_shared<ActiveCalls>();
  ShutdownSchedule shutdown;
  std::mt19937_64 random;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_GATEWAY_GATEWAY_STATE_H_
