// Runs model calls: acquires an endpoint, streams the text, retries on failure.
// Program records and budgets are left to the caller's ModelCallHooks.
//
// Usage:
//
//   ModelRunner runner(context, dispatch);
//   ModelCallSpec spec;  // dispatch request, model, request body, ids
//   Result<ModelResponse> response = runner.Run(spec, hooks);
#ifndef TANAGERSEAM_DAEMON_MODEL_RUNNER_H_
#define TANAGERSEAM_DAEMON_MODEL_RUNNER_H_

#include <mutex>
#include <random>
#include <string>

#include "daemon/call.h"
#include "daemon/chat.h"
#include "daemon/context.h"
#include "daemon/dispatch_service.h"
#include "daemon/token_ratio.h"
#include "daemon/warm_prefix.h"

namespace tanagerseam {

// A model call: the request to the scheduler and the request to the engine.
struct ModelCallSpec
{
  // promptTokens is an upper bound that counts the bytes of the prompt beyond
  // warmTokens; Run replaces these bytes by an estimate of their tokens.
  DispatchRequest dispatch;
  // The cached prefix of the prompt, for the metric of repeated prefill.
  WarmPrefix warm;
  std::string model;
  std::string engineBody;
  std::string requestId;
  std::string program;
  int64_t fencing = 0;
};

struct ModelResponse
{
  std::string text;
  std::string endpoint;
  CompletionInfo end;
};

// Records the time since aStart in the histogram of call phases. aPart is
// "queue", "start_record", "engine" or "finish_record".
void
ObserveCallPart(Metrics& aMetrics, const std::string& aPart, TimePoint aStart);

// Callbacks of ModelRunner::Run. They are called with no lock held except the
// program's gate.
class ModelCallHooks
{
public:
  virtual ~ModelCallHooks() = default;
  // Called before attempt aAttempt (from 1) waits for an endpoint. aMayHaveRun:
  // the previous attempt may have spent tokens.
  virtual void PrepareAttempt(int aAttempt, bool aMayHaveRun) = 0;
  // Called when an endpoint was granted, just before the attempt is sent; a
  // refusal ends the call.
  virtual std::optional<Refusal> BeforeSend() = 0;
  // The next piece of the text. False if the caller disconnected.
  virtual bool OnText(std::string_view aText) = 0;
  // Polled while the call is queued or runs; a refusal ends the call at once.
  virtual std::optional<Refusal> ShouldStop() = 0;
};

class ModelRunner
{
public:
  ModelRunner(const DaemonContext& aContext, DispatchService& aDispatch);

  // Blocks until the response is complete or the call has failed for good. Each
  // part of the text is passed to OnText once: an attempt at another endpoint
  // continues where the delivered text ends, or the call fails if the new text
  // differs from it.
  Result<ModelResponse> Run(const ModelCallSpec& aSpec, ModelCallHooks& aHooks);

private:
  class Execution;

  void CountFirstAttempt();
  // Sleeps for the backoff. False if the retry budget is used up or the
  // deadline would pass.
  bool WaitBeforeRetry(int aAttempt, bool aMayHaveRun, TimePoint aDeadline);

  const DaemonContext& context;
  DispatchService& dispatch;
  std::mutex mutex;
  std::mt19937_64 random;
  RetryBudget retryBudget;
  TokenRatio tokenRatio;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_DAEMON_MODEL_RUNNER_H_
