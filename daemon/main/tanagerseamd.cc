// Main program of the daemon. Exit codes: 0 after a graceful shutdown or a
// check without findings, 1 if the settings are invalid, 2 for wrong usage, 3
// if the daemon cannot start or fails.
#include <signal.h>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdlib>
#include <iostream>

#include "daemon/daemon.h"
#include "daemon/gateway_process.h"

ABSL_FLAG(std::string, config, "", "INI file with the settings of the daemon");
ABSL_FLAG(bool, check, false, "validate the settings, print findings and exit");

namespace {

constexpr int kExitInvalidSettings = 1;
constexpr int kExitUsage = 2;
constexpr int kExitCannotStart = 3;
constexpr long kSignalPollNanos = 50000000;

sigset_t
BlockStopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

void
WaitForStopRequest(const sigset_t& aSignals, const tanagerseam::Daemon& aDaemon)
{
  const timespec poll{ 0, kSignalPollNanos };
  while (!aDaemon.DrainRequested()) {
    if (sigtimedwait(&aSignals, nullptr, &poll) > 0) {
      return;
    }
  }
}

// Runs the daemon in gateway mode on the users' platform.
int
RunGateway(const std::string& aPath)
{
  tanagerseam::Findings findings;
  auto settings = tanagerseam::ParseGatewaySettings(aPath, findings);
  if (!findings.Empty()) {
    std::cerr << findings.Text();
    return kExitInvalidSettings;
  }
  if (absl::GetFlag(FLAGS_check)) {
    return 0;
  }
  signal(SIGPIPE, SIG_IGN);
  tanagerseam::ConfigureLog(settings.logLevel, settings.host);
  try {
    tanagerseam::GatewayProcess process(std::move(settings), aPath);
    process.Run();
  } catch (const std::exception& error) {
    tanagerseam::LogError("cannot_run", { { "error", error.what() } });
    return kExitCannotStart;
  }
  // Without the exit handlers: those of the log library wait for its threads,
  // and the host would stay out of service for as long.
  tanagerseam::FlushLog();
  std::quick_exit(0);
}

} // namespace

int
main(int argc, char** argv)
{
  absl::SetProgramUsageMessage("tanagerseamd --config=FILE [--check]");
  absl::ParseCommandLine(argc, argv);
  const std::string path = absl::GetFlag(FLAGS_config);
  if (path.empty()) {
    std::cerr << "tanagerseamd: --config=FILE is required\n";
    return kExitUsage;
  }
  if (tanagerseam::HasGatewaySection(path)) {
    return RunGateway(path);
  }
  tanagerseam::Findings findings;
  const auto settings = tanagerseam::ParseDaemonSettings(path, findings);
  if (!findings.Empty()) {
    std::cerr << findings.Text();
    return kExitInvalidSettings;
  }
  if (absl::GetFlag(FLAGS_check)) {
    return 0;
  }
  signal(SIGPIPE, SIG_IGN);
  const sigset_t signals = BlockStopSignals();
  tanagerseam::ConfigureLog(settings.logLevel, settings.host);
  try {
    tanagerseam::Daemon daemon(settings);
    daemon.Start();
    WaitForStopRequest(signals, daemon);
    daemon.Shutdown();
  } catch (const std::exception& error) {
    std::cerr << "tanagerseamd: " << error.what() << "\n";
    return kExitCannotStart;
  }
  return 0;
}
