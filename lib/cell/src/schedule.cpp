#include "accountorder.h"
#include "gangreservations.h"
#include "nutmegwell/cell/preempt.h"
#include "releases.h"
#include "unitspeed.h"
#include <algorithm>
#include <limits>

namespace nutmegwell::cell {

namespace {

/// Number of cores that an accelerator counts as when lost work is compared;
/// the user documentation prices wasted work the same way.
constexpr double CoresPerAccelerator = 8;

/// Returns the processors of \p Uses and those that its accelerators count as.
double coresOf(const jobs::Resources &Uses) {
  constexpr double MilliPerCore = 1000;
  return static_cast<double>(Uses.Cpu_) / MilliPerCore +
         CoresPerAccelerator * static_cast<double>(Uses.Accelerators_);
}

/// Returns the core-seconds that \p Count tasks of a step are declared to take.
double declaredWork(const jobs::StepSpec &Step, std::uint32_t Count) {
  return std::chrono::duration<double>(Step.Estimate_).count() * Count *
         coresOf(requiredResources(Step));
}

/// Returns the checkpoint from which a task resumes; empty for none.
std::string checkpointOf(const jobs::JobProgress &Progress, const TaskId &Task,
                         bool Gang) {
  const jobs::StepProgress *Step = Progress.find(Task.Occurrence_, Task.Step_);
  return Step ? Step->checkpoint(Gang ? 0 : Task.Index_) : std::string();
}

double declaredWork(const jobs::JobSpec &Spec) {
  double Sum = 0;
  for (const jobs::StepSpec &Step : Spec.Steps_)
    Sum += declaredWork(Step, Step.Count_);
  return Sum;
}

/// Collects the free resources of the usable workers by service, and places
/// units on them.
class Placer {
public:
  Placer(Holder &State, const HolderContext &Context, Effects &Out)
      : State_(State), Context_(Context), Out_(Out) {
    for (auto &[Name, Host] : State_.Workers_)
      if (isUsable(State_.Policy_, Host, Context_))
        addTarget(Host);
    for (const auto &[Id, Run] : State_.Runs_)
      subtractResources(Run);
    collectOpenProbes();
  }

  /// Places the tasks of \p Work and the further ones of its step, which are
  /// alike: when one cannot be placed, none can.
  void placeTasks(const Unit &Work) {
    if (Work.spec().Gang_ || !Work.OriginalHost_.empty()) {
      placeUnit(Work);
      return;
    }
    Unit Next = Work;
    while (placeUnit(Next)) {
      const auto Index = nextWaitingTask(State_, Next, Next.Index_ + 1);
      if (!Index)
        return;
      Next.Index_ = *Index;
    }
  }

  /// Returns whether \p Work was placed, or other work was stopped for it.
  bool placeUnit(const Unit &Work) {
    if (isAlike(Work, LastUnplaced_) ||
        triesExhausted(State_.Policy_, Unplaced_, Work))
      return false;
    PlacementRequest Request = requestFor(Work);
    countSameStep(Work, targetsOf(Work));
    const SpeedNeed Need =
        speedNeedOf(State_, Context_, Work, speedsOf(Work), targetsOf(Work));
    if (Need.ExcludesWorkers_ && placeOnFastEnough(Work, Request, Need))
      return true;
    excludeTargets(Work, targetsOf(Work));
    Request.AllowRemote_ = allowRemote(Work, targetsOf(Work));
    Request.Speed_ =
        Need.ExcludesWorkers_
            ? SpeedPreference::Fast
            : preferredSpeed(Work, Need, speedsOf(Work), targetsOf(Work));
    if (startOrPreempt(Work, Request))
      return true;
    if (Work.Guaranteed_ && !Request.AllowRemote_ &&
        waitingTime(Work) >= State_.Policy_.GuaranteedLocalityWait_) {
      Request.AllowRemote_ = true;
      if (startOrPreempt(Work, Request))
        return true;
    }
    LastUnplaced_ = Work;
    countUnplaced(Work, Unplaced_);
    if (wantsReservation(State_.Policy_, Reserved_, Work, Context_.Now_))
      reserveFor(Work, Request);
    if (needsApproval(Work))
      requestApproval(State_, Work, targetsOf(Work), Context_, Out_);
    return false;
  }

