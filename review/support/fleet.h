// The parts of a case: record, store, servers and daemons.
#ifndef TANAGERSEAM_REVIEW_SUPPORT_FLEET_H_
#define TANAGERSEAM_REVIEW_SUPPORT_FLEET_H_

#include <cstdio>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "review/support/backend.h"
#include "review/support/client.h"
#include "review/support/daemon.h"
#include "review/support/site.h"

namespace review {

// The arguments of a case: the daemon's program, an empty folder, the record.
struct CaseArguments
{
  std::string program;
  std::string folder;
  std::string record;
};

class Fleet
{
public:
  Fleet(const CaseArguments& aArguments, Millis aStoreRetention)
    : record(aArguments.record)
    , store(aStoreRetention)
    , arguments(aArguments)
  {
    this->record.Add(HasTrouble() ? "with the disruption"
                                  : "without the disruption");
  }

  // May be called from any thread.
  void AddBackend(const std::string& aId,
                  const std::string& aService,
                  const std::string& aZone,
                  const Backend::Work& aWork)
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    // Serves its connections until the process ends.
    this->backends.push_back(
      new Backend(this->store, this->record, aId, aService, aZone, aWork));
  }

  // Starts the daemons. False if one does not become ready.
  bool Start(const nlohmann::json& aRoutes, int aDaemons)
  {
    this->store.PutKeyed("keyed.op", "config", ConfigurationText(aRoutes));
    for (int i = 0; i < aDaemons; ++i) {
      DaemonSettings settings;
      settings.program = this->arguments.program;
      settings.folder = this->arguments.folder;
      settings.name = "host-" + std::to_string(i);
      settings.storePort = this->store.Port();
      this->daemons.push_back(std::make_unique<Daemon>(settings));
      this->daemons.back()->Start();
    }
    for (const auto& daemon : this->daemons) {
      constexpr std::chrono::seconds kStartTime(15);
      if (!daemon->WaitUntilReady(kStartTime)) {
        this->record.Add("a daemon is not ready: the case can't run");
        return false;
      }
    }
    // Traffic starts 10 s after the machines on the users' sheets. Members of
    // the fleet and their reports are known after less.
    constexpr std::chrono::seconds kSettle(6);
    std::this_thread::sleep_for(kSettle);
    this->record.Add("the daemons are ready");
    return true;
  }

  // SIGKILL, and a new start as the platform does it.
  bool KillAndRestart(size_t aDaemon)
  {
    Daemon& daemon = *this->daemons[aDaemon];
    this->record.Add("SIGKILL for host-" + std::to_string(aDaemon));
    daemon.Kill();
    constexpr Millis kRestartDelay(500);
    std::this_thread::sleep_for(kRestartDelay);
    daemon.Start();
    constexpr std::chrono::seconds kStartTime(15);
    const bool ready = daemon.WaitUntilReady(kStartTime);
    this->record.Add("host-" + std::to_string(aDaemon) +
                     (ready ? " is ready again" : " is NOT ready"));
    return ready;
  }

  void SleepUntil(double aSeconds) const
  {
    const double left = aSeconds - this->record.Seconds();
    if (left > 0) {
      std::this_thread::sleep_for(std::chrono::duration<double>(left));
    }
  }

  int Finish(int aResult, const std::string& aText)
  {
    this->record.Add(aText);
    printf("%s\n", aText.c_str());
    fflush(stdout);
    this->daemons.clear();
    // Threads of stand-ins may still run: nothing is destroyed.
    _exit(aResult);
  }

  Record record;
  Store store;
  std::vector<Backend*> backends;
  std::vector<std::unique_ptr<Daemon>> daemons;

private:
  const CaseArguments arguments;
  std::mutex mutex;
};

// Runs a case; an exception means that it could not run.
template<typename Case>
int
RunCase(int aCount, char** aArguments, const Case& aCase)
{
  if (aCount != 4) {
    fprintf(stderr, "usage: %s PROGRAM FOLDER RECORD\n", aArguments[0]);
    return kCouldNotRun;
  }
  try {
    return aCase({ aArguments[1], aArguments[2], aArguments[3] });
  } catch (const std::exception& error) {
    fprintf(stderr, "%s\n", error.what());
    return kCouldNotRun;
  }
}

} // namespace review

#endif // TANAGERSEAM_REVIEW_SUPPORT_FLEET_H_
