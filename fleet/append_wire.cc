#include "fleet/append_wire.h"

#include <array>

namespace tanagerseam {

namespace {

struct PeerAppendStatusRow
{
  PeerAppendStatus status;
  // Of RecordAppended.
  uint8_t verdict;
  std::string_view name;
};

constexpr uint8_t kNoVerdict = 255;

constexpr std::array<PeerAppendStatusRow, 7> kStatuses = { {
  { PeerAppendStatus::kAppended, 0, "appended" },
  { PeerAppendStatus::kNoAnswer, 1, "no_answer" },
  { PeerAppendStatus::kUnavailable, 2, "unavailable" },
  { PeerAppendStatus::kFull, 3, "full" },
  { PeerAppendStatus::kRejected, 4, "rejected" },
  { PeerAppendStatus::kBusy, 5, "busy" },
  { PeerAppendStatus::kPeerSilent, kNoVerdict, "peer_silent" },
} };

// A verdict that this build does not know is a failure.
PeerAppendStatus
StatusFromWire(uint8_t aVerdict)
{
  for (const PeerAppendStatusRow& row : kStatuses) {
    if (row.verdict == aVerdict && row.verdict != kNoVerdict) {
      return row.status;
    }
  }
  return PeerAppendStatus::kUnavailable;
}

fleetwire::RecordAppendedT
AnswerToWire(uint64_t aRequest, const PeerAppendAnswer& aAnswer)
{
  fleetwire::RecordAppendedT table;
  table.request = aRequest;
  table.offset = aAnswer.offset;
  for (const PeerAppendStatusRow& row : kStatuses) {
    if (row.status == aAnswer.status) {
      table.verdict = row.verdict;
    }
  }
  return table;
}

} // namespace

std::string_view
NameOf(PeerAppendStatus aStatus)
{
  for (const PeerAppendStatusRow& row : kStatuses) {
    if (row.status == aStatus) {
      return row.name;
    }
  }
  return "unknown";
}

fleetwire::AppendRecordT
AppendToWire(uint64_t aRequest, const PeerRecord& aRecord)
{
  fleetwire::AppendRecordT table;
  table.request = aRequest;
  table.topic = aRecord.partition.topic;
  table.part = aRecord.partition.number;
  table.record.assign(aRecord.data.begin(), aRecord.data.end());
  return table;
}

PeerAppendAnswer
AppendAnswerOf(const std::string& aHost, const fleetwire::DatagramT* aResponse)
{
  if (aResponse == nullptr || aResponse->host != aHost) {
    return {};
  }
  const fleetwire::RecordAppendedT* table = aResponse->body.AsRecordAppended();
  if (table == nullptr) {
    return {};
  }
  return { StatusFromWire(table->verdict), table->offset };
}

void
AnswerAppend(PeerRequests& aRequests,
             const fleetwire::AppendRecordT& aTable,
             const FleetHandlers& aHandlers,
             std::function<void(const fleetwire::RecordAppendedT&)> aSend)
{
  if (!aHandlers.onAppendRecord) {
    return;
  }
  const uint64_t id = aTable.request;
  PeerRequest request;
  // Holds no reservation, so it may be forgotten after kSettledMemory.
  request.settled = true;
  request.receivedAt = BootNow();
  if (!aRequests.Remember(id, std::move(request))) {
    if (const auto& answer = aRequests.byId.at(id).appendAnswer) {
      aSend(AnswerToWire(id, *answer));
    }
    return;
  }
  const std::string data(aTable.record.begin(), aTable.record.end());
  aHandlers.onAppendRecord(
    { { aTable.topic, aTable.part }, data },
    [&aRequests, id, started = aRequests.startTime, send = std::move(aSend)](
      const PeerAppendAnswer& aAnswer) {
      auto found = aRequests.byId.find(id);
      // The id may belong to a later incarnation of the peer.
      if (found != aRequests.byId.end() && aRequests.startTime == started) {
        found->second.appendAnswer = aAnswer;
      }
      send(AnswerToWire(id, aAnswer));
    });
}

} // namespace tanagerseam
