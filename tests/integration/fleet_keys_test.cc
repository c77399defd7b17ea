// Withdrawn keys and leaving endpoints: what must stop within five seconds. And
// what a key may do: show nowhere, and open no other organisation's program.
#include <gtest/gtest.h>

#include <atomic>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include "desired/desired.h"
#include "kernel/kernel.h"
#include "tests/support/fleet.h"

namespace tanagerseam::testing_support {
namespace {

constexpr Millis kTarget(5000);
constexpr Millis kPollEvery(50);
constexpr Millis kReadyLimit(20000);
const std::string kKey = "key-of-stopa-web";
const std::string kOtherKey = "key-of-rival";

std::string
KeySection(const std::string& aName,
           const std::string& aOrganisation,
           const std::string& aKey)
{
  return "[key " + aName + "]\norganisation = " + aOrganisation +
         "\nsha256 = " + Sha256Hex(aKey) + "\n";
}

std::string
Desired()
{
  return "[organisation stopa]\nrate_per_s = 500\nburst = 1000\n"
         "[organisation rival]\nrate_per_s = 500\nburst = 1000\n" +
         KeySection("web", "stopa", kKey) +
         KeySection("rival", "rival", kOtherKey) +
         "[route groom]\nendpoints = service-0,service-1\n";
}

HttpHeaders
Bearer(const std::string& aKey)
{
  return { { "Authorization", "Bearer " + aKey },
           { "Content-Type", "application/json" } };
}

std::string
ChatBody(const std::string& aPrompt, int aTokens)
{
  return nlohmann::json{
    { "model", "model-a" },
    { "stream", true },
    { "max_tokens", aTokens },
    { "messages", { { { "role", "user" }, { "content", aPrompt } } } }
  }.dump();
}

// One caller in a thread of its own, with a connection that it keeps.
class Caller
{
public:
  Caller(Fleet& aFleet, int aDaemon)
    : address(aFleet.CallerAddress(aDaemon))
  {
  }
  ~Caller()
  {
    this->stopping = true;
    if (this->thread.joinable()) {
      this->thread.join();
    }
  }

  HttpAnswer Call(const std::string& aPath,
                  const std::string& aKey,
                  const std::string& aBody)
  {
    HttpCall call;
    call.method = "POST";
    call.url = "http://" + this->address + aPath;
    call.headers = Bearer(aKey);
    call.body = aBody;
    call.timeout = Millis(40000);
    call.cancelled = [this] { return this->stopping.load(); };
    HttpOutcome outcome = this->client.Perform(call);
    auto* answer = std::get_if<HttpAnswer>(&outcome);
    return answer == nullptr ? HttpAnswer{} : *answer;
  }

  // Starts one model call; Done, Ended and Answer tell of it.
  void Start(const std::string& aKey, const std::string& aPrompt, int aTokens)
  {
    this->thread = std::thread([this, aKey, aPrompt, aTokens] {
      this->answer =
        this->Call("/v1/chat/completions", aKey, ChatBody(aPrompt, aTokens));
      this->ended = Now();
      this->done = true;
    });
  }
  bool WaitDone(Millis aLimit) const
  {
    const TimePoint start = Now();
    while (!this->done && Now() - start < aLimit) {
      std::this_thread::sleep_for(kPollEvery);
    }
    return this->done;
  }
  const HttpAnswer& Answer() const { return this->answer; }

private:
  const std::string address;
  HttpClient client;
  std::thread thread;
  std::atomic<bool> stopping{ false };
  std::atomic<bool> done{ false };
  HttpAnswer answer;
  TimePoint ended{};
};

FleetSettings
Settings(int aEngines)
{
  FleetSettings settings;
  settings.engines = aEngines;
  settings.services = 2;
  settings.logLinks = true;
  settings.engineFlags = { "--decode_ms_per_token=20" };
  for (int i = 0; i < aEngines; ++i) {
    settings.endpointKeys["engine-" + std::to_string(i)] = "capacity = 1";
  }
  return settings;
}

bool
WaitSeen(Fleet& aFleet, const std::string& aText)
{
  const TimePoint start = Now();
  while (aFleet.ReceivedRequests().find(aText) == std::string::npos) {
    if (Now() - start > kTarget) {
      return false;
    }
    std::this_thread::sleep_for(kPollEvery);
  }
  return true;
}

// --- Keys ---

class Keys : public ::testing::Test
{
protected:
  void SetUp() override { this->fleet.Start(Desired()); }
  void TearDown() override
  {
    if (HasFailure()) {
      std::cerr << this->fleet.LogTails();
    }
  }

