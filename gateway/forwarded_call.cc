#include "gateway/forwarded_call.h"

#include <algorithm>

namespace tanagerseam {

namespace {

// The peer's deadline is earlier than the client's by this margin, which leaves
// time for its response to arrive.
constexpr Millis kResponseMargin(10);
constexpr Millis kConnectTimeout(200);

} // namespace

ForwardedCall::ForwardedCall(GatewayState& aState,
                             ServiceCall aCall,
                             std::shared_ptr<EventReply> aReply,
                             Refusal aRefusal,
                             TimePoint aDeadline)
  : state(aState)
  , activeEntry(aState.activeCalls, *this)
  , call(std::move(aCall))
  , reply(std::move(aReply))
  , localRefusal(std::move(aRefusal))
  , deadline(aDeadline)
  , startedAt(BootNow())
{
}

void
ForwardedCall::Start(const std::string& aAddress)
{
  LogInfo("forwarded",
          { { "request", this->call.requestId },
            { "program", this->call.program ? this->call.program->id : "" },
            { "reason", std::string(RowOf(this->localRefusal.reason).name) },
            { "peer", aAddress } });
  this->reply->OnGone([weak = this->weak_from_this()] {
    if (auto self = weak.lock()) {
      self->OnClientDisconnected();
    }
  });
  const Millis remaining =
    std::chrono::duration_cast<Millis>(this->deadline - this->startedAt);
  const Millis peerTimeout = std::max(Millis(1), remaining - kResponseMargin);
  EventCall out = this->state.dependencies.dialect.BuildForwardRequest(
    this->call, aAddress, peerTimeout);
  out.timeout = std::max(Millis(1), remaining);
  out.connectTimeout = std::min(out.timeout, kConnectTimeout);
  // Whether the call may be repeated is not known here.
  out.ownConnection = true;
  RelayHandlers handlers;
  handlers.onHead =
    [self = this->shared_from_this()](const EndpointResponseHead& aHead) {
      if (!aHead.leavingEndpoint.empty()) {
        self->state.MarkLeavingNow(aHead.leavingEndpoint, "forwarded_response");
      }
    };
  handlers.onDone = [self = this->shared_from_this()](
                      const EventOutcome& aOutcome) { self->OnDone(aOutcome); };
  this->relay = this->state.MakeRelay(this->reply);
  this->relay->Start(std::move(out), std::move(handlers));
}

void
ForwardedCall::OnDone(const EventOutcome& aOutcome)
{
  if (this->ended) {
    return;
  }
  const std::string detail(NameOf(aOutcome.error));
  this->lastExchange = aOutcome;
  if (aOutcome.error == EventError::kNone && this->relay->IsStreaming()) {
    this->reply->End();
    this->End("answered", detail);
  } else if (aOutcome.error == EventError::kNone) {
    this->relay->SendWhole();
    this->End("answered", detail);
  } else if (this->relay->IsStreaming()) {
    this->reply->Break();
    this->End("broken_off", detail);
  } else if (!aOutcome.sent) {
    this->SendRefusal(this->localRefusal);
    this->End("unreachable", detail);
  } else {
    this->SendRefusal(MakeRefusal(RefusalReason::kOutcomeUnknown, detail));
    this->End("broken", detail);
  }
}

void
ForwardedCall::OnClientDisconnected()
{
  if (this->ended) {
    return;
  }
  this->relay->Cancel();
  this->reply->Break();
  this->End("client_gone", "");
}

void
ForwardedCall::EndAtExit()
{
  if (this->ended) {
    return;
  }
  const auto self = this->shared_from_this();
  this->relay->Cancel();
  if (this->relay->IsStreaming()) {
    this->reply->Break();
  } else {
    this->SendRefusal(
      MakeRefusal(RefusalReason::kOutcomeUnknown, "the host shuts down"));
  }
  this->End("shutdown", "");
}

void
ForwardedCall::SendRefusal(const Refusal& aRefusal)
{
  const HttpAnswer out = this->state.dependencies.dialect.BuildRefusalResponse(
    aRefusal, this->call.requestId);
  this->reply->Send(out.status, out.headers, out.body);
}

void
ForwardedCall::End(const char* aOutcome, const std::string& aDetail)
{
  this->ended = true;
  const auto took =
    std::chrono::duration_cast<Millis>(BootNow() - this->startedAt).count();
  this->state.dependencies.metrics.Count("tanagerseam_forwarded_total",
                                         { { "end", aOutcome } });
  LogFields fields = { { "request", this->call.requestId },
                       { "how", aOutcome },
                       { "status", std::to_string(this->relay->Head().status) },
                       { "digest",
                         this->relay->Head().hasDigest ? "yes" : "no" },
                       { "detail", aDetail },
                       { "took_ms", std::to_string(took) } };
  const LogFields exchange = LogFieldsOf(this->lastExchange);
  fields.insert(fields.end(), exchange.begin(), exchange.end());
  LogInfo("forward_ended", fields);
}

} // namespace tanagerseam
