// Load reports between the holder and the other entry hosts, and submissions
// that an entry host refuses by them.

#include "entrysteps.h"
#include <algorithm>
#include <functional>

namespace nutmegwell::site {

namespace {

/// Logs a change between overload and none, with the totals of all services.
void logChange(const EntryState &State, const cell::LoadReport &Report,
               EntryEffects &Out) {
  const bool Before = State.Load_.Report_ && State.Load_.Report_->Overloaded_;
  if (Before == Report.Overloaded_)
    return;
  double Waiting = 0;
  double Running = 0;
  double Accelerators = 0;
  for (const cell::CellLoad &Load : Report.Services_) {
    Accelerators += Load.Accelerators_;
    for (const cell::QueueLoad &Queue : Load.Queues_) {
      Waiting += Queue.Waiting_;
      Running += Queue.Running_;
    }
  }
  Out.LogEvents_.push_back({"load_reported",
                            {{"host", Report.Host_},
                             {"term", std::to_string(Report.Term_)},
                             {"overloaded", Report.Overloaded_ ? "1" : "0"},
                             {"waiting", std::to_string(Waiting)},
                             {"running", std::to_string(Running)},
                             {"accelerators", std::to_string(Accelerators)}}});
}

/// Drops the admitted jobs that the next report contains: the holder reads
/// records no later than this host. Those of appends that failed are dropped by
/// age.
void forgetReadJobs(EntryState &State, core::TimePoint Now) {
  constexpr core::Duration MaxAge = std::chrono::seconds(2);
  std::deque<AdmittedJob> &Jobs = State.Load_.Admitted_;
  Jobs.erase(std::remove_if(Jobs.begin(), Jobs.end(),
                            [&](const AdmittedJob &Job) {
                              return Now - Job.At_ > MaxAge ||
                                     State.View_.Jobs_.count(Job.Job_) > 0;
                            }),
             Jobs.end());
}

void keepReport(EntryState &State, cell::LoadReport Report, core::TimePoint Now,
                EntryEffects &Out) {
  logChange(State, Report, Out);
  State.Load_.Report_ = std::move(Report);
  State.Load_.ReceivedAt_ = Now;
  forgetReadJobs(State, Now);
}

/// Returns why a report is not to be used, or an empty string.
std::string faultOf(const EntryState &State, const cell::LoadReport &Report) {
  if (!cell::isValid(Report))
    return "a number is out of range";
  if (Report.Term_ == State.View_.Term_ &&
      Report.Host_ != State.View_.Claim_.Host_)
    return "the sender does not hold the cell";
  return {};
}

/// Maximum number of entries of a RecentJobs, about 0.4 MB each, and of
/// admitted jobs between two reports.
constexpr std::size_t MaxRecentJobs = 4096;
/// Longer than a caller takes for a call of 3 s and four retries after at most
/// 10 s each.
constexpr core::Duration MaxRecentAge = std::chrono::seconds(60);

std::uint64_t keyOf(const std::string &Account, const std::string &Job) {
  return std::hash<std::string>()(Account + '\n' + Job);
}

template <typename Value>
void add(RecentJobs<Value> &Jobs, std::uint64_t Key, const Value &Entry,
         core::TimePoint Now) {
  while (!Jobs.Ages_.empty() &&
         (Jobs.Ages_.size() >= MaxRecentJobs ||
          Now - Jobs.Ages_.front().first > MaxRecentAge)) {
    Jobs.Entries_.erase(Jobs.Ages_.front().second);
    Jobs.Ages_.pop_front();
  }
  if (Jobs.Entries_.emplace(Key, Entry).second)
    Jobs.Ages_.emplace_back(Now, Key);
}

/// Returns the first arrival of a refused caller that is still remembered.
const FirstArrival *firstArrival(const EntryState &State,
                                 const NewSubmission &Submission,
                                 core::TimePoint Now) {
  const auto &Entries = State.Load_.FirstArrivals_.Entries_;
  auto It = Entries.find(keyOf(
      Submission.Account_ ? Submission.Account_->Name_ : "", Submission.Job_));
  if (It == Entries.end() || Now - It->second.At_ > MaxRecentAge)
    return nullptr;
  return &It->second;
}

/// Returns the load of a service by the report of the newest term, or nullptr
/// while that term's holder is not known to be overloaded.
const cell::CellLoad *reportedLoad(const EntryState &State,
                                   const std::string &Service) {
  const std::optional<cell::LoadReport> &Report = State.Load_.Report_;
  if (!Report || !Report->Overloaded_ || Report->Term_ < State.View_.Term_)
    return nullptr;
  for (const cell::CellLoad &Load : Report->Services_)
    if (Load.Service_ == Service)
      return &Load;
  return nullptr;
}

/// Returns whether the account's guarantee may cover the job. Only jobs that
/// wait according to the view count against it: those that run may have ended
/// since.
bool mayBeGuaranteed(const EntryState &State, const NewSubmission &Submission) {
  if (Submission.Queue_.Priority_ != 0 || !Submission.Account_)
    return false;
  const auto NeedOf = [](const jobs::JobSpec &Spec) {
    std::int64_t Need = 0;
    for (const jobs::StepSpec &Step : Spec.Steps_)
      Need += Step.PerTask_.Accelerators_ * Step.Count_;
    return Need;
  };
  std::int64_t Need = NeedOf(Submission.Spec_);
  for (const auto &[Name, Job] : State.View_.Jobs_)
    if (Job.Accepted_.Account_ == Submission.Account_->Name_ &&
        Job.Accepted_.Priority_ == 0 && !Job.Accepted_.Job_.empty() &&
        Job.reportedState() == jobs::JobState::Queued)
      Need += NeedOf(Job.Accepted_.Spec_);
  return Need <= Submission.Account_->GuaranteedAccelerators_;
}

/// Returns whether the load at the time of submission says anything about the
/// end of a job.
bool startsAtOnceAndEnds(const jobs::JobSpec &Spec) {
  return !Spec.timed() && !Spec.longRunning();
}

unsigned admittingHosts(const EntryState &State, core::TimePoint Now) {
  unsigned Count = 1;
  for (const auto &[Host, Other] : State.Peers_)
    Count += isReachable(State, Other, Now) && !Other.Heartbeat_.Stopping_;
  return Count;
}

LoadAdmissionInput admissionInput(const EntryState &State,
                                  const NewSubmission &Submission,
                                  const cell::CellLoad &Load,
                                  core::TimePoint Now) {
  const std::vector<core::Duration> Chains =
      cell::longestChains(Submission.Spec_);
  LoadAdmissionInput Input;
  Input.Job_ = Submission.Job_;
  Input.Priority_ = Submission.Queue_.Priority_;
  Input.Guaranteed_ = mayBeGuaranteed(State, Submission);
  if (!Chains.empty())
    Input.RunTime_ = *std::max_element(Chains.begin(), Chains.end());
  Input.Objective_ = cell::objectiveOf(&Submission.Queue_, Chains);
  Input.Needs_ = cell::largestUnit(Submission.Spec_);
  if (const FirstArrival *First = firstArrival(State, Submission, Now))
    Input.Waited_ = Now - First->At_;
  Input.Load_ = Load;
  Input.ReportAge_ = Now - State.Load_.ReceivedAt_;
  Input.EntryHosts_ = admittingHosts(State, Now);
  for (const AdmittedJob &Job : State.Load_.Admitted_) {
    if (Job.Service_ != Load.Service_)
      continue;
    Input.AdmittedNeeds_ += Job.Needs_;
    if (Job.Priority_ <= Input.Priority_)
      Input.AdmittedWork_ += Job.Work_;
  }
  return Input;
}

} // namespace

void reportLoad(EntryState &State, core::TimePoint Now, jobs::WallTime Wall,
                EntryEffects &Out) {
  if (!State.Settings_.Policy_.LoadAdmission_.Enabled_ || !State.Holder_ ||
      State.Holder_->Term_ != State.View_.Term_ || Now < State.NextHeartbeatAt_)
    return;
  cell::LoadReport Report = cell::makeLoadReport(
      State.Settings_.Host_, *State.Holder_, holderContext(State, Now, Wall));
  if (Report.Overloaded_ || State.Load_.OverloadSentIn_ == Report.Term_)
    for (const auto &[Host, Other] : State.Peers_)
      if (isReachable(State, Other, Now))
        Out.SendsTo_.emplace_back(Other.Address_, Report);
  State.Load_.OverloadSentIn_ = Report.Overloaded_ ? Report.Term_ : 0;
  keepReport(State, std::move(Report), Now, Out);
}

void onLoadReport(EntryState &State, const cell::LoadReport &Report,
                  core::TimePoint Now, EntryEffects &Out) {
  const LoadAdmissionPolicy &Policy = State.Settings_.Policy_.LoadAdmission_;
  if (!Policy.Enabled_ || Report.Term_ < State.View_.Term_)
    return;
  const std::string Fault = faultOf(State, Report);
  if (!Fault.empty()) {
    Out.LogEvents_.push_back(
        {"load_report_invalid", {{"host", Report.Host_}, {"reason", Fault}}});
    return;
  }
  // A report of a term that is not heard of again does not exclude others for
  // longer than it is used.
  const std::optional<cell::LoadReport> &Kept = State.Load_.Report_;
  if (Kept && Kept->Term_ > Report.Term_ &&
      Now - State.Load_.ReceivedAt_ <= Policy.MaxReportAge_)
    return;
  keepReport(State, Report, Now, Out);
}

std::optional<core::Duration> refusalForLoad(EntryState &State,
                                             const NewSubmission &Submission,
                                             core::TimePoint Now,
                                             jobs::WallTime Wall) {
  const LoadAdmissionPolicy &Policy = State.Settings_.Policy_.LoadAdmission_;
  if (!Policy.Enabled_ || !startsAtOnceAndEnds(Submission.Spec_))
    return std::nullopt;
  const cell::CellLoad *Load = reportedLoad(State, Submission.Queue_.Service_);
  if (!Load || State.Load_.UnknownOutcomes_.Entries_.count(
                   keyOf("", Submission.Job_)) > 0)
    return std::nullopt;
  const auto RetryAfter =
      refuseForLoad(Policy, admissionInput(State, Submission, *Load, Now));
  if (RetryAfter && !firstArrival(State, Submission, Now))
    add(State.Load_.FirstArrivals_,
        keyOf(Submission.Account_ ? Submission.Account_->Name_ : "",
              Submission.Job_),
        FirstArrival{Now, Wall}, Now);
  return RetryAfter;
}

jobs::WallTime noteAdmitted(EntryState &State, const NewSubmission &Submission,
                            core::TimePoint Now, jobs::WallTime Wall) {
  if (!State.Settings_.Policy_.LoadAdmission_.Enabled_ ||
      !startsAtOnceAndEnds(Submission.Spec_))
    return Wall;
  AdmittedJob Job;
  Job.Job_ = Submission.Job_;
  Job.At_ = Now;
  Job.Service_ = Submission.Queue_.Service_;
  Job.Priority_ = Submission.Queue_.Priority_;
  Job.Needs_ = cell::largestUnit(Submission.Spec_);
  if (const cell::CellLoad *Load = reportedLoad(State, Job.Service_))
    Job.Work_ = cell::acceleratorWork(Submission.Spec_, Load->Capacity_);
  std::deque<AdmittedJob> &Admitted = State.Load_.Admitted_;
  if (Admitted.size() >= MaxRecentJobs)
    Admitted.pop_front();
  Admitted.push_back(std::move(Job));
  const FirstArrival *First = firstArrival(State, Submission, Now);
  return First ? First->Wall_ : Wall;
}

void noteUnknownOutcome(EntryState &State, const std::string &Job,
                        core::TimePoint Now) {
  if (State.Settings_.Policy_.LoadAdmission_.Enabled_)
    add(State.Load_.UnknownOutcomes_, keyOf("", Job), true, Now);
}

} // namespace nutmegwell::site
