#include "tests/standins/engine_http.h"

#include <cstdlib>
#include <thread>

namespace tanagerseam::standin {

namespace {

using nlohmann::json;

constexpr size_t kMaxRecordedBytes = 16u << 20;
constexpr Millis kMaxWait(200);
// XORed into the seed of a crossed response, so that its text differs from the
// text the caller expects.
constexpr uint64_t kCrossedSeedMask = 0x5bd1e9955bd1e995;

void
SendJson(HttpReply& aReply, int aStatus, const json& aBody)
{
  aReply.Send(
    aStatus, { { "Content-Type", "application/json" } }, aBody.dump() + "\n");
}

void
SendError(HttpReply& aReply, int aStatus, const std::string& aText)
{
  SendJson(aReply, aStatus, { { "error", { { "message", aText } } } });
}

int64_t
ParseIntHeader(const HttpRequest& aRequest, const char* aName, int64_t aDefault)
{
  const auto text = FirstHeader(aRequest.headers, aName);
  return text ? std::strtoll(text->c_str(), nullptr, 10) : aDefault;
}

json
MakeUsage(const Sequence& aSequence)
{
  return {
    { "prompt_tokens", aSequence.promptTokens },
    { "completion_tokens", aSequence.request.maxTokens },
    { "total_tokens", aSequence.promptTokens + aSequence.request.maxTokens },
    { "prompt_tokens_details", { { "cached_tokens", aSequence.cachedTokens } } }
  };
}

bool
IsCrossed(const FaultPlan& aFaults, int64_t aIndex)
{
  return aFaults.crossAt && aIndex >= *aFaults.crossAt;
}

std::string
CrossedId(const std::string& aId)
{
  return "other-" + std::to_string(StableHash(aId) % 1000000);
}

} // namespace

EngineHttp::EngineHttp(const EngineSettings& aSettings,
                       std::string aName,
                       bool aChecksFencing)
  : settings(aSettings)
  , name(std::move(aName))
  , checksFencing(aChecksFencing)
  , model(aSettings)
{
}

void
EngineHttp::Handle(const HttpRequest& aRequest, HttpReply& aReply)
{
  try {
    this->Dispatch(aRequest, aReply);
  } catch (const json::exception& error) {
    // JSON fields are read before the response is begun, so 400 can be sent.
    SendError(aReply, 400, error.what());
  }
}

void
EngineHttp::Dispatch(const HttpRequest& aRequest, HttpReply& aReply)
{
  const std::string& path = aRequest.path;
  if (path == "/control") {
    this->HandleControl(aRequest, aReply);
  } else if (path == "/stats") {
    this->HandleStats(aReply);
  } else if (path == "/seen") {
    this->HandleSeen(aReply);
  } else {
    this->RecordRequest(aRequest);
    this->model.WaitWhileFrozen();
    if (path == "/load") {
      this->HandleLoad(aReply);
    } else if (path == "/v1/chat/completions") {
      this->HandleCompletion(aRequest, aReply);
    } else {
      this->HandleProgramRequest(aRequest, aReply);
    }
  }
}

bool
EngineHttp::HasStaleFencing(const HttpRequest& aRequest,
                            const std::string& aProgram)
{
  const int64_t number = ParseIntHeader(aRequest, "X-Fencing", -1);
  if (!this->checksFencing || number < 0) {
    return false;
  }
  std::lock_guard<std::mutex> lock(this->mutex);
  int64_t& highest = this->highestFencing[aProgram];
  if (number < highest) {
    return true;
  }
  highest = number;
  return false;
}

void
EngineHttp::HandleCompletion(const HttpRequest& aRequest, HttpReply& aReply)
{
  const json body = json::parse(aRequest.body, nullptr, false);
  if (!body.is_object() || !body.contains("messages") ||
      !body["messages"].is_array()) {
    return SendError(aReply, 400, "body has no \"messages\" array");
  }
  CompletionRequest request;
  request.program = FirstHeader(aRequest.headers, "X-Program").value_or("");
  request.id = FirstHeader(aRequest.headers, "X-Request-Id").value_or("");
  request.id = request.id.empty() ? "engine-" + RandomHex(8) : request.id;
  request.chain = HashMessages(body["messages"]);
  const auto maxTokens = body.find("max_tokens");
  if (maxTokens != body.end() && maxTokens->is_number_integer()) {
    request.maxTokens = std::max<int64_t>(1, maxTokens->get<int64_t>());
  }
  if (this->HasStaleFencing(aRequest, request.program)) {
    return SendError(
      aReply, 409, "X-Fencing is below the highest seen for the program");
  }
  const bool stream = body.value("stream", false);
  PendingResponse response;
  response.id = request.id;
  response.sent = ParseIntHeader(aRequest, "X-Resume-From", 0);
  response.faults = this->faults.Plan(response.sent, request.maxTokens);
  std::this_thread::sleep_for(response.faults.delay);
  if (response.faults.status != 0) {
    return SendError(
      aReply, response.faults.status, "status fault set by /control");
  }
  response.sequence = response.sent > 0
                        ? this->model.Resume(request, response.sent)
                        : this->model.Submit(request);
  if (!response.sequence) {
    return SendError(aReply, 404, "no sequence to resume from X-Resume-From");
  }
  if (stream) {
    this->StreamResponse(response, aReply);
  } else {
    this->SendFullResponse(response, aReply);
  }
  this->model.Detach(*response.sequence);
}

json
EngineHttp::MakeChunk(const PendingResponse& aResponse, int64_t aIndex) const
{
  const bool crossed = IsCrossed(aResponse.faults, aIndex);
  return { { "id", crossed ? CrossedId(aResponse.id) : aResponse.id },
           { "object", "chat.completion.chunk" },
           { "model", this->name },
           { "index", aIndex } };
}

// Sends the tokens before aEndIndex.
bool
EngineHttp::StreamTokens(PendingResponse& aResponse,
                         HttpReply& aReply,
                         int64_t aEndIndex)
{
  std::string events;
  bool dropped = false;
  while (aResponse.sent < aEndIndex && !dropped) {
    const int64_t index = aResponse.sent;
    dropped = aResponse.faults.dropAt && index >= *aResponse.faults.dropAt;
    if (dropped) {
      break;
    }
    const bool crossed = IsCrossed(aResponse.faults, index);
    const uint64_t mask = crossed ? kCrossedSeedMask : 0;
    json chunk = this->MakeChunk(aResponse, index);
    const std::string token =
      ResponseToken(aResponse.sequence->seed ^ mask, index);
    chunk["choices"] = json::array(
      { { { "index", 0 }, { "delta", { { "content", token } } } } });
    events += "data: " + chunk.dump() + "\n\n";
    ++aResponse.sent;
  }
  const bool written = events.empty() || aReply.Write(std::move(events));
  return written && !dropped;
}

void
EngineHttp::StreamResponse(PendingResponse& aResponse, HttpReply& aReply)
{
  const std::string id = IsCrossed(aResponse.faults, aResponse.sent)
                           ? CrossedId(aResponse.id)
                           : aResponse.id;
  aReply.Begin(
    200, { { "Content-Type", "text/event-stream" }, { "X-Request-Id", id } });
  Sequence& sequence = *aResponse.sequence;
  bool open = true;
  while (open) {
    const Progress progress =
      this->model.Wait(sequence, aResponse.sent, kMaxWait);
    if (progress.generated > aResponse.sent) {
      open = this->StreamTokens(aResponse, aReply, progress.generated);
    } else if (progress.ended) {
      break;
    } else if (!this->model.Frozen()) {
      // An SSE comment, so that a client disconnect is detected while waiting.
      open = aReply.Write(": waiting\n\n");
    }
  }
  if (open && aResponse.sent >= sequence.request.maxTokens) {
    json last = this->MakeChunk(aResponse, aResponse.sent);
    last["choices"] = json::array({ { { "index", 0 },
                                      { "delta", json::object() },
                                      { "finish_reason", "length" } } });
    last["usage"] = MakeUsage(sequence);
    aReply.Write("data: " + last.dump() + "\n\ndata: [DONE]\n\n");
  }
  aReply.End();
}

void
EngineHttp::SendFullResponse(PendingResponse& aResponse, HttpReply& aReply)
{
  Sequence& sequence = *aResponse.sequence;
  Progress progress;
  while (!progress.ended) {
    progress = this->model.Wait(sequence, sequence.request.maxTokens, kMaxWait);
  }
  if (progress.generated < sequence.request.maxTokens) {
    return SendError(aReply, 503, "engine is stopping");
  }
  const bool crossed = aResponse.faults.crossAt.has_value();
  const std::string id = crossed ? CrossedId(aResponse.id) : aResponse.id;
  const std::string text =
    ResponseText(sequence.seed ^ (crossed ? kCrossedSeedMask : 0),
                 sequence.request.maxTokens);
  const json body = {
    { "id", id },
    { "object", "chat.completion" },
    { "model", this->name },
    { "choices",
      json::array(
        { { { "index", 0 },
            { "message", { { "role", "assistant" }, { "content", text } } },
            { "finish_reason", "length" } } }) },
    { "usage", MakeUsage(sequence) }
  };
  aReply.Send(
    200,
    { { "Content-Type", "application/json" }, { "X-Request-Id", id } },
    body.dump());
}

void
EngineHttp::HandleProgramRequest(const HttpRequest& aRequest, HttpReply& aReply)
{
  const json body = json::parse(aRequest.body, nullptr, false);
  if (!body.is_object() || !body.contains("program") ||
      !body["program"].is_string()) {
    return SendError(aReply, 400, "body has no \"program\" string");
  }
  const std::string program = body["program"];
  if (this->HasStaleFencing(aRequest, program)) {
    return SendError(
      aReply, 409, "X-Fencing is below the highest seen for the program");
  }
  const PathFault fault = this->faults.FaultForPath(aRequest.path);
  if (fault.status != 0) {
    return SendError(aReply, fault.status, "path fault set by /control");
  }
  if (aRequest.path == "/release") {
    this->model.Release(program);
    return SendJson(aReply, 200, { { "released", program } });
  }
  if (aRequest.path == "/kv/export") {
    json blocks = json::array();
    int64_t tokens = 0;
    for (const PrefixBlock& block : this->model.Export(program)) {
      blocks.push_back({ block.hash, block.tokens });
      tokens += block.tokens;
    }
    return SendJson(
      aReply, 200, { { "tokens", tokens }, { "blob", blocks.dump() } });
  }
  if (aRequest.path == "/kv/import") {
    const json blocks =
      json::parse(body.value("blob", std::string()), nullptr, false);
    if (!blocks.is_array()) {
      return SendError(aReply, 400, "\"blob\" is not a JSON array");
    }
    std::vector<PrefixBlock> chain;
    for (const json& block : blocks) {
      chain.push_back(
        { block.at(0).get<uint64_t>(), block.at(1).get<int64_t>() });
    }
    this->model.Import(program, chain);
    std::this_thread::sleep_for(fault.hang);
    return SendJson(aReply, 200, { { "imported", chain.size() } });
  }
  SendError(aReply, 404, "unknown path");
}

void
EngineHttp::HandleControl(const HttpRequest& aRequest, HttpReply& aReply)
{
  const json body = json::parse(aRequest.body, nullptr, false);
  if (!body.is_object()) {
    return SendError(aReply, 400, "body is not a JSON object");
  }
  this->faults.Set(body);
  if (body.contains("freeze_ms")) {
    this->model.Freeze(Millis(body["freeze_ms"].get<int64_t>()));
  }
  if (body.contains("reset_peak")) {
    this->model.ResetPeak();
  }
  SendJson(aReply, 200, { { "set", true } });
}

void
EngineHttp::HandleLoad(HttpReply& aReply)
{
  const LoadReport report = this->model.Report();
  const double scale = this->settings.timeScale;
  SendJson(aReply,
           200,
           { { "running", report.running },
             { "queued", report.queued },
             { "prefill_millis_per_token",
               this->settings.prefillMillisPerToken * scale },
             { "decode_millis_per_token",
               this->settings.decodeMillisPerToken * scale },
             { "age_millis", MillisBetween(report.takenAt, Now()) },
             { "held_programs", report.programs } });
}

void
EngineHttp::HandleStats(HttpReply& aReply)
{
  const EngineStats stats = this->model.Stats();
  SendJson(aReply,
           200,
           { { "name", this->name },
             { "prefilled_tokens", stats.prefilledTokens },
             { "cached_tokens", stats.cachedTokens },
             { "generated_tokens", stats.generatedTokens },
             { "requests", stats.requests },
             { "cancelled", stats.cancelled },
             { "wasted", stats.recomputedTokens },
             { "peak_in_flight", stats.peakInFlight },
             { "held_tokens", stats.heldTokens },
             { "held_programs", stats.heldPrograms } });
}

void
EngineHttp::RecordRequest(const HttpRequest& aRequest)
{
  std::string text = aRequest.method + " " + aRequest.path;
  text += aRequest.query.empty() ? "\n" : "?" + aRequest.query + "\n";
  for (const auto& header : aRequest.headers) {
    text += header.first + ": " + header.second + "\n";
  }
  text += "\n" + aRequest.body + "\n\n";
  std::lock_guard<std::mutex> lock(this->mutex);
  this->recordedBytes += text.size();
  this->recordedRequests.push_back(std::move(text));
  while (this->recordedBytes > kMaxRecordedBytes) {
    this->recordedBytes -= this->recordedRequests.front().size();
    this->recordedRequests.pop_front();
  }
}

void
EngineHttp::HandleSeen(HttpReply& aReply)
{
  std::string all;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    for (const std::string& text : this->recordedRequests) {
      all += text;
    }
  }
  aReply.Send(200, { { "Content-Type", "text/plain" } }, std::move(all));
}

} // namespace tanagerseam::standin
