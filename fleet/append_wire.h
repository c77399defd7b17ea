// Requests of peers to append records to the store's log, and their answers, as
// messages. Private to this library.
//
//   Request of this host:  link -> AppendToWire -> peer -> AppendAnswerOf
//   Request of a peer:     AnswerAppend(requests, table, handler, send)
#ifndef TANAGERSEAM_FLEET_APPEND_WIRE_H_
#define TANAGERSEAM_FLEET_APPEND_WIRE_H_

#include "fleet/fleet.h"
#include "fleet/fleet_wire_generated.h"
#include "fleet/peer_requests.h"

namespace tanagerseam {

fleetwire::AppendRecordT
AppendToWire(uint64_t aRequest, const PeerRecord& aRecord);

// Null stands for no answer in time. An answer that is not aHost's counts as
// none.
PeerAppendAnswer
AppendAnswerOf(const std::string& aHost, const fleetwire::DatagramT* aResponse);

// Passes a request to aHandler unless it is a repetition. aSend sends the
// answer: at once for a repetition that is answered already, else when the
// handler answers. aRequests must outlive the answer.
void
AnswerAppend(PeerRequests& aRequests,
             const fleetwire::AppendRecordT& aTable,
             const FleetHandlers& aHandlers,
             std::function<void(const fleetwire::RecordAppendedT&)> aSend);

} // namespace tanagerseam

#endif // TANAGERSEAM_FLEET_APPEND_WIRE_H_
