#include "nutmegwell/sitehost/roles.h"
#include "nutmegwell/wire/cellbinary.h"
#include "roleprocess.h"
#include <map>

namespace nutmegwell::sitehost {

namespace {

site::EntrySettings entrySettings(const settings::Settings &Values) {
  site::EntrySettings Result;
  Result.Host_ = Values.text("node");
  Result.Address_ = settings::toString(Values.address(
      Values.has("peers-address") ? "peers-address" : "peers-listen"));
  Result.Incarnation_ = newIncarnation();
  Result.Seeds_ = texts(Values.addresses("seeds"));
  Result.Policy_.Holder_.MaxLease_ = Values.duration("max-hold");
  Result.Policy_.Holder_.RemotePenalty_ =
      static_cast<double>(Values.count("remote-penalty"));
  return Result;
}

/// The sockets and threads of an entry host. Members named for the traffic
/// thread are used on it alone.
class EntryHost {
public:
  EntryHost(const settings::Settings &Values, const SettingsReader &Reread,
            const std::function<EntryPorts(aio::Loop &)> &MakePorts)
      : Process_(Values), Ports_(MakePorts(Process_.Loop_)),
        Seeds_(Process_.Loop_, Reread, Process_.Log_,
               texts(Values.addresses("seeds")),
               [this](const std::vector<std::string> &Seeds) {
                 takeSeeds(State_.Settings_, Seeds, Control_);
               }),
        Links_(Process_.Loop_, aio::LinkLimits(), linkHandlers()),
        State_(site::makeEntryState(entrySettings(Values), Ports_.Codec_,
                                    Process_.Clock_.Now_())),
        Control_(
            Process_.Clock_,
            [this](core::TimePoint Now, site::EntryEffects &Out) {
              site::advanceEntry(State_, Now, wallNow(), Out);
              Ready_ = site::isReady(State_);
              Drained_ = site::isDrained(State_);
            },
            [this](site::EntryEffects Out) { hand(std::move(Out)); }) {}

  int run() {
    Links_.listen(addressOf(Process_.Values_.address("peers-listen")));
    aio::ServerLimits Limits;
    Callers_ = std::make_unique<aio::HttpServer>(
        Process_.Loop_, addressOf(Process_.Values_.address("callers-listen")),
        Limits, [this](net::HttpRequest Request, aio::Responder Respond) {
          onCall(std::move(Request), std::move(Respond));
        });
    Readiness_ = std::make_unique<aio::HttpServer>(
        Process_.Loop_, addressOf(Process_.Values_.address("ready-listen")),
        Limits, [this](net::HttpRequest, aio::Responder Respond) {
          net::HttpResponse Response;
          Response.Status_ = Ready_ ? 200 : 503;
          Respond(std::move(Response));
        });
    runRole(Process_, "site-entry", State_.Settings_.Incarnation_, Seeds_,
            Control_, [this] { onStop(); });
    return 0;
  }

private:
  using Effects = site::EntryEffects;

  aio::LinkHandlers linkHandlers() {
    return {[](aio::LinkId) {},
            [this](aio::LinkId Link, const std::string &Frame) {
              onFrame(Link, Frame);
            },
            [this](aio::LinkId Link) { onClosed(Link); }};
  }

  void onFrame(aio::LinkId Link, const std::string &Frame) {
    takeFrame(Process_, Links_, Link, Frame, Control_,
              [this, Link](const cell::PeerMessage &Message,
                           core::TimePoint Now, Effects &Out) {
                site::onMessage(State_, Link, Message, Now, wallNow(), Out);
              });
  }

  void onClosed(aio::LinkId Link) {
    for (auto It = Dialled_.begin(); It != Dialled_.end(); ++It)
      if (It->second == Link) {
        Dialled_.erase(It);
        break;
      }
    Control_.post([this, Link](core::TimePoint, Effects &) {
      site::onLinkClosed(State_, Link);
    });
  }

  void onCall(net::HttpRequest Request, aio::Responder Respond) {
    auto Decoded = Ports_.DecodeRequest_(Request);
    if (auto *Answer = std::get_if<net::HttpResponse>(&Decoded))
      return Respond(std::move(*Answer));
    auto &Call = std::get<site::CallerRequest>(Decoded);
    Call.Token_ = NextToken_++;
    Responders_[Call.Token_] = {std::move(Respond), core::steadyClock().Now_()};
    Control_.post([this, Call = std::move(Call)](core::TimePoint Now,
                                                 Effects &Out) mutable {
      site::onCallerRequest(State_, std::move(Call), Now, wallNow(), Out);
    });
  }

  /// Hands the effects of a step to the traffic thread.
  void hand(Effects Out) {
    Process_.Log_.write(std::move(Out.LogEvents_));
    if (Out.Replies_.empty() && Out.Sends_.empty() && Out.SendsTo_.empty() &&
        Out.Appends_.empty() && Out.Reads_.empty() &&
        Out.NewestReads_.empty() && !Out.ApprovalRequest_)
      return;
    auto Shared = std::make_shared<Effects>(std::move(Out));
    Process_.Loop_.post([this, Shared] { carryOut(*Shared); });
  }

  void carryOut(Effects &Out) {
    for (const site::CallerReply &Reply : Out.Replies_)
      answer(Reply);
    for (const auto &[Link, Message] : Out.Sends_)
      Links_.send(Link, wire::encode(Message));
    for (const auto &[Address, Message] : Out.SendsTo_)
      sendTo(Address, Message);
    for (site::AppendCall &Call : Out.Appends_)
      append(std::move(Call));
    for (const site::ReadCall &Call : Out.Reads_)
      read(Call);
    for (const site::ReadNewestCall &Call : Out.NewestReads_)
      newest(Call);
    if (Out.ApprovalRequest_)
      approve(*std::move(Out.ApprovalRequest_));
  }

