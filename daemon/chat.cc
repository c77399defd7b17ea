#include "daemon/chat.h"

#include <algorithm>

#include "kernel/clock.h"

namespace tanagerseam {

namespace {

using Json = nlohmann::json;

// Tokens added to the bound for each message, besides those of its text.
constexpr int64_t kTokenOverheadPerMessage = 8;
constexpr int64_t kMaxTokensLimit = 1000000;
constexpr size_t kMaxMessages = 10000;

Refusal
MalformedRequest(const std::string& aDetail)
{
  return MakeRefusal(RefusalReason::kMalformedRequest, aDetail);
}

std::string
DumpJson(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Json
UsageJson(const CompletionInfo& aInfo)
{
  Json usage;
  usage["prompt_tokens"] = aInfo.promptTokens;
  usage["completion_tokens"] = aInfo.completionTokens;
  usage["total_tokens"] = aInfo.promptTokens + aInfo.completionTokens;
  usage["prompt_tokens_details"] = { { "cached_tokens", aInfo.cachedTokens } };
  return usage;
}

// Whether arrays and objects nest deeper than kMaxJsonDepth. Brackets inside
// strings are not counted.
bool
NestsTooDeep(const std::string& aText)
{
  size_t depth = 0;
  bool inString = false;
  for (size_t i = 0; i < aText.size(); ++i) {
    const char character = aText[i];
    if (inString && character == '\\') {
      ++i;
    } else if (character == '"') {
      inString = !inString;
    } else if (!inString && (character == '[' || character == '{')) {
      if (++depth > kMaxJsonDepth) {
        return true;
      }
    } else if (!inString && (character == ']' || character == '}') &&
               depth > 0) {
      --depth;
    }
  }
  return false;
}

bool
IsMaxTokens(const Json& aValue)
{
  return aValue.is_number_integer() && aValue >= 1 && aValue <= kMaxTokensLimit;
}

bool
IsNumber(const Json& aValue)
{
  return aValue.is_number();
}

bool
IsInteger(const Json& aValue)
{
  return aValue.is_number_integer();
}

bool
IsBoolean(const Json& aValue)
{
  return aValue.is_boolean();
}

bool
IsString(const Json& aValue)
{
  return aValue.is_string();
}

bool
IsArray(const Json& aValue)
{
  return aValue.is_array();
}

bool
IsObject(const Json& aValue)
{
  return aValue.is_object();
}

bool
IsStringOrObject(const Json& aValue)
{
  return aValue.is_string() || aValue.is_object();
}

bool
IsOne(const Json& aValue)
{
  return aValue.is_number_integer() && aValue == 1;
}

bool
IsStopSequences(const Json& aValue)
{
  const auto isString = [](const Json& aItem) { return aItem.is_string(); };
  return aValue.is_string() ||
         (aValue.is_array() &&
          std::all_of(aValue.begin(), aValue.end(), isString));
}

bool
IsMessages(const Json& aValue)
{
  return aValue.is_array() && !aValue.empty() && aValue.size() <= kMaxMessages;
}

struct FieldSchema
{
  const char* name;
  bool (*isValid)(const Json&);
  const char* expected;
  bool required;
};

// Fields whose type is checked. Other fields are passed to the engine
// unchanged.
constexpr FieldSchema kFieldSchemas[] = {
  { "model", IsString, "a string", true },
  { "messages", IsMessages, "an array of 1 to 10000 objects", true },
  { "max_tokens", IsMaxTokens, "an integer from 1 to 1000000", false },
  { "max_completion_tokens",
    IsMaxTokens,
    "an integer from 1 to 1000000",
    false },
  { "stream", IsBoolean, "true or false", false },
  { "stream_options", IsObject, "an object", false },
  { "n", IsOne, "1 (multiple choices are not supported)", false },
  { "temperature", IsNumber, "a number", false },
  { "top_p", IsNumber, "a number", false },
  { "presence_penalty", IsNumber, "a number", false },
  { "frequency_penalty", IsNumber, "a number", false },
  { "seed", IsInteger, "an integer", false },
  { "logprobs", IsBoolean, "true or false", false },
  { "top_logprobs", IsInteger, "an integer", false },
  { "parallel_tool_calls", IsBoolean, "true or false", false },
  { "stop", IsStopSequences, "a string or an array of strings", false },
  { "user", IsString, "a string", false },
  { "tools", IsArray, "an array", false },
  { "tool_choice", IsStringOrObject, "a string or an object", false },
  { "response_format", IsObject, "an object", false },
  { "logit_bias", IsObject, "an object", false },
  { "metadata", IsObject, "an object", false },
};

// Null is treated as absent, because client libraries send it for unset
// options.
std::optional<Refusal>
CheckFields(const Json& aJson)
{
  for (const FieldSchema& schema : kFieldSchemas) {
    const auto found = aJson.find(schema.name);
    const bool absent = found == aJson.end() || found->is_null();
    const bool isValid = absent ? !schema.required : schema.isValid(*found);
    if (!isValid) {
      return MalformedRequest(std::string(schema.name) + ": " +
                              schema.expected + " is required");
    }
  }
  return std::nullopt;
}

std::optional<Refusal>
CheckMessage(const Json& aMessage)
{
  if (!aMessage.is_object() || !aMessage.contains("role") ||
      !aMessage["role"].is_string()) {
    return MalformedRequest(
      "messages: each message must have a role of type string");
  }
  const auto content = aMessage.find("content");
  const bool contentValid =
    content == aMessage.end() || content->is_string() || content->is_null() ||
    (content->is_array() &&
     std::all_of(content->begin(), content->end(), IsObject));
  if (!contentValid) {
    return MalformedRequest(
      "messages: content must be a string, null or an array of objects");
  }
  return std::nullopt;
}

// Caller fields that are not passed on: EngineBody or the daemon sets them.
constexpr const char* kFieldsSetByDaemon[] = {
  "model",  "messages",      "max_tokens", "max_completion_tokens",
  "stream", "stream_options"
};

Json
MakeEventJson(const StreamMetadata& aMetadata)
{
  Json json;
  json["id"] = aMetadata.id;
  json["object"] = "chat.completion.chunk";
  json["created"] = aMetadata.created;
  json["model"] = aMetadata.model;
  json["choices"] = Json::array();
  if (aMetadata.includeUsage) {
    json["usage"] = nullptr;
  }
  return json;
}

std::string
EncodeChoiceEvent(const StreamMetadata& aMetadata,
                  Json aDelta,
                  Json aFinishReason)
{
  Json choice;
  choice["index"] = 0;
  choice["delta"] = std::move(aDelta);
  choice["finish_reason"] = std::move(aFinishReason);
  Json json = MakeEventJson(aMetadata);
  json["choices"].push_back(std::move(choice));
  return "data: " + DumpJson(json) + "\n\n";
}

} // namespace

Result<Json>
ParseJsonObject(const std::string& aBody)
{
  if (NestsTooDeep(aBody)) {
    return MalformedRequest("the body nests deeper than " +
                            std::to_string(kMaxJsonDepth) + " levels");
  }
  Json json = Json::parse(aBody, nullptr, false);
  if (!json.is_object()) {
    return MalformedRequest("the body must be a JSON object in UTF-8");
  }
  return json;
}

Result<ChatRequest>
ParseChat(const std::string& aBody)
{
  Result<Json> parsed = ParseJsonObject(aBody);
  if (!IsOk(parsed)) {
    return std::get<Refusal>(parsed);
  }
  Json& json = std::get<Json>(parsed);
  if (auto bad = CheckFields(json)) {
    return *bad;
  }
  for (const Json& message : json["messages"]) {
    if (auto bad = CheckMessage(message)) {
      return *bad;
    }
  }
  ChatRequest request;
  request.model = json["model"].get<std::string>();
  request.messages = json["messages"];
  for (const char* name : { "max_tokens", "max_completion_tokens" }) {
    if (json.contains(name) && !json[name].is_null()) {
      request.maxTokens = json[name].get<int64_t>();
    }
  }
  request.stream = json.contains("stream") && json["stream"] == true;
  if (json.contains("stream_options") && json["stream_options"].is_object()) {
    const Json usage = json["stream_options"].value("include_usage", Json());
    if (!usage.is_null() && !usage.is_boolean()) {
      return MalformedRequest(
        "stream_options.include_usage: true or false is required");
    }
    request.includeUsage = usage == true;
  }
  for (const char* field : kFieldsSetByDaemon) {
    json.erase(field);
  }
  request.other = std::move(json);
  return request;
}

int64_t
TokenBound(const Json& aMessages)
{
  const int64_t bytes = int64_t(DumpJson(aMessages).size());
  return bytes + kTokenOverheadPerMessage * int64_t(aMessages.size());
}

Json
WithHistory(const ProgramState& aProgram, const Json& aMessages)
{
  Json all = Json::array();
  for (const auto& turn : aProgram.turns) {
    if (turn->kind != "model") {
      continue;
    }
    for (Json& message : Json::parse(turn->request)) {
      all.push_back(std::move(message));
    }
    all.push_back(Json::parse(turn->message));
  }
  for (const Json& message : aMessages) {
    all.push_back(message);
  }
  return all;
}

std::string
EngineBody(const ChatRequest& aRequest,
           const Json& aMessages,
           int64_t aMaxTokens)
{
  Json body = aRequest.other;
  body["model"] = aRequest.model;
  body["messages"] = aMessages;
  body["max_tokens"] = aMaxTokens;
  return DumpJson(body);
}

std::string
CompletionBody(const std::string& aRequestId,
               const std::string& aText,
               const CompletionInfo& aInfo)
{
  Json choice;
  choice["index"] = 0;
  choice["message"] = { { "role", "assistant" }, { "content", aText } };
  choice["finish_reason"] = aInfo.finishReason;
  Json json;
  json["id"] = aRequestId;
  json["object"] = "chat.completion";
  json["created"] = WallMillis() / 1000;
  json["model"] = aInfo.model;
  json["choices"] = Json::array({ choice });
  json["usage"] = UsageJson(aInfo);
  return DumpJson(json);
}

std::string
FirstEvent(const StreamMetadata& aMetadata)
{
  return EncodeChoiceEvent(
    aMetadata, Json{ { "role", "assistant" }, { "content", "" } }, nullptr);
}

std::string
ChunkEvent(const StreamMetadata& aMetadata, std::string_view aText)
{
  return EncodeChoiceEvent(
    aMetadata, Json{ { "content", std::string(aText) } }, nullptr);
}

std::string
LastEvents(const StreamMetadata& aMetadata, const CompletionInfo& aInfo)
{
  std::string events =
    EncodeChoiceEvent(aMetadata, Json::object(), aInfo.finishReason);
  if (aMetadata.includeUsage) {
    Json json = MakeEventJson(aMetadata);
    json["usage"] = UsageJson(aInfo);
    events += "data: " + DumpJson(json) + "\n\n";
  }
  return events + "data: [DONE]\n\n";
}

std::string
EncodeCompletionInfo(const CompletionInfo& aInfo)
{
  return DumpJson(Json{ { "finish_reason", aInfo.finishReason },
                        { "model", aInfo.model },
                        { "prompt_tokens", aInfo.promptTokens },
                        { "cached_tokens", aInfo.cachedTokens },
                        { "completion_tokens", aInfo.completionTokens } });
}

CompletionInfo
DecodeCompletionInfo(const std::string& aText)
{
  const Json json = Json::parse(aText, nullptr, false);
  CompletionInfo info;
  if (!json.is_object()) {
    return info;
  }
  info.finishReason = json.value("finish_reason", "");
  info.model = json.value("model", "");
  info.promptTokens = json.value("prompt_tokens", int64_t(0));
  info.cachedTokens = json.value("cached_tokens", int64_t(0));
  info.completionTokens = json.value("completion_tokens", int64_t(0));
  return info;
}

} // namespace tanagerseam
