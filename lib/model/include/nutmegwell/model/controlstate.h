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

/// Holder and term of one cell.
struct Cell {
  core::Term Term_ = 0;
  /// Empty when the last holder released the cell.
  NodeName Holder_;
  core::Incarnation HolderIncarnation_ = 0;
  /// Number of claims and renewals. It changes with each, which is how a reader
  /// of the log detects a renewal.
  std::uint64_t RenewalCount_ = 0;
};

/// State of a failure domain.
struct DomainState {
  bool InService_ = true;
  core::Version Version_ = 0;
};

/// Settled means that the attempt was answered.
enum class IntentState : std::uint8_t { Dispatched, Settled };

/// The attempt to which the key of a non-idempotent request is assigned. The
/// request may have run.
struct Intent {
  ServiceName Service_;
  core::AttemptId Attempt_;
  NodeName Agent_;
  core::Incarnation AgentIncarnation_ = 0;
  IntentState State_ = IntentState::Dispatched;
};

/// Client account and idempotency key.
using IntentKey = std::pair<AccountName, std::string>;

/// The replicated state on which all entry hosts agree: the result of applying
/// the records of the log in order.
struct ControlState {
  /// Offset of the first log entry that is not applied yet.
  core::Offset NextOffset_ = 0;
  RoutesTable Routes_;
  core::Version RoutesVersion_ = 0;
  PoolsTable Pools_;
  core::Version PoolsVersion_ = 0;
  std::map<DomainName, DomainState> Domains_;
  std::map<DomainName, Cell> Cells_;
  std::map<core::JobId, Job> Jobs_;
  /// Jobs in a final state, oldest first; at most MaxFinalJobs.
  std::deque<core::JobId> FinalJobs_;
  std::map<IntentKey, Intent> Intents_;
  /// Keys of settled intents, oldest first; at most MaxSettledIntents.
  std::deque<IntentKey> SettledIntents_;
  /// Highest sequence number applied of each writer.
  std::map<core::Incarnation, std::uint64_t> LastSequences_;
  /// Writers in the order of their latest records, oldest first; at most
  /// MaxWriters.
  std::deque<core::Incarnation> WriterOrder_;
  /// SnapshotTaken::LastIncludedOffset_ of the latest snapshot.
  core::Offset LastSnapshotOffset_ = 0;
};

/// Number of final jobs that are kept for readers.
constexpr std::size_t MaxFinalJobs = 4096;
/// Number of settled keys that are kept, so that a repeated request finds its
/// attempt.
constexpr std::size_t MaxSettledIntents = 65536;
/// Number of writers whose repeated records are detected.
constexpr std::size_t MaxWriters = 4096;

/// Result of applying one record.
struct FoldResult {
  core::RecordId Id_;
  bool Accepted_ = false;
  /// Stable code of a rejection, such as "stale_version".
  std::string Code_;
  /// Reason of a rejection, for a person.
  std::string Reason_;
};

/// Applies one record of the log entry at offset \p At. The result depends on
/// the arguments alone, so every reader of the log reaches the same state.
FoldResult applyRecord(ControlState &State, const Record &Change,
                       core::Offset At);

/// Returns true when the failure domain is in service. A domain without a
/// record is.
bool isInService(const ControlState &State, const DomainName &Domain);

} // namespace nutmegwell::model
