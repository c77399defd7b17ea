// Gateways as real processes before an endpoint that names a rate limit for the
// whole fleet.
#include "tests/support/gateway_fleet.h"

#include <algorithm>
#include <cmath>

namespace tanagerseam {
namespace {

using namespace testing_support;

constexpr size_t kHosts = 4;
constexpr double kCallsPerSecond = 6;
// In any window the endpoint may get this many times its rate, and a few calls
// more.
constexpr Millis kWindow(4000);
constexpr double kTolerableFactor = 1.5;
constexpr double kTolerableCalls = 5;
// From the first announcement until the bound holds.
constexpr Millis kTimeToAdapt(3000);

class GatewayRateLimitFleet : public GatewayFleet
{
protected:
  GatewayRateLimitFleet()
    : GatewayFleet(kHosts, [this](const std::string& aRequest) {
      return this->AnswerWithLimit(aRequest);
    })
  {
  }

  PresetResponse AnswerWithLimit(const std::string& aRequest)
  {
    this->receivedAt.push_back(BootNow());
    PresetResponse response = AnswerAs(aRequest);
    if (this->limited) {
      response.bytes.insert(response.bytes.find("X-Server-Seal"),
                            "Server-Limit: " + std::to_string(kCallsPerSecond) +
                              "\r\n");
    }
    return response;
  }

  void SendLook(size_t aHost)
  {
    this->clients.push_back(
      std::make_unique<RawClient>(this->io, this->hosts[aHost]->callPort));
    this->clients.back()->Send(
      "GET /look/1 HTTP/1.1\r\nHost: reports.example\r\nX-Request-Id: q" +
      std::to_string(this->nextId++) +
      "\r\nX-Deadline-Ms: 1500\r\nAuthorization: Bearer key-1\r\n\r\n");
  }

  // Sends calls to all hosts in turn.
  void SendLooks(double aPerSecond, Millis aTime)
  {
    const Millis pause(static_cast<int64_t>(1000 / aPerSecond));
    const TimePoint end = BootNow() + aTime;
    for (size_t host = 0; BootNow() < end; host = (host + 1) % kHosts) {
      this->SendLook(host);
      this->RunFor(pause);
    }
  }

  // The most calls that the endpoint got in any window from aFrom on.
  size_t MostReceivedInWindow(TimePoint aFrom) const
  {
    size_t most = 0;
    auto last = this->receivedAt.begin();
    for (auto first = this->receivedAt.begin(); first != this->receivedAt.end();
         ++first) {
      while (last != this->receivedAt.end() && *last < *first + kWindow) {
        ++last;
      }
      if (*first >= aFrom) {
        most = std::max(most, static_cast<size_t>(last - first));
      }
    }
    return most;
  }

  size_t Answered(int aStatus) const
  {
    return static_cast<size_t>(std::count_if(
      this->clients.begin(), this->clients.end(), [&](const auto& aClient) {
        return IsCompleteResponse(aClient->Received()) &&
               StatusOf(aClient->Received()) == aStatus;
      }));
  }

  std::vector<TimePoint> receivedAt;
  std::vector<std::unique_ptr<RawClient>> clients;
  bool limited = false;
};

// Guards against incident LIMIT: an endpoint got two to three times the rate
// that it had named for the whole fleet.
TEST_F(GatewayRateLimitFleet, KeepsTheRateThatAnEndpointNames)
{
  this->SendLooks(20, Millis(1000));
  this->limited = true;
  const TimePoint namedAt = BootNow();
  this->SendLooks(40, kTimeToAdapt + kWindow + Millis(1000));
  const double bound = kTolerableFactor * kCallsPerSecond * 4 + kTolerableCalls;
  EXPECT_LE(this->MostReceivedInWindow(namedAt + kTimeToAdapt),
            static_cast<size_t>(std::ceil(bound)));
  {
    SCOPED_TRACE("the rate is used");
    const auto calls = std::count_if(
      this->receivedAt.begin(), this->receivedAt.end(), [&](TimePoint aAt) {
        return aAt >= namedAt + kTimeToAdapt;
      });
    EXPECT_GE(calls, 0.7 * kCallsPerSecond * 5);
  }
  {
    SCOPED_TRACE("the rest is refused, and nothing is lost");
    this->RunFor(Millis(1600));
    EXPECT_EQ(this->Answered(200) + this->Answered(503), this->clients.size());
    EXPECT_EQ(this->Answered(200), this->receivedAt.size());
  }
}

} // namespace
} // namespace tanagerseam
