// Endpoint drivers, registered by kind: each sends one call to one endpoint.
//
// Usage:
//
//   auto driver = Registry<EndpointDriver>::Instance().Make("model_engine");
//   EndpointCall call;
//   call.address = "127.0.0.1:9100";
//   call.path = "/v1/chat/completions";
//   call.body = requestText;
//   call.onDelta = [&](std::string_view aDelta) { return Forward(aDelta); };
//   EndpointOutcome outcome = driver->Run(client, call);
//
// Outgoing headers are built from the fields of EndpointCall alone. A caller's
// headers cannot be passed on, so no API key can reach an endpoint.
//
// "model_engine": a chat completions request in JSON, always streamed; the
// driver sets "stream" and "stream_options". Passes every content delta to
// onDelta and accepts the completion only if it carries the request id, has no
// gap and ends with the [DONE] marker. An interrupted stream is resumed at the
// next delta. The call is kNotExecuted if the body is not a JSON object, if no
// connection was established, or if the first response was 4xx except 408 and
// 409.
//
// "plain": one HTTP exchange. A non-repeatable call uses a new connection and
// is never retried. Any status of the service, 5xx included, is kOk and passed
// through; kNotExecuted means that no connection was established; any other
// failure is kUnknown or kCancelled. onDelta is unused.
//
// A call is not sent and is kNotExecuted if its path does not begin with a
// slash, or if a field has a control character, which would allow header
// injection.
#ifndef TANAGERSEAM_ENDPOINT_ENDPOINT_H_
#define TANAGERSEAM_ENDPOINT_ENDPOINT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "http/http.h"
#include "kernel/kernel.h"

namespace tanagerseam {

struct EndpointCall
{
  std::string address;
  std::string method = "POST";
  std::string path;
  std::string contentType = "application/json";
  std::string body;
  // Unique over all attempts; a model engine echoes it in its response.
  std::string requestId;
  // Program whose prefix cache a model engine uses for the call. May be empty.
  std::string program;
  // Sent as Idempotency-Key if not empty; for non-repeatable calls of plain
  // services.
  std::string idempotencyKey;
  // If false, the call is not restarted once the endpoint may have started it.
  // An interrupted stream is still resumed.
  bool repeatable = true;
  // Sent if positive. Endpoints that check it reject a token older than one
  // they have seen.
  int64_t fencingToken = 0;
  Millis connectTimeout{ 500 };
  Millis timeout{ 60000 };
  // Longest time without data within a response.
  Millis idleTimeout{ 10000 };
  // Receives the deltas of the generated text in order. False cancels the call.
  std::function<bool(std::string_view)> onDelta;
  std::function<bool()> cancelled;
};

enum class EndpointStatus
{
  // The response is complete.
  kOk,
  // The endpoint certainly did not start the work.
  kNotExecuted,
  // The endpoint may have done all or part of the work.
  kUnknown,
  kCancelled,
};

struct EndpointOutcome
{
  EndpointStatus status = EndpointStatus::kUnknown;
  int httpStatus = 0;
  std::string contentType;
  // "plain": the response body. "model_engine": the generated text.
  std::string body;
  std::string finishReason;
  int64_t promptTokens = 0;
  int64_t cachedTokens = 0;
  int64_t completionTokens = 0;
  // Reason of a failure, for logs and refusals.
  std::string detail;
};

class EndpointDriver
{
public:
  virtual ~EndpointDriver() = default;
  // Blocks until the call is complete, failed or cancelled.
  virtual EndpointOutcome Run(HttpClient& aClient,
                              const EndpointCall& aCall) = 0;
};

// Load report of a model engine; see LoadReport in route/.
struct EngineLoad
{
  int running = 0;
  int queued = 0;
  double prefillMillisPerToken = 0.1;
  double decodeMillisPerToken = 10;
  int64_t ageMillis = 0;
  // Programs whose prefix cache the engine holds.
  std::vector<std::string> heldPrograms;
};

// Fetches the load report of a model engine: GET /load.
Result<EngineLoad>
FetchEngineLoad(HttpClient& aClient, const std::string& aAddress);

// Makes an engine drop the prefix cache of a program: POST /release.
Result<Done>
ReleasePrefixCache(HttpClient& aClient,
                   const std::string& aAddress,
                   const std::string& aProgram,
                   int64_t aFencingToken);

// Transfers the prefix cache of a program between engines: POST /kv/export at
// aSource, then POST /kv/import at aTarget.
Result<Done>
TransferPrefixCache(HttpClient& aClient,
                    const std::string& aSource,
                    const std::string& aTarget,
                    const std::string& aProgram,
                    int64_t aFencingToken);

} // namespace tanagerseam

#endif // TANAGERSEAM_ENDPOINT_ENDPOINT_H_
