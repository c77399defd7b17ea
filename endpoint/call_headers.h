// Translates an EndpointCall to HTTP. Only the headers listed here are sent.
//
//   if (auto error = ValidateCall(call)) { ... do not send ... }
//   HttpOutcome outcome = client.Perform(BuildHttpCall(call));
#ifndef TANAGERSEAM_ENDPOINT_CALL_HEADERS_H_
#define TANAGERSEAM_ENDPOINT_CALL_HEADERS_H_

#include <optional>
#include <string>

#include "endpoint/endpoint.h"

namespace tanagerseam {

// The reason why the call cannot be sent, or nothing if it is valid. Control
// characters are rejected because they would allow header injection.
std::optional<std::string>
ValidateCall(const EndpointCall& aCall);

// Builds the headers from the fields of the call alone.
HttpHeaders
BuildCallHeaders(const EndpointCall& aCall);

// The HTTP request with its body, timeouts and cancellation callback.
HttpCall
BuildHttpCall(const EndpointCall& aCall);

// The outcome of a call whose HTTP exchange failed: kNotExecuted if it was not
// sent, else kCancelled or kUnknown.
EndpointOutcome
OutcomeFromFailure(const TransportFailure& aFailure);

} // namespace tanagerseam

#endif // TANAGERSEAM_ENDPOINT_CALL_HEADERS_H_
