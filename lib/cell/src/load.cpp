#include "nutmegwell/cell/load.h"
#include "holdersteps.h"
#include <algorithm>
#include <map>
#include <set>
#include <string_view>
#include <unordered_map>

namespace nutmegwell::cell {

namespace {

using Seconds = std::chrono::duration<double>;

/// A service while its load is added up.
struct ServiceSum {
  CellLoad Load_;
  std::map<std::string, QueueLoad> Queues_;
  /// Shortest objective of the waiting jobs, by queue.
  std::map<std::string, core::Duration> Objectives_;
  std::vector<const WorkerInfo *> Workers_;
};

using ServiceSums = std::map<std::string, ServiceSum>;

core::Duration toWait(double Work, double Rate) {
  const double Wait = Work / Rate;
  return Wait < Seconds(LongestWait).count()
             ? std::chrono::duration_cast<core::Duration>(Seconds(Wait))
             : LongestWait;
}

/// Returns how many tasks that need \p Each a worker with \p Capacity can run.
std::uint64_t tasksPerWorker(const jobs::Resources &Capacity,
                             const jobs::Resources &Each, std::uint64_t Limit) {
  const auto Bound = [&Limit](std::int64_t Total, std::int64_t Part) {
    if (Part > 0)
      Limit = std::min(Limit, static_cast<std::uint64_t>(
                                  std::max<std::int64_t>(Total, 0) / Part));
  };
  Bound(Capacity.Cpu_, Each.Cpu_);
  Bound(Capacity.MemoryMb_, Each.MemoryMb_);
  Bound(Capacity.Accelerators_, Each.Accelerators_);
  return Limit;
}

/// Returns whether a gang, or one task, fits on the workers while nothing else
/// runs there. Ends at the first workers that are enough.
bool fitsOn(const std::vector<const WorkerInfo *> &Workers,
            const jobs::StepSpec &Step) {
  const std::uint64_t Needed = Step.Gang_ ? Step.Count_ : 1;
  const std::uint64_t PerWorker =
      Step.SpreadLimit_ > 0 ? Step.SpreadLimit_ : Needed;
  const jobs::Resources Each = requiredResources(Step);
  std::uint64_t Found = 0;
  for (const WorkerInfo *Worker : Workers) {
    const std::vector<std::string> &Labels = Worker->Labels_;
    if (Step.RequiredLabel_.empty() ||
        std::find(Labels.begin(), Labels.end(), Step.RequiredLabel_) !=
            Labels.end())
      Found += tasksPerWorker(Worker->Capacity_, Each, PerWorker);
    if (Found >= Needed)
      return true;
  }
  return false;
}

/// A usable worker while its free resources are added up.
struct WorkerRoom {
  CellLoad *Load_ = nullptr;
  jobs::Resources Free_;
  /// Accelerators without those of long-running tasks.
  std::int64_t Accelerators_ = 0;
};

/// Adds up the usable workers and what is free on them.
ServiceSums usableServices(const Holder &State, const HolderContext &Context) {
  ServiceSums Sums;
  std::unordered_map<std::string_view, WorkerRoom> Rooms;
  for (const auto &[Name, Host] : State.Workers_)
    if (isUsable(State.Policy_, Host, Context)) {
      const jobs::Resources &Capacity = Host.Info_->Capacity_;
      ServiceSum &Sum = Sums[Host.Info_->Service_];
      Sum.Load_.Capacity_ += Capacity;
      Sum.Workers_.push_back(&*Host.Info_);
      Rooms[Name] = {&Sum.Load_, Capacity, Capacity.Accelerators_};
    }
  for (const auto &[Id, Run] : State.Runs_) {
    auto Room = Rooms.find(Run.Host_);
    if (Room == Rooms.end())
      continue;
    Room->second.Free_ -= Run.Resources_;
    if (Run.LongRunning_)
      Room->second.Accelerators_ -= Run.Resources_.Accelerators_;
  }
  // The runs of a worker can exceed its capacity when that has shrunk.
  constexpr std::int64_t None = 0;
  for (const auto &[Name, Room] : Rooms) {
    Room.Load_->Free_ +=
        {std::max(Room.Free_.Cpu_, None), std::max(Room.Free_.MemoryMb_, None),
         std::max(Room.Free_.Accelerators_, None)};
    Room.Load_->Accelerators_ +=
        static_cast<double>(std::max(Room.Accelerators_, None));
  }
  return Sums;
}

/// Returns the sum of a job's service, or nullptr when no worker of it is
/// usable.
ServiceSum *sumOf(ServiceSums &Sums, const jobs::JobEntry &Job) {
  auto It = Sums.find(Job.Accepted_.Service_);
  return It == Sums.end() ? nullptr : &It->second;
}

QueueLoad &queueOf(ServiceSum &Sum, const jobs::JobEntry &Job) {
  QueueLoad &Queue = Sum.Queues_[Job.Accepted_.Queue_];
  Queue.Queue_ = Job.Accepted_.Queue_;
  Queue.Priority_ = Job.Accepted_.Priority_;
  return Queue;
}

/// Returns the expected rest of a run: by its own time per percent, or by the
/// declared time before it has reported progress.
core::Duration expectedRest(const TaskRun &Run, core::Duration Declared,
                            core::TimePoint Now) {
  const double Gained = Run.Percent_ - Run.FirstChangePercent_;
  core::Duration Rest = Declared - (Now - Run.OrderedAt_);
  if (Run.FirstChangeAt_ && Gained >= 1)
    Rest = std::chrono::duration_cast<core::Duration>(
               std::chrono::duration<double, std::micro>(
                   static_cast<double>(
                       (Run.ProgressedAt_ - *Run.FirstChangeAt_).count()) /
                   Gained * std::max(100 - Run.Percent_, 0.0))) -
           (Now - Run.ProgressedAt_);
  return std::max(Rest, core::Duration(0));
}

void addRuns(const Holder &State, const HolderContext &Context,
             ServiceSums &Sums) {
  // The runs of a job are adjacent.
  auto Job = Context.View_.Jobs_.end();
  for (const auto &[Id, Run] : State.Runs_) {
    if (Job == Context.View_.Jobs_.end() || Job->first != Id.Task_.Job_)
      Job = Context.View_.Jobs_.find(Id.Task_.Job_);
    if (Run.LongRunning_ || Job == Context.View_.Jobs_.end() ||
        Job->second.Accepted_.Job_.empty())
      continue;
    ServiceSum *Sum = sumOf(Sums, Job->second);
    if (!Sum)
      continue;
    const core::Duration Declared =
        Job->second.Accepted_.Spec_.Steps_[Id.Task_.Step_].Estimate_;
    queueOf(*Sum, Job->second).Running_ +=
        Seconds(expectedRest(Run, Declared, Context.Now_)).count() *
        acceleratorsOf(Run.Resources_, Sum->Load_.Capacity_);
  }
}

/// Returns the occurrences in which each step of a job has a run or some
/// progress.
std::vector<std::set<jobs::OccurrenceNumber>>
begunOccurrences(const Holder &State, const jobs::JobAccepted &Job,
                 const jobs::JobProgress &Progress) {
  std::vector<std::set<jobs::OccurrenceNumber>> Begun(Job.Spec_.Steps_.size());
  const auto Add = [&](std::uint32_t Step, jobs::OccurrenceNumber Occurrence) {
    if (Step < Begun.size())
      Begun[Step].insert(Occurrence);
  };
  for (const auto &[Position, Step] : Progress.BegunSteps_)
    Add(Position.second, Position.first);
  for (auto It = State.Runs_.lower_bound({{Job.Job_, 0, 0, 0}, 0});
       It != State.Runs_.end() && It->first.Task_.Job_ == Job.Job_; ++It)
    Add(It->first.Task_.Step_, It->first.Task_.Occurrence_);
  return Begun;
}

/// Returns how many tasks of a step are left and have no run. Of a gang that
/// has a run, none can start.
std::uint64_t waitingTasks(const Holder &State, const jobs::JobEntry &Job,
                           const jobs::JobProgress &Progress,
                           jobs::OccurrenceNumber Occurrence,
                           std::uint32_t Step) {
  const std::string &Name = Job.Accepted_.Job_;
  const jobs::StepSpec &Spec = Job.Accepted_.Spec_.Steps_[Step];
  const jobs::StepProgress *Begun = Progress.find(Occurrence, Step);
  std::uint64_t Taken = Begun ? Begun->Done_.countIn({0, Spec.Count_}) : 0;
  const TaskId *Previous = nullptr;
  for (auto Run = State.Runs_.lower_bound({{Name, Occurrence, Step, 0}, 0});
       Run != State.Runs_.end() && Run->first.Task_.Step_ == Step &&
       Run->first.Task_.Occurrence_ == Occurrence &&
       Run->first.Task_.Job_ == Name;
       ++Run) {
    const TaskId &Task = Run->first.Task_;
    if (Spec.Gang_)
      return 0;
    const bool Copy = Previous && *Previous == Task;
    Taken += !Copy && !(Begun && Begun->isDone(Task.Index_));
    Previous = &Task;
  }
  return Spec.Count_ - std::min<std::uint64_t>(Taken, Spec.Count_);
}

/// Far above the work of any service, and far below what a sum can hold.
constexpr double MaxAmount = 1e12;

/// Adds waiting work as far as a valid report can tell it.
void addWork(QueueLoad &Queue, double Work, ObjectiveStatus Status) {
  const double Added = std::min(Work, MaxAmount - Queue.Waiting_);
  Queue.Waiting_ += Added;
  if (Status == ObjectiveStatus::Late)
    Queue.Late_ += Added;
  else if (Status == ObjectiveStatus::Expired)
    Queue.Expired_ += Added;
}

/// Adds the ready work of one job.
class JobSum {
public:
  JobSum(const Holder &State, const HolderContext &Context,
         const jobs::JobEntry &Job, ServiceSum &Sum)
      : State_(State), Context_(Context), Job_(Job), Sum_(Sum),
        Chains_(expectedChains(State, Job.Accepted_)),
        Objective_(objectiveOf(Context.Tables_.queue(Job.Accepted_.Queue_),
                               Chains_)) {}

