// A daemon as its callers see it: a libcurl caller on a kept connection, and
// broken input of every kind over raw sockets. After each the daemon serves.
#include <gtest/gtest.h>

#include <fstream>
#include <iostream>

#include "tests/integration/caller_fixture.h"
#include "tests/support/fleet.h"

namespace tanagerseam::testing_support {
namespace {

int64_t
ResidentKib(pid_t aProcess)
{
  std::ifstream status("/proc/" + std::to_string(aProcess) + "/status");
  std::string word;
  while (status >> word) {
    if (word == "VmRSS:") {
      int64_t kib = 0;
      status >> kib;
      return kib;
    }
  }
  return -1;
}

class CallerInput : public ::testing::Test
{
protected:
  static void SetUpTestSuite()
  {
    FleetSettings settings;
    settings.daemons = 1;
    settings.engines = 1;
    settings.zones = 1;
    settings.daemonKeys = "max_body_bytes = " + std::to_string(kMaxBody) +
                          "\nread_timeout_ms = 700\n";
    fleet = std::make_unique<Fleet>(settings);
    fleet->Start("[organisation stopa]\nrate_per_s = 10000\nburst = 10000\n"
                 "[key web]\norganisation = stopa\nsha256 = " +
                 Sha256Hex(kKey) +
                 "\n[route groom]\nendpoints = service-0\nrepeatable = false\n"
                 "[route free]\nendpoints = service-0\nopen = true\n");
  }
  static void TearDownTestSuite() { fleet.reset(); }

  void TearDown() override
  {
    EXPECT_TRUE(fleet->Daemon(0).Running());
    if (HasFailure()) {
      std::cerr << fleet->LogTails();
    }
  }

  static std::string Address() { return fleet->CallerAddress(0); }

  static std::string Exchange(const std::string& aBytes)
  {
    RawCaller caller(Address());
    caller.Send(aBytes);
    return caller.Read();
  }

  static void ExpectServes()
  {
    CurlCaller caller(Address());
    EXPECT_EQ(caller.Call("GET", "/v1/models"), 200) << caller.body;
  }

