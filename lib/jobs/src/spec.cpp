#include "nutmegwell/jobs/spec.h"
#include <algorithm>
#include <limits>

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
  // Half of the limit leaves room for a sum.
  constexpr std::int64_t Largest = std::numeric_limits<std::int64_t>::max() / 2;
  const auto Product = [Count](std::int64_t Amount) -> std::int64_t {
    std::int64_t Result = 0;
    if (__builtin_mul_overflow(Amount, Count, &Result))
      return Largest;
    return Result < Largest ? Result : Largest;
  };
  return {Product(Cpu_), Product(MemoryMb_), Product(Accelerators_)};
}

WallTime JobSpec::dueAt(OccurrenceNumber Index) const {
  if (Interval_ <= core::Duration(0))
    return FirstDue_;
  const core::Duration SinceEpoch = FirstDue_.time_since_epoch();
  // The time left until WallTime::max() exceeds a signed number when the first
  // occurrence was due before the epoch.
  const auto Left = static_cast<std::uint64_t>(core::Duration::max().count()) -
                    static_cast<std::uint64_t>(SinceEpoch.count());
  const auto Interval = static_cast<std::uint64_t>(Interval_.count());
  if (Index > Left / Interval)
    return WallTime::max();
  return WallTime(core::Duration(static_cast<std::int64_t>(
      static_cast<std::uint64_t>(SinceEpoch.count()) + Interval * Index)));
}

OccurrenceNumber JobSpec::dueCount(WallTime Wall) const {
  if (Wall < FirstDue_)
    return 0;
  if (Interval_ <= core::Duration(0))
    return occurrences();
  const auto Elapsed =
      static_cast<std::uint64_t>(Wall.time_since_epoch().count()) -
      static_cast<std::uint64_t>(FirstDue_.time_since_epoch().count());
  return std::min(occurrences(),
                  Elapsed / static_cast<std::uint64_t>(Interval_.count()) + 1);
}

bool JobSpec::longRunning() const {
  return std::any_of(Steps_.begin(), Steps_.end(),
                     [](const StepSpec &Step) { return Step.LongRunning_; });
}

bool isValidJobId(const std::string &Id) {
  /// Far above the 16 digits that callers use.
  constexpr std::size_t MaxBytes = 64;
  return !Id.empty() && Id.size() <= MaxBytes &&
         Id.find('.') == std::string::npos;
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

JobSpecBuilder &JobSpecBuilder::repeat(OccurrenceNumber Times, WallTime First,
                                       core::Duration Interval) {
  Spec_.Repetitions_ = Times;
  Spec_.FirstDue_ = First;
  Spec_.Interval_ = Interval;
  return *this;
}

} // namespace nutmegwell::jobs
