#include "nutmegwell/entry/controlloop.h"

#include <algorithm>

namespace nutmegwell::entry {

namespace {

constexpr auto TickInterval = std::chrono::milliseconds(100);

} // namespace

ControlLoop::ControlLoop(const EntrySettings &Settings, ControlPorts Ports,
                         std::size_t QueueBound)
    : Ports_(std::move(Ports)),
      State_(makeEntryState(Settings, Ports_.Clock_.Now_())),
      Queue_(QueueBound) {
  Ports_.Publish_(std::make_shared<const routing::RoutingSnapshot>(
      makeRoutingSnapshot(State_)));
  Timers_.subscribe(Ports_.Clock_.Now_(), TickInterval,
                    [this](core::TimePoint Now) { advance(Tick(), Now); });
  Thread_ = std::thread([this] { run(); });
}

ControlLoop::~ControlLoop() { stop(); }

void ControlLoop::stop() {
  Queue_.close();
  if (Thread_.joinable())
    Thread_.join();
}

bool ControlLoop::post(Event Incoming) {
  return Queue_.push(std::move(Incoming));
}

bool ControlLoop::postBlocking(Event Incoming) {
  return Queue_.pushBlocking(std::move(Incoming));
}

absl::StatusOr<CommandReply> ControlLoop::submit(model::RecordBody Body,
                                                 core::Duration Timeout) {
  std::future<CommandReply> Reply;
  std::uint64_t CommandId = 0;
  {
    std::lock_guard<std::mutex> Lock(CommandMutex_);
    CommandId = NextCommandId_++;
    Reply = Commands_[CommandId].get_future();
  }
  bool Queued = post(Command{CommandId, std::move(Body)});
  if (Queued && Reply.wait_for(Timeout) == std::future_status::ready)
    return Reply.get();
  {
    std::lock_guard<std::mutex> Lock(CommandMutex_);
    Commands_.erase(CommandId);
  }
  if (!Queued)
    return core::makeError(absl::StatusCode::kResourceExhausted, "submit", "",
                           "the control queue is full");
  return core::makeError(absl::StatusCode::kDeadlineExceeded, "submit", "",
                         "timed out waiting for the result of the record");
}

bool ControlLoop::readState(std::function<void(const EntryState &)> Function) {
  auto Request = std::make_shared<ReadRequest>();
  Request->Callback_ = std::move(Function);
  auto Done = Request->Done_.get_future();
  if (!Queue_.push(Request))
    return false;
  Done.wait();
  return true;
}

bool ControlLoop::waitUntil(std::function<bool(const EntryState &)> Ready,
                            core::Duration Timeout) {
  auto Request = std::make_shared<Waiter>();
  Request->Ready_ = std::move(Ready);
  Request->Deadline_ = Ports_.Clock_.Now_() + Timeout;
  auto Done = Request->Done_.get_future();
  if (!Queue_.push(Request))
    return false;
  return Done.get();
}

core::JobId ControlLoop::newJobId() {
  return core::JobId{State_.Settings_.Incarnation_, NextJob_++};
}

void ControlLoop::run() {
  while (true) {
    core::TimePoint Now = Ports_.Clock_.Now_();
    Timers_.runDue(Now);
    checkWaiters(Now);
    auto Queued = Queue_.popUntil(*Timers_.nextDue());
    if (Queued)
      handle(*Queued);
    else if (Queue_.closed())
      break;
  }
  for (auto &Unfinished : Waiters_)
    Unfinished->Done_.set_value(false);
}

void ControlLoop::handle(Input &Queued) {
  core::TimePoint Now = Ports_.Clock_.Now_();
  if (auto *Incoming = std::get_if<Event>(&Queued)) {
    advance(*Incoming, Now);
  } else if (auto *Request =
                 std::get_if<std::shared_ptr<ReadRequest>>(&Queued)) {
    (*Request)->Callback_(State_);
    (*Request)->Done_.set_value();
  } else {
    Waiters_.push_back(std::get<std::shared_ptr<Waiter>>(Queued));
  }
}

void ControlLoop::advance(const Event &Incoming, core::TimePoint Now) {
  Effects Out = step(State_, Incoming, Now);
  if (Ports_.RecordStepTime_)
    Ports_.RecordStepTime_(Ports_.Clock_.Now_() - Now);
  execute(std::move(Out));
}

void ControlLoop::execute(Effects Out) {
  for (const OutgoingDatagram &Message : Out.Sends_)
    Ports_.Send_(Message);
  if (!Out.Appends_.empty())
    Ports_.Append_(std::move(Out.Appends_));
  for (const LogEvent &Change : Out.LogEvents_)
    Ports_.Log_(Change);
  if (Out.RoutingChanged_)
    Ports_.Publish_(std::make_shared<const routing::RoutingSnapshot>(
        makeRoutingSnapshot(State_)));
  std::lock_guard<std::mutex> Lock(CommandMutex_);
  for (CommandReply &Reply : Out.Replies_) {
    auto Waiting = Commands_.find(Reply.CommandId_);
    if (Waiting == Commands_.end())
      continue;
    Waiting->second.set_value(std::move(Reply));
    Commands_.erase(Waiting);
  }
}

void ControlLoop::checkWaiters(core::TimePoint Now) {
  auto Finished = [&](const std::shared_ptr<Waiter> &Pending) {
    bool Ready = Pending->Ready_(State_);
    if (!Ready && Now < Pending->Deadline_)
      return false;
    Pending->Done_.set_value(Ready);
    return true;
  };
  Waiters_.erase(std::remove_if(Waiters_.begin(), Waiters_.end(), Finished),
                 Waiters_.end());
}

} // namespace nutmegwell::entry
