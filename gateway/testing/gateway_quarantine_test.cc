// Calls whose connections to endpoints end early: only those that crash
// endpoint after endpoint are refused.
#include "gateway/testing/gateway_fixture.h"

namespace tanagerseam {
namespace {

using namespace testing_support;

class GatewayQuarantineTest : public GatewayTest
{
protected:
  static constexpr int kEngines = 5;

  void SetUp() override
  {
    this->host.ApplyCatalog();
    for (int i = 0; i < kEngines; ++i) {
      this->engines.push_back(std::make_unique<RawEndpoint>(
        this->io, [this](const std::string& aRequest) {
          return this->Respond(aRequest);
        }));
      this->host.AddEndpoint(
        "e-" + std::to_string(i), "engines", this->engines.back()->Address());
    }
  }

  PresetResponse Respond(const std::string& aRequest) const
  {
    PresetResponse response{ MakeStreamHead(aRequest) };
    if (aRequest.find("fatal") == std::string::npos) {
      response.bytes += Chunk("id: 1\ndata: one\n\n") + "0\r\n\r\n";
      return response;
    }
    response.crash = this->enginesCrash;
    response.close = !this->enginesCrash;
    return response;
  }

  // The response to a turn of a new program.
  std::string Ask(const std::string& aBody)
  {
    const std::string id = "t-" + std::to_string(this->nextId++);
    return this->SendAndReceive(this->host,
                                this->TurnRequest(id, "", aBody, 100000));
  }

  // A turn of a new program on another path.
  std::string AskElsewhere()
  {
    const std::string id = "t-" + std::to_string(this->nextId++);
    std::string request = this->TurnRequest(id, "", "harmless", 100000);
    request.replace(request.find("/ask/1"), 6, "/ask/2");
    return this->SendAndReceive(this->host, request);
  }

  // Sends the call until it was refused for crashing engines, or aTimes times.
  // True if it was refused.
  bool IsRefusedWithin(const std::string& aBody, int aTimes)
  {
    for (int i = 0; i < aTimes; ++i) {
      const std::string response = this->Ask(aBody);
      if (response.find("call_quarantined") != std::string::npos) {
        EXPECT_EQ(StatusOf(response), 503);
        return true;
      }
      // Finds out that an engine is down.
      this->Ask("harmless");
    }
    return false;
  }

  int CrashedEngines() const
  {
    return static_cast<int>(std::count_if(
      this->engines.begin(), this->engines.end(), [](const auto& aEngine) {
        return aEngine->crashed;
      }));
  }

  bool enginesCrash = true;
  int nextId = 0;
  std::vector<std::unique_ptr<RawEndpoint>> engines;
};

TEST_F(GatewayQuarantineTest, RefusesACallThatCrashedThreeEngines)
{
  EXPECT_TRUE(this->IsRefusedWithin("fatal", kEngines + 1));
  EXPECT_LE(this->CrashedEngines(), 4);
  EXPECT_EQ(StatusOf(this->Ask("harmless")), 200);
}

// Pattern: on a route that keeps no history, each turn's body repeats the fatal
// input and adds to it.
TEST_F(GatewayQuarantineTest, RefusesAPathWhoseCallsCrashEnginesWithOtherBodies)
{
  std::string body = "fatal";
  bool refused = false;
  for (int i = 0; i <= kEngines && !refused; ++i) {
    body += " more";
    // No call to that path ends well in between.
    refused = this->Ask(body).find("call_quarantined") != std::string::npos;
    this->AskElsewhere();
  }
  EXPECT_TRUE(refused);
  EXPECT_LE(this->CrashedEngines(), 4);
  EXPECT_EQ(StatusOf(this->AskElsewhere()), 200);
}

TEST_F(GatewayQuarantineTest, RefusesNoPathOnWhichOtherCallsSucceed)
{
  for (int i = 0; i < 4; ++i) {
    this->Ask("fatal " + std::to_string(i));
    EXPECT_EQ(StatusOf(this->Ask("harmless")), 200);
  }
}

// Engines that are back, as new incarnations, before any other call comes.
class QuietServiceTest : public GatewayQuarantineTest
{
protected:
  // Until crashes were asked for, and hosts have told each other.
  static constexpr Millis kPause{ 400 };
  static constexpr int kManyAttempts = 8;

