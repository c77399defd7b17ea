// The "model_engine" driver: chat completions, always streamed.
//
// Each attempt reads the stream into a CompletionStream, which checks request
// id, sequence and [DONE] marker. While the stream is incomplete and attempts
// and time are left:
// - connection lost, gap, malformed or idle timeout: resume at the next delta
//   (X-Resume-From);
// - another request id: drop the chunk, then resume, or restart if there is no
//   delta yet;
// - the engine no longer has the stream (404, 410): restart at the first
//   delta; the deltas that were already delivered must be received unchanged.
// A non-repeatable call is never restarted once a request was sent.
//
// The outcome is kNotExecuted only if the call is invalid, if no request was
// sent, or if the first one was answered with a status by which the engine did
// not start the work: 4xx except 408 (the engine timed out) and 409 (conflict
// with an earlier command).
#include <algorithm>
#include <thread>

#include "endpoint/call_headers.h"
#include "endpoint/completion_stream.h"
#include "endpoint/sse_parser.h"

namespace tanagerseam {

namespace {

using nlohmann::json;

constexpr int kMaxAttempts = 5;
constexpr Millis kInitialBackoff(20);

bool
MeansNotExecuted(int aStatus)
{
  return aStatus / 100 == 4 && aStatus != 408 && aStatus != 409;
}

// One call over all its attempts.
class CompletionCall
{
public:
  CompletionCall(HttpClient& aClient, const EndpointCall& aCall)
    : client(aClient)
    , call(aCall)
    , deadline(Now() + aCall.timeout)
    , stream(aCall.requestId, aCall.onDelta)
  {
  }

  EndpointOutcome Run()
  {
    json body = json::parse(this->call.body, nullptr, false);
    if (!body.is_object()) {
      return this->MakeOutcome(EndpointStatus::kNotExecuted,
                               "the request body is not a JSON object");
    }
    body["stream"] = true;
    body["stream_options"] = { { "include_usage", true } };
    this->bodyText = body.dump(-1, ' ', false, json::error_handler_t::replace);
    for (int attempt = 1; attempt <= kMaxAttempts; ++attempt) {
      this->RunAttempt();
      if (this->final) {
        return this->MakeOutcome(*this->final, this->detail);
      }
      const bool wouldRestart = this->restart || this->stream.DeltaCount() == 0;
      if (this->requestSent && wouldRestart && !this->call.repeatable) {
        break;
      }
      if (!this->Backoff(attempt)) {
        break;
      }
    }
    const auto status = this->Cancelled()   ? EndpointStatus::kCancelled
                        : this->requestSent ? EndpointStatus::kUnknown
                                            : EndpointStatus::kNotExecuted;
    return this->MakeOutcome(status, this->detail);
  }

private:
  bool Cancelled() const
  {
    return this->call.cancelled && this->call.cancelled();
  }

  // Exponential backoff. False if the call was cancelled or its deadline leaves
  // no time for another attempt.
  bool Backoff(int aAttempt) const
  {
    const Millis delay = kInitialBackoff * (1 << (aAttempt - 1));
    if (Now() + delay >= this->deadline || this->Cancelled()) {
      return false;
    }
    std::this_thread::sleep_for(delay);
    return !this->Cancelled();
  }

  HttpCall BuildAttempt(int64_t aFirstIndex)
  {
    HttpCall attempt = BuildHttpCall(this->call);
    attempt.body = this->bodyText;
    if (aFirstIndex > 0) {
      attempt.headers.emplace_back("X-Resume-From",
                                   std::to_string(aFirstIndex));
    }
    const int64_t remainingMillis = MillisBetween(Now(), this->deadline);
    attempt.timeout = Millis(std::max<int64_t>(1, remainingMillis));
    attempt.onHeaders = [this](int aStatus, const HttpHeaders& aHeaders) {
      return this->OnHeaders(aStatus, aHeaders);
    };
    attempt.onData = [this](std::string_view aBytes) {
      return this->OnBytes(aBytes);
    };
    return attempt;
  }

  bool OnHeaders(int aStatus, const HttpHeaders& aHeaders)
  {
    if (aStatus / 100 != 2 ||
        FirstHeader(aHeaders, "X-Request-Id") == this->call.requestId) {
      return true;
    }
    this->stream.Fail(StreamState::kRequestIdMismatch);
    return false;
  }

