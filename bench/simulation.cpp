#include "simulation.h"

#include "probes.h"
#include <algorithm>
#include <queue>
#include <set>
#include <tuple>

namespace nutmegwell::bench {

namespace {

using std::chrono::seconds;

/// Time between the decision to preempt and free accelerators, in which the
/// job writes its checkpoint and does no other work.
constexpr seconds CheckpointGrace{30};
/// A guarantee is reclaimed in time when the stops took no longer than their
/// grace and one decision.
constexpr seconds ReclaimBound = CheckpointGrace + seconds(1);
constexpr seconds PeriodicCheckpoint{600};
/// Time that a later attempt needs to read its checkpoint.
constexpr seconds RestoreTime{30};
/// Time between decisions when nothing else happens and jobs wait, so that
/// rules that depend on waiting time take effect.
constexpr seconds IdleTick{60};
/// Ends a run whose policy never starts some job.
constexpr int HorizonFactor = 20;

enum class State : std::uint8_t {
  Coming,
  Waiting,
  Running,
  Stopping,
  Finished
};

struct SimJob {
  State State_ = State::Coming;
  std::uint32_t Attempt_ = 0;
  std::size_t Cell_ = 0;
  std::size_t Preferred_ = 0;
  core::JobId Preemptor_;
  core::JobId MigratableFor_;
  model::DomainName MigratedFrom_;
  model::Placement Placement_;
  core::Duration WaitFrom_{};
  core::Duration StartAt_{};
  core::Duration Saved_{};
  core::Duration AttainedService_{};
  core::Duration LongestWait_{};
  core::Duration Waited_{};
  core::Duration FirstWait_{};
  std::uint32_t Preemptions_ = 0;
  bool Entitled_ = false;
};

enum class EventKind : std::uint8_t { Arrival, End, Stopped, Fault, Tick };

struct Event {
  core::Duration Time_{};
  EventKind Kind_ = EventKind::Tick;
  std::size_t Index_ = 0;
  std::uint32_t Attempt_ = 0;
  friend bool operator>(const Event &A, const Event &B) {
    return std::tie(A.Time_, A.Kind_, A.Index_) >
           std::tie(B.Time_, B.Kind_, B.Index_);
  }
};

class Simulation {
public:
  Simulation(const Workload &Load, const NamedPolicy &Policy)
      : Load_(Load), Policy_(Policy), Cells_(Load.Cells_),
        Jobs_(Load.Jobs_.size()) {}

  RunResult run();

private:
  const JobInput &input(std::size_t J) const { return Load_.Jobs_[J]; }
  core::Duration workAt(std::size_t J) const;
  core::Duration periodicSave(std::size_t J) const;
  void push(core::Duration Time, EventKind Kind, std::size_t Index,
            std::uint32_t Attempt);
  void handle(const Event &Next);
  void handleFault(const Fault &Next);
  void start(std::size_t J, std::size_t Cell, model::Placement Tasks);
  void preempt(const sched::PreemptDecision &Next);
  void putBack(std::size_t J);
  void kill(std::size_t J);
  void saveAs(std::size_t J, core::Duration Saved);
  void creditAbsence(std::size_t J, core::Duration From, core::Duration To);
  void fillView(std::size_t Cell);
  void decideCell(std::size_t Cell);
  void decideAll();
  void observeAbsence();
  void finishResult();

