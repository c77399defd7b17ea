#include "gateway/response_relay.h"

#include <algorithm>

namespace tanagerseam {

namespace {

constexpr size_t kMaxUnsentBytes = 256u << 10;

// The longest end of an event: a line end and an empty line.
constexpr size_t kMaxEventEndBytes = 4;

// The part of aBytes in which the end of an event stands.
std::string_view
Last(std::string_view aBytes)
{
  return aBytes.substr(aBytes.size() -
                       std::min(aBytes.size(), kMaxEventEndBytes));
}

bool
EndsWith(const std::string& aText, std::string_view aEnd)
{
  return aText.size() >= aEnd.size() &&
         aText.compare(aText.size() - aEnd.size(), aEnd.size(), aEnd) == 0;
}

// True if nothing, or an empty line, is at the end of a stream.
bool
IsBetweenEvents(const std::string& aStreamTail)
{
  return aStreamTail.empty() || EndsWith(aStreamTail, "\n\n") ||
         EndsWith(aStreamTail, "\r\n\r\n") || EndsWith(aStreamTail, "\r\r");
}

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
ResponseRelay::OnDone(const RelayHandlers& aHandlers,
                      const EventOutcome& aOutcome)
{
  if (!aHandlers.onDone) {
    return;
  }
  EventOutcome outcome = aOutcome;
  if (outcome.error == EventError::kNone && this->streaming &&
      !IsBetweenEvents(this->streamTail)) {
    outcome.error = EventError::kBroken;
    outcome.detail = "event stream ended within an event";
  }
  aHandlers.onDone(outcome);
}

void
ResponseRelay::SendPiece(std::string_view aPiece)
{
  this->streamTail += std::string(Last(aPiece));
  this->streamTail = std::string(Last(this->streamTail));
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
