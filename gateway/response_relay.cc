#include "gateway/response_relay.h"

namespace tanagerseam {

namespace {

constexpr size_t kMaxUnsentBytes = 256u << 10;

bool
IsSuccess(int aStatus)
{
  return aStatus >= 200 && aStatus < 300;
}

} // namespace

ResponseRelay::ResponseRelay(EventClient& aClient,
                             const Dialect& aDialect,
                             std::shared_ptr<EventReply> aReply)
  : client(aClient)
  , dialect(aDialect)
  , reply(std::move(aReply))
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
    self->OnData(*handlers, aPiece);
    return true;
  };
  eventHandlers.onDone = [handlers](const EventOutcome& aOutcome) {
    if (handlers->onDone) {
      handlers->onDone(aOutcome);
    }
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
  this->reply->Send(
    this->head.status, this->head.headers, std::move(this->body));
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

void
ResponseRelay::OnData(const RelayHandlers& aHandlers, std::string_view aPiece)
{
  if (!this->streaming) {
    this->body.append(aPiece);
    return;
  }
  if (aHandlers.onStreamPiece) {
    aHandlers.onStreamPiece(aPiece);
  }
  this->SendPiece(aPiece);
}

void
ResponseRelay::SendPiece(std::string_view aPiece)
{
  this->reply->Write(std::string(aPiece));
  if (!this->readPaused && this->reply->Unwritten() > kMaxUnsentBytes) {
    this->readPaused = true;
    this->client.Pause(this->exchange, true);
  }
}

// Called when all data written to the client has been sent.
void
ResponseRelay::ResumeReading()
{
  if (this->readPaused) {
    this->readPaused = false;
    this->client.Pause(this->exchange, false);
  }
}

} // namespace tanagerseam
