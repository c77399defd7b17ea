#include "daemon/rate_service.h"

#include <algorithm>
#include <thread>

namespace tanagerseam {

namespace {

constexpr Millis kOwnerRequestTimeout(400);
constexpr Millis kOwnerRetryPause(50);
// An older grant is discarded: the owner's lease may no longer cover its token.
constexpr Millis kMaxGrantAge(500);
// Longest wait for an owner or a token before a request is refused.
constexpr Millis kMaxTokenWait(8000);
constexpr Millis kMinRetryPause(5);
constexpr Millis kMaxRetryPause(500);
// Failed requests to the owner that are further apart belong to two outages.
constexpr Millis kMinOutageGap(1000);
// The grace period after an outage is this many times the outage's length, for
// the requests that it delayed.
constexpr int kGracePerOutageTime = 4;
// Waiting requests of one organisation hold at most one in this many workers.
constexpr size_t kWorkersPerWaiter = 2;

std::string
SlotKey(const std::string& aOrganisation)
{
  return "organisation/" + aOrganisation;
}

// The refusal of a request that waits no longer. Without a decision, or with a
// grant that arrived too late to be used, the reason is the missing owner.
Refusal
RefusalOf(const std::string& aOrganisation,
          const std::optional<RateDecision>& aDecision)
{
  if (!aDecision || aDecision->granted) {
    return MakeRefusal(RefusalReason::kOwnerUnavailable,
                       "no usable answer from the owner of organisation " +
                         aOrganisation + " in time");
  }
  Refusal refusal = MakeRefusal(RefusalReason::kRateExceeded,
                                "rate limit of organisation " + aOrganisation);
  refusal.retryAfter = aDecision->retryAfter;
  return refusal;
}

} // namespace

RateService::RateService(const DaemonContext& aContext)
  : context(aContext)
  , policy(Registry<RatePolicy>::Instance().Make(aContext.settings.ratePolicy))
  , buckets(aContext.settings.limit)
{
}

class RateService::WaiterPermit
{
public:
  WaiterPermit(RateService& aService, std::string aOrganisation)
    : service(aService)
    , organisation(std::move(aOrganisation))
  {
  }
  ~WaiterPermit()
  {
    if (this->taken) {
      std::lock_guard<std::mutex> lock(this->service.mutex);
      --this->service.waitingRequests[this->organisation];
    }
  }
  WaiterPermit(const WaiterPermit&) = delete;
  WaiterPermit& operator=(const WaiterPermit&) = delete;

  // False if too many requests of the organisation are waiting.
  bool TryAcquire()
  {
    if (this->taken) {
      return true;
    }
    const size_t maxWaiters =
      this->service.context.settings.maxWorkers / kWorkersPerWaiter;
    std::lock_guard<std::mutex> lock(this->service.mutex);
    size_t& waiters = this->service.waitingRequests[this->organisation];
    this->taken = waiters < maxWaiters;
    waiters += this->taken ? 1 : 0;
    return this->taken;
  }

private:
  RateService& service;
  const std::string organisation;
  bool taken = false;
};

std::optional<Refusal>
RateService::AcquireToken(const CallRequest& aCall)
{
  const std::string& organisation = aCall.organisation;
  const TimePoint waitUntil = std::min(aCall.deadline, Now() + kMaxTokenWait);
  WaiterPermit permit(*this, organisation);
  while (true) {
    const TimePoint requestedAt = Now();
    std::optional<RateDecision> decision = this->RequestToken(organisation);
    const TimePoint now = Now();
    const bool usable = now - requestedAt < kMaxGrantAge;
    if (decision && decision->granted && usable) {
      std::lock_guard<std::mutex> lock(this->mutex);
      this->loans.Add(organisation, *decision, requestedAt);
      return std::nullopt;
    }
    if (!decision) {
      this->RecordOwnerFailure(organisation, now);
    }
    const bool denied = decision && !decision->granted;
    if ((!decision || denied) && this->ConsumeLoan(organisation)) {
      return std::nullopt;
    }
    if (auto refusal =
          CheckApiKey(this->context, aCall.keyDigest, organisation)) {
      return refusal;
    }
    const bool mayWait = now < waitUntil && permit.TryAcquire();
    const bool mustRefuse = denied && !decision->wait &&
                            this->RemainingGrace(organisation) == Millis(0);
    if (!mayWait || mustRefuse) {
      return RefusalOf(organisation, decision);
    }
    this->context.metrics.Count("tanagerseam_retries_total",
                                { { "reason", "rate_owner" } });
    const Millis pause = decision ? decision->retryAfter : kOwnerRetryPause;
    std::this_thread::sleep_for(
      std::clamp(pause, kMinRetryPause, kMaxRetryPause));
  }
}

Millis
RateService::RemainingGrace(const std::string& aOrganisation)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  auto found = this->ownerOutages.find(aOrganisation);
  const TimePoint now = Now();
  if (found == this->ownerOutages.end() || now >= found->second.graceUntil) {
    return Millis(0);
  }
  return Millis(MillisBetween(now, found->second.graceUntil));
}

