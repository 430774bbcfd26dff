#pragma once

#include "nutmegwell/jobs/records.h"
#include <map>
#include <set>
#include <string>
#include <unordered_map>

namespace nutmegwell::jobs {

/// A job as it stands in the durable records.
struct JobEntry {
  JobAccepted Accepted_;
  /// Offset of the acceptance, which tells jobs older than a claim from newer
  /// ones.
  core::Offset AcceptedAt_ = 0;
  JobProgress Progress_;
  /// Failures that Progress_ counts and does not name, by step.
  std::map<StepPosition, EarlierFailures> EarlierFailures_;
  bool CancelRequested_ = false;

  /// Returns the state to report to callers.
  JobState reportedState() const;
};

/// State after the durable records up to an offset; every entry host derives
/// the same one.
struct View {
  /// Offset of the next record to apply.
  core::Offset NextOffset_ = 0;
  std::unordered_map<std::string, JobEntry> Jobs_;
  /// Cancellations of jobs whose acceptance has not been read yet.
  std::set<std::string> EarlyCancels_;
  /// Newest claim of the cell; its term is 0 before the first claim.
  core::Term Term_ = 0;
  CellClaimed Claim_;
  /// Newest term whose earlier holders have all stopped granting leases.
  core::Term SettledTerm_ = 0;
  std::map<std::string, WorkerListed> Workers_;
  /// Offset of the newest listing of each worker, by host.
  std::map<std::string, core::Offset> ListedAt_;
  /// Addresses of the entry hosts, by host.
  std::map<std::string, std::string> EntryHosts_;
  /// Speeds of workers by the number of their record.
  std::map<std::uint32_t, std::vector<LearnedSpeed>> LearnedSpeeds_;
};

/// Applies \p Entry and returns true when it was new. A record below
/// NextOffset_ was applied before and is ignored.
bool applyRecord(View &State, const StoredRecord &Entry);

/// Applies the newest record of a key. Such records may come in any order and
/// be newer than NextOffset_, which stays as it is.
void applyNewestRecord(View &State, const StoredRecord &Entry);

/// Returns how many jobs of \p Queue have started no task.
std::size_t waitingCount(const View &State, const std::string &Queue);

} // namespace nutmegwell::jobs
