// Settings of a daemon that serves calls on the users' platform, from the
// sections [gateway] and [platform] of its INI file.
#ifndef TANAGERSEAM_DAEMON_GATEWAY_SETTINGS_H_
#define TANAGERSEAM_DAEMON_GATEWAY_SETTINGS_H_

#include <string>

#include "kernel/kernel.h"
#include "quota/quota.h"

namespace tanagerseam {

struct GatewayProcessSettings
{
  std::string host;
  std::string zone;
  // "IP:port" each.
  std::string callAddress;
  std::string readyAddress;
  std::string metricsAddress;
  // UDP, for reports between hosts.
  std::string exchangeAddress;
  std::string logLevel = "info";
  // The whole fleet starts for the first time.
  bool freshStart = false;
  // How long a withdrawn key may still be honoured.
  Millis keyFreshness{ 5000 };
  // What organisations may use beyond their caps.
  QuotaSlack quotaSlack;
  // From SIGTERM until the process is killed.
  Millis shutdownLimit{ 8000 };
  // From SIGTERM until clients have moved to other hosts.
  Millis shutdownNotice{ 3500 };
  std::string storeAddress;
  int storeParts = 12;
};

// True if the file has a section [gateway].
bool
HasGatewaySection(const std::string& aPath);

GatewayProcessSettings
ParseGatewaySettings(const std::string& aPath, Findings& aFindings);

} // namespace tanagerseam

#endif // TANAGERSEAM_DAEMON_GATEWAY_SETTINGS_H_
