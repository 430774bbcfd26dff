#pragma once

#include "nutmegwell/core/time.h"
#include "nutmegwell/jobs/progress.h"
#include "nutmegwell/jobs/spec.h"
#include <cstdint>
#include <optional>
#include <string>

namespace nutmegwell::site {

/// Number by which the traffic thread matches a reply to its request.
using CallToken = std::uint64_t;

enum class RequestKind : std::uint8_t { Submit, Query, Cancel };

/// A decoded request of a caller.
struct CallerRequest {
  CallToken Token_ = 0;
  RequestKind Kind_ = RequestKind::Query;
  std::string Host_;
  std::string Path_;
  /// Key of the caller's account; empty for none.
  std::string ApiKey_;
  /// Absent when the body is not a valid job; SpecError_ then holds the reason.
  std::optional<jobs::JobSpec> Spec_;
  std::string SpecError_;
  /// How long the caller waits for an answer.
  core::Duration Timeout_ = std::chrono::seconds(3);
  /// When the request reached this process.
  core::TimePoint ArrivedAt_{};
};

enum class ReplyKind : std::uint8_t {
  Accepted,
  /// State_ is the job's state.
  State,
  /// WaitingJobs_ is the number of waiting jobs.
  WaitingCount,
  Cancelled,
  UnknownQueue,
  UnknownJob,
  UnknownKey,
  Invalid,
  /// The request has had no effect and never will have one.
  Refused,
  /// The request may have taken effect.
  OutcomeUnknown
};

const char *name(ReplyKind Kind);

/// Why a request was refused.
enum class RefusalCause : std::uint8_t {
  None,
  /// The host has not read the tables and records yet.
  NotSynced,
  /// The store cannot be used.
  Store,
  /// The job would end too late because of the load.
  Load
};

const char *name(RefusalCause Cause);

struct CallerReply {
  CallToken Token_ = 0;
  ReplyKind Kind_ = ReplyKind::Refused;
  jobs::JobState State_ = jobs::JobState::Queued;
  std::size_t WaitingJobs_ = 0;
  /// With Refused: the time after which the caller should retry, and why.
  core::Duration RetryAfter_{0};
  RefusalCause Cause_ = RefusalCause::None;
  std::string Message_;
};

} // namespace nutmegwell::site
