// What can be read from a connection that has no request under way. Private to
// this library.
//
//   if (InputOf(socket) != WaitingInput::kNothing) {
//     EndConnection(socket);
//   }
#ifndef TANAGERSEAM_HTTP_IDLE_CONNECTION_H_
#define TANAGERSEAM_HTTP_IDLE_CONNECTION_H_

namespace tanagerseam {

enum class WaitingInput
{
  kNothing,
  // Bytes that belong to no request of the connection.
  kBytes,
  // The other side closed or reset the connection.
  kEnd,
};

// Does not take the bytes away.
WaitingInput
InputOf(int aSocket);

// Shuts both directions down; whoever owns the socket closes it.
void
EndConnection(int aSocket);

} // namespace tanagerseam

#endif // TANAGERSEAM_HTTP_IDLE_CONNECTION_H_
