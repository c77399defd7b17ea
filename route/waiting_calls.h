// Waiting calls indexed by id and by deadline; used by all queue policies.
#ifndef TANAGERSEAM_ROUTE_WAITING_CALLS_H_
#define TANAGERSEAM_ROUTE_WAITING_CALLS_H_

#include <set>
#include <unordered_map>
#include <utility>

#include "route/route.h"

namespace tanagerseam {

struct WaitingCall
{
  DispatchRequest request;
  TimePoint enqueuedAt;
};

// Complexity: Add and Remove O(log n), PastDeadline O(calls past their
// deadline).
class WaitingCalls
{
public:
  void Add(const DispatchRequest& aRequest, TimePoint aNow);
  // nullptr if no such call waits.
  const WaitingCall* Find(uint64_t aId) const;
  void Remove(uint64_t aId);
  // Ids in the order of their deadlines.
  std::vector<uint64_t> PastDeadline(TimePoint aNow) const;
  size_t Size() const { return this->calls.size(); }

private:
  std::unordered_map<uint64_t, WaitingCall> calls;
  std::set<std::pair<TimePoint, uint64_t>> deadlines;
};

// Implements the look-ups of QueuePolicy; a derived class implements the order.
// Its Push must call Calls().Add and its Remove must call Calls().Remove.
class QueuePolicyBase : public QueuePolicy
{
public:
  const DispatchRequest* Find(uint64_t aId) const override;
  TimePoint EnqueuedAt(uint64_t aId) const override;
  std::vector<uint64_t> PastDeadline(TimePoint aNow) const override;
  size_t Size() const override;

protected:
  WaitingCalls& Calls() { return this->waitingCalls; }

private:
  WaitingCalls waitingCalls;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_ROUTE_WAITING_CALLS_H_
