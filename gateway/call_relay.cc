// Streams: events go to the client as they come, and a turn is kept before the
// client sees its end.
#include "gateway/call_flow.h"

namespace tanagerseam {

void
CallFlow::RelayEvents(std::string_view aPiece)
{
  const bool kept = this->route->retainsHistory;
  const bool readable =
    this->events.Feed(aPiece, [this, kept](std::string_view aData) {
      if (this->firstEventAt == TimePoint{}) {
        this->firstEventAt = BootNow();
        const auto waited = this->firstEventAt - this->arrivedAt;
        this->state.parts.metrics.Observe(
          "tanagerseam_first_event_seconds",
          {},
          std::chrono::duration<double>(waited).count());
      }
      this->used += this->tokensPerEvent;
      if (kept) {
        this->output.append(aData);
        this->output.push_back('\n');
      }
      return true;
    });
  if (!readable) {
    LogWarn("event_too_long",
            this->Named({ { "endpoint", this->endpointId } }));
  }
  this->reply->Write(std::string(aPiece));
  if (!this->slowed && this->reply->Unwritten() > kMostUnreadBytes) {
    this->slowed = true;
    this->state.parts.client.Pause(this->exchange, true);
  }
}

// All that was written has left: read on.
void
CallFlow::ReadOn()
{
  if (this->slowed && !this->ended) {
    this->slowed = false;
    this->state.parts.client.Pause(this->exchange, false);
  }
}

void
CallFlow::KeepTurn()
{
  if (!this->route->retainsHistory) {
    this->FinishStream();
    return;
  }
  CompletedTurn turn;
  turn.id = this->call.id;
  turn.organisation =
    this->organisation == nullptr ? "" : this->organisation->name;
  turn.previous = this->call.program ? this->call.program->previousTurn : "";
  turn.input = this->call.body;
  turn.output = this->output;
  this->state.history.Store(std::move(turn),
                            this->before,
                            this->deadline,
                            [self = this->shared_from_this()](bool aKept) {
                              if (self->ended) {
                                return;
                              }
                              if (aKept) {
                                self->FinishStream();
                              } else {
                                self->BreakOff("turn_not_kept");
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
