#include "daemon/caller_front_parse.h"

#include <algorithm>

namespace tanagerseam {

namespace {

using Json = nlohmann::json;

constexpr const char* kChatPath = "/v1/chat/completions";
constexpr const char* kModelsPath = "/v1/models";
constexpr const char* kProgramsPath = "/v1/programs";
constexpr const char* kServicesPath = "/v1/services/";
constexpr const char* kJsonType = "application/json";
constexpr size_t kMaxIdempotencyKeyLength = 255;
constexpr size_t kMaxProgramIdLength = 64;
constexpr size_t kMaxRequestIdLength = 64;
constexpr int64_t kMaxCallNumber = 1000000;
constexpr int64_t kMaxTimeoutMillis = 3600000;
constexpr int64_t kMaxBudgetTokens = 1000000000;
constexpr int64_t kMaxTurns = 1000000;
constexpr int64_t kMaxSeconds = 2592000;

Refusal
Malformed(const std::string& aDetail)
{
  return MakeRefusal(RefusalReason::kMalformedRequest, aDetail);
}

Refusal
MethodNotAllowed(const std::string& aAllowed)
{
  return MakeRefusal(RefusalReason::kMethodNotAllowed,
                     "method not allowed; use " + aAllowed);
}

bool
StartsWith(const std::string& aText, const std::string& aPrefix)
{
  return aText.compare(0, aPrefix.size(), aPrefix) == 0;
}

bool
HasOnlyIdCharacters(const std::string& aText)
{
  return std::all_of(aText.begin(), aText.end(), [](unsigned char aCharacter) {
    return isalnum(aCharacter) != 0 || aCharacter == '-' || aCharacter == '_' ||
           aCharacter == '.';
  });
}

// Visible ASCII can be written to logs, records and headers without escaping.
bool
IsVisibleAscii(const std::string& aText)
{
  return std::all_of(aText.begin(), aText.end(), [](unsigned char aCharacter) {
    return aCharacter > 0x20 && aCharacter < 0x7F;
  });
}

// Value of a header that may occur at most once; empty if absent.
Result<std::string>
SingleHeader(const HttpRequest& aRequest, const char* aName)
{
  const auto values = HeaderValues(aRequest.headers, aName);
  if (values.size() > 1) {
    return Malformed(std::string(aName) + " header is given more than once");
  }
  return values.empty() ? std::string() : values[0];
}

// Value of a header that must be an integer in [1, aMax]; 0 if absent.
Result<int64_t>
PositiveIntegerHeader(const HttpRequest& aRequest,
                      const char* aName,
                      int64_t aMax)
{
  Result<std::string> text = SingleHeader(aRequest, aName);
  if (!IsOk(text)) {
    return std::get<Refusal>(text);
  }
  const std::string& digits = std::get<std::string>(text);
  if (digits.empty()) {
    return int64_t(0);
  }
  constexpr size_t kMaxDigits = 15;
  const bool isNumber =
    digits.size() <= kMaxDigits &&
    std::all_of(digits.begin(), digits.end(), [](unsigned char aCharacter) {
      return isdigit(aCharacter) != 0;
    });
  const int64_t value = isNumber ? std::stoll(digits) : 0;
  if (value < 1 || value > aMax) {
    return Malformed(std::string(aName) + " must be an integer from 1 to " +
                     std::to_string(aMax));
  }
  return value;
}

std::optional<Refusal>
CheckJsonType(const HttpRequest& aRequest)
{
  Result<std::string> type = SingleHeader(aRequest, "Content-Type");
  if (!IsOk(type)) {
    return std::get<Refusal>(type);
  }
  const std::string& text = std::get<std::string>(type);
  std::string media = text.substr(0, text.find(';'));
  media.erase(media.find_last_not_of(" \t") + 1);
  if (!text.empty() && !EqualsIgnoringCase(media, kJsonType)) {
    return MakeRefusal(RefusalReason::kUnsupportedMediaType, media);
  }
  return std::nullopt;
}

std::optional<Refusal>
CheckNoBody(const HttpRequest& aRequest)
{
  if (!aRequest.body.empty()) {
    return Malformed(aRequest.method + " request must not have a body");
  }
  return std::nullopt;
}

std::optional<Refusal>
ParseChatTarget(const HttpRequest& aRequest, ParsedTarget& aOut)
{
  if (aRequest.method != "POST") {
    return MethodNotAllowed("POST");
  }
  aOut.call.operation = CallOperation::kModelCall;
  return CheckJsonType(aRequest);
}

std::optional<Refusal>
ParseModelsTarget(const HttpRequest& aRequest, ParsedTarget& aOut)
{
  if (aRequest.method != "GET") {
    return MethodNotAllowed("GET");
  }
  aOut.target = CallerTarget::kModels;
  const size_t nameOffset = std::string(kModelsPath).size() + 1;
  aOut.call.path =
    aRequest.path.size() > nameOffset ? aRequest.path.substr(nameOffset) : "";
  return CheckNoBody(aRequest);
}

std::optional<Refusal>
ParseProgramsTarget(const HttpRequest& aRequest, ParsedTarget& aOut)
{
  if (aRequest.path == kProgramsPath) {
    if (aRequest.method != "POST") {
      return MethodNotAllowed("POST");
    }
    aOut.call.operation = CallOperation::kOpenProgram;
    return aRequest.body.empty() ? std::nullopt : CheckJsonType(aRequest);
  }
  const std::string id =
    aRequest.path.substr(std::string(kProgramsPath).size() + 1);
  if (id.empty() || id.size() > kMaxProgramIdLength ||
      !HasOnlyIdCharacters(id)) {
    return MakeRefusal(RefusalReason::kProgramNotFound, "no such program");
  }
  aOut.call.program = id;
  if (aRequest.method == "GET") {
    aOut.call.operation = CallOperation::kGetProgram;
  } else if (aRequest.method == "DELETE") {
    aOut.call.operation = CallOperation::kEndProgram;
  } else {
    return MethodNotAllowed("GET or DELETE");
  }
  return CheckNoBody(aRequest);
}

std::optional<Refusal>
ParseServiceTarget(const HttpRequest& aRequest, ParsedTarget& aOut)
{
  if (aRequest.method != "POST") {
    return MethodNotAllowed("POST");
  }
  aOut.call.operation = CallOperation::kServiceCall;
  const std::string rest =
    aRequest.path.substr(std::string(kServicesPath).size());
  const size_t slash = rest.find('/');
  aOut.call.route = rest.substr(0, slash);
  aOut.call.path = slash == std::string::npos ? "/" : rest.substr(slash);
  if (!aRequest.query.empty()) {
    aOut.call.path += "?" + aRequest.query;
  }
  return std::nullopt;
}

// Checks an optional field that must be an integer in [1, aMax].
std::optional<Refusal>
CheckOptionalCount(const Json& aJson, const char* aName, int64_t aMax)
{
  const auto found = aJson.find(aName);
  if (found == aJson.end()) {
    return std::nullopt;
  }
  const bool valid =
    found->is_number_integer() && *found >= 1 && *found <= aMax;
  if (!valid) {
    return Malformed(std::string(aName) + " must be an integer from 1 to " +
                     std::to_string(aMax) + " inclusive");
  }
  return std::nullopt;
}

} // namespace

Result<ParsedTarget>
ParseTarget(const HttpRequest& aRequest)
{
  ParsedTarget out;
  const std::string& path = aRequest.path;
  std::optional<Refusal> refusal;
  if (!IsVisibleAscii(path) || !IsVisibleAscii(aRequest.query)) {
    refusal = Malformed("the path and query must be percent-encoded ASCII");
  } else if (path == kChatPath) {
    refusal = ParseChatTarget(aRequest, out);
  } else if (path == kModelsPath ||
             StartsWith(path, std::string(kModelsPath) + "/")) {
    refusal = ParseModelsTarget(aRequest, out);
  } else if (path == kProgramsPath ||
             StartsWith(path, std::string(kProgramsPath) + "/")) {
    refusal = ParseProgramsTarget(aRequest, out);
  } else if (StartsWith(path, kServicesPath)) {
    refusal = ParseServiceTarget(aRequest, out);
  } else {
    refusal = MakeRefusal(RefusalReason::kUnknownRoute, "no such route");
  }
  if (refusal) {
    return *refusal;
  }
  return out;
}

bool
ExposesApiKey(const HttpRequest& aRequest)
{
  for (const auto& value : HeaderValues(aRequest.headers, "Authorization")) {
    constexpr size_t kSchemeLength = 7;
    // Shorter keys may occur in other texts by chance.
    constexpr size_t kMinKeyLength = 8;
    if (value.size() < kSchemeLength + kMinKeyLength) {
      continue;
    }
    const std::string key = value.substr(kSchemeLength);
    const auto contains = [&key](const std::string& aText) {
      return aText.find(key) != std::string::npos;
    };
    if (contains(aRequest.path) || contains(aRequest.query) ||
        contains(aRequest.body)) {
      return true;
    }
    for (const auto& header : aRequest.headers) {
      if (!EqualsIgnoringCase(header.first, "Authorization") &&
          contains(header.second)) {
        return true;
      }
    }
  }
  return false;
}

Result<std::string>
ParseBearerKey(const HttpRequest& aRequest)
{
  const auto values = HeaderValues(aRequest.headers, "Authorization");
  if (values.empty()) {
    return MakeRefusal(RefusalReason::kKeyMissing, "no Authorization header");
  }
  if (values.size() > 1) {
    return Malformed("Authorization header is given more than once");
  }
  const std::string scheme = "Bearer ";
  const std::string& value = values[0];
  const bool isBearer =
    value.size() > scheme.size() &&
    EqualsIgnoringCase(value.substr(0, scheme.size()), scheme);
  if (!isBearer) {
    return MakeRefusal(RefusalReason::kKeyMissing,
                       "the Authorization header must be 'Bearer KEY'");
  }
  return value.substr(scheme.size());
}

Result<CallHeaderValues>
ParseCallHeaders(const HttpRequest& aRequest)
{
  Result<std::string> program = SingleHeader(aRequest, "X-Program");
  Result<int64_t> call =
    PositiveIntegerHeader(aRequest, "X-Call", kMaxCallNumber);
  Result<int64_t> timeout =
    PositiveIntegerHeader(aRequest, "X-Timeout-Ms", kMaxTimeoutMillis);
  Result<std::string> key = SingleHeader(aRequest, "Idempotency-Key");
  for (const Refusal* refusal : { std::get_if<Refusal>(&program),
                                  std::get_if<Refusal>(&call),
                                  std::get_if<Refusal>(&timeout),
                                  std::get_if<Refusal>(&key) }) {
    if (refusal != nullptr) {
      return *refusal;
    }
  }
  CallHeaderValues out;
  out.program = std::get<std::string>(program);
  if (out.program.size() > kMaxProgramIdLength ||
      !HasOnlyIdCharacters(out.program)) {
    return MakeRefusal(RefusalReason::kProgramNotFound, "no such program");
  }
  out.call = std::get<int64_t>(call);
  out.timeoutMillis = std::get<int64_t>(timeout);
  out.idempotencyKey = std::get<std::string>(key);
  if (out.idempotencyKey.size() > kMaxIdempotencyKeyLength ||
      !IsVisibleAscii(out.idempotencyKey)) {
    return Malformed("Idempotency-Key must be at most 255 visible ASCII "
                     "characters, no spaces");
  }
  return out;
}

std::optional<std::string>
CallerRequestId(const HttpRequest& aRequest)
{
  const auto values = HeaderValues(aRequest.headers, "X-Request-Id");
  const bool wellFormed = values.size() == 1 && !values[0].empty() &&
                          values[0].size() <= kMaxRequestIdLength &&
                          HasOnlyIdCharacters(values[0]);
  return wellFormed ? std::optional<std::string>(values[0]) : std::nullopt;
}

std::optional<Refusal>
CheckOpenProgramBody(const std::string& aBody)
{
  if (aBody.empty()) {
    return std::nullopt;
  }
  Result<Json> parsed = ParseJsonObject(aBody);
  if (!IsOk(parsed)) {
    return std::get<Refusal>(parsed);
  }
  const Json& json = std::get<Json>(parsed);
  for (const auto& item : json.items()) {
    const bool known = item.key() == "budget_tokens" ||
                       item.key() == "max_turns" ||
                       item.key() == "max_seconds" || item.key() == "urgency" ||
                       item.key() == "parent";
    if (!known) {
      return Malformed("unknown field; the fields are budget_tokens, "
                       "max_turns, max_seconds, urgency and parent");
    }
  }
  if (auto refusal =
        CheckOptionalCount(json, "budget_tokens", kMaxBudgetTokens)) {
    return refusal;
  }
  if (auto refusal = CheckOptionalCount(json, "max_turns", kMaxTurns)) {
    return refusal;
  }
  if (auto refusal = CheckOptionalCount(json, "max_seconds", kMaxSeconds)) {
    return refusal;
  }
  if (json.contains("urgency") && json["urgency"] != "urgent" &&
      json["urgency"] != "normal" && json["urgency"] != "background") {
    return Malformed("urgency must be urgent, normal or background");
  }
  const bool parentValid =
    !json.contains("parent") ||
    (json["parent"].is_string() &&
     json["parent"].get<std::string>().size() <= kMaxProgramIdLength &&
     HasOnlyIdCharacters(json["parent"].get<std::string>()));
  if (!parentValid) {
    return Malformed("parent must be a program identifier");
  }
  return std::nullopt;
}

} // namespace tanagerseam
