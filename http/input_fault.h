// What a caller's bytes did wrong before they made a whole request.
#ifndef TANAGERSEAM_HTTP_INPUT_FAULT_H_
#define TANAGERSEAM_HTTP_INPUT_FAULT_H_

#include <functional>
#include <string>

#include "http/http_client.h"

namespace tanagerseam {

enum class InputFault
{
  kNone,
  // No HTTP/1.x request, or a framing that contradicts itself.
  kMalformed,
  kUnknownMethod,
  kTargetTooLong,
  // One header too long, too many of them, or all together too large.
  kHeadersTooLarge,
  kBodyTooLarge,
  // Begun and not whole within the read timeout.
  kTooSlow,
  // Refused while it arrived, since the process holds too much.
  kNoMemory,
  // The caller closed or broke the connection; nobody reads an answer.
  kPeerGone,
};

// The answer to a request that never became whole. Called on I/O threads.
using FaultAnswer = std::function<HttpAnswer(InputFault)>;

// The fault behind RESTinio's message about a connection that it closes.
InputFault
FaultOfMessage(const std::string& aMessage);

} // namespace tanagerseam

#endif // TANAGERSEAM_HTTP_INPUT_FAULT_H_
