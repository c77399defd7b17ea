// One attempt at an endpoint after the other, and the end of the call.
#include "gateway/call_flow.h"

#include <algorithm>

#include "gateway/forwarded_call.h"

namespace tanagerseam {

namespace {

// Sends after connection failures; the endpoint has not seen the call then.
constexpr size_t kMostUnreachable = 4;
// A client that is asked to come back comes within a third of its time.
constexpr double kRetryPart = 0.3;
constexpr Millis kSoonestRetry(100);
constexpr Millis kLatestRetry(900);
// For a client that names no deadline, at a peer.
constexpr Millis kLongestForward(60000);
// An endpoint gets a little less time than the client has.
constexpr Millis kAnswerWay(5);

} // namespace

CallFlow::CallFlow(GatewayState& aState,
                   ServiceCall aCall,
                   std::shared_ptr<EventReply> aReply)
  : state(aState)
  , call(std::move(aCall))
  , reply(std::move(aReply))
  , arrivedAt(BootNow())
  , deadline(this->arrivedAt + Millis(1000))
  , timer(aState.parts.io)
  , number(aState.nextCall++)
{
  ++this->state.underWay;
}

CallFlow::~CallFlow()
{
  --this->state.underWay;
}

Millis
CallFlow::TimeLeft() const
{
  const auto left =
    std::chrono::duration_cast<Millis>(this->deadline - BootNow());
  return std::max(Millis(1), left);
}

LogFields
CallFlow::Named(LogFields aFields) const
{
  aFields.emplace_back("request", this->call.id);
  if (this->call.program) {
    aFields.emplace_back("program", this->call.program->id);
    aFields.emplace_back("line", this->call.program->line);
  }
  return aFields;
}

void
CallFlow::Send(const Placement& aPlacement)
{
  if (this->ended) {
    this->state.dispatcher.OnAttemptEnded(
      this->number, { AttemptResult::kCancelled }, BootNow());
    return;
  }
  this->endpointId = aPlacement.endpoint;
  this->exchanging = true;
  LogInfo("placed",
          this->Named(
            { { "endpoint", aPlacement.endpoint },
              { "own_load", std::to_string(aPlacement.ownLoad) },
              { "other_load", std::to_string(aPlacement.otherLoad) },
              { "expected_ms", std::to_string(aPlacement.expectedMillis) } }));
  this->StartExchange();
}

void
CallFlow::StartExchange()
{
  const EndpointEntry* endpoint = this->state.endpoints.Find(this->endpointId);
  if (endpoint == nullptr) {
    this->EndAttempt(AttemptResult::kRejected);
    this->OnNotRun("endpoint_gone");
    return;
  }
  const std::string name =
    this->organisation == nullptr ? "" : this->organisation->name;
  const std::string body =
    this->before ? *this->before + this->call.body : this->call.body;
  const Millis left = this->TimeLeft();
  const Millis given = std::max(Millis(1), left - kAnswerWay);
  EventCall out = this->state.parts.dialect.WriteCall(
    this->call, *endpoint, name, body, given);
  out.timeout = left + Millis(50);
  out.connectTimeout = std::min(left, Millis(300));
  this->answer = EndpointAnswer{};
  this->wholeBody.clear();
  this->tried.insert(this->endpointId);
  ++this->attempts;
  this->sentAt = BootNow();
  this->firstEventAt = TimePoint{};
  EventHandlers handlers;
  auto self = this->shared_from_this();
  handlers.onHeaders = [self](int aStatus, const HttpHeaders& aHeaders) {
    return self->OnHeaders(aStatus, aHeaders);
  };
  handlers.onData = [self](std::string_view aPiece) {
    return self->OnData(aPiece);
  };
  handlers.onDone = [self](const EventOutcome& aOutcome) {
    self->OnDone(aOutcome);
  };
  this->exchange =
    this->state.parts.client.Start(std::move(out), std::move(handlers));
}

bool
CallFlow::OnHeaders(int aStatus, const HttpHeaders& aHeaders)
{
  if (this->ended) {
    return false;
  }
  this->answer = this->state.parts.dialect.ReadAnswer(aStatus, aHeaders);
  if (this->answer.load) {
    this->state.dispatcher.OnEndpointReport(this->endpointId,
                                            this->answer.load->running +
                                              this->answer.load->waiting,
                                            BootNow());
  }
  // An answer to another call, late or doubled, on a kept connection.
  if (!this->answer.callId.empty() && this->answer.callId != this->call.id) {
    LogWarn("answer_of_another_call",
            this->Named({ { "endpoint", this->endpointId },
                          { "answered", this->answer.callId } }));
    return false;
  }
  const bool success = aStatus >= 200 && aStatus < 300;
  if (success && this->answer.isEventStream) {
    this->relaying = true;
    this->reply->OnDrained([weak = this->weak_from_this()] {
      if (auto self = weak.lock()) {
        self->ReadOn();
      }
    });
    this->reply->Begin(aStatus, this->answer.headers);
  }
  return true;
}

bool
CallFlow::OnData(std::string_view aPiece)
{
  if (this->ended) {
    return false;
  }
  if (this->relaying) {
    this->RelayEvents(aPiece);
  } else {
    this->wholeBody.append(aPiece);
  }
  return true;
}

void
CallFlow::EndAttempt(AttemptResult aEnd)
{
  this->exchanging = false;
  const TimePoint now = BootNow();
  AttemptOutcome outcome;
  outcome.result = aEnd;
  outcome.duration = std::chrono::duration_cast<Millis>(now - this->sentAt);
  if (this->firstEventAt != TimePoint{}) {
    outcome.streamDuration =
      std::chrono::duration_cast<Millis>(now - this->firstEventAt);
    outcome.streamedTokens =
      std::max<int64_t>(0, this->used - this->tokensPerEvent);
  }
  this->state.dispatcher.OnAttemptEnded(this->number, outcome, now);
  this->placed = false;
}

void
CallFlow::OnDone(const EventOutcome& aOutcome)
{
  if (this->ended || !this->exchanging) {
    return;
  }
  const std::string result = aOutcome.error == EventError::kNone
                               ? std::to_string(aOutcome.status)
                               : std::string(NameOf(aOutcome.error));
  this->state.parts.metrics.Count("tanagerseam_attempts_total",
                                  { { "result", result } });
  if (aOutcome.error == EventError::kNone && this->answer.notRun) {
    this->EndAttempt(AttemptResult::kRejected);
    this->OnNotRun("turned_away");
  } else if (aOutcome.error == EventError::kNone) {
    this->EndAttempt(AttemptResult::kSucceeded);
    this->OnAnswered();
  } else if (!aOutcome.sent) {
    this->EndAttempt(AttemptResult::kUnreachable);
    --this->attempts;
    this->OnNotRun("unreachable");
  } else {
    this->EndAttempt(AttemptResult::kFailed);
    this->mayHaveRun = true;
    this->OnBroken(aOutcome);
  }
  this->state.SendWaiting();
}

bool
CallFlow::MayTryAgain() const
{
  return this->attempts < this->route->maxAttempts &&
         this->tried.size() <
           kMostUnreachable + static_cast<size_t>(this->route->maxAttempts) &&
         BootNow() < this->deadline;
}

void
CallFlow::TryAgain()
{
  this->state.parts.metrics.Count("tanagerseam_retries_total", {});
  this->Place();
}

void
CallFlow::OnNotRun(const char* aWhy)
{
  LogInfo("not_run",
          this->Named({ { "endpoint", this->endpointId },
                        { "why", aWhy },
                        { "status", std::to_string(this->answer.status) } }));
  if (this->MayTryAgain()) {
    this->TryAgain();
    return;
  }
  if (this->mayHaveRun) {
    this->Refuse(RefusalReason::kEndpointFailed, aWhy);
    return;
  }
  this->RefuseUntil(RefusalReason::kOverloaded, aWhy, this->ComeBackAfter());
}

void
CallFlow::OnBroken(const EventOutcome& aOutcome)
{
  LogInfo("broken",
          this->Named({ { "endpoint", this->endpointId },
                        { "error", std::string(NameOf(aOutcome.error)) },
                        { "detail", aOutcome.detail } }));
  if (this->relaying) {
    this->BreakOff("endpoint_broke_off");
    return;
  }
  const bool repeatable = this->route->kind == CallKind::kIdempotent;
  if (repeatable && this->MayTryAgain()) {
    this->TryAgain();
    return;
  }
  this->Refuse(repeatable ? RefusalReason::kEndpointFailed
                          : RefusalReason::kOutcomeUnknown,
               std::string(NameOf(aOutcome.error)));
}

void
CallFlow::OnAnswered()
{
  if (this->relaying) {
    this->KeepTurn();
    return;
  }
  this->reply->Send(
    this->answer.status, this->answer.headers, std::move(this->wholeBody));
  this->End("answered");
}

void
CallFlow::OnClientGone()
{
  if (this->ended) {
    return;
  }
  this->BreakOff("client_gone");
}

void
CallFlow::OnTimeUp()
{
  if (this->ended) {
    return;
  }
  if (this->relaying) {
    this->BreakOff("deadline");
    return;
  }
  if (this->exchanging || this->mayHaveRun) {
    this->Refuse(RefusalReason::kDeadlineExceeded, "no answer in time");
    return;
  }
  this->RefuseUntil(
    RefusalReason::kOverloaded, "not sent in time", this->ComeBackAfter());
}

Millis
CallFlow::ComeBackAfter()
{
  const double left = static_cast<double>(this->TimeLeft().count());
  const double most = std::clamp(left * kRetryPart,
                                 static_cast<double>(kSoonestRetry.count()),
                                 static_cast<double>(kLatestRetry.count()));
  std::uniform_real_distribution<double> draw(0.4, 1);
  return Millis(static_cast<int64_t>(most * draw(this->state.random)));
}

bool
CallFlow::PeerMayServe(RefusalReason aReason) const
{
  const TimePoint now = BootNow();
  switch (aReason) {
    case RefusalReason::kNotReady:
      // What is passed on ends with this process, too.
      return this->state.takesCalls;
    case RefusalReason::kLogUnavailable:
      // If only some partitions are away, a peer is no better off.
      return this->state.persistentLog.IsUnavailable(now) ||
             this->state.StoreAway(now);
    case RefusalReason::kNoEndpoint:
      return this->state.endpoints.Usable(this->service).empty();
    default:
      return false;
  }
}

bool
CallFlow::Forward(const Refusal& aRefusal)
{
  if (this->call.forwarded || this->attempts > 0 || this->mayHaveRun ||
      !this->PeerMayServe(aRefusal.reason)) {
    return false;
  }
  const auto addresses = this->state.peers.ReadyAddresses(BootNow());
  if (addresses.empty()) {
    return false;
  }
  std::uniform_int_distribution<size_t> draw(0, addresses.size() - 1);
  const std::string& address = addresses[draw(this->state.random)];
  const TimePoint until =
    this->arrivedAt + this->call.timeLeft.value_or(kLongestForward);
  auto forwarded = std::make_shared<ForwardedCall>(
    this->state, this->call, this->reply, aRefusal, until);
  this->End("forwarded");
  forwarded->Start(address);
  return true;
}

void
CallFlow::Refuse(RefusalReason aReason, const std::string& aDetail)
{
  this->RefuseUntil(aReason, aDetail, std::nullopt);
}

void
CallFlow::RefuseUntil(RefusalReason aReason,
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
  if (this->Forward(refusal)) {
    return;
  }
  const HttpAnswer out =
    this->state.parts.dialect.WriteRefusal(refusal, this->call.id);
  this->state.parts.metrics.Count("tanagerseam_refusals_total",
                                  { { "reason", std::string(row.name) } });
  const TimePoint now = BootNow();
  LogInfo("refused",
          this->Named(
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
CallFlow::BreakOff(const char* aWhy)
{
  LogInfo("broken_off", this->Named({ { "why", aWhy } }));
  this->state.parts.metrics.Count("tanagerseam_broken_off_total",
                                  { { "why", aWhy } });
  this->reply->Break();
  this->End(aWhy);
}

void
CallFlow::End(const char* aHow)
{
  if (this->ended) {
    return;
  }
  this->ended = true;
  this->timer.cancel();
  const TimePoint now = BootNow();
  if (this->exchanging) {
    this->state.parts.client.Cancel(this->exchange);
    this->EndAttempt(AttemptResult::kCancelled);
  } else if (this->placed) {
    this->state.dispatcher.RemoveQueued(this->number);
  }
  this->state.calls.erase(this->number);
  if (this->reservation) {
    this->state.turnBudgets.Settle(*this->reservation, this->used);
    this->reservation.reset();
  }
  if (this->quotaTaken && this->attempts == 0) {
    this->state.quota.RefundCall(this->organisation->name);
  }
  const auto took =
    std::chrono::duration_cast<Millis>(now - this->arrivedAt).count();
  const std::string kind =
    this->route == nullptr ? "none" : std::string(NameOf(this->route->kind));
  this->state.parts.metrics.Observe("tanagerseam_call_seconds",
                                    { { "kind", kind }, { "end", aHow } },
                                    static_cast<double>(took) / 1000);
  LogInfo("ended",
          this->Named({ { "how", aHow },
                        { "status", std::to_string(this->answer.status) },
                        { "endpoint", this->endpointId },
                        { "took_ms", std::to_string(took) },
                        { "tokens", std::to_string(this->used) } }));
}

} // namespace tanagerseam
