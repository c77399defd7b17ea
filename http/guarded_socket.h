// A socket for RESTinio that answers a broken request before it is closed.
//
// RESTinio closes a connection without an answer when the parser fails, when a
// limit is passed or when the request is not whole in time. It lets the server
// choose the classes of its sockets and of its logger, and all steps of one
// close run one after the other on one I/O thread:
//
//   1. the logger's error() gets the reason; FaultLogger notes it for this
//      thread. A read timeout has no error message;
//   2. RESTinio calls shutdown() on the socket; GuardedSocket takes the noted
//      fault and sends the answer. Without a note the fault is a timeout if
//      bytes of a request have come;
//   3. RESTinio calls close(); the connection lingers until the caller has read
//      the answer, so that a reset does not destroy it. So does a connection
//      that ends with a whole answer.
//
// Invariant: an answer is sent only while no request of the connection is being
// handled or answered. It rests on two facts: RESTinio, with one pipelined
// request, reads on only after the answer before, if no answer is given within
// its request handler; and `partial` is cleared when a request is taken and
// when an answer is written.
//
// A request that arrives counts in the thread's HeldMemory. While that has no
// room, the socket reads nothing, so that the caller's window closes; after
// kMaxReadPause the largest requests give way and are answered with kNoMemory.
//
// Cost: one flag for each connection; a lingering connection holds one buffer
// of kLingerBuffer for at most kLingerTime, and at most kMaxLingering do.
#ifndef TANAGERSEAM_HTTP_GUARDED_SOCKET_H_
#define TANAGERSEAM_HTTP_GUARDED_SOCKET_H_

#include <restinio/all.hpp>

#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "http/held_memory.h"
#include "http/input_fault.h"

namespace tanagerseam {

class GuardedSocket;

// What the I/O thread that runs now knows about the connection it works on.
struct IoThreadNotes
{
  const FaultAnswer* answer = nullptr;
  // Null: what is read is not counted.
  std::shared_ptr<HeldMemory> memory;
  InputFault fault = InputFault::kNone;
  // A whole request was handed to its handler.
  bool requestTaken = false;
  // The connection whose callback runs; null outside of one.
  GuardedSocket* socket = nullptr;
};

// Tells that a caller left while its request is being handled, when RESTinio
// does not read; and breaks a connection off. Used on the connection's I/O
// thread only. Outlives the socket.
class ConnectionWatch : public std::enable_shared_from_this<ConnectionWatch>
{
public:
  explicit ConnectionWatch(GuardedSocket& aSocket)
    : socket(&aSocket)
  {
  }
  // Calls aOnGone once if the caller closes or resets the connection. Bytes
  // sent ahead hide a close that follows them until a write fails.
  void Begin(std::function<void()> aOnGone);
  void End();
  // Refuses the request that is being read.
  void GiveWay();
  // Ends the connection: the caller sees that its answer is not whole.
  void Break();
  // The socket is about to be closed, which ends the waits: the caller of an
  // answer under way counts as gone.
  void OnClose();
  void Forget() { this->socket = nullptr; }

private:
  void Wait(uint64_t aTurn);
  void Resume(uint64_t aTurn);
  void Look(uint64_t aTurn);
  void Tell();

  GuardedSocket* socket;
  std::function<void()> onGone;
  // Increases with each Begin and End; older waits are void.
  uint64_t turn = 0;
};

IoThreadNotes&
ThisIoThread();

// Notes why RESTinio is about to close a connection; logs nothing.
class FaultLogger
{
public:
  // RESTinio gives these names.
  // NOLINTBEGIN(readability-identifier-naming)
  template<typename MessageBuilder>
  void trace(MessageBuilder&& /*aBuilder*/) const noexcept
  {
  }
  template<typename MessageBuilder>
  void info(MessageBuilder&& /*aBuilder*/) const noexcept
  {
  }
  template<typename MessageBuilder>
  void warn(MessageBuilder&& /*aBuilder*/) const noexcept
  {
  }
  template<typename MessageBuilder>
  void error(MessageBuilder&& aBuilder) const
  {
    ThisIoThread().fault = FaultOfMessage(aBuilder());
  }
  // NOLINTEND(readability-identifier-naming)
};

class GuardedSocket : public restinio::asio_ns::ip::tcp::socket
{
public:
  using Base = restinio::asio_ns::ip::tcp::socket;
  using Error = restinio::asio_ns::error_code;

