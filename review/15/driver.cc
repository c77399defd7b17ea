// A turn that was answered whole is told to be unknown within its retention,
// once its record has expired in the store and the host that served it was
// restarted.
#include <cstdio>

#include "review/support-3/deployment.h"

namespace {

using review::Deployment;
using review::HttpMessage;
using review::Millis;
using review::Reply;
using review::Server;
using review::Socket;

// The sheets: 20 s of history in the store, 60 s of retention on the route.
constexpr Millis kStoreHistory(20000);
constexpr double kRetentionSeconds = 60;
// From the first turns to the second ones: less than the retention.
constexpr Millis kPause(30000);
constexpr Millis kKillBeforeEnd(6000);
constexpr Millis kDown(1000);
constexpr int kPrograms = 8;
// As clients do: a failed turn is sent again, at most twice.
constexpr int kTries = 3;
constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kOk = 200;

nlohmann::json
Routes()
{
  return { { { "name", "ask" },
             { "host", "reports.example" },
             { "path-prefix", "/ask/" },
             { "kind", "streaming" },
             { "timeout-ms", 4000 },
             { "target-latency-ms", 200 },
             { "priority", 1 },
             { "service", "engines" },
             { "max-attempts", 1 },
             { "retain-history", true },
             { "retention-s", kRetentionSeconds },
             { "no-auth", false },
             { "sticky", true },
             { "resumable", false },
             { "target-gap-ms", 150 } } };
}

std::string
Turn(const std::string& aId,
     const std::string& aProgram,
     const std::string& aPrevious)
{
  const std::string input = "input of " + aId;
  return "POST /ask/1 HTTP/1.1\r\nHost: reports.example\r\nX-Request-Id: " +
         aId +
         "\r\nX-Deadline-Ms: 4000\r\nAuthorization: Bearer key-1"
         "\r\nX-Program-Id: " +
         aProgram + "\r\nX-Session-Id: line-" + aProgram +
         "\r\nX-Finish-Ms: 60000\r\nX-Token-Budget: 2000"
         "\r\nX-Token-Usage: 10,30\r\n" +
         (aPrevious.empty() ? "" : "X-Previous-Turn: " + aPrevious + "\r\n") +
         "Content-Length: " + std::to_string(input.size()) + "\r\n\r\n" + input;
}

void
Answer(Server&, const HttpMessage& aRequest, Socket& aSocket)
{
  aSocket.Send(review::StreamAnswer(aRequest, { "one", "two", "three" }));
}

// The outcome of a program's second turn.
int
Continue(Deployment& aDeployment, int aProgram)
{
  const std::string name = "p" + std::to_string(aProgram);
  int status = 0;
  for (int attempt = 1; attempt <= kTries; ++attempt) {
    const Reply reply = aDeployment.Ask(
      0, Turn(name + "-two-" + std::to_string(attempt), name, name + "-one"));
    status = reply.status;
    if ((reply.whole && status == kOk) || status == kNotFound ||
        status == kGone) {
      break;
    }
    review::Sleep(Millis(400));
  }
  return status;
}

int
Run()
{
  Deployment deployment({ 3, kStoreHistory }, "review/15/record.txt");
  deployment.Configure(
    Routes(),
    { { { "name", "engines" }, { "engine", { { "event-tokens", 10 } } } } },
    { { { "name", "club" },
        { "api-keys", { "key-1" } },
        { "per-s", 100 },
        { "burst", 100 } } });
  for (const char* name : { "engine-1", "engine-2", "engine-3" }) {
    deployment.AddServer("engines", name, "zone-a", Answer);
  }
  if (!deployment.StartGateways()) {
    return 2;
  }
  for (int i = 0; i < kPrograms; ++i) {
    const std::string name = "p" + std::to_string(i);
    const Reply reply = deployment.Ask(0, Turn(name + "-one", name, ""));
    if (reply.status != kOk || !reply.whole) {
      return 2;
    }
  }
  const review::TimePoint end = review::Now() + kPause;
  if (review::WithTrouble()) {
    std::this_thread::sleep_until(end - kKillBeforeEnd);
    if (!deployment.KillAndRestart(0, kDown)) {
      return 2;
    }
  }
  std::this_thread::sleep_until(end);
  int unknown = 0;
  for (int i = 0; i < kPrograms; ++i) {
    const int status = Continue(deployment, i);
    unknown += status == kNotFound || status == kGone ? 1 : 0;
  }
  const std::string result =
    std::to_string(unknown) + " of " + std::to_string(kPrograms) +
    " turns were answered 404 or 410 within their retention";
  deployment.Log().Line(result);
  printf("%s\n", result.c_str());
  return unknown > 0 ? 1 : 0;
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