  int Withdraw(const std::string& aName)
  {
    std::string output;
    return this->fleet.RunTool(
      { "key", "withdraw", aName, "--log=" + this->fleet.LogAddress() },
      output);
  }

  // An idle connection, an open stream and a queued call at daemon 2, while
  // aWithdraw runs: all three end with the refusal within the target.
  void ExpectAllStop(const std::string& aKey,
                     const std::string& aMark,
                     const std::function<void()>& aWithdraw)
  {
    Caller idle(this->fleet, 2);
    Caller stream(this->fleet, 2);
    Caller queued(this->fleet, 2);
    const std::string path = "/v1/services/groom/run/x";
    ASSERT_EQ(idle.Call(path, aKey, "{}").status, 200);
    stream.Start(aKey, "stream-" + aMark, 1000);
    ASSERT_TRUE(WaitSeen(this->fleet, "stream-" + aMark));
    queued.Start(aKey, "queued-" + aMark, 10);
    std::this_thread::sleep_for(Millis(500));
    aWithdraw();
    const TimePoint start = Now();
    HttpAnswer last = idle.Call(path, aKey, "{}");
    while (last.status == 200 && Now() - start < kTarget * 2) {
      std::this_thread::sleep_for(kPollEvery);
      last = idle.Call(path, aKey, "{}");
    }
    const int64_t idleMillis = MillisBetween(start, Now());
    EXPECT_LE(idleMillis, kTarget.count());
    EXPECT_EQ(FirstHeader(last.headers, "X-Refusal"), "key_withdrawn");
    const auto left = [&] {
      return std::max(Millis(1), kTarget - Millis(MillisBetween(start, Now())));
    };
    EXPECT_TRUE(stream.WaitDone(left()));
    EXPECT_TRUE(queued.WaitDone(left()));
    std::cout << aMark << ": all stopped " << MillisBetween(start, Now())
              << " ms after the withdrawal\n";
    EXPECT_NE(stream.Answer().body.find("key_withdrawn"), std::string::npos);
    EXPECT_NE(queued.Answer().body.find("key_withdrawn"), std::string::npos);
    EXPECT_EQ(this->fleet.ReceivedRequests().find("queued-" + aMark),
              std::string::npos);
  }

  std::string Issue(const std::string& aName)
  {
    std::string output;
    EXPECT_EQ(this->fleet.RunTool({ "key",
                                    "issue",
                                    "stopa",
                                    "--name=" + aName,
                                    "--json",
                                    "--wait",
                                    "--log=" + this->fleet.LogAddress() },
                                  output),
              0)
      << output;
    return nlohmann::json::parse(output).at("key");
  }

