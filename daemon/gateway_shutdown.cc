#include "daemon/gateway_shutdown.h"

namespace tanagerseam {

namespace {

// Time between the end of the last calls and the kill.
constexpr Millis kShutdownMargin(700);
// Of that, for the last responses to be written.
constexpr Millis kLastWritesTime(300);
constexpr Millis kPollInterval(50);
// A request may be in transit from the kernel to its handler, so several idle
// polls in a row are needed.
constexpr int kIdlePollsBeforeExit = 3;

} // namespace

GatewayShutdown::GatewayShutdown(restinio::asio_ns::io_context& aIo,
                                 Gateway& aGateway,
                                 GatewayShutdownTimes aTimes)
  : io(aIo)
  , gateway(aGateway)
  , times(aTimes)
  , timer(aIo)
{
}

void
GatewayShutdown::Begin(EventServer& aCallServer)
{
  this->begunAt = BootNow();
  this->callServer = &aCallServer;
  LogInfo("stopping",
          { { "calls", std::to_string(this->gateway.InFlightCalls()) } });
  this->gateway.BeginShutdown(this->LastCallsEnd());
  this->callServer->CloseAfterAnswers();
  this->Poll();
}

Millis
GatewayShutdown::LastCallsEnd() const
{
  return this->times.limit - kShutdownMargin;
}

Millis
GatewayShutdown::Elapsed() const
{
  return std::chrono::duration_cast<Millis>(BootNow() - this->begunAt);
}

void
GatewayShutdown::Poll()
{
  const Millis elapsed = this->Elapsed();
  if (elapsed >= this->times.notice) {
    this->StopAccepting();
  }
  if (elapsed >= this->LastCallsEnd()) {
    this->EndCalls();
  }
  const bool isIdle = this->IsIdle();
  const bool mayExit = isIdle && elapsed >= this->times.notice;
  if (mayExit || elapsed >= this->LastCallsEnd() + kLastWritesTime) {
    this->Exit();
    return;
  }
  this->timer.expires_after(kPollInterval);
  this->timer.async_wait([this](const auto& aError) {
    if (!aError) {
      this->Poll();
    }
  });
}

void
GatewayShutdown::StopAccepting()
{
  if (!this->acceptingStopped) {
    this->acceptingStopped = true;
    this->callServer->StopAccepting();
  }
}

void
GatewayShutdown::EndCalls()
{
  if (this->callsEnded) {
    return;
  }
  this->callsEnded = true;
  LogInfo("calls_ended",
          { { "calls", std::to_string(this->gateway.InFlightCalls()) } });
  this->gateway.EndCalls();
}

bool
GatewayShutdown::IsIdle()
{
  this->idlePolls = this->callServer->Busy() == 0 ? this->idlePolls + 1 : 0;
  return this->idlePolls >= kIdlePollsBeforeExit;
}

void
GatewayShutdown::Exit()
{
  LogInfo("stopped",
          { { "calls", std::to_string(this->gateway.InFlightCalls()) },
            { "after_ms", std::to_string(this->Elapsed().count()) } });
  FlushLog();
  this->io.stop();
}

} // namespace tanagerseam
