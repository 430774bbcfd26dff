#include "fakesite.h"

namespace nutmegwell::site {

namespace {

using std::chrono::milliseconds;

constexpr core::Duration Step = milliseconds(10);

/// A call whose response arrives may take this many times its timeout.
constexpr int MaxTimeouts = 4;

/// The link between two entry hosts is numbered after the sender, so that
/// replies find it.
LinkId linkOf(const std::string &Host) {
  return static_cast<LinkId>(Host.back());
}

std::string hostOf(LinkId Link) {
  return std::string("e") + static_cast<char>(Link);
}

std::size_t sizeOf(const std::vector<store::KeyedRecord> &Records) {
  std::size_t Size = 0;
  for (const store::KeyedRecord &Record : Records)
    Size += Record.Key_.size() + Record.Value_.size();
  return Size;
}

std::size_t sizeOf(const cell::PeerMessage &Message) {
  constexpr std::size_t OtherSize = 200;
  const auto *Relayed = std::get_if<cell::RelayedRecords>(&Message);
  return OtherSize + (Relayed ? sizeOf(Relayed->Records_) : 0);
}

absl::Status timeout() {
  return core::makeError(absl::StatusCode::kDeadlineExceeded, "read", "store",
                         "timeout");
}

absl::Status refusal() {
  return core::makeError(absl::StatusCode::kUnavailable, "read", "store",
                         "refused");
}

} // namespace

store::AppendOutcome FakeStore::append(const store::AppendRequest &Request) {
  for (const store::KeyedRecord &Record : Request.Records_)
    if (RejectedKeys_.count(Record.Key_))
      return {store::AppendStatus::Rejected, 0, 0, "rejected"};
  Writer &Known = Writers_[Request.Producer_];
  if (Request.Epoch_ < Known.Epoch_)
    return {store::AppendStatus::Fenced, 0, 0, "fenced"};
  if (Request.Epoch_ > Known.Epoch_)
    Known = {Request.Epoch_, Request.Sequence_, 0};
  if (Request.Sequence_ + 1 == Known.NextSequence_)
    return {store::AppendStatus::Appended, Known.LastOffset_, 0, "repeat"};
  if (Request.Sequence_ != Known.NextSequence_)
    return {store::AppendStatus::OutOfSequence, 0, Known.NextSequence_,
            "sequence"};
  auto &Log = Records_[store::Stream::Cell];
  Known.LastOffset_ = Log.size();
  ++Known.NextSequence_;
  for (store::KeyedRecord Record : Request.Records_) {
    Record.Offset_ = Log.size();
    Log.push_back(std::move(Record));
  }
  return {store::AppendStatus::Appended, Known.LastOffset_, 0, ""};
}

void FakeStore::publish(const std::string &Key, const std::string &Value) {
  auto &Log = Records_[store::Stream::Operator];
  Log.push_back({Log.size(), Key, Value});
}

absl::StatusOr<store::ReadPage> FakeStore::read(store::Stream Which,
                                                core::Offset From) const {
  store::ReadPage Page;
  auto Log = Records_.find(Which);
  if (Log == Records_.end())
    return Page;
  Page.EndOffset_ = Log->second.size();
  auto Retained = FirstRetainedOffsets_.find(Which);
  if (Retained != FirstRetainedOffsets_.end() && From < Retained->second)
    return core::makeError(absl::StatusCode::kOutOfRange, "read", "store",
                           "dropped");
  for (core::Offset I = From; I < Page.EndOffset_; ++I)
    Page.Records_.push_back(Log->second[I]);
  return Page;
}

store::NewestRecordsPage FakeStore::newest(store::Stream Which) const {
  store::NewestRecordsPage Page;
  auto Log = Records_.find(Which);
  if (Log == Records_.end())
    return Page;
  std::map<std::string, store::KeyedRecord> Newest;
  for (const store::KeyedRecord &Record : Log->second)
    Newest[Record.Key_] = Record;
  for (auto &[Key, Record] : Newest)
    if (!Record.Value_.empty())
      Page.Records_.push_back(Record);
  Page.EndOffset_ = Log->second.size();
  return Page;
}

FakeSite::FakeSite(int Hosts, bool VacatesWorkers)
    : VacatesWorkers_(VacatesWorkers) {
  Store_.publish("tables", "1");
  for (int I = 0; I < Hosts; ++I)
    start("e" + std::to_string(I));
}

EntryCodec FakeSite::codec() {
  EntryCodec Codec;
  Codec.EncodeRecord_ = [this](const jobs::Record &Value) {
    const std::string Name = std::to_string(EncodedRecords_.size() + 1);
    EncodedRecords_[Name] = Value;
    return Name;
  };
  Codec.DecodeRecord_ =
      [this](const std::string &Bytes) -> absl::StatusOr<jobs::Record> {
    return EncodedRecords_.at(Bytes);
  };
  // The key "tables" holds a version; other keys name a failure domain. Version
  // 8 makes the queue urgent and guarantees "acme" two tasks. Version 9 removes
  // the key of the account "acme".
  Codec.DecodeOperator_ =
      [](const store::KeyedRecord &Record) -> absl::StatusOr<OperatorChange> {
    if (Record.Key_ != "tables")
      return OperatorChange(DomainChange{Record.Key_, !Record.Value_.empty()});
    jobs::ServiceTables Tables;
    Tables.Version_ = std::stoul(Record.Value_);
    jobs::Queue Queue;
    Queue.Name_ = "q1";
    Queue.Host_ = "site";
    Queue.PathPrefix_ = "/q/";
    Queue.Service_ = "service";
    Queue.Priority_ = Tables.Version_ == 8 ? 0 : 1;
    Queue.MaxAttempts_ = FakeAttempts;
    Tables.Queues_.push_back(Queue);
    jobs::Account Account;
    Account.Name_ = "acme";
    if (Tables.Version_ == 8)
      Account.GuaranteedAccelerators_ = 2 * FakeTaskAccelerators;
    if (Tables.Version_ != 9)
      Account.Keys_.push_back("key");
    Tables.Accounts_.push_back(Account);
    return OperatorChange(Tables);
  };
  return Codec;
}

void FakeSite::start(const std::string &Host) {
  EntrySettings Settings;
  Settings.Host_ = Host;
  Settings.Address_ = Host;
  Settings.Incarnation_ = NextIncarnation_++;
  Settings.Seeds_ = {"e0"};
  Settings.Policy_.Holder_.Departure_.Enabled_ = VacatesWorkers_;
  Hosts_[Host] =
      std::make_unique<EntryState>(makeEntryState(Settings, codec(), Now_));
}

void FakeSite::kill(const std::string &Host) {
  Hosts_.erase(Host);
  for (auto &[Name, Each] : Agents_)
    if (Each.EntryHost_ == Host)
      closeLink(Name);
}

void FakeSite::stop(const std::string &Host) {
  deliver(Host, [](EntryState &State, EntryEffects &Out) {
    onStopRequested(State, Out);
  });
}

void FakeSite::schedule(core::Duration After, Delivery Item) {
  Deliveries_.emplace(Now_ + After, std::move(Item));
}

void FakeSite::record(const std::string &Process, history::EventBody Body) {
  Events_.push_back({Now_, Process, std::move(Body)});
}

void FakeSite::recordReply(const std::string &Host, const CallerReply &Reply) {
  const auto &[Job, Kind] = SentCalls_.at(Reply.Token_);
  if (Reply.Kind_ == ReplyKind::Accepted)
    record(Host, history::JobAccepted{Job});
  else if (Reply.Kind_ == ReplyKind::Refused && Kind == RequestKind::Submit)
    record(Host, history::JobRefused{Job});
  else if (Reply.Kind_ == ReplyKind::Cancelled)
    record(Host, history::JobCancelled{Job});
  else if (Reply.Kind_ == ReplyKind::State)
    record(Host, history::JobShown{Job, jobs::name(Reply.State_)});
  else if (Reply.Kind_ == ReplyKind::UnknownJob) {
    record(Host, history::JobShown{Job, ""});
    // Acknowledges the cancellation as well: the job must not run later.
    if (Kind == RequestKind::Cancel)
      record(Host, history::JobCancelled{Job});
  }
}

void FakeSite::deliver(
    const std::string &To,
    std::function<void(EntryState &, EntryEffects &)> Function) {
  auto It = Hosts_.find(To);
  if (It == Hosts_.end())
    return;
  if (Paused_.count(To))
    return schedule(Step, [this, To, Function] { deliver(To, Function); });
  EntryEffects Out;
  Function(*It->second, Out);
  const std::optional<cell::Holder> &Held = It->second->Holder_;
  if (Held && Terms_[To] != Held->Term_) {
    Terms_[To] = Held->Term_;
    record(To, history::TenureBegun{Held->Term_});
  }
  applyEffects(To, std::move(Out));
}

void FakeSite::deliverResponse(
    const std::string &To, core::Incarnation Incarnation,
    std::function<void(EntryState &, EntryEffects &)> Function) {
  auto It = Hosts_.find(To);
  if (It == Hosts_.end() || It->second->Settings_.Incarnation_ != Incarnation)
    return;
  if (Paused_.count(To))
    return schedule(Step, [this, To, Incarnation, Function] {
      deliverResponse(To, Incarnation, Function);
    });
  deliver(To, Function);
}

void FakeSite::send(const std::string &From, const std::string &To,
                    const cell::PeerMessage &Message) {
  if (!isConnected(From, To))
    return;
  schedule(Step, [this, From, To, Message] {
    transfer(To, From, sizeOf(Message), [this, From, To, Message] {
      deliver(To, [this, From, Message](EntryState &State, EntryEffects &Out) {
        onMessage(State, {linkOf(From), Now_}, Message, Now_, Wall_, Out);
      });
    });
  });
}

void FakeSite::transfer(const std::string &To, const std::string &Connection,
                        std::size_t Size, Delivery Item) {
  if (!Links_.isLimited(To))
    return Item();
  Links_.add(
      To, Connection, Size,
      [this, To, Connection] {
        deliver(To, [this, Connection](EntryState &State, EntryEffects &) {
          onPeerProgress(State, Connection, Now_);
        });
      },
      std::move(Item));
}

void FakeSite::transferPage(const std::string &Host,
                            core::Incarnation Incarnation, const ReadCall &Call,
                            const absl::StatusOr<store::ReadPage> &Page) {
  const auto Respond = [this, Host, Incarnation,
                        Call](const absl::StatusOr<store::ReadPage> &Result) {
    deliverResponse(
        Host, Incarnation,
        [this, Call, Result](EntryState &State, EntryEffects &Effects) {
          onRead(State, Call, Result, Now_, Effects);
        });
  };
  if (!Links_.isLimited(Host) || !Page.ok())
    return Respond(Page);
  const std::string Connection = "read " + std::to_string(NextConnection_++);
  const FakeLinks::TransferId Id = Links_.add(
      Host, Connection, sizeOf(Page->Records_),
      [this, Host, Incarnation, Call] {
        deliverResponse(Host, Incarnation,
                        [this, Call](EntryState &State, EntryEffects &) {
                          onReadProgress(State, Call.Stream_, Now_);
                        });
      },
      [Respond, Page] { Respond(Page); });
  schedule(MaxTimeouts * Call.Timeout_, [this, Host, Respond, Id] {
    if (Links_.remove(Host, Id))
      Respond(timeout());
  });
}

void FakeSite::applyEffects(const std::string &Host, EntryEffects &&Out) {
  if (Out.SpeedFigures_)
    SpeedFigures_[Host] = *Out.SpeedFigures_;
  std::move(Out.LogEvents_.begin(), Out.LogEvents_.end(),
            std::back_inserter(LogEvents_));
  for (const CallerReply &Reply : Out.Replies_) {
    Replies_[Reply.Token_] = Reply;
    recordReply(Host, Reply);
  }
  for (const auto &[Link, Message] : Out.Sends_) {
    if (Link >= FirstAgentLink)
      sendToAgent(Host, Link, Message);
    else
      send(Host, hostOf(Link), Message);
  }
  for (const auto &[Address, Message] : Out.SendsTo_)
    send(Host, Address, Message);
  for (const AppendCall &Call : Out.Appends_)
    append(Host, Call);
  const core::Incarnation Incarnation = Hosts_.at(Host)->Settings_.Incarnation_;
  for (const ReadCall &Call : Out.Reads_)
    schedule(Step, [this, Host, Incarnation, Call] {
      ++Store_.ReadCounts_[Host];
      if (!Store_.DropsReads_ && !Store_.SilentHosts_.count(Host))
        return respondToRead(Host, Incarnation, Call, Now_ + Call.Wait_);
      schedule(Call.SentAt_ + Call.Timeout_ - Now_, [this, Host, Incarnation,
                                                     Call] {
        deliverResponse(Host, Incarnation,
                        [this, Call](EntryState &State, EntryEffects &Effects) {
                          onRead(State, Call, timeout(), Now_, Effects);
                        });
      });
    });
  for (const ReadNewestCall &Call : Out.NewestReads_)
    schedule(Step, [this, Host, Incarnation, Call] {
      const absl::StatusOr<store::NewestRecordsPage> Page =
          Store_.refuses(Host)
              ? absl::StatusOr<store::NewestRecordsPage>(refusal())
              : Store_.newest(Call.Stream_);
      auto Delay = Store_.PageDelays_.find(Host);
      if (Delay == Store_.PageDelays_.end())
        return deliverNewest(Host, Incarnation, Call, Page);
      schedule(Delay->second, [this, Host, Incarnation, Call, Page] {
        deliverNewest(Host, Incarnation, Call, Page);
      });
    });
}

void FakeSite::deliverNewest(
    const std::string &Host, core::Incarnation Incarnation,
    const ReadNewestCall &Call,
    const absl::StatusOr<store::NewestRecordsPage> &Page) {
  deliverResponse(Host, Incarnation,
                  [this, Call, Page](EntryState &State, EntryEffects &Effects) {
                    onNewestRead(State, Call, Page, Now_, Effects);
                  });
}

void FakeSite::respondToRead(const std::string &Host,
                             core::Incarnation Incarnation,
                             const ReadCall &Call, core::TimePoint Until) {
  const absl::StatusOr<store::ReadPage> Page =
      Store_.refuses(Host) ? absl::StatusOr<store::ReadPage>(refusal())
                           : Store_.read(Call.Stream_, Call.From_);
  if (Page.ok() && Page->Records_.empty() && Now_ < Until)
    return schedule(Step, [this, Host, Incarnation, Call, Until] {
      respondToRead(Host, Incarnation, Call, Until);
    });
  transferPage(Host, Incarnation, Call, Page);
}

void FakeSite::append(const std::string &Host, const AppendCall &Call) {
  store::AppendOutcome Outcome{store::AppendStatus::NotAppended, 0, 0,
                               "refused"};
  const store::AppendOutcome Lost{store::AppendStatus::Unknown, 0, 0, "lost"};
  if (!Store_.refuses(Host) && Store_.ApplyDelay_ > core::Duration(0)) {
    schedule(Store_.ApplyDelay_,
             [this, Request = Call.Request_] { Store_.append(Request); });
    Outcome = Lost;
  } else if (!Store_.refuses(Host)) {
    Outcome = Store_.append(Call.Request_);
    if (Store_.LosesResponses_)
      Outcome = Lost;
  }
  const core::Incarnation Incarnation = Hosts_.at(Host)->Settings_.Incarnation_;
  schedule(Step, [this, Host, Incarnation, Origin = Call.Origin_, Outcome] {
    deliverResponse(
        Host, Incarnation,
        [this, Origin, Outcome](EntryState &State, EntryEffects &Effects) {
          onAppend(State, Origin, Outcome, Now_, Effects);
        });
  });
}

void FakeSite::run(core::Duration Span) {
  for (core::Duration Past(0); Past < Span; Past += Step) {
    Now_ += Step;
    Wall_ += Step;
    Links_.advance(Step);
    while (!Deliveries_.empty() && Deliveries_.begin()->first <= Now_) {
      const Delivery Item = std::move(Deliveries_.begin()->second);
      Deliveries_.erase(Deliveries_.begin());
      Item();
    }
    std::vector<std::string> Names;
    for (const auto &[Host, State] : Hosts_)
      Names.push_back(Host);
    for (const std::string &Host : Names)
      if (!Paused_.count(Host))
        deliver(Host, [&](EntryState &State, EntryEffects &Out) {
          advanceEntry(State, Now_, Wall_, Out);
        });
    runWorkers();
  }
}

CallToken FakeSite::send(const std::string &Host, CallerRequest Request) {
  Request.Token_ = NextToken_++;
  Request.Host_ = "site";
  Request.ApiKey_ = "key";
  Request.ArrivedAt_ = Now_;
  const CallToken Token = Request.Token_;
  const std::string Job = Request.Path_.substr(3);
  SentCalls_[Token] = {Job, Request.Kind_};
  if (Request.Kind_ == RequestKind::Submit)
    record("caller", history::JobSubmitted{Job, Host});
  else if (Request.Kind_ == RequestKind::Cancel)
    record("caller", history::JobCancelSent{Job});
  deliver(Host, [this, Request](EntryState &State, EntryEffects &Out) {
    onCallerRequest(State, Request, Now_, Wall_, Out);
  });
  return Token;
}

CallToken FakeSite::call(const std::string &Host, RequestKind Kind,
                         const std::string &Job) {
  if (Kind == RequestKind::Submit)
    return submit(Host, Job,
                  jobs::JobSpecBuilder()
                      .step(1, {1000, 1000, 1}, std::chrono::seconds(1))
                      .build());
  CallerRequest Request;
  Request.Kind_ = Kind;
  Request.Path_ = "/q/" + Job;
  return send(Host, std::move(Request));
}

CallToken FakeSite::submit(const std::string &Host, const std::string &Job,
                           const jobs::JobSpec &Spec, core::Duration Timeout) {
  CallerRequest Request;
  Request.Timeout_ = Timeout;
  Request.Kind_ = RequestKind::Submit;
  Request.Path_ = "/q/" + Job;
  Request.Spec_ = Spec;
  return send(Host, std::move(Request));
}

void FakeSite::setDomainOutOfService(const std::string &Domain, bool Out) {
  Store_.publish(Domain, Out ? "out" : "");
  if (Out)
    record("operator", history::DomainOut{Domain});
  else
    record("operator", history::DomainIn{Domain});
}

std::optional<ReplyKind> FakeSite::replyKind(CallToken Token) const {
  auto It = Replies_.find(Token);
  if (It == Replies_.end())
    return std::nullopt;
  return It->second.Kind_;
}

std::vector<std::string> FakeSite::holders() const {
  std::vector<std::string> Names;
  for (const auto &[Host, State] : Hosts_)
    if (State->Holder_)
      Names.push_back(Host);
  return Names;
}

} // namespace nutmegwell::site
