// Entries of endpoints that the store executes later than newer ones.
#include "gateway/testing/gateway_fixture.h"

namespace tanagerseam {
namespace {

using namespace testing_support;

constexpr int64_t kStart = 1700000000000;

class EntryOrderTest : public GatewayTest
{
protected:
  void SetUp() override { this->host.ApplyCatalog(); }

  // The host reads an entry that the endpoint wrote.
  void Read(int64_t aStart, int aSequence, const std::string& aState)
  {
    const std::string text =
      R"({"service":"tools","address":")" + this->endpoint.Address() +
      R"(","zone":"zone-a","version":"v1","slots":4,"state":")" + aState +
      R"(","sequence":)" + std::to_string(aSequence) + R"(,"born":)" +
      std::to_string(aStart) + "}";
    const auto entry = ParseServerEntry("i-1", text);
    ASSERT_TRUE(entry);
    this->host.gateway.PutEndpoint(*entry);
    this->host.gateway.ConfirmEndpoints(BootNow());
  }

  bool GetsCalls()
  {
    const std::string id = "c-" + std::to_string(this->nextId++);
    return StatusOf(this->SendAndReceive(
             this->host, this->Request("POST", "/charge/1", id))) == 200;
  }

  RawEndpoint endpoint{ io, [](const std::string& aRequest) {
                         return PresetResponse{ MakeResponse(aRequest, "ok") };
                       } };
  int nextId = 0;
};

// Guards against calls to an endpoint that drains, or has ended, after the
// store executed an older heartbeat of it.
TEST_F(EntryOrderTest, LateHeartbeatDoesNotEndDraining)
{
  this->Read(kStart, 1, "ready");
  EXPECT_TRUE(this->GetsCalls());
  this->Read(kStart, 5, "draining");
  this->Read(kStart, 2, "ready");
  EXPECT_FALSE(this->GetsCalls());
  {
    SCOPED_TRACE("nor after its removal");
    this->host.gateway.RemoveEndpoint("i-1");
    this->Read(kStart, 3, "ready");
    EXPECT_FALSE(this->GetsCalls());
  }
  {
    SCOPED_TRACE("the next start counts anew");
    this->Read(kStart + 9000, 1, "ready");
    EXPECT_TRUE(this->GetsCalls());
    this->Read(kStart, 6, "draining");
    EXPECT_TRUE(this->GetsCalls());
  }
}

// Guards against an endpoint that stays out of use after its entry expired, or
// was removed late, by the end of the start before.
TEST_F(EntryOrderTest, NextHeartbeatEndsARemoval)
{
  this->Read(kStart, 7, "ready");
  this->host.gateway.RemoveEndpoint("i-1");
  this->Read(kStart, 8, "ready");
  EXPECT_TRUE(this->GetsCalls());
}

} // namespace
} // namespace tanagerseam