  bool hasStarted() const { return Started_; }
  const UnplacedUnits &unplaced() const { return Unplaced_; }
  const GangReservations &reserved() const { return Reserved_; }

private:
  const ServiceSpeeds &speedsOf(const Unit &Work) {
    const std::string &Service = Work.Job_->Accepted_.Service_;
    auto [It, Added] = Speeds_.try_emplace(Service);
    if (Added)
      It->second = serviceSpeeds(State_.Policy_, Context_.Tables_, Service,
                                 targetsOf(Work));
    return It->second;
  }

  /// Places \p Work on workers that are fast enough for its objective, or
  /// preempts other work there. Work is stopped only to avoid slow workers, not
  /// to reach fast ones, and only within the limit on discarded work, since the
  /// unit can also start on a slow worker.
  ///
  /// Load pattern: urgent gangs on workers of uneven speed, where a gang takes
  /// as long as its slowest member.
  bool placeOnFastEnough(const Unit &Work, PlacementRequest Request,
                         const SpeedNeed &Need) {
    std::vector<PlacementTarget> &Targets = targetsOf(Work);
    excludeTargets(Work, Targets);
    excludeSlower(Targets, Need.Now_);
    Request.AllowRemote_ = allowRemote(Work, Targets);
    Request.Speed_ = preferredSpeed(Work, Need, speedsOf(Work), Targets);
    if (auto Chosen = cell::placeTasks(Request, Targets)) {
      startUnit(Work, Targets, *Chosen);
      return true;
    }
    constexpr double OrdinarySpeed = 1;
    if (!mayPreempt(Work) || Need.AfterStop_ <= 0 ||
        Need.AfterStop_ > OrdinarySpeed ||
        objectiveStatusOf(State_.Policy_, Work) != ObjectiveStatus::OnTime)
      return false;
    excludeSlower(Targets, Need.AfterStop_);
    return preemptFor(Work, Request, /*Limited=*/true);
  }

  /// Returns true for tasks of one step, and for copies of one run.
  static bool isAlike(const Unit &A, const Unit &B) {
    return A.Job_ == B.Job_ && A.Occurrence_ == B.Occurrence_ &&
           A.Step_ == B.Step_ && A.OriginalHost_ == B.OriginalHost_;
  }

  /// Starts \p Work, or preempts other work for it. Returns false when neither
  /// is possible.
  bool startOrPreempt(const Unit &Work, const PlacementRequest &Request) {
    std::vector<PlacementTarget> &Targets = targetsOf(Work);
    if (auto Chosen = cell::placeTasks(Request, Targets)) {
      startUnit(Work, Targets, *Chosen);
      return true;
    }
    return mayPreempt(Work) && preemptFor(Work, Request);
  }

  /// Work that may preempt ignores the reservation as well: it would otherwise
  /// stop other runs although reserved workers are free.
  bool ignoresReservation(const Unit &Work) const {
    return Work.Guaranteed_ || mayPreempt(Work);
  }

  void reserveFor(const Unit &Work, const PlacementRequest &Request) {
    const std::vector<PlacementTarget> &Targets = targetsOf(Work);
    recordReservation(
        Reserved_, Work,
        reserveForGang(
            Request, Targets,
            expectedReleases(State_.Runs_, rests(), Targets, Context_.Now_),
            latestUsefulStart(State_.Policy_, Work, Context_.Now_)));
  }

  /// Returns the expected rests of the runs that existed when this decision
  /// first needed them.
  const ExpectedRests &rests() {
    if (!Rests_)
      Rests_ = expectedRests(State_, Context_);
    return *Rests_;
  }

  /// Returns how long the holder has known the job of \p Work.
  core::Duration waitingTime(const Unit &Work) const {
    return Context_.Now_ -
           State_.Jobs_.at(Work.Job_->Accepted_.Job_).WaitingSince_;
  }

  void collectOpenProbes() {
    for (const auto &[Id, Run] : State_.Runs_)
      if (isOpenProbe(State_.Workers_[Run.Host_].Health_,
                      State_.Policy_.Quarantine_, Run.OrderedAt_,
                      Run.State_ == RunState::Running, Context_.Now_))
        ProbedHosts_.insert(Run.Host_);
  }

