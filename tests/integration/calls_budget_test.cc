// A program's budget under sub-agents, retries, callers that leave and kills.
// The judge is the engine stand-in's own count of tokens: the only program of
// an engine may not have made it work on more tokens than its budget.
#include <gtest/gtest.h>

#include <iostream>
#include <random>

#include "tests/support/program_client.h"

namespace tanagerseam::testing_support {
namespace {

const std::string kKey = "key-of-stopa";
constexpr int kDaemons = 3;

const std::string kSecondKey = "second-key-of-stopa";

std::string
Desired(bool aBothKeys = true)
{
  std::string text = "[organisation stopa]\nrate_per_s = 1000\nburst = 1000\n"
                     "[key web]\norganisation = stopa\nsha256 = " +
                     Sha256Hex(kKey) + "\n";
  if (aBothKeys) {
    text +=
      "[key second]\norganisation = stopa\nsha256 = " + Sha256Hex(kSecondKey) +
      "\n";
  }
  return text;
}

FleetSettings
Settings()
{
  FleetSettings settings;
  settings.daemons = kDaemons;
  settings.engines = 1;
  settings.services = 0;
  settings.models = "model-a,model-b";
  settings.endpointLinks = true;
  settings.daemonSections = kShortLease;
  settings.engineFlags = { "--decode_ms_per_token=10" };
  return settings;
}

class BudgetTest : public ::testing::Test
{
protected:
  BudgetTest()
    : fleet(Settings())
    , caller(fleet, kKey)
  {
    this->fleet.Start(Desired());
  }

  ~BudgetTest() override
  {
    if (HasFailure()) {
      std::cerr << this->fleet.LogTails();
    }
  }

  // The budget holds by the program's own account and by the engine's.
  void ExpectHolds(const std::string& aProgram, int64_t aBudget)
  {
    const auto look = this->caller.GetProgram(aProgram, 0);
    const int64_t account = look.at("spent_tokens").get<int64_t>() +
                            look.at("reserved_tokens").get<int64_t>();
    const int64_t worked = this->caller.EngineTokens(0);
    EXPECT_LE(account, aBudget);
    EXPECT_LE(worked, account) << "work that no account holds";
    EXPECT_GT(worked, 0);
    std::cout << "engine " << worked << " of " << aBudget << ", account "
              << look.at("spent_tokens") << " + " << look.at("reserved_tokens")
              << "\n";
  }

  Transcript OpenWith(int64_t aBudget)
  {
    return this->caller.OpenProgram(0, { { "budget_tokens", aBudget } });
  }

