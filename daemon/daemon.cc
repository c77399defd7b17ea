#include "daemon/daemon.h"

#include <algorithm>
#include <atomic>

#include "daemon/admin_front.h"
#include "daemon/caller_front.h"
#include "daemon/cluster_loop.h"
#include "daemon/dispatch_service.h"
#include "daemon/ledger_service.h"
#include "daemon/model_runner.h"
#include "daemon/program_service.h"
#include "daemon/rate_service.h"
#include "daemon/router.h"

namespace tanagerseam {

namespace {

// A log that is away at the start is waited for so long; then peers tell the
// configuration.
constexpr Millis kBootstrapLimit(3000);
constexpr Millis kQuietPoll(20);
constexpr Millis kLeaveLimit(5000);
constexpr size_t kPeerQueue = 4096;
constexpr size_t kAdminWorkers = 8;
// Threads for asks of peers that are answered at once.
constexpr size_t kShortWorkers = 16;

uint16_t
PortOf(const std::string& aAddress)
{
  return uint16_t(std::stoi(aAddress.substr(aAddress.rfind(':') + 1)));
}

std::string
IpOf(const std::string& aAddress)
{
  return aAddress.substr(0, aAddress.rfind(':'));
}

std::string
LedgerSlotKey(const CallRequest& aRequest)
{
  return "ledger/" + LedgerKey(aRequest.organisation,
                               aRequest.route,
                               aRequest.idempotencyKey);
}

void
SendAnswer(const Result<ServiceResponse>& aAnswer, CallSink& aSink)
{
  if (!IsOk(aAnswer)) {
    aSink.Refuse(std::get<Refusal>(aAnswer));
    return;
  }
  const ServiceResponse& answer = std::get<ServiceResponse>(aAnswer);
  aSink.Head(answer.httpStatus, answer.contentType, {});
  aSink.Chunk(answer.body);
  aSink.End(CompletionInfo{});
}

DispatchRequest
FromWire(const wire::DispatchAskT& aAsk)
{
  DispatchRequest request;
  request.organisation = aAsk.organisation;
  request.weight = aAsk.weight;
  request.program = aAsk.program;
  request.urgency = ParseUrgency(aAsk.urgency).value_or(Urgency::kNormal);
  request.promptTokens = aAsk.prompt_tokens;
  request.maxTokens = aAsk.max_tokens;
  request.programServedTokens = aAsk.program_served_tokens;
  request.warmEndpoint = aAsk.warm_endpoint;
  request.warmTokens = aAsk.warm_tokens;
  request.avoid = aAsk.avoid;
  request.deadline = Now() + Millis(aAsk.timeout_ms);
  return request;
}

} // namespace

// In the order of construction; the listeners come last.
struct Daemon::Parts
{
  DaemonSettings settings;
  Metrics metrics;
  HttpClient http;
  HttpLogService log;
  Journal journal;
  PeerClient peers;
  DaemonContext context;
  RateService rates;
  DispatchService dispatch;
  ModelRunner models;
  ServiceRunner services;
  LedgerService ledger;
  ProgramService programs;
  Router router;
  ClusterLoop cluster;
  CallerFront callers;
  AdminFront admin;
  std::atomic<bool> draining{ false };
  std::atomic<bool> drainAsked{ false };
  WorkerPool peerPool;
  WorkerPool peerShortPool;
  std::unique_ptr<PeerServer> peerServer;
  std::unique_ptr<HttpServer> callerServer;
  std::unique_ptr<HttpServer> adminServer;

  explicit Parts(DaemonSettings aSettings)
    : settings(std::move(aSettings))
    , log(this->settings.logAddress, this->settings.logStream, this->http)
    , journal(this->settings, this->log)
    , context{ this->settings,
               this->journal,
               this->peers,
               this->http,
               this->metrics,
               [this](int aSlot) { return this->cluster.MayAct(aSlot); },
               [this](const std::vector<std::string>& aTexts) {
                 return this->cluster.Replicate(aTexts);
               } }
    , rates(this->context)
    , dispatch(this->context)
    , models(this->context, this->dispatch)
    , services(this->context)
    , ledger(this->context, this->services)
    , programs(this->context,
               this->models,
               [this](const CallRequest& aRequest) {
                 return this->RunService(aRequest);
               })
    , router(this->context,
             [this](const CallRequest& aRequest, CallSink& aSink) {
               return this->HandleOwned(aRequest, aSink);
             })
    , cluster(this->context, this->ClusterHooks())
    , callers(this->context,
              this->rates,
              [this](const CallRequest& aRequest, CallSink& aSink) {
                this->Serve(aRequest, aSink);
              })
    , admin(
        this->context,
        this->cluster,
        [this] { return this->draining.load(); },
        [this] { this->drainAsked = true; })
    , peerPool(this->settings.maxWorkers, kPeerQueue)
    , peerShortPool(kShortWorkers, kPeerQueue)
  {
  }

