// Attempts of a call at endpoints, and retries.
#include <algorithm>

#include "gateway/call_flow.h"

namespace tanagerseam {

namespace {

// Connection failures allowed on top of the route's maxAttempts. They do not
// count as attempts because the endpoint has not received the call.
constexpr size_t kMaxConnectFailures = 4;
// The endpoint's deadline is earlier than the client's by this margin, which
// leaves time for its response to arrive.
constexpr Millis kResponseMargin(5);

void
AppendInputs(const PlacementInputs& aInputs, LogFields& aFields)
{
  const LogFields inputs = {
    { "own_work_ms", std::to_string(aInputs.ownWorkMillis) },
    { "other_work_ms", std::to_string(aInputs.otherWorkMillis) },
    { "work_age_ms", MillisText(aInputs.workAge) },
    { "slowness", std::to_string(aInputs.slowness) },
    { "pace_age_ms", MillisText(aInputs.paceAge) },
    { "uncached_tokens", std::to_string(aInputs.uncachedTokens) },
    { "predicted_ms", std::to_string(aInputs.predictedMillis) },
    { "error_factor", std::to_string(aInputs.errorFactor) },
    { "preferred", aInputs.isPreferred ? "yes" : "no" }
  };
  aFields.insert(aFields.end(), inputs.begin(), inputs.end());
}

} // namespace

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
  const auto rateLimit = this->state.CallsPerSecond(aPlacement.endpoint);
  const EndpointEntry* endpoint = this->state.endpoints.Find(this->endpointId);
  LogFields fields = {
    { "endpoint", aPlacement.endpoint },
    { "address", endpoint == nullptr ? "" : endpoint->address },
    { "version", endpoint == nullptr ? "" : endpoint->version },
    { "rate_limit", rateLimit ? std::to_string(*rateLimit) : "" },
    { "own_load", std::to_string(aPlacement.ownLoad) },
    { "other_load", std::to_string(aPlacement.otherLoad) },
    { "expected_ms", std::to_string(aPlacement.expectedMillis) }
  };
  if (aPlacement.inputs) {
    this->state.dependencies.metrics.Count(
      "tanagerseam_adaptive_placements_total",
      { { "preferred", aPlacement.inputs->isPreferred ? "yes" : "no" } });
    AppendInputs(*aPlacement.inputs, fields);
  }
  LogInfo("placed", this->WithCallIds(std::move(fields)));
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
  if (!this->CheckShutdown() || !this->CheckQuarantine()) {
    return;
  }
  this->exchangeActive = true;
  const EndpointEntry* endpoint = this->state.endpoints.Find(this->endpointId);
  if (endpoint == nullptr) {
    this->EndAttempt(AttemptResult::kRejected);
    this->OnNotExecuted("endpoint_gone");
    return;
  }
  const bool otherVersion =
    this->origin && this->origin->version != endpoint->version;
  if (otherVersion || this->state.endpoints.IsZoneEvacuated(endpoint->zone)) {
    // It has started again, or its zone was evacuated, since it was chosen.
    this->EndAttempt(AttemptResult::kRejected);
    this->Place();
    return;
  }
  this->endpointVersion = endpoint->version;
  const std::string body = this->priorTranscript
                             ? *this->priorTranscript + this->call.body
                             : this->call.body;
  if (!this->TakeRoomToSend(body.size())) {
    return;
  }
  this->reply->OnMemoryNeeded(nullptr);
  const Millis remaining = this->RemainingTime();
  this->endpointTimeLimit = std::max(Millis(1), remaining - kResponseMargin);
  EventCall out =
    this->state.dependencies.dialect.BuildRequest(this->call,
                                                  *endpoint,
                                                  this->OrganisationName(),
                                                  body,
                                                  *this->endpointTimeLimit);
  out.timeout = remaining + Millis(50);
  out.connectTimeout = std::min(remaining, Millis(300));
  // An id names the call and not the attempt: on the connection of an attempt
  // before, a second response to that one would be taken for this one's.
  const bool triedAddress =
    !this->triedAddresses.insert(endpoint->address).second;
  if (triedAddress) {
    LogInfo("address_tried_again",
            this->WithCallIds({ { "endpoint", this->endpointId },
                                { "address", endpoint->address } }));
  }
  out.ownConnection = this->isTrial || triedAddress ||
                      this->state.connections.NeedsOwnConnection(
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
  handlers.onEvent = [self](std::optional<uint64_t> aId,
                            std::string_view aData) {
    return self->RecordEvent(aId, aData);
  };
  handlers.onDone = [self](const EventOutcome& aOutcome) {
    self->OnDone(aOutcome);
  };
  this->relay = this->state.MakeRelay(this->reply);
  if (this->call.resumption && this->route->resumable) {
    const auto lastId = ParseEventId(this->call.resumption->lastEvent);
    if (lastId) {
      this->relay->ResumeAfter(*lastId);
    }
  }
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
  this->state.OnColdLeft(this->endpointId, aHead.coldLeft);
  if (aHead.leaving && this->call.forwarded) {
    this->state.dependencies.dialect.AddLeavingEndpoint(aHead.headers,
                                                        this->endpointId);
  }
  if (aHead.load) {
    this->state.dispatcher.OnEndpointReport(this->endpointId,
                                            aHead.load->running +
                                              aHead.load->waiting,
                                            BootNow(),
                                            aHead.load->pace);
  }
}

void
CallFlow::EndAttempt(AttemptResult aEnd)
{
  this->exchangeActive = false;
  this->placed = false;
  this->GiveBackRoomToSend();
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
  if (this->ResponseStatus() != 0 &&
      aOutcome.connectionUse.earlierRequests == 0) {
    this->state.OnConnected(this->service);
  }
  if (aOutcome.error == EventError::kNone && this->relay->Head().notExecuted) {
    this->EndAttempt(AttemptResult::kRejected);
    this->OnNotExecuted("turned_away");
  } else if (aOutcome.error == EventError::kNone) {
    this->EndAttempt(AttemptResult::kSucceeded);
    this->OnResponseComplete();
  } else if (!aOutcome.sent) {
    this->EndAttempt(AttemptResult::kUnreachable);
    --this->attempts;
    ++this->unreachableEndpoints;
    this->state.OnUnreachable(this->service, this->endpointId);
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
  } else if (aOutcome.error == EventError::kBroken && aOutcome.sent &&
             this->state.endpoints.IsUsable(this->endpointId)) {
    for (const std::string& name : { this->Digest(), this->PathDigest() }) {
      quarantine.OnBroken(
        { name, this->Incarnation(), this->sentAtMillis, WallMillis() });
    }
    this->CheckCrash();
  } else if (aOutcome.error == EventError::kNone &&
             !this->relay->Head().notExecuted && !quarantine.Empty()) {
    quarantine.OnSucceeded(this->Digest(), this->sentAtMillis);
    quarantine.OnSucceeded(this->PathDigest(), this->sentAtMillis);
  }
}

void
CallFlow::CheckCrash()
{
  const EndpointEntry* endpoint = this->state.endpoints.Find(this->endpointId);
  const auto address =
    endpoint == nullptr ? std::nullopt : ParseHostPort(endpoint->address);
  if (address) {
    this->state.crashChecks->OnBroken(this->Incarnation(), *address);
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
  if (this->ForwardIfCutOff()) {
    return;
  }
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
                               { "path", this->PathDigest() },
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
  this->RefuseAsUncertain(std::string(NameOf(aOutcome.error)));
}

void
CallFlow::OnResponseComplete()
{
  if (this->IsStreaming()) {
    this->CheckStreamWasWhole();
    return;
  }
  this->relay->SendWhole();
  this->End("answered");
}

} // namespace tanagerseam
