#include "worldparts.h"

#include <algorithm>

namespace nutmegwell::controltest {

namespace {

constexpr auto TickInterval = milliseconds(100);

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

// Entry hosts.

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
  for (const entry::OutgoingDatagram &Message : Out.Sends_)
    send(All, Host.Name_, Message.To_, Message.Message_);
  for (entry::CommandReply &Reply : Out.Replies_)
    All.Replies_[Reply.CommandId_] = std::move(Reply);
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

void run(World &All, AgentHost &Host, const agent::Event &What) {
  agent::Effects Out = agent::step(Host.State_, What, All.Now_);
  for (const agent::OutgoingDatagram &Message : Out.Sends_)
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
        Host.State_.Settings_.EntryAddresses_.push_back(Other);
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
    Settings.EntryAddresses_ = Names;
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
  appendToLog(All, {{{1, All.NextCommandId_++}, std::move(Body)}});
}

std::uint64_t command(World &All, EntryHost &To, model::RecordBody Body) {
  std::uint64_t Ticket = All.NextCommandId_++;
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
    endTask(All, Id, Task, model::TaskState::Failed);
}

bool clean(const World &All) {
  for (const EntryHost &Host : All.Entries_)
    if (!Host.State_.Gangs_.empty())
      return false;
  for (const AgentHost &Host : All.Agents_) {
    if (!agent::isDrained(Host.State_))
      return false;
    for (const auto &[Id, Task] : Host.Tasks_)
      if (running(Task))
        return false;
  }
  return true;
}

} // namespace nutmegwell::controltest
