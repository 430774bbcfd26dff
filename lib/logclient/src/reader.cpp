#include "nutmegwell/logclient/reader.h"

#include <algorithm>

namespace nutmegwell::logclient {

Reader::Reader(LogService Log, core::Offset From,
               const ReaderSettings &Settings, ReaderEvents Events,
               core::Clock Time, core::Random Jitter)
    : Log_(std::move(Log)), Settings_(Settings), Events_(std::move(Events)),
      Time_(std::move(Time)), Jitter_(std::move(Jitter)), State_(From) {
  Thread_ = std::thread([this] { run(); });
}

Reader::~Reader() { stop(); }

void Reader::stop() {
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Stopping_ = true;
  }
  Changed_.notify_all();
  if (Thread_.joinable())
    Thread_.join();
}

void Reader::run() {
  core::Duration Pause = Settings_.BackoffMin_;
  while (true) {
    {
      std::lock_guard<std::mutex> Lock(Mutex_);
      if (Stopping_)
        return;
    }
    if (readOnce(State_, Log_, Settings_, Events_, Time_)) {
      Pause = Settings_.BackoffMin_;
      continue;
    }
    backOff(Pause);
    Pause = std::min(Pause * 2, Settings_.BackoffMax_);
  }
}

void Reader::backOff(core::Duration Pause) {
  const auto Half = static_cast<std::uint64_t>(Pause.count() / 2);
  const core::Duration Jittered =
      Pause - core::Duration(core::randomBelow(Jitter_, Half + 1));
  std::unique_lock<std::mutex> Lock(Mutex_);
  Changed_.wait_for(Lock, Jittered, [this] { return Stopping_; });
}

} // namespace nutmegwell::logclient
