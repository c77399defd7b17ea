// Validation of chat-completions requests, encoding of streamed events, and
// parsing of callers' HTTP requests.
#include <gtest/gtest.h>

#include "daemon/caller_front_parse.h"
#include "daemon/chat.h"

namespace tanagerseam {
namespace {

using Json = nlohmann::json;

Json
ValidChatRequest()
{
  return Json::parse(
    R"({"model":"m","messages":[{"role":"user","content":"hi"}]})");
}

TEST(ChatTest, ChecksTypesOfKnownFields)
{
  {
    SCOPED_TRACE(
      "null is treated as absent, unknown fields are passed to the engine");
    Json json = ValidChatRequest();
    json["max_tokens"] = nullptr;
    json["stop"] = { "a", "b" };
    json["x_own"] = Json::array({ 1 });
    const auto parsed = ParseChat(json.dump());
    ASSERT_TRUE(IsOk(parsed)) << std::get<Refusal>(parsed).detail;
    const ChatRequest& chat = std::get<ChatRequest>(parsed);
    EXPECT_FALSE(chat.maxTokens);
    EXPECT_EQ(chat.other["x_own"], Json::array({ 1 }));
    EXPECT_FALSE(chat.other.contains("model"));
  }
  {
    SCOPED_TRACE("the refusal of a wrong type starts with the field's name");
    for (const char* name : { "max_tokens", "temperature", "tools", "user" }) {
      Json json = ValidChatRequest();
      json[name] = true;
      const auto parsed = ParseChat(json.dump());
      ASSERT_FALSE(IsOk(parsed)) << name;
      EXPECT_EQ(std::get<Refusal>(parsed).detail.rfind(name, 0), 0u);
    }
  }
}

TEST(ChatTest, RefusesNestingAboveLimit)
{
  auto nestedObject = [](size_t aDepth) {
    return "{\"x\":" + std::string(aDepth - 1, '[') +
           std::string(aDepth - 1, ']') + "}";
  };
  EXPECT_TRUE(IsOk(ParseJsonObject(nestedObject(kMaxJsonDepth))));
  EXPECT_FALSE(IsOk(ParseJsonObject(nestedObject(kMaxJsonDepth + 1))));
  {
    SCOPED_TRACE("brackets in strings and escaped quotes are not counted");
    const std::string text = "{\"x\":\"\\\"" + std::string(1000, '[') + "\"}";
    EXPECT_TRUE(IsOk(ParseJsonObject(text)));
  }
}

TEST(ChatTest, StreamsUsageOnlyIfRequested)
{
  StreamMetadata metadata{ "r-1", "m", 7, false };
  CompletionInfo info;
  info.finishReason = "stop";
  EXPECT_NE(FirstEvent(metadata).find("\"role\":\"assistant\""),
            std::string::npos);
  EXPECT_EQ(LastEvents(metadata, info).find("usage"), std::string::npos);
  metadata.includeUsage = true;
  const std::string events = LastEvents(metadata, info);
  EXPECT_NE(events.find("\"choices\":[],"), std::string::npos) << events;
  EXPECT_NE(events.find("\"total_tokens\""), std::string::npos) << events;
  EXPECT_EQ(events.substr(events.size() - 14), "data: [DONE]\n\n");
  {
    SCOPED_TRACE("invalid UTF-8 is replaced");
    EXPECT_NE(ChunkEvent(metadata, "\xC3\x28").find("data: {"),
              std::string::npos);
  }
}

TEST(CallerRequestTest, ParsesTargetsHeadersAndKeys)
{
  {
    SCOPED_TRACE("the path of a service call includes the query");
    HttpRequest request{ "POST", "/v1/services/groom/run/log", "a=1", {}, "" };
    const auto parsed = ParseTarget(request);
    ASSERT_TRUE(IsOk(parsed));
    EXPECT_EQ(std::get<ParsedTarget>(parsed).call.route, "groom");
    EXPECT_EQ(std::get<ParsedTarget>(parsed).call.path, "/run/log?a=1");
  }
  {
    SCOPED_TRACE("case and parameters of the media type are ignored");
    for (const char* type :
         { "application/json", "Application/JSON; charset=utf-8" }) {
      HttpRequest request{
        "POST", "/v1/chat/completions", "", { { "content-type", type } }, ""
      };
      EXPECT_TRUE(IsOk(ParseTarget(request))) << type;
    }
    HttpRequest request{ "POST",
                         "/v1/chat/completions",
                         "",
                         { { "Content-Type", "application/jsonx" } },
                         "" };
    EXPECT_FALSE(IsOk(ParseTarget(request)));
  }
  {
    SCOPED_TRACE("the case of the authorization scheme is ignored");
    HttpRequest request;
    request.headers = { { "Authorization", "bearer k 1" } };
    const auto key = ParseBearerKey(request);
    ASSERT_TRUE(IsOk(key));
    EXPECT_EQ(std::get<std::string>(key), "k 1");
  }
  {
    SCOPED_TRACE("malformed and repeated request ids are ignored");
    for (const char* id : { "", "a b", "a\n", "a/b", "a,b" }) {
      HttpRequest request;
      request.headers = { { "X-Request-Id", id } };
      EXPECT_FALSE(CallerRequestId(request)) << id;
    }
    HttpRequest request;
    request.headers = { { "x-request-id", "A-1_b.c" } };
    EXPECT_EQ(CallerRequestId(request), "A-1_b.c");
    request.headers.emplace_back("X-Request-Id", "second");
    EXPECT_FALSE(CallerRequestId(request));
  }
}

} // namespace
} // namespace tanagerseam
