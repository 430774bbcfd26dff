#include "shares.h"

#include <algorithm>

namespace nutmegwell::agent {

namespace {

using model::TaskState;

/// Returns the union of the tasks' accelerator masks.
std::uint64_t combinedMask(const std::vector<std::uint64_t> &Tasks) {
  std::uint64_t Bits = 0;
  for (std::uint64_t Task : Tasks)
    Bits |= Task;
  return Bits;
}

/// Returns the accelerators of all active shares other than \p Except.
std::uint64_t heldAccelerators(const AgentState &State,
                               const ShareKey &Except) {
  std::uint64_t Bits = 0;
  for (const auto &[Key, Each] : State.Shares_)
    if (Key != Except && !isFinal(Each.State_))
      Bits |= combinedMask(Each.Accelerators_);
  return Bits;
}

/// Returns true when each task has accelerators, no accelerator has two tasks,
/// and the worker has all of them.
bool areMasksValid(const AgentState &State,
                   const std::vector<std::uint64_t> &Tasks) {
  const std::uint32_t Total = State.Settings_.Accelerators_;
  const std::uint64_t All =
      Total >= 64 ? ~std::uint64_t{0} : (std::uint64_t{1} << Total) - 1;
  std::uint64_t Used = 0;
  for (std::uint64_t Task : Tasks) {
    if (Task == 0 || (Task & ~All) != 0 || (Task & Used) != 0)
      return false;
    Used |= Task;
  }
  return !Tasks.empty();
}

void endShare(Share &Target, TaskState Final, core::TimePoint Now) {
  Target.State_ = Final;
  Target.ExpiryOrEndTime_ = Now;
}

/// Returns the state of the share that follows from the states of its tasks.
TaskState combinedState(const Share &Target) {
  auto Has = [&Target](TaskState Value) {
    return std::find(Target.Tasks_.begin(), Target.Tasks_.end(), Value) !=
           Target.Tasks_.end();
  };
  // A single task that failed or was stopped ends the share.
  if (Has(TaskState::Failed))
    return TaskState::Failed;
  if (Has(TaskState::Stopped))
    return TaskState::Stopped;
  if (Has(TaskState::Starting))
    return TaskState::Starting;
  if (Has(TaskState::Running))
    return TaskState::Running;
  return TaskState::Done;
}

/// Returns the new state of a task that the runtime does not list.
/// \p StartExpired is true when a start can no longer take effect.
TaskState unlistedState(TaskState Previous, bool StartExpired) {
  if (isFinal(Previous))
    return Previous;
  // The start may still be in transit.
  if (Previous == TaskState::Starting && !StartExpired)
    return Previous;
  return TaskState::Stopped;
}

void updateTaskStates(Share &Target, const ShareKey &Key,
                      const RuntimeListing &Listing,
                      core::Duration MaxCallDelay) {
  const bool StartExpired =
      Listing.RequestedAt_ >= Target.StartDeadline_ + MaxCallDelay;
  for (std::size_t I = 0; I < Target.Tasks_.size(); ++I) {
    const std::string Id = taskId(Key, I);
    auto Listed =
        std::find_if(Listing.Tasks_.begin(), Listing.Tasks_.end(),
                     [&Id](const RuntimeTask &T) { return T.Id_ == Id; });
    if (Listed == Listing.Tasks_.end()) {
      Target.Tasks_[I] = unlistedState(Target.Tasks_[I], StartExpired);
      continue;
    }
    Target.Tasks_[I] = Listed->State_;
    Target.Checkpoints_[I] = Listed->Checkpoint_;
  }
}

/// Records a success or a failure for the worker's quarantine. The failure of a
/// share that was being stopped does not count, since it says nothing about the
/// worker.
void recordShareOutcome(AgentState &State, TaskState Previous,
                        TaskState Combined, core::TimePoint Now) {
  bool Succeeded = Combined == TaskState::Done;
  if (Succeeded ||
      (Combined == TaskState::Failed && Previous != TaskState::Stopping))
    membership::recordStartResult(State.Quarantine_, Succeeded, Now,
                                  State.Settings_.Quarantine_);
}

bool hasRunningTask(const Share &Target) {
  return std::any_of(Target.Tasks_.begin(), Target.Tasks_.end(),
                     [](TaskState Value) { return !isFinal(Value); });
}

} // namespace

bool isFinal(TaskState Value) {
  return Value == TaskState::Done || Value == TaskState::Failed ||
         Value == TaskState::Stopped;
}

model::ReserveAnswer reserveShare(AgentState &State,
                                  const model::Reserve &Request,
                                  core::TimePoint Now) {
  ShareKey Key{Request.Job_, Request.Attempt_};
  model::ReserveAnswer Answer{State.Settings_.Node_, Request.Job_,
                              Request.Attempt_, false, ""};
  auto It = State.Shares_.find(Key);
  if (It != State.Shares_.end() && It->second.State_ != TaskState::Reserved) {
    Answer.Code_ = "attempt_ended";
    return Answer;
  }
  if (State.Stopping_ || !State.Ready_) {
    Answer.Code_ = State.Stopping_ ? "leaving" : "not_ready";
    return Answer;
  }
  if (!areMasksValid(State, Request.TaskAccelerators_)) {
    Answer.Code_ = "no_such_accelerator";
    return Answer;
  }
  if (heldAccelerators(State, Key) & combinedMask(Request.TaskAccelerators_)) {
    Answer.Code_ = "accelerator_held";
    return Answer;
  }
  Share &Target = State.Shares_[Key];
  Target.Accelerators_ = Request.TaskAccelerators_;
  Target.Command_ = Request.Command_;
  Target.Checkpoint_ = Request.Checkpoint_;
  Target.State_ = TaskState::Reserved;
  Target.ExpiryOrEndTime_ = Now + Request.Lease_;
  Answer.Accepted_ = true;
  return Answer;
}

bool startShare(AgentState &State, const model::Start &Request,
                core::TimePoint Now, Effects &Out) {
  ShareKey Key{Request.Job_, Request.Attempt_};
  auto It = State.Shares_.find(Key);
  if (It == State.Shares_.end() || It->second.State_ != TaskState::Reserved ||
      It->second.ExpiryOrEndTime_ <= Now || State.PermitUntil_ <= Now)
    return false;
  Share &Target = It->second;
  Target.State_ = TaskState::Starting;
  Target.StartDeadline_ = State.PermitUntil_;
  Target.Tasks_.assign(Target.Accelerators_.size(), TaskState::Starting);
  Target.Checkpoints_.assign(Target.Accelerators_.size(), std::string());
  for (std::size_t I = 0; I < Target.Accelerators_.size(); ++I)
    Out.Calls_.push_back(StartTask{
        taskId(Key, I), Target.Command_, Target.Accelerators_[I],
        Target.Checkpoint_, State.Settings_.RuntimeLease_, State.PermitUntil_});
  return true;
}

bool stopShare(AgentState &State, const ShareKey &Key, core::Duration Grace,
               core::TimePoint Now, Effects &Out) {
  auto [It, Inserted] = State.Shares_.emplace(Key, Share());
  Share &Target = It->second;
  // Records an unknown attempt as stopped, so that a delayed Reserve or Start
  // has no effect.
  if (Inserted || Target.State_ == TaskState::Reserved) {
    Target.Accelerators_.clear();
    endShare(Target, TaskState::Stopped, Now);
    return true;
  }
  if (isFinal(Target.State_)) {
    // The holder has not received the report of the end. A new time moves the
    // report to the front, since only the latest ones fit into a heartbeat.
    Target.ExpiryOrEndTime_ = Now;
    return true;
  }
  if (Target.State_ == TaskState::Stopping)
    return false;
  Target.State_ = TaskState::Stopping;
  Target.Grace_ = Grace;
  for (std::size_t I = 0; I < Target.Tasks_.size(); ++I)
    if (!isFinal(Target.Tasks_[I]))
      Out.Calls_.push_back(StopTask{taskId(Key, I), Grace});
  return true;
}

bool reconcileShares(AgentState &State, const RuntimeListing &Listing,
                     core::TimePoint Now) {
  bool Changed = false;
  for (auto &[Key, Target] : State.Shares_) {
    if (isFinal(Target.State_) || Target.State_ == TaskState::Reserved)
      continue;
    updateTaskStates(Target, Key, Listing,
                     State.Settings_.RuntimeCallMaxDelay_);
    TaskState Combined = combinedState(Target);
    recordShareOutcome(State, Target.State_, Combined, Now);
    // The share reaches a final state only when all its tasks have ended, so
    // that the report of a final state guarantees that none is running.
    if (isFinal(Combined) && hasRunningTask(Target)) {
      Combined = TaskState::Stopping;
      Target.Grace_ =
          std::max<core::Duration>(Target.Grace_, model::LeaseExpiryGrace);
    }
    if (Target.State_ == TaskState::Stopping && !isFinal(Combined))
      continue;
    if (Combined == Target.State_)
      continue;
    Changed = true;
    if (isFinal(Combined))
      endShare(Target, Combined, Now);
    else
      Target.State_ = Combined;
  }
  return Changed;
}

bool applyStartFailure(AgentState &State, const std::string &Id,
                       core::TimePoint Now) {
  for (auto &[Key, Target] : State.Shares_)
    for (std::size_t I = 0; I < Target.Tasks_.size(); ++I)
      if (taskId(Key, I) == Id && Target.Tasks_[I] == TaskState::Starting) {
        // An expired permit or a stop is not a failure of the worker.
        Target.Tasks_[I] =
            Now >= Target.StartDeadline_ || Target.State_ == TaskState::Stopping
                ? TaskState::Stopped
                : TaskState::Failed;
        if (!hasRunningTask(Target)) {
          recordShareOutcome(State, Target.State_, combinedState(Target), Now);
          endShare(Target, combinedState(Target), Now);
        }
        return true;
      }
  return false;
}

bool expireShares(AgentState &State, core::TimePoint Now) {
  bool Changed = false;
  for (auto It = State.Shares_.begin(); It != State.Shares_.end();) {
    Share &Target = It->second;
    if (Target.State_ == TaskState::Reserved &&
        Target.ExpiryOrEndTime_ <= Now) {
      Target.Accelerators_.clear();
      endShare(Target, TaskState::Stopped, Now);
      Changed = true;
    }
    bool RetentionOver =
        isFinal(Target.State_) &&
        Now - Target.ExpiryOrEndTime_ >= State.Settings_.EndedShareRetention_;
    It = RetentionOver ? State.Shares_.erase(It) : std::next(It);
  }
  return Changed;
}

std::vector<model::TaskReport> makeTaskReports(const AgentState &State) {
  std::vector<std::pair<core::TimePoint, model::TaskReport>> Ended;
  std::vector<model::TaskReport> Reports;
  for (const auto &[Key, Each] : State.Shares_) {
    std::string Checkpoint;
    for (const std::string &TaskCheckpoint : Each.Checkpoints_)
      Checkpoint += (Checkpoint.empty() || TaskCheckpoint.empty() ? "" : ",") +
                    TaskCheckpoint;
    model::TaskReport Report{Key.first, Key.second, Each.State_,
                             combinedMask(Each.Accelerators_), Checkpoint};
    if (isFinal(Each.State_))
      Ended.emplace_back(Each.ExpiryOrEndTime_, Report);
    else
      Reports.push_back(Report);
  }
  std::stable_sort(
      Ended.begin(), Ended.end(),
      [](const auto &A, const auto &B) { return A.first > B.first; });
  for (auto &EndedReport : Ended)
    Reports.push_back(std::move(EndedReport.second));
  if (Reports.size() > MaxTaskReports)
    Reports.resize(MaxTaskReports);
  return Reports;
}

} // namespace nutmegwell::agent
