#include "daemon/service_runner.h"

#include <algorithm>
#include <thread>

namespace tanagerseam {

namespace {

constexpr Millis kRetryBaseDelay(50);
constexpr Millis kRetryMaxDelay(1000);
constexpr int kMaxAttempts = 4;

} // namespace

ServiceRunner::ServiceRunner(const DaemonContext& aContext)
  : context(aContext)
  , random(StableHash(RandomHex(8)))
  , retryBudget(aContext.settings.retryBudgetShare,
                aContext.settings.retryBudgetMax)
{
}

Result<std::vector<Endpoint>>
ServiceRunner::Candidates(const std::string& aRoute) const
{
  const auto config = this->context.journal.Config();
  auto route = config->desired.routes.find(aRoute);
  if (route == config->desired.routes.end()) {
    return MakeRefusal(RefusalReason::kUnknownRoute, "unknown route " + aRoute);
  }
  std::vector<Endpoint> candidates;
  for (const std::string& name : route->second.endpoints) {
    auto endpoint = config->desired.endpoints.find(name);
    const bool known = endpoint != config->desired.endpoints.end();
    if (known && !IsLeaving(endpoint->second)) {
      candidates.push_back(endpoint->second);
    }
  }
  if (candidates.empty()) {
    return MakeRefusal(RefusalReason::kNoEndpoint,
                       "route " + aRoute +
                         " has no endpoint that accepts requests");
  }
  return candidates;
}

const Endpoint&
ServiceRunner::Pick(const std::vector<Endpoint>& aCandidates,
                    const std::string& aAvoid)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  std::uniform_int_distribution<size_t> distribution(0, aCandidates.size() - 1);
  const size_t selected = distribution(this->random);
  if (aCandidates[selected].name != aAvoid || aCandidates.size() == 1) {
    return aCandidates[selected];
  }
  return aCandidates[(selected + 1) % aCandidates.size()];
}

EndpointOutcome
ServiceRunner::RunOnce(const Endpoint& aEndpoint,
                       const CallRequest& aRequest,
                       bool aRepeatable,
                       int64_t aFencing,
                       const std::function<bool()>& aCancelled)
{
  const auto config = this->context.journal.Config();
  auto route = config->desired.routes.find(aRequest.route);
  EndpointCall call;
  call.address = aEndpoint.address;
  call.path = aRequest.path.empty() ? "/" : aRequest.path;
  call.body = aRequest.body;
  call.requestId = aRequest.requestId;
  call.idempotencyKey = aRequest.idempotencyKey;
  call.repeatable = aRepeatable;
  call.fencingToken = aEndpoint.checksFencing ? aFencing : 0;
  if (route != config->desired.routes.end()) {
    call.timeout = Millis(route->second.timeoutMillis);
  }
  call.timeout =
    std::max(Millis(1), std::min(call.timeout, aRequest.TimeLeft()));
  call.idleTimeout = call.timeout;
  call.cancelled = aCancelled;
  auto driver = Registry<EndpointDriver>::Instance().Make("plain");
  const TimePoint start = Now();
  EndpointOutcome outcome = driver->Run(this->context.http, call);
  this->context.metrics.Observe("tanagerseam_service_seconds",
                                {},
                                double(MillisBetween(start, Now())) / 1000);
  return outcome;
}

Result<ServiceResponse>
ServiceRunner::RunRepeatable(const CallRequest& aRequest,
                             const std::function<bool()>& aCancelled)
{
  std::string failedEndpoint;
  std::string lastError;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->retryBudget.OnFirstAttempt();
  }
  for (int attempt = 1; attempt <= kMaxAttempts; ++attempt) {
    Result<std::vector<Endpoint>> candidates = this->Candidates(aRequest.route);
    if (!IsOk(candidates)) {
      return std::get<Refusal>(candidates);
    }
    const Endpoint endpoint =
      this->Pick(std::get<std::vector<Endpoint>>(candidates), failedEndpoint);
    EndpointOutcome outcome =
      this->RunOnce(endpoint, aRequest, true, 0, aCancelled);
    if (outcome.status == EndpointStatus::kOk) {
      return ServiceResponse{ outcome.httpStatus,
                              outcome.contentType,
                              std::move(outcome.body) };
    }
    failedEndpoint = endpoint.name;
    lastError = outcome.detail;
    Millis pause;
    {
      std::lock_guard<std::mutex> lock(this->mutex);
      if (aCancelled() || !this->retryBudget.TryConsume()) {
        break;
      }
      pause =
        RetryBackoff(attempt, kRetryBaseDelay, kRetryMaxDelay, this->random);
    }
    if (pause >= aRequest.TimeLeft()) {
      break;
    }
    this->context.metrics.Count("tanagerseam_retries_total",
                                { { "reason", "service_failed" } });
    std::this_thread::sleep_for(pause);
  }
  Refusal refusal = MakeRefusal(RefusalReason::kEndpointFailed,
                                "route " + aRequest.route + ": " + lastError);
  refusal.ran = RanState::kUnknown;
  return refusal;
}

} // namespace tanagerseam
