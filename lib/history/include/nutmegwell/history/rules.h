#pragma once

#include "nutmegwell/history/event.h"
#include <cstddef>
#include <string>
#include <vector>

namespace nutmegwell::history {

/// Bounds of the rules; the defaults are those of docs/design.md.
struct Bounds {
  core::Duration DomainOut_ = std::chrono::seconds(3);
  core::Duration UpstreamLeave_ = std::chrono::seconds(3);
  core::Duration ConfigInForce_ = std::chrono::seconds(3);
  /// Time from a gang's first task to its last one.
  core::Duration StartWindow_ = std::chrono::seconds(5);
  /// Time in which the tasks of a broken gang stop.
  core::Duration TaskLease_ = std::chrono::seconds(15);
  /// Checkpoint grace and one decision.
  core::Duration Reclaim_ = std::chrono::seconds(30);
  /// Time from an acknowledged cancel until no task of the job starts.
  core::Duration Cancel_ = std::chrono::seconds(3);
  /// Time after that in which a worker stops a task.
  core::Duration Stop_ = std::chrono::milliseconds(200);
  /// Time from an acknowledged drain until no task starts on the worker.
  core::Duration WorkerDrain_ = std::chrono::seconds(2);
  /// Time from an acceptance until every entry host knows the job.
  core::Duration Visible_ = std::chrono::seconds(3);
};

/// A broken rule.
struct Violation {
  /// Label of the rule, such as "gang-atomic".
  std::string Rule_;
  std::string Message_;
  /// Indices into History::Events_ of the events concerned.
  std::vector<std::size_t> Events_;
};

using Violations = std::vector<Violation>;

/// One function for each rule of docs/design.md. Each needs a history whose
/// events are in order of time, and returns every break of its rule.
Violations checkGuaranteeReclaim(const History &Run, const Bounds &Limits);
Violations checkGangAtomic(const History &Run, const Bounds &Limits);
Violations checkDomainOut(const History &Run, const Bounds &Limits);
Violations checkOwnAnswer(const History &Run, const Bounds &Limits);
Violations checkTrueRefusal(const History &Run, const Bounds &Limits);
Violations checkAtMostOnce(const History &Run, const Bounds &Limits);
Violations checkUpstreamLeave(const History &Run, const Bounds &Limits);
Violations checkGracefulStop(const History &Run, const Bounds &Limits);
Violations checkConfigMonotonic(const History &Run, const Bounds &Limits);

/// Returns the violations of all nine rules.
Violations checkAll(const History &Run, const Bounds &Limits);

/// One function for each rule of a site's jobs, which holders of a cell place
/// task by task. Each needs the events of all entry hosts and workers.

/// An accepted job stays known, ends, and fails or is cancelled only with a
/// cause.
Violations checkJobKept(const History &Run, const Bounds &Limits);
/// A job is shown as completed only when every task is done.
Violations checkJobShown(const History &Run, const Bounds &Limits);
/// No task has two runs at one time, and none starts after a done end that was
/// noted.
Violations checkTaskOnce(const History &Run, const Bounds &Limits);
/// No task starts before the steps that its own needs are done.
Violations checkStepOrder(const History &Run, const Bounds &Limits);
/// No task starts after as many noted failures as its step allows.
Violations checkAttemptBudget(const History &Run, const Bounds &Limits);
/// Only tasks of jobs that were submitted and not refused start, and none of a
/// cancelled job beyond the bounds.
Violations checkStartAsked(const History &Run, const Bounds &Limits);
/// No task starts on a worker that leaves.
Violations checkWorkerDrain(const History &Run, const Bounds &Limits);
/// Runs fit into the accelerators of their worker; what is stopping counts.
Violations checkWorkerRoom(const History &Run, const Bounds &Limits);
/// A term has one holder, and no worker takes a start of a lower term after one
/// of a higher.
Violations checkOneHolder(const History &Run, const Bounds &Limits);

/// Returns the violations of all rules of a site's jobs, and of those of
/// checkAll that hold there too.
Violations checkSite(const History &Run, const Bounds &Limits);

/// Returns one line "RULE: message" for each violation, each followed by its
/// events in the form of historyfile.h.
std::string describe(const History &Run, const Violations &Found);

} // namespace nutmegwell::history
