// A host that loses the store's log, but not its peers, while turns are under
// way.
#include "gateway/testing/gateway_fixture.h"

namespace tanagerseam {
namespace {

using namespace testing_support;

// One host's way to the store's log.
class CuttableLog : public RecordLog
{
public:
  CuttableLog(net::io_context& aIo, RecordLog& aStore)
    : io(aIo)
    , store(aStore)
  {
  }

  void Append(const LogPartition& aPartition,
              std::string aRecord,
              Millis aTimeout,
              std::function<void(const AppendResult&)> aDone) override
  {
    if (this->cut) {
      net::post(this->io, [aDone] { aDone(LogFault::kUnavailable); });
      return;
    }
    this->store.Append(
      aPartition, std::move(aRecord), aTimeout, std::move(aDone));
  }

  void Read(const LogPartition& aPartition,
            int64_t aFrom,
            Millis aTimeout,
            std::function<void(const ReadResult&)> aDone) override
  {
    if (this->cut) {
      net::post(this->io, [aDone] { aDone(LogFault::kUnavailable); });
      return;
    }
    this->store.Read(aPartition, aFrom, aTimeout, std::move(aDone));
  }

  bool cut = false;

private:
  net::io_context& io;
  RecordLog& store;
};

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
    this->cutLog.cut = true;
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
  CuttableLog cutLog{ io, log };
  GatewayHost peer{ io, log, "host-2" };
};

// Guards against the store outages in which calls whose engines had answered in
// full ended at the client's deadline, since their host could not write the
// record.
TEST_F(GatewayRecordRelayTest, AWholeAnswerEndsAlthoughTheHostHasNoLog)
{
  GatewayHost cutHost(
    this->io, this->cutLog, "host-3", kMaxResponseBytes, true);
  this->Connect(cutHost);
  const std::string received = this->TurnDuringCut(cutHost, "turn-1");
  EXPECT_EQ(StatusOf(received), 200);
  EXPECT_TRUE(IsCompleteResponse(received)) << received;
  EXPECT_EQ(cutHost.metrics.Value("tanagerseam_records_relayed_total",
                                  { { "result", "appended" } }),
            1);
  EXPECT_EQ(this->peer.metrics.Value("tanagerseam_records_for_peers_total",
                                     { { "result", "appended" } }),
            1);
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
    this->io, this->cutLog, "host-3", kMaxResponseBytes, true);
  this->Connect(cutHost, "zone-s");
  CatalogContent content = GatewayHost::MakeContent(2, "key-1");
  content.routes[0].allowedRegions = { "north" };
  cutHost.Apply(content);
  EXPECT_FALSE(IsCompleteResponse(this->TurnDuringCut(cutHost, "turn-1")));
  EXPECT_TRUE(this->RunUntil([&cutHost] {
    return cutHost.metrics.Value("tanagerseam_records_relayed_total",
                                 { { "result", "no_peer" } }) == 1;
  }));
}

} // namespace
} // namespace tanagerseam
