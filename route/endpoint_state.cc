// State of one endpoint: calls in flight, newest load report, circuit breaker.
#include <algorithm>

#include "route/route.h"

namespace tanagerseam {

namespace {

// Finished calls kept until the next load report. If more finish, the oldest
// are dropped and a report that still includes them counts them as external.
constexpr size_t kMaxFinishedCalls = 1024;

} // namespace

bool
EndpointState::IsUsable(int aBreakerFailures, TimePoint aNow) const
{
  if (this->config.leaving) {
    return false;
  }
  if (this->leavesAt && *this->leavesAt <= aNow) {
    return false;
  }
  if (this->consecutiveFailures < aBreakerFailures) {
    return true;
  }
  return aNow >= this->breakerOpenUntil && !this->trialInFlight;
}

void
EndpointState::AddGrant(int64_t aPrefillTokens, TimePoint aNow)
{
  ++this->inFlight;
  this->grantTimes.push_back(aNow);
  const std::chrono::duration<double, std::milli> prefill(
    double(aPrefillTokens) * this->report.prefillMillisPerToken);
  this->prefillEndsAt =
    std::max(this->prefillEndsAt, aNow) +
    std::chrono::duration_cast<TimePoint::duration>(prefill);
  this->Advance(aNow);
}

void
EndpointState::RemoveGrant(TimePoint aGrantedAt, TimePoint aNow)
{
  --this->inFlight;
  auto found =
    std::find(this->grantTimes.begin(), this->grantTimes.end(), aGrantedAt);
  if (found != this->grantTimes.end()) {
    this->grantTimes.erase(found);
  }
  this->finished.push_back({ aGrantedAt, aNow });
  if (this->finished.size() > kMaxFinishedCalls) {
    this->finished.pop_front();
  }
  if (this->inFlight == 0) {
    this->prefillEndsAt = aNow;
  }
}

void
EndpointState::ApplyReport(const LoadReport& aReport, TimePoint aNow)
{
  const TimePoint madeAt = aNow - aReport.age;
  if (madeAt < this->reportMadeAt) {
    return;
  }
  this->report = aReport;
  this->reportMadeAt = madeAt;
  const int reported = aReport.running + aReport.queued;
  this->externalCalls = std::max(0, reported - this->InFlightAt(madeAt));
  while (!this->finished.empty() &&
         this->finished.front().finishedAt <= madeAt) {
    this->finished.pop_front();
  }
}

void
EndpointState::Advance(TimePoint aNow)
{
  if (this->leavesAt) {
    this->config.leavesIn = Millis{ MillisBetween(aNow, *this->leavesAt) };
  }
  const std::chrono::duration<double, std::milli> ahead =
    this->prefillEndsAt - aNow;
  this->pendingPrefillMillis = std::max(0.0, ahead.count());
}

int
EndpointState::InFlightAt(TimePoint aTime) const
{
  const auto running =
    std::count_if(this->grantTimes.begin(),
                  this->grantTimes.end(),
                  [aTime](TimePoint aGranted) { return aGranted <= aTime; });
  const auto finished =
    std::count_if(this->finished.begin(),
                  this->finished.end(),
                  [aTime](const FinishedCall& aCall) {
                    return aCall.grantedAt <= aTime && aCall.finishedAt > aTime;
                  });
  return static_cast<int>(running + finished);
}

} // namespace tanagerseam
