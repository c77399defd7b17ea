// Zones that are evacuated, endpoints that are cold, and regions that bind:
// what reaches which endpoint, from this host and from its peers.
#include "gateway/testing/gateway_fixture.h"

namespace tanagerseam {
namespace {

using namespace testing_support;

// An endpoint of four slots gets up to six calls at once.
constexpr size_t kMaxCallsAtOnce = 6;

PresetResponse
Done(const std::string& aRequest)
{
  return { MakeResponse(aRequest, "done") };
}

// An endpoint "t-a" in zone-a, which is evacuated, and "t-b" in zone-b.
class GatewayEvacuationTest : public GatewayTest
{
protected:
  void SetUp() override
  {
    this->host.ApplyCatalog();
    this->host.AddEndpoint("t-a", "tools", this->toolA.Address(), "zone-a");
  }

  void AddToolB(GatewayHost& aHost)
  {
    aHost.AddEndpoint("t-b", "tools", this->toolB.Address(), "zone-b");
  }

  void Evacuate(bool aEvacuated, int64_t aPosition)
  {
    this->host.gateway.PutEvacuation({ "zone-a", aEvacuated, aPosition });
  }

  int StatusOfCall(GatewayHost& aHost)
  {
    const std::string id = "r-" + std::to_string(this->nextId++);
    return StatusOf(
      this->SendAndReceive(aHost, this->Request("GET", "/look/1", id)));
  }

  RawEndpoint toolA{ io, Done };
  RawEndpoint toolB{ io, Done };
  int nextId = 0;
};

// Calls once reached endpoints of a zone five seconds after its evacuation was
// acknowledged: no code read the record.
TEST_F(GatewayEvacuationTest, NoCallReachesTheZoneUntilItIsTakenBack)
{
  this->AddToolB(this->host);
  this->Evacuate(true, 1);
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(this->StatusOfCall(this->host), 200);
  }
  EXPECT_EQ(this->toolA.requests.size(), 0u);
  EXPECT_EQ(this->toolB.requests.size(), 20u);
  {
    SCOPED_TRACE("a new entry of the endpoint changes nothing");
    this->host.AddEndpoint("t-a", "tools", this->toolA.Address(), "zone-a");
    EXPECT_EQ(this->StatusOfCall(this->host), 200);
    EXPECT_EQ(this->toolA.requests.size(), 0u);
  }
  {
    SCOPED_TRACE("taken back");
    this->Evacuate(false, 2);
    this->host.gateway.RemoveEndpoint("t-b");
    EXPECT_EQ(this->StatusOfCall(this->host), 200);
    EXPECT_EQ(this->toolA.requests.size(), 1u);
  }
}

TEST_F(GatewayEvacuationTest, AQueuedCallDoesNotGoThere)
{
  RawEndpoint slow(this->io, [](const std::string& aRequest) {
    PresetResponse response;
    response.delay = Millis(300);
    response.delayedBytes = MakeResponse(aRequest, "done");
    return response;
  });
  this->host.gateway.RemoveEndpoint("t-a");
  this->host.AddEndpoint("t-s", "tools", slow.Address(), "zone-a");
  std::vector<std::unique_ptr<RawClient>> clients;
  for (size_t i = 0; i <= kMaxCallsAtOnce; ++i) {
    clients.push_back(std::make_unique<RawClient>(this->io, this->host.port));
    clients.back()->Send(
      this->Request("GET", "/look/1", "q-" + std::to_string(i)));
    ASSERT_TRUE(this->RunUntil([&slow, i] {
      return slow.requests.size() >= std::min(i + 1, kMaxCallsAtOnce);
    }));
  }
  const size_t sentBefore = slow.requests.size();
  this->Evacuate(true, 1);
  EXPECT_TRUE(this->RunUntil(
    [&clients] { return StatusOf(clients.back()->Received()) == 503; }));
  {
    SCOPED_TRACE("calls that had reached the zone are answered");
    EXPECT_TRUE(this->RunUntil(
      [&clients] { return StatusOf(clients.front()->Received()) == 200; }));
  }
  EXPECT_EQ(slow.requests.size(), sentBefore);
}

// Two hosts that know each other; only the first one reads the store.
class GatewayEvacuationFleetTest : public GatewayEvacuationTest
{
protected:
  void SetUp() override
  {
    GatewayEvacuationTest::SetUp();
    for (GatewayHost* each : { &this->host, &this->peer }) {
      each->gateway.PutMember(this->host.Member("host-1"), false);
      each->gateway.PutMember(this->peer.Member("host-2"), false);
    }
    this->peer.ApplyCatalog();
    this->peer.AddEndpoint("t-a", "tools", this->toolA.Address(), "zone-a");
    this->ExchangeReports();
  }

