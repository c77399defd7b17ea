// Migrates the prefix caches of programs off endpoints that are leaving. Runs
// on the owner of their model.
//
//   PrefixMigrator migrator(context);
//   migrator.Start();
//   migrator.OnLoadReport("engine-1", load);
//   const auto endpoint = migrator.FindPrefixEndpoint(id, "engine-1", tokens);
//
// In each pass, for each endpoint that leaves within kMigrationLeadTime: the
// programs that its newest load report lists, that are alive without an open
// call and had their last model turn there, are moved to the least loaded
// endpoint that stays, if a move is cheaper than a new prefill. The moves are
// spread over the remaining time.
//
// The record of migrations is soft state for dispatch, valid only while the
// program's last turn is the one whose prefix was moved. Losing the owner costs
// a prefill, never an answer.
// Lock order: `mutex` is taken last, and not held during calls to an engine.
#ifndef TANAGERSEAM_DAEMON_WIND_DOWN_H_
#define TANAGERSEAM_DAEMON_WIND_DOWN_H_

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "daemon/context.h"
#include "route/wind_down.h"

namespace tanagerseam {

class PrefixMigrator
{
public:
  explicit PrefixMigrator(const DaemonContext& aContext);
  ~PrefixMigrator();

  void Start();
  void Stop();
  // Takes the newest load report of an endpoint whose models this daemon owns.
  void OnLoadReport(const std::string& aEndpoint, const EngineLoad& aLoad);
  // The endpoint that now caches the prefix, aTokens long, of a program's last
  // turn, which ran on aEndpoint.
  std::string FindPrefixEndpoint(const std::string& aProgram,
                                 const std::string& aEndpoint,
                                 int64_t aTokens) const;

private:
  // A program whose prefix is cached on a leaving endpoint. `tokens` is the
  // length of the prefix, `epoch` that of the program's slot.
  struct CachedProgram
  {
    std::string program;
    std::string model;
    int64_t tokens = 0;
    int64_t epoch = 0;
  };
  // A decision on a prefix of this length; `target` is the source if the prefix
  // was not moved.
  struct Migration
  {
    std::string source;
    std::string target;
    int64_t tokens = 0;
  };

  // The endpoint chosen for the prefix; empty if there was no decision yet.
  std::optional<std::string> FindDecidedEndpoint(const std::string& aProgram,
                                                 const std::string& aEndpoint,
                                                 int64_t aTokens) const;
  void Run();
  void MigrateFrom(const Endpoint& aSource);
  std::vector<CachedProgram> CachedProgramsOn(const Endpoint& aSource) const;
  const Endpoint* FindTarget(const DesiredState& aDesired,
                             const Endpoint& aSource,
                             const std::string& aModel) const;
  void Migrate(const Endpoint& aSource,
               const Endpoint& aTarget,
               const CachedProgram& aProgram);
  void EraseEndedPrograms();

  const DaemonContext& context;
  mutable std::mutex mutex;
  std::map<std::string, EngineLoad> loadReports;
  std::map<std::string, Migration> migrations;
  // Moves to each endpoint since its newest load report.
  std::map<std::string, int> movesSinceReport;
  PrefixCosts costs;
  std::atomic<bool> stopping{ false };
  std::thread thread;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_DAEMON_WIND_DOWN_H_
