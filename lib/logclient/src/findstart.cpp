#include "nutmegwell/logclient/readercore.h"
#include "nutmegwell/logclient/snapshots.h"
#include "nutmegwell/wire/binary.h"
#include <algorithm>

namespace nutmegwell::logclient {

namespace {

constexpr core::Duration NoWait{0};

/// Returns true when there is an entry at \p At.
absl::StatusOr<bool> exists(const LogService &Log, core::Offset At) {
  auto Result = Log.Read_(At, 1, NoWait);
  if (!Result.ok())
    return Result.status();
  return !Result->Entries_.empty();
}

/// Returns the oldest retained offset.
absl::StatusOr<core::Offset> findFirst(const LogService &Log) {
  auto Result = Log.Read_(0, 1, NoWait);
  if (Result.ok())
    return core::Offset{0};
  if (auto First = firstRetained(Result.status()))
    return *First;
  return Result.status();
}

/// Returns the end of the log, found by doubling steps and bisection: the
/// protocol tells no end, and reading everything retained takes minutes.
absl::StatusOr<core::Offset> findEnd(const LogService &Log,
                                     core::Offset First) {
  core::Offset Low = First;
  core::Offset Step = 1;
  while (true) {
    auto Found = exists(Log, Low + Step - 1);
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
    auto Found = exists(Log, Middle);
    if (!Found.ok())
      return Found.status();
    if (*Found)
      Low = Middle + 1;
    else
      High = Middle;
  }
  return Low;
}

/// Replaces \p Best when \p Bytes holds a later usable snapshot.
void considerEntry(const LogEntry &Entry, core::Offset First,
                   std::optional<StartPoint> &Best) {
  auto Decoded = wire::decodeBatch(Entry.Bytes_);
  if (!Decoded.ok())
    return;
  for (const model::Record &Change : *Decoded) {
    const auto *Snapshot = std::get_if<model::SnapshotTaken>(&Change.Body_);
    if (!Snapshot)
      continue;
    // What the state says of itself counts: LastIncludedOffset_ is a claim of
    // the writer.
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
  auto First = findFirst(Log);
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
        return core::makeError(absl::StatusCode::kUnavailable, "read", "",
                               "entries below the end are missing");
      for (const LogEntry &Entry : Result->Entries_)
        considerEntry(Entry, *First, Best);
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
  return core::makeError(absl::StatusCode::kNotFound, "find snapshot", "",
                         "no usable snapshot is retained");
}

absl::StatusOr<StartPoint> findBestStart(const LogService &Log,
                                         std::size_t MaxEntries,
                                         const StartPeers &Peers) {
  StartSources Sources;
  // Asked before the log is read: peers read on meanwhile.
  Sources.AtLeast_ = Peers.AtLeast_();
  auto Found = findStart(Log, MaxEntries);
  if (Found.ok()) {
    Sources.LogRead_ = true;
    Sources.LogNext_ = Found->End_;
  } else if (absl::IsNotFound(Found.status())) {
    auto First = findFirst(Log);
    if (!First.ok())
      return First.status();
    Sources.LogRead_ = true;
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
  return core::makeError(absl::StatusCode::kNotFound, "find start", "",
                         "the log ends below what a peer has applied");
}

} // namespace nutmegwell::logclient
