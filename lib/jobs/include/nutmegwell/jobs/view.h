#pragma once

#include "nutmegwell/jobs/records.h"
#include <map>
#include <set>
#include <string>
#include <unordered_map>

namespace nutmegwell::jobs {

/// A job as the durable records tell it.
struct JobEntry {
  JobAccepted Accepted_;
  /// Place of the acceptance; tells jobs older than a claim from newer ones.
  core::Offset AcceptedAt_ = 0;
  JobProgress Progress_;
  bool CancelRequested_ = false;

  /// Returns the state that callers may be shown.
  JobState reportedState() const;
};

/// Fold of the durable records; equal in every entry host at the same offset.
struct View {
  /// Offset of the next record to apply.
  core::Offset NextOffset_ = 0;
  std::unordered_map<std::string, JobEntry> Jobs_;
  /// Cancellations of jobs whose acceptance has not been read.
  std::set<std::string> EarlyCancels_;
  /// Newest claim of the cell; its term is 0 without any.
  core::Term Term_ = 0;
  CellClaimed Claim_;
  /// Newest term whose holder has outlasted all earlier grants.
  core::Term SettledTerm_ = 0;
  std::map<std::string, WorkerListed> Workers_;
  /// Place of the newest listing of each worker.
  std::map<std::string, core::Offset> ListedAt_;
  /// Address by entry host.
  std::map<std::string, std::string> EntryHosts_;
};

/// Applies \p Entry and returns true when it was new. A record below
/// NextOffset_ was applied before and is passed over.
bool applyRecord(View &State, const StoredRecord &Entry);

/// Applies the newest record of a key, which may come in any order and in
/// part be newer than NextOffset_. Does not move NextOffset_.
void applyNewestRecord(View &State, const StoredRecord &Entry);

/// Returns how many jobs of \p Queue have started no task, those with due
/// times left out.
std::size_t waitingCount(const View &State, const std::string &Queue);

} // namespace nutmegwell::jobs
