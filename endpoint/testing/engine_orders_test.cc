#include <gtest/gtest.h>

#include "endpoint/endpoint.h"
#include "endpoint/testing/scripted_endpoint.h"

namespace tanagerseam {
namespace {

using nlohmann::json;

ScriptedEndpoint::Step
Responds(int aStatus, const std::string& aBody)
{
  return [aStatus, aBody](const HttpRequest&, HttpReply& aReply) {
    aReply.Send(aStatus, {}, aBody);
  };
}

TEST(EngineCommandsTest, FetchesLoadReport)
{
  HttpClient client;
  {
    SCOPED_TRACE("a valid report");
    ScriptedEndpoint engine({ Responds(
      200,
      R"({"running":3,"queued":4,"prefill_millis_per_token":0.5,)"
      R"("decode_millis_per_token":8,"age_millis":70,"held_programs":["a"]})") });
    const auto result = FetchEngineLoad(client, engine.Address());
    ASSERT_TRUE(IsOk(result));
    const auto& load = std::get<EngineLoad>(result);
    EXPECT_EQ(load.running, 3);
    EXPECT_EQ(load.queued, 4);
    EXPECT_DOUBLE_EQ(load.prefillMillisPerToken, 0.5);
    EXPECT_DOUBLE_EQ(load.decodeMillisPerToken, 8);
    EXPECT_EQ(load.ageMillis, 70);
    EXPECT_EQ(load.heldPrograms, std::vector<std::string>{ "a" });
  }
  for (const std::string body :
       { "", "[]", "{\"running\":\"x\"}", "{\"held_programs\":[1]}" }) {
    SCOPED_TRACE("malformed report: " + body);
    ScriptedEndpoint engine({ Responds(200, body) });
    EXPECT_FALSE(IsOk(FetchEngineLoad(client, engine.Address())));
  }
}

TEST(EngineCommandsTest, ReleasesPrefixCache)
{
  HttpClient client;
  ScriptedEndpoint engine({ Responds(200, "{}"), Responds(409, "{}") });
  EXPECT_TRUE(IsOk(ReleasePrefixCache(client, engine.Address(), "p", 12)));
  {
    SCOPED_TRACE(
      "the engine has seen a newer fencing token and rejects this one");
    EXPECT_FALSE(IsOk(ReleasePrefixCache(client, engine.Address(), "p", 11)));
  }
  const auto requests = engine.Requests();
  ASSERT_EQ(requests.size(), 2u);
  EXPECT_EQ(requests[0].path, "/release");
  EXPECT_EQ(json::parse(requests[0].body)["program"], "p");
  EXPECT_EQ(FirstHeader(requests[0].headers, "X-Fencing"), "12");
}

TEST(EngineCommandsTest, TransfersPrefixCache)
{
  HttpClient client;
  ScriptedEndpoint source({ Responds(200, R"({"tokens":5,"blob":"bytes"})"),
                            Responds(200, R"({"tokens":5})") });
  ScriptedEndpoint target({ Responds(200, "{}"), Responds(500, "{}") });
  EXPECT_TRUE(IsOk(
    TransferPrefixCache(client, source.Address(), target.Address(), "p", 3)));
  const auto requests = target.Requests();
  ASSERT_EQ(requests.size(), 1u);
  EXPECT_EQ(requests[0].path, "/kv/import");
  const json body = json::parse(requests[0].body);
  EXPECT_EQ(body["program"], "p");
  EXPECT_EQ(body["tokens"], 5);
  EXPECT_EQ(body["blob"], "bytes");
  {
    SCOPED_TRACE("an export response without a blob is not imported");
    EXPECT_FALSE(IsOk(
      TransferPrefixCache(client, source.Address(), target.Address(), "p", 3)));
    EXPECT_EQ(target.Requests().size(), 1u);
  }
}

} // namespace
} // namespace tanagerseam
