#include "gateway/response_relay.h"

namespace tanagerseam {

namespace {

constexpr size_t kMaxUnsentBytes = 64u << 10;

bool
IsSuccess(int aStatus)
{
  return aStatus >= 200 && aStatus < 300;
}

} // namespace

ResponseRelay::ResponseRelay(EventClient& aClient,
                             const Dialect& aDialect,
                             std::shared_ptr<EventReply> aReply,
                             const std::shared_ptr<ByteBudget>& aMemory)
  : client(aClient)
  , dialect(aDialect)
  , reply(std::move(aReply))
  , body(aMemory)
  , partialEvent(aMemory)
  , unsent(aMemory)
{
}

void
ResponseRelay::Start(EventCall aCall, RelayHandlers aHandlers)
{
  auto self = this->shared_from_this();
  const auto handlers = std::make_shared<RelayHandlers>(std::move(aHandlers));
  EventHandlers eventHandlers;
  eventHandlers.onHeaders = [self, handlers](int aStatus,
                                             const HttpHeaders& aHeaders) {
    self->OnHeaders(*handlers, aStatus, aHeaders);
    return true;
  };
  eventHandlers.onData = [self, handlers](std::string_view aPiece) {
    return self->OnData(*handlers, aPiece);
  };
  eventHandlers.onDone = [self, handlers](const EventOutcome& aOutcome) {
    self->OnDone(*handlers, aOutcome);
  };
  this->exchange =
    this->client.Start(std::move(aCall), std::move(eventHandlers));
}

void
ResponseRelay::Cancel()
{
  this->client.Cancel(this->exchange);
}

void
ResponseRelay::SendWhole()
{
  this->reply->Send(this->head.status, this->head.headers, this->body.Take());
}

void
ResponseRelay::OnHeaders(const RelayHandlers& aHandlers,
                         int aStatus,
                         const HttpHeaders& aHeaders)
{
  this->head = this->dialect.ParseResponseHead(aStatus, aHeaders);
  if (aHandlers.onHead) {
    aHandlers.onHead(this->head);
  }
  if (IsSuccess(aStatus) && this->head.isEventStream &&
      !this->head.notExecuted) {
    this->BeginStream();
  }
}

void
ResponseRelay::BeginStream()
{
  this->streaming = true;
  this->reply->OnDrained([weak = this->weak_from_this()] {
    if (auto self = weak.lock()) {
      self->ResumeReading();
    }
  });
  this->reply->Begin(this->head.status, this->head.headers);
}

bool
ResponseRelay::OnData(const RelayHandlers& aHandlers, std::string_view aPiece)
{
  if (!this->streaming) {
    return this->body.Append(aPiece) ||
           this->Fail(EventError::kTooLarge, "no memory for the body");
  }
  if (!this->ParseEvents(aHandlers, aPiece)) {
    return false;
  }
  this->SendPiece(aPiece);
  return true;
}

bool
ResponseRelay::ParseEvents(const RelayHandlers& aHandlers,
                           std::string_view aPiece)
{
  const bool taken =
    this->parser.Feed(aPiece, [this, &aHandlers](std::string_view aData) {
      return this->TakeEvent(aHandlers, aData);
    });
  if (this->failure) {
    return false;
  }
  if (this->parser.TooLong()) {
    return this->Fail(EventError::kTooLarge, "an event is longer than allowed");
  }
  if (!taken || !this->partialEvent.Resize(this->parser.BufferedBytes())) {
    return this->Fail(EventError::kTooLarge, "no memory for the events");
  }
  return true;
}

bool
ResponseRelay::TakeEvent(const RelayHandlers& aHandlers, std::string_view aData)
{
  if (!this->eventOrder.Take(this->parser.EventId())) {
    return this->Fail(EventError::kRejected, "an event id did not increase");
  }
  ++this->events;
  return !aHandlers.onEvent || aHandlers.onEvent(this->parser.EventId(), aData);
}

void
ResponseRelay::ResumeAfter(uint64_t aLastEventId)
{
  this->eventOrder.ResumeAfter(aLastEventId);
}

bool
ResponseRelay::Fail(EventError aError, const char* aDetail)
{
  this->failure = RelayFailure{ aError, aDetail };
  return false;
}

void
ResponseRelay::OnDone(const RelayHandlers& aHandlers,
                      const EventOutcome& aOutcome)
{
  if (!aHandlers.onDone) {
    return;
  }
  EventOutcome outcome = aOutcome;
  if (this->failure) {
    outcome.error = this->failure->error;
    outcome.detail = this->failure->detail;
  } else if (outcome.error == EventError::kNone && this->streaming) {
    this->CheckStreamEnd(outcome);
  }
  aHandlers.onDone(outcome);
}

void
ResponseRelay::CheckStreamEnd(EventOutcome& aOutcome) const
{
  if (!this->parser.BetweenEvents() || this->parser.WithinLineEnd()) {
    aOutcome.error = EventError::kBroken;
    aOutcome.detail = "event stream ended within an event";
  } else if (this->events == 0 &&
             aOutcome.body.framing == BodyFraming::kClose) {
    aOutcome.error = EventError::kBroken;
    aOutcome.detail = "connection closed before the first event";
  }
}

void
ResponseRelay::SendPiece(std::string_view aPiece)
{
  this->reply->Write(std::string(aPiece));
  const size_t unwritten = this->reply->Unwritten();
  const bool full =
    !this->unsent.Resize(unwritten) || unwritten > kMaxUnsentBytes;
  if (!this->readPaused && full) {
    this->readPaused = true;
    this->client.Pause(this->exchange, true);
  }
}

// Called when all data written to the client has been sent.
void
ResponseRelay::ResumeReading()
{
  this->unsent.Resize(0);
  if (this->readPaused) {
    this->readPaused = false;
    this->client.Pause(this->exchange, false);
  }
}

} // namespace tanagerseam
