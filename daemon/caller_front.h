// Request handler of the API for callers: HTTP/1.1 with JSON. See docs/API.md.
#ifndef TANAGERSEAM_DAEMON_CALLER_FRONT_H_
#define TANAGERSEAM_DAEMON_CALLER_FRONT_H_

#include <functional>
#include <memory>
#include <string>

#include "daemon/call.h"
#include "daemon/chat.h"
#include "daemon/context.h"
#include "daemon/http_sink.h"
#include "daemon/rate_service.h"

namespace tanagerseam {

class CallerFront
{
public:
  // Serves a validated request that has passed the organisation's rate limit.
  // Calls to open routes carry no organisation and are not rate-limited.
  using CallHandler = std::function<void(const CallRequest&, CallSink&)>;

  CallerFront(const DaemonContext& aContext,
              RateService& aRates,
              CallHandler aCallHandler);

  // Handles one HTTP request from start to end. Blocks; runs on a worker
  // thread.
  void Handle(const HttpRequest& aRequest, std::shared_ptr<HttpReply> aReply);

  // Refuses a request because no worker is free.
  void SendOverloaded(HttpReply& aReply);

  // Response to input that is not a complete request; counted as a refusal.
  HttpAnswer InputFaultAnswer(InputFault aFault);

private:
  // Validates the request, fills in aCall, applies the rate limit and passes it
  // to the call handler.
  void ProcessRequest(const HttpRequest& aRequest,
                      CallRequest& aCall,
                      StreamMetadata aMetadata,
                      HttpSink& aSink,
                      HttpReply& aReply);
  // Checks the API key; sets the key digest and the organisation of aCall. Open
  // routes need no key.
  std::optional<Refusal> Authenticate(const HttpRequest& aRequest,
                                      CallRequest& aCall);
  // Sets the fields of aCall and aMetadata from the validated headers and body.
  std::optional<Refusal> FillCall(const HttpRequest& aRequest,
                                  CallRequest& aCall,
                                  StreamMetadata& aMetadata);
  // Sends the list of models, or one model if aName is not empty.
  std::optional<Refusal> SendModels(const std::string& aName,
                                    const std::string& aRequestId,
                                    HttpReply& aReply);
  // Counts the refusal and builds its response, with a new request id.
  HttpAnswer MakeRefusalAnswer(const Refusal& aRefusal);

  const DaemonContext& context;
  RateService& rates;
  CallHandler callHandler;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_DAEMON_CALLER_FRONT_H_