  ClusterLoop::Hooks ClusterHooks()
  {
    ClusterLoop::Hooks hooks;
    hooks.busySlots = [this] {
      std::set<int> slots = this->programs.BusySlots();
      slots.merge(this->ledger.BusySlots());
      // A daemon that leaves can't wait for a queue that never empties.
      if (!this->draining) {
        slots.merge(this->dispatch.BusySlots());
      }
      return slots;
    };
    hooks.onSlotClaimed = [this](int aSlot) {
      this->rates.OnSlotClaimed(aSlot);
    };
    hooks.handOverLevels = [this](int aSlot) {
      return this->rates.HandOverLevels(aSlot);
    };
    hooks.everySecond = [this] {
      this->programs.EndExpiredPrograms();
      this->rates.ReturnLoans();
    };
    return hooks;
  }

  // A caller's request on the daemon where it came in.
  void Serve(const CallRequest& aRequest, CallSink& aSink)
  {
    const bool inProgram = !aRequest.program.empty();
    if (inProgram) {
      this->router.Route(aRequest, ProgramKey(aRequest.program), aSink);
    } else if (aRequest.operation == CallOperation::kModelCall) {
      RunStandaloneModelCall(this->context, this->models, aRequest, aSink);
    } else {
      SendAnswer(this->RunService(aRequest), aSink);
    }
  }

  // A service call, inside a program or not, from any daemon.
  Result<ServiceResponse> RunService(const CallRequest& aRequest)
  {
    const auto config = this->journal.Config();
    auto route = config->desired.routes.find(aRequest.route);
    if (route == config->desired.routes.end()) {
      return MakeRefusal(RefusalReason::kUnknownRoute,
                         "no route " + aRequest.route);
    }
    if (route->second.repeatable) {
      return this->services.RunRepeatable(aRequest, [] { return false; });
    }
    if (aRequest.idempotencyKey.empty()) {
      return MakeRefusal(RefusalReason::kIdempotencyKeyMissing,
                         "route " + aRequest.route + " is not repeatable");
    }
    CallRequest request = aRequest;
    request.program.clear();
    return this->router.RouteService(request, LedgerSlotKey(request));
  }

  // Whether a call that begins now goes to the next owner: calls that follow
  // one another would keep a slot busy until the drain limit. Only once the
  // others know of the drain, and one of them stays.
  bool LeavesCallsToOthers() const
  {
    if (!this->draining || this->journal.LogFailing()) {
      return false;
    }
    return this->journal.With([this](const ClusterState& aState) {
      const auto& members = aState.Members();
      const auto self = members.find(this->settings.host);
      return self != members.end() && self->second.draining &&
             std::any_of(
               members.begin(), members.end(), [](const auto& aEntry) {
                 return !aEntry.second.draining;
               });
    });
  }

  // A request whose owner should be this daemon; false if it is not.
  bool HandleOwned(const CallRequest& aRequest, CallSink& aSink)
  {
    const bool begins = aRequest.operation != CallOperation::kGetProgram;
    if (begins && this->LeavesCallsToOthers()) {
      return false;
    }
    if (!aRequest.program.empty()) {
      return this->programs.Handle(aRequest, aSink);
    }
    const auto answer = this->ledger.Run(aRequest);
    if (!answer) {
      return false;
    }
    SendAnswer(*answer, aSink);
    return true;
  }

  // The edge for peers: whatever fails inside, the peer gets an answer.
  void OnPeerSafely(const wire::FrameT& aFrame,
                    const std::shared_ptr<PeerReply>& aReply)
  {
    try {
      this->OnPeer(aFrame, aReply);
    } catch (const std::exception& error) {
      LogError("peer_ask_failed", { { "error", error.what() } });
      this->metrics.Count("tanagerseam_peer_ask_failures_total", {});
      aReply->Send(ToWire(MakeRefusal(RefusalReason::kInternalError,
                                      "the owning daemon failed")),
                   true);
    }
  }

