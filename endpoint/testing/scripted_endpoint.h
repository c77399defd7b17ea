// Test endpoints: one with scripted responses that records its requests, and
// one that closes its connections.
#ifndef TANAGERSEAM_ENDPOINT_TESTING_SCRIPTED_ENDPOINT_H_
#define TANAGERSEAM_ENDPOINT_TESTING_SCRIPTED_ENDPOINT_H_

#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "http/http.h"
#include "tests/support/free_port.h"

namespace tanagerseam {

// Answers request N, counted from 0, by step N of the script. The last step
// also answers all later requests.
class ScriptedEndpoint
{
public:
  using Step = std::function<void(const HttpRequest&, HttpReply&)>;

  explicit ScriptedEndpoint(std::vector<Step> aScript)
    : script(std::move(aScript))
  {
    HttpServerSettings settings;
    settings.port = this->port;
    this->server = std::make_unique<HttpServer>(
      settings,
      [this](const HttpRequest& aRequest, std::shared_ptr<HttpReply> aReply) {
        this->NextStep(aRequest)(aRequest, *aReply);
      });
    this->server->Start();
  }
  ~ScriptedEndpoint() { this->server->Stop(); }

  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(this->port);
  }

  std::vector<HttpRequest> Requests()
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->requests;
  }

private:
  Step NextStep(const HttpRequest& aRequest)
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    const size_t step =
      std::min(this->requests.size(), this->script.size() - 1);
    this->requests.push_back(aRequest);
    return this->script[step];
  }

  const uint16_t port = testing_support::FreePort();
  const std::vector<Step> script;
  std::mutex mutex;
  std::vector<HttpRequest> requests;
  std::unique_ptr<HttpServer> server;
};

// What a DisconnectingEndpoint does with a connection after its response.
enum class AfterResponse
{
  // Closes it immediately.
  kClose,
  // Keeps it open, reads one more request and closes without a response.
  kCloseOnNextRequest,
};

// Sends the given bytes for the first request of each connection, then closes
// the connection as given by AfterResponse.
class DisconnectingEndpoint
{
public:
  explicit DisconnectingEndpoint(std::string aBytes,
                                 AfterResponse aAfter = AfterResponse::kClose)
    : bytes(std::move(aBytes))
    , after(aAfter)
    , listener(socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(this->port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int bound = bind(
      this->listener, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    if (bound != 0 || listen(this->listener, 16) != 0) {
      throw std::runtime_error("cannot listen on a loopback port");
    }
    this->acceptor = std::thread([this] { this->Accept(); });
  }
  ~DisconnectingEndpoint()
  {
    shutdown(this->listener, SHUT_RDWR);
    this->acceptor.join();
    for (const int connection : this->connections) {
      shutdown(connection, SHUT_RDWR);
    }
    for (std::thread& thread : this->threads) {
      thread.join();
    }
    for (const int connection : this->connections) {
      close(connection);
    }
    close(this->listener);
  }

  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(this->port);
  }
  int Accepted() const { return this->accepted; }
  // Requests read, over all connections.
  int Received() const { return this->received; }

private:
  void Accept()
  {
    int connection = accept(this->listener, nullptr, nullptr);
    while (connection >= 0) {
      ++this->accepted;
      this->connections.push_back(connection);
      this->threads.emplace_back(
        [this, connection] { this->Serve(connection); });
      connection = accept(this->listener, nullptr, nullptr);
    }
  }

  void Serve(int aConnection)
  {
    if (this->Read(aConnection)) {
      send(aConnection, this->bytes.data(), this->bytes.size(), MSG_NOSIGNAL);
      if (this->after == AfterResponse::kCloseOnNextRequest) {
        this->Read(aConnection);
      }
    }
    shutdown(aConnection, SHUT_RDWR);
  }

  // Assumes that one recv() returns a whole request: the tests' requests are
  // small.
  bool Read(int aConnection)
  {
    char buffer[8192];
    const bool hasData = recv(aConnection, buffer, sizeof(buffer), 0) > 0;
    this->received += hasData ? 1 : 0;
    return hasData;
  }

  const uint16_t port = testing_support::FreePort();
  const std::string bytes;
  const AfterResponse after;
  const int listener;
  std::atomic<int> accepted{ 0 };
  std::atomic<int> received{ 0 };
  // Accessed by the accepting thread alone until it is joined.
  std::vector<int> connections;
  std::vector<std::thread> threads;
  std::thread acceptor;
};

// Names of the request's headers that are not in the allow list.
inline std::vector<std::string>
UnexpectedHeaders(const HttpRequest& aRequest,
                  const std::vector<std::string>& aAllowed)
{
  std::vector<std::string> unexpected;
  for (const auto& header : aRequest.headers) {
    const bool allowed =
      std::any_of(aAllowed.begin(), aAllowed.end(), [&](const auto& aName) {
        return EqualsIgnoringCase(aName, header.first);
      });
    if (!allowed) {
      unexpected.push_back(header.first);
    }
  }
  return unexpected;
}

} // namespace tanagerseam

#endif // TANAGERSEAM_ENDPOINT_TESTING_SCRIPTED_ENDPOINT_H_
