#include "gateway/gateway.h"

#include "gateway/call_flow.h"
#include "gateway/gateway_state.h"

namespace tanagerseam {

namespace {

namespace asio = restinio::asio_ns;

constexpr Millis kTickEvery(25);
// An absence of the store that clients need not notice.
constexpr Millis kStoreAwayAfter(700);

DispatchSettings
DispatchSettingsOf(const GatewaySettings& aSettings)
{
  DispatchSettings settings;
  settings.zone = aSettings.zone;
  settings.host = aSettings.host;
  return settings;
}

ProgramSettings
ProgramSettingsOf(const GatewaySettings& aSettings)
{
  ProgramSettings settings;
  settings.incarnation =
    aSettings.host + "." + std::to_string(aSettings.started);
  settings.budgets.partitionsPerTopic = aSettings.logParts;
  settings.turns.partitionsPerTopic = aSettings.logParts;
  return settings;
}

} // namespace

GatewayState::GatewayState(GatewaySettings aSettings, GatewayParts aParts)
  : settings(std::move(aSettings))
  , parts(aParts)
  , dispatcher(DispatchSettingsOf(this->settings))
  , quota(this->settings.host,
          this->settings.started,
          this->settings.quotaSlack)
  , persistentLog(aParts.io, aParts.log)
  , budgets(this->persistentLog, ProgramSettingsOf(this->settings))
  , turnBudgets(this->settings.host,
                aParts.link,
                this->budgets,
                [this](const std::string& aOrganisation) {
                  return this->quota.AdmitProgram(aOrganisation, BootNow());
                })
  , history(this->persistentLog, ProgramSettingsOf(this->settings))
  , random(std::random_device{}())
{
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
GatewayState::StoreAway(TimePoint aNow) const
{
  return this->storeLostSince != TimePoint{} &&
         aNow - this->storeLostSince > kStoreAwayAfter;
}

bool
GatewayState::Ready(TimePoint aNow) const
{
  return !this->draining && this->endpointsKnown && this->CatalogFresh(aNow) &&
         !this->StoreAway(aNow);
}

void
GatewayState::UpdateDispatcher()
{
  std::map<std::string, std::vector<DispatchEndpoint>> byService;
  if (this->catalog) {
    for (const ServiceEntry& service : this->catalog->Services()) {
      byService[service.name];
    }
  }
  for (auto& entry : byService) {
    for (const EndpointEntry* endpoint : this->endpoints.Usable(entry.first)) {
      entry.second.push_back({ endpoint->id, endpoint->zone, endpoint->slots });
    }
    this->dispatcher.SetEndpoints(entry.first, entry.second);
  }
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
  this->quota.SetMembers(hosts);
  this->turnBudgets.SetMembers(hosts);
  this->parts.link.SetPeers(std::move(others));
}

void
GatewayState::SendWaiting()
{
  for (const Placement& placement : this->dispatcher.PlaceQueued(BootNow())) {
    auto found = this->calls.find(placement.callId);
    auto call = found == this->calls.end() ? nullptr : found->second.lock();
    if (call) {
      call->Send(placement);
    } else {
      this->dispatcher.OnAttemptEnded(
        placement.callId, { AttemptResult::kCancelled }, BootNow());
    }
  }
}

struct Gateway::Impl : public std::enable_shared_from_this<Gateway::Impl>
{
  Impl(GatewaySettings aSettings, GatewayParts aParts)
    : state(std::move(aSettings), aParts)
    , tick(aParts.io)
    , report(aParts.io)
  {
  }

  void Tick()
  {
    const TimePoint now = BootNow();
    const auto expired = this->state.endpoints.PurgeRemoved(now);
    for (const std::string& id : expired) {
      LogInfo("endpoint_removed", { { "endpoint", id }, { "why", "expired" } });
    }
    if (!expired.empty()) {
      this->state.UpdateDispatcher();
    }
    if (this->state.dispatcher.QueuedCalls() > 0) {
      this->state.SendWaiting();
    }
    this->tick.expires_after(kTickEvery);
    this->tick.async_wait([this](const auto& aError) {
      if (!aError) {
        this->Tick();
      }
    });
  }

  void Report()
  {
    const TimePoint now = BootNow();
    this->state.budgets.Tick(now);
    this->ExpireMembers(now);
    HostReport told;
    told.storeUnavailable = this->state.StoreAway(now) ||
                            this->state.draining ||
                            this->state.persistentLog.IsUnavailable(now);
    told.ready =
      this->state.Ready(now) && !this->state.persistentLog.IsUnavailable(now);
    told.callAddress = this->state.settings.callAddress;
    told.host = this->state.settings.host;
    told.startTime = this->state.settings.started;
    told.endpointLoads = this->state.dispatcher.OwnLoads();
    told.quotaReports = this->state.quota.OwnReports(now);
    this->state.parts.link.SendReport(std::move(told));
    this->ShowGauges(now);
    FlushLog();
    this->report.expires_after(kReportEvery);
    this->report.async_wait([this](const auto& aError) {
      if (!aError) {
        this->Report();
      }
    });
  }

  void ExpireMembers(TimePoint aNow)
  {
    const auto gone = this->state.members.RemoveExpired(aNow);
    for (const std::string& host : gone) {
      LogInfo("member_gone", { { "member", host } });
    }
    if (!gone.empty()) {
      this->state.UpdateMembers();
    }
  }

  void ShowGauges(TimePoint aNow)
  {
    Metrics& metrics = this->state.parts.metrics;
    metrics.Set("tanagerseam_catalog_age_seconds",
                {},
                static_cast<double>(this->state.CatalogAge(aNow).count()) /
                  1000);
    metrics.Set("tanagerseam_calls_under_way",
                {},
                static_cast<double>(this->state.underWay));
    metrics.Set("tanagerseam_calls_waiting",
                {},
                static_cast<double>(this->state.dispatcher.QueuedCalls()));
    metrics.Set("tanagerseam_members_heard",
                {},
                static_cast<double>(this->state.quota.ReachableMembers(aNow)));
  }

  void OnReport(const HostReport& aReport)
  {
    const TimePoint now = BootNow();
    this->state.peers.Heard(aReport, now);
    this->state.members.OnReport(aReport.host, now);
    this->state.dispatcher.OnPeerReport(
      aReport.host, aReport.endpointLoads, now);
    this->state.turnBudgets.Heard(aReport.host, !aReport.storeUnavailable, now);
    this->state.quota.OnPeerReport(
      aReport.host, aReport.startTime, aReport.quotaReports, now);
  }

  GatewayState state;
  asio::steady_timer tick;
  asio::steady_timer report;
};

Gateway::Gateway(GatewaySettings aSettings, GatewayParts aParts)
  : impl(std::make_shared<Impl>(std::move(aSettings), aParts))
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
                              Millis aWait,
                              std::function<void(ReserveResponse)> aDone) {
    self->state.turnBudgets.ReserveForPeer(aRequest, aWait, std::move(aDone));
  };
  handlers.onSettle = [self](const TokenRequest& aRequest, int64_t aUsed) {
    self->state.turnBudgets.SettleForPeer(aRequest, aUsed);
  };
  this->impl->state.parts.link.SetHandlers(std::move(handlers));
  this->impl->Tick();
  this->impl->Report();
}

