// After all processes were killed, a kept turn can't be gone on from: the
// program's budget went with the process that held it.
#include <cstdio>

#include "review/support-3/deployment.h"

namespace {

using review::Deployment;
using review::HttpMessage;
using review::Millis;
using review::Reply;
using review::Server;
using review::Socket;

// Two turns of at most 290 tokens; a turn hands out 30.
constexpr int kBudget = 580;
constexpr int kMostOfATurn = 290;
constexpr int kTokensPerEvent = 10;
constexpr size_t kPrograms = 6;
// As final faults on the site's days.
constexpr Millis kDown(1400);
constexpr Millis kRecover(12000);
constexpr Millis kLastPart(4000);
constexpr Millis kBetweenTries(400);
constexpr double kServedShare = 0.8;
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
             { "retention-s", 60.0 },
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
  return "POST /ask/1 HTTP/1.1\r\nHost: reports.example\r\nX-Request-Id: " +
         aId +
         "\r\nX-Deadline-Ms: 4000\r\nAuthorization: Bearer key-1"
         "\r\nX-Program-Id: " +
         aProgram + "\r\nX-Session-Id: line-" + aProgram +
         "\r\nX-Finish-Ms: 60000\r\nX-Token-Budget: " +
         std::to_string(kBudget) + "\r\nX-Token-Usage: 10," +
         std::to_string(kMostOfATurn) + "\r\n" +
         (aPrevious.empty() ? "" : "X-Previous-Turn: " + aPrevious + "\r\n") +
         "Content-Length: 5\r\n\r\ninput";
}

void
Answer(Server&, const HttpMessage& aRequest, Socket& aSocket)
{
  aSocket.Send(review::StreamAnswer(aRequest, { "one", "two", "three" }));
}

struct Outcome
{
  // Programs whose third turn has reached a server.
  std::vector<bool> wentOn = std::vector<bool>(kPrograms, false);
  std::vector<int> tries = std::vector<int>(kPrograms, 0);
  // First turns of other programs in the last part.
  int others = 0;
  int othersServed = 0;
};

// Tries each program's third turn until it is served, and first turns of other
// programs beside them, until aEnd.
Outcome
GoOn(Deployment& aDeployment, review::TimePoint aEnd)
{
  Outcome outcome;
  for (int round = 0; review::Now() < aEnd; ++round) {
    for (size_t i = 0; i < kPrograms; ++i) {
      if (outcome.wentOn[i]) {
        continue;
      }
      const std::string name = "p" + std::to_string(i);
      ++outcome.tries[i];
      const Reply reply = aDeployment.Ask(
        (i + static_cast<size_t>(round)) % 3,
        Turn(name + "-three-" + std::to_string(round), name, name + "-two"));
      outcome.wentOn[i] = reply.status == kOk;
    }
    const std::string other = "other" + std::to_string(round);
    const bool last = review::Now() > aEnd - kLastPart;
    const Reply reply = aDeployment.Ask(static_cast<size_t>(round) % 3,
                                        Turn(other + "-one", other, ""));
    outcome.others += last ? 1 : 0;
    outcome.othersServed += last && reply.status == kOk ? 1 : 0;
    review::Sleep(kBetweenTries);
  }
  return outcome;
}

int
Run()
{
  Deployment deployment({ 3, Millis(300000) }, "review/11/record.txt");
  deployment.Configure(
    Routes(),
    { { { "name", "engines" },
        { "engine", { { "event-tokens", kTokensPerEvent } } } } },
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
  review::Sleep(Millis(3000));
  for (size_t i = 0; i < kPrograms; ++i) {
    const std::string name = "p" + std::to_string(i);
    const Reply one = deployment.Ask(i % 3, Turn(name + "-one", name, ""));
    const Reply two =
      deployment.Ask(i % 3, Turn(name + "-two", name, name + "-one"));
    if (one.status != kOk || !one.whole || two.status != kOk || !two.whole) {
      return 2;
    }
  }
  if (review::WithTrouble() && !deployment.KillAllAndRestart(kDown)) {
    return 2;
  }
  const Outcome outcome = GoOn(deployment, review::Now() + kRecover);
  if (outcome.othersServed < kServedShare * outcome.others) {
    return 2;
  }
  int lost = 0;
  for (size_t i = 0; i < kPrograms; ++i) {
    lost += outcome.wentOn[i] ? 0 : 1;
    deployment.Log().Line(
      "p" + std::to_string(i) +
      (outcome.wentOn[i] ? " went on after " : " reached no server in ") +
      std::to_string(outcome.tries[i]) + " tries");
  }
  const std::string result =
    std::to_string(lost) + " of " + std::to_string(kPrograms) +
    " kept turns reached no server by recover-s; " +
    std::to_string(outcome.othersServed) + " of " +
    std::to_string(outcome.others) + " other turns were served";
  deployment.Log().Line(result);
  printf("%s\n", result.c_str());
  return lost > 0 ? 1 : 0;
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