  Fleet fleet{ Settings(1) };
};

TEST_F(Keys, StopsForConnectedCallersWhateverTheLogDoes)
{
  const std::string night = this->Issue("night");
  {
    SCOPED_TRACE("with the log up");
    this->ExpectAllStop(
      kKey, "log-up", [&] { EXPECT_EQ(this->Withdraw("web"), 0); });
  }
  {
    SCOPED_TRACE("with the log down once one daemon has the change");
    this->ExpectAllStop(night, "log-down", [&] {
      for (const char* link : { "log-1", "log-2" }) {
        this->fleet.SetFault(link, "cut");
      }
      EXPECT_EQ(this->Withdraw("night"), 0);
      const TimePoint start = Now();
      while (Now() - start < kTarget) {
        const auto status =
          nlohmann::json::parse(this->fleet.Admin(0, "/status").body);
        if (status.at("config_version") == 4) {
          break;
        }
        std::this_thread::sleep_for(kPollEvery);
      }
      this->fleet.SetLogMode({ { "mode", "down" } });
    });
    this->fleet.SetLogMode({ { "mode", "up" } });
    for (const char* link : { "log-1", "log-2" }) {
      this->fleet.SetFault(link, "none");
    }
  }
  {
    SCOPED_TRACE("the same digest under a new name");
    std::string renamed = Desired();
    renamed.replace(renamed.find("[key web]"), 9, "[key web2]");
    EXPECT_EQ(this->fleet.Apply(renamed), 1);
    const HttpAnswer answer = this->fleet.Call(
      0, "POST", "/v1/services/groom/run/x", Bearer(kKey), "{}");
    EXPECT_EQ(FirstHeader(answer.headers, "X-Refusal"), "key_withdrawn");
  }
}

// --- Where a key may show ---

struct OddRequest
{
  std::string name;
  std::string path;
  HttpHeaders headers;
  std::string body;
  int status;
};

TEST_F(Keys, ShowsNowhereHoweverItIsSent)
{
  const std::string run = "/v1/services/groom/run/";
  const HttpHeaders bearer = Bearer(kKey);
  const auto with = [&](const std::string& aName, const std::string& aValue) {
    HttpHeaders headers = bearer;
    headers.emplace_back(aName, aValue);
    return headers;
  };
  const std::vector<OddRequest> requests{
    { "as it should be", run, bearer, "{}", 200 },
    { "mixed case", run, { { "aUTHORIZATION", "bEARER " + kKey } }, "{}", 200 },
    { "two headers", run, with("authorization", "Bearer " + kKey), "{}", 400 },
    { "query", run + "?key=" + kKey, bearer, "{}", 400 },
    { "path", run + kKey, bearer, "{}", 400 },
    { "body", run, bearer, "{\"key\":\"" + kKey + "\"}", 400 },
    { "X-Api-Key beside", run, with("X-Api-Key", kKey), "{}", 400 },
    { "X-Api-Key alone", run, { { "X-Api-Key", kKey } }, "{}", 401 },
    { "Idempotency-Key", run, with("Idempotency-Key", kKey), "{}", 400 },
    { "X-Program", run, with("X-Program", kKey), "{}", 400 },
    { "unknown path", "/v1/" + kKey, {}, "{}", 404 },
    { "unknown route", "/v1/services/" + kKey + "/run/x", {}, "{}", 404 },
    { "model call",
      "/v1/chat/completions",
      bearer,
      ChatBody("my key is " + kKey, 5),
      400 },
    { "open a program", "/v1/programs", bearer, "{}", 201 },
  };
  for (size_t i = 0; i < requests.size(); ++i) {
    SCOPED_TRACE(requests[i].name);
    const OddRequest& odd = requests[i];
    const HttpAnswer answer =
      this->fleet.Call(int(i % 3), "POST", odd.path, odd.headers, odd.body);
    EXPECT_EQ(answer.status, odd.status) << answer.body;
    EXPECT_EQ(answer.body.find(kKey), std::string::npos);
  }
  EXPECT_NE(this->fleet.ReceivedRequests().find("/run/"), std::string::npos);
  EXPECT_EQ(this->fleet.ReceivedRequests().find(kKey), std::string::npos);
  EXPECT_EQ(this->fleet.DumpLog().find(kKey), std::string::npos);
  for (int i = 0; i < 3; ++i) {
    SCOPED_TRACE("daemon " + std::to_string(i));
    std::ifstream file(this->fleet.Daemon(i).LogPath());
    std::ostringstream log;
    log << file.rdbuf();
    EXPECT_NE(log.str().find("refused"), std::string::npos);
    EXPECT_EQ(log.str().find(kKey), std::string::npos);
    for (const char* path : { "/metrics", "/status", "/programs" }) {
      EXPECT_EQ(this->fleet.Admin(i, path).body.find(kKey), std::string::npos);
    }
  }
}

TEST_F(Keys, OpensNoProgramOfAnotherOrganisation)
{
  const HttpAnswer opened =
    this->fleet.Call(0, "POST", "/v1/programs", Bearer(kKey), "{}");
  ASSERT_EQ(opened.status, 201) << opened.body;
  const std::string id = nlohmann::json::parse(opened.body).at("id");
  // Reason, status and text of a refusal, with the program's name taken out.
  const auto refusalOf = [](HttpAnswer aAnswer, const std::string& aId) {
    nlohmann::json error =
      nlohmann::json::parse(aAnswer.body).value("error", nlohmann::json());
    error.erase("request_id");
    std::string text = std::to_string(aAnswer.status) + error.dump();
    for (size_t at = text.find(aId); at != std::string::npos;
         at = text.find(aId)) {
      text.replace(at, aId.size(), "ID");
    }
    return text;
  };
  const auto attempts = [&](int aDaemon, const std::string& aId) {
    HttpHeaders in = Bearer(kOtherKey);
    in.emplace_back("X-Program", aId);
    const HttpHeaders own = Bearer(kOtherKey);
    const std::string path = "/v1/programs/" + aId;
    const std::string child = "{\"parent\":\"" + aId + "\"}";
    std::vector<HttpAnswer> answers;
    answers.push_back(this->fleet.Call(aDaemon, "GET", path, own));
    answers.push_back(this->fleet.Call(aDaemon, "DELETE", path, own));
    answers.push_back(this->fleet.Call(
      aDaemon, "POST", "/v1/chat/completions", in, ChatBody("mine", 5)));
    answers.push_back(
      this->fleet.Call(aDaemon, "POST", "/v1/services/groom/run/x", in, "{}"));
    answers.push_back(
      this->fleet.Call(aDaemon, "POST", "/v1/programs", own, child));
    std::vector<std::string> texts;
    for (const HttpAnswer& answer : answers) {
      EXPECT_GE(answer.status, 400) << answer.body;
      texts.push_back(refusalOf(answer, aId));
    }
    return texts;
  };
  const std::string none = "p-000000000000000000000000";
  for (int i = 0; i < 3; ++i) {
    SCOPED_TRACE("daemon " + std::to_string(i));
    EXPECT_EQ(attempts(i, id), attempts(i, none));
  }
  EXPECT_EQ(
    this->fleet.Call(0, "GET", "/v1/programs/" + id, Bearer(kKey)).status, 200);
}

// --- A leaving endpoint ---

class LeavingEndpoint : public ::testing::TestWithParam<bool>
{
protected:
  // The endpoints with index 0 leave, now or by a time that comes later.
  void Leave()
  {
    const bool byTime = GetParam();
    std::string keys = "leaving = true";
    if (byTime) {
      constexpr int64_t kLater = 2000;
      const time_t at = time_t((WallMillis() + kLater) / 1000);
      std::array<char, 32> text{};
      strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", gmtime(&at));
      keys = std::string("leaves_at = ") + text.data();
    }
    this->fleet.SetEndpointKeys("service-0", keys);
    this->fleet.SetEndpointKeys("engine-0", "capacity = 1\n" + keys);
    EXPECT_EQ(this->fleet.Apply(Desired()), 0);
    if (byTime) {
      std::this_thread::sleep_for(Millis(2000));
    }
  }

