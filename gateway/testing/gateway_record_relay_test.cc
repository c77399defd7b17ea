// A host that loses the store's log, but not its peers, while turns are under
// way.
#include "gateway/testing/gateway_fixture.h"
#include "program/testing/host_log.h"

namespace tanagerseam {
namespace {

using namespace testing_support;

class GatewayRecordRelayTest : public GatewayTest
{
protected:
  // Two hosts that know each other, one of which may lose the log.
  void Connect(GatewayHost& aHost, const std::string& aPeerZone = "zone-b")
  {
    for (GatewayHost* each : { &aHost, &this->peer }) {
      each->gateway.PutMember(aHost.Member("host-3"), false);
      each->gateway.PutMember(this->peer.Member("host-2", aPeerZone), false);
      each->ApplyCatalog();
      each->AddEndpoint("e-1", "engines", this->engine.Address());
    }
    this->ExchangeReports();
  }

  // What the client of a turn receives whose host loses the log before the
  // engine has answered in full.
  std::string TurnDuringCut(GatewayHost& aHost, const std::string& aId)
  {
    RawClient client(this->io, aHost.port);
    client.Send(this->TurnRequest(aId, "", "hello"));
    EXPECT_TRUE(this->RunUntil([&client] {
      return client.Received().find("one") != std::string::npos;
    }));
    this->cutLog.lost = true;
    this->RunUntil([&client] {
      return IsCompleteResponse(client.Received()) || client.Closed();
    });
    return client.Received();
  }

  static PresetResponse SlowStream(const std::string& aRequest)
  {
    return { MakeStreamHead(aRequest) + Chunk("id: 1\ndata: one\n\n"),
             Millis(50),
             Chunk("id: 2\ndata: two\n\n") + "0\r\n\r\n" };
  }

  static constexpr size_t kMaxResponseBytes = 1u << 20;

  RawEndpoint engine{ io, SlowStream };
  HostLog cutLog{ io, log };
  GatewayHost peer{ io, log, "host-2" };
};

// Guards against the store outages in which calls whose engines had answered in
// full ended at the client's deadline, since their host could not write the
// record.
TEST_F(GatewayRecordRelayTest, AWholeAnswerEndsAlthoughTheHostHasNoLog)
{
  GatewayHost cutHost(
    this->io, this->cutLog, "host-3", kMaxResponseBytes, { true });
  this->Connect(cutHost);
  const std::string received = this->TurnDuringCut(cutHost, "turn-1");
  EXPECT_EQ(StatusOf(received), 200);
  EXPECT_TRUE(IsCompleteResponse(received)) << received;
  // The record, and the copy of a turn that outlasts it.
  constexpr int kWritesOfATurn = 2;
  EXPECT_EQ(cutHost.metrics.Value("tanagerseam_records_relayed_total",
                                  { { "result", "appended" } }),
            kWritesOfATurn);
  EXPECT_EQ(this->peer.metrics.Value("tanagerseam_records_for_peers_total",
                                     { { "result", "appended" } }),
            kWritesOfATurn);
  {
    SCOPED_TRACE("the turn is in the log: another host goes on from it");
    this->SendAndReceive(this->peer,
                         this->TurnRequest("turn-2", "turn-1", "and then?"));
    ASSERT_EQ(this->engine.requests.size(), 2u);
    EXPECT_EQ(BodyOf(this->engine.requests[1]), "helloone\ntwo\nand then?");
  }
}

TEST_F(GatewayRecordRelayTest, ItIsOffByDefault)
{
  GatewayHost cutHost(this->io, this->cutLog, "host-3");
  this->Connect(cutHost);
  EXPECT_FALSE(IsCompleteResponse(this->TurnDuringCut(cutHost, "turn-1")));
}

// Guards against a call's text that reaches a host outside its regions.
TEST_F(GatewayRecordRelayTest, APeerOutsideTheRegionsOfTheCallGetsNoRecord)
{
  GatewayHost cutHost(
    this->io, this->cutLog, "host-3", kMaxResponseBytes, { true });
  this->Connect(cutHost, "zone-s");
  CatalogContent content = GatewayHost::MakeContent(2, "key-1");
  content.routes[0].allowedRegions = { "north" };
  cutHost.Apply(content);
  EXPECT_FALSE(IsCompleteResponse(this->TurnDuringCut(cutHost, "turn-1")));
  EXPECT_TRUE(this->RunUntil([&cutHost] {
    return cutHost.metrics.Value("tanagerseam_records_relayed_total",
                                 { { "result", "no_peer" } }) == 2;
  }));
}

} // namespace
} // namespace tanagerseam
