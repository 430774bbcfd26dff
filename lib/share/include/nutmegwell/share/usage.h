#pragma once

#include "nutmegwell/core/time.h"
#include <map>
#include <string>

namespace nutmegwell::share {

struct UsagePolicy {
  /// Time after which usage counts half.
  core::Duration HalfLife_ = std::chrono::seconds(30);
  /// Usages are compared in steps of this share of the service, so that a small
  /// lead seldom overrides the objectives of jobs.
  double RankStep_ = 0.05;
};

/// Recent usage of a service by each client account.
struct UsageLedger {
  struct Entry {
    /// Dominant share of the service, averaged over the recent past.
    double Usage_ = 0;
    /// Dominant share that the account uses now.
    double Current_ = 0;
    core::TimePoint At_{};
  };

  UsagePolicy Policy_;
  std::map<std::string, Entry> Accounts_;
};

/// Sets the dominant share, from 0 to 1, that each account uses from \p Now on;
/// an account that is missing uses none. Accounts whose usage has decayed to
/// nothing are removed, so that the ledger is bounded by the accounts in use.
void setCurrentShares(UsageLedger &Ledger,
                      const std::map<std::string, double> &Shares,
                      core::TimePoint Now);

/// Returns the recent usage of an account, from 0 to 1.
double usageOf(const UsageLedger &Ledger, const std::string &Account,
               core::TimePoint Now);

/// Returns the rank of an account by usage in steps of RankStep_; a lower rank
/// goes first.
///
/// Load pattern: a burst of one account beside nine that send as usual. Without
/// ranks the burst's jobs, all as urgent as the others', fill the room in order
/// of their slack.
int usageRank(const UsageLedger &Ledger, const std::string &Account,
              core::TimePoint Now);

} // namespace nutmegwell::share
