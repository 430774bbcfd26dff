// Expected ends of runs.

#include "releases.h"
#include <algorithm>
#include <string_view>

namespace nutmegwell::cell {

namespace {

/// Agents report the progress of a run in whole percent at this interval.
constexpr core::Duration ReportInterval = std::chrono::milliseconds(500);

/// Returns whether the run has shown no progress for the time of two percent
/// and two reports, so that a change has not merely been reported late.
bool isProgressStale(const TaskRun &Run, core::Duration TimePerPercent,
                     core::TimePoint Now) {
  return Now - Run.ProgressedAt_ > (TimePerPercent + ReportInterval) * 2;
}

core::Duration declaredTime(const jobs::View &View, const TaskId &Task) {
  auto Job = View.Jobs_.find(Task.Job_);
  if (Job == View.Jobs_.end())
    return core::Duration::zero();
  // An adopted run may name a step that the records do not.
  const std::vector<jobs::StepSpec> &Steps = Job->second.Accepted_.Spec_.Steps_;
  return Task.Step_ < Steps.size() ? Steps[Task.Step_].Estimate_
                                   : core::Duration::zero();
}

bool isSameStep(const TaskId &A, const TaskId &B) {
  return A.Job_ == B.Job_ && A.Occurrence_ == B.Occurrence_ &&
         A.Step_ == B.Step_;
}

std::optional<ExpectedRest> restOrStop(const Holder &State, const TaskRun &Run,
                                       core::Duration Declared,
                                       core::TimePoint Now) {
  if (Run.State_ != RunState::Stopping)
    return expectedRest(Run, Declared, Now);
  const core::TimePoint StoppedBy =
      Run.StopSentAt_ + State.Policy_.Departure_.StopTime_;
  return ExpectedRest{std::max(StoppedBy - Now, core::Duration::zero()), false};
}

/// Returns the rest of the member that ends last, or nothing when the end of
/// some member is unknown.
std::optional<ExpectedRest> restOfGang(const Holder &State,
                                       TaskRunMap::const_iterator First,
                                       TaskRunMap::const_iterator Last,
                                       core::Duration Declared,
                                       core::TimePoint Now) {
  std::optional<ExpectedRest> Longest;
  for (auto It = First; It != Last; ++It) {
    const auto Rest = restOrStop(State, It->second, Declared, Now);
    if (!Rest)
      return std::nullopt;
    if (!Longest || Rest->Rest_ > Longest->Rest_)
      Longest = Rest;
  }
  return Longest;
}

} // namespace

std::optional<core::Duration> timePerPercent(const TaskRun &Run) {
  const double Gained = Run.Percent_ - Run.FirstChangePercent_;
  if (!Run.FirstChangeAt_ || Gained < 1)
    return std::nullopt;
  return core::Duration(static_cast<std::int64_t>(
      static_cast<double>((Run.ProgressedAt_ - *Run.FirstChangeAt_).count()) /
      Gained));
}

std::optional<ExpectedRest>
expectedRest(const TaskRun &Run, core::Duration Declared, core::TimePoint Now) {
  if (Run.LongRunning_)
    return std::nullopt;
  if (const auto Each = timePerPercent(Run)) {
    if (isProgressStale(Run, *Each, Now))
      return std::nullopt;
    const double Missing = std::max(100 - Run.Percent_, 0.0);
    return ExpectedRest{core::Duration(static_cast<std::int64_t>(
                            static_cast<double>(Each->count()) * Missing)),
                        true};
  }
  if (Declared <= core::Duration::zero())
    return std::nullopt;
  // A run that resumes from a checkpoint begins with a percentage.
  const double Missing = std::clamp(100 - Run.ListedPercent_, 0.0, 100.0) / 100;
  const core::Duration Whole(static_cast<std::int64_t>(
      static_cast<double>(Declared.count()) * Missing));
  return ExpectedRest{
      std::max(Whole - (Now - Run.OrderedAt_), core::Duration::zero()), false};
}

ExpectedRests expectedRests(const Holder &State, const HolderContext &Context) {
  ExpectedRests Rests;
  Rests.reserve(State.Runs_.size());
  for (auto It = State.Runs_.begin(); It != State.Runs_.end();) {
    const TaskId &Task = It->first.Task_;
    const core::Duration Declared = declaredTime(Context.View_, Task);
    auto Last = It;
    while (Last != State.Runs_.end() && isSameStep(Last->first.Task_, Task))
      ++Last;
    if (It->second.Gang_) {
      if (const auto Rest = restOfGang(State, It, Last, Declared, Context.Now_))
        for (; It != Last; ++It)
          Rests.emplace(&It->second, *Rest);
    } else {
      for (; It != Last; ++It)
        if (const auto Rest =
                restOrStop(State, It->second, Declared, Context.Now_))
          Rests.emplace(&It->second, *Rest);
    }
    It = Last;
  }
  return Rests;
}

std::vector<ExpectedRelease>
expectedReleases(const TaskRunMap &Runs, const ExpectedRests &Rests,
                 const std::vector<PlacementTarget> &Targets,
                 core::TimePoint Now) {
  std::unordered_map<std::string_view, std::size_t> Index;
  for (std::size_t I = 0; I < Targets.size(); ++I)
    Index.emplace(Targets[I].Host_, I);
  std::vector<ExpectedRelease> Releases;
  for (const auto &[Id, Run] : Runs) {
    auto Target = Index.find(Run.Host_);
    auto Rest = Rests.find(&Run);
    if (Target != Index.end() && Rest != Rests.end())
      Releases.push_back(
          {Target->second, Run.Resources_, Now + Rest->second.Rest_});
  }
  return Releases;
}

} // namespace nutmegwell::cell
