// Calls at a gateway that shuts down: those that can't end before the exit are
// refused at once, wherever they wait.
#include "gateway/testing/gateway_fixture.h"

namespace tanagerseam {
namespace {

using namespace testing_support;

constexpr Millis kUntilExit(800);
// Clients have moved after this time.
constexpr Millis kTransition = kUntilExit / 2;
// What an endpoint with 4 slots gets: after a wait it is overcommitted, and
// then gets no more.
constexpr size_t kMaxAtEndpoint = 6;
// Within this time, of which the gateway waits up to 65 ms.
constexpr Millis kMaxUntilSent(150);
// What a call may last that can't end before the exit, by 50 ms, if the
// shutdown begins at the latest by then. Routes of these tests allow no more.
constexpr Millis kPastExit = kMaxUntilSent + kUntilExit + Millis(50);

class GatewayShutdownTest : public GatewayTest
{
protected:
  void SetUp() override { this->host.ApplyCatalog(); }

  void BeginShutdown() { this->host.gateway.BeginShutdown(kUntilExit); }

  // A call that may last aTimeout.
  std::string RequestWithin(const std::string& aId, int aTimeoutMillis)
  {
    return "GET /look/1 HTTP/1.1\r\nHost: reports.example\r\nX-Request-Id: " +
           aId + "\r\nX-Deadline-Ms: " + std::to_string(aTimeoutMillis) +
           "\r\nAuthorization: Bearer key-1\r\n\r\n";
  }
};

// Guards against calls that are accepted though they may outlast the process,
// and against the refusal of those that can't.
TEST_F(GatewayShutdownTest, ServesOnlyCallsThatEndBeforeTheExit)
{
  RawEndpoint tool(this->io, [](const std::string& aRequest) {
    return PresetResponse{ MakeResponse(aRequest, "done") };
  });
  this->host.AddEndpoint("t-1", "tools", tool.Address());
  this->BeginShutdown();
  EXPECT_FALSE(this->host.gateway.Ready());
  EXPECT_EQ(
    StatusOf(this->SendAndReceive(this->host, this->RequestWithin("r-1", 900))),
    200)
    << "clients have not moved yet";
  this->RunFor(kTransition);
  const std::string refused =
    this->SendAndReceive(this->host, this->RequestWithin("r-2", 900));
  EXPECT_EQ(StatusOf(refused), 503);
  EXPECT_NE(refused.find("Retry-After: 0.050"), std::string::npos);
  EXPECT_EQ(
    StatusOf(this->SendAndReceive(this->host, this->RequestWithin("r-3", 200))),
    200);
  EXPECT_EQ(tool.requests.size(), 2u);
}

// Guards against calls that wait for an endpoint until the exit cuts them off,
// though no endpoint has received them.
TEST_F(GatewayShutdownTest, RefusesQueuedCallsOnceTheyCanNotEndBeforeTheExit)
{
  RawEndpoint slow(this->io, [](const std::string& aRequest) {
    PresetResponse response;
    response.delay = Millis(700);
    response.delayedBytes = MakeResponse(aRequest, "done");
    return response;
  });
  this->host.AddEndpoint("t-1", "tools", slow.Address());
  std::vector<std::unique_ptr<RawClient>> clients;
  for (int i = 0; i < 12; ++i) {
    clients.push_back(std::make_unique<RawClient>(this->io, this->host.port));
    clients.back()->Send(
      this->RequestWithin("r-" + std::to_string(i), int(kPastExit.count())));
  }
  const TimePoint sentBy = BootNow() + kMaxUntilSent;
  this->RunUntil([&slow, sentBy] {
    return slow.requests.size() >= kMaxAtEndpoint || BootNow() > sentBy;
  });
  const size_t sent = slow.requests.size();
  ASSERT_EQ(sent, kMaxAtEndpoint) << "the others wait for the endpoint";
  this->BeginShutdown();
  this->RunFor(kTransition + Millis(100));
  size_t refused = 0;
  for (const auto& client : clients) {
    refused += StatusOf(client->Received()) == 503 ? 1 : 0;
  }
  EXPECT_EQ(refused, clients.size() - sent);
  EXPECT_EQ(slow.requests.size(), sent);
}

// Guards against a retry that may outlast the process: the call was accepted in
// time, and its endpoint turned it away too late for another one.
TEST_F(GatewayShutdownTest, DoesNotRetryACallThatCanNotEndBeforeTheExit)
{
  const auto turnAway = [](const std::string& aRequest) {
    PresetResponse response;
    response.delay = kTransition + Millis(50);
    response.delayedBytes =
      MakeResponse(aRequest, "", "X-Not-Executed: 1\r\n", 503);
    return response;
  };
  RawEndpoint first(this->io, turnAway);
  RawEndpoint second(this->io, turnAway);
  this->host.AddEndpoint("t-1", "tools", first.Address());
  this->host.AddEndpoint("t-2", "tools", second.Address());
  this->BeginShutdown();
  const std::string refused =
    this->SendAndReceive(this->host, this->RequestWithin("r-1", 900));
  EXPECT_EQ(StatusOf(refused), 503);
  EXPECT_EQ(first.requests.size() + second.requests.size(), 1u);
}

// Guards against an exit that only closes connections: a client can't tell then
// that its call was never sent.
TEST_F(GatewayShutdownTest, GivesACallWithoutAResponseAFinalOneAtTheExit)
{
  RawEndpoint silent(this->io, [](const std::string&) {
    PresetResponse response;
    response.delay = Millis(2000);
    return response;
  });
  RawEndpoint engine(this->io, [](const std::string& aRequest) {
    PresetResponse response;
    response.bytes = MakeStreamHead(aRequest) + Chunk("id: 1\ndata: one\n\n");
    response.delay = Millis(2000);
    return response;
  });
  this->host.AddEndpoint("t-1", "tools", silent.Address());
  this->host.AddEndpoint("e-1", "engines", engine.Address());
  RawClient stream(this->io, this->host.port);
  stream.Send(this->TurnRequest("s-1", "", "x"));
  std::vector<std::unique_ptr<RawClient>> clients;
  for (int i = 0; i < 12; ++i) {
    clients.push_back(std::make_unique<RawClient>(this->io, this->host.port));
    clients.back()->Send(
      this->Request("POST", "/charge/1", "r-" + std::to_string(i), "x"));
  }
  this->RunFor(Millis(100));
  const size_t sent = silent.requests.size();
  ASSERT_LT(sent, clients.size()) << "some wait for the endpoint";
  this->BeginShutdown();
  this->host.gateway.EndCalls();
  this->RunFor(Millis(100));
  size_t uncertain = 0;
  size_t notRun = 0;
  for (const auto& client : clients) {
    EXPECT_TRUE(IsCompleteResponse(client->Received()));
    uncertain += StatusOf(client->Received()) == 502 ? 1 : 0;
    notRun += StatusOf(client->Received()) == 503 ? 1 : 0;
  }
  EXPECT_EQ(uncertain, sent);
  EXPECT_EQ(notRun, clients.size() - sent);
  EXPECT_TRUE(stream.Closed());
  EXPECT_FALSE(IsCompleteResponse(stream.Received()));
  EXPECT_EQ(this->host.gateway.InFlightCalls(), 0u);
}

} // namespace
} // namespace tanagerseam
