#include "fleet/stream_wire.h"

namespace tanagerseam {

namespace {

// What the fields of an event take beside its data.
constexpr size_t kEventFieldBytes = 48;

std::unique_ptr<fleetwire::StreamEventT>
EventToWire(uint32_t aPosition, const StreamEvent& aEvent)
{
  auto table = std::make_unique<fleetwire::StreamEventT>();
  table->position = aPosition;
  table->id = aEvent.id;
  table->data.assign(aEvent.data.begin(), aEvent.data.end());
  return table;
}

StreamEvent
EventFromWire(const fleetwire::StreamEventT& aTable)
{
  return { aTable.id, std::string(aTable.data.begin(), aTable.data.end()) };
}

// Without its events.
std::unique_ptr<fleetwire::StreamPartT>
PartToWire(uint64_t aAttempt, std::optional<uint64_t> aAfter)
{
  auto table = std::make_unique<fleetwire::StreamPartT>();
  table->attempt = aAttempt;
  table->resumes = aAfter.has_value();
  table->after = aAfter.value_or(0);
  return table;
}

std::optional<uint64_t>
AfterOf(const fleetwire::StreamPartT& aTable)
{
  return aTable.resumes ? std::optional<uint64_t>(aTable.after) : std::nullopt;
}

size_t
BytesOf(const std::vector<StreamPart>& aParts)
{
  size_t bytes = 0;
  for (const StreamPart& part : aParts) {
    bytes += kEventFieldBytes;
    for (const auto& [position, event] : part.events) {
      bytes += kEventFieldBytes + event.data.size();
    }
  }
  return bytes;
}

} // namespace

fleetwire::StreamEventPassedT
StreamEventToWire(uint64_t aStream, const PlacedEvent& aEvent)
{
  fleetwire::StreamEventPassedT table;
  table.stream = aStream;
  table.part = PartToWire(aEvent.attempt, aEvent.after);
  table.part->events.push_back(EventToWire(aEvent.position, aEvent.event));
  return table;
}

std::optional<PlacedEvent>
StreamEventFromWire(const fleetwire::StreamEventPassedT& aTable)
{
  if (!aTable.part || aTable.part->events.empty()) {
    return std::nullopt;
  }
  const fleetwire::StreamEventT& event = *aTable.part->events.front();
  return PlacedEvent{ aTable.part->attempt,
                      AfterOf(*aTable.part),
                      event.position,
                      EventFromWire(event) };
}

fleetwire::StreamEventsFoundT
StreamEventsToWire(uint64_t aRequest, const std::vector<StreamPart>& aParts)
{
  fleetwire::StreamEventsFoundT table;
  table.request = aRequest;
  table.too_large = BytesOf(aParts) > FleetLink::kMaxRecordBytes;
  if (table.too_large) {
    return table;
  }
  for (const StreamPart& part : aParts) {
    table.parts.push_back(PartToWire(part.attempt, part.after));
    for (const auto& [position, event] : part.events) {
      table.parts.back()->events.push_back(EventToWire(position, event));
    }
  }
  return table;
}

StreamEventsAnswer
StreamEventsAnswerOf(const fleetwire::DatagramT* aResponse)
{
  const fleetwire::StreamEventsFoundT* table =
    aResponse == nullptr ? nullptr : aResponse->body.AsStreamEventsFound();
  StreamEventsAnswer answer;
  answer.answered = table != nullptr && !table->too_large;
  if (!answer.answered) {
    return answer;
  }
  for (const auto& part : table->parts) {
    answer.parts.push_back({ part->attempt, AfterOf(*part), {} });
    for (const auto& event : part->events) {
      answer.parts.back().events.emplace(event->position,
                                         EventFromWire(*event));
    }
  }
  return answer;
}

} // namespace tanagerseam
