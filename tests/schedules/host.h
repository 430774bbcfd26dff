#pragma once

#include "nutmegwell/core/random.h"
#include "nutmegwell/logclient/appendercore.h"
#include "nutmegwell/logclient/readercore.h"
#include "nutmegwell/logclient/snapshots.h"
#include <map>
#include <memory>
#include <string>

namespace nutmegwell::schedules {

/// A read that the log has served, but whose result the host has not processed
/// yet.
struct PendingRead {
  core::TimePoint StartedAt_;
  absl::StatusOr<logclient::ReadResult> Result_;
};

/// A simulated entry host: the production state machine, appender and reader,
/// driven by the simulated clock.
struct Host {
  model::NodeName Name_;
  core::Incarnation Incarnation_ = 0;
  bool Up_ = false;
  /// True once the state has reached \c MinOffset_, or was copied from a peer.
  bool Started_ = false;
  core::TimePoint PausedUntil_;
  /// Time until which a network partition separates the host from the log.
  core::TimePoint PartitionedUntil_;
  model::ControlState State_;
  logclient::AppenderState Appender_;
  std::unique_ptr<logclient::ReaderState> Reader_;
  std::optional<PendingRead> PendingRead_;
  /// The offset that the state must reach before the host has started: the
  /// highest one among its own and those that its peers reported.
  core::Offset MinOffset_ = 0;
  logclient::SnapshotView Snapshot_;
  core::RecordId SnapshotId_;
  /// The cell and the submission time of each claim or renewal whose verdict
  /// the host has not read yet.
  std::map<core::RecordId, std::pair<model::DomainName, core::TimePoint>>
      PendingLeaseRecords_;
  std::map<model::DomainName, core::TimePoint> LeaseEnds_;

  /// Returns the cell's term if this host holds the cell according to its own
  /// state, otherwise 0.
  core::Term ownTerm(const model::DomainName &Domain) const;

  /// Returns true when the host may grant a start permit: it has started, holds
  /// the cell's lease, has the domain in service, and has read the log's tail
  /// within the last second.
  bool mayGrantPermit(const model::DomainName &Domain,
                      core::TimePoint Now) const;
};

/// Resets \p Target to a newly started process with the given incarnation; only
/// the host's name is kept.
void reset(Host &Target, core::Incarnation Incarnation);

} // namespace nutmegwell::schedules
