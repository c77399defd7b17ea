#include "daemon/rate_service.h"

#include <algorithm>
#include <thread>

namespace tanagerseam {

namespace {

constexpr Millis kAskTimeout(400);
constexpr Millis kAskPause(50);
// A grant that took longer to arrive is not used: its token may no longer be
// covered by the owner's lease.
constexpr Millis kGrantLifetime(500);
// Longest wait for an owner to come back before a request is refused.
constexpr Millis kOwnerWait(8000);
constexpr Millis kMinWait(5);
constexpr Millis kMaxWait(500);
// Asks that fail further apart are two absences of the owner.
constexpr Millis kAwayPause(1000);
// What piled up in an absence is let through within this many times its length.
constexpr int kGraceForEachAway = 4;
// One organisation's waiting requests hold at most one of this many workers.
constexpr size_t kWorkersForEachSeat = 2;

std::string
SlotKey(const std::string& aOrganisation)
{
  return "organisation/" + aOrganisation;
}

// The refusal of a request that waits no longer. Without a decision, or with
// one that came too late to be used, the owner is what is missing.
Refusal
RefusalOf(const std::string& aOrganisation,
          const std::optional<RateDecision>& aDecision)
{
  if (!aDecision || aDecision->granted) {
    return MakeRefusal(RefusalReason::kOwnerUnavailable,
                       "the owner of organisation " + aOrganisation +
                         " does not answer");
  }
  Refusal refusal = MakeRefusal(RefusalReason::kRateExceeded,
                                "rate of organisation " + aOrganisation);
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

class RateService::WaitingSeat
{
public:
  WaitingSeat(RateService& aRates, std::string aOrganisation)
    : rates(aRates)
    , organisation(std::move(aOrganisation))
  {
  }
  ~WaitingSeat()
  {
    if (this->taken) {
      std::lock_guard<std::mutex> lock(this->rates.mutex);
      --this->rates.waiting[this->organisation];
    }
  }
  WaitingSeat(const WaitingSeat&) = delete;
  WaitingSeat& operator=(const WaitingSeat&) = delete;

  // False if too many requests of the organisation wait.
  bool Take()
  {
    if (this->taken) {
      return true;
    }
    const size_t most =
      this->rates.context.settings.maxWorkers / kWorkersForEachSeat;
    std::lock_guard<std::mutex> lock(this->rates.mutex);
    size_t& seats = this->rates.waiting[this->organisation];
    this->taken = seats < most;
    seats += this->taken ? 1 : 0;
    return this->taken;
  }

private:
  RateService& rates;
  const std::string organisation;
  bool taken = false;
};

std::optional<Refusal>
RateService::Take(const std::string& aOrganisation, TimePoint aDeadline)
{
  const TimePoint giveUp = std::min(aDeadline, Now() + kOwnerWait);
  WaitingSeat seat(*this, aOrganisation);
  while (true) {
    const TimePoint askedAt = Now();
    std::optional<RateDecision> decision = this->AskOwner(aOrganisation);
    const TimePoint now = Now();
    const bool fresh = now - askedAt < kGrantLifetime;
    if (decision && decision->granted && fresh) {
      std::lock_guard<std::mutex> lock(this->mutex);
      this->loans.Add(aOrganisation, *decision, askedAt);
      return std::nullopt;
    }
    if (!decision) {
      this->NoteOwnerAway(aOrganisation, now);
    }
    const bool noToken = decision && !decision->granted;
    if ((!decision || noToken) && this->UseLoan(aOrganisation)) {
      return std::nullopt;
    }
    const bool mayWait = now < giveUp && seat.Take();
    const bool isOver =
      noToken && !decision->wait && this->GraceLeft(aOrganisation) == Millis(0);
    if (!mayWait || isOver) {
      return RefusalOf(aOrganisation, decision);
    }
    this->context.metrics.Count("tanagerseam_retries_total",
                                { { "reason", "rate_owner" } });
    const Millis pause = decision ? decision->retryAfter : kAskPause;
    std::this_thread::sleep_for(std::clamp(pause, kMinWait, kMaxWait));
  }
}

Millis
RateService::GraceLeft(const std::string& aOrganisation)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  auto found = this->away.find(aOrganisation);
  const TimePoint now = Now();
  if (found == this->away.end() || now >= found->second.graceUntil) {
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
  OwnerAway& entry = this->away[aOrganisation];
  entry.graceUntil =
    std::max(entry.graceUntil, Now() + std::min(aGrace, longest));
}

void
RateService::NoteOwnerAway(const std::string& aOrganisation, TimePoint aNow)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  OwnerAway& entry = this->away[aOrganisation];
  if (aNow - entry.last > kAwayPause) {
    entry.since = aNow;
  }
  entry.last = aNow;
  const Millis grace =
    (Millis(MillisBetween(entry.since, aNow)) + kAskPause) * kGraceForEachAway;
  entry.graceUntil =
    aNow + std::min(grace, this->context.settings.limit.takeoverGrace);
}

bool
RateService::UseLoan(const std::string& aOrganisation)
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
        place.peerAddress, std::move(ask), kAskTimeout);
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
RateService::AskOwner(const std::string& aOrganisation)
{
  if (!this->policy->RequiresOwner()) {
    return this->OnAsk(aOrganisation, this->context.settings.host);
  }
  const OwnerLocation place = FindOwner(this->context, SlotKey(aOrganisation));
  if (place.isSelf) {
    return this->OnAsk(aOrganisation, this->context.settings.host);
  }
  if (place.peerAddress.empty()) {
    return std::nullopt;
  }
  wire::RateAskT ask;
  ask.organisation = aOrganisation;
  ask.borrower = this->context.settings.host;
  ask.grace_ms = this->GraceLeft(aOrganisation).count();
  PeerOutcome outcome =
    this->context.peers.AskOnce(place.peerAddress, std::move(ask), kAskTimeout);
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
RateService::ShapeOf(const std::string& aOrganisation) const
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
RateService::EnsureHeld(const std::string& aOrganisation,
                        const OwnerLocation& aPlace)
{
  auto held = this->heldEpoch.find(aOrganisation);
  // A place that was looked up before a newer claim changes nothing.
  if (held != this->heldEpoch.end() && held->second >= aPlace.epoch) {
    return;
  }
  const RateLimit shape = this->ShapeOf(aOrganisation);
  this->heldEpoch[aOrganisation] = aPlace.epoch;
  const Slot slot = this->context.journal.With([&](const ClusterState& aState) {
    return aState.Slots()[size_t(aPlace.slot)];
  });
  auto claimed = this->claimedAt.find(aPlace.slot);
  const bool knows =
    claimed != this->claimedAt.end() && claimed->second.epoch == aPlace.epoch;
  const TimePoint since = knows ? claimed->second.at : Now();
  auto level = slot.levels.find(aOrganisation);
  if (level != slot.levels.end()) {
    this->buckets.TakeOverWithLevel(
      aOrganisation, shape, std::min(level->second, shape.burst), since);
    return;
  }
  // OnSlotClaimed took over all that the configuration held at the claim, so
  // what comes later is new and no former owner granted for it.
  const bool fresh =
    slot.previousEpoch == 0 || knows || !this->policy->RequiresOwner();
  this->buckets.TakeOver(aOrganisation, shape, fresh, since);
}

std::optional<RateDecision>
RateService::OnAsk(const std::string& aOrganisation,
                   const std::string& aBorrower)
{
  OwnerLocation place = FindOwner(this->context, SlotKey(aOrganisation));
  const bool asksOwner = this->policy->RequiresOwner();
  if (asksOwner &&
      (!place.isSelf || !this->context.mayActAsOwner(place.slot))) {
    return std::nullopt;
  }
  place.epoch = asksOwner ? place.epoch : 0;
  const RateLimit shape = this->ShapeOf(aOrganisation);
  RateDecision decision;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    if (this->IsGivenUp(aOrganisation, place.epoch)) {
      return std::nullopt;
    }
    this->EnsureHeld(aOrganisation, place);
    decision = this->buckets.TryAcquire(aOrganisation, shape, aBorrower, Now());
  }
  if (asksOwner && !this->context.mayActAsOwner(place.slot)) {
    return std::nullopt;
  }
  decision.wait = decision.wait || this->GraceLeft(aOrganisation) > Millis(0);
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
  this->HoldAllOf(aSlot);
  this->claimedAt[aSlot] = { epoch, Now() };
}

bool
RateService::IsGivenUp(const std::string& aOrganisation, int64_t aEpoch) const
{
  auto found = this->givenUpEpoch.find(aOrganisation);
  return found != this->givenUpEpoch.end() && found->second == aEpoch;
}

void
RateService::HoldAllOf(int aSlot)
{
  if (!this->policy->RequiresOwner()) {
    return;
  }
  const auto config = this->context.journal.Config();
  for (const auto& entry : config->desired.organisations) {
    const OwnerLocation place = FindOwner(this->context, SlotKey(entry.first));
    if (place.slot == aSlot && place.isSelf &&
        !this->IsGivenUp(entry.first, place.epoch)) {
      this->EnsureHeld(entry.first, place);
    }
  }
}

std::map<std::string, double>
RateService::LevelsOf(int aSlot)
{
  std::map<std::string, double> levels;
  std::lock_guard<std::mutex> lock(this->mutex);
  // Also of those that were never asked for: without a level the next owner
  // would have to start empty.
  this->HoldAllOf(aSlot);
  for (auto it = this->heldEpoch.begin(); it != this->heldEpoch.end();) {
    const std::string& organisation = it->first;
    const OwnerLocation place = FindOwner(this->context, SlotKey(organisation));
    if (place.slot != aSlot || !place.isSelf || place.epoch != it->second) {
      ++it;
      continue;
    }
    levels[organisation] = this->buckets.Relinquish(organisation, Now());
    this->givenUpEpoch[organisation] = place.epoch;
    it = this->heldEpoch.erase(it);
  }
  // What the former owner handed over and nobody could use since, because the
  // organisation is not in the configuration now.
  const Slot slot = this->context.journal.With(
    [&](const ClusterState& aState) { return aState.Slots()[size_t(aSlot)]; });
  for (const auto& level : slot.levels) {
    if (!this->IsGivenUp(level.first, slot.epoch)) {
      levels.insert(level);
    }
  }
  return levels;
}

} // namespace tanagerseam
