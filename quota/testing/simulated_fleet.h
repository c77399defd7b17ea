// A simulated fleet whose hosts exchange reports with a delay, for tests of one
// organisation's quota.
//
//   SimulatedFleet fleet(79, { 26, 26 });
//   const double refused = fleet.Run(0, 5000, 18, kGroupSize);
//   EXPECT_LE(fleet.MaxCallsInWindow(), fleet.Bound());
#ifndef TANAGERSEAM_QUOTA_TESTING_SIMULATED_FLEET_H_
#define TANAGERSEAM_QUOTA_TESTING_SIMULATED_FLEET_H_

#include <algorithm>
#include <deque>
#include <random>

#include "quota/quota.h"

namespace tanagerseam::testing_support {

inline const std::string kOrganisation = "club";
constexpr int kReportIntervalMillis = 100;
// Clients of a frozen host leave after this time.
constexpr int64_t kPatienceMillis = 3000;
// Peers that get one report; see FleetLink.
constexpr size_t kReportFanOut = 16;
constexpr QuotaSlack kOrganisationSlack{ Millis(5000), 0.1, 20 };

inline TimePoint
At(int64_t aMillis)
{
  return TimePoint{} + std::chrono::hours(1) + Millis(aMillis);
}

// Simulates the hosts and their reports, and records all admitted calls.
class SimulatedFleet
{
public:
  SimulatedFleet(int aHosts,
                 QuotaCap aCap,
                 bool aStartFull = true,
                 QuotaSlack aSlack = kOrganisationSlack)
    : cap(aCap)
    , slack(aSlack)
  {
    for (int i = 0; i < aHosts; ++i) {
      this->names.push_back("host-" + std::to_string(i));
      this->startTimes.push_back(1);
      this->inMajority.push_back(true);
      this->frozen.push_back(false);
    }
    this->waiting.resize(this->names.size());
    for (int i = 0; i < aHosts; ++i) {
      this->hosts.push_back(this->NewHost(i, aStartFull, 0));
    }
  }

  FleetQuota NewHost(int aHost, bool aStartFull, int64_t aNow)
  {
    FleetQuota quota(this->names[aHost], this->startTimes[aHost], this->slack);
    quota.SetMembers(this->names, this->ReportPeriod());
    quota.SetCap(kOrganisation, this->cap, aStartFull, At(aNow));
    return quota;
  }

  void Restart(int aHost, int64_t aNow)
  {
    this->startTimes[aHost] = static_cast<uint64_t>(aNow);
    this->hosts[aHost] = this->NewHost(aHost, false, aNow);
  }

  void SetCap(QuotaCap aCap, int64_t aNow)
  {
    this->cap = aCap;
    for (FleetQuota& host : this->hosts) {
      host.SetCap(kOrganisation, aCap, false, At(aNow));
    }
  }

  size_t ReportRounds() const
  {
    const size_t peers = this->names.size() - 1;
    return std::max<size_t>(1, (peers + kReportFanOut - 1) / kReportFanOut);
  }

  Millis ReportPeriod() const
  {
    return Millis(kReportIntervalMillis *
                  static_cast<int64_t>(this->ReportRounds()));
  }

  bool Connected(size_t aFrom, size_t aTo) const
  {
    return !this->isolated && !this->frozen[aFrom] && !this->frozen[aTo] &&
           this->inMajority[aFrom] == this->inMajority[aTo];
  }

  // All hosts that run show it.
  void Tick(int64_t aNow)
  {
    for (size_t i = 0; i < this->hosts.size(); ++i) {
      if (!this->frozen[i]) {
        this->hosts[i].OnTick(At(aNow));
      }
    }
  }

  // One round: each host reports to the next kReportFanOut of its peers.
  void ExchangeReports(int64_t aNow)
  {
    this->Tick(aNow);
    const size_t count = this->hosts.size();
    const size_t first = 1 + this->reportRound * kReportFanOut;
    const size_t last = std::min(count, first + kReportFanOut);
    for (size_t from = 0; from < count; ++from) {
      const auto reports = this->hosts[from].OwnReports(At(aNow));
      for (size_t step = first; step < last; ++step) {
        const size_t to = (from + step) % count;
        if (this->Connected(from, to)) {
          this->hosts[to].OnPeerReport(
            this->names[from], this->startTimes[from], reports, At(aNow));
        }
      }
    }
    this->reportRound = (this->reportRound + 1) % this->ReportRounds();
  }

  // Nothing if the owner does not answer.
  std::optional<bool> AskOwner(size_t aOwner, int aHost, int64_t aNow)
  {
    if (!this->Connected(aHost, aOwner)) {
      return std::nullopt;
    }
    ++this->asks;
    return this->hosts[aOwner].AdmitForPeer(
      OrganisationHash(kOrganisation), this->names[aHost], At(aNow));
  }

