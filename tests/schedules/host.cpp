#include "host.h"

namespace nutmegwell::schedules {

using namespace std::chrono_literals;

core::Term Host::ownTerm(const model::DomainName &Domain) const {
  auto Cell = State_.Cells_.find(Domain);
  if (Cell == State_.Cells_.end() ||
      Cell->second.HolderIncarnation_ != Incarnation_ ||
      Cell->second.Holder_.empty())
    return 0;
  return Cell->second.Term_;
}

bool Host::mayGrantPermit(const model::DomainName &Domain,
                          core::TimePoint Now) const {
  constexpr core::Duration MaxTailAge = 1s;
  auto Held = LeaseEnds_.find(Domain);
  return Started_ && ownTerm(Domain) != 0 && Held != LeaseEnds_.end() &&
         Now < Held->second && model::isInService(State_, Domain) &&
         Now.time_since_epoch() - Reader_->LastTail_.load() <= MaxTailAge;
}

void reset(Host &Target, core::Incarnation Incarnation) {
  const model::NodeName Name = Target.Name_;
  Target = Host();
  Target.Name_ = Name;
  Target.Incarnation_ = Incarnation;
  Target.Up_ = true;
  Target.Appender_.Writer_ = Incarnation;
  Target.Appender_.Settings_.MaxBatchRecords_ = 8;
  Target.Appender_.Settings_.MaxQueued_ = 64;
}

} // namespace nutmegwell::schedules
