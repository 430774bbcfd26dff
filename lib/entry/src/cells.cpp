#include "controlsteps.h"

#include <algorithm>
#include <functional>

namespace nutmegwell::entry {

namespace {

/// Rendezvous hash of a host and a cell; the host with the highest value claims
/// the cell first.
std::size_t rank(const model::NodeName &Host, const model::DomainName &Domain) {
  return std::hash<std::string>()(Host + "/" + Domain);
}

bool preferred(const EntryState &State, const model::DomainName &Domain) {
  std::size_t Own = rank(State.Settings_.Node_, Domain);
  for (const auto &[Name, Peer] : State.Peers_)
    if (!Peer.Leaving_ && rank(Name, Domain) > Own)
      return false;
  return true;
}

/// Returns true when this host considers the cell's lease expired or released,
/// and it is this host's turn to claim it.
bool claimable(const EntryState &State, const model::DomainName &Domain,
               const CellTracker &Tracker, core::TimePoint Now) {
  auto Known = State.ControlState_.Cells_.find(Domain);
  core::Duration Wait = preferred(State, Domain) ? core::Duration::zero()
                                                 : State.Settings_.ClaimMargin_;
  if (Known == State.ControlState_.Cells_.end() ||
      Known->second.Holder_.empty())
    return Now - State.StartedAt_ >= State.Settings_.HeartbeatInterval_ &&
           Now - Tracker.RenewalReadAt_ >= Wait;
  return Now - Tracker.RenewalReadAt_ >=
         State.Settings_.CellLease_ + State.Settings_.ClaimMargin_ + Wait;
}

void claim(EntryState &State, const model::DomainName &Domain,
           CellTracker &Tracker, core::TimePoint Now, Effects &Out) {
  auto Known = State.ControlState_.Cells_.find(Domain);
  core::Term Next =
      Known == State.ControlState_.Cells_.end() ? 1 : Known->second.Term_ + 1;
  append(State, Out,
         model::CellClaimed{Domain, Next, State.Settings_.Node_,
                            State.Settings_.Incarnation_},
         PendingRecord{0, Domain, {}, 0, Now, {}});
  Tracker.Pending_ = true;
  Tracker.PendingSince_ = Now;
}

void renew(EntryState &State, const model::DomainName &Domain,
           CellTracker &Tracker, core::Term Term, core::TimePoint Now,
           Effects &Out) {
  append(State, Out, model::CellRenewed{Domain, Term},
         PendingRecord{0, Domain, {}, 0, Now, {}});
  Tracker.Pending_ = true;
  Tracker.PendingSince_ = Now;
}

/// Updates the tracker to the holder in the log, and remembers the previous
/// holder as a former one. A holder that released the cell renews no task
/// leases from then on.
void noteTenure(const EntryState &State, CellTracker &Tracker,
                const model::Cell &Tenure, core::TimePoint Now) {
  const core::Offset Read = State.ControlState_.NextOffset_;
  if (Tracker.Term_ != 0 && Tenure.Term_ != Tracker.Term_ &&
      !Tracker.Holder_.empty())
    Tracker.FormerHolders_.push_back(
        {Tracker.Holder_, Tracker.HolderIncarnation_, Read, Now});
  // A snapshot can skip tenures; their holders are not known.
  if (Tenure.Term_ > Tracker.Term_ + 1)
    Tracker.FormerHolders_.push_back({"", 0, Read, Now});
  if (Tenure.Holder_.empty() && !Tracker.Holder_.empty())
    Tracker.RenewedUntil_ = Now;
  Tracker.Term_ = Tenure.Term_;
  Tracker.Holder_ = Tenure.Holder_;
  Tracker.HolderIncarnation_ = Tenure.HolderIncarnation_;
  auto IsOwn = [&State](const FormerHolder &Former) {
    return Former.Incarnation_ == State.Settings_.Incarnation_;
  };
  Tracker.FormerHolders_.erase(std::remove_if(Tracker.FormerHolders_.begin(),
                                              Tracker.FormerHolders_.end(),
                                              IsOwn),
                               Tracker.FormerHolders_.end());
}

} // namespace

core::Term ownTerm(const EntryState &State, const model::DomainName &Domain) {
  auto Known = State.ControlState_.Cells_.find(Domain);
  if (Known == State.ControlState_.Cells_.end() ||
      Known->second.Holder_ != State.Settings_.Node_ ||
      Known->second.HolderIncarnation_ != State.Settings_.Incarnation_)
    return 0;
  return Known->second.Term_;
}

bool holdsCell(const EntryState &State, const model::DomainName &Domain,
               core::TimePoint Now) {
  auto Tracker = State.CellTrackers_.find(Domain);
  return ownTerm(State, Domain) != 0 && Tracker != State.CellTrackers_.end() &&
         Now < Tracker->second.OwnLeaseEnds_;
}

void noteCells(EntryState &State, core::TimePoint Now) {
  for (const auto &[Domain, Tenure] : State.ControlState_.Cells_) {
    auto [Place, Inserted] = State.CellTrackers_.emplace(Domain, CellTracker());
    if (Inserted || Place->second.RenewalCount_ != Tenure.RenewalCount_) {
      Place->second.RenewalCount_ = Tenure.RenewalCount_;
      Place->second.RenewalReadAt_ = Now;
    }
    noteTenure(State, Place->second, Tenure, Now);
  }
}

void confirmFormer(EntryState &State, const PeerEntry &Peer,
                   const model::NodeName &Name, core::TimePoint Now) {
  for (auto &[Domain, Tracker] : State.CellTrackers_)
    for (auto Place = Tracker.FormerHolders_.begin();
         Place != Tracker.FormerHolders_.end();) {
      bool Ended =
          Place->Node_ == Name && (Place->Incarnation_ != Peer.Incarnation_ ||
                                   Peer.NextOffset_ >= Place->ClaimEndOffset_);
      if (Ended)
        Tracker.RenewedUntil_ = Now;
      Place = Ended ? Tracker.FormerHolders_.erase(Place) : std::next(Place);
    }
}

core::TimePoint renewedByOthers(const EntryState &State,
                                const model::DomainName &Domain) {
  auto Known = State.CellTrackers_.find(Domain);
  if (Known == State.CellTrackers_.end())
    return {};
  core::TimePoint Until = Known->second.RenewedUntil_;
  for (const FormerHolder &Former : Known->second.FormerHolders_)
    Until = std::max(Until, Former.Since_ + State.Settings_.OutageLease_);
  return Until;
}

void onCellRecord(EntryState &State, const PendingRecord &Purpose,
                  const model::FoldResult &Result, core::TimePoint Now,
                  Effects &Out) {
  CellTracker &Tracker = State.CellTrackers_[Purpose.Domain_];
  bool WasHeld = holdsCell(State, Purpose.Domain_, Now);
  Tracker.Pending_ = false;
  if (!Result.Accepted_)
    return;
  // The lease counts from the append of this record, also when a later renewal
  // was appended meanwhile.
  Tracker.OwnLeaseEnds_ = std::max(
      Tracker.OwnLeaseEnds_, Purpose.AppendedAt_ + State.Settings_.CellLease_);
  if (WasHeld)
    return;
  State.ScheduleNeeded_ = true;
  Out.LogEvents_.push_back(
      {"cell_held",
       {{"domain", Purpose.Domain_},
        {"term", std::to_string(ownTerm(State, Purpose.Domain_))}}});
}

void advanceCells(EntryState &State, core::TimePoint Now, Effects &Out) {
  if (State.Stopping_ || !isLogFresh(State, Now))
    return;
  for (const auto &[Domain, Total] : membership::capacityOf(State.Membership_))
    if (Total > 0 && !State.CellTrackers_.count(Domain))
      State.CellTrackers_[Domain].RenewalReadAt_ = Now;
  for (auto &[Domain, Tracker] : State.CellTrackers_) {
    if (Tracker.Pending_)
      continue;
    core::Term Own = ownTerm(State, Domain);
    if (Own == 0) {
      if (claimable(State, Domain, Tracker, Now))
        claim(State, Domain, Tracker, Now, Out);
    } else if (Now >=
               Tracker.PendingSince_ + State.Settings_.CellRenewInterval_) {
      renew(State, Domain, Tracker, Own, Now, Out);
    }
  }
}

void releaseCells(EntryState &State, core::TimePoint Now, Effects &Out) {
  for (auto &[Domain, Tracker] : State.CellTrackers_) {
    core::Term Own = ownTerm(State, Domain);
    Tracker.OwnLeaseEnds_ = Now;
    if (Own != 0)
      append(State, Out, model::CellReleased{Domain, Own}, PendingRecord());
  }
}

} // namespace nutmegwell::entry
