// Refusals, forwarding, and the end of a call.
#include "gateway/call_flow.h"

#include <algorithm>

#include "gateway/forwarded_call.h"

namespace tanagerseam {

namespace {

// Retry-After is at most this fraction of the client's remaining time, within
// kMinRetryAfter and kMaxRetryAfter, so that it retries before its deadline.
constexpr double kRetryAfterFraction = 0.3;
constexpr Millis kMinRetryAfter(100);
constexpr Millis kMaxRetryAfter(900);
// Time limit of a forwarded call whose client sent no deadline.
constexpr Millis kDefaultForwardTimeout(60000);
// A call that could connect to none of so many endpoints goes to a peer.
constexpr size_t kMaxUnreachableEndpoints = 2;

} // namespace

std::string
MillisText(const std::optional<Millis>& aTime)
{
  return aTime ? std::to_string(aTime->count()) : "";
}

CallFlow::CallFlow(GatewayState& aState,
                   ServiceCall aCall,
                   std::shared_ptr<EventReply> aReply)
  : state(aState)
  , activeEntry(aState.activeCalls, *this)
  , call(std::move(aCall))
  , reply(std::move(aReply))
  , arrivedAt(BootNow())
  , deadline(this->arrivedAt + Millis(1000))
  , timer(aState.dependencies.io)
  , dispatchId(aState.nextDispatchId++)
  , roomTimer(aState.dependencies.io)
  , turnOutput(aState.responseMemory)
{
}

Millis
CallFlow::RemainingTime() const
{
  const auto remaining =
    std::chrono::duration_cast<Millis>(this->deadline - BootNow());
  return std::max(Millis(1), remaining);
}

const std::string&
CallFlow::Digest()
{
  if (this->digest.empty()) {
    this->digest = CallDigest(this->call, this->OrganisationName());
  }
  return this->digest;
}

const std::string&
CallFlow::PathDigest()
{
  if (this->pathDigest.empty()) {
    this->pathDigest = CallPathDigest(this->call, this->OrganisationName());
  }
  return this->pathDigest;
}

std::string
CallFlow::OrganisationName() const
{
  return this->organisation == nullptr ? "" : this->organisation->name;
}

LogFields
CallFlow::WithCallIds(LogFields aFields) const
{
  aFields.emplace_back("request", this->call.requestId);
  if (this->call.program) {
    aFields.emplace_back("program", this->call.program->id);
    aFields.emplace_back("line", this->call.program->sessionId);
  }
  if (this->call.resumption) {
    aFields.emplace_back("resumes", this->call.resumption->firstRequest);
    aFields.emplace_back("last_event", this->call.resumption->lastEvent);
  }
  return aFields;
}

LogFields
CallFlow::WithExchange(LogFields aFields) const
{
  const LogFields exchange = LogFieldsOf(this->lastExchange);
  aFields.insert(aFields.end(), exchange.begin(), exchange.end());
  return this->WithCallIds(std::move(aFields));
}

int
CallFlow::ResponseStatus() const
{
  return this->relay ? this->relay->Head().status : 0;
}

const char*
CallFlow::DigestText() const
{
  if (this->ResponseStatus() == 0) {
    return "";
  }
  return this->relay->Head().hasDigest ? "yes" : "no";
}

bool
CallFlow::IsStreaming() const
{
  return this->relay && this->relay->IsStreaming();
}

void
CallFlow::OnClientDisconnected()
{
  if (this->ended) {
    return;
  }
  this->Abort("client_gone");
}

void
CallFlow::OnDeadline()
{
  if (this->ended) {
    return;
  }
  if (this->streamComplete) {
    this->returningTokens = false;
    this->FinishStream();
    return;
  }
  if (this->IsStreaming()) {
    this->Abort("deadline");
    return;
  }
  if (this->exchangeActive || this->mayHaveExecuted) {
    this->Refuse(RefusalReason::kDeadlineExceeded,
                 "no response from the endpoint before the deadline");
    return;
  }
  this->RefuseWithRetryAfter(
    RefusalReason::kOverloaded,
    "deadline passed before the call was sent to an endpoint",
    this->DrawRetryAfter());
}

Millis
CallFlow::DrawRetryAfter()
{
  const double remaining = static_cast<double>(this->RemainingTime().count());
  const double maxRetryAfter =
    std::clamp(remaining * kRetryAfterFraction,
               static_cast<double>(kMinRetryAfter.count()),
               static_cast<double>(kMaxRetryAfter.count()));
  std::uniform_real_distribution<double> distribution(0.4, 1);
  return Millis(
    static_cast<int64_t>(maxRetryAfter * distribution(this->state.random)));
}

Millis
CallFlow::DrawRetryAfter(const Refused& aRefused)
{
  if (!this->state.dispatcher.IsAdaptive(this->service)) {
    return this->DrawRetryAfter();
  }
  std::uniform_real_distribution<double> distribution(0, 1);
  return RetryAfter(this->priority,
                    aRefused.expectedWait,
                    this->RemainingTime(),
                    distribution(this->state.random));
}

bool
CallFlow::PeerMayServe(RefusalReason aReason) const
{
  const TimePoint now = BootNow();
  switch (aReason) {
    case RefusalReason::kNotReady:
      return true;
    case RefusalReason::kLogUnavailable:
      // With only some partitions unavailable, a peer can't reach them either.
      return this->state.persistentLog.IsUnavailable(now) ||
             this->state.StoreUnavailable(now);
    case RefusalReason::kNoEndpoint:
      return this->state.endpoints.Usable(this->service).empty() &&
             !this->state.IsEvacuated(this->service);
    default:
      return false;
  }
}

std::vector<std::string>
CallFlow::PeersForCall() const
{
  const ZoneRegions& regions = this->state.settings.regions;
  RegionSet allowed = this->AllowedRegions();
  if (this->route == nullptr && regions.HasSeveralRegions()) {
    // The configuration may keep the call in this region.
    allowed = { { regions.RegionOf(this->state.settings.zone) } };
  }
  std::vector<std::string> addresses;
  for (const ReadyPeer& peer :
       this->state.peers.Ready(this->service, BootNow())) {
    if (regions.Allows(allowed, this->state.members.ZoneOf(peer.host))) {
      addresses.push_back(peer.callAddress);
    }
  }
  return addresses;
}

bool
CallFlow::TryForward(const Refusal& aRefusal)
{
  return this->PeerMayServe(aRefusal.reason) && this->ForwardToPeer(aRefusal);
}

bool
CallFlow::IsCutOff() const
{
  return this->unreachableEndpoints >= kMaxUnreachableEndpoints ||
         this->state.reach.IsLost(this->service);
}

bool
CallFlow::ForwardIfCutOff()
{
  if (!this->IsCutOff()) {
    return false;
  }
  Refusal refusal;
  refusal.reason = RefusalReason::kOverloaded;
  refusal.retryAfter = this->DrawRetryAfter();
  refusal.detail = "unreachable";
  return this->ForwardToPeer(refusal);
}

bool
CallFlow::ForwardToPeer(const Refusal& aRefusal)
{
  if (this->call.forwarded || this->attempts > 0 || this->mayHaveExecuted) {
    return false;
  }
  const auto addresses = this->PeersForCall();
  if (addresses.empty()) {
    return false;
  }
  std::uniform_int_distribution<size_t> distribution(0, addresses.size() - 1);
  const std::string& address = addresses[distribution(this->state.random)];
  const TimePoint forwardDeadline =
    this->arrivedAt + this->call.remainingTime.value_or(kDefaultForwardTimeout);
  // The response passes through this host, so its exit cuts it off, too.
  if (!this->state.shutdown.Serves(forwardDeadline, BootNow())) {
    return false;
  }
  // The peer may run the call.
  this->reply->OnMemoryNeeded(nullptr);
  for (const LeavingEndpoint& leaving : this->state.endpoints.Leaving()) {
    this->call.excludedEndpoints.insert(leaving.id);
  }
  auto forwarded = std::make_shared<ForwardedCall>(
    this->state, this->call, this->reply, aRefusal, forwardDeadline);
  this->End("forwarded");
  forwarded->Start(address);
  return true;
}

void
CallFlow::Refuse(RefusalReason aReason, const std::string& aDetail)
{
  this->RefuseWithRetryAfter(aReason, aDetail, std::nullopt);
}

void
CallFlow::RefuseWithRetryAfter(RefusalReason aReason,
                               const std::string& aDetail,
                               std::optional<Millis> aRetryAfter)
{
  if (this->ended) {
    return;
  }
  const RefusalRow& row = RowOf(aReason);
  Refusal refusal;
  refusal.reason = aReason;
  refusal.retryAfter = aRetryAfter;
  refusal.detail = aDetail;
  if (this->TryForward(refusal)) {
    return;
  }
  const HttpAnswer out = this->state.dependencies.dialect.BuildRefusalResponse(
    refusal, this->call.requestId);
  this->state.dependencies.metrics.Count(
    "tanagerseam_refusals_total", { { "reason", std::string(row.name) } });
  const TimePoint now = BootNow();
  LogInfo("refused",
          this->WithCallIds(
            { { "reason", std::string(row.name) },
              { "detail", aDetail },
              { "target", this->route == nullptr ? this->call.target : "" },
              { "retry_after_ms", MillisText(aRetryAfter) },
              { "catalog_version",
                this->catalog ? std::to_string(this->catalog->Version()) : "" },
              { "catalog_age_ms",
                std::to_string(this->state.CatalogAge(now).count()) } }));
  this->reply->Send(out.status, out.headers, out.body);
  this->End("refused");
}

void
CallFlow::RefuseAsUncertain(const std::string& aDetail)
{
  const bool idempotent = this->route->kind == CallKind::kIdempotent;
  this->Refuse(idempotent ? RefusalReason::kEndpointFailed
                          : RefusalReason::kOutcomeUnknown,
               aDetail);
}

void
CallFlow::Abort(const char* aCause)
{
  LogInfo("broken_off", this->WithCallIds({ { "why", aCause } }));
  this->state.dependencies.metrics.Count("tanagerseam_broken_off_total",
                                         { { "why", aCause } });
  this->reply->Break();
  this->End(aCause);
}

std::optional<TurnReservation>
CallFlow::TakeReservation()
{
  const std::optional<TurnReservation> taken = this->reservation;
  this->reservation.reset();
  if (taken && this->usedTokens > taken->request.maxTokens) {
    LogWarn("turn_over_reservation",
            this->WithCallIds(
              { { "reserved", std::to_string(taken->request.maxTokens) },
                { "tokens", std::to_string(this->usedTokens) } }));
  }
  return taken;
}

void
CallFlow::End(const char* aOutcome)
{
  if (this->ended) {
    return;
  }
  this->ended = true;
  this->timer.cancel();
  this->roomTimer.cancel();
  const TimePoint now = BootNow();
  if (this->exchangeActive) {
    this->relay->Cancel();
  }
  if (this->placed) {
    this->EndAttempt(AttemptResult::kCancelled);
  } else if (this->inDispatcher) {
    this->state.dispatcher.RemoveQueued(this->dispatchId);
  }
  this->state.calls.erase(this->dispatchId);
  if (this->relay && this->relay->IsWithinEvent()) {
    // The client has a part of it, whose tokens are not known.
    this->usedTokens += this->tokensPerEvent;
  }
  if (const auto settled = this->TakeReservation()) {
    this->state.turnBudgets.Settle(*settled, this->usedTokens);
  }
  if (this->quotaAcquired && this->attempts == 0) {
    this->state.quota.RefundCall(this->organisation->name);
  }
  const auto took =
    std::chrono::duration_cast<Millis>(now - this->arrivedAt).count();
  const std::string kind =
    this->route == nullptr ? "none" : std::string(NameOf(this->route->kind));
  this->state.dependencies.metrics.Observe(
    "tanagerseam_call_seconds",
    { { "kind", kind }, { "end", aOutcome } },
    static_cast<double>(took) / 1000);
  LogInfo("ended",
          this->WithExchange(
            { { "how", aOutcome },
              { "status", std::to_string(this->ResponseStatus()) },
              { "digest", this->DigestText() },
              { "endpoint", this->endpointId },
              { "attempts", std::to_string(this->attempts) },
              { "time_limit_ms", MillisText(this->call.remainingTime) },
              { "endpoint_time_limit_ms", MillisText(this->endpointTimeLimit) },
              { "took_ms", std::to_string(took) },
              { "tokens", std::to_string(this->usedTokens) } }));
}

} // namespace tanagerseam
