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
constexpr size_t kMaxIdempotencyKey = 255;
constexpr size_t kMaxProgramId = 64;
constexpr size_t kMaxRequestId = 64;
constexpr int64_t kMaxCall = 1000000;
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
WrongMethod(const std::string& aAllowed)
{
  return MakeRefusal(RefusalReason::kMethodNotAllowed, "use " + aAllowed);
}

bool
StartsWith(const std::string& aText, const std::string& aPrefix)
{
  return aText.compare(0, aPrefix.size(), aPrefix) == 0;
}

bool
IsPlainWord(const std::string& aText)
{
  return std::all_of(aText.begin(), aText.end(), [](unsigned char aLetter) {
    return isalnum(aLetter) != 0 || aLetter == '-' || aLetter == '_' ||
           aLetter == '.';
  });
}

// Visible ASCII: what may stand in logs, records and headers unchanged.
bool
IsVisibleAscii(const std::string& aText)
{
  return std::all_of(aText.begin(), aText.end(), [](unsigned char aLetter) {
    return aLetter > 0x20 && aLetter < 0x7F;
  });
}

// A header that may be given at most once; empty if it is absent.
Result<std::string>
SingleHeader(const HttpRequest& aRequest, const char* aName)
{
  const auto values = HeaderValues(aRequest.headers, aName);
  if (values.size() > 1) {
    return Malformed(std::string(aName) + " is given more than once");
  }
  return values.empty() ? std::string() : values[0];
}

// A header that holds a whole number in [1, aMax]; 0 if it is absent.
Result<int64_t>
NumberHeader(const HttpRequest& aRequest, const char* aName, int64_t aMax)
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
    std::all_of(digits.begin(), digits.end(), [](unsigned char aLetter) {
      return isdigit(aLetter) != 0;
    });
  const int64_t value = isNumber ? std::stoll(digits) : 0;
  if (value < 1 || value > aMax) {
    return Malformed(std::string(aName) + " must be a whole number from 1 to " +
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
    return Malformed(aRequest.method + " takes no body");
  }
  return std::nullopt;
}

std::optional<Refusal>
ParseChatTarget(const HttpRequest& aRequest, ParsedTarget& aOut)
{
  if (aRequest.method != "POST") {
    return WrongMethod("POST");
  }
  aOut.call.operation = CallOperation::kModelCall;
  return CheckJsonType(aRequest);
}

std::optional<Refusal>
ParseModelsTarget(const HttpRequest& aRequest, ParsedTarget& aOut)
{
  if (aRequest.method != "GET") {
    return WrongMethod("GET");
  }
  aOut.target = CallerTarget::kModels;
  const size_t name = std::string(kModelsPath).size() + 1;
  aOut.call.path =
    aRequest.path.size() > name ? aRequest.path.substr(name) : "";
  return CheckNoBody(aRequest);
}

std::optional<Refusal>
ParseProgramsTarget(const HttpRequest& aRequest, ParsedTarget& aOut)
{
  if (aRequest.path == kProgramsPath) {
    if (aRequest.method != "POST") {
      return WrongMethod("POST");
    }
    aOut.call.operation = CallOperation::kOpenProgram;
    return aRequest.body.empty() ? std::nullopt : CheckJsonType(aRequest);
  }
  const std::string id =
    aRequest.path.substr(std::string(kProgramsPath).size() + 1);
  if (id.empty() || id.size() > kMaxProgramId || !IsPlainWord(id)) {
    return MakeRefusal(RefusalReason::kProgramNotFound, "no such program");
  }
  aOut.call.program = id;
  if (aRequest.method == "GET") {
    aOut.call.operation = CallOperation::kGetProgram;
  } else if (aRequest.method == "DELETE") {
    aOut.call.operation = CallOperation::kEndProgram;
  } else {
    return WrongMethod("GET or DELETE");
  }
  return CheckNoBody(aRequest);
}

