#include "daemon/caller_front.h"

#include <set>

#include "daemon/caller_front_parse.h"
#include "daemon/http_sink.h"
#include "daemon/ledger_service.h"

namespace tanagerseam {

namespace {

using Json = nlohmann::json;

constexpr int kRandomIdBytes = 12;

struct InputFaultRow
{
  InputFault fault;
  RefusalReason reason;
  const char* detail;
};

constexpr InputFaultRow kInputFaults[] = {
  { InputFault::kMalformed,
    RefusalReason::kMalformedRequest,
    "malformed HTTP/1.1 request" },
  { InputFault::kUnknownMethod,
    RefusalReason::kMethodNotAllowed,
    "unknown HTTP method" },
  { InputFault::kTargetTooLong,
    RefusalReason::kUriTooLong,
    "path and query exceed the length limit" },
  { InputFault::kHeadersTooLarge,
    RefusalReason::kHeadersTooLarge,
    "headers exceed the limit on count or size" },
  { InputFault::kBodyTooLarge,
    RefusalReason::kBodyTooLarge,
    "body exceeds the size limit" },
  { InputFault::kTooSlow,
    RefusalReason::kRequestTimeout,
    "request not received completely within the read timeout" },
};

Refusal
RefusalForFault(InputFault aFault)
{
  for (const InputFaultRow& row : kInputFaults) {
    if (row.fault == aFault) {
      return MakeRefusal(row.reason, row.detail);
    }
  }
  return MakeRefusal(RefusalReason::kMalformedRequest, "malformed input");
}

Json
ModelJson(const std::string& aName)
{
  return Json{ { "id", aName },
               { "object", "model" },
               { "created", 0 },
               { "owned_by", "tanagerseam" } };
}

} // namespace

CallerFront::CallerFront(const DaemonContext& aContext,
                         RateService& aRates,
                         CallHandler aCallHandler)
  : context(aContext)
  , rates(aRates)
  , callHandler(std::move(aCallHandler))
{
}

void
CallerFront::Handle(const HttpRequest& aRequest,
                    std::shared_ptr<HttpReply> aReply)
{
  const TimePoint start = Now();
  this->context.metrics.Count("tanagerseam_requests_total", {});
  const std::string uniqueId = "r-" + RandomHex(kRandomIdBytes);
  const bool exposesKey = ExposesApiKey(aRequest);
  const auto callerId =
    exposesKey ? std::optional<std::string>() : CallerRequestId(aRequest);
  CallRequest request;
  // The id used inside the fleet is unique even if a caller reuses its own.
  request.requestId = callerId ? *callerId + "." + uniqueId : uniqueId;
  StreamMetadata metadata;
  metadata.id = callerId.value_or(uniqueId);
  metadata.created = WallMillis() / 1000;
  HttpSink sink(this->context, request, aReply);
  sink.SetStreamMetadata(metadata);
  if (exposesKey) {
    sink.Refuse(
      MakeRefusal(RefusalReason::kMalformedRequest,
                  "the API key may appear only in the Authorization header"));
    return;
  }
  // Exception boundary for callers: an exception becomes an internal error.
  try {
    this->ProcessRequest(aRequest, request, metadata, sink, *aReply);
  } catch (const std::exception& error) {
    sink.RefuseInternalError(error.what());
  }
  this->context.metrics.Observe("tanagerseam_request_seconds",
                                {},
                                double(MillisBetween(start, Now())) / 1000);
}

void
CallerFront::ProcessRequest(const HttpRequest& aRequest,
                            CallRequest& aCall,
                            StreamMetadata aMetadata,
                            HttpSink& aSink,
                            HttpReply& aReply)
{
  if (this->context.journal.Config()->version == 0) {
    aSink.Refuse(MakeRefusal(RefusalReason::kNotReady,
                             "no configuration has been applied yet"));
    return;
  }
  if (aRequest.body.size() > this->context.settings.maxBodyBytes) {
    aSink.Refuse(MakeRefusal(
      RefusalReason::kBodyTooLarge,
      "body exceeds the limit of " +
        std::to_string(this->context.settings.maxBodyBytes) + " bytes"));
    return;
  }
  Result<ParsedTarget> parsed = ParseTarget(aRequest);
  if (!IsOk(parsed)) {
    aSink.Refuse(std::get<Refusal>(parsed));
    return;
  }
  const ParsedTarget& target = std::get<ParsedTarget>(parsed);
  aCall.operation = target.call.operation;
  aCall.program = target.call.program;
  aCall.route = target.call.route;
  aCall.path = target.call.path;
  std::optional<Refusal> refusal = this->Authenticate(aRequest, aCall);
  if (!refusal && target.target == CallerTarget::kModels) {
    refusal = this->SendModels(target.call.path, aMetadata.id, aReply);
    if (!refusal) {
      return;
    }
  }
  if (!refusal) {
    refusal = this->FillCall(aRequest, aCall, aMetadata);
  }
  if (!refusal && !aCall.organisation.empty()) {
    refusal = this->rates.AcquireToken(aCall);
    if (refusal && HasStartedRequest(this->context, aCall)) {
      refusal->ran = RanState::kUnknown;
    }
  }
  if (refusal) {
    aSink.Refuse(*refusal);
    return;
  }
  aSink.SetStreamMetadata(std::move(aMetadata));
  this->callHandler(aCall, aSink);
}

std::optional<Refusal>
CallerFront::FillCall(const HttpRequest& aRequest,
                      CallRequest& aCall,
                      StreamMetadata& aMetadata)
{
  Result<CallHeaderValues> parsed = ParseCallHeaders(aRequest);
  if (!IsOk(parsed)) {
    return std::get<Refusal>(parsed);
  }
  const CallHeaderValues& headers = std::get<CallHeaderValues>(parsed);
  if (aCall.operation == CallOperation::kOpenProgram) {
    aCall.program = "p-" + RandomHex(kRandomIdBytes);
  } else if (aCall.program.empty()) {
    aCall.program = headers.program;
  }
  aCall.call = headers.call;
  aCall.idempotencyKey = headers.idempotencyKey;
  aCall.deadline = Now() + (headers.timeoutMillis > 0
                              ? Millis(headers.timeoutMillis)
                              : this->context.settings.defaultCallTimeout);
  aCall.body = aRequest.body;
  if (aCall.operation == CallOperation::kOpenProgram) {
    return CheckOpenProgramBody(aCall.body);
  }
  if (aCall.operation != CallOperation::kModelCall) {
    return std::nullopt;
  }
  Result<ChatRequest> chat = ParseChat(aCall.body);
  if (!IsOk(chat)) {
    return std::get<Refusal>(chat);
  }
  aCall.stream = std::get<ChatRequest>(chat).stream;
  aMetadata.model = std::get<ChatRequest>(chat).model;
  aMetadata.includeUsage = std::get<ChatRequest>(chat).includeUsage;
  return std::nullopt;
}

void
CallerFront::SendOverloaded(HttpReply& aReply)
{
  const HttpAnswer answer = this->MakeRefusalAnswer(
    MakeRefusal(RefusalReason::kOverloaded, "no free worker"));
  aReply.Send(answer.status, answer.headers, answer.body);
}

HttpAnswer
CallerFront::InputFaultAnswer(InputFault aFault)
{
  return this->MakeRefusalAnswer(RefusalForFault(aFault));
}

HttpAnswer
CallerFront::MakeRefusalAnswer(const Refusal& aRefusal)
{
  const RefusalRow& row = RowOf(aRefusal.reason);
  this->context.metrics.Count("tanagerseam_refusals_total",
                              { { "reason", std::string(row.name) } });
  const std::string id = "r-" + RandomHex(kRandomIdBytes);
  return HttpAnswer{ row.httpStatus,
                     RefusalHeaders(aRefusal, id),
                     RefusalBody(aRefusal, id) };
}

std::optional<Refusal>
CallerFront::Authenticate(const HttpRequest& aRequest, CallRequest& aCall)
{
  const auto config = this->context.journal.Config();
  if (aCall.operation == CallOperation::kServiceCall) {
    auto route = config->desired.routes.find(aCall.route);
    if (route == config->desired.routes.end()) {
      // The detail omits the name, which may be a misplaced API key.
      return MakeRefusal(RefusalReason::kUnknownRoute, "no such route");
    }
    if (route->second.openToAll) {
      return std::nullopt;
    }
  }
  Result<std::string> key = ParseBearerKey(aRequest);
  if (!IsOk(key)) {
    return std::get<Refusal>(key);
  }
  aCall.keyDigest = Sha256Hex(std::get<std::string>(key));
  if (auto refusal = CheckApiKey(this->context, aCall.keyDigest, "")) {
    return refusal;
  }
  const auto* found = config->desired.FindKey(aCall.keyDigest);
  if (found == nullptr || found->organisation.empty()) {
    return MakeRefusal(RefusalReason::kKeyUnknown, "no key with this digest");
  }
  aCall.organisation = found->organisation;
  return std::nullopt;
}

std::optional<Refusal>
CallerFront::SendModels(const std::string& aName,
                        const std::string& aRequestId,
                        HttpReply& aReply)
{
  const auto config = this->context.journal.Config();
  std::set<std::string> names;
  for (const auto& entry : config->desired.endpoints) {
    names.insert(entry.second.models.begin(), entry.second.models.end());
  }
  Json json;
  if (aName.empty()) {
    json = Json{ { "object", "list" }, { "data", Json::array() } };
    for (const std::string& name : names) {
      json["data"].push_back(ModelJson(name));
    }
  } else if (names.count(aName) > 0) {
    json = ModelJson(aName);
  } else {
    return MakeRefusal(RefusalReason::kModelUnknown, "no model " + aName);
  }
  aReply.Send(
    200,
    { { "Content-Type", "application/json" }, { "X-Request-Id", aRequestId } },
    json.dump());
  return std::nullopt;
}

} // namespace tanagerseam
