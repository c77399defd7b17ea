#include "http/guarded_socket.h"

#include <sys/socket.h>

#include <array>
#include <atomic>
#include <cerrno>

namespace tanagerseam {

namespace {

namespace asio = restinio::asio_ns;

constexpr std::chrono::milliseconds kLingerTime(1000);
constexpr std::chrono::milliseconds kRoomCheckInterval(10);
constexpr size_t kLingerBuffer = 4096;
constexpr int kMaxLingering = 64;

std::atomic<int> lingering{ 0 };

struct FaultName
{
  const char* text;
  InputFault fault;
};

// Parts of RESTinio's messages: the parser's error codes. A code HPE_CB_X is a
// limit that RESTinio checks in the parser's callback X.
constexpr FaultName kFaultNames[] = {
  { "parser error HPE_HEADER_OVERFLOW:", InputFault::kHeadersTooLarge },
  { "parser error HPE_CB_header_field:", InputFault::kHeadersTooLarge },
  { "parser error HPE_CB_header_value:", InputFault::kHeadersTooLarge },
  { "parser error HPE_CB_headers_complete:", InputFault::kBodyTooLarge },
  { "parser error HPE_CB_body:", InputFault::kBodyTooLarge },
  { "parser error HPE_CB_url:", InputFault::kTargetTooLong },
  { "parser error HPE_INVALID_METHOD:", InputFault::kUnknownMethod },
  { "parser error ", InputFault::kMalformed },
};

// Reads and drops what the caller still sends, until it closes or time is up.
class Lingerer : public std::enable_shared_from_this<Lingerer>
{
public:
  explicit Lingerer(asio::ip::tcp::socket aSocket)
    : socket(std::move(aSocket))
    , timer(this->socket.get_executor())
  {
  }

  ~Lingerer() { --lingering; }
  Lingerer(const Lingerer&) = delete;
  Lingerer& operator=(const Lingerer&) = delete;

  void Start()
  {
    this->timer.expires_after(kLingerTime);
    this->timer.async_wait([self = this->shared_from_this()](const auto&) {
      asio::error_code ignored;
      self->socket.close(ignored);
    });
    this->Read();
  }

private:
  void Read()
  {
    this->socket.async_read_some(
      asio::buffer(this->buffer),
      [self = this->shared_from_this()](const auto& aError, size_t) {
        if (aError) {
          self->timer.cancel();
          return;
        }
        self->Read();
      });
  }

