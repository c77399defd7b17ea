#include "gateway/gateway.h"

#include "gateway/call_flow.h"
#include "gateway/gateway_state.h"

namespace tanagerseam {

namespace {

namespace asio = restinio::asio_ns;

constexpr Millis kTickInterval(25);
// Every so many reports name the work of organisations: with eight of them to
// 16 peers, at most 2.2 KB a second.
constexpr uint64_t kReportsPerWork = 10;

} // namespace

struct Gateway::Impl : public std::enable_shared_from_this<Gateway::Impl>
{
  Impl(GatewaySettings aSettings, GatewayDependencies aDependencies)
    : state(std::move(aSettings), aDependencies)
    , tickTimer(aDependencies.io)
    , reportTimer(aDependencies.io)
  {
  }

  void Tick()
  {
    const TimePoint now = BootNow();
    this->state.quota.OnTick(now);
    this->state.endpointQuota.OnTick(now);
    const auto expired = this->state.endpoints.PurgeRemoved(now);
    for (const std::string& id : expired) {
      LogInfo("endpoint_removed", { { "endpoint", id }, { "why", "expired" } });
    }
    for (const std::string& id : expired) {
      this->state.ForgetRateLimit(id);
    }
    if (!expired.empty()) {
      this->state.UpdateDispatcher();
    }
    this->state.ExpireColdEndpoints();
    if (this->state.dispatcher.QueuedCalls() > 0) {
      this->state.SendQueuedCalls();
    }
    if (this->state.shutdown.HasBegun()) {
      this->state.RefuseCallsPastExit();
    }
    this->tickTimer.expires_after(kTickInterval);
    this->tickTimer.async_wait([this](const auto& aError) {
      if (!aError) {
        this->Tick();
      }
    });
  }

  void PublishReport()
  {
    const TimePoint now = BootNow();
    this->state.budgets.Tick(now);
    this->state.history.Tick(now);
    this->ExpireMembers(now);
    HostReport hostReport;
    hostReport.storeUnavailable = this->state.StoreUnavailable(now) ||
                                  this->state.shutdown.HasBegun() ||
                                  this->state.persistentLog.IsUnavailable(now);
    hostReport.ready =
      this->state.Ready(now) && !this->state.persistentLog.IsUnavailable(now);
    hostReport.callAddress = this->state.settings.callAddress;
    hostReport.host = this->state.settings.host;
    hostReport.startTime = this->state.settings.startTime;
    hostReport.endpointLoads = this->state.dispatcher.OwnLoads();
    hostReport.work = this->state.dispatcher.OwnWorks();
    // Reports go to peers in turn, so every tenth one could always reach the
    // same peers.
    std::uniform_int_distribution<uint64_t> draw(1, kReportsPerWork);
    if (draw(this->state.random) == 1) {
      hostReport.organisationWork = this->state.dispatcher.OwnWork(now);
    }
    hostReport.quotaReports = this->state.quota.OwnReports(now);
    hostReport.quotaReports.merge(this->state.endpointQuota.OwnReports(now));
    hostReport.lostServices = this->state.reach.Lost();
    hostReport.evacuations = this->state.evacuatedZones.Records();
    hostReport.coldEndpoints = this->state.coldEndpoints.Reports(now);
    hostReport.leavingEndpoints = this->state.endpoints.Leaving();
    this->state.quarantine.Expire(WallMillis());
    hostReport.quarantine = this->state.quarantine.Report(WallMillis());
    hostReport.rateLimits = this->state.rateLimits.Announcements(WallMillis());
    this->state.dependencies.link.SendReport(std::move(hostReport));
    this->UpdateGauges(now);
    FlushLog();
    this->reportTimer.expires_after(FleetLink::kReportInterval);
    this->reportTimer.async_wait([this](const auto& aError) {
      if (!aError) {
        this->PublishReport();
      }
    });
  }

  void ExpireMembers(TimePoint aNow)
  {
    const auto expiredHosts = this->state.members.RemoveExpired(aNow);
    for (const std::string& host : expiredHosts) {
      LogInfo("member_gone", { { "member", host } });
    }
    if (!expiredHosts.empty()) {
      this->state.UpdateMembers();
    }
  }

