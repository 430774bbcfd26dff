#include "world.h"

#include <algorithm>
#include <cstdlib>

namespace nutmegwell::controltest {

namespace {

using model::TaskState;

/// Longest time for which an attempt may run in part: start bound, resend of a
/// stop, task lease, checkpoint grace, and the margin of the runtime's calls.
constexpr auto PartialBound = milliseconds(5000 + 500 + 15000 + 5000 + 3000);
constexpr auto DomainOutBound = seconds(3);
constexpr auto TickInterval = milliseconds(100);

bool running(const FakeTask &Task) { return Task.State_ == TaskState::Running; }

template <typename Host>
Host *hostAt(std::vector<Host> &Hosts, const std::string &Name) {
  for (Host &Candidate : Hosts)
    if (Candidate.Name_ == Name)
      return &Candidate;
  return nullptr;
}

bool paused(const World &All, const Process &Target) {
  return All.Now_ < Target.PausedUntil_;
}

// Checks.

void notePartial(World &All, Attempt &Target) {
  if (Target.Partial_)
    return;
  Target.Partial_ = true;
  Target.PartialSince_ = All.Now_;
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
  Task.ProgressMs_ += Ran.count();
  Task.Checkpoint_ = std::to_string(Task.ProgressMs_);
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
  const model::ControlState &Fold = Host.State_.Fold_;
  Shows["routes"] = Fold.RoutesVersion_;
  Shows["pools"] = Fold.PoolsVersion_;
  Shows["offset"] = Fold.Next_;
  for (const auto &[Name, Domain] : Fold.Domains_)
    Shows["domain " + Name] = Domain.Version_;
  for (const auto &[What, Before] : Host.Shown_)
    if (Shows[What] < Before)
      All.violate("config-monotonic", Host.Name_ + " shows " + What + " " +
                                          std::to_string(Shows[What]) +
                                          " after " + std::to_string(Before));
  Host.Shown_ = std::move(Shows);
}

// Network.

void deliver(World &All, const std::string &From, const std::string &To,
             const model::Datagram &Message) {
  if (EntryHost *Host = hostAt(All.Entries_, To))
    post(All, *Host, entry::DatagramReceived{From, Message});
  else if (AgentHost *Host = hostAt(All.Agents_, To))
    post(All, *Host, agent::DatagramReceived{From, Message});
}

void send(World &All, const std::string &From, const std::string &To,
          const model::Datagram &Message) {
  if (All.Cut_.count({From, To}) || All.Cut_.count({To, From}) ||
      All.percent(All.Faults_.LossPercent_))
    return;
  unsigned Copies = All.percent(All.Faults_.DuplicatePercent_) ? 2 : 1;
  for (unsigned I = 0; I < Copies; ++I)
    All.after(milliseconds(1) + All.upTo(All.Faults_.LongestDelay_),
              [&All, From, To, Message] { deliver(All, From, To, Message); });
}

// Log.

void appendToLog(World &All, const model::Batch &Records) {
  core::Offset At = All.Log_.size();
  All.Log_.push_back(Records);
  for (const model::Record &Change : Records) {
    bool Accepted = model::apply(All.Truth_, Change, At).Accepted_;
    noteRecord(All, Change, Accepted);
  }
  if (All.percent(10))
    All.Snapshots_.push_back(All.Truth_);
}

void pumpAppends(World &All, EntryHost &Host);

void reportAppend(World &All, EntryHost &Host, const model::Batch &Records,
                  bool InDoubt) {
  post(All, Host, entry::LogAvailability{false});
  for (const model::Record &Change : Records)
    post(All, Host, entry::AppendFailed{Change.Id_, InDoubt});
}

void pumpAppends(World &All, EntryHost &Host) {
  if (Host.Appending_ || Host.Unsent_.empty())
    return;
  Host.Appending_ = true;
  model::Batch Records;
  Records.swap(Host.Unsent_);
  core::Incarnation Writer = Host.Incarnation_;
  Duration Effect = milliseconds(1) + All.upTo(All.Faults_.LongestAppend_);
  bool Answered = !All.percent(All.Faults_.LostAnswerPercent_);
  // A lost answer hides whether the append took effect.
  bool Effective = Answered || All.percent(50);
  bool InDoubt = All.percent(50);
  auto Finish = [&All, &Host, Writer, Records](bool Ok, bool Doubt) {
    if (Host.Incarnation_ != Writer)
      return;
    if (!Ok)
      reportAppend(All, Host, Records, Doubt);
    Host.Appending_ = false;
    pumpAppends(All, Host);
  };
  All.after(Effect, [=, &All, &Host] {
    bool Up = All.LogUp_ && All.Now_ >= Host.LogCutUntil_;
    if (Up && Effective)
      appendToLog(All, Records);
    All.after(milliseconds(1) + All.upTo(milliseconds(Answered ? 10 : 1500)),
              [Up, Answered, InDoubt, Finish] {
                Finish(Up && Answered, Up || InDoubt);
              });
  });
}

void read(World &All, EntryHost &Host, core::Incarnation Process) {
  if (Host.Incarnation_ != Process)
    return;
  auto Again = [&All, &Host, Process](Duration Wait) {
    All.after(Wait, [&All, &Host, Process] { read(All, Host, Process); });
  };
  if (All.Now_ < Host.PausedUntil_)
    return Again(Host.PausedUntil_ - All.Now_);
  if (All.Now_ < std::max(Host.ReaderStuckUntil_, Host.LogCutUntil_) ||
      !All.LogUp_)
    return Again(milliseconds(100));
  TimePoint Began = All.Now_;
  All.after(milliseconds(1) + All.upTo(milliseconds(20)), [=, &All, &Host] {
    if (Host.Incarnation_ != Process)
      return;
    bool Partial = All.percent(10);
    if (!Host.State_.LogAvailable_)
      post(All, Host, entry::LogAvailability{true});
    while (Host.ReadNext_ < All.Log_.size()) {
      core::Offset At = Host.ReadNext_++;
      post(All, Host, entry::LogEntry{At, All.Log_[At]});
      if (Partial)
        break;
    }
    if (Host.ReadNext_ == All.Log_.size())
      post(All, Host, entry::LogTail{Began});
    Again(milliseconds(20) + All.upTo(milliseconds(100)));
  });
}

// Entry hosts.

/// Guards against a gang that a tick skips although a look at it would act.
void checkSkipped(World &All, entry::EntryState Full,
                  const entry::Effects &Out) {
  Full.AllChanged_ = true;
  const entry::Effects Looked = entry::step(Full, entry::Tick(), All.Now_);
  if (Looked.Sends_.size() != Out.Sends_.size() ||
      Looked.Appends_.size() != Out.Appends_.size())
    All.violate("skipped-gang", "a look at every gang has other effects");
}

void run(World &All, EntryHost &Host, const entry::Event &What) {
  // Every fourth tick is enough, since a skipped gang stays skipped.
  const bool Ticks = std::holds_alternative<entry::Tick>(What) &&
                     All.Counts_["entry ticks"]++ % 4 == 0;
  entry::EntryState Before;
  if (Ticks)
    Before = Host.State_;
  entry::Effects Out = entry::step(Host.State_, What, All.Now_);
  if (Ticks)
    checkSkipped(All, std::move(Before), Out);
  noteShown(All, Host);
  for (const entry::Send &Message : Out.Sends_)
    send(All, Host.Name_, Message.To_, Message.Message_);
  for (entry::CommandReply &Reply : Out.Replies_)
    All.Replies_[Reply.Ticket_] = std::move(Reply);
  Host.Unsent_.insert(Host.Unsent_.end(), Out.Appends_.begin(),
                      Out.Appends_.end());
  pumpAppends(All, Host);
}

void startProcess(World &All, EntryHost &Host) {
  entry::EntrySettings Settings = Host.State_.Settings_;
  Host.Incarnation_ = Settings.Incarnation_ = All.NextIncarnation_++;
  Host.State_ = entry::makeEntryState(Settings, All.Now_);
  Host.Alive_ = true;
  Host.Queue_.clear();
  Host.Unsent_.clear();
  Host.Appending_ = false;
  Host.Shown_.clear();
  Host.PausedUntil_ = {};
  Host.ReadNext_ = 0;
  if (!All.Snapshots_.empty() && All.percent(50))
    restartReader(All, Host);
  read(All, Host, Host.Incarnation_);
}

// Agents and their runtimes.

void pumpCalls(World &All, AgentHost &Host);

void runtimeStart(World &All, AgentHost &Host, const agent::StartTask &Call,
                  TimePoint AskedAt) {
  if (Host.Tasks_.count(Call.Id_))
    return;
  FakeTask Task;
  Task.Worker_ = Host.Name_;
  auto Dot = Call.Id_.find('.');
  core::parseId(Call.Id_.substr(0, Dot), Task.Job_.Writer_,
                Task.Job_.Sequence_);
  Task.Attempt_ = static_cast<std::uint32_t>(
      std::strtoul(Call.Id_.c_str() + Dot + 1, nullptr, 10));
  Task.Accelerators_ = Call.Accelerators_;
  Task.ProgressMs_ = std::strtoll(Call.Checkpoint_.c_str(), nullptr, 10);
  Task.StartedAt_ = All.Now_;
  Task.LeaseEnd_ = All.Now_ + Call.Lease_;
  noteStart(All, Call.Id_, Task, AskedAt, Call.Checkpoint_);
  Host.Tasks_[Call.Id_] = Task;
  std::int64_t Total = std::strtoll(Call.Command_.c_str(), nullptr, 10);
  auto Left =
      milliseconds(std::max<std::int64_t>(Total - Task.ProgressMs_, 10));
  const std::string Id = Call.Id_;
  if (Host.FailsEverything_)
    All.after(milliseconds(50), [&All, &Host, Id] {
      endTask(All, Id, Host.Tasks_[Id], TaskState::Failed);
    });
  else
    All.after(Left, [&All, &Host, Id] {
      if (!Host.Tasks_[Id].Stopping_)
        endTask(All, Id, Host.Tasks_[Id], TaskState::Done);
    });
}

void runtimeStop(World &All, AgentHost &Host, const agent::StopTask &Call) {
  auto Known = Host.Tasks_.find(Call.Id_);
  if (Known == Host.Tasks_.end() || Known->second.Stopping_)
    return;
  Known->second.Stopping_ = true;
  const std::string Id = Call.Id_;
  All.after(All.upTo(Call.Grace_), [&All, &Host, Id] {
    endTask(All, Id, Host.Tasks_[Id], TaskState::Stopped);
  });
}

void expireLeases(World &All, AgentHost &Host) {
  for (auto &[Id, Task] : Host.Tasks_)
    if (running(Task) && Task.LeaseEnd_ <= All.Now_)
      endTask(All, Id, Task, TaskState::Stopped);
}

std::vector<agent::RuntimeTask> runtimeList(World &All, AgentHost &Host,
                                            const agent::ListTasks &Call) {
  for (const std::string &Id : Call.Renew_) {
    auto Known = Host.Tasks_.find(Id);
    if (Known != Host.Tasks_.end())
      Known->second.LeaseEnd_ = All.Now_ + Call.Lease_;
  }
  std::vector<agent::RuntimeTask> Tasks;
  for (const auto &[Id, Task] : Host.Tasks_)
    Tasks.push_back({Id, Task.State_, Task.Checkpoint_});
  return Tasks;
}

/// Makes one call at a time, as the agent's runtime thread does. A call that
/// was made takes effect even when the agent's process ends.
void pumpCalls(World &All, AgentHost &Host) {
  if (Host.Calling_ || Host.Calls_.empty() || !Host.Alive_)
    return;
  core::Incarnation Process = Host.Incarnation_;
  Host.Calling_ = true;
  if (paused(All, Host)) {
    All.after(Host.PausedUntil_ - All.Now_, [&All, &Host, Process] {
      if (Host.Incarnation_ != Process)
        return;
      Host.Calling_ = false;
      pumpCalls(All, Host);
    });
    return;
  }
  agent::RuntimeCall Call = std::move(Host.Calls_.front());
  Host.Calls_.pop_front();
  TimePoint AskedAt = All.Now_;
  auto *Begin = std::get_if<agent::StartTask>(&Call);
  bool Late = Begin && AskedAt >= Begin->NotAfter_;
  bool Slow = All.percent(All.Faults_.SlowCallPercent_) ||
              (All.Now_ < Host.SlowUntil_ && All.percent(50));
  Duration Effect = All.upTo(milliseconds(Slow ? 1900 : 5));
  All.after(Effect, [=, &All, &Host] {
    std::vector<agent::RuntimeTask> Tasks;
    auto *Listing = std::get_if<agent::ListTasks>(&Call);
    if (auto *Start = std::get_if<agent::StartTask>(&Call)) {
      if (!Late)
        runtimeStart(All, Host, *Start, AskedAt);
    } else if (auto *Stop = std::get_if<agent::StopTask>(&Call)) {
      runtimeStop(All, Host, *Stop);
    } else {
      Tasks = runtimeList(All, Host, *Listing);
    }
    if (Host.Incarnation_ != Process)
      return;
    Host.Calling_ = false;
    if (Late)
      post(All, Host, agent::StartFailed{std::get<0>(Call).Id_});
    if (Listing)
      post(All, Host, agent::RuntimeListing{AskedAt, Tasks});
    pumpCalls(All, Host);
  });
}

void run(World &All, AgentHost &Host, const agent::Event &What) {
  agent::Effects Out = agent::step(Host.State_, What, All.Now_);
  for (const agent::Send &Message : Out.Sends_)
    send(All, Host.Name_, Message.To_, Message.Message_);
  Host.Calls_.insert(Host.Calls_.end(), Out.Calls_.begin(), Out.Calls_.end());
  pumpCalls(All, Host);
}

void startProcess(World &All, AgentHost &Host) {
  agent::AgentSettings Settings = Host.State_.Settings_;
  Host.Incarnation_ = Settings.Incarnation_ = All.NextIncarnation_++;
  Host.State_ = agent::makeAgentState(Settings);
  Host.Alive_ = true;
  Host.Queue_.clear();
  Host.Calls_.clear();
  Host.Calling_ = false;
  Host.PausedUntil_ = {};
}

template <typename Host, typename Event>
void postTo(World &All, Host &To, Event What) {
  if (!To.Alive_)
    return;
  if (paused(All, To) || !To.Queue_.empty())
    To.Queue_.push_back(std::move(What));
  else
    run(All, To, What);
}

/// Runs the timer, then what was queued during a pause.
template <typename Host, typename Tick> void tick(World &All, Host &Target) {
  if (Target.Alive_ && !paused(All, Target)) {
    run(All, Target, Tick());
    while (!Target.Queue_.empty()) {
      auto What = std::move(Target.Queue_.front());
      Target.Queue_.pop_front();
      run(All, Target, What);
    }
  }
  All.after(TickInterval, [&All, &Target] { tick<Host, Tick>(All, Target); });
}

template <typename Host>
void replaceProcess(World &All, Host &Target, Duration Away) {
  if (!Target.Alive_)
    return;
  Target.Alive_ = false;
  Target.Incarnation_ = 0;
  All.after(Away, [&All, &Target] { startProcess(All, Target); });
}

} // namespace

void World::violate(const std::string &Rule, const std::string &What) {
  auto Ms = std::chrono::duration_cast<milliseconds>(Now_.time_since_epoch());
  Violations_.emplace_back(Rule,
                           "t=" + std::to_string(Ms.count()) + "ms " + What);
}

void post(World &All, EntryHost &To, entry::Event What) {
  postTo(All, To, std::move(What));
}

void post(World &All, AgentHost &To, agent::Event What) {
  postTo(All, To, std::move(What));
}

void build(World &All, unsigned Entries, unsigned Agents, unsigned Domains) {
  std::vector<std::string> Names;
  for (unsigned I = 0; I < Entries; ++I)
    Names.push_back("e" + std::to_string(I));
  All.Entries_.resize(Entries);
  All.Agents_.resize(Agents);
  for (unsigned I = 0; I < Entries; ++I) {
    EntryHost &Host = All.Entries_[I];
    Host.Name_ = Host.State_.Settings_.Node_ = Names[I];
    for (const std::string &Other : Names)
      if (Other != Names[I])
        Host.State_.Settings_.Entries_.push_back(Other);
    startProcess(All, Host);
    All.after(All.upTo(TickInterval),
              [&All, &Host] { tick<EntryHost, entry::Tick>(All, Host); });
  }
  for (unsigned I = 0; I < Agents; ++I) {
    AgentHost &Host = All.Agents_[I];
    agent::AgentSettings &Settings = Host.State_.Settings_;
    Host.Name_ = Settings.Node_ = "w" + std::to_string(I);
    Settings.Domain_ = std::string(1, static_cast<char>('a' + I % Domains));
    Settings.Rack_ = Settings.Domain_ + "-r" + std::to_string(I / Domains / 3);
    Settings.Accelerators_ = 8;
    Settings.Entries_ = Names;
    startProcess(All, Host);
    All.after(All.upTo(TickInterval),
              [&All, &Host] { tick<AgentHost, agent::Tick>(All, Host); });
  }
}

void runUntil(World &All, TimePoint End, const std::function<bool()> &Done) {
  TimePoint NextCheck = All.Now_;
  while (!All.Agenda_.empty() && All.Agenda_.top().At_ <= End) {
    World::Due Next = All.Agenda_.top();
    All.Agenda_.pop();
    All.Now_ = Next.At_;
    if (All.Now_ >= NextCheck) {
      NextCheck = All.Now_ + milliseconds(100);
      for (AgentHost &Host : All.Agents_)
        expireLeases(All, Host);
      checkPartial(All);
      if (Done && Done())
        return;
    }
    Next.Run_();
  }
  All.Now_ = End;
}

void appendDirectly(World &All, model::RecordBody Body) {
  appendToLog(All, {{{1, All.NextTicket_++}, std::move(Body)}});
}

std::uint64_t command(World &All, EntryHost &To, model::RecordBody Body) {
  std::uint64_t Ticket = All.NextTicket_++;
  post(All, To, entry::Command{Ticket, std::move(Body)});
  return Ticket;
}

void replace(World &All, EntryHost &Target, Duration Away) {
  replaceProcess(All, Target, Away);
}

void replace(World &All, AgentHost &Target, Duration Away) {
  replaceProcess(All, Target, Away);
}

void pause(World &All, Process &Target, Duration Length) {
  Target.PausedUntil_ = std::max(Target.PausedUntil_, All.Now_ + Length);
}

void killTasks(World &All, AgentHost &Target) {
  for (auto &[Id, Task] : Target.Tasks_)
    endTask(All, Id, Task, TaskState::Failed);
}

void restartReader(World &All, EntryHost &Target) {
  if (All.Snapshots_.empty() || !All.LogUp_)
    return;
  const model::ControlState &From =
      All.Snapshots_[All.pick(All.Snapshots_.size())];
  Target.ReadNext_ = From.Next_;
  post(All, Target, entry::LogReplaced{From});
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

bool clean(const World &All) {
  for (const EntryHost &Host : All.Entries_)
    if (!Host.State_.Gangs_.empty())
      return false;
  for (const AgentHost &Host : All.Agents_) {
    if (!agent::drained(Host.State_))
      return false;
    for (const auto &[Id, Task] : Host.Tasks_)
      if (running(Task))
        return false;
  }
  return true;
}

} // namespace nutmegwell::controltest
