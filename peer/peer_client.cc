#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

#include "peer/frame_socket.h"
#include "peer/peer.h"

namespace tanagerseam {

namespace {

constexpr Millis kConnectTimeout(500);

// Frames of one answer on their way from the I/O thread to the asking thread.
struct Mailbox
{
  std::mutex mutex;
  std::condition_variable changed;
  std::deque<wire::FrameT> frames;
  std::optional<PeerFailure> failure;

  void Put(wire::FrameT aFrame)
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->frames.push_back(std::move(aFrame));
    this->changed.notify_all();
  }

  void Fail(PeerFailure aFailure)
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    if (!this->failure) {
      this->failure = std::move(aFailure);
    }
    this->changed.notify_all();
  }

  PeerOutcome Take(Millis aLimit)
  {
    std::unique_lock<std::mutex> lock(this->mutex);
    this->changed.wait_for(lock, aLimit, [this] {
      return !this->frames.empty() || this->failure.has_value();
    });
    if (!this->frames.empty()) {
      wire::FrameT frame = std::move(this->frames.front());
      this->frames.pop_front();
      return PeerOutcome(std::move(frame));
    }
    if (this->failure) {
      return *this->failure;
    }
    return PeerFailure{ true, true, "no answer in time" };
  }
};

// A connection to one peer; made on first use, dropped when it breaks.
struct Connection : public std::enable_shared_from_this<Connection>
{
  std::shared_ptr<FrameSocket> socket;
  asio::steady_timer timer;
  std::mutex mutex;
  // Guarded by mutex.
  std::map<uint64_t, std::shared_ptr<Mailbox>> waiting;
  bool connected = false;
  bool broken = false;
  uint64_t nextRequest = 1;

  explicit Connection(asio::io_context& aIo)
    : socket(std::make_shared<FrameSocket>(asio::ip::tcp::socket(aIo)))
    , timer(aIo)
  {
  }

  void Connect(const asio::ip::tcp::endpoint& aEndpoint)
  {
    auto self = this->shared_from_this();
    this->timer.expires_after(kConnectTimeout);
    this->timer.async_wait([self](std::error_code aError) {
      if (!aError) {
        self->Break("no connection in time");
        self->socket->Close("no connection in time");
      }
    });
    this->socket->Socket().async_connect(
      aEndpoint, [self](std::error_code aError) { self->OnConnect(aError); });
  }

  void OnConnect(std::error_code aError)
  {
    this->timer.cancel();
    if (aError) {
      this->Break(aError.message());
      return;
    }
    {
      std::lock_guard<std::mutex> lock(this->mutex);
      if (this->broken) {
        return;
      }
      this->connected = true;
    }
    auto self = this->shared_from_this();
    this->socket->Start(
      [self](wire::FrameT aFrame) { self->OnFrame(std::move(aFrame)); },
      [self](const std::string& aWhy) { self->Break(aWhy); });
  }

  void OnFrame(wire::FrameT aFrame)
  {
    std::shared_ptr<Mailbox> mailbox;
    {
      std::lock_guard<std::mutex> lock(this->mutex);
      auto found = this->waiting.find(aFrame.request);
      if (found == this->waiting.end()) {
        return;
      }
      mailbox = found->second;
      if (aFrame.last) {
        this->waiting.erase(found);
      }
    }
    mailbox->Put(std::move(aFrame));
  }

  void Break(const std::string& aWhy)
  {
    std::map<uint64_t, std::shared_ptr<Mailbox>> failed;
    bool sent = false;
    {
      std::lock_guard<std::mutex> lock(this->mutex);
      this->broken = true;
      sent = this->connected;
      failed.swap(this->waiting);
    }
    for (auto& entry : failed) {
      entry.second->Fail(PeerFailure{ sent, false, aWhy });
    }
  }

  // Registers a new ask; empty if the connection has broken.
  std::optional<uint64_t> Register(const std::shared_ptr<Mailbox>& aMailbox)
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    if (this->broken) {
      return std::nullopt;
    }
    this->waiting[this->nextRequest] = aMailbox;
    return this->nextRequest++;
  }

  // True if the ask had no last frame yet.
  bool Forget(uint64_t aRequest)
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->waiting.erase(aRequest) > 0;
  }
};

class Stream : public PeerStream
{
public:
  Stream(std::shared_ptr<Connection> aConnection,
         uint64_t aRequest,
         std::shared_ptr<Mailbox> aMailbox)
    : connection(std::move(aConnection))
    , request(aRequest)
    , mailbox(std::move(aMailbox))
  {
  }

  ~Stream() override
  {
    if (!this->connection || !this->connection->Forget(this->request)) {
      return;
    }
    wire::FrameT frame;
    frame.request = this->request;
    frame.cancel = true;
    this->connection->socket->Send(frame);
  }

  PeerOutcome Next(Millis aLimit) override
  {
    return this->mailbox->Take(aLimit);
  }

private:
  std::shared_ptr<Connection> connection;
  const uint64_t request;
  std::shared_ptr<Mailbox> mailbox;
};

} // namespace

struct PeerClient::Impl
{
  asio::io_context io;
  asio::executor_work_guard<asio::io_context::executor_type> guard{
    io.get_executor()
  };
  std::thread thread{ [this] { this->io.run(); } };
  std::mutex mutex;
  std::map<std::string, std::shared_ptr<Connection>> connections;

  std::shared_ptr<Connection> Get(const std::string& aAddress)
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    std::shared_ptr<Connection>& connection = this->connections[aAddress];
    bool usable = connection != nullptr;
    if (usable) {
      std::lock_guard<std::mutex> inner(connection->mutex);
      usable = !connection->broken;
    }
    if (!usable) {
      const auto endpoint = ParseEndpoint(aAddress);
      connection = std::make_shared<Connection>(this->io);
      asio::post(this->io,
                 [connection, endpoint] { connection->Connect(endpoint); });
    }
    return connection;
  }
};

PeerClient::PeerClient()
  : impl(std::make_unique<Impl>())
{
}

PeerClient::~PeerClient()
{
  this->impl->guard.reset();
  this->impl->io.stop();
  this->impl->thread.join();
}

std::unique_ptr<PeerStream>
PeerClient::Open(const std::string& aAddress, wire::AskUnion aAsk)
{
  auto mailbox = std::make_shared<Mailbox>();
  std::shared_ptr<Connection> connection;
  std::optional<uint64_t> request;
  try {
    connection = this->impl->Get(aAddress);
    request = connection->Register(mailbox);
  } catch (const std::exception& error) {
    mailbox->Fail(PeerFailure{ false, false, error.what() });
    return std::make_unique<Stream>(nullptr, 0, mailbox);
  }
  if (!request) {
    mailbox->Fail(PeerFailure{ false, false, "the connection has broken" });
    return std::make_unique<Stream>(nullptr, 0, mailbox);
  }
  wire::FrameT frame;
  frame.request = *request;
  frame.ask = std::move(aAsk);
  connection->socket->Send(frame);
  return std::make_unique<Stream>(connection, *request, mailbox);
}

} // namespace tanagerseam
