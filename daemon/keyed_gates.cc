#include "daemon/keyed_gates.h"

#include <algorithm>

namespace tanagerseam {

KeyedLocks::Guard::Guard(KeyedLocks& aLocks, std::string aKey)
  : locks(aLocks)
  , key(std::move(aKey))
{
}

KeyedLocks::Guard::~Guard()
{
  this->locks.Release(this->key);
}

std::unique_ptr<KeyedLocks::Guard>
KeyedLocks::Acquire(const std::string& aKey, TimePoint aDeadline)
{
  std::unique_lock<std::mutex> lock(this->mutex);
  Queue& queue = this->queues[aKey];
  const uint64_t ticket = queue.nextTicket++;
  queue.tickets.push_back(ticket);
  const bool acquired = this->headChanged.wait_until(
    lock, aDeadline, [&] { return queue.tickets.front() == ticket; });
  if (acquired) {
    return std::make_unique<Guard>(*this, aKey);
  }
  queue.tickets.erase(
    std::find(queue.tickets.begin(), queue.tickets.end(), ticket));
  return nullptr;
}

void
KeyedLocks::Release(const std::string& aKey)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  auto found = this->queues.find(aKey);
  found->second.tickets.pop_front();
  if (found->second.tickets.empty()) {
    this->queues.erase(found);
  }
  this->headChanged.notify_all();
}

std::vector<std::string>
KeyedLocks::LockedKeys() const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  std::vector<std::string> keys;
  for (const auto& entry : this->queues) {
    keys.push_back(entry.first);
  }
  return keys;
}

} // namespace tanagerseam
