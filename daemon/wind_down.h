// Moves warm programs off endpoints that leave, at the owner of their model.
//
// Every interval, for each endpoint that leaves within kLead: the programs that
// its newest report holds, that are alive without an open call and had their
// last model turn there, move to the least loaded endpoint that stays, spread
// over the time left, if that is cheaper than prefilling anew.
//
// What moved where is soft state for the dispatch: it is used only while the
// program's last turn is still the one that moved. A lost owner costs a prefill
// anew, never an answer.
// Lock order: `mutex` is taken last, and not held while an engine is asked.
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

class WindDown
{
public:
  explicit WindDown(const DaemonContext& aContext);
  ~WindDown();

  void Start();
  void Stop();
  // The newest report of an endpoint of own models.
  void OnLoad(const std::string& aEndpoint, const EngineLoad& aLoad);
  // Where the prefix of a program's last turn is now.
  std::string WarmEndpoint(const std::string& aProgram,
                           const std::string& aEndpoint,
                           int64_t aTokens) const;

private:
  struct Warm
  {
    std::string program;
    std::string model;
    int64_t tokens = 0;
    int64_t epoch = 0;
  };
  struct Moved
  {
    std::string source;
    std::string target;
    int64_t tokens = 0;
  };

  // Where the prefix was decided to be; nothing if not decided yet.
  std::optional<std::string> Find(const std::string& aProgram,
                                  const std::string& aEndpoint,
                                  int64_t aTokens) const;
  void Run();
  void MoveOff(const Endpoint& aSource);
  std::vector<Warm> WarmAt(const Endpoint& aSource) const;
  const Endpoint* TargetFor(const DesiredState& aDesired,
                            const Endpoint& aSource,
                            const std::string& aModel) const;
  void Move(const Endpoint& aSource,
            const Endpoint& aTarget,
            const Warm& aWarm);
  void ForgetGone();

  const DaemonContext& context;
  mutable std::mutex mutex;
  std::map<std::string, EngineLoad> loads;
  std::map<std::string, Moved> moved;
  // Moves to each endpoint since its newest report.
  std::map<std::string, int> assigned;
  PrefixCosts costs;
  std::atomic<bool> stopping{ false };
  std::thread thread;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_DAEMON_WIND_DOWN_H_
