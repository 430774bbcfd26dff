#include "nutmegwell/sitehost/roles.h"
#include "nutmegwell/wire/cellbinary.h"
#include "roleprocess.h"
#include "usagegauges.h"
#include <cmath>
#include <map>

namespace nutmegwell::sitehost {

namespace {

site::EntrySettings entrySettings(const settings::Settings &Values) {
  site::EntrySettings Result;
  Result.Host_ = Values.text("node");
  Result.Address_ = settings::toString(Values.address(
      Values.has("peers-address") ? "peers-address" : "peers-listen"));
  Result.Incarnation_ = newIncarnation();
  Result.Seeds_ = toStrings(Values.addresses("seeds"));
  Result.Policy_.Holder_.MaxLease_ = Values.duration("max-hold");
  Result.Policy_.Holder_.RemotePenalty_ =
      static_cast<double>(Values.count("remote-penalty"));
  cell::HolderPolicy &Holder = Result.Policy_.Holder_;
  Holder.LearnRunTimes_ = Values.flag("learn-run-times");
  Holder.FairShares_ = Values.flag("fair-shares");
  Holder.ReserveForGangs_ = Values.flag("reserve-for-gangs");
  Holder.Departure_.Enabled_ = Values.flag("vacate-leaving-workers");
  Holder.Departure_.StopTime_ = Values.duration("stop-time");
  Result.Policy_.LoadAdmission_.Enabled_ = Values.flag("refuse-hopeless-jobs");
  return Result;
}

/// Gauges of the speeds that this host has learned as the cell's holder.
struct SpeedGauges {
  explicit SpeedGauges(metrics::Registry &Metrics)
      : Known_(Metrics.gauge("nutmegwell_known_speeds",
                             "Workers whose speed is known to this holder")),
        Min_(Metrics.gauge("nutmegwell_worker_speed_min",
                           "Lowest known speed of a worker, in thousandths of "
                           "the ordinary speed")),
        Max_(Metrics.gauge("nutmegwell_worker_speed_max",
                           "Highest known speed of a worker, in thousandths "
                           "of the ordinary speed")) {}

  /// Thread-safe; takes no lock.
  void set(const cell::SpeedFigures &Figures) {
    constexpr double PerUnit = 1000;
    Known_.set(static_cast<std::int64_t>(Figures.Known_));
    Min_.set(std::llround(Figures.Min_ * PerUnit));
    Max_.set(std::llround(Figures.Max_ * PerUnit));
  }

  metrics::Gauge &Known_;
  metrics::Gauge &Min_;
  metrics::Gauge &Max_;
};

/// Owns the sockets and threads of an entry host. Each group of members below
/// names the thread that uses it.
class EntryHost {
public:
  EntryHost(const settings::Settings &Values, const SettingsReader &Reread,
            const std::function<EntryPorts(aio::Loop &)> &MakePorts)
      : Process_(Values), SpeedGauges_(Process_.Metrics_),
        Ports_(MakePorts(Process_.Loop_)),
        Seeds_(Process_.Loop_, Reread, Process_.Log_,
               toStrings(Values.addresses("seeds")),
               [this](const std::vector<std::string> &Seeds) {
                 postSeeds(State_.Settings_, Seeds, Control_);
               }),
        Links_(Process_.Loop_, Process_.Limits_.Links_, linkHandlers(),
               Process_.refusalHandler("link")),
        State_(site::makeEntryState(entrySettings(Values), Ports_.Codec_,
                                    Process_.Clock_.Now_())),
        Control_(
            Process_.Clock_, controlTimes(Process_.Metrics_),
            [this](core::TimePoint Now, site::EntryEffects &Out) {
              site::advanceEntry(State_, Now, wallNow(), Out);
              Ready_ = site::isReady(State_);
              Drained_ = site::isDrained(State_);
            },
            [this](site::EntryEffects Out) { postEffects(std::move(Out)); }) {}

  int run() {
    Links_.listen(addressOf(Process_.Values_.address("peers-listen")));
    aio::ServerLimits Limits;
    CallerServer_ = std::make_unique<aio::HttpServer>(
        Process_.Loop_, addressOf(Process_.Values_.address("callers-listen")),
        Limits,
        [this](net::HttpRequest Request, aio::Responder Respond) {
          onCall(std::move(Request), Respond);
        },
        Process_.Guard_);
    ReadinessServer_ = std::make_unique<aio::HttpServer>(
        Process_.Loop_, addressOf(Process_.Values_.address("ready-listen")),
        Limits,
        [this](net::HttpRequest, aio::Responder Respond) {
          net::HttpResponse Response;
          Response.Status_ = Ready_ ? 200 : 503;
          Respond(std::move(Response));
        },
        Process_.Guard_);
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
            [this](aio::LinkId Link) { onClosed(Link); },
            [this](aio::LinkId Link) { onProgress(Link); }};
  }

  /// Only responses of peers are large on the links that this host dials.
  void onProgress(aio::LinkId Link) {
    for (const auto &[Address, Dialled] : LinksByAddress_)
      if (Dialled == Link)
        Control_.post(
            [this, Address = Address](core::TimePoint Now, Effects &) {
              site::onPeerProgress(State_, Address, Now);
            });
  }

