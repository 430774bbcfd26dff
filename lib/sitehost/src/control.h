#pragma once

#include "nutmegwell/core/eventqueue.h"
#include "nutmegwell/core/time.h"
#include "nutmegwell/metrics/quantiles.h"
#include <exception>
#include <functional>
#include <thread>

namespace nutmegwell::sitehost {

/// Maximum number of events that wait for the control thread; far more than the
/// connections of a process can cause at one time.
constexpr std::size_t MaxQueuedEvents = 65536;

/// Pause after a step that failed, so that a fault that persists does not keep
/// the thread busy.
constexpr core::Duration FailedStepPause = std::chrono::milliseconds(100);

/// Histograms of a control thread.
struct ControlTimes {
  /// Time that the first event of a step waited; later ones waited less.
  metrics::Quantiles &Wait_;
  /// Time of a step with all its events.
  metrics::Quantiles &Step_;
};

/// Runs the control thread of a role: applies events in order, then advances
/// the control state to the present time and passes the effects on. An
/// exception of an event or a step is logged and ends only that event or step:
/// reports, reads and heartbeats repeat what it would have told.
template <typename Effects> class ControlThread {
public:
  /// Changes the control state and adds effects; called on the control thread.
  using Event = std::function<void(core::TimePoint, Effects &)>;

  ControlThread(core::Clock Clock, const ControlTimes &Times, Event Advance,
                std::function<void(Effects)> HandleEffects)
      : Clock_(std::move(Clock)), Times_(Times), Advance_(std::move(Advance)),
        HandleEffects_(std::move(HandleEffects)), Events_(MaxQueuedEvents) {}

  /// Queues an event. Thread-safe. Returns false when the queue is full or
  /// closed.
  bool post(Event Value) {
    return Events_.push({std::move(Value), Clock_.Now_()});
  }

  void start() {
    Thread_ = std::thread([this] { run(); });
  }

  /// Closes the queue and waits for the thread, which finishes its current
  /// step.
  void stop() {
    Events_.close();
    if (Thread_.joinable())
      Thread_.join();
  }

private:
  struct PostedEvent {
    Event Apply_;
    core::TimePoint PostedAt_;
  };

  void run() {
    core::TimePoint Wake = Clock_.Now_();
    while (!Events_.closed()) {
      Effects Out;
      auto First = Events_.popUntil(toSteadyTime(Wake));
      const core::TimePoint Begin = Clock_.Now_();
      if (First) {
        Times_.Wait_.observe(Begin - First->PostedAt_, Begin);
        apply(First->Apply_, "event_failed", Out);
        // Decides once for all events that are queued by now.
        for (std::size_t Remaining = Events_.size(); Remaining > 0; --Remaining)
          if (auto Next = Events_.popUntil(core::TimePoint()))
            apply(Next->Apply_, "event_failed", Out);
      }
      if (!apply(Advance_, "step_failed", Out))
        Out.WakeAt_ = Clock_.Now_() + FailedStepPause;
      Wake = Out.WakeAt_;
      const core::TimePoint End = Clock_.Now_();
      Times_.Step_.observe(End - Begin, End);
      HandleEffects_(std::move(Out));
    }
  }

  /// Calls \p Change; returns false when it has thrown.
  bool apply(const Event &Change, const char *OnError, Effects &Out) {
    try {
      Change(Clock_.Now_(), Out);
      return true;
    } catch (const std::exception &Error) {
      Out.LogEvents_.push_back({OnError, {{"error", Error.what()}}});
      return false;
    }
  }

  /// Converts \p ControlTime from the control clock to the steady clock, on
  /// which the event queue waits.
  core::TimePoint toSteadyTime(core::TimePoint ControlTime) const {
    /// Bounds each wait, so that a host that was suspended checks its timers
    /// soon after it resumes.
    constexpr core::Duration MaxWait = std::chrono::milliseconds(500);
    const core::Duration Remaining = ControlTime - Clock_.Now_();
    return core::steadyClock().Now_() + std::min(Remaining, MaxWait);
  }

  core::Clock Clock_;
  ControlTimes Times_;
  Event Advance_;
  std::function<void(Effects)> HandleEffects_;
  core::EventQueue<PostedEvent> Events_;
  std::thread Thread_;
};

} // namespace nutmegwell::sitehost
