// Streams that a client resumes without their name, through a host that infers
// which version began them.
#include "gateway/testing/gateway_fixture.h"

namespace tanagerseam {
namespace {

using namespace testing_support;

constexpr Millis kTimeout(50);

class GatewayResumptionTest : public GatewayTest
{
protected:
  void SetUp() override { this->Configure(1, "engines", kTimeout); }

  // The configuration has one route for streams that are resumable.
  void Configure(int64_t aVersion, const std::string& aService, Millis aTimeout)
  {
    CatalogContent content = GatewayHost::MakeContent(aVersion, "key-1");
    RouteEntry follow = MakeRoute("/follow/", CallKind::kStream, 1);
    follow.resumable = true;
    follow.timeout = aTimeout;
    follow.targets = { { aService, 1 } };
    content.routes.push_back(follow);
    content.services.push_back({ "writers", 10 });
    this->host.Apply(content);
  }

  void PutEngine(const std::string& aVersion,
                 const std::string& aService = "engines",
                 bool aDraining = false)
  {
    EndpointEntry entry;
    entry.id = "e-" + aVersion;
    entry.service = aService;
    entry.address = this->engine.Address();
    entry.zone = "zone-a";
    entry.version = aVersion;
    entry.slots = 4;
    entry.draining = aDraining;
    this->host.gateway.PutEndpoint(entry);
    this->host.gateway.ConfirmEndpoints(BootNow());
  }

  void RemoveEngine(const std::string& aVersion)
  {
    // One that did not drain would be kept for a time.
    this->PutEngine(aVersion, "engines", true);
    this->host.gateway.RemoveEndpoint("e-" + aVersion);
    this->host.gateway.ConfirmEndpoints(BootNow());
  }

  int Follow(const std::string& aHeaders = "")
  {
    const std::string id = "f-" + std::to_string(this->nextId++);
    return StatusOf(this->SendAndReceive(
      this->host, this->Request("POST", "/follow/1", id, "input", aHeaders)));
  }

  int Resume() { return this->Follow("Last-Event-Id: 0\r\n"); }

  void WaitTwoTimeouts()
  {
    this->RunFor(2 * kTimeout + Millis(50));
    this->host.gateway.ConfirmEndpoints(BootNow());
  }

