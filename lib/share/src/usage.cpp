#include "nutmegwell/share/usage.h"
#include <algorithm>
#include <cmath>

namespace nutmegwell::share {

namespace {

/// Usage below this share of the service counts as none. A fiftieth of the
/// default rank step, so that a removed account keeps its rank; the usage of
/// a whole service decays to it within 10 half-lives.
constexpr double NegligibleUsage = 0.001;

/// Returns \p Share as a value from 0 to 1; a share of a service without
/// capacity is not a number and counts as none.
double boundedShare(double Share) {
  return std::isnan(Share) ? 0 : std::clamp(Share, 0.0, 1.0);
}

/// Returns the usage at \p Now, which approaches the current share and has half
/// of the way left after each half-life.
double decayedUsage(const UsagePolicy &Policy, const UsageLedger::Entry &Known,
                    core::TimePoint Now) {
  const core::Duration Elapsed =
      std::max(Now - Known.At_, core::Duration::zero());
  const double HalfLives = std::chrono::duration<double>(Elapsed) /
                           std::chrono::duration<double>(Policy.HalfLife_);
  return Known.Current_ +
         (Known.Usage_ - Known.Current_) * std::exp2(-HalfLives);
}

} // namespace

void setCurrentShares(UsageLedger &Ledger,
                      const std::map<std::string, double> &Shares,
                      core::TimePoint Now) {
  for (auto &[Account, Known] : Ledger.Accounts_) {
    Known.Usage_ = decayedUsage(Ledger.Policy_, Known, Now);
    Known.At_ = std::max(Known.At_, Now);
    Known.Current_ = 0;
  }
  for (const auto &[Account, Share] : Shares) {
    auto [It, Added] = Ledger.Accounts_.try_emplace(Account);
    if (Added)
      It->second.At_ = Now;
    It->second.Current_ = boundedShare(Share);
  }
  for (auto It = Ledger.Accounts_.begin(); It != Ledger.Accounts_.end();)
    if (It->second.Current_ == 0 && It->second.Usage_ < NegligibleUsage)
      It = Ledger.Accounts_.erase(It);
    else
      ++It;
}

double usageOf(const UsageLedger &Ledger, const std::string &Account,
               core::TimePoint Now) {
  auto It = Ledger.Accounts_.find(Account);
  return It == Ledger.Accounts_.end()
             ? 0
             : decayedUsage(Ledger.Policy_, It->second, Now);
}

int usageRank(const UsageLedger &Ledger, const std::string &Account,
              core::TimePoint Now) {
  return static_cast<int>(usageOf(Ledger, Account, Now) /
                          Ledger.Policy_.RankStep_);
}

} // namespace nutmegwell::share
