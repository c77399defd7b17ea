// A daemon of the deploy file as a process of its own, with the settings that
// the template yields for a small deployment.
#ifndef TANAGERSEAM_REVIEW_SUPPORT_DAEMON_H_
#define TANAGERSEAM_REVIEW_SUPPORT_DAEMON_H_

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <fstream>
#include <string>
#include <thread>

#include "review/support/http.h"

namespace review {

struct DaemonSettings
{
  std::string program;
  std::string folder;
  std::string name;
  std::string zone = "zone-a";
  uint16_t storePort = 0;
};

class Daemon
{
public:
  explicit Daemon(DaemonSettings aSettings)
    : settings(std::move(aSettings))
  {
  }
  ~Daemon() { this->Kill(); }
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  const uint16_t callPort = FreePort();
  const uint16_t readyPort = FreePort();

  // To be called from one thread only, which must outlive the process.
  void Start()
  {
    const std::string base = this->settings.folder + "/" + this->settings.name;
    this->WriteSettings(base + ".ini");
    this->started = true;
    const std::string option = "--config=" + base + ".ini";
    const std::string log = base + ".log";
    this->process = fork();
    if (this->process == 0) {
      setpgid(0, 0);
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2(output, STDOUT_FILENO);
      dup2(output, STDERR_FILENO);
      execl(this->settings.program.c_str(),
            this->settings.program.c_str(),
            option.c_str(),
            nullptr);
      _exit(127);
    }
  }

  void Signal(int aSignal) const
  {
    if (this->process > 0) {
      kill(this->process, aSignal);
    }
  }

  void Kill()
  {
    if (this->process > 0) {
      this->Signal(SIGKILL);
      this->Signal(SIGCONT);
      waitpid(this->process, nullptr, 0);
      this->process = -1;
    }
  }

  // True if the process has ended by now.
  bool HasEnded()
  {
    if (this->process > 0 && waitpid(this->process, nullptr, WNOHANG) > 0) {
      this->process = -1;
    }
    return this->process <= 0;
  }

  // True once GET /ready was answered with 200.
  bool WaitUntilReady(Millis aLimit) const
  {
    const auto deadline = Clock::now() + aLimit;
    while (Clock::now() < deadline) {
      Socket socket;
      std::string line;
      if (socket.Connect(this->readyPort) &&
          socket.Write("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n") &&
          socket.ReadLine(line, deadline) &&
          line.find(" 200") != std::string::npos) {
        return true;
      }
      constexpr Millis kPause(50);
      std::this_thread::sleep_for(kPause);
    }
    return false;
  }

private:
  void WriteSettings(const std::string& aPath) const
  {
    std::ofstream file(aPath);
    file << "[gateway]\nhost = " << this->settings.name
         << "\nzone = " << this->settings.zone
         << "\ncall_address = " << AddressText(this->callPort)
         << "\nready_address = " << AddressText(this->readyPort)
         << "\nmetrics_address = " << AddressText(this->metricsPort)
         << "\nexchange_address = " << AddressText(this->exchangePort)
         << "\nfresh_start = " << (this->started ? "false" : "true")
         << "\nkey_freshness_ms = 5000\nquota_window_s = 5"
         << "\nquota_overage = 0.1\nquota_tolerance = 20"
         << "\nshutdown_limit_s = 8\n"
         << "\n[zones]\nzone-a = region-1\nzone-b = region-1\n"
         << "\n[platform]\nstore_address = "
         << AddressText(this->settings.storePort)
         << "\nstore_parts = 12\ncontracts = base,drain,config,cost,recover,"
            "agent,stream,engine,tenants,quota,platform\n";
  }

  DaemonSettings settings;
  const uint16_t metricsPort = FreePort();
  const uint16_t exchangePort = FreePort();
  bool started = false;
  pid_t process = -1;
};

} // namespace review

#endif // TANAGERSEAM_REVIEW_SUPPORT_DAEMON_H_