  // An ask of a peer.
  void OnPeer(const wire::FrameT& aFrame,
              const std::shared_ptr<PeerReply>& aReply)
  {
    if (const auto* call = aFrame.ask.AsCallAsk()) {
      this->OnPeerCall(*call, aReply);
    } else if (const auto* rate = aFrame.ask.AsRateAsk()) {
      this->OnPeerRate(*rate, aReply);
    } else if (const auto* wanted = aFrame.ask.AsDispatchAsk()) {
      this->OnPeerDispatch(*wanted, aReply);
    } else if (const auto* done = aFrame.ask.AsDispatchDoneAsk()) {
      this->dispatch.ReleaseAsOwner(done->model,
                                    done->grant,
                                    done->used_tokens,
                                    static_cast<DispatchResult>(done->result));
      aReply->Send(wire::DoneAnswerT{}, true);
    } else if (const auto* promise = aFrame.ask.AsPromiseAsk()) {
      aReply->Send(this->cluster.OnExtensionRequest(*promise), true);
    } else if (const auto* records = aFrame.ask.AsReplicateAsk()) {
      if (this->cluster.OnReplicate(*records)) {
        aReply->Send(wire::DoneAnswerT{}, true);
      } else {
        aReply->Send(ToWire(MakeRefusal(RefusalReason::kOverloaded,
                                        "no room for replicas")),
                     true);
      }
    } else if (const auto* loan = aFrame.ask.AsLoanReturnAsk()) {
      this->rates.OnLoanReturned(
        ClosedLoan{ loan->organisation, loan->loan_id, loan->unused },
        loan->borrower);
      aReply->Send(wire::DoneAnswerT{}, true);
    } else if (const auto* version = aFrame.ask.AsConfigAsk()) {
      aReply->Send(this->cluster.OnConfig(*version), true);
    } else {
      aReply->Send(
        ToWire(MakeRefusal(RefusalReason::kMalformedRequest, "unknown ask")),
        true);
    }
  }

  void OnPeerCall(const wire::CallAskT& aAsk,
                  const std::shared_ptr<PeerReply>& aReply)
  {
    PeerSink sink(aReply);
    Result<CallRequest> request = CallFromWire(aAsk);
    if (!IsOk(request)) {
      sink.Refuse(std::get<Refusal>(request));
      return;
    }
    if (!this->HandleOwned(std::get<CallRequest>(request), sink)) {
      sink.Refuse(MakeRefusal(RefusalReason::kOwnerUnavailable,
                              "this daemon is not the owner"));
    }
  }

  void OnPeerRate(const wire::RateAskT& aAsk,
                  const std::shared_ptr<PeerReply>& aReply)
  {
    this->rates.ExtendGrace(aAsk.organisation, Millis(aAsk.grace_ms));
    const auto decision =
      this->rates.GrantToken(aAsk.organisation, aAsk.borrower);
    if (!decision) {
      aReply->Send(ToWire(MakeRefusal(RefusalReason::kOwnerUnavailable,
                                      "this daemon may not grant now")),
                   true);
      return;
    }
    wire::RateAnswerT answer;
    answer.granted = decision->granted;
    answer.wait = decision->wait;
    answer.retry_after_ms = decision->retryAfter.count();
    answer.loan_tokens = decision->loanTokens;
    answer.loan_for_ms = decision->loanTerm.count();
    answer.loan_id = decision->loanId;
    aReply->Send(answer, true);
  }

  void OnPeerDispatch(const wire::DispatchAskT& aAsk,
                      const std::shared_ptr<PeerReply>& aReply)
  {
    Result<DispatchGrant> grant = this->dispatch.AcquireAsOwner(
      aAsk.model, FromWire(aAsk), aAsk.borrower, [&] {
        return aReply->Cancelled();
      });
    if (!IsOk(grant)) {
      aReply->Send(ToWire(std::get<Refusal>(grant)), true);
      return;
    }
    const DispatchGrant& granted = std::get<DispatchGrant>(grant);
    if (aReply->Cancelled()) {
      this->dispatch.ReleaseAsOwner(
        aAsk.model, granted.id, 0, DispatchResult::kCancelled);
      return;
    }
    wire::DispatchAnswerT answer;
    answer.grant = granted.id;
    answer.endpoint = granted.endpoint;
    aReply->Send(std::move(answer), true);
  }

