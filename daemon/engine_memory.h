// Selects the programs whose cached prefixes an engine should release, and
// detects idle programs.
//
// Usage, at the owner of a model, for each load report:
//
//   CacheReleasePolicy policy;
//   if (logAvailable) {
//     for (auto& id : policy.SelectReleases("engine-1", held, statusOf, now)) {
//       ...  // send the release to the engine
//     }
//   } else {
//     policy.Reset();
//   }
//
// A program is finished once the replayed log shows that no call of it can
// start any more: it has ended, passed its deadline, or used all its turns.
// Finished is final, so a delayed release does no harm. A program that is not
// in the replay may have been opened a moment ago, or during an outage of the
// log: it is released only after it was unknown for kUnknownGracePeriod with
// the log available.
//
// Deterministic and free of I/O: time and state are arguments. Cost: one
// look-up for each program of a report.
#ifndef TANAGERSEAM_DAEMON_ENGINE_MEMORY_H_
#define TANAGERSEAM_DAEMON_ENGINE_MEMORY_H_

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "state/state.h"

namespace tanagerseam {

// Whether a program can still start calls, according to the replayed log.
enum class ProgramStatus
{
  kUnknown,
  kActive,
  kFinished,
};

ProgramStatus
ProgramStatusOf(const ClusterState& aState,
                const std::string& aProgram,
                int64_t aWallMillis);

class CacheReleasePolicy
{
public:
  // Longer than the time until an append that hung in an outage is resent.
  static constexpr Millis kUnknownGracePeriod{ 4000 };
  // Minimum time between two releases of a program: load reports lag, so a
  // released program is still listed for a while.
  static constexpr Millis kReleaseRetryInterval{ 1000 };
  static constexpr size_t kMaxReleasesPerReport = 64;

  using StatusLookup = std::function<ProgramStatus(const std::string&)>;

  // The programs to release now, of those that a load report of aEndpoint lists
  // as held.
  std::vector<std::string> SelectReleases(
    const std::string& aEndpoint,
    const std::vector<std::string>& aHeldPrograms,
    const StatusLookup& aStatusOf,
    TimePoint aNow);
  // To be called while the log is unavailable: restarts all grace periods, as
  // the records of unknown programs may not have been appended yet.
  void Reset();

private:
  struct TrackedProgram
  {
    TimePoint unknownSince;
    TimePoint lastRelease;
    bool unknown = false;
  };

  // By endpoint and program; only programs of the newest report of each
  // endpoint.
  std::map<std::string, std::map<std::string, TrackedProgram>> tracked;
};

// Detects programs without a new turn for some time, by the clock of their
// owner. A new owner measures from when it first sees a program.
class IdleProgramDetector
{
public:
  // Signs of use; they change with every call.
  struct Activity
  {
    size_t turns = 0;
    bool hasOpenCall = false;
  };

  // Returns the programs without activity for aMaxIdleTime. aActivities: the
  // programs owned now that have not ended. A program with an open call is not
  // idle.
  std::vector<std::string> FindIdle(
    const std::map<std::string, Activity>& aActivities,
    Millis aMaxIdleTime,
    TimePoint aNow);

private:
  struct LastActivity
  {
    size_t turns = 0;
    TimePoint since;
  };

  std::map<std::string, LastActivity> lastActivity;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_DAEMON_ENGINE_MEMORY_H_