  GatewayHost peer{ io, log, "host-2" };
};

TEST_F(GatewayEvacuationFleetTest, AHostWithoutTheStoreHearsOfItFromPeers)
{
  this->Evacuate(true, 7);
  this->ExchangeReports();
  EXPECT_EQ(this->StatusOfCall(this->peer), 503);
  EXPECT_EQ(this->toolA.requests.size(), 0u);
  {
    SCOPED_TRACE("and that it was taken back");
    this->Evacuate(false, 9);
    this->ExchangeReports();
    EXPECT_EQ(this->StatusOfCall(this->peer), 200);
  }
}

TEST_F(GatewayEvacuationFleetTest, ColdEndpointsGetTheirRateFromBothHosts)
{
  auto content = GatewayHost::MakeContent(2, "key-1");
  content.services[1].coldTime = Millis(3000);
  content.services[1].coldCallsPerSecond = 10;
  for (GatewayHost* each : { &this->host, &this->peer }) {
    each->Apply(content);
  }
  // The peer's registry says nothing of it.
  this->host.AddEndpoint(
    "t-a", "tools", this->toolA.Address(), "zone-a", Millis(3000));
  this->ExchangeReports();
  std::vector<std::unique_ptr<RawClient>> clients;
  for (int i = 0; i < 60; ++i) {
    const uint16_t port = i % 2 == 0 ? this->host.port : this->peer.port;
    clients.push_back(std::make_unique<RawClient>(this->io, port));
    clients.back()->Send(
      this->Request("GET", "/look/1", "c-" + std::to_string(i)));
  }
  this->RunFor(Millis(900));
  EXPECT_LE(this->toolA.requests.size(), 10 * 1.5 + 5);
  EXPECT_GE(this->toolA.requests.size(), 3u);
}

// The call's body must not leave the regions that it is allowed in.
class GatewayRegionTest : public GatewayEvacuationFleetTest
{
protected:
  void ApplyRegions(std::vector<std::string> aRoute,
                    std::vector<std::string> aOrganisation)
  {
    auto content = GatewayHost::MakeContent(++this->version, "key-1");
    content.routes[2].allowedRegions = std::move(aRoute);
    content.organisations[0].allowedRegions = std::move(aOrganisation);
    this->host.Apply(content);
  }

  RawEndpoint toolS{ io, Done };
  int64_t version = 1;
};

TEST_F(GatewayRegionTest, RouteAndOrganisationBothBind)
{
  this->host.AddEndpoint("t-s", "tools", this->toolS.Address(), "zone-s");
  this->host.AddEndpoint("t-u", "tools", this->toolB.Address(), "nowhere");
  this->ApplyRegions({ "south" }, {});
  for (int i = 0; i < 10; ++i) {
    EXPECT_EQ(this->StatusOfCall(this->host), 200);
  }
  EXPECT_EQ(this->toolS.requests.size(), 10u);
  {
    SCOPED_TRACE("no region is in both lists");
    this->ApplyRegions({ "south" }, { "north" });
    const std::string response =
      this->SendAndReceive(this->host, this->Request("GET", "/look/1", "none"));
    EXPECT_EQ(StatusOf(response), 503);
    EXPECT_NE(response.find("no_endpoint_in_region"), std::string::npos);
  }
  EXPECT_EQ(this->toolA.requests.size() + this->toolB.requests.size(), 0u);
}

TEST_F(GatewayRegionTest, NoPeerInAnotherRegionGetsTheBody)
{
  this->host.gateway.PutMember(this->peer.Member("host-2", "zone-s"), false);
  this->host.gateway.RemoveEndpoint("t-a");
  this->ApplyRegions({ "north" }, {});
  EXPECT_EQ(this->StatusOfCall(this->host), 503);
  EXPECT_EQ(this->toolA.requests.size(), 0u);
  {
    SCOPED_TRACE("a peer in an allowed region does");
    this->host.gateway.PutMember(this->peer.Member("host-2", "zone-a"), false);
    this->ExchangeReports();
    EXPECT_EQ(this->StatusOfCall(this->host), 200);
    EXPECT_EQ(this->toolA.requests.size(), 1u);
  }
}

} // namespace
} // namespace tanagerseam
