#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace nutmegwell::agent {

/// Thread pool for blocking calls. It starts threads on demand up to a bound;
/// the destructor runs the queued calls before it returns.
class CallPool {
public:
  explicit CallPool(std::size_t MaxThreads) : MaxThreads_(MaxThreads) {}
  CallPool(const CallPool &) = delete;
  CallPool &operator=(const CallPool &) = delete;
  ~CallPool();

  void submit(std::function<void()> Call);

private:
  void runCalls();

  const std::size_t MaxThreads_;
  std::mutex Mutex_;
  std::condition_variable StateChanged_;
  std::deque<std::function<void()>> Calls_;
  std::vector<std::thread> Threads_;
  std::size_t IdleThreads_ = 0;
  bool Stopping_ = false;
};

} // namespace nutmegwell::agent
