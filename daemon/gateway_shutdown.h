// Graceful shutdown of a gateway process, from SIGTERM to the end of its event
// loop. Private to this library.
//
//   GatewayShutdown shutdown(io, gateway, { notice, limit });
//   shutdown.Begin(callServer);       // on SIGTERM; stops io at the end
//
// New calls are served while clients move to other hosts, as far as they end in
// time; see gateway/shutdown_schedule.h. Once the notice has passed, no new
// connections are accepted and the process exits when no call is left. The
// calls that are left shortly before the limit are ended.
#ifndef TANAGERSEAM_DAEMON_GATEWAY_SHUTDOWN_H_
#define TANAGERSEAM_DAEMON_GATEWAY_SHUTDOWN_H_

#include <restinio/asio_include.hpp>

#include "gateway/gateway.h"
#include "http/event_server.h"

namespace tanagerseam {

// Both from SIGTERM.
struct GatewayShutdownTimes
{
  // Until clients have moved to other hosts.
  Millis notice{ 0 };
  // Until the process is killed.
  Millis limit{ 0 };
};

class GatewayShutdown
{
public:
  GatewayShutdown(restinio::asio_ns::io_context& aIo,
                  Gateway& aGateway,
                  GatewayShutdownTimes aTimes);

  // Called once. aCallServer must outlive the event loop's run.
  void Begin(EventServer& aCallServer);

private:
  // When the calls that are left are ended, from the begin.
  Millis LastCallsEnd() const;
  Millis Elapsed() const;
  void Poll();
  void EndCalls();
  void StopAccepting();
  bool IsIdle();
  void Exit();

  restinio::asio_ns::io_context& io;
  Gateway& gateway;
  const GatewayShutdownTimes times;
  EventServer* callServer = nullptr;
  restinio::asio_ns::steady_timer timer;
  TimePoint begunAt{};
  bool callsEnded = false;
  bool acceptingStopped = false;
  int idlePolls = 0;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_DAEMON_GATEWAY_SHUTDOWN_H_
