#include "daemon/ledger_service.h"

#include <algorithm>

namespace tanagerseam {

namespace {

// A larger response is recorded without its body, so it can't be replayed to a
// repeat.
constexpr size_t kMaxStoredBodyBytes = 1u << 20;
constexpr const char* kLedgerKeyPrefix = "ledger/";
// Bound of each table of keys whose records have no verdict yet.
constexpr size_t kMaxPendingKeys = 100;

// Two requests are the same if route, path and body are equal.
std::string
DigestOf(const CallRequest& aRequest)
{
  return Sha256Hex(aRequest.route + "\n" + aRequest.path + "\n" +
                   aRequest.body);
}

// Drops the first entry if the table is full: repeats of its key are answered
// "outcome unknown".
template<typename Value>
void
EvictIfFull(std::map<std::string, Value>& aTable)
{
  if (aTable.size() >= kMaxPendingKeys) {
    aTable.erase(aTable.begin());
  }
}

} // namespace

Refusal
OutcomeUnknown(int64_t aReference, const std::string& aDetail)
{
  return MakeRefusal(RefusalReason::kOutcomeUnknown,
                     "reference " + std::to_string(aReference) + ": " +
                       aDetail);
}

bool
HasStartedRequest(const DaemonContext& aContext, const CallRequest& aRequest)
{
  if (aRequest.operation != CallOperation::kServiceCall ||
      aRequest.idempotencyKey.empty()) {
    return false;
  }
  const std::string key =
    LedgerKey(aRequest.organisation, aRequest.route, aRequest.idempotencyKey);
  return aContext.journal.With([&key](const ClusterState& aState) {
    const LedgerEntry* entry = aState.FindLedgerEntry(key);
    return entry != nullptr && entry->phase != LedgerPhase::kVoided;
  });
}

LedgerService::LedgerService(const DaemonContext& aContext,
                             ServiceRunner& aRunner)
  : context(aContext)
  , runner(aRunner)
{
}

std::optional<Result<ServiceResponse>>
LedgerService::Run(const CallRequest& aRequest)
{
  const std::string key =
    LedgerKey(aRequest.organisation, aRequest.route, aRequest.idempotencyKey);
  auto guard =
    this->keyLocks.Acquire(kLedgerKeyPrefix + key, aRequest.deadline);
  if (!guard) {
    Refusal refusal =
      MakeRefusal(RefusalReason::kDeadlineExceeded,
                  "deadline passed while a request with the same "
                  "idempotency key was in progress");
    refusal.ran = RanState::kUnknown;
    return Result<ServiceResponse>(refusal);
  }
  return this->RunLocked(aRequest, key);
}

std::set<int>
LedgerService::BusySlots() const
{
  return SlotsOf(this->context, this->keyLocks.LockedKeys());
}

std::optional<Result<ServiceResponse>>
LedgerService::RunLocked(const CallRequest& aRequest, const std::string& aKey)
{
  const OwnerLocation place = FindOwner(this->context, kLedgerKeyPrefix + aKey);
  if (!place.isSelf) {
    return std::nullopt;
  }
  const std::string digest = DigestOf(aRequest);
  const auto known = this->context.journal.With(
    [&aKey](const ClusterState& aState) -> std::optional<LedgerEntry> {
      const LedgerEntry* entry = aState.FindLedgerEntry(aKey);
      return entry ? std::optional<LedgerEntry>(*entry) : std::nullopt;
    });
  if (known && known->phase != LedgerPhase::kVoided) {
    if (this->IsVoidPending(aKey, known->epoch)) {
      return Result<ServiceResponse>(
        MakeRefusal(RefusalReason::kLogUnavailable,
                    "the log has not confirmed yet that the intent is voided"));
    }
    return this->ResponseFromEntry(*known, aKey, digest);
  }
  if (this->context.journal.LogFailing()) {
    return Result<ServiceResponse>(
      MakeRefusal(RefusalReason::kLogUnavailable, "the log is unavailable"));
  }
  auto ticket =
    this->context.journal.Submit(RequestStarted{ aKey, digest, place.epoch });
  if (!ticket) {
    return Result<ServiceResponse>(
      MakeRefusal(RefusalReason::kLogUnavailable,
                  "the queue of records for the log is full"));
  }
  const auto verdict =
    this->context.journal.Wait(*ticket, this->context.settings.verdictTimeout);
  if (!verdict) {
    return Result<ServiceResponse>(this->VoidIntent(
      aKey,
      place.epoch,
      MakeRefusal(RefusalReason::kLogUnavailable,
                  "no verdict on the intent from the log in time")));
  }
  if (verdict->verdict == Verdict::kWrongEpoch) {
    return std::nullopt;
  }
  if (verdict->verdict != Verdict::kAccepted) {
    return Result<ServiceResponse>(
      OutcomeUnknown(verdict->offset, "another daemon started it"));
  }
  this->ErasePendingVoid(aKey);
  return this->Send(aRequest, aKey, place, verdict->offset);
}

Result<ServiceResponse>
LedgerService::ResponseFromEntry(const LedgerEntry& aEntry,
                                 const std::string& aKey,
                                 const std::string& aDigest)
{
  if (aEntry.requestDigest != aDigest) {
    return MakeRefusal(RefusalReason::kIdempotencyKeyReused,
                       "the idempotency key was used for a different request");
  }
  if (!aEntry.bodyKept) {
    return OutcomeUnknown(aEntry.startedOffset,
                          "it ran and returned status " +
                            std::to_string(aEntry.httpStatus) +
                            ", but its response was too large to be stored");
  }
  if (aEntry.phase == LedgerPhase::kFinished) {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->unrecordedResponses.erase(aKey);
    this->context.metrics.Count("tanagerseam_ledger_repeats_total", {});
    return ServiceResponse{ aEntry.httpStatus,
                            aEntry.contentType,
                            aEntry.body };
  }
  if (const auto response = this->FindUnrecordedResponse(aKey)) {
    return *response;
  }
  return OutcomeUnknown(aEntry.startedOffset,
                        "started, but no response was recorded");
}

std::optional<ServiceResponse>
LedgerService::FindUnrecordedResponse(const std::string& aKey)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  auto found = this->unrecordedResponses.find(aKey);
  return found == this->unrecordedResponses.end()
           ? std::nullopt
           : std::optional<ServiceResponse>(found->second);
}

