// Event streams: a turn is persisted before the client sees the end of its
// stream.
#include "gateway/call_flow.h"

namespace tanagerseam {

void
CallFlow::RecordEvents(std::string_view aPiece)
{
  const bool recordOutput = this->route->retainsHistory;
  const bool parsed =
    this->sseParser.Feed(aPiece, [this, recordOutput](std::string_view aData) {
      if (this->firstEventAt == TimePoint{}) {
        this->firstEventAt = BootNow();
        const auto firstEventLatency = this->firstEventAt - this->arrivedAt;
        this->state.dependencies.metrics.Observe(
          "tanagerseam_first_event_seconds",
          {},
          std::chrono::duration<double>(firstEventLatency).count());
      }
      this->usedTokens += this->tokensPerEvent;
      if (recordOutput) {
        this->turnOutput.append(aData);
        this->turnOutput.push_back('\n');
      }
      return true;
    });
  if (!parsed) {
    LogWarn("event_too_long",
            this->WithCallIds({ { "endpoint", this->endpointId } }));
  }
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
  turn.organisation =
    this->organisation == nullptr ? "" : this->organisation->name;
  turn.previous = this->call.program ? this->call.program->previousTurn : "";
  turn.input = this->call.body;
  turn.output = this->turnOutput;
  this->state.history.Store(std::move(turn),
                            this->priorTranscript,
                            this->deadline,
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