  void approve(cell::ApprovalRequest Question) {
    auto Done = [this,
                 Question](absl::StatusOr<cell::ApprovalResponse> Answer) {
      Control_.post([this, Question, Answer = std::move(Answer)](
                        core::TimePoint Now, Effects &Out) {
        site::onApprovalResponse(State_, Question, Answer, Now, wallNow(), Out);
      });
    };
    if (Ports_.Approve_)
      return Ports_.Approve_(std::move(Question), std::move(Done));
    Done(core::makeError(absl::StatusCode::kFailedPrecondition, "approve",
                         "settings", "approval-address is not set"));
  }

  void answer(const site::CallerReply &Reply) {
    auto It = Responders_.find(Reply.Token_);
    if (It == Responders_.end())
      return;
    Process_.All_
        .quantiles("nutmegwell_call_seconds", "Time to answer a caller",
                   {{"outcome", site::name(Reply.Kind_)}})
        .observe(core::steadyClock().Now_() - It->second.ArrivedAt_,
                 core::steadyClock().Now_());
    It->second.Respond_(Ports_.EncodeReply_(Reply));
    Responders_.erase(It);
  }

  void sendTo(const std::string &Address, const cell::PeerMessage &Message) {
    auto It = Dialled_.find(Address);
    if (It == Dialled_.end()) {
      net::Address Peer;
      if (!net::parseAddress(Address, Peer))
        return;
      It = Dialled_.emplace(Address, Links_.dial(Peer)).first;
    }
    Links_.send(It->second, wire::encode(Message));
  }

  void append(site::AppendCall Call) {
    Ports_.Store_.Append_(
        std::move(Call.Request_), State_.Settings_.Policy_.Append_.CallTimeout_,
        [this, For = Call.Origin_](store::AppendOutcome Outcome) {
          Control_.post(
              [this, For, Outcome](core::TimePoint Now, Effects &Out) {
                site::onAppend(State_, For, Outcome, Now, Out);
              });
        });
  }

  void read(const site::ReadCall &Call) {
    const site::EntryPolicy &Policy = State_.Settings_.Policy_;
    Ports_.Store_.Read_(
        Call.Stream_, Call.From_, Policy.ReadWait_, Policy.ReadTimeout_,
        [this, Stream = Call.Stream_](absl::StatusOr<store::ReadPage> Page) {
          Control_.post([this, Stream, Page = std::move(Page)](
                            core::TimePoint Now, Effects &Out) {
            site::onRead(State_, Stream, Page, Now, Out);
          });
        });
  }

  void newest(const site::ReadNewestCall &Call) {
    Ports_.Store_.ReadNewest_(
        Call.Stream_, Call.After_, State_.Settings_.Policy_.ReadTimeout_,
        [this,
         Stream = Call.Stream_](absl::StatusOr<store::NewestRecordsPage> Page) {
          Control_.post([this, Stream, Page = std::move(Page)](
                            core::TimePoint Now, Effects &Out) {
            site::onNewestRead(State_, Stream, Page, Now, Out);
          });
        });
  }

  void onStop() {
    if (Stopping_) {
      Process_.Log_.write(
          {{"stopped_at_once",
            {{"in_flight", std::to_string(Callers_->inFlight())}}}});
      return Process_.Loop_.stop();
    }
    Stopping_ = true;
    StopAt_ = Process_.Clock_.Now_();
    Control_.post([this](core::TimePoint, Effects &Out) {
      site::onStopRequested(State_, Out);
    });
    Callers_->drain();
    watchDrain();
  }

  /// Ends the process once callers are sent elsewhere and nothing is in flight,
  /// or shortly before it would be killed.
  void watchDrain() {
    /// The balancer asks every second and gives up after two misses.
    constexpr core::Duration BalancerNotices = std::chrono::milliseconds(2600);
    constexpr core::Duration KillMargin = std::chrono::milliseconds(500);
    constexpr core::Duration LookInterval = std::chrono::milliseconds(100);
    const core::Duration Since = Process_.Clock_.Now_() - StopAt_;
    const bool Idle = Drained_ && Callers_->inFlight() == 0;
    if ((Idle && Since >= BalancerNotices) ||
        Since >= Process_.Values_.duration("stop-grace") - KillMargin)
      return Process_.Loop_.stop();
    Process_.Loop_.after(LookInterval, [this] { watchDrain(); });
  }

  struct OpenCall {
    aio::Responder Respond_;
    core::TimePoint ArrivedAt_;
  };

  RoleProcess Process_;
  EntryPorts Ports_;
  // Traffic thread.
  SeedWatch Seeds_;
  aio::Links Links_;
  std::unique_ptr<aio::HttpServer> Callers_;
  std::unique_ptr<aio::HttpServer> Readiness_;
  std::map<std::string, aio::LinkId> Dialled_;
  std::map<site::CallToken, OpenCall> Responders_;
  site::CallToken NextToken_ = 1;
  bool Stopping_ = false;
  core::TimePoint StopAt_{};
  // Control thread.
  site::EntryState State_;
  // Written by the control thread, read by the traffic thread.
  std::atomic<bool> Ready_{false};
  std::atomic<bool> Drained_{false};
  ControlThread<Effects> Control_;
};

} // namespace

int runEntry(const settings::Settings &Values, const SettingsReader &Reread,
             const std::function<EntryPorts(aio::Loop &)> &MakePorts) {
  return EntryHost(Values, Reread, MakePorts).run();
}

} // namespace nutmegwell::sitehost
