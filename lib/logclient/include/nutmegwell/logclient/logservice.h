#pragma once

#include "nutmegwell/core/ids.h"
#include "nutmegwell/core/status.h"
#include "nutmegwell/core/time.h"
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace nutmegwell::logclient {

struct LogEntry {
  core::Offset At_ = 0;
  std::string Bytes_;
};

/// What one read found.
struct ReadResult {
  /// Oldest offset that the log retains.
  core::Offset First_ = 0;
  /// Offset to read next.
  core::Offset Next_ = 0;
  /// True when Next_ was the log's end at some moment after the read began.
  bool AtTail_ = false;
  std::vector<LogEntry> Entries_;
};

/// The platform's log. Append_ and Read_ may be called at the same time, each
/// from one thread.
struct LogService {
  /// Appends one entry. An error of the step "connect" says that the entry was
  /// certainly not appended; after any other error it may have been.
  std::function<absl::StatusOr<core::Offset>(std::string Bytes)> Append_;

  /// Reads up to Max entries from From on; waits up to Wait for the first one.
  /// Fails with outOfRange when From is no longer retained.
  std::function<absl::StatusOr<ReadResult>(core::Offset From, std::size_t Max,
                                           core::Duration Wait)>
      Read_;
};

/// Returns the error of a read below the oldest retained offset \p First.
absl::Status outOfRange(core::Offset First, const std::string &Peer);

/// Returns the oldest retained offset that an outOfRange error carries.
std::optional<core::Offset> firstRetained(const absl::Status &Error);

} // namespace nutmegwell::logclient
