#pragma once

#include "nutmegwell/core/time.h"
#include <functional>
#include <memory>

namespace nutmegwell::aio {

/// Event loop of the traffic thread. Owns every socket of the process; objects
/// that use it live on its thread.
class Loop {
public:
  Loop();
  Loop(const Loop &) = delete;
  Loop &operator=(const Loop &) = delete;
  ~Loop();

  /// Runs \p Task on the loop's thread. Safe from any thread.
  void post(std::function<void()> Task);

  /// Runs \p Task on the loop's thread after \p Delay. Safe from any thread.
  void after(core::Duration Delay, std::function<void()> Task);

  /// Calls \p Handler on the loop's thread for each of these signals.
  void onSignals(std::initializer_list<int> Signals,
                 std::function<void(int)> Handler);

  /// Serves until stop is called.
  void run();

  /// Ends run. Safe from any thread.
  void stop();

  struct Impl;
  Impl &impl() { return *Impl_; }

private:
  std::unique_ptr<Impl> Impl_;
};

} // namespace nutmegwell::aio
