#include "fleet/response_wire.h"

#include <array>

namespace tanagerseam {

namespace {

ReserveStatus
StatusFromWire(uint8_t aStatus)
{
  constexpr std::array<ReserveStatus, 4> kStatuses = {
    ReserveStatus::kReserved,
    ReserveStatus::kBudgetExhausted,
    ReserveStatus::kUnavailable,
    ReserveStatus::kOverQuota,
  };
  return aStatus < kStatuses.size() ? kStatuses[aStatus]
                                    : ReserveStatus::kUnavailable;
}

} // namespace

ReserveResponse
ReserveResponseOf(const fleetwire::DatagramT* aResponse)
{
  const fleetwire::TokensReservedT* table =
    aResponse == nullptr ? nullptr : aResponse->body.AsTokensReserved();
  if (table == nullptr) {
    return { ReserveStatus::kNoAnswer, false, false };
  }
  return { StatusFromWire(table->verdict), table->begins, table->nearly_spent };
}

StreamAnswer
StreamAnswerOf(const fleetwire::DatagramT* aResponse)
{
  const fleetwire::StreamFoundT* table =
    aResponse == nullptr ? nullptr : aResponse->body.AsStreamFound();
  StreamAnswer answer;
  answer.answered = table != nullptr;
  if (answer.answered && !table->version.empty()) {
    answer.origin = StreamOrigin{ table->service, table->version };
  }
  return answer;
}

ReserveStatus
StatusOf(QuotaAnswer aAnswer)
{
  switch (aAnswer) {
    case QuotaAnswer::kGranted:
      return ReserveStatus::kReserved;
    case QuotaAnswer::kRefused:
      return ReserveStatus::kOverQuota;
    case QuotaAnswer::kNoAnswer:
      break;
  }
  return ReserveStatus::kUnavailable;
}

QuotaAnswer
AnswerOf(ReserveStatus aStatus)
{
  switch (aStatus) {
    case ReserveStatus::kReserved:
      return QuotaAnswer::kGranted;
    case ReserveStatus::kOverQuota:
      return QuotaAnswer::kRefused;
    default:
      return QuotaAnswer::kNoAnswer;
  }
}

} // namespace tanagerseam
