#pragma once

#include "nutmegwell/core/time.h"
#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>

namespace nutmegwell::core {

/// Bounded queue by which other threads reach the control thread.
template <typename T> class EventQueue {
public:
  explicit EventQueue(std::size_t Bound) : Bound_(Bound) {}

  /// Adds \p Event. Returns false when the queue is full or closed.
  bool push(T Event) {
    {
      std::lock_guard<std::mutex> Lock(Mutex_);
      if (Closed_ || Events_.size() >= Bound_)
        return false;
      Events_.push_back(std::move(Event));
    }
    Changed_.notify_one();
    return true;
  }

  /// Adds \p Event, waiting for room. Returns false when the queue is closed.
  bool pushBlocking(T Event) {
    {
      std::unique_lock<std::mutex> Lock(Mutex_);
      Room_.wait(Lock, [this] { return Closed_ || Events_.size() < Bound_; });
      if (Closed_)
        return false;
      Events_.push_back(std::move(Event));
    }
    Changed_.notify_one();
    return true;
  }

  /// Waits until \p Deadline for an event. Returns nothing at the deadline and
  /// when the queue is closed and empty.
  std::optional<T> popUntil(TimePoint Deadline) {
    std::unique_lock<std::mutex> Lock(Mutex_);
    Changed_.wait_until(Lock, Deadline,
                        [this] { return Closed_ || !Events_.empty(); });
    if (Events_.empty())
      return std::nullopt;
    T Event = std::move(Events_.front());
    Events_.pop_front();
    Lock.unlock();
    Room_.notify_one();
    return Event;
  }

  /// Refuses further events and wakes the reader.
  void close() {
    {
      std::lock_guard<std::mutex> Lock(Mutex_);
      Closed_ = true;
    }
    Changed_.notify_all();
    Room_.notify_all();
  }

  bool closed() const {
    std::lock_guard<std::mutex> Lock(Mutex_);
    return Closed_;
  }

  std::size_t size() const {
    std::lock_guard<std::mutex> Lock(Mutex_);
    return Events_.size();
  }

private:
  const std::size_t Bound_;
  mutable std::mutex Mutex_;
  std::condition_variable Changed_;
  std::condition_variable Room_;
  std::deque<T> Events_;
  bool Closed_ = false;
};

} // namespace nutmegwell::core
