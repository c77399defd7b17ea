#include "http/listen_check.h"

namespace tanagerseam {

namespace {

namespace asio = restinio::asio_ns;

struct StateName
{
  ListenState state;
  std::string_view name;
};

constexpr StateName kStateNames[] = {
  { ListenState::kListening, "listening" },
  { ListenState::kRefused, "refused" },
  { ListenState::kUnknown, "unknown" },
};

struct Check
{
  explicit Check(asio::io_context& aIo)
    : socket(aIo)
    , timer(aIo)
  {
  }

  void Finish(ListenState aState)
  {
    if (!this->done) {
      return;
    }
    const auto callback = std::move(this->done);
    this->done = nullptr;
    this->timer.cancel();
    asio::error_code ignored;
    this->socket.close(ignored);
    callback(aState);
  }

  asio::ip::tcp::socket socket;
  asio::steady_timer timer;
  // Null once it was called.
  std::function<void(ListenState)> done;
};

ListenState
StateOf(const asio::error_code& aError)
{
  if (!aError) {
    return ListenState::kListening;
  }
  return aError == asio::error::connection_refused ? ListenState::kRefused
                                                   : ListenState::kUnknown;
}

} // namespace

std::string_view
NameOf(ListenState aState)
{
  for (const StateName& row : kStateNames) {
    if (row.state == aState) {
      return row.name;
    }
  }
  return "";
}

void
CheckListening(asio::io_context& aIo,
               const HostPort& aAddress,
               Millis aTimeout,
               std::function<void(ListenState)> aDone)
{
  const auto check = std::make_shared<Check>(aIo);
  check->done = std::move(aDone);
  asio::error_code invalid;
  const auto ip = asio::ip::make_address(aAddress.ip, invalid);
  if (invalid) {
    asio::post(aIo, [check] { check->Finish(ListenState::kUnknown); });
    return;
  }
  check->timer.expires_after(aTimeout);
  check->timer.async_wait([check](const auto& aError) {
    if (!aError) {
      check->Finish(ListenState::kUnknown);
    }
  });
  check->socket.async_connect(
    { ip, aAddress.port },
    [check](const auto& aError) { check->Finish(StateOf(aError)); });
}

} // namespace tanagerseam
