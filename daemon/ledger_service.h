// At-most-once execution of non-repeatable requests by idempotency key.
//
// Algorithm, on the daemon that owns the slot of the ledger key (organisation,
// route, idempotency key):
// 1. Look the key up in the replayed state. Finished: return the
//    stored response.
//    Started by a daemon that recorded no response: return "outcome unknown",
//    permanently.
// 2. Append the intent (RequestStarted) under the epoch of the slot, and wait
//    until the local replay shows it accepted.
// 3. Only then send the request, once, on a fresh connection.
// 4. Append the response, or RequestVoided if the request certainly did not
//    run.
//
// Invariants:
// - A request is sent only after its intent was accepted, by the daemon that
//   appended it, in the same invocation of Run. Accepted intents are unique
//   while not voided, so the request is sent at most once.
// - A refusal says "not run" only if no intent was accepted, or if the accepted
//   intent was abandoned before anything was sent.
// - A daemon that was paused between 2 and 3 still sends at most once: its
//   successor sees the intent and answers "outcome unknown".
// - "Outcome unknown" is final. An intent that this daemon abandoned unsent is
//   therefore refused as not run until its RequestVoided is in the replay.
// While the log is down step 2 is impossible, so the request is refused at
// once.
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

  // Runs the request as the owner of its key. Empty if this daemon is not the
  // owner: the caller looks the owner up again.
  std::optional<Result<ServiceResponse>> Run(const CallRequest& aRequest);

  // Slots with a request in progress, which must not be released.
  std::set<int> BusySlots() const;

private:
  std::optional<Result<ServiceResponse>> RunLocked(const CallRequest& aRequest,
                                                   const std::string& aKey);
  Result<ServiceResponse> ResponseFromEntry(const LedgerEntry& aEntry,
                                            const std::string& aKey,
                                            const std::string& aDigest);
  // The response that this daemon returned and whose record the replay does not
  // show yet.
  std::optional<ServiceResponse> FindUnrecordedResponse(
    const std::string& aKey);
  Result<ServiceResponse> Send(const CallRequest& aRequest,
                               const std::string& aKey,
                               const OwnerLocation& aPlace,
                               int64_t aReference);
  // Appends RequestVoided for the intent and returns aRefusal.
  Refusal VoidIntent(const std::string& aKey, int64_t aEpoch, Refusal aRefusal);
  // Whether this daemon abandoned the intent of this epoch unsent and the
  // replay does not show its RequestVoided yet.
  bool IsVoidPending(const std::string& aKey, int64_t aEpoch);
  void ErasePendingVoid(const std::string& aKey);

  const DaemonContext& context;
  ServiceRunner& runner;
  KeyedLocks keyLocks;
  std::mutex mutex;
  // Responses by ledger key, at most kMaxPendingKeys; guarded by mutex.
  std::map<std::string, ServiceResponse> unrecordedResponses;
  // Epochs of the abandoned intents whose RequestVoided has no verdict yet, by
  // ledger key, at most kMaxPendingKeys; guarded by mutex.
  std::map<std::string, int64_t> pendingVoids;
};

// Whether the local replay shows a request of this idempotency key as started
// and not voided: a refusal of a repeat must then not say "not run".
bool
HasStartedRequest(const DaemonContext& aContext, const CallRequest& aRequest);

// The refusal of a request whose outcome is unknown. aReference is the log
// offset of its intent.
Refusal
OutcomeUnknown(int64_t aReference, const std::string& aDetail);

} // namespace tanagerseam

#endif // TANAGERSEAM_DAEMON_LEDGER_SERVICE_H_