  void add(const jobs::JobProgress &Progress) {
    const jobs::JobSpec &Spec = Job_.Accepted_.Spec_;
    const auto Begun = begunOccurrences(State_, Job_.Accepted_, Progress);
    for (std::uint32_t Step = 0; Step < Spec.Steps_.size(); ++Step) {
      if (Spec.Steps_[Step].LongRunning_)
        continue;
      const DueOccurrences Due =
          dueOccurrences(State_.Policy_, Job_.Accepted_, Objective_,
                         Chains_[Step], Context_.Wall_);
      addStep(Step, waitingIn(Progress, Step, Due.OnTime_, Begun[Step]),
              ObjectiveStatus::OnTime);
      addStep(Step, waitingIn(Progress, Step, Due.Late_, Begun[Step]),
              ObjectiveStatus::Late);
      addStep(Step, waitingIn(Progress, Step, Due.Expired_, Begun[Step]),
              ObjectiveStatus::Expired);
    }
  }

private:
  /// Returns how many tasks of a step wait in the occurrences \p Within. Takes
  /// time by those that have begun and by the gaps between those that are done.
  double waitingIn(const jobs::JobProgress &Progress, std::uint32_t Step,
                   jobs::NumberRange Within,
                   const std::set<jobs::OccurrenceNumber> &Begun) const {
    const jobs::JobSpec &Spec = Job_.Accepted_.Spec_;
    double Tasks = 0;
    for (auto Ready = jobs::nextReady(Spec, Progress, Step, Within);
         !Ready.empty();
         Ready = jobs::nextReady(Spec, Progress, Step, Within)) {
      std::uint64_t Untouched = Ready.count();
      for (auto It = Begun.lower_bound(Ready.First_);
           It != Begun.end() && *It < Ready.End_; ++It) {
        --Untouched;
        Tasks += static_cast<double>(
            waitingTasks(State_, Job_, Progress, *It, Step));
      }
      Tasks += static_cast<double>(Untouched) * Spec.Steps_[Step].Count_;
      Within.First_ = Ready.End_;
    }
    return Tasks;
  }

