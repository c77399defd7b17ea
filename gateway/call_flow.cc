// Attempts at endpoints, retries, forwarding, and the end of a call.
#include "gateway/call_flow.h"

#include <algorithm>

#include "gateway/forwarded_call.h"

namespace tanagerseam {

namespace {

// Connection failures allowed on top of the route's maxAttempts. They do not
// count as attempts because the endpoint has not received the call.
constexpr size_t kMaxConnectFailures = 4;
// Retry-After is at most this fraction of the client's remaining time, within
// kMinRetryAfter and kMaxRetryAfter, so that it retries before its deadline.
constexpr double kRetryAfterFraction = 0.3;
constexpr Millis kMinRetryAfter(100);
constexpr Millis kMaxRetryAfter(900);
// Time limit of a forwarded call whose client sent no deadline.
constexpr Millis kDefaultForwardTimeout(60000);
// The endpoint's deadline is earlier than the client's by this margin, which
// leaves time for its response to arrive.
constexpr Millis kResponseMargin(5);

} // namespace

CallFlow::CallFlow(GatewayState& aState,
                   ServiceCall aCall,
                   std::shared_ptr<EventReply> aReply)
  : state(aState)
  , call(std::move(aCall))
  , reply(std::move(aReply))
  , arrivedAt(BootNow())
  , deadline(this->arrivedAt + Millis(1000))
  , timer(aState.dependencies.io)
  , dispatchId(aState.nextDispatchId++)
  , turnOutput(aState.responseMemory)
{
  ++this->state.inFlightCalls;
}

CallFlow::~CallFlow()
{
  --this->state.inFlightCalls;
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
    this->digest =
      CallDigest(this->call,
                 this->organisation == nullptr ? "" : this->organisation->name);
  }
  return this->digest;
}

