// Endpoints whose connections break are asked whether they still listen.
#include "gateway/crash_checks.h"

#include "gateway/testing/gateway_fixture.h"

namespace tanagerseam {
namespace {

using namespace testing_support;

class CrashChecksTest : public GatewayTest
{
protected:
  void Break(int aTimes)
  {
    for (int i = 0; i < aTimes; ++i) {
      this->checks->OnBroken("e-1@1", *ParseHostPort(this->address));
    }
  }

  RawEndpoint endpoint{ io, [](const std::string& /*aRequest*/) {
                         return PresetResponse{};
                       } };
  const std::string address = endpoint.Address();
  std::vector<std::string> down;
  const std::shared_ptr<CrashChecks> checks =
    std::make_shared<CrashChecks>(io, [this](const std::string& aIncarnation) {
      this->down.push_back(aIncarnation);
    });
};

TEST_F(CrashChecksTest, FindsAnEndpointThatRefusesConnections)
{
  this->endpoint.Crash();
  this->Break(1);
  this->RunFor(2 * CrashChecks::kDelay);
  EXPECT_EQ(this->down, std::vector<std::string>{ "e-1@1" });
}

// Guards against endpoints that crash just after they were asked.
TEST_F(CrashChecksTest, AsksAgainAfterALaterBreak)
{
  this->Break(1);
  this->RunFor(2 * CrashChecks::kDelay);
  EXPECT_TRUE(this->down.empty());
  this->endpoint.Crash();
  this->Break(1);
  this->RunFor(CrashChecks::kMinInterval + CrashChecks::kDelay);
  EXPECT_EQ(this->down, std::vector<std::string>{ "e-1@1" });
}

// Guards against a connection for each of many breaks: connections have a
// price.
TEST_F(CrashChecksTest, AStormOfBreaksOfOneEndpointIsOneQuestion)
{
  this->Break(20);
  this->RunFor(2 * CrashChecks::kDelay);
  EXPECT_EQ(this->endpoint.acceptedConnections, 1);
  this->Break(20);
  this->RunFor(2 * CrashChecks::kMinInterval);
  EXPECT_EQ(this->endpoint.acceptedConnections, 2);
}

} // namespace
} // namespace tanagerseam
