// Tests of the messages between hosts: reports supersede each other, requests
// survive packet loss, and a restarted host is recognised.
#include <gtest/gtest.h>

#include "fleet/fleet.h"
#include "tests/support/free_port.h"

namespace tanagerseam {
namespace {

using testing_support::FreePort;

class FleetLinkTest : public ::testing::Test
{
protected:
  std::unique_ptr<FleetLink> Open(const std::string& aHost,
                                  uint64_t aStartTime,
                                  uint16_t aPort)
  {
    auto link = std::make_unique<FleetLink>(
      this->io, FleetLinkSettings{ aHost, aStartTime, "127.0.0.1", aPort });
    link->SetPeers({ { "one", "127.0.0.1", this->onePort },
                     { "two", "127.0.0.1", this->twoPort } });
    return link;
  }

  void SetUp() override
  {
    FleetHandlers handlers;
    handlers.onReport = [this](const HostReport& aReport) {
      this->reports.push_back(aReport);
    };
    handlers.onReserve =
      [this](const TokenRequest& aRequest, Millis, auto aDone) {
        this->requests.push_back(aRequest);
        aDone({ this->status, true, true });
      };
    handlers.onSettle = [this](const TokenRequest&, int64_t aUsed) {
      this->settledTokens.push_back(aUsed);
    };
    handlers.onStreamBegan = [this](uint64_t aStream,
                                    const StreamOrigin& aOrigin) {
      this->streams.Put(aStream, aOrigin, BootNow());
    };
    handlers.onFindStream = [this](uint64_t aStream) {
      return this->streams.Find(aStream, BootNow());
    };
    handlers.onStreamEvent = [this](uint64_t aStream, PlacedEvent aEvent) {
      this->streamEvents.Put(aStream, std::move(aEvent), BootNow());
    };
    handlers.onFindStreamEvents = [this](uint64_t aStream,
                                         uint64_t aLastEvent) {
      return this->streamEvents.Find(aStream, aLastEvent, BootNow());
    };
    this->one->SetHandlers(std::move(handlers));
  }

  // What "one" answers about the stream.
  StreamAnswer FindStreamAtOne(uint64_t aStream)
  {
    std::optional<StreamAnswer> answer;
    this->two->FindStream(
      "one", aStream, Millis(60), [&answer](const StreamAnswer& aAnswer) {
        answer = aAnswer;
      });
    this->RunFor(Millis(100));
    EXPECT_TRUE(answer);
    return answer.value_or(StreamAnswer{});
  }

  void RunFor(Millis aTime)
  {
    this->io.restart();
    this->io.run_for(aTime);
  }

  void SendReport(FleetLink& aLink,
                  const std::string& aHost,
                  uint64_t aStartTime)
  {
    HostReport report;
    report.host = aHost;
    report.startTime = aStartTime;
    report.endpointLoads[EndpointHash("e")] = 3;
    report.work[EndpointHash("e")] = 250;
    report.quotaReports[OrganisationHash("club")] = { 4.5, 100, 7, 80 };
    report.organisationWork = { { OrganisationHash("club"), 1200 } };
    report.leavingEndpoints = { { "e-9", 1700000000000, 1700000060000 } };
    report.rateLimits = {
      { "e-7", 1700000000000, 5.25, 1700000060000 },
      { "e-8", 1700000000000, std::nullopt, 1700000060000 },
    };
    report.quarantine.broken = {
      { "0123", "e-6@1700000000000", 1700000050000, 1700000050100 }
    };
    report.quarantine.cleared = { { "4567", 1700000050000 } };
    report.quarantine.down = { { "e-6@1700000000000", 1700000050200 } };
    report.lostServices = { "engines" };
    aLink.SendReport(report);
    this->RunFor(Millis(20));
  }

