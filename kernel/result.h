// Refusals and results.
//
// Every request that is not served ends in exactly one Refusal. It names the
// reason, says whether the request ran, and says when to come back.
#ifndef TANAGERSEAM_KERNEL_RESULT_H_
#define TANAGERSEAM_KERNEL_RESULT_H_

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace tanagerseam {

using Millis = std::chrono::milliseconds;

// Why a request was refused. Names and HTTP statuses: RefusalTable().
enum class RefusalReason
{
  kMalformedRequest,
  kUnknownRoute,
  kMethodNotAllowed,
  kBodyTooLarge,
  kUriTooLong,
  kHeadersTooLarge,
  kRequestTimeout,
  kUnsupportedMediaType,
  kKeyMissing,
  kKeyUnknown,
  kKeyWithdrawn,
  kProgramNotFound,
  kProgramEnded,
  kCallOutOfOrder,
  kCallSuperseded,
  kIdempotencyKeyMissing,
  kIdempotencyKeyReused,
  kRateExceeded,
  kBudgetExhausted,
  kProgramLimit,
  kModelUnknown,
  kNoEndpoint,
  kEndpointFailed,
  kDeadlineExceeded,
  kOutcomeUnknown,
  kLogUnavailable,
  kOwnerUnavailable,
  kNotReady,
  kOverloaded,
  kCallQuarantined,
  kStreamUnknown,
  kStreamVersionGone,
  kNoEndpointInRegion,
  kVersionConflict,
  kInternalError,
};

// Whether the work behind a request was started at an endpoint.
enum class RanState
{
  kNo,
  kUnknown,
};

// One row of the table of refusals.
struct RefusalRow
{
  RefusalReason reason;
  std::string_view name;
  int httpStatus;
  RanState ran;
  // When the caller should come back; absent where repeating cannot help.
  std::optional<Millis> retryAfter;
  // What the caller or operator should do, in one sentence.
  std::string_view advice;
};

// The whole table, in the order of the enum.
const std::vector<RefusalRow>&
RefusalTable();

// The row of one reason.
const RefusalRow&
RowOf(RefusalReason aReason);

// The row with this name, or nullptr.
const RefusalRow*
FindRefusal(std::string_view aName);

// The final answer to a request that was not served.
struct Refusal
{
  RefusalReason reason = RefusalReason::kInternalError;
  RanState ran = RanState::kNo;
  std::optional<Millis> retryAfter;
  // For people; never holds a key or a body.
  std::string detail;
};

// A refusal with the defaults of the table.
Refusal
MakeRefusal(RefusalReason aReason, std::string aDetail);

template<typename T>
using Result = std::variant<T, Refusal>;

// Success without a value.
struct Done
{};

template<typename T>
bool
IsOk(const Result<T>& aResult)
{
  return std::holds_alternative<T>(aResult);
}

} // namespace tanagerseam

#endif // TANAGERSEAM_KERNEL_RESULT_H_
