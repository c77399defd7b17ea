// HTTP endpoints for operators and the platform: health, readiness, status,
// metrics and drain.
#ifndef TANAGERSEAM_DAEMON_ADMIN_FRONT_H_
#define TANAGERSEAM_DAEMON_ADMIN_FRONT_H_

#include <functional>
#include <memory>

#include "daemon/cluster_loop.h"
#include "daemon/context.h"

namespace tanagerseam {

// GET /health   200 while the process is running
// GET /ready    200 if the daemon accepts new callers, else 503
// GET /status   JSON, see docs/OPERATIONS.md
// GET /programs JSON list of programs in the replayed state
// GET /metrics  text in exposition format
// POST /drain   starts a graceful shutdown
//
// The method is checked for /drain only. Any other request is answered 404.
class AdminFront
{
public:
  AdminFront(const DaemonContext& aContext,
             const ClusterLoop& aCluster,
             std::function<bool()> aIsDraining,
             std::function<void()> aRequestDrain);

  void Handle(const HttpRequest& aRequest, std::shared_ptr<HttpReply> aReply);

private:
  bool IsReady() const;
  std::string StatusJson() const;
  std::string ProgramsJson() const;

  const DaemonContext& context;
  const ClusterLoop& cluster;
  std::function<bool()> isDraining;
  std::function<void()> requestDrain;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_DAEMON_ADMIN_FRONT_H_
