#pragma once

#include "nutmegwell/core/time.h"
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace nutmegwell::history {

/// A caller sends a request. Call_ is unique; Work_ is what the request asks
/// for, and repeats of one non-idempotent request share it. An empty Work_
/// stands for the call itself.
struct CallInvoked {
  std::string Call_;
  std::string Work_;
  /// Entry host that carries the call.
  std::string Entry_;
  bool Idempotent_ = true;
};

/// The caller has the whole answer, of which Digest_ is a digest.
struct CallAnswered {
  std::string Call_;
  std::string Digest_;
};

/// The caller was told that the request did not run.
struct CallRefused {
  std::string Call_;
  std::string Code_;
};

/// The caller knows no outcome.
struct CallUnknown {
  std::string Call_;
  std::string Code_;
  /// True when the entry host closed the connection without an answer.
  bool ConnectionLost_ = false;
};

/// An upstream begins to run a request; Digest_ is that of its whole answer.
struct ExecutionBegun {
  std::string Call_;
  std::string Work_;
  std::string Upstream_;
  std::string Digest_;
};

struct ExecutionEnded {
  std::string Call_;
  std::string Upstream_;
};

/// An upstream says that it is leaving, or announces itself again.
struct UpstreamLeaving {
  std::string Upstream_;
};
struct UpstreamReturned {
  std::string Upstream_;
};

/// A planned stop of the event's process.
struct StopBegun {};
struct StopEnded {
  /// Requests that the process says it cut.
  std::uint32_t Cut_ = 0;
};

/// A gang start or its end, as the control log has it.
struct AttemptCommitted {
  std::string Job_;
  std::uint32_t Attempt_ = 0;
  std::uint32_t Tasks_ = 0;
};
struct AttemptEnded {
  std::string Job_;
  std::uint32_t Attempt_ = 0;
};

/// A task of a gang runs on a worker, or ends for any reason, such as the
/// loss of the worker.
struct TaskStarted {
  std::string Job_;
  std::uint32_t Attempt_ = 0;
  std::uint32_t Task_ = 0;
  std::string Worker_;
  std::string Domain_;
};
struct TaskStopped {
  std::string Job_;
  std::uint32_t Attempt_ = 0;
  std::uint32_t Task_ = 0;
  /// True when the task ended by itself with success, so that the other tasks
  /// of its gang may continue.
  bool Done_ = false;
};

/// The worker's start permit begins or ends.
struct PermitGranted {
  std::string Worker_;
};
struct PermitRevoked {
  std::string Worker_;
};

/// The operators' command to take a domain out of service was acknowledged.
struct DomainOut {
  std::string Domain_;
};
/// The operators' command to bring a domain back was sent, which is the
/// earliest moment at which it can take effect.
struct DomainIn {
  std::string Domain_;
};

/// A version of an item was accepted. An item is a table or a domain's service
/// state. Recorded once: when its publisher learned of it, or from the log when
/// the publisher's answer was lost.
struct ConfigAccepted {
  std::string Item_;
  std::uint64_t Version_ = 0;
  /// Digest of the content; empty when it was not recorded.
  std::string Digest_;
};
/// The event's process uses this version.
struct ConfigObserved {
  std::string Item_;
  std::uint64_t Version_ = 0;
  std::string Digest_;
};

/// What an account asks for out of its guarantee, or got.
struct GuaranteeShape {
  std::uint32_t Accelerators_ = 0;
  /// Accelerators that are adjacent.
  std::uint32_t Block_ = 1;
  /// Level at which they are adjacent: 0 worker, 1 rack, 2 failure domain.
  std::uint32_t Level_ = 0;
};

/// Work within an account's guarantee waits in a domain.
struct GuaranteeRequested {
  std::string Claim_;
  std::string Domain_;
  GuaranteeShape Shape_;
};
struct GuaranteeObtained {
  std::string Claim_;
  GuaranteeShape Shape_;
};
struct GuaranteeWithdrawn {
  std::string Claim_;
};

/// A running attempt stands in the place of a claim, whose name is the id of
/// the job that waits. It must have stopped whole before that job starts.
struct GuaranteeBlocked {
  std::string Claim_;
  std::string Job_;
  std::uint32_t Attempt_ = 0;
};

using EventBody =
    std::variant<CallInvoked, CallAnswered, CallRefused, CallUnknown,
                 ExecutionBegun, ExecutionEnded, UpstreamLeaving,
                 UpstreamReturned, StopBegun, StopEnded, AttemptCommitted,
                 AttemptEnded, TaskStarted, TaskStopped, PermitGranted,
                 PermitRevoked, DomainOut, DomainIn, ConfigAccepted,
                 ConfigObserved, GuaranteeRequested, GuaranteeObtained,
                 GuaranteeWithdrawn, GuaranteeBlocked>;

/// One event of a run. All times of a run are of one machine's clock.
struct Event {
  core::TimePoint At_;
  /// Process that recorded the event; the same name after a restart.
  std::string Process_;
  EventBody Body_;
};

/// Events of a run, in order of time.
struct History {
  std::vector<Event> Events_;
  /// True when the run ended by itself, so that every call has its end.
  bool Complete_ = false;
};

/// Returns a history of \p Events, sorted by time; events of the same time
/// keep their order.
History makeHistory(std::vector<Event> Events, bool Complete);

} // namespace nutmegwell::history
