#include "nutmegwell/sitehost/roles.h"
#include "nutmegwell/wire/cellbinary.h"
#include "roleprocess.h"

namespace nutmegwell::sitehost {

namespace {

site::AgentSettings agentSettings(const settings::Settings &Values) {
  site::AgentSettings Result;
  Result.Host_ = Values.text("node");
  Result.FailureDomain_ = Values.text("domain");
  Result.Incarnation_ = newIncarnation();
  Result.Seeds_ = toStrings(Values.addresses("seeds"));
  Result.Policy_.MaxLease_ = Values.duration("max-hold");
  return Result;
}

/// Owns the sockets and threads of an agent.
class AgentHost {
public:
  AgentHost(const settings::Settings &Values, const SettingsReader &Reread,
            const std::function<AgentPorts(aio::Loop &)> &MakePorts)
      : Process_(Values), Ports_(MakePorts(Process_.Loop_)),
        Seeds_(Process_.Loop_, Reread, Process_.Log_,
               toStrings(Values.addresses("seeds")),
               [this](const std::vector<std::string> &Seeds) {
                 postSeeds(State_.Settings_, Seeds, Control_);
               }),
        Links_(Process_.Loop_, Process_.Limits_.Links_, linkHandlers(),
               Process_.refusalHandler("link")),
        State_(site::makeAgentState(agentSettings(Values),
                                    Process_.Clock_.Now_())),
        Control_(
            Process_.Clock_, controlTimes(Process_.Metrics_),
            [this](core::TimePoint Now, site::AgentEffects &Out) {
              site::advanceAgent(State_, Now, Out);
            },
            [this](site::AgentEffects Out) { postEffects(std::move(Out)); }) {}

  int run() {
    NoticeServer_ = std::make_unique<aio::HttpServer>(
        Process_.Loop_, addressOf(Process_.Values_.address("worker-listen")),
        aio::ServerLimits(),
        [this](net::HttpRequest Request, aio::Responder Respond) {
          onNotice(Request, Respond);
        },
        Process_.Guard_);
    runRole(Process_, "site-agent", State_.Settings_.Incarnation_, Seeds_,
            Control_, [this] { onStop(); });
    return 0;
  }

private:
  using Effects = site::AgentEffects;

  aio::LinkHandlers linkHandlers() {
    // Events of a link that a newer one has replaced are ignored.
    return {[this](aio::LinkId Link) {
              if (Link != Link_)
                return;
              Control_.post([this, Link](core::TimePoint Now, Effects &Out) {
                site::onEntryLinkOpened(State_, Link, Now, Out);
              });
            },
            [this](aio::LinkId Link, const std::string &Frame) {
              onFrame(Link, Frame);
            },
            [this](aio::LinkId Link) {
              if (Link != Link_)
                return;
              Control_.post([this, Link](core::TimePoint Now, Effects &Out) {
                site::onEntryLinkClosed(State_, Link, Now, Out);
              });
            }};
  }

  void onFrame(aio::LinkId Link, const std::string &Frame) {
    dispatchFrame(Process_, Links_, Link, Frame, Control_,
                  [this, Link](const cell::PeerMessage &Message,
                               core::TimePoint, core::TimePoint Now,
                               Effects &Out) {
                    site::onAgentMessage(State_, Link, Message, Now, Out);
                  });
  }

  /// The response acknowledges the notice, so it is sent only after the control
  /// thread has processed the notice.
  void onNotice(const net::HttpRequest &Request,
                const aio::Responder &Uncounted) {
    const std::optional<aio::Responder> Respond =
        admitRequest(Process_, Ports_.MemoryOf_(Request), Uncounted);
    if (!Respond)
      return;
    WorkerNotice Notice = Ports_.DecodeNotice_(Request);
    net::HttpResponse Response = Ports_.EncodeNoticeResponse_(Notice);
    Control_.post([this, Notice = std::move(Notice),
                   Response = std::move(Response),
                   Respond = *Respond](core::TimePoint Now, Effects &Out) {
      if (const auto *Announcement =
              std::get_if<site::WorkerAnnouncement>(&Notice))
        site::onWorkerAnnounced(State_, *Announcement, Now, Out);
      else if (const auto *WorkerId = std::get_if<std::string>(&Notice))
        site::onWorkerLeft(State_, *WorkerId, Out);
      else
        Out.LogEvents_.push_back(
            {"notice_unreadable",
             {{"error", core::describe(std::get<absl::Status>(Notice))}}});
      Respond(Response);
    });
  }

  /// Hands the effects of a step from the control thread to the traffic thread.
  void postEffects(Effects Out) {
    Process_.Log_.write(std::move(Out.LogEvents_));
    if (Out.Calls_.empty() && Out.Sends_.empty() && !Out.DialAddress_)
      return;
    auto Shared = std::make_shared<Effects>(std::move(Out));
    Process_.Loop_.post([this, Shared] { performEffects(*Shared); });
  }

  void performEffects(Effects &Out) {
    for (const cell::PeerMessage &Message : Out.Sends_)
      Links_.send(Link_, wire::encode(Message));
    for (site::WorkerCall &Call : Out.Calls_)
      Ports_.CallWorker_(
          std::move(Call), [this](site::WorkerResponse Response) {
            Control_.post([this, Response = std::move(Response)](
                              core::TimePoint Now, Effects &Out) {
              site::onWorkerResponse(State_, Response, Now, Out);
            });
          });
    if (Out.DialAddress_)
      dial(*Out.DialAddress_);
  }

  void dial(const std::string &Address) {
    net::Address Peer;
    if (!net::parseAddress(Address, Peer))
      return;
    const aio::LinkId Previous = Link_;
    Link_ = Links_.dial(Peer);
    if (Previous != 0)
      Links_.close(Previous);
  }

  void onStop() { Process_.Loop_.stop(); }

  RoleProcess Process_;
  AgentPorts Ports_;
  // Used by the traffic thread only.
  SeedWatch Seeds_;
  aio::Links Links_;
  std::unique_ptr<aio::HttpServer> NoticeServer_;
  aio::LinkId Link_ = 0;
  // The control thread's state; other threads post events to Control_.
  site::AgentState State_;
  ControlThread<Effects> Control_;
};

} // namespace

int runAgent(const settings::Settings &Values, const SettingsReader &Reread,
             const std::function<AgentPorts(aio::Loop &)> &MakePorts) {
  returnLargeBuffers();
  return AgentHost(Values, Reread, MakePorts).run();
}

} // namespace nutmegwell::sitehost
