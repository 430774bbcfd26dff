#include "workload.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace nutmegwell::bench {

namespace {

using std::chrono::seconds;

constexpr const char *Service = "train";
constexpr double TwoPi = 6.283185307179586;
/// Standard deviation of the logarithm of run times; a few jobs run for many
/// times the median.
constexpr double TimeSpread = 1.2;
constexpr seconds ShortestRun{30};
constexpr seconds LongestRun{12 * 3600};
/// Notice that operators give before a domain goes off.
constexpr seconds NoticeTime{600};
constexpr seconds WorkerOutage{1800};

double uniform(const core::Random &Source) {
  return (static_cast<double>(Source.Next_() >> 11) + 0.5) * 0x1.0p-53;
}

double normal(const core::Random &Source) {
  double U = uniform(Source);
  return std::sqrt(-2 * std::log(U)) * std::cos(TwoPi * uniform(Source));
}

/// Returns an index with probability in proportion to its weight.
std::size_t pick(const core::Random &Source,
                 const std::vector<double> &Weights) {
  double Rest =
      uniform(Source) * std::accumulate(Weights.begin(), Weights.end(), 0.0);
  for (std::size_t I = 0; I + 1 < Weights.size(); ++I) {
    if (Rest < Weights[I])
      return I;
    Rest -= Weights[I];
  }
  return Weights.size() - 1;
}

seconds wholeSeconds(double Value) {
  return seconds(static_cast<std::int64_t>(Value));
}

model::PoolRow pool(const std::string &Account, const std::string &Domain,
                    std::uint32_t Guaranteed, std::uint32_t Block,
                    model::TopologyLevel Level, std::uint32_t Limit) {
  model::PoolRow Row;
  Row.Name_ = Account + "-" + Domain;
  Row.Account_ = Account;
  Row.Service_ = Service;
  Row.Domain_ = Domain;
  Row.Guaranteed_ = Guaranteed;
  Row.BlockSize_ = Block;
  Row.Level_ = Level;
  Row.AcceleratorLimit_ = Limit;
  return Row;
}

/// Two large accounts with whole workers and two small ones.
void addTodaysPools(sched::CellView &Cell) {
  std::size_t Workers = Cell.Workers_.size();
  std::uint32_t Total = static_cast<std::uint32_t>(Workers) * 8;
  const std::string &Name = Cell.Domain_;
  Cell.Pools_ = {
      pool("large1", Name, Workers >= 4 ? 16 : 8, 8,
           model::TopologyLevel::Worker, Total),
      pool("large2", Name, Workers >= 3 ? 8 : 0, 8,
           model::TopologyLevel::Worker, Total),
      pool("small1", Name, 4, 4, model::TopologyLevel::Worker, Total / 2),
      pool("small2", Name, 2, 2, model::TopologyLevel::Worker, Total / 2)};
}

/// Twelve accounts, as when each of 120 accounts has pools in 3 of 30 domains.
void addDesignPools(sched::CellView &Cell) {
  for (int I = 0; I < 4; ++I)
    Cell.Pools_.push_back(pool("large" + std::to_string(I), Cell.Domain_, 128,
                               64, model::TopologyLevel::Rack, 400));
  for (int I = 0; I < 8; ++I)
    Cell.Pools_.push_back(pool("small" + std::to_string(I), Cell.Domain_, 16, 2,
                               model::TopologyLevel::Worker, 200));
}

/// Fills in the shape of a gang.
void chooseShape(const Deployment &Sizes, bool Large,
                 const core::Random &Source, model::JobSpec &Spec) {
  static const std::vector<std::uint32_t> Counts = {1, 2, 4, 8, 16, 24};
  static const std::vector<std::uint32_t> DesignCounts = {1,  2,  4, 8,
                                                          16, 32, 64};
  static const std::vector<double> LargeWeights = {30, 18, 18, 18, 10, 6};
  static const std::vector<double> SmallWeights = {45, 25, 20, 10};
  static const std::vector<double> DesignWeights = {35, 20, 15, 12, 8, 6, 4};
  if (Sizes.DesignSize_) {
    Spec.TaskCount_ = DesignCounts[pick(Source, DesignWeights)];
    bool Pair = Spec.TaskCount_ <= 32 && uniform(Source) < 0.2;
    Spec.AcceleratorsPerTask_ = Pair ? 2 : 1;
    bool Near = uniform(Source) < 0.5;
    Spec.Level_ =
        Near ? model::TopologyLevel::Rack : model::TopologyLevel::Domain;
    if (Near && Spec.accelerators() <= 2)
      Spec.Level_ = model::TopologyLevel::Worker;
    return;
  }
  std::uint32_t Count =
      Counts[pick(Source, Large ? LargeWeights : SmallWeights)];
  std::uint32_t PerTask = 1U << core::randomBelow(Source, 4);
  Spec.AcceleratorsPerTask_ =
      Count > 8 ? std::max(4U, PerTask) : std::min(PerTask, Count);
  Spec.TaskCount_ = Count / Spec.AcceleratorsPerTask_;
  bool Near = uniform(Source) < 0.65;
  if (Count <= 8)
    Spec.Level_ =
        Near ? model::TopologyLevel::Worker : model::TopologyLevel::Domain;
  else
    Spec.Level_ =
        Near ? model::TopologyLevel::Rack : model::TopologyLevel::Domain;
}

JobInput makeJob(const Deployment &Sizes, const std::string &Account,
                 const core::Random &Source) {
  static const std::vector<double> ClassWeights = {10, 60, 30};
  JobInput Job;
  Job.Spec_.Account_ = Account;
  Job.Spec_.Service_ = Service;
  chooseShape(Sizes, Account[0] == 'l', Source, Job.Spec_);
  Job.Spec_.Class_ = static_cast<model::JobClass>(pick(Source, ClassWeights));
  double Median = std::chrono::duration<double>(Sizes.MedianTime_).count();
  seconds Real = wholeSeconds(Median * std::exp(TimeSpread * normal(Source)));
  Job.RunTime_ = std::clamp(Real, ShortestRun, LongestRun);
  // Declared times are up to ten times too long or too short.
  double Factor = std::pow(10.0, 2 * uniform(Source) - 1);
  Job.Spec_.DeclaredRunTime_ = wholeSeconds(
      std::chrono::duration<double>(Job.RunTime_).count() * Factor + 1);
  Job.SavesOnDemand_ = uniform(Source) < 0.8;
  return Job;
}

double capacity(const std::vector<sched::CellView> &Cells) {
  double Sum = 0;
  for (const sched::CellView &Cell : Cells)
    for (const sched::WorkerView &Worker : Cell.Workers_)
      Sum += Worker.Accelerators_;
  return Sum;
}

/// Gives every job of a burst one account and an arrival within 30 s.
void makeBursts(const Deployment &Sizes, double Load,
                const core::Random &Source, Workload &Out) {
  std::vector<std::string> Accounts;
  std::vector<double> Weights;
  for (const model::PoolRow &Row : Out.Cells_[0].Pools_) {
    Accounts.push_back(Row.Account_);
    Weights.push_back(Row.Account_[0] == 'l' ? 3 : 1);
  }
  std::vector<std::size_t> BurstOf;
  std::size_t Bursts = 0;
  double Work = 0;
  while (Out.Jobs_.size() < Sizes.Jobs_) {
    const std::string &Account = Accounts[pick(Source, Weights)];
    std::uint64_t Size = 1 + core::randomBelow(Source, 3);
    if (uniform(Source) < 0.2)
      Size += core::randomBelow(Source, 24);
    for (std::uint64_t I = 0; I < Size; ++I) {
      Out.Jobs_.push_back(makeJob(Sizes, Account, Source));
      BurstOf.push_back(Bursts);
      const JobInput &Job = Out.Jobs_.back();
      Work += Job.Spec_.accelerators() *
              std::chrono::duration<double>(Job.RunTime_).count();
    }
    ++Bursts;
  }
  Out.Horizon_ = wholeSeconds(Work / (capacity(Out.Cells_) * Load));
  std::vector<double> Starts(Bursts);
  for (double &Start : Starts)
    Start =
        uniform(Source) * std::chrono::duration<double>(Out.Horizon_).count();
  for (std::size_t I = 0; I < Out.Jobs_.size(); ++I)
    Out.Jobs_[I].Arrival_ = wholeSeconds(Starts[BurstOf[I]]) +
                            seconds(core::randomBelow(Source, 30));
  std::stable_sort(Out.Jobs_.begin(), Out.Jobs_.end(),
                   [](const JobInput &A, const JobInput &B) {
                     return A.Arrival_ < B.Arrival_;
                   });
}

} // namespace

