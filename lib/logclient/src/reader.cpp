#include "nutmegwell/logclient/reader.h"

#include "nutmegwell/wire/binary.h"
#include <algorithm>

namespace nutmegwell::logclient {

Reader::Reader(LogService Log, core::Offset From,
               const ReaderSettings &Settings, ReaderEvents Events,
               core::Clock Time, core::Random Jitter)
    : Log_(std::move(Log)), Settings_(Settings), Events_(std::move(Events)),
      Time_(std::move(Time)), Jitter_(std::move(Jitter)), Next_(From) {
  Thread_ = std::thread([this] { run(); });
}

Reader::~Reader() { stop(); }

core::TimePoint Reader::lastTail() const {
  return core::TimePoint(core::Duration(LastTail_.load()));
}

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
    if (readOnce()) {
      Pause = Settings_.BackoffMin_;
      continue;
    }
    ++FailedReads_;
    pauseFor(Pause);
    Pause = std::min(Pause * 2, Settings_.BackoffMax_);
  }
}

bool Reader::readOnce() {
  const core::TimePoint Began = Time_.Now_();
  auto Result = Log_.Read_(Next_, Settings_.MaxEntries_, Settings_.Wait_);
  if (!Result.ok())
    return absl::IsOutOfRange(Result.status()) && restart();
  for (const LogEntry &Entry : Result->Entries_) {
    auto Decoded = wire::decodeBatch(Entry.Bytes_);
    if (!Decoded.ok())
      ++Undecodable_;
    else if (Events_.OnBatch_)
      Events_.OnBatch_(Entry.At_, *Decoded);
  }
  Next_ = Result->Next_;
  if (Result->AtTail_) {
    LastTail_ = Began.time_since_epoch().count();
    if (Events_.OnTail_)
      Events_.OnTail_(Began);
  }
  return true;
}

bool Reader::restart() {
  auto Start = findStart(Log_, Settings_.MaxEntries_);
  if (!Start.ok())
    return false;
  ++Restarts_;
  Next_ = Start->From_;
  if (Events_.OnRestart_)
    Events_.OnRestart_(*Start);
  return true;
}

void Reader::pauseFor(core::Duration Pause) {
  const auto Half = static_cast<std::uint64_t>(Pause.count() / 2);
  const core::Duration Jittered =
      Pause - core::Duration(core::below(Jitter_, Half + 1));
  std::unique_lock<std::mutex> Lock(Mutex_);
  Changed_.wait_for(Lock, Jittered, [this] { return Stopping_; });
}

} // namespace nutmegwell::logclient
