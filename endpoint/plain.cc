// The "plain" driver: one HTTP exchange with a service, passed through
// unchanged.
//
// kOk: the service responded with any status, 5xx included; its meaning is
// defined by the service. kNotExecuted: the call is invalid or no connection
// was established, so the service cannot have received it. kUnknown: the call
// was or may have been sent, and no complete response arrived.
//
// A non-repeatable call uses a new connection: on a kept one its outcome would
// be unknown if that connection turns out to be closed.
#include "endpoint/call_headers.h"

namespace tanagerseam {

namespace {

class PlainDriver : public EndpointDriver
{
public:
  EndpointOutcome Run(HttpClient& aClient, const EndpointCall& aCall) override
  {
    EndpointOutcome outcome;
    if (const auto error = ValidateCall(aCall)) {
      outcome.status = EndpointStatus::kNotExecuted;
      outcome.detail = *error;
      return outcome;
    }
    HttpCall call = BuildHttpCall(aCall);
    call.freshConnection = !aCall.repeatable;
    HttpOutcome result = aClient.Perform(call);
    if (const auto* failure = std::get_if<TransportFailure>(&result)) {
      return OutcomeFromFailure(*failure);
    }
    auto& answer = std::get<HttpAnswer>(result);
    outcome.status = EndpointStatus::kOk;
    outcome.httpStatus = answer.status;
    outcome.contentType =
      FirstHeader(answer.headers, "Content-Type").value_or("");
    outcome.body = std::move(answer.body);
    return outcome;
  }
};

const Registration<EndpointDriver> kRegistration("plain", [] {
  return std::make_unique<PlainDriver>();
});

} // namespace

} // namespace tanagerseam
