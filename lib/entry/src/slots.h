#pragma once

#include "nutmegwell/core/random.h"
#include "nutmegwell/core/time.h"
#include "nutmegwell/routing/admission.h"
#include "nutmegwell/routing/loadbalancer.h"
#include "nutmegwell/routing/request.h"
#include "nutmegwell/routing/snapshot.h"
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace nutmegwell::entry {

class SlotGuard;

enum class Admission : std::uint8_t { Admitted, Overloaded, Stopping };

/// Admission, queues and slot usage of this entry host's requests, shared by
/// the traffic threads. Never waits for I/O with the lock held.
class SlotTable {
public:
  SlotTable(routing::SnapshotSource Snapshot, core::Clock Clock,
            core::Random Random);

  Admission admit(const model::PoolRow &Pool);
  void release(const model::AccountName &Account,
               const model::ServiceName &Service);

  /// Advances a request under the retry budget of its service.
  routing::RequestEffect step(routing::RequestState &State,
                              const routing::RequestEvent &Event);

  /// Waits in the queue of the route's service until an upstream has a free
  /// slot, and takes it into \p Slot.
  routing::RequestEvent chooseUpstream(routing::RequestState &State,
                                       const model::RouteRow &Route,
                                       const core::AttemptId &Attempt,
                                       SlotGuard &Slot);
  void releaseSlot(const model::NodeName &Agent);

  /// Wakes the requests that wait for a slot.
  void wakeWaiters();

  std::size_t inFlight() const;

  /// Refuses further requests and waits until none is in flight. The first call
  /// invokes \p Stopping before it waits; \p Stopping may be empty.
  void stop(const std::function<void(std::size_t InFlight)> &Stopping);

private:
  using Ticket = std::uint64_t;

  /// Returns the latest routing snapshot, and updates the local load counts
  /// when it is new.
  std::shared_ptr<const routing::RoutingSnapshot> adoptSnapshot();
  std::optional<routing::RequestEvent>
  tryChooseUpstream(routing::RequestState &State, const model::RouteRow &Route,
                    const core::AttemptId &Attempt, SlotGuard &Slot);

  const routing::SnapshotSource Snapshot_;
  const core::Clock Clock_;
  const core::Random Random_;
  mutable std::mutex Mutex_;
  std::condition_variable Changed_;
  /// Incremented by each change that may free a slot.
  std::uint64_t ChangeCount_ = 0;
  routing::AdmissionState Admission_;
  routing::LocalLoads Loads_;
  std::map<model::ServiceName, routing::RetryBudget> Budgets_;
  /// Requests that wait for a slot, in order of arrival.
  std::map<model::ServiceName, std::set<Ticket>> Queues_;
  Ticket NextTicket_ = 1;
  std::shared_ptr<const routing::RoutingSnapshot> AdoptedSnapshot_;
  std::size_t InFlight_ = 0;
  bool Stopping_ = false;
};

/// Releases an admitted request at the end of its scope.
class AdmissionGuard {
public:
  AdmissionGuard(SlotTable &Table, const model::AccountName &Account,
                 const model::ServiceName &Service)
      : Table_(Table), Account_(Account), Service_(Service) {}
  AdmissionGuard(const AdmissionGuard &) = delete;
  AdmissionGuard &operator=(const AdmissionGuard &) = delete;
  ~AdmissionGuard() { Table_.release(Account_, Service_); }

private:
  SlotTable &Table_;
  const model::AccountName &Account_;
  const model::ServiceName &Service_;
};

/// Owns a slot of an upstream, or none, and frees it at the end of its scope.
class SlotGuard {
public:
  explicit SlotGuard(SlotTable &Table) : Table_(Table) {}
  SlotGuard(const SlotGuard &) = delete;
  SlotGuard &operator=(const SlotGuard &) = delete;
  ~SlotGuard() { release(); }

  void assign(const model::NodeName &Agent, const std::string &Address) {
    Agent_ = Agent;
    Address_ = Address;
  }
  void release() {
    if (!Agent_.empty())
      Table_.releaseSlot(Agent_);
    Agent_.clear();
  }
  const std::string &address() const { return Address_; }

private:
  SlotTable &Table_;
  model::NodeName Agent_;
  std::string Address_;
};

} // namespace nutmegwell::entry
