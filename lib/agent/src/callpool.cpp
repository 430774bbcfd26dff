#include "callpool.h"

namespace nutmegwell::agent {

CallPool::~CallPool() {
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Stopping_ = true;
  }
  StateChanged_.notify_all();
  for (std::thread &Each : Threads_)
    Each.join();
}

void CallPool::submit(std::function<void()> Call) {
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Calls_.push_back(std::move(Call));
    if (Calls_.size() > IdleThreads_ && Threads_.size() < MaxThreads_)
      Threads_.emplace_back([this] { runCalls(); });
  }
  StateChanged_.notify_one();
}

void CallPool::runCalls() {
  std::unique_lock<std::mutex> Lock(Mutex_);
  while (true) {
    ++IdleThreads_;
    StateChanged_.wait(Lock, [this] { return Stopping_ || !Calls_.empty(); });
    --IdleThreads_;
    if (Calls_.empty())
      return;
    std::function<void()> Call = std::move(Calls_.front());
    Calls_.pop_front();
    Lock.unlock();
    Call();
    Lock.lock();
  }
}

} // namespace nutmegwell::agent
