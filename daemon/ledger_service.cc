#include "daemon/ledger_service.h"

#include <algorithm>

namespace tanagerseam {

namespace {

// Answers that are kept for repeats; a larger one is kept without its body.
constexpr size_t kMaxStoredBody = 1u << 20;
constexpr const char* kPrefix = "ledger/";
// Keys kept until their records are in the log.
constexpr size_t kMaxUnrecorded = 100;

// A request is the same if route, path and body are.
std::string
DigestOf(const CallRequest& aRequest)
{
  return Sha256Hex(aRequest.route + "\n" + aRequest.path + "\n" +
                   aRequest.body);
}

// Drops an entry if the table is full: its key is answered "outcome unknown".
template<typename Value>
void
MakeRoom(std::map<std::string, Value>& aTable)
{
  if (aTable.size() >= kMaxUnrecorded) {
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
StartedBefore(const DaemonContext& aContext, const CallRequest& aRequest)
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
  auto pass = this->gates.Enter(kPrefix + key, aRequest.deadline);
  if (!pass) {
    Refusal refusal = MakeRefusal(RefusalReason::kDeadlineExceeded,
                                  "the same request is still under way");
    refusal.ran = RanState::kUnknown;
    return Result<ServiceResponse>(refusal);
  }
  return this->RunInside(aRequest, key);
}

std::set<int>
LedgerService::BusySlots() const
{
  return SlotsOf(this->context, this->gates.BusyKeys());
}

std::optional<Result<ServiceResponse>>
LedgerService::RunInside(const CallRequest& aRequest, const std::string& aKey)
{
  const OwnerLocation place = FindOwner(this->context, kPrefix + aKey);
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
    if (this->GivenUp(aKey, known->epoch)) {
      return Result<ServiceResponse>(
        MakeRefusal(RefusalReason::kLogUnavailable,
                    "the log did not confirm yet that it was given up"));
    }
    return this->AnswerFromEntry(*known, aKey, digest);
  }
  if (this->context.journal.LogFailing()) {
    return Result<ServiceResponse>(
      MakeRefusal(RefusalReason::kLogUnavailable, "the log does not answer"));
  }
  auto ticket =
    this->context.journal.Submit(RequestStarted{ aKey, digest, place.epoch });
  if (!ticket) {
    return Result<ServiceResponse>(
      MakeRefusal(RefusalReason::kLogUnavailable, "too many records wait"));
  }
  const auto verdict =
    this->context.journal.Wait(*ticket, this->context.settings.verdictTimeout);
  if (!verdict) {
    return Result<ServiceResponse>(
      this->Void(aKey,
                 place.epoch,
                 MakeRefusal(RefusalReason::kLogUnavailable,
                             "the log did not confirm the intent")));
  }
  if (verdict->verdict == Verdict::kWrongEpoch) {
    return std::nullopt;
  }
  if (verdict->verdict != Verdict::kAccepted) {
    return Result<ServiceResponse>(
      OutcomeUnknown(verdict->offset, "started by another daemon"));
  }
  this->ForgetGivenUp(aKey);
  return this->Send(aRequest, aKey, place, verdict->offset);
}

Result<ServiceResponse>
LedgerService::AnswerFromEntry(const LedgerEntry& aEntry,
                               const std::string& aKey,
                               const std::string& aDigest)
{
  if (aEntry.requestDigest != aDigest) {
    return MakeRefusal(RefusalReason::kIdempotencyKeyReused,
                       "the key was used for another request");
  }
  if (!aEntry.bodyKept) {
    return OutcomeUnknown(aEntry.startedOffset,
                          "it ran and was answered with status " +
                            std::to_string(aEntry.httpStatus) +
                            ", but the answer was too large to keep");
  }
  if (aEntry.phase == LedgerPhase::kFinished) {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->unrecorded.erase(aKey);
    this->context.metrics.Count("tanagerseam_ledger_repeats_total", {});
    return ServiceResponse{ aEntry.httpStatus,
                            aEntry.contentType,
                            aEntry.body };
  }
  if (const auto answer = this->Unrecorded(aKey)) {
    return *answer;
  }
  return OutcomeUnknown(aEntry.startedOffset,
                        "started, and its daemon did not record an answer");
}

std::optional<ServiceResponse>
LedgerService::Unrecorded(const std::string& aKey)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  auto found = this->unrecorded.find(aKey);
  return found == this->unrecorded.end()
           ? std::nullopt
           : std::optional<ServiceResponse>(found->second);
}

Refusal
LedgerService::Void(const std::string& aKey, int64_t aEpoch, Refusal aRefusal)
{
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    MakeRoom(this->givenUp);
    this->givenUp[aKey] = aEpoch;
  }
  const auto verdict = this->context.journal.SubmitAndWait(
    RequestVoided{ aKey, aEpoch },
    this->context.journal.LogFailing() ? Millis(0)
                                       : this->context.settings.verdictTimeout);
  if (verdict) {
    this->ForgetGivenUp(aKey);
  }
  return aRefusal;
}

