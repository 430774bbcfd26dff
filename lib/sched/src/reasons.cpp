#include "reasons.h"

namespace nutmegwell::sched {

namespace {

/// Returns "24 accelerators in one rack" and the like.
std::string shapeText(const CellView &View, const model::JobSpec &Spec) {
  std::string Text = std::to_string(Spec.accelerators()) + " accelerators";
  if (Spec.Level_ != model::TopologyLevel::Domain)
    Text += std::string(" in one ") + model::toString(Spec.Level_);
  return Text + " of domain " + View.Domain_;
}

} // namespace

std::string notStartingReason(const CellView &View) {
  return "domain " + View.Domain_ +
         " starts no jobs at present, and the job can start there when the "
         "domain is in service and the log is available";
}

std::string migratedReason(const CellView &View) {
  return "the job was migrated out of domain " + View.Domain_ +
         " a short time ago and can start in another domain, or there after a "
         "minute";
}

std::string noPoolReason(const CellView &View, const model::JobSpec &Spec) {
  return "account " + Spec.Account_ + " has no pool for service " +
         Spec.Service_ + " in domain " + View.Domain_ +
         ", and the job can start there when the pools table has one";
}

std::string limitReason(const CellView &View, const model::JobSpec &Spec,
                        std::uint32_t Held, std::uint32_t Limit) {
  return "account " + Spec.Account_ + " holds " + std::to_string(Held) +
         " of its limit of " + std::to_string(Limit) +
         " accelerators in domain " + View.Domain_ +
         ", and the job can start when jobs of the account leave room for " +
         std::to_string(Spec.accelerators()) + " more";
}

std::string noPlaceReason(const CellView &View, const model::JobSpec &Spec,
                          std::uint32_t Free) {
  return "the job needs " + shapeText(View, Spec) + ", where " +
         std::to_string(Free) +
         " are free in total, and can start when running jobs end and free "
         "enough of them together";
}

std::string reclaimReason(const CellView &View, const model::JobSpec &Spec,
                          std::size_t Victims) {
  if (Victims == 0)
    return "the job has a place in the guarantee of account " + Spec.Account_ +
           " in domain " + View.Domain_ +
           " and can start when the jobs being stopped there have stopped";
  return "the job reclaims accelerators in the guarantee of account " +
         Spec.Account_ + " in domain " + View.Domain_ + " and can start when " +
         std::to_string(Victims) +
         (Victims == 1 ? " borrowing job has" : " borrowing jobs have") +
         " stopped there";
}

std::string agingReason(const CellView &View, const model::JobSpec &Spec,
                        std::size_t Victims) {
  return "the job preempts running jobs on " + shapeText(View, Spec) +
         " and can start when " +
         (Victims == 0
              ? std::string("the jobs being stopped there have stopped")
              : std::to_string(Victims) + " of these jobs have stopped");
}

} // namespace nutmegwell::sched
