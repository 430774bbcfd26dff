#pragma once

#include "nutmegwell/cell/holder.h"
#include "nutmegwell/metrics/registry.h"
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace nutmegwell::sitehost {

/// Shows the usage of services by account as metrics. Used by one thread.
class UsageGauges {
public:
  explicit UsageGauges(metrics::Registry &Metrics) : Metrics_(Metrics) {}

  /// Shows \p Usages; accounts that were shown before and are missing now use
  /// nothing.
  void show(const std::vector<cell::AccountUsage> &Usages);

private:
  metrics::Gauge &gauge(const std::string &Service, const std::string &Account);

  metrics::Registry &Metrics_;
  /// Services and accounts that are shown with a usage above 0.
  std::set<std::pair<std::string, std::string>> Shown_;
};

} // namespace nutmegwell::sitehost
