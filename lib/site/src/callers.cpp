#include "entrysteps.h"
#include <algorithm>

namespace nutmegwell::site {

const char *name(ReplyKind Kind) {
  switch (Kind) {
  case ReplyKind::Accepted:
    return "accepted";
  case ReplyKind::State:
    return "state";
  case ReplyKind::WaitingCount:
    return "waiting";
  case ReplyKind::Cancelled:
    return "cancelled";
  case ReplyKind::UnknownQueue:
    return "unknown queue";
  case ReplyKind::UnknownJob:
    return "unknown job";
  case ReplyKind::UnknownKey:
    return "unknown key";
  case ReplyKind::Invalid:
    return "invalid";
  case ReplyKind::Refused:
    return "refused";
  case ReplyKind::OutcomeUnknown:
    return "outcome unknown";
  }
  return "unknown";
}

const char *name(RefusalCause Cause) {
  switch (Cause) {
  case RefusalCause::None:
    return "none";
  case RefusalCause::NotSynced:
    return "not_synced";
  case RefusalCause::Store:
    return "store";
  case RefusalCause::Load:
    return "load";
  }
  return "unknown";
}

namespace {

const char *nameOf(RequestKind Kind) {
  switch (Kind) {
  case RequestKind::Submit:
    return "submit";
  case RequestKind::Query:
    return "query";
  case RequestKind::Cancel:
    return "cancel";
  }
  return "unknown";
}

/// Context in which callers' requests are handled and answered.
struct CallContext {
  EntryState &State_;
  core::TimePoint Now_;
  EntryEffects &Out_;

  void reply(const CallerRequest &Request, const std::string &Job,
             CallerReply Reply) const {
    Reply.Token_ = Request.Token_;
    const bool DeniedByTables = Reply.Kind_ == ReplyKind::UnknownKey ||
                                Reply.Kind_ == ReplyKind::UnknownQueue;
    // Queries change nothing and are counted, not logged.
    if (Request.Kind_ != RequestKind::Query || DeniedByTables) {
      core::LogEvent Line{
          "call_answered",
          {{"call", nameOf(Request.Kind_)},
           {"job", Job},
           {"outcome", name(Reply.Kind_)},
           {"reason", Reply.Message_},
           {"tables",
            State_.Tables_ ? std::to_string(State_.Tables_->Version_) : "none"},
           {"view", std::to_string(State_.View_.NextOffset_)}}};
      if (DeniedByTables)
        addTablesState(Request, Line);
      Out_.LogEvents_.push_back(std::move(Line));
    }
    Out_.Replies_.push_back(std::move(Reply));
  }

  /// Adds how recent the tables are that deny \p Request.
  void addTablesState(const CallerRequest &Request,
                      core::LogEvent &Line) const {
    core::Offset PeerNext = 0;
    for (const auto &[Host, Other] : State_.Peers_)
      PeerNext = std::max(PeerNext, Other.Heartbeat_.OperatorNextOffset_);
    const StreamState &Stream = State_.OperatorStream_;
    const auto Since = [this](core::TimePoint Then) {
      return std::to_string(core::wholeMilliseconds(Now_ - Then).count());
    };
    Line.Fields_.insert(
        Line.Fields_.end(),
        {{"operator_next", std::to_string(Stream.NextOffset_)},
         {"operator_next_of_peers", std::to_string(PeerNext)},
         {"operator_read_ms_ago", Since(Stream.LastFullReadSentAt_)},
         {"waited_ms", Since(Request.ArrivedAt_)}});
  }

  void refuse(const CallerRequest &Request, const std::string &Job,
              RefusalCause Cause, std::string Reason) const {
    refuse(Request, Job, Cause, std::move(Reason),
           State_.Settings_.Policy_.Admission_.RetryAfter_);
  }

