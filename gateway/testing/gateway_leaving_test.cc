// Endpoints that announce their shutdown in a response: they get no further
// call from this host, whatever the registry says, and neither from its peers.
#include "gateway/testing/gateway_fixture.h"

namespace tanagerseam {
namespace {

using namespace testing_support;

const std::string kAnnouncement = "Server-Leaving: 1\r\n";

PresetResponse
Leave(const std::string& aRequest)
{
  return { MakeResponse(aRequest, "done", kAnnouncement) };
}

std::string
MakeLeavingStreamHead(const std::string& aRequest)
{
  std::string head = MakeStreamHead(aRequest);
  return head.insert(head.find("Content-Type"), kAnnouncement);
}

class GatewayLeavingTest : public GatewayTest
{
protected:
  void SetUp() override { this->host.ApplyCatalog(); }

  // The status of a call to the service "tools" at aHost.
  int StatusOfCall(GatewayHost& aHost, const std::string& aId)
  {
    return StatusOf(
      this->SendAndReceive(aHost, this->Request("GET", "/look/1", aId)));
  }
};

TEST_F(GatewayLeavingTest, SendsNoCallAfterASuccessThatAnnouncesShutdown)
{
  RawEndpoint tool(this->io, Leave);
  this->host.AddEndpoint("t-1", "tools", tool.Address());
  EXPECT_EQ(this->StatusOfCall(this->host, "r-1"), 200);
  EXPECT_EQ(this->StatusOfCall(this->host, "r-2"), 503);
  {
    SCOPED_TRACE("the registry still says that it is ready");
    this->host.AddEndpoint("t-1", "tools", tool.Address());
    EXPECT_EQ(this->StatusOfCall(this->host, "r-3"), 503);
  }
  {
    SCOPED_TRACE("its entry lapses and returns");
    this->host.gateway.RemoveEndpoint("t-1");
    this->host.AddEndpoint("t-1", "tools", tool.Address());
    EXPECT_EQ(this->StatusOfCall(this->host, "r-4"), 503);
  }
  {
    SCOPED_TRACE("the store is lost");
    this->host.gateway.MarkEndpointsUnavailable();
    EXPECT_EQ(this->StatusOfCall(this->host, "r-5"), 503);
  }
  EXPECT_EQ(tool.requests.size(), 1u);
}

TEST_F(GatewayLeavingTest, SendsNoCallAfterARefusalThatAnnouncesShutdown)
{
  RawEndpoint tool(this->io, [](const std::string& aRequest) {
    return PresetResponse{ MakeResponse(
      aRequest, "", kAnnouncement + "X-Not-Executed: 1\r\n", 503) };
  });
  this->host.AddEndpoint("t-1", "tools", tool.Address());
  EXPECT_EQ(this->StatusOfCall(this->host, "r-1"), 503);
  EXPECT_EQ(this->StatusOfCall(this->host, "r-2"), 503);
  EXPECT_EQ(tool.requests.size(), 1u);
}

TEST_F(GatewayLeavingTest, SendsNoTurnOnceTheHeadOfAStreamAnnouncesShutdown)
{
  RawEndpoint engine(this->io, [](const std::string& aRequest) {
    PresetResponse response;
    response.bytes =
      MakeLeavingStreamHead(aRequest) + Chunk("id: 1\ndata: one\n\n");
    response.delay = Millis(300);
    response.delayedBytes = "0\r\n\r\n";
    return response;
  });
  this->host.AddEndpoint("e-1", "engines", engine.Address());
  RawClient client(this->io, this->host.port);
  client.Send(this->TurnRequest("t-1", "", "x"));
  ASSERT_TRUE(this->RunUntil([&client] {
    return client.Received().find("data: one") != std::string::npos;
  }));
  EXPECT_EQ(StatusOf(this->SendAndReceive(this->host,
                                          this->TurnRequest("t-2", "", "y"))),
            503);
  {
    SCOPED_TRACE("the stream itself goes on to its end");
    EXPECT_TRUE(this->RunUntil(
      [&client] { return IsCompleteResponse(client.Received()); }));
  }
  EXPECT_EQ(engine.requests.size(), 1u);
}

TEST_F(GatewayLeavingTest, RemembersTheAnnouncementOfACallThatWasGivenUp)
{
  RawEndpoint engine(this->io, [](const std::string& aRequest) {
    PresetResponse response;
    response.bytes =
      MakeLeavingStreamHead(aRequest) + Chunk("id: 1\ndata: one\n\n");
    response.delay = Millis(5000);
    response.delayedBytes = "0\r\n\r\n";
    return response;
  });
  this->host.AddEndpoint("e-1", "engines", engine.Address());
  {
    RawClient client(this->io, this->host.port);
    client.Send(this->TurnRequest("t-1", "", "x"));
    ASSERT_TRUE(
      this->RunUntil([&client] { return StatusOf(client.Received()) == 200; }));
  }
  ASSERT_TRUE(this->RunUntil([&engine] { return engine.abortedByPeer == 1; }));
  EXPECT_EQ(StatusOf(this->SendAndReceive(this->host,
                                          this->TurnRequest("t-2", "", "y"))),
            503);
  EXPECT_EQ(engine.requests.size(), 1u);
}

// The endpoint has four slots and gets up to six calls at once.
constexpr size_t kMaxCallsAtOnce = 6;

TEST_F(GatewayLeavingTest, RefusesQueuedCallsAtOnceWhenTheLastEndpointLeaves)
{
  // The call that fills the endpoint brings the announcement: it may come no
  // earlier, however long the calls take to get there.
  const std::string last = "r-" + std::to_string(kMaxCallsAtOnce - 1);
  RawEndpoint tool(this->io, [&last](const std::string& aRequest) {
    PresetResponse response;
    response.delay = IdOf(aRequest) == last ? Millis(150) : Millis(5000);
    response.delayedBytes = MakeResponse(aRequest, "done", kAnnouncement);
    return response;
  });
  this->host.AddEndpoint("t-1", "tools", tool.Address());
  std::vector<std::unique_ptr<RawClient>> clients;
  for (size_t i = 0; i <= kMaxCallsAtOnce; ++i) {
    clients.push_back(std::make_unique<RawClient>(this->io, this->host.port));
    clients.back()->Send(
      this->Request("GET", "/look/1", "r-" + std::to_string(i)));
    ASSERT_TRUE(this->RunUntil([&tool, i] {
      return tool.requests.size() >= std::min(i + 1, kMaxCallsAtOnce);
    }));
  }
  const RawClient& queued = *clients.back();
  const TimePoint startedAt = BootNow();
  EXPECT_TRUE(this->RunUntil(
    [&queued] { return IsCompleteResponse(queued.Received()); }));
  EXPECT_EQ(StatusOf(queued.Received()), 503);
  EXPECT_NE(queued.Received().find("Retry-After: "), std::string::npos);
  EXPECT_LT(BootNow() - startedAt, Millis(400));
  EXPECT_EQ(tool.requests.size(), kMaxCallsAtOnce);
}

TEST_F(GatewayLeavingTest, IgnoresWhatIsNoAnnouncement)
{
  {
    SCOPED_TRACE("a closed connection");
    RawEndpoint tool(this->io, [](const std::string& aRequest) {
      return PresetResponse{ MakeResponse(
        aRequest, "done", "Connection: close\r\n") };
    });
    this->host.AddEndpoint("t-1", "tools", tool.Address());
    EXPECT_EQ(this->StatusOfCall(this->host, "r-1"), 200);
    EXPECT_EQ(this->StatusOfCall(this->host, "r-2"), 200);
    this->host.gateway.RemoveEndpoint("t-1");
  }
  {
    SCOPED_TRACE("the announcement of another endpoint at the same address");
    RawEndpoint tool(this->io, [&tool](const std::string& aRequest) {
      const bool misdirected = tool.requests.size() == 1;
      return PresetResponse{ MakeResponse(aRequest,
                                          "done",
                                          misdirected ? kAnnouncement : "",
                                          misdirected ? 421 : 200) };
    });
    this->host.AddEndpoint("t-2", "tools", tool.Address());
    EXPECT_EQ(this->StatusOfCall(this->host, "r-3"), 503);
    EXPECT_EQ(this->StatusOfCall(this->host, "r-4"), 200);
  }
}

// Two hosts that know each other.
class GatewayLeavingFleetTest : public GatewayLeavingTest
{
protected:
  void SetUp() override
  {
    for (GatewayHost* each : { &this->host, &this->peer }) {
      each->gateway.PutMember(this->host.Member("host-1"), false);
      each->gateway.PutMember(this->peer.Member("host-2"), false);
    }
    this->peer.ApplyCatalog();
    this->peer.AddEndpoint("t-1", "tools", this->tool.Address());
    this->ExchangeReports();
  }

