// What a host holds, and what it sends to one endpoint at a time, is bounded,
// and the calls of fast clients go on.
#include "gateway/testing/gateway_fixture.h"

namespace tanagerseam {
namespace {

using namespace testing_support;

constexpr size_t kEndpointBytes = 128u << 10;
constexpr size_t kLargeBody = 100u << 10;

class GatewayMemoryTest : public GatewayTest
{
protected:
  // Large requests are held for a while, small ones answered at once.
  static PresetResponse HoldLarge(const std::string& aRequest)
  {
    PresetResponse response;
    if (aRequest.size() < kLargeBody) {
      return { MakeResponse(aRequest, "small") };
    }
    response.delay = Millis(200);
    response.delayedBytes = MakeResponse(aRequest, "large");
    return response;
  }

  void SetUp() override { this->bounded.ApplyCatalog(); }

  std::unique_ptr<RawClient> SendLarge(const std::string& aId)
  {
    auto client = std::make_unique<RawClient>(this->io, this->bounded.port);
    client->Send(
      this->Request("POST", "/charge/1", aId, std::string(kLargeBody, 'x')));
    return client;
  }

  std::shared_ptr<HeldMemory> memory =
    std::make_shared<HeldMemory>(this->io, 900u << 10);
  GatewayHost bounded{ io,
                       log,
                       "host-2",
                       GatewaySettings{}.maxResponseBytes,
                       { false, kEndpointBytes, this->memory } };
};

// Guards against an endpoint that crashes since this host sent it more than its
// memory holds.
TEST_F(GatewayMemoryTest, SendsAnEndpointNoMoreThanTheBoundAtATime)
{
  RawEndpoint tool(this->io, HoldLarge);
  this->bounded.AddEndpoint("t-1", "tools", tool.Address());
  const auto one = this->SendLarge("r-1");
  const auto two = this->SendLarge("r-2");
  this->RunFor(Millis(100));
  EXPECT_EQ(tool.requests.size(), 1u);
  {
    SCOPED_TRACE("a small call is served beside them");
    const TimePoint begin = BootNow();
    const std::string response = this->SendAndReceive(
      this->bounded, this->Request("POST", "/charge/1", "r-3", "x"));
    EXPECT_EQ(StatusOf(response), 200);
    EXPECT_LT(BootNow() - begin, Millis(200));
  }
  EXPECT_TRUE(this->RunUntil([&] {
    return IsCompleteResponse(one->Received()) &&
           IsCompleteResponse(two->Received());
  }));
  EXPECT_EQ(StatusOf(one->Received()), 200);
  EXPECT_EQ(StatusOf(two->Received()), 200);
  EXPECT_EQ(tool.requests.size(), 3u);
  EXPECT_EQ(this->memory->Budget()->Used(), 0u);
}

TEST_F(GatewayMemoryTest, PlacesCallsBeyondTheBoundElsewhere)
{
  RawEndpoint tool(this->io, HoldLarge);
  RawEndpoint other(this->io, HoldLarge);
  this->bounded.AddEndpoint("t-1", "tools", tool.Address());
  this->bounded.AddEndpoint("t-2", "tools", other.Address());
  const auto one = this->SendLarge("r-1");
  const auto two = this->SendLarge("r-2");
  this->RunFor(Millis(100));
  EXPECT_EQ(tool.requests.size(), 1u);
  EXPECT_EQ(other.requests.size(), 1u);
}

// A call that has run must find room for its response; one that waits is told
// truly that it has not run.
TEST_F(GatewayMemoryTest, RefusesACallThatWaitsWhenItsMemoryIsNeeded)
{
  RawEndpoint tool(this->io, HoldLarge);
  this->bounded.AddEndpoint("t-1", "tools", tool.Address());
  const auto sent = this->SendLarge("r-1");
  this->RunFor(Millis(50));
  const auto waiting = this->SendLarge("r-2");
  this->RunFor(Millis(50));
  ByteShare response(this->memory->Budget());
  EXPECT_TRUE(response.Resize(600u << 10));
  EXPECT_TRUE(
    this->RunUntil([&] { return IsCompleteResponse(waiting->Received()); }));
  EXPECT_EQ(StatusOf(waiting->Received()), 503);
  EXPECT_NE(waiting->Received().find("Retry-After"), std::string::npos);
  EXPECT_TRUE(
    this->RunUntil([&] { return IsCompleteResponse(sent->Received()); }));
  EXPECT_EQ(StatusOf(sent->Received()), 200);
  EXPECT_EQ(tool.requests.size(), 1u);
}

} // namespace
} // namespace tanagerseam