  void refuse(const CallerRequest &Request, const std::string &Job,
              RefusalCause Cause, std::string Reason,
              core::Duration RetryAfter) const {
    CallerReply Reply;
    Reply.Kind_ = ReplyKind::Refused;
    Reply.RetryAfter_ = RetryAfter;
    Reply.Cause_ = Cause;
    Reply.Message_ = std::move(Reason);
    reply(Request, Job, std::move(Reply));
  }

  /// Answers a request that may have taken effect.
  void replyUnknown(const WaitingCall &Call, std::string Reason) const {
    if (Call.Request_.Kind_ == RequestKind::Submit)
      noteUnknownOutcome(State_, Call.Job_, Now_);
    replyWith(Call.Request_, Call.Job_, ReplyKind::OutcomeUnknown,
              std::move(Reason));
  }

  void replyWith(const CallerRequest &Request, const std::string &Job,
                 ReplyKind Kind, std::string Message = {}) const {
    CallerReply Reply;
    Reply.Kind_ = Kind;
    Reply.Message_ = std::move(Message);
    reply(Request, Job, std::move(Reply));
  }

  void replyState(const CallerRequest &Request, const std::string &Job,
                  jobs::JobState Reported) const {
    CallerReply Reply;
    Reply.Kind_ = ReplyKind::State;
    Reply.State_ = Reported;
    reply(Request, Job, std::move(Reply));
  }