std::optional<Refusal>
ParseServiceTarget(const HttpRequest& aRequest, ParsedTarget& aOut)
{
  if (aRequest.method != "POST") {
    return WrongMethod("POST");
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

// An optional whole number in [1, aMax].
std::optional<Refusal>
CheckCount(const Json& aJson, const char* aName, int64_t aMax)
{
  const auto found = aJson.find(aName);
  if (found == aJson.end()) {
    return std::nullopt;
  }
  const bool fits = found->is_number_integer() && *found >= 1 && *found <= aMax;
  if (!fits) {
    return Malformed(std::string(aName) + ": a whole number from 1 to " +
                     std::to_string(aMax) + " is needed");
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
CarriesOwnKey(const HttpRequest& aRequest)
{
  for (const auto& value : HeaderValues(aRequest.headers, "Authorization")) {
    constexpr size_t kSchemeLength = 7;
    // Shorter texts may stand anywhere by chance.
    constexpr size_t kMinSearched = 8;
    if (value.size() < kSchemeLength + kMinSearched) {
      continue;
    }
    const std::string key = value.substr(kSchemeLength);
    const auto holds = [&key](const std::string& aText) {
      return aText.find(key) != std::string::npos;
    };
    if (holds(aRequest.path) || holds(aRequest.query) || holds(aRequest.body)) {
      return true;
    }
    for (const auto& header : aRequest.headers) {
      if (!EqualsIgnoringCase(header.first, "Authorization") &&
          holds(header.second)) {
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
    return Malformed("Authorization is given more than once");
  }
  const std::string scheme = "Bearer ";
  const std::string& value = values[0];
  const bool isBearer =
    value.size() > scheme.size() &&
    EqualsIgnoringCase(value.substr(0, scheme.size()), scheme);
  if (!isBearer) {
    return MakeRefusal(RefusalReason::kKeyMissing,
                       "the Authorization header holds no Bearer key");
  }
  return value.substr(scheme.size());
}

Result<CallHeaderValues>
ParseCallHeaders(const HttpRequest& aRequest)
{
  Result<std::string> program = SingleHeader(aRequest, "X-Program");
  Result<int64_t> call = NumberHeader(aRequest, "X-Call", kMaxCall);
  Result<int64_t> timeout =
    NumberHeader(aRequest, "X-Timeout-Ms", kMaxTimeoutMillis);
  Result<std::string> key = SingleHeader(aRequest, "Idempotency-Key");
  for (const Refusal* bad : { std::get_if<Refusal>(&program),
                              std::get_if<Refusal>(&call),
                              std::get_if<Refusal>(&timeout),
                              std::get_if<Refusal>(&key) }) {
    if (bad != nullptr) {
      return *bad;
    }
  }
  CallHeaderValues out;
  out.program = std::get<std::string>(program);
  if (out.program.size() > kMaxProgramId || !IsPlainWord(out.program)) {
    return MakeRefusal(RefusalReason::kProgramNotFound, "no such program");
  }
  out.call = std::get<int64_t>(call);
  out.timeoutMillis = std::get<int64_t>(timeout);
  out.idempotencyKey = std::get<std::string>(key);
  if (out.idempotencyKey.size() > kMaxIdempotencyKey ||
      !IsVisibleAscii(out.idempotencyKey)) {
    return Malformed(
      "Idempotency-Key: at most 255 visible ASCII characters, no spaces");
  }
  return out;
}

std::optional<std::string>
CallerRequestId(const HttpRequest& aRequest)
{
  const auto values = HeaderValues(aRequest.headers, "X-Request-Id");
  const bool wellFormed = values.size() == 1 && !values[0].empty() &&
                          values[0].size() <= kMaxRequestId &&
                          IsPlainWord(values[0]);
  return wellFormed ? std::optional<std::string>(values[0]) : std::nullopt;
}

std::optional<Refusal>
CheckOpenBody(const std::string& aBody)
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
  if (auto bad = CheckCount(json, "budget_tokens", kMaxBudgetTokens)) {
    return bad;
  }
  if (auto bad = CheckCount(json, "max_turns", kMaxTurns)) {
    return bad;
  }
  if (auto bad = CheckCount(json, "max_seconds", kMaxSeconds)) {
    return bad;
  }
  if (json.contains("urgency") && json["urgency"] != "urgent" &&
      json["urgency"] != "normal" && json["urgency"] != "background") {
    return Malformed("urgency: urgent, normal or background is needed");
  }
  const bool parentFits =
    !json.contains("parent") ||
    (json["parent"].is_string() &&
     json["parent"].get<std::string>().size() <= kMaxProgramId &&
     IsPlainWord(json["parent"].get<std::string>()));
  if (!parentFits) {
    return Malformed("parent: the identifier of a program is needed");
  }
  return std::nullopt;
}

} // namespace tanagerseam
