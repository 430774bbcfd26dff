#pragma once

#include "logwriter.h"
#include "nutmegwell/aio/loop.h"
#include "nutmegwell/sitehost/roles.h"
#include <functional>
#include <string>
#include <vector>

namespace nutmegwell::sitehost {

/// Adopts new seeds from the settings, on request and at intervals, since the
/// settings file may change without a signal. Used on the loop's thread only.
class SeedWatch {
public:
  using Handler = std::function<void(std::vector<std::string>)>;

  /// \p Seeds are the present seeds; \p OnChange is called with new ones.
  SeedWatch(aio::Loop &Owner, SettingsReader Reread, LogWriter &Log,
            std::vector<std::string> Seeds, Handler OnChange);
  SeedWatch(const SeedWatch &) = delete;
  SeedWatch &operator=(const SeedWatch &) = delete;

  /// Checks the settings every \p Interval.
  void start(core::Duration Interval);

  /// Checks the settings now and logs the outcome even without a change.
  void reload();

private:
  void check(bool Requested);

  aio::Loop &Owner_;
  SettingsReader Reread_;
  LogWriter &Log_;
  std::vector<std::string> Seeds_;
  Handler OnChange_;
  /// Set after a failed check, so that repeated failures are logged once.
  bool LastCheckFailed_ = false;
};

/// Time between two checks without a signal. Seeds matter only to a host that
/// has lost all its peers, and a check reads one small file.
constexpr core::Duration SeedCheckInterval = std::chrono::seconds(5);

} // namespace nutmegwell::sitehost
