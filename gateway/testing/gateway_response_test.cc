// A client gets the whole response to its own request, from endpoints whose
// responses are wrong, late, duplicated, cut or missing.
#include <algorithm>

#include "endpoint/sse_parser.h"
#include "gateway/testing/gateway_fixture.h"

namespace tanagerseam {
namespace {

using namespace testing_support;

TEST_F(GatewayTest, DropsResponseToAnotherCall)
{
  RawEndpoint tool(this->io, [](const std::string& aRequest) {
    std::string mismatched = MakeResponse(aRequest, "not yours");
    const size_t at = mismatched.find("r-1");
    mismatched.replace(at, 3, "r-9");
    return PresetResponse{ mismatched };
  });
  this->host.ApplyCatalog();
  this->host.AddEndpoint("t-1", "tools", tool.Address());
  const std::string response = this->SendAndReceive(
    this->host, this->Request("POST", "/charge/1", "r-1", "x"));
  EXPECT_EQ(StatusOf(response), 502);
  EXPECT_EQ(response.find("not yours"), std::string::npos);
}

// Guards against a second response that names no request and comes once the
// next request on its connection has been sent: that request's client got it.
TEST_F(GatewayTest, DropsSecondResponseWithoutId)
{
  RawEndpoint tool(this->io, [&tool](const std::string& aRequest) {
    const std::string stray =
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray";
    return PresetResponse{ (tool.requests.size() == 2 ? stray : "") +
                           MakeResponse(aRequest, "done") };
  });
  this->host.ApplyCatalog();
  this->host.AddEndpoint("t-1", "tools", tool.Address());
  for (const char* id : { "r-1", "r-2", "r-3" }) {
    const std::string response =
      this->SendAndReceive(this->host, this->Request("GET", "/look/1", id));
    EXPECT_NE(BodyOf(response), "stray") << id;
    EXPECT_EQ(StatusOf(response), std::string(id) == "r-2" ? 502 : 200) << id;
  }
}

// Guards against a late second response that takes the place of the response to
// a call that may not be repeated: its outcome was unknown to its client.
TEST_F(GatewayTest, CallsThatMayNotBeRepeatedMeetNoEarlierResponse)
{
  std::string previous;
  RawEndpoint endpoint(this->io, [&](const std::string& aRequest) {
    const std::string response = MakeResponse(aRequest, "done");
    const bool keptConnection = endpoint.acceptedConnections == 1;
    const std::string late = keptConnection ? previous : "";
    previous = response;
    return PresetResponse{ late + response };
  });
  this->host.ApplyCatalog();
  this->host.AddEndpoint("t-1", "tools", endpoint.Address());
  EXPECT_EQ(StatusOf(this->SendAndReceive(
              this->host, this->Request("GET", "/look/1", "r-1"))),
            200);
  EXPECT_EQ(StatusOf(this->SendAndReceive(
              this->host, this->Request("POST", "/charge/1", "r-2"))),
            200);
}

TEST_F(GatewayTest, DropsDuplicateResponse)
{
  RawEndpoint tool(this->io, [](const std::string& aRequest) {
    return PresetResponse{ MakeResponse(aRequest, "a") +
                           MakeResponse(aRequest, "a") };
  });
  this->host.ApplyCatalog();
  this->host.AddEndpoint("t-1", "tools", tool.Address());
  for (const char* id : { "r-1", "r-2", "r-3" }) {
    const std::string response =
      this->SendAndReceive(this->host, this->Request("GET", "/look/1", id));
    const bool own =
      response.find(std::string("X-Request-Id: ") + id) != std::string::npos;
    EXPECT_TRUE(own) << response;
  }
}

// Guards against a response whose head is cut by an orderly close: the client
// got a response with status 0.
TEST_F(GatewayTest, DoesNotPassOnAResponseWithACutHead)
{
  RawEndpoint tool(this->io, [](const std::string& aRequest) {
    PresetResponse response;
    response.bytes = MakeResponse(aRequest, "done").substr(0, 30);
    response.close = true;
    return response;
  });
  this->host.ApplyCatalog();
  this->host.AddEndpoint("t-1", "tools", tool.Address());
  {
    SCOPED_TRACE("a call that may not be repeated has an unknown outcome");
    const std::string response = this->SendAndReceive(
      this->host, this->Request("POST", "/charge/1", "r-1", "x"));
    EXPECT_EQ(StatusOf(response), 502);
    EXPECT_EQ(tool.requests.size(), 1u);
  }
  {
    SCOPED_TRACE("an idempotent call goes on to another endpoint");
    RawEndpoint sound(this->io, [](const std::string& aRequest) {
      return PresetResponse{ MakeResponse(aRequest, "done") };
    });
    this->host.AddEndpoint("t-2", "tools", sound.Address());
    for (int i = 0; i < 6; ++i) {
      const std::string response = this->SendAndReceive(
        this->host, this->Request("GET", "/look/1", "r-2" + std::to_string(i)));
      EXPECT_EQ(StatusOf(response), 200);
    }
  }
}

TEST_F(GatewayTest, ReportsTruncatedResponseAsFailure)
{
  for (const bool reset : { false, true }) {
    RawEndpoint tool(this->io, [reset](const std::string& aRequest) {
      PresetResponse response;
      response.bytes = MakeResponse(aRequest, "0123456789");
      response.bytes.resize(response.bytes.size() - 4);
      response.close = true;
      response.reset = reset;
      return response;
    });
    this->host.ApplyCatalog();
    this->host.AddEndpoint("t-1", "tools", tool.Address());
    EXPECT_EQ(StatusOf(this->SendAndReceive(
                this->host, this->Request("POST", "/charge/1", "r-1", "x"))),
              502);
    EXPECT_EQ(tool.requests.size(), 1u);
  }
}

TEST_F(GatewayTurnTest, DoesNotCompleteTruncatedStream)
{
  RawEndpoint truncating(this->io, [](const std::string& aRequest) {
    PresetResponse response;
    response.bytes = MakeStreamHead(aRequest) + Chunk("id: 1\ndata: one\n\n");
    response.close = true;
    return response;
  });
  this->host.AddEndpoint("e-1", "engines", truncating.Address());
  const std::string response = this->SendAndReceive(
    this->host, this->TurnRequest("t-1", "", "first input"));
  EXPECT_EQ(StatusOf(response), 200);
  EXPECT_NE(response.find("data: one"), std::string::npos);
  EXPECT_FALSE(IsCompleteResponse(response));
}

// Guards against an event stream that says that the call was not executed: its
// head had gone to the client when the call was refused or retried, and the
// second head ended the process.
class StreamOfACallThatWasNotExecuted : public GatewayTest
{
protected:
  static PresetResponse Respond(const std::string& aRequest)
  {
    std::string head = MakeStreamHead(aRequest);
    head.insert(head.size() - 2, "X-Not-Executed: 1\r\n");
    return { head + Chunk("id: 1\ndata: one\n\n") + "0\r\n\r\n" };
  }
};

TEST_F(StreamOfACallThatWasNotExecuted, IsARefusal)
{
  RawEndpoint engine(this->io, Respond);
  this->host.ApplyCatalog();
  this->host.AddEndpoint("e-1", "engines", engine.Address());
  const std::string response =
    this->SendAndReceive(this->host, this->TurnRequest("t-1", "", "x"));
  EXPECT_EQ(StatusOf(response), 503) << response;
}

TEST_F(StreamOfACallThatWasNotExecuted, IsNoObstacleToARetry)
{
  RawEndpoint one(this->io, Respond);
  RawEndpoint two(this->io, Respond);
  this->host.ApplyCatalog();
  this->host.AddEndpoint("t-1", "tools", one.Address());
  this->host.AddEndpoint("t-2", "tools", two.Address());
  const std::string response =
    this->SendAndReceive(this->host, this->Request("GET", "/look/1", "r-1"));
  EXPECT_EQ(StatusOf(response), 503) << response;
  EXPECT_EQ(one.requests.size() + two.requests.size(), 2u);
}

// Guards against a stream without a length that ends within an event: the
// client took it for whole, and the turn was kept.
TEST_F(GatewayTurnTest, DoesNotCompleteAStreamThatEndsWithinAnEvent)
{
  std::string events = "id: 1\ndata: one\n\nid: 2\nda";
  RawEndpoint engine(this->io, [&](const std::string& aRequest) {
    PresetResponse response;
    response.bytes = MakeStreamHeadWithoutLength(aRequest) + events;
    response.close = true;
    return response;
  });
  this->host.AddEndpoint("e-1", "engines", engine.Address());
  EXPECT_FALSE(IsCompleteResponse(
    this->SendAndReceive(this->host, this->TurnRequest("t-1", "", "x"))));
  EXPECT_EQ(StatusOf(this->SendAndReceive(
              this->host, this->TurnRequest("t-2", "t-1", "y"))),
            404);
  {
    SCOPED_TRACE("one that ends with an event is whole");
    events += "ta: two\n\n";
    EXPECT_TRUE(IsCompleteResponse(
      this->SendAndReceive(this->host, this->TurnRequest("t-3", "", "x"))));
  }
}

// Guards against a stream without a length that ends before its first event:
// the client took it for whole, and the turn was kept.
TEST_F(GatewayTurnTest, DoesNotCompleteAStreamThatEndsBeforeItsFirstEvent)
{
  std::string comment;
  std::string end = "close";
  RawEndpoint engine(this->io, [&](const std::string& aRequest) {
    PresetResponse response;
    const bool inChunks = end == "last chunk";
    response.bytes = (inChunks ? MakeStreamHead(aRequest)
                               : MakeStreamHeadWithoutLength(aRequest)) +
                     (inChunks ? "0\r\n\r\n" : comment);
    response.close = true;
    response.reset = end == "reset";
    return response;
  });
  this->host.AddEndpoint("e-1", "engines", engine.Address());
  for (const char* sent : { "", ": comment\n\n" }) {
    for (const char* how : { "close", "reset" }) {
      SCOPED_TRACE(std::string(sent) + how);
      comment = sent;
      end = how;
      EXPECT_FALSE(IsCompleteResponse(
        this->SendAndReceive(this->host, this->TurnRequest("t-1", "", "x"))));
      EXPECT_EQ(StatusOf(this->SendAndReceive(
                  this->host, this->TurnRequest("t-2", "t-1", "y"))),
                404);
    }
  }
  {
    SCOPED_TRACE("one whose last chunk came is whole");
    end = "last chunk";
    EXPECT_TRUE(IsCompleteResponse(
      this->SendAndReceive(this->host, this->TurnRequest("t-3", "", "x"))));
  }
}

// Guards against a stream without a length that is cut at any byte.
TEST_F(GatewayTurnTest, CompletesAStreamWithoutALengthOnlyBehindAnEvent)
{
  const std::string events = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";
  const size_t firstEnd = events.find("\n\n") + 2;
  size_t length = 0;
  RawEndpoint engine(this->io, [&](const std::string& aRequest) {
    PresetResponse response;
    response.bytes =
      MakeStreamHeadWithoutLength(aRequest) + events.substr(0, length);
    response.close = true;
    return response;
  });
  this->host.AddEndpoint("e-1", "engines", engine.Address());
  for (length = 0; length <= events.size(); ++length) {
    const bool betweenEvents = length == firstEnd || length == events.size();
    const std::string id = "t-" + std::to_string(length);
    EXPECT_EQ(IsCompleteResponse(this->SendAndReceive(
                this->host, this->TurnRequest(id, "", "x"))),
              betweenEvents)
      << length;
  }
}

// Guards against a stream without a length whose endpoint crashed behind an
// event: the client took it for whole, and the turn was kept.
TEST_F(GatewayTurnTest, DoesNotCompleteAStreamWhoseEndpointCrashed)
{
  const auto oneEvent = [](const std::string& aRequest) {
    PresetResponse response;
    response.bytes =
      MakeStreamHeadWithoutLength(aRequest) + "id: 1\ndata: one\n\n";
    response.close = true;
    return response;
  };
  const auto oneEventAndCrash = [&oneEvent](const std::string& aRequest) {
    PresetResponse response = oneEvent(aRequest);
    response.crash = true;
    return response;
  };
  {
    SCOPED_TRACE("it still listens");
    RawEndpoint engine(this->io, oneEvent);
    this->host.AddEndpoint("e-1", "engines", engine.Address());
    EXPECT_TRUE(IsCompleteResponse(
      this->SendAndReceive(this->host, this->TurnRequest("t-1", "", "x"))));
  }
  {
    SCOPED_TRACE("it crashed");
    RawEndpoint engine(this->io, oneEventAndCrash);
    this->host.AddEndpoint("e-1", "engines", engine.Address());
    const std::string received =
      this->SendAndReceive(this->host, this->TurnRequest("t-2", "", "x"));
    EXPECT_FALSE(IsCompleteResponse(received));
    EXPECT_NE(received.find("data: one"), std::string::npos);
    EXPECT_EQ(StatusOf(this->SendAndReceive(
                this->host, this->TurnRequest("t-3", "t-2", "y"))),
              404);
  }
  {
    SCOPED_TRACE("it was leaving, and ended with its last response");
    RawEndpoint engine(this->io, [&oneEvent](const std::string& aRequest) {
      PresetResponse response = oneEvent(aRequest);
      response.delayedBytes = response.bytes;
      response.bytes.clear();
      response.delay = Millis(50);
      return response;
    });
    EndpointEntry entry;
    entry.id = "e-1";
    entry.service = "engines";
    entry.address = engine.Address();
    entry.slots = 4;
    this->host.gateway.PutEndpoint(entry);
    RawClient client(this->io, this->host.port);
    client.Send(this->TurnRequest("t-4", "", "x"));
    EXPECT_TRUE(this->RunUntil([&engine] { return !engine.requests.empty(); }));
    entry.draining = true;
    this->host.gateway.PutEndpoint(entry);
    engine.StopListening();
    EXPECT_TRUE(this->RunUntil(
      [&client] { return IsCompleteResponse(client.Received()); }));
  }
}

// Guards against a client that gets an event twice: the endpoint repeats its
// stream, or writes the response once more behind one without a length.
TEST_F(GatewayTurnTest, BreaksOffAStreamWhoseEventIdsDoNotIncrease)
{
  const std::string two = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";
  std::string again;
  RawEndpoint engine(this->io, [&](const std::string& aRequest) {
    const std::string head = MakeStreamHeadWithoutLength(aRequest);
    PresetResponse response;
    response.bytes = head + two;
    response.delay = Millis(20);
    response.delayedBytes = again == "response" ? head + two : again;
    response.close = true;
    return response;
  });
  this->host.AddEndpoint("e-1", "engines", engine.Address());
  for (const char* bytes :
       { "id: 2\ndata: two\n\n", "id: 1\ndata: one\n\n", "response" }) {
    SCOPED_TRACE(bytes);
    again = bytes;
    const std::string received =
      this->SendAndReceive(this->host, this->TurnRequest("t-1", "", "x"));
    EXPECT_FALSE(IsCompleteResponse(received));
    EXPECT_NE(received.find(two), std::string::npos);
    EXPECT_EQ(received.rfind("data: two"), received.find("data: two"));
    EXPECT_EQ(received.rfind("data: one"), received.find("data: one"));
  }
  for (const char* bytes : { "id: 10\ndata: ten\n\n",
                             "data: unnumbered\n\n",
                             "id: x\ndata: named\n\n" }) {
    SCOPED_TRACE(bytes);
    again = bytes;
    EXPECT_TRUE(IsCompleteResponse(
      this->SendAndReceive(this->host, this->TurnRequest("t-2", "", "x"))));
  }
}

// Guards against tokens that are handed out and not counted: the part of an
// event that a broken stream ended in.
TEST_F(GatewayTurnTest, CountsTheEventThatABrokenStreamEndedIn)
{
  constexpr int kBudget = 150;
  // The limit of 100 tokens of one turn fits in while 50 at most are used, and
  // an event has 10.
  constexpr int kTurnsWithinBudget = 6;
  RawEndpoint engine(this->io, [](const std::string& aRequest) {
    PresetResponse response;
    response.bytes = MakeStreamHeadWithoutLength(aRequest) + "id: 1\ndata: on";
    response.close = true;
    return response;
  });
  this->host.AddEndpoint("e-1", "engines", engine.Address());
  for (int turn = 1; turn <= kTurnsWithinBudget + 1; ++turn) {
    const std::string response = this->SendAndReceive(
      this->host,
      this->TurnRequest("t-" + std::to_string(turn), "", "x", kBudget));
    EXPECT_EQ(StatusOf(response), turn <= kTurnsWithinBudget ? 200 : 402)
      << turn;
  }
}

// Guards against an event without end: it was passed on until the deadline, and
// the turn was kept without it.
TEST_F(GatewayTurnTest, BreaksOffAnEventWithoutEnd)
{
  RawEndpoint engine(this->io, [](const std::string& aRequest) {
    PresetResponse response;
    response.bytes =
      MakeStreamHeadWithoutLength(aRequest) + "data: one\n\ndata: ";
    response.endless = std::string(8192, 'x');
    return response;
  });
  this->host.AddEndpoint("e-1", "engines", engine.Address());
  const TimePoint start = BootNow();
  const std::string response =
    this->SendAndReceive(this->host, this->TurnRequest("t-1", "", "x"));
  EXPECT_LT(BootNow() - start, Millis(800));
  EXPECT_FALSE(IsCompleteResponse(response));
  EXPECT_LT(response.size(), 3 * SseParser::kMaxEventBytes);
  EXPECT_EQ(engine.endlessResponses, 0);
  EXPECT_EQ(StatusOf(this->SendAndReceive(
              this->host, this->TurnRequest("t-2", "t-1", "y"))),
            404);
}

// Guards against many large responses at once: each was below its own limit,
// and the host held them all.
TEST_F(GatewayTest, BoundsTheMemoryOfAllResponses)
{
  constexpr size_t kMaxResponseBytes = 1u << 20;
  constexpr size_t kLargeBytes = 256u << 10;
  constexpr size_t kCalls = 12;
  GatewayHost small(this->io, this->log, "host-2", kMaxResponseBytes);
  // Its body ends later than the deadline of a call.
  RawEndpoint stalling(this->io, [](const std::string& aRequest) {
    PresetResponse response;
    response.bytes = MakeResponse(aRequest, std::string(2 * kLargeBytes, 'x'));
    response.bytes.resize(response.bytes.size() - kLargeBytes);
    response.delay = Millis(5000);
    return response;
  });
  small.ApplyCatalog();
  small.AddEndpoint("t-1", "tools", stalling.Address());
  std::vector<std::unique_ptr<RawClient>> clients;
  for (size_t i = 0; i < kCalls; ++i) {
    clients.push_back(std::make_unique<RawClient>(this->io, small.port));
    clients.back()->Send(
      this->Request("POST", "/charge/1", "r-" + std::to_string(i), "x"));
  }
  const auto countWithStatus = [&clients](int aStatus) {
    return std::count_if(
      clients.begin(), clients.end(), [aStatus](const auto& aClient) {
        return StatusOf(aClient->Received()) == aStatus;
      });
  };
  {
    SCOPED_TRACE("the calls without room end at once, their outcome unknown");
    const auto kept =
      static_cast<std::ptrdiff_t>(kMaxResponseBytes / kLargeBytes);
    const auto ended = static_cast<std::ptrdiff_t>(kCalls) - kept - 1;
    const TimePoint start = BootNow();
    EXPECT_TRUE(this->RunUntil([&] { return countWithStatus(502) >= ended; }));
    EXPECT_LT(BootNow() - start, Millis(500));
  }
  {
    SCOPED_TRACE("small responses have room beside large ones");
    RawEndpoint sound(this->io, [](const std::string& aRequest) {
      return PresetResponse{ MakeResponse(aRequest, "done") };
    });
    small.AddEndpoint("t-1", "tools", sound.Address());
    EXPECT_EQ(StatusOf(this->SendAndReceive(
                small, this->Request("POST", "/charge/1", "r-small", "x"))),
              200);
  }
  {
    SCOPED_TRACE("all have an answer at their deadline");
    EXPECT_TRUE(this->RunUntil([&] { return countWithStatus(0) == 0; }));
  }
}

// Guards against a success that names no request: endpoints name it in all
// responses to a call.
TEST_F(GatewayTest, DropsASuccessWithoutId)
{
  RawEndpoint tool(this->io, [](const std::string&) {
    return PresetResponse{
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray"
    };
  });
  this->host.ApplyCatalog();
  this->host.AddEndpoint("t-1", "tools", tool.Address());
  EXPECT_EQ(StatusOf(this->SendAndReceive(
              this->host, this->Request("POST", "/charge/1", "r-1", "x"))),
            502);
}

// Guards against a call without an id that gets the response to one with an id.
TEST_F(GatewayTest, GivesACallWithoutIdNoResponseToAnother)
{
  std::string first;
  RawEndpoint tool(this->io, [&first](const std::string& aRequest) {
    if (first.empty()) {
      first = MakeResponse(aRequest, "secret of r-1");
    }
    return PresetResponse{ first };
  });
  this->host.ApplyCatalog();
  this->host.AddEndpoint("t-1", "tools", tool.Address());
  this->SendAndReceive(this->host, this->Request("GET", "/look/1", "r-1"));
  const std::string idHeader = "X-Request-Id: r-2\r\n";
  std::string request = this->Request("GET", "/look/1", "r-2");
  request.erase(request.find(idHeader), idHeader.size());
  const std::string response = this->SendAndReceive(this->host, request);
  EXPECT_EQ(response.find("secret"), std::string::npos) << response;
}

// Guards against header lines that mean one thing here and another to the
// client, such as a second length.
TEST_F(GatewayTest, PassesOnNoMalformedHeaders)
{
  for (const std::string line :
       { ": x\r\n", "Bad Name: x\r\n", "Content-Length : 9\r\n" }) {
    RawEndpoint tool(this->io, [&line](const std::string& aRequest) {
      return PresetResponse{ MakeResponse(aRequest, "done", line) };
    });
    this->host.ApplyCatalog();
    this->host.AddEndpoint("t-1", "tools", tool.Address());
    const std::string response = this->SendAndReceive(
      this->host, this->Request("POST", "/charge/1", "r-1", "x"));
    EXPECT_EQ(response.find(line), std::string::npos) << response;
  }
}

// Guards against "not run" for a call that may have run.
TEST_F(GatewayTest, DoesNotSayNotRunAfterAnAttemptThatMayHaveRun)
{
  RawEndpoint tool(this->io, [](const std::string&) {
    PresetResponse response;
    response.reset = true;
    return response;
  });
  this->host.ApplyCatalog();
  this->host.AddEndpoint("t-1", "tools", tool.Address());
  EXPECT_EQ(StatusOf(this->SendAndReceive(
              this->host, this->Request("GET", "/look/1", "r-1"))),
            502);
}

} // namespace
} // namespace tanagerseam
