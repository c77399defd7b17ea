#include "daemon/dispatch_service.h"

#include <algorithm>

namespace tanagerseam {

namespace {

// Interval at which the queue expires and grants waiting calls when no event
// does so.
constexpr Millis kQueueCheckInterval(10);
// Interval at which a blocked call checks for cancellation and a new owner.
constexpr Millis kRecheckInterval(200);
// Time without a responding owner after which a daemon selects an endpoint
// itself.
constexpr Millis kOwnerTimeout(700);
constexpr Millis kOwnerRetryDelay(50);
constexpr Millis kReleaseTimeout(500);

std::string
SlotKey(const std::string& aModel)
{
  return "model/" + aModel;
}

std::vector<EndpointConfig>
EndpointConfigsFor(const DesiredState& aDesired, const std::string& aModel)
{
  std::vector<EndpointConfig> configs;
  for (const auto& entry : aDesired.endpoints) {
    const Endpoint& endpoint = entry.second;
    const auto& models = endpoint.models;
    const bool serves =
      std::find(models.begin(), models.end(), aModel) != models.end();
    if (endpoint.kind != EndpointKind::kModelEngine || !serves) {
      continue;
    }
    EndpointConfig endpointConfig;
    endpointConfig.name = endpoint.name;
    endpointConfig.zone = endpoint.zone;
    endpointConfig.capacity = endpoint.capacity;
    endpointConfig.leaving = IsLeaving(endpoint);
    if (endpoint.leavesAtMillis > 0) {
      endpointConfig.leavesIn = Millis(endpoint.leavesAtMillis - WallMillis());
    }
    configs.push_back(endpointConfig);
  }
  return configs;
}

wire::DispatchAskT
ToWireAsk(const std::string& aModel,
          const DispatchRequest& aRequest,
          const std::string& aRequester)
{
  wire::DispatchAskT ask;
  ask.model = aModel;
  ask.organisation = aRequest.organisation;
  ask.weight = aRequest.weight;
  ask.program = aRequest.program;
  ask.urgency = std::string(UrgencyName(aRequest.urgency));
  ask.prompt_tokens = aRequest.promptTokens;
  ask.max_tokens = aRequest.maxTokens;
  ask.program_served_tokens = aRequest.programServedTokens;
  ask.warm_endpoint = aRequest.warmEndpoint;
  ask.warm_tokens = aRequest.warmTokens;
  ask.avoid = aRequest.avoid;
  ask.timeout_ms =
    std::max<int64_t>(0, MillisBetween(Now(), aRequest.deadline));
  ask.borrower = aRequester;
  return ask;
}

} // namespace

DispatchService::DispatchService(const DaemonContext& aContext)
  : context(aContext)
  , nextId(StableHash(RandomHex(8)) / 2 + 1)
  , windDown(aContext)
{
}

DispatchService::~DispatchService()
{
  this->Stop();
}

void
DispatchService::Start()
{
  this->queueTimer = std::thread([this] { this->RunQueueTimer(); });
  this->loadPoller = std::thread([this] { this->RunLoadPolling(); });
  this->windDown.Start();
}

void
DispatchService::Stop()
{
  this->stopping = true;
  this->windDown.Stop();
  if (this->queueTimer.joinable()) {
    this->queueTimer.join();
  }
  if (this->loadPoller.joinable()) {
    this->loadPoller.join();
  }
}

Result<DispatchGrant>
DispatchService::Acquire(const std::string& aModel,
                         const DispatchRequest& aRequest,
                         const std::function<bool()>& aCancelled)
{
  TimePoint ownerSeenAt = Now();
  while (!aCancelled()) {
    const OwnerLocation owner = FindOwner(this->context, SlotKey(aModel));
    std::optional<Refusal> refusal;
    std::optional<DispatchGrant> grant;
    const TimePoint attemptedAt = Now();
    if (owner.isSelf) {
      grant = this->AcquireLocally(aModel, aRequest, aCancelled, refusal);
    } else if (!owner.peerAddress.empty()) {
      grant =
        this->AcquireFromOwner(aModel, owner, aRequest, aCancelled, refusal);
    }
    if (grant) {
      return *grant;
    }
    if (refusal) {
      return *refusal;
    }
    if (Now() >= aRequest.deadline) {
      return MakeRefusal(RefusalReason::kDeadlineExceeded,
                         "no endpoint was granted before the deadline");
    }
    if (Now() - attemptedAt > kOwnerTimeout) {
      // The call was queued at an owner until now.
      ownerSeenAt = Now();
    }
    if (Now() - ownerSeenAt > kOwnerTimeout) {
      return this->PickWithoutOwner(aModel, aRequest);
    }
    this->context.metrics.Count("tanagerseam_retries_total",
                                { { "reason", "dispatch_owner" } });
    std::this_thread::sleep_for(kOwnerRetryDelay);
  }
  return MakeRefusal(RefusalReason::kDeadlineExceeded,
                     "call cancelled by the caller");
}

std::optional<DispatchGrant>
DispatchService::AcquireLocally(const std::string& aModel,
                                const DispatchRequest& aRequest,
                                const std::function<bool()>& aCancelled,
                                std::optional<Refusal>& aRefusal)
{
  Result<DispatchGrant> own = this->AcquireAsOwner(
    aModel, aRequest, this->context.settings.host, aCancelled);
  if (IsOk(own)) {
    return std::get<DispatchGrant>(own);
  }
  const Refusal& refusal = std::get<Refusal>(own);
  const bool retryable =
    refusal.reason == RefusalReason::kOwnerUnavailable && !this->stopping;
  if (!retryable) {
    aRefusal = refusal;
  }
  return std::nullopt;
}

std::optional<DispatchGrant>
DispatchService::AcquireFromOwner(const std::string& aModel,
                                  const OwnerLocation& aOwner,
                                  const DispatchRequest& aRequest,
                                  const std::function<bool()>& aCancelled,
                                  std::optional<Refusal>& aRefusal)
{
  wire::AskUnion ask;
  ask.Set(ToWireAsk(aModel, aRequest, this->context.settings.host));
  auto stream = this->context.peers.Open(aOwner.peerAddress, std::move(ask));
  while (true) {
    PeerOutcome outcome = stream->Next(kRecheckInterval);
    if (auto* failure = std::get_if<PeerFailure>(&outcome)) {
      const OwnerLocation current = FindOwner(this->context, SlotKey(aModel));
      const bool ownerChanged =
        current.host != aOwner.host || current.epoch != aOwner.epoch;
      if (!failure->timedOut || ownerChanged || aCancelled() ||
          Now() >= aRequest.deadline) {
        return std::nullopt;
      }
      continue;
    }
    const wire::FrameT& frame = std::get<wire::FrameT>(outcome);
    if (const auto* granted = frame.answer.AsDispatchAnswer()) {
      return DispatchGrant{
        aModel, granted->endpoint, granted->grant, aOwner.peerAddress
      };
    }
    if (const auto* refused = frame.answer.AsRefusalAnswer()) {
      const Refusal refusal = FromWire(*refused);
      if (refusal.reason != RefusalReason::kOwnerUnavailable) {
        aRefusal = refusal;
      }
    }
    return std::nullopt;
  }
}

Result<DispatchGrant>
DispatchService::PickWithoutOwner(const std::string& aModel,
                                  const DispatchRequest& aRequest)
{
  const auto config = this->context.journal.Config();
  std::vector<std::string> names;
  for (const EndpointConfig& endpointConfig :
       EndpointConfigsFor(config->desired, aModel)) {
    const auto& avoid = aRequest.avoid;
    const bool avoided =
      std::find(avoid.begin(), avoid.end(), endpointConfig.name) != avoid.end();
    if (endpointConfig.leaving || avoided) {
      continue;
    }
    if (endpointConfig.name == aRequest.warmEndpoint) {
      return DispatchGrant{ aModel, endpointConfig.name, 0, "" };
    }
    names.push_back(endpointConfig.name);
  }
  if (names.empty()) {
    return MakeRefusal(RefusalReason::kNoEndpoint,
                       "no usable endpoint serves model " + aModel);
  }
  this->context.metrics.Count("tanagerseam_dispatch_without_owner_total", {});
  const uint64_t hash = StableHash(aRequest.program + "/" + aModel);
  return DispatchGrant{ aModel, names[hash % names.size()], 0, "" };
}

void
DispatchService::Release(const DispatchGrant& aGrant,
                         int64_t aUsedTokens,
                         DispatchResult aResult)
{
  if (aGrant.id == 0) {
    return;
  }
  if (aGrant.ownerAddress.empty()) {
    this->ReleaseAsOwner(aGrant.model, aGrant.id, aUsedTokens, aResult);
    return;
  }
  const PendingRelease release{ aGrant, aUsedTokens, aResult, Now() };
  if (!this->SendRelease(release)) {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->failedReleases.push_back(release);
  }
}

bool
DispatchService::SendRelease(const PendingRelease& aRelease)
{
  wire::DispatchDoneAskT done;
  done.model = aRelease.grant.model;
  done.grant = aRelease.grant.id;
  done.used_tokens = aRelease.usedTokens;
  done.result = static_cast<uint8_t>(aRelease.result);
  const PeerOutcome outcome = this->context.peers.AskOnce(
    aRelease.grant.ownerAddress, std::move(done), kReleaseTimeout);
  return std::holds_alternative<wire::FrameT>(outcome);
}

void
DispatchService::RetryReleases()
{
  std::vector<PendingRelease> releases;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    releases.swap(this->failedReleases);
  }
  std::set<std::string> unreachable;
  for (const PendingRelease& release : releases) {
    const std::string& owner = release.grant.ownerAddress;
    const bool expired =
      Now() - release.since > this->context.settings.defaultCallTimeout * 2;
    if (expired || this->stopping) {
      continue;
    }
    // At most one time-out per owner and round, so that an unreachable owner
    // does not delay the releases to others.
    if (unreachable.count(owner) != 0 || !this->SendRelease(release)) {
      unreachable.insert(owner);
      std::lock_guard<std::mutex> lock(this->mutex);
      this->failedReleases.push_back(release);
    }
  }
}

