// Gateways as real processes before a store whose records expire while programs
// that use them go on.
#include "tests/support/gateway_fleet.h"

namespace tanagerseam {
namespace {

using namespace testing_support;

// The history that the operators' sheet gives the store.
constexpr Millis kStoreRetention(20000);
constexpr int kTokensPerEvent = 10;
constexpr int kEventsOfTurn = 10;
constexpr int kTokensOfTurn = kTokensPerEvent * kEventsOfTurn;
constexpr int kBudget = 10 * kTokensOfTurn;
// Ends a loop that no refusal ends.
constexpr int kMaxTurns = 40;
constexpr Millis kTurnInterval(5000);
constexpr Millis kRetryDelay(200);
constexpr int kOk = 200;
constexpr int kBudgetSpent = 402;

PresetResponse
Generate(const std::string& aRequest)
{
  if (aRequest.find("/ask/") == std::string::npos) {
    return AnswerAs(aRequest);
  }
  PresetResponse response;
  response.bytes = EventStreamHead(aRequest);
  for (int id = 1; id <= kEventsOfTurn; ++id) {
    response.bytes += Chunk("id: " + std::to_string(id) + "\ndata: text\n\n");
  }
  response.bytes += "0\r\n\r\n";
  return response;
}

class GatewayBudgetFleet : public GatewayFleet
{
protected:
  GatewayBudgetFleet()
    : GatewayFleet(2, Generate)
  {
    this->store.SetRetention(kStoreRetention);
  }

  // One turn of a program, through the hosts in turn. Returns the status; 0 if
  // the response broke.
  int TakeTurn(const std::string& aProgram)
  {
    const int number = this->nextId++;
    const std::string response = this->Ask(
      this->hosts[static_cast<size_t>(number) % this->hosts.size()]->callPort,
      "POST /ask/1 HTTP/1.1\r\nHost: reports.example\r\nX-Request-Id: b" +
        std::to_string(number) +
        "\r\nX-Deadline-Ms: 1500\r\nAuthorization: Bearer key-1\r\n"
        "X-Program-Id: " +
        aProgram + "\r\nX-Session-Id: s\r\nX-Token-Usage: 10," +
        std::to_string(kTokensOfTurn) + "\r\nX-Token-Budget: " +
        std::to_string(kBudget) + "\r\nContent-Length: 5\r\n\r\ninput");
    this->tokens[aProgram] += CountEvents(response) * kTokensPerEvent;
    return StatusOf(response);
  }

  // Takes turns until the budget is spent; others that fail are repeated.
  void TakeTurnsUntilSpent(const std::string& aProgram)
  {
    for (int turn = 0; turn < kMaxTurns; ++turn) {
      const int status = this->TakeTurn(aProgram);
      if (status == kBudgetSpent) {
        return;
      }
      if (status != kOk) {
        this->RunFor(kRetryDelay);
      }
    }
  }

  void KillAndRestartAll()
  {
    for (auto& host : this->hosts) {
      host->process->Kill();
      host->Start();
    }
    ASSERT_TRUE(this->Until([this] { return this->AllReady(); }));
  }

  // Handed to clients, by program.
  std::map<std::string, int> tokens;
};

// Guards against incident BUDGET on stopa-seam: tokens that programs had used
// were granted once more when the store no longer kept the records of it.
TEST_F(GatewayBudgetFleet, TokensStaySpentOnceTheStoreForgetsTheirRecords)
{
  const TimePoint begin = BootNow();
  this->TakeTurnsUntilSpent("stopped");
  for (int turn = 0; turn < 4; ++turn) {
    EXPECT_EQ(this->TakeTurn("working"), kOk);
  }
  for (int turn = 1; turn <= 4; ++turn) {
    this->Until([=] { return BootNow() >= begin + turn * kTurnInterval; },
                kTurnInterval);
    EXPECT_EQ(this->TakeTurn("working"), kOk);
  }
  // Unused tokens are returned by then, and the first records have expired.
  this->Until(
    [=] { return BootNow() >= begin + kStoreRetention + Millis(3000); },
    kStoreRetention);
  this->KillAndRestartAll();
  {
    SCOPED_TRACE("a program that has been under way all the time");
    this->TakeTurnsUntilSpent("working");
    EXPECT_LE(this->tokens["working"], kBudget + kTokensOfTurn);
    EXPECT_GT(this->tokens["working"], kBudget - 3 * kTokensOfTurn);
  }
  this->Until(
    [=] { return BootNow() >= begin + kStoreRetention + Millis(12000); },
    kStoreRetention);
  {
    SCOPED_TRACE("a program that was stopped and returns in time");
    this->TakeTurnsUntilSpent("stopped");
    EXPECT_LE(this->tokens["stopped"], kBudget + kTokensOfTurn);
  }
}

} // namespace
} // namespace tanagerseam
