#include "daemon/model_runner.h"

#include <algorithm>
#include <thread>

namespace tanagerseam {

namespace {

constexpr int kMaxAttempts = 5;
constexpr Millis kRetryBaseDelay(20);
constexpr Millis kRetryMaxDelay(500);
constexpr Millis kStopPollInterval(100);

// Merges the text of several attempts: forwards each byte once.
class DeduplicatingOutput
{
public:
  explicit DeduplicatingOutput(ModelCallHooks& aHooks)
    : hooks(aHooks)
  {
  }

  void BeginAttempt() { this->attemptOffset = 0; }

  // False if the caller disconnected, or the text differs from what was
  // delivered already.
  bool Append(std::string_view aPiece)
  {
    const size_t repeated =
      std::min(this->deliveredText.size() - this->attemptOffset, aPiece.size());
    const std::string_view expected(
      this->deliveredText.data() + this->attemptOffset, repeated);
    if (expected != aPiece.substr(0, repeated)) {
      this->diverged = true;
      return false;
    }
    this->attemptOffset += repeated;
    aPiece.remove_prefix(repeated);
    if (aPiece.empty()) {
      return true;
    }
    this->deliveredText.append(aPiece);
    this->attemptOffset = this->deliveredText.size();
    return this->hooks.OnText(aPiece);
  }

  bool Diverged() const { return this->diverged; }
  const std::string& DeliveredText() const { return this->deliveredText; }

private:
  ModelCallHooks& hooks;
  std::string deliveredText;
  size_t attemptOffset = 0;
  bool diverged = false;
};

// Calls ShouldStop at most once per kStopPollInterval and stores its refusal.
class StopPoller
{
public:
  explicit StopPoller(ModelCallHooks& aHooks)
    : hooks(aHooks)
  {
  }

  bool operator()()
  {
    if (this->refusal || Now() - this->lastPoll < kStopPollInterval) {
      return this->refusal.has_value();
    }
    this->lastPoll = Now();
    this->refusal = this->hooks.ShouldStop();
    return this->refusal.has_value();
  }

  std::optional<Refusal> refusal;

private:
  ModelCallHooks& hooks;
  TimePoint lastPoll{};
};

DispatchResult
ToDispatchResult(EndpointStatus aStatus)
{
  switch (aStatus) {
    case EndpointStatus::kOk:
      return DispatchResult::kOk;
    case EndpointStatus::kNotExecuted:
      return DispatchResult::kNotReached;
    case EndpointStatus::kCancelled:
      return DispatchResult::kCancelled;
    default:
      return DispatchResult::kEndpointFailed;
  }
}

Refusal
EndpointFailure(const std::string& aDetail, bool aMayHaveRun)
{
  Refusal refusal = MakeRefusal(RefusalReason::kEndpointFailed, aDetail);
  refusal.ran = aMayHaveRun ? RanState::kUnknown : RanState::kNo;
  return refusal;
}

} // namespace

void
ObserveCallPart(Metrics& aMetrics, const std::string& aPart, TimePoint aStart)
{
  aMetrics.Observe("tanagerseam_call_part_seconds",
                   { { "part", aPart } },
                   std::chrono::duration<double>(Now() - aStart).count());
}

ModelRunner::ModelRunner(const DaemonContext& aContext,
                         DispatchService& aDispatch)
  : context(aContext)
  , dispatch(aDispatch)
  , random(StableHash(RandomHex(8)))
  , retryBudget(aContext.settings.retryBudgetShare,
                aContext.settings.retryBudgetMax)
{
}

// State of one call over all its attempts.
class ModelRunner::Execution
{
public:
  Execution(ModelRunner& aRunner,
            const ModelCallSpec& aSpec,
            ModelCallHooks& aHooks)
    : runner(aRunner)
    , spec(aSpec)
    , hooks(aHooks)
    , output(aHooks)
    , stopPoller(aHooks)
    , dispatchRequest(aSpec.dispatch)
  {
    const int64_t uncachedBytes =
      this->dispatchRequest.promptTokens - this->dispatchRequest.warmTokens;
    this->dispatchRequest.promptTokens =
      this->dispatchRequest.warmTokens +
      this->runner.tokenRatio.EstimateTokens(aSpec.model, uncachedBytes);
  }

