#include "gateway/quota_client.h"

#include <algorithm>

namespace tanagerseam {

namespace {

constexpr char kAsksMetric[] = "tanagerseam_quota_asks_total";

const char*
NameOf(QuotaAnswer aAnswer)
{
  switch (aAnswer) {
    case QuotaAnswer::kGranted:
      return "granted";
    case QuotaAnswer::kRefused:
      return "refused";
    case QuotaAnswer::kNoAnswer:
      break;
  }
  return "no_answer";
}

} // namespace

QuotaClient::QuotaClient(FleetQuota& aQuota,
                         FleetLink& aLink,
                         Metrics& aMetrics)
  : quota(aQuota)
  , link(aLink)
  , metrics(aMetrics)
{
}

void
QuotaClient::Acquire(const std::string& aOrganisation,
                     TimePoint aDeadline,
                     Callback aDone)
{
  this->Continue({ aOrganisation, aDeadline, std::move(aDone) },
                 this->quota.AdmitCall(aOrganisation, BootNow()));
}

void
QuotaClient::Continue(Pending aPending, const QuotaDecision& aDecision)
{
  switch (aDecision.verdict) {
    case QuotaVerdict::kAdmitted:
      aPending.done(true);
      return;
    case QuotaVerdict::kRefused:
      aPending.done(false);
      return;
    case QuotaVerdict::kAskOwner:
      this->Ask(std::move(aPending), aDecision.owner);
  }
}

void
QuotaClient::Ask(Pending aPending, const std::string& aOwner)
{
  ++aPending.asks;
  const Millis left =
    std::chrono::duration_cast<Millis>(aPending.deadline - BootNow());
  const Millis wait = std::clamp(left, Millis(1), kOwnerTimeout);
  const uint64_t hash = OrganisationHash(aPending.organisation);
  this->link.AcquireQuota(
    aOwner,
    hash,
    wait,
    [this, aOwner, pending = std::move(aPending)](QuotaAnswer aAnswer) {
      this->OnAnswer(pending, aOwner, aAnswer);
    });
}

void
QuotaClient::OnAnswer(Pending aPending,
                      const std::string& aOwner,
                      QuotaAnswer aAnswer)
{
  this->metrics.Count(kAsksMetric, { { "answer", NameOf(aAnswer) } });
  switch (aAnswer) {
    case QuotaAnswer::kGranted:
      this->quota.OnGranted(aPending.organisation, BootNow());
      aPending.done(true);
      return;
    case QuotaAnswer::kRefused:
      aPending.done(false);
      return;
    case QuotaAnswer::kNoAnswer:
      break;
  }
  LogInfo("quota_owner_silent",
          { { "owner", aOwner }, { "organisation", aPending.organisation } });
  const QuotaDecision decision = this->quota.AdmitAfterSilence(
    aPending.organisation, aOwner, aPending.asks, BootNow());
  this->Continue(std::move(aPending), decision);
}

QuotaAnswer
QuotaClient::AcquireForPeer(const std::string& aHost,
                            uint64_t aOrganisationHash)
{
  const auto admitted =
    this->quota.AdmitForPeer(aOrganisationHash, aHost, BootNow());
  if (!admitted) {
    return QuotaAnswer::kNoAnswer;
  }
  return *admitted ? QuotaAnswer::kGranted : QuotaAnswer::kRefused;
}

} // namespace tanagerseam