  RawEndpoint engine{ io, [](const std::string& aRequest) {
                       return PresetResponse{ MakeStreamHead(aRequest) +
                                              Chunk("id: 1\ndata: one\n\n") +
                                              "0\r\n\r\n" };
                     } };
  int nextId = 0;
};

// Guards against a client that comes back later than two timeouts of the route
// after the version that began its stream has left.
TEST_F(GatewayResumptionTest, RefusesWhileAFormerVersionCanHaveBegunTheStream)
{
  this->PutEngine("v1");
  EXPECT_EQ(this->Follow(), 200);
  EXPECT_EQ(this->Resume(), 200);
  this->PutEngine("v2");
  this->RemoveEngine("v1");
  this->WaitTwoTimeouts();
  EXPECT_EQ(this->Resume(), 503);
}

// Guards against text joined from two services: the stream began before the
// configuration moved its route to another one.
TEST_F(GatewayResumptionTest, RefusesAfterTheRouteMovedToAnotherService)
{
  this->PutEngine("v1");
  this->PutEngine("w1", "writers");
  this->WaitTwoTimeouts();
  EXPECT_EQ(this->Resume(), 200);
  this->Configure(2, "writers", kTimeout);
  this->WaitTwoTimeouts();
  EXPECT_EQ(this->Resume(), 503);
  {
    SCOPED_TRACE("a new timeout alone moves nothing");
    this->Configure(3, "writers", 2 * kTimeout);
    EXPECT_EQ(this->Follow(), 200);
    EXPECT_EQ(this->Resume(), 503);
  }
}

TEST_F(GatewayResumptionTest, ServesIfNoStreamBeganAtAFormerVersion)
{
  this->PutEngine("v1");
  this->PutEngine("v2");
  this->RemoveEngine("v1");
  EXPECT_EQ(this->Resume(), 503);
  this->WaitTwoTimeouts();
  EXPECT_EQ(this->Resume(), 200);
}

// The stream began at a peer, which tells this host of the version alone.
TEST_F(GatewayResumptionTest, RefusesIfAPeerBeganStreamsAtAFormerVersion)
{
  this->PutEngine("v1");
  this->PutEngine("v2");
  this->RemoveEngine("v1");
  this->WaitTwoTimeouts();
  GatewayHost peer(this->io, this->log, "host-2");
  FleetHandlers handlers;
  bool asked = false;
  const StreamOrigin former{ "engines", "v1" };
  handlers.onReport = [](const HostReport&) {};
  handlers.onAcquireQuota = [](const std::string&, uint64_t) {
    return QuotaAnswer::kGranted;
  };
  handlers.onFindStream = [&](uint64_t aKey) {
    asked = true;
    return aKey == OriginKey(former) ? &former : nullptr;
  };
  peer.link.SetHandlers(std::move(handlers));
  this->host.gateway.PutMember(peer.Member("host-2"), false);
  peer.gateway.PutMember(this->host.Member("host-1"), false);
  this->ExchangeReports();
  this->host.gateway.ConfirmEndpoints(BootNow());
  EXPECT_EQ(this->Resume(), 503);
  EXPECT_TRUE(asked);
}

// Guards against text joined from two versions at a host that was cut off or
// suspended: it took the registry as it had read it before the call for the
// present one, while endpoints of a new version joined and began streams.
TEST_F(GatewayResumptionTest, InfersNoVersionFromAReadingOlderThanTheCall)
{
  this->PutEngine("v1");
  const std::string resumption =
    this->Request("POST", "/follow/1", "f-1", "input", "Last-Event-Id: 0\r\n");
  const auto confirm = this->host.registry.onRead;
  this->host.registry.onRead = nullptr;
  const auto responseAfter = [&](const std::function<void()>& aReading) {
    RawClient client(this->io, this->host.port);
    client.Send(resumption);
    this->RunFor(Millis(20));
    EXPECT_EQ(client.Received(), "") << "the host does not know yet";
    aReading();
    this->RunUntil([&client] { return client.Received() != ""; });
    return StatusOf(client.Received());
  };
  {
    SCOPED_TRACE("a reading that began before the call");
    const TimePoint startedAt = BootNow();
    EXPECT_EQ(responseAfter([&] { confirm(startedAt); }), 503);
  }
  {
    SCOPED_TRACE("the registry can't be read");
    EXPECT_EQ(
      responseAfter([this] { this->host.gateway.MarkEndpointsUnavailable(); }),
      503);
    this->host.gateway.ConfirmEndpoints(BootNow());
  }
  {
    SCOPED_TRACE("a reading after the call shows no other version");
    EXPECT_EQ(responseAfter([&] { confirm(BootNow()); }), 200);
  }
  {
    SCOPED_TRACE("one that shows a new version");
    EXPECT_EQ(responseAfter([this] { this->PutEngine("v2"); }), 503);
  }
}

// Guards against a client that gets events twice: the endpoint ignores the
// client's last event and begins its stream anew.
TEST_F(GatewayResumptionTest, PassesNoEventOnThatTheClientHas)
{
  this->PutEngine("v1");
  EXPECT_EQ(this->Follow(), 200);
  const auto resume = [this](const std::string& aLastEvent) {
    return this->SendAndReceive(
      this->host,
      this->Request("POST",
                    "/follow/1",
                    "f-" + aLastEvent,
                    "input",
                    "Last-Event-Id: " + aLastEvent + "\r\n"));
  };
  for (const char* lastEvent : { "1", "2" }) {
    SCOPED_TRACE(lastEvent);
    const std::string received = resume(lastEvent);
    EXPECT_FALSE(IsCompleteResponse(received));
    EXPECT_EQ(received.find("data: one"), std::string::npos);
  }
  EXPECT_TRUE(IsCompleteResponse(resume("0")));
}

} // namespace
} // namespace tanagerseam
