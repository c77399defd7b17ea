// Endpoints that have just started and take only a low rate of calls.
//
//   ColdEndpoints cold;
//   cold.SetPolicy("engines", { Millis(3000), 23 });
//   cold.OnEntry({ "e-1", "engines", startedAt, Millis(2400) }, now);
//   if (const auto limit = cold.Limit("e-1", now)) { ... calls per second ... }
//   for (const std::string& id : cold.Expire(now)) { ... no limit any more ...
//   }
//
// An endpoint is cold for some seconds after its start and may become cold
// again. Its entry in the registry says for how much longer. That figure is as
// of when the entry was written, which is not known, so it counts from when the
// entry was read: too long rather than too short.
//
// The registry is late by up to two heartbeats, so an endpoint is also taken
// for cold
//  - while connections to it fail, and for the service's cold time from the
//    first response on;
//  - for the cold time after the evacuation of its zone was taken back.
//
// Hosts that can't read the registry hear from peers which endpoints are cold.
// What one host has only concluded from its own connections is not told on:
// the fault may be its own.
//
// A service without a policy has no cold endpoints.
#ifndef TANAGERSEAM_COLDSTART_COLDSTART_H_
#define TANAGERSEAM_COLDSTART_COLDSTART_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "kernel/kernel.h"

namespace tanagerseam {

// What the operator says of the endpoints of a service.
struct ColdStartPolicy
{
  // Time after a start for which an endpoint is cold.
  Millis coldTime{ 0 };
  // Calls per second that a cold endpoint takes from all hosts; 0: any rate.
  double callsPerSecond = 0;
};

// What an endpoint says of itself.
struct ColdStartEntry
{
  std::string id;
  std::string service;
  // Start of its incarnation, in milliseconds since the epoch; 0 if unknown.
  int64_t startedAtMillis = 0;
  // For how much longer it is cold.
  Millis coldLeft{ 0 };
};

// A cold endpoint, in reports between hosts.
struct ColdReport
{
  std::string id;
  int64_t startedAtMillis = 0;
  Millis coldLeft{ 0 };
};

class ColdEndpoints
{
public:
  // Longer times are taken for mistakes: an endpoint counts as cold for at most
  // this many times the cold time of its service.
  static constexpr int kMaxColdTimes = 2;

  // Replaces the policy of a service. One with a negative value is invalid and
  // changes nothing.
  void SetPolicy(const std::string& aService, ColdStartPolicy aPolicy);
  // The registry's current entry. True if the endpoint is cold now and was not
  // before.
  bool OnEntry(const ColdStartEntry& aEntry, TimePoint aNow);
  // A response of the endpoint says for how much longer it is cold. True as
  // above.
  bool OnColdLeft(const std::string& aId, Millis aColdLeft, TimePoint aNow);
  // No connection to the endpoint could be made. True as above.
  bool OnUnreachable(const std::string& aId, TimePoint aNow);
  // The endpoint has responded.
  void OnResponse(const std::string& aId, TimePoint aNow);
  // The endpoint counts as cold for the cold time from now on. True as above.
  bool AssumeCold(const std::string& aId, TimePoint aNow);
  bool OnPeerReport(const ColdReport& aReport, TimePoint aNow);
  void Forget(const std::string& aId) { this->endpoints.erase(aId); }
  // The rate limit in force, in calls per second.
  std::optional<double> Limit(const std::string& aId, TimePoint aNow) const;
  // For how much longer the endpoint counts as cold.
  Millis ColdLeft(const std::string& aId, TimePoint aNow) const;
  // The endpoints that have stopped being cold since the last call.
  std::vector<std::string> Expire(TimePoint aNow);
  // Number of cold endpoints.
  size_t Count() const;
  // What the registry says, to be reported to peers.
  std::vector<ColdReport> Reports(TimePoint aNow) const;

private:
  struct Endpoint
  {
    std::string service;
    int64_t startedAtMillis = 0;
    // As the registry or the endpoint itself says.
    TimePoint statedUntil{};
    // As a peer said since the registry was last heard. Kept apart, so that
    // hosts do not tell each other what they have from each other.
    TimePoint peerUntil{};
    // As this host concludes.
    TimePoint assumedUntil{};
    // Connections fail; cold until it responds.
    bool unreachable = false;
    // Reported as cold, and not yet as warm by Expire.
    bool cold = false;
  };

  const ColdStartPolicy* PolicyOf(const Endpoint& aEndpoint) const;
  bool IsCold(const Endpoint& aEndpoint, TimePoint aNow) const;
  // Marks the endpoint as cold if it is; true if it was not before.
  bool Update(Endpoint& aEndpoint, TimePoint aNow) const;
  // aColdLeft from now on, limited by the service's cold time.
  TimePoint Until(const Endpoint& aEndpoint,
                  Millis aColdLeft,
                  TimePoint aNow) const;

  // By service.
  std::map<std::string, ColdStartPolicy> policies;
  // By endpoint id; of services with a policy.
  std::map<std::string, Endpoint> endpoints;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_COLDSTART_COLDSTART_H_
