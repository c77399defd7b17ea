// Translates the responses of hosts from and to their messages. Private to this
// library.
#ifndef TANAGERSEAM_FLEET_RESPONSE_WIRE_H_
#define TANAGERSEAM_FLEET_RESPONSE_WIRE_H_

#include "fleet/fleet.h"
#include "fleet/fleet_wire_generated.h"

namespace tanagerseam {

// Null stands for no response in time, in both functions.
ReserveResponse
ReserveResponseOf(const fleetwire::DatagramT* aResponse);

StreamAnswer
StreamAnswerOf(const fleetwire::DatagramT* aResponse);

// A call on a quota travels as a reservation, in this form.
ReserveStatus
StatusOf(QuotaAnswer aAnswer);

QuotaAnswer
AnswerOf(ReserveStatus aStatus);

} // namespace tanagerseam

#endif // TANAGERSEAM_FLEET_RESPONSE_WIRE_H_
