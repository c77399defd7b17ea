#include "daemon/model_runner.h"

#include <algorithm>
#include <thread>

namespace tanagerseam {

namespace {

constexpr int kMaxTries = 5;
constexpr Millis kRetryBase(20);
constexpr Millis kRetryMax(500);
constexpr Millis kStopPoll(100);

// Hands text on once, whichever try it comes from.
class OnceOnly
{
public:
  explicit OnceOnly(ModelTries& aTries)
    : tries(aTries)
  {
  }

  void StartTry() { this->position = 0; }

  // False if the caller has gone or the text differs from what was handed on.
  bool Take(std::string_view aPiece)
  {
    const size_t known =
      std::min(this->text.size() - this->position, aPiece.size());
    const std::string_view before(this->text.data() + this->position, known);
    if (before != aPiece.substr(0, known)) {
      this->differs = true;
      return false;
    }
    this->position += known;
    aPiece.remove_prefix(known);
    if (aPiece.empty()) {
      return true;
    }
    this->text.append(aPiece);
    this->position = this->text.size();
    return this->tries.OnText(aPiece);
  }

  bool Differs() const { return this->differs; }
  const std::string& Text() const { return this->text; }

private:
  ModelTries& tries;
  std::string text;
  size_t position = 0;
  bool differs = false;
};

// Polls ShouldStop at most every kStopPoll and remembers its refusal.
class StopCheck
{
public:
  explicit StopCheck(ModelTries& aTries)
    : tries(aTries)
  {
  }

  bool operator()()
  {
    if (this->refusal || Now() - this->last < kStopPoll) {
      return this->refusal.has_value();
    }
    this->last = Now();
    this->refusal = this->tries.ShouldStop();
    return this->refusal.has_value();
  }

  std::optional<Refusal> refusal;

private:
  ModelTries& tries;
  TimePoint last{};
};

DispatchResult
ToResult(EndpointStatus aStatus)
{
  switch (aStatus) {
    case EndpointStatus::kOk:
      return DispatchResult::kOk;
    case EndpointStatus::kNotRun:
      return DispatchResult::kNotReached;
    case EndpointStatus::kCancelled:
      return DispatchResult::kCancelled;
    default:
      return DispatchResult::kEndpointFailed;
  }
}

Refusal
GaveUp(const std::string& aDetail, bool aRan)
{
  Refusal refusal = MakeRefusal(RefusalReason::kEndpointFailed, aDetail);
  refusal.ran = aRan ? RanState::kUnknown : RanState::kNo;
  return refusal;
}

} // namespace

void
ObserveCallPart(Metrics& aMetrics, const std::string& aPart, TimePoint aFrom)
{
  aMetrics.Observe("tanagerseam_call_part_seconds",
                   { { "part", aPart } },
                   std::chrono::duration<double>(Now() - aFrom).count());
}

ModelRunner::ModelRunner(const DaemonContext& aContext,
                         DispatchService& aDispatch)
  : context(aContext)
  , dispatch(aDispatch)
  , random(StableHash(RandomHex(8)))
  , retries(aContext.settings.retryShare, aContext.settings.retryMax)
{
}

// One call from its first try to its end.
class ModelRunner::CallUnderWay
{
public:
  CallUnderWay(ModelRunner& aRunner, const ModelJob& aJob, ModelTries& aTries)
    : runner(aRunner)
    , job(aJob)
    , tries(aTries)
    , output(aTries)
    , stop(aTries)
    , wanted(aJob.dispatch)
  {
    const int64_t unknown = this->wanted.promptTokens - this->wanted.warmTokens;
    this->wanted.promptTokens =
      this->wanted.warmTokens +
      this->runner.tokenRatio.Estimate(aJob.model, unknown);
  }

  Result<ModelAnswer> Run()
  {
    this->runner.CountFirstTry();
    for (int number = 1; number <= kMaxTries; ++number) {
      this->tries.PrepareTry(number, this->doubtful);
      if (auto final = this->Try(number)) {
        return *final;
      }
      if (!this->runner.PauseBeforeRetry(
            number, this->doubtful, this->wanted.deadline)) {
        break;
      }
    }
    return GaveUp(this->detail, this->ran);
  }

private:
  // The final answer, or empty if another try makes sense.
  std::optional<Result<ModelAnswer>> Try(int aNumber)
  {
    Metrics& metrics = this->runner.context.metrics;
    const TimePoint asked = Now();
    Result<DispatchGrant> acquired = this->runner.dispatch.Acquire(
      this->job.model, this->wanted, [this] { return this->stop(); });
    if (!IsOk(acquired)) {
      return this->stop.refusal ? *this->stop.refusal
                                : this->WithRan(std::get<Refusal>(acquired));
    }
    const DispatchGrant& slot = std::get<DispatchGrant>(acquired);
    ObserveCallPart(metrics, "queue", asked);
    const TimePoint placed = Now();
    if (auto refusal = this->tries.BeforeTry()) {
      this->runner.dispatch.Release(slot, 0, DispatchResult::kCancelled);
      return this->WithRan(*refusal);
    }
    ObserveCallPart(metrics, "start_record", placed);
    const auto config = this->runner.context.journal.Config();
    auto endpoint = config->desired.endpoints.find(slot.endpoint);
    const bool usable = endpoint != config->desired.endpoints.end() &&
                        !IsLeaving(endpoint->second);
    if (!usable) {
      this->runner.dispatch.Release(slot, 0, DispatchResult::kCancelled);
      this->Fail(slot.endpoint, "it is leaving", false);
      return std::nullopt;
    }
    const TimePoint sent = Now();
    EndpointOutcome outcome = this->Send(endpoint->second, aNumber);
    ObserveCallPart(metrics, "engine", sent);
    this->runner.dispatch.Release(slot,
                                  outcome.promptTokens +
                                    outcome.completionTokens,
                                  ToResult(outcome.status));
    return this->Judge(slot.endpoint, outcome);
  }

