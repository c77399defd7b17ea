#include "daemon/caller_front.h"

#include <set>

#include "daemon/caller_front_parse.h"
#include "daemon/http_sink.h"
#include "daemon/ledger_service.h"

namespace tanagerseam {

namespace {

using Json = nlohmann::json;

constexpr int kIdBytes = 12;

struct FaultRow
{
  InputFault fault;
  RefusalReason reason;
  const char* detail;
};

constexpr FaultRow kFaults[] = {
  { InputFault::kMalformed,
    RefusalReason::kMalformedRequest,
    "this is no HTTP/1.1 request" },
  { InputFault::kUnknownMethod,
    RefusalReason::kMethodNotAllowed,
    "the method is unknown" },
  { InputFault::kTargetTooLong,
    RefusalReason::kUriTooLong,
    "the path and query are too long" },
  { InputFault::kHeadersTooLarge,
    RefusalReason::kHeadersTooLarge,
    "the headers are too many or too large" },
  { InputFault::kBodyTooLarge,
    RefusalReason::kBodyTooLarge,
    "the body is larger than the limit" },
  { InputFault::kTooSlow,
    RefusalReason::kRequestTimeout,
    "the request did not become whole in time" },
};

Refusal
RefusalOf(InputFault aFault)
{
  for (const FaultRow& row : kFaults) {
    if (row.fault == aFault) {
      return MakeRefusal(row.reason, row.detail);
    }
  }
  return MakeRefusal(RefusalReason::kMalformedRequest, "the input is broken");
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
                         Serve aServe)
  : context(aContext)
  , rates(aRates)
  , serve(std::move(aServe))
{
}

void
CallerFront::Handle(const HttpRequest& aRequest,
                    std::shared_ptr<HttpReply> aReply)
{
  const TimePoint start = Now();
  this->context.metrics.Count("tanagerseam_requests_total", {});
  const std::string unique = "r-" + RandomHex(kIdBytes);
  const bool carriesKey = CarriesOwnKey(aRequest);
  const auto callerId =
    carriesKey ? std::optional<std::string>() : CallerRequestId(aRequest);
  CallRequest request;
  // Inside the fleet an id is unique, also if a caller repeats its own.
  request.requestId = callerId ? *callerId + "." + unique : unique;
  StreamMetadata frame;
  frame.id = callerId.value_or(unique);
  frame.created = WallMillis() / 1000;
  HttpSink sink(this->context, request, aReply);
  sink.Frame(frame);
  if (carriesKey) {
    sink.Refuse(
      MakeRefusal(RefusalReason::kMalformedRequest,
                  "the key may stand in the Authorization header only"));
    return;
  }
  // The edge for callers: whatever fails inside, the caller gets an answer.
  try {
    this->Answer(aRequest, request, frame, sink, *aReply);
  } catch (const std::exception& error) {
    sink.Fail(error.what());
  }
  this->context.metrics.Observe("tanagerseam_request_seconds",
                                {},
                                double(MillisBetween(start, Now())) / 1000);
}

void
CallerFront::Answer(const HttpRequest& aRequest,
                    CallRequest& aCall,
                    StreamMetadata aFrame,
                    HttpSink& aSink,
                    HttpReply& aReply)
{
  if (this->context.journal.Config()->version == 0) {
    aSink.Refuse(
      MakeRefusal(RefusalReason::kNotReady, "no configuration is in force"));
    return;
  }
  if (aRequest.body.size() > this->context.settings.maxBodyBytes) {
    aSink.Refuse(MakeRefusal(
      RefusalReason::kBodyTooLarge,
      "the limit is " + std::to_string(this->context.settings.maxBodyBytes) +
        " bytes"));
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
    refusal = this->SendModels(target.call.path, aFrame.id, aReply);
    if (!refusal) {
      return;
    }
  }
  if (!refusal) {
    refusal = this->Fill(aRequest, aCall, aFrame);
  }
  if (!refusal && !aCall.organisation.empty()) {
    refusal = this->rates.AcquireToken(aCall.organisation, aCall.deadline);
    if (refusal && HasStartedRequest(this->context, aCall)) {
      refusal->ran = RanState::kUnknown;
    }
  }
  if (refusal) {
    aSink.Refuse(*refusal);
    return;
  }
  aSink.Frame(std::move(aFrame));
  this->serve(aCall, aSink);
}

std::optional<Refusal>
CallerFront::Fill(const HttpRequest& aRequest,
                  CallRequest& aCall,
                  StreamMetadata& aFrame)
{
  Result<CallHeaderValues> parsed = ParseCallHeaders(aRequest);
  if (!IsOk(parsed)) {
    return std::get<Refusal>(parsed);
  }
  const CallHeaderValues& headers = std::get<CallHeaderValues>(parsed);
  if (aCall.operation == CallOperation::kOpenProgram) {
    aCall.program = "p-" + RandomHex(kIdBytes);
  } else if (aCall.program.empty()) {
    aCall.program = headers.program;
  }
  aCall.call = headers.call;
  aCall.idempotencyKey = headers.idempotencyKey;
  aCall.deadline =
    Now() + (headers.timeoutMillis > 0 ? Millis(headers.timeoutMillis)
                                       : this->context.settings.callTimeout);
  aCall.body = aRequest.body;
  if (aCall.operation == CallOperation::kOpenProgram) {
    return CheckOpenBody(aCall.body);
  }
  if (aCall.operation != CallOperation::kModelCall) {
    return std::nullopt;
  }
  Result<ChatRequest> chat = ParseChat(aCall.body);
  if (!IsOk(chat)) {
    return std::get<Refusal>(chat);
  }
  aCall.stream = std::get<ChatRequest>(chat).stream;
  aFrame.model = std::get<ChatRequest>(chat).model;
  aFrame.includeUsage = std::get<ChatRequest>(chat).includeUsage;
  return std::nullopt;
}

void
CallerFront::Overloaded(HttpReply& aReply)
{
  const HttpAnswer answer =
    this->Refused(MakeRefusal(RefusalReason::kOverloaded, "no free worker"));
  aReply.Send(answer.status, answer.headers, answer.body);
}

HttpAnswer
CallerFront::BrokenInput(InputFault aFault)
{
  return this->Refused(RefusalOf(aFault));
}

HttpAnswer
CallerFront::Refused(const Refusal& aRefusal)
{
  const RefusalRow& row = RowOf(aRefusal.reason);
  this->context.metrics.Count("tanagerseam_refusals_total",
                              { { "reason", std::string(row.name) } });
  const std::string id = "r-" + RandomHex(kIdBytes);
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
      // Without its name, which may be a key put in the wrong place.
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
