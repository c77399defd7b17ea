// Routes requests to the daemon that owns their slot, and streams the responses
// back.
//
// Usage:
//
//   Router router(context, handleLocally);
//   router.Route(request, ProgramKey(request.program), sink);
//
// If there is no owner, the owner is giving up the slot, or the connection
// breaks, the request is retried until its deadline. Retries are idempotent:
// under the same call number, request id or idempotency key the owner returns
// the same response again instead of running the request twice. On a retry,
// text that the caller has received already is skipped; if the new response
// differs from it, the stream ends with a refusal instead of mixing the two.
#ifndef TANAGERSEAM_DAEMON_ROUTER_H_
#define TANAGERSEAM_DAEMON_ROUTER_H_

#include <functional>
#include <string>

#include "daemon/call.h"
#include "daemon/context.h"
#include "daemon/service_runner.h"

namespace tanagerseam {

class Router
{
public:
  // Handles the request on this daemon; false if it is not the owner.
  using LocalHandler = std::function<bool(const CallRequest&, CallSink&)>;

  Router(const DaemonContext& aContext, LocalHandler aLocalHandler);

  // Blocks until the response or a refusal is complete in aSink. aKey
  // determines the slot, and with it the owner.
  void Route(const CallRequest& aRequest,
             const std::string& aKey,
             CallSink& aSink);

  // Like Route, for a service call whose response is buffered.
  Result<ServiceResponse> RouteService(const CallRequest& aRequest,
                                       const std::string& aKey);

private:
  class DeduplicatingSink;

  // True if aSink received the complete response or a final refusal; otherwise
  // the request can be retried.
  bool ForwardToPeer(const std::string& aAddress,
                     const CallRequest& aRequest,
                     const std::string& aKey,
                     int64_t aEpoch,
                     DeduplicatingSink& aSink);
  // Refuses a request whose API key has been withdrawn since it was accepted;
  // false if its key is still accepted.
  bool StopWithdrawnKey(const CallRequest& aRequest,
                        RanState aRan,
                        DeduplicatingSink& aSink);
  std::string RandomSeed();

  const DaemonContext& context;
  LocalHandler localHandler;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_DAEMON_ROUTER_H_
