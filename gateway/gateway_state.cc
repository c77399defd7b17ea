// What all calls of one gateway share: what it believes about endpoints and
// members, and the calls in the dispatcher.
#include "gateway/gateway_state.h"

#include <algorithm>

#include "gateway/call_flow.h"

namespace tanagerseam {

namespace {

// Calls per second that an endpoint gets at least. One that takes no calls can
// only be seen to take some again by the response to a call.
constexpr double kMinCallsPerSecond = 0.25;
// Bounds on how long an endpoint is held whose rate is used up.
constexpr double kMinHoldMillis = 25;
constexpr double kMaxHoldMillis = 1000;
// Shorter outages of the store leave the host ready, so that clients do not
// notice them.
constexpr Millis kStoreUnavailableAfter(700);

DispatchSettings
MakeDispatchSettings(const GatewaySettings& aSettings)
{
  DispatchSettings settings;
  settings.zone = aSettings.zone;
  settings.host = aSettings.host;
  settings.placement = aSettings.placement;
  settings.contention = aSettings.contention;
  return settings;
}

ProgramSettings
MakeProgramSettings(const GatewaySettings& aSettings)
{
  ProgramSettings settings;
  settings.incarnation =
    aSettings.host + "." + std::to_string(aSettings.startTime);
  settings.budgets.partitionsPerTopic = aSettings.logPartitions;
  settings.turns.partitionsPerTopic = aSettings.logPartitions;
  settings.keptTurns.partitionsPerTopic = aSettings.logPartitions;
  settings.logRetention = aSettings.logRetention;
  return settings;
}

RecordRelaySettings
MakeRelaySettings(const GatewaySettings& aSettings,
                  const HistoryService& aHistory)
{
  RecordRelaySettings settings;
  settings.asksPeers = aSettings.recordRelay;
  settings.accepts = [&aHistory](const LogPartition& aPartition,
                                 const std::string& aRecord) {
    return aHistory.IsTurnRecord(aPartition, aRecord);
  };
  return settings;
}

} // namespace

GatewayState::GatewayState(GatewaySettings aSettings,
                           GatewayDependencies aDependencies)
  : settings(std::move(aSettings))
  , dependencies(aDependencies)
  , responseMemory(aDependencies.heldMemory
                     ? aDependencies.heldMemory->Budget()
                     : std::make_shared<ByteBudget>(settings.maxResponseBytes))
  , outgoing(this->settings.maxEndpointBytes)
  , dispatcher(MakeDispatchSettings(this->settings))
  , quota(this->settings.host,
          this->settings.startTime,
          this->settings.quotaSlack)
  , quotaClient(this->quota, aDependencies.link, aDependencies.metrics)
  , endpointQuota(this->settings.host,
                  this->settings.startTime,
                  this->settings.endpointRateSlack)
  , endpointQuotaClient(this->endpointQuota,
                        aDependencies.link,
                        aDependencies.metrics)
  , streamOrigins(this->settings.host,
                  aDependencies.link,
                  aDependencies.metrics)
  , streamEvents(this->settings.host, aDependencies.link)
  , registryReadings(aDependencies.io, aDependencies.registry)
  , persistentLog(aDependencies.io, aDependencies.log)
  , budgets(this->persistentLog, MakeProgramSettings(this->settings))
  , turnBudgets(this->settings.host,
                aDependencies.link,
                this->budgets,
                this->persistentLog,
                [this](const std::string& aOrganisation) {
                  return this->quota.AdmitProgram(aOrganisation, BootNow());
                })
  , history(this->persistentLog, MakeProgramSettings(this->settings))
  , crashChecks(std::make_shared<CrashChecks>(
      aDependencies.io,
      [this](const std::string& aIncarnation) {
        this->quarantine.OnEndpointDown(aIncarnation, WallMillis());
      }))
  , recordPeers(this->settings, aDependencies.link, this->peers, this->members)
  , recordRelay(aDependencies.io,
                this->persistentLog,
                this->recordPeers,
                MakeRelaySettings(this->settings, this->history),
                aDependencies.metrics)
  , random(std::random_device{}())
{
  const auto isOwner = [this](const std::string& aPartition) {
    return this->turnBudgets.IsOwner(aPartition);
  };
  this->budgets.SetCheckpointOwner(isOwner);
  this->history.SetOwner(isOwner);
  if (this->settings.freshStart) {
    this->versions.OnNewFleet();
  }
}

Millis
GatewayState::CatalogAge(TimePoint aNow) const
{
  return std::chrono::duration_cast<Millis>(aNow - this->catalogConfirmedAt);
}

bool
GatewayState::CatalogFresh(TimePoint aNow) const
{
  return this->catalog &&
         this->CatalogAge(aNow) <
           this->settings.keyFreshness - this->settings.keyFreshnessMargin;
}

bool
GatewayState::StoreUnavailable(TimePoint aNow) const
{
  return this->storeUnavailableSince != TimePoint{} &&
         aNow - this->storeUnavailableSince > kStoreUnavailableAfter;
}

bool
GatewayState::Ready(TimePoint aNow) const
{
  return !this->shutdown.HasBegun() && this->endpointsConfirmed &&
         this->membersConfirmed && this->CatalogFresh(aNow) &&
         !this->StoreUnavailable(aNow);
}

void
GatewayState::UpdateDispatcher()
{
  std::map<std::string, std::vector<DispatchEndpoint>> byService;
  std::map<std::string, int64_t> cacheTokens;
  if (this->catalog) {
    for (const ServiceEntry& service : this->catalog->Services()) {
      byService[service.name];
      cacheTokens[service.name] = service.cacheTokens;
    }
  }
  for (auto& entry : byService) {
    for (const EndpointEntry* endpoint : this->endpoints.Usable(entry.first)) {
      entry.second.push_back({ endpoint->id,
                               endpoint->zone,
                               endpoint->slots,
                               this->CallsPerSecond(endpoint->id),
                               endpoint->version,
                               this->settings.regions.RegionOf(endpoint->zone),
                               cacheTokens[entry.first],
                               endpoint->startedAtMillis });
    }
    this->dispatcher.SetEndpoints(entry.first, entry.second);
  }
  this->RefuseUnservableCalls();
}

void
GatewayState::MarkLeaving(const LeavingEndpoint& aAnnouncement,
                          const char* aSource)
{
  if (!this->endpoints.MarkLeaving(aAnnouncement, BootNow())) {
    return;
  }
  LogInfo("endpoint_leaving",
          { { "endpoint", aAnnouncement.id },
            { "source", aSource },
            { "started", std::to_string(aAnnouncement.startedAtMillis) },
            { "announced", std::to_string(aAnnouncement.announcedAtMillis) } });
  this->UpdateDispatcher();
}

void
GatewayState::MarkLeavingNow(const std::string& aEndpoint, const char* aSource)
{
  const EndpointEntry* entry = this->endpoints.Find(aEndpoint);
  const int64_t startedAtMillis = entry == nullptr ? 0 : entry->startedAtMillis;
  this->MarkLeaving({ aEndpoint, startedAtMillis, WallMillis() }, aSource);
}

void
GatewayState::OnRateLimit(const std::string& aEndpoint,
                          std::optional<double> aCallsPerSecond,
                          int64_t aSentAtMillis)
{
  const EndpointEntry* entry = this->endpoints.Find(aEndpoint);
  if (entry == nullptr) {
    return;
  }
  const EndpointRateLimit announcement{
    aEndpoint, entry->startedAtMillis, aCallsPerSecond, WallMillis()
  };
  if (this->rateLimits.OnResponse(announcement, aSentAtMillis)) {
    this->OnRateLimitChanged(aEndpoint, "response");
  }
}

std::optional<double>
GatewayState::CallsPerSecond(const std::string& aEndpoint) const
{
  const auto stated = this->rateLimits.Find(aEndpoint);
  const auto cold = this->coldEndpoints.Limit(aEndpoint, BootNow());
  if (stated && cold) {
    return std::min(*stated, *cold);
  }
  return stated ? stated : cold;
}

void
GatewayState::OnRateLimitChanged(const std::string& aEndpoint,
                                 const char* aSource)
{
  const auto limit = this->CallsPerSecond(aEndpoint);
  const Millis coldLeft = this->coldEndpoints.ColdLeft(aEndpoint, BootNow());
  LogInfo(
    "endpoint_rate_limit",
    { { "endpoint", aEndpoint },
      { "calls_per_second", limit ? std::to_string(*limit) : "unlimited" },
      { "cold_ms", std::to_string(coldLeft.count()) },
      { "source", aSource } });
  this->dispatcher.SetRateLimit(aEndpoint, limit);
  const double callsPerSecond =
    limit ? std::max(*limit, kMinCallsPerSecond) : 0;
  // Where both limits hold, the stricter slack of a cold endpoint does, too.
  const bool isCold =
    this->coldEndpoints.Limit(aEndpoint, BootNow()).has_value();
  const QuotaSlack& slack =
    isCold ? this->settings.coldSlack : this->settings.endpointRateSlack;
  const bool startFull = false;
  this->endpointQuota.SetCap(RateQuotaName(aEndpoint),
                             { callsPerSecond, 0, isCold },
                             slack,
                             startFull,
                             BootNow());
}

void
GatewayState::OnEvacuationChanged(const std::string& aZone,
                                  bool aEvacuated,
                                  const char* aSource)
{
  LogInfo(aEvacuated ? "zone_evacuated" : "zone_evacuation_ended",
          { { "zone", aZone }, { "source", aSource } });
  const ZoneRegions& regions = this->settings.regions;
  if (aEvacuated && !regions.IsKnown(aZone)) {
    LogWarn("evacuated_zone_unknown", { { "zone", aZone } });
  }
  this->endpoints.SetZoneEvacuated(aZone, aEvacuated);
  if (!aEvacuated && this->catalog) {
    for (const ServiceEntry& service : this->catalog->Services()) {
      for (const EndpointEntry* endpoint : this->endpoints.All(service.name)) {
        const bool inZone = endpoint->zone == aZone;
        if (inZone && this->coldEndpoints.AssumeCold(endpoint->id, BootNow())) {
          this->OnRateLimitChanged(endpoint->id, "evacuation_ended");
        }
      }
    }
  }
  this->UpdateDispatcher();
}

void
GatewayState::ExpireColdEndpoints()
{
  for (const std::string& id : this->coldEndpoints.Expire(BootNow())) {
    this->OnRateLimitChanged(id, "warm");
  }
}

void
GatewayState::OnColdLeft(const std::string& aEndpoint,
                         std::optional<Millis> aLeft)
{
  const TimePoint now = BootNow();
  this->coldEndpoints.OnResponse(aEndpoint, now);
  if (aLeft && this->coldEndpoints.OnColdLeft(aEndpoint, *aLeft, now)) {
    this->OnRateLimitChanged(aEndpoint, "response");
  }
}

bool
GatewayState::IsEvacuated(const std::string& aService) const
{
  const auto all = this->endpoints.All(aService);
  return !all.empty() &&
         std::all_of(all.begin(), all.end(), [this](const auto* aEndpoint) {
           return this->endpoints.IsZoneEvacuated(aEndpoint->zone);
         });
}

void
GatewayState::ForgetRateLimit(const std::string& aEndpoint)
{
  this->rateLimits.Forget(aEndpoint);
  this->coldEndpoints.Forget(aEndpoint);
  this->endpointQuota.RemoveOrganisation(RateQuotaName(aEndpoint));
}

void
GatewayState::HoldEndpoint(const std::string& aEndpoint)
{
  const double limit =
    std::max(this->CallsPerSecond(aEndpoint).value_or(0), kMinCallsPerSecond);
  // Drawn, so that hosts do not ask for the same call.
  std::uniform_real_distribution<double> factor(0.5, 1.5);
  const double holdMillis = std::clamp(
    1000 / limit * factor(this->random), kMinHoldMillis, kMaxHoldMillis);
  this->dispatcher.HoldEndpoint(
    aEndpoint, BootNow() + Millis(static_cast<int64_t>(holdMillis)));
}

void
GatewayState::OnConnected(const std::string& aService)
{
  if (this->reach.OnConnected(aService)) {
    LogInfo("service_regained", { { "service", aService } });
  }
}

void
GatewayState::OnUnreachable(const std::string& aService,
                            const std::string& aEndpoint)
{
  const size_t endpoints = this->endpoints.Usable(aService).size();
  const TimePoint now = BootNow();
  if (this->coldEndpoints.OnUnreachable(aEndpoint, now)) {
    this->OnRateLimitChanged(aEndpoint, "unreachable");
  }
  if (!this->reach.OnUnreachable(aService, aEndpoint, endpoints, now)) {
    return;
  }
  LogWarn(
    "service_lost",
    { { "service", aService },
      { "last_endpoint", aEndpoint },
      { "endpoints", std::to_string(endpoints) },
      { "peers", std::to_string(this->peers.Ready(aService, now).size()) } });
}

std::optional<std::string>
GatewayState::SoleVersion(const std::string& aService, TimePoint aSince)
{
  const TimePoint now = BootNow();
  for (const EndpointEntry* endpoint : this->endpoints.All(aService)) {
    this->versions.See(aService, endpoint->version, now);
  }
  return this->versions.SoleVersion(aService, aSince, now);
}

void
GatewayState::RecordMovedRoutes(const Catalog& aFormer, const Catalog& aNext)
{
  const TimePoint now = BootNow();
  for (auto it = this->routesMovedAt.begin();
       it != this->routesMovedAt.end();) {
    const bool old = now - it->second > StreamOrigins::kStreamMemory;
    it = old ? this->routesMovedAt.erase(it) : std::next(it);
  }
  for (const RouteEntry& route : aNext.Routes()) {
    const RouteEntry* former = aFormer.FindRoute(route.host, route.pathPrefix);
    if (former != nullptr && !HaveSameTargets(*former, route)) {
      this->routesMovedAt[{ route.host, route.pathPrefix }] = now;
    }
  }
}

bool
GatewayState::HasMovedSince(const RouteEntry& aRoute, TimePoint aSince) const
{
  auto found = this->routesMovedAt.find({ aRoute.host, aRoute.pathPrefix });
  return found != this->routesMovedAt.end() && found->second >= aSince;
}

void
GatewayState::UpdateMembers()
{
  std::vector<std::string> hosts;
  std::vector<FleetMember> others;
  for (const FleetMember& member : this->members.Members()) {
    hosts.push_back(member.host);
    if (member.host != this->settings.host) {
      others.push_back(member);
    }
  }
  const Millis reportPeriod = FleetLink::ReportPeriod(others.size());
  this->quota.SetMembers(hosts, reportPeriod);
  this->endpointQuota.SetMembers(hosts, reportPeriod);
  this->turnBudgets.SetMembers(hosts);
  this->streamOrigins.SetMembers(hosts);
  this->streamEvents.SetMembers(hosts);
  this->dispatcher.SetFleetSize(std::max<size_t>(1, hosts.size()));
  this->dependencies.link.SetPeers(std::move(others));
}

std::shared_ptr<ResponseRelay>
GatewayState::MakeRelay(const std::shared_ptr<EventReply>& aReply) const
{
  return std::make_shared<ResponseRelay>(this->dependencies.client,
                                         this->dependencies.dialect,
                                         aReply,
                                         this->responseMemory);
}

std::shared_ptr<CallFlow>
GatewayState::FindCall(uint64_t aDispatchId) const
{
  auto found = this->calls.find(aDispatchId);
  return found == this->calls.end() ? nullptr : found->second.lock();
}

void
GatewayState::RefuseUnservableCalls()
{
  for (const uint64_t id : this->dispatcher.DropUnservable(BootNow())) {
    if (const auto call = this->FindCall(id)) {
      call->OnUnservable();
    }
  }
}

void
GatewayState::RefuseCallsPastExit()
{
  std::vector<std::shared_ptr<CallFlow>> waiting;
  for (const auto& entry : this->calls) {
    const auto call = entry.second.lock();
    if (call && call->IsQueued()) {
      waiting.push_back(call);
    }
  }
  for (const auto& call : waiting) {
    call->CheckShutdown();
  }
}

void
GatewayState::SendQueuedCalls()
{
  for (const MissedCall& missed : this->dispatcher.DropMissed(BootNow())) {
    if (const auto call = this->FindCall(missed.id)) {
      call->OnMissed(missed.refused);
    }
  }
  for (const Placement& placement : this->dispatcher.PlaceQueued(BootNow())) {
    if (const auto call = this->FindCall(placement.callId)) {
      call->Send(placement);
    } else {
      this->dispatcher.OnAttemptEnded(
        placement.callId, { AttemptResult::kCancelled }, BootNow());
    }
  }
}

} // namespace tanagerseam
