// Calls that a host can't serve and passes on to a peer.
#include "gateway/testing/gateway_fixture.h"

namespace tanagerseam {
namespace {

using namespace testing_support;

// Two hosts, the first of them without a catalog.
class GatewayForwardTest : public GatewayTest
{
protected:
  void SetUp() override
  {
    for (GatewayHost* each : { &this->host, &this->peer }) {
      each->gateway.PutMember(this->host.Member("host-1"), false);
      each->gateway.PutMember(this->peer.Member("host-2"), false);
    }
  }

  GatewayHost peer{ io, log, "host-2" };
};

TEST_F(GatewayForwardTest, ForwardsCallWithoutCatalog)
{
  RawEndpoint tool(this->io, [](const std::string& aRequest) {
    return PresetResponse{ MakeResponse(aRequest, "done") };
  });
  this->peer.ApplyCatalog();
  this->peer.AddEndpoint("t-1", "tools", tool.Address());
  this->ExchangeReports();
  const std::string response = this->SendAndReceive(
    this->host,
    this->Request(
      "POST", "/charge/1", "r-1", "hello", "X-Affinity-Key: a\r\n"));
  EXPECT_EQ(StatusOf(response), 200);
  EXPECT_EQ(BodyOf(response), "done");
  EXPECT_NE(response.find("X-Server-Seal: seal"), std::string::npos);
  ASSERT_EQ(tool.requests.size(), 1u);
  const std::string& forwardedRequest = tool.requests[0];
  EXPECT_EQ(BodyOf(forwardedRequest), "hello");
  EXPECT_NE(forwardedRequest.find("X-Request-Id: r-1"), std::string::npos);
  EXPECT_NE(forwardedRequest.find("X-Affinity-Key: a"), std::string::npos);
  {
    SCOPED_TRACE(
      "the endpoint receives neither the API key nor the forwarding header");
    EXPECT_EQ(forwardedRequest.find("key-1"), std::string::npos);
    EXPECT_EQ(forwardedRequest.find("Forwarded"), std::string::npos);
  }
  {
    SCOPED_TRACE("a refusal by the peer is relayed");
    EXPECT_EQ(StatusOf(this->SendAndReceive(this->host,
                                            this->Request("GET", "/x/", "r"))),
              404);
  }
}

TEST_F(GatewayForwardTest, RelaysForwardedEventsWithoutBuffering)
{
  RawEndpoint slow(this->io, [](const std::string& aRequest) {
    PresetResponse response;
    response.bytes = MakeStreamHead(aRequest) + Chunk("id: 1\ndata: one\n\n");
    response.delay = Millis(400);
    response.delayedBytes = Chunk("id: 2\ndata: two\n\n") + "0\r\n\r\n";
    return response;
  });
  this->peer.ApplyCatalog();
  this->peer.AddEndpoint("e-1", "engines", slow.Address());
  this->ExchangeReports();
  RawClient client(this->io, this->host.port);
  const TimePoint startedAt = BootNow();
  client.Send(this->TurnRequest("t-1", "", "x"));
  EXPECT_TRUE(this->RunUntil([&client] {
    return client.Received().find("data: one") != std::string::npos;
  }));
  EXPECT_LT(BootNow() - startedAt, Millis(300));
  EXPECT_TRUE(this->RunUntil(
    [&client] { return IsCompleteResponse(client.Received()); }));
  {
    SCOPED_TRACE("the turn is persisted");
    EXPECT_EQ(StatusOf(this->SendAndReceive(
                this->peer, this->TurnRequest("t-2", "t-1", "y"))),
              200);
    ASSERT_EQ(slow.requests.size(), 2u);
    EXPECT_EQ(BodyOf(slow.requests[1]), "xone\ntwo\ny");
  }
}

TEST_F(GatewayForwardTest, ForwardsCallAtMostOnce)
{
  // Both hosts report ready, but neither has an endpoint.
  this->host.ApplyCatalog();
  this->peer.ApplyCatalog();
  this->host.gateway.ConfirmEndpoints(BootNow());
  this->peer.gateway.ConfirmEndpoints(BootNow());
  this->ExchangeReports();
  EXPECT_EQ(StatusOf(this->SendAndReceive(
              this->host, this->Request("POST", "/charge/1", "r-1", "x"))),
            503);
  const std::string metricsText =
    this->host.metrics.Text() + this->peer.metrics.Text();
  const std::string name = "tanagerseam_forwarded_total{";
  const size_t first = metricsText.find(name);
  ASSERT_NE(first, std::string::npos);
  EXPECT_EQ(metricsText.find(name, first + 1), std::string::npos);
}

TEST_F(GatewayForwardTest, RefusesAtOnceWithoutReadyPeer)
{
  this->ExchangeReports();
  const TimePoint startedAt = BootNow();
  EXPECT_EQ(StatusOf(this->SendAndReceive(
              this->host, this->Request("POST", "/charge/1", "r-1", "x"))),
            503);
  EXPECT_LT(BootNow() - startedAt, Millis(200));
}

TEST_F(GatewayForwardTest, CancelsForwardedCallOnClientDisconnect)
{
  RawEndpoint silent(this->io, [](const std::string&) {
    PresetResponse response;
    response.delay = Millis(5000);
    response.delayedBytes = "x";
    return response;
  });
  this->peer.ApplyCatalog();
  this->peer.AddEndpoint("t-1", "tools", silent.Address());
  this->ExchangeReports();
  {
    RawClient client(this->io, this->host.port);
    client.Send(this->Request("GET", "/look/1", "r-1"));
    EXPECT_TRUE(
      this->RunUntil([&silent] { return silent.requests.size() == 1; }));
  }
  EXPECT_TRUE(this->RunUntil([&silent] { return silent.abortedByPeer == 1; }));
}

TEST_F(GatewayForwardTest, ReportsUnknownOutcomeOfForwardedCall)
{
  RawEndpoint failing(this->io, [](const std::string&) {
    PresetResponse response;
    response.reset = true;
    return response;
  });
  this->peer.ApplyCatalog();
  this->peer.AddEndpoint("t-1", "tools", failing.Address());
  this->ExchangeReports();
  EXPECT_EQ(StatusOf(this->SendAndReceive(
              this->host, this->Request("POST", "/charge/1", "r-1", "x"))),
            502);
}

// Request smuggling: a request with ambiguous framing must not let a second one
// hidden in its body reach an endpoint.

} // namespace
} // namespace tanagerseam
