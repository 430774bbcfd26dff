#include "nutmegwell/logclient/appendercore.h"

#include "nutmegwell/wire/binary.h"
#include <algorithm>
#include <iterator>

namespace nutmegwell::logclient {

namespace {

void report(AppenderState &State, const PendingRecord &Pending,
            AppendOutcome Outcome, core::Offset At = 0) {
  State.Bytes_ -= Pending.Bytes_;
  State.Reports_.push_back({Pending.Record_.Id_, Outcome, At});
}

AppendOutcome outcomeWithoutAnswer(const PendingRecord &Pending) {
  return Pending.Sent_ ? AppendOutcome::InDoubt : AppendOutcome::Refused;
}

/// Removes the records of \p From that \p Chosen selects.
template <typename Container, typename Function>
void removeIf(Container &From, Function Chosen) {
  From.erase(std::remove_if(From.begin(), From.end(), Chosen), From.end());
}

void backOff(AppenderState &State, const core::Random &Jitter,
             core::TimePoint Now) {
  constexpr unsigned MaxDoublings = 16;
  const unsigned Doublings = std::min(State.Failures_, MaxDoublings);
  ++State.Failures_;
  const core::Duration Full =
      std::min(State.Settings_.BackoffMax_,
               State.Settings_.BackoffMin_ * (1 << Doublings));
  const auto Half = static_cast<std::uint64_t>(Full.count() / 2);
  State.NotBefore_ =
      Now + Full - core::Duration(core::randomBelow(Jitter, Half + 1));
}

/// Puts the records of the last append back at the front, in order.
void requeueFlight(AppenderState &State) {
  State.Queue_.insert(State.Queue_.begin(),
                      std::make_move_iterator(State.Flight_.begin()),
                      std::make_move_iterator(State.Flight_.end()));
  State.Flight_.clear();
  State.Phase_ = AppendPhase::Idle;
}

/// Returns true when the queue holds a full batch or a record that may not
/// wait.
bool hurries(const AppenderState &State) {
  return State.Queue_.size() >= State.Settings_.MaxBatchRecords_ ||
         State.Bytes_ >= State.Settings_.MaxBatchBytes_ ||
         std::any_of(State.Queue_.begin(), State.Queue_.end(),
                     [](const PendingRecord &Pending) {
                       return !mayWait(Pending.Record_.Body_);
                     });
}

/// Returns when the next batch may start.
core::TimePoint nextBatch(const AppenderState &State) {
  if (hurries(State))
    return State.NotBefore_;
  return std::max(State.NotBefore_,
                  State.SentAt_ + State.Settings_.BatchInterval_);
}

/// Time until which the read-back may decide on \p Pending.
core::TimePoint doubtUntil(const AppenderState &State,
                           const PendingRecord &Pending) {
  return std::max(Pending.Deadline_,
                  State.FailedAt_ + State.Settings_.ReadBack_);
}

bool contains(const model::Batch &Entry, const core::RecordId &Id) {
  return std::any_of(
      Entry.begin(), Entry.end(),
      [&Id](const model::Record &Change) { return Change.Id_ == Id; });
}

} // namespace

bool mayWait(const model::RecordBody &Body) {
  return std::holds_alternative<model::CellRenewed>(Body) ||
         std::holds_alternative<model::IntentRecorded>(Body) ||
         std::holds_alternative<model::IntentReleased>(Body) ||
         std::holds_alternative<model::IntentSettled>(Body) ||
         std::holds_alternative<model::SnapshotTaken>(Body);
}

absl::StatusOr<core::RecordId>
submit(AppenderState &State, model::RecordBody Body, core::TimePoint Deadline) {
  core::RecordId Id{State.Writer_, State.LastSequence_ + 1};
  absl::Status Queued =
      submit(State, model::Record{Id, std::move(Body)}, Deadline);
  if (!Queued.ok())
    return Queued;
  return Id;
}

absl::Status submit(AppenderState &State, model::Record Change,
                    core::TimePoint Deadline) {
  if (Change.Id_.Writer_ != State.Writer_ ||
      Change.Id_.Sequence_ <= State.LastSequence_)
    return core::makeError(absl::StatusCode::kInvalidArgument, "submit", "",
                           "the record's id is out of order");
  PendingRecord Pending;
  Pending.Record_ = std::move(Change);
  Pending.Bytes_ = wire::encode(model::Batch{Pending.Record_}).size();
  Pending.Deadline_ = Deadline;
  const std::size_t Count = State.Queue_.size() + State.Flight_.size();
  if (Count >= State.Settings_.MaxQueued_ ||
      State.Bytes_ + Pending.Bytes_ > State.Settings_.MaxQueuedBytes_)
    return core::makeError(absl::StatusCode::kResourceExhausted, "submit", "",
                           "the append queue is full");
  State.LastSequence_ = Pending.Record_.Id_.Sequence_;
  State.Bytes_ += Pending.Bytes_;
  State.Queue_.push_back(std::move(Pending));
  return absl::OkStatus();
}

std::optional<model::Batch> startAppend(AppenderState &State,
                                        core::TimePoint Now) {
  expire(State, Now);
  if (State.Phase_ != AppendPhase::Idle || Now < nextBatch(State))
    return std::nullopt;
  model::Batch Entry;
  std::size_t Bytes = 0;
  while (!State.Queue_.empty() &&
         Entry.size() < State.Settings_.MaxBatchRecords_) {
    PendingRecord &Next = State.Queue_.front();
    if (!Entry.empty() && Bytes + Next.Bytes_ > State.Settings_.MaxBatchBytes_)
      break;
    Bytes += Next.Bytes_;
    Entry.push_back(Next.Record_);
    State.Flight_.push_back(std::move(Next));
    State.Queue_.pop_front();
  }
  if (Entry.empty())
    return std::nullopt;
  State.Phase_ = AppendPhase::InFlight;
  State.SentAt_ = Now;
  return Entry;
}

void finishAppend(AppenderState &State,
                  const absl::StatusOr<core::Offset> &Outcome,
                  const core::Random &Jitter, core::TimePoint Now) {
  if (Outcome.ok()) {
    for (const PendingRecord &Pending : State.Flight_)
      report(State, Pending, AppendOutcome::Appended, *Outcome);
    State.Flight_.clear();
    State.Phase_ = AppendPhase::Idle;
    State.Failures_ = 0;
    State.Available_ = Now - State.SentAt_ < State.Settings_.SlowAnswer_;
    return;
  }
  State.Available_ = false;
  if (core::stepOf(Outcome.status()) == "connect") {
    requeueFlight(State);
    backOff(State, Jitter, Now);
    expire(State, Now);
    return;
  }
  for (PendingRecord &Pending : State.Flight_)
    Pending.Sent_ = true;
  State.FailedAt_ = Now;
  State.Phase_ = AppendPhase::ReadBack;
}

void noteBatch(AppenderState &State, core::Offset At,
               const model::Batch &Entry) {
  // A record can be seen while its append is in flight, or after it was put
  // back because an earlier read-back ended before a late append took effect.
  auto Seen = [&](const PendingRecord &Pending) {
    if (!contains(Entry, Pending.Record_.Id_))
      return false;
    report(State, Pending, AppendOutcome::Appended, At);
    return true;
  };
  if (Entry.empty() || Entry.front().Id_.Writer_ != State.Writer_)
    return;
  removeIf(State.Flight_, Seen);
  removeIf(State.Queue_, Seen);
}

void noteTail(AppenderState &State, core::TimePoint ReadBegan,
              const core::Random &Jitter, core::TimePoint Now) {
  if (State.Phase_ != AppendPhase::ReadBack || ReadBegan < State.FailedAt_)
    return;
  requeueFlight(State);
  backOff(State, Jitter, Now);
  expire(State, Now);
}

void noteRestart(AppenderState &State, std::uint64_t Applied) {
  auto Skipped = [&](const PendingRecord &Pending) {
    if (Pending.Record_.Id_.Sequence_ > Applied)
      return false;
    report(State, Pending, AppendOutcome::InDoubt);
    return true;
  };
  removeIf(State.Flight_, Skipped);
  removeIf(State.Queue_, Skipped);
}

void expire(AppenderState &State, core::TimePoint Now) {
  removeIf(State.Queue_, [&](const PendingRecord &Pending) {
    if (Pending.Deadline_ > Now)
      return false;
    report(State, Pending, outcomeWithoutAnswer(Pending));
    return true;
  });
  if (State.Phase_ == AppendPhase::ReadBack)
    removeIf(State.Flight_, [&](const PendingRecord &Pending) {
      if (doubtUntil(State, Pending) > Now)
        return false;
      report(State, Pending, AppendOutcome::InDoubt);
      return true;
    });
  if (State.Phase_ == AppendPhase::InFlight &&
      Now - State.SentAt_ >= State.Settings_.SlowAnswer_)
    State.Available_ = false;
}

void abandon(AppenderState &State) {
  for (const PendingRecord &Pending : State.Flight_)
    report(State, Pending, outcomeWithoutAnswer(Pending));
  for (const PendingRecord &Pending : State.Queue_)
    report(State, Pending, outcomeWithoutAnswer(Pending));
  State.Flight_.clear();
  State.Queue_.clear();
  State.Settings_.MaxQueued_ = 0;
}

std::optional<core::TimePoint> nextDue(const AppenderState &State) {
  std::optional<core::TimePoint> Due;
  auto Consider = [&Due](core::TimePoint At) {
    if (!Due || At < *Due)
      Due = At;
  };
  for (const PendingRecord &Pending : State.Queue_)
    Consider(Pending.Deadline_);
  if (State.Phase_ == AppendPhase::Idle && !State.Queue_.empty())
    Consider(nextBatch(State));
  if (State.Phase_ == AppendPhase::ReadBack)
    for (const PendingRecord &Pending : State.Flight_)
      Consider(doubtUntil(State, Pending));
  if (State.Phase_ == AppendPhase::InFlight && State.Available_)
    Consider(State.SentAt_ + State.Settings_.SlowAnswer_);
  return Due;
}

} // namespace nutmegwell::logclient
