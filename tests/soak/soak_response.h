// Responses of the endpoints of a soak test, and what may be wrong with them.
//
// Usage:
//
//   EndpointResponse response = MakeResponse(request, "tools-1.7", random);
//   response = Intended(response, ResponseFault::kLost);   // under a fault
//   checker.OnResponseProduced(response.Produced());
//   return Corrupt(response, { ResponseFault::kLost }, random);
//   return ToPreset(response);                             // or without one
#ifndef TANAGERSEAM_TESTS_SOAK_SOAK_RESPONSE_H_
#define TANAGERSEAM_TESTS_SOAK_SOAK_RESPONSE_H_

#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/testing/raw_peer.h"
#include "tests/soak/soak_judge.h"

namespace tanagerseam::soak {

enum class ResponseFault
{
  // Reset without a byte.
  kLost,
  // Closed in the middle of the body.
  kTruncated,
  // Later than the client's deadline.
  kDelayed,
  // A second response in the same write as the end of the first.
  kDoubled,
  // A response with the id of another request.
  kCrossed,
  // The same response again, where the next one on the connection is expected.
  kLateDuplicate,
  // The same response again, while the connection is idle.
  kIdleDuplicate,
  // Closed in the middle of the head.
  kHeadCut,
  // Complete, but the end of the body is marked by the close only. Not wrong.
  kNoLength,
  // The same, but reset in the middle of the body.
  kNoLengthReset,
  // The same, but closed before the first event or within an event; reset if
  // the body is no event stream.
  kNoLengthCut,
  // A body without a length and without an end; of a stream, an event.
  kEndless,
  // A success without its digest.
  kNoDigest,
  // A failure of the endpoint. Not wrong.
  kFailure,
  // The same, and again where the next response on the connection is expected.
  kFailureLateDuplicate,
  // The same, and again while the connection is idle.
  kFailureIdleDuplicate,
  // A body without a length that goes on into a second response before the
  // close.
  kNoLengthDoubled,
  // Closed in the middle of the head, after a pause.
  kHeadCutPause,
};

std::string_view
NameOf(ResponseFault aFault);

// A response, before its bytes are laid out.
struct EndpointResponse
{
  std::string id;
  std::string digest;
  int status = 200;
  bool isStream = false;
  // The body in two parts, the second of them sent after the delay.
  std::string firstPart;
  std::string secondPart;
  Millis delay{ 0 };

  std::string Text() const { return this->firstPart + this->secondPart; }
  ProducedResponse Produced() const
  {
    return { this->id, this->digest, this->status, this->Text() };
  }
};

// A drawn fault.
struct ResponseCorruption
{
  ResponseFault fault = ResponseFault::kLost;
  // Of second responses: sent in two writes, without an id.
  bool split = false;
  bool withoutId = false;

  std::string Name() const;
};

// A successful response to aRequest.
EndpointResponse
MakeResponse(const std::string& aRequest,
             const std::string& aDigest,
             std::mt19937_64& aRandom);

ResponseCorruption
DrawCorruption(const std::vector<ResponseFault>& aFaults,
               std::mt19937_64& aRandom);

// The response that an endpoint means to give under this fault: aResponse, or a
// failure in its place. This is what Corrupt takes.
EndpointResponse
Intended(const EndpointResponse& aResponse, ResponseFault aFault);

testing_support::PresetResponse
ToPreset(const EndpointResponse& aResponse);

testing_support::PresetResponse
Corrupt(const EndpointResponse& aResponse,
        const ResponseCorruption& aCorruption,
        std::mt19937_64& aRandom);

} // namespace tanagerseam::soak

#endif // TANAGERSEAM_TESTS_SOAK_SOAK_RESPONSE_H_
