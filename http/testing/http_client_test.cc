// The blocking client against servers that respond twice, in part or not in
// HTTP.
#include <gtest/gtest.h>

#include <array>
#include <cstdio>
#include <thread>
#include <vector>

#include "gateway/testing/raw_peer.h"
#include "http/http_client.h"
#include "http/testing/endless_response.h"

namespace tanagerseam {
namespace {

using testing_support::Chunk;
using testing_support::EndlessResponse;
using testing_support::EndlessResponses;
using testing_support::PresetResponse;
using testing_support::RawEndpoint;

constexpr Millis kCallTimeout{ 500 };
// Time for bytes of the server to arrive on an idle connection.
constexpr Millis kArrival{ 20 };

std::string
Ok(const std::string& aBody)
{
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
}

bool
IsFor(const std::string& aRequest, const std::string& aPath)
{
  return aRequest.find(aPath + " ") != std::string::npos;
}

std::string
Text(const HttpOutcome& aOutcome)
{
  if (const auto* failure = std::get_if<TransportFailure>(&aOutcome)) {
    return std::string("failure, ") + (failure->sent ? "sent" : "not sent");
  }
  const auto& answer = std::get<HttpAnswer>(aOutcome);
  return std::to_string(answer.status) + " " + answer.body;
}

class BlockingClient : public ::testing::Test
{
protected:
  using Socket = restinio::asio_ns::ip::tcp::socket;

  ~BlockingClient() override { this->StopServer(); }

  void Serve(RawEndpoint::Script aScript)
  {
    this->server = std::make_unique<RawEndpoint>(this->io, std::move(aScript));
    this->url = "http://" + this->server->Address();
    this->thread = std::thread([this] { this->io.run(); });
  }

  // Accepts one connection and no other one, and responds "first" to its first
  // request. aThen continues on the connection.
  std::thread ServeOneConnection(std::function<void(Socket&)> aThen)
  {
    using Acceptor = restinio::asio_ns::ip::tcp::acceptor;
    const auto loopback = restinio::asio_ns::ip::make_address("127.0.0.1");
    auto acceptor = std::make_unique<Acceptor>(
      this->io, restinio::asio_ns::ip::tcp::endpoint{ loopback, 0 });
    this->url =
      "http://127.0.0.1:" + std::to_string(acceptor->local_endpoint().port());
    return std::thread(
      [acceptor = std::move(acceptor), then = std::move(aThen)]() mutable {
        Socket socket = acceptor->accept();
        acceptor.reset();
        ReadSome(socket);
        Write(socket, Ok("first"));
        then(socket);
      });
  }

  // The bytes received; 0 at the end of the connection.
  static size_t ReadSome(Socket& aSocket)
  {
    std::array<char, 4096> buffer{};
    restinio::asio_ns::error_code ended;
    return aSocket.read_some(restinio::asio_ns::buffer(buffer), ended);
  }

  static void Write(Socket& aSocket, const std::string& aBytes)
  {
    restinio::asio_ns::write(aSocket, restinio::asio_ns::buffer(aBytes));
  }

  // The server's counts may be read afterwards.
  void StopServer()
  {
    this->io.stop();
    if (this->thread.joinable()) {
      this->thread.join();
    }
  }

  HttpOutcome Get(const std::string& aPath, bool aFresh = false)
  {
    HttpCall call;
    call.url = this->url + aPath;
    call.timeout = kCallTimeout;
    call.freshConnection = aFresh;
    return this->client.Perform(call);
  }

