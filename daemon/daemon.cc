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

// Maximum wait for the log at the start; if it is unavailable, the
// configuration is fetched from peers.
constexpr Millis kBootstrapTimeout(3000);
constexpr Millis kDrainPollInterval(20);
constexpr Millis kLeaveTimeout(5000);
constexpr size_t kPeerQueueCapacity = 4096;
constexpr size_t kMaxAdminWorkers = 8;
// Worker threads for peer requests that are answered without waiting.
constexpr size_t kShortRequestWorkers = 16;

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
SendServiceResponse(const Result<ServiceResponse>& aResponse, CallSink& aSink)
{
  if (!IsOk(aResponse)) {
    aSink.Refuse(std::get<Refusal>(aResponse));
    return;
  }
  const ServiceResponse& response = std::get<ServiceResponse>(aResponse);
  aSink.Head(response.httpStatus, response.contentType, {});
  aSink.Chunk(response.body);
  aSink.End(CompletionInfo{});
}

DispatchRequest
DispatchRequestFromWire(const wire::DispatchAskT& aRequest)
{
  DispatchRequest request;
  request.organisation = aRequest.organisation;
  request.weight = aRequest.weight;
  request.program = aRequest.program;
  request.urgency = ParseUrgency(aRequest.urgency).value_or(Urgency::kNormal);
  request.promptTokens = aRequest.prompt_tokens;
  request.maxTokens = aRequest.max_tokens;
  request.programServedTokens = aRequest.program_served_tokens;
  request.warmEndpoint = aRequest.warm_endpoint;
  request.warmTokens = aRequest.warm_tokens;
  request.avoid = aRequest.avoid;
  request.deadline = Now() + Millis(aRequest.timeout_ms);
  return request;
}

} // namespace