  static std::unique_ptr<Fleet> fleet;
};

std::unique_ptr<Fleet> CallerInput::fleet;

TEST_F(CallerInput, AKeptConnectionCarriesEveryKindOfCall)
{
  CurlCaller caller(Address());
  {
    SCOPED_TRACE("models, as a list and one by one");
    ASSERT_EQ(caller.Call("GET", "/v1/models"), 200) << caller.body;
    EXPECT_EQ(Json::parse(caller.body)["data"][0]["id"], "model-a");
    EXPECT_EQ(caller.Call("GET", "/v1/models/model-a"), 200) << caller.body;
    EXPECT_EQ(caller.connects, 0);
    EXPECT_EQ(caller.Call("GET", "/v1/models/none"), 404) << caller.body;
  }
  {
    SCOPED_TRACE("a whole answer, with unset options sent as null");
    ASSERT_EQ(caller.Call("POST",
                          kChat,
                          kGoodChat + R"(,"stop":null,"stream":null,"n":null})",
                          { "X-Request-Id: mine-1" }),
              200)
      << caller.body;
    const Json json = Json::parse(caller.body);
    EXPECT_EQ(json["object"], "chat.completion");
    EXPECT_EQ(json["choices"][0]["message"]["role"], "assistant");
    EXPECT_GT(json["usage"]["completion_tokens"], 0);
    EXPECT_NE(caller.headers.find("X-Request-Id: mine-1\r\n"),
              std::string::npos);
    EXPECT_EQ(caller.connects, 0);
  }
  for (const bool withUsage : { false, true }) {
    SCOPED_TRACE(withUsage ? "a stream with usage" : "a stream without usage");
    const std::string options =
      withUsage ? R"(,"stream_options":{"include_usage":true}})" : "}";
    ASSERT_EQ(
      caller.Call("POST", kChat, kGoodChat + R"(,"stream":true)" + options),
      200)
      << caller.body;
    EXPECT_EQ(caller.connects, 0);
    std::vector<Json> events;
    std::istringstream lines(caller.body);
    std::string line;
    std::string last;
    while (std::getline(lines, line)) {
      if (line.rfind("data: {", 0) == 0) {
        events.push_back(Json::parse(line.substr(6)));
      }
      last = line.empty() ? last : line;
    }
    EXPECT_EQ(last, "data: [DONE]");
    ASSERT_GE(events.size(), 3u);
    EXPECT_EQ(events[0]["choices"][0]["delta"]["role"], "assistant");
    EXPECT_EQ(events[0]["model"], "model-a");
    for (const Json& event : events) {
      EXPECT_EQ(event["object"], "chat.completion.chunk");
      EXPECT_EQ(event.contains("usage"), withUsage) << event;
    }
    const Json& end = events[events.size() - (withUsage ? 2 : 1)];
    EXPECT_TRUE(end["choices"][0]["finish_reason"].is_string()) << end;
    if (withUsage) {
      EXPECT_TRUE(events.back()["choices"].empty());
      EXPECT_GT(events.back()["usage"]["completion_tokens"], 0);
    }
  }
  {
    SCOPED_TRACE("a program: open, call, look, end");
    ASSERT_EQ(caller.Call("POST",
                          kPrograms,
                          R"({"budget_tokens":5000,"urgency":"urgent"})"),
              201)
      << caller.body;
    const std::string id = Json::parse(caller.body)["id"];
    EXPECT_EQ(
      caller.Call(
        "POST", kChat, kGoodChat + "}", { "X-Program: " + id, "X-Call: 1" }),
      200)
      << caller.body;
    EXPECT_EQ(caller.Call("POST",
                          "/v1/services/groom/run/log?crew=4",
                          "{}",
                          { "X-Program: " + id, "X-Call: 2" }),
              200)
      << caller.body;
    EXPECT_NE(fleet->ReceivedRequests().find("crew=4"), std::string::npos);
    ASSERT_EQ(caller.Call("GET", kPrograms + "/" + id), 200) << caller.body;
    EXPECT_EQ(Json::parse(caller.body)["turns"].size(), 2u);
    EXPECT_EQ(caller.Call("DELETE", kPrograms + "/" + id), 200) << caller.body;
    EXPECT_EQ(caller.connects, 0);
  }
}

struct BadInput
{
  std::string name;
  std::string bytes;
  std::string reason;
};

std::vector<BadInput>
BadBodies()
{
  const std::string malformed = "malformed_request";
  std::vector<BadInput> inputs = {
    { "an empty body", Post(kChat, ""), malformed },
    { "no JSON", Post(kChat, "hello"), malformed },
    { "half a JSON object", Post(kChat, kGoodChat), malformed },
    { "an array", Post(kChat, "[]"), malformed },
    { "nested arrays", Post(kChat, std::string(kMaxBody - 1, '[')), malformed },
    { "nested objects",
      Chat("\"x\":" + std::string(200, '[') + std::string(200, ']')),
      malformed },
    { "deeply nested objects",
      Chat("\"x\":" + std::string(kDeep, '[') + std::string(kDeep, ']')),
      malformed },
    { "invalid UTF-8", Chat("\"user\":\"\xC3\x28\""), malformed },
    { "a NUL byte",
      Chat("\"user\":\"" + std::string(1, '\0') + "\""),
      malformed },
    { "an escaped NUL in the model",
      Post(kChat, R"({"model":"a\u0000b","messages":[{"role":"user"}]})"),
      "model_unknown" },
    { "no model", Post(kChat, R"({"messages":[{"role":"user"}]})"), malformed },
    { "another media type",
      Post(kChat, kGoodChat + "}", "Content-Type: text/plain\r\n"),
      "unsupported_media_type" },
    { "a body over the limit",
      Post(kChat, std::string(kMaxBody + 1, ' ')),
      "body_too_large" },
  };
  const std::vector<std::string> chatFields = {
    R"("model":7)",
    R"("messages":"hi")",
    R"("messages":[])",
    R"("messages":[7])",
    R"("messages":[{"role":7}])",
    R"("messages":[{"role":"user","content":7}])",
    R"("max_tokens":-1)",
    R"("max_tokens":0)",
    R"("max_tokens":1e30)",
    R"("max_tokens":99999999999999999999999)",
    R"("max_tokens":18446744073709551615)",
    R"("max_tokens":"12")",
    R"("max_tokens":true)",
    R"("max_completion_tokens":1.5)",
    R"("stream":"yes")",
    R"("stream_options":3)",
    R"("stream_options":{"include_usage":"yes"})",
    R"("n":2)",
    R"("n":true)",
    R"("temperature":"hot")",
    R"("top_p":[])",
    R"("presence_penalty":"x")",
    R"("frequency_penalty":{})",
    R"("seed":1.5)",
    R"("logprobs":1)",
    R"("top_logprobs":"x")",
    R"("parallel_tool_calls":1)",
    R"("stop":[7])",
    R"("user":7)",
    R"("tools":{})",
    R"("tool_choice":7)",
    R"("response_format":"json")",
    R"("logit_bias":[])",
    R"("metadata":"x")",
  };
  for (const std::string& field : chatFields) {
    inputs.push_back({ "chat with " + field, Chat(field), malformed });
  }
  const std::vector<std::string> programs = {
    "[]",
    "7",
    R"({"budget_tokens":-1})",
    R"({"budget_tokens":"9"})",
    R"({"budget_tokens":1e30})",
    R"({"budget_tokens":true})",
    R"({"budget_tokens":9223372036854775808})",
    R"({"max_turns":0})",
    R"({"max_turns":1.5})",
    R"({"max_seconds":"9"})",
    R"({"max_seconds":9223372036854775807})",
    R"({"urgency":3})",
    R"({"urgency":"soon"})",
    R"({"parent":7})",
    R"({"parent":"../x"})",
    R"({"budget":7})",
    "{\"parent\":\"\xFF\"}",
  };
  for (const std::string& body : programs) {
    inputs.push_back({ "open with " + body, Post(kPrograms, body), malformed });
  }
  return inputs;
}

std::vector<BadInput>
BadHeaders()
{
  const std::string malformed = "malformed_request";
  const std::string body = kGoodChat + "}";
  std::vector<BadInput> inputs = {
    { "no key", Request("POST", kChat, "", body), "key_missing" },
    { "no bearer key",
      Request("POST", kChat, "Authorization: Basic eDp5\r\n", body),
      "key_missing" },
    { "an empty key",
      Request("POST", kChat, "Authorization: Bearer \r\n", body),
      "key_missing" },
    { "a wrong key",
      Request("POST", kChat, "Authorization: Bearer none\r\n", body),
      "key_unknown" },
    { "two keys", Post(kChat, body, kAuthorization + "\r\n"), malformed },
    { "an unknown program",
      Post(kChat, body, "X-Program: p-none\r\n"),
      "program_not_found" },
    { "no program's name",
      Post(kChat, body, "X-Program: ../x\r\n"),
      "program_not_found" },
    { "two programs",
      Post(kChat, body, "X-Program: a\r\nX-Program: b\r\n"),
      malformed },
    { "a key without its header",
      Post("/v1/services/groom/run/log", "{}"),
      "idempotency_key_missing" },
    { "two idempotency keys",
      Post("/v1/services/groom/run/log",
           "{}",
           "Idempotency-Key: a\r\nIdempotency-Key: b\r\n"),
      malformed },
    { "an idempotency key of other bytes",
      Post("/v1/services/groom/run/log", "{}", "Idempotency-Key: \xFF\xFE\r\n"),
      malformed },
    { "a long idempotency key",
      Post("/v1/services/groom/run/log",
           "{}",
           "Idempotency-Key: " + std::string(300, 'k') + "\r\n"),
      malformed },
  };
  for (const std::string number :
       { "-1", "0", "abc", "1.5", "1e3", "99999999999999999999", "0x10" }) {
    inputs.push_back({ "X-Call: " + number,
                       Post(kChat, body, "X-Call: " + number + "\r\n"),
                       malformed });
    inputs.push_back({ "X-Timeout-Ms: " + number,
                       Post(kChat, body, "X-Timeout-Ms: " + number + "\r\n"),
                       malformed });
  }
  return inputs;
}

std::vector<BadInput>
BadFraming()
{
  const std::string malformed = "malformed_request";
  std::string manyHeaders;
  for (int i = 0; i < 200; ++i) {
    manyHeaders += "X-" + std::to_string(i) + ": 1\r\n";
  }
  const std::string start = "POST " + kChat + " HTTP/1.1\r\nHost: x\r\n";
  return {
    { "garbage", "\x16\x03\x01\x02\x05 hello\r\n\r\n", "method_not_allowed" },
    { "an unknown method", "FOO / HTTP/1.1\r\n\r\n", "method_not_allowed" },
    { "another method of the protocol",
      Request("PUT", kChat, kAuthorization + "\r\n", "{}"),
      "method_not_allowed" },
    { "a version that is none", "GET / HTTP/x.y\r\n\r\n", malformed },
    { "an unknown route", Post("/v2/none", "{}"), "unknown_route" },
    { "an unknown service",
      Post("/v1/services/none/x", "{}"),
      "unknown_route" },
    { "a body on GET",
      Request("GET", "/v1/models", kAuthorization + "\r\n", "{}"),
      malformed },
    { "a path of other bytes",
      Post("/v1/services/groom/\xFF\xFE", "{}"),
      malformed },
    { "a long path",
      Post("/v1/" + std::string(20000, 'a'), "{}"),
      "uri_too_long" },
    { "too many headers", Post(kChat, "{}", manyHeaders), "headers_too_large" },
    { "a header too long",
      Post(kChat, "{}", "X-Long: " + std::string(20000, 'a') + "\r\n"),
      "headers_too_large" },
    { "headers too large together",
      start + "X-Long: " + std::string(200000, 'a'),
      "headers_too_large" },
    { "two lengths",
      start + "Content-Length: 2\r\nContent-Length: 3\r\n\r\n{}",
      malformed },
    { "a negative length", start + "Content-Length: -5\r\n\r\n{}", malformed },
    { "a huge length",
      start + "Content-Length: 99999999999999999999999\r\n\r\n{}",
      malformed },
    { "a length over the limit",
      start + "Content-Length: 1000000000\r\n\r\n" + std::string(5000, ' '),
      "body_too_large" },
    { "chunks over the limit",
      start + "Transfer-Encoding: chunked\r\n\r\n100000\r\n" +
        std::string(0x100000, ' '),
      "body_too_large" },
    { "a chunk without a length",
      start + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
      malformed },
    { "half a header", start + "Content-Le", "request_timeout" },
    { "half a body",
      start + "Content-Length: 100\r\n\r\n{\"model\":",
      "request_timeout" },
  };
}

TEST_F(CallerInput, EveryBrokenInputGetsItsRefusal)
{
  for (const auto& table : { BadBodies(), BadHeaders(), BadFraming() }) {
    for (const BadInput& input : table) {
      SCOPED_TRACE(input.name);
      ExpectRefusal(Exchange(input.bytes), input.reason);
      ExpectServes();
    }
  }
  EXPECT_EQ(fleet->Daemon(0).LogTail().find(kKey), std::string::npos);
}

TEST_F(CallerInput, UnusualFramingIsServed)
{
  const std::string models =
    "GET /v1/models HTTP/1.1\r\nHost: x\r\n" + kAuthorization + "\r\n";
  {
    SCOPED_TRACE("HTTP/1.0: a streamed answer comes whole");
    const std::string body = kGoodChat + R"(,"stream":true})";
    const std::string answer = Exchange(
      "POST " + kChat + " HTTP/1.0\r\n" + kAuthorization +
      "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    EXPECT_NE(answer.find(" 200 "), std::string::npos) << answer;
    EXPECT_EQ(answer.find("chunked"), std::string::npos) << answer;
    EXPECT_NE(answer.find("data: [DONE]"), std::string::npos) << answer;
  }
  {
    SCOPED_TRACE("three requests sent ahead are answered in their order");
    const std::string answers = Exchange(
      models + "X-Request-Id: a\r\n\r\n" + models + "X-Request-Id: b\r\n\r\n" +
      models + "X-Request-Id: c\r\nConnection: close\r\n\r\n");
    const size_t first = answers.find("X-Request-Id: a\r\n");
    const size_t second = answers.find("X-Request-Id: b\r\n");
    const size_t third = answers.find("X-Request-Id: c\r\n");
    EXPECT_LT(first, second);
    EXPECT_LT(second, third);
    EXPECT_NE(third, std::string::npos) << answers;
  }
  {
    SCOPED_TRACE("garbage behind a request is refused after its answer");
    const std::string answers =
      Exchange(models + "X-Request-Id: a\r\n\r\nFOO / HTTP/1.1\r\n\r\n");
    EXPECT_EQ(answers.find("HTTP/1.1 200"), 0u) << answers;
    EXPECT_NE(answers.find("HTTP/1.1 405"), std::string::npos) << answers;
  }
  {
    SCOPED_TRACE("an offer of another protocol is passed over");
    const std::string answer =
      Exchange(models + "Connection: Upgrade, HTTP2-Settings\r\n"
                        "Upgrade: h2c\r\nHTTP2-Settings: AAMAAABk\r\n\r\n");
    EXPECT_EQ(answer.find("HTTP/1.1 200"), 0u) << answer;
  }
  {
    SCOPED_TRACE("HEAD gets no body that the next answer could be taken for");
    const std::string answer =
      Exchange("HEAD /v1/models HTTP/1.1\r\nHost: x\r\n" + kAuthorization +
               "\r\nConnection: close\r\n\r\n");
    EXPECT_EQ(answer.find("HTTP/1.1 405"), 0u) << answer;
    EXPECT_EQ(answer.substr(answer.size() - 4), "\r\n\r\n");
  }
  {
    SCOPED_TRACE("an idle connection is closed without a word");
    RawCaller caller(Address());
    EXPECT_EQ(caller.Read(), "");
  }
  {
    SCOPED_TRACE("an ill-formed request id is not echoed");
    const std::string answer =
      Exchange(models + "X-Request-Id: a b\r\nConnection: close\r\n\r\n");
    EXPECT_EQ(HeaderOf(answer, "X-Request-Id").substr(0, 2), "r-") << answer;
  }
  ExpectServes();
}

TEST_F(CallerInput, AFloodOfBrokenRequestsTakesBoundedMemory)
{
  constexpr int kHalfSent = 300;
  constexpr int kOversized = 100;
  // More than what the half-sent requests hold, far less than what the
  // oversized ones send.
  constexpr int64_t kBoundKib = 64 * 1024;
  const std::string start = "POST " + kChat + " HTTP/1.1\r\nHost: x\r\n";
  const int64_t before = ResidentKib(fleet->Daemon(0).Id());
  ASSERT_GT(before, 0);
  std::vector<std::unique_ptr<RawCaller>> callers;
  for (int i = 0; i < kHalfSent; ++i) {
    callers.push_back(std::make_unique<RawCaller>(Address()));
    callers.back()->Send(start + "Content-Length: " + std::to_string(kMaxBody) +
                         "\r\n\r\n" + std::string(kHalfBody, ' '));
  }
  int64_t most = ResidentKib(fleet->Daemon(0).Id());
  for (int i = 0; i < kOversized; ++i) {
    RawCaller caller(Address());
    caller.Send(start + "Transfer-Encoding: chunked\r\n\r\n4000000\r\n");
    for (int piece = 0; piece < 16 && caller.Send(std::string(65536, ' '));
         ++piece) {
    }
    most = std::max(most, ResidentKib(fleet->Daemon(0).Id()));
  }
  EXPECT_LT(most - before, kBoundKib);
  ExpectServes();
  for (const auto& caller : callers) {
    ExpectRefusal(caller->Read(), "request_timeout");
    if (HasFailure()) {
      break;
    }
  }
  std::cout << "resident KiB before " << before << ", most " << most << "\n";
  ExpectServes();
}

} // namespace
} // namespace tanagerseam::testing_support