  const Workload &Load_;
  const NamedPolicy &Policy_;
  std::vector<sched::CellView> Cells_;
  std::vector<SimJob> Jobs_;
  std::set<std::size_t> Waiting_;
  std::set<std::size_t> Active_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> Events_;
  core::Duration Now_{};
  double UsefulInAbsence_ = 0;
  FragmentationProbe Fragmentation_;
  AbsenceProbe Absence_{Load_.AbsenceFrom_, Load_.AbsenceTo_};
  ReclaimProbe Reclaim_{ReclaimBound};
  RunResult Result_;
};

core::Duration Simulation::workAt(std::size_t J) const {
  const SimJob &Job = Jobs_[J];
  core::Duration Done = std::max(Now_ - Job.StartAt_, core::Duration(0));
  return std::min(Job.Saved_ + Done, input(J).RunTime_);
}

core::Duration Simulation::periodicSave(std::size_t J) const {
  core::Duration Done = workAt(J) - Jobs_[J].Saved_;
  return Jobs_[J].Saved_ + Done - Done % PeriodicCheckpoint;
}

void Simulation::push(core::Duration Time, EventKind Kind, std::size_t Index,
                      std::uint32_t Attempt) {
  Events_.push({Time, Kind, Index, Attempt});
}

/// Counts the useful work of an attempt in the remaining domains.
void Simulation::creditAbsence(std::size_t J, core::Duration From,
                               core::Duration To) {
  if (Jobs_[J].Cell_ == 0)
    return;
  From = std::max(From, Load_.AbsenceFrom_);
  To = std::min(To, Load_.AbsenceTo_);
  if (To > From)
    UsefulInAbsence_ += std::chrono::duration<double>(To - From).count() *
                        input(J).Spec_.accelerators();
}

/// Ends the work of an attempt of which \p Saved is kept.
void Simulation::saveAs(std::size_t J, core::Duration Saved) {
  SimJob &Job = Jobs_[J];
  std::uint32_t Size = input(J).Spec_.accelerators();
  core::Duration Done = workAt(J);
  Result_.LostWork_ +=
      std::chrono::duration<double>(Done - Saved).count() * Size;
  Job.AttainedService_ += (Done - Job.Saved_) * Size;
  creditAbsence(J, Job.StartAt_, Job.StartAt_ + (Saved - Job.Saved_));
  Job.Saved_ = Saved;
}

void Simulation::start(std::size_t J, std::size_t Cell,
                       model::Placement Tasks) {
  SimJob &Job = Jobs_[J];
  Job.LongestWait_ = std::max(Job.LongestWait_, Now_ - Job.WaitFrom_);
  Job.Waited_ += Now_ - Job.WaitFrom_;
  if (Job.Attempt_ == 0)
    Job.FirstWait_ = Job.Waited_;
  Job.State_ = State::Running;
  Job.Cell_ = Cell;
  Job.Placement_ = std::move(Tasks);
  Job.StartAt_ = Now_ + (Job.Attempt_ > 0 ? RestoreTime : seconds(0));
  ++Job.Attempt_;
  Waiting_.erase(J);
  Active_.insert(J);
  push(Job.StartAt_ + input(J).RunTime_ - Job.Saved_, EventKind::End, J,
       Job.Attempt_);
  bool HadGuarantee = Reclaim_.started(J, Now_);
  Job.Entitled_ = Job.Entitled_ && (Job.Attempt_ > 1 || HadGuarantee);
}

void Simulation::preempt(const sched::PreemptDecision &Next) {
  std::size_t J = Next.Job_.Sequence_ - 1;
  Jobs_[J].Preemptor_ = Next.Preemptor_;
  Jobs_[J].MigratedFrom_ =
      Next.Migration_ ? Cells_[Jobs_[J].Cell_].Domain_ : model::DomainName();
  saveAs(J, input(J).SavesOnDemand_ ? workAt(J) : periodicSave(J));
  Jobs_[J].State_ = State::Stopping;
  ++Result_.Preemptions_;
  ++Jobs_[J].Preemptions_;
  push(Now_ + CheckpointGrace, EventKind::Stopped, J, Jobs_[J].Attempt_);
}

void Simulation::putBack(std::size_t J) {
  Active_.erase(J);
  Waiting_.insert(J);
  Jobs_[J].State_ = State::Waiting;
  Jobs_[J].WaitFrom_ = Now_;
}

void Simulation::kill(std::size_t J) {
  if (Jobs_[J].State_ == State::Running)
    saveAs(J, periodicSave(J));
  putBack(J);
}

void Simulation::handleFault(const Fault &Next) {
  sched::CellView &Cell = Cells_[Next.Domain_];
  bool Off = Next.Kind_ == FaultKind::Off;
  if (Next.Kind_ == FaultKind::WorkerDown || Next.Kind_ == FaultKind::WorkerUp)
    Cell.Workers_[Next.Worker_].Usable_ = Next.Kind_ == FaultKind::WorkerUp;
  if (Next.Kind_ == FaultKind::Notice || Next.Kind_ == FaultKind::Back)
    Cell.MayStart_ = Next.Kind_ == FaultKind::Back;
  if (!Off && Next.Kind_ != FaultKind::WorkerDown)
    return;
  const model::NodeName &Name = Cell.Workers_[Next.Worker_].Name_;
  std::set<std::size_t> Active = Active_;
  for (std::size_t J : Active) {
    const model::Placement &Tasks = Jobs_[J].Placement_;
    bool Hit = std::any_of(
        Tasks.begin(), Tasks.end(),
        [&](const model::TaskPlacement &Task) { return Task.Worker_ == Name; });
    if (Jobs_[J].Cell_ == Next.Domain_ && (Off || Hit))
      kill(J);
  }
}

void Simulation::handle(const Event &Next) {
  if (Next.Kind_ == EventKind::Fault)
    return handleFault(Load_.Faults_[Next.Index_]);
  if (Next.Kind_ == EventKind::Tick)
    return;
  SimJob &Job = Jobs_[Next.Index_];
  if (Next.Attempt_ != Job.Attempt_)
    return;
  if (Next.Kind_ == EventKind::Arrival) {
    putBack(Next.Index_);
  } else if (Next.Kind_ == EventKind::End && Job.State_ == State::Running) {
    saveAs(Next.Index_, input(Next.Index_).RunTime_);
    Job.State_ = State::Finished;
    Active_.erase(Next.Index_);
    Result_.Jobs_.push_back(
        {Now_ - input(Next.Index_).Arrival_, input(Next.Index_).RunTime_,
         Job.LongestWait_, input(Next.Index_).Spec_.Class_,
         input(Next.Index_).Spec_.accelerators(), Job.Preemptions_, Job.Waited_,
         Job.FirstWait_, Job.Entitled_});
  } else if (Next.Kind_ == EventKind::Stopped &&
             Job.State_ == State::Stopping) {
    putBack(Next.Index_);
  }
}

void Simulation::fillView(std::size_t Cell) {
  sched::CellView &View = Cells_[Cell];
  View.Waiting_.clear();
  View.Running_.clear();
  for (std::size_t J : Waiting_)
    View.Waiting_.push_back({{1, J + 1},
                             input(J).Spec_,
                             Now_ - Jobs_[J].WaitFrom_,
                             Jobs_[J].AttainedService_,
                             Jobs_[J].Preferred_ == Cell,
                             Jobs_[J].Waited_,
                             Jobs_[J].MigratedFrom_});
  for (std::size_t J : Active_) {
    const SimJob &Job = Jobs_[J];
    if (Job.Cell_ != Cell)
      continue;
    bool Stopping = Job.State_ == State::Stopping;
    core::Duration Run = Stopping ? core::Duration(0) : workAt(J) - Job.Saved_;
    View.Running_.push_back(
        {{1, J + 1},
         input(J).Spec_,
         Job.Placement_,
         Run % PeriodicCheckpoint,
         Job.AttainedService_ + Run * input(J).Spec_.accelerators(),
         Stopping,
         Job.Preemptor_,
         std::max(Now_ - Job.StartAt_, core::Duration(0)),
         Job.MigratableFor_,
         Job.Waited_});
  }
}

void Simulation::decideCell(std::size_t Cell) {
  fillView(Cell);
  auto Before = std::chrono::steady_clock::now();
  sched::Plan Plan = Policy_.Decide_(Cells_[Cell]);
  std::chrono::duration<double, std::micro> Spent =
      std::chrono::steady_clock::now() - Before;
  Result_.DecisionMicros_.push_back(Spent.count());
  for (sched::StartDecision &Next : Plan.Starts_) {
    std::size_t J = Next.Job_.Sequence_ - 1;
    Result_.PartialGangs_ +=
        Next.Placement_.size() != input(J).Spec_.TaskCount_;
    start(J, Cell, std::move(Next.Placement_));
  }
  for (const sched::PreemptDecision &Next : Plan.Preemptions_)
    if (Jobs_[Next.Job_.Sequence_ - 1].State_ == State::Running)
      preempt(Next);
  if (!Plan.Starts_.empty()) {
    fillView(Cell);
    Result_.Invalid_ += !placementsValid(Cells_[Cell]);
  }
}

void Simulation::decideAll() {
  for (std::size_t C = 0; C < Cells_.size(); ++C)
    fillView(C);
  Reclaim_.observe(Cells_, Now_);
  for (std::size_t J : Waiting_)
    if (Jobs_[J].Attempt_ == 0 && Jobs_[J].WaitFrom_ == Now_)
      Jobs_[J].Entitled_ = Reclaim_.isOpen(J);
  if (Policy_.Arrange_) {
    Policy_.Arrange_(Cells_);
    for (std::size_t C = 0; C < Cells_.size(); ++C) {
      for (const sched::WaitingJob &Job : Cells_[C].Waiting_)
        if (Job.Preferred_)
          Jobs_[Job.Id_.Sequence_ - 1].Preferred_ = C;
      for (const sched::RunningJob &Job : Cells_[C].Running_)
        Jobs_[Job.Id_.Sequence_ - 1].MigratableFor_ = Job.MigratableFor_;
    }
  }
  for (std::size_t C = 0; C < Cells_.size(); ++C)
    decideCell(C);
  for (std::size_t C = 0; C < Cells_.size(); ++C)
    fillView(C);
  Fragmentation_.observe(Cells_, Now_);
  observeAbsence();
}

/// Takes what the remaining domains do from now until the next event.
void Simulation::observeAbsence() {
  if (Load_.AbsenceTo_ <= Load_.AbsenceFrom_)
    return;
  AbsenceProbe::Use Use;
  for (std::size_t C = 1; C < Cells_.size(); ++C)
    for (const sched::WorkerView &Worker : Cells_[C].Workers_)
      Use.Idle_ += Worker.Usable_ ? Worker.Accelerators_ : 0;
  for (std::size_t J : Active_) {
    if (Jobs_[J].Cell_ == 0)
      continue;
    std::uint32_t Size = input(J).Spec_.accelerators();
    Use.Idle_ -= Size;
    if (Jobs_[J].State_ == State::Stopping || Jobs_[J].StartAt_ > Now_)
      Use.Changing_ += Size;
  }
  if (Waiting_.empty())
    Use.Idle_ = 0;
  Absence_.observe(Use, Now_);
}

void Simulation::finishResult() {
  double Remaining = 0;
  for (std::size_t C = 1; C < Cells_.size(); ++C)
    for (const sched::WorkerView &Worker : Cells_[C].Workers_)
      Remaining += Worker.Accelerators_;
  double Length =
      std::chrono::duration<double>(Load_.AbsenceTo_ - Load_.AbsenceFrom_)
          .count();
  if (Length > 0) {
    Result_.AbsenceShare_ = UsefulInAbsence_ / (Remaining * Length);
    Result_.AbsenceIdle_ = Absence_.sum().Idle_ / (Remaining * Length);
    Result_.AbsenceChanging_ = Absence_.sum().Changing_ / (Remaining * Length);
  }
  Result_.Fragmentation_ = Fragmentation_.mean();
  Result_.ReclaimSeconds_ = Reclaim_.times();
  Result_.ReclaimLate_ = Reclaim_.late();
  Result_.ReclaimLateToOwn_ = Reclaim_.lateToOwn();
  Result_.Unfinished_ = Jobs_.size() - Result_.Jobs_.size();
}

RunResult Simulation::run() {
  for (std::size_t J = 0; J < Jobs_.size(); ++J)
    push(input(J).Arrival_, EventKind::Arrival, J, 0);
  for (std::size_t F = 0; F < Load_.Faults_.size(); ++F)
    push(Load_.Faults_[F].Time_, EventKind::Fault, F, 0);
  core::Duration LastTick{};
  while (!Events_.empty() && Result_.Jobs_.size() < Jobs_.size() &&
         Now_ < Load_.Horizon_ * HorizonFactor) {
    Now_ = Events_.top().Time_;
    while (!Events_.empty() && Events_.top().Time_ == Now_) {
      Event Next = Events_.top();
      Events_.pop();
      handle(Next);
    }
    decideAll();
    if (!Waiting_.empty() && LastTick <= Now_) {
      LastTick = Now_ + IdleTick;
      push(LastTick, EventKind::Tick, 0, 0);
    }
  }
  finishResult();
  return std::move(Result_);
}

} // namespace

RunResult simulate(const Workload &Load, const NamedPolicy &Policy) {
  return Simulation(Load, Policy).run();
}

} // namespace nutmegwell::bench
