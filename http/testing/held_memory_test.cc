// What a host holds for slow clients is bounded, and a fast caller beside them
// is served. Sockets are real, on loopback.
#include <gtest/gtest.h>

#include <deque>

#include "http/event_server.h"
#include "tests/support/free_port.h"

namespace tanagerseam {
namespace {

namespace net = restinio::asio_ns;

constexpr size_t kMegabyte = 1u << 20;
constexpr size_t kLimit = 24 * kMegabyte;
constexpr size_t kLargeBody = 4 * kMegabyte;
constexpr size_t kClients = 30;
// The first read of a request is in memory before it is counted.
constexpr size_t kUncounted = kClients * ByteShare::kUncountedBytes;
constexpr Millis kFastEnough(200);

class HeldMemoryTest : public ::testing::Test
{
protected:
  net::io_context io{ 1 };
  std::shared_ptr<HeldMemory> memory =
    std::make_shared<HeldMemory>(this->io, kLimit);
};

// Guards against uploads that leave no room for the responses of calls that
// have run.
TEST_F(HeldMemoryTest, RequestsLeaveRoomForResponses)
{
  HeldBytes one(this->memory, HeldKind::kRequest);
  HeldBytes two(this->memory, HeldKind::kRequest);
  EXPECT_TRUE(one.Resize(12 * kMegabyte));
  EXPECT_FALSE(two.Resize(8 * kMegabyte));
  EXPECT_TRUE(two.Resize(2 * kMegabyte));
  ByteShare response(this->memory->Budget());
  EXPECT_TRUE(response.Resize(8 * kMegabyte));
  {
    SCOPED_TRACE("small requests always pass");
    HeldBytes full(this->memory, HeldKind::kRequest);
    full.Force(kLimit);
    HeldBytes small(this->memory, HeldKind::kRequest);
    EXPECT_TRUE(small.Resize(ByteShare::kUncountedBytes));
  }
}

TEST_F(HeldMemoryTest, TheLargestThatCanGivesWay)
{
  std::string dropped;
  HeldBytes sent(this->memory, HeldKind::kRequest);
  HeldBytes large(this->memory, HeldKind::kRequest);
  HeldBytes small(this->memory, HeldKind::kRequest);
  HeldBytes unread(this->memory, HeldKind::kResponse);
  sent.Force(8 * kMegabyte);
  large.Force(5 * kMegabyte);
  small.Force(3 * kMegabyte);
  unread.Force(8 * kMegabyte);
  large.OnGiveWay([&dropped] { dropped += "large "; });
  small.OnGiveWay([&dropped] { dropped += "small "; });
  unread.OnGiveWay([&dropped] { dropped += "unread "; });
  {
    SCOPED_TRACE("for a request, another one that was not sent");
    EXPECT_TRUE(this->memory->MakeRoomForRequest(kMegabyte));
    this->io.run();
    EXPECT_EQ(dropped, "large ");
  }
  {
    SCOPED_TRACE("for a response, requests before responses");
    ByteShare response(this->memory->Budget());
    EXPECT_TRUE(response.Resize(15 * kMegabyte));
    this->io.restart();
    this->io.run();
    EXPECT_EQ(dropped, "large small unread ");
  }
  {
    SCOPED_TRACE("not a request that may have run");
    EXPECT_FALSE(this->memory->MakeRoomForRequest(12 * kMegabyte));
  }
}

// A connection that sends and reads as the test lets it.
class SlowClient
{
public:
  SlowClient(net::io_context& aIo, uint16_t aPort)
    : socket(aIo)
  {
    this->socket.open(net::ip::tcp::v4());
    this->socket.set_option(net::socket_base::receive_buffer_size(4096));
    this->socket.connect({ net::ip::make_address("127.0.0.1"), aPort });
    this->socket.non_blocking(true);
  }

  void Queue(const std::string& aBytes) { this->unsent += aBytes; }

