// A pool of threads for tasks that may block. Threads are made as tasks arrive
// and none is idle, up to a limit; further tasks wait in a bounded queue.
#ifndef TANAGERSEAM_KERNEL_WORKER_POOL_H_
#define TANAGERSEAM_KERNEL_WORKER_POOL_H_

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace tanagerseam {

class WorkerPool
{
public:
  // At most aMaxThreads run at once and at most aMaxQueue tasks wait.
  WorkerPool(size_t aMaxThreads, size_t aMaxQueue);
  // Runs every task already taken, then joins the threads.
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  // A task must not throw: an exception that leaves it ends the process.
  // False if the queue is full or the pool is stopping; the task is then
  // dropped and the caller must refuse the request.
  bool Post(std::function<void()> aTask);

  // Finishes all tasks and refuses new ones. Safe to call twice.
  void Stop();

  // Tasks that run or wait.
  size_t Busy() const;

private:
  void Run();

  const size_t maxThreads;
  const size_t maxQueue;
  mutable std::mutex mutex;
  std::condition_variable wake;
  std::deque<std::function<void()>> queue;
  std::vector<std::thread> threads;
  size_t idle = 0;
  size_t running = 0;
  bool stopping = false;
};

} // namespace tanagerseam

#endif // TANAGERSEAM_KERNEL_WORKER_POOL_H_
