// Gateways as real processes before a stand-in of the users' store: turns that
// outlive all hosts, an absence of the store, withdrawn keys, lost history of
// the store, and shutdown under load.
#include "tests/support/gateway_fleet.h"

namespace tanagerseam {
namespace {

using namespace testing_support;

TEST_F(GatewayFleet, ATurnOutlivesAllHosts)
{
  EXPECT_EQ(this->Turn(0, "t-1", ""), 200);
  EXPECT_EQ(this->Turn(1, "t-2", "t-1"), 200);
  for (size_t i = 0; i < this->hosts.size(); ++i) {
    this->hosts[i]->process->Kill();
    this->hosts[i]->Start();
  }
  ASSERT_TRUE(this->Until([this] { return this->AllReady(); }));
  EXPECT_EQ(this->Turn(0, "t-3", "t-2"), 200);
  const std::string& seen = this->endpoint.requests.back();
  EXPECT_EQ(seen.substr(seen.find("\r\n\r\n") + 4),
            "inputan answer\ninputan answer\ninput");
  EXPECT_EQ(this->Turn(1, "t-4", "t-9"), 404);
}

TEST_F(GatewayFleet, AnAbsenceOfTheStoreIsToldAndEnds)
{
  for (const StoreFault fault : { StoreFault::kUnavailable,
                                  StoreFault::kReset,
                                  StoreFault::kNoResponse }) {
    SCOPED_TRACE(static_cast<int>(fault));
    EXPECT_EQ(this->Turn(0, "t-" + std::to_string(int(fault)), ""), 200);
    this->store.SetFault(fault);
    EXPECT_EQ(this->Look(0), 200) << "tools go on at first";
    EXPECT_TRUE(this->Until([this] { return !this->Ready(0); }));
    this->RunFor(kFreshness);
    EXPECT_EQ(this->Look(0), 503) << "keys may have been withdrawn meanwhile";
    EXPECT_EQ(this->Turn(0, "u-" + std::to_string(int(fault)), "t-9"), 503)
      << "nothing is said not to exist";
    this->store.SetFault(StoreFault::kNone);
    EXPECT_TRUE(this->Until([this] { return this->AllReady(); }));
    EXPECT_EQ(this->Turn(1,
                         "v-" + std::to_string(int(fault)),
                         "t-" + std::to_string(int(fault))),
              200);
  }
}

TEST_F(GatewayFleet, ALostAnswerOfTheStoreLosesNoTurn)
{
  this->store.SetFault(StoreFault::kUnacknowledgedAppends);
  RawClient client(this->io, this->hosts[0]->callPort);
  client.Send("POST /ask/1 HTTP/1.1\r\nHost: reports.example\r\n"
              "X-Request-Id: t-1\r\nX-Deadline-Ms: 1500\r\n"
              "Authorization: Bearer key-1\r\nX-Program-Id: p\r\n"
              "Content-Length: 5\r\n\r\ninput");
  this->RunFor(Millis(300));
  EXPECT_FALSE(IsCompleteResponse(client.Received()));
  this->store.SetFault(StoreFault::kNone);
  EXPECT_TRUE(this->Until(
    [&client] { return IsCompleteResponse(client.Received()); }, Millis(1500)));
  EXPECT_EQ(this->Turn(1, "t-2", "t-1"), 200);
}

TEST_F(GatewayFleet, AWithdrawnKeyStopsWorking)
{
  EXPECT_EQ(this->Look(0), 200);
  this->Configure(2, "key-2");
  EXPECT_TRUE(
    this->Until([this] { return this->Look(0) == 401; }, Millis(1000)));
  {
    SCOPED_TRACE("a record of an older version changes nothing");
    this->Configure(1, "key-1");
    this->RunFor(Millis(300));
    EXPECT_EQ(this->Look(0), 401);
  }
}

TEST_F(GatewayFleet, ForgottenHistoryOfTheStoreHidesNoChange)
{
  this->Configure(2, "key-1");
  this->store.PutKeyed("keyed.servers", "junk", "\xff\xfe{");
  this->Register("t-1", "tools", this->endpoint.Address(), "draining");
  this->store.Compact("keyed.servers");
  this->store.Compact("keyed.op");
  EXPECT_TRUE(
    this->Until([this] { return this->Look(0) == 503; }, Millis(2000)));
  this->Register("t-2", "tools", this->endpoint.Address());
  EXPECT_TRUE(
    this->Until([this] { return this->Look(0) == 200; }, Millis(2000)));
}

// Guards against an odd entry of another writer that ends the hosts that read
// it, at each start again, or hides the entries behind it.
TEST_F(GatewayFleet, OddEntriesOfOthersEndNoHostAndHideNoEndpoint)
{
  const std::string nested(130000, '[');
  const std::string sound =
    EndpointJson("tools", this->endpoint.Address(), "ready");
  const auto withAddress = [](const std::string& aAddress) {
    return EndpointJson("tools", aAddress, "ready");
  };
  std::string largeNumber = sound;
  largeNumber.insert(largeNumber.size() - 1, ",\"born\":1e999");
  this->Register("t-1", "tools", this->endpoint.Address(), "draining");
  for (const char* topic : { "keyed.servers", "keyed.members" }) {
    this->store.PutKeyed(topic, "odd-1", nested);
    this->store.PutKeyed(
      topic, "odd-2", nested + std::string(nested.size(), ']'));
    this->store.PutKeyed(topic, "odd-3", largeNumber);
    this->store.PutKeyed(topic, "odd-4", withAddress("127.0.0.1:99999"));
    this->store.PutKeyed(topic, "odd-5", withAddress("no address"));
    this->store.PutKeyed(topic, "odd\r\nX-Tenant: 6", withAddress("1.2.3.4:0"));
  }
  this->Register("t-2", "tools", this->endpoint.Address());
  // The hosts read the registry about once a second.
  this->RunFor(Millis(2000));
  for (const char* when : { "while they run", "after a restart" }) {
    SCOPED_TRACE(when);
    for (int i = 0; i < 20; ++i) {
      EXPECT_EQ(this->Look(static_cast<size_t>(i) % 2), 200);
    }
    for (auto& host : this->hosts) {
      EXPECT_TRUE(host->process->Running());
      host->process->Kill();
      host->Start();
    }
    ASSERT_TRUE(this->Until([this] { return this->AllReady(); }));
  }
}

TEST_F(GatewayFleet, AGracefulShutdownCutsNoCall)
{
  RawClient client(this->io, this->hosts[0]->callPort);
  client.Send("GET /look/slow HTTP/1.1\r\nHost: reports.example\r\n"
              "X-Request-Id: r\r\nX-Deadline-Ms: 1500\r\n"
              "Authorization: Bearer key-1\r\n\r\n");
  this->Until([this] { return !this->endpoint.requests.empty(); });
  this->hosts[0]->process->Terminate();
  EXPECT_TRUE(this->Until([this] { return !this->Ready(0); }, Millis(1000)));
  EXPECT_EQ(this->Look(0), 200) << "clients that still come are served";
  EXPECT_TRUE(
    this->Until([&client] { return IsCompleteResponse(client.Received()); }));
  EXPECT_NE(client.Received().find("Connection: close"), std::string::npos);
  std::optional<int> exited;
  this->Until([this, &exited] {
    exited = this->hosts[0]->process->Wait(Millis(0));
    return exited.has_value();
  });
  EXPECT_EQ(exited, 0);
}

} // namespace
} // namespace tanagerseam
