// Links between daemons: asks and answers as FlatBuffers in length-prefixed
// frames over TCP.
//
// Usage, answering side:
//
//   PeerServer server("127.0.0.1:7001", { longPool, shortPool },
//     [](const wire::FrameT& aFrame, std::shared_ptr<PeerReply> aReply) {
//       if (const auto* ask = aFrame.ask.AsRateAsk()) {
//         wire::RateAnswerT answer;
//         aReply->Send(std::move(answer), true);
//       }
//     });
//
// Usage, asking side:
//
//   PeerClient client;
//   wire::RateAskT ask;
//   auto answer = client.AskOnce("127.0.0.1:7001", std::move(ask),
//   Millis(500)); if (auto* frame = std::get_if<wire::FrameT>(&answer)) { ... }
//
// One connection for each peer carries any number of asks at once. An answer
// is one or more frames; `last` marks the final one. Frames are checked by the
// library's verifier, a frame above kMaxFrameBytes ends the connection. When a
// connection breaks, every ask on it fails with `sent` true: the peer may have
// handled it. Asking again is safe where the ask carries an identity that the
// owner knows (call number, idempotency key).
//
// Concurrency: sockets belong to one I/O thread of each object; handlers run
// on a pool and may block; PeerReply and PeerStream may be used from any
// thread. Calls and dispatch asks, which last as long as an answer does, have a
// pool of their own, so that however many wait, asks for rates, promises and
// configurations are still answered.
#ifndef TANAGERSEAM_PEER_PEER_H_
#define TANAGERSEAM_PEER_PEER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "kernel/kernel.h"
#include "peer/wire_generated.h"

namespace tanagerseam {

constexpr uint32_t kMaxFrameBytes = 32u << 20;

// Answers one ask.
class PeerReply
{
public:
  virtual ~PeerReply() = default;
  // Sends one frame of the answer. Drops it if the connection has gone.
  virtual void SendFrame(wire::FrameT aFrame) = 0;
  // True once the asking side cancelled or its connection has gone.
  virtual bool Cancelled() const = 0;

  template<typename AnswerT>
  void Send(AnswerT aAnswer, bool aLast)
  {
    wire::FrameT frame;
    frame.answer.Set(std::move(aAnswer));
    frame.last = aLast;
    this->SendFrame(std::move(frame));
  }
};

using PeerHandler =
  std::function<void(const wire::FrameT&, std::shared_ptr<PeerReply>)>;

struct PeerPools
{
  // For CallAsk and DispatchAsk.
  WorkerPool& longAsks;
  // For all others.
  WorkerPool& shortAsks;
};

class PeerServer
{
public:
  // Listens at once; throws std::exception if the address is taken. An ask that
  // its pool has no room for is answered with the refusal "overloaded".
  PeerServer(const std::string& aAddress,
             PeerPools aPools,
             PeerHandler aHandler);
  ~PeerServer();
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

struct PeerFailure
{
  // False: the peer has certainly not seen the ask.
  bool sent = true;
  bool timedOut = false;
  std::string detail;
};

using PeerOutcome = std::variant<wire::FrameT, PeerFailure>;

// The answer to one ask, frame by frame.
class PeerStream
{
public:
  virtual ~PeerStream() = default;
  // Waits for the next frame. A time-out leaves the stream usable.
  virtual PeerOutcome Next(Millis aLimit) = 0;
};

class PeerClient
{
public:
  PeerClient();
  ~PeerClient();
  PeerClient(const PeerClient&) = delete;
  PeerClient& operator=(const PeerClient&) = delete;

  // Sends the ask; connects first if need be. Dropping the stream before its
  // last frame cancels the ask at the peer.
  std::unique_ptr<PeerStream> Open(const std::string& aAddress,
                                   wire::AskUnion aAsk);

  // One ask with an answer of one frame.
  template<typename AskT>
  PeerOutcome AskOnce(const std::string& aAddress, AskT aAsk, Millis aLimit)
  {
    wire::AskUnion ask;
    ask.Set(std::move(aAsk));
    return this->Open(aAddress, std::move(ask))->Next(aLimit);
  }

private:
  struct Impl;
  std::unique_ptr<Impl> impl;
};

// A refusal as it travels between daemons, and back.
wire::RefusalAnswerT
ToWire(const Refusal& aRefusal);
Refusal
FromWire(const wire::RefusalAnswerT& aAnswer);

} // namespace tanagerseam

#endif // TANAGERSEAM_PEER_PEER_H_
