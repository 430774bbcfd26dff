#pragma once

#include "nutmegwell/core/random.h"
#include "nutmegwell/logclient/appendercore.h"
#include "nutmegwell/logclient/readercore.h"
#include "nutmegwell/logclient/snapshots.h"
#include <map>
#include <memory>
#include <string>

namespace nutmegwell::schedules {

/// A read that the log has answered, but whose answer is still on its way.
struct PreparedRead {
  core::TimePoint Began_;
  absl::StatusOr<logclient::ReadResult> Result_;
};

/// One simulated entry host: the real fold, appender and reader, driven by the
/// world's clock.
struct Host {
  model::NodeName Name_;
  core::Incarnation Incarnation_ = 0;
  bool Up_ = false;
  /// True once the state has reached everything that was announced.
  bool Started_ = false;
  core::TimePoint PausedUntil_;
  /// Time until which the host does not reach the log.
  core::TimePoint CutOffUntil_;
  model::ControlState State_;
  logclient::AppenderState Appender_;
  std::unique_ptr<logclient::ReaderState> Reader_;
  std::optional<PreparedRead> Prepared_;
  core::Offset AtLeast_ = 0;
  logclient::SnapshotView Snapshot_;
  core::RecordId SnapshotId_;
  /// When the host sent the record by which it holds each cell.
  std::map<core::RecordId, std::pair<model::DomainName, core::TimePoint>>
      CellRecords_;
  std::map<model::DomainName, core::TimePoint> HeldUntil_;

  /// Returns the term in force when this host holds the cell by its own view.
  core::Term ownTerm(const model::DomainName &Domain) const;

  /// Returns true when the host may grant a start permit now.
  bool mayGrant(const model::DomainName &Domain, core::TimePoint Now) const;
};

/// Empties \p Target and gives it a new incarnation.
void reset(Host &Target, core::Incarnation Incarnation);

} // namespace nutmegwell::schedules
