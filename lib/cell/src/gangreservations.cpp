// Reservations in the decisions of a holder.

#include "gangreservations.h"
#include <algorithm>

namespace nutmegwell::cell {

namespace {

/// Number of gangs of a service for which one decision looks for a reservation
/// in vain. More than one, so that a gang that never fits does not prevent that
/// of another; few, because each search reads all runs.
constexpr unsigned MaxFailedSearches = 4;

TaskId firstTaskOf(const Unit &Work) {
  return {Work.Job_->Accepted_.Job_, Work.Occurrence_, Work.Step_, 0};
}

/// Returns when \p Work would end if it started now; never for a step without a
/// declared time.
core::TimePoint expectedEndOf(const Unit &Work, core::TimePoint Now) {
  const jobs::StepSpec &Step = Work.spec();
  return Step.LongRunning_ || Step.Estimate_ <= core::Duration::zero()
             ? core::TimePoint::max()
             : Now + Step.Estimate_;
}

bool isWaiting(const Holder &State, const jobs::View &View,
               const TaskId &Gang) {
  auto Job = View.Jobs_.find(Gang.Job_);
  if (Job == View.Jobs_.end() || jobs::isFinal(Job->second.reportedState()))
    return false;
  auto Live = State.Jobs_.find(Gang.Job_);
  return Live != State.Jobs_.end() &&
         !jobs::isFinal(Live->second.Progress_.State_);
}

void logMade(const std::string &Service, const GangReservation &Made,
             core::TimePoint Now, Effects &Out) {
  Out.LogEvents_.push_back(
      {"reservation_made",
       {{"service", Service},
        {"task", toString(Made.Gang_)},
        {"workers", std::to_string(Made.Kept_.Targets_.size())},
        {"in_ms", std::to_string(core::wholeMilliseconds(
                                     std::max(Made.Kept_.StartAt_, Now) - Now)
                                     .count())}}});
}

} // namespace

core::TimePoint latestUsefulStart(const HolderPolicy &Policy, const Unit &Work,
                                  core::TimePoint Now) {
  return Now + Work.Slack_ + Work.Objective_ * (Policy.LateFactor_ - 1);
}

bool wantsReservation(const HolderPolicy &Policy,
                      const GangReservations &Reserved, const Unit &Work,
                      core::TimePoint Now) {
  if (!Policy.ReserveForGangs_ || !Work.spec().Gang_ ||
      latestUsefulStart(Policy, Work, Now) < Now)
    return false;
  const std::string &Service = Work.Job_->Accepted_.Service_;
  auto Failed = Reserved.Failed_.find(Service);
  return Reserved.ByService_.count(Service) == 0 &&
         (Failed == Reserved.Failed_.end() ||
          Failed->second < MaxFailedSearches);
}

void recordReservation(GangReservations &Reserved, const Unit &Work,
                       std::optional<Reservation> Found) {
  const std::string &Service = Work.Job_->Accepted_.Service_;
  if (Found)
    Reserved.ByService_[Service] = {firstTaskOf(Work), *std::move(Found)};
  else
    ++Reserved.Failed_[Service];
}

void excludeReserved(const GangReservations &Reserved, const Unit &Work,
                     core::TimePoint Now,
                     std::vector<PlacementTarget> &Targets) {
  auto It = Reserved.ByService_.find(Work.Job_->Accepted_.Service_);
  if (It == Reserved.ByService_.end())
    return;
  const Reservation &Kept = It->second.Kept_;
  const core::TimePoint EndsAt = expectedEndOf(Work, Now);
  const std::string &Data = Work.spec().DataRack_;
  for (std::size_t I : Kept.Targets_)
    if (!mayBackfill(Kept, I, EndsAt) &&
        (Data.empty() || Targets[I].Rack_ != Data))
      Targets[I].Excluded_ = true;
}

void logReservations(Holder &State, const GangReservations &Reserved,
                     const HolderContext &Context, Effects &Out) {
  ReservationLog &Log = State.Reservations_;
  for (const auto &[Service, Gang] : Log.Newest_)
    if (findRun(State.Runs_, Gang) != State.Runs_.end()) {
      Log.Logged_.erase(Gang);
      Out.LogEvents_.push_back(
          {"reservation_used",
           {{"service", Service}, {"task", toString(Gang)}}});
    }
  for (auto It = Log.Logged_.begin(); It != Log.Logged_.end();)
    if (isWaiting(State, Context.View_, *It))
      ++It;
    else
      It = Log.Logged_.erase(It);
  Log.Newest_.clear();
  for (const auto &[Service, Made] : Reserved.ByService_) {
    Log.Newest_.emplace(Service, Made.Gang_);
    if (Log.Logged_.insert(Made.Gang_).second)
      logMade(Service, Made, Context.Now_, Out);
  }
}

} // namespace nutmegwell::cell
