#include "nutmegwell/logclient/readercore.h"
#include "nutmegwell/logclient/snapshots.h"
#include "nutmegwell/wire/binary.h"
#include <algorithm>

namespace nutmegwell::logclient {

namespace {

constexpr core::Duration NoWait{0};

/// Returns true if the log has an entry at \p At.
absl::StatusOr<bool> entryExists(const LogService &Log, core::Offset At) {
  auto Result = Log.Read_(At, 1, NoWait);
  if (!Result.ok())
    return Result.status();
  return !Result->Entries_.empty();
}

/// Returns the oldest retained offset.
absl::StatusOr<core::Offset> findFirstRetained(const LogService &Log) {
  auto Result = Log.Read_(0, 1, NoWait);
  if (Result.ok())
    return core::Offset{0};
  if (auto First = firstRetained(Result.status()))
    return *First;
  return Result.status();
}

/// Finds the end of the log by exponential and then binary search. The protocol
/// has no request for the end, and reading all retained entries takes minutes.
absl::StatusOr<core::Offset> findEnd(const LogService &Log,
                                     core::Offset First) {
  core::Offset Low = First;
  core::Offset Step = 1;
  while (true) {
    auto Found = entryExists(Log, Low + Step - 1);
    if (!Found.ok())
      return Found.status();
    if (!*Found)
      break;
    Low += Step;
    Step *= 2;
  }
  // The end is in [Low, Low + Step - 1].
  core::Offset High = Low + Step - 1;
  while (Low < High) {
    const core::Offset Middle = Low + (High - Low) / 2;
    auto Found = entryExists(Log, Middle);
    if (!Found.ok())
      return Found.status();
    if (*Found)
      Low = Middle + 1;
    else
      High = Middle;
  }
  return Low;
}

/// Replaces \p Best if \p Entry has a usable snapshot of a later state.
void updateBestSnapshot(const LogEntry &Entry, core::Offset First,
                        std::optional<StartPoint> &Best) {
  auto Decoded = wire::decodeBatch(Entry.Bytes_);
  if (!Decoded.ok())
    return;
  for (const model::Record &Record : *Decoded) {
    const auto *Snapshot = std::get_if<model::SnapshotTaken>(&Record.Body_);
    if (!Snapshot)
      continue;
    // The offset in the state itself is used. The writer sets
    // LastIncludedOffset_ separately, so it may be wrong.
    auto State = wire::decodeState(Snapshot->State_);
    if (!State.ok() || State->NextOffset_ > Entry.At_ ||
        State->NextOffset_ < First ||
        (Best && Best->From_ >= State->NextOffset_))
      continue;
    const core::Offset From = State->NextOffset_;
    Best = StartPoint{std::move(*State), From, 0, {}, Snapshot->State_.size()};
  }
}

} // namespace

absl::StatusOr<StartPoint> findStart(const LogService &Log,
                                     std::size_t MaxEntries) {
  auto First = findFirstRetained(Log);
  if (!First.ok())
    return First.status();
  auto End = findEnd(Log, *First);
  if (!End.ok())
    return End.status();
  std::optional<StartPoint> Best;
  for (core::Offset To = *End; To > *First && !Best;) {
    const core::Offset From =
        To - *First > MaxEntries ? To - MaxEntries : *First;
    for (core::Offset At = From; At < To;) {
      auto Result = Log.Read_(At, To - At, NoWait);
      if (!Result.ok())
        return Result.status();
      if (Result->Entries_.empty())
        return core::makeError(
            absl::StatusCode::kUnavailable, "read", "",
            "the log returned no entry for an offset below its end");
      for (const LogEntry &Entry : Result->Entries_)
        updateBestSnapshot(Entry, *First, Best);
      At = Result->Next_;
    }
    To = From;
  }
  if (!Best && *First == 0)
    Best = StartPoint();
  if (Best) {
    Best->End_ = *End;
    return *Best;
  }
  return core::makeError(
      absl::StatusCode::kNotFound, "find snapshot", "",
      "no usable snapshot is retained, and the log does not start "
      "at offset 0");
}

absl::StatusOr<StartPoint> findBestStart(const LogService &Log,
                                         std::size_t MaxEntries,
                                         const StartPeers &Peers) {
  StartSources Sources;
  // Must be read before the log, since the peers keep advancing meanwhile.
  Sources.AtLeast_ = Peers.AtLeast_();
  auto Found = findStart(Log, MaxEntries);
  if (Found.ok()) {
    Sources.LogReadable_ = true;
    Sources.LogNextOffset_ = Found->End_;
  } else if (absl::IsNotFound(Found.status())) {
    auto First = findFirstRetained(Log);
    if (!First.ok())
      return First.status();
    Sources.LogReadable_ = true;
    Sources.First_ = *First;
  }
  if (chooseStart(Sources).Kind_ == StartKind::Log)
    return Found;
  auto States = Peers.States_(std::max(Sources.First_, Sources.AtLeast_));
  for (const auto &[Name, State] : States)
    Sources.Peers_.push_back({Name, State.NextOffset_});
  const StartChoice Choice = chooseStart(Sources);
  if (Choice.Kind_ == StartKind::Peer) {
    model::ControlState &State = States.at(Choice.Peer_);
    const core::Offset From = State.NextOffset_;
    return StartPoint{std::move(State), From, 0, Choice.Peer_};
  }
  if (!Found.ok())
    return Found.status();
  return core::makeError(
      absl::StatusCode::kNotFound, "find start", "",
      "the log ends below an offset that this host or a peer has "
      "applied, and no peer has sent a state that is new enough");
}

} // namespace nutmegwell::logclient
