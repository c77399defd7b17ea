// Rate and burst of organisations: the asking side and the owner's side.
//
// A request takes one token of its organisation's bucket, which one daemon
// owns. The owner grants only under a valid lease. While the owner is away the
// asking daemon spends what it was lent, then waits for a new owner, and only
// then refuses. For a while after an owner was away it goes on waiting where
// the owner has no token: requests that waited come all at once and are no sign
// that the organisation is over its rate. It tells the owner, which lets the
// requests of the other daemons wait as long.
//
// A waiting request holds a worker, so the requests of one organisation that
// wait at once are bounded by a part of all workers: an organisation over its
// rate must not keep the others from being heard.
#ifndef TANAGERSEAM_DAEMON_RATE_SERVICE_H_
#define TANAGERSEAM_DAEMON_RATE_SERVICE_H_

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "daemon/context.h"

namespace tanagerseam {

class RateService
{
public:
  explicit RateService(const DaemonContext& aContext);

  // Takes a token, waiting where that is better than refusing. Empty if taken.
  std::optional<Refusal> Take(const std::string& aOrganisation,
                              TimePoint aDeadline);

  // The owner's side. Empty if this daemon may not grant now.
  std::optional<RateDecision> OnAsk(const std::string& aOrganisation,
                                    const std::string& aBorrower);

  // The owner's side: a daemon could not reach an owner and its requests come
  // all at once now, so those of all daemons wait out refusals for this long.
  void ExtendGrace(const std::string& aOrganisation, Millis aGrace);

  // A borrower's loan ended.
  void OnLoanReturned(const ClosedLoan& aLoan, const std::string& aBorrower);
  // Tells owners of own loans that ended. Called regularly.
  void ReturnLoans();

  // A slot was claimed by this daemon: takes over its organisations.
  void OnSlotClaimed(int aSlot);
  // Levels to hand over with a slot that is about to be released.
  std::map<std::string, double> LevelsOf(int aSlot);

private:
  // Counts a request that waits, while it lives.
  class WaitingSeat;

  // When the claim that gave a slot its epoch took effect, or later.
  struct SlotClaimTime
  {
    int64_t epoch = 0;
    TimePoint at;
  };

  bool UseLoan(const std::string& aOrganisation);
  // For how long refusals by the owner are still waited out.
  Millis GraceLeft(const std::string& aOrganisation);
  void NoteOwnerAway(const std::string& aOrganisation, TimePoint aNow);
  std::optional<RateDecision> AskOwner(const std::string& aOrganisation);
  RateLimit ShapeOf(const std::string& aOrganisation) const;
  // Takes over under the epoch in force if that has not happened yet. Needs
  // the mutex.
  void EnsureHeld(const std::string& aOrganisation,
                  const OwnerLocation& aPlace);
  // Whether the level was handed over under this epoch. Needs the mutex.
  bool IsGivenUp(const std::string& aOrganisation, int64_t aEpoch) const;
  // Takes over all organisations of a slot that this daemon owns. Needs the
  // mutex.
  void HoldAllOf(int aSlot);

  const DaemonContext& context;
  std::unique_ptr<RatePolicy> policy;
  std::mutex mutex;
  OrganisationBuckets buckets;
  BorrowedLoans loans;
  // The epoch under which each organisation's bucket was taken over.
  std::map<std::string, int64_t> heldEpoch;
  // When this daemon's newest claim of each slot took effect, once the
  // organisations of that time are held.
  std::map<int, SlotClaimTime> claimedAt;
  // The epoch under which each organisation's level was handed over: nothing
  // more is granted under it.
  std::map<std::string, int64_t> givenUpEpoch;
  // When asks of the owner failed: the first and last time without a pause, and
  // until when refusals are waited out.
  struct OwnerAway
  {
    TimePoint since;
    TimePoint last;
    TimePoint graceUntil;
  };
  std::map<std::string, OwnerAway> away;
  // Requests that wait now, by organisation.
  std::map<std::string, size_t> waiting;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_DAEMON_RATE_SERVICE_H_
