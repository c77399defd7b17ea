#include "daemon/engine_memory.h"

namespace tanagerseam {

ProgramStatus
ProgramStatusOf(const ClusterState& aState,
                const std::string& aProgram,
                int64_t aWallMillis)
{
  const auto found = aState.Programs().find(aProgram);
  if (found == aState.Programs().end()) {
    return ProgramStatus::kUnknown;
  }
  const ProgramState& program = *found->second;
  const bool pastDeadline = program.endsAtMillis <= aWallMillis;
  const bool outOfTurns =
    program.NextCall() > program.maxTurns && !program.open;
  return program.ended || pastDeadline || outOfTurns ? ProgramStatus::kFinished
                                                     : ProgramStatus::kActive;
}

std::vector<std::string>
CacheReleasePolicy::SelectReleases(
  const std::string& aEndpoint,
  const std::vector<std::string>& aHeldPrograms,
  const StatusLookup& aStatusOf,
  TimePoint aNow)
{
  std::map<std::string, TrackedProgram> previous;
  previous.swap(this->tracked[aEndpoint]);
  std::map<std::string, TrackedProgram>& current = this->tracked[aEndpoint];
  std::vector<std::string> selected;
  for (const std::string& program : aHeldPrograms) {
    const ProgramStatus status = aStatusOf(program);
    if (status == ProgramStatus::kActive) {
      continue;
    }
    const auto found = previous.find(program);
    TrackedProgram entry =
      found == previous.end() ? TrackedProgram{} : found->second;
    if (status == ProgramStatus::kUnknown && !entry.unknown) {
      entry.unknown = true;
      entry.unknownSince = aNow;
    }
    const bool inGracePeriod = status == ProgramStatus::kUnknown &&
                               aNow - entry.unknownSince < kUnknownGracePeriod;
    const bool recentlyReleased =
      entry.lastRelease != TimePoint{} &&
      aNow - entry.lastRelease < kReleaseRetryInterval;
    if (!inGracePeriod && !recentlyReleased &&
        selected.size() < kMaxReleasesPerReport) {
      entry.lastRelease = aNow;
      selected.push_back(program);
    }
    current[program] = entry;
  }
  return selected;
}

void
CacheReleasePolicy::Reset()
{
  this->tracked.clear();
}

std::vector<std::string>
IdleProgramDetector::FindIdle(
  const std::map<std::string, Activity>& aActivities,
  Millis aMaxIdleTime,
  TimePoint aNow)
{
  std::vector<std::string> idle;
  std::map<std::string, LastActivity> updated;
  for (const auto& [id, activity] : aActivities) {
    const auto previous = this->lastActivity.find(id);
    const bool active = previous == this->lastActivity.end() ||
                        activity.hasOpenCall ||
                        previous->second.turns != activity.turns;
    updated[id] =
      active ? LastActivity{ activity.turns, aNow } : previous->second;
    if (aNow - updated[id].since >= aMaxIdleTime) {
      idle.push_back(id);
    }
  }
  this->lastActivity = std::move(updated);
  return idle;
}

} // namespace tanagerseam
