#pragma once

#include "nutmegwell/history/event.h"
#include "nutmegwell/model/controlstate.h"
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace nutmegwell::schedules {

/// Reference model of the log. Applies each entry when it is written, without
/// faults, and checks each verdict of the state machine against a simpler,
/// independent model.
class Oracle {
public:
  /// Applies the entry at offset \p At, which was written at \p Now.
  void applyEntry(core::Offset At, const std::string &Bytes,
                  core::TimePoint Now);

  /// Returns the digest of the state whose next offset is \p Next, or nothing
  /// if no entry ends there.
  std::optional<std::size_t> digestAt(core::Offset Next) const;
  static std::size_t digest(const model::ControlState &State);

  const model::ControlState &state() const { return State_; }
  const std::vector<history::Event> &events() const { return Events_; }
  /// The offsets of the entries that contain each record.
  const std::map<core::RecordId, std::set<core::Offset>> &
  recordOffsets() const {
    return RecordOffsets_;
  }

  /// Returns true when the state machine evaluated the record, not only
  /// rejected it as a repetition.
  bool isApplied(const core::RecordId &Id) const {
    return ApplyCounts_.count(Id) != 0;
  }

  /// The first property violation, or an empty string.
  const std::string &failure() const { return Failure_; }
  /// The number of verdicts by code; accepted records count as "accepted".
  const std::map<std::string, std::size_t> &verdicts() const {
    return Verdicts_;
  }

private:
  struct ExpectedCell {
    core::Term Term_ = 0;
    core::Incarnation Writer_ = 0;
  };

  void checkVerdict(const std::optional<model::ControlState> &Before,
                    const model::Record &Change,
                    const model::FoldResult &Result);
  void expect(bool Condition, const std::string &Message);
  void changeVersion(const std::string &Item, core::Version Expected);
  void checkHolder(const model::DomainName &Domain, core::Term Term);

  void accept(const model::RoutesPublished &Body);
  void accept(const model::PoolsPublished &Body);
  void accept(const model::DomainChanged &Body);
  void accept(const model::CellClaimed &Body);
  void accept(const model::CellReleased &Body);
  void accept(const model::JobCommitted &Body);
  void accept(const model::JobRequeued &Body);
  void accept(const model::JobFinished &Body);
  void accept(const model::IntentRecorded &Body);
  void accept(const model::IntentReleased &Body);
  template <typename Body> void accept(const Body &Change);

  model::ControlState State_;
  core::Incarnation Writer_ = 0;
  core::TimePoint Now_;
  std::uint64_t RecordCount_ = 0;
  std::map<core::Offset, std::size_t> Digests_;
  std::map<core::RecordId, std::set<core::Offset>> RecordOffsets_;
  std::map<core::RecordId, unsigned> ApplyCounts_;
  std::map<core::Incarnation, std::uint64_t> LastSequences_;
  std::map<std::string, core::Version> Versions_;
  std::map<model::DomainName, bool> InService_;
  std::map<model::DomainName, ExpectedCell> Cells_;
  std::set<core::JobId> RunningJobs_;
  std::map<core::JobId, std::uint32_t> LastAttempts_;
  std::map<std::string, core::AttemptId> OpenIntents_;
  std::vector<history::Event> Events_;
  std::map<std::string, std::size_t> Verdicts_;
  std::string Failure_;
};

/// Returns the name that history events use for the domain's configuration.
std::string domainItem(const model::DomainName &Domain);

} // namespace nutmegwell::schedules
