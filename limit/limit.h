// Fleet-wide rate limits: one token bucket for each organisation, held by the
// daemon that owns the organisation's slot.
//
// Usage, on the owner:
//
//   OrganisationBuckets buckets(settings);
//   RateDecision decision =
//     buckets.TryAcquire("stopa", limit, "host-2", now);
//   if (!decision.granted) { ... retry after decision.retryAfter ... }
//
// and on the daemon that requests tokens, the borrower:
//
//   BorrowedLoans loans;
//   loans.Add("stopa", decision, sentAt);
//   // The owner is unreachable or its bucket is empty:
//   if (loans.TryConsume("stopa", now)) { ... }
//   // Periodically, one ReturnLoan message to the owner for each:
//   for (const ClosedLoan& loan : loans.TakeClosed(now)) { ... }
//
// A loan is a batch of tokens that the owner hands to a borrower together with
// a granted request, for use while the owner is unreachable.
//
// No clock is read and nothing is sent from here: time is passed in.
//
// Invariants: over a window of any length the requests granted for an
// organisation, directly or from loans, are at most burst + rate x window.
// - A bucket's level plus its outstanding loans never exceeds burst. The sum
//   grows by at most rate x time, and each granted request, direct or from a
//   loan, reduces it by one, which gives the bound.
// - Loans expire in order of their expiry times, and the bucket is refilled up
//   to each expiry under the level cap that applied until then. A single refill
//   over the whole interval would also fill the capacity reserved for a loan
//   that may have been spent just before it expired.
// - A loan is deducted from the bucket when it is issued. It is outstanding
//   until it is returned, or until its term plus a margin has passed on the
//   owner's clock. The borrower counts the term from before it sent its
//   request, so its copy expires earlier.
// - After a takeover from an earlier owner the new one has no record of earlier
//   grants and loans. It starts at level 0, unless a level was handed over, and
//   until the term of any earlier loan has passed it caps the level at burst
//   less the most that can be lent. It issues no loans in that time, so that
//   the bound on unknown loans also holds over several takeovers in succession.
// - A change of rate or burst takes effect at once; a level above the new burst
//   is reduced to it. Loans issued before keep their size until they expire.
// - Each loan has an identifier and is closed at most once, so a repeated or
//   late message about an old loan does not affect a newer one.
//
// Cost: a decision is O(log organisations + loans of the organisation).
#ifndef TANAGERSEAM_LIMIT_LIMIT_H_
#define TANAGERSEAM_LIMIT_LIMIT_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "kernel/kernel.h"

namespace tanagerseam {

struct RateLimit
{
  double ratePerSecond = 0;
  double burst = 0;
};

struct LimitSettings
{
  // Largest fraction of the burst that may be on loan at a time, to all
  // borrowers together.
  double lendableFraction = 0.25;
  Millis loanTerm{ 10000 };
  // Added to the term on the owner's side before a loan expires.
  Millis loanMargin{ 1000 };
  // For this long after a takeover a request that finds no token is to be
  // retried rather than refused, see RateDecision::wait.
  Millis takeoverGrace{ 10000 };
};

struct RateDecision
{
  bool granted = false;
  // Not granted, but the bucket was taken over recently and its true level is
  // unknown: the caller should retry after retryAfter rather than refuse.
  bool wait = false;
  Millis retryAfter{ 0 };
  // Loan issued along with a grant; no loan if loanTokens is 0.
  int loanTokens = 0;
  Millis loanTerm{ 0 };
  int64_t loanId = 0;
};

// A loan that its borrower no longer uses: used up, expired or given back.
struct ClosedLoan
{
  std::string organisation;
  int64_t id = 0;
  int unusedTokens = 0;
};

// Upper bound of the retry delay that a bucket reports.
constexpr Millis kMaxRetryAfter{ 3600000 };

// A token bucket, refilled lazily on access. Does not track loans.
class TokenBucket
{
public:
  TokenBucket(RateLimit aLimit, double aLevel, TimePoint aNow);
  // aCap is an upper bound of the level in addition to the burst.
  bool TryConsume(double aTokens, double aCap, TimePoint aNow);
  double Level(double aCap, TimePoint aNow);
  void AddTokens(double aTokens, double aCap, TimePoint aNow);
  // Reduces a level above the new burst to it.
  void SetLimit(RateLimit aLimit, double aCap, TimePoint aNow);
  // Time until aTokens are available, at most kMaxRetryAfter; 0 if they are.
  Millis TimeUntilAvailable(double aTokens, double aCap, TimePoint aNow);

private:
  void Refill(double aCap, TimePoint aNow);

