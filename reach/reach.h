// Judges whether this host reaches the endpoints of a service at all.
//
//   ServiceReach reach;
//   reach.OnUnreachable("engines", "i-17", now);
//   reach.OnConnected("engines");
//   if (reach.IsLost("engines") && !reach.TakeTrial("engines", now)) {
//     ... forward the call to a peer that reaches the service ...
//   }
//
// A host whose links are lost sees the same as one whose endpoints are all
// down: connections that fail. Its peers tell the two apart: each host reports
// the services that it has lost, and one that has lost a service looks for a
// peer that has not. Where all have lost it, the endpoints are down.
//
// A service is lost after kMinFailures failed connections in a row, to more
// than one endpoint if it has several. Only a new connection shows that it is
// back: connections that are open may live on while new ones are refused. So
// that it is noticed, one call each kTrialInterval tries the service while it
// is lost; a connection that failed has executed nothing, so the call can be
// forwarded then.
//
// Deterministic: the time is an argument.
#ifndef TANAGERSEAM_REACH_REACH_H_
#define TANAGERSEAM_REACH_REACH_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "kernel/kernel.h"

namespace tanagerseam {

class ServiceReach
{
public:
  static constexpr int kMinFailures = 3;
  static constexpr size_t kMinEndpoints = 2;
  static constexpr Millis kTrialInterval{ 500 };

  // A new connection to an endpoint of the service worked. True if the service
  // was lost until now.
  bool OnConnected(const std::string& aService);
  // No connection to the endpoint could be made; the service has aEndpoints
  // usable ones. True if the service is lost from now on.
  bool OnUnreachable(const std::string& aService,
                     const std::string& aEndpoint,
                     size_t aEndpoints,
                     TimePoint aNow);
  bool IsLost(const std::string& aService) const;
  // True for one call each kTrialInterval.
  bool TakeTrial(const std::string& aService, TimePoint aNow);
  // The services that are lost.
  std::vector<std::string> Lost() const;

private:
  struct Failures
  {
    int count = 0;
    std::set<std::string> endpoints;
    bool lost = false;
    TimePoint lastTrialAt{};
  };

  // Since the last connection that worked, by service.
  std::map<std::string, Failures> failures;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_REACH_REACH_H_