  bool Decide(int aHost, int64_t aNow)
  {
    FleetQuota& host = this->hosts[aHost];
    QuotaDecision decision = host.AdmitCall(kOrganisation, At(aNow));
    for (int asks = 1; decision.verdict == QuotaVerdict::kAskOwner; ++asks) {
      const auto owner = static_cast<size_t>(
        std::find(this->names.begin(), this->names.end(), decision.owner) -
        this->names.begin());
      const auto granted = this->AskOwner(owner, aHost, aNow);
      if (!granted) {
        decision =
          host.AdmitAfterSilence(kOrganisation, decision.owner, asks, At(aNow));
        continue;
      }
      if (*granted) {
        host.OnGranted(kOrganisation, At(aNow));
      }
      return *granted;
    }
    return decision.verdict == QuotaVerdict::kAdmitted;
  }

  bool AdmitCall(int aHost, int64_t aNow)
  {
    const bool admitted = this->Decide(aHost, aNow);
    if (admitted) {
      this->admittedAt.push_back(aNow);
    }
    return admitted;
  }

  // Decides the calls that came to a host while it was frozen, unless their
  // clients have left.
  void DecideWaiting(int64_t aNow)
  {
    for (size_t at = 0; at < this->hosts.size(); ++at) {
      std::deque<int64_t>& calls = this->waiting[at];
      while (!this->frozen[at] && !calls.empty()) {
        if (aNow - calls.front() < kPatienceMillis) {
          this->AdmitCall(static_cast<int>(at), aNow);
        }
        calls.pop_front();
      }
    }
  }

  // Sends aCallsPerSecond calls on average, in groups of aGroupSize, each to a
  // random host; returns the fraction refused.
  double Run(int64_t aFrom,
             int64_t aTo,
             double aCallsPerSecond,
             int aGroupSize = 1)
  {
    int total = 0;
    int refused = 0;
    std::uniform_int_distribution<int> host(
      0, static_cast<int>(this->hosts.size()) - 1);
    std::poisson_distribution<int> groups(aCallsPerSecond / aGroupSize / 1000);
    for (int64_t now = aFrom; now < aTo; ++now) {
      // A host that wakes reads its clients' sockets before its peers'.
      this->DecideWaiting(now);
      if (now % kReportIntervalMillis == 0) {
        this->ExchangeReports(now);
      }
      for (int i = groups(this->random) * aGroupSize; i > 0; --i) {
        const int at = host(this->random);
        if (this->frozen[at]) {
          this->waiting[at].push_back(now);
          continue;
        }
        ++total;
        refused += this->AdmitCall(at, now) ? 0 : 1;
        this->refusedByOneBucket += this->OneBucketAdmits(now) ? 0 : 1;
      }
    }
    return total == 0 ? 0 : static_cast<double>(refused) / total;
  }

  // Decides as one bucket in one place would, with the same slack.
  bool OneBucketAdmits(int64_t aNow)
  {
    const double burst = this->cap.burst + (this->Bound() - this->Use()) / 2;
    const double seconds =
      static_cast<double>(aNow - this->oneBucketRefilledAt) / 1000;
    this->oneBucketRefilledAt = aNow;
    this->oneBucket =
      std::min(burst, this->oneBucket + seconds * this->cap.ratePerSecond);
    if (this->oneBucket < 1) {
      return false;
    }
    this->oneBucket -= 1;
    return true;
  }

  // The most calls admitted in any window that starts at aFromMillis or later.
  size_t MaxCallsInWindow(int64_t aFromMillis = 0) const
  {
    std::deque<int64_t> window;
    size_t most = 0;
    for (int64_t at : this->admittedAt) {
      if (at < aFromMillis) {
        continue;
      }
      window.push_back(at);
      while (window.front() <= at - this->slack.window.count()) {
        window.pop_front();
      }
      most = std::max(most, window.size());
    }
    return most;
  }

  // Calls in a window that are within the cap itself, and with the slack.
  double Use() const
  {
    const double seconds =
      std::chrono::duration<double>(this->slack.window).count();
    return this->cap.ratePerSecond * seconds + this->cap.burst;
  }
  double Bound() const
  {
    return this->Use() * (1 + this->slack.overage) + this->slack.tolerance;
  }

  QuotaCap cap;
  QuotaSlack slack;
  std::vector<std::string> names;
  std::vector<uint64_t> startTimes;
  std::vector<bool> inMajority;
  // Neither sends nor answers; calls wait in its sockets.
  std::vector<bool> frozen;
  // When the calls came that wait at each host.
  std::vector<std::deque<int64_t>> waiting;
  std::vector<FleetQuota> hosts;
  std::vector<int64_t> admittedAt;
  // No host reaches another.
  bool isolated = false;
  // Calls that an owner decided about for another host.
  size_t asks = 0;
  size_t reportRound = 0;
  int refusedByOneBucket = 0;
  double oneBucket = 1e9;
  int64_t oneBucketRefilledAt = 0;
  std::mt19937 random{ 7 };
};

} // namespace tanagerseam::testing_support

#endif // TANAGERSEAM_QUOTA_TESTING_SIMULATED_FLEET_H_
