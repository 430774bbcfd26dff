#include "agentparts.h"
#include <algorithm>

namespace nutmegwell::site {

namespace {

std::optional<std::int64_t> bornOf(const AgentState &State) {
  if (!State.Worker_)
    return std::nullopt;
  return State.Worker_->WorkerIncarnation_;
}

/// Removes the pending starts whose outcome the listed runs show.
void settlePending(AgentState &State, const AgentPolicy &Policy) {
  const auto Margin =
      std::chrono::duration_cast<WorkerTime>(Policy.LateMargin_);
  for (auto It = State.Pending_.begin(); It != State.Pending_.end();) {
    const AgentState::Pending &Start = It->second;
    const bool Shown = Start.Answered_ && State.ListedAt_ > Start.ShownFrom_;
    const bool Over =
        !Start.Fencing_ && State.ListedAt_ > Start.Deadline_ + Margin;
    const bool Listed =
        std::any_of(State.Running_.begin(), State.Running_.end(),
                    [&](const auto &Task) { return Task.Id_ == It->first; }) ||
        std::any_of(State.Ended_.begin(), State.Ended_.end(),
                    [&](const auto &End) { return End.Id_ == It->first; });
    if (!Shown && !Over && !Listed) {
      ++It;
      continue;
    }
    It = State.Pending_.erase(It);
    State.ReportNeeded_ = true;
  }
}

bool sameRuns(const std::vector<cell::RunningTask> &A,
              const std::vector<cell::RunningTask> &B) {
  return A.size() == B.size() && std::equal(A.begin(), A.end(), B.begin(),
                                            [](const auto &X, const auto &Y) {
                                              return X.Id_ == Y.Id_;
                                            });
}

void takeLists(AgentState &State, const PollCall &Look,
               const WorkerResponse &Answer) {
  // Responses on different connections can arrive out of order.
  if (!Answer.WorkerClock_ || *Answer.WorkerClock_ < State.ListedAt_)
    return;
  const std::uint64_t LastEnd =
      State.Ended_.empty() ? 0 : State.Ended_.back().Number_;
  State.ListedAt_ = *Answer.WorkerClock_;
  State.ReportNeeded_ |= !sameRuns(State.Running_, Answer.Runs_->Running_);
  State.Running_ = Answer.Runs_->Running_;
  State.Ended_ = Answer.Runs_->Ended_;
  if (!State.Ended_.empty() && State.Ended_.back().Number_ > LastEnd)
    State.ReportNeeded_ = true;
  if (Look.Term_ == State.Term_ && State.SyncedTerm_ != Look.Term_) {
    State.SyncedTerm_ = Look.Term_;
    State.ReportNeeded_ = true;
  }
  settlePending(State, State.Settings_.Policy_);
}

void noteStart(AgentState &State, const StartCall &Call,
               const WorkerResponse &Answer, core::TimePoint Now,
               AgentEffects &Out) {
  auto It = State.Pending_.find(Call.Order_.Id_);
  if (It == State.Pending_.end())
    return;
  if (!Answer.Answered_) {
    Out.LogEvents_.push_back(
        {"start_unanswered",
         {{"task", toString(Call.Order_.Id_.Task_)},
          {"run", std::to_string(Call.Order_.Id_.Run_)},
          {"deadline_worker_ms", std::to_string(Call.Deadline_.count())},
          {"error", Answer.Error_}}});
    return;
  }
  State.ReportNeeded_ = true;
  if (Answer.Refusal_) {
    State.Refused_.push_back({Call.Order_.Id_, *Answer.Refusal_});
    State.Pending_.erase(It);
    Out.LogEvents_.push_back({"start_refused",
                              {{"task", toString(Call.Order_.Id_.Task_)},
                               {"run", std::to_string(Call.Order_.Id_.Run_)},
                               {"reason", cell::name(*Answer.Refusal_)}}});
    return;
  }
  It->second.Answered_ = true;
  State.NextPollAt_ = Now;
  It->second.ShownFrom_ = Answer.WorkerClock_.value_or(It->second.Deadline_);
}

void noteStop(AgentState &State, const StopCall &Call,
              const WorkerResponse &Answer, core::TimePoint Now) {
  auto It = State.Pending_.find(Call.Id_);
  if (It == State.Pending_.end() || !It->second.Fencing_ || !Answer.Answered_ ||
      Answer.Refusal_ || !Answer.WorkerClock_)
    return;
  It->second.Answered_ = true;
  It->second.ShownFrom_ = *Answer.WorkerClock_;
  State.NextPollAt_ = Now;
}

/// Discards the state of an earlier incarnation of the worker. Pending starts
/// stay, since one that was sent after the new incarnation began and before it
/// announced itself runs there.
void forgetWorker(AgentState &State) {
  State.WorkerClock_.reset();
  State.ListedAt_ = WorkerTime(0);
  State.Running_.clear();
  State.Ended_.clear();
  State.Refused_.clear();
  State.AcknowledgedUpTo_ = 0;
  State.SyncedTerm_ = 0;
  State.Calls_.clear();
  State.PollInFlight_ = 0;
  State.WorkerFailing_ = false;
  State.Superseded_ = false;
  for (auto &[Id, Start] : State.Pending_) {
    Start.Fencing_ = true;
    Start.Answered_ = false;
    Start.NextFenceAt_ = {};
  }
}

} // namespace

void callWorker(AgentState &State, decltype(WorkerCall::Body_) Body,
                core::Duration Timeout, AgentEffects &Out) {
  WorkerCall Call;
  Call.Id_ = State.NextCall_++;
  Call.WorkerId_ = State.Worker_ ? State.Worker_->Id_ : "";
  Call.Body_ = std::move(Body);
  Call.Timeout_ = Timeout;
  State.Calls_[Call.Id_] = Call;
  Out.Calls_.push_back(std::move(Call));
}

std::optional<WorkerTime> workerClockAt(const AgentState &State,
                                        core::TimePoint When) {
  if (!State.WorkerClock_)
    return std::nullopt;
  return State.WorkerClock_->first + std::chrono::duration_cast<WorkerTime>(
                                         When - State.WorkerClock_->second);
}

void onWorkerAnnounced(AgentState &State, const WorkerAnnouncement &Value,
                       core::TimePoint Now, AgentEffects &Out) {
  const bool NewLife = !State.Worker_ || State.Worker_->WorkerIncarnation_ !=
                                             Value.Info_.WorkerIncarnation_;
  if (NewLife && State.Worker_ &&
      Value.Info_.WorkerIncarnation_ < State.Worker_->WorkerIncarnation_)
    return;
  if (!NewLife && Value.Sequence_ <= State.AnnouncedSequence_)
    return;
  if (NewLife) {
    forgetWorker(State);
    Out.LogEvents_.push_back(
        {"worker_announced",
         {{"worker", Value.Info_.Id_},
          {"born", std::to_string(Value.Info_.WorkerIncarnation_)},
          {"sequence", std::to_string(Value.Sequence_)}}});
  } else if (Value.Info_.Draining_ && !State.Worker_->Draining_) {
    Out.LogEvents_.push_back({"worker_draining",
                              {{"worker", Value.Info_.Id_},
                               {"sequence", std::to_string(Value.Sequence_)}}});
    State.ReportNeeded_ = true;
  }
  State.ReportNeeded_ |= NewLife;
  State.AnnouncedSequence_ = Value.Sequence_;
  State.Worker_ = Value.Info_;
  State.WorkerClock_ = {Value.WorkerClock_, Now};
}

void onWorkerLeft(AgentState &State, const std::string &Worker,
                  AgentEffects &Out) {
  if (!State.Worker_ || State.Worker_->Id_ != Worker)
    return;
  Out.LogEvents_.push_back({"worker_left", {{"worker", Worker}}});
  State.Worker_->Draining_ = true;
  State.ReportNeeded_ = true;
}

void onWorkerResponse(AgentState &State, const WorkerResponse &Answer,
                      core::TimePoint Now, AgentEffects &Out) {
  auto It = State.Calls_.find(Answer.Id_);
  if (It == State.Calls_.end())
    return;
  const WorkerCall Call = std::move(It->second);
  State.Calls_.erase(It);
  const auto *Look = std::get_if<PollCall>(&Call.Body_);
  if (Look && Call.Id_ == State.PollInFlight_) {
    State.PollInFlight_ = 0;
    State.NextPollAt_ = Answer.Answered_ && Look->Wait_ > core::Duration(0)
                            ? Now
                            : Now + State.Settings_.Policy_.PollInterval_;
  }
  if (Look && Answer.Answered_ == State.WorkerFailing_) {
    State.WorkerFailing_ = !Answer.Answered_;
    State.ReportNeeded_ = true;
    Out.LogEvents_.push_back(
        {Answer.Answered_ ? "worker_regained" : "worker_lost",
         {{"worker", Call.WorkerId_}, {"error", Answer.Error_}}});
  }
  // A response of an incarnation that has not announced itself must not change
  // the state of the one that has.
  const bool Foreign = Answer.WorkerIncarnation_ != 0 && bornOf(State) &&
                       Answer.WorkerIncarnation_ != *bornOf(State);
  if (Foreign) {
    State.Superseded_ |= Answer.WorkerIncarnation_ > *bornOf(State);
    return;
  }
  if (Answer.WorkerClock_ &&
      (!State.WorkerClock_ ||
       *Answer.WorkerClock_ >= State.WorkerClock_->first))
    State.WorkerClock_ = {*Answer.WorkerClock_, Now};
  if (Look && Answer.Runs_)
    takeLists(State, *Look, Answer);
  if (const auto *Start = std::get_if<StartCall>(&Call.Body_))
    noteStart(State, *Start, Answer, Now, Out);
  else if (const auto *Stop = std::get_if<StopCall>(&Call.Body_))
    noteStop(State, *Stop, Answer, Now);
}

void fencePending(AgentState &State, core::TimePoint Now, AgentEffects &Out) {
  const core::Duration Repeat = State.Settings_.Policy_.OrderTimeout_;
  for (auto &[Id, Start] : State.Pending_) {
    if (!Start.Fencing_ || Start.Answered_)
      continue;
    if (Now >= Start.NextFenceAt_) {
      Start.NextFenceAt_ = Now + Repeat;
      callWorker(State, StopCall{Id, State.Term_}, Repeat, Out);
      Out.LogEvents_.push_back(
          {"start_fenced",
           {{"task", toString(Id.Task_)}, {"run", std::to_string(Id.Run_)}}});
    }
    Out.WakeAt_ = std::min(Out.WakeAt_, Start.NextFenceAt_);
  }
}

void lookAtWorker(AgentState &State, core::TimePoint Now, AgentEffects &Out) {
  const AgentPolicy &Policy = State.Settings_.Policy_;
  if (!State.Worker_ || State.PollInFlight_ != 0)
    return;
  if (Now < State.NextPollAt_) {
    Out.WakeAt_ = std::min(Out.WakeAt_, State.NextPollAt_);
    return;
  }
  PollCall Look;
  Look.Term_ = State.Term_;
  // A new incarnation numbers its ended runs from the start again. Only listed
  // ones are acknowledged, so that the acknowledgement covers none of an
  // incarnation that has not announced itself yet.
  const bool Acknowledges =
      !State.Ended_.empty() &&
      State.Ended_.front().Number_ <= State.AcknowledgedUpTo_;
  Look.AcknowledgedUpTo_ =
      Acknowledges && !State.Superseded_ ? State.AcknowledgedUpTo_ : 0;
  if (State.Granted_ && State.GrantEnds_ > Now && !State.WorkerFailing_)
    Look.LeaseUntil_ = workerClockAt(State, State.GrantEnds_);
  // The worker answers at once while it lists unacknowledged ended runs.
  const bool Unacknowledged =
      !State.Ended_.empty() &&
      State.Ended_.back().Number_ > State.AcknowledgedUpTo_;
  const bool Settled = !Unacknowledged && State.Pending_.empty() &&
                       State.SyncedTerm_ == State.Term_;
  Look.Wait_ = Settled ? Policy.PollWait_ : core::Duration(0);
  State.PollInFlight_ = State.NextCall_;
  callWorker(State, Look, Policy.PollTimeout_, Out);
}

} // namespace nutmegwell::site
