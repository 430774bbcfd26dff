#pragma once

#include "logwriter.h"
#include "nutmegwell/aio/loop.h"
#include "nutmegwell/sitehost/roles.h"
#include <functional>
#include <string>
#include <vector>

namespace nutmegwell::sitehost {

/// Takes over new seeds from the settings, on request and at intervals, since
/// the settings file may change without a signal. Lives on the loop's thread.
class SeedWatch {
public:
  using Handler = std::function<void(std::vector<std::string>)>;

  /// \p Known are the seeds in force; \p Changed gets others.
  SeedWatch(aio::Loop &Owner, SettingsReader Reread, LogWriter &Log,
            std::vector<std::string> Known, Handler Changed);
  SeedWatch(const SeedWatch &) = delete;
  SeedWatch &operator=(const SeedWatch &) = delete;

  /// Looks every \p Interval from now on.
  void start(core::Duration Interval);

  /// Looks now and logs the outcome, also when nothing has changed.
  void reload();

private:
  void look(bool Asked);

  aio::Loop &Owner_;
  SettingsReader Reread_;
  LogWriter &Log_;
  std::vector<std::string> Known_;
  Handler Changed_;
  /// The last look failed, which was logged.
  bool Failing_ = false;
};

/// Time between two looks without a signal. Seeds only matter to a host that
/// has lost all its peers, and one look costs a small file.
constexpr core::Duration SeedLookInterval = std::chrono::seconds(5);

} // namespace nutmegwell::sitehost
