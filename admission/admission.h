// Decides which programs begin at a contended service, which of its calls go
// first, and which of them may use the slots of its endpoints.
//
//   ServiceAdmission admission;           // one for each service
//   ProgramNeeds needs;                   // one for all services
//   admission.RecordArrival(call.priority, now);
//   call.need = needs.NeedOf(route, callMillis);
//   if (call.beginsProgram) {
//     auto verdict = admission.JudgeFirstTurn(call, queueState, now);
//     if (verdict.cause) { ... refuse ... }
//   }
//   std::sort(..., [now](...) { return GoesBefore(left, right, now); });
//   admission.UpdateRoom({ utilisation, capacity, hosts }, now);
//   if (admission.HasRoomFor(call, now)) {
//     double factor = admission.SlotFactor(call, expected, rules, now);
//     // Send the call to an endpoint with fewer than factor x slots calls.
//   }
//   admission.RecordSent(call, now);
//   needs.RecordSent(route, program, call.beginsProgram, now);
//
// Deterministic: the time is an argument, there is no I/O. Memory is bounded.
//
// Admission: first turns of urgent programs are refused by utilisation. Less
// urgent ones wait in the queue, leave room for the later turns of programs
// under way, and are refused as soon as they can't begin early enough. The load
// of other hosts is known late, so each host uses only its share of the room in
// the time that it takes to hear from all others. One of
// kCallsPerStarving calls that a host sends to a service may be a less urgent
// first turn that has waited for half of its time, whatever the utilisation, so
// that no route starves.
//
// Shares: under contention, first turns of organisations that have had more
// than their share of the work are admitted as less urgent ones, and after
// those of other organisations. Where there is room they get it, so shares that
// nobody uses are lent.
//
// Order: calls whose program can't end in time go last, before them first turns
// of organisations over their share; otherwise calls go by priority, then turns
// of programs under way before first turns, then earliest deadline first.
//
// Slots: an endpoint runs calls in order of arrival, so urgency has no effect
// once a call has been sent. A call is urgent if no call of a lower priority
// number has arrived lately for its service. Less urgent calls are sent only to
// endpoints with a free slot and headroom for urgent ones. Beyond the slots go
// only urgent calls that have waited for a slot, and turns under way that are
// about to miss their program's time or their client's deadline.
#ifndef TANAGERSEAM_ADMISSION_ADMISSION_H_
#define TANAGERSEAM_ADMISSION_ADMISSION_H_

#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "kernel/kernel.h"

namespace tanagerseam {

// What the rules need to know about a call that waits to be sent.
struct PendingCall
{
  uint64_t id = 0;
  // 0 is the most urgent.
  int priority = 0;
  bool beginsProgram = false;
  TimePoint queuedAt{};
  // When the call's program should end.
  TimePoint programDeadline{};
  // When the client stops waiting; never, if unset.
  std::optional<TimePoint> deadline;
  // The call's organisation has had more than its share of a contended service.
  bool isOverShare = false;
  // How long the program is expected to take, for a first turn.
  Millis need{ 0 };
};

// When the program has to begin to be of use: one that ends after twice its
// stated time, or after its client's deadline, is taken to be of none.
TimePoint
LatestBegin(const PendingCall& aCall);

// Why a call was refused for load; the names are values of metrics and logs.
enum class AdmissionCause
{
  // The service's utilisation is at the limit of the call's priority.
  kUtilisation,
  // The rates that endpoints name don't serve the call before its deadline.
  kRates,
  // The queue is too long for the program to begin early enough.
  kQueue,
  // The program has waited and can't begin early enough any more.
  kWaited,
};

std::string_view
NameOf(AdmissionCause aCause);

// A number of events that halves every kHalfLife.
class DecayedCount
{
public:
  static constexpr Millis kHalfLife{ 3000 };

  void Add(double aCount, TimePoint aNow);
  double At(TimePoint aNow) const;
  // Events per millisecond, if they are evenly spaced.
  double Rate(TimePoint aNow) const;

private:
  double count = 0;
  TimePoint updatedAt{};
};

// The recent arrivals of a service by priority.
class UrgencyMix
{
public:
  void Record(int aPriority, TimePoint aNow);
  // True if no call that is more urgent has arrived lately.
  bool IsUrgent(int aPriority, TimePoint aNow) const;
  // Fraction of the recent arrivals that are more urgent.
  double MoreUrgentFraction(int aPriority, TimePoint aNow) const;

private:
  // By priority; at most kMaxPriorities.
  std::map<int, DecayedCount> counts;
};

// The order in which queued calls are sent.
bool
GoesBefore(const PendingCall& aLeft, const PendingCall& aRight, TimePoint aNow);

struct SlotRules
{
  // An urgent call that has waited this long is sent to an endpoint with fewer
  // than `overcommitFactor` x slots calls.
  Millis maxSlotWait{ 40 };
  double overcommitFactor = 1.5;
};

// How long programs of a route take, from the calls that this host sends. Calls
// of one program arrive at several hosts, so the time is inferred from the mean
// age of a program at its later calls, which is half of its duration if its
// calls are evenly spaced and reach hosts at random.
class ProgramNeeds
{
public:
  // Programs whose begin is remembered; the oldest are evicted.
  static constexpr size_t kMaxPrograms = 2048;
  static constexpr size_t kMaxRoutes = 256;

  void RecordSent(const std::string& aRoute,
                  const std::string& aProgram,
                  bool aBegins,
                  TimePoint aNow);
  // aCall: how long one call is expected to take.
  Millis NeedOf(const std::string& aRoute, Millis aCall) const;

private:
  struct RouteStatistics
  {
    double firstCalls = 0;
    double calls = 0;
    // Moving average of a program's age at its later calls, in milliseconds.
    double meanAge = 0;
  };
  struct Begin
  {
    std::string program;
    TimePoint at{};
  };

