#include "parts.h"
#include <algorithm>

namespace nutmegwell::site {

namespace {

/// Returns why the cell needs a new holder, or an empty text.
std::string vacancy(const EntryState &State, core::TimePoint Now) {
  const EntryPolicy &Policy = State.Settings_.Policy_;
  if (State.View_.Term_ == 0)
    return "no claim";
  if (!State.View_.Claim_.Held_)
    return "released";
  if (State.HolderEnded_)
    return "the holder's process ended";
  const jobs::CellClaimed &Claim = State.View_.Claim_;
  if (Claim.Host_ == State.Settings_.Host_)
    return Claim.Process_ == State.Settings_.Process_ ? ""
                                                      : "an earlier process";
  if (Now - State.HolderHeard_ < Policy.HolderSilence_)
    return {};
  for (const auto &[Host, Other] : State.Peers_)
    if (isFresh(State, Other, Now) && Other.Beat_.Term_ == State.View_.Term_ &&
        Other.Beat_.HolderHeardAgo_ < Policy.HolderSilence_)
      return {};
  return "silent";
}

/// Returns how many hosts come before this one in the order of claims.
int rankOf(const EntryState &State, core::TimePoint Now) {
  int Rank = 0;
  for (const auto &[Host, Other] : State.Peers_)
    if (isFresh(State, Other, Now) && !Other.Beat_.Stopping_ &&
        Host < State.Settings_.Host_)
      ++Rank;
  return Rank;
}

void beginHolding(EntryState &State, core::TimePoint Now, jobs::WallTime Wall,
                  EntryEffects &Out) {
  const jobs::View &View = State.View_;
  // After a process of the same host, its earlier grants have ended with it.
  const bool OwnEarlier = State.EarlierHost_ == State.Settings_.Host_;
  State.Holder_ = cell::beginTenure(
      State.Settings_.Policy_.Holder_, View.Term_ - 1, State.EarlierTerm_,
      State.EarlierReleased_ || OwnEarlier, surroundingsOf(State, Now, Wall));
  auto Earlier = State.Peers_.find(State.EarlierHost_);
  if (Earlier != State.Peers_.end() &&
      Earlier->second.Process_ != State.EarlierProcess_)
    cell::onEarlierHolderEnded(*State.Holder_, Now);
  State.HolderWriter_ =
      store::makeAppender(State.Settings_.Policy_.Append_, "cell", View.Term_);
  State.HolderToken_ = 0;
  Out.Decisions_.push_back(
      {"tenure_begun",
       {{"term", std::to_string(View.Term_)},
        {"jobs", std::to_string(View.Jobs_.size())},
        {"unheard_workers", std::to_string(State.Holder_->Unheard_.size())}}});
}

void endHolding(EntryState &State, const std::string &Reason,
                EntryEffects &Out) {
  Out.Decisions_.push_back(
      {"tenure_ended",
       {{"term", std::to_string(State.Holder_->Term_)}, {"reason", Reason}}});
  State.Holder_.reset();
  State.HolderWriter_.reset();
}

void claimIfDue(EntryState &State, core::TimePoint Now, EntryEffects &Out) {
  const EntryPolicy &Policy = State.Settings_.Policy_;
  const std::string Reason = vacancy(State, Now);
  const bool StoreFresh =
      Now - State.Cell_.GoodReadSentAt_ < Policy.ReadTimeout_ &&
      store::stuckFor(State.Own_, Now) < Policy.StoreStuck_;
  if (Reason.empty() || State.Stopping_ || !State.Cell_.Synced_ ||
      !State.Tables_) {
    State.VacantSince_.reset();
    return;
  }
  if (!State.VacantSince_)
    State.VacantSince_ = Now;
  const core::TimePoint Due =
      *State.VacantSince_ + Policy.ClaimSpacing_ * (rankOf(State, Now));
  if (Now < Due) {
    Out.Wake_ = std::min(Out.Wake_, Due);
    return;
  }
  if (!StoreFresh || State.ClaimToken_ != 0)
    return;
  State.ClaimToken_ =
      append(State, Writer::Own,
             {jobs::CellClaimed{State.Settings_.Host_, State.Settings_.Process_,
                                true}});
  State.VacantSince_ = Now;
  Out.Decisions_.push_back({"claim_asked",
                            {{"reason", Reason},
                             {"term", std::to_string(State.View_.Term_)},
                             {"view", std::to_string(State.View_.Next_)}}});
}

void release(EntryState &State, EntryEffects &Out) {
  if (!State.Stopping_ || State.ReleaseAsked_)
    return;
  State.ReleaseAsked_ = true;
  if (!State.Holder_) {
    State.Released_ = true;
    return;
  }
  endHolding(State, "stopping", Out);
  append(State, Writer::Own,
         {jobs::CellClaimed{State.Settings_.Host_, State.Settings_.Process_,
                            false}});
}

} // namespace

void holdElection(EntryState &State, core::TimePoint Now, jobs::WallTime Wall,
                  EntryEffects &Out) {
  const jobs::View &View = State.View_;
  const bool Mine = View.Term_ != 0 && View.Claim_.Held_ &&
                    View.Claim_.Host_ == State.Settings_.Host_ &&
                    View.Claim_.Process_ == State.Settings_.Process_;
  if (State.Holder_ && State.Holder_->Term_ != View.Term_)
    endHolding(State, "a higher claim", Out);
  for (const auto &[Host, Other] : State.Peers_)
    if (State.Holder_ && Other.Beat_.Term_ > State.Holder_->Term_)
      endHolding(State, "a peer knows a higher claim", Out);
  if (Mine && !State.Holder_ && !State.Stopping_ && State.Cell_.Synced_ &&
      State.EarlierTerm_ < View.Term_) {
    bool Outdated = false;
    for (const auto &[Host, Other] : State.Peers_)
      Outdated |= Other.Beat_.Term_ > View.Term_;
    if (!Outdated)
      beginHolding(State, Now, Wall, Out);
  }
  release(State, Out);
  if (State.ReleaseAsked_ && !View.Claim_.Held_)
    State.Released_ = true;
  claimIfDue(State, Now, Out);
}

} // namespace nutmegwell::site
