// Requests that may not be repeated: at most once.
//
// Algorithm, on the daemon that owns the slot of the ledger key (organisation,
// route, idempotency key):
// 1. Look the key up in the replayed state. Finished: give the stored answer.
//    Started by somebody who is gone: the outcome is unknown, for good.
// 2. Append the intent (RequestStarted) under the epoch of the slot, and wait
//    until the own replay shows it accepted.
// 3. Only then send the request, once, on a fresh connection.
// 4. Append the answer, or that it certainly did not run (RequestVoided).
//
// Invariants:
// - A request is sent only after its intent was accepted, by the daemon that
//   wrote it, in the same run of this code. Accepted intents are unique while
//   not voided, so it is sent at most once.
// - "Not run" is said only if no intent was accepted, or after the intent that
//   was accepted came to nothing before anything was sent.
// - A daemon that was paused between 2 and 3 still sends at most once: its
//   successor sees the intent and answers "outcome unknown".
// - "Outcome unknown" is said for good: an intent that this daemon gave up
//   unsent is refused as not run until its RequestVoided is in the replay.
// With the log down step 2 cannot be done, and the request is refused at once.
#ifndef TANAGERSEAM_DAEMON_LEDGER_SERVICE_H_
#define TANAGERSEAM_DAEMON_LEDGER_SERVICE_H_

#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>

#include "daemon/call.h"
#include "daemon/context.h"
#include "daemon/keyed_gates.h"
#include "daemon/service_runner.h"

namespace tanagerseam {

class LedgerService
{
public:
  LedgerService(const DaemonContext& aContext, ServiceRunner& aRunner);

  // Runs the request on the owner. Empty if this daemon is not the owner: the
  // caller looks the owner up again.
  std::optional<Result<ServiceResponse>> Run(const CallRequest& aRequest);

  // Slots with a request under way, which must not be released.
  std::set<int> BusySlots() const;

private:
  std::optional<Result<ServiceResponse>> RunInside(const CallRequest& aRequest,
                                                   const std::string& aKey);
  Result<ServiceResponse> AnswerFromEntry(const LedgerEntry& aEntry,
                                          const std::string& aKey,
                                          const std::string& aDigest);
  // The answer that this daemon gave and whose record is still on its way.
  std::optional<ServiceResponse> Unrecorded(const std::string& aKey);
  Result<ServiceResponse> Send(const CallRequest& aRequest,
                               const std::string& aKey,
                               const OwnerLocation& aPlace,
                               int64_t aReference);
  // Records that the intent came to nothing, and gives the refusal.
  Refusal Void(const std::string& aKey, int64_t aEpoch, Refusal aRefusal);
  // Whether the intent of this epoch was given up here, unsent, and the record
  // of that is still on its way.
  bool GivenUp(const std::string& aKey, int64_t aEpoch);
  void ForgetGivenUp(const std::string& aKey);

  const DaemonContext& context;
  ServiceRunner& runner;
  KeyedGates gates;
  std::mutex mutex;
  // Answers by ledger key, at most kMaxUnrecorded; guarded by mutex.
  std::map<std::string, ServiceResponse> unrecorded;
  // Epochs of the intents that were given up and whose record is still on its
  // way, by ledger key, at most kMaxUnrecorded; guarded by mutex.
  std::map<std::string, int64_t> givenUp;
};

// Whether the own replay shows a request of this idempotency key as started:
// then no refusal of a repeat can say that it did not run.
bool
StartedBefore(const DaemonContext& aContext, const CallRequest& aRequest);

// The refusal for a request whose outcome is unknown, with its reference.
Refusal
OutcomeUnknown(int64_t aReference, const std::string& aDetail);

} // namespace tanagerseam

#endif // TANAGERSEAM_DAEMON_LEDGER_SERVICE_H_
