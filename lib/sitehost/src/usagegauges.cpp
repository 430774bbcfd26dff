#include "usagegauges.h"
#include <cmath>

namespace nutmegwell::sitehost {

void UsageGauges::show(const std::vector<cell::AccountUsage> &Usages) {
  std::set<std::pair<std::string, std::string>> Before;
  Before.swap(Shown_);
  for (const cell::AccountUsage &Each : Usages) {
    gauge(Each.Service_, Each.Account_).set(std::lround(Each.Usage_ * 1000));
    Before.erase({Each.Service_, Each.Account_});
    Shown_.emplace(Each.Service_, Each.Account_);
  }
  for (const auto &[Service, Account] : Before)
    gauge(Service, Account).set(0);
}

metrics::Gauge &UsageGauges::gauge(const std::string &Service,
                                   const std::string &Account) {
  return Metrics_.gauge("nutmegwell_account_usage_permille",
                        "Recent dominant share of an account",
                        {{"service", Service}, {"account", Account}});
}

} // namespace nutmegwell::sitehost
