// What callers speak to: HTTP/1.1 with JSON. See docs/API.md.
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
  // Answers a checked request that has its token of the rate.
  using Serve = std::function<void(const CallRequest&, CallSink&)>;

  CallerFront(const DaemonContext& aContext, RateService& aRates, Serve aServe);

  // One HTTP request, start to end, on a worker.
  void Handle(const HttpRequest& aRequest, std::shared_ptr<HttpReply> aReply);

  // Answers a request for which no worker is free.
  void Overloaded(HttpReply& aReply);

  // The answer to input that never became a request; counts it.
  HttpAnswer BrokenInput(InputFault aFault);

private:
  // Checks the request, fills in the call and serves it.
  void Answer(const HttpRequest& aRequest,
              CallRequest& aCall,
              StreamMetadata aFrame,
              HttpSink& aSink,
              HttpReply& aReply);
  std::optional<Refusal> Authenticate(const HttpRequest& aRequest,
                                      CallRequest& aCall);
  // Headers and body, checked.
  std::optional<Refusal> Fill(const HttpRequest& aRequest,
                              CallRequest& aCall,
                              StreamMetadata& aFrame);
  std::optional<Refusal> SendModels(const std::string& aName,
                                    const std::string& aRequestId,
                                    HttpReply& aReply);
  HttpAnswer Refused(const Refusal& aRefusal);

  const DaemonContext& context;
  RateService& rates;
  Serve serve;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_DAEMON_CALLER_FRONT_H_