  bool OnBytes(std::string_view aBytes)
  {
    const bool more = this->parser.Feed(aBytes, [this](std::string_view aData) {
      return this->stream.OnEvent(aData);
    });
    if (this->parser.TooLong()) {
      this->stream.Fail(StreamState::kMalformed);
    }
    // After the [DONE] marker the response is read to its end, so that the
    // connection can be reused.
    return more || this->stream.State() == StreamState::kComplete;
  }

  void RunAttempt()
  {
    const int64_t firstIndex = this->restart ? 0 : this->stream.DeltaCount();
    this->restart = false;
    this->stream.StartAttempt(firstIndex);
    this->parser = SseParser();
    const HttpOutcome result =
      this->client.Perform(this->BuildAttempt(firstIndex));
    const auto* failure = std::get_if<TransportFailure>(&result);
    if (failure != nullptr && !failure->sent) {
      this->detail = failure->detail;
      // Nothing to resume: the caller may try another endpoint at once.
      if (!this->requestSent) {
        this->final = EndpointStatus::kNotExecuted;
      }
      return;
    }
    this->HandleStreamState(failure);
    const auto* answer = std::get_if<HttpAnswer>(&result);
    if (!this->final && answer != nullptr && answer->status / 100 != 2) {
      this->HandleErrorStatus(answer->status, firstIndex);
    }
    this->requestSent = true;
  }

  void HandleStreamState(const TransportFailure* aFailure)
  {
    const StreamState state = this->stream.State();
    this->detail = std::string(StreamStateName(state));
    if (state == StreamState::kComplete) {
      this->httpStatus = 200;
      this->final = EndpointStatus::kOk;
    } else if (state == StreamState::kCancelled ||
               (state == StreamState::kOpen && this->Cancelled())) {
      this->final = EndpointStatus::kCancelled;
    } else if (state == StreamState::kReplayMismatch) {
      this->final = EndpointStatus::kUnknown;
    } else if (aFailure != nullptr && state == StreamState::kOpen) {
      this->detail = aFailure->detail;
    }
  }

  void HandleErrorStatus(int aStatus, int64_t aFirstIndex)
  {
    this->httpStatus = aStatus;
    this->detail =
      "the engine responded with HTTP status " + std::to_string(aStatus);
    const bool streamUnknown = aStatus == 404 || aStatus == 410;
    if (aFirstIndex > 0 && streamUnknown) {
      this->restart = true;
    } else if (!this->requestSent) {
      this->final = MeansNotExecuted(aStatus) ? EndpointStatus::kNotExecuted
                                              : EndpointStatus::kUnknown;
    } else if (aStatus / 100 == 4) {
      this->final = EndpointStatus::kUnknown;
    }
  }

  EndpointOutcome MakeOutcome(EndpointStatus aStatus, std::string aDetail) const
  {
    EndpointOutcome outcome;
    outcome.status = aStatus;
    outcome.httpStatus = this->httpStatus;
    outcome.contentType = "text/plain";
    outcome.body = this->stream.Text();
    outcome.finishReason = this->stream.FinishReason();
    outcome.promptTokens = this->stream.PromptTokens();
    outcome.cachedTokens = this->stream.CachedTokens();
    outcome.completionTokens =
      std::max(this->stream.CompletionTokens(), this->stream.DeltaCount());
    outcome.detail = std::move(aDetail);
    return outcome;
  }

  HttpClient& client;
  const EndpointCall& call;
  const TimePoint deadline;
  CompletionStream stream;
  SseParser parser;
  std::string bodyText;
  std::string detail;
  int httpStatus = 0;
  // A request was sent, so the engine may have executed the call.
  bool requestSent = false;
  // The next attempt starts at the first delta instead of resuming.
  bool restart = false;
  // Set when no further attempt may follow.
  std::optional<EndpointStatus> final;
};

class ModelEngineDriver : public EndpointDriver
{
public:
  EndpointOutcome Run(HttpClient& aClient, const EndpointCall& aCall) override
  {
    if (const auto error = ValidateCall(aCall)) {
      EndpointOutcome outcome;
      outcome.status = EndpointStatus::kNotExecuted;
      outcome.detail = *error;
      return outcome;
    }
    return CompletionCall(aClient, aCall).Run();
  }
};

const Registration<EndpointDriver> kRegistration("model_engine", [] {
  return std::make_unique<ModelEngineDriver>();
});

} // namespace

} // namespace tanagerseam
