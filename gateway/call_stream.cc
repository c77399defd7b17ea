// Event streams: a turn is persisted before the client sees the end of its
// stream.
#include "gateway/call_flow.h"

#include <algorithm>

namespace tanagerseam {

namespace {

// Limit on asking an endpoint whether it still listens.
constexpr Millis kListenCheckTimeout(300);

} // namespace

bool
CallFlow::RecordEvent(std::optional<uint64_t> aId, std::string_view aData)
{
  if (this->firstEventAt == TimePoint{}) {
    this->firstEventAt = BootNow();
    const auto firstEventLatency = this->firstEventAt - this->arrivedAt;
    this->state.dependencies.metrics.Observe(
      "tanagerseam_first_event_seconds",
      {},
      std::chrono::duration<double>(firstEventLatency).count());
    this->AnnounceStream();
  }
  this->usedTokens += this->tokensPerEvent;
  this->state.dispatcher.OnProgress(this->dispatchId, this->usedTokens);
  if (!this->route->retainsHistory) {
    return true;
  }
  this->TellEvent(aId, aData);
  return this->turnOutput.Append(aData) && this->turnOutput.Append("\n");
}

// A client counts what it has by the numbers of events, so a stream without
// them can't be resumed as a turn.
void
CallFlow::TellEvent(std::optional<uint64_t> aId, std::string_view aData)
{
  if (!this->route->resumable || !aId) {
    return;
  }
  if (this->passedStreams.empty()) {
    this->BeginPassedStreams();
  }
  for (PassedStream& passed : this->passedStreams) {
    this->state.streamEvents.Tell(passed, { *aId, std::string(aData) });
  }
}

// The client may name the attempt that began the stream or this one.
void
CallFlow::BeginPassedStreams()
{
  const std::string organisation = this->OrganisationName();
  const uint64_t own = StreamKey(organisation, this->call.requestId);
  StreamEventClient& client = this->state.streamEvents;
  this->passedStreams.push_back(client.Begin(own, own, std::nullopt));
  if (!this->call.resumption) {
    return;
  }
  const auto lastEvent = ParseEventId(this->call.resumption->lastEvent);
  const std::string& first = this->call.resumption->firstRequest;
  if (!first.empty()) {
    this->passedStreams.push_back(
      client.Begin(StreamKey(organisation, first), own, lastEvent.value_or(0)));
  }
  const std::string& beginning = this->turnOutput.Text();
  if (!beginning.empty()) {
    // As one event, less the line feed that follows each.
    client.Tell(
      this->passedStreams.front(),
      { lastEvent.value_or(0), beginning.substr(0, beginning.size() - 1) });
  }
}

// Called before the client gets the first event: it may come back at any moment
// after that. A resumed stream may be named by this attempt, too.
void
CallFlow::AnnounceStream()
{
  if (!this->route->resumable) {
    return;
  }
  this->state.streamOrigins.Announce(
    StreamKey(this->OrganisationName(), this->call.requestId),
    { this->service, this->endpointVersion });
}

void
CallFlow::CheckStreamWasWhole()
{
  const EndpointEntry* endpoint = this->state.endpoints.Find(this->endpointId);
  const auto address =
    endpoint == nullptr ? std::nullopt : ParseHostPort(endpoint->address);
  const bool endedByClose =
    this->lastExchange.body.framing == BodyFraming::kClose;
  // One that leaves may end its process with its last response.
  const bool mustListen = this->state.endpoints.IsUsable(this->endpointId);
  if (!endedByClose || !mustListen || !address) {
    this->PersistTurn();
    return;
  }
  CheckListening(this->state.dependencies.io,
                 *address,
                 std::min(this->RemainingTime(), kListenCheckTimeout),
                 [self = this->shared_from_this()](ListenState aState) {
                   self->OnListenState(aState);
                 });
}

void
CallFlow::OnListenState(ListenState aState)
{
  if (this->ended) {
    return;
  }
  LogInfo(
    "unframed_stream_ended",
    this->WithCallIds({ { "endpoint", this->endpointId },
                        { "endpoint_is", std::string(NameOf(aState)) } }));
  if (aState == ListenState::kRefused) {
    this->Abort("endpoint_crashed");
    return;
  }
  this->PersistTurn();
}

void
CallFlow::PersistTurn()
{
  this->ReturnUnusedTokens();
  if (!this->route->retainsHistory) {
    this->streamComplete = true;
    this->FinishStream();
    return;
  }
  CompletedTurn turn;
  turn.id = this->call.requestId;
  turn.organisation = this->OrganisationName();
  turn.previous = this->call.program ? this->call.program->previousTurn : "";
  turn.input = this->call.body;
  turn.output = this->turnOutput.Text();
  turn.keepFor = this->route->historyRetention;
  const WriteTurn write = [&relay = this->state.recordRelay,
                           allowed = this->AllowedRegions()](
                            TurnWrite aWrite, RecordRelay::Callback aDone) {
    relay.Append(std::move(aWrite), allowed, std::move(aDone));
  };
  this->state.history.Store(std::move(turn),
                            this->priorTranscript,
                            this->deadline,
                            write,
                            [self = this->shared_from_this()](bool aPersisted) {
                              if (self->ended) {
                                return;
                              }
                              if (aPersisted) {
                                self->streamComplete = true;
                                self->FinishStream();
                              } else {
                                self->Abort("turn_not_kept");
                              }
                            });
}

// The program may go on after a crash of this host or the budget's owner only
// if the log knows what the turn has left. Both writes are made at once.
void
CallFlow::ReturnUnusedTokens()
{
  if (!this->reservation || !this->reservation->nearlySpent) {
    return;
  }
  this->returningTokens = true;
  this->state.turnBudgets.SettleAndReturn(*this->TakeReservation(),
                                          this->usedTokens,
                                          [self = this->shared_from_this()] {
                                            self->returningTokens = false;
                                            self->FinishStream();
                                          });
}

void
CallFlow::FinishStream()
{
  if (this->ended || this->returningTokens || !this->streamComplete) {
    return;
  }
  this->reply->End();
  this->End("answered");
}

} // namespace tanagerseam