void
RateService::ExtendGrace(const std::string& aOrganisation, Millis aGrace)
{
  if (aGrace <= Millis(0)) {
    return;
  }
  const Millis longest = this->context.settings.limit.takeoverGrace;
  std::lock_guard<std::mutex> lock(this->mutex);
  OwnerOutage& entry = this->ownerOutages[aOrganisation];
  entry.graceUntil =
    std::max(entry.graceUntil, Now() + std::min(aGrace, longest));
}

void
RateService::RecordOwnerFailure(const std::string& aOrganisation,
                                TimePoint aNow)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  OwnerOutage& entry = this->ownerOutages[aOrganisation];
  if (aNow - entry.last > kMinOutageGap) {
    entry.since = aNow;
  }
  entry.last = aNow;
  const Millis grace =
    (Millis(MillisBetween(entry.since, aNow)) + kOwnerRetryPause) *
    kGracePerOutageTime;
  entry.graceUntil =
    aNow + std::min(grace, this->context.settings.limit.takeoverGrace);
}

bool
RateService::ConsumeLoan(const std::string& aOrganisation)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  if (!this->loans.TryConsume(aOrganisation, Now())) {
    return false;
  }
  this->context.metrics.Count("tanagerseam_rate_loans_used_total", {});
  return true;
}

void
RateService::ReturnLoans()
{
  std::vector<ClosedLoan> closed;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    closed = this->loans.TakeClosed(Now());
  }
  for (const ClosedLoan& loan : closed) {
    const OwnerLocation place =
      FindOwner(this->context, SlotKey(loan.organisation));
    if (place.isSelf) {
      this->OnLoanReturned(loan, this->context.settings.host);
      continue;
    }
    wire::LoanReturnAskT ask;
    ask.organisation = loan.organisation;
    ask.borrower = this->context.settings.host;
    ask.loan_id = loan.id;
    ask.unused = loan.unusedTokens;
    if (!place.peerAddress.empty()) {
      this->context.peers.AskOnce(
        place.peerAddress, std::move(ask), kOwnerRequestTimeout);
    }
  }
}

void
RateService::OnLoanReturned(const ClosedLoan& aLoan,
                            const std::string& aBorrower)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  this->buckets.ReturnLoan(
    aLoan.organisation, aBorrower, aLoan.id, aLoan.unusedTokens, Now());
}

std::optional<RateDecision>
RateService::RequestToken(const std::string& aOrganisation)
{
  if (!this->policy->RequiresOwner()) {
    return this->GrantToken(aOrganisation, this->context.settings.host);
  }
  const OwnerLocation place = FindOwner(this->context, SlotKey(aOrganisation));
  if (place.isSelf) {
    return this->GrantToken(aOrganisation, this->context.settings.host);
  }
  if (place.peerAddress.empty()) {
    return std::nullopt;
  }
  wire::RateAskT ask;
  ask.organisation = aOrganisation;
  ask.borrower = this->context.settings.host;
  ask.grace_ms = this->RemainingGrace(aOrganisation).count();
  PeerOutcome outcome = this->context.peers.AskOnce(
    place.peerAddress, std::move(ask), kOwnerRequestTimeout);
  auto* frame = std::get_if<wire::FrameT>(&outcome);
  const auto* answer = frame ? frame->answer.AsRateAnswer() : nullptr;
  if (answer == nullptr) {
    return std::nullopt;
  }
  RateDecision decision;
  decision.granted = answer->granted;
  decision.wait = answer->wait;
  decision.retryAfter = Millis(answer->retry_after_ms);
  decision.loanTokens = answer->loan_tokens;
  decision.loanTerm = Millis(answer->loan_for_ms);
  decision.loanId = answer->loan_id;
  return decision;
}

RateLimit
RateService::LimitOf(const std::string& aOrganisation) const
{
  const auto config = this->context.journal.Config();
  auto found = config->desired.organisations.find(aOrganisation);
  if (found == config->desired.organisations.end()) {
    return RateLimit{};
  }
  const size_t members = this->context.journal.With(
    [](const ClusterState& aState) { return aState.Members().size(); });
  const RateLimit whole{ found->second.ratePerSecond, found->second.burst };
  return this->policy->PerMemberLimit(whole, std::max<size_t>(members, 1));
}

