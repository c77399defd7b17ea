// Turns of a route that keeps history whose streams break off and are resumed.
#include <map>
#include <set>

#include "gateway/testing/gateway_fixture.h"

namespace tanagerseam {
namespace {

using namespace testing_support;

constexpr int kEvents = 5;

int
LastEventOf(const std::string& aRequest)
{
  const std::string name = "Last-Event-Id: ";
  const size_t at = aRequest.find(name);
  return at == std::string::npos ? 0 : std::stoi(aRequest.substr(at + 15));
}

class ResumedTurnTest : public GatewayTest
{
protected:
  void SetUp() override
  {
    CatalogContent content = GatewayHost::MakeContent(1, "key-1");
    content.routes[0].resumable = true;
    EndpointEntry entry;
    entry.id = "e-1";
    entry.service = "engines";
    entry.address = this->engine.Address();
    entry.zone = "zone-a";
    entry.version = "v1";
    entry.slots = 4;
    for (GatewayHost* each : this->Hosts()) {
      each->Apply(content);
      each->gateway.PutEndpoint(entry);
      each->gateway.ConfirmEndpoints(BootNow());
    }
  }

  std::vector<GatewayHost*> Hosts()
  {
    std::vector<GatewayHost*> hosts = { &this->host, &this->third };
    if (this->second) {
      hosts.push_back(this->second.get());
    }
    return hosts;
  }

  // From now on the hosts know each other.
  void Introduce()
  {
    for (GatewayHost* each : this->Hosts()) {
      each->gateway.PutMember(this->host.Member("host-1"), false);
      each->gateway.PutMember(this->third.Member("host-3"), false);
      if (this->second) {
        each->gateway.PutMember(this->second->Member("host-2"), false);
      }
    }
    this->ExchangeReports();
  }

  // Event aNumber of an attempt, as its endpoint writes it.
  static std::string Data(const std::string& aAttempt, int aNumber)
  {
    return aAttempt + "." + std::to_string(aNumber);
  }

  // What a turn's record holds of an attempt's events.
  static std::string Output(const std::string& aAttempt, int aFirst, int aLast)
  {
    std::string text;
    for (int i = aFirst; i <= aLast; ++i) {
      text += Data(aAttempt, i) + "\n";
    }
    return text;
  }

  PresetResponse Serve(const std::string& aRequest)
  {
    const std::string id = IdOf(aRequest);
    const auto breaks = this->breaksBehind.find(id);
    const bool isBroken = breaks != this->breaksBehind.end();
    PresetResponse response{ MakeStreamHead(aRequest) };
    const int last = isBroken ? breaks->second : kEvents;
    for (int i = LastEventOf(aRequest) + 1; i <= last; ++i) {
      response.bytes +=
        Chunk("id: " + std::to_string(i) + "\ndata: " + Data(id, i) + "\n\n");
    }
    if (isBroken) {
      response.delay = Millis(20);
      response.reset = true;
    } else {
      response.bytes += "0\r\n\r\n";
    }
    return response;
  }

  std::string Turn(GatewayHost& aHost,
                   const std::string& aId,
                   const std::string& aBody,
                   const std::string& aHeaders = "")
  {
    return this->SendAndReceive(
      aHost,
      this->Request("POST",
                    "/ask/1",
                    aId,
                    aBody,
                    "X-Program-Id: p\r\nX-Session-Id: s\r\n"
                    "X-Token-Usage: 100,100\r\nX-Token-Budget: 9000\r\n" +
                      aHeaders));
  }

  std::string Resume(GatewayHost& aHost,
                     const std::string& aId,
                     const std::string& aFirst,
                     int aLastEvent)
  {
    return this->Turn(aHost,
                      aId,
                      "[one]",
                      "Resumes: " + aFirst + "\r\nLast-Event-Id: " +
                        std::to_string(aLastEvent) + "\r\n");
  }

  // The body with which an endpoint got the next turn; empty if none did.
  std::string BodyOfNext(const std::string& aPrevious,
                         const std::string& aId = "t-2",
                         const std::string& aInput = "[two]")
  {
    const std::string received = this->Turn(
      this->third, aId, aInput, "X-Previous-Turn: " + aPrevious + "\r\n");
    EXPECT_EQ(StatusOf(received), 200);
    const std::string& last = this->engine.requests.back();
    return IdOf(last) == aId ? BodyOf(last) : "";
  }

