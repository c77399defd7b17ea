// Rates: the owner's bucket, its loans and its handover, as
// daemon/rate_service does it. The organisation exists once any configuration
// is in force.
#include <algorithm>

#include "tests/schedules/world.h"

namespace tanagerseam::schedules {

namespace {

const std::string kOrganisation = "org";
const std::string kRateKey = "organisation/" + kOrganisation;
constexpr RateLimit kShape{ 0.5, 4 };
// No clock runs faster.
constexpr double kFastestClock = 1.1;
constexpr double kMillisPerSecond = 1000;
constexpr double kTolerance = 1e-6;
constexpr size_t kMostAtOnce = 5;
constexpr size_t kAnswersForEachLost = 10;

bool
IsConfigured(const Replica& aReplica)
{
  return aReplica.state.Config().version > 0;
}

const Slot&
RateSlot(const Replica& aReplica)
{
  return aReplica.state.Slots()[size_t(aReplica.state.SlotOf(kRateKey))];
}

} // namespace

// Term and margin differ by more than two clocks do; both end in a schedule.
LimitSettings
RateLimits()
{
  LimitSettings limits;
  limits.lendableFraction = 0.5;
  limits.loanTerm = Millis(1000);
  limits.loanMargin = Millis(300);
  return limits;
}

void
World::MaybeRequestRate()
{
  constexpr size_t kStepsForEach = 16;
  const size_t replicas = this->replicas.size();
  Replica& replica = this->replicas[this->rateRandom() % replicas];
  const bool asks = this->rateRandom() % kStepsForEach == 0;
  if (asks && replica.Running() && IsConfigured(replica)) {
    this->RequestRate(replica);
  }
}

void
World::RequestRate(Replica& aReplica)
{
  for (size_t i = 1 + this->rateRandom() % kMostAtOnce; i > 0; --i) {
    const std::optional<RateDecision> decision = this->AskRate(aReplica);
    const TimePoint now = this->LocalTime(aReplica);
    if (decision && decision->granted) {
      // The answer is lost now and then.
      if (this->rateRandom() % kAnswersForEachLost != 0) {
        aReplica.rates.loans.Add(kOrganisation, *decision, now);
        this->ServeRate("granted");
      }
    } else if (aReplica.rates.loans.TryConsume(kOrganisation, now)) {
      this->ServeRate("loan used");
    }
  }
}

std::optional<RateDecision>
World::AskRate(Replica& aReplica)
{
  const std::string owner = RateSlot(aReplica).owner;
  if (owner.empty()) {
    return std::nullopt;
  }
  Replica& asked = this->replicas[size_t(owner[0] - 'a')];
  const bool reached =
    asked.Running() && asked.reachesPeers && aReplica.reachesPeers;
  if (&asked != &aReplica && !reached) {
    return std::nullopt;
  }
  return this->GrantRate(asked, aReplica.host);
}

std::optional<RateDecision>
World::GrantRate(Replica& aOwner, const std::string& aBorrower)
{
  const bool acts = this->omission == Omission::kLeaseOfGrant
                      ? RateSlot(aOwner).owner == aOwner.host
                      : this->MayAct(aOwner, kRateKey);
  if (!acts || !IsConfigured(aOwner) ||
      aOwner.rates.givenUpEpoch == RateSlot(aOwner).epoch) {
    return std::nullopt;
  }
  this->HoldRate(aOwner);
  const TimePoint now = this->LocalTime(aOwner);
  OrganisationBuckets& buckets = aOwner.rates.buckets;
  RateDecision decision =
    buckets.TryAcquire(kOrganisation, kShape, aBorrower, now);
  if (this->omission == Omission::kCountingOfLoans && decision.loanTokens > 0) {
    buckets.ReturnLoan(
      kOrganisation, aBorrower, decision.loanId, decision.loanTokens, now);
  }
  return decision;
}

// Takes the bucket over under the epoch in force.
void
World::HoldRate(Replica& aOwner)
{
  RateSide& side = aOwner.rates;
  const Slot& slot = RateSlot(aOwner);
  if (side.heldEpoch >= slot.epoch) {
    return;
  }
  side.heldEpoch = slot.epoch;
  const bool knows = side.claimedEpoch == slot.epoch;
  const TimePoint since = knows ? side.claimedAt : this->LocalTime(aOwner);
  auto level = slot.levels.find(kOrganisation);
  if (level != slot.levels.end()) {
    ++this->counts["level handed over"];
    side.buckets.TakeOverWithLevel(kOrganisation, kShape, level->second, since);
    return;
  }
  const bool fresh = slot.previousEpoch == 0 || knows;
  ++this->counts[fresh ? "bucket full" : "bucket empty"];
  side.buckets.TakeOver(kOrganisation,
                        kShape,
                        fresh ||
                          this->omission == Omission::kEmptyAfterTakeover,
                        since);
}

void
World::OnSlotsClaimed(Replica& aOwner, const std::vector<int>& aSlots)
{
  const int slot = aOwner.state.SlotOf(kRateKey);
  if (std::count(aSlots.begin(), aSlots.end(), slot) == 0) {
    return;
  }
  if (IsConfigured(aOwner)) {
    this->HoldRate(aOwner);
  }
  aOwner.rates.claimedEpoch = RateSlot(aOwner).epoch;
  aOwner.rates.claimedAt = this->LocalTime(aOwner);
}

void
World::HandOverRate(Replica& aOwner, SlotsReleased& aRelease)
{
  const int slot = aOwner.state.SlotOf(kRateKey);
  const auto& slots = aRelease.slots;
  RateSide& side = aOwner.rates;
  const int64_t epoch = RateSlot(aOwner).epoch;
  const bool releases =
    std::count(slots.begin(), slots.end(), slot) > 0 && IsConfigured(aOwner);
  if (!releases || side.givenUpEpoch == epoch) {
    return;
  }
  this->HoldRate(aOwner);
  aRelease.levels[kOrganisation] =
    side.buckets.Relinquish(kOrganisation, this->LocalTime(aOwner));
  side.givenUpEpoch = epoch;
  side.heldEpoch = 0;
}

void
World::ReturnLoans(Replica& aReplica)
{
  const TimePoint now = this->LocalTime(aReplica);
  for (const ClosedLoan& loan : aReplica.rates.loans.TakeClosed(now)) {
    // To any daemon: only the one that made the loan knows it.
    Replica& other = this->replicas[this->rateRandom() % this->replicas.size()];
    if (other.Running()) {
      other.rates.buckets.ReturnLoan(kOrganisation,
                                     aReplica.host,
                                     loan.id,
                                     loan.unusedTokens,
                                     this->LocalTime(other));
    }
  }
}

// Over any window that ends now: at most burst + rate x window, where the rate
// is that of the fastest clock.
void
World::ServeRate(const std::string& aHow)
{
  ++this->counts[aHow];
  const double allowed = kShape.ratePerSecond * kFastestClock *
                         double(this->millis) / kMillisPerSecond;
  const double excess = double(this->ratesServed) - allowed;
  this->leastRateExcess = std::min(this->leastRateExcess, excess);
  ++this->ratesServed;
  if (excess - this->leastRateExcess + 1 > kShape.burst + kTolerance) {
    this->Fail("an organisation got more than burst and rate");
  }
}

} // namespace tanagerseam::schedules
