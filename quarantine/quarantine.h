// Finds the calls that crash the endpoints that run them, and keeps them from
// being sent again.
//
//   CallQuarantine quarantine;
//   quarantine.OnBroken({ call, "i-18@1784534043071", sentAt, brokenAt });
//   quarantine.OnEndpointDown("i-18@1784534043071", now);
//   quarantine.OnSucceeded(call, sentAt);
//   if (quarantine.Find(call, now)) { ... refuse the call ... }
//
//   HostReport: quarantine.Report(now)
//   for each report of a peer: quarantine.OnPeerReport(report, now)
//
// A call has two names, which count apart: its CallDigest and its
// CallPathDigest. So attempts with other request ids, in other programs and
// through other hosts count as the same call, and so do the turns of a
// conversation that each repeat its history in their bodies, as long as no call
// to that path succeeds.
//
// Suspicion: all calls in flight on an endpoint break when it crashes, and most
// of them are innocent. A break counts against a call only if the endpoint is
// found to be down afterwards, by a connection that is refused: a
// connection that was reset, or a response that was cut, is no crash.
//
// Chain of crashes: breaks count one after the other. Each must be of an
// attempt that was sent after the last one broke, and after the call's last
// success. So a call that runs many times at once, on endpoints that all lose
// power together, is suspected once. A success clears the call.
//
// Quarantine: after kMinCrashes crashes in a row the call is refused for
// kMinQuarantine after the last crash, and twice as long after each further
// one, up to kMaxQuarantine.
//
// Fleet: hosts report what they saw themselves within kReportTime, and all
// calls in quarantine, and merge the reports of their peers in any order. So a
// host that has just started learns of the quarantine from any peer.
//
// Bounds: kMaxCalls calls; one with the fewest crashes is forgotten first, so
// that a flood of failing calls does not displace the one that crashes
// endpoints.
//
// Times are in milliseconds since the epoch, since hosts compare them.
// Deterministic: the time is an argument.
#ifndef TANAGERSEAM_QUARANTINE_QUARANTINE_H_
#define TANAGERSEAM_QUARANTINE_QUARANTINE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "kernel/kernel.h"

namespace tanagerseam {

// A connection ended while a call was in flight on it.
struct BrokenCall
{
  // One of the names of the call.
  std::string call;
  // The incarnation of the endpoint; see IncarnationName.
  std::string endpoint;
  int64_t sentAtMillis = 0;
  int64_t brokenAtMillis = 0;
};

// A call that broke before and has now ended well.
struct ClearedCall
{
  std::string call;
  int64_t sentAtMillis = 0;
};

// An incarnation of an endpoint that accepts no connections any more.
struct DownEndpoint
{
  std::string endpoint;
  int64_t seenAtMillis = 0;
};

// What hosts tell each other.
struct QuarantineReport
{
  std::vector<BrokenCall> broken;
  std::vector<ClearedCall> cleared;
  std::vector<DownEndpoint> down;
};

// A call in quarantine.
struct QuarantinedCall
{
  // The crashed incarnations, in order.
  std::vector<std::string> endpoints;
  int64_t untilMillis = 0;
};

// aStartedAtMillis: start of the incarnation; 0 if unknown.
std::string
IncarnationName(const std::string& aEndpoint, int64_t aStartedAtMillis);

class CallQuarantine
{
public:
  // Crashes in a row after which a call is refused.
  static constexpr size_t kMinCrashes = 3;
  static constexpr Millis kMinQuarantine{ 60000 };
  static constexpr Millis kMaxQuarantine{ 600000 };
  // A call with fewer crashes is forgotten after this time, one that was in
  // quarantine after kQuarantineMemory.
  static constexpr Millis kSuspicionMemory{ 60000 };
  static constexpr Millis kQuarantineMemory{ 1200000 };
  // A break counts as a crash if its endpoint is found to be down within this
  // time.
  static constexpr Millis kConfirmationTime{ 10000 };
  // What a host saw itself is reported for this long.
  static constexpr Millis kReportTime{ 5000 };
  static constexpr size_t kMaxCalls = 1024;
  static constexpr size_t kMaxBreaksPerCall = 16;
  static constexpr size_t kMaxDownEndpoints = 2048;
  // Bound on each list of a report.
  static constexpr size_t kMaxReported = 24;

  // A call of this host broke.
  void OnBroken(const BrokenCall& aBroken) { this->Add(aBroken, true); }
  // Ignored for a call that has not broken lately.
  void OnSucceeded(const std::string& aCall, int64_t aSentAtMillis);
  // A connection to the endpoint was refused.
  void OnEndpointDown(const std::string& aEndpoint, int64_t aNowMillis);
  void OnPeerReport(const QuarantineReport& aReport);
  // Nothing for a call that may be sent.
  std::optional<QuarantinedCall> Find(const std::string& aCall,
                                      int64_t aNowMillis) const;
  // Number of calls in quarantine.
  size_t Count(int64_t aNowMillis) const;
  // True if no call has broken lately, so that Find finds none.
  bool Empty() const { return this->calls.empty(); }
  QuarantineReport Report(int64_t aNowMillis) const;
  // Drops what is too old to matter.
  void Expire(int64_t aNowMillis);

private:
  struct KnownBreak
  {
    BrokenCall broken;
    // Seen by this host.
    bool own = false;
  };
  struct Call
  {
    // By time of the break.
    std::vector<KnownBreak> breaks;
    int64_t clearedAtMillis = 0;
  };

  void Add(const BrokenCall& aBroken, bool aOwn);
  // The crashes in a row since the last success, in order.
  std::vector<BrokenCall> Crashes(const Call& aCall) const;
  // When the endpoint was found to be down after the break, if it was.
  std::optional<int64_t> CrashSeenAt(const BrokenCall& aBroken) const;
  // End of the quarantine; 0 if the crashes are too few for one.
  static int64_t QuarantineEnd(const std::vector<BrokenCall>& aCrashes);
  // Adds the breaks after aSinceMillis that this host saw.
  static void AddOwnBreaks(const Call& aCall,
                           int64_t aSinceMillis,
                           std::vector<BrokenCall>& aBroken);
  // Forgets a call, if there are too many.
  void MakeRoom();

  std::map<std::string, Call> calls;
  // When an incarnation was found to be down; at most one time in each
  // kConfirmationTime, the newest ones.
  std::map<std::string, std::vector<int64_t>> down;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_QUARANTINE_QUARANTINE_H_
