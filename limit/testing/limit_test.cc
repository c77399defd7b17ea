// Tests the token bucket, loans, takeovers and rate policies, and checks the
// fleet-wide rate bound over randomised simulations of owners and borrowers.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <random>

#include "limit/limit.h"

namespace tanagerseam {
namespace {

const std::string kOrganisation = "stopa";
constexpr RateLimit kLimit{ 10, 20 };

TimePoint
At(int64_t aMillis)
{
  return TimePoint{} + std::chrono::hours(1) + Millis(aMillis);
}

TEST(TokenBucketTest, RefillsUpToBurstAndReportsRetryTime)
{
  TokenBucket bucket(kLimit, 20, At(0));
  for (int i = 0; i < 20; ++i) {
    EXPECT_TRUE(bucket.TryConsume(1, 20, At(0)));
  }
  EXPECT_FALSE(bucket.TryConsume(1, 20, At(0)));
  EXPECT_EQ(bucket.TimeUntilAvailable(1, 20, At(0)), Millis(100));
  EXPECT_TRUE(bucket.TryConsume(1, 20, At(100)));
  EXPECT_DOUBLE_EQ(bucket.Level(20, At(60000)), 20);
  {
    SCOPED_TRACE("a smaller burst reduces the level");
    bucket.SetLimit({ 10, 5 }, 20, At(60000));
    EXPECT_DOUBLE_EQ(bucket.Level(20, At(60000)), 5);
  }
  {
    SCOPED_TRACE("a bucket with rate 0 reports a bounded retry time");
    TokenBucket noRate({ 0, 5 }, 0, At(0));
    EXPECT_EQ(noRate.TimeUntilAvailable(1, 5, At(0)), kMaxRetryAfter);
  }
}

class LoanTest : public ::testing::Test
{
protected:
  void SetUp() override
  {
    this->owner.TakeOver(kOrganisation, kLimit, true, At(0));
  }
  RateDecision TryAcquire(int64_t aMillis,
                          const std::string& aBorrower = "host-1")
  {
    return this->owner.TryAcquire(
      kOrganisation, kLimit, aBorrower, At(aMillis));
  }
  int GrantsUntilRefused(int64_t aMillis)
  {
    int count = 0;
    while (this->TryAcquire(aMillis).granted) {
      ++count;
    }
    return count;
  }

