// A resumed stream goes on at a server that has come back with another version
// of its software, under the id that it had.
#include <sys/socket.h>

#include <cstdio>
#include <random>
#include <set>

#include "review/support-3/deployment.h"

namespace {

using review::Deployment;
using review::HttpMessage;
using review::Millis;
using review::Server;
using review::Socket;

// One of seven is down at a time: 0.143, with a share of 0.15 allowed.
constexpr int kServers = 7;
constexpr int kEvents = 30;
constexpr Millis kEventInterval(100);
constexpr Millis kDown(1000);
constexpr int kRounds = 5;
constexpr int kStreams = 70;
constexpr Millis kBeforeCrash(1000);
constexpr Millis kAfterCrash(6000);
// Clients take their streams up so long after the break.
constexpr int kMinPauseMillis = 1000;
constexpr int kMaxPauseMillis = 1700;
constexpr int kTries = 4;
constexpr Millis kReadLimit(5000);
constexpr size_t kMaxMixed = 2;

nlohmann::json
Routes()
{
  return { { { "name", "follow" },
             { "host", "reports.example" },
             { "path-prefix", "/follow/" },
             { "kind", "streaming" },
             { "timeout-ms", 8000 },
             { "target-latency-ms", 200 },
             { "priority", 0 },
             { "service", "engines" },
             { "max-attempts", 1 },
             { "retain-history", false },
             { "retention-s", 60.0 },
             { "no-auth", false },
             { "sticky", true },
             { "resumable", true },
             { "target-gap-ms", 1000 } } };
}

std::string
Chunk(const std::string& aText)
{
  char size[16];
  snprintf(size, sizeof size, "%zx\r\n", aText.size());
  return size + aText + "\r\n";
}

// Sends the events behind Last-Event-Id; each names the server's version.
void
Generate(Server& aServer, const HttpMessage& aRequest, Socket& aSocket)
{
  const int incarnation = aServer.Incarnation();
  const std::string version = aServer.Version();
  aSocket.Send(review::SuccessHead(aRequest) +
               "Content-Type: text/event-stream\r\n"
               "Transfer-Encoding: chunked\r\n\r\n");
  const int last = std::atoi(aRequest.Header("Last-Event-Id").c_str());
  for (int number = last + 1; number <= kEvents; ++number) {
    review::Sleep(kEventInterval);
    if (aServer.Incarnation() != incarnation) {
      aSocket.Reset();
      return;
    }
    if (!aSocket.Send(Chunk("id: " + std::to_string(number) +
                            "\ndata: " + version + "\n\n"))) {
      aSocket.Close();
      return;
    }
  }
  aSocket.Send("0\r\n\r\n");
}

// What a client has of its stream.
struct Stream
{
  int lastEvent = 0;
  std::set<std::string> versions;
  bool whole = false;
};

// Takes the whole events in aText.
void
TakeEvents(const std::string& aText, Stream& aStream)
{
  size_t at = aText.find("id: ");
  while (at != std::string::npos) {
    const size_t data = aText.find("\ndata: ", at);
    const size_t end = aText.find("\n\n", at);
    if (data == std::string::npos || end == std::string::npos) {
      return;
    }
    aStream.lastEvent = std::atoi(aText.c_str() + at + 4);
    aStream.versions.insert(aText.substr(data + 7, end - data - 7));
    at = aText.find("id: ", end);
  }
}

std::string
Request(const std::string& aId,
        const std::string& aProgram,
        const std::string& aFirst,
        const Stream& aStream)
{
  const std::string resumption =
    aFirst.empty()
      ? ""
      : "Resumes: " + aFirst +
          "\r\nLast-Event-Id: " + std::to_string(aStream.lastEvent) + "\r\n";
  return "POST /follow/1 HTTP/1.1\r\nHost: reports.example\r\nX-Request-Id: " +
         aId +
         "\r\nX-Deadline-Ms: 8000\r\nAuthorization: Bearer key-1"
         "\r\nX-Program-Id: " +
         aProgram + "\r\nX-Session-Id: line-" + aProgram +
         "\r\nX-Finish-Ms: 60000\r\nX-Token-Budget: 5000"
         "\r\nX-Token-Usage: 10,400\r\n" +
         resumption + "Content-Length: 5\r\n\r\ninput";
}

// A client that follows one stream, and takes it up when it breaks.
Stream
Follow(Deployment& aDeployment, const std::string& aName, unsigned aSeed)
{
  std::mt19937 random(aSeed);
  std::uniform_int_distribution<int> pause(kMinPauseMillis, kMaxPauseMillis);
  Stream stream;
  std::string first;
  for (int attempt = 0; attempt < kTries && !stream.whole; ++attempt) {
    if (attempt > 0) {
      review::Sleep(Millis(pause(random)));
    }
    const std::string id = aName + "-" + std::to_string(attempt);
    const HttpMessage answer = aDeployment.Exchange(
      (aSeed + static_cast<unsigned>(attempt)) % 3,
      Request(id, aName, stream.lastEvent > 0 ? first : "", stream),
      kReadLimit);
    if (answer.Status() != 200) {
      continue;
    }
    const int before = stream.lastEvent;
    TakeEvents(answer.body, stream);
    if (before == 0 && stream.lastEvent > 0) {
      first = id;
    }
    stream.whole = answer.whole;
  }
  std::string versions;
  for (const std::string& version : stream.versions) {
    versions += " " + version;
  }
  aDeployment.Log().Line("stream " + aName + " has events up to " +
                         std::to_string(stream.lastEvent) + " of" + versions);
  return stream;
}

int
Run()
{
  Deployment deployment({ 3, Millis(300000) }, "review/11/record.txt");
  deployment.Configure(
    Routes(),
    { { { "name", "engines" }, { "engine", { { "event-tokens", 10 } } } } },
    { { { "name", "club" },
        { "api-keys", { "key-1" } },
        { "per-s", 200 },
        { "burst", 200 } } });
  std::vector<Server*> servers;
  for (int i = 0; i < kServers; ++i) {
    servers.push_back(&deployment.AddServer("engines",
                                            "engine-" + std::to_string(i),
                                            i % 2 == 0 ? "zone-a" : "zone-b",
                                            Generate));
  }
  if (!deployment.StartGateways()) {
    return 2;
  }
  review::Sleep(Millis(1500));
  size_t mixed = 0;
  size_t whole = 0;
  for (int round = 0; round < kRounds; ++round) {
    std::vector<Stream> streams(kStreams);
    std::vector<std::thread> clients;
    for (int i = 0; i < kStreams; ++i) {
      clients.emplace_back([&deployment, &streams, round, i] {
        const std::string name =
          "r" + std::to_string(round) + "s" + std::to_string(i);
        streams[static_cast<size_t>(i)] =
          Follow(deployment, name, static_cast<unsigned>(round * kStreams + i));
      });
    }
    review::Sleep(kBeforeCrash);
    if (review::WithTrouble()) {
      servers[static_cast<size_t>(round)]->Crash(kDown, "v2");
    }
    review::Sleep(kAfterCrash);
    for (std::thread& client : clients) {
      client.join();
    }
    for (const Stream& stream : streams) {
      mixed += stream.versions.size() > 1 ? 1 : 0;
      whole += stream.whole ? 1 : 0;
    }
  }
  const std::string result = std::to_string(mixed) + " of " +
                             std::to_string(kRounds * kStreams) +
                             " streams hold events of two versions; " +
                             std::to_string(whole) + " are whole";
  deployment.Log().Line(result);
  printf("%s\n", result.c_str());
  return mixed > kMaxMixed ? 1 : 0;
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
