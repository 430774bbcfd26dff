#include "slots.h"

#include <algorithm>
#include <utility>

namespace nutmegwell::entry {

namespace {

/// Delay before a request that every upstream refused as busy is retried.
constexpr core::Duration BusyWait = std::chrono::milliseconds(100);

routing::UpstreamUnavailable missing(std::string Code, std::string Message) {
  return {{std::move(Code), "choose", "", std::move(Message)}};
}

} // namespace

SlotTable::SlotTable(routing::SnapshotSource Snapshot, core::Clock Clock,
                     core::Random Random)
    : Snapshot_(std::move(Snapshot)), Clock_(std::move(Clock)),
      Random_(std::move(Random)) {}

Admission SlotTable::admit(const model::PoolRow &Pool) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  if (Stopping_)
    return Admission::Stopping;
  if (!routing::admit(Admission_, Pool))
    return Admission::Overloaded;
  ++InFlight_;
  return Admission::Admitted;
}

void SlotTable::release(const model::AccountName &Account,
                        const model::ServiceName &Service) {
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    routing::release(Admission_, Account, Service);
    --InFlight_;
  }
  Changed_.notify_all();
}

routing::RequestEffect SlotTable::step(routing::RequestState &State,
                                       const routing::RequestEvent &Event) {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return routing::advanceRequest(State, Event, Budgets_[State.Service_],
                                 Clock_.Now_());
}

std::shared_ptr<const routing::RoutingSnapshot> SlotTable::takeUp() {
  auto Current = Snapshot_();
  if (Current != TakenUp_ && Current) {
    routing::adoptSnapshot(Loads_, *Current);
    TakenUp_ = Current;
  }
  return TakenUp_;
}

std::optional<routing::RequestEvent>
SlotTable::tryChoose(routing::RequestState &State, const model::RouteRow &Route,
                     const core::AttemptId &Attempt, HeldSlot &Slot) {
  if (Clock_.Now_() >= State.Deadline_)
    return missing("deadline_exceeded",
                   "no upstream had a free slot before the deadline");
  const auto Current = takeUp();
  routing::UpstreamChoice Choice = routing::chooseUpstream(
      *Current, Route.Service_, Loads_, State.Excluded_, Random_);
  if (Choice.Upstream_) {
    const routing::UpstreamView &Chosen = *Choice.Upstream_;
    ++Loads_[Chosen.Agent_].InFlight_;
    Slot.hold(Chosen.Agent_, Chosen.Address_);
    return routing::UpstreamChosen{Attempt, Chosen.Agent_, Chosen.Incarnation_};
  }
  // Upstreams that refused as busy may have a slot after the next change, so
  // the request waits for them.
  const bool Busy = State.Last_.Code_ == "busy" && !State.Excluded_.empty();
  if (Choice.Candidates_ == 0 && !Busy)
    return missing("no_upstream",
                   "no usable upstream of service " + Route.Service_);
  return std::nullopt;
}

routing::RequestEvent SlotTable::choose(routing::RequestState &State,
                                        const model::RouteRow &Route,
                                        const core::AttemptId &Attempt,
                                        HeldSlot &Slot) {
  std::unique_lock<std::mutex> Lock(Mutex_);
  std::set<Ticket> &Queue = Queues_[Route.Service_];
  if (Queue.empty())
    if (auto Event = tryChoose(State, Route, Attempt, Slot))
      return *Event;
  if (!routing::enterQueue(Admission_, Route))
    return missing("overloaded", "the service's queue is full");
  const Ticket Own = NextTicket_++;
  Queue.insert(Own);
  std::optional<routing::RequestEvent> Event;
  std::uint64_t Seen = Changes_;
  while (!Event) {
    const bool Busy = State.Last_.Code_ == "busy";
    core::Duration Left = State.Deadline_ - Clock_.Now_();
    // No event here tells when requests of other entry hosts free a slot, so
    // the first request in the queue retries. The bound on attempts ends the
    // retries.
    if (Busy && *Queue.begin() == Own)
      Left = std::min(Left, BusyWait);
    Changed_.wait_for(Lock, Left, [&] { return Changes_ != Seen; });
    const bool First = *Queue.begin() == Own;
    const bool Late = Clock_.Now_() >= State.Deadline_;
    if (First && Busy)
      State.Excluded_.clear();
    Seen = Changes_;
    if (First || Late)
      Event = tryChoose(State, Route, Attempt, Slot);
  }
  Queue.erase(Own);
  routing::leaveQueue(Admission_, Route.Service_);
  ++Changes_;
  Lock.unlock();
  Changed_.notify_all();
  return *Event;
}

void SlotTable::releaseSlot(const model::NodeName &Agent) {
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    auto Load = Loads_.find(Agent);
    if (Load != Loads_.end() && Load->second.InFlight_ > 0)
      --Load->second.InFlight_;
    ++Changes_;
  }
  Changed_.notify_all();
}

void SlotTable::wake() {
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    ++Changes_;
  }
  Changed_.notify_all();
}

std::size_t SlotTable::inFlight() const {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return InFlight_;
}

void SlotTable::stop(const std::function<void(std::size_t)> &Stopping) {
  std::unique_lock<std::mutex> Lock(Mutex_);
  if (!std::exchange(Stopping_, true) && Stopping) {
    const std::size_t InFlight = InFlight_;
    Lock.unlock();
    Stopping(InFlight);
    Lock.lock();
  }
  Changed_.wait(Lock, [this] { return InFlight_ == 0; });
}

} // namespace nutmegwell::entry
