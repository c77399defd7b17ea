// Both ends of raw HTTP for tests: an endpoint that answers bytes as a script
// says, and a client that sends bytes as they are. Both run on the test's loop.
#ifndef TANAGERSEAM_GATEWAY_TESTING_RAW_PEER_H_
#define TANAGERSEAM_GATEWAY_TESTING_RAW_PEER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <restinio/asio_include.hpp>

#include "kernel/kernel.h"

namespace tanagerseam::testing_support {

namespace net = restinio::asio_ns;

// True once an answer has come to its end.
inline bool
IsWhole(const std::string& aAnswer)
{
  const size_t end = aAnswer.find("\r\n\r\n");
  if (end == std::string::npos) {
    return false;
  }
  if (aAnswer.find("chunked") < end) {
    return aAnswer.find("\r\n0\r\n\r\n") != std::string::npos;
  }
  const size_t at = aAnswer.find("Content-Length: ");
  return at < end &&
         aAnswer.size() >= end + 4 + std::stoul(aAnswer.substr(at + 16));
}

// 0 if no answer came.
inline int
StatusOf(const std::string& aAnswer)
{
  return aAnswer.size() < 12 ? 0 : std::stoi(aAnswer.substr(9, 3));
}

// What an endpoint does after it has read a request.
struct RawAction
{
  std::string bytes;
  // More bytes after a pause; empty for none.
  Millis pause{ 0 };
  std::string later;
  bool close = false;
  // The connection is reset and not closed in order.
  bool reset = false;
};

class RawEndpoint
{
public:
  using Script = std::function<RawAction(const std::string& aRequest)>;

  RawEndpoint(net::io_context& aIo, Script aScript)
    : io(aIo)
    , acceptor(aIo, { net::ip::make_address("127.0.0.1"), 0 })
    , script(std::move(aScript))
  {
    this->Accept();
  }

  std::string Address() const
  {
    return "127.0.0.1:" +
           std::to_string(this->acceptor.local_endpoint().port());
  }

  // All requests read, in order.
  std::vector<std::string> requests;
  // Connections that the other side closed before they were answered whole.
  int abandoned = 0;
  int accepted = 0;

private:
  struct Connection
  {
    explicit Connection(net::io_context& aIo)
      : socket(aIo)
      , timer(aIo)
    {
    }
    net::ip::tcp::socket socket;
    net::steady_timer timer;
    std::array<char, 4096> piece{};
    std::string input;
    bool answering = false;
  };
  using Held = std::shared_ptr<Connection>;

  void Accept()
  {
    auto held = std::make_shared<Connection>(this->io);
    this->acceptor.async_accept(held->socket, [this, held](const auto& aError) {
      if (aError) {
        return;
      }
      ++this->accepted;
      this->Read(held);
      this->Accept();
    });
  }

  void Read(const Held& aHeld)
  {
    aHeld->socket.async_read_some(
      net::buffer(aHeld->piece),
      [this, aHeld](const auto& aError, size_t aLength) {
        if (aError) {
          this->abandoned += aHeld->answering ? 1 : 0;
          return;
        }
        aHeld->input.append(aHeld->piece.data(), aLength);
        this->TakeRequests(aHeld);
        this->Read(aHeld);
      });
  }

  static size_t WholeLength(const std::string& aInput)
  {
    const size_t end = aInput.find("\r\n\r\n");
    if (end == std::string::npos) {
      return 0;
    }
    const size_t at = aInput.find("Content-Length: ");
    const size_t body =
      at < end ? std::stoul(aInput.substr(at + 16)) : size_t{ 0 };
    const size_t whole = end + 4 + body;
    return aInput.size() >= whole ? whole : 0;
  }

  void TakeRequests(const Held& aHeld)
  {
    const size_t whole = WholeLength(aHeld->input);
    if (whole == 0) {
      return;
    }
    const std::string request = aHeld->input.substr(0, whole);
    aHeld->input.erase(0, whole);
    this->requests.push_back(request);
    this->Answer(aHeld, this->script(request));
  }

  void Answer(const Held& aHeld, const RawAction& aAction)
  {
    net::error_code ignored;
    net::write(aHeld->socket, net::buffer(aAction.bytes), ignored);
    aHeld->answering = aAction.pause.count() > 0;
    if (!aHeld->answering) {
      this->Finish(aHeld, aAction);
      return;
    }
    aHeld->timer.expires_after(aAction.pause);
    aHeld->timer.async_wait([this, aHeld, aAction](const auto& aError) {
      if (!aError) {
        net::error_code failed;
        net::write(aHeld->socket, net::buffer(aAction.later), failed);
        aHeld->answering = false;
        this->Finish(aHeld, aAction);
      }
    });
  }

  void Finish(const Held& aHeld, const RawAction& aAction)
  {
    net::error_code ignored;
    if (aAction.reset) {
      aHeld->socket.set_option(net::socket_base::linger(true, 0), ignored);
    }
    if (aAction.close || aAction.reset) {
      aHeld->socket.close(ignored);
    }
  }

  net::io_context& io;
  net::ip::tcp::acceptor acceptor;
  Script script;
};

// Sends bytes to a port and collects what comes back.
class RawClient
{
public:
  RawClient(net::io_context& aIo, uint16_t aPort)
    : state(std::make_shared<State>(aIo))
  {
    this->state->socket.connect({ net::ip::make_address("127.0.0.1"), aPort });
    Read(this->state);
  }

  ~RawClient() { this->Close(); }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  void Send(const std::string& aBytes)
  {
    net::error_code ignored;
    net::write(this->state->socket, net::buffer(aBytes), ignored);
  }

  void Close()
  {
    net::error_code ignored;
    this->state->socket.close(ignored);
  }

  const std::string& Received() const { return this->state->received; }
  // The other side closed or reset the connection.
  bool Closed() const { return this->state->closed; }

private:
  // Outlives the client until its last read is cancelled.
  struct State
  {
    explicit State(net::io_context& aIo)
      : socket(aIo)
    {
    }
    net::ip::tcp::socket socket;
    std::array<char, 4096> piece{};
    std::string received;
    bool closed = false;
  };

  static void Read(const std::shared_ptr<State>& aState)
  {
    aState->socket.async_read_some(
      net::buffer(aState->piece), [aState](const auto& aError, size_t aLength) {
        if (aError) {
          aState->closed = true;
          return;
        }
        aState->received.append(aState->piece.data(), aLength);
        Read(aState);
      });
  }

  std::shared_ptr<State> state;
};

} // namespace tanagerseam::testing_support

#endif // TANAGERSEAM_GATEWAY_TESTING_RAW_PEER_H_
