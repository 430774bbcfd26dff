#pragma once

#include "nutmegwell/core/ids.h"
#include "nutmegwell/model/job.h"
#include "nutmegwell/model/records.h"
#include "nutmegwell/model/tables.h"
#include <deque>
#include <map>
#include <string>
#include <utility>

namespace nutmegwell::model {

/// Tenure of one cell.
struct Cell {
  core::Term Term_ = 0;
  /// Empty when the last holder released the cell.
  NodeName Holder_;
  core::Incarnation HolderIncarnation_ = 0;
  /// Counts claims and renewals, so that a reader notices each.
  std::uint64_t RenewalCount_ = 0;
};

struct DomainState {
  bool InService_ = true;
  core::Version Version_ = 0;
};

enum class IntentState : std::uint8_t { Dispatched, Settled };

/// The key of a non-idempotent request that may have run.
struct Intent {
  ServiceName Service_;
  core::AttemptId Attempt_;
  NodeName Agent_;
  core::Incarnation AgentIncarnation_ = 0;
  IntentState State_ = IntentState::Dispatched;
};

using IntentKey = std::pair<AccountName, std::string>;

/// Everything that entry hosts must agree on: the fold of the log's records.
struct ControlState {
  /// First offset that is not part of this state.
  core::Offset NextOffset_ = 0;
  RoutesTable Routes_;
  core::Version RoutesVersion_ = 0;
  PoolsTable Pools_;
  core::Version PoolsVersion_ = 0;
  std::map<DomainName, DomainState> Domains_;
  std::map<DomainName, Cell> Cells_;
  std::map<core::JobId, Job> Jobs_;
  /// Final jobs, oldest first; bounded by MaxFinalJobs.
  std::deque<core::JobId> FinalJobs_;
  std::map<IntentKey, Intent> Intents_;
  /// Settled keys, oldest first; bounded by MaxSettledIntents.
  std::deque<IntentKey> SettledIntents_;
  /// Highest sequence number seen of each writer.
  std::map<core::Incarnation, std::uint64_t> LastSequences_;
  /// Writers by first record, oldest first; bounded by MaxWriters.
  std::deque<core::Incarnation> WriterOrder_;
  core::Offset LastSnapshotOffset_ = 0;
};

/// Final jobs that stay readable.
constexpr std::size_t MaxFinalJobs = 4096;
/// Settled keys that a repeat can still find.
constexpr std::size_t MaxSettledIntents = 65536;
/// Writers whose repeated records are recognised.
constexpr std::size_t MaxWriters = 4096;

/// What the fold made of one record.
struct FoldResult {
  core::RecordId Id_;
  bool Accepted_ = false;
  /// Stable code of a rejection, such as "stale_version".
  std::string Code_;
  /// What stands in the way, for a person.
  std::string Reason_;
};

/// Applies one record of the entry at \p At. Depends on its arguments alone, so
/// every reader of the log reaches the same state.
FoldResult applyRecord(ControlState &State, const Record &Change,
                       core::Offset At);

/// Returns true when the domain is in service; an unnamed one is.
bool isInService(const ControlState &State, const DomainName &Domain);

} // namespace nutmegwell::model