  void ServeAtHost()
  {
    this->host.ApplyCatalog();
    this->host.AddEndpoint("t-1", "tools", this->tool.Address());
  }

  RawEndpoint tool{ io, Leave };
  GatewayHost peer{ io, log, "host-2" };
};

TEST_F(GatewayLeavingFleetTest, TellsTheHostThatForwardedTheCall)
{
  const std::string response =
    this->SendAndReceive(this->host, this->Request("GET", "/look/1", "r-1"));
  EXPECT_EQ(StatusOf(response), 200);
  EXPECT_EQ(response.find("X-Leaving-In-Fleet"), std::string::npos);
  this->ServeAtHost();
  EXPECT_EQ(this->StatusOfCall(this->host, "r-2"), 503);
  EXPECT_EQ(this->tool.requests.size(), 1u);
}

TEST_F(GatewayLeavingFleetTest, TellsThePeerToWhichItForwards)
{
  this->ServeAtHost();
  EXPECT_EQ(this->StatusOfCall(this->host, "r-1"), 200);
  {
    SCOPED_TRACE("the peer still has the endpoint and gets the next call");
    EXPECT_EQ(this->StatusOfCall(this->host, "r-2"), 503);
    EXPECT_NE(this->host.metrics.Text().find("tanagerseam_forwarded_total"),
              std::string::npos);
  }
  EXPECT_EQ(this->tool.requests.size(), 1u);
}

TEST_F(GatewayLeavingFleetTest, TellsItsPeersInReports)
{
  this->ServeAtHost();
  EXPECT_EQ(this->StatusOfCall(this->host, "r-1"), 200);
  this->ExchangeReports();
  EXPECT_EQ(this->StatusOfCall(this->peer, "r-2"), 503);
  EXPECT_EQ(this->tool.requests.size(), 1u);
}

} // namespace
} // namespace tanagerseam
