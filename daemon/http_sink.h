// Frames an answer for a caller over HTTP.
#ifndef TANAGERSEAM_DAEMON_HTTP_SINK_H_
#define TANAGERSEAM_DAEMON_HTTP_SINK_H_

#include <memory>
#include <string>

#include "daemon/call.h"
#include "daemon/chat.h"
#include "daemon/context.h"

namespace tanagerseam {

// Model calls: whole as one JSON object, or streamed as server-sent events.
// Everything else goes out as it comes. The request is read when the answer
// starts, so it may be filled in until then. A refusal after the stream began
// is an event with an "error" object, and no end mark follows it.
class HttpSink : public CallSink
{
public:
  HttpSink(const DaemonContext& aContext,
           const CallRequest& aRequest,
           std::shared_ptr<HttpReply> aReply);

  void Head(int aStatus,
            const std::string& aContentType,
            const std::vector<std::string>& aHeaderPairs) override;
  bool Chunk(std::string_view aData) override;
  void End(const CompletionInfo& aEnd) override;
  void Refuse(const Refusal& aRefusal) override;
  bool Cancelled() const override;

  // The identifier that the caller sees, and how a stream is framed; to be set
  // before Head.
  void Frame(StreamMetadata aFrame) { this->frame = std::move(aFrame); }
  // Ends the answer after a fault of the daemon, unless it has ended.
  void Fail(const std::string& aWhat);

private:
  bool IsModelCall() const
  {
    return this->request.operation == CallOperation::kModelCall;
  }

  const DaemonContext& context;
  const CallRequest& request;
  std::shared_ptr<HttpReply> reply;
  StreamMetadata frame;
  int status = 200;
  HttpHeaders headers;
  std::string body;
  bool streaming = false;
  bool done = false;
};

// The JSON body and the headers of a refusal.
std::string
RefusalBody(const Refusal& aRefusal, const std::string& aRequestId);
HttpHeaders
RefusalHeaders(const Refusal& aRefusal, const std::string& aRequestId);

} // namespace tanagerseam

#endif // TANAGERSEAM_DAEMON_HTTP_SINK_H_
