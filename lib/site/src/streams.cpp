#include "entrysteps.h"
#include <algorithm>

namespace nutmegwell::site {

namespace {

std::string millisecondsSince(core::TimePoint Then, core::TimePoint Now) {
  return std::to_string(core::wholeMilliseconds(Now - Then).count());
}

void applyOperatorRecord(EntryState &State, const store::KeyedRecord &Record,
                         const RecordSource &Source, core::TimePoint Now,
                         EntryEffects &Out) {
  const absl::StatusOr<OperatorChange> Change =
      State.Codec_.DecodeOperator_(Record);
  if (!Change.ok()) {
    Out.LogEvents_.push_back({"operator_record_unreadable",
                              {{"key", Record.Key_},
                               {"offset", std::to_string(Record.Offset_)},
                               {"error", core::describe(Change.status())}}});
    return;
  }
  if (const auto *Tables = std::get_if<jobs::ServiceTables>(&*Change)) {
    // A process never goes back to an older version of the tables.
    if (State.Tables_ && Tables->Version_ <= State.Tables_->Version_)
      return;
    State.Tables_ = *Tables;
    Out.LogEvents_.push_back(
        {"tables_in_force",
         {{"version", std::to_string(Tables->Version_)},
          {"offset", std::to_string(Record.Offset_)},
          {"way", name(Source.Way_)},
          {"requested_ms_ago", millisecondsSince(Source.RequestedAt_, Now)},
          {"arrived_ms_ago", millisecondsSince(Source.ArrivedAt_, Now)}}});
  } else if (const auto *Domain = std::get_if<DomainChange>(&*Change)) {
    const bool Changed =
        Domain->OutOfService_
            ? State.OutOfServiceDomains_.insert(Domain->Domain_).second
            : State.OutOfServiceDomains_.erase(Domain->Domain_) > 0;
    if (Changed)
      Out.LogEvents_.push_back(
          {Domain->OutOfService_ ? "domain_out" : "domain_in",
           {{"domain", Domain->Domain_},
            {"offset", std::to_string(Record.Offset_)}}});
  }
}

/// Updates the state of the election for a new claim and adds the holder before
/// it to the earlier ones.
void recordClaim(EntryState &State, const jobs::CellClaimed &Before,
                 core::Term TermBefore, bool InOrder, core::TimePoint Now,
                 EntryEffects &Out) {
  const core::Duration Validity =
      State.Settings_.Policy_.Holder_.TenureValidity_;
  if (TermBefore != 0)
    State.EarlierHolders_.push_back({Before.Host_, Before.HolderIncarnation_,
                                     Before.Held_ ? Now + Validity : Now});
  // Out of order, only the newest claim is read. The claims that it replaced
  // are unknown, and their holders may still grant leases.
  if (!InOrder && State.View_.Term_ != State.View_.SettledTerm_)
    State.EarlierHolders_.push_back({"", 0, Now + Validity});
  State.PreviousTerm_ = TermBefore;
  State.LastHolderContactAt_ = Now;
  State.HolderEnded_ = false;
  State.VacantSince_.reset();
  State.ClaimRequestedAt_.reset();
  const jobs::CellClaimed &Claim = State.View_.Claim_;
  Out.LogEvents_.push_back({Claim.Held_ ? "cell_claimed" : "cell_released",
                            {{"host", Claim.Host_},
                             {"term", std::to_string(State.View_.Term_)},
                             {"earlier_host", Before.Host_},
                             {"earlier_term", std::to_string(TermBefore)}}});
}

void applyCellRecord(EntryState &State, const store::KeyedRecord &Record,
                     bool InOrder, core::TimePoint Now, EntryEffects &Out) {
  absl::StatusOr<jobs::Record> Value =
      State.Codec_.DecodeRecord_(Record.Value_);
  if (!Value.ok()) {
    Out.LogEvents_.push_back({"record_unreadable",
                              {{"key", Record.Key_},
                               {"offset", std::to_string(Record.Offset_)},
                               {"error", core::describe(Value.status())}}});
    return;
  }
  const jobs::CellClaimed ClaimBefore = State.View_.Claim_;
  const core::Term TermBefore = State.View_.Term_;
  const jobs::StoredRecord Stored{Record.Offset_, *std::move(Value)};
  if (InOrder)
    jobs::applyRecord(State.View_, Stored);
  else
    jobs::applyNewestRecord(State.View_, Stored);
  if (State.View_.Term_ != TermBefore)
    recordClaim(State, ClaimBefore, TermBefore, InOrder, Now, Out);
  if (const jobs::JobAccepted *Job = jobs::acceptedJob(Stored.Value_)) {
    State.UnreadAccepted_.erase(Job->Job_);
    onJobRecord(State, Job->Job_, Now, Out);
  }
  // Pages come in the order of keys, so the record that a term is settled can
  // be read after the claim.
  if (State.View_.SettledTerm_ == State.View_.Term_)
    State.EarlierHolders_.erase(std::remove_if(State.EarlierHolders_.begin(),
                                               State.EarlierHolders_.end(),
                                               [](const EarlierHolder &Row) {
                                                 return Row.Host_.empty();
                                               }),
                                State.EarlierHolders_.end());
  if (std::holds_alternative<jobs::EntryHostListed>(Stored.Value_))
    for (const auto &[Host, Address] : State.View_.EntryHosts_)
      learnHost(State, Host, Address, Now);
}

void recordReadFailure(EntryState &State, StreamState &Stream,
                       store::Stream Which, const absl::Status &Error,
                       core::TimePoint Now, EntryEffects &Out) {
  Stream.NextReadAt_ = Now + State.Settings_.Policy_.ReadBackoff_;
  if (!Stream.ReadsFailing_)
    Out.LogEvents_.push_back({"store_lost",
                              {{"stream", name(Which)},
                               {"next", std::to_string(Stream.NextOffset_)},
                               {"error", core::describe(Error)}}});
  Stream.ReadsFailing_ = true;
}

void recordReadSuccess(StreamState &Stream, store::Stream Which,
                       EntryEffects &Out) {
  if (Stream.ReadsFailing_)
    Out.LogEvents_.push_back({"store_regained",
                              {{"stream", name(Which)},
                               {"next", std::to_string(Stream.NextOffset_)}}});
  Stream.ReadsFailing_ = false;
  Stream.UnansweredReads_ = 0;
}

const StreamState &streamOf(const EntryState &State, store::Stream Which) {
  return Which == store::Stream::Operator ? State.OperatorStream_
                                          : State.CellStream_;
}

/// Returns true when this host needs each record of the stream at once: to
/// catch up, or because it decides by the stream.
bool needsStreamAtOnce(const EntryState &State, store::Stream Which) {
  return !streamOf(State, Which).Synced_ ||
         (Which == store::Stream::Cell && State.Holder_);
}

/// Returns how long the store may wait for a new record before it responds. A
/// host that has yet to catch up, that has lost the store, or whose callers
/// wait for its view, needs a response whether or not there are new records.
core::Duration readWait(const EntryState &State, store::Stream Which,
                        core::TimePoint Now) {
  const EntryPolicy &Policy = State.Settings_.Policy_;
  const StreamState &Stream = streamOf(State, Which);
  const bool CallerWaits =
      Now >= Stream.NextPromptReadAt_ && callersWaitFor(State, Which);
  if (!Stream.Synced_ || Stream.ReadsFailing_ || CallerWaits)
    return core::Duration(0);
  return needsStreamAtOnce(State, Which) ? Policy.HolderReadWait_
                                         : Policy.ReadWait_;
}

void endRead(StreamState &Stream, core::TimePoint SentAt) {
  Stream.OpenReads_.erase(SentAt);
  // The response is complete, so that nothing of it arrives any more.
  Stream.ReadProgressAt_ = {};
}

/// Returns the error of a page of newest records. An empty page that is not the
/// last one tells neither which keys are missing nor where to go on.
absl::Status checkPage(const absl::StatusOr<store::NewestRecordsPage> &Page) {
  if (Page.ok() && Page->HasMore_ && Page->Records_.empty())
    return core::makeError(absl::StatusCode::kDataLoss, "read", "store",
                           "an empty page is followed by others");
  return Page.status();
}

/// Returns the time until which a read of the stream counts as arriving, unless
/// a further part arrives.
core::TimePoint readArrivesUntil(const EntryState &State,
                                 const StreamState &Stream) {
  return Stream.ReadProgressAt_ + State.Settings_.Policy_.ReadRepeatDelay_;
}

/// Returns when a further read can be sent as far as the link is concerned:
/// copies of the same records on their way would only delay each other.
core::TimePoint linkFreeAt(const EntryState &State, const StreamState &Stream) {
  core::TimePoint FreeAt = readArrivesUntil(State, Stream);
  if (Stream.ReadsFailing_ && Stream.RelayRequestedAt_)
    FreeAt = std::max(FreeAt, Stream.RelayProgressAt_ +
                                  State.Settings_.Policy_.ReadRepeatDelay_);
  return FreeAt;
}

/// Returns when a further read can be sent as far as the number of open ones is
/// concerned.
core::TimePoint openReadsAllowAt(const EntryState &State, StreamState &Stream,
                                 core::TimePoint Now) {
  const EntryPolicy &Policy = State.Settings_.Policy_;
  std::set<core::TimePoint> &Open = Stream.OpenReads_;
  Open.erase(Open.begin(), Open.upper_bound(Now - Policy.MaxReadTime_));
  return Open.size() < Policy.MaxOpenReads_
             ? Now
             : *Open.begin() + Policy.MaxReadTime_;
}

/// Gives up waiting for a read that has delivered nothing for longer than
/// usual.
void abandonOverdueRead(EntryState &State, store::Stream Which,
                        core::TimePoint Now, EntryEffects &Out) {
  /// Reads without a response after which the store counts as lost: one may
  /// have been on a dead connection.
  constexpr unsigned LostAfter = 2;
  StreamState &Stream = streamOf(State, Which);
  if (!Stream.ReadSentAt_ || !Stream.NextOffsetValid_)
    return;
  const EntryPolicy &Policy = State.Settings_.Policy_;
  const core::TimePoint Overdue =
      std::max(*Stream.ReadSentAt_ + Stream.ReadWait_ + Policy.ReadRepeatDelay_,
               readArrivesUntil(State, Stream));
  if (Now < Overdue) {
    Out.WakeAt_ = std::min(Out.WakeAt_, Overdue);
    return;
  }
  Stream.ReadSentAt_.reset();
  if (++Stream.UnansweredReads_ >= LostAfter)
    recordReadFailure(State, Stream, Which,
                      core::makeError(absl::StatusCode::kDeadlineExceeded,
                                      "read", "store", "no response"),
                      Now, Out);
}

/// Stops waiting for a read that the store may hold for long, when a caller
/// needs one that was sent later.
void supersedeHeldRead(EntryState &State, store::Stream Which,
                       core::TimePoint Now, EntryEffects &Out) {
  StreamState &Stream = streamOf(State, Which);
  if (!Stream.ReadSentAt_ || Stream.ReadWait_ == core::Duration(0) ||
      !needsRead(State, Which, *Stream.ReadSentAt_))
    return;
  const core::TimePoint Due =
      std::max(Stream.NextPromptReadAt_, readArrivesUntil(State, Stream));
  if (Now >= Due)
    Stream.ReadSentAt_.reset();
  else
    Out.WakeAt_ = std::min(Out.WakeAt_, Due);
}

} // namespace

void dropMissingKeys(EntryState &State, const KeyListing &Listing,
                     const RecordSource &Source, core::TimePoint Now,
                     EntryEffects &Out) {
  std::vector<store::KeyedRecord> Dropped;
  for (const auto &[Key, Record] :
       streamOf(State, Listing.Stream_).NewestRecords_)
    if (!Record.Value_.empty() && Record.Offset_ >= Listing.From_ &&
        Record.Offset_ + 1 < Listing.Until_ && !Listing.Keys_.count(Key))
      Dropped.push_back({Listing.Until_ - 1, Key, ""});
  for (const store::KeyedRecord &Record : Dropped)
    applyStoreRecord(State, Listing.Stream_, Record, Source, Now, Out);
}

const char *name(store::Stream Which) {
  return Which == store::Stream::Operator ? "operator" : "cell";
}

const char *name(RecordWay Way) {
  switch (Way) {
  case RecordWay::Read:
    return "read";
  case RecordWay::NewestPage:
    return "newest_page";
  case RecordWay::Peer:
    return "peer";
  }
  return "unknown";
}

StreamState &streamOf(EntryState &State, store::Stream Which) {
  return Which == store::Stream::Operator ? State.OperatorStream_
                                          : State.CellStream_;
}

void applyStoreRecord(EntryState &State, store::Stream Which,
                      const store::KeyedRecord &Record,
                      const RecordSource &Source, core::TimePoint Now,
                      EntryEffects &Out) {
  StreamState &Stream = streamOf(State, Which);
  store::KeyedRecord &Kept = Stream.NewestRecords_[Record.Key_];
  if (!Kept.Key_.empty() && Kept.Offset_ >= Record.Offset_)
    return;
  // The records that cover a removed one are newer than it, so that its key
  // need not be kept. Keys are removed throughout the life of a job.
  if (Which == store::Stream::Cell && Record.Value_.empty()) {
    Stream.NewestRecords_.erase(Record.Key_);
    return;
  }
  Kept = Record;
  if (Which == store::Stream::Operator)
    applyOperatorRecord(State, Record, Source, Now, Out);
  else
    applyCellRecord(State, Record, Source.Way_ == RecordWay::Read, Now, Out);
}

void onRead(EntryState &State, const ReadCall &Call,
            const absl::StatusOr<store::ReadPage> &Page, core::TimePoint Now,
            EntryEffects &Out) {
  const store::Stream Which = Call.Stream_;
  StreamState &Stream = streamOf(State, Which);
  endRead(Stream, Call.SentAt_);
  const bool Newest = Stream.ReadSentAt_ == Call.SentAt_;
  if (Newest)
    Stream.ReadSentAt_.reset();
  if (!Page.ok()) {
    // The repeat of an earlier read decides.
    if (!Newest)
      return;
    if (absl::IsOutOfRange(Page.status())) {
      // The store has dropped records from this offset on, but it keeps the
      // newest of each key.
      Stream.ResumeOffset_.reset();
      Stream.NextOffsetValid_ = false;
      return;
    }
    recordReadFailure(State, Stream, Which, Page.status(), Now, Out);
    return;
  }
  recordReadSuccess(Stream, Which, Out);
  // Responses to repeated reads can arrive out of order.
  if (Call.From_ > Stream.NextOffset_)
    return;
  const RecordSource Source{RecordWay::Read, Call.SentAt_, Call.ArrivedAt_};
  for (const store::KeyedRecord &Record : Page->Records_) {
    // A peer may have relayed the record while the read was in flight.
    if (Record.Offset_ < Stream.NextOffset_)
      continue;
    applyStoreRecord(State, Which, Record, Source, Now, Out);
    Stream.NextOffset_ = Record.Offset_ + 1;
  }
  if (Which == store::Stream::Cell)
    State.View_.NextOffset_ =
        std::max(State.View_.NextOffset_, Stream.NextOffset_);
  if (Stream.NextOffset_ < Page->EndOffset_)
    return;
  Stream.Synced_ = true;
  Stream.LastFullReadSentAt_ =
      std::max(Stream.LastFullReadSentAt_, Call.SentAt_);
  if (Which == store::Stream::Cell && State.Holder_ &&
      State.View_.Term_ == State.Holder_->Term_)
    cell::onTenureConfirmed(*State.Holder_, Call.SentAt_);
}

void onReadProgress(EntryState &State, store::Stream Which,
                    core::TimePoint Now) {
  streamOf(State, Which).ReadProgressAt_ = Now;
}

void onNewestRead(EntryState &State, const ReadNewestCall &Call,
                  const absl::StatusOr<store::NewestRecordsPage> &Page,
                  core::TimePoint Now, EntryEffects &Out) {
  const store::Stream Which = Call.Stream_;
  StreamState &Stream = streamOf(State, Which);
  endRead(Stream, Call.SentAt_);
  // A page that is older than a peer's records would restore removed keys.
  if (Stream.NextOffsetValid_ || Stream.ReadSentAt_ != Call.SentAt_)
    return;
  Stream.ReadSentAt_.reset();
  const absl::Status Usable = checkPage(Page);
  if (!Usable.ok()) {
    recordReadFailure(State, Stream, Which, Usable, Now, Out);
    Stream.ResumeOffset_.reset();
    return;
  }
  recordReadSuccess(Stream, Which, Out);
  // The pages are not one snapshot, so reads continue at the end offset of the
  // first.
  if (!Stream.ResumeOffset_) {
    Stream.ResumeOffset_ = Page->EndOffset_;
    Stream.PageKeys_.clear();
  }
  const RecordSource Source{RecordWay::NewestPage, Call.SentAt_,
                            Call.ArrivedAt_};
  for (const store::KeyedRecord &Record : Page->Records_) {
    Stream.PageKeys_.insert(Record.Key_);
    applyStoreRecord(State, Which, Record, Source, Now, Out);
  }
  if (Page->HasMore_) {
    Stream.ReadSentAt_ = Now;
    Stream.OpenReads_.insert(Now);
    Out.NewestReads_.push_back({Which, Page->Records_.back().Key_, Now, {}});
    return;
  }
  if (Which == store::Stream::Operator) {
    dropMissingKeys(State, {Which, 0, *Stream.ResumeOffset_, Stream.PageKeys_},
                    Source, Now, Out);
    Stream.RemovalsKnownFrom_ =
        std::max(Stream.RemovalsKnownFrom_, *Stream.ResumeOffset_);
  }
  Stream.NextOffset_ = std::max(Stream.NextOffset_, *Stream.ResumeOffset_);
  if (Which == store::Stream::Cell)
    State.View_.NextOffset_ =
        std::max(State.View_.NextOffset_, Stream.NextOffset_);
  Stream.ResumeOffset_.reset();
  Stream.NextOffsetValid_ = true;
}

void requestReads(EntryState &State, core::TimePoint Now, EntryEffects &Out) {
  for (store::Stream Which : {store::Stream::Operator, store::Stream::Cell}) {
    StreamState &Stream = streamOf(State, Which);
    abandonOverdueRead(State, Which, Now, Out);
    supersedeHeldRead(State, Which, Now, Out);
    if (Stream.ReadSentAt_)
      continue;
    const core::TimePoint Due =
        std::max({Stream.NextReadAt_, linkFreeAt(State, Stream),
                  openReadsAllowAt(State, Stream, Now)});
    if (Now < Due) {
      Out.WakeAt_ = std::min(Out.WakeAt_, Due);
      continue;
    }
    const EntryPolicy &Policy = State.Settings_.Policy_;
    Stream.ReadSentAt_ = Now;
    Stream.OpenReads_.insert(Now);
    Stream.ReadWait_ = readWait(State, Which, Now);
    if (Stream.ReadWait_ == core::Duration(0))
      Stream.NextPromptReadAt_ = Now + Policy.ReadSpacing_;
    if (!needsStreamAtOnce(State, Which))
      Stream.NextReadAt_ = Now + Policy.ReadSpacing_;
    if (Stream.NextOffsetValid_)
      Out.Reads_.push_back({Which,
                            Stream.NextOffset_,
                            Now,
                            Stream.ReadWait_,
                            Policy.ReadTimeout_,
                            {}});
    else
      Out.NewestReads_.push_back({Which, "", Now, {}});
  }
}

} // namespace nutmegwell::site