  restinio::asio_ns::io_context io{ 1 };
  std::unique_ptr<RawEndpoint> server;
  std::string url;
  HttpClient client;
  std::thread thread;
};

// Guards against a response that is closed within its head and passes for a
// success with status 0 or with a part of the headers.
TEST_F(BlockingClient, TakesACutHeadForAFailure)
{
  const std::string whole = Ok("whole body");
  this->Serve([whole](const std::string& aRequest) {
    const size_t at = aRequest.find("GET /") + 5;
    PresetResponse response;
    response.bytes = whole.substr(0, std::stoul(aRequest.substr(at)));
    response.close = true;
    return response;
  });
  const size_t headEnd = whole.find("\r\n\r\n") + 4;
  for (size_t length = 0; length < headEnd; ++length) {
    EXPECT_EQ(Text(this->Get("/" + std::to_string(length), true)),
              "failure, sent")
      << length << " bytes of the head";
  }
  const std::string all = "/" + std::to_string(whole.size());
  EXPECT_EQ(Text(this->Get(all, true)), "200 whole body");
}

// Guards against a response that ends within its head or its body and passes
// for a success with status 0, with a part of the headers or with a short body.
class CutResponse : public BlockingClient
{
protected:
  struct End
  {
    const char* name;
    bool reset;
    Millis pause;
  };

  struct Layout
  {
    std::string whole;
    // From so many bytes on an orderly close leaves nothing missing: nothing
    // tells the end of a body without a length, and a zero-sized chunk proves
    // the body before it whole (RFC 9112, section 8).
    size_t provedAt;
  };

  static Layout LengthLayout()
  {
    const std::string whole = Ok("whole body");
    return { whole, whole.size() };
  }

  static Layout ChunkLayout()
  {
    const std::string whole = kStatusLine +
                              "Transfer-Encoding: chunked\r\n\r\n" +
                              Chunk("whole body") + "0\r\n";
    return { whole + "\r\n", whole.size() };
  }

  static Layout UnframedLayout()
  {
    const std::string head = kStatusLine + "X-Last: header\r\n\r\n";
    return { head + "whole body", head.size() };
  }

  // The call's path names the row of the layout, that of the end and the bytes
  // that are sent.
  void ServeCutResponses()
  {
    this->Serve([this](const std::string& aRequest) {
      size_t layout = 0;
      size_t end = 0;
      size_t length = 0;
      EXPECT_EQ(
        sscanf(aRequest.c_str(), "GET /%zu/%zu/%zu ", &layout, &end, &length),
        3);
      PresetResponse response;
      response.bytes = this->layouts[layout].whole.substr(0, length);
      response.delay = this->ends[end].pause;
      response.reset = this->ends[end].reset;
      response.close = true;
      return response;
    });
  }

  std::string Result(size_t aLayout, size_t aEnd, size_t aLength)
  {
    return Text(this->Get("/" + std::to_string(aLayout) + "/" +
                            std::to_string(aEnd) + "/" +
                            std::to_string(aLength),
                          true));
  }

