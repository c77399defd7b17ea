// Tells whether anything still listens at an address.
//
//   CheckListening(io, *ParseHostPort("10.0.0.9:8080"), Millis(300),
//                  [](ListenState aState) { ... });
//
// Opens a connection and closes it at once. A process that has ended refuses
// connections; silence may as well be a lost link.
#ifndef TANAGERSEAM_HTTP_LISTEN_CHECK_H_
#define TANAGERSEAM_HTTP_LISTEN_CHECK_H_

#include <functional>

#include <restinio/asio_include.hpp>

#include "http/host_port.h"
#include "kernel/kernel.h"

namespace tanagerseam {

enum class ListenState
{
  kListening,
  kRefused,
  // Nothing came within the limit, or no connection could be tried.
  kUnknown,
};

std::string_view
NameOf(ListenState aState);

// Calls aDone once, after this function has returned.
void
CheckListening(restinio::asio_ns::io_context& aIo,
               const HostPort& aAddress,
               Millis aTimeout,
               std::function<void(ListenState)> aDone);

} // namespace tanagerseam

#endif // TANAGERSEAM_HTTP_LISTEN_CHECK_H_
