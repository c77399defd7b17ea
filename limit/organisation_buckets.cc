// The owner's buckets. Every access to a bucket passes LevelCap, which keeps
// the level plus the outstanding loans at or below the burst. Loans that
// earlier owners may have issued are represented by a single loan to
// kUnknownBorrower.
#include <algorithm>
#include <cmath>

#include "limit/limit.h"

namespace tanagerseam {

namespace {

// Largest fraction of the tokens still lendable that one loan takes (but at
// least one token), so that some remain for later borrowers.
constexpr double kMaxLoanFraction = 0.5;
// Fraction of the burst that a loan must leave in the bucket, so that loans do
// not cause refusals.
constexpr double kMinLevelFractionToLend = 0.5;
constexpr const char* kUnknownBorrower = "";
constexpr int64_t kUnknownLoanId = -1;

int64_t
NanosSinceEpoch(TimePoint aTime)
{
  const auto since = aTime.time_since_epoch();
  return std::chrono::duration_cast<std::chrono::nanoseconds>(since).count();
}

} // namespace

OrganisationBuckets::OrganisationBuckets(LimitSettings aSettings)
  : settings(aSettings)
{
}

void
OrganisationBuckets::InsertEntry(const std::string& aOrganisation, Entry aEntry)
{
  this->entries.insert_or_assign(aOrganisation, std::move(aEntry));
}

void
OrganisationBuckets::TakeOver(const std::string& aOrganisation,
                              RateLimit aLimit,
                              bool aFirstOwner,
                              TimePoint aNow)
{
  if (!aFirstOwner) {
    this->TakeOverWithLevel(aOrganisation, aLimit, 0, aNow);
    this->entries.at(aOrganisation).levelKnown = false;
    return;
  }
  Entry entry{ TokenBucket(aLimit, aLimit.burst, aNow), aLimit, aNow };
  entry.levelKnown = true;
  this->InsertEntry(aOrganisation, std::move(entry));
}

void
OrganisationBuckets::TakeOverWithLevel(const std::string& aOrganisation,
                                       RateLimit aLimit,
                                       double aLevel,
                                       TimePoint aNow)
{
  Entry entry{ TokenBucket(aLimit, aLevel, aNow), aLimit, aNow };
  entry.levelKnown = true;
  Loan priorLoans;
  priorLoans.id = kUnknownLoanId;
  priorLoans.tokens = this->LendableTokens(entry);
  priorLoans.expiresAt = this->LoanExpiry(aNow);
  entry.loans[kUnknownBorrower] = priorLoans;
  this->InsertEntry(aOrganisation, std::move(entry));
}

bool
OrganisationBuckets::Contains(const std::string& aOrganisation) const
{
  return this->entries.count(aOrganisation) > 0;
}

double
OrganisationBuckets::Relinquish(const std::string& aOrganisation,
                                TimePoint aNow)
{
  auto found = this->entries.find(aOrganisation);
  if (found == this->entries.end()) {
    return 0;
  }
  Entry& entry = found->second;
  this->ExpireLoans(entry, aNow);
  const double level = entry.bucket.Level(this->LevelCap(entry), aNow);
  this->entries.erase(found);
  return level;
}

double
OrganisationBuckets::LendableTokens(const Entry& aEntry) const
{
  return aEntry.limit.burst * this->settings.lendableFraction;
}

double
OrganisationBuckets::OutstandingTokens(const Entry& aEntry) const
{
  double sum = 0;
  for (const auto& loan : aEntry.loans) {
    sum += loan.second.tokens;
  }
  return sum;
}

double
OrganisationBuckets::LevelCap(const Entry& aEntry) const
{
  return std::max(0.0, aEntry.limit.burst - this->OutstandingTokens(aEntry));
}

TimePoint
OrganisationBuckets::LoanExpiry(TimePoint aNow) const
{
  return aNow + this->settings.loanTerm + this->settings.loanMargin;
}

void
OrganisationBuckets::ExpireLoans(Entry& aEntry, TimePoint aNow)
{
  while (!aEntry.loans.empty()) {
    auto earliest = std::min_element(aEntry.loans.begin(),
                                     aEntry.loans.end(),
                                     [](const auto& aLeft, const auto& aRight) {
                                       return aLeft.second.expiresAt <
                                              aRight.second.expiresAt;
                                     });
    const TimePoint expiry = earliest->second.expiresAt;
    if (expiry > aNow) {
      return;
    }
    aEntry.bucket.Level(this->LevelCap(aEntry), expiry);
    aEntry.loans.erase(earliest);
  }
}

RateDecision
OrganisationBuckets::TryAcquire(const std::string& aOrganisation,
                                RateLimit aLimit,
                                const std::string& aBorrower,
                                TimePoint aNow)
{
  RateDecision decision;
  auto found = this->entries.find(aOrganisation);
  if (found == this->entries.end()) {
    return decision;
  }
  Entry& entry = found->second;
  this->ExpireLoans(entry, aNow);
  if (entry.limit.ratePerSecond != aLimit.ratePerSecond ||
      entry.limit.burst != aLimit.burst) {
    entry.bucket.SetLimit(aLimit, this->LevelCap(entry), aNow);
    entry.limit = aLimit;
  }
  const double cap = this->LevelCap(entry);
  decision.granted = entry.bucket.TryConsume(1, cap, aNow);
  if (decision.granted) {
    this->IssueLoan(entry, aBorrower, decision, aNow);
    return decision;
  }
  decision.retryAfter = entry.bucket.TimeUntilAvailable(1, cap, aNow);
  decision.wait = !entry.levelKnown &&
                  aNow < entry.takenOverAt + this->settings.takeoverGrace;
  return decision;
}

void
OrganisationBuckets::IssueLoan(Entry& aEntry,
                               const std::string& aBorrower,
                               RateDecision& aDecision,
                               TimePoint aNow)
{
  const bool hasUnknownLoans = aEntry.loans.count(kUnknownBorrower) > 0;
  if (hasUnknownLoans || aEntry.loans.count(aBorrower) > 0) {
    return;
  }
  const double cap = this->LevelCap(aEntry);
  const double spare = aEntry.bucket.Level(cap, aNow) -
                       aEntry.limit.burst * kMinLevelFractionToLend;
  const double lendable =
    this->LendableTokens(aEntry) - this->OutstandingTokens(aEntry);
  if (lendable < 1 || spare < 1) {
    return;
  }
  const double largest = std::max(1.0, lendable * kMaxLoanFraction);
  const double tokens = std::floor(std::min(largest, spare));
  if (!aEntry.bucket.TryConsume(tokens, cap, aNow)) {
    return;
  }
  Loan loan;
  // Identifiers come from the local clock, so those of owners on other hosts
  // differ.
  loan.id = std::max(NanosSinceEpoch(aNow), aEntry.lastLoanId + 1);
  loan.tokens = tokens;
  loan.expiresAt = this->LoanExpiry(aNow);
  aEntry.lastLoanId = loan.id;
  aEntry.loans[aBorrower] = loan;
  aDecision.loanTokens = static_cast<int>(tokens);
  aDecision.loanTerm = this->settings.loanTerm;
  aDecision.loanId = loan.id;
}

void
OrganisationBuckets::ReturnLoan(const std::string& aOrganisation,
                                const std::string& aBorrower,
                                int64_t aLoanId,
                                int aUnused,
                                TimePoint aNow)
{
  auto found = this->entries.find(aOrganisation);
  if (found == this->entries.end()) {
    return;
  }
  Entry& entry = found->second;
  this->ExpireLoans(entry, aNow);
  auto loan = entry.loans.find(aBorrower);
  if (loan == entry.loans.end() || loan->second.id != aLoanId) {
    return;
  }
  // Refill under the cap that applied while the loan was outstanding.
  entry.bucket.Level(this->LevelCap(entry), aNow);
  const double unused =
    std::clamp(static_cast<double>(aUnused), 0.0, loan->second.tokens);
  entry.loans.erase(loan);
  entry.bucket.AddTokens(unused, this->LevelCap(entry), aNow);
}

} // namespace tanagerseam