  OrganisationBuckets owner{ LimitSettings{} };
  BorrowedLoans borrowed;
};

TEST_F(LoanTest, DeductsLoanFromBucket)
{
  const RateDecision decision = this->TryAcquire(0);
  ASSERT_TRUE(decision.granted);
  ASSERT_EQ(decision.loanTokens, 2);
  EXPECT_EQ(this->GrantsUntilRefused(0), 20 - 1 - 2);
  this->borrowed.Add(kOrganisation, decision, At(0));
  {
    SCOPED_TRACE("the loan is usable until its term ends");
    EXPECT_TRUE(this->borrowed.TryConsume(kOrganisation, At(9999)));
    EXPECT_EQ(this->borrowed.RemainingTokens(kOrganisation, At(9999)), 1);
    EXPECT_FALSE(this->borrowed.TryConsume(kOrganisation, At(10000)));
  }
  {
    SCOPED_TRACE("repeated returns credit the unused tokens once");
    const auto closed = this->borrowed.TakeClosed(At(10000));
    ASSERT_EQ(closed.size(), 1u);
    EXPECT_EQ(closed[0].unusedTokens, 1);
    EXPECT_EQ(this->GrantsUntilRefused(10000), 18);
    for (int i = 0; i < 2; ++i) {
      this->owner.ReturnLoan(kOrganisation,
                             "host-1",
                             closed[0].id,
                             closed[0].unusedTokens,
                             At(10000));
    }
    EXPECT_EQ(this->GrantsUntilRefused(10000), 1);
  }
}

TEST_F(LoanTest, IgnoresLateReturnOfOlderLoan)
{
  const RateDecision first = this->TryAcquire(0);
  const RateDecision second = this->TryAcquire(20000);
  ASSERT_GT(second.loanTokens, 0);
  ASSERT_NE(first.loanId, second.loanId);
  this->owner.ReturnLoan(kOrganisation, "host-1", first.loanId, 2, At(20000));
  EXPECT_EQ(this->GrantsUntilRefused(20000), 20 - 1 - second.loanTokens);
}

TEST_F(LoanTest, ExpiredLoanDoesNotRefillBucketAtOnce)
{
  ASSERT_EQ(this->TryAcquire(0).loanTokens, 2);
  // The loan expires at 11000; until then the level is at most 18. The next
  // decision issues a new loan from it.
  const RateDecision decision = this->TryAcquire(11000);
  ASSERT_TRUE(decision.granted);
  EXPECT_EQ(1 + decision.loanTokens + this->GrantsUntilRefused(11000), 18);
}

TEST_F(LoanTest, LendsNothingBelowMinLevel)
{
  for (int i = 0; i < 10; ++i) {
    this->TryAcquire(0);
  }
  EXPECT_EQ(this->TryAcquire(0, "host-2").loanTokens, 0);
}

TEST(TakeoverTest, NewOwnerStartsEmptyAndReservesUnknownLoans)
{
  OrganisationBuckets next{ LimitSettings{} };
  next.TakeOver(kOrganisation, kLimit, false, At(0));
  const RateDecision first = next.TryAcquire(kOrganisation, kLimit, "h", At(0));
  EXPECT_FALSE(first.granted);
  EXPECT_TRUE(first.wait);
  EXPECT_EQ(first.retryAfter, Millis(100));
  int granted = 0;
  while (next.TryAcquire(kOrganisation, kLimit, "h", At(10900)).granted) {
    ++granted;
  }
  EXPECT_EQ(granted, 15);
  {
    SCOPED_TRACE("a handed-over level is kept");
    OrganisationBuckets third{ LimitSettings{} };
    const double level = next.Relinquish(kOrganisation, At(11400));
    EXPECT_FALSE(next.Contains(kOrganisation));
    EXPECT_DOUBLE_EQ(level, 5);
    third.TakeOverWithLevel(kOrganisation, kLimit, level, At(11400));
    const RateDecision known =
      third.TryAcquire(kOrganisation, kLimit, "h", At(11400));
    EXPECT_TRUE(known.granted);
    EXPECT_EQ(known.loanTokens, 0);
  }
}

TEST(RatePolicyTest, SharesOneBucketOrSplitsEqually)
{
  const auto ownerBucket =
    Registry<RatePolicy>::Instance().Make("owner_bucket");
  const auto staticSplit =
    Registry<RatePolicy>::Instance().Make("static_split");
  ASSERT_TRUE(ownerBucket && staticSplit);
  EXPECT_TRUE(ownerBucket->RequiresOwner());
  EXPECT_DOUBLE_EQ(ownerBucket->PerMemberLimit(kLimit, 4).burst, 20);
  EXPECT_FALSE(staticSplit->RequiresOwner());
  EXPECT_DOUBLE_EQ(staticSplit->PerMemberLimit(kLimit, 4).ratePerSecond, 2.5);
  EXPECT_DOUBLE_EQ(staticSplit->PerMemberLimit(kLimit, 0).burst, 20);
}

// Records every served request and checks every window that ends with it, in
// time linear in the requests served before.
//
// The requests served in a window [s, e] must not exceed the largest burst in
// force since s - maxLoanAge plus the integral of the rate over the window.
class RateBoundChecker
{
public:
  RateBoundChecker(RateLimit aLimit, Millis aMaxLoanAge)
    : limit(aLimit)
    , maxLoanAge(aMaxLoanAge)
    , burstChanges{ { At(0), aLimit.burst } }
  {
  }
  void SetLimit(RateLimit aLimit, TimePoint aNow)
  {
    this->Advance(aNow);
    this->limit = aLimit;
    this->burstChanges.push_back({ aNow, aLimit.burst });
  }
  void RecordServed(TimePoint aNow)
  {
    this->Advance(aNow);
    this->served.push_back({ aNow, this->rateIntegral });
    const size_t end = this->served.size() - 1;
    double burst = this->LargestBurst(aNow, aNow);
    for (size_t i = end + 1; i-- > 0;) {
      const ServedRequest& start = this->served[i];
      burst = std::max(burst, this->LargestBurst(start.time, aNow));
      const double allowed =
        burst + this->rateIntegral - start.rateIntegral + kRoundingTolerance;
      const double count = static_cast<double>(end - i + 1);
      this->maxExcess = std::max(this->maxExcess, count - allowed);
    }
  }
  size_t ServedCount() const { return this->served.size(); }
  // Largest excess over the bound in any window; at most 0 if none exceeds it.
  double MaxExcess() const { return this->maxExcess; }

private:
  struct ServedRequest
  {
    TimePoint time;
    double rateIntegral = 0;
  };
  struct BurstChange
  {
    TimePoint since;
    double burst = 0;
  };
  static constexpr double kRoundingTolerance = 1e-6;

