#include "endpoint/call_headers.h"

#include <algorithm>

namespace tanagerseam {

namespace {

bool
HasControlCharacter(const std::string& aText)
{
  return std::any_of(aText.begin(), aText.end(), [](char aCharacter) {
    const auto code = static_cast<unsigned char>(aCharacter);
    return code < 0x20 || code == 0x7f;
  });
}

} // namespace

std::optional<std::string>
ValidateCall(const EndpointCall& aCall)
{
  for (const std::string* text : { &aCall.address,
                                   &aCall.method,
                                   &aCall.path,
                                   &aCall.contentType,
                                   &aCall.requestId,
                                   &aCall.program,
                                   &aCall.idempotencyKey }) {
    if (HasControlCharacter(*text)) {
      return "a field of the call contains a control character";
    }
  }
  if (aCall.path.empty() || aCall.path.front() != '/') {
    return "the path does not begin with a slash";
  }
  return std::nullopt;
}

HttpHeaders
BuildCallHeaders(const EndpointCall& aCall)
{
  HttpHeaders headers = { { "Content-Type", aCall.contentType },
                          { "X-Request-Id", aCall.requestId } };
  if (!aCall.program.empty()) {
    headers.emplace_back("X-Program", aCall.program);
  }
  if (aCall.fencingToken > 0) {
    headers.emplace_back("X-Fencing", std::to_string(aCall.fencingToken));
  }
  if (!aCall.idempotencyKey.empty()) {
    headers.emplace_back("Idempotency-Key", aCall.idempotencyKey);
  }
  return headers;
}

HttpCall
BuildHttpCall(const EndpointCall& aCall)
{
  HttpCall call;
  call.method = aCall.method;
  call.url = "http://" + aCall.address + aCall.path;
  call.headers = BuildCallHeaders(aCall);
  call.body = aCall.body;
  call.connectTimeout = aCall.connectTimeout;
  call.timeout = aCall.timeout;
  call.idleTimeout = aCall.idleTimeout;
  call.cancelled = aCall.cancelled;
  return call;
}

EndpointOutcome
OutcomeFromFailure(const TransportFailure& aFailure)
{
  EndpointOutcome outcome;
  outcome.detail = aFailure.detail;
  if (!aFailure.sent) {
    outcome.status = EndpointStatus::kNotExecuted;
  } else if (aFailure.error == TransportError::kCancelled) {
    outcome.status = EndpointStatus::kCancelled;
  } else {
    outcome.status = EndpointStatus::kUnknown;
  }
  return outcome;
}

} // namespace tanagerseam
