#include <algorithm>
#include <cmath>

#include "work/work.h"

namespace tanagerseam {

void
OutstandingWork::Begin(uint64_t aCall, uint32_t aEndpoint, double aMillis)
{
  this->End(aCall);
  const double millis = std::max(0.0, aMillis);
  this->calls[aCall] = { aEndpoint, millis, millis };
  OwnWork& sum = this->own[aEndpoint];
  ++sum.calls;
  sum.millis += millis;
}

void
OutstandingWork::Progress(uint64_t aCall, double aMillis)
{
  auto found = this->calls.find(aCall);
  if (found == this->calls.end()) {
    return;
  }
  Call& call = found->second;
  const double left =
    std::max(call.predicted - aMillis, kOverrunFraction * aMillis);
  this->own[call.endpoint].millis += left - call.left;
  call.left = left;
}

void
OutstandingWork::End(uint64_t aCall)
{
  auto found = this->calls.find(aCall);
  if (found == this->calls.end()) {
    return;
  }
  auto sum = this->own.find(found->second.endpoint);
  sum->second.millis -= found->second.left;
  if (--sum->second.calls == 0) {
    this->own.erase(sum);
  }
  this->calls.erase(found);
}

void
OutstandingWork::OnPeerReport(const std::string& aHost,
                              const std::unordered_map<uint32_t, int>& aCalls,
                              const EndpointWorks& aWorks,
                              TimePoint aNow)
{
  this->Expire(aNow);
  PeerWorks works;
  for (const auto& entry : aCalls) {
    const auto stated = aWorks.find(entry.first);
    const bool isStated = stated != aWorks.end();
    works[entry.first] = { entry.second,
                           isStated ? 0 : entry.second,
                           isStated ? static_cast<double>(stated->second) : 0 };
  }
  Report& report = this->reports[aHost];
  this->Count(report.works, -1);
  this->Count(works, 1);
  report = { std::move(works), aNow };
  this->arrivals.emplace_back(aNow, aHost);
}

void
OutstandingWork::Count(const PeerWorks& aWorks, int aSign)
{
  for (const auto& entry : aWorks) {
    PeerWork& sum = this->peers[entry.first];
    sum.calls += aSign * entry.second.calls;
    sum.unstated += aSign * entry.second.unstated;
    sum.millis += aSign * entry.second.millis;
    if (sum.calls == 0) {
      this->peers.erase(entry.first);
    }
  }
}

void
OutstandingWork::Expire(TimePoint aNow)
{
  while (!this->arrivals.empty() &&
         aNow - this->arrivals.front().first > kMaxReportAge) {
    const auto found = this->reports.find(this->arrivals.front().second);
    const bool superseded =
      found == this->reports.end() ||
      found->second.receivedAt > this->arrivals.front().first;
    if (!superseded) {
      this->Count(found->second.works, -1);
      this->reports.erase(found);
    }
    this->arrivals.pop_front();
  }
}

double
OutstandingWork::Own(uint32_t aEndpoint) const
{
  const auto found = this->own.find(aEndpoint);
  return found == this->own.end() ? 0 : std::max(0.0, found->second.millis);
}

double
OutstandingWork::Others(uint32_t aEndpoint,
                        std::optional<double> aCalls,
                        double aMeanMillis) const
{
  const auto found = this->peers.find(aEndpoint);
  const PeerWork assumed =
    found == this->peers.end() ? PeerWork{} : found->second;
  const double millis = assumed.millis + assumed.unstated * aMeanMillis;
  if (!aCalls) {
    return millis;
  }
  if (*aCalls >= assumed.calls) {
    return millis + (*aCalls - assumed.calls) * aMeanMillis;
  }
  return millis * *aCalls / assumed.calls;
}

EndpointWorks
OutstandingWork::OwnWorks() const
{
  EndpointWorks works;
  for (const auto& entry : this->own) {
    works[entry.first] =
      static_cast<uint32_t>(std::lround(std::max(0.0, entry.second.millis)));
  }
  return works;
}

double
OutstandingWork::OwnTotal() const
{
  double sum = 0;
  for (const auto& entry : this->own) {
    sum += std::max(0.0, entry.second.millis);
  }
  return sum;
}

std::optional<Millis>
OutstandingWork::NewestReportAge(TimePoint aNow) const
{
  if (this->arrivals.empty()) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Millis>(aNow - this->arrivals.back().first);
}

} // namespace tanagerseam
