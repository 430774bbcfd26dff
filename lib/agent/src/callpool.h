#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace nutmegwell::agent {

/// Threads that run calls; started when needed, up to a bound.
class CallPool {
public:
  explicit CallPool(std::size_t MaxThreads) : MaxThreads_(MaxThreads) {}
  CallPool(const CallPool &) = delete;
  CallPool &operator=(const CallPool &) = delete;
  ~CallPool();

  void run(std::function<void()> Call);

private:
  void loop();

  const std::size_t MaxThreads_;
  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::deque<std::function<void()>> Calls_;
  std::vector<std::thread> Threads_;
  std::size_t Idle_ = 0;
  bool Stopping_ = false;
};

} // namespace nutmegwell::agent
