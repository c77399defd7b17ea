// An answer counts as under way until its last byte has been written, so that a
// process that ends with its last call cuts none.
#include <gtest/gtest.h>

#include "http/event_server.h"
#include "tests/support/free_port.h"

namespace tanagerseam {
namespace {

namespace net = restinio::asio_ns;

constexpr size_t kLargeBody = 32u << 20;

class UnreadAnswer : public ::testing::Test
{
protected:
  void Open(EventHandler aHandler)
  {
    EventServerSettings settings;
    settings.port = testing_support::FreePort();
    this->server =
      std::make_unique<EventServer>(this->io, settings, std::move(aHandler));
    this->server->Open();
    this->RunFor(Millis(10));
    this->client.connect({ net::ip::make_address("127.0.0.1"), settings.port });
    const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    net::write(this->client, net::buffer(request));
    this->RunFor(Millis(100));
  }

  void RunFor(Millis aTime)
  {
    this->io.restart();
    this->io.run_for(aTime);
  }

  // Reads what comes until the server has nothing under way.
  void ReadOn()
  {
    std::vector<char> piece(1u << 20);
    this->client.non_blocking(true);
    const TimePoint end = BootNow() + Millis(5000);
    while (this->server->Busy() > 0 && BootNow() < end) {
      net::error_code ignored;
      this->client.read_some(net::buffer(piece), ignored);
      this->RunFor(Millis(1));
    }
  }

  net::io_context io{ 1 };
  std::unique_ptr<EventServer> server;
  net::ip::tcp::socket client{ io };
};

TEST_F(UnreadAnswer, AWholeOneIsUnderWayUntilItIsWritten)
{
  this->Open(
    [](const EventRequest&, const std::shared_ptr<EventReply>& aReply) {
      aReply->Send(200, {}, std::string(kLargeBody, 'x'));
    });
  EXPECT_EQ(this->server->Busy(), 1u);
  this->ReadOn();
  EXPECT_EQ(this->server->Busy(), 0u);
}

TEST_F(UnreadAnswer, AStreamIsUnderWayUntilItsEndIsWritten)
{
  this->Open(
    [](const EventRequest&, const std::shared_ptr<EventReply>& aReply) {
      aReply->Begin(200, {});
      aReply->Write(std::string(kLargeBody, 'x'));
      aReply->End();
    });
  EXPECT_EQ(this->server->Busy(), 1u);
  this->ReadOn();
  EXPECT_EQ(this->server->Busy(), 0u);
}

TEST_F(UnreadAnswer, AClientThatClosesLeavesNothingUnderWay)
{
  this->Open(
    [](const EventRequest&, const std::shared_ptr<EventReply>& aReply) {
      aReply->Send(200, {}, std::string(kLargeBody, 'x'));
    });
  net::error_code ignored;
  this->client.close(ignored);
  this->RunFor(Millis(300));
  EXPECT_EQ(this->server->Busy(), 0u);
}

// Guards against a broken off stream that counted as under way, and was kept,
// for ever: its client had closed while a piece waited for the write before it.
TEST_F(UnreadAnswer, AStreamWithAPieceThatWaitsEndsWithItsClient)
{
  std::shared_ptr<EventReply> reply;
  this->Open(
    [&reply](const EventRequest&, const std::shared_ptr<EventReply>& aReply) {
      reply = aReply;
      reply->Begin(200, {});
      reply->Write(std::string(kLargeBody, 'x'));
    });
  ASSERT_NE(reply, nullptr);
  EXPECT_GT(reply->Unwritten(), 0u);
  reply->Write("waits");
  bool drained = false;
  reply->OnDrained([&drained] { drained = true; });
  net::error_code ignored;
  this->client.close(ignored);
  this->RunFor(Millis(300));
  EXPECT_EQ(reply->Unwritten(), 0u);
  EXPECT_TRUE(drained);
  EXPECT_EQ(this->server->Busy(), 1u);
  reply->Break();
  EXPECT_EQ(this->server->Busy(), 0u);
  const std::weak_ptr<EventReply> kept = reply;
  reply.reset();
  this->RunFor(Millis(10));
  EXPECT_TRUE(kept.expired());
}

// A program that can't listen has to say so and end.
TEST(TakenPort, IsThrownOutOfTheLoopWithItsAddress)
{
  net::io_context io{ 1 };
  net::ip::tcp::acceptor taken(io, { net::ip::make_address("127.0.0.1"), 0 });
  EventServerSettings settings;
  settings.port = taken.local_endpoint().port();
  EventServer server(
    io, settings, [](const EventRequest&, const std::shared_ptr<EventReply>&) {
    });
  server.Open();
  try {
    io.run_for(Millis(500));
    FAIL() << "nothing was thrown";
  } catch (const std::exception& error) {
    EXPECT_NE(std::string(error.what())
                .find("127.0.0.1:" + std::to_string(settings.port)),
              std::string::npos)
      << error.what();
  }
}

} // namespace
} // namespace tanagerseam
