// Calls while the process shuts down: those that the exit would cut off are
// refused early enough for another host to serve them.
#include "gateway/call_flow.h"

namespace tanagerseam {

namespace {

// Retry-After during shutdown: another host can serve the client at once.
constexpr Millis kRetryAfterAtShutdown(50);

} // namespace

bool
CallFlow::CheckShutdown()
{
  if (this->state.shutdown.Serves(this->deadline, BootNow())) {
    return true;
  }
  this->RefuseAtShutdown(this->mayHaveExecuted,
                         "the host shuts down before the call's deadline");
  return false;
}

void
CallFlow::RefuseAtShutdown(bool aMayHaveExecuted, const char* aDetail)
{
  if (aMayHaveExecuted) {
    this->RefuseAsUncertain(aDetail);
  } else {
    this->RefuseWithRetryAfter(
      RefusalReason::kNotReady, aDetail, kRetryAfterAtShutdown);
  }
}

void
CallFlow::EndAtExit()
{
  if (this->ended) {
    return;
  }
  const auto self = this->shared_from_this();
  if (this->IsStreaming()) {
    this->Abort("shutdown");
    return;
  }
  const bool underWay = this->exchangeActive || this->mayHaveExecuted;
  this->RefuseAtShutdown(underWay, "the host shuts down");
}

} // namespace tanagerseam
