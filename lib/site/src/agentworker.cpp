#include "agentsteps.h"
#include <algorithm>
#include <utility>

namespace nutmegwell::site {

namespace {

std::optional<std::int64_t> workerIncarnation(const AgentState &State) {
  if (!State.Worker_)
    return std::nullopt;
  return State.Worker_->WorkerIncarnation_;
}

/// Removes the pending starts whose outcome the listed runs show.
void resolvePendingStarts(AgentState &State, const AgentPolicy &Policy) {
  const auto Margin =
      std::chrono::duration_cast<WorkerTime>(Policy.LateMargin_);
  for (auto It = State.Pending_.begin(); It != State.Pending_.end();) {
    const AgentState::Pending &Start = It->second;
    const bool Shown =
        Start.Answered_ && State.RunsListedAt_ > Start.ListedAfter_;
    const bool Expired =
        !Start.Fencing_ && State.RunsListedAt_ > Start.Deadline_ + Margin;
    const bool Listed =
        std::any_of(State.Running_.begin(), State.Running_.end(),
                    [&](const auto &Task) { return Task.Id_ == It->first; }) ||
        std::any_of(State.Ended_.begin(), State.Ended_.end(),
                    [&](const auto &End) { return End.Id_ == It->first; });
    if (!Shown && !Expired && !Listed) {
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

void applyRuns(AgentState &State, const PollCall &Poll,
               const WorkerResponse &Response) {
  // Responses on different connections can arrive out of order.
  if (!Response.WorkerClock_ || *Response.WorkerClock_ < State.RunsListedAt_)
    return;
  const std::uint64_t LastEnd =
      State.Ended_.empty() ? 0 : State.Ended_.back().Number_;
  State.RunsListedAt_ = *Response.WorkerClock_;
  State.ReportNeeded_ |= !sameRuns(State.Running_, Response.Runs_->Running_);
  State.Running_ = Response.Runs_->Running_;
  State.Ended_ = Response.Runs_->Ended_;
  State.ReportNeeded_ |= State.EndsComplete_ != Response.Runs_->EndsComplete_;
  State.EndsComplete_ = Response.Runs_->EndsComplete_;
  if (!State.Ended_.empty() && State.Ended_.back().Number_ > LastEnd)
    State.ReportNeeded_ = true;
  if (Poll.Term_ == State.Term_ && State.SyncedTerm_ != Poll.Term_) {
    State.SyncedTerm_ = Poll.Term_;
    State.ReportNeeded_ = true;
  }
  resolvePendingStarts(State, State.Settings_.Policy_);
}

/// Returns true when an unanswered start may be sent again. The worker may have
/// carried it out, or may still do so: the run number makes it one start, and
/// the deadline is that of the first call.
bool mayRepeatStart(const AgentState &State, const StartCall &Call,
                    const AgentState::Pending &Start, core::TimePoint Now) {
  const auto Clock = workerClockAt(State, Now);
  return !Start.Fencing_ && !Start.StopOrdered_ && Clock &&
         *Clock < Call.Deadline_ && Call.Term_ == State.Term_ &&
         State.Granted_ && Now < State.GrantEnds_ && State.Worker_ &&
         !State.Worker_->Draining_ && !State.Superseded_;
}

void onStartResponse(AgentState &State, const StartCall &Call,
                     const WorkerResponse &Response, core::TimePoint Now,
                     AgentEffects &Out) {
  if (!Response.Answered_ && !Response.ConnectionRefused_)
    State.LateStarts_[Call.Order_.Id_] =
        Now + State.Settings_.Policy_.MaxCallDelay_;
  auto It = State.Pending_.find(Call.Order_.Id_);
  if (It == State.Pending_.end())
    return;
  if (!Response.Answered_) {
    Out.LogEvents_.push_back(
        {"start_unanswered",
         {{"task", toString(Call.Order_.Id_.Task_)},
          {"run", std::to_string(Call.Order_.Id_.Run_)},
          {"deadline_worker_ms", std::to_string(Call.Deadline_.count())},
          {"error", Response.Error_}}});
    It->second.Repeat_ = Call;
    return;
  }
  State.ReportNeeded_ = true;
  const bool EndedThere = Response.Refusal_ == cell::RefusalKind::SupersededRun;
  // An earlier call may still start the run until its deadline, unless the run
  // has ended already, which the next listing shows.
  if (It->second.Repeated_ && Response.Refusal_ && !EndedThere)
    return;
  if (Response.Refusal_ && !It->second.Repeated_) {
    State.Refused_.push_back({Call.Order_.Id_, *Response.Refusal_});
    State.Pending_.erase(It);
    Out.LogEvents_.push_back({"start_refused",
                              {{"task", toString(Call.Order_.Id_.Task_)},
                               {"run", std::to_string(Call.Order_.Id_.Run_)},
                               {"reason", cell::name(*Response.Refusal_)}}});
    return;
  }
  It->second.Answered_ = true;
  State.NextPollAt_ = Now;
  It->second.ListedAfter_ =
      Response.WorkerClock_.value_or(It->second.Deadline_);
}

void onStopResponse(AgentState &State, const StopCall &Call,
                    const WorkerResponse &Response, core::TimePoint Now) {
  auto It = State.Pending_.find(Call.Id_);
  if (It == State.Pending_.end() || !It->second.Fencing_ ||
      !Response.Answered_ || Response.Refusal_ || !Response.WorkerClock_)
    return;
  It->second.Answered_ = true;
  It->second.ListedAfter_ = *Response.WorkerClock_;
  State.NextPollAt_ = Now;
}

/// Counts the starts in flight as having got no response.
void noteStartsInFlight(AgentState &State) {
  for (const auto &[Number, Call] : State.Calls_) {
    const auto *Start = std::get_if<StartCall>(&Call.Body_);
    if (!Start)
      continue;
    auto It = State.Pending_.find(Start->Order_.Id_);
    if (It != State.Pending_.end())
      State.LateStarts_[It->first] =
          It->second.SentAt_ + State.Settings_.Policy_.MaxCallDelay_;
  }
}

/// Discards the state of an earlier incarnation of the worker. Pending starts
/// stay, since one that was sent after the new incarnation began and before it
/// announced itself runs there, and so may a late start whose deadline has
/// passed on the earlier clock only.
void resetWorker(AgentState &State) {
  State.WorkerClock_.reset();
  State.Departure_.reset();
  State.RunsListedAt_ = WorkerTime(0);
  State.Running_.clear();
  State.Ended_.clear();
  State.EndsComplete_ = true;
  State.Refused_.clear();
  State.AcknowledgedUpTo_ = 0;
  State.SyncedTerm_ = 0;
  noteStartsInFlight(State);
  State.Calls_.clear();
  State.PollInFlight_ = 0;
  State.UnansweredPolls_ = State.RefusedPolls_ = 0;
  State.WorkerUnreachable_ = false;
  State.Superseded_ = false;
  for (const auto &[Id, Until] : State.LateStarts_)
    State.Pending_.try_emplace(Id);
  for (auto &[Id, Start] : State.Pending_) {
    Start.Fencing_ = true;
    Start.Answered_ = false;
    Start.NextFenceAt_ = {};
  }
}

} // namespace

WorkerCallId callProcess(AgentState &State, const std::string &WorkerId,
                         decltype(WorkerCall::Body_) Body,
                         core::Duration Timeout, AgentEffects &Out) {
  WorkerCall Call;
  Call.Id_ = State.NextCallId_++;
  Call.WorkerId_ = WorkerId;
  Call.Body_ = std::move(Body);
  Call.Timeout_ = Timeout;
  State.Calls_[Call.Id_] = Call;
  Out.Calls_.push_back(std::move(Call));
  return State.NextCallId_ - 1;
}

void callWorker(AgentState &State, decltype(WorkerCall::Body_) Body,
                core::Duration Timeout, AgentEffects &Out) {
  callProcess(State, State.Worker_ ? State.Worker_->Id_ : "", std::move(Body),
              Timeout, Out);
}

std::optional<WorkerTime> workerClockAt(const AgentState &State,
                                        core::TimePoint When) {
  if (!State.WorkerClock_)
    return std::nullopt;
  return State.WorkerClock_->first + std::chrono::duration_cast<WorkerTime>(
                                         When - State.WorkerClock_->second);
}

bool maySucceedWorker(const AgentState &State, const cell::WorkerInfo &Info) {
  return Info.WorkerIncarnation_ != workerIncarnation(State) &&
         Info.WorkerIncarnation_ != State.EndedIncarnation_;
}

bool beganLater(const AgentState &State, const cell::WorkerInfo &Info) {
  return Info.WorkerIncarnation_ >
         std::max(workerIncarnation(State).value_or(0),
                  State.EndedIncarnation_);
}

void noteDrain(AgentState &State, core::TimePoint ReceivedAt) {
  cell::updateNotice(State.Departure_, State.Worker_->Draining_,
                     State.Worker_->DrainRemaining_, ReceivedAt);
}

void adoptWorker(AgentState &State, const WorkerAnnouncement &Announcement,
                 core::TimePoint ReceivedAt, AgentEffects &Out) {
  resetWorker(State);
  Out.LogEvents_.push_back(
      {"worker_announced",
       {{"worker", Announcement.Info_.Id_},
        {"service", Announcement.Info_.Service_},
        {"born", std::to_string(Announcement.Info_.WorkerIncarnation_)},
        {"sequence", std::to_string(Announcement.Sequence_)}}});
  State.ReportNeeded_ = true;
  State.AnnouncedSequence_ = Announcement.Sequence_;
  State.Worker_ = Announcement.Info_;
  noteDrain(State, ReceivedAt);
  State.WorkerClock_ = {Announcement.WorkerClock_, ReceivedAt};
}

void onWorkerAnnounced(AgentState &State,
                       const WorkerAnnouncement &Announcement,
                       core::TimePoint Now, AgentEffects &Out) {
  const cell::WorkerInfo &Info = Announcement.Info_;
  if (!State.Worker_ || State.Worker_->Id_ != Info.Id_ ||
      State.Worker_->WorkerIncarnation_ != Info.WorkerIncarnation_) {
    if (maySucceedWorker(State, Info))
      addCandidate(State, Announcement, Now);
    return;
  }
  if (Announcement.Sequence_ <= State.AnnouncedSequence_)
    return;
  // A worker keeps its service until it ends.
  if (Info.Service_ != State.Worker_->Service_)
    return rejectAnnouncement(
        State, Announcement,
        "the worker belongs to the service " + State.Worker_->Service_, Out);
  if (Info.Draining_ && !State.Worker_->Draining_) {
    Out.LogEvents_.push_back(
        {"worker_draining",
         {{"worker", Info.Id_},
          {"sequence", std::to_string(Announcement.Sequence_)}}});
    State.ReportNeeded_ = true;
  }
  State.AnnouncedSequence_ = Announcement.Sequence_;
  State.Worker_ = Info;
  noteDrain(State, Now);
  State.WorkerClock_ = {Announcement.WorkerClock_, Now};
}

void onWorkerLeft(AgentState &State, const std::string &Worker,
                  AgentEffects &Out) {
  if (!State.Worker_ || State.Worker_->Id_ != Worker)
    return;
  Out.LogEvents_.push_back({"worker_left", {{"worker", Worker}}});
  State.Worker_->Draining_ = true;
  State.Departure_ = cell::DepartureNotice();
  State.ReportNeeded_ = true;
}

/// Updates whether the worker counts as reachable. One unanswered poll shows
/// only that a response was lost or that this process was suspended.
void updateReachability(AgentState &State, const WorkerCall &Call,
                        const WorkerResponse &Response, core::TimePoint Now,
                        AgentEffects &Out) {
  const bool Poll = std::holds_alternative<PollCall>(Call.Body_);
  if (Response.Answered_) {
    State.LastResponseAt_ = Now;
    State.UnansweredPolls_ = State.RefusedPolls_ = 0;
  } else if (Poll) {
    ++State.UnansweredPolls_;
    State.RefusedPolls_ =
        Response.ConnectionRefused_ ? State.RefusedPolls_ + 1 : 0;
  }
  const bool Unreachable =
      Response.ConnectionRefused_ ||
      (State.UnansweredPolls_ > 1 &&
       Now - State.LastResponseAt_ >= State.Settings_.Policy_.WorkerTimeout_);
  if (Unreachable == State.WorkerUnreachable_ ||
      (!Unreachable && !Response.Answered_))
    return;
  State.WorkerUnreachable_ = Unreachable;
  State.ReportNeeded_ = true;
  Out.LogEvents_.push_back(
      {Unreachable ? "worker_lost" : "worker_regained",
       {{"worker", Call.WorkerId_}, {"error", Response.Error_}}});
}

void onWorkerResponse(AgentState &State, const WorkerResponse &Response,
                      core::TimePoint Now, AgentEffects &Out) {
  auto It = State.Calls_.find(Response.Id_);
  if (It == State.Calls_.end())
    return;
  const WorkerCall Call = std::move(It->second);
  State.Calls_.erase(It);
  if (std::holds_alternative<IdentityCall>(Call.Body_))
    return onIdentityResponse(State, Call, Response, Out);
  const auto *Poll = std::get_if<PollCall>(&Call.Body_);
  if (Poll && Call.Id_ == State.PollInFlight_) {
    State.PollInFlight_ = 0;
    // A lost response is made up for at once.
    const bool AtOnce = Response.Answered_ ? Poll->Wait_ > core::Duration(0)
                                           : State.UnansweredPolls_ == 0;
    State.NextPollAt_ =
        AtOnce ? Now : Now + State.Settings_.Policy_.PollInterval_;
  }
  updateReachability(State, Call, Response, Now, Out);
  // A response of an incarnation that has not announced itself must not change
  // the state of the one that has.
  const bool OtherIncarnation =
      Response.WorkerIncarnation_ != 0 && workerIncarnation(State) &&
      Response.WorkerIncarnation_ != *workerIncarnation(State);
  if (OtherIncarnation) {
    State.Superseded_ = true;
    return;
  }
  if (Response.WorkerClock_ &&
      (!State.WorkerClock_ ||
       *Response.WorkerClock_ >= State.WorkerClock_->first))
    State.WorkerClock_ = {*Response.WorkerClock_, Now};
  if (Poll && Response.Runs_)
    applyRuns(State, *Poll, Response);
  if (const auto *Start = std::get_if<StartCall>(&Call.Body_))
    onStartResponse(State, *Start, Response, Now, Out);
  else if (const auto *Stop = std::get_if<StopCall>(&Call.Body_))
    onStopResponse(State, *Stop, Response, Now);
}

void repeatStarts(AgentState &State, core::TimePoint Now, AgentEffects &Out) {
  const core::Duration Interval = State.Settings_.Policy_.OrderTimeout_;
  for (auto &[Id, Start] : State.Pending_) {
    if (!Start.Repeat_)
      continue;
    // A reset connection fails at once; the pause keeps calls to a worker that
    // resets all of them apart.
    const core::TimePoint Due = Start.SentAt_ + Interval;
    if (Now < Due) {
      Out.WakeAt_ = std::min(Out.WakeAt_, Due);
      continue;
    }
    const StartCall Call = *std::exchange(Start.Repeat_, std::nullopt);
    if (!mayRepeatStart(State, Call, Start, Now))
      continue;
    Start.Repeated_ = true;
    Start.SentAt_ = Now;
    callWorker(State, Call, Interval, Out);
  }
}

void detectWorkerEnd(AgentState &State, AgentEffects &Out) {
  /// Refused connections in a row after which the worker's process has ended: a
  /// worker that lives always listens.
  constexpr unsigned EndedAfter = 2;
  const bool StartInFlight = std::any_of(
      State.Calls_.begin(), State.Calls_.end(), [](const auto &Entry) {
        return std::holds_alternative<StartCall>(Entry.second.Body_);
      });
  if (!State.Worker_ || State.RefusedPolls_ < EndedAfter || StartInFlight)
    return;
  Out.LogEvents_.push_back(
      {"worker_ended",
       {{"worker", State.Worker_->Id_},
        {"born", std::to_string(State.Worker_->WorkerIncarnation_)},
        {"running", std::to_string(State.Running_.size())}}});
  State.EndedIncarnation_ = State.Worker_->WorkerIncarnation_;
  State.Worker_.reset();
  // Only a start that got no response can reach a later incarnation.
  State.Pending_.clear();
  resetWorker(State);
  State.ReportNeeded_ = true;
}

void expireLateStarts(AgentState &State, core::TimePoint Now,
                      AgentEffects &Out) {
  for (auto It = State.LateStarts_.begin(); It != State.LateStarts_.end();) {
    if (Now < It->second) {
      Out.WakeAt_ = std::min(Out.WakeAt_, It->second);
      ++It;
      continue;
    }
    // No listing of a worker can resolve the start.
    if (!State.Worker_) {
      State.Pending_.erase(It->first);
      State.ReportNeeded_ = true;
    }
    It = State.LateStarts_.erase(It);
  }
}

void fencePending(AgentState &State, core::TimePoint Now, AgentEffects &Out) {
  if (!State.Worker_)
    return;
  const core::Duration RepeatInterval = State.Settings_.Policy_.OrderTimeout_;
  for (auto &[Id, Start] : State.Pending_) {
    if (!Start.Fencing_ || Start.Answered_)
      continue;
    if (Now >= Start.NextFenceAt_) {
      Start.NextFenceAt_ = Now + RepeatInterval;
      callWorker(State, StopCall{Id, State.Term_}, RepeatInterval, Out);
      Out.LogEvents_.push_back(
          {"start_fenced",
           {{"task", toString(Id.Task_)}, {"run", std::to_string(Id.Run_)}}});
    }
    Out.WakeAt_ = std::min(Out.WakeAt_, Start.NextFenceAt_);
  }
}

void pollWorker(AgentState &State, core::TimePoint Now, AgentEffects &Out) {
  const AgentPolicy &Policy = State.Settings_.Policy_;
  if (!State.Worker_ || State.PollInFlight_ != 0)
    return;
  if (Now < State.NextPollAt_) {
    Out.WakeAt_ = std::min(Out.WakeAt_, State.NextPollAt_);
    return;
  }
  PollCall Poll;
  Poll.Term_ = State.Term_;
  // A new incarnation numbers its ended runs from the start again. Only listed
  // ones are acknowledged, so that the acknowledgement covers none of an
  // incarnation that has not announced itself yet.
  const bool Acknowledges =
      !State.Ended_.empty() &&
      State.Ended_.front().Number_ <= State.AcknowledgedUpTo_;
  Poll.AcknowledgedUpTo_ =
      Acknowledges && !State.Superseded_ ? State.AcknowledgedUpTo_ : 0;
  if (State.Granted_ && State.GrantEnds_ > Now && !State.WorkerUnreachable_)
    Poll.LeaseUntil_ = workerClockAt(State, State.GrantEnds_);
  // The worker answers at once while it lists unacknowledged ended runs.
  const bool Unacknowledged =
      !State.Ended_.empty() &&
      State.Ended_.back().Number_ > State.AcknowledgedUpTo_;
  const bool UpToDate = !Unacknowledged && State.Pending_.empty() &&
                        State.SyncedTerm_ == State.Term_ &&
                        State.UnansweredPolls_ == 0;
  Poll.Wait_ = UpToDate ? Policy.PollWait_ : core::Duration(0);
  State.PollInFlight_ = State.NextCallId_;
  callWorker(State, Poll, Poll.Wait_ + Policy.PollGrace_, Out);
}

} // namespace nutmegwell::site
