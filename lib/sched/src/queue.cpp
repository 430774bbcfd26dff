#include "queue.h"

#include <algorithm>
#include <unordered_set>

namespace nutmegwell::sched {

std::vector<const WaitingJob *> claimOrder(const CellView &View,
                                           const Policy &Choices) {
  std::vector<const WaitingJob *> Order;
  Order.reserve(View.Waiting_.size());
  for (const WaitingJob &Job : View.Waiting_)
    Order.push_back(&Job);
  if (!Choices.KeepClaims_)
    return Order;
  std::unordered_set<core::JobId> Served;
  for (const RunningJob &Job : View.Running_)
    if (Job.Stopping_ && Job.StoppingFor_.valid())
      Served.insert(Job.StoppingFor_);
  std::stable_partition(Order.begin(), Order.end(), [&](const WaitingJob *Job) {
    return Served.count(Job->Id_) != 0;
  });
  return Order;
}

} // namespace nutmegwell::sched
