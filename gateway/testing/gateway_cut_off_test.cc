// A host that reaches no endpoint of a service, while its peers do.
#include "gateway/testing/gateway_fixture.h"

namespace tanagerseam {
namespace {

using namespace testing_support;

class GatewayCutOffTest : public GatewayTest
{
protected:
  void SetUp() override
  {
    for (GatewayHost* each : { &this->host, &this->peer }) {
      each->ApplyCatalog();
      each->gateway.PutMember(this->host.Member("host-1"), false);
      each->gateway.PutMember(this->peer.Member("host-2"), false);
    }
    this->AddEndpoints(
      this->peer, this->tool.Address(), this->engine.Address());
    this->AddEndpoints(this->host, this->nobody, this->nobody);
    this->ExchangeReports();
  }

  static void AddEndpoints(GatewayHost& aHost,
                           const std::string& aTool,
                           const std::string& aEngine)
  {
    for (int i = 0; i < 3; ++i) {
      aHost.AddEndpoint("t-" + std::to_string(i), "tools", aTool);
      aHost.AddEndpoint("e-" + std::to_string(i), "engines", aEngine);
    }
  }

  int StatusOfCall(const std::string& aMethod, const std::string& aTarget)
  {
    return StatusOf(this->SendAndReceive(
      this->host, this->Request(aMethod, aTarget, this->NextId())));
  }

  std::string NextId() { return "c-" + std::to_string(this->nextId++); }

  RawEndpoint tool{ io, [](const std::string& aRequest) {
                     return PresetResponse{ MakeResponse(aRequest, "done") };
                   } };
  RawEndpoint engine{ io, [](const std::string& aRequest) {
                       return PresetResponse{ MakeStreamHead(aRequest) +
                                              Chunk("id: 1\ndata: one\n\n") +
                                              "0\r\n\r\n" };
                     } };
  // Refuses connections.
  const std::string nobody = "127.0.0.1:" + std::to_string(FreePort());
  GatewayHost peer{ io, log, "host-2" };
  int nextId = 0;
};

// Guards against incident RECOVER: callers of hosts that had lost their links
// to all endpoints were served far worse than those of the others.
TEST_F(GatewayCutOffTest, ServesItsCallersThroughAPeerThatReachesTheService)
{
  for (int i = 0; i < 5; ++i) {
    SCOPED_TRACE("round " + std::to_string(i));
    EXPECT_EQ(this->StatusOfCall("GET", "/look/1"), 200);
    EXPECT_EQ(this->StatusOfCall("POST", "/charge/1"), 200);
    EXPECT_EQ(StatusOf(this->SendAndReceive(
                this->host, this->TurnRequest(this->NextId(), "", "x"))),
              200);
  }
  EXPECT_EQ(this->tool.requests.size(), 10u);
  EXPECT_EQ(this->engine.requests.size(), 5u);
}

TEST_F(GatewayCutOffTest, ServesThemItselfOnceItsLinksAreBack)
{
  for (int i = 0; i < 5; ++i) {
    EXPECT_EQ(this->StatusOfCall("GET", "/look/1"), 200);
  }
  RawEndpoint own(this->io, [](const std::string& aRequest) {
    return PresetResponse{ MakeResponse(aRequest, "done") };
  });
  this->AddEndpoints(this->host, own.Address(), own.Address());
  const TimePoint backAt = BootNow();
  while (own.requests.empty() && BootNow() < backAt + Millis(2000)) {
    EXPECT_EQ(this->StatusOfCall("GET", "/look/1"), 200);
    this->RunFor(Millis(20));
  }
  EXPECT_LT(BootNow() - backAt, Millis(1200));
  const size_t throughPeer = this->tool.requests.size();
  for (int i = 0; i < 5; ++i) {
    EXPECT_EQ(this->StatusOfCall("GET", "/look/1"), 200);
  }
  EXPECT_EQ(this->tool.requests.size(), throughPeer);
}

TEST_F(GatewayCutOffTest, RefusesAtOnceWhereNoPeerReachesTheServiceEither)
{
  this->AddEndpoints(this->peer, this->nobody, this->nobody);
  for (int i = 0; i < 5; ++i) {
    const TimePoint startedAt = BootNow();
    EXPECT_EQ(this->StatusOfCall("POST", "/charge/1"), 503);
    EXPECT_LT(BootNow() - startedAt, Millis(300));
  }
  EXPECT_TRUE(this->tool.requests.empty());
}

} // namespace
} // namespace tanagerseam
