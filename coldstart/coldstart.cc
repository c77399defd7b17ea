#include "coldstart/coldstart.h"

#include <algorithm>

namespace tanagerseam {

void
ColdEndpoints::SetPolicy(const std::string& aService, ColdStartPolicy aPolicy)
{
  if (aPolicy.coldTime < Millis(0) || aPolicy.callsPerSecond < 0) {
    return;
  }
  const bool limits =
    aPolicy.coldTime > Millis(0) && aPolicy.callsPerSecond > 0;
  if (limits) {
    this->policies[aService] = aPolicy;
  } else {
    this->policies.erase(aService);
  }
}

const ColdStartPolicy*
ColdEndpoints::PolicyOf(const Endpoint& aEndpoint) const
{
  auto found = this->policies.find(aEndpoint.service);
  return found == this->policies.end() ? nullptr : &found->second;
}

bool
ColdEndpoints::IsCold(const Endpoint& aEndpoint, TimePoint aNow) const
{
  return this->PolicyOf(aEndpoint) != nullptr &&
         (aEndpoint.unreachable || aNow < aEndpoint.statedUntil ||
          aNow < aEndpoint.peerUntil || aNow < aEndpoint.assumedUntil);
}

bool
ColdEndpoints::Update(Endpoint& aEndpoint, TimePoint aNow) const
{
  const bool wasCold = aEndpoint.cold;
  aEndpoint.cold = aEndpoint.cold || this->IsCold(aEndpoint, aNow);
  return aEndpoint.cold && !wasCold;
}

TimePoint
ColdEndpoints::Until(const Endpoint& aEndpoint,
                     Millis aColdLeft,
                     TimePoint aNow) const
{
  const ColdStartPolicy* policy = this->PolicyOf(aEndpoint);
  const Millis longest =
    policy == nullptr ? Millis(0) : kMaxColdTimes * policy->coldTime;
  return aNow + std::clamp(aColdLeft, Millis(0), longest);
}

bool
ColdEndpoints::OnEntry(const ColdStartEntry& aEntry, TimePoint aNow)
{
  Endpoint& endpoint = this->endpoints[aEntry.id];
  endpoint.service = aEntry.service;
  endpoint.startedAtMillis = aEntry.startedAtMillis;
  endpoint.statedUntil = this->Until(endpoint, aEntry.coldLeft, aNow);
  endpoint.peerUntil = TimePoint{};
  return this->Update(endpoint, aNow);
}

bool
ColdEndpoints::OnColdLeft(const std::string& aId,
                          Millis aColdLeft,
                          TimePoint aNow)
{
  auto found = this->endpoints.find(aId);
  if (found == this->endpoints.end()) {
    return false;
  }
  Endpoint& endpoint = found->second;
  endpoint.statedUntil = this->Until(endpoint, aColdLeft, aNow);
  return this->Update(endpoint, aNow);
}

bool
ColdEndpoints::OnUnreachable(const std::string& aId, TimePoint aNow)
{
  auto found = this->endpoints.find(aId);
  if (found == this->endpoints.end()) {
    return false;
  }
  found->second.unreachable = true;
  return this->Update(found->second, aNow);
}

void
ColdEndpoints::OnResponse(const std::string& aId, TimePoint aNow)
{
  auto found = this->endpoints.find(aId);
  if (found != this->endpoints.end() && found->second.unreachable) {
    found->second.unreachable = false;
    this->AssumeCold(aId, aNow);
  }
}

bool
ColdEndpoints::AssumeCold(const std::string& aId, TimePoint aNow)
{
  auto found = this->endpoints.find(aId);
  if (found == this->endpoints.end()) {
    return false;
  }
  Endpoint& endpoint = found->second;
  const ColdStartPolicy* policy = this->PolicyOf(endpoint);
  if (policy == nullptr) {
    return false;
  }
  endpoint.assumedUntil = aNow + policy->coldTime;
  return this->Update(endpoint, aNow);
}

bool
ColdEndpoints::OnPeerReport(const ColdReport& aReport, TimePoint aNow)
{
  auto found = this->endpoints.find(aReport.id);
  if (found == this->endpoints.end() ||
      aReport.startedAtMillis < found->second.startedAtMillis) {
    return false;
  }
  Endpoint& endpoint = found->second;
  endpoint.peerUntil =
    std::max(endpoint.peerUntil, this->Until(endpoint, aReport.coldLeft, aNow));
  return this->Update(endpoint, aNow);
}

std::optional<double>
ColdEndpoints::Limit(const std::string& aId, TimePoint aNow) const
{
  auto found = this->endpoints.find(aId);
  if (found == this->endpoints.end() || !this->IsCold(found->second, aNow)) {
    return std::nullopt;
  }
  return this->PolicyOf(found->second)->callsPerSecond;
}

Millis
ColdEndpoints::ColdLeft(const std::string& aId, TimePoint aNow) const
{
  auto found = this->endpoints.find(aId);
  if (found == this->endpoints.end()) {
    return Millis(0);
  }
  const TimePoint until = std::max({ found->second.statedUntil,
                                     found->second.peerUntil,
                                     found->second.assumedUntil });
  return std::max(Millis(0), std::chrono::duration_cast<Millis>(until - aNow));
}

std::vector<std::string>
ColdEndpoints::Expire(TimePoint aNow)
{
  std::vector<std::string> warm;
  for (auto& entry : this->endpoints) {
    Endpoint& endpoint = entry.second;
    if (endpoint.cold && !this->IsCold(endpoint, aNow)) {
      endpoint.cold = false;
      warm.push_back(entry.first);
    }
  }
  return warm;
}

size_t
ColdEndpoints::Count() const
{
  return static_cast<size_t>(std::count_if(
    this->endpoints.begin(), this->endpoints.end(), [](const auto& aEntry) {
      return aEntry.second.cold;
    }));
}

std::vector<ColdReport>
ColdEndpoints::Reports(TimePoint aNow) const
{
  std::vector<ColdReport> reports;
  for (const auto& entry : this->endpoints) {
    const Endpoint& endpoint = entry.second;
    if (this->PolicyOf(endpoint) != nullptr && aNow < endpoint.statedUntil) {
      const Millis left =
        std::chrono::duration_cast<Millis>(endpoint.statedUntil - aNow);
      reports.push_back({ entry.first, endpoint.startedAtMillis, left });
    }
  }
  return reports;
}

} // namespace tanagerseam