Refusal
LedgerService::VoidIntent(const std::string& aKey,
                          int64_t aEpoch,
                          Refusal aRefusal)
{
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    EvictIfFull(this->pendingVoids);
    this->pendingVoids[aKey] = aEpoch;
  }
  const auto verdict = this->context.journal.SubmitAndWait(
    RequestVoided{ aKey, aEpoch },
    this->context.journal.LogFailing() ? Millis(0)
                                       : this->context.settings.verdictTimeout);
  if (verdict) {
    this->ErasePendingVoid(aKey);
  }
  return aRefusal;
}

void
LedgerService::ErasePendingVoid(const std::string& aKey)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  this->pendingVoids.erase(aKey);
}

bool
LedgerService::IsVoidPending(const std::string& aKey, int64_t aEpoch)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->pendingVoids.find(aKey);
  return found != this->pendingVoids.end() && found->second == aEpoch;
}

Result<ServiceResponse>
LedgerService::Send(const CallRequest& aRequest,
                    const std::string& aKey,
                    const OwnerLocation& aPlace,
                    int64_t aReference)
{
  const int64_t epoch = aPlace.epoch;
  // Checked after the intent is in the log, right before the request is sent,
  // so that leaving endpoints and withdrawn keys take effect up to that moment.
  if (auto refusal =
        CheckApiKey(this->context, aRequest.keyDigest, aRequest.organisation)) {
    return this->VoidIntent(aKey, epoch, *refusal);
  }
  if (!this->context.mayActAsOwner(aPlace.slot)) {
    return this->VoidIntent(
      aKey,
      epoch,
      MakeRefusal(RefusalReason::kOwnerUnavailable,
                  "the owner's lease expired before the request was sent"));
  }
  Result<std::vector<Endpoint>> candidates =
    this->runner.Candidates(aRequest.route);
  if (!IsOk(candidates)) {
    return this->VoidIntent(aKey, epoch, std::get<Refusal>(candidates));
  }
  const Endpoint endpoint =
    this->runner.Pick(std::get<std::vector<Endpoint>>(candidates), "");
  EndpointOutcome outcome = this->runner.RunOnce(
    endpoint, aRequest, false, epoch, [] { return false; });
  if (outcome.status == EndpointStatus::kNotExecuted) {
    return this->VoidIntent(
      aKey,
      epoch,
      MakeRefusal(RefusalReason::kNoEndpoint,
                  "could not reach the endpoint: " + outcome.detail));
  }
  if (outcome.status != EndpointStatus::kOk) {
    return OutcomeUnknown(aReference, outcome.detail);
  }
  RequestFinished finished;
  finished.key = aKey;
  finished.httpStatus = outcome.httpStatus;
  finished.contentType = outcome.contentType;
  finished.bodyKept = outcome.body.size() <= kMaxStoredBodyBytes;
  finished.body = finished.bodyKept ? outcome.body : "";
  const auto verdict = this->context.journal.SubmitAndWait(
    std::move(finished), this->context.settings.verdictTimeout);
  ServiceResponse response{ outcome.httpStatus,
                            outcome.contentType,
                            std::move(outcome.body) };
  if (!verdict && response.body.size() <= kMaxStoredBodyBytes) {
    std::lock_guard<std::mutex> lock(this->mutex);
    EvictIfFull(this->unrecordedResponses);
    this->unrecordedResponses[aKey] = response;
  }
  return response;
}

} // namespace tanagerseam
