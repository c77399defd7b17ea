#include "http/idle_connection.h"

#include <sys/socket.h>

#include <cerrno>

namespace tanagerseam {

WaitingInput
InputOf(int aSocket)
{
  char byte = 0;
  const ssize_t got =
    ::recv(aSocket, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
  if (got > 0) {
    return WaitingInput::kBytes;
  }
  const bool nothing = got < 0 && (errno == EAGAIN || errno == EINTR);
  return nothing ? WaitingInput::kNothing : WaitingInput::kEnd;
}

void
EndConnection(int aSocket)
{
  ::shutdown(aSocket, SHUT_RDWR);
}

} // namespace tanagerseam