  std::function<void()> readProgressHandler(store::Stream Which) {
    return [this, Which] {
      Control_.post([this, Which](core::TimePoint Now, Effects &) {
        site::onReadProgress(State_, Which, Now);
      });
    };
  }

  void onFrame(aio::LinkId Link, const std::string &Frame) {
    dispatchFrame(Process_, Links_, Link, Frame, Control_,
                  [this, Link](const cell::PeerMessage &Message,
                               core::TimePoint ArrivedAt, core::TimePoint Now,
                               Effects &Out) {
                    site::onMessage(State_, {Link, ArrivedAt}, Message, Now,
                                    wallNow(), Out);
                  });
  }

  void onClosed(aio::LinkId Link) {
    for (auto It = LinksByAddress_.begin(); It != LinksByAddress_.end(); ++It)
      if (It->second == Link) {
        LinksByAddress_.erase(It);
        break;
      }
    Control_.post([this, Link](core::TimePoint, Effects &) {
      site::onLinkClosed(State_, Link);
    });
  }

  void onCall(net::HttpRequest Request, const aio::Responder &Uncounted) {
    std::optional<aio::Responder> Counted =
        admitRequest(Process_, Ports_.MemoryOf_(Request), Uncounted);
    if (!Counted)
      return;
    aio::Responder Respond = *std::move(Counted);
    auto Decoded = Ports_.DecodeRequest_(Request);
    if (auto *Response = std::get_if<net::HttpResponse>(&Decoded))
      return Respond(std::move(*Response));
    auto &Call = std::get<site::CallerRequest>(Decoded);
    Call.Token_ = NextToken_++;
    Call.ArrivedAt_ = Process_.Clock_.Now_();
    OpenCalls_[Call.Token_] = {std::move(Respond), core::steadyClock().Now_()};
    Control_.post([this, Call = std::move(Call)](core::TimePoint Now,
                                                 Effects &Out) mutable {
      site::onCallerRequest(State_, std::move(Call), Now, wallNow(), Out);
    });
  }

  /// Hands the effects of a step from the control thread to the traffic thread.
  void postEffects(Effects Out) {
    Process_.Log_.write(std::move(Out.LogEvents_));
    if (Out.SpeedFigures_)
      SpeedGauges_.set(*Out.SpeedFigures_);
    for (const cell::DepartureChoice Choice : Out.Departures_)
      Process_.Metrics_
          .counter("nutmegwell_departures_total",
                   "Decisions on the runs of draining workers",
                   {{"decision", cell::name(Choice)}})
          .add();
    if (Out.AccountUsages_)
      UsageGauges_.show(*Out.AccountUsages_);
    if (Out.Replies_.empty() && Out.Sends_.empty() && Out.SendsTo_.empty() &&
        Out.Appends_.empty() && Out.Reads_.empty() &&
        Out.NewestReads_.empty() && !Out.ApprovalRequest_)
      return;
    auto Shared = std::make_shared<Effects>(std::move(Out));
    Process_.Loop_.post([this, Shared] { performEffects(*Shared); });
  }

  void performEffects(Effects &Out) {
    for (const site::CallerReply &Reply : Out.Replies_)
      respond(Reply);
    for (const auto &[Link, Message] : Out.Sends_)
      Links_.send(Link, wire::encode(Message));
    for (const auto &[Address, Message] : Out.SendsTo_)
      sendTo(Address, Message);
    for (site::AppendCall &Call : Out.Appends_)
      append(std::move(Call));
    for (const site::ReadCall &Call : Out.Reads_)
      read(Call);
    for (const site::ReadNewestCall &Call : Out.NewestReads_)
      readNewest(Call);
    if (Out.ApprovalRequest_)
      requestApproval(*std::move(Out.ApprovalRequest_));
  }

  void requestApproval(cell::ApprovalRequest Request) {
    auto Done = [this,
                 Request](absl::StatusOr<cell::ApprovalResponse> Response) {
      Control_.post([this, Request, Response = std::move(Response)](
                        core::TimePoint Now, Effects &Out) {
        site::onApprovalResponse(State_, Request, Response, Now, wallNow(),
                                 Out);
      });
    };
    if (Ports_.Approve_)
      return Ports_.Approve_(std::move(Request), std::move(Done));
    Done(core::makeError(absl::StatusCode::kFailedPrecondition, "approve",
                         "settings", "approval-address is not set"));
  }

  void respond(const site::CallerReply &Reply) {
    auto It = OpenCalls_.find(Reply.Token_);
    if (It == OpenCalls_.end())
      return;
    Process_.Metrics_
        .quantiles("nutmegwell_call_seconds", "Time to answer a caller",
                   {{"outcome", site::name(Reply.Kind_)}})
        .observe(core::steadyClock().Now_() - It->second.ArrivedAt_,
                 core::steadyClock().Now_());
    if (Reply.Kind_ == site::ReplyKind::Refused)
      Process_.Metrics_
          .counter("nutmegwell_refused_calls_total", "Refused calls by cause",
                   {{"cause", site::name(Reply.Cause_)}})
          .add();
    It->second.Respond_(Ports_.EncodeReply_(Reply));
    OpenCalls_.erase(It);
  }