  Result<ModelResponse> Run()
  {
    this->runner.CountFirstAttempt();
    for (int attempt = 1; attempt <= kMaxAttempts; ++attempt) {
      this->hooks.PrepareAttempt(attempt, this->lastAttemptMayHaveRun);
      if (auto final = this->RunAttempt(attempt)) {
        return *final;
      }
      if (!this->runner.WaitBeforeRetry(attempt,
                                        this->lastAttemptMayHaveRun,
                                        this->dispatchRequest.deadline)) {
        break;
      }
    }
    return EndpointFailure(this->lastError, this->anyAttemptMayHaveRun);
  }

private:
  // The final result, or std::nullopt if the call can be retried.
  std::optional<Result<ModelResponse>> RunAttempt(int aAttempt)
  {
    Metrics& metrics = this->runner.context.metrics;
    const TimePoint queuedAt = Now();
    Result<DispatchGrant> acquired =
      this->runner.dispatch.Acquire(this->spec.model,
                                    this->dispatchRequest,
                                    [this] { return this->stopPoller(); });
    if (!IsOk(acquired)) {
      return this->stopPoller.refusal
               ? *this->stopPoller.refusal
               : this->WithRanState(std::get<Refusal>(acquired));
    }
    const DispatchGrant& grant = std::get<DispatchGrant>(acquired);
    ObserveCallPart(metrics, "queue", queuedAt);
    const TimePoint grantedAt = Now();
    if (auto refusal = this->hooks.BeforeSend()) {
      this->runner.dispatch.Release(grant, 0, DispatchResult::kCancelled);
      return this->WithRanState(*refusal);
    }
    ObserveCallPart(metrics, "start_record", grantedAt);
    const auto config = this->runner.context.journal.Config();
    auto endpoint = config->desired.endpoints.find(grant.endpoint);
    const bool usable = endpoint != config->desired.endpoints.end() &&
                        !IsLeaving(endpoint->second);
    if (!usable) {
      this->runner.dispatch.Release(grant, 0, DispatchResult::kCancelled);
      this->RecordFailure(grant.endpoint,
                          "the endpoint is leaving or no longer configured",
                          false);
      return std::nullopt;
    }
    const TimePoint sentAt = Now();
    EndpointOutcome outcome = this->Send(endpoint->second, aAttempt);
    ObserveCallPart(metrics, "engine", sentAt);
    this->runner.dispatch.Release(grant,
                                  outcome.promptTokens +
                                    outcome.completionTokens,
                                  ToDispatchResult(outcome.status));
    return this->HandleOutcome(grant.endpoint, outcome);
  }

  EndpointOutcome Send(const Endpoint& aEndpoint, int aAttempt)
  {
    EndpointCall call;
    call.address = aEndpoint.address;
    call.path = "/v1/chat/completions";
    call.body = this->spec.engineBody;
    call.requestId = this->spec.requestId + "-" + std::to_string(aAttempt);
    call.program = this->spec.program;
    // Each start is charged to the program's budget, so only BeforeSend may
    // allow one; the driver must not start the call a second time.
    call.repeatable = this->spec.program.empty();
    call.fencingToken = aEndpoint.checksFencing ? this->spec.fencing : 0;
    call.timeout = std::max(
      Millis(1), Millis(MillisBetween(Now(), this->dispatchRequest.deadline)));
    call.onDelta = [this](std::string_view aPiece) {
      return this->output.Append(aPiece);
    };
    call.cancelled = [this] { return this->stopPoller(); };
    this->output.BeginAttempt();
    auto driver = Registry<EndpointDriver>::Instance().Make("model_engine");
    return driver->Run(this->runner.context.http, call);
  }

  std::optional<Result<ModelResponse>> HandleOutcome(
    const std::string& aEndpoint,
    const EndpointOutcome& aOutcome)
  {
    if (aOutcome.status == EndpointStatus::kOk) {
      this->CountTokens(aEndpoint, aOutcome);
      this->runner.tokenRatio.AddSample(this->spec.model,
                                        int64_t(this->spec.engineBody.size()),
                                        aOutcome.promptTokens);
      return Result<ModelResponse>(this->MakeResponse(aEndpoint, aOutcome));
    }
    const bool mayHaveRun = aOutcome.status != EndpointStatus::kNotExecuted;
    this->RecordFailure(aEndpoint, aOutcome.detail, mayHaveRun);
    if (this->stopPoller.refusal) {
      return this->WithRanState(*this->stopPoller.refusal);
    }
    if (this->output.Diverged()) {
      return Result<ModelResponse>(EndpointFailure(
        "the endpoint failed and a retry returned different text", true));
    }
    if (aOutcome.status == EndpointStatus::kCancelled) {
      return Result<ModelResponse>(
        EndpointFailure("call cancelled by the caller", true));
    }
    return std::nullopt;
  }

