// Load reports and prefix cache commands of model engines.
#include <nlohmann/json.hpp>

#include "endpoint/endpoint.h"

namespace tanagerseam {

namespace {

using nlohmann::json;

constexpr Millis kLoadReportTimeout(2000);
constexpr Millis kReleaseTimeout(5000);
// A transfer carries the whole KV cache of the prefix.
constexpr Millis kTransferTimeout(30000);

Refusal
MakeFailure(const std::string& aContext,
            const std::string& aDetail,
            RanState aRan)
{
  Refusal refusal =
    MakeRefusal(RefusalReason::kEndpointFailed, aContext + ": " + aDetail);
  refusal.ran = aRan;
  return refusal;
}

// Sends the request and returns the JSON object of the response.
Result<json>
ExchangeJson(HttpClient& aClient,
             const HttpCall& aCall,
             const std::string& aContext)
{
  const HttpOutcome outcome = aClient.Perform(aCall);
  if (const auto* failure = std::get_if<TransportFailure>(&outcome)) {
    const auto ran = failure->sent ? RanState::kUnknown : RanState::kNo;
    return MakeFailure(aContext, failure->detail, ran);
  }
  const auto& answer = std::get<HttpAnswer>(outcome);
  if (answer.status / 100 != 2) {
    const auto ran =
      answer.status / 100 == 4 ? RanState::kNo : RanState::kUnknown;
    return MakeFailure(
      aContext, "HTTP status " + std::to_string(answer.status), ran);
  }
  json body = json::parse(answer.body, nullptr, false);
  if (!body.is_object()) {
    return MakeFailure(
      aContext, "the response is not a JSON object", RanState::kUnknown);
  }
  return body;
}

Result<json>
PostCommand(HttpClient& aClient,
            const std::string& aUrl,
            const json& aBody,
            int64_t aFencingToken,
            Millis aTimeout)
{
  HttpCall call;
  call.method = "POST";
  call.url = "http://" + aUrl;
  call.headers = { { "Content-Type", "application/json" },
                   { "X-Fencing", std::to_string(aFencingToken) } };
  call.body = aBody.dump(-1, ' ', false, json::error_handler_t::replace);
  call.timeout = aTimeout;
  return ExchangeJson(aClient, call, aUrl);
}

// Throws json::exception if a member has the wrong type.
EngineLoad
ParseLoad(const json& aBody)
{
  EngineLoad load;
  load.running = aBody.value("running", load.running);
  load.queued = aBody.value("queued", load.queued);
  load.prefillMillisPerToken =
    aBody.value("prefill_millis_per_token", load.prefillMillisPerToken);
  load.decodeMillisPerToken =
    aBody.value("decode_millis_per_token", load.decodeMillisPerToken);
  load.ageMillis = aBody.value("age_millis", load.ageMillis);
  load.heldPrograms = aBody.value("held_programs", load.heldPrograms);
  return load;
}

} // namespace

Result<EngineLoad>
FetchEngineLoad(HttpClient& aClient, const std::string& aAddress)
{
  HttpCall call;
  call.url = "http://" + aAddress + "/load";
  call.timeout = kLoadReportTimeout;
  Result<json> body = ExchangeJson(aClient, call, call.url);
  if (auto* refusal = std::get_if<Refusal>(&body)) {
    return std::move(*refusal);
  }
  try {
    return ParseLoad(std::get<json>(body));
  } catch (const json::exception& error) {
    return MakeFailure(call.url, error.what(), RanState::kNo);
  }
}

Result<Done>
ReleasePrefixCache(HttpClient& aClient,
                   const std::string& aAddress,
                   const std::string& aProgram,
                   int64_t aFencingToken)
{
  Result<json> answer = PostCommand(aClient,
                                    aAddress + "/release",
                                    { { "program", aProgram } },
                                    aFencingToken,
                                    kReleaseTimeout);
  if (auto* refusal = std::get_if<Refusal>(&answer)) {
    return std::move(*refusal);
  }
  return Done{};
}

Result<Done>
TransferPrefixCache(HttpClient& aClient,
                    const std::string& aSource,
                    const std::string& aTarget,
                    const std::string& aProgram,
                    int64_t aFencingToken)
{
  Result<json> exported = PostCommand(aClient,
                                      aSource + "/kv/export",
                                      { { "program", aProgram } },
                                      aFencingToken,
                                      kTransferTimeout);
  if (auto* refusal = std::get_if<Refusal>(&exported)) {
    return std::move(*refusal);
  }
  json importBody = std::move(std::get<json>(exported));
  if (!importBody.contains("blob")) {
    return MakeFailure(aSource,
                       "the export response has no member \"blob\"",
                       RanState::kUnknown);
  }
  importBody["program"] = aProgram;
  Result<json> imported = PostCommand(aClient,
                                      aTarget + "/kv/import",
                                      importBody,
                                      aFencingToken,
                                      kTransferTimeout);
  if (auto* refusal = std::get_if<Refusal>(&imported)) {
    return std::move(*refusal);
  }
  return Done{};
}

} // namespace tanagerseam
