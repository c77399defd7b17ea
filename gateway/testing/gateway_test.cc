// Calls through a gateway on loopback: admission, retries, deadlines, clients
// that disconnect, and a record log that fails.
#include "gateway/testing/gateway_fixture.h"

namespace tanagerseam {
namespace {

using namespace testing_support;

TEST_F(GatewayTest, RelaysTargetBodyAndResponseUnchanged)
{
  RawEndpoint tool(this->io, [](const std::string& aRequest) {
    return PresetResponse{ MakeResponse(
      aRequest, "done", "X-Server-Load: 1,0,4\r\n") };
  });
  this->host.ApplyCatalog();
  this->host.AddEndpoint("t-1", "tools", tool.Address());
  const std::string response = this->SendAndReceive(
    this->host,
    this->Request("POST", "/charge/a%2Fb/../c?x=1", "r-1", "hello"));
  EXPECT_EQ(StatusOf(response), 200);
  EXPECT_EQ(BodyOf(response), "done");
  EXPECT_NE(response.find("X-Server-Seal: seal"), std::string::npos);
  ASSERT_EQ(tool.requests.size(), 1u);
  const std::string& forwardedRequest = tool.requests[0];
  EXPECT_EQ(
    forwardedRequest.rfind("POST /charge/a%2Fb/../c?x=1 HTTP/1.1\r\n", 0), 0u);
  EXPECT_NE(forwardedRequest.find("X-Tenant: club"), std::string::npos);
  EXPECT_NE(forwardedRequest.find("X-Expect-Instance: t-1"), std::string::npos);
  EXPECT_EQ(forwardedRequest.find("key-1"), std::string::npos);
  EXPECT_EQ(BodyOf(forwardedRequest), "hello");
}

TEST_F(GatewayTest, AppliesNewestConfirmedCatalogOnly)
{
  EXPECT_EQ(StatusOf(this->SendAndReceive(this->host,
                                          this->Request("GET", "/x/", "r"))),
            503);
  this->host.ApplyCatalog();
  EXPECT_EQ(StatusOf(this->SendAndReceive(this->host,
                                          this->Request("GET", "/x/", "r"))),
            404);
  {
    SCOPED_TRACE("a key that a newer version withdrew is refused");
    this->host.ApplyCatalog(2, "key-2");
    EXPECT_EQ(StatusOf(this->SendAndReceive(
                this->host, this->Request("GET", "/look/", "r"))),
              401);
  }
  {
    SCOPED_TRACE("an older version is ignored");
    this->host.ApplyCatalog(1, "key-1");
    EXPECT_EQ(StatusOf(this->SendAndReceive(
                this->host, this->Request("GET", "/look/", "r"))),
              401);
  }
  {
    SCOPED_TRACE("a call without an endpoint is refused with Retry-After");
    this->host.ApplyCatalog(3, "key-1");
    const std::string response =
      this->SendAndReceive(this->host, this->Request("GET", "/look/", "r"));
    EXPECT_EQ(StatusOf(response), 503);
    EXPECT_NE(response.find("Retry-After: "), std::string::npos);
  }
}

TEST_F(GatewayTest, DoesNotResendAfterResetOfReusedConnection)
{
  int connectionsAtReset = 0;
  RawEndpoint tool(this->io, [&](const std::string& aRequest) {
    // Reads the second request on the connection, then resets the connection.
    if (tool.requests.size() == 2) {
      connectionsAtReset = tool.acceptedConnections;
      PresetResponse response;
      response.reset = true;
      return response;
    }
    return PresetResponse{ MakeResponse(aRequest, "done") };
  });
  this->host.ApplyCatalog();
  this->host.AddEndpoint("t-1", "tools", tool.Address());
  EXPECT_EQ(StatusOf(this->SendAndReceive(
              this->host, this->Request("GET", "/look/1", "r-1"))),
            200);
  EXPECT_EQ(StatusOf(this->SendAndReceive(
              this->host, this->Request("GET", "/look/2", "r-2"))),
            502);
  EXPECT_EQ(tool.requests.size(), 2u);
  EXPECT_EQ(connectionsAtReset, 1);
}

TEST_F(GatewayTest, DoesNotResendACallThatMayNotBeRepeated)
{
  RawEndpoint tool(this->io, [&tool](const std::string& aRequest) {
    PresetResponse response;
    response.reset = tool.requests.size() == 2;
    response.bytes = response.reset ? "" : MakeResponse(aRequest, "done");
    return response;
  });
  this->host.ApplyCatalog();
  this->host.AddEndpoint("t-1", "tools", tool.Address());
  EXPECT_EQ(StatusOf(this->SendAndReceive(
              this->host, this->Request("POST", "/charge/1", "r-1", "x"))),
            200);
  EXPECT_EQ(StatusOf(this->SendAndReceive(
              this->host, this->Request("POST", "/charge/2", "r-2", "x"))),
            502);
  EXPECT_EQ(tool.requests.size(), 2u);
}

// Enough calls for each of two endpoints to be tried first at least once.
constexpr size_t kCallsToTryBothFirst = 8;

TEST_F(GatewayTest, RetriesUnexecutedCallAtAnotherEndpoint)
{
  RawEndpoint rejecting(this->io, [](const std::string& aRequest) {
    return PresetResponse{ MakeResponse(
      aRequest, "", "X-Not-Executed: 1\r\n", 503) };
  });
  RawEndpoint accepting(this->io, [](const std::string& aRequest) {
    return PresetResponse{ MakeResponse(aRequest, "done") };
  });
  this->host.ApplyCatalog();
  this->host.AddEndpoint("a-full", "tools", rejecting.Address());
  this->host.AddEndpoint("b-free", "tools", accepting.Address());
  // The endpoint that is tried first depends on the call.
  for (size_t i = 1; i <= kCallsToTryBothFirst; ++i) {
    const std::string id = "r-" + std::to_string(i);
    EXPECT_EQ(StatusOf(this->SendAndReceive(
                this->host, this->Request("POST", "/charge/1", id, "x"))),
              200);
    EXPECT_EQ(accepting.requests.size(), i);
  }
  EXPECT_GE(rejecting.requests.size(), 1u);
  EXPECT_LE(rejecting.requests.size(), kCallsToTryBothFirst);
}

TEST_F(GatewayTest, RetriesPossiblyExecutedCallOnlyIfIdempotent)
{
  RawEndpoint failing(this->io, [](const std::string&) {
    PresetResponse response;
    response.reset = true;
    return response;
  });
  RawEndpoint healthy(this->io, [](const std::string& aRequest) {
    return PresetResponse{ MakeResponse(aRequest, "done") };
  });
  this->host.ApplyCatalog();
  this->host.AddEndpoint("a-broken", "tools", failing.Address());
  this->host.AddEndpoint("b-sound", "tools", healthy.Address());
  for (size_t i = 1; i <= kCallsToTryBothFirst; ++i) {
    const std::string id = "r-" + std::to_string(i);
    EXPECT_EQ(StatusOf(this->SendAndReceive(
                this->host, this->Request("GET", "/look/1", id))),
              200);
    EXPECT_EQ(healthy.requests.size(), i);
  }
  EXPECT_GE(failing.requests.size(), 1u);
  const size_t requestsBefore =
    failing.requests.size() + healthy.requests.size();
  for (int i = 0; i < 4; ++i) {
    const std::string id = "c-" + std::to_string(i);
    this->SendAndReceive(this->host,
                         this->Request("POST", "/charge/1", id, "x"));
  }
  EXPECT_EQ(failing.requests.size() + healthy.requests.size() - requestsBefore,
            4u)
    << "each call is sent once";
  {
    SCOPED_TRACE("one that breaks is refused although another try is left");
    this->host.gateway.RemoveEndpoint("b-sound");
    const size_t failuresBefore = failing.requests.size();
    RawClient client(this->io, this->host.port);
    client.Send(this->Request("POST", "/charge/1", "c-last", "x"));
    ASSERT_TRUE(
      this->RunUntil([&] { return failing.requests.size() > failuresBefore; }));
    this->host.AddEndpoint("b-sound", "tools", healthy.Address());
    const size_t answeredBefore = healthy.requests.size();
    EXPECT_TRUE(
      this->RunUntil([&] { return StatusOf(client.Received()) == 502; }));
    EXPECT_EQ(failing.requests.size(), failuresBefore + 1);
    EXPECT_EQ(healthy.requests.size(), answeredBefore);
  }
}

TEST_F(GatewayTest, RetriesAfterConnectionFailure)
{
  RawEndpoint healthy(this->io, [](const std::string& aRequest) {
    return PresetResponse{ MakeResponse(aRequest, "done") };
  });
  this->host.ApplyCatalog();
  this->host.AddEndpoint(
    "a-gone", "tools", "127.0.0.1:" + std::to_string(FreePort()));
  this->host.AddEndpoint("b-sound", "tools", healthy.Address());
  EXPECT_EQ(StatusOf(this->SendAndReceive(
              this->host, this->Request("POST", "/charge/1", "r-1", "x"))),
            200);
}

TEST_F(GatewayTest, CancelsExchangeOnClientDisconnect)
{
  RawEndpoint tool(this->io, [](const std::string&) {
    PresetResponse response;
    response.delay = Millis(1500);
    return response;
  });
  this->host.ApplyCatalog();
  this->host.AddEndpoint("t-1", "tools", tool.Address());
  RawClient client(this->io, this->host.port);
  client.Send(this->Request("GET", "/look/1", "r-1"));
  ASSERT_TRUE(this->RunUntil([&tool] { return tool.requests.size() == 1; }));
  const TimePoint closedAt = BootNow();
  client.Close();
  EXPECT_TRUE(this->RunUntil([&tool] { return tool.abortedByPeer == 1; }));
  EXPECT_LT(BootNow() - closedAt, Millis(500));
  EXPECT_EQ(this->host.gateway.InFlightCalls(), 0u);
}

TEST_F(GatewayTest, RefusesCallAtDeadline)
{
  RawEndpoint tool(this->io, [](const std::string&) {
    PresetResponse response;
    response.delay = Millis(5000);
    return response;
  });
  this->host.ApplyCatalog();
  this->host.AddEndpoint("t-1", "tools", tool.Address());
  const TimePoint startedAt = BootNow();
  EXPECT_EQ(StatusOf(this->SendAndReceive(
              this->host, this->Request("POST", "/charge/1", "r-1", "x"))),
            504);
  EXPECT_LT(BootNow() - startedAt, Millis(1200));
}

TEST_F(GatewayTurnTest, PersistsTurnBeforeStreamEnd)
{
  EXPECT_TRUE(IsCompleteResponse(this->SendAndReceive(
    this->host, this->TurnRequest("t-1", "", "first input"))));
  {
    SCOPED_TRACE("another host continues from the turn");
    GatewayHost other(this->io, this->log, "host-2");
    other.ApplyCatalog();
    other.AddEndpoint("e-1", "engines", this->engine.Address());
    EXPECT_TRUE(IsCompleteResponse(
      this->SendAndReceive(other, this->TurnRequest("t-2", "t-1", "next"))));
    EXPECT_EQ(BodyOf(this->engine.requests[1]), "first inputone\ntwo\nnext");
  }
  {
    SCOPED_TRACE("a previous turn that does not exist is refused");
    EXPECT_EQ(StatusOf(this->SendAndReceive(
                this->host, this->TurnRequest("t-3", "t-0", "next"))),
              404);
  }
}

TEST_F(GatewayTurnTest, DoesNotCompleteTurnWithoutRecordLog)
{
  EXPECT_TRUE(IsCompleteResponse(
    this->SendAndReceive(this->host, this->TurnRequest("t-1", "", "a"))));
  this->log.down = true;
  const std::string response =
    this->SendAndReceive(this->host, this->TurnRequest("t-2", "t-1", "b"));
  EXPECT_FALSE(StatusOf(response) == 200 && IsCompleteResponse(response));
  {
    SCOPED_TRACE(
      "a previous turn is not reported as missing while the log is down");
    EXPECT_EQ(StatusOf(this->SendAndReceive(
                this->host, this->TurnRequest("t-3", "t-0", "c"))),
              503);
  }
}

TEST_F(GatewayTurnTest, RefusesTurnsBeyondTokenBudget)
{
  // Each turn reserves 100 tokens and uses 2 events of 10 tokens.
  int served = 0;
  int status = 0;
  for (int i = 0; i < 20 && status != 402; ++i) {
    status = StatusOf(this->SendAndReceive(
      this->host, this->TurnRequest("t-" + std::to_string(i), "", "x", 250)));
    served += status == 200 ? 1 : 0;
  }
  EXPECT_EQ(status, 402);
  // After the last turn that fits, less than 100 of 250 tokens are left.
  EXPECT_EQ(served, 8);
  EXPECT_EQ(this->engine.requests.size(), 8u);
}

TEST_F(GatewayTurnTest, RelaysEventsWithoutBuffering)
{
  RawEndpoint slow(this->io, [](const std::string& aRequest) {
    PresetResponse response;
    response.bytes = MakeStreamHead(aRequest) + Chunk("id: 1\ndata: one\n\n");
    response.delay = Millis(400);
    response.delayedBytes = Chunk("id: 2\ndata: two\n\n") + "0\r\n\r\n";
    return response;
  });
  this->host.AddEndpoint("e-1", "engines", slow.Address());
  RawClient client(this->io, this->host.port);
  const TimePoint startedAt = BootNow();
  client.Send(this->TurnRequest("t-1", "", "x"));
  EXPECT_TRUE(this->RunUntil([&client] {
    return client.Received().find("data: one") != std::string::npos;
  }));
  EXPECT_LT(BootNow() - startedAt, Millis(300));
  EXPECT_TRUE(this->RunUntil(
    [&client] { return IsCompleteResponse(client.Received()); }));
}

// Regression test: a client reused an idle connection 7.3 s after the shutdown
// notice, and its call was cut off when the process exited.
TEST_F(GatewayTest, RefusesNewCallsBeforeExit)
{
  RawEndpoint slow(this->io, [](const std::string& aRequest) {
    PresetResponse response;
    response.delay = Millis(600);
    response.delayedBytes = MakeResponse(aRequest, "done");
    return response;
  });
  this->host.ApplyCatalog();
  this->host.AddEndpoint("t-1", "tools", slow.Address());
  RawClient client(this->io, this->host.port);
  client.Send(this->Request("POST", "/charge/1", "r-1", "x"));
  EXPECT_TRUE(this->RunUntil([&slow] { return slow.requests.size() == 1; }));
  const Millis untilExit(900);
  this->host.gateway.BeginShutdown(untilExit);
  this->RunFor(untilExit / 2);
  const std::string refused = this->SendAndReceive(
    this->host, this->Request("POST", "/charge/1", "r-2", "x"));
  EXPECT_EQ(StatusOf(refused), 503);
  EXPECT_NE(refused.find("Retry-After: 0.050"), std::string::npos);
  {
    SCOPED_TRACE("a call accepted earlier is completed");
    EXPECT_TRUE(this->RunUntil(
      [&client] { return IsCompleteResponse(client.Received()); }));
    EXPECT_EQ(BodyOf(client.Received()), "done");
  }
  EXPECT_EQ(slow.requests.size(), 1u);
}

TEST_F(GatewayTest, RejectsAmbiguousRequestFraming)
{
  RawEndpoint tool(this->io, [](const std::string& aRequest) {
    return PresetResponse{ MakeResponse(aRequest, "done") };
  });
  this->host.ApplyCatalog();
  this->host.AddEndpoint("t-1", "tools", tool.Address());
  const std::string smuggled =
    "GET /look/hidden HTTP/1.1\r\nHost: reports.example\r\n"
    "X-Request-Id: hidden\r\nAuthorization: Bearer key-1\r\n\r\n";
  const std::string head =
    "POST /charge/1 HTTP/1.1\r\nHost: reports.example\r\nX-Request-Id: r-1\r\n"
    "Authorization: Bearer key-1\r\n";
  const std::string framings[] = {
    "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n",
    "Content-Length: 0\r\nContent-Length: 150\r\n\r\n",
    "Content-Length : 0\r\n\r\n",
    "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
    "Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
    "Content-Length: +0\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
  };
  for (const std::string& framing : framings) {
    RawClient client(this->io, this->host.port);
    client.Send(head + framing + smuggled);
    this->RunUntil([&client] { return client.Closed(); });
    for (const std::string& forwardedRequest : tool.requests) {
      EXPECT_EQ(forwardedRequest.find("hidden"), std::string::npos) << framing;
    }
    EXPECT_TRUE(client.Closed()) << framing;
  }
}

} // namespace
} // namespace tanagerseam
