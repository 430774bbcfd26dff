#include "world.h"
#include <algorithm>
#include <cmath>
#include <random>

namespace nutmegwell::replay {

namespace {

using cell::EndKind;
using cell::RunId;

/// Simulated time between two looks at the workers; short against every bound
/// of a holder.
constexpr core::Duration Quantum = std::chrono::milliseconds(20);
constexpr core::Duration ReportEvery = std::chrono::milliseconds(500);
/// Time in which an emulated worker stops a run; the pages allow up to 0.2 s.
constexpr core::Duration StopTakes = std::chrono::milliseconds(100);
/// Times of the clocks at the day's begin; any others would do.
constexpr core::TimePoint SteadyStart{std::chrono::seconds(1000)};
constexpr jobs::WallTime WallStart{std::chrono::seconds(5000)};
/// Work after which a failing worker fails what it runs.
constexpr double FailsAfterSeconds = 0.3;
/// Cores that an accelerator counts as, as in the users' prices.
constexpr double CoresPerAccelerator = 8;

double toSeconds(core::Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

double coresOf(const jobs::Resources &Each) {
  return static_cast<double>(Each.Cpu_) / 1000 +
         CoresPerAccelerator * static_cast<double>(Each.Accelerators_);
}

/// A task at work on an emulated worker, in seconds of work.
struct Run {
  std::string Host_;
  double Needed_ = 0;
  double Done_ = 0;
  /// Work that a checkpoint had covered when the run started.
  double Resumed_ = 0;
  double Saved_ = 0;
  /// Work that the latest reported checkpoint covers.
  double Reported_ = 0;
  /// Work after which the run fails by its own fault.
  double FailsAt_ = 0;
  std::optional<core::Duration> StopAt_;
};

struct EmulatedWorker {
  cell::AgentReport Report_;
  double Speed_ = 1;
  std::optional<WorkerFault> Trouble_;
  core::Duration NextReport_{0};
  bool Changed_ = true;
  bool Gone_ = false;
  /// End of the notice of a worker that leaves.
  std::optional<core::Duration> LeavesAt_;
};

class World {
public:
  World(const Day &Table, std::uint64_t Seed, const cell::HolderPolicy &Policy)
      : Table_(Table), Random_(Seed * 7919 + 17), Tables_(tablesOf(Table)),
        Arrivals_(arrivals(Table, Seed)) {
    addWorkers();
    jobs::applyRecord(View_, {0, jobs::CellClaimed{"holder", 1, true}});
    Holder_ = cell::beginTenure(Policy, 0, now(), std::nullopt, {}, around());
    for (const WorkerTrouble &Trouble : Table.Troubles_)
      chooseWorkers(Trouble);
  }

  DayResult play() {
    // The workers are known before the first job comes.
    for (Time_ = -std::chrono::seconds(1);
         Time_ < Table_.Length_ + Table_.Finish_; Time_ += Quantum) {
      accept();
      applyTroubles();
      work();
      report();
      decide();
    }
    for (auto &[Id, Current] : Runs_)
      Result_.Done_ += Current.Done_ * coresOf(stepOf(Id).PerTask_);
    return std::move(Result_);
  }

private:
  struct PlannedTrouble {
    WorkerTrouble What_;
    std::vector<std::string> Hosts_;
  };

  core::TimePoint now() const { return SteadyStart + Time_; }

  cell::HolderContext around() const {
    static const std::set<std::string> NoDomains;
    return {View_, Tables_, NoDomains, now(), WallStart + Time_};
  }

  void addWorkers() {
    std::size_t Number = 0;
    for (std::size_t Rack = 0; Rack < Table_.Racks_; ++Rack)
      for (std::size_t I = 0; I < Table_.WorkersPerRack_; ++I, ++Number) {
        const std::string Host = "w" + std::to_string(Number);
        EmulatedWorker &Worker = Workers_[Host];
        Worker.Speed_ = Table_.Speeds_[Number % Table_.Speeds_.size()];
        Worker.Report_.Host_ = Host;
        Worker.Report_.AgentIncarnation_ = 1;
        cell::WorkerInfo Info;
        Info.Id_ = Host;
        Info.WorkerIncarnation_ = 1;
        Info.Service_ = "service";
        Info.FailureDomain_ = "a";
        Info.Capacity_ = Table_.Capacity_;
        Info.Rack_ = "r" + std::to_string(Rack);
        Info.Labels_ = {"kind", Info.Rack_};
        Worker.Report_.Worker_ = Info;
      }
  }

  void chooseWorkers(const WorkerTrouble &Trouble) {
    std::vector<std::string> Names;
    for (const auto &[Host, Worker] : Workers_)
      Names.push_back(Host);
    std::shuffle(Names.begin(), Names.end(), Random_);
    Names.resize(static_cast<std::size_t>(
        std::ceil(Trouble.Share_ * static_cast<double>(Names.size()))));
    Troubles_.push_back({Trouble, Names});
  }

  void accept() {
    for (; NextArrival_ < Arrivals_.size() &&
           Arrivals_[NextArrival_].At_ <= Time_;
         ++NextArrival_) {
      Arrival &Next = Arrivals_[NextArrival_];
      Next.Job_.Submitted_ = around().Wall_;
      jobs::applyRecord(View_, {View_.NextOffset_, Next.Job_});
      JobResult Row;
      Row.Kind_ = Next.Kind_;
      Row.Account_ = Next.Job_.Account_;
      Row.At_ = Next.At_;
      Row.Hopeless_ = Next.Hopeless_;
      const jobs::StepSpec &Step = Next.Job_.Spec_.Steps_[0];
      for (double Work : Next.Work_)
        Row.Size_ += Work * coresOf(Step.PerTask_);
      const JobKind &Kind = Table_.Kinds_[Next.Kind_];
      Row.Objective_ =
          Kind.Allowance_ +
          core::Duration(static_cast<std::int64_t>(
              1e6 * Kind.Stretch_ *
              *std::max_element(Next.Work_.begin(), Next.Work_.end())));
      Index_[Next.Job_.Job_] = Result_.Jobs_.size();
      Result_.Jobs_.push_back(Row);
      Dirty_ = true;
    }
  }

  void applyTroubles() {
    for (const PlannedTrouble &Planned : Troubles_)
      for (const std::string &Host : Planned.Hosts_) {
        EmulatedWorker &Worker = Workers_[Host];
        if (Time_ == Planned.What_.At_)
          Worker.Trouble_ = Planned.What_.Kind_;
        if (Time_ == Planned.What_.At_ + Planned.What_.For_)
          Worker.Trouble_.reset();
        if (Worker.Trouble_ == WorkerFault::Gone && !Worker.Gone_)
          lose(Host, Worker);
        if (Planned.What_.Kind_ == WorkerFault::Leave &&
            Time_ == Planned.What_.At_)
          giveNotice(Worker, Planned.What_.Notice_);
        if (Worker.LeavesAt_ == Time_)
          leave(Host, Worker);
      }
  }

  void giveNotice(EmulatedWorker &Worker, core::Duration Notice) {
    if (!Worker.Report_.Worker_ || Worker.LeavesAt_)
      return;
    Worker.Report_.Worker_->Draining_ = true;
    Worker.LeavesAt_ = Time_ + Notice;
    Worker.Changed_ = true;
  }

  /// Ends the process of a worker; its agent stays and reports that.
  void leave(const std::string &Host, EmulatedWorker &Worker) {
    const double Before = Result_.ThrownAway_;
    for (auto It = Runs_.begin(); It != Runs_.end();) {
      if (It->second.Host_ == Host) {
        throwAway(It->first, It->second, It->second.Reported_);
        ++Result_.RunsLostWithWorkers_;
        It = Runs_.erase(It);
      } else {
        ++It;
      }
    }
    Result_.LostWithWorkers_ += Result_.ThrownAway_ - Before;
    Worker.Report_.Worker_.reset();
    Worker.Report_.Ended_.clear();
    Worker.Changed_ = true;
  }

  void lose(const std::string &Host, EmulatedWorker &Worker) {
    Worker.Gone_ = true;
    for (auto It = Runs_.begin(); It != Runs_.end();) {
      if (It->second.Host_ == Host) {
        throwAway(It->first, It->second, 0);
        It = Runs_.erase(It);
      } else {
        ++It;
      }
    }
    cell::onAgentDisconnected(Holder_, Host);
  }

  const Arrival &arrivalOf(const RunId &Id) const {
    return Arrivals_[Index_.at(Id.Task_.Job_)];
  }
  const jobs::StepSpec &stepOf(const RunId &Id) const {
    return arrivalOf(Id).Job_.Spec_.Steps_[0];
  }

  /// Members of a gang that are present, and whether they span racks.
  struct Gang {
    std::uint32_t Present_ = 0;
    const std::string *Rack_ = nullptr;
    bool Spread_ = false;
  };

  static RunId gangOf(const RunId &Id) {
    RunId First = Id;
    First.Task_.Index_ = 0;
    return First;
  }

  std::map<RunId, Gang> gangs() const {
    std::map<RunId, Gang> Result;
    for (const auto &[Id, Current] : Runs_) {
      if (!stepOf(Id).Gang_)
        continue;
      Gang &Row = Result[gangOf(Id)];
      const std::string &Rack = rackOf(Current.Host_);
      Row.Spread_ |= Row.Rack_ && *Row.Rack_ != Rack;
      Row.Rack_ = &Rack;
      ++Row.Present_;
    }
    return Result;
  }

  /// Returns how much slower a run is because its gang spans racks or its data
  /// is elsewhere; 0 while members of the gang are missing.
  double penaltyOf(const RunId &Id, const Run &Current,
                   const std::map<RunId, Gang> &Gangs) const {
    const jobs::StepSpec &Step = stepOf(Id);
    if (!Step.Gang_)
      return Step.DataRack_.empty() || Step.DataRack_ == rackOf(Current.Host_)
                 ? 1
                 : Table_.RemotePenalty_;
    const Gang &Row = Gangs.at(gangOf(Id));
    if (Row.Present_ < Step.Count_)
      return 0;
    return Row.Spread_ && Step.SameRack_ ? Table_.RemotePenalty_ : 1;
  }

  const std::string &rackOf(const std::string &Host) const {
    return Workers_.at(Host).Report_.Worker_->Rack_;
  }

  double speedOf(const EmulatedWorker &Worker) const {
    if (Worker.Trouble_ == WorkerFault::Hang)
      return 0;
    if (Worker.Trouble_ == WorkerFault::Slow)
      return Worker.Speed_ / 4;
    return Worker.Speed_;
  }

  void work() {
    std::vector<std::pair<RunId, EndKind>> Ends;
    const std::map<RunId, Gang> Gangs = gangs();
    for (auto &[Id, Current] : Runs_) {
      if (Current.StopAt_) {
        if (Time_ >= *Current.StopAt_)
          Ends.emplace_back(Id, EndKind::Stopped);
        continue;
      }
      const EmulatedWorker &Worker = Workers_.at(Current.Host_);
      const double Penalty = penaltyOf(Id, Current, Gangs);
      if (Penalty > 0)
        Current.Done_ += toSeconds(Quantum) * speedOf(Worker) / Penalty;
      const double Interval = toSeconds(Table_.CheckpointEvery_);
      if (stepOf(Id).Checkpoints_)
        Current.Saved_ = std::max(
            Current.Saved_, std::floor(Current.Done_ / Interval) * Interval);
      const double FailsAt = Worker.Trouble_ == WorkerFault::Errors
                                 ? Current.Resumed_ + FailsAfterSeconds
                                 : Current.FailsAt_;
      if (Current.Done_ >= FailsAt)
        Ends.emplace_back(Id, EndKind::Failed);
      else if (Current.Done_ >= Current.Needed_)
        Ends.emplace_back(Id, EndKind::Done);
    }
    for (const auto &[Id, Kind] : Ends)
      end(Id, Kind);
  }

  void throwAway(const RunId &Id, const Run &Current, double Saved) {
    const double Cores = coresOf(stepOf(Id).PerTask_);
    const double Kept = std::max(0.0, Saved - Current.Resumed_);
    Result_.Done_ += Kept * Cores;
    Result_.ThrownAway_ += (Current.Done_ - Current.Resumed_ - Kept) * Cores;
  }

  void end(const RunId &Id, EndKind Kind) {
    auto It = Runs_.find(Id);
    if (It == Runs_.end())
      return;
    const Run Current = It->second;
    Runs_.erase(It);
    const bool Checkpoints = stepOf(Id).Checkpoints_;
    const double Saved = !Checkpoints               ? 0
                         : Kind == EndKind::Stopped ? Current.Done_
                                                    : Current.Saved_;
    if (Kind == EndKind::Done) {
      Result_.Done_ +=
          (Current.Done_ - Current.Resumed_) * coresOf(stepOf(Id).PerTask_);
      if (!DoneTasks_.insert(Id.Task_).second)
        Result_.Broken_.push_back("done twice: " + toString(Id.Task_));
    } else {
      throwAway(Id, Current, Saved);
      Result_.Stops_ += Kind == EndKind::Stopped;
    }
    EmulatedWorker &Worker = Workers_.at(Current.Host_);
    Worker.Report_.Ended_.push_back({++NextEnd_[Current.Host_], Id, Kind,
                                     Saved > 0 ? std::to_string(Saved) : ""});
    Worker.Changed_ = true;
  }

  void report() {
    cell::Effects Out;
    for (auto &[Host, Worker] : Workers_) {
      if (Worker.Gone_ || (!Worker.Changed_ && Time_ < Worker.NextReport_))
        continue;
      Worker.Changed_ = false;
      Worker.NextReport_ = Time_ + ReportEvery;
      cell::AgentReport &Report = Worker.Report_;
      ++Report.Sequence_;
      Report.Running_.clear();
      if (Report.Worker_ && Worker.LeavesAt_)
        Report.Worker_->DrainRemaining_ = *Worker.LeavesAt_ - Time_;
      for (auto &[Id, Current] : Runs_)
        if (Current.Host_ == Host) {
          Report.Running_.push_back(listed(Id, Current));
          Current.Reported_ = Current.Saved_;
        }
      cell::onReport(Holder_, Report, around(), Out);
      Dirty_ = true;
    }
    cell::onTenureConfirmed(Holder_, now());
  }

  cell::RunningTask listed(const RunId &Id, const Run &Current) const {
    const double Declared =
        std::max(0.001, Table_.TrueProgress_ ? Current.Needed_
                                             : toSeconds(stepOf(Id).Estimate_));
    return {Id, Current.Saved_ > 0 ? std::to_string(Current.Saved_) : "",
            std::min(100.0, std::floor(100 * Current.Done_ / Declared)), 0};
  }

  void decide() {
    if (!Dirty_ && now() < Wake_)
      return;
    Dirty_ = false;
    cell::Effects Out;
    cell::advanceHolder(Holder_, around(), Out);
    Wake_ = Out.WakeAt_;
    for (auto &[Host, Orders] : Out.Orders_)
      obey(Host, Orders);
    if (Out.Append_.empty())
      return;
    ++Result_.Appends_;
    for (const jobs::Record &Record : Out.Append_) {
      jobs::applyRecord(View_, {View_.NextOffset_, Record});
      if (const auto *Row = std::get_if<jobs::JobProgressed>(&Record))
        noteProgress(*Row);
    }
    cell::onAppended(Holder_);
    Dirty_ = true;
  }

  void obey(const std::string &Host, const cell::HolderOrders &Orders) {
    EmulatedWorker &Worker = Workers_.at(Host);
    cell::AgentReport &Report = Worker.Report_;
    Worker.Changed_ |= Report.Term_ != Orders.Term_;
    Report.Term_ = Orders.Term_;
    Report.ProcessedOrders_ = Orders.Sequence_;
    Report.Ended_.erase(
        std::remove_if(Report.Ended_.begin(), Report.Ended_.end(),
                       [&](const cell::EndedTask &Row) {
                         return Row.Number_ <= Orders.AcknowledgedUpTo_;
                       }),
        Report.Ended_.end());
    for (const cell::StartOrder &Order : Orders.Starts_)
      start(Host, Order);
    for (const RunId &Id : Orders.Stops_)
      if (auto It = Runs_.find(Id); It != Runs_.end() && !It->second.StopAt_)
        It->second.StopAt_ = Time_ + StopTakes;
    Worker.Changed_ |= !Orders.Starts_.empty() || !Orders.Stops_.empty();
  }

  void start(const std::string &Host, const cell::StartOrder &Order) {
    ++Result_.Runs_;
    for (auto It = Runs_.lower_bound({Order.Id_.Task_, 0});
         It != Runs_.end() && It->first.Task_ == Order.Id_.Task_; ++It)
      Result_.Broken_.push_back("two runs: " + toString(Order.Id_.Task_));
    const Arrival &Job = arrivalOf(Order.Id_);
    Run Next;
    Next.Host_ = Host;
    Next.Needed_ = Job.Work_[Order.Id_.Task_.Index_];
    if (!Order.Checkpoint_.empty())
      Next.Done_ = Next.Resumed_ = Next.Saved_ = Next.Reported_ =
          std::stod(Order.Checkpoint_);
    const JobKind &Kind = Table_.Kinds_[Job.Kind_];
    std::uniform_real_distribution<double> Share(0, 1);
    const bool Fails = Job.Hopeless_ || (Order.Id_.Task_.Index_ == 0 &&
                                         Share(Random_) < Kind.FailShare_);
    Next.FailsAt_ =
        Fails ? Next.Done_ + Share(Random_) * (Next.Needed_ - Next.Done_)
              : 2 * Next.Needed_ + 1;
    Runs_[Order.Id_] = Next;
    JobResult &Row = Result_.Jobs_[Index_.at(Order.Id_.Task_.Job_)];
    if (!Row.StartedAfter_)
      Row.StartedAfter_ = Time_ - Row.At_;
  }

  void noteProgress(const jobs::JobProgressed &Progress) {
    JobResult &Row = Result_.Jobs_[Index_.at(Progress.Job_)];
    if (Progress.Progress_.State_ == jobs::JobState::Completed &&
        !Row.CompletedAfter_)
      Row.CompletedAfter_ = Time_ - Row.At_;
  }

  const Day &Table_;
  std::mt19937_64 Random_;
  jobs::ServiceTables Tables_;
  std::vector<Arrival> Arrivals_;
  std::size_t NextArrival_ = 0;
  /// Place of a job in Arrivals_ and in the result's rows.
  std::map<std::string, std::size_t> Index_;
  jobs::View View_;
  cell::Holder Holder_;
  std::map<std::string, EmulatedWorker> Workers_;
  std::vector<PlannedTrouble> Troubles_;
  std::map<RunId, Run> Runs_;
  std::set<cell::TaskId> DoneTasks_;
  std::map<std::string, std::uint64_t> NextEnd_;
  core::Duration Time_{0};
  core::TimePoint Wake_{};
  bool Dirty_ = true;
  DayResult Result_;
};

} // namespace

DayResult playDay(const Day &Table, std::uint64_t Seed,
                  cell::HolderPolicy Policy) {
  Policy.MaxLease_ = Table.MaxLease_;
  Policy.RemotePenalty_ = Table.RemotePenalty_;
  return World(Table, Seed, Policy).play();
}

} // namespace nutmegwell::replay
