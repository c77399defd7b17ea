// Two entries of the registry that name one address, as after an endpoint has
// started again under another id: a call may come to the address twice.
#include "gateway/testing/gateway_fixture.h"

namespace tanagerseam {
namespace {

using namespace testing_support;

// Guards against a late second response to the attempt before, which bears the
// same id: the client was told "not executed" while the second attempt ran.
TEST_F(GatewayTest, ASecondAttemptAtAnAddressMeetsNoResponseToTheFirst)
{
  // Each call comes to a new address, where no call before it has left bytes.
  constexpr int kCalls = 16;
  this->host.ApplyCatalog();
  for (int i = 0; i < kCalls; ++i) {
    int executed = 0;
    RawEndpoint tool(this->io, [&executed](const std::string& aRequest) {
      if (aRequest.find("X-Expect-Instance: t-1\r\n") != std::string::npos) {
        const std::string refusal =
          MakeResponse(aRequest, "", "X-Not-Executed: 1\r\n", 421);
        PresetResponse response{ refusal };
        response.late.bytes = refusal;
        return response;
      }
      ++executed;
      return PresetResponse{ MakeResponse(aRequest, "done") };
    });
    this->host.AddEndpoint("t-1", "tools", tool.Address());
    this->host.AddEndpoint("t-2", "tools", tool.Address());
    const std::string response = this->SendAndReceive(
      this->host, this->Request("GET", "/look/1", "r-" + std::to_string(i)));
    EXPECT_EQ(StatusOf(response), 200) << response;
    EXPECT_EQ(executed, 1);
  }
}

} // namespace
} // namespace tanagerseam
