#include "controlsteps.h"

#include <algorithm>
#include <functional>

namespace nutmegwell::entry {

namespace {

/// Rendezvous hash of a host and a cell; the host with the highest value claims
/// the cell first.
std::size_t claimRank(const model::NodeName &Host,
                      const model::DomainName &Domain) {
  return std::hash<std::string>()(Host + "/" + Domain);
}

bool isFirstClaimant(const EntryState &State, const model::DomainName &Domain) {
  std::size_t Own = claimRank(State.Settings_.Node_, Domain);
  for (const auto &[Name, Peer] : State.Peers_)
    if (!Peer.Leaving_ && claimRank(Name, Domain) > Own)
      return false;
  return true;
}

/// Returns true when this host considers the cell's lease expired or released,
/// and it is this host's turn to claim it.
bool isClaimable(const EntryState &State, const model::DomainName &Domain,
                 const CellTracker &Tracker, core::TimePoint Now) {
  auto Found = State.ControlState_.Cells_.find(Domain);
  core::Duration Wait = isFirstClaimant(State, Domain)
                            ? core::Duration::zero()
                            : State.Settings_.ClaimMargin_;
  if (Found == State.ControlState_.Cells_.end() ||
      Found->second.Holder_.empty())
    return Now - State.StartedAt_ >= State.Settings_.HeartbeatInterval_ &&
           Now - Tracker.RenewalReadAt_ >= Wait;
  return Now - Tracker.RenewalReadAt_ >=
         State.Settings_.CellLease_ + State.Settings_.ClaimMargin_ + Wait;
}

void claimCell(EntryState &State, const model::DomainName &Domain,
               CellTracker &Tracker, core::TimePoint Now, Effects &Out) {
  auto Found = State.ControlState_.Cells_.find(Domain);
  core::Term Next =
      Found == State.ControlState_.Cells_.end() ? 1 : Found->second.Term_ + 1;
  append(State, Out,
         model::CellClaimed{Domain, Next, State.Settings_.Node_,
                            State.Settings_.Incarnation_},
         PendingRecord{0, Domain, {}, 0, Now, {}});
  Tracker.AppendPending_ = true;
  Tracker.LastAppendAt_ = Now;
}

void renewCell(EntryState &State, const model::DomainName &Domain,
               CellTracker &Tracker, core::Term Term, core::TimePoint Now,
               Effects &Out) {
  append(State, Out, model::CellRenewed{Domain, Term},
         PendingRecord{0, Domain, {}, 0, Now, {}});
  Tracker.AppendPending_ = true;
  Tracker.LastAppendAt_ = Now;
}

/// Updates the tracker to the holder in the log, and remembers the previous
/// holder as a former one. A holder that released the cell renews no task
/// leases from then on.
void updateHolder(const EntryState &State, CellTracker &Tracker,
                  const model::Cell &Cell, core::TimePoint Now) {
  const core::Offset Read = State.ControlState_.NextOffset_;
  if (Tracker.Term_ != 0 && Cell.Term_ != Tracker.Term_ &&
      !Tracker.Holder_.empty())
    Tracker.FormerHolders_.push_back(
        {Tracker.Holder_, Tracker.HolderIncarnation_, Read, Now});
  // A snapshot can skip tenures; their holders are not known.
  if (Cell.Term_ > Tracker.Term_ + 1)
    Tracker.FormerHolders_.push_back({"", 0, Read, Now});
  if (Cell.Holder_.empty() && !Tracker.Holder_.empty())
    Tracker.FormerRenewedUntil_ = Now;
  Tracker.Term_ = Cell.Term_;
  Tracker.Holder_ = Cell.Holder_;
  Tracker.HolderIncarnation_ = Cell.HolderIncarnation_;
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
  auto Found = State.ControlState_.Cells_.find(Domain);
  if (Found == State.ControlState_.Cells_.end() ||
      Found->second.Holder_ != State.Settings_.Node_ ||
      Found->second.HolderIncarnation_ != State.Settings_.Incarnation_)
    return 0;
  return Found->second.Term_;
}

bool holdsCell(const EntryState &State, const model::DomainName &Domain,
               core::TimePoint Now) {
  auto Tracker = State.CellTrackers_.find(Domain);
  return ownTerm(State, Domain) != 0 && Tracker != State.CellTrackers_.end() &&
         Now < Tracker->second.OwnLeaseEnds_;
}

void updateCellTrackers(EntryState &State, core::TimePoint Now) {
  for (const auto &[Domain, Cell] : State.ControlState_.Cells_) {
    auto [It, Inserted] = State.CellTrackers_.emplace(Domain, CellTracker());
    if (Inserted || It->second.RenewalCount_ != Cell.RenewalCount_) {
      It->second.RenewalCount_ = Cell.RenewalCount_;
      It->second.RenewalReadAt_ = Now;
    }
    updateHolder(State, It->second, Cell, Now);
  }
}

void dropFormerHolders(EntryState &State, const PeerEntryHost &Peer,
                       const model::NodeName &Name, core::TimePoint Now) {
  for (auto &[Domain, Tracker] : State.CellTrackers_)
    for (auto It = Tracker.FormerHolders_.begin();
         It != Tracker.FormerHolders_.end();) {
      bool Ended =
          It->Node_ == Name && (It->Incarnation_ != Peer.Incarnation_ ||
                                Peer.NextOffset_ >= It->ClaimEndOffset_);
      if (Ended)
        Tracker.FormerRenewedUntil_ = Now;
      It = Ended ? Tracker.FormerHolders_.erase(It) : std::next(It);
    }
}

core::TimePoint lastRenewalByFormerHolders(const EntryState &State,
                                           const model::DomainName &Domain) {
  auto Found = State.CellTrackers_.find(Domain);
  if (Found == State.CellTrackers_.end())
    return {};
  core::TimePoint Until = Found->second.FormerRenewedUntil_;
  for (const FormerHolder &Former : Found->second.FormerHolders_)
    Until = std::max(Until,
                     Former.ClaimReadAt_ + State.Settings_.OutageRenewalLimit_);
  return Until;
}

void onCellRecord(EntryState &State, const PendingRecord &Purpose,
                  const model::FoldResult &Result, core::TimePoint Now,
                  Effects &Out) {
  CellTracker &Tracker = State.CellTrackers_[Purpose.Domain_];
  bool WasHeld = holdsCell(State, Purpose.Domain_, Now);
  Tracker.AppendPending_ = false;
  if (!Result.Accepted_)
    return;
  // The lease counts from the append of this record. A result that arrives late
  // must not extend the lease from the append of a later record.
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
    if (Tracker.AppendPending_)
      continue;
    core::Term Own = ownTerm(State, Domain);
    if (Own == 0) {
      if (isClaimable(State, Domain, Tracker, Now))
        claimCell(State, Domain, Tracker, Now, Out);
    } else if (Now >=
               Tracker.LastAppendAt_ + State.Settings_.CellRenewInterval_) {
      renewCell(State, Domain, Tracker, Own, Now, Out);
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
