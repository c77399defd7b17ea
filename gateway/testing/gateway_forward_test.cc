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

// Guards against a peer that ends within its response, which the client got as
// a success with an empty or a short body, or as a refusal that says "not run".
class PeerThatEndsEarly : public GatewayTest
{
protected:
  enum class Framing
  {
    kLength,
    kChunks,
    kClose,
  };

  void SetUp() override
  {
    this->host.gateway.PutMember(this->host.Member("host-1"), false);
    this->host.gateway.PutMember(this->peer.Member("host-2"), false);
    this->peer.gateway.PutMember(this->host.Member("host-1"), false);
    this->peer.gateway.PutMember(this->peer.Member("host-2"), false);
    this->peer.ApplyCatalog();
    this->peer.AddEndpoint("t-1", "tools", this->fake.Address());
    this->peer.AddEndpoint("e-1", "engines", this->fake.Address());
    this->ExchangeReports();
  }

  static std::string Whole(const std::string& aRequest, Framing aFraming)
  {
    const bool stream = aRequest.find("/ask/") != std::string::npos;
    const std::string body = stream ? "id: 1\ndata: one\n\n" : "done";
    const std::string head =
      SuccessHead(aRequest) +
      (stream ? "Content-Type: text/event-stream\r\n" : "");
    switch (aFraming) {
      case Framing::kLength:
        return head + "Content-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body;
      case Framing::kChunks:
        return head + "Transfer-Encoding: chunked\r\n\r\n" + Chunk(body) +
               "0\r\n\r\n";
      case Framing::kClose:
        break;
    }
    return head + "\r\n" + body;
  }

  PresetResponse Respond(const std::string& aRequest) const
  {
    PresetResponse response;
    response.bytes = Whole(aRequest, this->framing).substr(0, this->length);
    response.close = true;
    response.reset = this->reset;
    return response;
  }

  // The bytes from which on an orderly close leaves nothing missing: nothing
  // tells the end of a body without a length, and a zero-sized chunk proves the
  // body before it whole (RFC 9112, section 8). The events of a stream show
  // where they end.
  size_t ProvedAt(const std::string& aWhole) const
  {
    constexpr size_t kLastLineEnd = 2;
    const bool stream = aWhole.find("data: ") != std::string::npos;
    if (this->reset || this->framing == Framing::kLength) {
      return aWhole.size();
    }
    if (this->framing == Framing::kChunks) {
      return aWhole.size() - kLastLineEnd;
    }
    return stream ? aWhole.size() : aWhole.find("\r\n\r\n") + 4;
  }

  void CutAtEachByte(const std::string& aRequest)
  {
    const std::string whole = Whole(aRequest, this->framing);
    const size_t headEnd = whole.find("\r\n\r\n") + 4;
    const size_t end = this->ProvedAt(whole);
    for (this->length = 0; this->length < end; ++this->length) {
      // The peer stays ready only with a catalog that was read lately.
      this->peer.gateway.ConfirmCatalog(BootNow());
      this->peer.gateway.ConfirmEndpoints(BootNow());
      const size_t before = this->fake.requests.size();
      const std::string response = this->SendAndReceive(this->host, aRequest);
      SCOPED_TRACE("cut behind byte " + std::to_string(this->length) + " of\n" +
                   whole + "\nthe client got\n" + response);
      EXPECT_EQ(this->fake.requests.size(), before + 1);
      if (StatusOf(response) == 200) {
        // A stream whose head came whole.
        EXPECT_GE(this->length, headEnd);
        EXPECT_NE(response.find("chunked"), std::string::npos);
        EXPECT_FALSE(IsCompleteResponse(response));
      } else {
        EXPECT_EQ(StatusOf(response), 502);
        EXPECT_EQ(response.find("X-Server-Seal"), std::string::npos);
      }
    }
  }

  Framing framing = Framing::kLength;
  bool reset = false;
  // The bytes of the response that are sent.
  size_t length = 0;
  // Stands for the server of host-2, which only reports.
  RawEndpoint fake{ io, [this](const std::string& aRequest) {
                     return this->Respond(aRequest);
                   } };
  GatewayHost peer{ io,
                    log,
                    "host-2",
                    GatewaySettings{}.maxResponseBytes,
                    CalledAt(fake.Address()) };

private:
  static GatewayHostOptions CalledAt(const std::string& aAddress)
  {
    GatewayHostOptions options;
    options.callAddress = aAddress;
    return options;
  }
};

TEST_F(PeerThatEndsEarly, GivesNoSuccess)
{
  const std::string requests[] = {
    this->Request("GET", "/look/1", "r-1"),
    this->Request("POST", "/charge/1", "r-2", "x"),
    this->TurnRequest("r-3", "", "x"),
  };
  for (const std::string& request : requests) {
    for (const Framing each :
         { Framing::kLength, Framing::kChunks, Framing::kClose }) {
      for (const bool resets : { false, true }) {
        this->framing = each;
        this->reset = resets;
        SCOPED_TRACE(resets ? "reset" : "close");
        this->CutAtEachByte(request);
      }
    }
  }
}

TEST_F(PeerThatEndsEarly, GivesItsWholeResponse)
{
  for (const Framing each :
       { Framing::kLength, Framing::kChunks, Framing::kClose }) {
    this->framing = each;
    this->length = std::string::npos;
    const std::string response =
      this->SendAndReceive(this->host, this->Request("GET", "/look/1", "r-1"));
    EXPECT_EQ(StatusOf(response), 200);
    EXPECT_EQ(BodyOf(response), "done");
  }
}

// Request smuggling: a request with ambiguous framing must not let a second one
// hidden in its body reach an endpoint.

} // namespace
} // namespace tanagerseam