  void addStep(std::uint32_t Step, double Tasks, ObjectiveStatus Status) {
    const jobs::StepSpec &Spec = Job_.Accepted_.Spec_.Steps_[Step];
    if (Tasks == 0 || !fitsOn(Sum_.Workers_, Spec))
      return;
    const double Work =
        Seconds(Spec.Estimate_).count() * Tasks *
        acceleratorsOf(requiredResources(Spec), Sum_.Load_.Capacity_);
    QueueLoad &Queue = queueOf(Sum_, Job_);
    addWork(Queue, Work, Status);
    core::Duration &Shortest =
        Sum_.Objectives_.try_emplace(Queue.Queue_, Objective_).first->second;
    Shortest = std::min(Shortest, Objective_);
  }

  const Holder &State_;
  const HolderContext &Context_;
  const jobs::JobEntry &Job_;
  ServiceSum &Sum_;
  std::vector<core::Duration> Chains_;
  core::Duration Objective_;
};

void addWaiting(const Holder &State, const HolderContext &Context,
                ServiceSums &Sums) {
  for (const auto &[Name, Job] : Context.View_.Jobs_) {
    if (Job.Accepted_.Job_.empty() || Job.CancelRequested_ ||
        jobs::isFinal(Job.reportedState()))
      continue;
    auto Live = State.Jobs_.find(Name);
    const jobs::JobProgress &Progress =
        Live != State.Jobs_.end() ? Live->second.Progress_ : Job.Progress_;
    ServiceSum *Sum = sumOf(Sums, Job);
    if (Sum && !jobs::isFinal(Progress.State_))
      JobSum(State, Context, Job, *Sum).add(Progress);
  }
}

/// Returns whether the wait of some queue exceeds its shortest objective.
bool isOverloaded(const ServiceSum &Sum) {
  for (const auto &[Name, Objective] : Sum.Objectives_) {
    const QueueLoad &Own = Sum.Queues_.at(Name);
    double Ahead = 0;
    for (const auto &[Other, Queue] : Sum.Queues_)
      if (Queue.Priority_ < Own.Priority_)
        Ahead += Queue.Waiting_;
      else if (Queue.Priority_ == Own.Priority_)
        Ahead += Queue.Waiting_ - Queue.Expired_;
    if (Ahead > Sum.Load_.Accelerators_ * Seconds(Objective).count())
      return true;
  }
  return false;
}

bool isValid(double Amount) { return Amount >= 0 && Amount <= MaxAmount; }

bool isValid(const jobs::Resources &Value) {
  return isValid(static_cast<double>(Value.Cpu_)) &&
         isValid(static_cast<double>(Value.MemoryMb_)) &&
         isValid(static_cast<double>(Value.Accelerators_));
}

} // namespace

namespace {

/// Bounds the sum of declared run times.
constexpr core::Duration LongestChain = std::chrono::hours(24 * 365 * 100);

} // namespace

std::vector<core::Duration> longestChains(const jobs::JobSpec &Spec) {
  std::vector<core::Duration> Declared;
  for (const jobs::StepSpec &Step : Spec.Steps_)
    Declared.push_back(Step.Estimate_);
  return longestChains(Spec, Declared);
}

std::vector<core::Duration>
longestChains(const jobs::JobSpec &Spec,
              const std::vector<core::Duration> &RunTimes) {
  std::vector<core::Duration> Chain(Spec.Steps_.size());
  for (std::size_t I = Spec.Steps_.size(); I-- > 0;) {
    Chain[I] = std::min(Chain[I] + RunTimes[I], LongestChain);
    for (std::uint32_t Dependency : Spec.Steps_[I].DependsOn_)
      Chain[Dependency] = std::max(Chain[Dependency], Chain[I]);
  }
  return Chain;
}

core::Duration objectiveOf(const jobs::Queue *Queue,
                           const std::vector<core::Duration> &Chains) {
  core::Duration Longest(0);
  for (core::Duration Chain : Chains)
    Longest = std::max(Longest, Chain);
  if (!Queue)
    return Longest;
  return Queue->StartAllowance_ +
         core::Duration(static_cast<std::int64_t>(
             static_cast<double>(Longest.count()) * Queue->Stretch_));
}

double acceleratorsOf(const jobs::Resources &Need,
                      const jobs::Resources &Capacity) {
  const auto Share = [](std::int64_t Part, std::int64_t Total) {
    return Total > 0 ? static_cast<double>(Part) / static_cast<double>(Total)
                     : 0;
  };
  const double Largest =
      std::max({Share(Need.Cpu_, Capacity.Cpu_),
                Share(Need.MemoryMb_, Capacity.MemoryMb_),
                Share(Need.Accelerators_, Capacity.Accelerators_)});
  return Largest * static_cast<double>(Capacity.Accelerators_);
}

double acceleratorWork(const jobs::JobSpec &Spec,
                       const jobs::Resources &Capacity) {
  double Sum = 0;
  for (const jobs::StepSpec &Step : Spec.Steps_)
    Sum += Seconds(Step.Estimate_).count() * Step.Count_ *
           acceleratorsOf(requiredResources(Step), Capacity);
  return Sum;
}

jobs::Resources largestUnit(const jobs::JobSpec &Spec) {
  jobs::Resources Largest;
  for (const jobs::StepSpec &Step : Spec.Steps_) {
    const jobs::Resources Unit =
        requiredResources(Step).times(Step.Gang_ ? Step.Count_ : 1);
    Largest = {std::max(Largest.Cpu_, Unit.Cpu_),
               std::max(Largest.MemoryMb_, Unit.MemoryMb_),
               std::max(Largest.Accelerators_, Unit.Accelerators_)};
  }
  return Largest;
}

core::Duration expectedWait(const CellLoad &Load, int Priority,
                            const jobs::Resources &Need, core::Duration Slack) {
  if (Load.Free_.covers(Need))
    return core::Duration(0);
  if (Load.Accelerators_ <= 0 ||
      acceleratorsOf(Need, Load.Capacity_) > Load.Accelerators_)
    return LongestWait;
  double OnTime = 0;
  double Late = 0;
  double Running = 0;
  for (const QueueLoad &Queue : Load.Queues_) {
    Running += Queue.Running_;
    if (Queue.Priority_ < Priority)
      OnTime += Queue.Waiting_;
    if (Queue.Priority_ != Priority)
      continue;
    OnTime += std::max(Queue.Waiting_ - Queue.Late_ - Queue.Expired_, 0.0);
    Late += Queue.Late_;
  }
  // Runs with a mean rest end evenly over twice that time, so that half of the
  // accelerators are free after it.
  const double Share =
      acceleratorsOf(Need, Load.Capacity_) / Load.Accelerators_;
  const double UntilFree = Running * std::min(1.0, 2 * Share);
  const core::Duration Wait =
      toWait(std::max(OnTime, UntilFree), Load.Accelerators_);
  return Wait <= Slack
             ? Wait
             : toWait(std::max(OnTime + Late, UntilFree), Load.Accelerators_);
}

LoadReport makeLoadReport(const std::string &Host, const Holder &State,
                          const HolderContext &Context) {
  LoadReport Report;
  Report.Host_ = Host;
  Report.Term_ = State.Term_;
  if (!State.UnsyncedWorkers_.empty())
    return Report;
  ServiceSums Sums = usableServices(State, Context);
  addRuns(State, Context, Sums);
  addWaiting(State, Context, Sums);
  for (auto &[Service, Sum] : Sums) {
    Report.Overloaded_ |= isOverloaded(Sum);
    Sum.Load_.Service_ = Service;
    for (auto &[Name, Queue] : Sum.Queues_)
      Sum.Load_.Queues_.push_back(std::move(Queue));
    Report.Services_.push_back(std::move(Sum.Load_));
  }
  return Report;
}

bool isValid(const LoadReport &Report) {
  /// Far above the rows of any tables.
  constexpr std::size_t MaxRows = 4096;
  /// Allows for sums that round differently.
  constexpr double Rounding = 1 + 1e-6;
  if (Report.Services_.size() > MaxRows)
    return false;
  for (const CellLoad &Load : Report.Services_) {
    if (!isValid(Load.Accelerators_) || !isValid(Load.Capacity_) ||
        !isValid(Load.Free_) || Load.Queues_.size() > MaxRows)
      return false;
    for (const QueueLoad &Queue : Load.Queues_)
      if (!isValid(Queue.Waiting_) || !isValid(Queue.Late_) ||
          !isValid(Queue.Expired_) || !isValid(Queue.Running_) ||
          Queue.Late_ + Queue.Expired_ > Queue.Waiting_ * Rounding)
        return false;
  }
  return true;
}

} // namespace nutmegwell::cell
