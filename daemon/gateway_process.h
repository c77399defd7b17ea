// The daemon in gateway mode on the users' platform: one event loop that runs
// the servers, the feeds of the store and the gateway, from start to graceful
// shutdown.
//
// Usage:
//
//   GatewayProcess process(settings, path);
//   process.Run();    // returns after SIGTERM or SIGINT
//
// The settings are reloaded on SIGHUP or when the file changes. Only the log
// level takes effect; the log line "reloaded" reports needs_restart if the
// call, ready, store or exchange address has changed.
#ifndef TANAGERSEAM_DAEMON_GATEWAY_PROCESS_H_
#define TANAGERSEAM_DAEMON_GATEWAY_PROCESS_H_

#include <memory>
#include <string>

#include "daemon/gateway_settings.h"

namespace tanagerseam {

class GatewayProcess
{
public:
  GatewayProcess(GatewayProcessSettings aSettings, std::string aPath);
  ~GatewayProcess();
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;

  // Blocks until the graceful shutdown is complete.
  void Run();

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_DAEMON_GATEWAY_PROCESS_H_
