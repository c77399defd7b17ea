// HttpServer while all of its workers are taken.
#include <gtest/gtest.h>

#include <condition_variable>
#include <mutex>
#include <thread>

#include "http/http.h"
#include "http/testing/raw_client.h"
#include "tests/support/free_port.h"

namespace tanagerseam {
namespace {

using testing_support::RawClient;
using testing_support::ReadResponses;
using testing_support::ResponseBytes;

constexpr Millis kLimit(2000);
// Time in which the server handles all that it has read.
constexpr Millis kSettle(100);

// Its only worker is taken, and no request may wait for it.
class OverloadedServer : public ::testing::Test
{
protected:
  void SetUp() override
  {
    HttpServerSettings settings;
    settings.port = this->port;
    settings.maxWorkers = 1;
    settings.maxQueued = 0;
    this->server = std::make_unique<HttpServer>(
      settings, [this](const HttpRequest&, std::shared_ptr<HttpReply> aReply) {
        std::unique_lock<std::mutex> lock(this->mutex);
        this->taken = true;
        this->change.notify_all();
        this->change.wait(lock, [this] { return this->released; });
        aReply->Send(200, {}, "");
      });
    this->server->Start();
    this->first = std::make_unique<RawClient>(this->port);
    this->first->Send(Request("/first"));
    std::unique_lock<std::mutex> lock(this->mutex);
    ASSERT_TRUE(
      this->change.wait_for(lock, kLimit, [this] { return this->taken; }));
  }

  void TearDown() override
  {
    {
      std::lock_guard<std::mutex> lock(this->mutex);
      this->released = true;
      this->change.notify_all();
    }
    this->server->Stop();
  }

  static std::string Request(const std::string& aPath)
  {
    return "GET " + aPath + " HTTP/1.1\r\nHost: h\r\n\r\n";
  }

  // The statuses of the responses that have come, in order.
  static std::string StatusesOf(RawClient& aClient)
  {
    std::this_thread::sleep_for(kSettle);
    aClient.Read();
    const ResponseBytes got = ReadResponses(aClient.received, { "GET" });
    std::string statuses = got.fault;
    for (const auto& response : got.whole) {
      statuses += std::to_string(response.status) + " ";
    }
    return statuses;
  }

  const uint16_t port = testing_support::FreePort();
  std::unique_ptr<HttpServer> server;
  std::mutex mutex;
  std::condition_variable change;
  bool taken = false;
  bool released = false;
  // Its request has the worker.
  std::unique_ptr<RawClient> first;
};

// Guards against a request that is sent ahead in two parts: the one before was
// refused within its handler, and the second part was read as a request of its
// own.
TEST_F(OverloadedServer, ReadsARequestSentAheadWhole)
{
  RawClient client(this->port);
  client.Send(Request("/1") + "GET /2 HTTP/1.1\r\nHost: h\r\nX-Path: ");
  EXPECT_EQ(StatusesOf(client), "503 ");
  client.Send("x\r\nX-Last: 1\r\n\r\n");
  EXPECT_EQ(StatusesOf(client), "503 503 ");
  client.Send(Request("/3") + Request("/4") + Request("/5"));
  EXPECT_EQ(StatusesOf(client), "503 503 503 503 503 ");
}

} // namespace
} // namespace tanagerseam
