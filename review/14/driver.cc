// A request that crashes each server that begins to run it reaches servers
// again and again, on a quiet service.
#include <cstdio>
#include <mutex>

#include "review/support-3/deployment.h"

namespace {

using review::Deployment;
using review::HttpMessage;
using review::Millis;
using review::Server;
using review::Socket;

constexpr int kServers = 6;
// The server is back after some seconds.
constexpr Millis kDown(2500);
// Between the attempts at the request.
constexpr Millis kPoisonInterval(4000);
constexpr int kPoisonAttempts = 22;
// Other requests, of another path and organisation.
constexpr Millis kOtherInterval(5000);
constexpr Millis kStableWindow(3000);
constexpr int kMaxLateRetries = 3;
constexpr char kPoisonPath[] = "/post/crash";

nlohmann::json
Routes()
{
  return { { { "name", "post" },
             { "host", "reports.example" },
             { "path-prefix", "/post/" },
             { "kind", "non_idempotent" },
             { "timeout-ms", 3000 },
             { "target-latency-ms", 400 },
             { "priority", 2 },
             { "service", "app" },
             { "max-attempts", 1 },
             { "no-auth", false },
             { "sticky", false } } };
}

std::string
Post(const std::string& aId, const std::string& aPath, const std::string& aKey)
{
  return "POST " + aPath +
         " HTTP/1.1\r\nHost: reports.example"
         "\r\nX-Request-Id: " +
         aId + "\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer " + aKey +
         "\r\nContent-Length: 5\r\n\r\norder";
}

// When a server began to run the request.
struct Crashes
{
  std::mutex mutex;
  std::vector<review::TimePoint> times;
};

int
Run()
{
  Crashes crashes;
  Deployment deployment({ 3, Millis(300000) }, "review/14/record.txt");
  deployment.Configure(Routes(),
                       { { { "name", "app" } } },
                       { { { "name", "club" },
                           { "api-keys", { "key-1" } },
                           { "per-s", 100 },
                           { "burst", 100 } },
                         { { "name", "guild" },
                           { "api-keys", { "key-2" } },
                           { "per-s", 100 },
                           { "burst", 100 } } });
  const bool trouble = review::WithTrouble();
  const auto work = [&crashes, trouble](Server& aServer,
                                        const HttpMessage& aRequest,
                                        Socket& aSocket) {
    if (aRequest.Target() != kPoisonPath) {
      aSocket.Send(review::PlainAnswer(aRequest, "done"));
      return;
    }
    {
      const std::lock_guard<std::mutex> lock(crashes.mutex);
      crashes.times.push_back(review::Now());
    }
    if (trouble) {
      aServer.Crash(kDown);
      aSocket.Reset();
    } else {
      aSocket.Send(review::PlainAnswer(aRequest, "done"));
    }
  };
  for (int i = 0; i < kServers; ++i) {
    deployment.AddServer("app",
                         "app-" + std::to_string(i),
                         i % 2 == 0 ? "zone-a" : "zone-b",
                         work);
  }
  if (!deployment.StartGateways()) {
    return 2;
  }
  std::atomic<bool> ended{ false };
  std::thread others([&deployment, &ended] {
    for (int i = 0; !ended; ++i) {
      deployment.Ask(static_cast<size_t>(i % 3),
                     Post("other-" + std::to_string(i), "/post/1", "key-2"));
      review::Sleep(kOtherInterval);
    }
  });
  review::Sleep(Millis(3000));
  for (int i = 0; i < kPoisonAttempts; ++i) {
    deployment.Ask(static_cast<size_t>(i % 3),
                   Post("crash-" + std::to_string(i), kPoisonPath, "key-1"));
    review::Sleep(kPoisonInterval);
  }
  ended = true;
  others.join();
  int late = 0;
  for (size_t i = 3; i < crashes.times.size(); ++i) {
    late += crashes.times[i] > crashes.times[2] + kStableWindow ? 1 : 0;
  }
  const std::string result =
    "the request ran " + std::to_string(crashes.times.size()) + " times, " +
    std::to_string(late) + " times later than 3 s after the third";
  deployment.Log().Line(result);
  printf("%s\n", result.c_str());
  return trouble && late > kMaxLateRetries ? 1 : 0;
}

} // namespace

int
main()
{
  try {
    return Run();
  } catch (const std::exception& error) {
    fprintf(stderr, "%s\n", error.what());
    return 2;
  }
}