  EndpointOutcome Send(const Endpoint& aEndpoint, int aNumber)
  {
    EndpointCall call;
    call.address = aEndpoint.address;
    call.path = "/v1/chat/completions";
    call.body = this->job.engineBody;
    call.requestId = this->job.requestId + "-" + std::to_string(aNumber);
    call.program = this->job.program;
    // A program's budget pays for each beginning: only BeforeTry allows one.
    call.repeatable = this->job.program.empty();
    call.fencing = aEndpoint.checksFencing ? this->job.fencing : 0;
    call.timeout =
      std::max(Millis(1), Millis(MillisBetween(Now(), this->wanted.deadline)));
    call.onData = [this](std::string_view aPiece) {
      return this->output.Take(aPiece);
    };
    call.cancelled = [this] { return this->stop(); };
    this->output.StartTry();
    auto driver = Registry<EndpointDriver>::Instance().Make("model_engine");
    return driver->Run(this->runner.context.http, call);
  }

  std::optional<Result<ModelAnswer>> Judge(const std::string& aEndpoint,
                                           const EndpointOutcome& aOutcome)
  {
    if (aOutcome.status == EndpointStatus::kOk) {
      this->CountTokens(aEndpoint, aOutcome);
      this->runner.tokenRatio.Learn(this->job.model,
                                    int64_t(this->job.engineBody.size()),
                                    aOutcome.promptTokens);
      return Result<ModelAnswer>(this->AnswerOf(aEndpoint, aOutcome));
    }
    const bool mayHaveRun = aOutcome.status != EndpointStatus::kNotRun;
    this->Fail(aEndpoint, aOutcome.detail, mayHaveRun);
    if (this->stop.refusal) {
      return this->WithRan(*this->stop.refusal);
    }
    if (this->output.Differs()) {
      return Result<ModelAnswer>(
        GaveUp("the endpoint failed and another one's text differs", true));
    }
    if (aOutcome.status == EndpointStatus::kCancelled) {
      return Result<ModelAnswer>(GaveUp("the caller has gone", true));
    }
    return std::nullopt;
  }

  ModelAnswer AnswerOf(const std::string& aEndpoint,
                       const EndpointOutcome& aOutcome) const
  {
    ModelAnswer answer;
    answer.text = this->output.Text();
    answer.endpoint = aEndpoint;
    answer.end.finishReason = aOutcome.finishReason;
    answer.end.model = this->job.model;
    answer.end.promptTokens = aOutcome.promptTokens;
    answer.end.cachedTokens = aOutcome.cachedTokens;
    answer.end.completionTokens = aOutcome.completionTokens;
    return answer;
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
      this->job.warm, aEndpoint, aOutcome.promptTokens, aOutcome.cachedTokens);
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

  void Fail(const std::string& aEndpoint,
            const std::string& aDetail,
            bool aMayHaveRun)
  {
    this->detail = aEndpoint + ": " + aDetail;
    this->doubtful = aMayHaveRun;
    this->ran = this->ran || aMayHaveRun;
    this->wanted.avoid.push_back(aEndpoint);
    LogWarn("model_try_failed",
            { { "request", this->job.requestId }, { "detail", this->detail } });
  }

  Result<ModelAnswer> WithRan(Refusal aRefusal) const
  {
    aRefusal.ran = this->ran ? RanState::kUnknown : aRefusal.ran;
    return aRefusal;
  }

  ModelRunner& runner;
  const ModelJob& job;
  ModelTries& tries;
  OnceOnly output;
  StopCheck stop;
  DispatchRequest wanted;
  std::string detail;
  // Whether the try before, and whether any try, may have run.
  bool doubtful = false;
  bool ran = false;
};

Result<ModelAnswer>
ModelRunner::Run(const ModelJob& aJob, ModelTries& aTries)
{
  return CallUnderWay(*this, aJob, aTries).Run();
}

void
ModelRunner::CountFirstTry()
{
  std::lock_guard<std::mutex> lock(this->mutex);
  this->retries.OnFirstAttempt();
}

bool
ModelRunner::PauseBeforeRetry(int aTry, bool aDoubtful, TimePoint aDeadline)
{
  Millis pause;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    if (!this->retries.TryConsume()) {
      return false;
    }
    pause = RetryBackoff(aTry, kRetryBase, kRetryMax, this->random);
  }
  if (Now() + pause >= aDeadline) {
    return false;
  }
  this->context.metrics.Count(
    "tanagerseam_retries_total",
    { { "reason", aDoubtful ? "endpoint_failed" : "endpoint_not_reached" } });
  std::this_thread::sleep_for(pause);
  return true;
}

} // namespace tanagerseam