  // Sends and reads at most so many bytes, as far as the connection takes and
  // has them.
  void Step(size_t aSend, size_t aRead)
  {
    net::error_code ignored;
    const size_t size = std::min(aSend, this->unsent.size() - this->sent);
    if (size > 0) {
      this->sent += this->socket.write_some(
        net::buffer(this->unsent.data() + this->sent, size), ignored);
    }
    std::string piece(aRead, '\0');
    piece.resize(this->socket.read_some(net::buffer(piece), ignored));
    this->received += piece;
    this->closed =
      this->closed || (ignored && ignored != net::error::would_block);
  }

  net::ip::tcp::socket socket;
  std::string unsent;
  size_t sent = 0;
  std::string received;
  bool closed = false;
};

std::string
Post(size_t aBytes)
{
  return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " +
         std::to_string(aBytes) + "\r\n\r\n" + std::string(aBytes, 'x');
}

class SlowClientsTest : public HeldMemoryTest
{
protected:
  void Open(EventHandler aHandler)
  {
    EventServerSettings settings;
    settings.port = testing_support::FreePort();
    settings.heldMemory = this->memory;
    settings.faultAnswer = [this](InputFault aFault) {
      ++this->faults[aFault];
      const bool full = aFault == InputFault::kNoMemory;
      return HttpAnswer{ full ? 503 : 400, { { "Retry-After", "1" } }, "" };
    };
    this->port = settings.port;
    this->server =
      std::make_unique<EventServer>(this->io, settings, std::move(aHandler));
    this->server->Open();
    this->Run();
    for (size_t i = 0; i < kClients; ++i) {
      this->clients.push_back(
        std::make_unique<SlowClient>(this->io, this->port));
    }
  }

  void Run()
  {
    this->io.restart();
    this->io.run_for(Millis(2));
    this->most = std::max(this->most, this->memory->Budget()->Used());
  }

  void StepAll(size_t aSend, size_t aRead)
  {
    for (const auto& client : this->clients) {
      client->Step(aSend, aRead);
    }
    this->Run();
  }

  // How long a small call takes beside the others.
  Millis FastCall(size_t aSend, size_t aRead)
  {
    const TimePoint begin = BootNow();
    SlowClient fast(this->io, this->port);
    fast.Queue(Post(10));
    while (fast.received.find("\r\n\r\n") == std::string::npos &&
           BootNow() < begin + Millis(5000)) {
      fast.Step(4096, 4096);
      this->StepAll(aSend, aRead);
    }
    EXPECT_EQ(fast.received.substr(0, 12), "HTTP/1.1 200");
    return std::chrono::duration_cast<Millis>(BootNow() - begin);
  }

