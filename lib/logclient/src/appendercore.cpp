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

AppendOutcome outcomeWithoutResponse(const PendingRecord &Pending) {
  return Pending.Sent_ ? AppendOutcome::Unknown : AppendOutcome::Refused;
}

/// Removes the records of \p From for which \p Predicate returns true.
template <typename Container, typename Function>
void removeRecords(Container &From, Function Predicate) {
  From.erase(std::remove_if(From.begin(), From.end(), Predicate), From.end());
}

void scheduleRetry(AppenderState &State, const core::Random &Jitter,
                   core::TimePoint Now) {
  constexpr unsigned MaxDoublings = 16;
  const unsigned Doublings = std::min(State.Failures_, MaxDoublings);
  ++State.Failures_;
  const core::Duration Full =
      std::min(State.Settings_.BackoffMax_,
               State.Settings_.BackoffMin_ * (1 << Doublings));
  const auto Half = static_cast<std::uint64_t>(Full.count() / 2);
  State.BackoffUntil_ =
      Now + Full - core::Duration(core::randomBelow(Jitter, Half + 1));
}

/// Moves the records in flight back to the front of the queue, in order.
void requeueInFlight(AppenderState &State) {
  State.Queue_.insert(State.Queue_.begin(),
                      std::make_move_iterator(State.Flight_.begin()),
                      std::make_move_iterator(State.Flight_.end()));
  State.Flight_.clear();
  State.Phase_ = AppendPhase::Idle;
}

/// Returns true when the queue holds a full batch or a record that is not
/// deferrable, so that the batch interval does not apply.
bool skipsBatchInterval(const AppenderState &State) {
  return State.Queue_.size() >= State.Settings_.MaxBatchRecords_ ||
         State.Bytes_ >= State.Settings_.MaxBatchBytes_ ||
         std::any_of(State.Queue_.begin(), State.Queue_.end(),
                     [](const PendingRecord &Pending) {
                       return !isDeferrable(Pending.Record_.Body_);
                     });
}

/// Returns the earliest time at which the next append may start.
core::TimePoint nextAppendTime(const AppenderState &State) {
  if (skipsBatchInterval(State))
    return State.BackoffUntil_;
  return std::max(State.BackoffUntil_,
                  State.SentAt_ + State.Settings_.BatchInterval_);
}

/// Returns the time until which the read-back may find \p Pending in the log.
core::TimePoint readBackDeadline(const AppenderState &State,
                                 const PendingRecord &Pending) {
  return std::max(Pending.Deadline_,
                  State.FailedAt_ + State.Settings_.MinReadBackTime_);
}

bool containsRecord(const model::Batch &Batch, const core::RecordId &Id) {
  return std::any_of(
      Batch.begin(), Batch.end(),
      [&Id](const model::Record &Record) { return Record.Id_ == Id; });
}

} // namespace

bool isDeferrable(const model::RecordBody &Body) {
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

absl::Status submit(AppenderState &State, model::Record Record,
                    core::TimePoint Deadline) {
  if (Record.Id_.Writer_ != State.Writer_ ||
      Record.Id_.Sequence_ <= State.LastSequence_)
    return core::makeError(
        absl::StatusCode::kInvalidArgument, "submit", "",
        "the record's id must have this writer and a sequence number "
        "above all earlier ones");
  PendingRecord Pending;
  Pending.Record_ = std::move(Record);
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
  if (State.Phase_ != AppendPhase::Idle || Now < nextAppendTime(State))
    return std::nullopt;
  model::Batch Batch;
  std::size_t Bytes = 0;
  while (!State.Queue_.empty() &&
         Batch.size() < State.Settings_.MaxBatchRecords_) {
    PendingRecord &Next = State.Queue_.front();
    if (!Batch.empty() && Bytes + Next.Bytes_ > State.Settings_.MaxBatchBytes_)
      break;
    Bytes += Next.Bytes_;
    Batch.push_back(Next.Record_);
    State.Flight_.push_back(std::move(Next));
    State.Queue_.pop_front();
  }
  if (Batch.empty())
    return std::nullopt;
  State.Phase_ = AppendPhase::InFlight;
  State.SentAt_ = Now;
  return Batch;
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
    State.Available_ =
        Now - State.SentAt_ < State.Settings_.SlowAppendThreshold_;
    return;
  }
  State.Available_ = false;
  if (core::stepOf(Outcome.status()) == "connect") {
    requeueInFlight(State);
    scheduleRetry(State, Jitter, Now);
    expire(State, Now);
    return;
  }
  for (PendingRecord &Pending : State.Flight_)
    Pending.Sent_ = true;
  State.FailedAt_ = Now;
  State.Phase_ = AppendPhase::ReadBack;
}

void noteBatch(AppenderState &State, core::Offset At,
               const model::Batch &Batch) {
  // A record may be read while its append is in flight. It may also be read
  // when it is queued again, if its append took effect only after the
  // read-back.
  auto Seen = [&](const PendingRecord &Pending) {
    if (!containsRecord(Batch, Pending.Record_.Id_))
      return false;
    report(State, Pending, AppendOutcome::Appended, At);
    return true;
  };
  if (Batch.empty() || Batch.front().Id_.Writer_ != State.Writer_)
    return;
  removeRecords(State.Flight_, Seen);
  removeRecords(State.Queue_, Seen);
}

void noteTail(AppenderState &State, core::TimePoint ReadStartedAt,
              const core::Random &Jitter, core::TimePoint Now) {
  if (State.Phase_ != AppendPhase::ReadBack || ReadStartedAt < State.FailedAt_)
    return;
  requeueInFlight(State);
  scheduleRetry(State, Jitter, Now);
  expire(State, Now);
}

void noteRestart(AppenderState &State, std::uint64_t Applied) {
  auto Skipped = [&](const PendingRecord &Pending) {
    if (Pending.Record_.Id_.Sequence_ > Applied)
      return false;
    report(State, Pending, AppendOutcome::Unknown);
    return true;
  };
  removeRecords(State.Flight_, Skipped);
  removeRecords(State.Queue_, Skipped);
}

void expire(AppenderState &State, core::TimePoint Now) {
  removeRecords(State.Queue_, [&](const PendingRecord &Pending) {
    if (Pending.Deadline_ > Now)
      return false;
    report(State, Pending, outcomeWithoutResponse(Pending));
    return true;
  });
  if (State.Phase_ == AppendPhase::ReadBack)
    removeRecords(State.Flight_, [&](const PendingRecord &Pending) {
      if (readBackDeadline(State, Pending) > Now)
        return false;
      report(State, Pending, AppendOutcome::Unknown);
      return true;
    });
  if (State.Phase_ == AppendPhase::InFlight &&
      Now - State.SentAt_ >= State.Settings_.SlowAppendThreshold_)
    State.Available_ = false;
}

void closeAppender(AppenderState &State) {
  for (const PendingRecord &Pending : State.Flight_)
    report(State, Pending, outcomeWithoutResponse(Pending));
  for (const PendingRecord &Pending : State.Queue_)
    report(State, Pending, outcomeWithoutResponse(Pending));
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
    Consider(nextAppendTime(State));
  if (State.Phase_ == AppendPhase::ReadBack)
    for (const PendingRecord &Pending : State.Flight_)
      Consider(readBackDeadline(State, Pending));
  if (State.Phase_ == AppendPhase::InFlight && State.Available_)
    Consider(State.SentAt_ + State.Settings_.SlowAppendThreshold_);
  return Due;
}

} // namespace nutmegwell::logclient
