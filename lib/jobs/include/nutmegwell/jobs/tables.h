#pragma once

#include "nutmegwell/core/ids.h"
#include "nutmegwell/core/time.h"
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace nutmegwell::jobs {

/// Approval of workers that a queue requires before a start.
struct ApprovalPolicy {
  core::Duration Decision_{0};
  core::Duration PerWorker_{0};
  core::Duration Validity_{0};
};

/// A row of the routes table: a queue of jobs.
struct Queue {
  std::string Name_;
  std::string Host_;
  std::string PathPrefix_;
  std::string Service_;
  /// 0 is the most urgent priority and may preempt the others.
  int Priority_ = 0;
  std::uint32_t MaxAttempts_ = 1;
  /// The objective of a job is its longest chain of declared work times this
  /// factor, plus StartAllowance_.
  double Stretch_ = 1;
  core::Duration StartAllowance_{0};
  bool Anonymous_ = false;
  std::optional<ApprovalPolicy> Approval_;
};

/// A row of the pools table: the workers of a service.
struct Pool {
  std::string Service_;
  /// Path of a worker's health check; empty for none.
  std::string HealthPath_;
  /// Workers reject work that exceeds their capacity.
  bool RejectsOverload_ = false;
  /// Workers are switched off until they are moved to another pool.
  bool Spare_ = false;
};

struct Account {
  std::string Name_;
  std::vector<std::string> Keys_;
  /// Accelerators that are guaranteed to the account's jobs of priority 0.
  std::int64_t GuaranteedAccelerators_ = 0;
};

/// Limits of callers' requests.
struct CallerLimits {
  std::size_t MaxHeaderBytes_ = 16384;
  std::size_t MaxBodyBytes_ = 262144;
  core::Duration HeaderTimeout_ = std::chrono::seconds(3);
  core::Duration IdleTimeout_ = std::chrono::seconds(15);
};

/// The routes table and the pools table as one version, which takes effect as a
/// whole.
struct ServiceTables {
  core::Version Version_ = 0;
  std::vector<Queue> Queues_;
  std::vector<Pool> Pools_;
  std::vector<Account> Accounts_;
  CallerLimits Limits_;

  /// Returns the queue with the longest path prefix for \p Host and \p Path,
  /// or nullptr.
  const Queue *route(const std::string &Host, const std::string &Path) const;
  /// Returns the queue named \p Name, or nullptr.
  const Queue *queue(const std::string &Name) const;
  /// Returns the account that holds \p Key, or nullptr.
  const Account *accountOf(const std::string &Key) const;
  /// Returns the account named \p Name, or nullptr.
  const Account *account(const std::string &Name) const;
  const Pool *pool(const std::string &Service) const;
};

} // namespace nutmegwell::jobs
