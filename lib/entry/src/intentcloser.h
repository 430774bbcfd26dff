#pragma once

#include "nutmegwell/routing/snapshot.h"
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <vector>

namespace nutmegwell::entry {

/// Appends the records that end intents in the background, so that callers do
/// not wait for them. Retries records that could not be appended.
class IntentCloser {
public:
  IntentCloser(routing::IntentStore Store, core::Duration AppendTimeout,
               std::size_t MaxQueued);
  IntentCloser(const IntentCloser &) = delete;
  IntentCloser &operator=(const IntentCloser &) = delete;
  ~IntentCloser();

  /// Queues a record, or drops it when the queue is full. The intent then stays
  /// open, which is safe: a repeat of the request queries the agent.
  void add(model::RecordBody Body);

  /// Waits at most \p Limit until all records are appended, then ends the
  /// threads. Returns the number of records that were not appended.
  std::size_t stop(core::Duration Limit);

private:
  void run();

  const routing::IntentStore Store_;
  const core::Duration AppendTimeout_;
  const std::size_t MaxQueued_;
  std::mutex Mutex_;
  std::condition_variable Changed_;
  std::deque<model::RecordBody> Queue_;
  std::size_t Appending_ = 0;
  bool Stopping_ = false;
  std::vector<std::thread> Threads_;
};

} // namespace nutmegwell::entry
