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

/// Result of one read.
struct ReadResult {
  /// Oldest offset that the log retains.
  core::Offset First_ = 0;
  /// Offset to read next.
  core::Offset Next_ = 0;
  /// True if Next_ was the end of the log at some time after the read began.
  bool AtTail_ = false;
  std::vector<LogEntry> Entries_;
};

/// Operations of the platform's log. Append_ and Read_ may be called
/// concurrently, each from one thread at a time.
struct LogService {
  /// Appends one entry. After an error of the step "connect" the entry was
  /// certainly not appended; after any other error it may have been.
  std::function<absl::StatusOr<core::Offset>(std::string Bytes)> Append_;

  /// Reads up to Max entries from offset From on, and waits up to Wait for the
  /// first one. Returns an outOfRange error when From is no longer retained.
  std::function<absl::StatusOr<ReadResult>(core::Offset From, std::size_t Max,
                                           core::Duration Wait)>
      Read_;
};

/// Returns the error for a read below the oldest retained offset \p First.
absl::Status outOfRange(core::Offset First, const std::string &Peer);

/// Returns the oldest retained offset from an outOfRange error, or nothing for
/// any other error.
std::optional<core::Offset> firstRetained(const absl::Status &Error);

} // namespace nutmegwell::logclient
