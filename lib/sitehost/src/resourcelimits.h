#pragma once

#include "handlinglimit.h"
#include "nutmegwell/aio/inputbudget.h"
#include "nutmegwell/aio/link.h"
#include "nutmegwell/core/logevent.h"
#include <map>
#include <optional>
#include <string>

namespace nutmegwell::sitehost {

/// Limits of the bytes and connections of a process.
struct ResourceLimits {
  /// For the HTTP servers of the process together.
  aio::InputLimits Input_;
  aio::LinkLimits Links_;
  /// Memory in bytes of all requests that have arrived and have no answer yet.
  std::size_t MaxHandled_ = HandledMemory().MaxBytes_;
};

/// Derives the limits from the memory and the file descriptors that the process
/// may use; what is absent leaves the defaults. Addresses clients that nobody
/// controls.
ResourceLimits resourceLimits(std::optional<std::size_t> MemoryBytes,
                              std::optional<std::size_t> Descriptors);

/// Refusals that were logged and those since then, by what was refused and
/// cause.
struct RefusalLog {
  struct Entry {
    core::TimePoint LoggedAt_{};
    std::size_t Unlogged_ = 0;
  };
  std::map<std::pair<std::string, aio::InputRefusal>, Entry> Entries_;
};

/// Returns the log line for a refusal, or nothing if one for the same kind of
/// input and cause was logged within the last second. Addresses clients that
/// cause thousands of refusals a second.
std::optional<core::LogEvent>
refusalEvent(RefusalLog &Log, const std::string &Input, aio::InputRefusal Cause,
             const std::string &Peer, core::TimePoint Now);

} // namespace nutmegwell::sitehost
