#include "gateway/forwarded_call.h"

#include <algorithm>

namespace tanagerseam {

namespace {

// The peer gets a little less time than the client has.
constexpr Millis kAnswerWay(10);
constexpr Millis kConnectTimeout(200);

} // namespace

ForwardedCall::ForwardedCall(GatewayState& aState,
                             ServiceCall aCall,
                             std::shared_ptr<EventReply> aReply,
                             Refusal aRefusal,
                             TimePoint aDeadline)
  : state(aState)
  , call(std::move(aCall))
  , reply(std::move(aReply))
  , refusal(std::move(aRefusal))
  , deadline(aDeadline)
  , startedAt(BootNow())
{
  ++this->state.underWay;
}

ForwardedCall::~ForwardedCall()
{
  --this->state.underWay;
}

void
ForwardedCall::Start(const std::string& aAddress)
{
  LogInfo("forwarded",
          { { "request", this->call.id },
            { "program", this->call.program ? this->call.program->id : "" },
            { "reason", std::string(RowOf(this->refusal.reason).name) },
            { "peer", aAddress } });
  this->reply->OnGone([weak = this->weak_from_this()] {
    if (auto self = weak.lock()) {
      self->OnClientGone();
    }
  });
  const Millis left =
    std::chrono::duration_cast<Millis>(this->deadline - this->startedAt);
  const Millis given = std::max(Millis(1), left - kAnswerWay);
  EventCall out =
    this->state.parts.dialect.WriteForward(this->call, aAddress, given);
  out.timeout = std::max(Millis(1), left);
  out.connectTimeout = std::min(out.timeout, kConnectTimeout);
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
ForwardedCall::OnHeaders(int aStatus, const HttpHeaders& aHeaders)
{
  if (this->ended) {
    return false;
  }
  this->answer = this->state.parts.dialect.ReadAnswer(aStatus, aHeaders);
  if (!this->answer.callId.empty() && this->answer.callId != this->call.id) {
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
ForwardedCall::OnData(std::string_view aPiece)
{
  if (this->ended) {
    return false;
  }
  if (!this->relaying) {
    this->wholeBody.append(aPiece);
    return true;
  }
  this->reply->Write(std::string(aPiece));
  if (!this->slowed && this->reply->Unwritten() > kMostUnreadBytes) {
    this->slowed = true;
    this->state.parts.client.Pause(this->exchange, true);
  }
  return true;
}

void
ForwardedCall::ReadOn()
{
  if (this->slowed && !this->ended) {
    this->slowed = false;
    this->state.parts.client.Pause(this->exchange, false);
  }
}

void
ForwardedCall::OnDone(const EventOutcome& aOutcome)
{
  if (this->ended) {
    return;
  }
  const std::string detail(NameOf(aOutcome.error));
  if (aOutcome.error == EventError::kNone && this->relaying) {
    this->reply->End();
    this->End("answered", detail);
  } else if (aOutcome.error == EventError::kNone) {
    this->reply->Send(
      this->answer.status, this->answer.headers, std::move(this->wholeBody));
    this->End("answered", detail);
  } else if (this->relaying) {
    this->reply->Break();
    this->End("broken_off", detail);
  } else if (!aOutcome.sent) {
    this->Answer(this->refusal);
    this->End("unreachable", detail);
  } else {
    this->Answer(MakeRefusal(RefusalReason::kOutcomeUnknown, detail));
    this->End("broken", detail);
  }
}

void
ForwardedCall::OnClientGone()
{
  if (this->ended) {
    return;
  }
  this->state.parts.client.Cancel(this->exchange);
  this->reply->Break();
  this->End("client_gone", "");
}

void
ForwardedCall::Answer(const Refusal& aRefusal)
{
  const HttpAnswer out =
    this->state.parts.dialect.WriteRefusal(aRefusal, this->call.id);
  this->reply->Send(out.status, out.headers, out.body);
}

void
ForwardedCall::End(const char* aHow, const std::string& aDetail)
{
  this->ended = true;
  const auto took =
    std::chrono::duration_cast<Millis>(BootNow() - this->startedAt).count();
  this->state.parts.metrics.Count("tanagerseam_forwarded_total",
                                  { { "end", aHow } });
  LogInfo("forward_ended",
          { { "request", this->call.id },
            { "how", aHow },
            { "status", std::to_string(this->answer.status) },
            { "detail", aDetail },
            { "took_ms", std::to_string(took) } });
}

} // namespace tanagerseam