  asio::ip::tcp::socket socket;
  asio::steady_timer timer;
  std::array<char, kLingerBuffer> buffer{};
};

std::string
Serialize(const HttpAnswer& aAnswer)
{
  std::string text =
    "HTTP/1.1 " + std::to_string(aAnswer.status) + " Refused\r\n";
  for (const auto& header : aAnswer.headers) {
    text += header.first + ": " + header.second + "\r\n";
  }
  text += "Content-Length: " + std::to_string(aAnswer.body.size()) + "\r\n";
  text += "Connection: close\r\n\r\n";
  return text + aAnswer.body;
}

} // namespace

InputFault
FaultOfMessage(const std::string& aMessage)
{
  for (const FaultName& row : kFaultNames) {
    if (aMessage.find(row.text) != std::string::npos) {
      return row.fault;
    }
  }
  return InputFault::kPeerGone;
}

IoThreadNotes&
ThisIoThread()
{
  thread_local IoThreadNotes notes;
  return notes;
}

void
GuardedSocket::shutdown(shutdown_type aHow, Error& aError)
{
  IoThreadNotes& notes = ThisIoThread();
  InputFault fault = std::exchange(notes.fault, InputFault::kNone);
  if (this->gaveWay) {
    fault = InputFault::kNoMemory;
  } else if (fault == InputFault::kNone && this->partial) {
    fault = InputFault::kTooSlow;
  }
  this->upload.reset();
  const bool answerable = fault != InputFault::kNone &&
                          fault != InputFault::kPeerGone &&
                          notes.answer != nullptr && *notes.answer;
  if (answerable) {
    const std::string text = Serialize((*notes.answer)(fault));
    // The connection's send buffer is empty, so one call takes the whole text.
    const ssize_t sent = ::send(this->native_handle(),
                                text.data(),
                                text.size(),
                                MSG_DONTWAIT | MSG_NOSIGNAL);
    this->answered = sent > 0;
  } else if (fault == InputFault::kNone) {
    // What the caller sent ahead must not turn the close into a reset.
    this->answered = this->lastWasWrite;
  }
  Base::shutdown(this->answered ? shutdown_send : aHow, aError);
}

void
ConnectionWatch::Begin(std::function<void()> aOnGone)
{
  this->onGone = std::move(aOnGone);
  ++this->turn;
  this->Wait(this->turn);
}

void
ConnectionWatch::End()
{
  ++this->turn;
  this->onGone = nullptr;
}

void
ConnectionWatch::Wait(uint64_t aTurn)
{
  if (this->socket == nullptr) {
    return;
  }
  this->socket->async_wait(
    asio::ip::tcp::socket::wait_read,
    [self = this->shared_from_this(), aTurn](const auto& aError) {
      // RESTinio cancels all waits when it writes the last answer of a
      // connection; the watch goes on.
      if (aError == asio::error::operation_aborted) {
        self->Resume(aTurn);
      } else if (!aError) {
        self->Look(aTurn);
      }
    });
}

void
ConnectionWatch::Resume(uint64_t aTurn)
{
  if (aTurn == this->turn && this->onGone) {
    this->Wait(aTurn);
  }
}

void
ConnectionWatch::Look(uint64_t aTurn)
{
  if (aTurn != this->turn || this->socket == nullptr || !this->onGone) {
    return;
  }
  char byte = 0;
  const ssize_t got = ::recv(
    this->socket->native_handle(), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
  if (got > 0) {
    return;
  }
  if (got < 0 && (errno == EAGAIN || errno == EINTR)) {
    this->Wait(aTurn);
    return;
  }
  this->Tell();
}

void
ConnectionWatch::Tell()
{
  const auto told = std::move(this->onGone);
  this->End();
  told();
}

void
ConnectionWatch::OnClose()
{
  if (this->socket != nullptr && this->onGone) {
    asio::post(this->socket->get_executor(),
               [self = this->shared_from_this(), closed = this->turn] {
                 if (closed == self->turn && self->onGone) {
                   self->Tell();
                 }
               });
  }
  this->Forget();
}

void
ConnectionWatch::Break()
{
  this->End();
  if (this->socket != nullptr) {
    this->socket->EndWriting();
  }
}

void
ConnectionWatch::GiveWay()
{
  if (this->socket != nullptr) {
    this->socket->GiveWay();
  }
}

bool
GuardedSocket::TakeRoom(size_t aBytes)
{
  const auto& memory = ThisIoThread().memory;
  const size_t wanted = kCopiesOfBody * (this->received + aBytes);
  if (memory == nullptr || this->gaveWay ||
      wanted <= ByteShare::kUncountedBytes) {
    return true;
  }
  if (this->upload == nullptr) {
    this->upload = std::make_shared<HeldBytes>(memory, HeldKind::kUpload);
    this->upload->OnGiveWay([weak = this->Watch()->weak_from_this()] {
      if (const auto watching = weak.lock()) {
        watching->GiveWay();
      }
    });
  }
  const auto now = std::chrono::steady_clock::now();
  if (this->upload->Resize(wanted)) {
    this->pausedAt = {};
    return true;
  }
  if (this->pausedAt == std::chrono::steady_clock::time_point{}) {
    this->pausedAt = now;
  } else if (now - this->pausedAt >= kMaxReadPause) {
    memory->MakeRoomForRequest(kCopiesOfBody * aBytes);
  }
  return false;
}

void
GuardedSocket::WaitForRoom(std::function<void()> aRead)
{
  auto timer = std::make_shared<asio::steady_timer>(this->get_executor(),
                                                    kRoomCheckInterval);
  // aRead keeps RESTinio's connection, and so this socket. A read of a socket
  // that was closed meanwhile fails.
  timer->async_wait([timer, read = std::move(aRead)](const auto&) { read(); });
}

void
GuardedSocket::GiveWay()
{
  if (!this->upload) {
    // The request was handed on meanwhile.
    return;
  }
  this->gaveWay = true;
  Error ignored;
  this->cancel(ignored);
}

std::shared_ptr<HeldBytes>
GuardedSocket::TakeUpload()
{
  if (this->upload) {
    this->upload->OnGiveWay(nullptr);
    this->upload->EndUpload();
  }
  return std::move(this->upload);
}

void
GuardedSocket::EndWriting()
{
  // Unread input must not turn the close into a reset, which would destroy the
  // answers before.
  this->answered = true;
  ::shutdown(this->native_handle(), SHUT_WR);
}

std::shared_ptr<ConnectionWatch>
GuardedSocket::Watch()
{
  if (!this->watch) {
    this->watch = std::make_shared<ConnectionWatch>(*this);
  }
  return this->watch;
}

void
GuardedSocket::close()
{
  if (this->watch) {
    this->watch->OnClose();
  }
  Error ignored;
  if (!this->answered || lingering >= kMaxLingering) {
    Base::close(ignored);
    return;
  }
  this->answered = false;
  const auto protocol = this->local_endpoint(ignored).protocol();
  // Cancels RESTinio's own operations and takes the connection from it.
  const auto handle = Base::release(ignored);
  ++lingering;
  auto rest =
    std::make_shared<Lingerer>(Base(this->get_executor(), protocol, handle));
  rest->Start();
}

} // namespace tanagerseam
