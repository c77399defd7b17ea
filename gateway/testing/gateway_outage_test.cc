// Turns while the record log is away: what was granted before is used up, and
// what needs the log is refused at once.
#include "gateway/testing/gateway_fixture.h"

namespace tanagerseam {
namespace {

using namespace testing_support;

// Two hosts that know each other, each with a log of its own, and a route
// without history.
class GatewayOutageTest : public GatewayTest
{
protected:
  void SetUp() override
  {
    for (GatewayHost* each : { &this->host, &this->peer }) {
      each->gateway.PutMember(this->host.Member("host-1"), false);
      each->gateway.PutMember(this->peer.Member("host-2"), false);
      this->ApplyCatalogWithoutHistory(*each);
      each->AddEndpoint("e-1", "engines", this->engine.Address());
    }
    this->ExchangeReports();
  }

  static void ApplyCatalogWithoutHistory(GatewayHost& aHost)
  {
    CatalogContent content;
    content.version = 1;
    content.routes = { MakeRoute("/chat/", CallKind::kStream, 1) };
    content.services = { { "engines", 10 } };
    content.organisations = { { "club", { "key-1" }, {}, 1000, 1000 } };
    aHost.gateway.SetCatalog(std::make_shared<const Catalog>(content));
    aHost.gateway.ConfirmCatalog(BootNow());
    aHost.gateway.ConfirmMembers();
  }

  std::string Turn(const std::string& aProgram)
  {
    const std::string headers = "X-Program-Id: " + aProgram +
                                "\r\nX-Session-Id: s\r\n"
                                "X-Token-Usage: 100,100\r\n"
                                "X-Token-Budget: 1000\r\n";
    const std::string id = aProgram + "-" + std::to_string(this->nextTurn++);
    return this->Request("POST", "/chat/1", id, "x", headers);
  }

  int StatusOfTurn(GatewayHost& aHost, const std::string& aProgram)
  {
    return StatusOf(this->SendAndReceive(aHost, this->Turn(aProgram)));
  }

  // Takes the log away and lets both hosts notice it.
  void LoseLog()
  {
    this->log.down = true;
    this->peerLog.down = true;
    RawClient atHost(this->io, this->host.port);
    RawClient atPeer(this->io, this->peer.port);
    atHost.Send(this->Turn("lost-1") + this->Turn("lost-2"));
    atPeer.Send(this->Turn("lost-3") + this->Turn("lost-4"));
    EXPECT_TRUE(this->RunUntil([&atHost, &atPeer] {
      return StatusOf(atHost.Received()) == 503 &&
             StatusOf(atPeer.Received()) == 503;
    }));
    this->RunFor(2 * FleetLink::kReportInterval);
  }

  static PresetResponse Stream(const std::string& aRequest)
  {
    return { MakeStreamHead(aRequest) + Chunk("id: 1\ndata: one\n\n") +
             "0\r\n\r\n" };
  }

  RawEndpoint engine{ io, Stream };
  MemoryLog peerLog{ io };
  GatewayHost peer{ io, peerLog, "host-2" };
  int nextTurn = 0;
};

// Enough programs for both hosts to own the budget of some.
constexpr int kPrograms = 8;

TEST_F(GatewayOutageTest, ProgramsUnderWayGoOnWithTheirGrants)
{
  for (int i = 0; i < kPrograms; ++i) {
    EXPECT_EQ(this->StatusOfTurn(this->host, "p-" + std::to_string(i)), 200);
  }
  this->LoseLog();
  {
    SCOPED_TRACE("a quarter of the budget was granted, and one event used");
    for (int i = 0; i < kPrograms; ++i) {
      EXPECT_EQ(this->StatusOfTurn(this->host, "p-" + std::to_string(i)), 200);
      EXPECT_EQ(this->StatusOfTurn(this->peer, "p-" + std::to_string(i)), 200);
    }
  }
}

TEST_F(GatewayOutageTest, TheOnlyHostWithTheLogOwnsAllBudgets)
{
  this->peerLog.down = true;
  RawClient atPeer(this->io, this->peer.port);
  atPeer.Send(this->Turn("lost"));
  // The peer notices that its log is away, and forwards the call.
  EXPECT_TRUE(this->RunUntil(
    [&atPeer] { return IsCompleteResponse(atPeer.Received()); }));
  EXPECT_EQ(StatusOf(atPeer.Received()), 200);
  this->RunFor(FleetLink::kReportInterval + Millis(20));
  const int appendsBefore = this->log.appends;
  for (int i = 0; i < kPrograms; ++i) {
    EXPECT_EQ(this->StatusOfTurn(this->host, "p-" + std::to_string(i)), 200);
    EXPECT_EQ(this->StatusOfTurn(this->host, "p-" + std::to_string(i)), 200);
  }
  EXPECT_EQ(this->log.appends - appendsBefore, kPrograms)
    << "one grant for two turns of each program";
}

TEST_F(GatewayOutageTest, NewProgramsAreRefusedAtOnce)
{
  this->LoseLog();
  const TimePoint startedAt = BootNow();
  EXPECT_EQ(this->StatusOfTurn(this->host, "new"), 503);
  EXPECT_LT(BootNow() - startedAt, Millis(100));
}

} // namespace
} // namespace tanagerseam