  void Advance(TimePoint aNow)
  {
    const std::chrono::duration<double> passed = aNow - this->integratedUntil;
    this->rateIntegral += passed.count() * this->limit.ratePerSecond;
    this->integratedUntil = aNow;
  }
  // The largest burst in force in [aStart - maxLoanAge, aEnd].
  double LargestBurst(TimePoint aStart, TimePoint aEnd) const
  {
    double largest = 0;
    for (size_t i = this->burstChanges.size(); i-- > 0;) {
      if (this->burstChanges[i].since <= aEnd) {
        largest = std::max(largest, this->burstChanges[i].burst);
      }
      if (this->burstChanges[i].since <= aStart - this->maxLoanAge) {
        break;
      }
    }
    return largest;
  }

  RateLimit limit;
  // Longest time that the owner counts a loan as outstanding.
  const Millis maxLoanAge;
  std::vector<BurstChange> burstChanges;
  std::vector<ServedRequest> served;
  TimePoint integratedUntil = At(0);
  double rateIntegral = 0;
  double maxExcess = -1e9;
};

// Random simulation of a fleet: requests, lost responses, delayed and
// duplicated loan returns, owner changes, limit changes and restarts.
class FleetSimulation
{
public:
  explicit FleetSimulation(uint64_t aSeed)
    : random(aSeed)
    , loansByHost(kHosts)
  {
    this->owner.TakeOver(kOrganisation, this->limit, true, this->now);
  }

  void Step()
  {
    this->now +=
      Millis(this->RandomBelow(this->RandomBelow(20) == 0 ? 3000 : 60));
    this->DeliverReturns();
    const int kind = this->RandomBelow(1000);
    if (kind < 3) {
      this->ChangeOwner();
    } else if (kind < 6) {
      this->SetLimit();
    } else if (kind < 12) {
      this->RestartBorrower();
    } else if (kind < 16) {
      this->ownerUnreachableUntil = this->now + Millis(this->RandomBelow(8000));
    } else if (kind < 60) {
      this->SendClosedLoans();
    } else {
      this->SendRequest();
    }
  }
  const RateBoundChecker& Checker() const { return this->checker; }

private:
  struct ReturnMessage
  {
    TimePoint dueAt;
    std::string borrower;
    int64_t id = 0;
    int unused = 0;
  };
  static constexpr int kHosts = 6;

  int RandomBelow(int aBound)
  {
    return static_cast<int>(this->random() % static_cast<uint64_t>(aBound));
  }
  static std::string HostName(int aHost)
  {
    return "host-" + std::to_string(aHost);
  }

  void SendRequest()
  {
    const int host = this->RandomBelow(kHosts);
    BorrowedLoans& borrowed = this->loansByHost[host];
    if (this->now < this->ownerUnreachableUntil) {
      if (borrowed.TryConsume(kOrganisation, this->now)) {
        this->checker.RecordServed(this->now);
      }
      return;
    }
    const TimePoint sentAt = this->now;
    // One response in 20 is lost.
    const RateDecision decision = this->owner.TryAcquire(
      kOrganisation, this->limit, HostName(host), this->now);
    if (this->RandomBelow(20) == 0) {
      return;
    }
    if (decision.granted) {
      this->checker.RecordServed(this->now);
      borrowed.Add(kOrganisation, decision, sentAt);
    } else if (borrowed.TryConsume(kOrganisation, this->now)) {
      this->checker.RecordServed(this->now);
    }
  }
  void ChangeOwner()
  {
    const bool graceful = this->RandomBelow(2) == 0;
    const double level = this->owner.Relinquish(kOrganisation, this->now);
    this->owner = OrganisationBuckets{ LimitSettings{} };
    if (graceful) {
      this->owner.TakeOverWithLevel(
        kOrganisation, this->limit, level, this->now);
    } else {
      this->owner.TakeOver(kOrganisation, this->limit, false, this->now);
    }
  }
  void SetLimit()
  {
    this->limit = { 1.0 + this->RandomBelow(40), 1.0 + this->RandomBelow(60) };
    this->checker.SetLimit(this->limit, this->now);
  }
  void RestartBorrower()
  {
    this->loansByHost[this->RandomBelow(kHosts)] = BorrowedLoans{};
  }
  // A return is delayed by up to 500 ms; one in five is duplicated, with the
  // copy delayed by up to 30 s.
  void SendClosedLoans()
  {
    const int host = this->RandomBelow(kHosts);
    for (const ClosedLoan& loan :
         this->loansByHost[host].TakeClosed(this->now)) {
      const int copies = 1 + (this->RandomBelow(5) == 0 ? 1 : 0);
      for (int i = 0; i < copies; ++i) {
        const Millis delay{ this->RandomBelow(i == 0 ? 500 : 30000) };
        this->returns.push_back(
          { this->now + delay, HostName(host), loan.id, loan.unusedTokens });
      }
    }
  }
  void DeliverReturns()
  {
    for (size_t i = 0; i < this->returns.size();) {
      if (this->returns[i].dueAt > this->now) {
        ++i;
        continue;
      }
      const ReturnMessage message = this->returns[i];
      this->returns.erase(this->returns.begin() + static_cast<int>(i));
      this->owner.ReturnLoan(
        kOrganisation, message.borrower, message.id, message.unused, this->now);
    }
  }

