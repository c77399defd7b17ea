// Gateways as real processes before engines, one call of which crashes each
// engine that begins to run it.
#include "tests/support/gateway_fleet.h"

#include <algorithm>

namespace tanagerseam {
namespace {

using namespace testing_support;

constexpr size_t kHosts = 3;
constexpr size_t kEngines = 12;
// Engines that the call may crash until it is known, and the retries that may
// be under way then.
constexpr size_t kMaxCrashed = 6;
// The client comes again at this interval.
constexpr Millis kRetryInterval(700);

PresetResponse
RunOrCrash(const std::string& aRequest)
{
  PresetResponse response = AnswerAs(aRequest);
  if (aRequest.find("deadly") != std::string::npos) {
    response.bytes.resize(response.bytes.find("\r\n\r\n") + 4);
    response.crash = true;
  }
  return response;
}

class GatewayQuarantineFleet : public GatewayFleet
{
protected:
  GatewayQuarantineFleet()
    : GatewayFleet(kHosts)
  {
    for (size_t i = 0; i < kEngines; ++i) {
      this->engines.push_back(
        std::make_unique<RawEndpoint>(this->io, RunOrCrash));
    }
  }

  void SetUp() override
  {
    GatewayFleet::SetUp();
    this->Register("e-1", "engines", this->engines[0]->Address());
    for (size_t i = 1; i < kEngines; ++i) {
      this->Register(
        "f-" + std::to_string(i), "engines", this->engines[i]->Address());
    }
    // The hosts read the registry about once a second.
    this->RunFor(Millis(1500));
    for (size_t host = 0; host < kHosts; ++host) {
      ASSERT_TRUE(
        this->Until([this, host] { return this->Ask(host, "first") == 200; }));
    }
  }

  // A turn of a new program; its request id is new each time.
  int Ask(size_t aHost, const std::string& aBody)
  {
    const std::string id = std::to_string(this->nextId++);
    return StatusOf(GatewayFleet::Ask(
      this->hosts[aHost]->callPort,
      "POST /ask/1 HTTP/1.1\r\nHost: reports.example\r\nX-Request-Id: a" + id +
        "\r\nX-Deadline-Ms: 1500\r\nAuthorization: Bearer key-1\r\n"
        "X-Program-Id: p" +
        id + "\r\nX-Session-Id: s" + id +
        "\r\nX-Token-Usage: 10,50\r\nX-Token-Budget: 5000\r\n"
        "Content-Length: " +
        std::to_string(aBody.size()) + "\r\n\r\n" + aBody));
  }

  size_t CrashedEngines() const
  {
    return static_cast<size_t>(std::count_if(
      this->engines.begin(), this->engines.end(), [](const auto& aEngine) {
        return aEngine->crashed;
      }));
  }

  std::vector<std::unique_ptr<RawEndpoint>> engines;
};

// Guards against incident BUDGET: one call, sent again through any host,
// crashed endpoint after endpoint.
TEST_F(GatewayQuarantineFleet, StopsACallThatCrashesEngineAfterEngine)
{
  for (size_t round = 0; round < 2 * kEngines; ++round) {
    this->Ask(round % kHosts, "deadly");
    EXPECT_EQ(this->Ask((round + 1) % kHosts, "harmless"), 200)
      << "round " << round;
    this->RunFor(kRetryInterval);
  }
  EXPECT_GE(this->CrashedEngines(), 3u);
  EXPECT_LE(this->CrashedEngines(), kMaxCrashed);
  {
    SCOPED_TRACE("it is refused at once, and truly");
    const TimePoint startedAt = BootNow();
    EXPECT_EQ(this->Ask(0, "deadly"), 503);
    EXPECT_LT(BootNow() - startedAt, Millis(200));
  }
  {
    SCOPED_TRACE("a host that has just started knows it too");
    this->hosts[0]->process->Kill();
    this->hosts[0]->Start();
    ASSERT_TRUE(this->Until([this] { return this->AllReady(); }));
    this->RunFor(Millis(300));
    EXPECT_EQ(this->Ask(0, "deadly"), 503);
    EXPECT_LE(this->CrashedEngines(), kMaxCrashed);
  }
}

} // namespace
} // namespace tanagerseam
