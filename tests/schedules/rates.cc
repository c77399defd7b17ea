// Rate limiting of one organisation, following daemon/rate_service: the owner's
// token bucket, loans to other daemons, and handover of the bucket to the next
// owner. The organisation exists once any configuration is in force.
#include <algorithm>

#include "tests/schedules/world.h"

namespace tanagerseam::schedules {

namespace {

const std::string kOrganisation = "org";
const std::string kRateKey = "organisation/" + kOrganisation;
constexpr RateLimit kRateLimit{ 0.5, 4 };
// Upper bound of a simulated clock's rate relative to real time.
constexpr double kMaxClockRate = 1.1;
constexpr double kMillisPerSecond = 1000;
constexpr double kTokenTolerance = 1e-6;
constexpr size_t kMaxRequestsAtOnce = 5;
constexpr size_t kResponsesPerLoss = 10;

bool
IsConfigured(const SimulatedDaemon& aDaemon)
{
  return aDaemon.state.Config().version > 0;
}

const Slot&
OrganisationSlot(const SimulatedDaemon& aDaemon)
{
  return aDaemon.state.Slots()[size_t(aDaemon.state.SlotOf(kRateKey))];
}

} // namespace

// The ratio of term + margin to term exceeds the ratio of any two clock rates.
// Both are short enough to expire within a schedule.
LimitSettings
SimulationLimitSettings()
{
  LimitSettings limits;
  limits.lendableFraction = 0.5;
  limits.loanTerm = Millis(1000);
  limits.loanMargin = Millis(300);
  return limits;
}

void
Simulation::MaybeRequestTokens()
{
  constexpr size_t kStepsPerRequest = 16;
  const size_t daemons = this->daemons.size();
  SimulatedDaemon& daemon = this->daemons[this->rateRandomEngine() % daemons];
  const bool shouldRequest = this->rateRandomEngine() % kStepsPerRequest == 0;
  if (shouldRequest && daemon.Running() && IsConfigured(daemon)) {
    this->RequestTokens(daemon);
  }
}

void
Simulation::RequestTokens(SimulatedDaemon& aDaemon)
{
  for (size_t i = 1 + this->rateRandomEngine() % kMaxRequestsAtOnce; i > 0;
       --i) {
    const std::optional<RateDecision> decision =
      this->RequestFromOwner(aDaemon);
    const TimePoint now = this->LocalTime(aDaemon);
    if (decision && decision->granted) {
      // One response in kResponsesPerLoss is lost.
      if (this->rateRandomEngine() % kResponsesPerLoss != 0) {
        aDaemon.rates.loans.Add(kOrganisation, *decision, now);
        this->CountServedRequest("rate request granted");
      }
    } else if (aDaemon.rates.loans.TryConsume(kOrganisation, now)) {
      this->CountServedRequest("loan token used");
    }
  }
}

std::optional<RateDecision>
Simulation::RequestFromOwner(SimulatedDaemon& aDaemon)
{
  const std::string owner = OrganisationSlot(aDaemon).owner;
  if (owner.empty()) {
    return std::nullopt;
  }
  SimulatedDaemon& ownerDaemon = this->daemons[size_t(owner[0] - 'a')];
  const bool reachable =
    ownerDaemon.Running() && ownerDaemon.reachesPeers && aDaemon.reachesPeers;
  if (&ownerDaemon != &aDaemon && !reachable) {
    return std::nullopt;
  }
  return this->GrantFromBucket(ownerDaemon, aDaemon.host);
}

std::optional<RateDecision>
Simulation::GrantFromBucket(SimulatedDaemon& aOwner,
                            const std::string& aBorrower)
{
  const bool mayAct =
    this->disabledMechanism == DisabledMechanism::kLeaseCheckForGrant
      ? OrganisationSlot(aOwner).owner == aOwner.host
      : this->MayAct(aOwner, kRateKey);
  if (!mayAct || !IsConfigured(aOwner) ||
      aOwner.rates.relinquishedEpoch == OrganisationSlot(aOwner).epoch) {
    return std::nullopt;
  }
  this->TakeOverBucket(aOwner);
  const TimePoint now = this->LocalTime(aOwner);
  OrganisationBuckets& buckets = aOwner.rates.buckets;
  RateDecision decision =
    buckets.TryAcquire(kOrganisation, kRateLimit, aBorrower, now);
  if (this->disabledMechanism == DisabledMechanism::kLoanAccounting &&
      decision.loanTokens > 0) {
    buckets.ReturnLoan(
      kOrganisation, aBorrower, decision.loanId, decision.loanTokens, now);
  }
  return decision;
}

// Creates this owner's bucket for the slot's current epoch, once per epoch.
void
Simulation::TakeOverBucket(SimulatedDaemon& aOwner)
{
  RateState& side = aOwner.rates;
  const Slot& slot = OrganisationSlot(aOwner);
  if (side.bucketEpoch >= slot.epoch) {
    return;
  }
  side.bucketEpoch = slot.epoch;
  const bool claimObserved = side.claimedEpoch == slot.epoch;
  const TimePoint since =
    claimObserved ? side.claimedAt : this->LocalTime(aOwner);
  auto level = slot.levels.find(kOrganisation);
  if (level != slot.levels.end()) {
    ++this->counts["bucket level handed over"];
    side.buckets.TakeOverWithLevel(
      kOrganisation, kRateLimit, level->second, since);
    return;
  }
  const bool startsFull = slot.previousEpoch == 0 || claimObserved;
  ++this->counts[startsFull ? "bucket starts full" : "bucket starts empty"];
  side.buckets.TakeOver(kOrganisation,
                        kRateLimit,
                        startsFull ||
                          this->disabledMechanism ==
                            DisabledMechanism::kEmptyBucketAfterTakeover,
                        since);
}

void
Simulation::OnSlotsClaimed(SimulatedDaemon& aOwner,
                           const std::vector<int>& aSlots)
{
  const int slot = aOwner.state.SlotOf(kRateKey);
  if (std::count(aSlots.begin(), aSlots.end(), slot) == 0) {
    return;
  }
  if (IsConfigured(aOwner)) {
    this->TakeOverBucket(aOwner);
  }
  aOwner.rates.claimedEpoch = OrganisationSlot(aOwner).epoch;
  aOwner.rates.claimedAt = this->LocalTime(aOwner);
}

void
Simulation::HandOverBucket(SimulatedDaemon& aOwner, SlotsReleased& aRelease)
{
  const int slot = aOwner.state.SlotOf(kRateKey);
  const auto& slots = aRelease.slots;
  RateState& side = aOwner.rates;
  const int64_t epoch = OrganisationSlot(aOwner).epoch;
  const bool releases =
    std::count(slots.begin(), slots.end(), slot) > 0 && IsConfigured(aOwner);
  if (!releases || side.relinquishedEpoch == epoch) {
    return;
  }
  this->TakeOverBucket(aOwner);
  aRelease.levels[kOrganisation] =
    side.buckets.Relinquish(kOrganisation, this->LocalTime(aOwner));
  side.relinquishedEpoch = epoch;
  side.bucketEpoch = 0;
}

void
Simulation::ReturnLoans(SimulatedDaemon& aDaemon)
{
  const TimePoint now = this->LocalTime(aDaemon);
  for (const ClosedLoan& loan : aDaemon.rates.loans.TakeClosed(now)) {
    // Sent to a random daemon: a daemon that did not issue the loan has no
    // record of it and ignores the return.
    SimulatedDaemon& other =
      this->daemons[this->rateRandomEngine() % this->daemons.size()];
    if (other.Running()) {
      other.rates.buckets.ReturnLoan(kOrganisation,
                                     aDaemon.host,
                                     loan.id,
                                     loan.unusedTokens,
                                     this->LocalTime(other));
    }
  }
}

// Checks that over any window that ends now at most burst + rate x window
// requests were served, with the rate as counted by the fastest clock.
void
Simulation::CountServedRequest(const std::string& aCounter)
{
  ++this->counts[aCounter];
  const double allowed = kRateLimit.ratePerSecond * kMaxClockRate *
                         double(this->nowMillis) / kMillisPerSecond;
  const double excess = double(this->servedRequests) - allowed;
  this->minRateExcess = std::min(this->minRateExcess, excess);
  ++this->servedRequests;
  if (excess - this->minRateExcess + 1 > kRateLimit.burst + kTokenTolerance) {
    this->Fail(
      "requests served for an organisation exceed burst + rate x window");
  }
}

} // namespace tanagerseam::schedules