  size_t ServiceReceived()
  {
    return this->fleet.ServiceStats(0).at("received").get<size_t>();
  }
  size_t EngineReceived()
  {
    const std::string seen = this->fleet.EngineRequests(0);
    size_t count = 0;
    for (size_t at = seen.find("call-"); at != std::string::npos;
         at = seen.find("call-", at + 1)) {
      ++count;
    }
    return count;
  }

  Fleet fleet{ Settings(2) };
};

TEST_P(LeavingEndpoint, GetsNoNewRequestFiveSecondsAfter)
{
  this->fleet.Start(Desired());
  // Both engines are busy for longer than the target, and calls queue.
  std::vector<std::unique_ptr<Caller>> callers;
  constexpr int kCallers = 8;
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<Caller>(this->fleet, i % 3));
    callers.back()->Start(kKey, "call-" + std::to_string(i), i < 2 ? 600 : 20);
    std::this_thread::sleep_for(Millis(200));
  }
  // Every call of the leaving service fails, so that the route retries.
  this->fleet.SetService(0, { { "mode", "status" }, { "status", 503 } });
  std::atomic<bool> stop{ false };
  std::vector<std::thread> load;
  std::atomic<int64_t> served{ 0 };
  for (int i = 0; i < 3; ++i) {
    load.emplace_back([&, i] {
      while (!stop) {
        served +=
          this->fleet
            .Call(i, "POST", "/v1/services/groom/run/x", Bearer(kKey), "{}")
            .status == 200;
        std::this_thread::sleep_for(Millis(20));
      }
    });
  }
  std::this_thread::sleep_for(Millis(500));
  EXPECT_GT(this->ServiceReceived(), 0u);
  this->Leave();
  std::this_thread::sleep_for(kTarget);
  const size_t service = this->ServiceReceived();
  const size_t engine = this->EngineReceived();
  const int64_t servedBefore = served;
  for (const auto& caller : callers) {
    EXPECT_TRUE(caller->WaitDone(Millis(30000)));
    EXPECT_EQ(caller->Answer().status, 200) << caller->Answer().body;
  }
  stop = true;
  for (std::thread& thread : load) {
    thread.join();
  }
  EXPECT_GT(served, servedBefore);
  EXPECT_EQ(this->ServiceReceived(), service);
  EXPECT_EQ(this->EngineReceived(), engine);
  std::cout << "leaving service received " << service
            << ", leaving engine received " << engine << "\n";
  if (HasFailure()) {
    std::cerr << this->fleet.LogTails();
  }
}

INSTANTIATE_TEST_SUITE_P(NowAndByTime, LeavingEndpoint, ::testing::Bool());

} // namespace
} // namespace tanagerseam::testing_support
