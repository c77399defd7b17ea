#include "quarantine/quarantine.h"

#include <algorithm>
#include <cstdlib>
#include <tuple>

namespace tanagerseam {

namespace {

// Times at which one incarnation was found to be down.
constexpr size_t kMaxTimesDown = 4;

template<typename Item, typename TimeOf>
void
KeepNewest(std::vector<Item>& aItems, size_t aMax, TimeOf aTimeOf)
{
  if (aItems.size() <= aMax) {
    return;
  }
  std::sort(
    aItems.begin(), aItems.end(), [&](const auto& aLeft, const auto& aRight) {
      return aTimeOf(aLeft) > aTimeOf(aRight);
    });
  aItems.resize(aMax);
}

} // namespace

std::string
IncarnationName(const std::string& aEndpoint, int64_t aStartedAtMillis)
{
  return aEndpoint + "@" + std::to_string(aStartedAtMillis);
}

void
CallQuarantine::Add(const BrokenCall& aBroken, bool aOwn)
{
  if (this->calls.count(aBroken.call) == 0) {
    this->MakeRoom();
  }
  std::vector<KnownBreak>& breaks = this->calls[aBroken.call].breaks;
  const bool known = std::any_of(
    breaks.begin(), breaks.end(), [&aBroken](const KnownBreak& aKnown) {
      return aKnown.broken.endpoint == aBroken.endpoint &&
             aKnown.broken.sentAtMillis == aBroken.sentAtMillis;
    });
  if (known) {
    return;
  }
  const auto later = std::find_if(
    breaks.begin(), breaks.end(), [&aBroken](const KnownBreak& aKnown) {
      return aKnown.broken.brokenAtMillis > aBroken.brokenAtMillis;
    });
  breaks.insert(later, { aBroken, aOwn });
  if (breaks.size() > kMaxBreaksPerCall) {
    breaks.erase(breaks.begin());
  }
}

void
CallQuarantine::OnSucceeded(const std::string& aCall, int64_t aSentAtMillis)
{
  auto found = this->calls.find(aCall);
  if (found != this->calls.end()) {
    found->second.clearedAtMillis =
      std::max(found->second.clearedAtMillis, aSentAtMillis);
  }
}

void
CallQuarantine::OnEndpointDown(const std::string& aEndpoint, int64_t aNowMillis)
{
  std::vector<int64_t>& times = this->down[aEndpoint];
  const bool known =
    std::any_of(times.begin(), times.end(), [aNowMillis](int64_t aTime) {
      return std::abs(aNowMillis - aTime) < kConfirmationTime.count() / 2;
    });
  if (known) {
    return;
  }
  times.push_back(aNowMillis);
  std::sort(times.begin(), times.end());
  if (times.size() > kMaxTimesDown) {
    times.erase(times.begin());
  }
  if (this->down.size() > kMaxDownEndpoints) {
    this->down.erase(
      std::min_element(this->down.begin(),
                       this->down.end(),
                       [](const auto& aLeft, const auto& aRight) {
                         return aLeft.second.back() < aRight.second.back();
                       }));
  }
}

void
CallQuarantine::OnPeerReport(const QuarantineReport& aReport)
{
  for (const DownEndpoint& entry : aReport.down) {
    this->OnEndpointDown(entry.endpoint, entry.seenAtMillis);
  }
  for (const BrokenCall& entry : aReport.broken) {
    this->Add(entry, false);
  }
  for (const ClearedCall& entry : aReport.cleared) {
    this->OnSucceeded(entry.call, entry.sentAtMillis);
  }
}

std::optional<int64_t>
CallQuarantine::CrashSeenAt(const BrokenCall& aBroken) const
{
  auto found = this->down.find(aBroken.endpoint);
  if (found == this->down.end()) {
    return std::nullopt;
  }
  for (const int64_t time : found->second) {
    const int64_t afterMillis = time - aBroken.brokenAtMillis;
    // Clocks differ, so an endpoint may seem to be down before a break.
    if (afterMillis >= -kClockTolerance.count() &&
        afterMillis <= kConfirmationTime.count()) {
      return time;
    }
  }
  return std::nullopt;
}

std::vector<BrokenCall>
CallQuarantine::Crashes(const Call& aCall) const
{
  std::vector<BrokenCall> crashes;
  int64_t lastMillis = aCall.clearedAtMillis;
  for (const KnownBreak& known : aCall.breaks) {
    const BrokenCall& broken = known.broken;
    if (broken.sentAtMillis > lastMillis && this->CrashSeenAt(broken)) {
      crashes.push_back(broken);
      lastMillis = broken.brokenAtMillis;
    }
  }
  return crashes;
}

int64_t
CallQuarantine::QuarantineEnd(const std::vector<BrokenCall>& aCrashes)
{
  if (aCrashes.size() < kMinCrashes) {
    return 0;
  }
  const size_t doublings = aCrashes.size() - kMinCrashes;
  const Millis duration =
    std::min(kMaxQuarantine, kMinQuarantine * (int64_t{ 1 } << doublings));
  return aCrashes.back().brokenAtMillis + duration.count();
}

std::optional<QuarantinedCall>
CallQuarantine::Find(const std::string& aCall, int64_t aNowMillis) const
{
  auto found = this->calls.find(aCall);
  if (found == this->calls.end()) {
    return std::nullopt;
  }
  const std::vector<BrokenCall> crashes = this->Crashes(found->second);
  QuarantinedCall quarantined;
  quarantined.untilMillis = QuarantineEnd(crashes);
  if (aNowMillis >= quarantined.untilMillis) {
    return std::nullopt;
  }
  for (const BrokenCall& crash : crashes) {
    quarantined.endpoints.push_back(crash.endpoint);
  }
  return quarantined;
}

size_t
CallQuarantine::Count(int64_t aNowMillis) const
{
  return static_cast<size_t>(std::count_if(
    this->calls.begin(), this->calls.end(), [&](const auto& aEntry) {
      return this->Find(aEntry.first, aNowMillis).has_value();
    }));
}

void
CallQuarantine::AddOwnBreaks(const Call& aCall,
                             int64_t aSinceMillis,
                             std::vector<BrokenCall>& aBroken)
{
  for (const KnownBreak& known : aCall.breaks) {
    if (known.own && known.broken.brokenAtMillis > aSinceMillis) {
      aBroken.push_back(known.broken);
    }
  }
}

QuarantineReport
CallQuarantine::Report(int64_t aNowMillis) const
{
  const int64_t sinceMillis = aNowMillis - kReportTime.count();
  QuarantineReport report;
  std::vector<BrokenCall> suspected;
  std::map<std::string, int64_t> down;
  for (const auto& entry : this->calls) {
    const std::vector<BrokenCall> crashes = this->Crashes(entry.second);
    if (aNowMillis < QuarantineEnd(crashes)) {
      report.broken.insert(report.broken.end(), crashes.begin(), crashes.end());
    } else {
      AddOwnBreaks(entry.second, sinceMillis, suspected);
    }
    if (entry.second.clearedAtMillis > sinceMillis) {
      report.cleared.push_back({ entry.first, entry.second.clearedAtMillis });
    }
    for (const KnownBreak& known : entry.second.breaks) {
      const auto seenAt = this->CrashSeenAt(known.broken);
      if (seenAt && *seenAt > sinceMillis) {
        down[known.broken.endpoint] = *seenAt;
      }
    }
  }
  const auto brokenAt = [](const BrokenCall& aBroken) {
    return aBroken.brokenAtMillis;
  };
  KeepNewest(report.broken, kMaxReported, brokenAt);
  KeepNewest(suspected, kMaxReported - report.broken.size(), brokenAt);
  report.broken.insert(report.broken.end(), suspected.begin(), suspected.end());
  KeepNewest(report.cleared, kMaxReported, [](const ClearedCall& aCleared) {
    return aCleared.sentAtMillis;
  });
  for (const BrokenCall& broken : report.broken) {
    if (const auto seenAt = this->CrashSeenAt(broken)) {
      down[broken.endpoint] = *seenAt;
    }
  }
  for (const auto& entry : down) {
    report.down.push_back({ entry.first, entry.second });
  }
  KeepNewest(report.down, 2 * kMaxReported, [](const DownEndpoint& aDown) {
    return aDown.seenAtMillis;
  });
  return report;
}

void
CallQuarantine::Expire(int64_t aNowMillis)
{
  for (auto it = this->calls.begin(); it != this->calls.end();) {
    const bool wasQuarantined = this->Crashes(it->second).size() >= kMinCrashes;
    const Millis memory = wasQuarantined ? kQuarantineMemory : kSuspicionMemory;
    const int64_t lastMillis = it->second.breaks.back().broken.brokenAtMillis;
    it = aNowMillis - lastMillis > memory.count() ? this->calls.erase(it)
                                                  : std::next(it);
  }
  for (auto it = this->down.begin(); it != this->down.end();) {
    const bool old = aNowMillis - it->second.back() > kQuarantineMemory.count();
    it = old ? this->down.erase(it) : std::next(it);
  }
}

void
CallQuarantine::MakeRoom()
{
  if (this->calls.size() < kMaxCalls) {
    return;
  }
  const auto importance = [this](const Call& aCall) {
    return std::make_tuple(this->Crashes(aCall).size(),
                           aCall.breaks.back().broken.brokenAtMillis);
  };
  this->calls.erase(std::min_element(
    this->calls.begin(),
    this->calls.end(),
    [&importance](const auto& aLeft, const auto& aRight) {
      return importance(aLeft.second) < importance(aRight.second);
    }));
}

} // namespace tanagerseam
