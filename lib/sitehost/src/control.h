#pragma once

#include "nutmegwell/core/eventqueue.h"
#include "nutmegwell/core/time.h"
#include <functional>
#include <thread>

namespace nutmegwell::sitehost {

/// Events that wait for the control thread; far more than the connections of a
/// process can cause at one time.
constexpr std::size_t EventBound = 65536;

/// Runs the control thread of a role: takes events in order, then settles what
/// is due and hands the effects out.
template <typename Effects> class ControlThread {
public:
  /// Changes the control state; called on the control thread.
  using Event = std::function<void(core::TimePoint, Effects &)>;

  ControlThread(core::Clock Clock, Event Settle,
                std::function<void(Effects)> CarryOut)
      : Clock_(std::move(Clock)), Settle_(std::move(Settle)),
        CarryOut_(std::move(CarryOut)), Events_(EventBound) {}

  /// Queues an event. Safe from any thread. Returns false when the queue is
  /// full or closed.
  bool post(Event Value) { return Events_.push(std::move(Value)); }

  void start() {
    Thread_ = std::thread([this] { run(); });
  }

  /// Ends the thread after the events that wait.
  void stop() {
    Events_.close();
    if (Thread_.joinable())
      Thread_.join();
  }

private:
  void run() {
    core::TimePoint Wake = Clock_.Now_();
    while (!Events_.closed()) {
      Effects Out;
      if (auto First = Events_.popUntil(steadyTime(Wake))) {
        (*First)(Clock_.Now_(), Out);
        // One decision covers all events that are there.
        for (std::size_t Left = Events_.size(); Left > 0; --Left)
          if (auto Next = Events_.popUntil(core::TimePoint()))
            (*Next)(Clock_.Now_(), Out);
      }
      Settle_(Clock_.Now_(), Out);
      Wake = Out.WakeAt_;
      CarryOut_(std::move(Out));
    }
  }

  /// Returns \p When, a time of the control clock, on the clock of waits.
  core::TimePoint steadyTime(core::TimePoint When) const {
    /// Longest wait, so that a suspended host looks again soon after it
    /// resumes.
    constexpr core::Duration LongestWait = std::chrono::milliseconds(500);
    const core::Duration Left = When - Clock_.Now_();
    return core::steadyClock().Now_() + std::min(Left, LongestWait);
  }

  core::Clock Clock_;
  Event Settle_;
  std::function<void(Effects)> CarryOut_;
  core::EventQueue<Event> Events_;
  std::thread Thread_;
};

} // namespace nutmegwell::sitehost