  uint16_t port = 0;
  std::unique_ptr<EventServer> server;
  std::vector<std::unique_ptr<SlowClient>> clients;
  std::map<InputFault, int> faults;
  size_t most = 0;
};

// Without back pressure, 30 bodies of 4 MiB are in memory at once, twice each.
TEST_F(SlowClientsTest, UploadsOfManyClientsStayWithinTheLimit)
{
  struct HeldRequest
  {
    std::string body;
    std::shared_ptr<EventReply> reply;
    TimePoint since;
  };
  int served = 0;
  std::deque<HeldRequest> held;
  size_t mostHeld = 0;
  this->Open([&](const EventRequest& aRequest,
                 const std::shared_ptr<EventReply>& aReply) {
    if (aRequest.body.size() < kLargeBody) {
      aReply->Send(200, {}, "");
      return;
    }
    ++served;
    held.push_back({ aRequest.body, aReply, BootNow() });
    mostHeld = std::max(mostHeld, held.size() * kLargeBody);
  });
  // Large requests are held as by an endpoint that takes its time.
  const auto answerHeld = [&held] {
    while (!held.empty() && BootNow() > held.front().since + Millis(100)) {
      held.front().reply->Send(200, {}, "");
      held.pop_front();
    }
  };
  for (const auto& client : this->clients) {
    client->Queue(Post(kLargeBody));
  }
  // Until each has gone on to the point where nothing is read any more.
  for (int i = 0; i < 40; ++i) {
    this->StepAll(256u << 10, 1);
  }
  EXPECT_LT(this->FastCall(64u << 10, 1).count(), kFastEnough.count());
  const TimePoint end = BootNow() + Millis(20000);
  const auto answered = [this] {
    return std::all_of(
      this->clients.begin(), this->clients.end(), [](const auto& aClient) {
        return aClient->received.size() >= 12 || aClient->closed;
      });
  };
  while (!answered() && BootNow() < end) {
    this->StepAll(256u << 10, 4096);
    answerHeld();
  }
  EXPECT_TRUE(answered());
  EXPECT_LE(this->most, this->memory->RequestLimit() + kUncounted);
  EXPECT_LE(mostHeld, this->memory->RequestLimit() / 2);
  EXPECT_GT(served, 0);
  {
    SCOPED_TRACE("those that did not fit are told so");
    int refused = 0;
    for (const auto& client : this->clients) {
      refused += client->received.substr(0, 12) == "HTTP/1.1 503" ? 1 : 0;
    }
    EXPECT_EQ(served + refused, static_cast<int>(kClients));
    EXPECT_EQ(this->faults[InputFault::kNoMemory], refused);
  }
  {
    SCOPED_TRACE("and nothing stays counted");
    for (int i = 0; i < 20; ++i) {
      this->StepAll(0, 4096);
    }
    EXPECT_EQ(this->memory->Budget()->Used(), 0u);
  }
}

// Whole responses of clients that read one byte at a time once counted nothing
// after they had been handed to the connection.
TEST_F(SlowClientsTest, UnreadResponsesGiveWayToResponsesOfOthers)
{
  this->Open([](const EventRequest& aRequest,
                const std::shared_ptr<EventReply>& aReply) {
    aReply->Send(
      200, {}, std::string(aRequest.body.size() > 10 ? 8 * kMegabyte : 1, 'y'));
  });
  for (size_t i = 0; i < 2; ++i) {
    this->clients[i]->Queue(Post(20));
  }
  for (int i = 0; i < 20; ++i) {
    this->StepAll(4096, 1);
  }
  EXPECT_EQ(this->memory->Budget()->Used(),
            2 * (8 * kMegabyte - ByteShare::kUncountedBytes));
  EXPECT_LT(this->FastCall(0, 1).count(), kFastEnough.count());
  {
    SCOPED_TRACE("one is broken off when another response grows");
    ByteShare response(this->memory->Budget());
    EXPECT_TRUE(response.Resize(12 * kMegabyte));
    EXPECT_EQ(this->memory->GivenWay(), 1u);
    for (int i = 0; i < 20; ++i) {
      this->StepAll(0, 1);
    }
    EXPECT_EQ(this->server->Busy(), 1u);
  }
}

// A caller of which no byte comes for a long time must not keep its memory from
// others.
TEST_F(SlowClientsTest, AStalledUploadGivesWayToOthers)
{
  size_t served = 0;
  this->Open([&](const EventRequest& aRequest,
                 const std::shared_ptr<EventReply>& aReply) {
    served += aRequest.body.size();
    aReply->Send(200, {}, "");
  });
  for (size_t i = 0; i < 3; ++i) {
    this->clients[i]->Queue(
      Post(kLargeBody).substr(0, kLargeBody / 2 + 100000));
  }
  for (int i = 0; i < 40; ++i) {
    this->StepAll(kMegabyte, 1);
  }
  SlowClient other(this->io, this->port);
  other.Queue(Post(kLargeBody));
  const TimePoint end = BootNow() + Millis(5000);
  while (other.received.empty() && BootNow() < end) {
    other.Step(kMegabyte, 4096);
    this->StepAll(0, 4096);
  }
  EXPECT_EQ(other.received.substr(0, 12), "HTTP/1.1 200");
  EXPECT_EQ(served, kLargeBody);
  EXPECT_GE(this->faults[InputFault::kNoMemory], 1);
}

} // namespace
} // namespace tanagerseam
