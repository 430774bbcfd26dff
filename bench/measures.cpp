#include "measures.h"

#include <algorithm>
#include <cstdio>
#include <numeric>

namespace nutmegwell::bench {

namespace {

double toSeconds(core::Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

double mean(const std::vector<double> &Values) {
  if (Values.empty())
    return 0;
  return std::accumulate(Values.begin(), Values.end(), 0.0) /
         static_cast<double>(Values.size());
}

/// Jobs shorter than this count as this long in a slowdown, as is usual for a
/// bounded slowdown.
constexpr double ShortestForSlowdown = 60;

const char *sizeClass(std::uint32_t Accelerators) {
  if (Accelerators <= 2)
    return "small";
  return Accelerators <= 8 ? "medium" : "large";
}

/// Adds what the slowest hundredth of the jobs have in common, to tell what
/// makes the p99 of completion.
void addSlowest(const RunResult &Run, Figures &Result) {
  std::vector<const JobResult *> Jobs;
  for (const JobResult &Job : Run.Jobs_)
    Jobs.push_back(&Job);
  std::sort(Jobs.begin(), Jobs.end(),
            [](const JobResult *A, const JobResult *B) {
              return A->Completion_ > B->Completion_;
            });
  Jobs.resize((Jobs.size() + 99) / 100);
  std::vector<double> Sizes;
  std::vector<double> Waited;
  std::vector<double> Preempted;
  for (const JobResult *Job : Jobs) {
    Sizes.push_back(Job->Accelerators_);
    Waited.push_back(toSeconds(Job->Waited_) / toSeconds(Job->Completion_));
    Preempted.push_back(Job->Preemptions_);
  }
  Result["slowest_accelerators"] = {mean(Sizes), "accelerators"};
  Result["slowest_waited"] = {mean(Waited), "share"};
  Result["slowest_preempted"] = {mean(Preempted), "times"};
}

/// Adds the waits of urgent jobs with a free guarantee and of the others.
void addUrgent(const RunResult &Run, Figures &Result) {
  std::vector<double> Entitled;
  std::vector<double> Others;
  for (const JobResult &Job : Run.Jobs_)
    if (Job.Class_ == model::JobClass::Urgent)
      (Job.Entitled_ ? Entitled : Others).push_back(toSeconds(Job.FirstWait_));
  Result["urgent_within_jobs"] = {static_cast<double>(Entitled.size()), "jobs"};
  Result["urgent_within_wait_p50"] = {quantile(Entitled, 0.5), "s"};
  Result["urgent_within_wait_p99"] = {quantile(Entitled, 0.99), "s"};
  Result["urgent_borrower_wait_p99"] = {quantile(Others, 0.99), "s"};
}

} // namespace

double quantile(std::vector<double> Values, double Quantile) {
  if (Values.empty())
    return 0;
  auto Rank = static_cast<std::size_t>(Quantile *
                                       static_cast<double>(Values.size() - 1));
  std::nth_element(Values.begin(), Values.begin() + Rank, Values.end());
  return Values[Rank];
}

Figures figuresOf(const RunResult &Run) {
  std::vector<double> Completion;
  std::map<std::string, std::vector<double>> Slowdown;
  double PatientWait = 0;
  std::vector<double> UrgentWait;
  for (const JobResult &Job : Run.Jobs_) {
    Completion.push_back(toSeconds(Job.Completion_));
    Slowdown[sizeClass(Job.Accelerators_)].push_back(
        toSeconds(Job.Completion_) /
        std::max(toSeconds(Job.RunTime_), ShortestForSlowdown));
    if (Job.Class_ == model::JobClass::Patient)
      PatientWait = std::max(PatientWait, toSeconds(Job.LongestWait_));
    if (Job.Class_ == model::JobClass::Urgent)
      UrgentWait.push_back(toSeconds(Job.LongestWait_));
  }
  Figures Result;
  Result["completion_mean"] = {mean(Completion), "s"};
  Result["completion_p50"] = {quantile(Completion, 0.5), "s"};
  Result["completion_p99"] = {quantile(Completion, 0.99), "s"};
  for (const char *Size : {"small", "medium", "large"})
    Result[std::string("slowdown_") + Size] = {mean(Slowdown[Size]), "ratio"};
  Result["fragmentation"] = {Run.Fragmentation_, "share"};
  addSlowest(Run, Result);
  addUrgent(Run, Result);
  Result["absence_idle"] = {Run.AbsenceIdle_, "share"};
  Result["absence_changing"] = {Run.AbsenceChanging_, "share"};
  Result["absence_useful"] = {Run.AbsenceShare_, "share"};
  double Cases = static_cast<double>(Run.ReclaimSeconds_.size());
  double Late = static_cast<double>(Run.ReclaimLate_);
  Result["reclaim_cases"] = {Cases, "cases"};
  Result["reclaim_max"] = {quantile(Run.ReclaimSeconds_, 1), "s"};
  Result["reclaimed_in_time"] = {Cases > 0 ? 1 - Late / Cases : 1, "share"};
  Result["reclaim_late"] = {Late, "cases"};
  Result["reclaim_late_to_own"] = {static_cast<double>(Run.ReclaimLateToOwn_),
                                   "cases"};
  double LateToOthers = Late - static_cast<double>(Run.ReclaimLateToOwn_);
  Result["reclaimed_from_others_in_time"] = {
      Cases > 0 ? 1 - LateToOthers / Cases : 1, "share"};
  Result["patient_wait_max"] = {PatientWait, "s"};
  Result["urgent_wait_p50"] = {quantile(UrgentWait, 0.5), "s"};
  Result["urgent_wait_p99"] = {quantile(UrgentWait, 0.99), "s"};
  Result["partial_gangs"] = {static_cast<double>(Run.PartialGangs_), "gangs"};
  Result["invalid_states"] = {static_cast<double>(Run.Invalid_), "states"};
  Result["unfinished"] = {static_cast<double>(Run.Unfinished_), "jobs"};
  Result["preemptions"] = {static_cast<double>(Run.Preemptions_), "jobs"};
  Result["work_lost"] = {Run.LostWork_, "accelerator_s"};
  Result["decision_p50"] = {quantile(Run.DecisionMicros_, 0.5), "us"};
  Result["decision_p99"] = {quantile(Run.DecisionMicros_, 0.99), "us"};
  return Result;
}

Figures meanOf(const std::vector<Figures> &Runs) {
  Figures Result;
  for (const Figures &Run : Runs)
    for (const auto &[Name, Value] : Run) {
      Result[Name].Unit_ = Value.Unit_;
      Result[Name].Value_ += Value.Value_ / static_cast<double>(Runs.size());
    }
  return Result;
}

void printFigure(const std::string &Name, const Figure &Value, double Baseline,
                 const std::string &Seed) {
  double Ratio =
      Baseline == 0 ? (Value.Value_ == 0 ? 1 : 0) : Value.Value_ / Baseline;
  std::printf("%s value=%.6g baseline=%.6g ratio=%.4f unit=%s seed=%s\n",
              Name.c_str(), Value.Value_, Baseline, Ratio, Value.Unit_.c_str(),
              Seed.c_str());
}

void print(const std::string &Prefix, const std::string &BaselineName,
           const Figures &Value, const Figures &Baseline,
           const std::string &Seed) {
  for (const auto &[Name, One] : Value)
    printFigure(Prefix + "." + Name + "/" + BaselineName, One,
                Baseline.at(Name).Value_, Seed);
}

} // namespace nutmegwell::bench
