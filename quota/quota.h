// Rate and burst of each organisation over the whole fleet, without a
// coordinator.
//
//   FleetQuota quota("host-1");
//   quota.SetMembers({ "host-1", "host-2" });
//   quota.SetCap("ski-club", { 155, 155 }, false, now);
//   quota.PeerDemand("host-2", { { "ski-club", 40 } }, now);
//   quota.Rebalance(now);
//   if (!quota.Admit("ski-club", QuotaUse::kContinue, now)) { ... refuse ... }
//
// Each host has a token bucket of its own for each organisation. Hosts tell
// each other how many calls a second were asked of them. Of the cap each host
// takes what was asked of it, and of the rest half in equal parts and half in
// proportion; if more was asked than the cap holds, all in proportion.
//
// Invariant: the parts of all hosts together are at most the cap. A member that
// has not been heard of for kHeardWithin keeps an equal part of the cap for
// itself, and those that hear each other divide what is left; so each side of a
// partition stays within its own part.
//
// A program that has begun goes before a new one: a new one is admitted only
// while its organisation's bucket is filled above a reserve.
//
// Cost: Rebalance walks organisations times members that asked for something.
#ifndef TANAGERSEAM_QUOTA_QUOTA_H_
#define TANAGERSEAM_QUOTA_QUOTA_H_

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "kernel/kernel.h"

namespace tanagerseam {

struct QuotaCap
{
  // Calls a second; 0 means no limit.
  double ratePerSecond = 0;
  double burst = 0;
};

enum class QuotaUse
{
  // The first call of a program.
  kBegin,
  kContinue,
};

// Calls a second that were asked of one host, by organisation.
using QuotaDemand = std::unordered_map<std::string, double>;

class FleetQuota
{
public:
  // A member that was not heard of for longer counts as cut off.
  static constexpr Millis kHeardWithin{ 1500 };
  // The time over which demand is averaged.
  static constexpr Millis kDemandWindow{ 1000 };

  explicit FleetQuota(std::string aOwnHost);

  // All members of the fleet, with or without this host.
  void SetMembers(const std::vector<std::string>& aHosts);
  // aFull: the bucket starts full; only true for a fleet that starts anew, as
  // nobody knows else what was used just before.
  void SetCap(const std::string& aOrganisation,
              QuotaCap aCap,
              bool aFull,
              TimePoint aNow);
  // Organisations that are not in aKept lose their buckets.
  void KeepOnly(const std::vector<std::string>& aKept);
  void PeerDemand(const std::string& aHost,
                  QuotaDemand aDemand,
                  TimePoint aNow);
  // Divides the caps anew.
  void Rebalance(TimePoint aNow);

  // Takes one call out of the bucket, or refuses it.
  bool Admit(const std::string& aOrganisation, QuotaUse aUse, TimePoint aNow);
  // Gives back a call that did not run.
  void Return(const std::string& aOrganisation);
  // Time until the bucket holds one call more; at most aMost.
  Millis NextAfter(const std::string& aOrganisation, Millis aMost) const;
  // What was asked of this host; for the other members.
  QuotaDemand OwnDemand(TimePoint aNow) const;
  // Members that were heard of lately, with this host.
  size_t Heard(TimePoint aNow) const;
  size_t Members() const { return this->members.size(); }

private:
  struct Bucket
  {
    QuotaCap cap;
    // This host's part of the cap.
    double rate = 0;
    double capacity = 0;
    double level = 0;
    TimePoint filledAt{};
    // Calls a second asked of this host, averaged, as of demandAt.
    double demand = 0;
    TimePoint demandAt{};
  };
  struct Peer
  {
    QuotaDemand demand;
    TimePoint heardAt{};
  };

  void Fill(Bucket& aBucket, TimePoint aNow) const;
  void Divide(const std::string& aName, Bucket& aBucket, TimePoint aNow);
  static double DemandAt(const Bucket& aBucket, TimePoint aNow);

  std::string ownHost;
  std::vector<std::string> members;
  std::unordered_map<std::string, Peer> peers;
  std::unordered_map<std::string, Bucket> buckets;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_QUOTA_QUOTA_H_
