// The daemon process of one entry host: HTTP and peer servers, router, services
// and cluster membership.
//
// Usage:
//
//   Findings findings;
//   DaemonSettings settings = ParseDaemonSettings("host-1.ini", findings);
//   Daemon daemon(settings);
//   daemon.Start();
//   ...
//   daemon.Shutdown();   // graceful: no request is refused or aborted
//
// Request path: CallerFront (parsing, authentication, rate limit) -> Router
// (finds the owner) -> ProgramService or LedgerService on the owner ->
// DispatchService and ModelRunner, or ServiceRunner -> endpoint. The lock order
// is documented in daemon/context.h.
#ifndef TANAGERSEAM_DAEMON_DAEMON_H_
#define TANAGERSEAM_DAEMON_DAEMON_H_

#include <memory>

#include "daemon/daemon_settings.h"

namespace tanagerseam {

class Daemon
{
public:
  explicit Daemon(DaemonSettings aSettings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  // Throws std::exception if a listen address is in use.
  void Start();
  // True once an operator has requested a drain over HTTP (POST /drain).
  bool DrainRequested() const;
  // Accepts requests for drainNotice longer, completes those in flight and
  // hands over the owned slots, for at most drainLimit; then stops all
  // components. Blocks until done.
  void Shutdown();

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_DAEMON_DAEMON_H_
