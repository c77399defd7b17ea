#include "tests/standins/faultproxy_link.h"

#include <utility>

namespace tanagerseam::standin {

namespace {

constexpr size_t kMaxReadBytes = 64u << 10;
// Queued bytes of one direction above which reading stops.
constexpr size_t kMaxQueuedBytes = 4u << 20;

} // namespace

Link::Link(asio::io_context& aIo, LinkSettings aSettings)
  : io(aIo)
  , settings(std::move(aSettings))
  , acceptor(aIo)
{
  this->Bind();
  this->Listen();
}

void
Link::Bind()
{
  this->acceptor = asio::ip::tcp::acceptor(this->io);
  this->acceptor.open(this->settings.listen.protocol());
  this->acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
  this->acceptor.bind(this->settings.listen);
}

void
Link::Listen()
{
  this->acceptor.listen();
  this->Accept();
}

void
Link::Accept()
{
  this->acceptor.async_accept(
    [this, current = this->generation](const asio::error_code& aError,
                                       asio::ip::tcp::socket aSocket) {
      // Discards accepts of a closed port, also those that succeeded just
      // before.
      if (current != this->generation) {
        return;
      }
      if (!aError) {
        ++this->stats.accepted;
        auto session =
          std::make_shared<Session>(this->io, *this, std::move(aSocket));
        this->sessions.insert(session);
        session->Start();
      }
      this->Accept();
    });
}

void
Link::SetFault(const Fault& aFault)
{
  const bool wasCut = this->fault.kind == FaultKind::kCut;
  const bool cut = aFault.kind == FaultKind::kCut;
  this->fault = aFault;
  this->random.seed(aFault.seed);
  this->CloseSessions(!cut);
  if (cut && !wasCut) {
    // A port that is bound but not listening refuses connections, and no other
    // process can bind it.
    ++this->generation;
    this->acceptor.close();
    this->Bind();
  } else if (wasCut && !cut) {
    this->Listen();
  }
  const auto open = this->sessions;
  for (const auto& session : open) {
    session->Resume();
  }
}

void
Link::CloseSessions(bool aOnlyUnrecoverable)
{
  const auto open = this->sessions;
  for (const auto& session : open) {
    if (!aOnlyUnrecoverable || session->Unrecoverable()) {
      ++this->stats.closedByFault;
      session->Close();
    }
  }
}

Millis
Link::DrawDelay()
{
  if (this->fault.kind != FaultKind::kDelay) {
    return Millis(0);
  }
  std::uniform_int_distribution<int64_t> jitter(0, this->fault.jitter.count());
  return this->fault.delay + Millis(jitter(this->random));
}

void
Link::RemoveSession(const std::shared_ptr<Session>& aSession)
{
  this->sessions.erase(aSession);
}

Session::Session(asio::io_context& aIo,
                 Link& aLink,
                 asio::ip::tcp::socket aClient)
  : link(aLink)
  , client(std::move(aClient))
  , target(aIo)
  , up(aIo, Direction::kUp, this->client, this->target)
  , down(aIo, Direction::kDown, this->target, this->client)
{
}

void
Session::Start()
{
  asio::error_code ignored;
  this->client.set_option(asio::ip::tcp::no_delay(true), ignored);
  if (this->link.ActiveFault().kind == FaultKind::kHalfOpen) {
    return;
  }
  this->hasTarget = true;
  this->target.async_connect(
    this->link.Settings().target,
    [self = this->shared_from_this()](const asio::error_code& aError) {
      if (aError) {
        self->Close();
        return;
      }
      asio::error_code ignored;
      self->target.set_option(asio::ip::tcp::no_delay(true), ignored);
      self->connected = true;
      self->Resume();
    });
}

void
Session::Resume()
{
  if (this->closed || !this->connected) {
    return;
  }
  for (Pipe* pipe : { &this->up, &this->down }) {
    this->Write(*pipe);
    this->Read(*pipe);
  }
}

void
Session::Close()
{
  if (this->closed) {
    return;
  }
  this->closed = true;
  asio::error_code ignored;
  this->client.close(ignored);
  this->target.close(ignored);
  this->up.timer.cancel();
  this->down.timer.cancel();
  this->link.RemoveSession(this->shared_from_this());
}

void
Session::Read(Pipe& aPipe)
{
  const ForwardingAction action =
    ActionFor(this->link.ActiveFault().kind, aPipe.direction);
  if (this->closed || aPipe.reading || aPipe.ended ||
      action == ForwardingAction::kHold ||
      aPipe.queuedBytes > kMaxQueuedBytes) {
    return;
  }
  aPipe.reading = true;
  aPipe.buffer.resize(kMaxReadBytes);
  aPipe.from.async_read_some(asio::buffer(aPipe.buffer),
                             [self = this->shared_from_this(), &aPipe](
                               const asio::error_code& aError, size_t aBytes) {
                               aPipe.reading = false;
                               self->OnRead(aPipe, aError, aBytes);
                             });
}

void
Session::OnRead(Pipe& aPipe, const asio::error_code& aError, size_t aBytes)
{
  if (this->closed) {
    return;
  }
  if (aError == asio::error::eof) {
    aPipe.ended = true;
    this->Write(aPipe);
    return;
  }
  if (aError) {
    this->Close();
    return;
  }
  TimePoint due = Now() + this->link.DrawDelay();
  if (!aPipe.queue.empty()) {
    due = std::max(due, aPipe.queue.back().due);
  }
  aPipe.queue.push_back(
    { due,
      std::vector<char>(aPipe.buffer.begin(),
                        aPipe.buffer.begin() + std::ptrdiff_t(aBytes)) });
  aPipe.queuedBytes += aBytes;
  this->Write(aPipe);
  this->Read(aPipe);
}

void
Session::Write(Pipe& aPipe)
{
  const ForwardingAction action =
    ActionFor(this->link.ActiveFault().kind, aPipe.direction);
  if (this->closed || aPipe.writing || action == ForwardingAction::kHold) {
    return;
  }
  if (action == ForwardingAction::kDrop) {
    this->DiscardQueue(aPipe);
    return;
  }
  if (aPipe.queue.empty()) {
    this->ForwardEnd(aPipe);
    return;
  }
  aPipe.writing = true;
  if (aPipe.queue.front().due <= Now()) {
    this->WriteChunk(aPipe);
    return;
  }
  aPipe.timer.expires_at(aPipe.queue.front().due);
  aPipe.timer.async_wait(
    [self = this->shared_from_this(), &aPipe](const asio::error_code&) {
      aPipe.writing = false;
      self->Write(aPipe);
    });
}

void
Session::WriteChunk(Pipe& aPipe)
{
  asio::async_write(aPipe.to,
                    asio::buffer(aPipe.queue.front().bytes),
                    [self = this->shared_from_this(),
                     &aPipe](const asio::error_code& aError, size_t aBytes) {
                      aPipe.writing = false;
                      if (aError) {
                        self->Close();
                        return;
                      }
                      LinkStats& stats = self->link.Stats();
                      (aPipe.direction == Direction::kUp ? stats.bytesUp
                                                         : stats.bytesDown) +=
                        int64_t(aBytes);
                      aPipe.queuedBytes -= aPipe.queue.front().bytes.size();
                      aPipe.queue.pop_front();
                      self->Write(aPipe);
                      self->Read(aPipe);
                    });
}

void
Session::DiscardQueue(Pipe& aPipe)
{
  this->droppedBytes =
    this->droppedBytes || aPipe.queuedBytes > 0 || aPipe.ended;
  this->link.Stats().bytesDropped += int64_t(aPipe.queuedBytes);
  aPipe.queue.clear();
  aPipe.queuedBytes = 0;
  // Both sides have sent EOF, so the dropped bytes have no reader.
  if (aPipe.ended && this->up.ended) {
    this->Close();
  }
}

void
Session::ForwardEnd(Pipe& aPipe)
{
  if (!aPipe.ended || aPipe.endForwarded) {
    return;
  }
  aPipe.endForwarded = true;
  asio::error_code ignored;
  aPipe.to.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  if (this->up.endForwarded && this->down.endForwarded) {
    this->Close();
  }
}

} // namespace tanagerseam::standin
