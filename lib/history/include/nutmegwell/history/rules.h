#pragma once

#include "nutmegwell/history/event.h"
#include <cstddef>
#include <string>
#include <vector>

namespace nutmegwell::history {

/// Time bounds of the rules. The defaults are the bounds in docs/design.md.
struct Bounds {
  /// Time from an acknowledged out-of-service command until no task starts in
  /// the domain.
  core::Duration DomainOut_ = std::chrono::seconds(3);
  /// Time from an upstream's announcement that it leaves until it receives no
  /// new request.
  core::Duration UpstreamLeave_ = std::chrono::seconds(3);
  /// Time from the acceptance of a version until no process uses an older one.
  core::Duration ConfigInForce_ = std::chrono::seconds(3);
  /// Time from the start of a gang's first task to the start of its last one.
  core::Duration StartWindow_ = std::chrono::seconds(5);
  /// Time in which the remaining tasks of a gang stop after one of them is
  /// lost.
  core::Duration TaskLease_ = std::chrono::seconds(15);
  /// Time from a request within an account's guarantee until it is met: the
  /// checkpoint grace and one scheduling decision.
  core::Duration Reclaim_ = std::chrono::seconds(30);
  /// Time from an acknowledged cancellation until no task of the job starts.
  core::Duration Cancel_ = std::chrono::seconds(3);
  /// Time after Cancel_ in which a worker stops the running tasks of the job.
  core::Duration Stop_ = std::chrono::milliseconds(200);
  /// Time from an acknowledged drain until no task starts on the worker.
  core::Duration WorkerDrain_ = std::chrono::seconds(2);
  /// Time from the acceptance of a job until every entry host knows it.
  core::Duration Visible_ = std::chrono::seconds(3);
};

/// A violation of a rule.
struct Violation {
  /// Name of the rule, such as "gang-atomic".
  std::string Rule_;
  std::string Message_;
  /// Indices into History::Events_ of the events that show the violation.
  std::vector<std::size_t> Events_;
};

using Violations = std::vector<Violation>;

/// One function for each rule of docs/design.md. Each requires a history whose
/// events are in order of time, and returns every violation of its rule.
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

/// One function for each rule for the jobs of a site, whose tasks the cell
/// holder places one by one. Each requires the events of all entry hosts and
/// workers.

/// An accepted job stays known and reaches a final state. It fails only when a
/// task exhausts its attempts, and is cancelled only when a caller requests it.
Violations checkJobKept(const History &Run, const Bounds &Limits);
/// A job is reported as completed only when every task is done.
Violations checkJobShown(const History &Run, const Bounds &Limits);
/// No task has two active runs, and none starts after the end "done" of a run
/// was acknowledged. Does not apply to the tasks of speculative steps.
Violations checkTaskOnce(const History &Run, const Bounds &Limits);
/// No task starts before the steps that its own step depends on are done.
Violations checkStepOrder(const History &Run, const Bounds &Limits);
/// No task starts after as many acknowledged failures as its step allows.
Violations checkAttemptBudget(const History &Run, const Bounds &Limits);
/// Only tasks of jobs that were submitted and not refused start. No task of a
/// cancelled job starts or runs after the bounds.
Violations checkStartAsked(const History &Run, const Bounds &Limits);
/// No task starts on a draining worker after the bound.
Violations checkWorkerDrain(const History &Run, const Bounds &Limits);
/// The active runs of a worker, stopping ones included, use no more
/// accelerators than the worker has.
Violations checkWorkerRoom(const History &Run, const Bounds &Limits);
/// A term has one holder, and no worker accepts a start of a lower term after
/// one of a higher term.
Violations checkOneHolder(const History &Run, const Bounds &Limits);

/// Returns the violations of all rules for the jobs of a site, and of
/// domain-out, which applies to them too.
Violations checkSite(const History &Run, const Bounds &Limits);

/// Returns one line "RULE: message" for each violation, followed by one line
/// for each of its events in the format of formatEvent.
std::string describe(const History &Run, const Violations &Found);

} // namespace nutmegwell::history
