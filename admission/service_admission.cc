// Which programs begin, and which slots calls may use.
#include "admission/admission.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace tanagerseam {

namespace {

constexpr std::array<std::string_view, 4> kCauseNames = { "utilisation",
                                                          "rates",
                                                          "queue",
                                                          "waited" };
// Upper limit of the fraction of slots that less urgent calls leave free: one
// of six slots.
constexpr double kMaxHeadroom = 0.2;
// Utilisation at which no less urgent program begins. The rest is for the
// later turns of programs under way, which arrive at other hosts.
constexpr double kFirstTurnUtilisation = 0.9;
// Hosts report to so many peers in turn at this interval.
constexpr double kPeersPerReport = 16;
constexpr double kReportMillis = 100;
// Least time in which a host uses its share of the room: about as long as a
// call takes to show in the load that endpoints report.
constexpr double kLeastFeedbackMillis = 300;
// Utilisation that each queued call stands for when a program is admitted.
constexpr double kUtilisationPerQueuedCall = 0.02;
// A call is about to miss its program's time if less than this many times its
// expected duration is left.
constexpr double kUrgentSlack = 1.5;
// A call that has waited for this fraction of its time may be sent beyond the
// slots, whatever its priority, so that no call starves.
constexpr double kMaxWaitFraction = 0.5;
// A host expects to send at least this fraction of the first turns that it
// could send if its share of the service did nothing else.
constexpr double kLeastFirstTurnFraction = 0.1;

bool
IsAboutToMiss(const PendingCall& aCall, Millis aExpected, TimePoint aNow)
{
  const auto left = aCall.programDeadline - aNow;
  return left >= Millis(0) && left < aExpected * kUrgentSlack;
}

bool
HasWaitedTooLong(const PendingCall& aCall, TimePoint aLatest, TimePoint aNow)
{
  return aNow - aCall.queuedAt > (aLatest - aCall.queuedAt) * kMaxWaitFraction;
}

} // namespace

std::string_view
NameOf(AdmissionCause aCause)
{
  return kCauseNames.at(static_cast<size_t>(aCause));
}

TimePoint
LatestBegin(const PendingCall& aCall)
{
  const auto stated = std::max<TimePoint::duration>(
    Millis(0), aCall.programDeadline - aCall.queuedAt);
  const TimePoint latestEnd = aCall.programDeadline + stated;
  return (aCall.deadline ? std::min(latestEnd, *aCall.deadline) : latestEnd) -
         aCall.need;
}

void
ServiceAdmission::RecordArrival(int aPriority, TimePoint aNow)
{
  this->mix.Record(aPriority, aNow);
}

bool
ServiceAdmission::IsUrgent(const PendingCall& aCall, TimePoint aNow) const
{
  return this->mix.IsUrgent(aCall.priority, aNow);
}

bool
ServiceAdmission::IsLessUrgentFirstTurn(const PendingCall& aCall,
                                        TimePoint aNow) const
{
  return aCall.beginsProgram &&
         (aCall.isOverShare || !this->IsUrgent(aCall, aNow));
}

bool
ServiceAdmission::MayGoAsStarving(const PendingCall& aCall,
                                  TimePoint aNow) const
{
  return this->IsLessUrgentFirstTurn(aCall, aNow) &&
         this->sentSinceStarving >= kCallsPerStarving &&
         HasWaitedTooLong(aCall, LatestBegin(aCall), aNow);
}

void
ServiceAdmission::RecordSent(const PendingCall& aCall, TimePoint aNow)
{
  if (this->MayGoAsStarving(aCall, aNow)) {
    this->sentSinceStarving = 0;
  } else {
    ++this->sentSinceStarving;
  }
  if (this->IsLessUrgentFirstTurn(aCall, aNow)) {
    this->room = std::max(0.0, this->room - 1);
    this->firstTurnsSent.Add(1, aNow);
  }
}

FirstTurnVerdict
ServiceAdmission::JudgeFirstTurn(const PendingCall& aCall,
                                 const QueueState& aQueue,
                                 TimePoint aNow) const
{
  FirstTurnVerdict verdict;
  verdict.utilisation =
    aQueue.utilisation +
    kUtilisationPerQueuedCall * static_cast<double>(aQueue.callsAhead);
  if (!this->IsLessUrgentFirstTurn(aCall, aNow)) {
    if (verdict.utilisation >= aQueue.utilisationLimit) {
      verdict.cause = AdmissionCause::kUtilisation;
    }
    return verdict;
  }
  const double rate =
    std::max(this->firstTurnsSent.Rate(aNow),
             kLeastFirstTurnFraction * aQueue.maxFirstTurnRate);
  const auto ahead = static_cast<double>(aQueue.firstTurnsAhead);
  if (ahead > 0 && rate > 0) {
    verdict.expectedWait = Millis(static_cast<int64_t>(ahead / rate));
  }
  if (aNow + verdict.expectedWait > LatestBegin(aCall)) {
    verdict.cause = AdmissionCause::kQueue;
  }
  return verdict;
}

void
ServiceAdmission::UpdateRoom(const ServiceRoom& aRoom, TimePoint aNow)
{
  const auto hosts = static_cast<double>(std::max<size_t>(1, aRoom.hosts));
  const double rounds = std::ceil((hosts - 1) / kPeersPerReport);
  const double feedback =
    std::max(kLeastFeedbackMillis, rounds * kReportMillis);
  const std::chrono::duration<double, std::milli> elapsed = aNow - this->roomAt;
  const double free =
    (kFirstTurnUtilisation - aRoom.utilisation) * aRoom.capacity;
  const double share = std::max(0.0, free) / hosts;
  const double gained = share * std::min(1.0, elapsed.count() / feedback);
  this->room = std::min(this->room + gained, std::max(1.0, share));
  this->roomAt = aNow;
}

bool
ServiceAdmission::HasRoomFor(const PendingCall& aCall, TimePoint aNow) const
{
  return !this->IsLessUrgentFirstTurn(aCall, aNow) || this->room >= 1 ||
         this->MayGoAsStarving(aCall, aNow);
}

bool
ServiceAdmission::HasMissedItsBegin(const PendingCall& aCall,
                                    TimePoint aNow) const
{
  return this->IsLessUrgentFirstTurn(aCall, aNow) && aNow > LatestBegin(aCall);
}

double
ServiceAdmission::SlotFactor(const PendingCall& aCall,
                             Millis aExpected,
                             const SlotRules& aRules,
                             TimePoint aNow) const
{
  const bool isUrgent = this->IsUrgent(aCall, aNow) && !aCall.isOverShare;
  const bool waitedLong = aNow - aCall.queuedAt >= aRules.maxSlotWait;
  const bool isTurnInHaste =
    !aCall.beginsProgram &&
    (IsAboutToMiss(aCall, aExpected, aNow) ||
     (aCall.deadline && HasWaitedTooLong(aCall, *aCall.deadline, aNow)));
  if (this->MayGoAsStarving(aCall, aNow) ||
      (waitedLong && (isUrgent || isTurnInHaste))) {
    return aRules.overcommitFactor;
  }
  const double moreUrgent = this->mix.MoreUrgentFraction(aCall.priority, aNow);
  return isUrgent ? 1 : 1 - std::min(kMaxHeadroom, moreUrgent);
}

} // namespace tanagerseam