void
LedgerService::ForgetGivenUp(const std::string& aKey)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  this->givenUp.erase(aKey);
}

bool
LedgerService::GivenUp(const std::string& aKey, int64_t aEpoch)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->givenUp.find(aKey);
  return found != this->givenUp.end() && found->second == aEpoch;
}

Result<ServiceResponse>
LedgerService::Send(const CallRequest& aRequest,
                    const std::string& aKey,
                    const OwnerLocation& aPlace,
                    int64_t aReference)
{
  const int64_t epoch = aPlace.epoch;
  // All of this is checked after the intent is in the log, right before the
  // request goes out: leaving endpoints and withdrawn keys stop here.
  if (auto refusal =
        CheckApiKey(this->context, aRequest.keyDigest, aRequest.organisation)) {
    return this->Void(aKey, epoch, *refusal);
  }
  if (!this->context.mayActAsOwner(aPlace.slot)) {
    return this->Void(
      aKey,
      epoch,
      MakeRefusal(RefusalReason::kOwnerUnavailable,
                  "the lease ended before the request was sent"));
  }
  Result<std::vector<Endpoint>> candidates =
    this->runner.Candidates(aRequest.route);
  if (!IsOk(candidates)) {
    return this->Void(aKey, epoch, std::get<Refusal>(candidates));
  }
  const Endpoint endpoint =
    this->runner.Pick(std::get<std::vector<Endpoint>>(candidates), "");
  EndpointOutcome outcome = this->runner.RunOnce(
    endpoint, aRequest, false, epoch, [] { return false; });
  if (outcome.status == EndpointStatus::kNotRun) {
    return this->Void(
      aKey,
      epoch,
      MakeRefusal(RefusalReason::kNoEndpoint,
                  "the endpoint was not reached: " + outcome.detail));
  }
  if (outcome.status != EndpointStatus::kOk) {
    return OutcomeUnknown(aReference, outcome.detail);
  }
  RequestFinished finished;
  finished.key = aKey;
  finished.httpStatus = outcome.httpStatus;
  finished.contentType = outcome.contentType;
  finished.bodyKept = outcome.body.size() <= kMaxStoredBody;
  finished.body = finished.bodyKept ? outcome.body : "";
  const auto verdict = this->context.journal.SubmitAndWait(
    std::move(finished), this->context.settings.verdictTimeout);
  ServiceResponse answer{ outcome.httpStatus,
                          outcome.contentType,
                          std::move(outcome.body) };
  if (!verdict && answer.body.size() <= kMaxStoredBody) {
    std::lock_guard<std::mutex> lock(this->mutex);
    MakeRoom(this->unrecorded);
    this->unrecorded[aKey] = answer;
  }
  return answer;
}

} // namespace tanagerseam
