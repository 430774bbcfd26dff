#include "nutmegwell/agent/controlloop.h"

namespace nutmegwell::agent {

namespace {

constexpr std::size_t MaxQueuedEvents = 4096;
constexpr auto TickInterval = std::chrono::milliseconds(100);

} // namespace

ControlLoop::ControlLoop(const AgentSettings &Settings, ControlPorts Ports)
    : Ports_(std::move(Ports)), State_(makeAgentState(Settings)),
      Queue_(MaxQueuedEvents), RuntimeCalls_(MaxQueuedEvents) {
  Timers_.subscribe(Ports_.Clock_.Now_(), TickInterval,
                    [this](core::TimePoint Now) { tick(Now); });
  RuntimeThread_ = std::thread([this] { runRuntimeCalls(); });
  ControlThread_ = std::thread([this] { runControlSteps(); });
}

ControlLoop::~ControlLoop() { stop(); }

void ControlLoop::stop() {
  Queue_.close();
  if (ControlThread_.joinable())
    ControlThread_.join();
  RuntimeCalls_.close();
  if (RuntimeThread_.joinable())
    RuntimeThread_.join();
}

bool ControlLoop::post(Event Input) { return Queue_.push(std::move(Input)); }

bool ControlLoop::waitDrained(core::Duration Timeout) {
  std::unique_lock<std::mutex> Lock(StopMutex_);
  return StopChanged_.wait_for(Lock, Timeout, [this] { return Drained_; });
}

bool ControlLoop::waitLeaveAcknowledged(core::Duration Timeout) {
  std::unique_lock<std::mutex> Lock(StopMutex_);
  return StopChanged_.wait_for(Lock, Timeout,
                               [this] { return LeaveAcknowledged_; });
}

void ControlLoop::runControlSteps() {
  while (true) {
    Timers_.runDue(Ports_.Clock_.Now_());
    auto Input = Queue_.popUntil(*Timers_.nextDue());
    if (Input)
      execute(step(State_, *Input, Ports_.Clock_.Now_()));
    else if (Queue_.closed())
      return;
    updateStopProgress();
  }
}

void ControlLoop::tick(core::TimePoint Now) {
  if (Ports_.Upstream_)
    execute(step(State_, UpstreamChanged{Ports_.Upstream_()}, Now));
  execute(step(State_, Tick(), Now));
}

void ControlLoop::updateStopProgress() {
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
    RuntimeCalls_.push(Call);
}

void ControlLoop::runRuntimeCalls() {
  constexpr auto MaxWait = std::chrono::hours(1);
  while (!RuntimeCalls_.closed()) {
    auto Call = RuntimeCalls_.popUntil(Ports_.Clock_.Now_() + MaxWait);
    if (!Call)
      continue;
    const core::TimePoint Now = Ports_.Clock_.Now_();
    if (auto *Start = std::get_if<StartTask>(&*Call)) {
      bool PermitExpired = Now >= Start->StartDeadline_;
      absl::Status Result =
          PermitExpired ? absl::Status() : Ports_.Runtime_.Start_(*Start);
      // A start without an answer may have taken effect; the next listing shows
      // whether it has.
      bool Refused = Result.code() == absl::StatusCode::kFailedPrecondition ||
                     core::stepOf(Result) == "connect";
      if (PermitExpired || Refused)
        post(StartFailed{Start->Id_});
    } else if (auto *Stop = std::get_if<StopTask>(&*Call)) {
      // The control step repeats a stop until the task has ended.
      Ports_.Runtime_.Stop_(*Stop).IgnoreError();
    } else {
      auto Tasks = Ports_.Runtime_.List_(std::get<ListTasks>(*Call));
      if (Tasks.ok())
        post(RuntimeListing{Now, *Tasks});
    }
  }
}

} // namespace nutmegwell::agent
