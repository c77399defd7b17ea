// The load of endpoints, from this host, its peers and the endpoints.
#include "dispatch/dispatch.h"

#include <algorithm>

#include "dispatch/dispatch_constants.h"

namespace tanagerseam {

namespace {

// Capacity of an endpoint that takes no calls at all; keeps ratios finite.
constexpr double kMinCapacity = 0.01;

} // namespace

double
Dispatcher::Capacity(const EndpointState& aState) const
{
  const double slots = std::max(1, aState.endpoint.slots);
  if (!aState.endpoint.callsPerSecond) {
    return slots;
  }
  auto found = this->serviceMillis.find(aState.service);
  const double callMillis =
    found == this->serviceMillis.end() ? kDefaultRouteMillis : found->second;
  return std::clamp(
    *aState.endpoint.callsPerSecond * callMillis / 1000, kMinCapacity, slots);
}

double
Dispatcher::Slowness(const EndpointState& aState, TimePoint aNow) const
{
  return this->IsPaced(aState) ? aState.pace.Slowness(aState.latencyRatio, aNow)
                               : aState.latencyRatio;
}

double
Dispatcher::PacedCapacity(const EndpointState& aState, TimePoint aNow) const
{
  const double capacity = this->Capacity(aState);
  return this->IsPaced(aState)
           ? capacity / std::max(1.0, this->Slowness(aState, aNow))
           : capacity;
}

double
Dispatcher::OtherLoad(const EndpointState& aState, TimePoint aNow) const
{
  const TimePoint newest =
    this->arrivals.empty() ? TimePoint{} : this->arrivals.back().receivedAt;
  const bool hasEndpointReport = aState.reportedAt != TimePoint{} &&
                                 aNow - aState.reportedAt <= kMaxReportAge;
  if (hasEndpointReport && aState.reportedAt >= newest) {
    return aState.reportedOtherLoad;
  }
  auto reported = this->peerLoads.find(aState.hash);
  return reported == this->peerLoads.end() ? 0 : reported->second;
}

void
Dispatcher::CountReport(const EndpointLoads& aLoads, int aSign)
{
  for (const auto& entry : aLoads) {
    int& sum = this->peerLoads[entry.first];
    sum += aSign * entry.second;
    if (sum == 0) {
      this->peerLoads.erase(entry.first);
    }
  }
}

void
Dispatcher::ExpireReports(TimePoint aNow)
{
  this->work.Expire(aNow);
  while (!this->arrivals.empty() &&
         aNow - this->arrivals.front().receivedAt > kMaxReportAge) {
    const ReportArrival& oldest = this->arrivals.front();
    auto report = this->peers.find(oldest.host);
    const bool superseded = report == this->peers.end() ||
                            report->second.receivedAt > oldest.receivedAt;
    if (!superseded) {
      this->CountReport(report->second.loads, -1);
      this->peers.erase(report);
    }
    this->arrivals.pop_front();
  }
}

double
Dispatcher::MeanLoad(const std::vector<EndpointState*>& aStates,
                     TimePoint aNow) const
{
  double load = 0;
  for (const EndpointState* state : aStates) {
    load += this->TotalLoad(*state, aNow);
  }
  return load / static_cast<double>(std::max<size_t>(1, aStates.size()));
}

double
Dispatcher::ServiceUtilisation(const std::string& aService, TimePoint aNow)
{
  this->ExpireReports(aNow);
  double capacity = 0;
  double load = 0;
  for (const auto& entry : this->endpoints) {
    const EndpointState& state = entry.second;
    if (state.service == aService && state.takesCalls) {
      capacity += this->PacedCapacity(state, aNow);
      load += this->TotalLoad(state, aNow);
    }
  }
  return capacity > 0 ? load / capacity : 0;
}

void
Dispatcher::OnPeerReport(const std::string& aHost,
                         EndpointLoads aLoads,
                         TimePoint aNow,
                         const EndpointWorks& aWorks)
{
  this->ExpireReports(aNow);
  if (this->settings.placement != PlacementMode::kBasic) {
    this->work.OnPeerReport(aHost, aLoads, aWorks, aNow);
  }
  PeerReport& report = this->peers[aHost];
  this->CountReport(report.loads, -1);
  this->CountReport(aLoads, 1);
  report = { std::move(aLoads), aNow };
  this->arrivals.push_back({ aNow, aHost });
}

bool
Dispatcher::IsAdaptive(const std::string& aService) const
{
  switch (this->settings.placement) {
    case PlacementMode::kBasic:
      return false;
    case PlacementMode::kAdaptive:
      return true;
    case PlacementMode::kAuto:
      break;
  }
  return this->settings.contention || this->pacedServices.count(aService) > 0;
}

void
Dispatcher::OnEndpointReport(const std::string& aEndpoint,
                             int aCalls,
                             TimePoint aNow,
                             std::optional<double> aPace)
{
  auto found = this->endpoints.find(aEndpoint);
  if (found != this->endpoints.end()) {
    EndpointState& state = found->second;
    state.reportedOtherLoad = std::max(0, aCalls - state.ownLoad);
    state.reportedAt = aNow;
    if (aPace && state.pace.OnReport(*aPace, aNow)) {
      this->pacedServices.insert(state.service);
    }
  }
}

EndpointLoads
Dispatcher::OwnLoads() const
{
  EndpointLoads loads;
  for (const auto& entry : this->endpoints) {
    if (entry.second.ownLoad > 0) {
      loads[entry.second.hash] = entry.second.ownLoad;
    }
  }
  return loads;
}

} // namespace tanagerseam
