// Memory that a call takes on this host and at its endpoint.
#include "gateway/call_flow.h"

namespace tanagerseam {

namespace {

// Until a call is placed again that found no endpoint with room for its body.
constexpr Millis kRoomCheckInterval(25);

} // namespace

void
CallFlow::OnMemoryNeeded()
{
  if (this->ended || this->attempts > 0 || this->mayHaveExecuted) {
    return;
  }
  this->RefuseWithRetryAfter(RefusalReason::kOverloaded,
                             "the host needs the memory of the request",
                             this->DrawRetryAfter());
}

bool
CallFlow::TakeRoomToSend(size_t aBytes)
{
  if (!this->state.outgoing.Take(this->endpointId, aBytes)) {
    LogInfo("endpoint_holds_enough",
            this->WithCallIds({ { "endpoint", this->endpointId } }));
    this->EndAttempt(AttemptResult::kRejected);
    this->fullEndpoints.insert(this->endpointId);
    this->Place();
    return false;
  }
  this->outgoingBytes = aBytes;
  if (this->state.dependencies.heldMemory) {
    this->heldOutgoing = std::make_unique<HeldBytes>(
      this->state.dependencies.heldMemory, HeldKind::kRequest);
  }
  if (!this->heldOutgoing || this->heldOutgoing->Resize(aBytes)) {
    return true;
  }
  this->EndAttempt(AttemptResult::kRejected);
  if (this->mayHaveExecuted) {
    this->Refuse(RefusalReason::kEndpointFailed, "no memory for a repetition");
  } else {
    this->RefuseWithRetryAfter(RefusalReason::kOverloaded,
                               "no memory for the request",
                               this->DrawRetryAfter());
  }
  return false;
}

void
CallFlow::GiveBackRoomToSend()
{
  this->state.outgoing.GiveBack(this->endpointId, this->outgoingBytes);
  this->outgoingBytes = 0;
  this->heldOutgoing.reset();
}

bool
CallFlow::WaitForEndpointRoom()
{
  if (this->fullEndpoints.empty()) {
    return false;
  }
  this->fullEndpoints.clear();
  this->roomTimer.expires_after(kRoomCheckInterval);
  this->roomTimer.async_wait(
    [self = this->shared_from_this()](const auto& aError) {
      if (!aError && !self->ended) {
        self->Place();
      }
    });
  return true;
}

} // namespace tanagerseam
