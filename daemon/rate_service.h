// Rate limiting of organisations: the borrower's side and the owner's side.
//
// A request takes one token from its organisation's token bucket, which one
// daemon owns. The owner grants tokens only under a valid lease. While the
// owner is unavailable the requesting daemon (borrower) spends the tokens that
// the owner lent it, then waits for a new owner, and only then refuses. For a
// grace period after an owner outage it also waits, instead of refusing, when
// the owner has no token: the requests delayed by the outage arrive in a burst,
// which does not mean that the organisation exceeds its rate. It sends the
// remaining grace period to the owner, which extends it to the requests of all
// other daemons.
//
// A waiting request holds a worker thread, so the waiting requests of one
// organisation are bounded by a fraction of all workers: an organisation above
// its rate must not starve the others.
#ifndef TANAGERSEAM_DAEMON_RATE_SERVICE_H_
#define TANAGERSEAM_DAEMON_RATE_SERVICE_H_

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "daemon/call.h"
#include "daemon/context.h"

namespace tanagerseam {

class RateService
{
public:
  explicit RateService(const DaemonContext& aContext);

  // Takes a token, waiting for one during and after an owner outage. Empty if
  // taken. The wait ends at the call's deadline, after kMaxTokenWait, or once
  // its key is withdrawn.
  std::optional<Refusal> AcquireToken(const CallRequest& aCall);

  // The owner's side of a token request. Empty if this daemon may not grant
  // now.
  std::optional<RateDecision> GrantToken(const std::string& aOrganisation,
                                         const std::string& aBorrower);

  // The owner's side: a borrower could not reach an owner and now sends its
  // delayed requests in a burst, so requests of all daemons wait for tokens
  // instead of being refused for this long.
  void ExtendGrace(const std::string& aOrganisation, Millis aGrace);

  // The owner's side: a borrower's loan ended.
  void OnLoanReturned(const ClosedLoan& aLoan, const std::string& aBorrower);
  // Returns the unused tokens of ended loans to their owners. Called
  // periodically.
  void ReturnLoans();

  // This daemon claimed a slot: takes over the buckets of its organisations.
  void OnSlotClaimed(int aSlot);
  // Bucket levels by organisation, for the next owner of a slot that is about
  // to be released. Nothing is granted under the slot's epoch from then on.
  std::map<std::string, double> HandOverLevels(int aSlot);

private:
  // Counts one waiting request of an organisation (RAII).
  class WaiterPermit;

  // A slot's epoch and a time at or after which its claim took effect.
  struct SlotClaimTime
  {
    int64_t epoch = 0;
    TimePoint at;
  };

  bool ConsumeLoan(const std::string& aOrganisation);
  // For how long requests still wait for tokens instead of being refused.
  Millis RemainingGrace(const std::string& aOrganisation);
  void RecordOwnerFailure(const std::string& aOrganisation, TimePoint aNow);
  std::optional<RateDecision> RequestToken(const std::string& aOrganisation);
  // The limit that this daemon enforces under the rate policy; zero if the
  // organisation is not configured.
  RateLimit LimitOf(const std::string& aOrganisation) const;
  // Takes the bucket over under the epoch of aPlace unless that was done under
  // this or a newer epoch. Requires the mutex.
  void TakeOverIfNeeded(const std::string& aOrganisation,
                        const OwnerLocation& aPlace);
  // Whether the level was handed over under this epoch. Requires the mutex.
  bool IsHandedOver(const std::string& aOrganisation, int64_t aEpoch) const;
  // Takes over the buckets of all configured organisations of a slot that this
  // daemon owns. Requires the mutex.
  void TakeOverSlot(int aSlot);

  const DaemonContext& context;
  std::unique_ptr<RatePolicy> policy;
  std::mutex mutex;
  OrganisationBuckets buckets;
  BorrowedLoans loans;
  // The epoch under which each organisation's bucket was taken over.
  std::map<std::string, int64_t> takeoverEpochs;
  // This daemon's newest claim of each slot, set once the buckets of the
  // organisations configured at that time are taken over.
  std::map<int, SlotClaimTime> claimTimes;
  // The epoch under which each organisation's level was handed over; no token
  // is granted under it any more.
  std::map<std::string, int64_t> handoverEpochs;
  // First and last failed request to the owner in one outage, and the end of
  // the grace period.
  struct OwnerOutage
  {
    TimePoint since;
    TimePoint last;
    TimePoint graceUntil;
  };
  std::map<std::string, OwnerOutage> ownerOutages;
  // Number of waiting requests by organisation.
  std::map<std::string, size_t> waitingRequests;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_DAEMON_RATE_SERVICE_H_
