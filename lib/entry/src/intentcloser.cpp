#include "intentcloser.h"

namespace nutmegwell::entry {

namespace {

/// Concurrent appends, so that the appender can put several records into one
/// batch.
constexpr std::size_t ThreadCount = 8;
/// Delay before a failed append is retried.
constexpr core::Duration RetryInterval = std::chrono::milliseconds(500);

} // namespace

IntentCloser::IntentCloser(routing::IntentStore Store,
                           core::Duration AppendTimeout, std::size_t MaxQueued)
    : Store_(std::move(Store)), AppendTimeout_(AppendTimeout),
      MaxQueued_(MaxQueued) {
  for (std::size_t I = 0; I < ThreadCount; ++I)
    Threads_.emplace_back([this] { run(); });
}

IntentCloser::~IntentCloser() { stop(core::Duration::zero()); }

void IntentCloser::add(model::RecordBody Body) {
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    if (Stopping_ || Queue_.size() >= MaxQueued_)
      return;
    Queue_.push_back(std::move(Body));
  }
  Changed_.notify_all();
}

std::size_t IntentCloser::stop(core::Duration Limit) {
  std::size_t Remaining = 0;
  {
    std::unique_lock<std::mutex> Lock(Mutex_);
    Changed_.wait_for(Lock, Limit,
                      [this] { return Queue_.empty() && Appending_ == 0; });
    Remaining = Queue_.size() + Appending_;
    Stopping_ = true;
  }
  Changed_.notify_all();
  for (std::thread &Thread : Threads_)
    if (Thread.joinable())
      Thread.join();
  return Remaining;
}

void IntentCloser::run() {
  std::unique_lock<std::mutex> Lock(Mutex_);
  while (true) {
    Changed_.wait(Lock, [this] { return Stopping_ || !Queue_.empty(); });
    if (Stopping_)
      return;
    model::RecordBody Body = std::move(Queue_.front());
    Queue_.pop_front();
    ++Appending_;
    Lock.unlock();
    // A rejected record is not retried: its intent has ended already.
    const bool Applied = Store_.Submit_(Body, AppendTimeout_).ok();
    Lock.lock();
    --Appending_;
    if (Applied) {
      Changed_.notify_all();
      continue;
    }
    Queue_.push_front(std::move(Body));
    Changed_.wait_for(Lock, RetryInterval, [this] { return Stopping_; });
  }
}

} // namespace nutmegwell::entry
