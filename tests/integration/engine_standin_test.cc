// The engine stand-in under the drivers that speak to it in the product, in
// one process, over loopback.
#include <gtest/gtest.h>

#include <atomic>
#include <thread>

#include "endpoint/endpoint.h"
#include "tests/standins/engine_http.h"
#include "tests/support/free_port.h"

namespace tanagerseam {
namespace {

using nlohmann::json;

class Engine
{
public:
  explicit Engine(const standin::EngineSettings& aSettings,
                  bool aFencing = false)
    : http(aSettings, "engine", aFencing)
  {
    HttpServerSettings settings;
    settings.port = this->port;
    this->server = std::make_unique<HttpServer>(
      settings,
      [this](const HttpRequest& aRequest, std::shared_ptr<HttpReply> aReply) {
        this->http.Handle(aRequest, *aReply);
      });
    this->server->Start();
  }
  ~Engine()
  {
    this->http.Stop();
    this->server->Stop();
  }

  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(this->port);
  }

  std::string Ask(const std::string& aMethod,
                  const std::string& aPath,
                  const json& aBody = json::object())
  {
    HttpCall call;
    call.method = aMethod;
    call.url = "http://" + this->Address() + aPath;
    call.body = aBody.dump();
    const HttpOutcome outcome = this->client.Perform(call);
    const auto* answer = std::get_if<HttpAnswer>(&outcome);
    return answer != nullptr ? answer->body : "{}";
  }
  json Stats() { return json::parse(this->Ask("GET", "/stats")); }

private:
  const uint16_t port = testing_support::FreePort();
  standin::EngineHttp http;
  std::unique_ptr<HttpServer> server;
  HttpClient client;
};

standin::EngineSettings
Fast()
{
  standin::EngineSettings settings;
  settings.decodeMillisPerToken = 0.5;
  settings.reportLag = Millis(0);
  return settings;
}

class EngineStandin : public ::testing::Test
{
protected:
  EndpointCall MakeCall(const Engine& aEngine,
                        const std::string& aProgram,
                        const json& aMessages,
                        int aMaxTokens)
  {
    EndpointCall call;
    call.address = aEngine.Address();
    call.path = "/v1/chat/completions";
    call.requestId = "request-" + std::to_string(this->nextId++);
    call.program = aProgram;
    call.body =
      json{ { "messages", aMessages }, { "max_tokens", aMaxTokens } }.dump();
    return call;
  }

  EndpointOutcome Run(const EndpointCall& aCall)
  {
    return Registry<EndpointDriver>::Instance()
      .Make("model_engine")
      ->Run(this->client, aCall);
  }

  static std::string Expected(const json& aMessages, int aMaxTokens)
  {
    const auto chain = standin::HashMessages(aMessages);
    return standin::ResponseText(standin::ResponseSeed(chain), aMaxTokens);
  }

