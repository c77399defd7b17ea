// Parsing and validation of a caller's HTTP request: target, API key, headers
// and body, before any effect. Pure functions: no clock, no state.
#ifndef TANAGERSEAM_DAEMON_CALLER_FRONT_PARSE_H_
#define TANAGERSEAM_DAEMON_CALLER_FRONT_PARSE_H_

#include <optional>
#include <string>

#include "daemon/call.h"
#include "daemon/chat.h"
#include "http/http.h"

namespace tanagerseam {

enum class CallerTarget
{
  // A CallRequest with its operation.
  kCall,
  // GET /v1/models, or one model if `path` is its name.
  kModels,
};

struct ParsedTarget
{
  CallerTarget target = CallerTarget::kCall;
  // Only operation, program, route and path are set.
  CallRequest call;
};

// Validated headers of a call.
struct CallHeaderValues
{
  std::string program;
  // 0 if the header is absent.
  int64_t call = 0;
  // 0 if the header is absent.
  int64_t timeoutMillis = 0;
  std::string idempotencyKey;
};

// Parses the path and checks the method, content type and absence of a body.
Result<ParsedTarget>
ParseTarget(const HttpRequest& aRequest);

// The API key of the Authorization header, which must occur exactly once.
Result<std::string>
ParseBearerKey(const HttpRequest& aRequest);

// Whether the caller's API key, if it has at least 8 characters, appears
// verbatim in the URL, the body or a header other than Authorization, all of
// which may be forwarded, logged or stored.
bool
ExposesApiKey(const HttpRequest& aRequest);

Result<CallHeaderValues>
ParseCallHeaders(const HttpRequest& aRequest);

// The request id sent by the caller if it is well-formed: 1 to 64 letters,
// digits, '.', '_' or '-'. Any other value counts as absent.
std::optional<std::string>
CallerRequestId(const HttpRequest& aRequest);

// Validates the body of POST /v1/programs; an empty body selects the defaults.
std::optional<Refusal>
CheckOpenProgramBody(const std::string& aBody);

} // namespace tanagerseam

#endif // TANAGERSEAM_DAEMON_CALLER_FRONT_PARSE_H_
