// A server that relays the streams of another one, while clients leave at any
// moment: each client that stays gets the bytes of its own response alone.
#include <gtest/gtest.h>

#include <cstdlib>
#include <random>

#include "http/event_client.h"
#include "http/event_server.h"
#include "tests/support/free_port.h"

namespace tanagerseam {
namespace {

namespace net = restinio::asio_ns;

constexpr char kIdHeader[] = "X-Request-Id";
constexpr char kLastChunk[] = "\r\n0\r\n\r\n";
constexpr size_t kClients = 200;
constexpr Millis kRunTime{ 8000 };
// Longest times of what is drawn.
constexpr int64_t kEventGapMillis = 12;
constexpr int64_t kLeaveMillis = 30;
constexpr int64_t kReturnMillis = 20;
constexpr int64_t kThinkMillis = 3;
// Of the calls, each tenth is left.
constexpr int64_t kCallsPerLeave = 10;

int64_t
Draw(std::mt19937_64& aRandom, int64_t aBound)
{
  return std::uniform_int_distribution<int64_t>(0, aBound - 1)(aRandom);
}

std::string
EventOf(const std::string& aId, int aNumber)
{
  const std::string number = std::to_string(aNumber);
  return "id: " + number + "\ndata: " + aId + "-" + number + "\n\n";
}

std::string
IdOf(const EventRequest& aRequest)
{
  return FirstHeader(aRequest.headers, kIdHeader).value_or("");
}

// The text of a whole body in chunks; nothing if it has bytes of another form.
std::optional<std::string>
DecodeChunks(const std::string& aBody)
{
  std::string text;
  size_t at = 0;
  while (aBody.substr(at) != "0\r\n\r\n") {
    char* end = nullptr;
    const size_t length = std::strtoul(aBody.c_str() + at, &end, 16);
    const auto lineEnd = static_cast<size_t>(end - aBody.c_str());
    if (length == 0 || aBody.compare(lineEnd, 2, "\r\n") != 0 ||
        lineEnd + 2 + length + 2 > aBody.size()) {
      return std::nullopt;
    }
    text += aBody.substr(lineEnd + 2, length);
    at = lineEnd + 2 + length + 2;
  }
  return text;
}

// Sends one call after another, and leaves some of them.
class LeavingClient : public std::enable_shared_from_this<LeavingClient>
{
public:
  LeavingClient(net::io_context& aIo,
                uint16_t aPort,
                size_t aNumber,
                std::mt19937_64& aRandom)
    : port(aPort)
    , name(std::to_string(aNumber))
    , random(aRandom)
    , socket(aIo)
    , timer(aIo)
  {
  }

  void Connect()
  {
    ++this->connection;
    this->socket = net::ip::tcp::socket(this->timer.get_executor());
    this->socket.connect({ net::ip::make_address("127.0.0.1"), this->port });
    this->Ask();
    this->Read();
  }

  int whole = 0;
  // Whole responses that are not the call's own.
  std::vector<std::string> wrong;

private:
  // Calls aThen unless the client has connected anew, or is asked again.
  void After(int64_t aMillis, void (LeavingClient::*aThen)())
  {
    this->timer.expires_after(Millis(aMillis));
    this->timer.async_wait(
      [self = this->shared_from_this(), aThen](const auto& aError) {
        if (!aError) {
          (*self.*aThen)();
        }
      });
  }

  void Ask()
  {
    this->id = this->name + "-" + std::to_string(++this->calls);
    this->received.clear();
    net::error_code ignored;
    net::write(this->socket,
               net::buffer("POST /ask HTTP/1.1\r\nHost: h\r\nX-Request-Id: " +
                           this->id + "\r\nContent-Length: 5\r\n\r\nhello"),
               ignored);
    if (Draw(this->random, kCallsPerLeave) == 0) {
      this->After(Draw(this->random, kLeaveMillis), &LeavingClient::Leave);
    }
  }

  void Leave()
  {
    net::error_code ignored;
    this->socket.close(ignored);
    this->After(Draw(this->random, kReturnMillis), &LeavingClient::Connect);
  }

  void Read()
  {
    this->socket.async_read_some(
      net::buffer(this->buffer),
      [self = this->shared_from_this(),
       number = this->connection](const auto& aError, size_t aLength) {
        if (number != self->connection ||
            aError == net::error::operation_aborted) {
          return;
        }
        if (aError) {
          self->Leave();
          return;
        }
        self->received.append(self->buffer.data(), aLength);
        self->CheckResponse();
        self->Read();
      });
  }

