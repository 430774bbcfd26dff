#pragma once

#include "nutmegwell/routing/snapshot.h"
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <vector>

namespace nutmegwell::entry {

/// Appends the records that end intents, without holding up a caller. Records
/// that the log does not take are tried again.
class IntentCloser {
public:
  IntentCloser(routing::IntentStore Store, core::Duration AppendTimeout,
               std::size_t MaxWaiting);
  IntentCloser(const IntentCloser &) = delete;
  IntentCloser &operator=(const IntentCloser &) = delete;
  ~IntentCloser();

  /// Takes a record; drops it above the bound. The intent then stays open,
  /// which is safe: a repeat asks the agent.
  void add(model::RecordBody Body);

  /// Waits up to \p Limit until no record waits, then ends. Returns how many
  /// records were left.
  std::size_t stop(core::Duration Limit);

private:
  void loop();

  const routing::IntentStore Store_;
  const core::Duration AppendTimeout_;
  const std::size_t MaxWaiting_;
  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::deque<model::RecordBody> Waiting_;
  std::size_t Appending_ = 0;
  bool Stopping_ = false;
  std::vector<std::thread> Threads_;
};

} // namespace nutmegwell::entry
