#include "nutmegwell/logclient/readercore.h"

#include "nutmegwell/wire/binary.h"

namespace nutmegwell::logclient {

namespace {

bool restart(ReaderState &State, const LogService &Log,
             const ReaderSettings &Settings, const ReaderEvents &Events) {
  auto Start = Events.FindStart_ ? Events.FindStart_()
                                 : findStart(Log, Settings.MaxEntries_);
  if (!Start.ok())
    return false;
  ++State.Restarts_;
  State.Next_ = Start->From_;
  if (Events.OnRestart_)
    Events.OnRestart_(*Start);
  return true;
}

} // namespace

bool readOnce(ReaderState &State, const LogService &Log,
              const ReaderSettings &Settings, const ReaderEvents &Events,
              const core::Clock &Time) {
  const core::TimePoint ReadStartedAt = Time.Now_();
  auto Result = Log.Read_(State.Next_, Settings.MaxEntries_, Settings.Wait_);
  if (!Result.ok()) {
    if (absl::IsOutOfRange(Result.status()) &&
        restart(State, Log, Settings, Events))
      return true;
    ++State.FailedReads_;
    return false;
  }
  for (const LogEntry &Entry : Result->Entries_) {
    auto Decoded = wire::decodeBatch(Entry.Bytes_);
    if (!Decoded.ok())
      ++State.Undecodable_;
    else if (Events.OnBatch_)
      Events.OnBatch_(Entry.At_, *Decoded);
  }
  State.Next_ = Result->Next_;
  if (Result->AtTail_) {
    State.LastTail_ = ReadStartedAt.time_since_epoch();
    if (Events.OnTail_)
      Events.OnTail_(ReadStartedAt);
  }
  return true;
}

} // namespace nutmegwell::logclient