Deployment deploymentA() {
  Deployment Result;
  Result.Name_ = "A";
  Result.WorkersPerDomain_ = {4, 3, 3};
  return Result;
}

Deployment deploymentB() {
  Deployment Result = deploymentA();
  Result.Name_ = "B";
  Result.WorkersPerDomain_ = {3, 3, 2, 2};
  return Result;
}

Deployment designCell() {
  Deployment Result;
  Result.Name_ = "design";
  Result.WorkersPerDomain_ = {533};
  Result.AcceleratorsPerWorker_ = 2;
  Result.WorkersPerRack_ = 40;
  Result.Jobs_ = 1000;
  Result.MedianTime_ = std::chrono::hours(1);
  Result.DesignSize_ = true;
  return Result;
}

std::vector<sched::CellView> makeCells(const Deployment &Sizes) {
  std::vector<sched::CellView> Cells;
  for (std::size_t D = 0; D < Sizes.WorkersPerDomain_.size(); ++D) {
    sched::CellView Cell;
    Cell.Domain_ = "d" + std::to_string(D);
    for (std::uint32_t W = 0; W < Sizes.WorkersPerDomain_[D]; ++W)
      Cell.Workers_.push_back(
          {Cell.Domain_ + "-w" + std::to_string(W),
           Cell.Domain_ + "-r" + std::to_string(W / Sizes.WorkersPerRack_),
           Sizes.AcceleratorsPerWorker_, true});
    if (Sizes.DesignSize_)
      addDesignPools(Cell);
    else
      addTodaysPools(Cell);
    Cells.push_back(std::move(Cell));
  }
  return Cells;
}

