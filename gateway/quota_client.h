// Admits calls against the quota of their organisation, with the help of the
// quota's owner where this host can't decide alone. Private to this library.
//
//   QuotaClient client(quota, link, metrics);
//   client.Acquire("ski-club", deadline, [](bool aAdmitted) { ... });
//
// FleetQuota decides and this class asks: the owner that FleetQuota names, then
// the next one if that does not answer within kOwnerTimeout.
#ifndef TANAGERSEAM_GATEWAY_QUOTA_CLIENT_H_
#define TANAGERSEAM_GATEWAY_QUOTA_CLIENT_H_

#include <functional>
#include <string>

#include "fleet/fleet.h"
#include "quota/quota.h"

namespace tanagerseam {

class QuotaClient
{
public:
  // Several times the round trip to another availability zone.
  static constexpr Millis kOwnerTimeout{ 50 };

  using Callback = std::function<void(bool aAdmitted)>;

  QuotaClient(FleetQuota& aQuota, FleetLink& aLink, Metrics& aMetrics);

  // Calls aDone once, possibly before it returns.
  void Acquire(const std::string& aOrganisation,
               TimePoint aDeadline,
               Callback aDone);
  // Decides about a call of another host, as the owner of the quota.
  QuotaAnswer AcquireForPeer(const std::string& aHost,
                             uint64_t aOrganisationHash);

private:
  // A call that waits for an owner.
  struct Pending
  {
    std::string organisation;
    TimePoint deadline{};
    Callback done;
    // Owners asked so far.
    int asks = 0;
  };

  void Continue(Pending aPending, const QuotaDecision& aDecision);
  void Ask(Pending aPending, const std::string& aOwner);
  void OnAnswer(Pending aPending,
                const std::string& aOwner,
                QuotaAnswer aAnswer);

  FleetQuota& quota;
  FleetLink& link;
  Metrics& metrics;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_GATEWAY_QUOTA_CLIENT_H_
