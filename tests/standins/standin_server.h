// Shared by the HTTP stand-ins: a server that runs until a signal, JSON
// responses, and requests held without a response.
#ifndef TANAGERSEAM_TESTS_STANDINS_STANDIN_SERVER_H_
#define TANAGERSEAM_TESTS_STANDINS_STANDIN_SERVER_H_

#include <signal.h>
#include <unistd.h>

#include <cstdint>
#include <cstdio>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "http/http.h"

namespace tanagerseam::standin {

// Maximum time that a request is held without a response.
constexpr Millis kHoldLimit(120000);
constexpr size_t kMaxWorkers = 1024;
constexpr size_t kMaxBodyBytes = 64u << 20;

// Serializes aJson; invalid UTF-8 is replaced.
inline std::string
Dump(const nlohmann::json& aJson)
{
  return aJson.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

inline void
SendJson(HttpReply& aReply, int aStatus, const nlohmann::json& aJson)
{
  aReply.Send(aStatus, { { "Content-Type", "application/json" } }, Dump(aJson));
}

inline void
SendError(HttpReply& aReply, int aStatus, const std::string& aMessage)
{
  SendJson(aReply, aStatus, { { "error", aMessage } });
}

// nullopt if the body is not a JSON object.
inline std::optional<nlohmann::json>
ParseObject(const std::string& aBody)
{
  auto json = nlohmann::json::parse(aBody, nullptr, false);
  if (!json.is_object()) {
    return std::nullopt;
  }
  return json;
}

// Requests held without a response. Each occupies a connection but no thread;
// the server closes the connection after kHoldLimit.
class HeldReplies
{
public:
  void Hold(std::shared_ptr<HttpReply> aReply)
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->held.push_back(std::move(aReply));
  }

  // Responds 504 to all held requests.
  void Release()
  {
    std::vector<std::shared_ptr<HttpReply>> released;
    {
      std::lock_guard<std::mutex> lock(this->mutex);
      released.swap(this->held);
    }
    for (const auto& reply : released) {
      SendError(*reply, 504, "held by a fault until /control");
    }
  }

private:
  std::mutex mutex;
  std::vector<std::shared_ptr<HttpReply>> held;
};

// Blocks SIGTERM and SIGINT, so that only sigwait receives them, and returns
// the set. Call before starting threads, which inherit the mask.
inline sigset_t
BlockStopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

// Serves until SIGTERM or SIGINT, then exits the process without cleanup: a
// stand-in has no work to finish, and held requests must not delay a test.
inline void
ServeUntilSignal(const std::string& aAddress,
                 uint16_t aPort,
                 const HttpHandler& aHandler)
{
  const sigset_t signals = BlockStopSignals();
  signal(SIGPIPE, SIG_IGN);

  HttpServerSettings settings;
  settings.address = aAddress;
  settings.port = aPort;
  settings.maxWorkers = kMaxWorkers;
  settings.maxBodyBytes = kMaxBodyBytes;
  settings.handleTimeout = kHoldLimit;
  HttpServer server(settings,
                    [&aHandler](const HttpRequest& aRequest,
                                const std::shared_ptr<HttpReply>& aReply) {
                      try {
                        aHandler(aRequest, aReply);
                      } catch (const nlohmann::json::exception& error) {
                        SendError(*aReply, 400, error.what());
                      }
                    });
  server.Start();
  int received = 0;
  sigwait(&signals, &received);
  fflush(nullptr);
  _exit(0);
}

} // namespace tanagerseam::standin

#endif // TANAGERSEAM_TESTS_STANDINS_STANDIN_SERVER_H_
