// Responses whose status line names no status.
#include <algorithm>

#include "gateway/testing/gateway_fixture.h"

namespace tanagerseam {
namespace {

using namespace testing_support;

enum class Body
{
  kNone,
  kLength,
  kChunks,
  kEvents,
  kClose,
};

struct BodyName
{
  Body body;
  const char* name;
};

constexpr BodyName kBodies[] = {
  { Body::kNone, "no body" },
  { Body::kLength, "a length" },
  { Body::kChunks, "chunks" },
  { Body::kEvents, "an event stream" },
  { Body::kClose, "ends by its close" },
};

constexpr char kBodyText[] = "stray body";
constexpr char kContinue[] = "HTTP/1.1 100 Continue\r\n\r\n";

std::string
MakeResponseWith(const std::string& aStatus,
                 Body aBody,
                 const std::string& aRequest)
{
  const std::string head = "HTTP/1.1 " + aStatus +
                           " X\r\nX-Request-Id: " + IdOf(aRequest) +
                           "\r\nX-Server-Seal: seal\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
  switch (aBody) {
    case Body::kNone:
      return head + "Content-Length: 0\r\n\r\n";
    case Body::kLength:
      return head + "Content-Length: " +
             std::to_string(std::string(kBodyText).size()) + "\r\n\r\n" +
             kBodyText;
    case Body::kChunks:
      return head + chunked + Chunk(kBodyText) + "0\r\n\r\n";
    case Body::kEvents:
      return head + "Content-Type: text/event-stream\r\n" + chunked +
             Chunk("id: 1\ndata: " + std::string(kBodyText) + "\n\n") +
             "0\r\n\r\n";
    case Body::kClose:
      break;
  }
  return head + "\r\n" + kBodyText;
}

// Guards against a status of 000, or another that is none, that a client gets
// as a response, or as a promise that its call was not run.
class StatusLineTest : public GatewayTest
{
protected:
  void SetUp() override
  {
    this->host.ApplyCatalog();
    this->host.AddEndpoint("t-1", "tools", this->endpoint.Address());
    this->host.AddEndpoint("e-1", "engines", this->endpoint.Address());
  }

  // The response of the endpoint, for each kind of call.
  void ExpectFailures(GatewayHost& aHost)
  {
    const std::string id = "r-" + std::to_string(this->nextId++);
    const std::string requests[] = {
      this->Request("GET", "/look/1", "look-" + id),
      this->Request("POST", "/charge/1", "charge-" + id, "x"),
      this->TurnRequest("ask-" + id, "", "x"),
    };
    for (const std::string& request : requests) {
      const size_t before = this->endpoint.requests.size();
      const std::string received = this->SendAndReceive(aHost, request);
      SCOPED_TRACE(IdOf(request) + "\nthe client got\n" + received);
      const std::string line = received.substr(0, received.find("\r\n"));
      EXPECT_TRUE(line.rfind("HTTP/1.1 502 ", 0) == 0 ||
                  line.rfind("HTTP/1.1 504 ", 0) == 0);
      EXPECT_EQ(received.find("X-Server-Seal"), std::string::npos);
      EXPECT_EQ(received.find(kBodyText), std::string::npos);
      EXPECT_EQ(this->endpoint.requests.size(), before + 1);
    }
  }

  void ExpectFailuresOfAll(GatewayHost& aHost)
  {
    for (const char* each : { "000",
                              "001",
                              "099",
                              "100",
                              "101",
                              "199",
                              "0",
                              "00",
                              "0000",
                              "2000",
                              "-01",
                              "2 0",
                              "2x0",
                              "" }) {
      this->status = each;
      for (const BodyName& row : kBodies) {
        SCOPED_TRACE("status '" + this->status + "', " + row.name);
        this->body = row.body;
        this->ExpectFailures(aHost);
      }
    }
  }

