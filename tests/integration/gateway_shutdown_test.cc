// A gateway as a process that is stopped while clients keep using connections
// that they opened before.
#include "tests/support/gateway_fleet.h"

#include <algorithm>

namespace tanagerseam {
namespace {

using namespace testing_support;

constexpr Millis kStreamTimeout(4000);
// Of the second and last event of a stream.
constexpr Millis kStreamDuration(3800);
// After SIGTERM. A stream sent then may last beyond the exit, 7.3 s after
// SIGTERM; a process that is idle would have ended before.
constexpr Millis kKeepBusyAt(3200);
constexpr Millis kStreamSentAt(3700);

// How long the endpoint works on a charge.
constexpr Millis kChargeTime(700);
constexpr Millis kChargeInterval(200);
// The process may be killed then.
constexpr Millis kShutdownLimit(8000);

PresetResponse
StreamSlowly(const std::string& aRequest)
{
  if (aRequest.find("/charge/") != std::string::npos) {
    PresetResponse response;
    response.bytes = SuccessHead(aRequest) + "Content-Length: 4\r\n\r\n";
    response.delay = kChargeTime;
    response.delayedBytes = "done";
    return response;
  }
  if (aRequest.find("/follow/") == std::string::npos) {
    return AnswerAs(aRequest);
  }
  PresetResponse response;
  response.bytes = EventStreamHead(aRequest) + Chunk("id: 1\ndata: one\n\n");
  response.delay = kStreamDuration;
  response.delayedBytes = Chunk("id: 2\ndata: two\n\n") + "0\r\n\r\n";
  return response;
}

class GatewayShutdown : public GatewayFleet
{
protected:
  GatewayShutdown()
    : GatewayFleet(1, StreamSlowly)
  {
    this->shutdownNotice = Millis(3500);
  }

  void RunUntilTime(TimePoint aEnd)
  {
    this->Until([aEnd] { return BootNow() >= aEnd; });
  }
};

// Guards against a stream that the exit cuts off: it was accepted on a kept
// connection late in the shutdown, with a deadline behind the exit.
TEST_F(GatewayShutdown, RefusesAStreamThatMayOutlastTheProcess)
{
  this->store.PutKeyed(
    "keyed.op",
    "config",
    ConfigurationJson(2, { { "club", "key-1" } }, kStreamTimeout));
  this->RunFor(Millis(500));
  RawClient kept(this->io, this->hosts[0]->callPort);
  kept.Send("GET /look/1 HTTP/1.1\r\nHost: reports.example\r\n"
            "X-Request-Id: before\r\nX-Deadline-Ms: 1500\r\n"
            "Authorization: Bearer key-1\r\n\r\n");
  ASSERT_TRUE(
    this->Until([&kept] { return IsCompleteResponse(kept.Received()); }));
  const size_t before = kept.Received().size();
  const TimePoint stoppedAt = BootNow();
  this->hosts[0]->process->Terminate();

  RawClient busy(this->io, this->hosts[0]->callPort);
  this->RunUntilTime(stoppedAt + kKeepBusyAt);
  busy.Send("GET /look/slow HTTP/1.1\r\nHost: reports.example\r\n"
            "X-Request-Id: busy\r\nX-Deadline-Ms: 1500\r\n"
            "Authorization: Bearer key-1\r\n\r\n");
  this->RunUntilTime(stoppedAt + kStreamSentAt);
  kept.Send("GET /follow/1 HTTP/1.1\r\nHost: reports.example\r\n"
            "X-Request-Id: late\r\nX-Deadline-Ms: 4000\r\n"
            "Authorization: Bearer key-1\r\n\r\n");
  EXPECT_TRUE(this->Until(
    [&kept, before] {
      return IsCompleteResponse(kept.Received().substr(before));
    },
    kStreamTimeout));
  const std::string response = kept.Received().substr(before);
  EXPECT_EQ(StatusOf(response), 503) << "another host serves it";
  EXPECT_NE(response.find("Connection: close"), std::string::npos);
  EXPECT_EQ(this->endpoint.requests.back().find("/follow/"), std::string::npos);
  EXPECT_TRUE(
    this->Until([&busy] { return IsCompleteResponse(busy.Received()); }))
    << "a call that was accepted ends whole";
}

// Guards against calls that were accepted late in a planned stop, passed on and
// cut off without a response, among them calls that may not be repeated.
TEST_F(GatewayShutdown, EveryCallThatReachesAnEndpointIsAnswered)
{
  const auto request = [](const std::string& aMethod,
                          const std::string& aPath,
                          const std::string& aId) {
    return aMethod + " " + aPath +
           " HTTP/1.1\r\nHost: reports.example\r\nX-Request-Id: " + aId +
           "\r\nX-Deadline-Ms: 1500\r\nAuthorization: Bearer key-1\r\n"
           "Content-Length: 0\r\n\r\n";
  };
  std::vector<std::unique_ptr<RawClient>> clients;
  const auto count = static_cast<size_t>(kShutdownLimit / kChargeInterval);
  for (size_t i = 0; i < count; ++i) {
    clients.push_back(
      std::make_unique<RawClient>(this->io, this->hosts[0]->callPort));
    clients.back()->Send(request("GET", "/look/1", "kept" + std::to_string(i)));
  }
  ASSERT_TRUE(this->Until([&clients] {
    return std::all_of(clients.begin(), clients.end(), [](const auto& aClient) {
      return IsCompleteResponse(aClient->Received());
    });
  }));
  std::vector<size_t> before;
  for (const auto& client : clients) {
    before.push_back(client->Received().size());
  }
  const TimePoint stoppedAt = BootNow();
  this->hosts[0]->process->Terminate();
  for (size_t i = 0; i < count; ++i) {
    this->RunUntilTime(stoppedAt + static_cast<int>(i) * kChargeInterval);
    if (!clients[i]->Closed()) {
      clients[i]->Send(request("POST", "/charge/1", "c" + std::to_string(i)));
    }
  }
  this->RunUntilTime(stoppedAt + kShutdownLimit + kChargeTime);
  EXPECT_FALSE(this->hosts[0]->process->Running());
  size_t answered = 0;
  for (size_t i = 0; i < count; ++i) {
    const std::string id = "c" + std::to_string(i);
    const auto& received = this->endpoint.requests;
    const bool passedOn = std::any_of(
      received.begin(), received.end(), [&id](const std::string& aRequest) {
        return IdOf(aRequest) == id;
      });
    const std::string response = clients[i]->Received().substr(before[i]);
    const bool whole = IsCompleteResponse(response);
    answered += whole && StatusOf(response) == 200 ? 1 : 0;
    EXPECT_TRUE(whole || !passedOn) << id << " was cut off";
    EXPECT_FALSE(passedOn && StatusOf(response) == 503)
      << id << " was executed";
  }
  EXPECT_GT(answered, count / 4) << "calls are served in the first seconds";
}

} // namespace
} // namespace tanagerseam