  HttpClient client;
  std::atomic<int> nextId{ 1 };
};

json
UserSays(const std::string& aText)
{
  return json::array({ { { "role", "user" }, { "content", aText } } });
}

TEST_F(EngineStandin, ReusesThePrefixOfAConversation)
{
  Engine engine(Fast());
  json messages = UserSays("one two three");
  const auto first = this->Run(this->MakeCall(engine, "p", messages, 4));
  ASSERT_EQ(first.status, EndpointStatus::kOk) << first.detail;
  EXPECT_EQ(first.body, Expected(messages, 4));
  EXPECT_EQ(first.promptTokens, 3);
  EXPECT_EQ(first.cachedTokens, 0);
  EXPECT_EQ(first.completionTokens, 4);

  messages.push_back({ { "role", "assistant" }, { "content", first.body } });
  messages.push_back({ { "role", "user" }, { "content", "and four" } });
  const auto second = this->Run(this->MakeCall(engine, "p", messages, 4));
  EXPECT_EQ(second.promptTokens, 9);
  EXPECT_EQ(second.cachedTokens, 7);
  {
    SCOPED_TRACE("a copy at another engine serves as well");
    Engine other(Fast());
    EXPECT_TRUE(IsOk(TransferPrefixCache(
      this->client, engine.Address(), other.Address(), "p", 1)));
    const auto moved = this->Run(this->MakeCall(other, "p", messages, 4));
    EXPECT_EQ(moved.cachedTokens, 9);
  }
  {
    SCOPED_TRACE("released memory is gone, and doing it again is waste");
    EXPECT_TRUE(
      IsOk(ReleasePrefixCache(this->client, engine.Address(), "p", 1)));
    EXPECT_EQ(engine.Stats()["held_tokens"], 0);
    const auto again = this->Run(this->MakeCall(engine, "p", messages, 4));
    EXPECT_EQ(again.cachedTokens, 0);
    EXPECT_EQ(engine.Stats()["wasted"], 9);
  }
}

TEST_F(EngineStandin, HoldsNoMoreThanItsMemory)
{
  standin::EngineSettings settings = Fast();
  settings.cacheTokens = 20;
  Engine engine(settings);
  for (int i = 0; i < 5; ++i) {
    const std::string program = "p" + std::to_string(i);
    const json messages = UserSays("a b c d e " + program);
    this->Run(this->MakeCall(engine, program, messages, 2));
    EXPECT_LE(engine.Stats()["held_tokens"].get<int>(), 20);
  }
  EXPECT_EQ(engine.Stats()["held_programs"], json({ "p3", "p4" }));
}

TEST_F(EngineStandin, AnswersStayWholeAndOwnUnderFaults)
{
  Engine engine(Fast());
  engine.Ask("POST",
             "/control",
             { { "drop_share", 0.3 }, { "cross_share", 0.2 }, { "seed", 7 } });
  constexpr int kCalls = 60;
  std::atomic<int> whole{ 0 };
  std::atomic<int> wrong{ 0 };
  std::vector<std::thread> threads;
  for (int i = 0; i < kCalls; ++i) {
    threads.emplace_back([&, i] {
      const json messages = UserSays("call " + std::to_string(i));
      EndpointCall call = this->MakeCall(engine, "p", messages, 20);
      std::string pieces;
      call.onDelta = [&pieces](std::string_view aPiece) {
        pieces += aPiece;
        return true;
      };
      const EndpointOutcome outcome = this->Run(call);
      const std::string expected = Expected(messages, 20);
      const bool ok = outcome.status == EndpointStatus::kOk;
      whole += ok ? 1 : 0;
      const bool begun = expected.compare(0, pieces.size(), pieces) == 0;
      wrong += (ok && pieces != expected) || !begun ? 1 : 0;
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  EXPECT_EQ(wrong, 0);
  // Nearly all come through: five attempts at a share of faults below a half.
  EXPECT_GE(whole, kCalls * 8 / 10);
}

TEST_F(EngineStandin, CancelsAStreamWhoseCallerIsGone)
{
  Engine engine(Fast());
  EndpointCall call = this->MakeCall(engine, "p", UserSays("long"), 100000);
  int pieces = 0;
  call.onDelta = [&pieces](std::string_view) { return ++pieces < 5; };
  EXPECT_EQ(this->Run(call).status, EndpointStatus::kCancelled);
  const TimePoint start = Now();
  while (engine.Stats()["cancelled"] == 0 &&
         MillisBetween(start, Now()) < 5000) {
    std::this_thread::sleep_for(Millis(20));
  }
  EXPECT_EQ(engine.Stats()["cancelled"], 1);
  std::this_thread::sleep_for(Millis(50));
  const json report = json::parse(engine.Ask("GET", "/load"));
  EXPECT_EQ(report["running"], 0);
}

TEST_F(EngineStandin, RefusesOldOrdersOnlyIfItChecksFencing)
{
  for (const bool checks : { true, false }) {
    SCOPED_TRACE(checks);
    Engine engine(Fast(), checks);
    EXPECT_TRUE(
      IsOk(ReleasePrefixCache(this->client, engine.Address(), "p", 5)));
    EXPECT_EQ(IsOk(ReleasePrefixCache(this->client, engine.Address(), "p", 4)),
              !checks);
    EXPECT_TRUE(
      IsOk(ReleasePrefixCache(this->client, engine.Address(), "q", 4)));
  }
}

TEST_F(EngineStandin, ReportsLag)
{
  standin::EngineSettings settings = Fast();
  settings.reportLag = Millis(600);
  Engine engine(settings);
  std::this_thread::sleep_for(Millis(700));
  this->Run(this->MakeCall(engine, "p", UserSays("hello"), 2));
  const auto early = FetchEngineLoad(this->client, engine.Address());
  ASSERT_TRUE(IsOk(early));
  EXPECT_TRUE(std::get<EngineLoad>(early).heldPrograms.empty());
  EXPECT_GE(std::get<EngineLoad>(early).ageMillis, 400);
  std::this_thread::sleep_for(Millis(900));
  const auto late = FetchEngineLoad(this->client, engine.Address());
  ASSERT_TRUE(IsOk(late));
  EXPECT_EQ(std::get<EngineLoad>(late).heldPrograms,
            std::vector<std::string>{ "p" });
}

} // namespace
} // namespace tanagerseam