void
RateService::TakeOverIfNeeded(const std::string& aOrganisation,
                              const OwnerLocation& aPlace)
{
  auto held = this->takeoverEpochs.find(aOrganisation);
  // Ignores an owner that was looked up before a newer claim took effect.
  if (held != this->takeoverEpochs.end() && held->second >= aPlace.epoch) {
    return;
  }
  const RateLimit limit = this->LimitOf(aOrganisation);
  this->takeoverEpochs[aOrganisation] = aPlace.epoch;
  const Slot slot = this->context.journal.With([&](const ClusterState& aState) {
    return aState.Slots()[size_t(aPlace.slot)];
  });
  auto claimed = this->claimTimes.find(aPlace.slot);
  const bool claimTimeKnown =
    claimed != this->claimTimes.end() && claimed->second.epoch == aPlace.epoch;
  const TimePoint since = claimTimeKnown ? claimed->second.at : Now();
  auto level = slot.levels.find(aOrganisation);
  if (level != slot.levels.end()) {
    this->buckets.TakeOverWithLevel(
      aOrganisation, limit, std::min(level->second, limit.burst), since);
    return;
  }
  // OnSlotClaimed took over all organisations configured at the claim, so one
  // that appears later is new and no former owner granted tokens for it.
  const bool firstOwner =
    slot.previousEpoch == 0 || claimTimeKnown || !this->policy->RequiresOwner();
  this->buckets.TakeOver(aOrganisation, limit, firstOwner, since);
}

std::optional<RateDecision>
RateService::GrantToken(const std::string& aOrganisation,
                        const std::string& aBorrower)
{
  OwnerLocation place = FindOwner(this->context, SlotKey(aOrganisation));
  const bool requiresOwner = this->policy->RequiresOwner();
  if (requiresOwner &&
      (!place.isSelf || !this->context.mayActAsOwner(place.slot))) {
    return std::nullopt;
  }
  place.epoch = requiresOwner ? place.epoch : 0;
  const RateLimit limit = this->LimitOf(aOrganisation);
  RateDecision decision;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    if (this->IsHandedOver(aOrganisation, place.epoch)) {
      return std::nullopt;
    }
    this->TakeOverIfNeeded(aOrganisation, place);
    decision = this->buckets.TryAcquire(aOrganisation, limit, aBorrower, Now());
  }
  if (requiresOwner && !this->context.mayActAsOwner(place.slot)) {
    return std::nullopt;
  }
  decision.wait =
    decision.wait || this->RemainingGrace(aOrganisation) > Millis(0);
  return decision;
}

void
RateService::OnSlotClaimed(int aSlot)
{
  const int64_t epoch =
    this->context.journal.With([aSlot](const ClusterState& aState) {
      return aState.Slots()[size_t(aSlot)].epoch;
    });
  std::lock_guard<std::mutex> lock(this->mutex);
  this->TakeOverSlot(aSlot);
  this->claimTimes[aSlot] = { epoch, Now() };
}

bool
RateService::IsHandedOver(const std::string& aOrganisation,
                          int64_t aEpoch) const
{
  auto found = this->handoverEpochs.find(aOrganisation);
  return found != this->handoverEpochs.end() && found->second == aEpoch;
}

void
RateService::TakeOverSlot(int aSlot)
{
  if (!this->policy->RequiresOwner()) {
    return;
  }
  const auto config = this->context.journal.Config();
  for (const auto& entry : config->desired.organisations) {
    const OwnerLocation place = FindOwner(this->context, SlotKey(entry.first));
    if (place.slot == aSlot && place.isSelf &&
        !this->IsHandedOver(entry.first, place.epoch)) {
      this->TakeOverIfNeeded(entry.first, place);
    }
  }
}

std::map<std::string, double>
RateService::HandOverLevels(int aSlot)
{
  std::map<std::string, double> levels;
  std::lock_guard<std::mutex> lock(this->mutex);
  // Includes organisations without any request so far: without a level the next
  // owner would have to start with an empty bucket.
  this->TakeOverSlot(aSlot);
  for (auto it = this->takeoverEpochs.begin();
       it != this->takeoverEpochs.end();) {
    const std::string& organisation = it->first;
    const OwnerLocation place = FindOwner(this->context, SlotKey(organisation));
    if (place.slot != aSlot || !place.isSelf || place.epoch != it->second) {
      ++it;
      continue;
    }
    levels[organisation] = this->buckets.Relinquish(organisation, Now());
    this->handoverEpochs[organisation] = place.epoch;
    it = this->takeoverEpochs.erase(it);
  }
  // Passes on levels that the former owner handed over and that were not taken
  // over here, because the organisation is not in the current configuration.
  const Slot slot = this->context.journal.With(
    [&](const ClusterState& aState) { return aState.Slots()[size_t(aSlot)]; });
  for (const auto& level : slot.levels) {
    if (!this->IsHandedOver(level.first, slot.epoch)) {
      levels.insert(level);
    }
  }
  return levels;
}

} // namespace tanagerseam
