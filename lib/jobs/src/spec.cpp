#include "nutmegwell/jobs/spec.h"
#include <algorithm>

namespace nutmegwell::jobs {

bool Resources::covers(const Resources &Other) const {
  return Cpu_ >= Other.Cpu_ && MemoryMb_ >= Other.MemoryMb_ &&
         Accelerators_ >= Other.Accelerators_;
}

Resources &Resources::operator+=(const Resources &Other) {
  Cpu_ += Other.Cpu_;
  MemoryMb_ += Other.MemoryMb_;
  Accelerators_ += Other.Accelerators_;
  return *this;
}

Resources &Resources::operator-=(const Resources &Other) {
  Cpu_ -= Other.Cpu_;
  MemoryMb_ -= Other.MemoryMb_;
  Accelerators_ -= Other.Accelerators_;
  return *this;
}

Resources Resources::times(std::int64_t Count) const {
  return {Cpu_ * Count, MemoryMb_ * Count, Accelerators_ * Count};
}

WallTime JobSpec::dueAt(std::uint32_t Index) const {
  return FirstDue_ + Interval_ * Index;
}

bool JobSpec::longRunning() const {
  return std::any_of(Steps_.begin(), Steps_.end(),
                     [](const StepSpec &Step) { return Step.LongRunning_; });
}

std::string validationError(const JobSpec &Spec) {
  if (Spec.Steps_.empty())
    return "the job has no steps";
  for (std::size_t I = 0; I < Spec.Steps_.size(); ++I) {
    const StepSpec &Step = Spec.Steps_[I];
    const std::string Name = "step " + std::to_string(I);
    if (Step.Count_ == 0)
      return Name + " has no tasks";
    if (Step.PerTask_.Cpu_ < 0 || Step.PerTask_.MemoryMb_ < 0 ||
        Step.PerTask_.Accelerators_ < 0)
      return Name + " requests a negative amount of a resource";
    for (std::uint32_t Dependency : Step.DependsOn_)
      if (Dependency >= I)
        return Name + " depends on step " + std::to_string(Dependency) +
               ", which is not an earlier step";
  }
  return {};
}

JobSpecBuilder &JobSpecBuilder::command(std::string Text) {
  Spec_.Command_ = std::move(Text);
  return *this;
}

JobSpecBuilder &JobSpecBuilder::step(std::uint32_t Count, Resources Each,
                                     core::Duration Estimate) {
  StepSpec Step;
  Step.Count_ = Count;
  Step.PerTask_ = Each;
  Step.Estimate_ = Estimate;
  Spec_.Steps_.push_back(std::move(Step));
  return *this;
}

JobSpecBuilder &JobSpecBuilder::after(std::vector<std::uint32_t> Steps) {
  Spec_.Steps_.back().DependsOn_ = std::move(Steps);
  return *this;
}

JobSpecBuilder &JobSpecBuilder::checkpoints() {
  Spec_.Steps_.back().Checkpoints_ = true;
  return *this;
}

JobSpecBuilder &JobSpecBuilder::gang(bool SameRack) {
  Spec_.Steps_.back().Gang_ = true;
  Spec_.Steps_.back().SameRack_ = SameRack;
  return *this;
}

JobSpecBuilder &JobSpecBuilder::requireLabel(std::string Label) {
  Spec_.Steps_.back().RequiredLabel_ = std::move(Label);
  return *this;
}

JobSpecBuilder &JobSpecBuilder::dataRack(std::string Rack) {
  Spec_.Steps_.back().DataRack_ = std::move(Rack);
  return *this;
}

JobSpecBuilder &JobSpecBuilder::spread(std::uint32_t Limit) {
  Spec_.Steps_.back().SpreadLimit_ = Limit;
  return *this;
}

JobSpecBuilder &JobSpecBuilder::longRunning() {
  Spec_.Steps_.back().LongRunning_ = true;
  return *this;
}

JobSpecBuilder &JobSpecBuilder::repeat(std::uint32_t Times, WallTime First,
                                       core::Duration Interval) {
  Spec_.Repetitions_ = Times;
  Spec_.FirstDue_ = First;
  Spec_.Interval_ = Interval;
  return *this;
}

} // namespace nutmegwell::jobs
