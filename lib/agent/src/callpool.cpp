#include "callpool.h"

namespace nutmegwell::agent {

CallPool::~CallPool() {
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Stopping_ = true;
  }
  Changed_.notify_all();
  for (std::thread &Each : Threads_)
    Each.join();
}

void CallPool::run(std::function<void()> Call) {
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Calls_.push_back(std::move(Call));
    if (Calls_.size() > Idle_ && Threads_.size() < MaxThreads_)
      Threads_.emplace_back([this] { loop(); });
  }
  Changed_.notify_one();
}

void CallPool::loop() {
  std::unique_lock<std::mutex> Lock(Mutex_);
  while (true) {
    ++Idle_;
    Changed_.wait(Lock, [this] { return Stopping_ || !Calls_.empty(); });
    --Idle_;
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
