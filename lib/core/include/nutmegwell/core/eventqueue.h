#pragma once

#include "nutmegwell/core/time.h"
#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>

namespace nutmegwell::core {

/// Bounded queue that passes events from other threads to the control thread.
template <typename T> class EventQueue {
public:
  explicit EventQueue(std::size_t Capacity) : Capacity_(Capacity) {}

  /// Adds \p Event. Returns false when the queue is full or closed.
  bool push(T Event) {
    {
      std::lock_guard<std::mutex> Lock(Mutex_);
      if (Closed_ || Events_.size() >= Capacity_)
        return false;
      Events_.push_back(std::move(Event));
    }
    NotEmpty_.notify_one();
    return true;
  }

  /// Adds \p Event; blocks while the queue is full. Returns false when the
  /// queue is closed.
  bool pushBlocking(T Event) {
    {
      std::unique_lock<std::mutex> Lock(Mutex_);
      NotFull_.wait(Lock,
                    [this] { return Closed_ || Events_.size() < Capacity_; });
      if (Closed_)
        return false;
      Events_.push_back(std::move(Event));
    }
    NotEmpty_.notify_one();
    return true;
  }

  /// Waits for an event until \p Deadline. Returns std::nullopt when the
  /// deadline passes without an event, or when the queue is closed and empty.
  std::optional<T> popUntil(TimePoint Deadline) {
    std::unique_lock<std::mutex> Lock(Mutex_);
    NotEmpty_.wait_until(Lock, Deadline,
                         [this] { return Closed_ || !Events_.empty(); });
    if (Events_.empty())
      return std::nullopt;
    T Event = std::move(Events_.front());
    Events_.pop_front();
    Lock.unlock();
    NotFull_.notify_one();
    return Event;
  }

  /// Rejects further events and wakes all threads that wait.
  void close() {
    {
      std::lock_guard<std::mutex> Lock(Mutex_);
      Closed_ = true;
    }
    NotEmpty_.notify_all();
    NotFull_.notify_all();
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
  const std::size_t Capacity_;
  mutable std::mutex Mutex_;
  std::condition_variable NotEmpty_;
  std::condition_variable NotFull_;
  std::deque<T> Events_;
  bool Closed_ = false;
};

} // namespace nutmegwell::core
