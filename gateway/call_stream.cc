// Event streams: a turn is persisted before the client sees the end of its
// stream.
#include "gateway/call_flow.h"

namespace tanagerseam {

bool
CallFlow::RecordEvent(std::string_view aData)
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
  return !this->route->retainsHistory ||
         (this->turnOutput.Append(aData) && this->turnOutput.Append("\n"));
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
CallFlow::PersistTurn()
{
  if (!this->route->retainsHistory) {
    this->FinishStream();
    return;
  }
  CompletedTurn turn;
  turn.id = this->call.requestId;
  turn.organisation = this->OrganisationName();
  turn.previous = this->call.program ? this->call.program->previousTurn : "";
  turn.input = this->call.body;
  turn.output = this->turnOutput.Text();
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
                                self->FinishStream();
                              } else {
                                self->Abort("turn_not_kept");
                              }
                            });
}

void
CallFlow::FinishStream()
{
  this->reply->End();
  this->End("answered");
}

} // namespace tanagerseam
