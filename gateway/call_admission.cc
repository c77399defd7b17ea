// The steps of a call up to its placement.
#include <algorithm>

#include "gateway/call_flow.h"

namespace tanagerseam {

namespace {

// For a client that names no deadline, on a route without a shorter limit.
constexpr Millis kLongestCall(600000);
// For a client that another host can serve at once.
constexpr Millis kRetryElsewhere(50);
// For the log, before a call is placed.
constexpr Millis kLongestLogWait(600);

} // namespace

void
CallFlow::Start()
{
  this->reply->OnGone([weak = this->weak_from_this()] {
    if (auto self = weak.lock()) {
      self->OnClientGone();
    }
  });
  if (!this->state.takesCalls) {
    this->RefuseUntil(
      RefusalReason::kNotReady, "the host is about to end", kRetryElsewhere);
    return;
  }
  if (!this->FindRoute() || !this->CheckKey()) {
    return;
  }
  this->timer.expires_after(this->TimeLeft());
  this->timer.async_wait([self = this->shared_from_this()](const auto& aError) {
    if (!aError) {
      self->OnTimeUp();
    }
  });
  this->LoadHistory();
}

bool
CallFlow::FindRoute()
{
  GatewayState& shared = this->state;
  this->catalog = shared.catalog;
  if (!this->catalog || !shared.CatalogFresh(this->arrivedAt)) {
    this->RefuseUntil(RefusalReason::kNotReady,
                      "the configuration is not confirmed",
                      this->ComeBackAfter());
    return false;
  }
  this->route = this->catalog->FindRoute(this->call.host, this->call.target);
  if (this->route == nullptr) {
    this->Refuse(RefusalReason::kUnknownRoute, "no route matches");
    return false;
  }
  const Millis asked = this->call.timeLeft.value_or(kLongestCall);
  this->deadline =
    this->arrivedAt + std::min({ asked, this->route->timeout, kLongestCall });
  std::uniform_real_distribution<double> draw(0, 1);
  this->service = ChooseService(*this->route, draw(shared.random));
  const ServiceEntry* entry = this->catalog->FindService(this->service);
  this->tokensPerEvent = entry == nullptr ? 0 : entry->tokensPerEvent;
  this->priority = this->route->priority;
  return true;
}

bool
CallFlow::CheckKey()
{
  if (this->route->allowsAnonymous || !this->catalog->RequiresKeys()) {
    this->programKey = this->call.program ? "/" + this->call.program->id : "";
    return true;
  }
  if (this->call.key.empty()) {
    this->Refuse(RefusalReason::kKeyMissing, "no key came");
    return false;
  }
  this->organisation = this->catalog->FindOrganisation(this->call.key);
  if (this->organisation == nullptr) {
    this->Refuse(RefusalReason::kKeyUnknown, "the key is not known");
    return false;
  }
  this->priority = this->organisation->priority.value_or(this->priority);
  if (this->call.program) {
    this->programKey = this->organisation->name + "/" + this->call.program->id;
  }
  return true;
}

void
CallFlow::RefuseForQuota()
{
  const std::string& name = this->organisation->name;
  const QuotaStatus view = this->state.quota.Status(name, BootNow());
  this->RefuseUntil(
    RefusalReason::kRateExceeded,
    "organisation " + name + " pool " + std::to_string(view.fleetBucket) +
      " own " + std::to_string(view.hostBucket) + " promises " +
      std::to_string(view.reservationBucket) + " calls per program " +
      std::to_string(view.callsPerProgram) + " rate " +
      std::to_string(view.ratePerSecond) + " part " +
      std::to_string(view.demandShare) + " heard " +
      std::to_string(view.reachableMembers) + "/" +
      std::to_string(view.members),
    this->ComeBackAfter());
}

bool
CallFlow::TakeQuota()
{
  if (this->organisation == nullptr) {
    return true;
  }
  if (this->state.quota.AdmitCall(this->organisation->name, BootNow())) {
    this->quotaTaken = true;
    return true;
  }
  this->RefuseForQuota();
  return false;
}

// A call that the log keeps from beginning is refused while there is time left
// to come back.
TimePoint
CallFlow::LogDeadline() const
{
  return std::min(this->deadline, this->arrivedAt + kLongestLogWait);
}

void
CallFlow::LoadHistory()
{
  if (!this->route->retainsHistory || !this->call.program ||
      this->call.program->previousTurn.empty()) {
    this->ReserveTokens();
    return;
  }
  const std::string name =
    this->organisation == nullptr ? "" : this->organisation->name;
  this->state.history.Find(
    name,
    this->call.program->previousTurn,
    this->LogDeadline(),
    [self = this->shared_from_this()](const HistoryResult& aFound) {
      if (self->ended) {
        return;
      }
      if (const auto* transcript = std::get_if<Transcript>(&aFound)) {
        self->before = *transcript;
        self->ReserveTokens();
      } else if (std::get<HistoryMiss>(aFound) == HistoryMiss::kNoSuchTurn) {
        self->Refuse(RefusalReason::kProgramNotFound,
                     "the previous turn is not known");
      } else {
        self->RefuseUntil(RefusalReason::kLogUnavailable,
                          "the previous turn can't be read now",
                          self->ComeBackAfter());
      }
    });
}

void
CallFlow::ReserveTokens()
{
  const bool counted = this->route->kind == CallKind::kStream &&
                       this->call.program && this->call.program->tokenBudget;
  // A turn that is kept can't end without the log: better not begun.
  const bool needsLog = counted || this->route->retainsHistory;
  if (needsLog && this->state.persistentLog.IsUnavailable(BootNow())) {
    this->RefuseUntil(RefusalReason::kLogUnavailable,
                      "the log of turns and budgets is away",
                      this->ComeBackAfter());
    return;
  }
  if (!counted) {
    if (this->TakeQuota()) {
      this->Place();
    }
    return;
  }
  const int64_t most = std::max<int64_t>(this->call.outputTokens, 1);
  TokenRequest request;
  request.program = this->programKey;
  request.organisation =
    this->organisation == nullptr ? "" : this->organisation->name;
  request.continuesProgram = !this->call.program->previousTurn.empty();
  request.programBudget = *this->call.program->tokenBudget;
  request.maxTokens = most;
  this->state.turnBudgets.Reserve(
    request,
    this->LogDeadline(),
    [self = this->shared_from_this()](TurnVerdict aVerdict,
                                      const TurnReservation& aReservation) {
      self->OnTokens(aVerdict, aReservation);
    });
}

void
CallFlow::OnTokens(TurnVerdict aVerdict, const TurnReservation& aReservation)
{
  if (this->ended) {
    if (aVerdict == TurnVerdict::kReserved) {
      this->state.turnBudgets.Settle(aReservation, 0);
    }
    return;
  }
  switch (aVerdict) {
    case TurnVerdict::kReserved:
      this->reservation = aReservation;
      if (this->TakeQuota()) {
        this->Place();
      }
      return;
    case TurnVerdict::kSpent:
      this->Refuse(RefusalReason::kBudgetExhausted,
                   "the program's budget does not hold this turn");
      return;
    case TurnVerdict::kOverQuota:
      this->RefuseForQuota();
      return;
    case TurnVerdict::kUnknown:
      this->RefuseUntil(RefusalReason::kLogUnavailable,
                        "the program's budget can't be checked now",
                        this->ComeBackAfter());
  }
}

DispatchCall
CallFlow::Work() const
{
  DispatchCall work;
  work.id = this->number;
  work.service = this->service;
  work.route = this->route->name;
  work.priority = this->priority;
  work.beginsProgram = this->reservation && this->reservation->begins;
  work.programDeadline = this->deadline;
  if (this->call.program && this->call.program->finishWithin) {
    work.programDeadline = this->arrivedAt + *this->call.program->finishWithin;
  }
  work.prompt = this->call.prompt;
  work.cacheGroup = this->programKey;
  work.affinityKey = this->call.affinity;
  work.maxOutputTokens =
    this->route->kind == CallKind::kStream ? this->call.outputTokens : 0;
  work.excludedEndpoints = this->tried;
  return work;
}

void
CallFlow::Place()
{
  const TimePoint now = BootNow();
  this->state.calls[this->number] = this->weak_from_this();
  const DispatchDecision choice =
    this->state.dispatcher.Submit(this->Work(), now);
  if (const auto* refused = std::get_if<Refused>(&choice)) {
    const bool none = refused->reason == DispatchRefusal::kNoEndpoint;
    this->RefuseUntil(none ? RefusalReason::kNoEndpoint
                           : RefusalReason::kOverloaded,
                      "load " + std::to_string(refused->utilisation),
                      this->ComeBackAfter());
    return;
  }
  this->placed = true;
  if (const auto* placement = std::get_if<Placement>(&choice)) {
    this->Send(*placement);
  }
}

} // namespace tanagerseam
