#include "worldparts.h"

#include <algorithm>

namespace nutmegwell::controltest {

using model::TaskState;

namespace {

/// Longest time for which an attempt may run in part: start bound, resend of a
/// stop, task lease, checkpoint grace, and the margin of the runtime's calls.
constexpr auto PartialBound = milliseconds(5000 + 500 + 15000 + 5000 + 3000);
constexpr auto DomainOutBound = seconds(3);

void notePartial(World &All, Attempt &Target) {
  if (Target.Partial_)
    return;
  Target.Partial_ = true;
  Target.PartialSince_ = All.Now_;
}

} // namespace

void World::violate(const std::string &Rule, const std::string &What) {
  auto Ms = std::chrono::duration_cast<milliseconds>(Now_.time_since_epoch());
  Violations_.emplace_back(Rule,
                           "t=" + std::to_string(Ms.count()) + "ms " + What);
}

void noteStart(World &All, const std::string &Id, const FakeTask &Task,
               TimePoint AskedAt, const std::string &Checkpoint) {
  ++All.Counts_["starts"];
  const AgentHost &Worker = *hostAt(All.Agents_, Task.Worker_);
  const std::string &Domain = Worker.State_.Settings_.Domain_;
  auto Out = All.OutSince_.find(Domain);
  if (Out != All.OutSince_.end() && AskedAt > Out->second + DomainOutBound)
    All.violate("domain-out", Id + " started in " + Domain);
  for (const auto &[Other, Held] : Worker.Tasks_)
    if (Other != Id && running(Held) &&
        (Held.Accelerators_ & Task.Accelerators_))
      All.violate("accelerators", Id + " and " + Other + " share one");
  auto Known = All.Attempts_.find({Task.Job_, Task.Attempt_});
  if (Known == All.Attempts_.end())
    return All.violate("gang-atomic", Id + " started without a commit");
  Attempt &Target = Known->second;
  bool Placed = std::any_of(Target.Placement_.begin(), Target.Placement_.end(),
                            [&](const auto &P) {
                              return P.Worker_ == Task.Worker_ &&
                                     P.Accelerators_ == Task.Accelerators_;
                            });
  if (!Placed)
    All.violate("gang-atomic", Id + " is not where the commit placed it");
  if (Checkpoint != Target.Checkpoint_)
    All.violate("checkpoint", Id + " started from another checkpoint");
  for (const auto &[Key, Other] : All.Attempts_)
    if (Key.first == Task.Job_ && Key.second != Task.Attempt_ &&
        !Other.Running_.empty())
      All.violate("gang-atomic",
                  Id + " runs beside attempt " + std::to_string(Key.second));
  if (Target.Started_.empty())
    notePartial(All, Target);
  Target.Started_.insert(Task.Worker_ + "/" + Id);
  Target.Running_.insert(Task.Worker_ + "/" + Id);
  if (Target.Started_.size() == Target.Placement_.size() && !Target.Broken_)
    Target.Partial_ = false;
}

void endTask(World &All, const std::string &Id, FakeTask &Task,
             TaskState Final) {
  if (!running(Task))
    return;
  auto Ran =
      std::chrono::duration_cast<milliseconds>(All.Now_ - Task.StartedAt_);
  Task.Progress_ += Ran;
  Task.Checkpoint_ = std::to_string(Task.Progress_.count());
  Task.State_ = Final;
  ++All.Counts_[std::string("tasks ") + toString(Final)];
  auto Known = All.Attempts_.find({Task.Job_, Task.Attempt_});
  if (Known == All.Attempts_.end())
    return;
  Known->second.Running_.erase(Task.Worker_ + "/" + Id);
  if (Final == TaskState::Done)
    return;
  Known->second.Broken_ = true;
  notePartial(All, Known->second);
}

void noteRecord(World &All, const model::Record &Change, bool Accepted) {
  if (!Accepted) {
    ++All.Counts_["rejected records"];
    return;
  }
  if (auto *Domain = std::get_if<model::DomainChanged>(&Change.Body_)) {
    if (Domain->InService_)
      All.OutSince_.erase(Domain->Domain_);
    else
      All.OutSince_.emplace(Domain->Domain_, All.Now_);
  } else if (auto *Commit = std::get_if<model::JobCommitted>(&Change.Body_)) {
    Attempt &New = All.Attempts_[{Commit->Job_, Commit->Attempt_}];
    New.Domain_ = Commit->Domain_;
    New.Placement_ = Commit->Placement_;
    New.Checkpoint_ = All.Truth_.Jobs_.at(Commit->Job_).Checkpoint_;
    ++All.Counts_["commits"];
    if (All.OnCommit_)
      All.OnCommit_();
  } else if (auto *Claim = std::get_if<model::CellClaimed>(&Change.Body_)) {
    ++All.Counts_["claims"];
    for (auto &[Key, Target] : All.Attempts_)
      if (Target.Domain_ == Claim->Domain_ && Target.Partial_)
        Target.PartialSince_ = All.Now_;
  }
}

void noteShown(World &All, EntryHost &Host) {
  std::map<std::string, core::Version> Shows;
  const model::ControlState &Fold = Host.State_.ControlState_;
  Shows["routes"] = Fold.RoutesVersion_;
  Shows["pools"] = Fold.PoolsVersion_;
  Shows["offset"] = Fold.NextOffset_;
  for (const auto &[Name, Domain] : Fold.Domains_)
    Shows["domain " + Name] = Domain.Version_;
  for (const auto &[What, Before] : Host.Shown_)
    if (Shows[What] < Before)
      All.violate("config-monotonic", Host.Name_ + " shows " + What + " " +
                                          std::to_string(Shows[What]) +
                                          " after " + std::to_string(Before));
  Host.Shown_ = std::move(Shows);
}

void checkSkipped(World &All, entry::EntryState Full,
                  const entry::Effects &Out) {
  Full.CheckAllGangs_ = true;
  const entry::Effects Looked = entry::step(Full, entry::Tick(), All.Now_);
  if (Looked.Sends_.size() != Out.Sends_.size() ||
      Looked.Appends_.size() != Out.Appends_.size())
    All.violate("skipped-gang", "a look at every gang has other effects");
}

void checkPartial(World &All) {
  for (auto &[Key, Target] : All.Attempts_)
    if (Target.Partial_ && !Target.Running_.empty() &&
        All.Now_ - Target.PartialSince_ > PartialBound) {
      All.violate("gang-atomic", "attempt " + std::to_string(Key.second) +
                                     " of " + core::toString(Key.first) +
                                     " runs in part for too long");
      Target.PartialSince_ = All.Now_;
    }
}

} // namespace nutmegwell::controltest
