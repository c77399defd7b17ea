// Asks endpoints whose connections broke whether they have crashed. Private to
// this library.
//
//   auto checks = std::make_shared<CrashChecks>(io, [](const auto& aEndpoint) {
//     ...
//   });
//   checks->OnBroken("i-18@1784534043071", { "10.0.0.9", 8080 });
//
// An endpoint that refuses connections soon after one broke has crashed; a
// connection that was reset, or a response that was cut, is no crash. On a busy
// service the next call finds out. On a quiet one the endpoint may be back
// before another call comes to it, so it is asked.
//
// Cost: a connection for each break; breaks of one incarnation within
// kMinInterval share one.
#ifndef TANAGERSEAM_GATEWAY_CRASH_CHECKS_H_
#define TANAGERSEAM_GATEWAY_CRASH_CHECKS_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <restinio/asio_include.hpp>

#include "http/listen_check.h"

namespace tanagerseam {

class CrashChecks : public std::enable_shared_from_this<CrashChecks>
{
public:
  // From the break to the question: a process that ends may close its
  // connections before it stops listening.
  static constexpr Millis kDelay{ 100 };
  static constexpr Millis kTimeout{ 300 };
  static constexpr Millis kMinInterval{ 500 };
  // Incarnations that are asked at once.
  static constexpr size_t kMaxChecks = 256;

  // The incarnation refuses connections.
  using OnDown = std::function<void(const std::string& aIncarnation)>;

  CrashChecks(restinio::asio_ns::io_context& aIo, OnDown aOnDown);

  // A connection to the incarnation broke while a call was in flight on it.
  void OnBroken(const std::string& aIncarnation, const HostPort& aAddress);

private:
  struct Check
  {
    explicit Check(restinio::asio_ns::io_context& aIo)
      : timer(aIo)
    {
    }

    HostPort address;
    restinio::asio_ns::steady_timer timer;
    // The question was sent.
    bool asked = false;
    // Another connection broke after that.
    bool brokeAgain = false;
  };

  void AskAfter(const std::string& aIncarnation, Millis aDelay);
  // Runs a step of the check after aDelay, unless this object has gone.
  void RunAfter(const std::string& aIncarnation,
                Millis aDelay,
                void (CrashChecks::*aStep)(const std::string&));
  void Ask(const std::string& aIncarnation);
  void OnAnswer(const std::string& aIncarnation, ListenState aState);
  // kMinInterval has passed since the last question.
  void OnPauseEnded(const std::string& aIncarnation);

  restinio::asio_ns::io_context& io;
  OnDown onDown;
  // By incarnation, until kMinInterval after the question.
  std::map<std::string, std::unique_ptr<Check>> checks;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_GATEWAY_CRASH_CHECKS_H_
