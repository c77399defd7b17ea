#include "daemon/call.h"

#include <algorithm>
#include <array>

namespace tanagerseam {

namespace {

struct OperationRow
{
  CallOperation operation;
  std::string_view name;
};

constexpr std::array<OperationRow, 5> kOperations = { {
  { CallOperation::kOpenProgram, "open" },
  { CallOperation::kGetProgram, "look" },
  { CallOperation::kEndProgram, "end" },
  { CallOperation::kModelCall, "model" },
  { CallOperation::kServiceCall, "service" },
} };

} // namespace

std::string_view
OperationName(CallOperation aOperation)
{
  return kOperations[static_cast<size_t>(aOperation)].name;
}

wire::CallAskT
ToWire(const CallRequest& aRequest)
{
  wire::CallAskT message;
  message.request_id = aRequest.requestId;
  message.organisation = aRequest.organisation;
  message.key_digest = aRequest.keyDigest;
  message.operation = std::string(OperationName(aRequest.operation));
  message.program = aRequest.program;
  message.call = aRequest.call;
  message.route = aRequest.route;
  message.path = aRequest.path;
  message.body = aRequest.body;
  message.idempotency_key = aRequest.idempotencyKey;
  message.stream = aRequest.stream;
  message.timeout_ms = std::max<int64_t>(0, aRequest.TimeLeft().count());
  message.hops = aRequest.hops + 1;
  return message;
}

Result<CallRequest>
CallFromWire(const wire::CallAskT& aMessage)
{
  CallRequest request;
  bool operationKnown = false;
  for (const OperationRow& row : kOperations) {
    if (row.name == aMessage.operation) {
      request.operation = row.operation;
      operationKnown = true;
    }
  }
  if (!operationKnown) {
    return MakeRefusal(RefusalReason::kInternalError,
                       "unknown operation in a call from a peer: " +
                         aMessage.operation);
  }
  request.requestId = aMessage.request_id;
  request.organisation = aMessage.organisation;
  request.keyDigest = aMessage.key_digest;
  request.program = aMessage.program;
  request.call = aMessage.call;
  request.route = aMessage.route;
  request.path = aMessage.path;
  request.body = aMessage.body;
  request.idempotencyKey = aMessage.idempotency_key;
  request.stream = aMessage.stream;
  request.deadline = Now() + Millis(aMessage.timeout_ms);
  request.hops = aMessage.hops;
  return request;
}

PeerSink::PeerSink(std::shared_ptr<PeerReply> aReply)
  : reply(std::move(aReply))
{
}

void
PeerSink::Head(int aStatus,
               const std::string& aContentType,
               const std::vector<std::string>& aHeaderPairs)
{
  wire::HeadAnswerT head;
  head.status = aStatus;
  head.content_type = aContentType;
  head.headers = aHeaderPairs;
  this->reply->Send(std::move(head), false);
}

bool
PeerSink::Chunk(std::string_view aData)
{
  wire::ChunkAnswerT chunk;
  chunk.data = std::string(aData);
  this->bytes += aData.size();
  this->reply->Send(std::move(chunk), false);
  return !this->reply->Cancelled();
}

void
PeerSink::End(const CompletionInfo& aInfo)
{
  wire::EndAnswerT end;
  end.bytes = this->bytes;
  end.finish_reason = aInfo.finishReason;
  end.model = aInfo.model;
  end.prompt_tokens = aInfo.promptTokens;
  end.cached_tokens = aInfo.cachedTokens;
  end.completion_tokens = aInfo.completionTokens;
  this->reply->Send(std::move(end), true);
}

void
PeerSink::Refuse(const Refusal& aRefusal)
{
  this->reply->Send(ToWire(aRefusal), true);
}

bool
PeerSink::Cancelled() const
{
  return this->reply->Cancelled();
}

} // namespace tanagerseam
