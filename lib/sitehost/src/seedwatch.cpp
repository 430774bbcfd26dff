#include "seedwatch.h"
#include "common.h"
#include "nutmegwell/core/status.h"

namespace nutmegwell::sitehost {

SeedWatch::SeedWatch(aio::Loop &Owner, SettingsReader Reread, LogWriter &Log,
                     std::vector<std::string> Seeds, Handler Changed)
    : Owner_(Owner), Reread_(std::move(Reread)), Log_(Log),
      Seeds_(std::move(Seeds)), OnChange_(std::move(Changed)) {}

void SeedWatch::start(core::Duration Interval) {
  Owner_.after(Interval, [this, Interval] {
    check(false);
    start(Interval);
  });
}

void SeedWatch::reload() { check(true); }

void SeedWatch::check(bool Requested) {
  absl::StatusOr<settings::Settings> Current = Reread_();
  if (!Current.ok()) {
    if (Requested || !LastCheckFailed_)
      Log_.write(
          {{"reload_failed", {{"error", core::describe(Current.status())}}}});
    LastCheckFailed_ = true;
    return;
  }
  LastCheckFailed_ = false;
  std::vector<std::string> Seeds = toStrings(Current->addresses("seeds"));
  const bool Changed = Seeds != Seeds_;
  if (Requested || Changed)
    Log_.write({{"reloaded",
                 {{"seeds", std::to_string(Seeds.size())},
                  {"changed", Changed ? "yes" : "no"},
                  {"by", Requested ? "signal" : "interval"}}}});
  if (!Changed)
    return;
  Seeds_ = Seeds;
  OnChange_(std::move(Seeds));
}

} // namespace nutmegwell::sitehost
