#include "entrysteps.h"
#include <algorithm>

namespace nutmegwell::site {

namespace {

/// Returns how many reachable hosts may claim the cell before this one. The
/// host of the newest claim comes first: its new process is the first one to
/// know that the claim has ended.
int claimRank(const EntryState &State, core::TimePoint Now) {
  auto OrderOf = [&](const std::string &Host) {
    return std::make_pair(Host != State.View_.Claim_.Host_, Host);
  };
  int Rank = 0;
  for (const auto &[Host, Other] : State.Peers_)
    if (isReachable(State, Other, Now) && !Other.Heartbeat_.Stopping_ &&
        OrderOf(Host) < OrderOf(State.Settings_.Host_))
      ++Rank;
  return Rank;
}

/// Returns the time after which no earlier holder grants leases, or nothing
/// without an earlier holder.
std::optional<core::TimePoint> earlierGrantsEnd(const EntryState &State) {
  std::optional<core::TimePoint> End;
  for (const EarlierHolder &Earlier : State.EarlierHolders_) {
    // Any other process of this host ended before this one started.
    const bool Ended = Earlier.Host_ == State.Settings_.Host_ &&
                       Earlier.Incarnation_ != State.Settings_.Incarnation_;
    const core::TimePoint Last =
        Ended ? std::min(Earlier.GrantsEnd_, State.StartedAt_)
              : Earlier.GrantsEnd_;
    End = End ? std::max(*End, Last) : Last;
  }
  return End;
}

/// Returns the listed workers that the previous holder reported as empty and
/// has not listed again since.
std::set<std::string> workersLeftEmpty(const EntryState &State) {
  std::set<std::string> Names;
  if (State.EmptyWorkersTerm_ != State.PreviousTerm_)
    return Names;
  for (const auto &[Name, At] : State.EmptyWorkersAt_) {
    auto Listed = State.View_.ListedAt_.find(Name);
    if (Listed != State.View_.ListedAt_.end() && Listed->second < At)
      Names.insert(Name);
  }
  return Names;
}

void startTenure(EntryState &State, core::TimePoint Now, jobs::WallTime Wall,
                 EntryEffects &Out) {
  const jobs::View &View = State.View_;
  State.Holder_ = cell::beginTenure(
      State.Settings_.Policy_.Holder_, View.Term_ - 1,
      State.CellStream_.LastFullReadSentAt_, earlierGrantsEnd(State),
      workersLeftEmpty(State), holderContext(State, Now, Wall));
  State.HolderAppendToken_ = 0;
  Out.LogEvents_.push_back(
      {"tenure_begun",
       {{"term", std::to_string(View.Term_)},
        {"jobs", std::to_string(View.Jobs_.size())},
        {"earlier_holders", std::to_string(State.EarlierHolders_.size())},
        {"unheard_workers",
         std::to_string(State.Holder_->UnsyncedWorkers_.size())}}});
}

void endTenure(EntryState &State, const std::string &Reason,
               EntryEffects &Out) {
  Out.LogEvents_.push_back(
      {"tenure_ended",
       {{"term", std::to_string(State.Holder_->Term_)}, {"reason", Reason}}});
  Out.SpeedFigures_ = cell::SpeedFigures();
  State.Holder_.reset();
  Out.AccountUsages_.emplace();
  State.HolderWriter_.reset();
}

/// Returns an epoch above those of all claims in the view. The lowest bits
/// distinguish processes that claim the cell on the same view.
std::uint64_t claimEpoch(const EntryState &State) {
  constexpr unsigned IncarnationBits = 12;
  constexpr std::uint64_t IncarnationMask = (1U << IncarnationBits) - 1;
  return (State.View_.NextOffset_ + 1) << IncarnationBits |
         (State.Settings_.Incarnation_ & IncarnationMask);
}

void claimIfDue(EntryState &State, core::TimePoint Now, EntryEffects &Out) {
  const EntryPolicy &Policy = State.Settings_.Policy_;
  const std::string Reason = vacancyReason(State, Now);
  const bool StoreFresh =
      Now - State.CellStream_.LastFullReadSentAt_ < Policy.ReadTimeout_ &&
      store::unfinishedFor(State.OwnWriter_, Now) < Policy.MaxUnfinishedAppend_;
  if (Reason.empty() || State.Stopping_ || !State.CellStream_.Synced_ ||
      !State.Tables_) {
    State.VacantSince_.reset();
    return;
  }
  if (!State.VacantSince_)
    State.VacantSince_ = Now;
  const core::TimePoint Due =
      *State.VacantSince_ + Policy.ClaimSpacing_ * (claimRank(State, Now));
  if (Now < Due) {
    Out.WakeAt_ = std::min(Out.WakeAt_, Due);
    return;
  }
  // A second claim would only end the tenure that the first one begins.
  const bool Waiting = State.ClaimRequestedAt_ &&
                       Now < *State.ClaimRequestedAt_ + Policy.ClaimTimeout_;
  if (!StoreFresh || Waiting)
    return;
  State.ClaimRequestedAt_ = Now;
  State.HolderWriter_ =
      store::makeAppender(Policy.Append_, "cell", claimEpoch(State));
  queueAppend(State, Writer::Holder,
              {jobs::CellClaimed{State.Settings_.Host_,
                                 State.Settings_.Incarnation_, true}});
  State.VacantSince_ = Now;
  Out.LogEvents_.push_back(
      {"claim_asked",
       {{"reason", Reason},
        {"term", std::to_string(State.View_.Term_)},
        {"view", std::to_string(State.View_.NextOffset_)}}});
}

/// Returns whether a release of the cell could not be appended now.
bool isStoreFailing(const EntryState &State) {
  return State.DirectAppendFailing_ || State.CellStream_.ReadsFailing_;
}

void releaseCell(EntryState &State, core::TimePoint Now, EntryEffects &Out) {
  if (!State.Stopping_ || State.ReleaseRequested_)
    return;
  if (!State.ReleaseDueAt_)
    State.ReleaseDueAt_ = Now + State.Settings_.Policy_.MaxReleaseDelay_;
  if (State.Holder_ && isStoreFailing(State) && Now < *State.ReleaseDueAt_) {
    Out.WakeAt_ = std::min(Out.WakeAt_, *State.ReleaseDueAt_);
    return;
  }
  State.ReleaseRequested_ = true;
  if (!State.Holder_) {
    State.HolderWriter_.reset();
    State.Released_ = true;
    return;
  }
  endTenure(State, "stopping", Out);
  queueAppend(State, Writer::Own,
              {jobs::CellClaimed{State.Settings_.Host_,
                                 State.Settings_.Incarnation_, false}});
}

} // namespace

std::string vacancyReason(const EntryState &State, core::TimePoint Now) {
  const EntryPolicy &Policy = State.Settings_.Policy_;
  if (State.View_.Term_ == 0)
    return "the cell has never been claimed";
  if (!State.View_.Claim_.Held_)
    return "released";
  if (State.HolderEnded_)
    return "the holder's process has been replaced";
  const jobs::CellClaimed &Claim = State.View_.Claim_;
  if (Claim.Host_ == State.Settings_.Host_) {
    if (Claim.HolderIncarnation_ != State.Settings_.Incarnation_)
      return "claimed by an earlier process of this host";
    const bool Usable = State.Holder_ || State.HolderWriter_ ||
                        State.View_.Term_ <= State.FencedTerm_;
    return Usable ? "" : "this process has lost the writer of its claim";
  }
  if (Now - State.LastHolderContactAt_ < Policy.HolderTimeout_)
    return {};
  for (const auto &[Host, Other] : State.Peers_)
    if (isReachable(State, Other, Now) &&
        Other.Heartbeat_.Term_ == State.View_.Term_ &&
        Other.Heartbeat_.HolderContactAge_ < Policy.HolderTimeout_)
      return {};
  return "silent";
}

void advanceElection(EntryState &State, core::TimePoint Now,
                     jobs::WallTime Wall, EntryEffects &Out) {
  const jobs::View &View = State.View_;
  const bool OwnClaim =
      View.Term_ != 0 && View.Claim_.Held_ &&
      View.Claim_.Host_ == State.Settings_.Host_ &&
      View.Claim_.HolderIncarnation_ == State.Settings_.Incarnation_;
  if (State.Holder_ && State.Holder_->Term_ != View.Term_)
    endTenure(State, "the view contains a newer claim", Out);
  for (const auto &[Host, Other] : State.Peers_)
    if (State.Holder_ && Other.Heartbeat_.Term_ > State.Holder_->Term_)
      endTenure(State, "a peer has read a newer claim", Out);
  if (State.Holder_ && !State.Holder_->UnsyncedWorkers_.empty())
    if (auto End = earlierGrantsEnd(State))
      cell::limitEarlierGrants(*State.Holder_, *End);
  if (OwnClaim && !State.Holder_ && State.HolderWriter_ && !State.Stopping_ &&
      State.CellStream_.Synced_ && View.Term_ > State.FencedTerm_) {
    bool Outdated = false;
    for (const auto &[Host, Other] : State.Peers_)
      Outdated |= Other.Heartbeat_.Term_ > View.Term_;
    if (!Outdated)
      startTenure(State, Now, Wall, Out);
  }
  releaseCell(State, Now, Out);
  if (State.ReleaseRequested_ && !View.Claim_.Held_)
    State.Released_ = true;
  claimIfDue(State, Now, Out);
}

} // namespace nutmegwell::site
