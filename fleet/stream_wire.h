// The events of streams from and to their messages. Private to this library.
#ifndef TANAGERSEAM_FLEET_STREAM_WIRE_H_
#define TANAGERSEAM_FLEET_STREAM_WIRE_H_

#include <memory>
#include <vector>

#include "fleet/fleet.h"
#include "fleet/fleet_wire_generated.h"

namespace tanagerseam {

fleetwire::StreamEventPassedT
StreamEventToWire(uint64_t aStream, const PlacedEvent& aEvent);

// Unset for a message without its event.
std::optional<PlacedEvent>
StreamEventFromWire(const fleetwire::StreamEventPassedT& aTable);

// Without the parts if they are too large for a datagram.
fleetwire::StreamEventsFoundT
StreamEventsToWire(uint64_t aRequest, const std::vector<StreamPart>& aParts);

// Null stands for no response in time.
StreamEventsAnswer
StreamEventsAnswerOf(const fleetwire::DatagramT* aResponse);

} // namespace tanagerseam

#endif // TANAGERSEAM_FLEET_STREAM_WIRE_H_
