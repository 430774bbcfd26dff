#include "queue.h"

#include <algorithm>
#include <unordered_set>

namespace nutmegwell::sched {

namespace {

/// After this wait a job of any class goes before all jobs that have not waited
/// as long. Among these jobs, the largest product of wait and accelerators goes
/// first.
constexpr std::chrono::hours LongWait{2};

/// After this wait jobs are ordered by wait alone. Otherwise larger jobs would
/// overtake a small one forever when more of them arrive than the cell can run.
constexpr std::chrono::hours ArrivalOrderWait{8};

/// Width of the first level of attained service. Each level is ten times as
/// wide as the one before, so that jobs seldom change their order.
constexpr std::chrono::seconds FirstLevelWidth{3600};

int serviceLevel(const WaitingJob &Job) {
  int Level = 0;
  for (core::Duration Bound = FirstLevelWidth; Job.AttainedService_ >= Bound;
       Bound *= 10)
    ++Level;
  return Level;
}

} // namespace

std::vector<const WaitingJob *> claimOrder(const CellView &View,
                                           const Policy &Options) {
  std::vector<const WaitingJob *> Order;
  Order.reserve(View.Waiting_.size());
  for (const WaitingJob &Job : View.Waiting_)
    Order.push_back(&Job);
  if (!Options.ReserveForPreemptor_)
    return Order;
  std::unordered_set<core::JobId> Preemptors;
  for (const RunningJob &Job : View.Running_)
    if (Job.Stopping_ && Job.Preemptor_.valid())
      Preemptors.insert(Job.Preemptor_);
  std::stable_partition(Order.begin(), Order.end(), [&](const WaitingJob *Job) {
    return Preemptors.count(Job->Id_) != 0 || !Job->MigratedFrom_.empty();
  });
  return Order;
}

void sortBorrowers(std::vector<const WaitingJob *> &Jobs,
                   const Policy &Options) {
  if (Options.QueueOrder_ == QueueOrder::Listed)
    return;
  auto Wait = [&](const WaitingJob *Job) {
    return Options.CountEarlierWaits_ ? Job->Waited_ + Job->EarlierWait_
                                      : Job->Waited_;
  };
  auto Weighted = [&](const WaitingJob *Job) {
    return Wait(Job) *
           (Options.WeightWaitBySize_ ? Job->Spec_.accelerators() : 1);
  };
  auto GoesBefore = [&](const WaitingJob *A, const WaitingJob *B) {
    if (Wait(A) >= ArrivalOrderWait || Wait(B) >= ArrivalOrderWait)
      return Wait(A) > Wait(B);
    return Weighted(A) > Weighted(B);
  };
  std::stable_sort(Jobs.begin(), Jobs.end(),
                   [&](const WaitingJob *A, const WaitingJob *B) {
                     core::Duration WaitA = Wait(A);
                     core::Duration WaitB = Wait(B);
                     bool LongA = WaitA >= LongWait;
                     bool LongB = WaitB >= LongWait;
                     if (LongA || LongB)
                       return LongA && (!LongB || GoesBefore(A, B));
                     return std::make_pair(A->Spec_.Class_, serviceLevel(*A)) <
                            std::make_pair(B->Spec_.Class_, serviceLevel(*B));
                   });
}

} // namespace nutmegwell::sched
