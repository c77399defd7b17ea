#include "daemon/http_sink.h"

namespace tanagerseam {

namespace {

using Json = nlohmann::json;

constexpr int64_t kMillisPerSecond = 1000;

Json
RefusalJson(const Refusal& aRefusal, const std::string& aRequestId)
{
  const RefusalRow& row = RowOf(aRefusal.reason);
  Json error;
  error["message"] = aRefusal.detail;
  error["type"] = std::string(row.name);
  error["code"] = std::string(row.name);
  error["ran"] = aRefusal.ran == RanState::kNo ? "no" : "unknown";
  error["request_id"] = aRequestId;
  if (aRefusal.retryAfter) {
    error["retry_after_ms"] = aRefusal.retryAfter->count();
  }
  return Json{ { "error", error } };
}

} // namespace

std::string
RefusalBody(const Refusal& aRefusal, const std::string& aRequestId)
{
  return RefusalJson(aRefusal, aRequestId)
    .dump(-1, ' ', false, Json::error_handler_t::replace);
}

HttpHeaders
RefusalHeaders(const Refusal& aRefusal, const std::string& aRequestId)
{
  HttpHeaders headers{
    { "Content-Type", "application/json" },
    { "X-Request-Id", aRequestId },
    { "X-Refusal", std::string(RowOf(aRefusal.reason).name) },
    { "X-Ran", aRefusal.ran == RanState::kNo ? "no" : "unknown" }
  };
  if (aRefusal.retryAfter) {
    const int64_t millis = aRefusal.retryAfter->count();
    const int64_t seconds = (millis + kMillisPerSecond - 1) / kMillisPerSecond;
    headers.emplace_back("Retry-After", std::to_string(seconds));
    headers.emplace_back("X-Retry-After-Ms", std::to_string(millis));
  }
  return headers;
}

HttpSink::HttpSink(const DaemonContext& aContext,
                   const CallRequest& aRequest,
                   std::shared_ptr<HttpReply> aReply)
  : context(aContext)
  , request(aRequest)
  , reply(std::move(aReply))
{
  this->metadata.id = aRequest.requestId;
}

void
HttpSink::Head(int aStatus,
               const std::string& aContentType,
               const std::vector<std::string>& aHeaderPairs)
{
  this->status = aStatus;
  this->headers.emplace_back("X-Request-Id", this->metadata.id);
  for (size_t i = 0; i + 1 < aHeaderPairs.size(); i += 2) {
    this->headers.emplace_back(aHeaderPairs[i], aHeaderPairs[i + 1]);
  }
  this->streaming = this->IsModelCall() && this->request.stream;
  if (this->streaming) {
    this->headers.emplace_back("Content-Type", "text/event-stream");
    this->headers.emplace_back("Cache-Control", "no-cache");
    this->reply->Begin(aStatus, this->headers);
    this->reply->Write(FirstEvent(this->metadata));
  } else {
    this->headers.emplace_back("Content-Type", aContentType);
  }
}

bool
HttpSink::Chunk(std::string_view aData)
{
  if (this->streaming) {
    return this->reply->Write(ChunkEvent(this->metadata, aData));
  }
  this->body += aData;
  return true;
}

void
HttpSink::End(const CompletionInfo& aEnd)
{
  if (this->streaming) {
    const std::string events = LastEvents(this->metadata, aEnd);
    this->finished = true;
    this->context.metrics.Count("tanagerseam_answers_total", {});
    this->reply->Write(events);
    this->reply->End();
    return;
  }
  if (this->IsModelCall()) {
    this->body = CompletionBody(this->metadata.id, this->body, aEnd);
  }
  this->finished = true;
  this->context.metrics.Count("tanagerseam_answers_total", {});
  this->reply->Send(this->status, this->headers, std::move(this->body));
}

void
HttpSink::Refuse(const Refusal& aRefusal)
{
  this->finished = true;
  const RefusalRow& row = RowOf(aRefusal.reason);
  this->context.metrics.Count("tanagerseam_refusals_total",
                              { { "reason", std::string(row.name) } });
  LogInfo("refused",
          { { "request", this->request.requestId },
            { "organisation", this->request.organisation },
            { "program", this->request.program },
            { "reason", std::string(row.name) },
            { "detail", aRefusal.detail } });
  if (this->streaming) {
    this->reply->Write("data: " + RefusalBody(aRefusal, this->metadata.id) +
                       "\n\n");
    this->reply->End();
    return;
  }
  this->reply->Send(row.httpStatus,
                    RefusalHeaders(aRefusal, this->metadata.id),
                    RefusalBody(aRefusal, this->metadata.id));
}

void
HttpSink::RefuseInternalError(const std::string& aError)
{
  LogError("request_failed",
           { { "request", this->request.requestId }, { "error", aError } });
  if (!this->finished) {
    this->Refuse(
      MakeRefusal(RefusalReason::kInternalError,
                  "internal error; see the daemon's log for this request id"));
  }
}

bool
HttpSink::Cancelled() const
{
  return this->finished || this->reply->Gone();
}

} // namespace tanagerseam