  Fleet fleet;
  ProgramClient caller;
};

TEST_F(BudgetTest, HoldsWhenCallersLeaveInTheStream)
{
  constexpr int64_t kBudget = 500;
  const Transcript transcript = this->OpenWith(kBudget);
  // Each caller leaves after about forty of a hundred tokens.
  for (int i = 0; i < 24; ++i) {
    HttpHeaders headers{ { "Authorization", "Bearer " + kKey },
                         { "Content-Type", "application/json" },
                         { "X-Program", transcript.id },
                         { "X-Call", "1" } };
    const nlohmann::json body{
      { "model", "model-a" },
      { "max_tokens", 100 },
      { "stream", i % 2 == 0 },
      { "messages", { ProgramClient::ChatMessage("user", "go") } }
    };
    this->fleet.Call(i % kDaemons,
                     "POST",
                     "/v1/chat/completions",
                     headers,
                     body.dump(),
                     Millis(400));
  }
  std::this_thread::sleep_for(Millis(500));
  this->ExpectHolds(transcript.id, kBudget);
}

TEST_F(BudgetTest, HoldsWhenTheKeyIsWithdrawnInTheStream)
{
  const Transcript transcript = this->OpenWith(1000);
  ProgramClient second(this->fleet, kSecondKey);
  auto first = std::async(std::launch::async, [&] {
    return second.CallModel(1, transcript.id, 1, "go", 400, true, Millis(9000));
  });
  EXPECT_TRUE(WaitUntil([this] { return this->caller.EngineTokens(0) > 20; },
                        kRecoveryTimeout));
  EXPECT_EQ(this->fleet.Apply(Desired(false)), 0);
  const ModelAnswer read = ProgramClient::ParseAnswer(first.get(), true);
  EXPECT_FALSE(read.complete);
  EXPECT_EQ(read.refusal, "key_unknown");
  // It did run, in part; that part stays on the account.
  EXPECT_EQ(read.ran, "unknown");
  std::this_thread::sleep_for(Millis(300));
  this->ExpectHolds(transcript.id, 1000);
}

TEST_F(BudgetTest, HoldsWhenAModelComesBackLate)
{
  constexpr int64_t kBudget = 8000;
  const Transcript transcript = this->OpenWith(kBudget);
  const auto say = [&](int aCall, const char* aModel, int aWords) {
    std::string text;
    for (int i = 0; i < aWords; ++i) {
      text += "w ";
    }
    const nlohmann::json body{
      { "model", aModel },
      { "max_tokens", 2 },
      { "messages", { ProgramClient::ChatMessage("user", text) } }
    };
    return this->caller.Send(
      aCall % kDaemons,
      "POST",
      "/v1/chat/completions",
      { { "X-Program", transcript.id }, { "X-Call", std::to_string(aCall) } },
      body.dump(),
      kRecoveryTimeout);
  };
  // One model's turns fill the history and the budget...
  ASSERT_EQ(say(1, "model-a", 1).status, 200);
  int call = 2;
  while (say(call, "model-b", 100).status == 200) {
    ++call;
  }
  // ...and the other, which has seen none of them, is asked for a word.
  say(call, "model-a", 1);
  this->ExpectHolds(transcript.id, kBudget);
}

// The log is away; the owner dies with attempts that only replicas know.
TEST_F(BudgetTest, HoldsWhileTheLogIsDown)
{
  constexpr int64_t kBudget = 900;
  constexpr int kCallersAtOnce = 3;
  const Transcript transcript = this->OpenWith(kBudget);
  const int owner = this->caller.OwnerOfProgram(transcript.id);
  ASSERT_GE(owner, 0);
  // Members promise for each other once their renewals name them.
  std::this_thread::sleep_for(Millis(1000));
  this->fleet.SetLogMode({ { "mode", "down" } });
  this->fleet.SetEngine(0, { { "drop_share", 0.4 }, { "seed", 5 } });
  // A sub-agent's share is for the log to rule.
  const nlohmann::json child{ { "parent", transcript.id },
                              { "budget_tokens", 10 } };
  const HttpAnswer opened = this->caller.Send(
    owner, "POST", "/v1/programs", {}, child.dump(), Millis(6000));
  EXPECT_EQ(HeaderValue(opened, "X-Refusal"), "log_unavailable") << opened.body;
  const auto ask = [&](int aDaemon, int64_t aCall) {
    return this->caller.CallModel(
      aDaemon, transcript.id, aCall, "go", 40, true, Millis(3000));
  };
  const auto exhaust = [&](const std::vector<int>& aDaemons) {
    std::vector<std::future<void>> callers;
    for (int i = 0; i < kCallersAtOnce; ++i) {
      callers.push_back(std::async(std::launch::async, [&, i] {
        int64_t call = 1;
        for (int round = 0; round < 12; ++round) {
          const int daemon = aDaemons[size_t(i + round) % aDaemons.size()];
          const HttpAnswer said = ask(daemon, call);
          call += ProgramClient::ParseAnswer(said, true).complete ? 1 : 0;
          if (HeaderValue(said, "X-Refusal") == "budget_exhausted") {
            break;
          }
        }
      }));
    }
    for (auto& one : callers) {
      one.get();
    }
  };
  auto last = std::async(std::launch::async, [&] { exhaust({ 0, 1, 2 }); });
  // Strikes while attempts are under way.
  EXPECT_TRUE(WaitUntil([this] { return this->caller.EngineTokens(0) > 250; },
                        kRecoveryTimeout));
  this->fleet.Daemon(owner).Kill();
  std::this_thread::sleep_for(Millis(1500));
  this->fleet.SetLogMode({ { "mode", "up" } });
  last.get();
  this->fleet.StartDaemon(owner);
  ASSERT_TRUE(this->fleet.WaitReady(owner, kRecoveryTimeout));
  exhaust({ 0, 1, 2 });
  std::this_thread::sleep_for(Millis(300));
  this->ExpectHolds(transcript.id, kBudget);
}

TEST_F(BudgetTest, HoldsForParallelSubAgentsRetriesAndKills)
{
  constexpr int64_t kBudget = 4000;
  constexpr int64_t kShare = 700;
  constexpr int kAgents = 8;
  const Transcript root = this->OpenWith(kBudget);
  this->fleet.SetEngine(
    0, { { "drop_share", 0.3 }, { "cross_share", 0.1 }, { "seed", 21 } });
  // Agents that ask without end; the account must stop them.
  std::atomic<int> opened{ 0 };
  std::vector<std::future<void>> agents;
  for (int agent = 0; agent < kAgents; ++agent) {
    agents.push_back(std::async(std::launch::async, [&, agent] {
      std::mt19937 random(agent + 1);
      const nlohmann::json body{ { "parent", root.id },
                                 { "budget_tokens", kShare } };
      const HttpAnswer answer = this->caller.Send(agent % kDaemons,
                                                  "POST",
                                                  "/v1/programs",
                                                  {},
                                                  body.dump(),
                                                  kRecoveryTimeout);
      if (answer.status != 201) {
        return;
      }
      ++opened;
      const std::string id = nlohmann::json::parse(answer.body).at("id");
      int64_t call = 1;
      for (int i = 0; i < 25; ++i) {
        const HttpAnswer said =
          this->caller.CallModel(int(random() % kDaemons),
                                 id,
                                 call,
                                 "agent " + std::to_string(agent),
                                 20 + int64_t(random() % 30),
                                 false,
                                 Millis(4000));
        call += said.status == 200 ? 1 : 0;
        if (HeaderValue(said, "X-Refusal") == "budget_exhausted") {
          break;
        }
      }
      if (agent % 2 == 0) {
        this->caller.Send(
          0, "DELETE", "/v1/programs/" + id, {}, "", Millis(4000));
      }
    }));
  }
  for (int daemon = 1; daemon < kDaemons; ++daemon) {
    std::this_thread::sleep_for(Millis(700));
    this->fleet.Daemon(daemon).Kill();
    this->fleet.StartDaemon(daemon);
    EXPECT_TRUE(this->fleet.WaitReady(daemon, kRecoveryTimeout));
  }
  for (auto& agent : agents) {
    agent.get();
  }
  EXPECT_GT(opened, 1);
  EXPECT_LE(opened * kShare, kBudget + kShare);
  this->ExpectHolds(root.id, kBudget);
}

} // namespace
} // namespace tanagerseam::testing_support
