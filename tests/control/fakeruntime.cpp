#include "worldparts.h"

#include <algorithm>
#include <cstdlib>

namespace nutmegwell::controltest {

using model::TaskState;

namespace {

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
  Task.Progress_ =
      milliseconds(std::strtoll(Call.Checkpoint_.c_str(), nullptr, 10));
  Task.StartedAt_ = All.Now_;
  Task.LeaseEnd_ = All.Now_ + Call.Lease_;
  noteStart(All, Call.Id_, Task, AskedAt, Call.Checkpoint_);
  Host.Tasks_[Call.Id_] = Task;
  const milliseconds Total(std::strtoll(Call.Command_.c_str(), nullptr, 10));
  auto Left = std::max(Total - Task.Progress_, milliseconds(10));
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

} // namespace

void expireLeases(World &All, AgentHost &Host) {
  for (auto &[Id, Task] : Host.Tasks_)
    if (running(Task) && Task.LeaseEnd_ <= All.Now_)
      endTask(All, Id, Task, TaskState::Stopped);
}

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
  bool Late = Begin && AskedAt >= Begin->StartDeadline_;
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

} // namespace nutmegwell::controltest
