#include "queue.h"

#include <algorithm>
#include <unordered_set>

namespace nutmegwell::sched {

namespace {

/// After this wait a job of any class goes before all that have not waited as
/// long, those with the largest product of wait and accelerators first.
constexpr std::chrono::hours LongestWait{2};

/// After this wait jobs go first in the order of arrival alone. Without it
/// larger jobs overtake a small one for good when more arrive than the cell can
/// run.
constexpr std::chrono::hours OvertakenWait{8};

/// Width of the first level of attained service; each level is ten times as
/// wide as the one before, so that jobs do not change places all the time.
constexpr std::chrono::seconds FirstLevel{3600};

int serviceLevel(const WaitingJob &Job) {
  int Level = 0;
  for (core::Duration Bound = FirstLevel; Job.AttainedService_ >= Bound;
       Bound *= 10)
    ++Level;
  return Level;
}

} // namespace

std::vector<const WaitingJob *> claimOrder(const CellView &View,
                                           const Policy &Choices) {
  std::vector<const WaitingJob *> Order;
  Order.reserve(View.Waiting_.size());
  for (const WaitingJob &Job : View.Waiting_)
    Order.push_back(&Job);
  if (!Choices.ReserveForPreemptor_)
    return Order;
  std::unordered_set<core::JobId> Served;
  for (const RunningJob &Job : View.Running_)
    if (Job.Stopping_ && Job.Preemptor_.valid())
      Served.insert(Job.Preemptor_);
  std::stable_partition(Order.begin(), Order.end(), [&](const WaitingJob *Job) {
    return Served.count(Job->Id_) != 0 || !Job->MigratedFrom_.empty();
  });
  return Order;
}

void sortBorrowers(std::vector<const WaitingJob *> &Jobs,
                   const Policy &Choices) {
  if (Choices.QueueOrder_ == QueueOrder::Listed)
    return;
  auto Wait = [&](const WaitingJob *Job) {
    return Choices.CountEarlierWaits_ ? Job->Waited_ + Job->EarlierWait_
                                      : Job->Waited_;
  };
  auto Weighted = [&](const WaitingJob *Job) {
    return Wait(Job) *
           (Choices.WeightWaitBySize_ ? Job->Spec_.accelerators() : 1);
  };
  auto GoesBefore = [&](const WaitingJob *A, const WaitingJob *B) {
    if (Wait(A) >= OvertakenWait || Wait(B) >= OvertakenWait)
      return Wait(A) > Wait(B);
    return Weighted(A) > Weighted(B);
  };
  std::stable_sort(Jobs.begin(), Jobs.end(),
                   [&](const WaitingJob *A, const WaitingJob *B) {
                     core::Duration WaitA = Wait(A);
                     core::Duration WaitB = Wait(B);
                     bool LateA = WaitA >= LongestWait;
                     bool LateB = WaitB >= LongestWait;
                     if (LateA || LateB)
                       return LateA && (!LateB || GoesBefore(A, B));
                     return std::make_pair(A->Spec_.Class_, serviceLevel(*A)) <
                            std::make_pair(B->Spec_.Class_, serviceLevel(*B));
                   });
}

} // namespace nutmegwell::sched
