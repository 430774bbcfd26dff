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

/// Returns one line "RULE: message" for each violation, each followed by its
/// events in the form of historyfile.h.
std::string describe(const History &Run, const Violations &Found);

} // namespace nutmegwell::history