  void addTarget(const Worker &Host) {
    PlacementTarget Target;
    Target.Host_ = Host.Host_;
    Target.Rack_ = Host.Info_->Rack_;
    Target.Labels_ = Host.Info_->Labels_;
    Target.Capacity_ = Host.Info_->Capacity_;
    Target.Free_ = Host.Info_->Capacity_;
    Target.FailureScore_ =
        failureScore(Host.Health_, State_.Policy_.Quarantine_, Context_.Now_);
    if (State_.Policy_.LearnRunTimes_)
      setSpeed(Target, expect::speedOf(State_.Speeds_, Host.Host_),
               State_.Speeds_.Policy_.PriorDeviation_);
    std::vector<PlacementTarget> &Targets = Targets_[Host.Info_->Service_];
    Index_[Host.Host_] = {&Targets, Targets.size()};
    Targets.push_back(Target);
  }

  void subtractResources(const TaskRun &Run) {
    auto It = Index_.find(Run.Host_);
    if (It == Index_.end() || Run.State_ == RunState::EndUnlisted)
      return;
    PlacementTarget &Target = (*It->second.first)[It->second.second];
    Target.Free_ -= Run.Resources_;
    countSmall(Target, Run.Id_.Task_.Job_, Run.Resources_);
  }

  /// Counts a run if its task is small.
  void countSmall(const PlacementTarget &Target, const std::string &Job,
                  const jobs::Resources &Each) {
    if (!isSmall(Each, Target.Capacity_))
      return;
    ++SmallRuns_[Target.Host_];
    ++SmallRunsOfJobs_[{Target.Host_, Job}];
  }

  /// Returns how many further runs of \p Work the worker may get beside what
  /// its resources allow. Small tasks of one job leave room for those of
  /// others.
  std::int64_t freeRuns(const Unit &Work, const PlacementTarget &Target) const {
    if (!isSmall(requiredResources(Work.spec()), Target.Capacity_))
      return std::numeric_limits<std::int64_t>::max();
    const auto All = SmallRuns_.find(Target.Host_);
    const auto OfJob =
        SmallRunsOfJobs_.find({Target.Host_, Work.Job_->Accepted_.Job_});
    return std::min(MaxSmallRuns - (All == SmallRuns_.end() ? 0 : All->second),
                    MaxSmallRunsOfJob -
                        (OfJob == SmallRunsOfJobs_.end() ? 0 : OfJob->second));
  }

  std::vector<PlacementTarget> &targetsOf(const Unit &Work) {
    return Targets_[Work.Job_->Accepted_.Service_];
  }

  PlacementRequest requestFor(const Unit &Work) {
    PlacementRequest Request;
    Request.Step_ = &Work.spec();
    Request.Count_ = Work.Count_;
    if (Work.spec().SameRack_ && Work.Count_ == 1)
      Request.PreferredRack_ = rackOfSiblings(Work);
    Request.DemandedSpeed_ = speedsOf(Work).Demanded_;
    return Request;
  }

  /// Returns the rack on which other tasks of the step run, or an empty string.
  std::string rackOfSiblings(const Unit &Work) const {
    for (auto It = firstOfStep(Work); sameStep(It, Work); ++It) {
      auto Host = State_.Workers_.find(It->second.Host_);
      if (Host != State_.Workers_.end() && Host->second.Info_)
        return Host->second.Info_->Rack_;
    }
    return {};
  }

  TaskRunMap::const_iterator firstOfStep(const Unit &Work) const {
    return State_.Runs_.lower_bound(
        {{Work.Job_->Accepted_.Job_, Work.Occurrence_, Work.Step_, 0}, 0});
  }

  bool sameStep(TaskRunMap::const_iterator It, const Unit &Work) const {
    return It != State_.Runs_.end() &&
           It->first.Task_.Job_ == Work.Job_->Accepted_.Job_ &&
           It->first.Task_.Occurrence_ == Work.Occurrence_ &&
           It->first.Task_.Step_ == Work.Step_;
  }

  void countSameStep(const Unit &Work,
                     std::vector<PlacementTarget> &Targets) const {
    for (PlacementTarget &Target : Targets)
      Target.StepTaskCount_ = 0;
    if (Work.spec().SpreadLimit_ == 0)
      return;
    for (auto It = firstOfStep(Work); sameStep(It, Work); ++It)
      for (PlacementTarget &Target : Targets)
        Target.StepTaskCount_ += Target.Host_ == It->second.Host_ &&
                                 It->second.State_ != RunState::EndUnlisted;
  }

