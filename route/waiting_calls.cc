#include "route/waiting_calls.h"

namespace tanagerseam {

void
WaitingCalls::Add(const DispatchRequest& aRequest, TimePoint aNow)
{
  this->calls[aRequest.id] = WaitingCall{ aRequest, aNow };
  this->deadlines.emplace(aRequest.deadline, aRequest.id);
}

const WaitingCall*
WaitingCalls::Find(uint64_t aId) const
{
  auto found = this->calls.find(aId);
  return found == this->calls.end() ? nullptr : &found->second;
}

void
WaitingCalls::Remove(uint64_t aId)
{
  auto found = this->calls.find(aId);
  if (found == this->calls.end()) {
    return;
  }
  this->deadlines.erase({ found->second.request.deadline, aId });
  this->calls.erase(found);
}

std::vector<uint64_t>
WaitingCalls::PastDeadline(TimePoint aNow) const
{
  std::vector<uint64_t> expired;
  for (const auto& [deadline, id] : this->deadlines) {
    if (deadline > aNow) {
      break;
    }
    expired.push_back(id);
  }
  return expired;
}

const DispatchRequest*
QueuePolicyBase::Find(uint64_t aId) const
{
  const WaitingCall* call = this->waitingCalls.Find(aId);
  return call == nullptr ? nullptr : &call->request;
}

TimePoint
QueuePolicyBase::EnqueuedAt(uint64_t aId) const
{
  const WaitingCall* call = this->waitingCalls.Find(aId);
  return call == nullptr ? TimePoint{} : call->enqueuedAt;
}

std::vector<uint64_t>
QueuePolicyBase::PastDeadline(TimePoint aNow) const
{
  return this->waitingCalls.PastDeadline(aNow);
}

size_t
QueuePolicyBase::Size() const
{
  return this->waitingCalls.Size();
}

} // namespace tanagerseam