  void RestartCrashedEngines(const std::vector<GatewayHost*>& aHosts)
  {
    for (size_t i = 0; i < this->engines.size(); ++i) {
      if (!this->engines[i]->crashed) {
        continue;
      }
      ++this->crashes;
      this->engines[i] = std::make_unique<RawEndpoint>(
        this->io, [this](const std::string& aRequest) {
          return this->Respond(aRequest);
        });
      for (GatewayHost* each : aHosts) {
        this->AddEngine(*each, i);
      }
    }
  }

  void AddEngine(GatewayHost& aHost, size_t aEngine)
  {
    EndpointEntry entry;
    entry.id = "e-" + std::to_string(aEngine);
    entry.service = "engines";
    entry.address = this->engines[aEngine]->Address();
    entry.zone = "zone-a";
    entry.slots = 4;
    entry.startedAtMillis = WallMillis();
    aHost.gateway.PutEndpoint(entry);
    aHost.gateway.ConfirmEndpoints(BootNow());
  }

  // Sends the call to the hosts in turn until it is refused for crashing
  // engines. False if none refuses it.
  bool IsRefusedInTurn(const std::vector<GatewayHost*>& aHosts)
  {
    for (size_t i = 0; i < kManyAttempts; ++i) {
      const std::string id = "t-" + std::to_string(this->nextId++);
      const std::string response = this->SendAndReceive(
        *aHosts[i % aHosts.size()], this->TurnRequest(id, "", "fatal", 100000));
      if (response.find("call_quarantined") != std::string::npos) {
        return true;
      }
      this->RunFor(kPause);
      this->RestartCrashedEngines(aHosts);
    }
    return false;
  }

  int crashes = 0;
};

// Guards against a call that crashes endpoints for good on a quiet service,
// where no other call is refused a connection (review/14).
TEST_F(QuietServiceTest, RefusesACallThatCrashedThreeEngines)
{
  EXPECT_TRUE(this->IsRefusedInTurn({ &this->host }));
  EXPECT_EQ(this->crashes, 3);
  EXPECT_EQ(StatusOf(this->AskElsewhere()), 200);
}

// Guards against a call that is counted at each host alone.
TEST_F(QuietServiceTest, RefusesACallWhoseCrashesThreeHostsHaveSeen)
{
  GatewayHost second(this->io, this->log, "host-2");
  GatewayHost third(this->io, this->log, "host-3");
  const std::vector<GatewayHost*> hosts = { &this->host, &second, &third };
  for (GatewayHost* each : hosts) {
    each->ApplyCatalog();
    for (size_t i = 0; i < this->engines.size(); ++i) {
      this->AddEngine(*each, i);
    }
    each->gateway.PutMember(this->host.Member("host-1"), false);
    each->gateway.PutMember(second.Member("host-2"), false);
    each->gateway.PutMember(third.Member("host-3"), false);
  }
  this->ExchangeReports();
  EXPECT_TRUE(this->IsRefusedInTurn(hosts));
  EXPECT_EQ(this->crashes, 3);
}

TEST_F(QuietServiceTest, RefusesNoCallWhoseResponsesAreCut)
{
  this->enginesCrash = false;
  EXPECT_FALSE(this->IsRefusedInTurn({ &this->host }));
}

TEST_F(GatewayQuarantineTest, RefusesNoCallWhoseResponsesAreCut)
{
  this->enginesCrash = false;
  EXPECT_FALSE(this->IsRefusedWithin("fatal", 2 * kEngines));
}

} // namespace
} // namespace tanagerseam