LogFields
CallFlow::WithCallIds(LogFields aFields) const
{
  aFields.emplace_back("request", this->call.requestId);
  if (this->call.program) {
    aFields.emplace_back("program", this->call.program->id);
    aFields.emplace_back("line", this->call.program->sessionId);
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

void
CallFlow::Send(const Placement& aPlacement)
{
  if (this->ended) {
    this->state.dispatcher.OnAttemptEnded(
      this->dispatchId, { AttemptResult::kCancelled }, BootNow());
    return;
  }
  this->endpointId = aPlacement.endpoint;
  this->placed = true;
  const auto rateLimit = this->state.rateLimits.Find(aPlacement.endpoint);
  LogInfo("placed",
          this->WithCallIds(
            { { "endpoint", aPlacement.endpoint },
              { "rate_limit", rateLimit ? std::to_string(*rateLimit) : "" },
              { "own_load", std::to_string(aPlacement.ownLoad) },
              { "other_load", std::to_string(aPlacement.otherLoad) },
              { "expected_ms", std::to_string(aPlacement.expectedMillis) } }));
  if (!rateLimit) {
    this->StartExchange();
    return;
  }
  this->state.endpointQuotaClient.Acquire(
    RateQuotaName(this->endpointId),
    this->deadline,
    [self = this->shared_from_this()](bool aAdmitted) {
      self->OnRateDecision(aAdmitted);
    });
}

void
CallFlow::OnRateDecision(bool aAdmitted)
{
  this->state.dependencies.metrics.Count(
    "tanagerseam_rate_limited_sends_total",
    { { "verdict", aAdmitted ? "sent" : "held" } });
  if (this->ended) {
    if (aAdmitted) {
      this->state.endpointQuota.RefundCall(RateQuotaName(this->endpointId));
    }
    return;
  }
  if (aAdmitted) {
    this->StartExchange();
    return;
  }
  LogInfo("held", this->WithCallIds({ { "endpoint", this->endpointId } }));
  this->EndAttempt(AttemptResult::kRejected);
  this->state.HoldEndpoint(this->endpointId);
  this->Place();
}

void
CallFlow::StartExchange()
{
  if (!this->CheckQuarantine()) {
    return;
  }
  this->exchangeActive = true;
  const EndpointEntry* endpoint = this->state.endpoints.Find(this->endpointId);
  if (endpoint == nullptr) {
    this->EndAttempt(AttemptResult::kRejected);
    this->OnNotExecuted("endpoint_gone");
    return;
  }
  const std::string name =
    this->organisation == nullptr ? "" : this->organisation->name;
  const std::string body = this->priorTranscript
                             ? *this->priorTranscript + this->call.body
                             : this->call.body;
  const Millis remaining = this->RemainingTime();
  const Millis endpointTimeout =
    std::max(Millis(1), remaining - kResponseMargin);
  EventCall out = this->state.dependencies.dialect.BuildRequest(
    this->call, *endpoint, name, body, endpointTimeout);
  out.timeout = remaining + Millis(50);
  out.connectTimeout = std::min(remaining, Millis(300));
  out.ownConnection = this->state.connections.NeedsOwnConnection(
    this->route->kind, this->service, BootNow());
  this->triedEndpoints.insert(this->endpointId);
  ++this->attempts;
  this->sentAt = BootNow();
  this->sentAtMillis = WallMillis();
  this->firstEventAt = TimePoint{};
  RelayHandlers handlers;
  auto self = this->shared_from_this();
  handlers.onHead = [self](EndpointResponseHead& aHead) {
    self->OnHead(aHead);
  };
  handlers.onEvent = [self](std::string_view aData) {
    return self->RecordEvent(aData);
  };
  handlers.onDone = [self](const EventOutcome& aOutcome) {
    self->OnDone(aOutcome);
  };
  this->relay = this->state.MakeRelay(this->reply);
  this->relay->Start(std::move(out), std::move(handlers));
}

void
CallFlow::OnHead(EndpointResponseHead& aHead)
{
  if (aHead.leaving) {
    this->state.MarkLeavingNow(this->endpointId, "response");
  }
  this->state.OnRateLimit(
    this->endpointId, aHead.callsPerSecond, this->sentAtMillis);
  if (aHead.leaving && this->call.forwarded) {
    this->state.dependencies.dialect.AddLeavingEndpoint(aHead.headers,
                                                        this->endpointId);
  }
  if (aHead.load) {
    this->state.dispatcher.OnEndpointReport(
      this->endpointId, aHead.load->running + aHead.load->waiting, BootNow());
  }
}

int
CallFlow::ResponseStatus() const
{
  return this->relay ? this->relay->Head().status : 0;
}

bool
CallFlow::IsStreaming() const
{
  return this->relay && this->relay->IsStreaming();
}

void
CallFlow::EndAttempt(AttemptResult aEnd)
{
  this->exchangeActive = false;
  this->placed = false;
  const TimePoint now = BootNow();
  AttemptOutcome outcome;
  outcome.result = aEnd;
  outcome.duration = std::chrono::duration_cast<Millis>(now - this->sentAt);
  if (this->firstEventAt != TimePoint{}) {
    outcome.streamDuration =
      std::chrono::duration_cast<Millis>(now - this->firstEventAt);
    outcome.streamedTokens =
      std::max<int64_t>(0, this->usedTokens - this->tokensPerEvent);
  }
  this->state.dispatcher.OnAttemptEnded(this->dispatchId, outcome, now);
  this->inDispatcher = false;
}

void
CallFlow::OnDone(const EventOutcome& aOutcome)
{
  if (this->ended || !this->exchangeActive) {
    return;
  }
  this->lastExchange = aOutcome;
  if (aOutcome.error == EventError::kForeignResponse ||
      aOutcome.connectionUse.foundStrayBytes) {
    this->state.connections.OnStrayResponse(this->service, BootNow());
  }
  const std::string result = aOutcome.error == EventError::kNone
                               ? std::to_string(aOutcome.status)
                               : std::string(NameOf(aOutcome.error));
  this->state.dependencies.metrics.Count("tanagerseam_attempts_total",
                                         { { "result", result } });
  this->RecordForQuarantine(aOutcome);
  if (aOutcome.error == EventError::kNone && this->relay->Head().notExecuted) {
    this->EndAttempt(AttemptResult::kRejected);
    this->OnNotExecuted("turned_away");
  } else if (aOutcome.error == EventError::kNone) {
    this->EndAttempt(AttemptResult::kSucceeded);
    this->OnResponseComplete();
  } else if (!aOutcome.sent) {
    this->EndAttempt(AttemptResult::kUnreachable);
    --this->attempts;
    this->OnNotExecuted("unreachable");
  } else {
    this->EndAttempt(AttemptResult::kFailed);
    this->mayHaveExecuted = true;
    this->OnExchangeFailed(aOutcome);
  }
  this->state.SendQueuedCalls();
}

std::string
CallFlow::Incarnation() const
{
  const EndpointEntry* endpoint = this->state.endpoints.Find(this->endpointId);
  const int64_t startedAtMillis =
    endpoint == nullptr ? 0 : endpoint->startedAtMillis;
  return IncarnationName(this->endpointId, startedAtMillis);
}

void
CallFlow::RecordForQuarantine(const EventOutcome& aOutcome)
{
  CallQuarantine& quarantine = this->state.quarantine;
  if (aOutcome.refusedConnection) {
    quarantine.OnEndpointDown(this->Incarnation(), WallMillis());
  } else if (aOutcome.error == EventError::kBroken && aOutcome.sent) {
    quarantine.OnBroken({ this->Digest(),
                          this->Incarnation(),
                          this->sentAtMillis,
                          WallMillis() });
  } else if (aOutcome.error == EventError::kNone &&
             !this->relay->Head().notExecuted && !quarantine.Empty()) {
    quarantine.OnSucceeded(this->Digest(), this->sentAtMillis);
  }
}

bool
CallFlow::CanRetry() const
{
  return this->attempts < this->route->maxAttempts &&
         this->triedEndpoints.size() <
           kMaxConnectFailures +
             static_cast<size_t>(this->route->maxAttempts) &&
         BootNow() < this->deadline;
}

void
CallFlow::Retry()
{
  this->state.dependencies.metrics.Count("tanagerseam_retries_total", {});
  this->Place();
}

void
CallFlow::OnNotExecuted(const char* aCause)
{
  LogInfo("not_run",
          this->WithCallIds(
            { { "endpoint", this->endpointId },
              { "why", aCause },
              { "status", std::to_string(this->ResponseStatus()) } }));
  if (this->CanRetry()) {
    this->Retry();
    return;
  }
  if (this->mayHaveExecuted) {
    this->Refuse(RefusalReason::kEndpointFailed, aCause);
    return;
  }
  this->RefuseWithRetryAfter(
    RefusalReason::kOverloaded, aCause, this->DrawRetryAfter());
}

void
CallFlow::OnExchangeFailed(const EventOutcome& aOutcome)
{
  LogInfo("broken",
          this->WithExchange({ { "endpoint", this->endpointId },
                               { "call", this->Digest() },
                               { "error", std::string(NameOf(aOutcome.error)) },
                               { "detail", aOutcome.detail } }));
  if (this->relay->EventTooLong()) {
    LogWarn("event_too_long",
            this->WithCallIds({ { "endpoint", this->endpointId } }));
  }
  if (this->IsStreaming()) {
    this->Abort("endpoint_broke_off");
    return;
  }
  const bool idempotent = this->route->kind == CallKind::kIdempotent;
  if (idempotent && this->CanRetry()) {
    this->Retry();
    return;
  }
  this->Refuse(idempotent ? RefusalReason::kEndpointFailed
                          : RefusalReason::kOutcomeUnknown,
               std::string(NameOf(aOutcome.error)));
}

void
CallFlow::OnResponseComplete()
{
  if (this->IsStreaming()) {
    this->PersistTurn();
    return;
  }
  this->relay->SendWhole();
  this->End("answered");
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

bool
CallFlow::PeerMayServe(RefusalReason aReason) const
{
  const TimePoint now = BootNow();
  switch (aReason) {
    case RefusalReason::kNotReady:
      // A forwarded call would be cut off when this process exits, too.
      return this->state.acceptsCalls;
    case RefusalReason::kLogUnavailable:
      // With only some partitions unavailable, a peer can't reach them either.
      return this->state.persistentLog.IsUnavailable(now) ||
             this->state.StoreUnavailable(now);
    case RefusalReason::kNoEndpoint:
      return this->state.endpoints.Usable(this->service).empty();
    default:
      return false;
  }
}

bool
CallFlow::TryForward(const Refusal& aRefusal)
{
  if (this->call.forwarded || this->attempts > 0 || this->mayHaveExecuted ||
      !this->PeerMayServe(aRefusal.reason)) {
    return false;
  }
  const auto addresses = this->state.peers.ReadyAddresses(BootNow());
  if (addresses.empty()) {
    return false;
  }
  std::uniform_int_distribution<size_t> distribution(0, addresses.size() - 1);
  const std::string& address = addresses[distribution(this->state.random)];
  for (const LeavingEndpoint& leaving : this->state.endpoints.Leaving()) {
    this->call.excludedEndpoints.insert(leaving.id);
  }
  const TimePoint forwardDeadline =
    this->arrivedAt + this->call.remainingTime.value_or(kDefaultForwardTimeout);
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
              { "retry_after_ms",
                aRetryAfter ? std::to_string(aRetryAfter->count()) : "" },
              { "catalog_version",
                this->catalog ? std::to_string(this->catalog->Version()) : "" },
              { "catalog_age_ms",
                std::to_string(this->state.CatalogAge(now).count()) } }));
  this->reply->Send(out.status, out.headers, out.body);
  this->End("refused");
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

void
CallFlow::End(const char* aOutcome)
{
  if (this->ended) {
    return;
  }
  this->ended = true;
  this->timer.cancel();
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
  if (this->reservation) {
    this->state.turnBudgets.Settle(*this->reservation, this->usedTokens);
    this->reservation.reset();
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
  LogInfo(
    "ended",
    this->WithExchange({ { "how", aOutcome },
                         { "status", std::to_string(this->ResponseStatus()) },
                         { "endpoint", this->endpointId },
                         { "took_ms", std::to_string(took) },
                         { "tokens", std::to_string(this->usedTokens) } }));
}

} // namespace tanagerseam