  bool allowRemote(const Unit &Work,
                   const std::vector<PlacementTarget> &Targets) const {
    const std::string &Data = Work.spec().DataRack_;
    // Work does not wait for a rack that has no usable worker.
    if (!Data.empty() && !rackExists(Targets, Data))
      return true;
    return acceptsRemotePlacement(State_.Policy_, Work, freeShare(Targets),
                                  waitingTime(Work));
  }

  /// A guarantee holds whether or not the job can still meet its objective.
  bool mayPreempt(const Unit &Work) const {
    return Work.Priority_ == 0 && Work.OriginalHost_.empty() &&
           (Work.Guaranteed_ || objectiveStatusOf(State_.Policy_, Work) <=
                                    State_.Policy_.WorstPreemptingStatus_);
  }

  void startUnit(const Unit &Work, const std::vector<PlacementTarget> &Targets,
                 const std::vector<std::size_t> &Chosen) {
    Started_ = true;
    const RunNumber Run = nextRun();
    LiveJob &Live = State_.Jobs_.at(Work.Job_->Accepted_.Job_);
    for (std::uint32_t I = 0; I < Work.Count_; ++I)
      orderStart(Work, Work.Index_ + I, Run, Targets[Chosen[I]].Host_, Live);
    for (std::size_t I : Chosen) {
      noteProbe(Targets[I].Host_, Work);
      countSmall(Targets[I], Work.Job_->Accepted_.Job_,
                 requiredResources(Work.spec()));
    }
  }

  /// Keeps further work off a worker on probation that has just got \p Work.
  void noteProbe(const std::string &HostName, const Unit &Work) {
    if (!isOnProbation(State_.Workers_.at(HostName).Health_,
                       State_.Policy_.Quarantine_) ||
        !ProbedHosts_.insert(HostName).second)
      return;
    Out_.LogEvents_.push_back({"worker_probed",
                               {{"host", HostName},
                                {"job", Work.Job_->Accepted_.Job_},
                                {"step", std::to_string(Work.Step_)}}});
  }

  RunNumber nextRun() {
    /// Run numbers set aside for each term. Terms are log offsets, so that a
    /// longer tenure runs over into the numbers of terms that nobody holds.
    constexpr RunNumber RunsPerTerm = 1'000'000;
    return State_.Term_ * RunsPerTerm + ++State_.RunCounter_;
  }

  void orderStart(const Unit &Work, std::uint32_t Index, RunNumber Run,
                  const std::string &HostName, LiveJob &Live) {
    Worker &Host = State_.Workers_.at(HostName);
    const jobs::StepSpec &Step = Work.spec();
    const std::string &Job = Work.Job_->Accepted_.Job_;
    TaskRun New;
    New.Id_ = {{Job, Work.Occurrence_, Work.Step_, Index}, Run};
    New.Host_ = HostName;
    copyStepProperties(New, Step);
    New.Priority_ = Work.Priority_;
    New.OrderSequence_ = Host.NextOrder_;
    New.OrderedAt_ = Context_.Now_;
    New.ProgressedAt_ = Context_.Now_;
    New.Checkpoint_ = checkpointOf(Live.Progress_, New.Id_.Task_, Step.Gang_);
    New.FromStart_ = New.Checkpoint_.empty();
    Host.Starts_.push_back({New.Id_, Work.Job_->Accepted_.Spec_.Command_,
                            New.Checkpoint_, ticketFor(Work, Host)});
    Host.OrdersDue_ = true;
    Host.RecentStarts_.emplace_back(Context_.Now_, New.Id_);
    Out_.LogEvents_.push_back(
        {"task_starting",
         {{"task", toString(New.Id_.Task_)},
          {"run", std::to_string(Run)},
          {"host", HostName},
          {"slack_ms",
           std::to_string(core::wholeMilliseconds(Work.Slack_).count())},
          {"view", std::to_string(Context_.View_.NextOffset_)},
          {"tables", std::to_string(Context_.Tables_.Version_)}}});
    State_.Runs_.emplace(New.Id_, std::move(New));
  }