  RateLimit limit;
  double level;
  TimePoint refilledAt;
};

// The owner's buckets and the loans issued from them.
class OrganisationBuckets
{
public:
  explicit OrganisationBuckets(LimitSettings aSettings);

  // Creates the bucket after this daemon became the owner. The bucket starts
  // full if no earlier owner can have granted requests, else empty.
  void TakeOver(const std::string& aOrganisation,
                RateLimit aLimit,
                bool aFirstOwner,
                TimePoint aNow);
  // Creates the bucket with the level handed over by the previous owner.
  void TakeOverWithLevel(const std::string& aOrganisation,
                         RateLimit aLimit,
                         double aLevel,
                         TimePoint aNow);
  bool Contains(const std::string& aOrganisation) const;
  // Removes the bucket and returns the level to hand over, from which
  // outstanding loans are already deducted; 0 if there is no bucket.
  double Relinquish(const std::string& aOrganisation, TimePoint aNow);

  // Takes one token and may issue a loan to the borrower. Not granted if there
  // is no bucket: TakeOver or TakeOverWithLevel comes first.
  RateDecision TryAcquire(const std::string& aOrganisation,
                          RateLimit aLimit,
                          const std::string& aBorrower,
                          TimePoint aNow);
  // Closes a loan and returns its aUnused tokens to the bucket. Idempotent: has
  // no effect for a loan that is not outstanding.
  void ReturnLoan(const std::string& aOrganisation,
                  const std::string& aBorrower,
                  int64_t aLoanId,
                  int aUnused,
                  TimePoint aNow);

private:
  struct Loan
  {
    int64_t id = 0;
    double tokens = 0;
    TimePoint expiresAt;
  };
  struct Entry
  {
    TokenBucket bucket;
    RateLimit limit;
    TimePoint takenOverAt;
    bool levelKnown = false;
    // By borrower; at most one loan each.
    std::map<std::string, Loan> loans;
    int64_t lastLoanId = 0;
  };

  void InsertEntry(const std::string& aOrganisation, Entry aEntry);
  // Expires loans up to aNow in order of their expiry times.
  void ExpireLoans(Entry& aEntry, TimePoint aNow);
  // The most that may be on loan at a time.
  double LendableTokens(const Entry& aEntry) const;
  double OutstandingTokens(const Entry& aEntry) const;
  // Upper bound of the level: the burst less the outstanding loans.
  double LevelCap(const Entry& aEntry) const;
  TimePoint LoanExpiry(TimePoint aNow) const;
  // Issues a loan and writes it to aDecision, if the borrower has none, the
  // bucket's level is high enough and no loans of an earlier owner may be out.
  void IssueLoan(Entry& aEntry,
                 const std::string& aBorrower,
                 RateDecision& aDecision,
                 TimePoint aNow);

  LimitSettings settings;
  std::map<std::string, Entry> entries;
};

// The loans that this daemon holds as a borrower.
class BorrowedLoans
{
public:
  // Adds the loan of a decision, if there is one. aSentAt is the time before
  // the request was sent.
  void Add(const std::string& aOrganisation,
           const RateDecision& aDecision,
           TimePoint aSentAt);
  // Takes one token from the usable loan that expires first; false if there is
  // none.
  bool TryConsume(const std::string& aOrganisation, TimePoint aNow);
  // Unused tokens of the loans that have not expired at aNow.
  int RemainingTokens(const std::string& aOrganisation, TimePoint aNow) const;
  // Removes and returns the loans that are used up or expired, to be reported
  // to the owner.
  std::vector<ClosedLoan> TakeClosed(TimePoint aNow);
  // Removes and returns all loans, for a daemon that shuts down.
  std::vector<ClosedLoan> TakeAll();

private:
  struct Loan
  {
    int64_t id = 0;
    int tokens = 0;
    TimePoint expiresAt;
  };
  std::map<std::string, std::vector<Loan>> loans;
};

// Plug-in: how a fleet-wide rate limit is enforced. "owner_bucket" keeps one
// bucket on the slot's owner; "static_split" gives each daemon rate / members
// without coordination (a baseline).
class RatePolicy
{
public:
  virtual ~RatePolicy() = default;
  // Whether OrganisationBuckets::TryAcquire must run on the slot's owner.
  virtual bool RequiresOwner() const = 0;
  // The limit that one daemon enforces if there are aMembers in all.
  virtual RateLimit PerMemberLimit(RateLimit aWhole, size_t aMembers) const = 0;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_LIMIT_LIMIT_H_