Workload makeWorkload(const Deployment &Sizes, double Load,
                      std::uint64_t Seed) {
  core::Random Source = core::seededRandom(Seed);
  Workload Result;
  Result.Cells_ = makeCells(Sizes);
  makeBursts(Sizes, Load, Source, Result);
  for (int I = 0; I < 2; ++I) {
    std::size_t Domain = core::randomBelow(Source, Result.Cells_.size());
    std::size_t Worker =
        core::randomBelow(Source, Result.Cells_[Domain].Workers_.size());
    seconds Down =
        wholeSeconds(uniform(Source) *
                     std::chrono::duration<double>(Result.Horizon_).count());
    Result.Faults_.push_back({Down, FaultKind::WorkerDown, Domain, Worker});
    Result.Faults_.push_back(
        {Down + WorkerOutage, FaultKind::WorkerUp, Domain, Worker});
  }
  return Result;
}

void addAbsence(Workload &Load) {
  using Ratio = std::chrono::duration<double>;
  double Horizon = Ratio(Load.Horizon_).count();
  Load.AbsenceFrom_ = wholeSeconds(Horizon * 0.4);
  Load.AbsenceTo_ = wholeSeconds(Horizon * 0.6);
  Load.Faults_.push_back({Load.AbsenceFrom_, FaultKind::Notice, 0, 0});
  Load.Faults_.push_back(
      {Load.AbsenceFrom_ + NoticeTime, FaultKind::Off, 0, 0});
  Load.Faults_.push_back({Load.AbsenceTo_, FaultKind::Back, 0, 0});
}

} // namespace nutmegwell::bench
