// The blocking client against servers that respond twice, in part or not in
// HTTP.
#include <gtest/gtest.h>

#include <atomic>
#include <thread>

#include "gateway/testing/raw_peer.h"
#include "http/http_client.h"

namespace tanagerseam {
namespace {

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
  ~BlockingClient() override { this->StopServer(); }

  void Serve(RawEndpoint::Script aScript)
  {
    this->server = std::make_unique<RawEndpoint>(this->io, std::move(aScript));
    this->url = "http://" + this->server->Address();
    this->thread = std::thread([this] { this->io.run(); });
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

} // namespace
} // namespace tanagerseam
