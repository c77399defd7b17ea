#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <thread>

#include "peer/frame_socket.h"
#include "peer/peer.h"

namespace tanagerseam {

namespace {

class Reply : public PeerReply
{
public:
  Reply(std::weak_ptr<FrameSocket> aSocket, uint64_t aRequest)
    : socket(std::move(aSocket))
    , request(aRequest)
  {
  }

  void SendFrame(wire::FrameT aFrame) override
  {
    aFrame.request = this->request;
    if (auto open = this->socket.lock()) {
      open->Send(aFrame);
    }
  }

  bool Cancelled() const override { return this->cancelled; }
  void Cancel() { this->cancelled = true; }

private:
  std::weak_ptr<FrameSocket> socket;
  const uint64_t request;
  std::atomic<bool> cancelled{ false };
};

// One accepted connection and its unanswered asks. I/O thread only.
struct Session
{
  std::shared_ptr<FrameSocket> socket;
  std::map<uint64_t, std::weak_ptr<Reply>> open;
};

} // namespace

struct PeerServer::Impl : public std::enable_shared_from_this<Impl>
{
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor{ io };
  PeerPools pools;
  PeerHandler handler;
  std::set<std::shared_ptr<Session>> sessions;
  std::thread thread;

  Impl(const std::string& aAddress, PeerPools aPools, PeerHandler aHandler)
    : pools(aPools)
    , handler(std::move(aHandler))
  {
    const auto endpoint = ParseEndpoint(aAddress);
    this->acceptor.open(endpoint.protocol());
    this->acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
    this->acceptor.bind(endpoint);
    this->acceptor.listen();
  }

  void Accept()
  {
    this->acceptor.async_accept(
      [this](std::error_code aError, asio::ip::tcp::socket aSocket) {
        if (aError == asio::error::operation_aborted) {
          return;
        }
        if (!aError) {
          this->Serve(std::move(aSocket));
        }
        this->Accept();
      });
  }

  void Serve(asio::ip::tcp::socket aSocket)
  {
    auto session = std::make_shared<Session>();
    session->socket = std::make_shared<FrameSocket>(std::move(aSocket));
    this->sessions.insert(session);
    std::weak_ptr<Session> weak = session;
    session->socket->Start(
      [this, weak](wire::FrameT aFrame) {
        if (auto open = weak.lock()) {
          this->OnFrame(*open, std::move(aFrame));
        }
      },
      [this, weak](const std::string&) {
        if (auto open = weak.lock()) {
          CancelAll(*open);
          this->sessions.erase(open);
        }
      });
  }

  static void CancelAll(Session& aSession)
  {
    for (auto& entry : aSession.open) {
      if (auto reply = entry.second.lock()) {
        reply->Cancel();
      }
    }
  }

  static void ForgetAnswered(Session& aSession)
  {
    for (auto it = aSession.open.begin(); it != aSession.open.end();) {
      it = it->second.expired() ? aSession.open.erase(it) : std::next(it);
    }
  }

  WorkerPool& PoolFor(const wire::FrameT& aFrame)
  {
    const bool isLong = aFrame.ask.AsCallAsk() != nullptr ||
                        aFrame.ask.AsDispatchAsk() != nullptr;
    return isLong ? this->pools.longAsks : this->pools.shortAsks;
  }

  void OnFrame(Session& aSession, wire::FrameT aFrame)
  {
    if (aFrame.cancel) {
      auto found = aSession.open.find(aFrame.request);
      auto reply =
        found == aSession.open.end() ? nullptr : found->second.lock();
      if (reply) {
        reply->Cancel();
      }
      return;
    }
    constexpr size_t kSweepAbove = 1024;
    if (aSession.open.size() > kSweepAbove) {
      ForgetAnswered(aSession);
    }
    auto reply = std::make_shared<Reply>(aSession.socket, aFrame.request);
    aSession.open[aFrame.request] = reply;
    auto frame = std::make_shared<wire::FrameT>(std::move(aFrame));
    const bool taken = this->PoolFor(*frame).Post(
      [this, frame, reply] { this->handler(*frame, reply); });
    if (!taken) {
      reply->Send(
        ToWire(MakeRefusal(RefusalReason::kOverloaded, "no free worker")),
        true);
    }
  }
};

PeerServer::PeerServer(const std::string& aAddress,
                       PeerPools aPools,
                       PeerHandler aHandler)
  : impl(std::make_shared<Impl>(aAddress, aPools, std::move(aHandler)))
{
  this->impl->Accept();
  this->impl->thread = std::thread([self = this->impl] { self->io.run(); });
}

PeerServer::~PeerServer()
{
  this->impl->io.stop();
  this->impl->thread.join();
  for (const auto& session : this->impl->sessions) {
    Impl::CancelAll(*session);
  }
  this->impl->sessions.clear();
}

wire::RefusalAnswerT
ToWire(const Refusal& aRefusal)
{
  wire::RefusalAnswerT answer;
  answer.reason = std::string(RowOf(aRefusal.reason).name);
  answer.ran = aRefusal.ran == RanState::kNo ? "no" : "unknown";
  answer.retry_after_ms =
    aRefusal.retryAfter ? aRefusal.retryAfter->count() : -1;
  answer.detail = aRefusal.detail;
  return answer;
}

Refusal
FromWire(const wire::RefusalAnswerT& aAnswer)
{
  const RefusalRow* row = FindRefusal(aAnswer.reason);
  Refusal refusal;
  refusal.reason = row ? row->reason : RefusalReason::kInternalError;
  refusal.ran = aAnswer.ran == "no" ? RanState::kNo : RanState::kUnknown;
  if (aAnswer.retry_after_ms >= 0) {
    refusal.retryAfter = Millis(aAnswer.retry_after_ms);
  }
  refusal.detail = aAnswer.detail;
  return refusal;
}

} // namespace tanagerseam
