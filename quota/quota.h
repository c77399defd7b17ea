// Rate and burst of each organisation over the whole fleet, without a
// coordinator.
//
//   FleetQuota quota("host-1", started, { Millis(5000), 0.1, 20 });
//   quota.SetMembers({ "host-1", "host-2" });
//   quota.SetCap("ski-club", { 155, 155 }, false, now);
//   quota.PeerReport("host-2", started2, { { "ski-club", { 40, 1200 } } },
//   now); if (!quota.Begin("ski-club", now)) { ... refuse the program ... } if
//   (!quota.Admit("ski-club", now)) { ... refuse the call ... }
//
// Hosts tell each other how many calls of each organisation they have admitted
// since they started, and how many were asked of them. From that each host
// keeps its own copy of one bucket for the whole fleet, the pool: it fills at
// the organisation's rate up to its burst, and every host's calls come out of
// it. While the pool is well filled, a call is admitted wherever it comes in;
// so the part of an organisation with few calls is never too small to use. The
// copies are as old as the last reports; so below a floor each host keeps to a
// small bucket of its own that fills at its part of the rate, in proportion to
// what is asked of it.
//
// Bound: burst + rate x time, and what all hosts admit between two reports
// while the pool is above its floor. The pool goes below zero then, and
// later calls pay for it.
//
// Partitions: a member that was not heard of within kHeardWithin is taken to
// use an equal part of rate and burst, and those that hear each other share the
// rest. So each side of a partition stays within its own part.
//
// Slack: the bound on what an organisation uses in a window leaves room beyond
// rate x window + burst for hosts that hear each other late. Half of it is
// added to the burst, so that calls within the cap aren't refused for the
// fleet's delays; the other half stays for what hosts admit without knowing of
// it.
//
// Programs are let in whole: a new one is set aside as many calls as programs
// of its organisation have needed so far, out of a second bucket of the same
// rate and burst, the promises. So those that are let in can run to their end,
// and an organisation that asks for several times its rate gets its rate in
// programs that finish.
//
// Cost: Admit is constant; a report costs its number of organisations.
#ifndef TANAGERSEAM_QUOTA_QUOTA_H_
#define TANAGERSEAM_QUOTA_QUOTA_H_

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "kernel/digest.h"
#include "kernel/kernel.h"

namespace tanagerseam {

struct QuotaCap
{
  // Calls a second; 0 means no limit.
  double ratePerSecond = 0;
  double burst = 0;
};

// In any window an organisation may use
// (rate x window + burst) x (1 + overage) + tolerance calls.
struct QuotaSlack
{
  Millis window{ 0 };
  double overage = 0;
  double tolerance = 0;
};

// What one host says of one organisation.
struct QuotaReport
{
  // Calls a second that are asked of the host.
  double demand = 0;
  // Calls that it has admitted since its start.
  uint64_t admitted = 0;
  // Programs begun since then, and the calls set aside for them.
  uint64_t begun = 0;
  double promised = 0;
};

// The key of an organisation in reports.
inline uint64_t
OrganisationTag(const std::string& aName)
{
  return StableHash(aName);
}

// By the tag of the organisation.
using QuotaReports = std::unordered_map<uint64_t, QuotaReport>;

// What decided about a call; for logs.
struct QuotaView
{
  double pool = 0;
  double own = 0;
  double promises = 0;
  double callsPerProgram = 0;
  double rate = 0;
  double part = 0;
  size_t heard = 0;
  size_t members = 0;
};

class FleetQuota
{
public:
  // A member that was not heard of for longer counts as cut off.
  static constexpr Millis kHeardWithin{ 2000 };
  // The time over which demand is averaged.
  static constexpr Millis kDemandWindow{ 1000 };

  FleetQuota(std::string aOwnHost, uint64_t aStarted, QuotaSlack aSlack);

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
  void PeerReport(const std::string& aHost,
                  uint64_t aStarted,
                  const QuotaReports& aReports,
                  TimePoint aNow);

  // Takes one call out of the bucket, or refuses it.
  bool Admit(const std::string& aOrganisation, TimePoint aNow);
  // Lets a new program in, or refuses it.
  bool Begin(const std::string& aOrganisation, TimePoint aNow);
  // Gives back a call that did not run.
  void Return(const std::string& aOrganisation);
  QuotaReports OwnReports(TimePoint aNow) const;
  QuotaView View(const std::string& aOrganisation, TimePoint aNow) const;
  // Members that were heard of lately, with this host.
  size_t Heard(TimePoint aNow) const;

private:
  struct Bucket
  {
    QuotaCap cap;
    // Calls that the fleet may still make at once.
    double pool = 0;
    // Calls of this host's own part.
    double own = 0;
    // Calls that new programs may still be promised.
    double promises = 0;
    TimePoint filledAt{};
    // Calls a second asked of this host, averaged, as of demandAt.
    double demand = 0;
    TimePoint demandAt{};
    uint64_t admitted = 0;
    uint64_t begun = 0;
    TimePoint begunAt{};
    double promised = 0;
    // Over the fleet, for the calls of a program; halved now and then.
    double fleetAdmitted = 0;
    double fleetBegun = 0;
  };
  struct Peer
  {
    uint64_t started = 0;
    QuotaReports reports;
    TimePoint heardAt{};
  };

  // The burst with its part of the slack.
  double WidenedBurst(QuotaCap aCap) const;
  static double CallsPerProgram(const Bucket& aBucket);
  static void Count(Bucket& aBucket, double aAdmitted, double aBegun);
  Bucket* Find(const std::string& aOrganisation);
  void Fill(uint64_t aTag, Bucket& aBucket, TimePoint aNow);
  // Part of the fleet that this host hears, itself included.
  double Reachable(TimePoint aNow) const;
  // This host's part of what is asked of the hosts it hears.
  double Part(uint64_t aTag, const Bucket& aBucket, TimePoint aNow) const;
  static double DemandAt(const Bucket& aBucket, TimePoint aNow);

  std::string ownHost;
  uint64_t started;
  QuotaSlack slack;
  std::vector<std::string> members;
  std::unordered_map<std::string, Peer> peers;
  // By the tag of the organisation.
  std::unordered_map<uint64_t, Bucket> buckets;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_QUOTA_QUOTA_H_