  std::mt19937_64 random;
  TimePoint now = At(0);
  TimePoint ownerUnreachableUntil = At(0);
  RateLimit limit = kLimit;
  OrganisationBuckets owner{ LimitSettings{} };
  std::vector<BorrowedLoans> loansByHost;
  std::vector<ReturnMessage> returns;
  RateBoundChecker checker{ kLimit, Millis(11000) };
};

TEST(RateBoundTest, NoWindowExceedsBurstPlusRate)
{
  constexpr int kSeeds = 60;
  constexpr int kSteps = 4000;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    FleetSimulation fleet(seed);
    for (int i = 0; i < kSteps; ++i) {
      fleet.Step();
    }
    EXPECT_LE(fleet.Checker().MaxExcess(), 0);
    EXPECT_GT(fleet.Checker().ServedCount(), 500u);
  }
}

struct RefusalCounts
{
  int idealGranted = 0;
  int wronglyRefused = 0;
};

// Sends uneven traffic from six hosts, on average below the fleet-wide rate,
// and counts the requests that were refused although a single bucket seeing all
// requests (the ideal) would have granted them.
RefusalCounts
CountWrongRefusals(const std::string& aPolicy, uint64_t aSeed)
{
  constexpr int kHosts = 6;
  constexpr int kSteps = 20000;
  std::mt19937_64 random(aSeed);
  const auto policy = Registry<RatePolicy>::Instance().Make(aPolicy);
  const RateLimit share = policy->PerMemberLimit(kLimit, kHosts);
  std::vector<OrganisationBuckets> buckets;
  for (int i = 0; i < kHosts; ++i) {
    buckets.emplace_back(LimitSettings{});
    buckets.back().TakeOver(kOrganisation, share, true, At(0));
  }
  std::vector<BorrowedLoans> loansByHost(kHosts);
  TokenBucket ideal(kLimit, kLimit.burst, At(0));
  std::exponential_distribution<double> gap(0.9 * kLimit.ratePerSecond);
  RefusalCounts count;
  TimePoint now = At(0);
  for (int i = 0; i < kSteps; ++i) {
    now += std::chrono::microseconds(static_cast<int64_t>(gap(random) * 1e6));
    // Host 0 gets half of the traffic, plus its sixth of the other half.
    const int host =
      random() % 2 == 0 ? 0 : static_cast<int>(random() % kHosts);
    const std::string name = "host-" + std::to_string(host);
    OrganisationBuckets& target = buckets[policy->RequiresOwner() ? 0 : host];
    for (const ClosedLoan& loan : loansByHost[host].TakeClosed(now)) {
      target.ReturnLoan(kOrganisation, name, loan.id, loan.unusedTokens, now);
    }
    const RateDecision decision =
      target.TryAcquire(kOrganisation, share, name, now);
    loansByHost[host].Add(kOrganisation, decision, now);
    const bool served =
      decision.granted || loansByHost[host].TryConsume(kOrganisation, now);
    const bool idealGrant = ideal.TryConsume(1, kLimit.burst, now);
    count.idealGranted += idealGrant ? 1 : 0;
    count.wronglyRefused += idealGrant && !served ? 1 : 0;
  }
  return count;
}

TEST(WrongRefusalTest, OwnerBucketStaysCloseToIdealBucket)
{
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    const RefusalCounts owner = CountWrongRefusals("owner_bucket", seed);
    const RefusalCounts split = CountWrongRefusals("static_split", seed);
    RecordProperty("owner_bucket_seed_" + std::to_string(seed),
                   owner.wronglyRefused);
    RecordProperty("static_split_seed_" + std::to_string(seed),
                   split.wronglyRefused);
    std::printf("seed %d: of %d, owner_bucket refused %d, static_split %d\n",
                static_cast<int>(seed),
                owner.idealGranted,
                owner.wronglyRefused,
                split.wronglyRefused);
    EXPECT_LE(owner.wronglyRefused, owner.idealGranted / 100);
    EXPECT_LT(owner.wronglyRefused * 10, split.wronglyRefused);
  }
}

} // namespace
} // namespace tanagerseam
