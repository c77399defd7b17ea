// One call of a service by a client, and how it is read and answered.
//
// A Dialect translates between HTTP messages and these types. It decides
// nothing: the gateway does, in terms of ServiceCall.
//
//   auto read = dialect.ReadCall(request);
//   if (auto* call = std::get_if<ServiceCall>(&read)) { ... }
//   EventCall out = dialect.WriteCall(*call, endpoint, body, timeLeft);
//   EndpointAnswer head = dialect.ReadAnswer(status, headers);
#ifndef TANAGERSEAM_CALL_CALL_H_
#define TANAGERSEAM_CALL_CALL_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "catalog/catalog.h"
#include "dispatch/dispatch.h"
#include "http/event_client.h"
#include "http/event_server.h"
#include "kernel/kernel.h"

namespace tanagerseam {

// The program that a call belongs to.
struct ProgramContext
{
  std::string id;
  // The line of turns within the program.
  std::string line;
  // The turn that this one goes on from; empty at the start of a line.
  std::string previousTurn;
  // Until the program should be finished.
  std::optional<Millis> finishWithin;
  // Tokens that all turns of the program may generate.
  std::optional<int64_t> tokenBudget;
};

struct ServiceCall
{
  // Unique for each attempt of a client.
  std::string id;
  std::string method;
  // Path and query as they came.
  std::string target;
  // Without a port.
  std::string host;
  // What goes to the endpoint as it came.
  HttpHeaders headers;
  std::string body;
  // Empty if none came.
  std::string key;
  // How long the client waits.
  std::optional<Millis> timeLeft;
  std::optional<ProgramContext> program;
  int64_t promptTokens = 0;
  // Most tokens that the call generates; 0 if it says nothing.
  int64_t outputTokens = 0;
  std::vector<PromptPart> prompt;
  // Calls about the same object share it.
  std::string affinity;
  // Another host of the fleet took it from the client and passed it on.
  bool forwarded = false;
};

// Load that an endpoint tells.
struct EndpointLoad
{
  int running = 0;
  int waiting = 0;
};

// The head of an endpoint's answer.
struct EndpointAnswer
{
  int status = 0;
  // What the client gets.
  HttpHeaders headers;
  // The call that the endpoint says it answers.
  std::string callId;
  // The endpoint says that the call did not run.
  bool notRun = false;
  bool isEventStream = false;
  // The endpoint is about to leave.
  bool closing = false;
  std::optional<EndpointLoad> load;
};

class Dialect
{
public:
  virtual ~Dialect() = default;
  virtual Result<ServiceCall> ReadCall(EventRequest aRequest) const = 0;
  // The request to an endpoint; aOrganisation is empty on open routes.
  virtual EventCall WriteCall(const ServiceCall& aCall,
                              const EndpointEntry& aEndpoint,
                              const std::string& aOrganisation,
                              const std::string& aBody,
                              Millis aTimeLeft) const = 0;
  // The call as its client sent it, for the host of the fleet at aAddress.
  virtual EventCall WriteForward(const ServiceCall& aCall,
                                 const std::string& aAddress,
                                 Millis aTimeLeft) const = 0;
  virtual EndpointAnswer ReadAnswer(int aStatus,
                                    const HttpHeaders& aHeaders) const = 0;
  virtual HttpAnswer WriteRefusal(const Refusal& aRefusal,
                                  const std::string& aCallId) const = 0;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_CALL_CALL_H_
