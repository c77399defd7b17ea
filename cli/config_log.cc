#include "cli/config_log.h"

#include <thread>

namespace tanagerseam {

namespace {

constexpr Millis kAppendRetryDelay(200);
constexpr Millis kVerdictPollInterval(20);
constexpr int kIncarnationBytes = 16;

Millis
TimeUntil(TimePoint aDeadline)
{
  return Millis(std::max<int64_t>(0, MillisBetween(Now(), aDeadline)));
}

bool
HeadersEqual(const RecordHeader& aLeft, const RecordHeader& aRight)
{
  return aLeft.host == aRight.host && aLeft.incarnation == aRight.incarnation &&
         aLeft.sequence == aRight.sequence;
}

} // namespace

Result<DesiredState>
DesiredFromConfig(const ConfigVersion& aConfig)
{
  if (aConfig.version == 0) {
    return DesiredState{};
  }
  return DesiredFromJson(aConfig.config);
}

ConfigLog::ConfigLog(LogService& aService, Millis aTimeout)
  : service(aService)
  , operationTimeout(aTimeout)
  , replayer(kSlotCount,
             [this](const ClusterState& aState,
                    const Record& aRecord,
                    const ApplyOutcome& aOutcome) {
               this->OnRecordApplied(aState, aRecord, aOutcome);
             })
{
}

Result<Done>
ConfigLog::Refresh()
{
  return this->Refresh(this->operationTimeout);
}

Result<Done>
ConfigLog::Refresh(Millis aTimeout)
{
  return CatchUp(this->service, this->replayer, aTimeout);
}

Result<DesiredState>
ConfigLog::DesiredInForce() const
{
  return DesiredFromConfig(this->ConfigInForce());
}

std::optional<DesiredState>
ConfigLog::DesiredAt(int64_t aVersion) const
{
  if (aVersion == 0) {
    return DesiredState{};
  }
  auto found = this->versions.find(aVersion);
  if (found == this->versions.end()) {
    return std::nullopt;
  }
  auto desired = DesiredFromJson(found->second);
  auto* state = std::get_if<DesiredState>(&desired);
  return state == nullptr ? std::nullopt : std::optional(*state);
}

Result<Verdict>
ConfigLog::Publish(const std::string& aOperator,
                   int64_t aBase,
                   const DesiredState& aDesired)
{
  return this->Propose(
    aOperator,
    ConfigApplied{ aBase, ToJson(aDesired), aOperator, WallMillis() });
}

Result<Verdict>
ConfigLog::Propose(const std::string& aOperator, RecordBody aBody)
{
  const TimePoint deadline = Now() + this->operationTimeout;
  this->lastProposal = { "operator/" + aOperator,
                         RandomHex(kIncarnationBytes),
                         1 };
  this->lastVerdict.reset();
  const Record record{ this->lastProposal, std::move(aBody) };
  Result<Done> appended = this->Append(EncodeRecord(record), deadline);
  if (auto* refusal = std::get_if<Refusal>(&appended)) {
    return *refusal;
  }
  while (!this->lastVerdict && Now() < deadline) {
    CatchUp(this->service, this->replayer, TimeUntil(deadline));
    if (!this->lastVerdict) {
      std::this_thread::sleep_for(kVerdictPollInterval);
    }
  }
  // Without a replayed state, the verdict cannot be attributed to a version.
  if (!this->lastVerdict || !this->replayer.State()) {
    return MakeRefusal(RefusalReason::kLogUnavailable,
                       "the change was appended to the log, but its verdict "
                       "was not read back in time; check with status");
  }
  return *this->lastVerdict;
}

Result<Done>
ConfigLog::Append(const std::string& aText, TimePoint aDeadline)
{
  while (true) {
    auto outcome = this->service.Append({ aText });
    auto* failure = std::get_if<LogFailure>(&outcome);
    if (failure == nullptr) {
      return Done{};
    }
    if (Now() + kAppendRetryDelay >= aDeadline) {
      return MakeRefusal(
        RefusalReason::kLogUnavailable,
        "the log did not confirm the change (" + failure->detail +
          "); it may still come into force; check with status");
    }
    std::this_thread::sleep_for(kAppendRetryDelay);
  }
}

void
ConfigLog::OnRecordApplied(const ClusterState& aState,
                           const Record& aRecord,
                           const ApplyOutcome& aOutcome)
{
  this->versions[aState.Config().version] = aState.Config().config;
  if (HeadersEqual(aRecord.header, this->lastProposal) &&
      aOutcome.verdict != Verdict::kDuplicate) {
    this->lastVerdict = aOutcome.verdict;
  }
}

} // namespace tanagerseam
