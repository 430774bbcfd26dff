#include "entrysteps.h"
#include <algorithm>

namespace nutmegwell::site {

namespace {

store::Appender *findWriter(EntryState &State, Writer Which) {
  if (Which == Writer::Own)
    return &State.OwnWriter_;
  return State.HolderWriter_ ? &*State.HolderWriter_ : nullptr;
}

/// Returns the address of the peer that is to make the append, or an empty
/// string for a direct call to the store. While direct calls work, the first
/// attempt is direct and later ones alternate; otherwise every third is direct.
std::string choosePeer(EntryState &State, unsigned Attempt,
                       core::TimePoint Now) {
  constexpr unsigned DirectEvery = 3;
  const std::vector<std::string> Peers = peersReadingStore(State, Now);
  const bool DirectFailing =
      State.DirectAppendFailing_ || State.CellStream_.ReadsFailing_;
  const bool Direct = DirectFailing ? Attempt % DirectEvery == DirectEvery - 1
                                    : Attempt % 2 == 0;
  if (Peers.empty() || Direct)
    return {};
  return Peers[State.NextPeer_++ % Peers.size()];
}

OwnAppend makeOwnAppend(Writer Which, const store::AppendRequest &Request) {
  return {Which, Request.Epoch_, Request.Sequence_};
}

/// Drops the forwarded appends of a writer, so that a late response to one is
/// not taken for the response to the next.
void dropForwardedAppends(EntryState &State, Writer Which) {
  for (auto It = State.ForwardedAppends_.begin();
       It != State.ForwardedAppends_.end();)
    It = It->second.Writer_ == Which ? State.ForwardedAppends_.erase(It)
                                     : std::next(It);
}

void applyResults(EntryState &State, Writer Which,
                  const std::vector<store::AppendResult> &Results,
                  core::TimePoint Now, EntryEffects &Out) {
  for (const store::AppendResult &Result : Results) {
    const bool Appended =
        Result.Outcome_.Status_ == store::AppendStatus::Appended;
    if (!Appended)
      Out.LogEvents_.push_back(
          {"append_ended",
           {{"token", std::to_string(Result.Token_)},
            {"status", store::name(Result.Outcome_.Status_)},
            {"reason", Result.Outcome_.Reason_}}});
    for (const std::string &Key : Result.RejectedKeys_)
      Out.LogEvents_.push_back(
          {"record_rejected",
           {{"key", Key}, {"token", std::to_string(Result.Token_)}}});
    if (Which == Writer::Own) {
      completeCalls(State, Result, Now, Out);
      continue;
    }
    if (!State.Holder_ && !Appended) {
      Out.LogEvents_.push_back(
          {"claim_lost", {{"view", std::to_string(State.View_.NextOffset_)}}});
      State.HolderWriter_.reset();
      return;
    }
    if (!State.Holder_ || Result.Token_ != State.HolderAppendToken_)
      continue;
    // A record that the store cannot take must not hold up the others.
    if (Appended || Result.Outcome_.Status_ == store::AppendStatus::Rejected) {
      cell::onAppended(*State.Holder_);
      continue;
    }
    // A newer holder exists, although its claim has not been read yet.
    State.FencedTerm_ = State.Holder_->Term_;
    Out.LogEvents_.push_back(
        {"tenure_fenced", {{"term", std::to_string(State.FencedTerm_)}}});
    Out.SpeedFigures_ = cell::SpeedFigures();
    State.Holder_.reset();
    Out.AccountUsages_.emplace();
    State.HolderWriter_.reset();
    return;
  }
}

void applyOutcome(EntryState &State, const OwnAppend &Origin,
                  const store::AppendOutcome &Outcome, core::TimePoint Now,
                  EntryEffects &Out) {
  const Writer Which = Origin.Writer_;
  store::Appender *Appender = findWriter(State, Which);
  if (!Appender || !Appender->CallInFlight_ ||
      Appender->Batch_->Epoch_ != Origin.Epoch_ ||
      Appender->Batch_->Sequence_ != Origin.Sequence_)
    return;
  dropForwardedAppends(State, Which);
  const core::TimePoint SentAt = Appender->CallSentAt_;
  if (Which == Writer::Holder && State.Holder_ &&
      Outcome.Status_ == store::AppendStatus::Appended)
    cell::onTenureConfirmed(*State.Holder_, SentAt);
  applyResults(State, Which, store::onOutcome(*Appender, Outcome, Now), Now,
               Out);
}

} // namespace

std::vector<std::string> peersReadingStore(const EntryState &State,
                                           core::TimePoint Now) {
  std::vector<std::string> Addresses;
  for (const auto &[Host, Other] : State.Peers_)
    if (isReachable(State, Other, Now) &&
        Other.Heartbeat_.StoreReadAge_ < State.Settings_.Policy_.ReadTimeout_)
      Addresses.push_back(Other.Address_);
  return Addresses;
}

bool hasNoStorePath(const EntryState &State, core::TimePoint Now) {
  return State.CellStream_.ReadsFailing_ &&
         peersReadingStore(State, Now).empty();
}

store::AppendToken queueAppend(EntryState &State, Writer Which,
                               const std::vector<jobs::Record> &Records) {
  const store::AppendToken Token = State.NextAppendToken_++;
  std::vector<store::KeyedRecord> Encoded;
  for (const jobs::Record &Record : Records) {
    const bool Removed = std::holds_alternative<jobs::RecordRemoved>(Record);
    Encoded.push_back(
        {0, jobs::keyOf(Record),
         Removed ? std::string() : State.Codec_.EncodeRecord_(Record)});
  }
  if (store::Appender *Appender = findWriter(State, Which))
    store::enqueue(*Appender, Token, std::move(Encoded));
  return Token;
}

void requestAppends(EntryState &State, core::TimePoint Now, EntryEffects &Out) {
  for (Writer Which : {Writer::Own, Writer::Holder}) {
    store::Appender *Appender = findWriter(State, Which);
    if (!Appender)
      continue;
    const core::TimePoint GiveUpAt =
        Appender->CallSentAt_ + 2 * Appender->Policy_.CallTimeout_;
    if (Appender->CallInFlight_ && Now >= GiveUpAt)
      // A peer that does not respond may have made the append.
      applyOutcome(State, makeOwnAppend(Which, *Appender->Batch_),
                   {store::AppendStatus::Unknown, 0, 0, "no answer"}, Now, Out);
    Appender = findWriter(State, Which);
    if (!Appender)
      continue;
    // Reads find out when the store is back. Nothing new is sent until then, so
    // that it can still be refused.
    if (Which == Writer::Own && !Appender->Batch_ && hasNoStorePath(State, Now))
      continue;
    if (auto Attempt = store::nextAttempt(*Appender, Now)) {
      const std::string PeerAddress = choosePeer(State, Attempt->Attempt_, Now);
      if (PeerAddress.empty()) {
        Out.Appends_.push_back({makeOwnAppend(Which, Attempt->Request_),
                                std::move(Attempt->Request_)});
      } else {
        const std::uint64_t Id = State.NextForwardId_++;
        dropForwardedAppends(State, Which);
        State.ForwardedAppends_[Id] = makeOwnAppend(Which, Attempt->Request_);
        Out.SendsTo_.emplace_back(
            PeerAddress,
            cell::ForwardedAppendRequest{Id, std::move(Attempt->Request_)});
      }
    }
    if (Appender->CallInFlight_)
      Out.WakeAt_ =
          std::min(Out.WakeAt_,
                   Appender->CallSentAt_ + 2 * Appender->Policy_.CallTimeout_);
    else if (auto At = store::nextAttemptAt(*Appender))
      Out.WakeAt_ = std::min(Out.WakeAt_, std::max(*At, Now));
  }
}

void onAppend(EntryState &State,
              const std::variant<OwnAppend, PeerAppend> &Origin,
              const store::AppendOutcome &Outcome, core::TimePoint Now,
              EntryEffects &Out) {
  if (const auto *ForPeer = std::get_if<PeerAppend>(&Origin)) {
    Out.Sends_.emplace_back(
        ForPeer->Link_, cell::ForwardedAppendResponse{ForPeer->Id_, Outcome});
    return;
  }
  const bool Failed = Outcome.Status_ == store::AppendStatus::NotAppended ||
                      Outcome.Status_ == store::AppendStatus::Unknown;
  if (Failed != State.DirectAppendFailing_)
    Out.LogEvents_.push_back(
        {Failed ? "append_path_lost" : "append_path_regained",
         {{"status", store::name(Outcome.Status_)},
          {"reason", Outcome.Reason_}}});
  State.DirectAppendFailing_ = Failed;
  applyOutcome(State, std::get<OwnAppend>(Origin), Outcome, Now, Out);
}

void onForwardedAppendRequest(const EntryState &State, LinkId Link,
                              const cell::ForwardedAppendRequest &Request,
                              EntryEffects &Out) {
  if (State.CellStream_.ReadsFailing_) {
    cell::ForwardedAppendResponse Response;
    Response.Id_ = Request.Id_;
    Response.Outcome_ = {store::AppendStatus::NotAppended, 0, 0,
                         "the peer cannot use the store"};
    Out.Sends_.emplace_back(Link, std::move(Response));
    return;
  }
  Out.Appends_.push_back({PeerAppend{Link, Request.Id_}, Request.Request_});
}

void onForwardedAppendResponse(EntryState &State,
                               const cell::ForwardedAppendResponse &Response,
                               core::TimePoint Now, EntryEffects &Out) {
  auto It = State.ForwardedAppends_.find(Response.Id_);
  if (It == State.ForwardedAppends_.end())
    return;
  const OwnAppend Origin = It->second;
  State.ForwardedAppends_.erase(It);
  applyOutcome(State, Origin, Response.Outcome_, Now, Out);
}

} // namespace nutmegwell::site