  std::string ticketFor(const Unit &Work, const Worker &Host) const {
    const Approval *Answer =
        needsApproval(Work) ? approvalFor(State_, Work, Host, Context_.Now_)
                            : nullptr;
    return Answer ? Answer->Ticket_ : std::string();
  }

  bool needsApproval(const Unit &Work) const {
    const jobs::Queue *Queue =
        Context_.Tables_.queue(Work.Job_->Accepted_.Queue_);
    return Queue && Queue->Approval_;
  }

  /// Returns whether \p Work leaves headroom to more urgent work.
  bool leavesHeadroom(const Unit &Work,
                      const std::vector<PlacementTarget> &Targets) const {
    return Work.Priority_ > 0 && !Work.spec().LongRunning_ &&
           Work.spec().RequiredLabel_.empty() &&
           needsHeadroom(State_.Policy_.Headroom_, Targets);
  }

  const std::set<std::string> &
  headroomRacksOf(const std::string &Service,
                  const std::vector<PlacementTarget> &Targets) {
    auto [It, Added] = HeadroomRacks_.try_emplace(Service);
    if (Added)
      It->second = headroomRacks(State_.Policy_.Headroom_, Targets);
    return It->second;
  }

  /// Excludes the workers on which \p Work must not run: those without an
  /// approval, that of the run of which it is a copy, those with an open probe,
  /// those where it leaves headroom, and those kept for a gang. Work runs on
  /// the rack of its data in any case. Guaranteed work does not wait for the
  /// result of a probe.
  void excludeTargets(const Unit &Work, std::vector<PlacementTarget> &Targets) {
    const bool Approvals = needsApproval(Work);
    const bool LeavesHeadroom = leavesHeadroom(Work, Targets);
    const std::set<std::string> &KeptRacks =
        headroomRacksOf(Work.Job_->Accepted_.Service_, Targets);
    for (PlacementTarget &Target : Targets) {
      Target.FreeRuns_ = freeRuns(Work, Target);
      Target.Excluded_ =
          Target.Host_ == Work.OriginalHost_ ||
          (!Work.Guaranteed_ && ProbedHosts_.count(Target.Host_) > 0) ||
          (LeavesHeadroom && Target.Rack_ != Work.spec().DataRack_ &&
           KeptRacks.count(Target.Rack_) > 0);
      if (!Approvals)
        continue;
      const Approval *Answer = approvalFor(
          State_, Work, State_.Workers_.at(Target.Host_), Context_.Now_);
      Target.Excluded_ |= !Answer || Answer->Ticket_.empty();
    }
    if (!ignoresReservation(Work))
      excludeReserved(Reserved_, Work, Context_.Now_, Targets);
  }

  /// Makes resources available for \p Work by preempting less urgent work.
  /// Returns false when that is not possible. With \p Limited, the limit on
  /// discarded work holds for guaranteed work as well.
  bool preemptFor(const Unit &Work, const PlacementRequest &Request,
                  bool Limited = false) {
    std::vector<PlacementTarget> Targets = targetsOf(Work);
    for (const auto &[Id, Run] : State_.Runs_)
      if (Run.State_ == RunState::Stopping ||
          (!Work.Guaranteed_ && endsBeforeStop(Run)))
        returnResources(Run, Work, Targets);
    if (reserveFreed(Work, Request, Targets))
      return true;
    std::vector<std::vector<RunId>> Groups;
    const std::vector<Victim> Candidates = candidatesFor(Work, Groups);
    const std::vector<std::size_t> Chosen =
        State_.Policy_.ChooseVictims_(Request, Targets, Candidates);
    if ((Limited || !Work.Guaranteed_) &&
        lostWork(Candidates, Chosen) > discardable(Work))
      return false;
    for (std::size_t I : Chosen) {
      for (const RunId &Id : Groups[I])
        stopRun(State_, State_.Runs_.at(Id),
                "preempted by " + Work.Job_->Accepted_.Job_, Context_.Now_,
                Out_);
      for (const auto &[Worker, Freed] : Candidates[I].FreedResources_)
        Targets[Worker].Free_ += Freed;
    }
    // Stopped runs end earlier than expected so far.
    if (!Chosen.empty())
      Rests_.reset();
    return !Chosen.empty() && reserveFreed(Work, Request, Targets);
  }