std::set<int>
DispatchService::BusySlots()
{
  std::vector<std::string> busy;
  for (const auto& [model, queue] : this->Queues()) {
    std::lock_guard<std::mutex> lock(queue->mutex);
    if (!queue->calls.empty()) {
      busy.push_back(SlotKey(model));
    }
  }
  return SlotsOf(this->context, busy);
}

std::map<std::string, std::shared_ptr<DispatchService::ModelQueue>>
DispatchService::Queues()
{
  std::lock_guard<std::mutex> lock(this->mutex);
  return this->queues;
}

std::shared_ptr<DispatchService::ModelQueue>
DispatchService::FindOrCreateQueue(const std::string& aModel, int64_t aEpoch)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  std::shared_ptr<ModelQueue>& queue = this->queues[aModel];
  if (!queue || queue->epoch < aEpoch) {
    queue = std::make_shared<ModelQueue>();
    queue->epoch = aEpoch;
    queue->scheduler = std::make_unique<Scheduler>(
      this->context.settings.scheduler, StableHash(RandomHex(8)));
  }
  return queue;
}

Result<DispatchGrant>
DispatchService::AcquireAsOwner(const std::string& aModel,
                                DispatchRequest aRequest,
                                const std::string& aRequester,
                                const std::function<bool()>& aCancelled)
{
  const OwnerLocation owner = FindOwner(this->context, SlotKey(aModel));
  if (!owner.isSelf || !this->context.mayActAsOwner(owner.slot)) {
    return MakeRefusal(RefusalReason::kOwnerUnavailable,
                       "this daemon does not own model " + aModel);
  }
  const auto queue = this->FindOrCreateQueue(aModel, owner.epoch);
  const uint64_t id = this->nextId++;
  aRequest.id = id;
  aRequest.warmEndpoint = this->windDown.FindPrefixEndpoint(
    aRequest.program, aRequest.warmEndpoint, aRequest.warmTokens);
  std::unique_lock<std::mutex> lock(queue->mutex);
  this->UpdateEndpoints(aModel, *queue);
  if (!queue->scheduler->Enqueue(aRequest, Now())) {
    return MakeRefusal(RefusalReason::kOverloaded,
                       "the queue of waiting calls is full");
  }
  queue->calls[id] = CallEntry{ aRequester,   this->IncarnationOf(aRequester),
                                false,        "",
                                std::nullopt, Now() };
  this->DeliverDecisions(*queue);
  while (true) {
    CallEntry& call = queue->calls[id];
    if (call.granted) {
      return DispatchGrant{ aModel, call.endpoint, id, "" };
    }
    if (call.refused) {
      const RefusalReason reason = *call.refused;
      queue->calls.erase(id);
      return MakeRefusal(reason,
                         "call expired in the queue of model " + aModel);
    }
    const bool ownerChanged =
      FindOwner(this->context, SlotKey(aModel)).epoch != owner.epoch;
    if (ownerChanged || aCancelled() || this->stopping) {
      queue->scheduler->Cancel(id);
      queue->calls.erase(id);
      return MakeRefusal(
        RefusalReason::kOwnerUnavailable,
        ownerChanged ? "the owner of the model changed while the call waited"
                     : "cancelled");
    }
    queue->changed.wait_for(lock, kRecheckInterval);
  }
}