  // RESTinio keeps the body that it has read beside the one that is handed on.
  static constexpr size_t kCopiesOfBody = 2;
  static constexpr std::chrono::milliseconds kMaxReadPause{ 500 };

  explicit GuardedSocket(restinio::asio_ns::io_context& aIo)
    : Base(aIo)
  {
  }
  GuardedSocket(GuardedSocket&&) = default;
  GuardedSocket& operator=(GuardedSocket&&) = default;
  ~GuardedSocket()
  {
    if (this->watch) {
      this->watch->Forget();
    }
  }

  // RESTinio gives these names.
  // NOLINTBEGIN(readability-identifier-naming)
  template<typename Buffers, typename Handler>
  void async_read_some(const Buffers& aBuffers, Handler&& aHandler)
  {
    this->lastWasWrite = false;
    if (!this->TakeRoom(restinio::asio_ns::buffer_size(aBuffers))) {
      this->WaitForRoom([this,
                         aBuffers,
                         waiting = std::make_shared<std::decay_t<Handler>>(
                           std::forward<Handler>(aHandler))] {
        this->async_read_some(aBuffers, std::move(*waiting));
      });
      return;
    }
    auto executor = restinio::asio_ns::get_associated_executor(aHandler);
    auto guarded = [this, handler = std::forward<Handler>(aHandler)](
                     const Error& aError, size_t aLength) mutable {
      ThisIoThread().requestTaken = false;
      ThisIoThread().socket = this;
      this->partial = this->partial || aLength > 0;
      this->received += aLength;
      // RESTinio would keep the connection after a cancelled read.
      const Error error =
        this->gaveWay ? Error(restinio::asio_ns::error::connection_aborted)
                      : aError;
      // The handler may destroy this socket unless it handed a request on.
      handler(error, aLength);
      ThisIoThread().socket = nullptr;
      if (ThisIoThread().requestTaken) {
        this->partial = false;
        this->received = 0;
      }
    };
    Base::async_read_some(
      aBuffers, restinio::asio_ns::bind_executor(executor, std::move(guarded)));
  }

  template<typename Buffers, typename Handler>
  auto async_write_some(const Buffers& aBuffers, Handler&& aHandler)
  {
    this->partial = false;
    this->lastWasWrite = true;
    auto executor = restinio::asio_ns::get_associated_executor(aHandler);
    // A request that was sent ahead is handed on once the answer before it has
    // been written.
    auto guarded = [this, handler = std::forward<Handler>(aHandler)](
                     const Error& aError, size_t aLength) mutable {
      ThisIoThread().socket = this;
      handler(aError, aLength);
      ThisIoThread().socket = nullptr;
    };
    return Base::async_write_some(
      aBuffers, restinio::asio_ns::bind_executor(executor, std::move(guarded)));
  }

  void shutdown(shutdown_type aHow, Error& aError);
  void close();
  // NOLINTEND(readability-identifier-naming)

  // Fails all writes from now on. What was written before still reaches the
  // caller.
  void EndWriting();

  // Refuses the request that is being read and closes the connection.
  void GiveWay();
  // What the request that was read last counts; null if that is nothing.
  std::shared_ptr<HeldBytes> TakeUpload();

  // The watch over this connection; made at the first call, after RESTinio has
  // moved the socket to its place.
  std::shared_ptr<ConnectionWatch> Watch();

private:
  // False if there is no room to read aBytes more of a request.
  bool TakeRoom(size_t aBytes);
  // Calls aRead again after a short pause.
  void WaitForRoom(std::function<void()> aRead);

  // Bytes have come that belong to no request handed on yet.
  bool partial = false;
  // No request is being read: the connection ends with the answer written.
  bool lastWasWrite = false;
  // The caller has to read what was sent last.
  bool answered = false;
  // The request being read is refused to free its memory.
  bool gaveWay = false;
  // Bytes of the request being read.
  size_t received = 0;
  std::shared_ptr<HeldBytes> upload;
  // When reading was paused; the epoch while it is not.
  std::chrono::steady_clock::time_point pausedAt;
  std::shared_ptr<ConnectionWatch> watch;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_HTTP_GUARDED_SOCKET_H_