  void sendTo(const std::string &Address, const cell::PeerMessage &Message) {
    auto It = LinksByAddress_.find(Address);
    if (It == LinksByAddress_.end()) {
      net::Address Peer;
      if (!net::parseAddress(Address, Peer))
        return;
      It = LinksByAddress_.emplace(Address, Links_.dial(Peer)).first;
    }
    Links_.send(It->second, wire::encode(Message));
  }

  void append(site::AppendCall Call) {
    Ports_.Store_.Append_(
        std::move(Call.Request_), State_.Settings_.Policy_.Append_.CallTimeout_,
        [this, Origin = Call.Origin_](store::AppendOutcome Outcome) {
          Control_.post(
              [this, Origin, Outcome](core::TimePoint Now, Effects &Out) {
                site::onAppend(State_, Origin, Outcome, Now, Out);
              });
        });
  }

  void read(const site::ReadCall &Call) {
    Ports_.Store_.Read_(
        Call.Stream_, Call.From_, Call.Wait_, Call.Timeout_,
        [this, Call](absl::StatusOr<store::ReadPage> Page) {
          site::ReadCall Answered = Call;
          Answered.ArrivedAt_ = Process_.Clock_.Now_();
          Control_.post([this, Call = Answered, Page = std::move(Page)](
                            core::TimePoint Now, Effects &Out) {
            site::onRead(State_, Call, Page, Now, Out);
          });
        },
        readProgressHandler(Call.Stream_));
  }

  void readNewest(const site::ReadNewestCall &Call) {
    Ports_.Store_.ReadNewest_(
        Call.Stream_, Call.After_, State_.Settings_.Policy_.ReadTimeout_,
        [this, Call](absl::StatusOr<store::NewestRecordsPage> Page) {
          site::ReadNewestCall Answered = Call;
          Answered.ArrivedAt_ = Process_.Clock_.Now_();
          Control_.post([this, Call = Answered, Page = std::move(Page)](
                            core::TimePoint Now, Effects &Out) {
            site::onNewestRead(State_, Call, Page, Now, Out);
          });
        },
        readProgressHandler(Call.Stream_));
  }

  void onStop() {
    if (Stopping_) {
      Process_.Log_.write(
          {{"stopped_at_once",
            {{"in_flight", std::to_string(CallerServer_->inFlight())}}}});
      return Process_.Loop_.stop();
    }
    Stopping_ = true;
    StopRequestedAt_ = Process_.Clock_.Now_();
    Control_.post([this](core::TimePoint, Effects &Out) {
      site::onStopRequested(State_, Out);
    });
    CallerServer_->drain();
    watchDrain();
  }

  /// Stops the loop once the load balancer has taken this host out and no
  /// request is in flight, or shortly before the platform would kill the
  /// process.
  void watchDrain() {
    /// The load balancer probes readiness every second and removes a host after
    /// two failed probes.
    constexpr core::Duration BalancerDetectionTime =
        std::chrono::milliseconds(2600);
    constexpr core::Duration KillMargin = std::chrono::milliseconds(500);
    constexpr core::Duration PollInterval = std::chrono::milliseconds(100);
    const core::Duration Elapsed = Process_.Clock_.Now_() - StopRequestedAt_;
    const bool Idle = Drained_ && CallerServer_->inFlight() == 0;
    if ((Idle && Elapsed >= BalancerDetectionTime) ||
        Elapsed >= Process_.Values_.duration("stop-grace") - KillMargin)
      return Process_.Loop_.stop();
    Process_.Loop_.after(PollInterval, [this] { watchDrain(); });
  }

  struct OpenCall {
    aio::Responder Respond_;
    core::TimePoint ArrivedAt_;
  };

  RoleProcess Process_;
  // Set by the control thread.
  SpeedGauges SpeedGauges_;
  EntryPorts Ports_;
  // Used by the traffic thread only.
  SeedWatch Seeds_;
  aio::Links Links_;
  std::unique_ptr<aio::HttpServer> CallerServer_;
  std::unique_ptr<aio::HttpServer> ReadinessServer_;
  std::map<std::string, aio::LinkId> LinksByAddress_;
  std::map<site::CallToken, OpenCall> OpenCalls_;
  site::CallToken NextToken_ = 1;
  bool Stopping_ = false;
  core::TimePoint StopRequestedAt_{};
  // The control thread's state; the traffic thread reads only its policy.
  site::EntryState State_;
  // Used by the control thread only.
  UsageGauges UsageGauges_{Process_.Metrics_};
  // Written by the control thread, read by the traffic thread.
  std::atomic<bool> Ready_{false};
  std::atomic<bool> Drained_{false};
  ControlThread<Effects> Control_;
};

} // namespace

int runEntry(const settings::Settings &Values, const SettingsReader &Reread,
             const std::function<EntryPorts(aio::Loop &)> &MakePorts) {
  returnLargeBuffers();
  return EntryHost(Values, Reread, MakePorts).run();
}

} // namespace nutmegwell::sitehost
