// The story of hosts that talk in datagrams: reports supersede each other,
// questions survive loss, and a host that starts anew is known as new.
#include <gtest/gtest.h>

#include "fleet/fleet.h"
#include "tests/support/free_port.h"

namespace tanagerseam {
namespace {

using testing_support::FreePort;

class FleetStory : public ::testing::Test
{
protected:
  std::unique_ptr<FleetLink> Open(const std::string& aHost,
                                  uint64_t aStarted,
                                  uint16_t aPort)
  {
    auto link = std::make_unique<FleetLink>(
      this->io, FleetLinkSettings{ aHost, aStarted, "127.0.0.1", aPort });
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
        this->asked.push_back(aRequest);
        aDone({ this->verdict, true });
      };
    handlers.onSettle = [this](const TokenRequest&, int64_t aUsed) {
      this->settled.push_back(aUsed);
    };
    this->home->SetHandlers(std::move(handlers));
  }

  void RunFor(Millis aTime)
  {
    this->io.restart();
    this->io.run_for(aTime);
  }

  void Report(FleetLink& aLink, const std::string& aHost, uint64_t aStarted)
  {
    HostReport report;
    report.host = aHost;
    report.started = aStarted;
    report.endpointCalls[EndpointHash("e")] = 3;
    report.organisations[OrganisationHash("club")] = { 4.5, 100, 7, 80 };
    aLink.SendReport(report);
    this->RunFor(Millis(20));
  }

  restinio::asio_ns::io_context io{ 1 };
  uint16_t onePort = FreePort();
  uint16_t twoPort = FreePort();
  std::unique_ptr<FleetLink> home = Open("one", 1, onePort);
  std::unique_ptr<FleetLink> other = Open("two", 1000, twoPort);
  std::vector<HostReport> reports;
  std::vector<TokenRequest> asked;
  std::vector<int64_t> settled;
  ReserveVerdict verdict = ReserveVerdict::kReserved;
};

TEST_F(FleetStory, ReportsArriveWhole)
{
  this->Report(*this->other, "two", 1000);
  ASSERT_EQ(this->reports.size(), 1u);
  EXPECT_EQ(this->reports[0].host, "two");
  EXPECT_EQ(this->reports[0].endpointCalls.at(EndpointHash("e")), 3);
  EXPECT_EQ(
    this->reports[0].organisations.at(OrganisationHash("club")).admittedCalls,
    100u);
  EXPECT_EQ(
    this->reports[0].organisations.at(OrganisationHash("club")).reservedCalls,
    80);
}

TEST_F(FleetStory, AHostThatStartsAnewIsHeardThoughItsClockWasSetBack)
{
  this->Report(*this->other, "two", 1000);
  this->other.reset();
  this->other = this->Open("two", 400, this->twoPort);
  this->Report(*this->other, "two", 400);
  EXPECT_EQ(this->reports.size(), 1u) << "it may be a late one of before";
  this->RunFor(Millis(800));
  this->Report(*this->other, "two", 400);
  EXPECT_EQ(this->reports.size(), 2u);
}

TEST_F(FleetStory, AReservationIsMadeOnceAndSettledOnce)
{
  std::optional<ReserveAnswer> answer;
  const uint64_t number = this->other->Reserve(
    "one",
    { "club/p", "club", false, 1000, 100 },
    Millis(100),
    [&answer](const ReserveAnswer& aAnswer) { answer = aAnswer; });
  this->RunFor(Millis(50));
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->verdict, ReserveVerdict::kReserved);
  EXPECT_TRUE(answer->begins);
  EXPECT_EQ(this->asked.size(), 1u);
  this->other->Settle("one", number, 60);
  this->other->Settle("one", number, 60);
  this->RunFor(Millis(50));
  EXPECT_EQ(this->settled, std::vector<int64_t>{ 60 });
  {
    SCOPED_TRACE("a settlement of what was never asked changes nothing");
    this->other->Settle("one", number + 500, 60);
    this->RunFor(Millis(50));
    EXPECT_EQ(this->settled.size(), 1u);
  }
}

TEST_F(FleetStory, AHomeThatIsSilentIsToldSo)
{
  this->home.reset();
  std::optional<ReserveAnswer> answer;
  this->other->Reserve(
    "one",
    { "club/p", "club", false, 1000, 100 },
    Millis(60),
    [&answer](const ReserveAnswer& aAnswer) { answer = aAnswer; });
  this->RunFor(Millis(150));
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->verdict, ReserveVerdict::kNoAnswer);
}

TEST_F(FleetStory, WhatAHostHadReservedIsUsedUpWhenItStartsAnew)
{
  this->other->Reserve(
    "one", { "club/p", "club", false, 1000, 100 }, Millis(100), [](auto) {});
  this->RunFor(Millis(50));
  this->other.reset();
  this->other = this->Open("two", 2000, this->twoPort);
  this->other->Reserve(
    "one", { "club/q", "club", false, 1000, 50 }, Millis(100), [](auto) {});
  this->RunFor(Millis(50));
  EXPECT_EQ(this->settled, std::vector<int64_t>{ 100 });
}

} // namespace
} // namespace tanagerseam
