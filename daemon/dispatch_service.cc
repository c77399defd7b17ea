#include "daemon/dispatch_service.h"

#include <algorithm>

namespace tanagerseam {

namespace {

// How often waiting calls are looked at when nothing else wakes the queue.
constexpr Millis kTick(10);
constexpr Millis kNextLimit(200);
// Time without an owner after which a daemon picks an endpoint itself.
constexpr Millis kOwnerPatience(700);
constexpr Millis kOwnerPause(50);
constexpr Millis kDonePatience(500);

std::string
SlotKey(const std::string& aModel)
{
  return "model/" + aModel;
}

std::vector<EndpointConfig>
ViewsOf(const DesiredState& aDesired, const std::string& aModel)
{
  std::vector<EndpointConfig> views;
  for (const auto& entry : aDesired.endpoints) {
    const Endpoint& endpoint = entry.second;
    const auto& models = endpoint.models;
    const bool serves =
      std::find(models.begin(), models.end(), aModel) != models.end();
    if (endpoint.kind != EndpointKind::kModelEngine || !serves) {
      continue;
    }
    EndpointConfig view;
    view.name = endpoint.name;
    view.zone = endpoint.zone;
    view.capacity = endpoint.capacity;
    view.leaving = IsLeaving(endpoint);
    if (endpoint.leavesAtMillis > 0) {
      view.leavesIn = Millis(endpoint.leavesAtMillis - WallMillis());
    }
    views.push_back(view);
  }
  return views;
}

wire::DispatchAskT
ToAsk(const std::string& aModel,
      const DispatchRequest& aRequest,
      const std::string& aBorrower)
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
  ask.borrower = aBorrower;
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
  this->ticker = std::thread([this] { this->RunTicker(); });
  this->poller = std::thread([this] { this->RunPolls(); });
  this->windDown.Start();
}

void
DispatchService::Stop()
{
  this->stopping = true;
  this->windDown.Stop();
  if (this->ticker.joinable()) {
    this->ticker.join();
  }
  if (this->poller.joinable()) {
    this->poller.join();
  }
}

Result<DispatchSlot>
DispatchService::Acquire(const std::string& aModel,
                         const DispatchRequest& aRequest,
                         const std::function<bool()>& aCancelled)
{
  TimePoint lastOwner = Now();
  while (!aCancelled()) {
    const OwnerPlace place = FindOwner(this->context, SlotKey(aModel));
    std::optional<Refusal> refusal;
    std::optional<DispatchSlot> slot;
    const TimePoint askedAt = Now();
    if (place.isSelf) {
      slot = this->AskSelf(aModel, aRequest, aCancelled, refusal);
    } else if (!place.peerAddress.empty()) {
      slot = this->AskOwner(aModel, place, aRequest, aCancelled, refusal);
    }
    if (slot) {
      return *slot;
    }
    if (refusal) {
      return *refusal;
    }
    if (Now() >= aRequest.deadline) {
      return MakeRefusal(RefusalReason::kDeadlineExceeded,
                         "no endpoint became free in time");
    }
    if (Now() - askedAt > kOwnerPatience) {
      // It waited with an owner until now.
      lastOwner = Now();
    }
    if (Now() - lastOwner > kOwnerPatience) {
      return this->PickAlone(aModel, aRequest);
    }
    this->context.metrics.Count("tanagerseam_retries_total",
                                { { "reason", "dispatch_owner" } });
    std::this_thread::sleep_for(kOwnerPause);
  }
  return MakeRefusal(RefusalReason::kDeadlineExceeded, "the caller has gone");
}

std::optional<DispatchSlot>
DispatchService::AskSelf(const std::string& aModel,
                         const DispatchRequest& aRequest,
                         const std::function<bool()>& aCancelled,
                         std::optional<Refusal>& aRefusal)
{
  Result<DispatchSlot> own =
    this->OnAsk(aModel, aRequest, this->context.settings.host, aCancelled);
  if (IsOk(own)) {
    return std::get<DispatchSlot>(own);
  }
  const Refusal& refusal = std::get<Refusal>(own);
  const bool moved =
    refusal.reason == RefusalReason::kOwnerUnavailable && !this->stopping;
  if (!moved) {
    aRefusal = refusal;
  }
  return std::nullopt;
}

std::optional<DispatchSlot>
DispatchService::AskOwner(const std::string& aModel,
                          const OwnerPlace& aPlace,
                          const DispatchRequest& aRequest,
                          const std::function<bool()>& aCancelled,
                          std::optional<Refusal>& aRefusal)
{
  wire::AskUnion ask;
  ask.Set(ToAsk(aModel, aRequest, this->context.settings.host));
  auto stream = this->context.peers.Open(aPlace.peerAddress, std::move(ask));
  while (true) {
    PeerOutcome outcome = stream->Next(kNextLimit);
    if (auto* failure = std::get_if<PeerFailure>(&outcome)) {
      const OwnerPlace now = FindOwner(this->context, SlotKey(aModel));
      const bool moved = now.host != aPlace.host || now.epoch != aPlace.epoch;
      if (!failure->timedOut || moved || aCancelled() ||
          Now() >= aRequest.deadline) {
        return std::nullopt;
      }
      continue;
    }
    const wire::FrameT& frame = std::get<wire::FrameT>(outcome);
    if (const auto* granted = frame.answer.AsDispatchAnswer()) {
      return DispatchSlot{
        aModel, granted->endpoint, granted->grant, aPlace.peerAddress
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

Result<DispatchSlot>
DispatchService::PickAlone(const std::string& aModel,
                           const DispatchRequest& aRequest)
{
  const auto config = this->context.journal.Config();
  std::vector<std::string> names;
  for (const EndpointConfig& view : ViewsOf(config->desired, aModel)) {
    const auto& avoid = aRequest.avoid;
    const bool avoided =
      std::find(avoid.begin(), avoid.end(), view.name) != avoid.end();
    if (view.leaving || avoided) {
      continue;
    }
    if (view.name == aRequest.warmEndpoint) {
      return DispatchSlot{ aModel, view.name, 0, "" };
    }
    names.push_back(view.name);
  }
  if (names.empty()) {
    return MakeRefusal(RefusalReason::kNoEndpoint, "model " + aModel);
  }
  this->context.metrics.Count("tanagerseam_dispatch_without_owner_total", {});
  const uint64_t hash = StableHash(aRequest.program + "/" + aModel);
  return DispatchSlot{ aModel, names[hash % names.size()], 0, "" };
}

void
DispatchService::Release(const DispatchSlot& aSlot,
                         int64_t aUsedTokens,
                         DispatchResult aResult)
{
  if (aSlot.grant == 0) {
    return;
  }
  if (aSlot.ownerAddress.empty()) {
    this->OnDone(aSlot.model, aSlot.grant, aUsedTokens, aResult);
    return;
  }
  const PlaceReturn place{ aSlot, aUsedTokens, aResult, Now() };
  if (!this->Return(place)) {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->unreturned.push_back(place);
  }
}

bool
DispatchService::Return(const PlaceReturn& aPlace)
{
  wire::DispatchDoneAskT done;
  done.model = aPlace.slot.model;
  done.grant = aPlace.slot.grant;
  done.used_tokens = aPlace.usedTokens;
  done.result = static_cast<uint8_t>(aPlace.result);
  const PeerOutcome outcome = this->context.peers.AskOnce(
    aPlace.slot.ownerAddress, std::move(done), kDonePatience);
  return std::holds_alternative<wire::FrameT>(outcome);
}

void
DispatchService::ReturnAgain()
{
  std::vector<PlaceReturn> places;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    places.swap(this->unreturned);
  }
  std::set<std::string> silent;
  for (const PlaceReturn& place : places) {
    const std::string& owner = place.slot.ownerAddress;
    const bool forgotten =
      Now() - place.since > this->context.settings.callTimeout * 2;
    if (forgotten || this->stopping) {
      continue;
    }
    // One silent owner must not hold up the others.
    if (silent.count(owner) != 0 || !this->Return(place)) {
      silent.insert(owner);
      std::lock_guard<std::mutex> lock(this->mutex);
      this->unreturned.push_back(place);
    }
  }
}

std::set<int>
DispatchService::BusySlots()
{
  std::vector<std::string> busy;
  for (const auto& [model, queue] : this->Queues()) {
    std::lock_guard<std::mutex> lock(queue->mutex);
    if (!queue->tickets.empty()) {
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
DispatchService::QueueOf(const std::string& aModel, int64_t aEpoch)
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

Result<DispatchSlot>
DispatchService::OnAsk(const std::string& aModel,
                       DispatchRequest aRequest,
                       const std::string& aBorrower,
                       const std::function<bool()>& aCancelled)
{
  const OwnerPlace place = FindOwner(this->context, SlotKey(aModel));
  if (!place.isSelf || !this->context.mayAct(place.slot)) {
    return MakeRefusal(RefusalReason::kOwnerUnavailable,
                       "not the owner of model " + aModel);
  }
  const auto queue = this->QueueOf(aModel, place.epoch);
  const uint64_t id = this->nextId++;
  aRequest.id = id;
  aRequest.warmEndpoint = this->windDown.WarmEndpoint(
    aRequest.program, aRequest.warmEndpoint, aRequest.warmTokens);
  std::unique_lock<std::mutex> lock(queue->mutex);
  this->Refresh(aModel, *queue);
  if (!queue->scheduler->Enqueue(aRequest, Now())) {
    return MakeRefusal(RefusalReason::kOverloaded, "too many calls wait");
  }
  queue->tickets[id] =
    Ticket{ aBorrower, this->IncarnationOf(aBorrower), false, "", std::nullopt,
            Now() };
  this->Advance(*queue);
  while (true) {
    Ticket& ticket = queue->tickets[id];
    if (ticket.granted) {
      return DispatchSlot{ aModel, ticket.endpoint, id, "" };
    }
    if (ticket.refused) {
      const RefusalReason reason = *ticket.refused;
      queue->tickets.erase(id);
      return MakeRefusal(reason, "model " + aModel);
    }
    const bool moved =
      FindOwner(this->context, SlotKey(aModel)).epoch != place.epoch;
    if (moved || aCancelled() || this->stopping) {
      queue->scheduler->Cancel(id);
      queue->tickets.erase(id);
      return MakeRefusal(RefusalReason::kOwnerUnavailable,
                         moved ? "the model's owner changed" : "cancelled");
    }
    queue->changed.wait_for(lock, kNextLimit);
  }
}

void
DispatchService::OnDone(const std::string& aModel,
                        uint64_t aGrant,
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
  if (queue.tickets.erase(aGrant) == 0) {
    return;
  }
  queue.scheduler->Finish(aGrant, aUsedTokens, aResult, Now());
  this->Advance(queue);
}

void
DispatchService::Refresh(const std::string& aModel, ModelQueue& aQueue)
{
  const auto config = this->context.journal.Config();
  aQueue.scheduler->SetEndpoints(ViewsOf(config->desired, aModel), Now());
  aQueue.configVersion = config->version;
}

void
DispatchService::Advance(ModelQueue& aQueue)
{
  bool moved = false;
  for (const Grant& grant : aQueue.scheduler->TakeGrants(Now())) {
    Ticket& ticket = aQueue.tickets[grant.id];
    ticket.granted = true;
    ticket.endpoint = grant.endpoint;
    this->context.metrics.Observe("tanagerseam_queue_wait_seconds",
                                  {},
                                  double(MillisBetween(ticket.since, Now())) /
                                    1000);
    moved = true;
  }
  for (const ExpiredCall& expired : aQueue.scheduler->TakeExpired(Now())) {
    aQueue.tickets[expired.id].refused = expired.reason;
    moved = true;
  }
  if (moved) {
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
DispatchService::DropLostBorrowers(ModelQueue& aQueue)
{
  for (auto it = aQueue.tickets.begin(); it != aQueue.tickets.end();) {
    const Ticket& ticket = it->second;
    // A host that started again holds none of what it held before.
    const bool gone =
      !ticket.incarnation.empty() &&
      this->IncarnationOf(ticket.borrower) != ticket.incarnation;
    const bool forgotten =
      Now() - ticket.since > this->context.settings.callTimeout * 2;
    if (ticket.granted && (gone || forgotten)) {
      aQueue.scheduler->Finish(it->first, 0, DispatchResult::kCancelled, Now());
      it = aQueue.tickets.erase(it);
    } else {
      ++it;
    }
  }
}

void
DispatchService::RunTicker()
{
  while (!this->stopping) {
    std::this_thread::sleep_for(kTick);
    for (const auto& entry : this->Queues()) {
      std::lock_guard<std::mutex> lock(entry.second->mutex);
      if (entry.second->scheduler->QueueLength() > 0) {
        this->Refresh(entry.first, *entry.second);
        this->Advance(*entry.second);
      }
    }
  }
}

void
DispatchService::RunPolls()
{
  while (!this->stopping) {
    this->ReturnAgain();
    this->PollLoads();
    std::this_thread::sleep_for(this->context.settings.loadPollEvery);
  }
}

void
DispatchService::ReleaseGone(const Endpoint& aEndpoint,
                             const std::vector<std::string>& aHeld)
{
  const Journal& journal = this->context.journal;
  if (!journal.CaughtUp() || journal.LogFailing()) {
    this->engineMemory.Restart();
    return;
  }
  const int64_t wallMillis = WallMillis();
  const auto standingOf = [&](const std::string& aProgram) {
    return journal.With([&](const ClusterState& aState) {
      return StandingOf(aState, aProgram, wallMillis);
    });
  };
  for (const std::string& program :
       this->engineMemory.ToRelease(aEndpoint.name, aHeld, standingOf, Now())) {
    // Calls carry the epoch of the program's owner, so a release decided on an
    // old replay is refused where a newer owner has called since.
    const int64_t epoch = FindOwner(this->context, ProgramKey(program)).epoch;
    const Result<Done> done = ReleaseEngineProgram(
      this->context.http, aEndpoint.address, program, epoch);
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
  std::map<std::string, std::vector<std::string>> modelsOf;
  std::map<std::string, int64_t> epochOf;
  for (const auto& entry : config->desired.endpoints) {
    for (const std::string& model : entry.second.models) {
      const OwnerPlace place = FindOwner(this->context, SlotKey(model));
      if (place.isSelf) {
        modelsOf[entry.first].push_back(model);
        epochOf[model] = place.epoch;
      }
    }
  }
  for (const auto& entry : modelsOf) {
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
    this->ReleaseGone(endpoint, engine.heldPrograms);
    this->windDown.OnLoad(entry.first, engine);
    LoadReport report;
    report.endpoint = entry.first;
    report.running = engine.running;
    report.queued = engine.queued;
    report.heldPrograms = int(engine.heldPrograms.size());
    report.prefillMillisPerToken = engine.prefillMillisPerToken;
    report.decodeMillisPerToken = engine.decodeMillisPerToken;
    report.age = Millis(engine.ageMillis);
    for (const std::string& model : entry.second) {
      const auto queue = this->QueueOf(model, epochOf.at(model));
      std::lock_guard<std::mutex> lock(queue->mutex);
      this->Refresh(model, *queue);
      queue->scheduler->OnReport(report, Now());
      this->DropLostBorrowers(*queue);
      this->Advance(*queue);
    }
  }
  for (const auto& entry : modelsOf) {
    for (const std::string& model : entry.second) {
      const auto queue = this->QueueOf(model, epochOf.at(model));
      std::lock_guard<std::mutex> lock(queue->mutex);
      this->context.metrics.Set("tanagerseam_queue_length",
                                { { "model", model } },
                                double(queue->scheduler->QueueLength()));
    }
  }
}

} // namespace tanagerseam