  WaitingCall &addWaitingCall(CallerRequest Request,
                              const std::string &Job) const {
    WaitingCall Call;
    Call.Job_ = Job;
    Call.ArrivedAt_ = Now_;
    Call.AnswerBy_ = Now_ + std::max(Request.Timeout_ -
                                         State_.Settings_.Policy_.AnswerMargin_,
                                     State_.Settings_.Policy_.AnswerMargin_);
    Call.Request_ = std::move(Request);
    const CallToken Token = Call.Request_.Token_;
    return State_.Calls_[Token] = std::move(Call);
  }
};

const jobs::JobEntry *findJob(const EntryState &State, const std::string &Job) {
  auto It = State.View_.Jobs_.find(Job);
  if (It == State.View_.Jobs_.end() || It->second.Accepted_.Job_.empty())
    return nullptr;
  return &It->second;
}

bool isKnown(const EntryState &State, const std::string &Job) {
  return findJob(State, Job) || State.UnreadAccepted_.count(Job) > 0;
}

bool isStoreUsable(const EntryState &State, core::TimePoint Now) {
  return store::unfinishedFor(State.OwnWriter_, Now) <=
             State.Settings_.Policy_.MaxUnfinishedAppend_ &&
         !hasNoStorePath(State, Now);
}

Admission admission(const EntryState &State, core::Duration Waited,
                    core::Duration Timeout, core::TimePoint Now) {
  return admitSubmission(isStoreUsable(State, Now), Waited, Timeout,
                         State.Settings_.Policy_.Admission_);
}

void query(const CallContext &Context, CallerRequest Request,
           const std::string &Job) {
  if (const jobs::JobEntry *Entry = findJob(Context.State_, Job))
    return Context.replyState(Request, Job, Entry->reportedState());
  if (Context.State_.UnreadAccepted_.count(Job))
    return Context.replyState(Request, Job, jobs::JobState::Queued);
  Context.addWaitingCall(std::move(Request), Job);
}

void cancel(const CallContext &Context, CallerRequest Request,
            const std::string &Job) {
  EntryState &State = Context.State_;
  if (!isKnown(State, Job)) {
    Context.addWaitingCall(std::move(Request), Job);
    return;
  }
  const jobs::JobEntry *Entry = findJob(State, Job);
  if (Entry &&
      (Entry->CancelRequested_ || jobs::isFinal(Entry->reportedState())))
    return Context.replyWith(Request, Job, ReplyKind::Cancelled);
  WaitingCall &Call = Context.addWaitingCall(std::move(Request), Job);
  Call.AppendToken_ =
      queueAppend(State, Writer::Own, {jobs::JobCancelled{Job}});
}

/// Returns the record of an accepted job, in the encoding that earlier versions
/// read unless that one is too large.
jobs::Record recordOf(const EntryState &State, jobs::JobAccepted Job) {
  jobs::Record Record = std::move(Job);
  if (store::isStorable(
          State.OwnWriter_.Policy_,
          {0, jobs::keyOf(Record), State.Codec_.EncodeRecord_(Record)}))
    return Record;
  return jobs::LargeJobAccepted{std::get<jobs::JobAccepted>(std::move(Record))};
}

void submit(const CallContext &Context, CallerRequest Request,
            const std::string &Job, const jobs::Queue &Queue,
            const jobs::Account *Account, jobs::WallTime Wall) {
  EntryState &State = Context.State_;
  if (isKnown(State, Job))
    return Context.replyWith(Request, Job, ReplyKind::Accepted,
                             "already accepted");
  if (!Request.Spec_)
    return Context.replyWith(Request, Job, ReplyKind::Invalid,
                             Request.SpecError_);
  for (const auto &[Token, Other] : State.Calls_)
    if (Other.Job_ == Job && Other.Request_.Kind_ == RequestKind::Submit) {
      const store::AppendToken Shared = Other.AppendToken_;
      Context.addWaitingCall(std::move(Request), Job).AppendToken_ = Shared;
      return;
    }
  const Admission ByStore =
      admission(State, core::Duration(0), Request.Timeout_, Context.Now_);
  if (ByStore == Admission::Refuse)
    return Context.refuse(Request, Job, RefusalCause::Store,
                          "the store does not answer");
  const NewSubmission Submission{Job, Queue, Account, *Request.Spec_};
  if (ByStore == Admission::Append)
    if (const auto RetryAfter =
            refusalForLoad(State, Submission, Context.Now_, Wall))
      return Context.refuse(Request, Job, RefusalCause::Load,
                            "the load is so high that the job would end too "
                            "late",
                            *RetryAfter);
  jobs::JobAccepted Record;
  Record.Job_ = Job;
  Record.Queue_ = Queue.Name_;
  Record.Service_ = Queue.Service_;
  Record.Account_ = Account ? Account->Name_ : "";
  Record.Priority_ = Queue.Priority_;
  Record.MaxAttempts_ = Queue.MaxAttempts_;
  Record.Submitted_ = noteAdmitted(State, Submission, Context.Now_, Wall);
  Record.Spec_ = *std::move(Request.Spec_);
  Request.Spec_.reset();
  WaitingCall &Call = Context.addWaitingCall(std::move(Request), Job);
  Call.AppendToken_ =
      queueAppend(State, Writer::Own, {recordOf(State, std::move(Record))});
}

/// Answers a request that the tables deny, or keeps it until they are recent
/// enough to deny it.
void deny(const CallContext &Context, CallerRequest Request, ReplyKind Denial) {
  EntryState &State = Context.State_;
  const DenialPolicy &Policy = State.Settings_.Policy_.Denial_;
  switch (decideDenial(denialState(State, Request, Context.Now_), Policy)) {
  case DenialDecision::Deny:
    return Context.replyWith(Request, "", Denial);
  case DenialDecision::Wait:
    if (State.DeniedCalls_.size() < Policy.MaxWaiting_) {
      State.DeniedCalls_.push_back(std::move(Request));
      return;
    }
    [[fallthrough]];
  case DenialDecision::Refuse:
    return Context.refuse(Request, "", RefusalCause::Store,
                          "this host may lack the newest tables");
  }
}

/// Cancels an append that has not been sent and refuses the calls that wait for
/// it.
void refuseUnsent(const CallContext &Context, store::AppendToken Token,
                  const std::string &Reason) {
  if (!store::cancelWaiting(Context.State_.OwnWriter_, Token))
    return;
  std::map<CallToken, WaitingCall> &Calls = Context.State_.Calls_;
  for (auto It = Calls.begin(); It != Calls.end();) {
    auto Current = It++;
    if (Current->second.AppendToken_ != Token)
      continue;
    Context.refuse(Current->second.Request_, Current->second.Job_,
                   RefusalCause::Store, Reason);
    Calls.erase(Current);
  }
}

/// Refuses the unsent appends that admission refuses by now, and those whose
/// callers have to be answered.
void refuseUnsentAppends(const CallContext &Context) {
  EntryState &State = Context.State_;
  std::map<store::AppendToken, const char *> Refused;
  for (const auto &[Token, Call] : State.Calls_) {
    if (!store::isWaiting(State.OwnWriter_, Call.AppendToken_))
      continue;
    const core::TimePoint HeldUntil =
        Call.ArrivedAt_ +
        longestHold(Call.Request_.Timeout_, State.Settings_.Policy_.Admission_);
    if (Context.Now_ < HeldUntil)
      Context.Out_.WakeAt_ = std::min(Context.Out_.WakeAt_, HeldUntil);
    if (Context.Now_ >= Call.AnswerBy_)
      Refused[Call.AppendToken_] = "the append was not sent in time";
    else if (admission(State, Context.Now_ - Call.ArrivedAt_,
                       Call.Request_.Timeout_,
                       Context.Now_) == Admission::Refuse)
      Refused[Call.AppendToken_] = "the store does not answer";
  }
  for (const auto &[Token, Reason] : Refused)
    refuseUnsent(Context, Token, Reason);
}

} // namespace

void onCallerRequest(EntryState &State, CallerRequest Request,
                     core::TimePoint Now, jobs::WallTime Wall,
                     EntryEffects &Out) {
  const CallContext Context{State, Now, Out};
  if (!State.Tables_ || !State.CellStream_.Synced_)
    return Context.refuse(Request, "", RefusalCause::NotSynced,
                          "this host has not read the tables and records yet");
  if (const auto Denial = denialByTables(*State.Tables_, Request))
    return deny(Context, std::move(Request), *Denial);
  const jobs::Queue *Queue = State.Tables_->route(Request.Host_, Request.Path_);
  const jobs::Account *Account = State.Tables_->accountOf(Request.ApiKey_);
  const std::string Job = Request.Path_.substr(Queue->PathPrefix_.size());
  if (Job.empty() && Request.Kind_ == RequestKind::Query) {
    CallerReply Reply;
    Reply.Kind_ = ReplyKind::WaitingCount;
    Reply.WaitingJobs_ = jobs::waitingCount(State.View_, Queue->Name_);
    return Context.reply(Request, "", std::move(Reply));
  }
  // No job with such an id can be accepted. The id may be too long to be kept
  // or logged. Versions before this check may have accepted a known one.
  if (!jobs::isValidJobId(Job) && !isKnown(State, Job))
    return Request.Kind_ == RequestKind::Submit
               ? Context.replyWith(Request, "", ReplyKind::Invalid,
                                   "the id cannot name a job")
               : Context.replyWith(Request, "", ReplyKind::UnknownJob);
  switch (Request.Kind_) {
  case RequestKind::Submit:
    return submit(Context, std::move(Request), Job, *Queue, Account, Wall);
  case RequestKind::Query:
    return query(Context, std::move(Request), Job);
  case RequestKind::Cancel:
    return cancel(Context, std::move(Request), Job);
  }
}

void completeCalls(EntryState &State, const store::AppendResult &Result,
                   core::TimePoint Now, EntryEffects &Out) {
  const CallContext Context{State, Now, Out};
  const bool Appended =
      Result.Outcome_.Status_ == store::AppendStatus::Appended;
  for (auto It = State.Calls_.begin(); It != State.Calls_.end();) {
    WaitingCall &Call = It->second;
    if (Call.AppendToken_ != Result.Token_) {
      ++It;
      continue;
    }
    const bool Submit = Call.Request_.Kind_ == RequestKind::Submit;
    if (Appended && Submit && !findJob(State, Call.Job_))
      State.UnreadAccepted_[Call.Job_].Job_ = Call.Job_;
    if (Appended && Submit)
      Context.replyWith(Call.Request_, Call.Job_, ReplyKind::Accepted);
    else if (Result.Outcome_.Status_ == store::AppendStatus::Rejected)
      Context.replyWith(Call.Request_, Call.Job_, ReplyKind::Invalid,
                        "the request is too large to be stored");
    else if (Appended)
      // A job that did not exist when its cancellation arrived does not exist
      // for the caller, although the record cancels it if it is accepted later.
      Context.replyWith(Call.Request_, Call.Job_,
                        isKnown(State, Call.Job_) ? ReplyKind::Cancelled
                                                  : ReplyKind::UnknownJob);
    else
      Context.replyUnknown(Call, Result.Outcome_.Reason_);
    It = State.Calls_.erase(It);
  }
}

void answerForUnknownJobs(EntryState &State, core::TimePoint Now,
                          EntryEffects &Out) {
  const CallContext Context{State, Now, Out};
  const core::TimePoint CompleteAsOf = viewCompleteAsOf(State);
  const bool CannotLearn = hasNoStorePath(State, Now);
  for (auto It = State.Calls_.begin(); It != State.Calls_.end();) {
    WaitingCall &Call = It->second;
    const bool Denied = Call.ArrivedAt_ <= CompleteAsOf;
    if (Call.AppendToken_ != 0 || (!Denied && !CannotLearn)) {
      ++It;
      continue;
    }
    if (Denied && Call.Request_.Kind_ == RequestKind::Cancel &&
        State.View_.EarlyCancels_.count(Call.Job_) == 0) {
      // A submission of the job may still be in flight. The record cancels the
      // job when it is accepted later.
      Call.AppendToken_ =
          queueAppend(State, Writer::Own, {jobs::JobCancelled{Call.Job_}});
      ++It;
      continue;
    }
    if (Denied)
      Context.replyWith(Call.Request_, Call.Job_, ReplyKind::UnknownJob);
    else
      Context.refuse(Call.Request_, Call.Job_, RefusalCause::Store,
                     "this host cannot read the store");
    It = State.Calls_.erase(It);
  }
}

void expireCalls(EntryState &State, core::TimePoint Now, EntryEffects &Out) {
  const CallContext Context{State, Now, Out};
  refuseUnsentAppends(Context);
  for (auto It = State.Calls_.begin(); It != State.Calls_.end();) {
    WaitingCall &Call = It->second;
    if (Now < Call.AnswerBy_) {
      Out.WakeAt_ = std::min(Out.WakeAt_, Call.AnswerBy_);
      ++It;
      continue;
    }
    Context.replyUnknown(Call,
                         Call.AppendToken_ == 0
                             ? "this host's records may be outdated"
                             : "the outcome of the append is not known yet");
    It = State.Calls_.erase(It);
  }
}

void onJobRecord(EntryState &State, const std::string &Job, core::TimePoint Now,
                 EntryEffects &Out) {
  const CallContext Context{State, Now, Out};
  for (auto It = State.Calls_.begin(); It != State.Calls_.end();) {
    WaitingCall &Call = It->second;
    const RequestKind Kind = Call.Request_.Kind_;
    // A record that was read is durable, whatever the response to its append.
    if (Call.Job_ == Job && Kind == RequestKind::Submit) {
      Context.replyWith(Call.Request_, Job, ReplyKind::Accepted,
                        "the record of the job was read");
      It = State.Calls_.erase(It);
      continue;
    }
    if (Call.Job_ == Job && Kind == RequestKind::Query) {
      Context.replyState(Call.Request_, Job,
                         findJob(State, Job)->reportedState());
      It = State.Calls_.erase(It);
      continue;
    }
    if (Call.Job_ == Job && Call.AppendToken_ == 0 &&
        Kind == RequestKind::Cancel)
      Call.AppendToken_ =
          queueAppend(State, Writer::Own, {jobs::JobCancelled{Job}});
    ++It;
  }
}

} // namespace nutmegwell::site