void
DispatchService::ReleaseAsOwner(const std::string& aModel,
                                uint64_t aGrantId,
                                int64_t aUsedTokens,
                                DispatchResult aResult)
{
  const auto queues = this->Queues();
  const auto found = queues.find(aModel);
  if (found == queues.end()) {
    return;
  }
  ModelQueue& queue = *found->second;
  std::lock_guard<std::mutex> lock(queue.mutex);
  if (queue.calls.erase(aGrantId) == 0) {
    return;
  }
  queue.scheduler->Finish(aGrantId, aUsedTokens, aResult, Now());
  this->DeliverDecisions(queue);
}

void
DispatchService::UpdateEndpoints(const std::string& aModel, ModelQueue& aQueue)
{
  const auto config = this->context.journal.Config();
  aQueue.scheduler->SetEndpoints(EndpointConfigsFor(config->desired, aModel),
                                 Now());
  aQueue.configVersion = config->version;
}

void
DispatchService::DeliverDecisions(ModelQueue& aQueue)
{
  bool decided = false;
  for (const Grant& grant : aQueue.scheduler->TakeGrants(Now())) {
    CallEntry& call = aQueue.calls[grant.id];
    call.granted = true;
    call.endpoint = grant.endpoint;
    this->context.metrics.Observe("tanagerseam_queue_wait_seconds",
                                  {},
                                  double(MillisBetween(call.since, Now())) /
                                    1000);
    decided = true;
  }
  for (const ExpiredCall& expired : aQueue.scheduler->TakeExpired(Now())) {
    aQueue.calls[expired.id].refused = expired.reason;
    decided = true;
  }
  if (decided) {
    aQueue.changed.notify_all();
  }
}

