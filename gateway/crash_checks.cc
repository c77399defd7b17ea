#include "gateway/crash_checks.h"

namespace tanagerseam {

CrashChecks::CrashChecks(restinio::asio_ns::io_context& aIo, OnDown aOnDown)
  : io(aIo)
  , onDown(std::move(aOnDown))
{
}

void
CrashChecks::OnBroken(const std::string& aIncarnation, const HostPort& aAddress)
{
  const auto known = this->checks.find(aIncarnation);
  if (known != this->checks.end()) {
    Check& check = *known->second;
    check.brokeAgain = check.brokeAgain || check.asked;
    return;
  }
  if (this->checks.size() >= kMaxChecks) {
    LogWarn("crash_check_left_out", { { "endpoint", aIncarnation } });
    return;
  }
  auto check = std::make_unique<Check>(this->io);
  check->address = aAddress;
  this->checks[aIncarnation] = std::move(check);
  this->AskAfter(aIncarnation, kDelay);
}

void
CrashChecks::AskAfter(const std::string& aIncarnation, Millis aDelay)
{
  Check& check = *this->checks.at(aIncarnation);
  check.asked = false;
  check.brokeAgain = false;
  this->RunAfter(aIncarnation, aDelay, &CrashChecks::Ask);
}

void
CrashChecks::RunAfter(const std::string& aIncarnation,
                      Millis aDelay,
                      void (CrashChecks::*aStep)(const std::string&))
{
  restinio::asio_ns::steady_timer& timer = this->checks.at(aIncarnation)->timer;
  timer.expires_after(aDelay);
  timer.async_wait(
    [weak = this->weak_from_this(), aIncarnation, aStep](const auto& aError) {
      const auto self = weak.lock();
      if (!aError && self) {
        ((*self).*aStep)(aIncarnation);
      }
    });
}

void
CrashChecks::Ask(const std::string& aIncarnation)
{
  Check& check = *this->checks.at(aIncarnation);
  check.asked = true;
  CheckListening(
    this->io,
    check.address,
    kTimeout,
    [weak = this->weak_from_this(), aIncarnation](ListenState aState) {
      if (const auto self = weak.lock()) {
        self->OnAnswer(aIncarnation, aState);
      }
    });
}

void
CrashChecks::OnAnswer(const std::string& aIncarnation, ListenState aState)
{
  LogInfo("crash_check",
          { { "endpoint", aIncarnation },
            { "endpoint_is", std::string(NameOf(aState)) } });
  if (aState == ListenState::kRefused) {
    this->onDown(aIncarnation);
  }
  this->RunAfter(aIncarnation, kMinInterval, &CrashChecks::OnPauseEnded);
}

void
CrashChecks::OnPauseEnded(const std::string& aIncarnation)
{
  if (this->checks.at(aIncarnation)->brokeAgain) {
    this->AskAfter(aIncarnation, Millis(0));
  } else {
    this->checks.erase(aIncarnation);
  }
}

} // namespace tanagerseam