// Members are in order of construction; the servers, which listen, come last.
struct Daemon::Impl
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
  std::atomic<bool> drainRequested{ false };
  WorkerPool peerLongPool;
  WorkerPool peerShortPool;
  std::unique_ptr<PeerServer> peerServer;
  std::unique_ptr<HttpServer> callerServer;
  std::unique_ptr<HttpServer> adminServer;

  explicit Impl(DaemonSettings aSettings)
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
        [this] { this->drainRequested = true; })
    , peerLongPool(this->settings.maxWorkers, kPeerQueueCapacity)
    , peerShortPool(kShortRequestWorkers, kPeerQueueCapacity)
  {
  }

  ClusterLoop::Hooks ClusterHooks()
  {
    ClusterLoop::Hooks hooks;
    hooks.busySlots = [this] {
      std::set<int> slots = this->programs.BusySlots();
      slots.merge(this->ledger.BusySlots());
      // A draining daemon does not wait for dispatch queues, which may never
      // become empty.
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

  // Serves a caller's request on the daemon that received it.
  void Serve(const CallRequest& aRequest, CallSink& aSink)
  {
    const bool inProgram = !aRequest.program.empty();
    if (inProgram) {
      this->router.Route(aRequest, ProgramKey(aRequest.program), aSink);
    } else if (aRequest.operation == CallOperation::kModelCall) {
      RunStandaloneModelCall(this->context, this->models, aRequest, aSink);
    } else {
      SendServiceResponse(this->RunService(aRequest), aSink);
    }
  }

  // Runs a service call, inside or outside a program; works on any daemon.
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
                         "route " + aRequest.route +
                           " is not repeatable; Idempotency-Key is required");
    }
    CallRequest request = aRequest;
    request.program.clear();
    return this->router.RouteService(request, LedgerSlotKey(request));
  }

  // Whether new calls are left to the slot's next owner: back-to-back calls
  // would keep the slot busy until the drain limit. True only if the log is
  // available, the drain is recorded in it, and some member is not draining.
  bool DefersNewCalls() const
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

  // Handles a request as the owner of its slot; false if this daemon is not the
  // owner or defers new calls.
  bool HandleOwned(const CallRequest& aRequest, CallSink& aSink)
  {
    const bool startsWork = aRequest.operation != CallOperation::kGetProgram;
    if (startsWork && this->DefersNewCalls()) {
      return false;
    }
    if (!aRequest.program.empty()) {
      return this->programs.Handle(aRequest, aSink);
    }
    const auto response = this->ledger.Run(aRequest);
    if (!response) {
      return false;
    }
    SendServiceResponse(*response, aSink);
    return true;
  }

  // Exception boundary for peer requests: an exception is logged and answered
  // with a refusal.
  void HandlePeerFrame(const wire::FrameT& aFrame,
                       const std::shared_ptr<PeerReply>& aReply)
  {
    try {
      this->ProcessPeerFrame(aFrame, aReply);
    } catch (const std::exception& error) {
      LogError("peer_ask_failed", { { "error", error.what() } });
      this->metrics.Count("tanagerseam_peer_ask_failures_total", {});
      aReply->Send(ToWire(MakeRefusal(RefusalReason::kInternalError,
                                      "internal error in the owning daemon")),
                   true);
    }
  }

  // Handles one peer request according to its type.
  void ProcessPeerFrame(const wire::FrameT& aFrame,
                        const std::shared_ptr<PeerReply>& aReply)
  {
    if (const auto* call = aFrame.ask.AsCallAsk()) {
      this->HandlePeerCall(*call, aReply);
    } else if (const auto* rate = aFrame.ask.AsRateAsk()) {
      this->HandlePeerRate(*rate, aReply);
    } else if (const auto* acquire = aFrame.ask.AsDispatchAsk()) {
      this->HandlePeerDispatch(*acquire, aReply);
    } else if (const auto* release = aFrame.ask.AsDispatchDoneAsk()) {
      this->dispatch.ReleaseAsOwner(
        release->model,
        release->grant,
        release->used_tokens,
        static_cast<DispatchResult>(release->result));
      aReply->Send(wire::DoneAnswerT{}, true);
    } else if (const auto* promise = aFrame.ask.AsPromiseAsk()) {
      aReply->Send(this->cluster.OnExtensionRequest(*promise), true);
    } else if (const auto* records = aFrame.ask.AsReplicateAsk()) {
      if (this->cluster.OnReplicate(*records)) {
        aReply->Send(wire::DoneAnswerT{}, true);
      } else {
        aReply->Send(ToWire(MakeRefusal(
                       RefusalReason::kOverloaded,
                       "replicas not stored: store full or record unreadable")),
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
      aReply->Send(ToWire(MakeRefusal(RefusalReason::kMalformedRequest,
                                      "unknown peer request type")),
                   true);
    }
  }

  void HandlePeerCall(const wire::CallAskT& aRequest,
                      const std::shared_ptr<PeerReply>& aReply)
  {
    PeerSink sink(aReply);
    Result<CallRequest> request = CallFromWire(aRequest);
    if (!IsOk(request)) {
      sink.Refuse(std::get<Refusal>(request));
      return;
    }
    if (!this->HandleOwned(std::get<CallRequest>(request), sink)) {
      sink.Refuse(MakeRefusal(RefusalReason::kOwnerUnavailable,
                              "this daemon does not own the slot"));
    }
  }

  void HandlePeerRate(const wire::RateAskT& aRequest,
                      const std::shared_ptr<PeerReply>& aReply)
  {
    this->rates.ExtendGrace(aRequest.organisation, Millis(aRequest.grace_ms));
    const auto decision =
      this->rates.GrantToken(aRequest.organisation, aRequest.borrower);
    if (!decision) {
      aReply->Send(
        ToWire(MakeRefusal(RefusalReason::kOwnerUnavailable,
                           "this daemon may not act as rate owner now")),
        true);
      return;
    }
    wire::RateAnswerT response;
    response.granted = decision->granted;
    response.wait = decision->wait;
    response.retry_after_ms = decision->retryAfter.count();
    response.loan_tokens = decision->loanTokens;
    response.loan_for_ms = decision->loanTerm.count();
    response.loan_id = decision->loanId;
    aReply->Send(response, true);
  }

  void HandlePeerDispatch(const wire::DispatchAskT& aRequest,
                          const std::shared_ptr<PeerReply>& aReply)
  {
    Result<DispatchGrant> grant =
      this->dispatch.AcquireAsOwner(aRequest.model,
                                    DispatchRequestFromWire(aRequest),
                                    aRequest.borrower,
                                    [&] { return aReply->Cancelled(); });
    if (!IsOk(grant)) {
      aReply->Send(ToWire(std::get<Refusal>(grant)), true);
      return;
    }
    const DispatchGrant& granted = std::get<DispatchGrant>(grant);
    if (aReply->Cancelled()) {
      this->dispatch.ReleaseAsOwner(
        aRequest.model, granted.id, 0, DispatchResult::kCancelled);
      return;
    }
    wire::DispatchAnswerT response;
    response.grant = granted.id;
    response.endpoint = granted.endpoint;
    aReply->Send(std::move(response), true);
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

  void CreatePeerServer()
  {
    this->peerServer = std::make_unique<PeerServer>(
      this->settings.peerAddress,
      PeerPools{ this->peerLongPool, this->peerShortPool },
      [this](const wire::FrameT& aFrame, std::shared_ptr<PeerReply> aReply) {
        this->HandlePeerFrame(aFrame, aReply);
      });
  }

  void CreateHttpServers()
  {
    HttpServerSettings caller =
      this->ServerSettings(this->settings.callerAddress);
    caller.maxWorkers = this->settings.maxWorkers;
    caller.overloaded = [this](HttpReply& aReply) {
      this->callers.SendOverloaded(aReply);
    };
    caller.faultAnswer = [this](InputFault aFault) {
      return this->callers.InputFaultAnswer(aFault);
    };
    this->callerServer = std::make_unique<HttpServer>(
      caller,
      [this](const HttpRequest& aRequest, std::shared_ptr<HttpReply> aReply) {
        this->callers.Handle(aRequest, std::move(aReply));
      });
    HttpServerSettings admin =
      this->ServerSettings(this->settings.adminAddress);
    admin.maxWorkers = kMaxAdminWorkers;
    admin.ioThreads = 1;
    this->adminServer = std::make_unique<HttpServer>(
      admin,
      [this](const HttpRequest& aRequest, std::shared_ptr<HttpReply> aReply) {
        this->admin.Handle(aRequest, std::move(aReply));
      });
  }
};

Daemon::Daemon(DaemonSettings aSettings)
  : impl(std::make_unique<Impl>(std::move(aSettings)))
{
}

Daemon::~Daemon() = default;

void
Daemon::Start()
{
  Impl& self = *this->impl;
  LogInfo(
    "starting",
    { { "zone", self.settings.zone }, { "log", self.settings.logAddress } });
  self.CreateHttpServers();
  if (!self.journal.Start(kBootstrapTimeout)) {
    LogWarn("log_unavailable_at_start", {});
    // Avoids serving under a configuration older than that of the peers.
    self.cluster.PullConfigFromAllPeers();
  }
  self.cluster.Start();
  self.dispatch.Start();
  // Peers still regard a restarted daemon as a member and send requests at
  // once; it can answer them only from here on, so the peer server starts late.
  self.CreatePeerServer();
  self.adminServer->Start();
  self.callerServer->Start();
  LogInfo("started", { { "zone", self.settings.zone } });
}

bool
Daemon::DrainRequested() const
{
  return this->impl->drainRequested;
}

void
Daemon::Shutdown()
{
  Impl& self = *this->impl;
  self.draining = true;
  LogInfo("draining", {});
  self.callerServer->CloseAfterAnswers();
  self.cluster.StartDraining();
  const TimePoint start = Now();
  std::this_thread::sleep_for(self.settings.drainNotice);
  self.callerServer->StopAccepting();
  // An idle connection may carry one more request until a response announced
  // its close, or until it has been idle for the read timeout.
  auto busy = [&self] {
    return self.callerServer->Connections() > 0 ||
           self.callerServer->Busy() > 0 || self.cluster.OwnedSlots() > 0 ||
           self.peerLongPool.Busy() > 0;
  };
  while (busy() && Now() - start < self.settings.drainLimit) {
    std::this_thread::sleep_for(kDrainPollInterval);
  }
  self.callerServer->Stop();
  self.cluster.Leave(kLeaveTimeout);
  self.journal.Flush(kLeaveTimeout);
  self.dispatch.Stop();
  self.peerServer.reset();
  self.peerLongPool.Stop();
  self.peerShortPool.Stop();
  self.adminServer->Stop();
  self.journal.Stop();
  LogInfo("stopped", {});
}

} // namespace tanagerseam