  void returnResources(const TaskRun &Run, const Unit &Work,
                       std::vector<PlacementTarget> &Targets) {
    auto It = Index_.find(Run.Host_);
    if (It != Index_.end() && It->second.first == &targetsOf(Work))
      Targets[It->second.second].Free_ += Run.Resources_;
  }

  /// Reserves resources that are being freed, so that later units leave them to
  /// \p Work. Returns false when the work does not fit into them.
  bool reserveFreed(const Unit &Work, const PlacementRequest &Request,
                    std::vector<PlacementTarget> Targets) {
    auto Chosen = cell::placeTasks(Request, Targets);
    if (!Chosen)
      return false;
    jobs::Resources Each = requiredResources(Work.spec());
    for (std::size_t I : *Chosen)
      targetsOf(Work)[I].Free_ -= Each;
    return true;
  }

  /// Returns the runs that may be preempted for \p Work, the members of a gang
  /// as one candidate. \p Groups receives the runs of each candidate.
  std::vector<Victim> candidatesFor(const Unit &Work,
                                    std::vector<std::vector<RunId>> &Groups) {
    std::map<std::pair<TaskId, RunNumber>, std::size_t> GangIndex;
    std::vector<Victim> Candidates;
    for (const auto &[Id, Run] : State_.Runs_) {
      auto It = Index_.find(Run.Host_);
      if (Run.State_ == RunState::Stopping ||
          Run.State_ == RunState::EndUnlisted || Run.LongRunning_ ||
          It == Index_.end() || It->second.first != &targetsOf(Work) ||
          !mayStop(Run, Work))
        continue;
      std::size_t At = Candidates.size();
      if (Run.Gang_) {
        TaskId First = Id.Task_;
        First.Index_ = 0;
        At = GangIndex.try_emplace({First, Id.Run_}, At).first->second;
      }
      if (At == Candidates.size()) {
        Candidates.emplace_back();
        Groups.emplace_back();
        Candidates[At].Priority_ = Run.Priority_;
      }
      Groups[At].push_back(Id);
      Candidates[At].LostWork_ += lostWork(Run);
      Candidates[At].FreedResources_.emplace_back(It->second.second,
                                                  Run.Resources_);
    }
    return Candidates;
  }

  /// Returns the rest of a run as measured by its progress, where preemption
  /// weighs it.
  std::optional<core::Duration> measuredRest(const TaskRun &Run) {
    if (!State_.Policy_.ReserveForGangs_)
      return std::nullopt;
    auto It = rests().find(&Run);
    if (It == rests().end() || !It->second.Measured_)
      return std::nullopt;
    return It->second.Rest_;
  }

  /// Returns whether \p Run is expected to end before a stop would free its
  /// resources.
  bool endsBeforeStop(const TaskRun &Run) {
    const auto Rest = measuredRest(Run);
    return Rest && *Rest <= State_.Policy_.Departure_.StopTime_;
  }

  /// Returns whether \p Run ends so soon that a stop would mostly repeat work.
  bool endsSoon(const TaskRun &Run) {
    const auto Rest = measuredRest(Run);
    return Rest && isNearlyDone(*Rest, Context_.Now_ - Run.OrderedAt_,
                                State_.Policy_.Departure_.StopTime_);
  }

  /// Returns true for less urgent runs that do not end soon, and for runs that
  /// borrow what the account of \p Work is guaranteed.
  bool mayStop(const TaskRun &Run, const Unit &Work) {
    if (!Work.Guaranteed_ && endsSoon(Run))
      return false;
    if (Run.Priority_ != Work.Priority_ || !Work.Guaranteed_)
      return Run.Priority_ > Work.Priority_;
    if (!WithinGuarantee_)
      WithinGuarantee_ = accountsWithinGuarantee(State_, Context_);
    auto Job = Context_.View_.Jobs_.find(Run.Id_.Task_.Job_);
    return Job != Context_.View_.Jobs_.end() &&
           WithinGuarantee_->count(Job->second.Accepted_.Account_) == 0;
  }

  static double lostWork(const std::vector<Victim> &Candidates,
                         const std::vector<std::size_t> &Chosen) {
    double Sum = 0;
    for (std::size_t I : Chosen)
      Sum += Candidates[I].LostWork_;
    return Sum;
  }

