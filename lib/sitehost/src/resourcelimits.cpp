#include "resourcelimits.h"
#include <algorithm>

namespace nutmegwell::sitehost {

namespace {

/// Part of the memory for requests that have not fully arrived and for
/// responses that are being sent. The smallest host has 128 MB, of which a
/// process without load uses 10 MB.
constexpr std::size_t InputPart = 8;
/// Part of the memory for requests that have arrived and have no answer yet. On
/// the smallest host, these are 16 MB: a body of the largest size with 20,000
/// steps is estimated at 10 MB.
constexpr std::size_t HandledPart = 8;
/// Part of the memory for frames that wait until their peers read.
constexpr std::size_t QueuedPart = 8;
/// Part of the memory for connections, each at ConnectionBytes: a session, its
/// parser and its first read buffer, rounded up.
constexpr std::size_t ConnectionPart = 4;
constexpr std::size_t ConnectionBytes = 8192;

/// Part of the descriptors for accepted links. The smallest host has 4,096, and
/// a cell of 300 hosts had 361 connections on its busiest entry host.
constexpr std::size_t LinkPart = 8;
/// Descriptors for listeners, dialled links, calls to the store and to workers,
/// logs and files; a quarter of all where there are few.
constexpr std::size_t ReservedDescriptors = 200;
constexpr std::size_t ReservedPart = 4;

/// Least time between two log lines of the same kind of input and cause.
constexpr core::Duration RefusalLogInterval = std::chrono::seconds(1);

} // namespace

ResourceLimits resourceLimits(std::optional<std::size_t> MemoryBytes,
                              std::optional<std::size_t> Descriptors) {
  ResourceLimits Result;
  if (Descriptors) {
    const std::size_t Reserved =
        std::min(ReservedDescriptors, *Descriptors / ReservedPart);
    Result.Links_.MaxAccepted_ = *Descriptors / LinkPart;
    Result.Input_.MaxConnections_ =
        *Descriptors - Reserved - Result.Links_.MaxAccepted_;
  }
  if (MemoryBytes) {
    Result.Input_.MaxBytes_ = *MemoryBytes / InputPart;
    Result.MaxHandled_ = *MemoryBytes / HandledPart;
    Result.Links_.MaxQueuedTotal_ = *MemoryBytes / QueuedPart;
    Result.Input_.MaxConnections_ =
        std::min(Result.Input_.MaxConnections_,
                 *MemoryBytes / ConnectionPart / ConnectionBytes);
    // A frame of the maximum size has to fit on the smallest host too.
    Result.Links_.MaxIncomplete_ =
        std::max(Result.Links_.MaxFrame_, *MemoryBytes / InputPart);
  }
  return Result;
}

std::optional<core::LogEvent>
refusalEvent(RefusalLog &Log, const std::string &Input, aio::InputRefusal Cause,
             const std::string &Peer, core::TimePoint Now) {
  const auto [Found, Added] =
      Log.Entries_.try_emplace(std::make_pair(Input, Cause));
  RefusalLog::Entry &Entry = Found->second;
  if (!Added && Now - Entry.LoggedAt_ < RefusalLogInterval) {
    ++Entry.Unlogged_;
    return std::nullopt;
  }
  const std::size_t Unlogged = Entry.Unlogged_;
  Entry = {Now, 0};
  return core::LogEvent{"input_refused",
                        {{"input", Input},
                         {"cause", aio::name(Cause)},
                         {"peer", Peer},
                         {"unlogged_before", std::to_string(Unlogged)}}};
}

} // namespace nutmegwell::sitehost
