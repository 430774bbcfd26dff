#include "nutmegwell/jobs/view.h"
#include "nutmegwell/jobs/progressrecords.h"
#include <algorithm>

namespace nutmegwell::jobs {

namespace {

struct Applier {
  View &State_;
  core::Offset Offset_;

  void operator()(const JobAccepted &Value) const {
    auto [It, Added] = State_.Jobs_.try_emplace(Value.Job_);
    JobEntry &Job = It->second;
    // The same job can be submitted to two entry hosts at once; the first
    // record of its id counts.
    if (!Added && !Job.Accepted_.Job_.empty())
      return;
    Job.Accepted_ = Value;
    Job.AcceptedAt_ = Offset_;
    Job.CancelRequested_ |= State_.EarlyCancels_.erase(Value.Job_) > 0;
  }

  void operator()(const LargeJobAccepted &Value) const { (*this)(Value.Job_); }

  void operator()(const JobCancelled &Value) const {
    auto It = State_.Jobs_.find(Value.Job_);
    if (It == State_.Jobs_.end())
      State_.EarlyCancels_.insert(Value.Job_);
    else
      It->second.CancelRequested_ = true;
  }

  void operator()(const JobProgressed &Value) const {
    // Pages of newest records can contain a job's progress before its
    // acceptance.
    JobEntry &Job = State_.Jobs_[Value.Job_];
    if (isFinal(Value.Progress_.State_)) {
      Job.Progress_.State_ = Value.Progress_.State_;
      Job.Progress_.forgetSteps();
      Job.EarlierFailures_.clear();
    } else if (!Job.Progress_.InParts_) {
      Job.Progress_ = fromRecord(Value.Progress_);
    }
  }

  void operator()(const ProgressSummarized &Value) const {
    jobs::applyRecord(State_.Jobs_[Value.Job_], Value);
  }

  void operator()(const PartsDone &Value) const {
    jobs::applyRecord(State_.Jobs_[Value.Job_], Value);
  }

  void operator()(const TasksProgressed &Value) const {
    jobs::applyRecord(State_.Jobs_[Value.Job_], Value);
  }

  void operator()(const RecordRemoved &) const {}

  void operator()(const FailuresCounted &Value) const {
    JobEntry &Job = State_.Jobs_[Value.Job_];
    if (!Job.Progress_.InParts_)
      Job.EarlierFailures_[{Value.Occurrence_, Value.Step_}] = Value.Runs_;
  }

  void operator()(const CellClaimed &Value) const {
    if (Offset_ + 1 <= State_.Term_)
      return;
    State_.Term_ = Offset_ + 1;
    State_.Claim_ = Value;
  }

  void operator()(const TenureSettled &Value) const {
    State_.SettledTerm_ = std::max(State_.SettledTerm_, Value.Term_);
  }

  void operator()(const WorkerListed &Value) const {
    State_.ListedAt_[Value.Host_] = Offset_;
    if (Value.Listed_)
      State_.Workers_[Value.Host_] = Value;
    else
      State_.Workers_.erase(Value.Host_);
  }

  void operator()(const EntryHostListed &Value) const {
    State_.EntryHosts_[Value.Host_] = Value.Address_;
  }

  void operator()(const LearnedSpeeds &Value) const {
    State_.LearnedSpeeds_[Value.Number_] = Value.Workers_;
  }
};

} // namespace

JobState JobEntry::reportedState() const {
  if (isFinal(Progress_.State_))
    return Progress_.State_;
  return CancelRequested_ ? JobState::Cancelled : Progress_.State_;
}

bool applyRecord(View &State, const StoredRecord &Entry) {
  if (Entry.Offset_ < State.NextOffset_)
    return false;
  std::visit(Applier{State, Entry.Offset_}, Entry.Value_);
  State.NextOffset_ = Entry.Offset_ + 1;
  return true;
}

void applyNewestRecord(View &State, const StoredRecord &Entry) {
  std::visit(Applier{State, Entry.Offset_}, Entry.Value_);
  // The newest record of an id may repeat an acceptance that an earlier holder
  // has already read, so that its offset does not tell the job's age.
  if (const JobAccepted *Accepted = acceptedJob(Entry.Value_))
    State.Jobs_[Accepted->Job_].AcceptedAt_ = 0;
}

std::size_t waitingCount(const View &State, const std::string &Queue) {
  return static_cast<std::size_t>(std::count_if(
      State.Jobs_.begin(), State.Jobs_.end(), [&](const auto &Row) {
        const JobEntry &Job = Row.second;
        return Job.Accepted_.Queue_ == Queue &&
               Job.reportedState() == JobState::Queued;
      }));
}

} // namespace nutmegwell::jobs
