// A caller's request as passed between daemons, and the sink for its response.
//
//   Result<CallRequest> request = CallFromWire(message);
//   PeerSink sink(reply);
//   service.Handle(std::get<CallRequest>(request), sink);
#ifndef TANAGERSEAM_DAEMON_CALL_H_
#define TANAGERSEAM_DAEMON_CALL_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "kernel/kernel.h"
#include "peer/peer.h"

namespace tanagerseam {

enum class CallOperation
{
  kOpenProgram,
  kGetProgram,
  kEndProgram,
  kModelCall,
  kServiceCall,
};

std::string_view
OperationName(CallOperation aOperation);

struct CallRequest
{
  std::string requestId;
  std::string organisation;
  // Digest of the caller's API key; empty on open routes.
  std::string keyDigest;
  CallOperation operation = CallOperation::kModelCall;
  // Empty for a call outside any program.
  std::string program;
  // Call number within the program; 0: the next one.
  int64_t call = 0;
  // Service calls: the route's name and the rest of the path.
  std::string route;
  std::string path;
  std::string body;
  std::string idempotencyKey;
  bool stream = false;
  TimePoint deadline;
  // Number of daemons that have forwarded the request.
  int hops = 0;

  Millis TimeLeft() const
  {
    return Millis(MillisBetween(Now(), this->deadline));
  }
};

// Metadata of a complete response: finish reason, model and token usage.
struct CompletionInfo
{
  std::string finishReason;
  std::string model;
  int64_t promptTokens = 0;
  int64_t cachedTokens = 0;
  int64_t completionTokens = 0;
};

// Receives one response: either Refuse alone, or Head, any number of Chunks,
// then End or Refuse. Chunks of model calls are plain text; the daemon that is
// connected to the caller encodes them as JSON or server-sent events.
class CallSink
{
public:
  virtual ~CallSink() = default;
  virtual void Head(int aStatus,
                    const std::string& aContentType,
                    const std::vector<std::string>& aHeaderPairs) = 0;
  // False once the caller has disconnected.
  virtual bool Chunk(std::string_view aData) = 0;
  virtual void End(const CompletionInfo& aInfo) = 0;
  virtual void Refuse(const Refusal& aRefusal) = 0;
  virtual bool Cancelled() const = 0;
};

wire::CallAskT
ToWire(const CallRequest& aRequest);

// Refuses an unknown operation name.
Result<CallRequest>
CallFromWire(const wire::CallAskT& aMessage);

// Sends the response to the daemon that forwarded the request.
class PeerSink : public CallSink
{
public:
  explicit PeerSink(std::shared_ptr<PeerReply> aReply);
  void Head(int aStatus,
            const std::string& aContentType,
            const std::vector<std::string>& aHeaderPairs) override;
  bool Chunk(std::string_view aData) override;
  void End(const CompletionInfo& aInfo) override;
  void Refuse(const Refusal& aRefusal) override;
  bool Cancelled() const override;

private:
  std::shared_ptr<PeerReply> reply;
  uint64_t bytes = 0;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_DAEMON_CALL_H_
