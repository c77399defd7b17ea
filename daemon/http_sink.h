// Writes the response to a call as an HTTP response to the caller.
#ifndef TANAGERSEAM_DAEMON_HTTP_SINK_H_
#define TANAGERSEAM_DAEMON_HTTP_SINK_H_

#include <memory>
#include <string>

#include "daemon/call.h"
#include "daemon/chat.h"
#include "daemon/context.h"

namespace tanagerseam {

// Model calls are answered with one JSON object or, if streamed, with
// server-sent events. Other responses are buffered until End and sent
// unmodified. A refusal after the start of a stream is sent as an event with an
// "error" object and no end marker.
//
// aRequest is kept by reference and its fields are read when the response
// starts, so they may be set until then; requestId must be set at construction.
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

  // Sets the request id that the caller sees and the other fields shared by all
  // events of a stream. Must be called before Head.
  void SetStreamMetadata(StreamMetadata aMetadata)
  {
    this->metadata = std::move(aMetadata);
  }
  // Logs an internal error and refuses the call, unless the response is
  // complete.
  void RefuseInternalError(const std::string& aError);

private:
  bool IsModelCall() const
  {
    return this->request.operation == CallOperation::kModelCall;
  }

  const DaemonContext& context;
  const CallRequest& request;
  std::shared_ptr<HttpReply> reply;
  StreamMetadata metadata;
  int status = 200;
  HttpHeaders headers;
  std::string body;
  bool streaming = false;
  bool finished = false;
};

// The JSON body and the headers of the response to a refused request.
std::string
RefusalBody(const Refusal& aRefusal, const std::string& aRequestId);
HttpHeaders
RefusalHeaders(const Refusal& aRefusal, const std::string& aRequestId);

} // namespace tanagerseam

#endif // TANAGERSEAM_DAEMON_HTTP_SINK_H_
