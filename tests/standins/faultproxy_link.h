// One link of the fault proxy: a listening port, a target, the proxied
// connections and the fault injected into all of them.
//
// Runs on the single thread of the io_context, without locks.
// Invariant: bytes of one direction are never reordered, and no bytes are
// forwarded after dropped ones.
#ifndef TANAGERSEAM_TESTS_STANDINS_FAULTPROXY_LINK_H_
#define TANAGERSEAM_TESTS_STANDINS_FAULTPROXY_LINK_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <asio.hpp>

#include "tests/standins/faultproxy_fault.h"

namespace tanagerseam::standin {

struct LinkStats
{
  int64_t accepted = 0;
  int64_t closedByFault = 0;
  int64_t bytesUp = 0;
  int64_t bytesDown = 0;
  int64_t bytesDropped = 0;
};

struct LinkSettings
{
  std::string name;
  asio::ip::tcp::endpoint listen;
  asio::ip::tcp::endpoint target;
};

class Session;

class Link
{
public:
  // Throws std::system_error if the port is taken.
  Link(asio::io_context& aIo, LinkSettings aSettings);
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  void SetFault(const Fault& aFault);
  const Fault& ActiveFault() const { return this->fault; }
  const LinkSettings& Settings() const { return this->settings; }
  LinkStats& Stats() { return this->stats; }
  size_t OpenSessions() const { return this->sessions.size(); }
  // Random delay for the next chunk.
  Millis DrawDelay();
  void RemoveSession(const std::shared_ptr<Session>& aSession);

private:
  // Binds the port; connections are refused until Listen.
  void Bind();
  void Listen();
  void Accept();
  void CloseSessions(bool aOnlyUnrecoverable);

  asio::io_context& io;
  const LinkSettings settings;
  asio::ip::tcp::acceptor acceptor;
  // Incremented when the port is closed, to discard accepts started before.
  int generation = 0;
  Fault fault;
  std::mt19937_64 random{ 1 };
  std::set<std::shared_ptr<Session>> sessions;
  LinkStats stats;
};

// One direction of a session.
struct Pipe
{
  struct Chunk
  {
    TimePoint due;
    std::vector<char> bytes;
  };

  Pipe(asio::io_context& aIo,
       Direction aDirection,
       asio::ip::tcp::socket& aFrom,
       asio::ip::tcp::socket& aTo)
    : direction(aDirection)
    , from(aFrom)
    , to(aTo)
    , timer(aIo)
  {
  }

  const Direction direction;
  asio::ip::tcp::socket& from;
  asio::ip::tcp::socket& to;
  asio::steady_timer timer;
  std::vector<char> buffer;
  std::deque<Chunk> queue;
  size_t queuedBytes = 0;
  bool reading = false;
  bool writing = false;
  // EOF was read from the source; it is forwarded after the queue.
  bool ended = false;
  bool endForwarded = false;
};

// One connection through a link.
class Session : public std::enable_shared_from_this<Session>
{
public:
  Session(asio::io_context& aIo, Link& aLink, asio::ip::tcp::socket aClient);

  // Connects to the target, unless the fault is kHalfOpen.
  void Start();
  // Restarts reads and writes after connecting or a change of the fault.
  void Resume();
  void Close();
  // True if the session must be closed when the fault ends: bytes were dropped
  // or it never connected to the target.
  bool Unrecoverable() const { return this->droppedBytes || !this->hasTarget; }

private:
  void Read(Pipe& aPipe);
  void OnRead(Pipe& aPipe, const asio::error_code& aError, size_t aBytes);
  void Write(Pipe& aPipe);
  void WriteChunk(Pipe& aPipe);
  void ForwardEnd(Pipe& aPipe);
  void DiscardQueue(Pipe& aPipe);

  Link& link;
  asio::ip::tcp::socket client;
  asio::ip::tcp::socket target;
  Pipe up;
  Pipe down;
  bool hasTarget = false;
  bool connected = false;
  bool droppedBytes = false;
  bool closed = false;
};

} // namespace tanagerseam::standin

#endif // TANAGERSEAM_TESTS_STANDINS_FAULTPROXY_LINK_H_
