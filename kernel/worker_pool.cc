#include "kernel/worker_pool.h"

namespace tanagerseam {

WorkerPool::WorkerPool(size_t aMaxThreads, size_t aMaxQueue)
  : maxThreads(aMaxThreads)
  , maxQueue(aMaxQueue)
{
}

WorkerPool::~WorkerPool()
{
  this->Stop();
}

bool
WorkerPool::Post(std::function<void()> aTask)
{
  std::lock_guard<std::mutex> lock(this->mutex);
  if (this->stopping) {
    return false;
  }
  const bool needThread = this->queue.size() >= this->idle;
  const bool mayGrow = this->threads.size() < this->maxThreads;
  if (needThread && !mayGrow && this->queue.size() >= this->maxQueue) {
    return false;
  }
  this->queue.push_back(std::move(aTask));
  if (needThread && mayGrow) {
    this->threads.emplace_back([this] { this->Run(); });
  }
  this->wake.notify_one();
  return true;
}

void
WorkerPool::Stop()
{
  std::vector<std::thread> joinable;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->stopping = true;
    joinable.swap(this->threads);
  }
  this->wake.notify_all();
  for (std::thread& thread : joinable) {
    thread.join();
  }
}

size_t
WorkerPool::Busy() const
{
  std::lock_guard<std::mutex> lock(this->mutex);
  return this->running + this->queue.size();
}

void
WorkerPool::Run()
{
  std::unique_lock<std::mutex> lock(this->mutex);
  while (true) {
    ++this->idle;
    this->wake.wait(lock,
                    [this] { return this->stopping || !this->queue.empty(); });
    --this->idle;
    if (this->queue.empty()) {
      return;
    }
    std::function<void()> task = std::move(this->queue.front());
    this->queue.pop_front();
    ++this->running;
    lock.unlock();
    task();
    task = nullptr;
    lock.lock();
    --this->running;
  }
}

} // namespace tanagerseam