  void CheckResponse()
  {
    const size_t head = this->received.find("\r\n\r\n");
    if (this->received.find(kLastChunk) == std::string::npos) {
      return;
    }
    ++this->whole;
    const std::string expected = EventOf(this->id, 1) + EventOf(this->id, 2);
    if (DecodeChunks(this->received.substr(head + 4)) != expected) {
      this->wrong.push_back(this->id + " got " + this->received);
    }
    this->After(Draw(this->random, kThinkMillis), &LeavingClient::Ask);
  }

  const uint16_t port;
  const std::string name;
  std::mt19937_64& random;
  net::ip::tcp::socket socket;
  // Of what the client does next.
  net::steady_timer timer;
  std::array<char, 4096> buffer{};
  std::string received;
  std::string id;
  int calls = 0;
  int connection = 0;
};

class RelayWhoseClientsLeave : public ::testing::Test
{
protected:
  std::unique_ptr<EventServer> Serve(uint16_t aPort, EventHandler aHandler)
  {
    EventServerSettings settings;
    settings.port = aPort;
    auto server =
      std::make_unique<EventServer>(this->io, settings, std::move(aHandler));
    server->Open();
    return server;
  }

  // Two events, the second one a little later.
  void Stream(const EventRequest& aRequest,
              const std::shared_ptr<EventReply>& aReply)
  {
    const std::string id = IdOf(aRequest);
    const auto timer = std::make_shared<net::steady_timer>(this->io);
    aReply->OnGone([aReply] { aReply->Break(); });
    aReply->Begin(200, { { kIdHeader, id } });
    aReply->Write(EventOf(id, 1));
    timer->expires_after(Millis(Draw(this->random, kEventGapMillis)));
    timer->async_wait([timer, aReply, id](const auto&) {
      aReply->Write(EventOf(id, 2));
      aReply->End();
    });
  }

  void Relay(const EventRequest& aRequest,
             const std::shared_ptr<EventReply>& aReply)
  {
    const auto call = std::make_shared<EventClient::CallId>(0);
    aReply->OnGone([this, aReply, call] {
      this->client.Cancel(*call);
      aReply->Break();
    });
    EventCall out;
    out.method = "POST";
    out.url = "http://127.0.0.1:" + std::to_string(this->streamPort);
    out.target = "/ask";
    out.headers = { { kIdHeader, IdOf(aRequest) } };
    out.correlationHeader = kIdHeader;
    out.body = "hello";
    out.ownConnection = Draw(this->random, 2) == 0;
    EventHandlers handlers;
    handlers.onHeaders = [aReply](int aStatus, const HttpHeaders& aHeaders) {
      aReply->Begin(aStatus, aHeaders);
      return true;
    };
    handlers.onData = [aReply](std::string_view aPiece) {
      aReply->Write(std::string(aPiece));
      return true;
    };
    handlers.onDone = [aReply](const EventOutcome& aOutcome) {
      if (aOutcome.error == EventError::kNone) {
        aReply->End();
      } else {
        aReply->Break();
      }
    };
    *call = this->client.Start(std::move(out), std::move(handlers));
  }

  net::io_context io{ 1 };
  std::mt19937_64 random{ 2 };
  EventClient client{ io, {} };
  const uint16_t streamPort = testing_support::FreePort();
  const uint16_t relayPort = testing_support::FreePort();
};

// Guards against bytes of one connection on another: libcurl closed a socket
// that was still connecting without a word, its number went to a client's
// connection, and a request to the other server was written to that client.
TEST_F(RelayWhoseClientsLeave, KeepsTheirConnectionsApart)
{
  const auto streams = this->Serve(
    this->streamPort, [this](const EventRequest& aRequest, auto aReply) {
      this->Stream(aRequest, aReply);
    });
  const auto relay = this->Serve(
    this->relayPort, [this](const EventRequest& aRequest, auto aReply) {
      this->Relay(aRequest, aReply);
    });
  // The servers listen once the loop has run.
  this->io.run_for(Millis(50));
  std::vector<std::shared_ptr<LeavingClient>> clients;
  for (size_t i = 0; i < kClients; ++i) {
    clients.push_back(std::make_shared<LeavingClient>(
      this->io, this->relayPort, i, this->random));
    clients.back()->Connect();
  }
  this->io.run_for(kRunTime);
  int whole = 0;
  for (const auto& one : clients) {
    whole += one->whole;
    for (const std::string& wrong : one->wrong) {
      ADD_FAILURE() << wrong;
    }
  }
  EXPECT_GT(whole, 0);
  std::printf("%d whole responses\n", whole);
}

} // namespace
} // namespace tanagerseam
