#include "slots.h"

#include <algorithm>
#include <utility>

namespace nutmegwell::entry {

namespace {

/// Delay before a request that every upstream refused as busy is retried.
constexpr core::Duration BusyRetryDelay = std::chrono::milliseconds(100);

routing::UpstreamUnavailable unavailable(std::string Code,
                                         std::string Message) {
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

std::shared_ptr<const routing::RoutingSnapshot> SlotTable::adoptSnapshot() {
  auto Current = Snapshot_();
  if (Current != AdoptedSnapshot_ && Current) {
    routing::adoptSnapshot(Loads_, *Current);
    AdoptedSnapshot_ = Current;
  }
  return AdoptedSnapshot_;
}

std::optional<routing::RequestEvent>
SlotTable::tryChooseUpstream(routing::RequestState &State,
                             const model::RouteRow &Route,
                             const core::AttemptId &Attempt, SlotGuard &Slot) {
  if (Clock_.Now_() >= State.Deadline_)
    return unavailable("deadline_exceeded",
                       "no upstream had a free slot before the deadline");
  const auto Current = adoptSnapshot();
  routing::UpstreamChoice Choice = routing::chooseUpstream(
      *Current, Route.Service_, Loads_, State.Excluded_, Random_);
  if (Choice.Upstream_) {
    const routing::UpstreamView &Chosen = *Choice.Upstream_;
    ++Loads_[Chosen.Agent_].InFlight_;
    Slot.assign(Chosen.Agent_, Chosen.Address_);
    return routing::UpstreamChosen{Attempt, Chosen.Agent_, Chosen.Incarnation_};
  }
  // Upstreams that refused as busy may have a slot after the next change, so
  // the request waits for them.
  const bool Busy = State.Last_.Code_ == "busy" && !State.Excluded_.empty();
  if (Choice.Candidates_ == 0 && !Busy)
    return unavailable("no_upstream",
                       "no usable upstream of service " + Route.Service_);
  return std::nullopt;
}

routing::RequestEvent SlotTable::chooseUpstream(routing::RequestState &State,
                                                const model::RouteRow &Route,
                                                const core::AttemptId &Attempt,
                                                SlotGuard &Slot) {
  std::unique_lock<std::mutex> Lock(Mutex_);
  std::set<Ticket> &Queue = Queues_[Route.Service_];
  if (Queue.empty())
    if (auto Event = tryChooseUpstream(State, Route, Attempt, Slot))
      return *Event;
  if (!routing::enterQueue(Admission_, Route))
    return unavailable("overloaded", "the service's queue is full");
  const Ticket OwnTicket = NextTicket_++;
  Queue.insert(OwnTicket);
  std::optional<routing::RequestEvent> Event;
  std::uint64_t SeenChanges = ChangeCount_;
  while (!Event) {
    const bool Busy = State.Last_.Code_ == "busy";
    core::Duration Remaining = State.Deadline_ - Clock_.Now_();
    // No event here tells when requests of other entry hosts free a slot, so
    // the first request in the queue retries. The bound on attempts ends the
    // retries.
    if (Busy && *Queue.begin() == OwnTicket)
      Remaining = std::min(Remaining, BusyRetryDelay);
    Changed_.wait_for(Lock, Remaining,
                      [&] { return ChangeCount_ != SeenChanges; });
    const bool First = *Queue.begin() == OwnTicket;
    const bool Expired = Clock_.Now_() >= State.Deadline_;
    if (First && Busy)
      State.Excluded_.clear();
    SeenChanges = ChangeCount_;
    if (First || Expired)
      Event = tryChooseUpstream(State, Route, Attempt, Slot);
  }
  Queue.erase(OwnTicket);
  routing::leaveQueue(Admission_, Route.Service_);
  ++ChangeCount_;
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
    ++ChangeCount_;
  }
  Changed_.notify_all();
}

void SlotTable::wakeWaiters() {
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    ++ChangeCount_;
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
