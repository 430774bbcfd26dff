#include "shares.h"

#include <algorithm>

namespace nutmegwell::agent {

namespace {

using model::TaskState;

std::uint64_t bitsOf(const std::vector<std::uint64_t> &Tasks) {
  std::uint64_t Bits = 0;
  for (std::uint64_t Task : Tasks)
    Bits |= Task;
  return Bits;
}

std::uint64_t heldBits(const AgentState &State, const ShareKey &Except) {
  std::uint64_t Bits = 0;
  for (const auto &[Key, Known] : State.Shares_)
    if (Key != Except && !ended(Known.State_))
      Bits |= bitsOf(Known.Accelerators_);
  return Bits;
}

/// Returns true when the masks are disjoint and the worker has them all.
bool wellFormed(const AgentState &State,
                const std::vector<std::uint64_t> &Tasks) {
  const std::uint32_t Total = State.Settings_.Accelerators_;
  const std::uint64_t All =
      Total >= 64 ? ~std::uint64_t{0} : (std::uint64_t{1} << Total) - 1;
  std::uint64_t Seen = 0;
  for (std::uint64_t Task : Tasks) {
    if (Task == 0 || (Task & ~All) != 0 || (Task & Seen) != 0)
      return false;
    Seen |= Task;
  }
  return !Tasks.empty();
}

void end(Share &Target, TaskState Final, core::TimePoint Now) {
  Target.State_ = Final;
  Target.Until_ = Now;
}

/// Returns the state of the share that its tasks add up to.
TaskState sumOf(const Share &Target) {
  auto Has = [&Target](TaskState Value) {
    return std::find(Target.Tasks_.begin(), Target.Tasks_.end(), Value) !=
           Target.Tasks_.end();
  };
  // One task that ended without success ends the share.
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

/// Returns the state of a task that the runtime does not list.
TaskState unlistedState(TaskState Before, bool StartSettled) {
  if (ended(Before))
    return Before;
  // A start that is still on its way is not listed yet.
  if (Before == TaskState::Starting && !StartSettled)
    return Before;
  return TaskState::Stopped;
}

void noteTasks(Share &Target, const ShareKey &Key, const RuntimeListing &What,
               core::Duration CallBound) {
  const bool StartSettled =
      What.RequestedAt_ >= Target.StartDeadline_ + CallBound;
  for (std::size_t I = 0; I < Target.Tasks_.size(); ++I) {
    const std::string Id = taskId(Key, I);
    auto Listed =
        std::find_if(What.Tasks_.begin(), What.Tasks_.end(),
                     [&Id](const RuntimeTask &T) { return T.Id_ == Id; });
    if (Listed == What.Tasks_.end()) {
      Target.Tasks_[I] = unlistedState(Target.Tasks_[I], StartSettled);
      continue;
    }
    Target.Tasks_[I] = Listed->State_;
    Target.Checkpoints_[I] = Listed->Checkpoint_;
  }
}

/// Counts a share that failed of itself or ended with success. One that was
/// being stopped says nothing about the worker when it fails.
void noteOutcome(AgentState &State, TaskState Before, TaskState Sum,
                 core::TimePoint Now) {
  bool Succeeded = Sum == TaskState::Done;
  if (Succeeded || (Sum == TaskState::Failed && Before != TaskState::Stopping))
    membership::recordStartResult(State.Quarantine_, Succeeded, Now,
                                  State.Settings_.Quarantine_);
}

bool anyRuns(const Share &Target) {
  return std::any_of(Target.Tasks_.begin(), Target.Tasks_.end(),
                     [](TaskState Value) { return !ended(Value); });
}

} // namespace

bool ended(TaskState Value) {
  return Value == TaskState::Done || Value == TaskState::Failed ||
         Value == TaskState::Stopped;
}

model::ReserveAnswer reserve(AgentState &State, const model::Reserve &Wanted,
                             core::TimePoint Now) {
  ShareKey Key{Wanted.Job_, Wanted.Attempt_};
  model::ReserveAnswer Answer{State.Settings_.Node_, Wanted.Job_,
                              Wanted.Attempt_, false, ""};
  auto Known = State.Shares_.find(Key);
  if (Known != State.Shares_.end() &&
      Known->second.State_ != TaskState::Reserved) {
    Answer.Code_ = "attempt_ended";
    return Answer;
  }
  if (State.Stopping_ || !State.Ready_) {
    Answer.Code_ = State.Stopping_ ? "leaving" : "not_ready";
    return Answer;
  }
  if (!wellFormed(State, Wanted.TaskAccelerators_)) {
    Answer.Code_ = "no_such_accelerator";
    return Answer;
  }
  if (heldBits(State, Key) & bitsOf(Wanted.TaskAccelerators_)) {
    Answer.Code_ = "accelerator_held";
    return Answer;
  }
  Share &Target = State.Shares_[Key];
  Target.Accelerators_ = Wanted.TaskAccelerators_;
  Target.Command_ = Wanted.Command_;
  Target.Checkpoint_ = Wanted.Checkpoint_;
  Target.State_ = TaskState::Reserved;
  Target.Until_ = Now + Wanted.Lease_;
  Answer.Accepted_ = true;
  return Answer;
}

bool start(AgentState &State, const model::Start &Wanted, core::TimePoint Now,
           Effects &Out) {
  ShareKey Key{Wanted.Job_, Wanted.Attempt_};
  auto Known = State.Shares_.find(Key);
  if (Known == State.Shares_.end() ||
      Known->second.State_ != TaskState::Reserved ||
      Known->second.Until_ <= Now || State.PermitUntil_ <= Now)
    return false;
  Share &Target = Known->second;
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

bool stop(AgentState &State, const ShareKey &Key, core::Duration Grace,
          core::TimePoint Now, Effects &Out) {
  auto [Known, Inserted] = State.Shares_.emplace(Key, Share());
  Share &Target = Known->second;
  // An unknown attempt is noted as stopped, so that a late Reserve or Start of
  // it has no effect.
  if (Inserted || Target.State_ == TaskState::Reserved) {
    Target.Accelerators_.clear();
    end(Target, TaskState::Stopped, Now);
    return true;
  }
  if (ended(Target.State_)) {
    // The holder has not seen the end: put its report first again, since only
    // the latest ones fit a heartbeat.
    Target.Until_ = Now;
    return true;
  }
  if (Target.State_ == TaskState::Stopping)
    return false;
  Target.State_ = TaskState::Stopping;
  Target.Grace_ = Grace;
  for (std::size_t I = 0; I < Target.Tasks_.size(); ++I)
    if (!ended(Target.Tasks_[I]))
      Out.Calls_.push_back(StopTask{taskId(Key, I), Grace});
  return true;
}

bool noteListing(AgentState &State, const RuntimeListing &What,
                 core::TimePoint Now) {
  bool Changed = false;
  for (auto &[Key, Target] : State.Shares_) {
    if (ended(Target.State_) || Target.State_ == TaskState::Reserved)
      continue;
    noteTasks(Target, Key, What, State.Settings_.RuntimeCallBound_);
    TaskState Sum = sumOf(Target);
    noteOutcome(State, Target.State_, Sum, Now);
    // A failed task ends its share only when the others have ended too, so
    // that a final report means that nothing runs.
    if (ended(Sum) && anyRuns(Target)) {
      Sum = TaskState::Stopping;
      Target.Grace_ =
          std::max<core::Duration>(Target.Grace_, model::LeaseExpiryGrace);
    }
    if (Target.State_ == TaskState::Stopping && !ended(Sum))
      continue;
    if (Sum == Target.State_)
      continue;
    Changed = true;
    if (ended(Sum))
      end(Target, Sum, Now);
    else
      Target.State_ = Sum;
  }
  return Changed;
}

bool noteStartFailure(AgentState &State, const std::string &Id,
                      core::TimePoint Now) {
  for (auto &[Key, Target] : State.Shares_)
    for (std::size_t I = 0; I < Target.Tasks_.size(); ++I)
      if (taskId(Key, I) == Id && Target.Tasks_[I] == TaskState::Starting) {
        // A permit that ran out, or a stop, is no fault of the worker.
        Target.Tasks_[I] =
            Now >= Target.StartDeadline_ || Target.State_ == TaskState::Stopping
                ? TaskState::Stopped
                : TaskState::Failed;
        if (!anyRuns(Target)) {
          noteOutcome(State, Target.State_, sumOf(Target), Now);
          end(Target, sumOf(Target), Now);
        }
        return true;
      }
  return false;
}

bool expireShares(AgentState &State, core::TimePoint Now) {
  bool Changed = false;
  for (auto Place = State.Shares_.begin(); Place != State.Shares_.end();) {
    Share &Target = Place->second;
    if (Target.State_ == TaskState::Reserved && Target.Until_ <= Now) {
      Target.Accelerators_.clear();
      end(Target, TaskState::Stopped, Now);
      Changed = true;
    }
    bool Forget = ended(Target.State_) &&
                  Now - Target.Until_ >= State.Settings_.FinalKept_;
    Place = Forget ? State.Shares_.erase(Place) : std::next(Place);
  }
  return Changed;
}

std::vector<model::TaskReport> makeReports(const AgentState &State) {
  std::vector<std::pair<core::TimePoint, model::TaskReport>> Ended;
  std::vector<model::TaskReport> Reports;
  for (const auto &[Key, Known] : State.Shares_) {
    std::string Checkpoint;
    for (const std::string &Part : Known.Checkpoints_)
      Checkpoint += (Checkpoint.empty() || Part.empty() ? "" : ",") + Part;
    model::TaskReport Report{Key.first, Key.second, Known.State_,
                             bitsOf(Known.Accelerators_), Checkpoint};
    if (ended(Known.State_))
      Ended.emplace_back(Known.Until_, Report);
    else
      Reports.push_back(Report);
  }
  std::stable_sort(
      Ended.begin(), Ended.end(),
      [](const auto &A, const auto &B) { return A.first > B.first; });
  for (auto &Item : Ended)
    Reports.push_back(std::move(Item.second));
  if (Reports.size() > MaxReports)
    Reports.resize(MaxReports);
  return Reports;
}

} // namespace nutmegwell::agent
