// The steps of a call up to its placement on an endpoint.
#include <absl/strings/str_join.h>

#include <algorithm>

#include "gateway/call_flow.h"

namespace tanagerseam {

namespace {

// Time limit of a call whose client sent no deadline or a later one, on a route
// without a shorter timeout.
constexpr Millis kMaxCallDuration(600000);
// Limit on waiting for the record log before a call is placed.
constexpr Millis kMaxLogWait(600);

} // namespace

void
CallFlow::Start()
{
  this->reply->OnGone([weak = this->weak_from_this()] {
    if (auto self = weak.lock()) {
      self->OnClientDisconnected();
    }
  });
  this->reply->OnMemoryNeeded([weak = this->weak_from_this()] {
    if (auto self = weak.lock()) {
      self->OnMemoryNeeded();
    }
  });
  if (!this->FindRoute() || !this->CheckShutdown() || !this->CheckApiKey() ||
      !this->CheckQuarantine()) {
    return;
  }
  this->timer.expires_after(this->RemainingTime());
  this->timer.async_wait([self = this->shared_from_this()](const auto& aError) {
    if (!aError) {
      self->OnDeadline();
    }
  });
  this->isTrial = this->state.reach.IsLost(this->service) &&
                  this->state.reach.TakeTrial(this->service, BootNow());
  if (!this->isTrial && this->ForwardIfCutOff()) {
    return;
  }
  this->FindStreamOrigin();
}

bool
CallFlow::FindRoute()
{
  GatewayState& shared = this->state;
  this->catalog = shared.catalog;
  if (!this->catalog || !shared.CatalogFresh(this->arrivedAt)) {
    this->RefuseWithRetryAfter(
      RefusalReason::kNotReady,
      "the configuration has not been confirmed recently enough",
      this->DrawRetryAfter());
    return false;
  }
  if (!shared.membersConfirmed) {
    this->RefuseWithRetryAfter(RefusalReason::kNotReady,
                               "the members of the fleet are not known yet",
                               this->DrawRetryAfter());
    return false;
  }
  this->route = this->catalog->FindRoute(this->call.host, this->call.target);
  if (this->route == nullptr) {
    this->Refuse(RefusalReason::kUnknownRoute,
                 "no route matches host and path");
    return false;
  }
  const Millis requestedTimeout =
    this->call.remainingTime.value_or(kMaxCallDuration);
  this->deadline =
    this->arrivedAt +
    std::min({ requestedTimeout, this->route->timeout, kMaxCallDuration });
  std::uniform_real_distribution<double> distribution(0, 1);
  this->SetService(ChooseService(*this->route, distribution(shared.random)));
  this->priority = this->route->priority;
  return true;
}

void
CallFlow::SetService(const std::string& aName)
{
  this->service = aName;
  const ServiceEntry* entry = this->catalog->FindService(aName);
  this->tokensPerEvent = entry == nullptr ? 0 : entry->tokensPerEvent;
}

bool
CallFlow::CheckApiKey()
{
  if (this->route->allowsAnonymous || !this->catalog->RequiresKeys()) {
    this->programKey = this->call.program ? "/" + this->call.program->id : "";
    return true;
  }
  if (this->call.apiKey.empty()) {
    this->Refuse(RefusalReason::kKeyMissing, "the request has no API key");
    return false;
  }
  this->organisation = this->catalog->FindOrganisation(this->call.apiKey);
  if (this->organisation == nullptr) {
    this->Refuse(RefusalReason::kKeyUnknown,
                 "the API key belongs to no organisation");
    return false;
  }
  this->priority = this->organisation->priority.value_or(this->priority);
  if (this->call.program) {
    this->programKey = this->organisation->name + "/" + this->call.program->id;
  }
  return true;
}

bool
CallFlow::CheckQuarantine()
{
  if (this->state.quarantine.Empty()) {
    return true;
  }
  std::string name = this->Digest();
  auto quarantined = this->state.quarantine.Find(name, WallMillis());
  if (!quarantined) {
    name = this->PathDigest();
    quarantined = this->state.quarantine.Find(name, WallMillis());
  }
  if (!quarantined) {
    return true;
  }
  std::string detail = "call " + name + " crashed";
  for (const std::string& endpoint : quarantined->endpoints) {
    detail += " " + endpoint;
  }
  detail += "; refused for " +
            std::to_string(quarantined->untilMillis - WallMillis()) + " ms";
  this->Refuse(this->mayHaveExecuted ? RefusalReason::kEndpointFailed
                                     : RefusalReason::kCallQuarantined,
               detail);
  return false;
}

void
CallFlow::RefuseOverQuota()
{
  const std::string& name = this->organisation->name;
  const QuotaStatus quotaStatus = this->state.quota.Status(name, BootNow());
  this->RefuseWithRetryAfter(
    RefusalReason::kRateExceeded,
    "organisation " + name + " over its rate quota: fleet bucket " +
      std::to_string(quotaStatus.fleetBucket) + " owner " + quotaStatus.owner +
      " reservation bucket " + std::to_string(quotaStatus.reservationBucket) +
      " calls per program " + std::to_string(quotaStatus.callsPerProgram) +
      " rate " + std::to_string(quotaStatus.ratePerSecond) +
      " reachable members " + std::to_string(quotaStatus.reachableMembers) +
      "/" + std::to_string(quotaStatus.members),
    this->DrawRetryAfter());
}

void
CallFlow::AcquireQuota()
{
  if (this->organisation == nullptr) {
    this->Place();
    return;
  }
  this->state.quotaClient.Acquire(
    this->organisation->name,
    this->deadline,
    [self = this->shared_from_this()](bool aAdmitted) {
      self->OnQuotaDecision(aAdmitted);
    });
}

void
CallFlow::OnQuotaDecision(bool aAdmitted)
{
  if (this->ended) {
    if (aAdmitted) {
      this->state.quota.RefundCall(this->organisation->name);
    }
    return;
  }
  if (!aAdmitted) {
    this->RefuseOverQuota();
    return;
  }
  this->quotaAcquired = true;
  this->Place();
}

// Refuses a call that waits for the record log early enough for the client to
// retry before its deadline.
TimePoint
CallFlow::RecordLogDeadline() const
{
  return std::min(this->deadline, this->arrivedAt + kMaxLogWait);
}

void
CallFlow::LoadHistory()
{
  if (!this->route->retainsHistory || !this->call.program ||
      this->call.program->previousTurn.empty()) {
    this->ReserveTokens();
    return;
  }
  this->state.history.Find(
    this->OrganisationName(),
    this->call.program->previousTurn,
    this->RecordLogDeadline(),
    [self = this->shared_from_this()](const HistoryResult& aResult) {
      if (self->ended) {
        return;
      }
      if (const auto* transcript = std::get_if<Transcript>(&aResult)) {
        self->priorTranscript = *transcript;
        self->ReserveTokens();
      } else if (std::get<HistoryMiss>(aResult) == HistoryMiss::kNoSuchTurn) {
        self->Refuse(RefusalReason::kProgramNotFound,
                     "the previous turn " + self->call.program->previousTurn +
                       " does not exist");
      } else {
        self->RefuseWithRetryAfter(
          RefusalReason::kLogUnavailable,
          "the record log did not return the previous turn in time",
          self->DrawRetryAfter());
      }
    });
}

void
CallFlow::ReserveTokens()
{
  const bool budgeted = this->route->kind == CallKind::kStream &&
                        this->call.program && this->call.program->tokenBudget;
  // A turn of a route that keeps history can't complete without the record log,
  // so it is refused before it starts.
  if (this->route->retainsHistory &&
      this->state.persistentLog.IsUnavailable(BootNow())) {
    this->RefuseWithRetryAfter(RefusalReason::kLogUnavailable,
                               "the record log for turns is unavailable",
                               this->DrawRetryAfter());
    return;
  }
  if (!budgeted) {
    this->AcquireQuota();
    return;
  }
  const int64_t maxTokens = std::max<int64_t>(this->call.maxOutputTokens, 1);
  TokenRequest request;
  request.program = this->programKey;
  request.organisation = this->OrganisationName();
  request.continuesProgram = !this->call.program->previousTurn.empty();
  request.programBudget = *this->call.program->tokenBudget;
  request.maxTokens = maxTokens;
  this->state.turnBudgets.Reserve(
    request,
    this->RecordLogDeadline(),
    [self = this->shared_from_this()](TurnReservationStatus aStatus,
                                      const TurnReservation& aReservation) {
      self->OnTokenReservation(aStatus, aReservation);
    });
}

void
CallFlow::OnTokenReservation(TurnReservationStatus aStatus,
                             const TurnReservation& aReservation)
{
  if (this->ended) {
    if (aStatus == TurnReservationStatus::kReserved) {
      this->state.turnBudgets.Settle(aReservation, 0);
    }
    return;
  }
  switch (aStatus) {
    case TurnReservationStatus::kReserved:
      this->reservation = aReservation;
      this->AcquireQuota();
      return;
    case TurnReservationStatus::kBudgetExhausted:
      this->Refuse(RefusalReason::kBudgetExhausted,
                   "the program's token budget does not cover this turn");
      return;
    case TurnReservationStatus::kOverQuota:
      this->RefuseOverQuota();
      return;
    case TurnReservationStatus::kUnavailable:
      this->RefuseWithRetryAfter(
        RefusalReason::kLogUnavailable,
        "the record log did not grant budget tokens in time",
        this->DrawRetryAfter());
  }
}

RegionSet
CallFlow::AllowedRegions() const
{
  if (this->route == nullptr) {
    return std::nullopt;
  }
  const std::vector<std::string> any;
  return IntersectRegions(
    this->route->allowedRegions,
    this->organisation == nullptr ? any : this->organisation->allowedRegions);
}

DispatchCall
CallFlow::MakeDispatchCall() const
{
  DispatchCall dispatchCall;
  dispatchCall.id = this->dispatchId;
  dispatchCall.organisation = this->OrganisationName();
  dispatchCall.service = this->service;
  dispatchCall.route = this->route->name;
  dispatchCall.priority = this->priority;
  dispatchCall.beginsProgram =
    this->reservation && this->reservation->beginsProgram;
  dispatchCall.deadline = this->deadline;
  dispatchCall.programDeadline = this->deadline;
  if (this->call.program && this->call.program->finishWithin) {
    dispatchCall.programDeadline =
      this->arrivedAt + *this->call.program->finishWithin;
  }
  dispatchCall.prompt = this->call.promptParts;
  dispatchCall.cacheGroup = this->programKey;
  dispatchCall.affinityKey = this->call.affinityKey;
  dispatchCall.maxOutputTokens =
    this->route->kind == CallKind::kStream ? this->call.maxOutputTokens : 0;
  dispatchCall.outputTokensHint = this->call.outputTokensHint;
  dispatchCall.excludedEndpoints = this->call.excludedEndpoints;
  dispatchCall.excludedEndpoints.insert(this->triedEndpoints.begin(),
                                        this->triedEndpoints.end());
  dispatchCall.excludedEndpoints.insert(this->fullEndpoints.begin(),
                                        this->fullEndpoints.end());
  if (this->origin) {
    dispatchCall.version = this->origin->version;
  }
  dispatchCall.allowedRegions = this->AllowedRegions();
  return dispatchCall;
}

void
CallFlow::Place()
{
  const TimePoint now = BootNow();
  this->state.calls[this->dispatchId] = this->weak_from_this();
  const DispatchDecision decision =
    this->state.dispatcher.Submit(this->MakeDispatchCall(), now);
  if (const auto* refused = std::get_if<Refused>(&decision)) {
    this->OnPlacementRefused(*refused);
    return;
  }
  this->inDispatcher = true;
  if (const auto* placement = std::get_if<Placement>(&decision)) {
    this->Send(*placement);
  }
}

void
CallFlow::OnPlacementRefused(const Refused& aRefused)
{
  const bool noEndpoint = aRefused.reason == DispatchRefusal::kNoEndpoint;
  if (noEndpoint && this->WaitForEndpointRoom()) {
    return;
  }
  if (this->mayHaveExecuted) {
    this->Refuse(RefusalReason::kEndpointFailed,
                 "no endpoint for another attempt");
    return;
  }
  if (noEndpoint && this->origin) {
    this->Refuse(RefusalReason::kStreamVersionGone,
                 "no endpoint of version " + this->origin->version);
    return;
  }
  const RegionSet allowed = this->AllowedRegions();
  if (noEndpoint && allowed &&
      !this->state.endpoints.Usable(this->service).empty()) {
    this->Refuse(RefusalReason::kNoEndpointInRegion,
                 "no endpoint in " + absl::StrJoin(*allowed, ","));
    return;
  }
  if (!noEndpoint) {
    this->RefuseForLoad(aRefused);
    return;
  }
  this->RefuseWithRetryAfter(RefusalReason::kNoEndpoint,
                             "service utilisation " +
                               std::to_string(aRefused.utilisation),
                             this->DrawRetryAfter());
}

void
CallFlow::RefuseForLoad(const Refused& aRefused)
{
  const std::string cause(NameOf(aRefused.cause));
  this->state.dependencies.metrics.Count(
    "tanagerseam_admission_refusals_total",
    { { "cause", cause }, { "priority", std::to_string(this->priority) } });
  LogInfo(
    "not_admitted",
    this->WithCallIds(
      { { "cause", cause },
        { "service", this->service },
        { "priority", std::to_string(this->priority) },
        { "utilisation", std::to_string(aRefused.utilisation) },
        { "ahead", std::to_string(aRefused.ahead) },
        { "expected_wait_ms", std::to_string(aRefused.expectedWait.count()) },
        { "need_ms", std::to_string(aRefused.need.count()) },
        { "report_age_ms", MillisText(aRefused.reportAge) } }));
  this->RefuseWithRetryAfter(RefusalReason::kOverloaded,
                             "service utilisation " +
                               std::to_string(aRefused.utilisation),
                             this->DrawRetryAfter(aRefused));
}

void
CallFlow::OnUnservable()
{
  this->inDispatcher = false;
  this->OnPlacementRefused({ DispatchRefusal::kNoEndpoint, 0 });
}

void
CallFlow::OnMissed(const Refused& aRefused)
{
  this->inDispatcher = false;
  this->OnPlacementRefused(aRefused);
}

} // namespace tanagerseam