std::string
DispatchService::IncarnationOf(const std::string& aHost) const
{
  return this->context.journal.With([&](const ClusterState& aState) {
    const auto member = aState.Members().find(aHost);
    return member == aState.Members().end() ? std::string()
                                            : member->second.incarnation;
  });
}

void
DispatchService::ReclaimLostGrants(ModelQueue& aQueue)
{
  for (auto it = aQueue.calls.begin(); it != aQueue.calls.end();) {
    const CallEntry& call = it->second;
    // A restarted host has lost the grants of its previous incarnation.
    const bool restarted =
      !call.incarnation.empty() &&
      this->IncarnationOf(call.requester) != call.incarnation;
    const bool expired =
      Now() - call.since > this->context.settings.defaultCallTimeout * 2;
    if (call.granted && (restarted || expired)) {
      aQueue.scheduler->Finish(it->first, 0, DispatchResult::kCancelled, Now());
      it = aQueue.calls.erase(it);
    } else {
      ++it;
    }
  }
}

void
DispatchService::RunQueueTimer()
{
  while (!this->stopping) {
    std::this_thread::sleep_for(kQueueCheckInterval);
    for (const auto& entry : this->Queues()) {
      std::lock_guard<std::mutex> lock(entry.second->mutex);
      if (entry.second->scheduler->QueueLength() > 0) {
        this->UpdateEndpoints(entry.first, *entry.second);
        this->DeliverDecisions(*entry.second);
      }
    }
  }
}