  std::unordered_map<std::string, RouteStatistics> routes;
  // In order of their begin, and an index by program.
  std::list<Begin> begins;
  std::unordered_map<std::string, std::list<Begin>::iterator> beginOf;
};

// Work that one host has sent lately for an organisation, as reported to
// others.
struct OrganisationShare
{
  // As in OrganisationHash.
  uint64_t organisation = 0;
  uint32_t workMillis = 0;
};

// Work by organisation over the fleet, which halves every
// DecayedCount::kHalfLife. Hosts report only the accounts above their mean.
class OrganisationAccounts
{
public:
  // The least accounts are evicted beyond this number.
  static constexpr size_t kMaxOrganisations = 4096;
  static constexpr size_t kMaxReported = 8;
  // What a peer reported is forgotten after five half-lives.
  static constexpr Millis kMaxPeerAge{ 15000 };

  void RecordSent(uint64_t aOrganisation, double aWorkMillis, TimePoint aNow);
  // The largest accounts of this host.
  std::vector<OrganisationShare> Report(TimePoint aNow) const;
  // An empty report leaves the last one in place.
  void OnPeerReport(const std::string& aHost,
                    const std::vector<OrganisationShare>& aWork,
                    TimePoint aNow);
  bool IsOverShare(uint64_t aOrganisation, TimePoint aNow);
  size_t Count() const { return this->fleet.size(); }

private:
  static constexpr Millis kMeanInterval{ 100 };
  using AccountMap = std::unordered_map<uint64_t, DecayedCount>;
  struct PeerWork
  {
    std::vector<OrganisationShare> work;
    TimePoint receivedAt{};
  };

  static void Add(AccountMap& aAccounts,
                  uint64_t aOrganisation,
                  double aWork,
                  TimePoint aNow);
  static double MeanOf(const AccountMap& aAccounts,
                       const DecayedCount& aTotal,
                       TimePoint aNow);

  AccountMap own;
  DecayedCount ownTotal;
  DecayedCount ownCalls;
  // Of this host and of its peers.
  AccountMap fleet;
  DecayedCount total;
  std::unordered_map<std::string, PeerWork> peers;
  double mean = 0;
  TimePoint meanAt{};
};

// What a host knows about its queue for a service when a first turn arrives.
struct QueueState
{
  // Calls in flight divided by capacity.
  double utilisation = 0;
  double utilisationLimit = 1;
  // Queued calls and queued first turns that go before the call.
  size_t callsAhead = 0;
  size_t firstTurnsAhead = 0;
  // First turns per millisecond that this host could send if the service did
  // nothing else.
  double maxFirstTurnRate = 0;
};

struct FirstTurnVerdict
{
  // Unset if the call may be queued or sent.
  std::optional<AdmissionCause> cause;
  double utilisation = 0;
  Millis expectedWait{ 0 };
};

// The room of a service, as known to one host.
struct ServiceRoom
{
  // Calls in flight divided by capacity.
  double utilisation = 0;
  // Calls that its endpoints can have in flight.
  double capacity = 0;
  size_t hosts = 1;
};

// When a refused client should come back. The draw is uniform in [0, 1) and
// spreads clients over the time in which they can be served: half of aWait to
// aWait and a half, sooner for urgent ones, and never more than a third of what
// the client has left, after which it would give up.
Millis
RetryAfter(int aPriority, Millis aWait, Millis aRemaining, double aDraw);

// The decisions of one host for one service.
class ServiceAdmission
{
public:
  // One of so many calls may be a first turn that would starve.
  static constexpr int kCallsPerStarving = 20;

  void RecordArrival(int aPriority, TimePoint aNow);
  void RecordSent(const PendingCall& aCall, TimePoint aNow);
  bool IsUrgent(const PendingCall& aCall, TimePoint aNow) const;
  FirstTurnVerdict JudgeFirstTurn(const PendingCall& aCall,
                                  const QueueState& aQueue,
                                  TimePoint aNow) const;
  // False for a less urgent first turn while the service leaves no room for the
  // later turns of its program, or other hosts may have used the room.
  bool HasRoomFor(const PendingCall& aCall, TimePoint aNow) const;
  // Accumulates this host's share of the room, from which HasRoomFor decides.
  void UpdateRoom(const ServiceRoom& aRoom, TimePoint aNow);
  // True if a queued first turn can't begin early enough any more.
  bool HasMissedItsBegin(const PendingCall& aCall, TimePoint aNow) const;
  // The call may be sent to an endpoint with fewer than this many times its
  // slots in calls. aExpected: how long the call is expected to take.
  double SlotFactor(const PendingCall& aCall,
                    Millis aExpected,
                    const SlotRules& aRules,
                    TimePoint aNow) const;

private:
  // Also a first turn of any priority of an organisation over its share.
  bool IsLessUrgentFirstTurn(const PendingCall& aCall, TimePoint aNow) const;
  // A less urgent first turn that has waited for long and may go now.
  bool MayGoAsStarving(const PendingCall& aCall, TimePoint aNow) const;

  UrgencyMix mix;
  // Less urgent first turns sent.
  DecayedCount firstTurnsSent;
  int sentSinceStarving = 0;
  // Less urgent first turns that this host may send now, and as of when.
  double room = 0;
  TimePoint roomAt{};
};

} // namespace tanagerseam

#endif // TANAGERSEAM_ADMISSION_ADMISSION_H_