  void UpdateGauges(TimePoint aNow)
  {
    Metrics& metrics = this->state.dependencies.metrics;
    metrics.Set("tanagerseam_catalog_age_seconds",
                {},
                static_cast<double>(this->state.CatalogAge(aNow).count()) /
                  1000);
    metrics.Set("tanagerseam_calls_under_way",
                {},
                static_cast<double>(this->state.activeCalls->Count()));
    metrics.Set("tanagerseam_calls_waiting",
                {},
                static_cast<double>(this->state.dispatcher.QueuedCalls()));
    metrics.Set("tanagerseam_held_bytes",
                {},
                static_cast<double>(this->state.responseMemory->Used()));
    metrics.Set("tanagerseam_outstanding_work_seconds",
                {},
                this->state.dispatcher.OwnWorkMillis() / 1000);
    metrics.Set("tanagerseam_services_lost",
                {},
                static_cast<double>(this->state.reach.Lost().size()));
    metrics.Set("tanagerseam_endpoints_with_rate_limit",
                {},
                static_cast<double>(this->state.rateLimits.Count()));
    metrics.Set("tanagerseam_zones_evacuated",
                {},
                static_cast<double>(this->state.evacuatedZones.Count()));
    metrics.Set("tanagerseam_endpoints_cold",
                {},
                static_cast<double>(this->state.coldEndpoints.Count()));
    metrics.Set(
      "tanagerseam_calls_quarantined",
      {},
      static_cast<double>(this->state.quarantine.Count(WallMillis())));
    metrics.Set("tanagerseam_members_heard",
                {},
                static_cast<double>(this->state.quota.ReachableMembers(aNow)));
  }

  void OnReport(const HostReport& aReport)
  {
    const TimePoint now = BootNow();
    this->state.peers.RecordReport(aReport, now);
    this->state.members.OnReport(aReport.host, now);
    this->state.dispatcher.OnPeerReport(
      aReport.host, aReport.endpointLoads, now, aReport.work);
    this->state.dispatcher.OnPeerWork(
      aReport.host, aReport.organisationWork, now);
    this->state.turnBudgets.RecordHeartbeat(
      aReport.host, !aReport.storeUnavailable, now);
    this->state.quota.OnPeerReport(
      aReport.host, aReport.startTime, aReport.quotaReports, now);
    this->state.endpointQuota.OnPeerReport(
      aReport.host, aReport.startTime, aReport.quotaReports, now);
    this->state.quarantine.OnPeerReport(aReport.quarantine);
    for (const ZoneEvacuation& record : aReport.evacuations) {
      if (this->state.evacuatedZones.OnPeerRecord(record)) {
        this->state.OnEvacuationChanged(record.zone, record.evacuated, "peer");
      }
    }
    for (const ColdReport& report : aReport.coldEndpoints) {
      if (this->state.coldEndpoints.OnPeerReport(report, now)) {
        this->state.OnRateLimitChanged(report.id, "peer");
      }
    }
    for (const LeavingEndpoint& announcement : aReport.leavingEndpoints) {
      this->state.MarkLeaving(announcement, "peer");
    }
    for (const EndpointRateLimit& announcement : aReport.rateLimits) {
      const EndpointEntry* entry = this->state.endpoints.Find(announcement.id);
      if (this->state.rateLimits.OnPeerReport(announcement, entry)) {
        this->state.OnRateLimitChanged(announcement.id, "peer");
      }
    }
  }

