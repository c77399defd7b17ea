// One mutex for each key, granted in the order of arrival (FIFO).
//
//   auto guard = locks.Acquire("program/7", deadline);
//   if (!guard) { deadline exceeded }
#ifndef TANAGERSEAM_DAEMON_KEYED_GATES_H_
#define TANAGERSEAM_DAEMON_KEYED_GATES_H_

#include <condition_variable>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "kernel/kernel.h"

namespace tanagerseam {

class KeyedLocks
{
public:
  // Holds the lock of one key; the destructor releases it.
  class Guard
  {
  public:
    Guard(KeyedLocks& aLocks, std::string aKey);
    ~Guard();
    Guard(const Guard&) = delete;
    Guard& operator=(const Guard&) = delete;

  private:
    KeyedLocks& locks;
    const std::string key;
  };

  // Waits until the lock is free for this caller; nullptr if aDeadline passes
  // first.
  std::unique_ptr<Guard> Acquire(const std::string& aKey, TimePoint aDeadline);
  // Keys whose lock is held or waited for.
  std::vector<std::string> LockedKeys() const;

private:
  struct Queue
  {
    uint64_t nextTicket = 0;
    // In the order of arrival; the first one holds the lock.
    std::deque<uint64_t> tickets;
  };

  void Release(const std::string& aKey);

  mutable std::mutex mutex;
  std::condition_variable headChanged;
  std::map<std::string, Queue> queues;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_DAEMON_KEYED_GATES_H_
