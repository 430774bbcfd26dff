#include "intentcloser.h"

namespace nutmegwell::entry {

namespace {

/// Concurrent appends, so that the appender can put several records into one
/// batch.
constexpr std::size_t Threads = 8;
/// Delay before a failed append is retried.
constexpr core::Duration RetryInterval = std::chrono::milliseconds(500);

} // namespace

IntentCloser::IntentCloser(routing::IntentStore Store,
                           core::Duration AppendTimeout, std::size_t MaxWaiting)
    : Store_(std::move(Store)), AppendTimeout_(AppendTimeout),
      MaxWaiting_(MaxWaiting) {
  for (std::size_t I = 0; I < Threads; ++I)
    Threads_.emplace_back([this] { loop(); });
}

IntentCloser::~IntentCloser() { stop(core::Duration::zero()); }

void IntentCloser::add(model::RecordBody Body) {
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    if (Stopping_ || Waiting_.size() >= MaxWaiting_)
      return;
    Waiting_.push_back(std::move(Body));
  }
  Changed_.notify_all();
}

std::size_t IntentCloser::stop(core::Duration Limit) {
  std::size_t Left = 0;
  {
    std::unique_lock<std::mutex> Lock(Mutex_);
    Changed_.wait_for(Lock, Limit,
                      [this] { return Waiting_.empty() && Appending_ == 0; });
    Left = Waiting_.size() + Appending_;
    Stopping_ = true;
  }
  Changed_.notify_all();
  for (std::thread &Each : Threads_)
    if (Each.joinable())
      Each.join();
  return Left;
}

void IntentCloser::loop() {
  std::unique_lock<std::mutex> Lock(Mutex_);
  while (true) {
    Changed_.wait(Lock, [this] { return Stopping_ || !Waiting_.empty(); });
    if (Stopping_)
      return;
    model::RecordBody Body = std::move(Waiting_.front());
    Waiting_.pop_front();
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
    Waiting_.push_front(std::move(Body));
    Changed_.wait_for(Lock, RetryInterval, [this] { return Stopping_; });
  }
}

} // namespace nutmegwell::entry