  ModelResponse MakeResponse(const std::string& aEndpoint,
                             const EndpointOutcome& aOutcome) const
  {
    ModelResponse response;
    response.text = this->output.DeliveredText();
    response.endpoint = aEndpoint;
    response.end.finishReason = aOutcome.finishReason;
    response.end.model = this->spec.model;
    response.end.promptTokens = aOutcome.promptTokens;
    response.end.cachedTokens = aOutcome.cachedTokens;
    response.end.completionTokens = aOutcome.completionTokens;
    return response;
  }

  void CountTokens(const std::string& aEndpoint,
                   const EndpointOutcome& aOutcome) const
  {
    Metrics& metrics = this->runner.context.metrics;
    metrics.Count(
      "tanagerseam_prompt_tokens_total", {}, double(aOutcome.promptTokens));
    metrics.Count(
      "tanagerseam_cached_tokens_total", {}, double(aOutcome.cachedTokens));
    metrics.Count("tanagerseam_completion_tokens_total",
                  {},
                  double(aOutcome.completionTokens));
    const PrefillSplit split = SplitPrefill(
      this->spec.warm, aEndpoint, aOutcome.promptTokens, aOutcome.cachedTokens);
    CountPrefill(metrics, PrefillCause::kNew, split.newTokens);
    CountPrefill(metrics, split.cause, split.repeatedTokens);
  }

  static void CountPrefill(Metrics& aMetrics,
                           PrefillCause aCause,
                           int64_t aTokens)
  {
    aMetrics.Count("tanagerseam_prefilled_tokens_total",
                   { { "cause", std::string(PrefillCauseName(aCause)) } },
                   double(aTokens));
  }

  void RecordFailure(const std::string& aEndpoint,
                     const std::string& aDetail,
                     bool aMayHaveRun)
  {
    this->lastError = aEndpoint + ": " + aDetail;
    this->lastAttemptMayHaveRun = aMayHaveRun;
    this->anyAttemptMayHaveRun = this->anyAttemptMayHaveRun || aMayHaveRun;
    this->dispatchRequest.avoid.push_back(aEndpoint);
    LogWarn(
      "model_try_failed",
      { { "request", this->spec.requestId }, { "detail", this->lastError } });
  }

  Result<ModelResponse> WithRanState(Refusal aRefusal) const
  {
    aRefusal.ran =
      this->anyAttemptMayHaveRun ? RanState::kUnknown : aRefusal.ran;
    return aRefusal;
  }

  ModelRunner& runner;
  const ModelCallSpec& spec;
  ModelCallHooks& hooks;
  DeduplicatingOutput output;
  StopPoller stopPoller;
  DispatchRequest dispatchRequest;
  std::string lastError;
  // Whether the last attempt, and whether any attempt, may have run.
  bool lastAttemptMayHaveRun = false;
  bool anyAttemptMayHaveRun = false;
};

Result<ModelResponse>
ModelRunner::Run(const ModelCallSpec& aSpec, ModelCallHooks& aHooks)
{
  return Execution(*this, aSpec, aHooks).Run();
}

void
ModelRunner::CountFirstAttempt()
{
  std::lock_guard<std::mutex> lock(this->mutex);
  this->retryBudget.OnFirstAttempt();
}

bool
ModelRunner::WaitBeforeRetry(int aAttempt,
                             bool aMayHaveRun,
                             TimePoint aDeadline)
{
  Millis pause;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    if (!this->retryBudget.TryConsume()) {
      return false;
    }
    pause =
      RetryBackoff(aAttempt, kRetryBaseDelay, kRetryMaxDelay, this->random);
  }
  if (Now() + pause >= aDeadline) {
    return false;
  }
  this->context.metrics.Count(
    "tanagerseam_retries_total",
    { { "reason", aMayHaveRun ? "endpoint_failed" : "endpoint_not_reached" } });
  std::this_thread::sleep_for(pause);
  return true;
}

} // namespace tanagerseam
