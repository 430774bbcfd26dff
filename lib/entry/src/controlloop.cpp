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

bool ControlLoop::post(Event What) { return Queue_.push(std::move(What)); }

bool ControlLoop::postBlocking(Event What) {
  return Queue_.pushBlocking(std::move(What));
}

absl::StatusOr<CommandReply> ControlLoop::submit(model::RecordBody Body,
                                                 core::Duration Timeout) {
  std::future<CommandReply> Reply;
  std::uint64_t Ticket = 0;
  {
    std::lock_guard<std::mutex> Lock(CommandMutex_);
    Ticket = NextCommandId_++;
    Reply = Commands_[Ticket].get_future();
  }
  bool Queued = post(Command{Ticket, std::move(Body)});
  if (Queued && Reply.wait_for(Timeout) == std::future_status::ready)
    return Reply.get();
  {
    std::lock_guard<std::mutex> Lock(CommandMutex_);
    Commands_.erase(Ticket);
  }
  if (!Queued)
    return core::makeError(absl::StatusCode::kResourceExhausted, "submit", "",
                           "the control queue is full");
  return core::makeError(absl::StatusCode::kDeadlineExceeded, "submit", "",
                         "timed out waiting for the result of the record");
}

bool ControlLoop::readState(std::function<void(const EntryState &)> Function) {
  auto Asked = std::make_shared<Read>();
  Asked->Function_ = std::move(Function);
  auto Done = Asked->Done_.get_future();
  if (!Queue_.push(Asked))
    return false;
  Done.wait();
  return true;
}

bool ControlLoop::waitUntil(std::function<bool(const EntryState &)> Ready,
                            core::Duration Timeout) {
  auto Asked = std::make_shared<Waiter>();
  Asked->Ready_ = std::move(Ready);
  Asked->Deadline_ = Ports_.Clock_.Now_() + Timeout;
  auto Done = Asked->Done_.get_future();
  if (!Queue_.push(Asked))
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
    auto What = Queue_.popUntil(*Timers_.nextDue());
    if (What)
      handle(*What);
    else if (Queue_.closed())
      break;
  }
  for (auto &Pending : Waiters_)
    Pending->Done_.set_value(false);
}

void ControlLoop::handle(Input &What) {
  core::TimePoint Now = Ports_.Clock_.Now_();
  if (auto *Happened = std::get_if<Event>(&What)) {
    advance(*Happened, Now);
  } else if (auto *Asked = std::get_if<std::shared_ptr<Read>>(&What)) {
    (*Asked)->Function_(State_);
    (*Asked)->Done_.set_value();
  } else {
    Waiters_.push_back(std::get<std::shared_ptr<Waiter>>(What));
  }
}

void ControlLoop::advance(const Event &What, core::TimePoint Now) {
  Effects Out = step(State_, What, Now);
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
