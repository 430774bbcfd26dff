#pragma once

#include "nutmegwell/core/time.h"
#include <exception>
#include <functional>
#include <memory>

namespace nutmegwell::aio {

/// Event loop of the traffic thread, on which all sockets of the process are
/// served. Objects that use the loop live on its thread; only functions marked
/// as thread-safe may be called from others.
class Loop {
public:
  Loop();
  Loop(const Loop &) = delete;
  Loop &operator=(const Loop &) = delete;
  ~Loop();

  /// Runs \p Task on the loop's thread. Thread-safe.
  void post(std::function<void()> Task);

  /// Runs \p Task on the loop's thread after \p Delay. Thread-safe.
  void after(core::Duration Delay, std::function<void()> Task);

  /// Calls \p Handler on the loop's thread for each of \p Signals that
  /// arrives.
  void onSignals(std::initializer_list<int> Signals,
                 std::function<void(int)> Handler);

  /// Processes events on the calling thread until stop is called. An exception
  /// that leaves a task or a handler is passed to \p OnError and the other
  /// events go on; without \p OnError it leaves run.
  void run(const std::function<void(const std::exception &)> &OnError = {});

  /// Makes run return. Thread-safe.
  void stop();

  struct Impl;
  Impl &impl() { return *Impl_; }

private:
  std::unique_ptr<Impl> Impl_;
};

} // namespace nutmegwell::aio
