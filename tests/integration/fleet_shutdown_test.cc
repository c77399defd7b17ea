// Graceful shutdown: each daemon in turn gets SIGTERM under load, and not one
// request is refused or cut because of it.
//
// The callers: one request a connection; connections kept busy; connections
// used now and then, until an answer says that they close; streams; and tool
// calls that may not be repeated. A simple balancer drops a daemon once its
// GET /ready says no. Each caller's own answer is the judge, and for tool calls
// the service's count of executions.
#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <iostream>
#include <mutex>
#include <thread>

#include "kernel/kernel.h"
#include "tests/support/fleet.h"

namespace tanagerseam::testing_support {
namespace {

constexpr int kDaemons = 3;
constexpr Millis kProbeEvery(100);
constexpr Millis kExitLimit(30000);
constexpr Millis kReadyLimit(20000);
constexpr Millis kBetween(2000);
const std::string kKey = "key-of-stopa-web";

std::string
Desired()
{
  return "[organisation stopa]\nrate_per_s = 5000\nburst = 5000\n"
         "[key web]\norganisation = stopa\nsha256 = " +
         Sha256Hex(kKey) +
         "\n[route look]\nendpoints = service-0\n"
         "[route log]\nendpoints = service-0\nrepeatable = false\n";
}

// Sends callers to daemons that say they are ready.
class Balancer
{
public:
  explicit Balancer(Fleet& aFleet)
    : fleet(aFleet)
    , thread([this] { this->Run(); })
  {
  }
  ~Balancer()
  {
    this->stopping = true;
    this->thread.join();
  }

  int Choose()
  {
    while (true) {
      const int daemon = int(this->next++ % kDaemons);
      if (this->ready[daemon]) {
        return daemon;
      }
    }
  }

private:
  void Run()
  {
    while (!this->stopping) {
      for (int i = 0; i < kDaemons; ++i) {
        this->ready[i] = this->fleet.Admin(i, "/ready").status == 200;
      }
      std::this_thread::sleep_for(kProbeEvery);
    }
  }

  Fleet& fleet;
  std::array<std::atomic<bool>, kDaemons> ready{ true, true, true };
  std::atomic<uint64_t> next{ 0 };
  std::atomic<bool> stopping{ false };
  std::thread thread;
};

struct CallerKind
{
  std::string name;
  int callers;
  std::string path;
  bool keepsConnection;
  bool streams;
  Millis pause;
};

const std::array<CallerKind, 5> kKinds{ {
  { "fresh-connections",
    4,
    "/v1/services/look/run/x",
    false,
    false,
    Millis(20) },
  { "busy-connections", 4, "/v1/services/look/run/x", true, false, Millis(10) },
  { "idle-connections",
    6,
    "/v1/services/look/run/x",
    true,
    false,
    Millis(2500) },
  { "streams", 6, "/v1/chat/completions", false, true, Millis(50) },
  { "tool-calls", 6, "/v1/services/log/run/x", false, false, Millis(30) },
} };

class FleetShutdown : public ::testing::Test
{
protected:
  static FleetSettings Settings()
  {
    FleetSettings settings;
    settings.daemons = kDaemons;
    settings.engines = 1;
    settings.engineFlags = { "--decode_ms_per_token=15" };
    settings.daemonKeys = "read_timeout_ms = 6000\n";
    return settings;
  }

  // One caller until told to stop.
  void Run(const CallerKind& aKind, int aIndex, Balancer& aBalancer)
  {
    HttpClient client;
    int daemon = aBalancer.Choose();
    for (int i = 0; !this->stopping; ++i) {
      HttpCall call;
      call.method = "POST";
      call.url = "http://" + this->fleet.CallerAddress(daemon) + aKind.path;
      call.headers = { { "Authorization", "Bearer " + kKey },
                       { "Content-Type", "application/json" } };
      const std::string key =
        aKind.name + "-" + std::to_string(aIndex) + "-" + std::to_string(i);
      if (aKind.path.find("/log/") != std::string::npos) {
        call.headers.emplace_back("Idempotency-Key", key);
      }
      call.body = aKind.streams ? StreamBody(key) : "{}";
      call.freshConnection = !aKind.keepsConnection;
      const HttpOutcome outcome = client.Perform(call);
      this->Judge(aKind, key, daemon, outcome);
      if (!aKind.keepsConnection || SaysClose(outcome)) {
        daemon = aBalancer.Choose();
      }
      std::this_thread::sleep_for(aKind.pause);
    }
  }

