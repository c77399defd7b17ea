// Accounts of work by organisation.
#include "admission/admission.h"

#include <algorithm>

namespace tanagerseam {

namespace {

// Accounts that are worth less are dropped: a thousandth of a call of 100 ms.
constexpr double kForgottenWork = 0.1;
// An organisation is over its share from so many times the mean of the
// organisations that have work. With 81 equal organisations, chance alone takes
// some to 1.5 times the mean within a few seconds.
constexpr double kOverShareFactor = 3;
// Fewer calls than this say nothing about a share.
constexpr double kLeastCalls = 3;

} // namespace

void
OrganisationAccounts::Add(AccountMap& aAccounts,
                          uint64_t aOrganisation,
                          double aWork,
                          TimePoint aNow)
{
  aAccounts[aOrganisation].Add(aWork, aNow);
  if (aAccounts.size() <= kMaxOrganisations) {
    return;
  }
  // Dropping a quarter at a time keeps the cost of eviction low.
  std::vector<std::pair<double, uint64_t>> byWork;
  for (const auto& entry : aAccounts) {
    byWork.emplace_back(entry.second.At(aNow), entry.first);
  }
  std::sort(byWork.begin(), byWork.end());
  for (size_t i = 0; i < byWork.size(); ++i) {
    if (i < kMaxOrganisations / 4 || byWork[i].first < kForgottenWork) {
      aAccounts.erase(byWork[i].second);
    }
  }
}

void
OrganisationAccounts::RecordSent(uint64_t aOrganisation,
                                 double aWorkMillis,
                                 TimePoint aNow)
{
  Add(this->own, aOrganisation, aWorkMillis, aNow);
  Add(this->fleet, aOrganisation, aWorkMillis, aNow);
  this->total.Add(aWorkMillis, aNow);
  this->ownCalls.Add(1, aNow);
  this->ownTotal.Add(aWorkMillis, aNow);
}

std::vector<OrganisationShare>
OrganisationAccounts::Report(TimePoint aNow) const
{
  std::vector<OrganisationShare> shares;
  const double least = this->MeanOf(this->own, this->ownTotal, aNow);
  for (const auto& entry : this->own) {
    const double work = entry.second.At(aNow);
    if (work >= std::max(1.0, least)) {
      shares.push_back({ entry.first, static_cast<uint32_t>(work) });
    }
  }
  const size_t count = std::min(shares.size(), kMaxReported);
  std::partial_sort(shares.begin(),
                    shares.begin() + static_cast<std::ptrdiff_t>(count),
                    shares.end(),
                    [](const auto& aLeft, const auto& aRight) {
                      return aLeft.workMillis > aRight.workMillis;
                    });
  shares.resize(count);
  return shares;
}

void
OrganisationAccounts::OnPeerReport(const std::string& aHost,
                                   const std::vector<OrganisationShare>& aWork,
                                   TimePoint aNow)
{
  if (aWork.empty()) {
    return;
  }
  PeerWork& peer = this->peers[aHost];
  // The peer's accounts have decayed since its last report; only what is new
  // is added.
  for (const OrganisationShare& share : peer.work) {
    DecayedCount last;
    last.Add(share.workMillis, peer.receivedAt);
    Add(this->fleet, share.organisation, -last.At(aNow), aNow);
    this->total.Add(-last.At(aNow), aNow);
  }
  peer = { aWork, aNow };
  for (const OrganisationShare& share : aWork) {
    Add(this->fleet, share.organisation, share.workMillis, aNow);
    this->total.Add(share.workMillis, aNow);
  }
  for (auto it = this->peers.begin(); it != this->peers.end();) {
    const bool expired = aNow - it->second.receivedAt > kMaxPeerAge;
    it = expired ? this->peers.erase(it) : std::next(it);
  }
}

double
OrganisationAccounts::MeanOf(const AccountMap& aAccounts,
                             const DecayedCount& aTotal,
                             TimePoint aNow)
{
  const auto active = std::count_if(
    aAccounts.begin(), aAccounts.end(), [aNow](const auto& aEntry) {
      return aEntry.second.At(aNow) > kForgottenWork;
    });
  return active == 0 ? 0 : aTotal.At(aNow) / static_cast<double>(active);
}

bool
OrganisationAccounts::IsOverShare(uint64_t aOrganisation, TimePoint aNow)
{
  auto account = this->fleet.find(aOrganisation);
  const double calls = this->ownCalls.At(aNow);
  if (account == this->fleet.end() || calls < kLeastCalls) {
    return false;
  }
  // The mean changes slowly and costs a pass over all accounts.
  if (aNow - this->meanAt >= kMeanInterval) {
    this->mean = MeanOf(this->fleet, this->total, aNow);
    this->meanAt = aNow;
  }
  const double callWork = this->ownTotal.At(aNow) / calls;
  const double work = account->second.At(aNow);
  return work >= kLeastCalls * callWork && work > kOverShareFactor * this->mean;
}

} // namespace tanagerseam
