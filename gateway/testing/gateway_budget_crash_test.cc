// What is left of a program's token budget once hosts have crashed: a program
// that has tokens left is not over.
#include "gateway/testing/gateway_fixture.h"

namespace tanagerseam {
namespace {

using namespace testing_support;

constexpr int kMostOfATurn = 100;
// Two events of 10 tokens.
constexpr int kUsedByATurn = 20;

// Hosts that share one record log.
class GatewayBudgetCrashTest : public GatewayTest
{
protected:
  std::unique_ptr<GatewayHost> Start(const std::string& aName)
  {
    auto started = std::make_unique<GatewayHost>(this->io, this->log, aName);
    started->ApplyCatalog();
    started->AddEndpoint("e-1", "engines", this->engine.Address());
    return started;
  }

  // The same, after a crash of the host before.
  void RestartHost()
  {
    this->current.reset();
    this->current = this->Start("host-" + std::to_string(++this->starts));
  }

  std::string Turn(const std::string& aProgram, int aBudget)
  {
    const std::string id = "t-" + std::to_string(this->nextTurn++);
    const std::string headers =
      "X-Program-Id: " + aProgram +
      "\r\nX-Session-Id: s\r\nX-Token-Usage: 100," +
      std::to_string(kMostOfATurn) +
      "\r\nX-Token-Budget: " + std::to_string(aBudget) + "\r\n";
    return this->Request("POST", "/ask/1", id, "x", headers);
  }

  int StatusOfTurn(GatewayHost& aHost, int aBudget)
  {
    return StatusOf(this->SendAndReceive(aHost, this->Turn("p", aBudget)));
  }

  // Turns of the program that are served by hosts that crash after aTurnsAHost
  // turns each, until one is refused.
  int TurnsServed(int aBudget, int aTurnsAHost, int aMost)
  {
    int served = 0;
    for (int turn = 0; turn < aMost; ++turn) {
      if (turn % aTurnsAHost == 0) {
        this->RestartHost();
      }
      const int status = this->StatusOfTurn(*this->current, aBudget);
      if (status != 200) {
        EXPECT_EQ(status, 402);
        break;
      }
      ++served;
    }
    return served;
  }

  static PresetResponse Stream(const std::string& aRequest)
  {
    PresetResponse response;
    response.bytes = MakeStreamHead(aRequest) + Chunk("id: 1\ndata: one\n\n");
    response.delay = Millis(20);
    response.delayedBytes = Chunk("id: 2\ndata: two\n\n") + "0\r\n\r\n";
    return response;
  }

  RawEndpoint engine{ io, Stream };
  std::unique_ptr<GatewayHost> current;
  int starts = 10;
  int nextTurn = 0;
};

// Turns that a budget covers, each of which may use its most until it ends.
constexpr int
TurnsCovered(int aBudget)
{
  return (aBudget - kMostOfATurn) / kUsedByATurn + 1;
}

// Guards against programs that are told 402 since hosts that were killed held
// their tokens (review/11).
TEST_F(GatewayBudgetCrashTest, KillsBetweenTurnsCostNoTokensOfASmallBudget)
{
  constexpr int kBudget = 2 * kMostOfATurn;
  constexpr int kMany = 20;
  {
    SCOPED_TRACE("a kill after each turn");
    EXPECT_EQ(this->TurnsServed(kBudget, 1, kMany), TurnsCovered(kBudget));
  }
}

// Guards against kills in a row that each take a large part of a budget.
TEST_F(GatewayBudgetCrashTest, SeveralKillsInARowEndNoProgram)
{
  constexpr int kBudget = 8 * kMostOfATurn;
  constexpr int kKills = 4;
  constexpr int kTurnsAHost = 2;
  constexpr int kTurns = (kKills + 1) * kTurnsAHost;
  EXPECT_EQ(this->TurnsServed(kBudget, kTurnsAHost, kTurns), kTurns);
}

// Guards against a budget that is handed out twice: what the hosts before used
// counts, also where each of them was killed.
TEST_F(GatewayBudgetCrashTest, KilledHostsHandOutNoMoreThanTheBudget)
{
  constexpr int kBudget = 3 * kMostOfATurn;
  constexpr int kMany = 40;
  EXPECT_LE(this->TurnsServed(kBudget, 2, kMany), TurnsCovered(kBudget));
}

// Guards against tokens that are lost with the owner of a budget while a turn
// runs at another host.
TEST_F(GatewayBudgetCrashTest, TurnUnderWayOutlivesTheOwnerOfItsBudget)
{
  constexpr int kBudget = 2 * kMostOfATurn;
  constexpr int kPrograms = 6;
  auto owner = this->Start("host-2");
  auto serving = this->Start("host-3");
  for (GatewayHost* each : { owner.get(), serving.get() }) {
    each->gateway.PutMember(owner->Member("host-2"), false);
    each->gateway.PutMember(serving->Member("host-3"), false);
  }
  this->ExchangeReports();
  std::vector<std::unique_ptr<RawClient>> clients;
  for (int i = 0; i < kPrograms; ++i) {
    clients.push_back(std::make_unique<RawClient>(this->io, serving->port));
    clients.back()->Send(this->Turn("p-" + std::to_string(i), kBudget));
  }
  EXPECT_TRUE(this->RunUntil([&clients] {
    return std::all_of(clients.begin(), clients.end(), [](const auto& aClient) {
      return aClient->Received().find("data: one") != std::string::npos;
    });
  }));
  owner.reset();
  EXPECT_TRUE(this->RunUntil([&clients] {
    return std::all_of(clients.begin(), clients.end(), [](const auto& aClient) {
      return IsCompleteResponse(aClient->Received());
    });
  }));
  serving.reset();
  this->RestartHost();
  for (int i = 0; i < kPrograms; ++i) {
    const std::string program = "p-" + std::to_string(i);
    int served = 1;
    while (served < 20 &&
           StatusOf(this->SendAndReceive(
             *this->current, this->Turn(program, kBudget))) == 200) {
      ++served;
    }
    EXPECT_EQ(served, TurnsCovered(kBudget)) << program;
  }
}

} // namespace
} // namespace tanagerseam
