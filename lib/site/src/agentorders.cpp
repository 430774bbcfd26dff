#include "agentsteps.h"
#include <algorithm>

namespace nutmegwell::site {

namespace {

void refuseStart(AgentState &State, const cell::RunId &Id,
                 cell::RefusalKind Kind, AgentEffects &Out) {
  State.Refused_.push_back({Id, Kind});
  State.ReportNeeded_ = true;
  Out.LogEvents_.push_back({"start_refused",
                            {{"task", toString(Id.Task_)},
                             {"run", std::to_string(Id.Run_)},
                             {"reason", cell::name(Kind)}}});
}

/// Returns why a start must not be sent to the worker, or nothing.
std::optional<cell::RefusalKind> startRefusal(const AgentState &State,
                                              const cell::HolderOrders &Orders,
                                              core::TimePoint Now) {
  if (!State.Worker_ || State.Superseded_ ||
      Orders.WorkerIncarnation_ != State.Worker_->WorkerIncarnation_)
    return cell::RefusalKind::OtherIncarnation;
  if (State.Worker_->Draining_)
    return cell::RefusalKind::Draining;
  auto Sent = State.ReportSentAt_.find(Orders.ReportSequence_);
  const AgentPolicy &Policy = State.Settings_.Policy_;
  if (Sent == State.ReportSentAt_.end() ||
      Now - Sent->second > Policy.StartPermit_ || !State.Granted_ ||
      Now >= State.GrantEnds_ || !State.WorkerClock_)
    return cell::RefusalKind::Late;
  return std::nullopt;
}

void sendStart(AgentState &State, const cell::StartOrder &Order,
               core::TimePoint Now, AgentEffects &Out) {
  const AgentPolicy &Policy = State.Settings_.Policy_;
  StartCall Call;
  Call.Order_ = Order;
  Call.Term_ = State.Term_;
  Call.Deadline_ = *workerClockAt(State, Now + Policy.StartPermit_);
  AgentState::Pending &Start = State.Pending_[Order.Id_];
  Start.Deadline_ = Call.Deadline_;
  Start.SentAt_ = Now;
  callWorker(State, std::move(Call), Policy.OrderTimeout_, Out);
}

/// Returns whether a run is listed by the worker, or its start is pending.
bool isKnown(const AgentState &State, const cell::RunId &Id) {
  const auto Names = [&](const auto &Row) { return Row.Id_ == Id; };
  return State.Pending_.count(Id) > 0 ||
         std::any_of(State.Running_.begin(), State.Running_.end(), Names) ||
         std::any_of(State.Ended_.begin(), State.Ended_.end(), Names);
}

void applyGrant(AgentState &State, const cell::HolderOrders &Orders) {
  auto Sent = State.ReportSentAt_.find(Orders.ReportSequence_);
  if (!Orders.GrantsLease_ || Sent == State.ReportSentAt_.end())
    return;
  State.Granted_ = true;
  State.GrantEnds_ = std::max(State.GrantEnds_,
                              Sent->second + State.Settings_.Policy_.MaxLease_);
}

} // namespace

void applyOrders(AgentState &State, const cell::HolderOrders &Orders,
                 core::TimePoint Now, AgentEffects &Out) {
  if (Orders.Term_ < State.Term_) {
    Out.LogEvents_.push_back({"orders_of_old_term",
                              {{"term", std::to_string(Orders.Term_)},
                               {"newest", std::to_string(State.Term_)}}});
    return;
  }
  if (Orders.Term_ > State.Term_) {
    Out.LogEvents_.push_back({"term_adopted",
                              {{"term", std::to_string(Orders.Term_)},
                               {"earlier", std::to_string(State.Term_)}}});
    State.Term_ = Orders.Term_;
    State.Granted_ = false;
    State.GrantEnds_ = {};
    // Poll under the new term without waiting for the poll in flight.
    State.PollInFlight_ = 0;
    State.NextPollAt_ = Now;
    // A new holder waits to learn that no earlier run is left.
    State.ReportNeeded_ |= !State.Worker_;
  }
  const bool SameWorker =
      State.Worker_ &&
      Orders.WorkerIncarnation_ == State.Worker_->WorkerIncarnation_;
  const std::uint64_t AcknowledgedBefore = State.AcknowledgedUpTo_;
  if (SameWorker)
    State.AcknowledgedUpTo_ =
        std::max(State.AcknowledgedUpTo_, Orders.AcknowledgedUpTo_);
  if (State.AcknowledgedUpTo_ > AcknowledgedBefore)
    State.NextPollAt_ = Now;
  applyGrant(State, Orders);
  State.ProcessedOrders_ = Orders.Sequence_;
  for (const cell::StartOrder &Order : Orders.Starts_) {
    if (auto Refusal = startRefusal(State, Orders, Now))
      refuseStart(State, Order.Id_, *Refusal, Out);
    else
      sendStart(State, Order, Now, Out);
  }
  for (const cell::RunId &Id : Orders.Stops_) {
    if (auto It = State.Pending_.find(Id); It != State.Pending_.end())
      It->second.StopOrdered_ = true;
    // No process runs, and the next one is sent a stop of each pending start.
    if (!State.Worker_)
      continue;
    // The run may be a start of an earlier process of this agent.
    if (!isKnown(State, Id)) {
      State.Pending_[Id].Fencing_ = true;
      State.ReportNeeded_ = true;
      continue;
    }
    callWorker(State, StopCall{Id, State.Term_},
               State.Settings_.Policy_.OrderTimeout_, Out);
  }
  for (const cell::PaceOrder &Order : Orders.Paces_)
    callWorker(State, PaceCall{Order, State.Term_},
               State.Settings_.Policy_.OrderTimeout_, Out);
}

} // namespace nutmegwell::site
