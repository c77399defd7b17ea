// The daemon as a gateway on the users' platform: one loop with the servers,
// the store's feeds and the gateway, from start to graceful shutdown.
//
//   GatewayProcess process(settings, path);
//   process.Run();    // returns after SIGTERM or SIGINT
//
// SIGHUP, or a change of the file without a signal, reads the settings again.
// The log level is taken over; for other changes a line says that they need a
// restart.
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

  void Run();

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_DAEMON_GATEWAY_PROCESS_H_