  static inline const std::string kStatusLine = "HTTP/1.1 200 OK\r\n";
  static constexpr Millis kPause{ 5 };
  const std::vector<Layout> layouts = { LengthLayout(),
                                        ChunkLayout(),
                                        UnframedLayout() };
  const std::vector<End> ends = { { "close", false, Millis(0) },
                                  { "close after a pause", false, kPause },
                                  { "reset", true, Millis(0) },
                                  { "reset after a pause", true, kPause } };
};

TEST_F(CutResponse, IsAFailure)
{
  this->ServeCutResponses();
  for (size_t end = 0; end < this->ends.size(); ++end) {
    for (size_t layout = 0; layout < this->layouts.size(); ++layout) {
      const Layout& row = this->layouts[layout];
      SCOPED_TRACE(std::string(this->ends[end].name) + " within\n" + row.whole);
      const bool reset = this->ends[end].reset;
      const size_t cuts = reset ? row.whole.size() : row.provedAt;
      for (size_t length = 0; length < cuts; ++length) {
        EXPECT_EQ(this->Result(layout, end, length), "failure, sent")
          << length << " bytes";
      }
      if (!reset) {
        EXPECT_EQ(this->Result(layout, end, row.whole.size()),
                  "200 whole body");
      }
    }
  }
}

// A reset shows that more was to come.
TEST_F(CutResponse, IsAFailureIfABodyWithoutLengthIsReset)
{
  this->ServeCutResponses();
  const size_t unframed = this->layouts.size() - 1;
  for (size_t end = 0; end < this->ends.size(); ++end) {
    if (this->ends[end].reset) {
      EXPECT_EQ(
        this->Result(unframed, end, this->layouts[unframed].whole.size()),
        "failure, sent")
        << this->ends[end].name;
    }
  }
}

// Guards against a response that stops and leaves its connection open, and
// passes for what has come of it once the time of the call is over.
TEST_F(BlockingClient, TakesAResponseThatStopsForAFailure)
{
  const std::string whole = Ok("whole body");
  const size_t headEnd = whole.find("\r\n\r\n") + 4;
  const size_t statusLineEnd = whole.find("\r\n") + 2;
  this->Serve([whole](const std::string& aRequest) {
    const size_t at = aRequest.find("GET /") + 5;
    return PresetResponse{ whole.substr(0, std::stoul(aRequest.substr(at))) };
  });
  for (const size_t length : { size_t{ 0 },
                               statusLineEnd - 1,
                               statusLineEnd,
                               headEnd - 2,
                               headEnd,
                               whole.size() - 1 }) {
    EXPECT_EQ(Text(this->Get("/" + std::to_string(length), true)),
              "failure, sent")
      << length << " bytes";
  }
}

// Guards against a change of protocol, or an interim response without a final
// one, that passes for a success; and against the next call on its connection.
TEST_F(BlockingClient, TakesAResponseThatIsNotFinalForAFailure)
{
  this->Serve([](const std::string& aRequest) {
    const std::string switching = "HTTP/1.1 101 Switching Protocols\r\n\r\n";
    PresetResponse response;
    response.bytes = IsFor(aRequest, "-body")    ? switching + "body"
                     : IsFor(aRequest, "/empty") ? switching
                     : IsFor(aRequest, "/100") ? "HTTP/1.1 100 Continue\r\n\r\n"
                                               : Ok("next");
    response.close =
      !IsFor(aRequest, "/open-body") && !IsFor(aRequest, "/next");
    return response;
  });
  for (const char* path : { "/open-body", "/ended-body", "/empty", "/100" }) {
    SCOPED_TRACE(path);
    EXPECT_EQ(Text(this->Get(path)), "failure, sent");
    EXPECT_EQ(Text(this->Get("/next", true)), "200 next");
  }
}

// Guards against a status that is none and passes for a response, of the store
// or of a model engine.
TEST_F(BlockingClient, TakesAStatusThatIsNoneForAFailure)
{
  std::string status;
  this->Serve([&status](const std::string&) {
    return PresetResponse{ "HTTP/1.1 " + status +
                           " X\r\nContent-Length: 4\r\n\r\nbody" };
  });
  for (const char* each : { "000", "001", "099", "199", "0", "0000", "-01" }) {
    status = each;
    EXPECT_EQ(Text(this->Get("/1", true)), "failure, sent") << status;
  }
}

// Guards against the headers of an interim response in those of the final one.
TEST_F(BlockingClient, LeavesOutTheHeadersOfAnInterimResponse)
{
  this->Serve([](const std::string&) {
    return PresetResponse{ "HTTP/1.1 103 Early Hints\r\nX-Early: 1\r\n\r\n" +
                           Ok("final") };
  });
  const HttpOutcome outcome = this->Get("/");
  EXPECT_EQ(Text(outcome), "200 final");
  const auto& answer = std::get<HttpAnswer>(outcome);
  EXPECT_FALSE(FirstHeader(answer.headers, "X-Early"));
}

// A server that responds with the request's path, to /twice with a second
// response while the connection is idle; it ends the connection of /end then.
PresetResponse
RespondWithPath(const std::string& aRequest)
{
  const size_t start = aRequest.find(' ') + 1;
  const std::string path =
    aRequest.substr(start, aRequest.find(' ', start) - start);
  PresetResponse response;
  response.bytes = Ok(path);
  if (path == "/twice" || path == "/end") {
    response.delay = Millis(2);
    response.delayedBytes = path == "/twice" ? Ok(path) : "";
    response.close = path == "/end";
  }
  return response;
}

// Guards against a second response that waits on the idle connection and is
// taken for the response of the next call.
TEST_F(BlockingClient, SendsNoRequestOnAConnectionWithInput)
{
  this->Serve(RespondWithPath);
  EXPECT_EQ(Text(this->Get("/twice")), "200 /twice");
  std::this_thread::sleep_for(kArrival);
  EXPECT_EQ(Text(this->Get("/next")), "200 /next");
  {
    SCOPED_TRACE("the new connection is kept");
    EXPECT_EQ(Text(this->Get("/after")), "200 /after");
  }
  this->StopServer();
  EXPECT_EQ(this->server->requests.size(), 3u);
  EXPECT_EQ(this->server->acceptedConnections, 2);
}

// Guards against a request that is sent on a connection the server has ended.
TEST_F(BlockingClient, SendsNoRequestOnAnEndedConnection)
{
  this->Serve(RespondWithPath);
  EXPECT_EQ(Text(this->Get("/end")), "200 /end");
  std::this_thread::sleep_for(kArrival);
  EXPECT_EQ(Text(this->Get("/next")), "200 /next");
  this->StopServer();
  EXPECT_EQ(this->server->requests.size(), 2u);
}

// Guards against a second start of the deadline when a call moves to a new
// connection.
TEST_F(BlockingClient, KeepsTheDeadlineOnANewConnection)
{
  this->Serve([](const std::string& aRequest) {
    PresetResponse response = RespondWithPath(aRequest);
    if (IsFor(aRequest, "/silent")) {
      response.bytes.clear();
      response.delay = 4 * kCallTimeout;
    }
    return response;
  });
  EXPECT_EQ(Text(this->Get("/twice")), "200 /twice");
  std::this_thread::sleep_for(kArrival);
  const TimePoint start = Now();
  const HttpOutcome outcome = this->Get("/silent");
  EXPECT_LT(Now() - start, kCallTimeout * 3 / 2);
  ASSERT_EQ(Text(outcome), "failure, sent");
  EXPECT_EQ(std::get<TransportFailure>(outcome).error,
            TransportError::kTimeout);
}

// Guards against a "may have reached the server" for a request that was held
// back on the kept connection and found no new one.
TEST_F(BlockingClient, KnowsThatARequestHeldBackWasNotSent)
{
  std::thread serving = this->ServeOneConnection([](Socket& aSocket) {
    std::this_thread::sleep_for(kArrival);
    Write(aSocket, Ok("second"));
    // Until the client ends the connection.
    EXPECT_EQ(ReadSome(aSocket), 0u);
  });
  EXPECT_EQ(Text(this->Get("/first")), "200 first");
  std::this_thread::sleep_for(2 * kArrival);
  EXPECT_EQ(Text(this->Get("/next")), "failure, not sent");
  serving.join();
}

// Guards against a request that libcurl sends a second time when the kept
// connection ends after the server has read it.
TEST_F(BlockingClient, SendsARequestOnceIfTheConnectionEnds)
{
  for (const bool reset : { false, true }) {
    SCOPED_TRACE(reset ? "reset" : "closed");
    this->Serve([reset](const std::string& aRequest) {
      PresetResponse response = RespondWithPath(aRequest);
      if (IsFor(aRequest, "/read-only")) {
        response.bytes.clear();
        response.close = !reset;
        response.reset = reset;
      }
      return response;
    });
    EXPECT_EQ(Text(this->Get("/first")), "200 /first");
    const HttpOutcome outcome = this->Get("/read-only");
    EXPECT_EQ(Text(outcome), "failure, sent");
    if (const auto* failure = std::get_if<TransportFailure>(&outcome)) {
      EXPECT_EQ(failure->error, TransportError::kBroken);
    }
    EXPECT_EQ(Text(this->Get("/next")), "200 /next");
    this->StopServer();
    EXPECT_EQ(this->server->requests.size(), 3u);
    this->io.restart();
  }
}

// Guards against a request that counts as not sent because its repetition by
// libcurl found no server.
TEST_F(BlockingClient, KnowsThatARequestMayHaveArrivedBeforeTheServerWentAway)
{
  std::thread serving = this->ServeOneConnection(
    [](Socket& aSocket) { EXPECT_GT(ReadSome(aSocket), 0u); });
  EXPECT_EQ(Text(this->Get("/first")), "200 first");
  EXPECT_EQ(Text(this->Get("/next")), "failure, sent");
  serving.join();
}

// Guards against the second response to a call that must be sent once, which
// the connection it leaves behind gives to a later call.
TEST_F(BlockingClient, KeepsNoConnectionOfAFreshCall)
{
  this->Serve(RespondWithPath);
  EXPECT_EQ(Text(this->Get("/twice", true)), "200 /twice");
  EXPECT_EQ(Text(this->Get("/once", true)), "200 /once");
  std::this_thread::sleep_for(kArrival);
  EXPECT_EQ(Text(this->Get("/next")), "200 /next");
  this->StopServer();
  EXPECT_EQ(this->server->acceptedConnections, 3);
}

// Guards against a connection that is used again after a response that was not
// whole.
TEST_F(BlockingClient, KeepsNoConnectionAfterAResponseThatIsNotFinal)
{
  this->Serve([](const std::string& aRequest) {
    PresetResponse response = RespondWithPath(aRequest);
    if (IsFor(aRequest, "/switch")) {
      response.bytes = "HTTP/1.1 101 Switching Protocols\r\n\r\nbody";
    }
    return response;
  });
  EXPECT_EQ(Text(this->Get("/switch")), "failure, sent");
  EXPECT_EQ(Text(this->Get("/next")), "200 /next");
  this->StopServer();
  EXPECT_EQ(this->server->acceptedConnections, 2);
}

// Guards against bytes without end in a head or a body: they were read until
// the call's deadline.
TEST_F(BlockingClient, EndsAResponseWithoutEndAtTheLimit)
{
  std::string sentFirst;
  std::string sentWithoutEnd;
  this->Serve([&](const std::string&) {
    PresetResponse response;
    response.bytes = sentFirst;
    response.endless = sentWithoutEnd;
    return response;
  });
  for (const EndlessResponse& sent : EndlessResponses()) {
    SCOPED_TRACE(sent.name);
    sentFirst = sent.start;
    sentWithoutEnd = sent.endless;
    HttpCall call;
    call.url = this->url + "/a";
    call.timeout = kCallTimeout;
    call.maxAnswerBytes = 1u << 20;
    const TimePoint start = Now();
    EXPECT_EQ(Text(this->client.Perform(call)), "failure, sent");
    EXPECT_LT(Now() - start, kCallTimeout);
  }
}

// Guards against a length that cannot be used: a cut body ended as a whole one.
TEST_F(BlockingClient, TakesABodyWithoutAUsableLengthForAFailure)
{
  std::string lengths;
  this->Serve([&lengths](const std::string&) {
    PresetResponse response;
    response.bytes = "HTTP/1.1 200 OK\r\n" + lengths + "\r\n12345";
    response.close = true;
    return response;
  });
  for (const char* given : { "Content-Length: 99999999999999999999999\r\n",
                             "Content-Length: 9\r\nContent-Length: 5\r\n" }) {
    lengths = given;
    EXPECT_EQ(Text(this->Get("/a")), "failure, sent") << given;
  }
}

// Guards against many large responses at once, each below its own limit.
TEST_F(BlockingClient, BoundsTheBodiesThatAreBeingReceived)
{
  constexpr size_t kBodyBytes = 1u << 20;
  this->Serve([](const std::string& aRequest) {
    return PresetResponse{ Ok(
      std::string(IsFor(aRequest, "/large") ? kBodyBytes : 1000, 'x')) };
  });
  HttpClient small(kBodyBytes / 2);
  HttpCall call;
  call.timeout = kCallTimeout;
  call.url = this->url + "/large";
  EXPECT_EQ(Text(small.Perform(call)), "failure, sent");
  call.url = this->url + "/small";
  EXPECT_EQ(Text(small.Perform(call)).substr(0, 3), "200");
}

} // namespace
} // namespace tanagerseam