  std::string status;
  Body body = Body::kNone;
  // Comes before the response.
  std::string interim;
  int nextId = 0;
  RawEndpoint endpoint{ io, [this](const std::string& aRequest) {
                         PresetResponse response;
                         response.bytes =
                           this->interim +
                           MakeResponseWith(this->status, this->body, aRequest);
                         response.close = true;
                         return response;
                       } };
};

TEST_F(StatusLineTest, WithoutAStatusIsNoResponse)
{
  this->ExpectFailuresOfAll(this->host);
  {
    SCOPED_TRACE("behind an interim response");
    this->interim = kContinue;
    this->ExpectFailuresOfAll(this->host);
  }
}

// A response without a status, and behind it a whole one: the first says that
// the endpoint is in trouble, and nothing tells whose the second is.
TEST_F(StatusLineTest, AWholeResponseBehindOneWithoutAStatusIsNotPassedOn)
{
  this->interim = "HTTP/1.1 000 X\r\n\r\n";
  this->status = "200";
  for (const BodyName& row : kBodies) {
    SCOPED_TRACE(row.name);
    this->body = row.body;
    this->ExpectFailures(this->host);
  }
}

// An endpoint that gave no status may have run the call, so only one that may
// be repeated goes on at another endpoint.
TEST_F(StatusLineTest, OnlyACallThatMayBeRepeatedIsSentAgain)
{
  RawEndpoint sound(this->io, [](const std::string& aRequest) {
    return PresetResponse{ MakeResponse(aRequest, "done") };
  });
  this->status = "000";
  this->body = Body::kLength;
  this->host.AddEndpoint("t-2", "tools", sound.Address());
  int charged = 0;
  for (int i = 0; i < 20; ++i) {
    const std::string id = std::to_string(i);
    EXPECT_EQ(StatusOf(this->SendAndReceive(
                this->host, this->Request("GET", "/look/1", "look-" + id))),
              200);
    const int status = StatusOf(this->SendAndReceive(
      this->host, this->Request("POST", "/charge/1", "charge-" + id, "x")));
    EXPECT_TRUE(status == 200 || status == 502) << status;
    charged += status == 200 ? 1 : 0;
  }
  const auto chargesAt = [](const RawEndpoint& aEndpoint) {
    return std::count_if(aEndpoint.requests.begin(),
                         aEndpoint.requests.end(),
                         [](const std::string& aRequest) {
                           return aRequest.rfind("POST /charge/", 0) == 0;
                         });
  };
  EXPECT_EQ(chargesAt(sound), charged);
  EXPECT_EQ(chargesAt(this->endpoint), 20 - charged);
}

// The endpoint's status is returned unchanged (the pages); the standard leaves
// these to the client, which treats them as failures.
TEST_F(StatusLineTest, HighStatusesArePassedOnUnchanged)
{
  for (const int high : { 600, 999 }) {
    this->status = std::to_string(high);
    this->body = Body::kLength;
    const std::string received =
      this->SendAndReceive(this->host, this->Request("GET", "/look/1", "r-1"));
    EXPECT_EQ(StatusOf(received), high);
    EXPECT_NE(received.find("X-Server-Seal"), std::string::npos);
    EXPECT_EQ(BodyOf(received), kBodyText);
  }
}

// The same from a peer to which the host forwards.
class StatusLineOfPeerTest : public StatusLineTest
{
protected:
  void SetUp() override
  {
    // The host knows no configuration of its own.
    this->peer.ApplyCatalog();
    for (GatewayHost* each : { &this->host, &this->peer }) {
      each->gateway.PutMember(this->host.Member("host-1"), false);
      each->gateway.PutMember(this->peer.Member("host-2"), false);
    }
    this->peer.AddEndpoint("t-1", "tools", this->endpoint.Address());
    this->peer.AddEndpoint("e-1", "engines", this->endpoint.Address());
    this->ExchangeReports();
  }

  static GatewayHostOptions CalledAt(const std::string& aAddress)
  {
    GatewayHostOptions options;
    options.callAddress = aAddress;
    return options;
  }

  // Its server is the endpoint, so it passes on what that says.
  GatewayHost peer{ io,
                    log,
                    "host-2",
                    GatewaySettings{}.maxResponseBytes,
                    CalledAt(endpoint.Address()) };
};

TEST_F(StatusLineOfPeerTest, WithoutAStatusIsNoResponse)
{
  for (const char* each : { "000", "099", "199", "0000", "-01" }) {
    this->status = each;
    for (const BodyName& row : kBodies) {
      SCOPED_TRACE("status '" + this->status + "', " + row.name);
      this->body = row.body;
      // The peer stays ready only with a catalog that was read lately.
      this->peer.gateway.ConfirmCatalog(BootNow());
      this->peer.gateway.ConfirmEndpoints(BootNow());
      this->ExpectFailures(this->host);
    }
  }
}

} // namespace
} // namespace tanagerseam
