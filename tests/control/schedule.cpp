#include "schedule.h"

#include <algorithm>

namespace nutmegwell::controltest {

namespace {

/// Longest wait after the last fault: a task lease, two quarantines and the
/// work itself.
constexpr auto QuietTime = seconds(240);

EntryHost &anyEntry(World &All) {
  return All.Entries_[All.pick(All.Entries_.size())];
}

AgentHost &anyAgent(World &All) {
  return All.Agents_[All.pick(All.Agents_.size())];
}

void cutOff(World &All, const std::string &A, const std::string &B,
            Duration Length) {
  All.Cut_.insert({A, B});
  All.after(Length, [&All, A, B] { All.Cut_.erase({A, B}); });
}

void cutOffFromAll(World &All, const AgentHost &Host, Duration Length) {
  for (const EntryHost &Entry : All.Entries_)
    cutOff(All, Host.Name_, Entry.Name_, Length);
}

void changeDomain(World &All, const model::DomainName &Domain, bool InService) {
  if (model::isInService(All.Truth_, Domain) != InService)
    appendDirectly(All,
                   model::DomainChanged{All.Truth_.Domains_[Domain].Version_,
                                        Domain, InService});
}

void takeDomainOut(Schedule &Target) {
  World &All = Target.World_;
  std::string Domain(1, static_cast<char>('a' + All.pick(Target.Domains_)));
  bool CutOff = All.percent(50);
  bool PauseHolder = All.percent(30);
  for (AgentHost &Host : All.Agents_)
    if (CutOff && Host.State_.Settings_.Domain_ == Domain)
      cutOffFromAll(All, Host, All.upTo(seconds(20)));
  for (EntryHost &Host : All.Entries_)
    if (PauseHolder && entry::holdsCell(Host.State_, Domain, All.Now_))
      pause(All, Host, All.upTo(seconds(8)));
  changeDomain(All, Domain, false);
  All.after(seconds(4) + All.upTo(seconds(12)),
            [&All, Domain] { changeDomain(All, Domain, true); });
}

/// Cuts one host off from the log, and some agents off from all others, so that
/// it holds on to a cell that another host claims.
void isolateHolder(Schedule &Target) {
  World &All = Target.World_;
  EntryHost &Host = anyEntry(All);
  Host.LogCutUntil_ = All.Now_ + All.upTo(seconds(60));
  for (AgentHost &Worker : All.Agents_)
    if (All.percent(40))
      for (EntryHost &Other : All.Entries_)
        if (&Other != &Host)
          cutOff(All, Worker.Name_, Other.Name_, All.upTo(seconds(60)));
}

/// Two operators publish at the same version; at most one may succeed.
void raceOperators(World &All) {
  model::PoolsTable Table = All.Truth_.Pools_;
  core::Version Expected = All.Truth_.PoolsVersion_;
  auto First =
      command(All, anyEntry(All), model::PoolsPublished{Expected, Table});
  auto Second =
      command(All, anyEntry(All), model::PoolsPublished{Expected, Table});
  All.after(seconds(15), [&All, First, Second] {
    if (All.Replies_.count(First) && All.Replies_.count(Second) &&
        All.Replies_[First].Outcome_ == entry::CommandOutcome::Applied &&
        All.Replies_[Second].Outcome_ == entry::CommandOutcome::Applied)
      All.violate("config-monotonic", "both operators replaced one version");
  });
}

struct Fault {
  const char *Name_;
  std::function<void(Schedule &)> Inject_;
};

const std::vector<Fault> &faults() {
  static const std::vector<Fault> All = {
      {"log-out",
       [](Schedule &S) {
         S.World_.LogUp_ = false;
         S.World_.after(seconds(1) + S.World_.upTo(S.FaultTime_ * 5 / 6),
                        [&S] { S.World_.LogUp_ = true; });
       }},
      {"slow-log",
       [](Schedule &S) {
         S.World_.Faults_.LongestAppend_ = seconds(3);
         S.World_.after(seconds(10), [&S] {
           S.World_.Faults_.LongestAppend_ = milliseconds(20);
         });
       }},
      {"lost-answers",
       [](Schedule &S) {
         S.World_.Faults_.LostAnswerPercent_ = 30;
         S.World_.after(seconds(10),
                        [&S] { S.World_.Faults_.LostAnswerPercent_ = 0; });
       }},
      {"reader-stuck",
       [](Schedule &S) {
         anyEntry(S.World_).ReaderStuckUntil_ =
             S.World_.Now_ + S.World_.upTo(seconds(14));
       }},
      {"reader-restart",
       [](Schedule &S) { restartReader(S.World_, anyEntry(S.World_)); }},
      {"log-out-for-one",
       [](Schedule &S) {
         anyEntry(S.World_).LogCutUntil_ =
             S.World_.Now_ + S.World_.upTo(seconds(20));
       }},
      {"holder-isolated", isolateHolder},
      {"runtime-slow",
       [](Schedule &S) {
         anyAgent(S.World_).SlowUntil_ = S.World_.Now_ + seconds(15);
       }},
      {"worker-dies",
       [](Schedule &S) {
         AgentHost &Host = anyAgent(S.World_);
         killTasks(S.World_, Host);
         replace(S.World_, Host, S.World_.upTo(seconds(12)));
       }},
      {"entry-pause",
       [](Schedule &S) {
         pause(S.World_, anyEntry(S.World_), S.World_.upTo(seconds(15)));
       }},
      {"entry-replace",
       [](Schedule &S) {
         replace(S.World_, anyEntry(S.World_), S.World_.upTo(seconds(10)));
       }},
      {"entry-stop",
       [](Schedule &S) {
         EntryHost &Host = anyEntry(S.World_);
         post(S.World_, Host, entry::StopRequested());
         S.World_.after(seconds(1), [&S, &Host] {
           replace(S.World_, Host, S.World_.upTo(seconds(5)));
         });
       }},
      {"agent-pause",
       [](Schedule &S) {
         pause(S.World_, anyAgent(S.World_), S.World_.upTo(seconds(25)));
       }},
      {"agent-replace",
       [](Schedule &S) {
         replace(S.World_, anyAgent(S.World_), S.World_.upTo(seconds(12)));
       }},
      {"agent-stop",
       [](Schedule &S) {
         AgentHost &Host = anyAgent(S.World_);
         post(S.World_, Host, agent::StopRequested());
         S.World_.after(seconds(8), [&S, &Host] {
           replace(S.World_, Host, S.World_.upTo(seconds(5)));
         });
       }},
      {"agent-cut-off",
       [](Schedule &S) {
         cutOffFromAll(S.World_, anyAgent(S.World_),
                       S.World_.upTo(seconds(35)));
       }},
      {"agent-cut-off-from-one",
       [](Schedule &S) {
         cutOff(S.World_, anyAgent(S.World_).Name_, anyEntry(S.World_).Name_,
                S.World_.upTo(seconds(35)));
       }},
      {"entries-cut-off",
       [](Schedule &S) {
         cutOff(S.World_, S.World_.Entries_.front().Name_,
                S.World_.Entries_.back().Name_, S.World_.upTo(seconds(20)));
       }},
      {"domain-out", takeDomainOut},
      {"cancellations",
       [](Schedule &S) {
         for (WantedJob &Job : S.Jobs_)
           Job.Cancel_ = Job.Cancel_ || S.World_.percent(60);
       }},
      {"worker-fails",
       [](Schedule &S) {
         S.WorkersFailed_ = true;
         AgentHost &Host = anyAgent(S.World_);
         Host.FailsEverything_ = true;
         S.World_.after(S.World_.upTo(seconds(30)),
                        [&Host] { Host.FailsEverything_ = false; });
       }},
      {"operators-race", [](Schedule &S) { raceOperators(S.World_); }},
      {"loss",
       [](Schedule &S) {
         S.World_.Faults_.LossPercent_ = 40;
         S.World_.after(S.World_.upTo(seconds(10)),
                        [&S] { S.World_.Faults_.LossPercent_ = 0; });
       }},
  };
  return All;
}

void makeJobs(Schedule &Target) {
  World &All = Target.World_;
  std::uint32_t Least =
      static_cast<std::uint32_t>(All.Agents_.size() / Target.Domains_) * 8;
  std::uint64_t Count = 1 + All.pick(8);
  for (std::uint64_t I = 0; I < Count; ++I) {
    std::uint32_t PerTask = 1U << All.pick(3);
    std::uint32_t Tasks = 1 + static_cast<std::uint32_t>(All.pick(
                                  std::min<std::uint32_t>(Least / PerTask, 6)));
    WantedJob Job;
    Job.Id_ = {77, I + 1};
    Job.Spec_ = makeSpec(
        Tasks, PerTask,
        milliseconds(200 + All.pick(Target.FaultTime_.count() / 2000)));
    if (All.percent(25))
      Job.Spec_.Class_ = model::JobClass::Urgent;
    if (Tasks * PerTask <= 8 && All.percent(30))
      Job.Spec_.Level_ = model::TopologyLevel::Worker;
    Job.Impossible_ = All.percent(5);
    if (Job.Impossible_)
      Job.Spec_.TaskCount_ = 1000;
    Job.SubmitAt_ = All.Now_ + seconds(3) + All.upTo(Target.FaultTime_ * 3 / 4);
    Target.Jobs_.push_back(Job);
  }
}

void injectFaults(Schedule &Target) {
  World &All = Target.World_;
  if (All.percent(30))
    All.Faults_ = {static_cast<unsigned>(All.pick(15)),
                   static_cast<unsigned>(All.pick(20)),
                   milliseconds(1 + All.pick(1500)),
                   0,
                   milliseconds(20),
                   2};
  std::uint64_t Count = All.pick(All.percent(20) ? 14 : 6);
  for (std::uint64_t I = 0; I < Count; ++I) {
    const Fault &Next = faults()[All.pick(faults().size())];
    unsigned Times = All.percent(25) ? 2 : 1;
    for (unsigned J = 0; J < Times; ++J) {
      Duration At = seconds(2) + All.upTo(Target.FaultTime_ - seconds(4));
      All.after(At, [&Target, &Next] { Next.Inject_(Target); });
      auto Ms = std::chrono::duration_cast<milliseconds>(At).count();
      Target.Story_ += std::string(" ") + Next.Name_ + "@" + std::to_string(Ms);
    }
  }
}

void endFaults(Schedule &Target) {
  World &All = Target.World_;
  All.Faults_ = Faults();
  All.LogUp_ = true;
  All.Cut_.clear();
  for (EntryHost &Host : All.Entries_) {
    Host.PausedUntil_ = std::min(Host.PausedUntil_, All.Now_);
    Host.ReaderStuckUntil_ = Host.LogCutUntil_ = {};
  }
  for (AgentHost &Host : All.Agents_) {
    Host.PausedUntil_ = std::min(Host.PausedUntil_, All.Now_);
    Host.FailsEverything_ = false;
    Host.SlowUntil_ = {};
  }
  for (unsigned I = 0; I < Target.Domains_; ++I)
    changeDomain(All, std::string(1, static_cast<char>('a' + I)), true);
}

bool settled(const Schedule &Target) {
  const World &All = Target.World_;
  return std::all_of(
      Target.Jobs_.begin(), Target.Jobs_.end(), [&All](const WantedJob &Job) {
        auto Known = All.Truth_.Jobs_.find(Job.Id_);
        return Job.Refused_ || (Known != All.Truth_.Jobs_.end() &&
                                isFinal(Known->second.State_));
      });
}

void checkEnd(Schedule &Target) {
  World &All = Target.World_;
  for (const WantedJob &Job : Target.Jobs_) {
    auto Known = All.Truth_.Jobs_.find(Job.Id_);
    const std::string Name = core::toString(Job.Id_);
    if (Known == All.Truth_.Jobs_.end()) {
      if (!Job.Refused_)
        All.violate("liveness", Name + " was never taken");
      continue;
    }
    model::JobState State = Known->second.State_;
    ++All.Counts_[std::string("jobs ") + toString(State)];
    bool Right = State == model::JobState::Finished ||
                 (Job.Cancel_ && State == model::JobState::Cancelled) ||
                 (Target.WorkersFailed_ && State == model::JobState::Failed);
    if (!Right)
      All.violate("liveness", Name + " is " + toString(State) + ": " +
                                  Known->second.Reason_);
  }
  if (!clean(All))
    All.violate("liveness", "tasks, shares or gangs are left");
}

/// A job that the announced workers can run must not be refused for good.
void noteRefusal(Schedule &Target, WantedJob &Job,
                 const entry::CommandReply &Reply, const EntryHost &By) {
  if (Reply.Code_ != "impossible_job")
    return;
  Job.Refused_ = Job.Impossible_ && !Reply.Reason_.empty();
  bool KnowsAll =
      By.State_.Membership_.Nodes_.size() == Target.World_.Agents_.size();
  if (!Job.Impossible_ && (KnowsAll || By.State_.Membership_.Nodes_.empty()))
    Target.World_.violate("liveness", core::toString(Job.Id_) +
                                          " was refused: " + Reply.Reason_);
}

} // namespace

sched::Plan preemptForUrgent(const sched::CellView &View) {
  sched::Plan Plan = sched::planCell(View);
  for (const sched::WaitingJob &Job : View.Waiting_) {
    bool Starts = std::any_of(
        Plan.Starts_.begin(), Plan.Starts_.end(),
        [&Job](const auto &Start) { return Start.Job_ == Job.Id_; });
    if (Starts || !View.MayStart_ ||
        Job.Spec_.Class_ != model::JobClass::Urgent)
      continue;
    for (const sched::RunningJob &Victim : View.Running_)
      if (!Victim.Stopping_ && Victim.Spec_.Class_ != model::JobClass::Urgent) {
        Plan.Preemptions_.push_back({Victim.Id_, Job.Id_, "preempted"});
        return Plan;
      }
  }
  return Plan;
}

void publishPools(Schedule &Target) {
  model::PoolsTable Table;
  for (unsigned I = 0; I < Target.Domains_; ++I) {
    model::PoolRow Row;
    Row.Domain_ = std::string(1, static_cast<char>('a' + I));
    Row.Name_ = "pool-" + Row.Domain_;
    Row.Account_ = "acc";
    Row.Service_ = "svc";
    Row.AcceleratorLimit_ = 1000;
    Table.Rows_.push_back(Row);
  }
  appendDirectly(Target.World_, model::PoolsPublished{0, Table});
}

model::JobSpec makeSpec(std::uint32_t Tasks, std::uint32_t PerTask,
                        milliseconds Work) {
  return model::JobSpecBuilder()
      .account("acc")
      .service("svc")
      .tasks(Tasks)
      .acceleratorsPerTask(PerTask)
      .command(std::to_string(Work.count()))
      .build();
}

void drive(Schedule &Target) {
  World &All = Target.World_;
  for (WantedJob &Job : Target.Jobs_) {
    if (All.Now_ < Job.SubmitAt_ || Job.Refused_)
      continue;
    auto Known = All.Truth_.Jobs_.find(Job.Id_);
    EntryHost &Host = anyEntry(All);
    if (Known == All.Truth_.Jobs_.end()) {
      Job.CommandId_ =
          command(All, Host, model::JobSubmitted{Job.Id_, Job.Spec_});
      auto Reply = All.Replies_.find(Job.CommandId_);
      if (Reply != All.Replies_.end())
        noteRefusal(Target, Job, Reply->second, Host);
    } else if (Job.Cancel_ && !isFinal(Known->second.State_) &&
               !Known->second.CancelRequested_) {
      command(All, Host, model::JobCancelled{Job.Id_});
    }
  }
  All.after(milliseconds(700), [&Target] { drive(Target); });
}

void runSchedule(Schedule &Target) {
  World &All = Target.World_;
  // A few schedules are long enough for a log outage of minutes.
  if (Target.Outage_ || All.percent(4))
    Target.FaultTime_ = seconds(200);
  Target.Domains_ = 1 + static_cast<unsigned>(All.pick(3));
  unsigned Entries = 1 + static_cast<unsigned>(All.pick(3));
  unsigned Agents = 3 + static_cast<unsigned>(All.pick(10));
  bool Preempts = All.percent(30);
  build(All, Entries, Agents, Target.Domains_);
  for (EntryHost &Host : All.Entries_)
    if (Preempts)
      Host.State_.Settings_.Decide_ = preemptForUrgent;
  publishPools(Target);
  makeJobs(Target);
  injectFaults(Target);
  if (Target.Outage_)
    All.after(seconds(10) + All.upTo(seconds(60)), [&All] {
      All.LogUp_ = false;
      All.after(seconds(100), [&All] { All.LogUp_ = true; });
    });
  drive(Target);
  runUntil(All, All.Now_ + Target.FaultTime_);
  endFaults(Target);
  runUntil(All, All.Now_ + QuietTime + Target.FaultTime_ * 2,
           [&Target] { return settled(Target) && clean(Target.World_); });
  checkEnd(Target);
}

} // namespace nutmegwell::controltest