  // Attempts that break off, and the number of the last event before that.
  std::map<std::string, int> breaksBehind;
  RawEndpoint engine{ io, [this](const std::string& aRequest) {
                       return this->Serve(aRequest);
                     } };
  std::unique_ptr<GatewayHost> second =
    std::make_unique<GatewayHost>(io, log, "host-2");
  GatewayHost third{ io, log, "host-3" };
};

// Guards against a turn that is kept without the events that the client got
// before its stream broke off: all later turns build on its record.
TEST_F(ResumedTurnTest, IsKeptWithTheEventsBeforeTheBreak)
{
  this->Introduce();
  this->breaksBehind["t-1"] = 2;
  EXPECT_FALSE(IsCompleteResponse(this->Turn(this->host, "t-1", "[one]")));
  EXPECT_TRUE(
    IsCompleteResponse(this->Resume(*this->second, "t-1b", "t-1", 2)));
  const std::string chain =
    "[one]" + Output("t-1", 1, 2) + Output("t-1b", 3, kEvents) + "[two]";
  EXPECT_EQ(this->BodyOfNext("t-1b"), chain);
  {
    SCOPED_TRACE("the third turn is built from the record of the second");
    EXPECT_EQ(this->BodyOfNext("t-2", "t-3", "[three]"),
              chain + Output("t-2", 1, kEvents) + "[three]");
  }
}

// Guards against a record that misses the events of some attempts of several.
TEST_F(ResumedTurnTest, IsKeptWholeAfterSeveralBreaks)
{
  this->Introduce();
  this->breaksBehind = { { "t-1", 2 }, { "t-1b", 3 }, { "t-1c", 3 } };
  this->Turn(this->host, "t-1", "[one]");
  this->Resume(*this->second, "t-1b", "t-1", 2);
  // It breaks before its first event.
  this->Resume(this->third, "t-1c", "t-1", 3);
  EXPECT_TRUE(IsCompleteResponse(this->Resume(this->host, "t-1d", "t-1", 3)));
  EXPECT_EQ(this->BodyOfNext("t-1d"),
            "[one]" + Output("t-1", 1, 2) + Output("t-1b", 3, 3) +
              Output("t-1d", 4, kEvents) + "[two]");
}

// Guards against a record without the whole turn where a client names the
// attempt that it saw last in place of the one that began the stream.
TEST_F(ResumedTurnTest, IsKeptWholeIfALaterAttemptIsNamed)
{
  this->Introduce();
  this->breaksBehind = { { "t-1", 2 }, { "t-1b", 4 } };
  this->Turn(this->host, "t-1", "[one]");
  this->Resume(*this->second, "t-1b", "t-1", 2);
  EXPECT_TRUE(IsCompleteResponse(this->Resume(this->third, "t-1c", "t-1b", 4)));
  EXPECT_EQ(this->BodyOfNext("t-1c"),
            "[one]" + Output("t-1", 1, 2) + Output("t-1b", 3, 4) +
              Output("t-1c", 5, kEvents) + "[two]");
}

// Guards against a record with events that the host passed on and the client
// did not get: other ones came in their place, at another host.
TEST_F(ResumedTurnTest, IsKeptWithWhatTheClientHolds)
{
  this->Introduce();
  this->breaksBehind = { { "t-1", 4 }, { "t-1b", 4 } };
  this->Turn(this->host, "t-1", "[one]");
  this->Resume(*this->second, "t-1b", "t-1", 2);
  {
    SCOPED_TRACE("at the first host again, which has older events 3 and 4");
    EXPECT_TRUE(IsCompleteResponse(this->Resume(this->host, "t-1c", "t-1", 4)));
  }
  EXPECT_EQ(this->BodyOfNext("t-1c"),
            "[one]" + Output("t-1", 1, 2) + Output("t-1b", 3, 4) +
              Output("t-1c", 5, kEvents) + "[two]");
}

// Guards against a turn that is kept without its last events, or refused, if
// only the end of its stream was missing.
TEST_F(ResumedTurnTest, IsKeptWholeAfterABreakBehindTheLastEvent)
{
  this->Introduce();
  this->breaksBehind["t-1"] = kEvents;
  this->Turn(this->host, "t-1", "[one]");
  EXPECT_TRUE(
    IsCompleteResponse(this->Resume(*this->second, "t-1b", "t-1", kEvents)));
  EXPECT_EQ(this->BodyOfNext("t-1b"),
            "[one]" + Output("t-1", 1, kEvents) + "[two]");
}

// Guards against refusals of all resumed turns whose host was killed.
TEST_F(ResumedTurnTest, GoesOnWithoutTheHostWhereItBegan)
{
  this->Introduce();
  this->breaksBehind["t-1"] = 2;
  this->Turn(*this->second, "t-1", "[one]");
  this->second.reset();
  EXPECT_TRUE(IsCompleteResponse(this->Resume(this->host, "t-1b", "t-1", 2)));
  EXPECT_EQ(this->BodyOfNext("t-1b"),
            "[one]" + Output("t-1", 1, 2) + Output("t-1b", 3, kEvents) +
              "[two]");
}

// Guards against a guess where the beginning is known to no host.
TEST_F(ResumedTurnTest, IsRefusedWithoutItsBeginning)
{
  this->breaksBehind["t-1"] = 2;
  this->Turn(*this->second, "t-1", "[one]");
  this->second.reset();
  this->Introduce();
  const size_t before = this->engine.requests.size();
  EXPECT_EQ(StatusOf(this->Resume(this->host, "t-1b", "t-1", 2)), 503);
  EXPECT_EQ(this->engine.requests.size(), before) << "it may not be run";
  {
    SCOPED_TRACE("a client that has no event yet begins a whole turn");
    EXPECT_TRUE(IsCompleteResponse(this->Resume(this->host, "t-1c", "t-1", 0)));
    EXPECT_EQ(this->BodyOfNext("t-1c"),
              "[one]" + Output("t-1c", 1, kEvents) + "[two]");
  }
}

} // namespace
} // namespace tanagerseam
