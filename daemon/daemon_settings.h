// Settings of one daemon, from its INI file.
//
// Usage:
//
//   Findings findings;
//   DaemonSettings settings = ParseDaemonSettings("host-1.ini", findings);
//   if (!findings.Empty()) { ... }
#ifndef TANAGERSEAM_DAEMON_DAEMON_SETTINGS_H_
#define TANAGERSEAM_DAEMON_DAEMON_SETTINGS_H_

#include <string>
#include <vector>

#include "eventlog/eventlog.h"
#include "limit/limit.h"
#include "ownership/ownership.h"
#include "route/route.h"

namespace tanagerseam {

// Sections: [daemon], [log], [lease], [limits], [route].
struct DaemonSettings
{
  // [daemon]
  std::string host;
  std::string zone;
  std::string callerAddress;
  std::string peerAddress;
  // Address under which other hosts reach peerAddress; differs from it only
  // behind a forwarder of connections.
  std::string advertisedPeerAddress;
  std::string adminAddress;
  // Peer addresses of other hosts, used only until the log has been read.
  std::vector<std::string> seeds;
  std::string logLevel = "info";
  size_t maxWorkers = 512;
  size_t maxBodyBytes = 8u << 20;
  Millis readTimeout{ 15000 };
  // Timeout of a call that sets none.
  Millis defaultCallTimeout{ 120000 };
  // Time after SIGTERM in which new requests are still accepted, so that the
  // load balancer can detect that the daemon is not ready.
  Millis drainNotice{ 1000 };
  // Time after SIGTERM in which accepted requests must complete.
  Millis drainLimit{ 120000 };

  // [log]
  std::string logAddress;
  std::string logStream = "tanagerseam";
  LogWriterSettings logWriter;
  // Maximum wait for the verdict on a record submitted by this daemon; after
  // that the log counts as unavailable.
  Millis verdictTimeout{ 1000 };
  // Number of records between two snapshots of the whole state.
  int64_t snapshotInterval = 20000;

  // [lease]
  LeaseSettings lease;

  // [limits]
  // Lending is off by default: tokens lent to one daemon are not available to
  // requests that arrive at another.
  LimitSettings limit{ 0 };
  std::string ratePolicy = "owner_bucket";
  int64_t defaultBudgetTokens = 1000000;
  int64_t defaultMaxTurns = 200;
  int64_t defaultMaxTokens = 512;
  Millis maxProgramTime{ 86400000 };
  // A program without a new turn for this long is ended as abandoned.
  Millis maxIdleTime{ 3600000 };
  // Token bucket of retries: tokens added by each first attempt, and capacity.
  double retryBudgetShare = 0.2;
  double retryBudgetMax = 50;

  // [route]
  SchedulerSettings scheduler;
  // Policy for programs with a warm prefix cache on leaving endpoints:
  // "cheaper" moves them if that costs less than a new prefill, "prefill" never
  // moves.
  std::string windDown = "cheaper";
  Millis loadPollInterval{ 250 };
};

// Reads and validates the file. All problems in it are added to aFindings.
DaemonSettings
ParseDaemonSettings(const std::string& aPath, Findings& aFindings);

} // namespace tanagerseam

#endif // TANAGERSEAM_DAEMON_DAEMON_SETTINGS_H_