  /// Returns the core-seconds of other work that may be discarded for \p Work.
  double discardable(const Unit &Work) {
    const jobs::JobAccepted &Job = Work.Job_->Accepted_;
    const double OwnWork = declaredWork(Job.Spec_);
    const double JobShare =
        declaredWork(Work.spec(), Work.Count_) / std::max(OwnWork, 1.0);
    const bool OnTime =
        objectiveStatusOf(State_.Policy_, Work) == ObjectiveStatus::OnTime;
    return JobShare * discardableWork(State_.Policy_.Preemption_, OwnWork,
                                      meanWork(Job.Queue_), OnTime);
  }

  /// Returns the mean declared work of the known jobs of \p Queue.
  double meanWork(const std::string &Queue) {
    auto [It, Added] = MeanWork_.try_emplace(Queue, 0);
    if (!Added)
      return It->second;
    std::size_t Count = 0;
    for (const auto &[Name, Job] : Context_.View_.Jobs_)
      if (Job.Accepted_.Queue_ == Queue) {
        It->second += declaredWork(Job.Accepted_.Spec_);
        ++Count;
      }
    It->second /= static_cast<double>(std::max<std::size_t>(Count, 1));
    return It->second;
  }

  /// Returns the core-seconds that a stop of \p Run wastes.
  double lostWork(const TaskRun &Run) const {
    /// Time of a stop and the next start; the user documentation allows 0.2 s
    /// for a stop and up to 0.25 s to restore a checkpoint.
    constexpr double RestartSeconds = 0.4;
    const double Unsaved =
        Run.Checkpoints_
            ? 0
            : std::chrono::duration<double>(Context_.Now_ - Run.OrderedAt_)
                  .count();
    return (Unsaved + RestartSeconds) * coresOf(Run.Resources_);
  }

  Holder &State_;
  const HolderContext &Context_;
  Effects &Out_;
  bool Started_ = false;
  /// Last unit that could not be placed.
  Unit LastUnplaced_;
  UnplacedUnits Unplaced_;
  GangReservations Reserved_;
  std::optional<ExpectedRests> Rests_;
  /// Accounts whose urgent work is guaranteed, once it has been looked up.
  std::optional<std::set<std::string>> WithinGuarantee_;
  /// Workers with a probe whose result is open.
  std::set<std::string> ProbedHosts_;
  /// Results of speedsOf, by service.
  std::map<std::string, ServiceSpeeds> Speeds_;
  /// Racks on which less urgent work leaves headroom, by service.
  std::map<std::string, std::set<std::string>> HeadroomRacks_;
  /// Runs of small tasks by host, and by host and job.
  std::map<std::string, std::int64_t> SmallRuns_;
  std::map<std::pair<std::string, std::string>, std::int64_t> SmallRunsOfJobs_;
  /// Mean declared work of the jobs of a queue, by queue.
  std::map<std::string, double> MeanWork_;
  std::map<std::string, std::vector<PlacementTarget>> Targets_;
  std::map<std::string, std::pair<std::vector<PlacementTarget> *, std::size_t>>
      Index_;
};

/// Records what the decision leaves waiting.
void recordWaiting(Holder &State, const UnplacedUnits &Unplaced,
                   const GangReservations &Reserved,
                   const HolderContext &Context, Effects &Out) {
  recordWaitingAccounts(State, Unplaced);
  logReservations(State, Reserved, Context, Out);
}

} // namespace

void schedule(Holder &State, const HolderContext &Context, Effects &Out) {
  if (Context.Now_ >= State.TenureConfirmedAt_ + State.Policy_.TenureValidity_)
    return;
  const ReadyUnits Ready = readyUnits(State, Context, Out.WakeAt_);
  if (Ready.Units_.empty())
    return recordWaiting(State, {}, {}, Context, Out);
  Placer WorkPlacer(State, Context, Out);
  for (const Unit &Work : Ready.Units_)
    WorkPlacer.placeTasks(Work);
  // The next decision considers the occurrences that this one has left out.
  if (!Ready.Complete_ && WorkPlacer.hasStarted())
    Out.WakeAt_ = std::min(Out.WakeAt_, Context.Now_);
  recordWaiting(State, WorkPlacer.unplaced(), WorkPlacer.reserved(), Context,
                Out);
}

} // namespace nutmegwell::cell
