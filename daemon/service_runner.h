// Sends calls to plain services: single attempts, or with retries at other
// endpoints.
//
// Usage, for a call that may be repeated:
//
//   ServiceRunner runner(context);
//   auto response = runner.RunRepeatable(request, cancelled);
//
// and for one that must run at most once:
//
//   auto endpoints = runner.Candidates(request.route);
//   const Endpoint& endpoint = runner.Pick(endpoints, "");
//   auto outcome = runner.RunOnce(endpoint, request, false, epoch, cancelled);
//
// Thread-safe.
#ifndef TANAGERSEAM_DAEMON_SERVICE_RUNNER_H_
#define TANAGERSEAM_DAEMON_SERVICE_RUNNER_H_

#include <mutex>
#include <random>
#include <string>

#include "daemon/call.h"
#include "daemon/context.h"

namespace tanagerseam {

// The complete response of a service.
struct ServiceResponse
{
  int httpStatus = 0;
  std::string contentType;
  std::string body;
};

class ServiceRunner
{
public:
  explicit ServiceRunner(const DaemonContext& aContext);

  // The route's endpoints that are not leaving. Refuses with kUnknownRoute, or
  // with kNoEndpoint if there are none.
  Result<std::vector<Endpoint>> Candidates(const std::string& aRoute) const;

  // One attempt at one endpoint. aFencing is sent to endpoints that check
  // fencing tokens.
  EndpointOutcome RunOnce(const Endpoint& aEndpoint,
                          const CallRequest& aRequest,
                          bool aRepeatable,
                          int64_t aFencing,
                          const std::function<bool()>& aCancelled);

  // Retries a failed call at other endpoints, within the retry budget and the
  // deadline of the request.
  Result<ServiceResponse> RunRepeatable(
    const CallRequest& aRequest,
    const std::function<bool()>& aCancelled);

  // Selects a candidate at random; the endpoint aAvoid only if it is the only
  // candidate. aCandidates must not be empty.
  const Endpoint& Pick(const std::vector<Endpoint>& aCandidates,
                       const std::string& aAvoid);

private:
  const DaemonContext& context;
  std::mutex mutex;
  std::mt19937_64 random;
  RetryBudget retryBudget;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_DAEMON_SERVICE_RUNNER_H_