  restinio::asio_ns::io_context io{ 1 };
  uint16_t onePort = FreePort();
  uint16_t twoPort = FreePort();
  std::unique_ptr<FleetLink> one = Open("one", 1, onePort);
  std::unique_ptr<FleetLink> two = Open("two", 1000, twoPort);
  std::vector<HostReport> reports;
  StreamOrigins streams;
  StreamEvents streamEvents;
  std::vector<TokenRequest> requests;
  std::vector<int64_t> settledTokens;
  ReserveStatus status = ReserveStatus::kReserved;
};

TEST_F(FleetLinkTest, DeliversAllFieldsOfReport)
{
  this->SendReport(*this->two, "two", 1000);
  ASSERT_EQ(this->reports.size(), 1u);
  EXPECT_EQ(this->reports[0].host, "two");
  EXPECT_EQ(this->reports[0].endpointLoads.at(EndpointHash("e")), 3);
  EXPECT_EQ(this->reports[0].work.at(EndpointHash("e")), 250u);
  EXPECT_EQ(
    this->reports[0].quotaReports.at(OrganisationHash("club")).admittedCalls,
    100u);
  EXPECT_EQ(
    this->reports[0].quotaReports.at(OrganisationHash("club")).reservedCalls,
    80);
  ASSERT_EQ(this->reports[0].organisationWork.size(), 1u);
  EXPECT_EQ(this->reports[0].organisationWork[0].organisation,
            OrganisationHash("club"));
  EXPECT_EQ(this->reports[0].organisationWork[0].workMillis, 1200u);
  ASSERT_EQ(this->reports[0].leavingEndpoints.size(), 1u);
  EXPECT_EQ(this->reports[0].leavingEndpoints[0].id, "e-9");
  EXPECT_EQ(this->reports[0].leavingEndpoints[0].startedAtMillis,
            1700000000000);
  EXPECT_EQ(this->reports[0].leavingEndpoints[0].announcedAtMillis,
            1700000060000);
  ASSERT_EQ(this->reports[0].rateLimits.size(), 2u);
  EXPECT_EQ(this->reports[0].rateLimits[0].id, "e-7");
  EXPECT_EQ(this->reports[0].rateLimits[0].startedAtMillis, 1700000000000);
  EXPECT_EQ(this->reports[0].rateLimits[0].callsPerSecond, 5.25);
  EXPECT_EQ(this->reports[0].rateLimits[0].announcedAtMillis, 1700000060000);
  EXPECT_EQ(this->reports[0].rateLimits[1].callsPerSecond, std::nullopt);
  const QuarantineReport& quarantine = this->reports[0].quarantine;
  ASSERT_EQ(quarantine.broken.size(), 1u);
  EXPECT_EQ(quarantine.broken[0].call, "0123");
  EXPECT_EQ(quarantine.broken[0].endpoint, "e-6@1700000000000");
  EXPECT_EQ(quarantine.broken[0].sentAtMillis, 1700000050000);
  EXPECT_EQ(quarantine.broken[0].brokenAtMillis, 1700000050100);
  ASSERT_EQ(quarantine.cleared.size(), 1u);
  EXPECT_EQ(quarantine.cleared[0].call, "4567");
  EXPECT_EQ(quarantine.cleared[0].sentAtMillis, 1700000050000);
  ASSERT_EQ(quarantine.down.size(), 1u);
  EXPECT_EQ(quarantine.down[0].endpoint, "e-6@1700000000000");
  EXPECT_EQ(quarantine.down[0].seenAtMillis, 1700000050200);
  EXPECT_EQ(this->reports[0].lostServices,
            std::vector<std::string>{ "engines" });
}

TEST_F(FleetLinkTest, AcceptsRestartWithEarlierClockAfterSilence)
{
  this->SendReport(*this->two, "two", 1000);
  this->two.reset();
  this->two = this->Open("two", 400, this->twoPort);
  this->SendReport(*this->two, "two", 400);
  EXPECT_EQ(this->reports.size(), 1u)
    << "may be a delayed report of an earlier incarnation";
  this->RunFor(Millis(800));
  this->SendReport(*this->two, "two", 400);
  EXPECT_EQ(this->reports.size(), 2u);
}

TEST_F(FleetLinkTest, ReservesAndSettlesOnce)
{
  std::optional<ReserveResponse> response;
  const uint64_t reservation = this->two->Reserve(
    "one",
    { "club/p", "club", false, 1000, 100 },
    Millis(100),
    [&response](const ReserveResponse& aResponse) { response = aResponse; });
  this->RunFor(Millis(50));
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, ReserveStatus::kReserved);
  EXPECT_TRUE(response->beginsProgram);
  EXPECT_TRUE(response->nearlySpent);
  EXPECT_EQ(this->requests.size(), 1u);
  this->two->Settle("one", reservation, 60);
  this->two->Settle("one", reservation, 60);
  this->RunFor(Millis(50));
  EXPECT_EQ(this->settledTokens, std::vector<int64_t>{ 60 });
  {
    SCOPED_TRACE("a settlement of an unknown reservation is ignored");
    this->two->Settle("one", reservation + 500, 60);
    this->RunFor(Millis(50));
    EXPECT_EQ(this->settledTokens.size(), 1u);
  }
}

TEST_F(FleetLinkTest, TellsAndFindsWhereAStreamBegan)
{
  const uint64_t stream = StreamKey("club", "r-1");
  {
    SCOPED_TRACE("the host does not know it yet");
    const StreamAnswer answer = this->FindStreamAtOne(stream);
    EXPECT_TRUE(answer.answered);
    EXPECT_FALSE(answer.origin);
  }
  this->two->TellStreamBegan("one", stream, { "engines", "v1.2" });
  this->RunFor(Millis(20));
  {
    SCOPED_TRACE("it was told");
    const StreamAnswer answer = this->FindStreamAtOne(stream);
    ASSERT_TRUE(answer.origin);
    EXPECT_EQ(answer.origin->service, "engines");
    EXPECT_EQ(answer.origin->version, "v1.2");
  }
  {
    SCOPED_TRACE("it is gone");
    this->one.reset();
    EXPECT_FALSE(this->FindStreamAtOne(stream).answered);
  }
}

// Guards against a turn that loses an event between hosts.
TEST_F(FleetLinkTest, CarriesTheEventsOfAStream)
{
  const uint64_t stream = StreamKey("club", "r-1");
  const uint64_t attempt = StreamKey("club", "r-2");
  const std::string data("\0\r\n\xff", 4);
  const PlacedEvent event{ attempt, 4, 1, { 6, data } };
  EXPECT_TRUE(this->two->TellStreamEvent({ "one" }, stream, event));
  this->RunFor(Millis(20));
  const auto find = [this, stream](uint64_t aLastEvent) {
    StreamEventsAnswer answer;
    this->two->FindStreamEvents(
      "one", stream, aLastEvent, Millis(50), [&](StreamEventsAnswer aAnswer) {
        answer = std::move(aAnswer);
      });
    this->RunFor(Millis(60));
    return answer;
  };
  {
    SCOPED_TRACE("as it was told");
    const StreamEventsAnswer answer = find(6);
    EXPECT_TRUE(answer.answered);
    ASSERT_EQ(answer.parts.size(), 1u);
    const StreamPart& part = answer.parts.front();
    EXPECT_EQ(part.attempt, attempt);
    EXPECT_EQ(part.after, 4u);
    ASSERT_EQ(part.events.count(1), 1u);
    EXPECT_EQ(part.events.at(1).id, 6u);
    EXPECT_EQ(part.events.at(1).data, data);
  }
  {
    SCOPED_TRACE("what no datagram holds counts as no answer");
    const std::string large(FleetLink::kMaxRecordBytes, 'x');
    EXPECT_TRUE(this->two->TellStreamEvent(
      { "one" }, stream, { attempt, 4, 2, { 7, large } }));
    EXPECT_FALSE(this->two->TellStreamEvent(
      { "one" }, stream, { attempt, 4, 3, { 8, large + "x" } }));
    this->RunFor(Millis(20));
    EXPECT_TRUE(find(6).answered);
    EXPECT_FALSE(find(7).answered);
  }
  {
    SCOPED_TRACE("the host is gone");
    this->one.reset();
    EXPECT_FALSE(find(6).answered);
  }
}

TEST_F(FleetLinkTest, ReportsNoAnswerFromUnresponsiveHost)
{
  this->one.reset();
  std::optional<ReserveResponse> response;
  this->two->Reserve(
    "one",
    { "club/p", "club", false, 1000, 100 },
    Millis(60),
    [&response](const ReserveResponse& aResponse) { response = aResponse; });
  this->RunFor(Millis(150));
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status, ReserveStatus::kNoAnswer);
}

TEST_F(FleetLinkTest, SettlesOpenReservationsInFullAfterPeerRestart)
{
  this->two->Reserve(
    "one", { "club/p", "club", false, 1000, 100 }, Millis(100), [](auto) {});
  this->RunFor(Millis(50));
  this->two.reset();
  this->two = this->Open("two", 2000, this->twoPort);
  this->two->Reserve(
    "one", { "club/q", "club", false, 1000, 50 }, Millis(100), [](auto) {});
  this->RunFor(Millis(50));
  EXPECT_EQ(this->settledTokens, std::vector<int64_t>{ 100 });
}

} // namespace
} // namespace tanagerseam
