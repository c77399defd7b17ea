// Settings of a daemon in gateway mode (serving calls on the users' platform),
// from the sections [gateway] and [platform] of its INI file.
#ifndef TANAGERSEAM_DAEMON_GATEWAY_SETTINGS_H_
#define TANAGERSEAM_DAEMON_GATEWAY_SETTINGS_H_

#include <map>
#include <optional>
#include <string>

#include "dispatch/dispatch.h"
#include "kernel/kernel.h"
#include "quota/quota.h"
#include "recordlog/recordlog.h"

namespace tanagerseam {

struct GatewayProcessSettings
{
  std::string host;
  std::string zone;
  // Listen addresses, "IP:port".
  std::string callAddress;
  std::string readyAddress;
  std::string metricsAddress;
  // UDP address for reports between hosts.
  std::string exchangeAddress;
  std::string logLevel = "info";
  // Set when the whole fleet is started for the first time.
  bool freshStart = false;
  // Maximum time for which a withdrawn key may still be accepted.
  Millis keyFreshness{ 5000 };
  // Bound on the use of an organisation above its cap.
  QuotaSlack quotaSlack;
  // Bound on the calls to a cold endpoint above its rate.
  QuotaSlack coldSlack{ Millis(1000), 0, 0 };
  // See DispatchSettings.
  PlacementMode placement = PlacementMode::kAuto;
  bool contention = false;
  // See GatewaySettings; as `contention` if the file does not set it.
  std::optional<bool> recordRelay;
  // The region of each zone; empty where regions play no part.
  std::map<std::string, std::string> regionByZone;
  // Time from SIGTERM until the platform kills the process.
  Millis shutdownLimit{ 8000 };
  // Time from SIGTERM until clients have moved to other hosts.
  Millis shutdownNotice{ 3500 };
  // Bound on what the host holds for clients and endpoints; see HeldMemory.
  size_t maxHeldBytes = 24u << 20;
  std::string storeAddress;
  // Partitions of one topic of the store.
  int storePartitions = 12;
  // How long the store keeps a record of the system's own topics.
  Millis storeRetention = kDefaultLogRetention;
};

// Whether records are handed to peers.
inline bool
RelaysRecords(const GatewayProcessSettings& aSettings)
{
  return aSettings.recordRelay.value_or(aSettings.contention);
}

// True if the file has a section [gateway].
bool
HasGatewaySection(const std::string& aPath);

// Reads and validates the file; problems are added to aFindings.
GatewayProcessSettings
ParseGatewaySettings(const std::string& aPath, Findings& aFindings);

} // namespace tanagerseam

#endif // TANAGERSEAM_DAEMON_GATEWAY_SETTINGS_H_
