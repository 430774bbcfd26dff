#include "seedwatch.h"
#include "common.h"
#include "nutmegwell/core/status.h"

namespace nutmegwell::sitehost {

SeedWatch::SeedWatch(aio::Loop &Owner, SettingsReader Reread, LogWriter &Log,
                     std::vector<std::string> Known, Handler Changed)
    : Owner_(Owner), Reread_(std::move(Reread)), Log_(Log),
      Known_(std::move(Known)), Changed_(std::move(Changed)) {}

void SeedWatch::start(core::Duration Interval) {
  Owner_.after(Interval, [this, Interval] {
    look(false);
    start(Interval);
  });
}

void SeedWatch::reload() { look(true); }

void SeedWatch::look(bool Asked) {
  absl::StatusOr<settings::Settings> Fresh = Reread_();
  if (!Fresh.ok()) {
    if (Asked || !Failing_)
      Log_.write(
          {{"reload_failed", {{"error", core::describe(Fresh.status())}}}});
    Failing_ = true;
    return;
  }
  Failing_ = false;
  std::vector<std::string> Seeds = texts(Fresh->addresses("seeds"));
  const bool Changed = Seeds != Known_;
  if (Asked || Changed)
    Log_.write({{"reloaded",
                 {{"seeds", std::to_string(Seeds.size())},
                  {"changed", Changed ? "yes" : "no"},
                  {"by", Asked ? "signal" : "interval"}}}});
  if (!Changed)
    return;
  Known_ = Seeds;
  Changed_(std::move(Seeds));
}

} // namespace nutmegwell::sitehost