  static std::string StreamBody(const std::string& aPrompt)
  {
    constexpr int kTokens = 100;
    return nlohmann::json{
      { "model", "model-a" },
      { "stream", true },
      { "max_tokens", kTokens },
      { "messages", { { { "role", "user" }, { "content", aPrompt } } } }
    }.dump();
  }

  static bool SaysClose(const HttpOutcome& aOutcome)
  {
    auto* answer = std::get_if<HttpAnswer>(&aOutcome);
    return answer == nullptr ||
           FirstHeader(answer->headers, "Connection") == "close";
  }

  void Judge(const CallerKind& aKind,
             const std::string& aKey,
             int aDaemon,
             const HttpOutcome& aOutcome)
  {
    auto* answer = std::get_if<HttpAnswer>(&aOutcome);
    std::string wrong;
    if (answer == nullptr) {
      wrong = std::get<TransportFailure>(aOutcome).detail;
    } else if (answer->status != 200) {
      wrong = std::to_string(answer->status) + " " + answer->body;
    } else if (aKind.streams &&
               answer->body.find("[DONE]") == std::string::npos) {
      wrong = "cut stream: " + answer->body;
    }
    std::lock_guard<std::mutex> lock(this->mutex);
    ++this->answered[aKind.name];
    if (aKind.path.find("/log/") != std::string::npos && wrong.empty()) {
      this->toolKeys.push_back(aKey);
    }
    if (!wrong.empty()) {
      this->findings.push_back(aKey + " at daemon " + std::to_string(aDaemon) +
                               ": " + wrong);
    }
  }

  Fleet fleet{ Settings() };
  std::atomic<bool> stopping{ false };
  std::mutex mutex;
  std::map<std::string, int64_t> answered;
  std::vector<std::string> toolKeys;
  std::vector<std::string> findings;
};

TEST_F(FleetShutdown, CutsAndRefusesNothing)
{
  this->fleet.Start(Desired());
  std::this_thread::sleep_for(kBetween);
  {
    Balancer balancer(this->fleet);
    std::vector<std::thread> callers;
    for (const CallerKind& kind : kKinds) {
      for (int i = 0; i < kind.callers; ++i) {
        callers.emplace_back(
          [this, &kind, i, &balancer] { this->Run(kind, i, balancer); });
      }
    }
    std::this_thread::sleep_for(kBetween);
    for (int i = 0; i < kDaemons; ++i) {
      SCOPED_TRACE("daemon " + std::to_string(i));
      const TimePoint start = Now();
      this->fleet.Daemon(i).Terminate();
      EXPECT_EQ(this->fleet.Daemon(i).Wait(kExitLimit), 0);
      std::cout << "daemon " << i << " left after "
                << MillisBetween(start, Now()) << " ms\n";
      this->fleet.StartDaemon(i);
      EXPECT_TRUE(this->fleet.WaitReady(i, kReadyLimit));
      std::this_thread::sleep_for(kBetween);
    }
    this->stopping = true;
    for (std::thread& caller : callers) {
      caller.join();
    }
  }
  for (const auto& entry : this->answered) {
    std::cout << entry.first << ": " << entry.second << " requests\n";
    EXPECT_GT(entry.second, 0);
  }
  for (const std::string& finding : this->findings) {
    ADD_FAILURE() << finding.substr(0, 400);
  }
  const auto counts = this->fleet.ExecutionCounts();
  for (const std::string& key : this->toolKeys) {
    EXPECT_EQ(counts.at(key), 1) << key;
  }
  if (HasFailure()) {
    std::cerr << this->fleet.LogTails();
  }
}

} // namespace
} // namespace tanagerseam::testing_support
