// Serves HTTP on a loopback port, each connection on a thread of its own.
#ifndef TANAGERSEAM_REVIEW_SUPPORT_LISTENER_THREADS_H_
#define TANAGERSEAM_REVIEW_SUPPORT_LISTENER_THREADS_H_

#include <atomic>
#include <functional>
#include <thread>
#include <utility>
#include <vector>

#include "review/support/http.h"

namespace review {

// Answers one request. False: the connection ends.
using Handler = std::function<bool(const Request& aRequest, Socket& aSocket)>;

// Connections are served until the process ends, so a HttpStandin lives as
// long.
class HttpStandin
{
public:
  explicit HttpStandin(Handler aHandler)
    : handler(std::move(aHandler))
  {
    std::thread([this] { this->AcceptAll(); }).detach();
  }

  uint16_t Port() const { return this->listener.Port(); }
  // Accepts no further connections.
  void StopListening()
  {
    this->stopped = true;
    this->listener.Shutdown();
  }
  // Ends all idle connections and each other one after its answer.
  void CloseIdle() { this->closing = true; }

private:
  void AcceptAll()
  {
    while (!this->stopped) {
      const int handle = this->listener.Accept();
      if (handle >= 0) {
        std::thread([this, handle] { this->Serve(handle); }).detach();
      }
    }
  }

  void Serve(int aHandle)
  {
    constexpr Millis kLook(200);
    Socket socket(aHandle);
    while (!this->closing) {
      // Looks for the end of the stand-in between requests.
      if (!socket.Waits() && !socket.Fill(Clock::now() + kLook)) {
        if (socket.Ended()) {
          return;
        }
        continue;
      }
      Request request;
      constexpr std::chrono::seconds kReadTime(10);
      if (!ReadRequest(socket, request, Clock::now() + kReadTime) ||
          !this->handler(request, socket)) {
        return;
      }
    }
  }

  Handler handler;
  Listener listener;
  std::atomic<bool> stopped{ false };
  std::atomic<bool> closing{ false };
};

} // namespace review

#endif // TANAGERSEAM_REVIEW_SUPPORT_LISTENER_THREADS_H_