void
DispatchService::RunLoadPolling()
{
  while (!this->stopping) {
    this->RetryReleases();
    this->PollLoads();
    std::this_thread::sleep_for(this->context.settings.loadPollInterval);
  }
}

void
DispatchService::ReleaseFinishedPrograms(
  const Endpoint& aEndpoint,
  const std::vector<std::string>& aHeldPrograms)
{
  const Journal& journal = this->context.journal;
  if (!journal.CaughtUp() || journal.LogFailing()) {
    this->cacheReleases.Reset();
    return;
  }
  const int64_t wallMillis = WallMillis();
  const auto statusOf = [&](const std::string& aProgram) {
    return journal.With([&](const ClusterState& aState) {
      return ProgramStatusOf(aState, aProgram, wallMillis);
    });
  };
  for (const std::string& program : this->cacheReleases.SelectReleases(
         aEndpoint.name, aHeldPrograms, statusOf, Now())) {
    // Fencing: model calls carry the epoch of the program's owner, so the
    // engine refuses a release based on a stale replay once a newer owner has
    // called it.
    const int64_t epoch = FindOwner(this->context, ProgramKey(program)).epoch;
    const Result<Done> done =
      ReleasePrefixCache(this->context.http, aEndpoint.address, program, epoch);
    this->context.metrics.Count("tanagerseam_engine_releases_total",
                                { { "done", IsOk(done) ? "yes" : "no" } });
    if (!IsOk(done)) {
      return;
    }
  }
}

void
DispatchService::PollLoads()
{
  const auto config = this->context.journal.Config();
  std::map<std::string, std::vector<std::string>> ownedModels;
  std::map<std::string, int64_t> slotEpochs;
  for (const auto& entry : config->desired.endpoints) {
    for (const std::string& model : entry.second.models) {
      const OwnerLocation owner = FindOwner(this->context, SlotKey(model));
      if (owner.isSelf) {
        ownedModels[entry.first].push_back(model);
        slotEpochs[model] = owner.epoch;
      }
    }
  }
  for (const auto& entry : ownedModels) {
    if (this->stopping) {
      return;
    }
    const Endpoint& endpoint = config->desired.endpoints.at(entry.first);
    Result<EngineLoad> load =
      FetchEngineLoad(this->context.http, endpoint.address);
    if (!IsOk(load)) {
      continue;
    }
    const EngineLoad& engine = std::get<EngineLoad>(load);
    this->ReleaseFinishedPrograms(endpoint, engine.heldPrograms);
    this->windDown.OnLoadReport(entry.first, engine);
    LoadReport report;
    report.endpoint = entry.first;
    report.running = engine.running;
    report.queued = engine.queued;
    report.heldPrograms = int(engine.heldPrograms.size());
    report.prefillMillisPerToken = engine.prefillMillisPerToken;
    report.decodeMillisPerToken = engine.decodeMillisPerToken;
    report.age = Millis(engine.ageMillis);
    for (const std::string& model : entry.second) {
      const auto queue = this->FindOrCreateQueue(model, slotEpochs.at(model));
      std::lock_guard<std::mutex> lock(queue->mutex);
      this->UpdateEndpoints(model, *queue);
      queue->scheduler->OnReport(report, Now());
      this->ReclaimLostGrants(*queue);
      this->DeliverDecisions(*queue);
    }
  }
  for (const auto& entry : ownedModels) {
    for (const std::string& model : entry.second) {
      const auto queue = this->FindOrCreateQueue(model, slotEpochs.at(model));
      std::lock_guard<std::mutex> lock(queue->mutex);
      this->context.metrics.Set("tanagerseam_queue_length",
                                { { "model", model } },
                                double(queue->scheduler->QueueLength()));
    }
  }
}

} // namespace tanagerseam
