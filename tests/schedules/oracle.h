#pragma once

#include "nutmegwell/history/event.h"
#include "nutmegwell/model/controlstate.h"
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace nutmegwell::schedules {

/// Follows the log as it is written, folds it without faults, and compares each
/// verdict of the fold with an own, simpler account of what must hold.
class Oracle {
public:
  /// Takes the entry at \p At, which took effect at \p Now.
  void note(core::Offset At, const std::string &Bytes, core::TimePoint Now);

  /// Returns a digest of the state whose next offset is \p Next, if there is
  /// one.
  std::optional<std::size_t> digestAt(core::Offset Next) const;
  static std::size_t digest(const model::ControlState &State);

  const model::ControlState &state() const { return State_; }
  const std::vector<history::Event> &events() const { return Events_; }
  /// Offsets of the entries that hold a record.
  const std::map<core::RecordId, std::set<core::Offset>> &places() const {
    return Places_;
  }

  /// Returns true when the fold gave the record a verdict of its own.
  bool applied(const core::RecordId &Id) const {
    return Applied_.count(Id) != 0;
  }

  /// The first broken property; empty for none.
  const std::string &failure() const { return Failure_; }
  /// Verdicts by code; accepted records have the code "accepted".
  const std::map<std::string, std::size_t> &verdicts() const {
    return Verdicts_;
  }

private:
  struct CellShadow {
    core::Term Term_ = 0;
    core::Incarnation Writer_ = 0;
  };

  void checkVerdict(const std::optional<model::ControlState> &Before,
                    const model::Record &Change,
                    const model::FoldResult &Result);
  void expect(bool Holds, const std::string &Message);
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
  std::uint64_t Records_ = 0;
  std::map<core::Offset, std::size_t> Digests_;
  std::map<core::RecordId, std::set<core::Offset>> Places_;
  std::map<core::RecordId, unsigned> Applied_;
  std::map<core::Incarnation, std::uint64_t> Sequences_;
  std::map<std::string, core::Version> Versions_;
  std::map<model::DomainName, bool> InService_;
  std::map<model::DomainName, CellShadow> Cells_;
  std::set<core::JobId> RunningJobs_;
  std::map<core::JobId, std::uint32_t> Attempts_;
  std::map<std::string, core::AttemptId> Keys_;
  std::vector<history::Event> Events_;
  std::map<std::string, std::size_t> Verdicts_;
  std::string Failure_;
};

/// Names of the items in history events.
std::string domainItem(const model::DomainName &Domain);

} // namespace nutmegwell::schedules