void
Gateway::SetCatalog(std::shared_ptr<const Catalog> aCatalog)
{
  GatewayState& state = this->impl->state;
  if (state.catalog && aCatalog->Version() <= state.catalog->Version()) {
    return;
  }
  const TimePoint now = BootNow();
  const bool first = !state.catalog;
  state.catalog = std::move(aCatalog);
  std::vector<std::string> names;
  for (const OrganisationEntry& entry : state.catalog->Organisations()) {
    names.push_back(entry.name);
    state.quota.SetCap(entry.name,
                       { entry.ratePerSecond, entry.burst },
                       first && state.settings.freshStart,
                       now);
  }
  state.quota.RetainOrganisations(names);
  state.UpdateDispatcher();
  LogInfo("catalog_applied",
          { { "version", std::to_string(state.catalog->Version()) } });
}

void
Gateway::CatalogConfirmed(TimePoint aAskedAt)
{
  GatewayState& state = this->impl->state;
  const bool wasFresh = state.CatalogFresh(BootNow());
  state.catalogConfirmedAt = std::max(state.catalogConfirmedAt, aAskedAt);
  if (state.storeLostSince != TimePoint{}) {
    state.storeLostSince = TimePoint{};
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
  const EndpointEntry* known = state.endpoints.Find(id);
  const bool moved = known == nullptr || known->address != aEndpoint.address ||
                     known->service != aEndpoint.service;
  const bool wasUsable = state.endpoints.IsUsable(id);
  state.endpoints.Put(std::move(aEndpoint), BootNow());
  if (!moved && wasUsable == state.endpoints.IsUsable(id)) {
    return;
  }
  const EndpointEntry& endpoint = *state.endpoints.Find(id);
  LogInfo("endpoint_changed",
          { { "endpoint", id },
            { "service", endpoint.service },
            { "address", endpoint.address },
            { "draining", endpoint.draining ? "true" : "false" } });
  state.UpdateDispatcher();
}

void
Gateway::RemoveEndpoint(const std::string& aId)
{
  GatewayState& state = this->impl->state;
  if (state.endpoints.Find(aId) == nullptr) {
    return;
  }
  state.endpoints.Remove(aId, BootNow());
  const bool kept = state.endpoints.IsUsable(aId);
  LogInfo("endpoint_removed",
          { { "endpoint", aId }, { "why", kept ? "in_grace" : "registry" } });
  state.UpdateDispatcher();
}

void
Gateway::CatalogLost()
{
  GatewayState& state = this->impl->state;
  if (state.storeLostSince == TimePoint{}) {
    state.storeLostSince = BootNow();
  }
}

void
Gateway::EndpointsLost()
{
  this->impl->state.endpoints.OnRegistryLost();
}

void
Gateway::EndpointsConfirmed()
{
  this->impl->state.endpoints.OnRegistryRecovered(BootNow());
  this->impl->state.endpointsKnown = true;
}

void
Gateway::PutMember(const FleetMember& aMember, bool aOld)
{
  this->impl->state.members.OnAnnouncement(aMember, aOld, BootNow());
  this->impl->state.UpdateMembers();
}

void
Gateway::RemoveMember(const std::string& aHost)
{
  this->impl->state.members.Remove(aHost);
  this->impl->state.UpdateMembers();
}

void
Gateway::MembersLost()
{
  this->impl->state.members.OnLogUnavailable();
}

void
Gateway::MembersConfirmed()
{
  this->impl->state.members.OnLogAvailable(BootNow());
}

void
Gateway::Handle(EventRequest aRequest, std::shared_ptr<EventReply> aReply)
{
  GatewayState& state = this->impl->state;
  auto read = state.parts.dialect.ReadCall(std::move(aRequest));
  if (const auto* refusal = std::get_if<Refusal>(&read)) {
    const HttpAnswer out = state.parts.dialect.WriteRefusal(*refusal, "");
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
Gateway::Drain()
{
  this->impl->state.draining = true;
  this->impl->state.budgets.ReturnUnused();
}

void
Gateway::StopTakingCalls()
{
  this->impl->state.takesCalls = false;
}

size_t
Gateway::UnderWay() const
{
  return this->impl->state.underWay;
}

} // namespace tanagerseam
