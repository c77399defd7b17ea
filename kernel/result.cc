#include "kernel/result.h"

namespace tanagerseam {

namespace {

using R = RefusalReason;
constexpr RanState kNotRun = RanState::kNo;
constexpr RanState kMayHaveRun = RanState::kUnknown;

std::vector<RefusalRow>
BuildTable()
{
  const std::optional<Millis> never;
  const Millis soon(200);
  const Millis second(1000);
  const Millis outage(2000);
  return {
    { R::kMalformedRequest,
      "malformed_request",
      400,
      kNotRun,
      never,
      "Correct the request as the detail says." },
    { R::kUnknownRoute,
      "unknown_route",
      404,
      kNotRun,
      never,
      "Use a route of docs/API.md or one that the configuration names." },
    { R::kMethodNotAllowed,
      "method_not_allowed",
      405,
      kNotRun,
      never,
      "Use the method that docs/API.md gives for the route." },
    { R::kBodyTooLarge,
      "body_too_large",
      413,
      kNotRun,
      never,
      "Send a smaller body; the limit is max_body_bytes." },
    { R::kUriTooLong,
      "uri_too_long",
      414,
      kNotRun,
      never,
      "Send a shorter path and query; the limit is 16 KiB." },
    { R::kHeadersTooLarge,
      "headers_too_large",
      431,
      kNotRun,
      never,
      "Send at most 100 headers, of 16 KiB each and 80 KiB together." },
    { R::kRequestTimeout,
      "request_timeout",
      408,
      kNotRun,
      soon,
      "Send the whole request within read_timeout_ms." },
    { R::kUnsupportedMediaType,
      "unsupported_media_type",
      415,
      kNotRun,
      never,
      "Send application/json." },
    { R::kKeyMissing,
      "key_missing",
      401,
      kNotRun,
      never,
      "Send the key as one Authorization: Bearer header." },
    { R::kKeyUnknown,
      "key_unknown",
      401,
      kNotRun,
      never,
      "Use a key that an operator issued." },
    { R::kKeyWithdrawn,
      "key_withdrawn",
      401,
      kNotRun,
      never,
      "Ask the operator for a new key." },
    { R::kProgramNotFound,
      "program_not_found",
      404,
      kNotRun,
      never,
      "Open a program first and use the identifier of that answer." },
    { R::kProgramEnded,
      "program_ended",
      409,
      kNotRun,
      never,
      "Open a new program." },
    { R::kCallOutOfOrder,
      "call_out_of_order",
      409,
      kNotRun,
      never,
      "Send the call number that the detail names." },
    { R::kCallSuperseded,
      "call_superseded",
      409,
      kMayHaveRun,
      soon,
      "Repeat the call with the same call number to get the stored answer." },
    { R::kIdempotencyKeyMissing,
      "idempotency_key_missing",
      400,
      kNotRun,
      never,
      "Send an Idempotency-Key header on this route." },
    { R::kIdempotencyKeyReused,
      "idempotency_key_reused",
      422,
      kNotRun,
      never,
      "Use a new idempotency key for a different request." },
    { R::kRateExceeded,
      "rate_exceeded",
      429,
      kNotRun,
      second,
      "Come back after the time of Retry-After." },
    { R::kBudgetExhausted,
      "budget_exhausted",
      402,
      kNotRun,
      never,
      "Open a program with a larger budget." },
    { R::kProgramLimit,
      "program_limit",
      403,
      kNotRun,
      never,
      "The program reached its limit of turns or time; open a new one." },
    { R::kModelUnknown,
      "model_unknown",
      404,
      kNotRun,
      never,
      "Use a model that the configuration names." },
    { R::kNoEndpoint,
      "no_endpoint",
      503,
      kNotRun,
      second,
      "All endpoints of this kind are leaving or failing; come back later." },
    { R::kEndpointFailed,
      "endpoint_failed",
      502,
      kNotRun,
      second,
      "The endpoint failed and nothing was kept; repeat the call." },
    { R::kDeadlineExceeded,
      "deadline_exceeded",
      504,
      kNotRun,
      second,
      "The deadline passed before the call was dispatched." },
    { R::kOutcomeUnknown,
      "outcome_unknown",
      502,
      kMayHaveRun,
      never,
      "Look the reference up at the service; the system never runs it again." },
    { R::kLogUnavailable,
      "log_unavailable",
      503,
      kNotRun,
      outage,
      "The platform's log is down and this call needs it; come back later." },
    { R::kOwnerUnavailable,
      "owner_unavailable",
      503,
      kNotRun,
      second,
      "The owning daemon is being replaced; come back later." },
    { R::kNotReady,
      "not_ready",
      503,
      kNotRun,
      second,
      "The daemon has no configuration yet; use another one." },
    { R::kOverloaded,
      "overloaded",
      503,
      kNotRun,
      second,
      "The daemon has no free worker; come back later." },
    { R::kCallQuarantined,
      "call_quarantined",
      503,
      kNotRun,
      never,
      "The call crashed the endpoints that ran it; do not repeat it." },
    { R::kStreamUnknown,
      "stream_unknown",
      503,
      kNotRun,
      never,
      "No host knows where the stream began; begin it anew." },
    { R::kStreamVersionGone,
      "stream_version_gone",
      503,
      kNotRun,
      never,
      "No endpoint of the version that began the stream is left; begin it "
      "anew." },
    { R::kNoEndpointInRegion,
      "no_endpoint_in_region",
      503,
      kNotRun,
      never,
      "No endpoint lies in a region that route and organisation both allow." },
    { R::kVersionConflict,
      "version_conflict",
      409,
      kNotRun,
      never,
      "Another operator was first; read the difference and apply again." },
    { R::kInternalError,
      "internal_error",
      500,
      kMayHaveRun,
      second,
      "A fault of the daemon; report it with the request identifier." },
  };
}

} // namespace

const std::vector<RefusalRow>&
RefusalTable()
{
  static const std::vector<RefusalRow> kTable = BuildTable();
  return kTable;
}

const RefusalRow&
RowOf(RefusalReason aReason)
{
  return RefusalTable()[static_cast<size_t>(aReason)];
}

const RefusalRow*
FindRefusal(std::string_view aName)
{
  for (const RefusalRow& row : RefusalTable()) {
    if (row.name == aName) {
      return &row;
    }
  }
  return nullptr;
}

Refusal
MakeRefusal(RefusalReason aReason, std::string aDetail)
{
  const RefusalRow& row = RowOf(aReason);
  return Refusal{ aReason, row.ran, row.retryAfter, std::move(aDetail) };
}

} // namespace tanagerseam
