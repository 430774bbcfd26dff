#include "nutmegwell/agent/controlloop.h"

namespace nutmegwell::agent {

namespace {

constexpr std::size_t QueueBound = 4096;
constexpr auto TickInterval = std::chrono::milliseconds(100);

} // namespace

ControlLoop::ControlLoop(const AgentSettings &Settings, ControlPorts Ports)
    : Ports_(std::move(Ports)), State_(makeAgentState(Settings)),
      Queue_(QueueBound), Calls_(QueueBound) {
  Timers_.subscribe(Ports_.Clock_.Now_(), TickInterval,
                    [this](core::TimePoint Now) { tick(Now); });
  RuntimeThread_ = std::thread([this] { callRuntime(); });
  Thread_ = std::thread([this] { run(); });
}

ControlLoop::~ControlLoop() { stop(); }

void ControlLoop::stop() {
  Queue_.close();
  if (Thread_.joinable())
    Thread_.join();
  Calls_.close();
  if (RuntimeThread_.joinable())
    RuntimeThread_.join();
}

bool ControlLoop::post(Event What) { return Queue_.push(std::move(What)); }

bool ControlLoop::waitDrained(core::Duration Timeout) {
  std::unique_lock<std::mutex> Lock(StopMutex_);
  return StopChanged_.wait_for(Lock, Timeout, [this] { return Drained_; });
}

bool ControlLoop::waitLeaveAcknowledged(core::Duration Timeout) {
  std::unique_lock<std::mutex> Lock(StopMutex_);
  return StopChanged_.wait_for(Lock, Timeout,
                               [this] { return LeaveAcknowledged_; });
}

void ControlLoop::run() {
  while (true) {
    Timers_.runDue(Ports_.Clock_.Now_());
    auto What = Queue_.popUntil(*Timers_.nextDue());
    if (What)
      execute(step(State_, *What, Ports_.Clock_.Now_()));
    else if (Queue_.closed())
      return;
    noteProgress();
  }
}

void ControlLoop::tick(core::TimePoint Now) {
  if (Ports_.Upstream_)
    execute(step(State_, UpstreamChanged{Ports_.Upstream_()}, Now));
  execute(step(State_, Tick(), Now));
}

void ControlLoop::noteProgress() {
  {
    std::lock_guard<std::mutex> Lock(StopMutex_);
    Drained_ = State_.Stopping_ && isDrained(State_);
    LeaveAcknowledged_ = State_.Stopping_ && isLeaveAcknowledged(State_);
  }
  StopChanged_.notify_all();
}

void ControlLoop::execute(const Effects &Out) {
  for (const OutgoingDatagram &Message : Out.Sends_)
    Ports_.Send_(Message);
  for (const LogEvent &Change : Out.LogEvents_)
    Ports_.Log_(Change);
  for (const RuntimeCall &Call : Out.Calls_)
    Calls_.push(Call);
}

void ControlLoop::callRuntime() {
  constexpr auto Wait = std::chrono::hours(1);
  while (!Calls_.closed()) {
    auto Call = Calls_.popUntil(Ports_.Clock_.Now_() + Wait);
    if (!Call)
      continue;
    const core::TimePoint Now = Ports_.Clock_.Now_();
    if (auto *Begin = std::get_if<StartTask>(&*Call)) {
      bool Late = Now >= Begin->StartDeadline_;
      absl::Status Result =
          Late ? absl::Status() : Ports_.Runtime_.Start_(*Begin);
      // A start whose answer was lost may have taken effect; the next listing
      // tells.
      bool Refused = Result.code() == absl::StatusCode::kFailedPrecondition ||
                     core::stepOf(Result) == "connect";
      if (Late || Refused)
        post(StartFailed{Begin->Id_});
    } else if (auto *End = std::get_if<StopTask>(&*Call)) {
      // A stop that fails is repeated by the control step.
      Ports_.Runtime_.Stop_(*End).IgnoreError();
    } else {
      auto Tasks = Ports_.Runtime_.List_(std::get<ListTasks>(*Call));
      if (Tasks.ok())
        post(RuntimeListing{Now, *Tasks});
    }
  }
}

} // namespace nutmegwell::agent