  HttpServerSettings ServerSettings(const std::string& aAddress) const
  {
    HttpServerSettings server;
    server.address = IpOf(aAddress);
    server.port = PortOf(aAddress);
    server.maxBodyBytes = this->settings.maxBodyBytes;
    server.readTimeout = this->settings.readTimeout;
    return server;
  }

  void ListenToPeers()
  {
    this->peerServer = std::make_unique<PeerServer>(
      this->settings.peerAddress,
      PeerPools{ this->peerPool, this->peerShortPool },
      [this](const wire::FrameT& aFrame, std::shared_ptr<PeerReply> aReply) {
        this->OnPeerSafely(aFrame, aReply);
      });
  }

  void Listen()
  {
    HttpServerSettings caller =
      this->ServerSettings(this->settings.callerAddress);
    caller.maxWorkers = this->settings.maxWorkers;
    caller.overloaded = [this](HttpReply& aReply) {
      this->callers.Overloaded(aReply);
    };
    caller.faultAnswer = [this](InputFault aFault) {
      return this->callers.BrokenInput(aFault);
    };
    this->callerServer = std::make_unique<HttpServer>(
      caller,
      [this](const HttpRequest& aRequest, std::shared_ptr<HttpReply> aReply) {
        this->callers.Handle(aRequest, std::move(aReply));
      });
    HttpServerSettings admin =
      this->ServerSettings(this->settings.adminAddress);
    admin.maxWorkers = kAdminWorkers;
    admin.ioThreads = 1;
    this->adminServer = std::make_unique<HttpServer>(
      admin,
      [this](const HttpRequest& aRequest, std::shared_ptr<HttpReply> aReply) {
        this->admin.Handle(aRequest, std::move(aReply));
      });
  }
};

Daemon::Daemon(DaemonSettings aSettings)
  : parts(std::make_unique<Parts>(std::move(aSettings)))
{
}

Daemon::~Daemon() = default;

void
Daemon::Start()
{
  Parts& self = *this->parts;
  LogInfo(
    "starting",
    { { "zone", self.settings.zone }, { "log", self.settings.logAddress } });
  self.Listen();
  if (!self.journal.Start(kBootstrapLimit)) {
    LogWarn("log_unavailable_at_start", {});
    // Nothing is answered under an older configuration than peers have.
    self.cluster.PullConfigFromAllPeers();
  }
  self.cluster.Start();
  self.dispatch.Start();
  // Peers still count a daemon that was started again as a member and ask it at
  // once; it can answer only from here on.
  self.ListenToPeers();
  self.adminServer->Start();
  self.callerServer->Start();
  LogInfo("started", { { "zone", self.settings.zone } });
}

bool
Daemon::DrainAsked() const
{
  return this->parts->drainAsked;
}

void
Daemon::Shutdown()
{
  Parts& self = *this->parts;
  self.draining = true;
  LogInfo("draining", {});
  self.callerServer->CloseAfterAnswers();
  self.cluster.StartDraining();
  const TimePoint start = Now();
  std::this_thread::sleep_for(self.settings.drainNotice);
  self.callerServer->StopAccepting();
  // An idle connection may bring one more request until its caller was told, in
  // an answer, that it closes, or until it was idle for the read timeout.
  auto busy = [&self] {
    return self.callerServer->Connections() > 0 ||
           self.callerServer->Busy() > 0 || self.cluster.OwnedSlots() > 0 ||
           self.peerPool.Busy() > 0;
  };
  while (busy() && Now() - start < self.settings.drainLimit) {
    std::this_thread::sleep_for(kQuietPoll);
  }
  self.callerServer->Stop();
  self.cluster.Leave(kLeaveLimit);
  self.journal.Flush(kLeaveLimit);
  self.dispatch.Stop();
  self.peerServer.reset();
  self.peerPool.Stop();
  self.peerShortPool.Stop();
  self.adminServer->Stop();
  self.journal.Stop();
  LogInfo("stopped", {});
}

} // namespace tanagerseam