  GatewayState state;
  asio::steady_timer tickTimer;
  asio::steady_timer reportTimer;
};

Gateway::Gateway(GatewaySettings aSettings, GatewayDependencies aDependencies)
  : impl(std::make_shared<Impl>(std::move(aSettings), aDependencies))
{
}

Gateway::~Gateway() = default;

void
Gateway::Start()
{
  Impl* self = this->impl.get();
  FleetHandlers handlers;
  handlers.onReport = [self](const HostReport& aReport) {
    self->OnReport(aReport);
  };
  handlers.onReserve = [self](const TokenRequest& aRequest,
                              Millis aTimeout,
                              std::function<void(ReserveResponse)> aDone) {
    self->state.turnBudgets.ReserveForPeer(
      aRequest, aTimeout, std::move(aDone));
  };
  handlers.onAcquireQuota = [self](const std::string& aHost,
                                   uint64_t aOrganisationHash) {
    const QuotaAnswer answer =
      self->state.endpointQuotaClient.AcquireForPeer(aHost, aOrganisationHash);
    // Unknown as an endpoint's quota, so it is an organisation's.
    return answer == QuotaAnswer::kNoAnswer
             ? self->state.quotaClient.AcquireForPeer(aHost, aOrganisationHash)
             : answer;
  };
  handlers.onSettle = [self](const TokenRequest& aRequest,
                             int64_t aUsedTokens) {
    self->state.turnBudgets.SettleForPeer(aRequest, aUsedTokens);
  };
  handlers.onStreamBegan = [self](uint64_t aStream,
                                  const StreamOrigin& aOrigin) {
    self->state.streamOrigins.OnAnnounced(aStream, aOrigin);
  };
  handlers.onFindStream = [self](uint64_t aStream) {
    return self->state.streamOrigins.FindForPeer(aStream);
  };
  handlers.onStreamEvent = [self](uint64_t aStream, PlacedEvent aEvent) {
    self->state.streamEvents.OnTold(aStream, std::move(aEvent));
  };
  handlers.onFindStreamEvents = [self](uint64_t aStream, uint64_t aLastEvent) {
    return self->state.streamEvents.FindForPeer(aStream, aLastEvent);
  };
  handlers.onMessageSkipped = [self](SkippedMessage aReason) {
    self->state.dependencies.metrics.Count(
      "tanagerseam_peer_messages_skipped_total",
      { { "reason", std::string(NameOf(aReason)) } });
  };
  handlers.onAppendRecord =
    [self](const PeerRecord& aRecord,
           std::function<void(PeerAppendAnswer)> aDone) {
      self->state.recordRelay.AppendForPeer(aRecord, std::move(aDone));
    };
  this->impl->state.dependencies.link.SetHandlers(std::move(handlers));
  this->impl->Tick();
  this->impl->PublishReport();
}

void
Gateway::SetCatalog(std::shared_ptr<const Catalog> aCatalog)
{
  GatewayState& state = this->impl->state;
  if (state.catalog && aCatalog->Version() <= state.catalog->Version()) {
    return;
  }
  const TimePoint now = BootNow();
  const bool isFirstCatalog = !state.catalog;
  if (!isFirstCatalog) {
    state.RecordMovedRoutes(*state.catalog, *aCatalog);
  }
  state.catalog = std::move(aCatalog);
  state.budgets.SetKeepTime(state.catalog->LongestHistoryRetention());
  std::vector<std::string> names;
  for (const OrganisationEntry& entry : state.catalog->Organisations()) {
    names.push_back(entry.name);
    state.quota.SetCap(entry.name,
                       { entry.ratePerSecond, entry.burst },
                       isFirstCatalog && state.settings.freshStart,
                       now);
  }
  state.quota.RetainOrganisations(names);
  for (const ServiceEntry& service : state.catalog->Services()) {
    state.coldEndpoints.SetPolicy(
      service.name, { service.coldTime, service.coldCallsPerSecond });
  }
  state.UpdateDispatcher();
  LogInfo("catalog_applied",
          { { "version", std::to_string(state.catalog->Version()) } });
}

void
Gateway::ConfirmCatalog(TimePoint aReadStartedAt)
{
  GatewayState& state = this->impl->state;
  const bool wasFresh = state.CatalogFresh(BootNow());
  state.catalogConfirmedAt = std::max(state.catalogConfirmedAt, aReadStartedAt);
  if (state.storeUnavailableSince != TimePoint{}) {
    state.storeUnavailableSince = TimePoint{};
    state.persistentLog.MarkAvailable();
  }
  if (!wasFresh && state.CatalogFresh(BootNow())) {
    LogInfo("catalog_fresh",
            { { "version", std::to_string(state.catalog->Version()) } });
  }
}

void
Gateway::PutEndpoint(EndpointEntry aEndpoint)
{
  GatewayState& state = this->impl->state;
  const std::string id = aEndpoint.id;
  if (!state.entryOrder.Take(aEndpoint, BootNow())) {
    LogInfo("server_entry_outdated",
            { { "endpoint", id },
              { "started", std::to_string(aEndpoint.startedAtMillis) },
              { "sequence", std::to_string(aEndpoint.sequence.value_or(0)) },
              { "draining", aEndpoint.draining ? "true" : "false" } });
    return;
  }
  const EndpointEntry* previous = state.endpoints.Find(id);
  const bool changed = previous == nullptr ||
                       previous->address != aEndpoint.address ||
                       previous->version != aEndpoint.version ||
                       previous->service != aEndpoint.service;
  const bool wasUsable = state.endpoints.IsUsable(id);
  const bool newLimit = state.rateLimits.OnEntry(aEndpoint);
  const bool becameCold = state.coldEndpoints.OnEntry(
    { id, aEndpoint.service, aEndpoint.startedAtMillis, aEndpoint.coldLeft },
    BootNow());
  if (newLimit || becameCold) {
    state.OnRateLimitChanged(id, becameCold ? "cold" : "new_incarnation");
  }
  if (previous != nullptr) {
    state.versions.See(previous->service, previous->version, BootNow());
  }
  state.versions.See(aEndpoint.service, aEndpoint.version, BootNow());
  state.endpoints.Put(std::move(aEndpoint), BootNow());
  if (!changed && wasUsable == state.endpoints.IsUsable(id)) {
    return;
  }
  const EndpointEntry& endpoint = *state.endpoints.Find(id);
  LogInfo("endpoint_changed",
          { { "endpoint", id },
            { "service", endpoint.service },
            { "address", endpoint.address },
            { "version", endpoint.version },
            { "draining", endpoint.draining ? "true" : "false" } });
  state.UpdateDispatcher();
}

void
Gateway::RemoveEndpoint(const std::string& aId)
{
  GatewayState& state = this->impl->state;
  const EndpointEntry* endpoint = state.endpoints.Find(aId);
  if (endpoint == nullptr) {
    return;
  }
  state.versions.See(endpoint->service, endpoint->version, BootNow());
  state.endpoints.Remove(aId, BootNow());
  if (state.endpoints.Find(aId) == nullptr) {
    state.ForgetRateLimit(aId);
  }
  const bool stillUsable = state.endpoints.IsUsable(aId);
  LogInfo(
    "endpoint_removed",
    { { "endpoint", aId }, { "why", stillUsable ? "in_grace" : "registry" } });
  state.UpdateDispatcher();
}

void
Gateway::PutEvacuation(const ZoneEvacuation& aRecord)
{
  GatewayState& state = this->impl->state;
  if (state.evacuatedZones.OnStoreRecord(aRecord)) {
    state.OnEvacuationChanged(aRecord.zone, aRecord.evacuated, "store");
  }
}

void
Gateway::ConfirmEvacuations(int64_t aPosition)
{
  GatewayState& state = this->impl->state;
  for (const std::string& zone : state.evacuatedZones.OnStoreRead(aPosition)) {
    state.OnEvacuationChanged(zone, false, "store");
  }
}

void
Gateway::MarkCatalogUnavailable()
{
  GatewayState& state = this->impl->state;
  if (state.storeUnavailableSince == TimePoint{}) {
    state.storeUnavailableSince = BootNow();
  }
}

void
Gateway::MarkEndpointsUnavailable()
{
  this->impl->state.endpoints.OnRegistryLost();
  this->impl->state.versions.MarkUnavailable();
  this->impl->state.registryReadings.OnFailed();
}

void
Gateway::ConfirmEndpoints(TimePoint aReadStartedAt)
{
  this->impl->state.endpoints.OnRegistryRecovered(BootNow());
  this->impl->state.versions.Confirm(aReadStartedAt);
  this->impl->state.endpointsConfirmed = true;
  this->impl->state.registryReadings.OnRead(aReadStartedAt);
}

void
Gateway::PutMember(const FleetMember& aMember, bool aPreexisting)
{
  GatewayState& state = this->impl->state;
  if (state.members.OnAnnouncement(aMember, aPreexisting, BootNow())) {
    state.UpdateMembers();
  }
}

void
Gateway::RemoveMember(const std::string& aHost)
{
  GatewayState& state = this->impl->state;
  if (state.members.Remove(aHost)) {
    state.UpdateMembers();
  }
}

void
Gateway::MarkMembersUnavailable()
{
  this->impl->state.members.OnLogUnavailable();
}

void
Gateway::ConfirmMembers()
{
  this->impl->state.members.OnLogAvailable(BootNow());
  this->impl->state.membersConfirmed = true;
}

void
Gateway::Handle(EventRequest aRequest, std::shared_ptr<EventReply> aReply)
{
  GatewayState& state = this->impl->state;
  auto read = state.dependencies.dialect.ParseCall(std::move(aRequest));
  if (const auto* refusal = std::get_if<Refusal>(&read)) {
    const HttpAnswer out =
      state.dependencies.dialect.BuildRefusalResponse(*refusal, "");
    LogInfo("refused",
            { { "reason", std::string(RowOf(refusal->reason).name) },
              { "detail", refusal->detail } });
    aReply->Send(out.status, out.headers, out.body);
    return;
  }
  auto call = std::make_shared<CallFlow>(
    state, std::get<ServiceCall>(std::move(read)), std::move(aReply));
  call->Start();
}

bool
Gateway::Ready() const
{
  return this->impl->state.Ready(BootNow());
}

void
Gateway::BeginShutdown(Millis aUntilExit)
{
  const TimePoint now = BootNow();
  this->impl->state.shutdown.Begin(now, now + aUntilExit);
  this->impl->state.budgets.ReturnUnused();
}

void
Gateway::EndCalls()
{
  this->impl->state.activeCalls->EndAll();
}

size_t
Gateway::InFlightCalls() const
{
  return this->impl->state.activeCalls->Count();
}

} // namespace tanagerseam
