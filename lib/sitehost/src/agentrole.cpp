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
  Result.Seeds_ = texts(Values.addresses("seeds"));
  Result.Policy_.MaxLease_ = Values.duration("max-hold");
  return Result;
}

/// The sockets and threads of an agent.
class AgentHost {
public:
  AgentHost(const settings::Settings &Values, const SettingsReader &Reread,
            const std::function<AgentPorts(aio::Loop &)> &MakePorts)
      : Process_(Values), Ports_(MakePorts(Process_.Loop_)),
        Seeds_(Process_.Loop_, Reread, Process_.Log_,
               texts(Values.addresses("seeds")),
               [this](const std::vector<std::string> &Seeds) {
                 takeSeeds(State_.Settings_, Seeds, Control_);
               }),
        Links_(Process_.Loop_, aio::LinkLimits(), linkHandlers()),
        State_(site::makeAgentState(agentSettings(Values),
                                    Process_.Clock_.Now_())),
        Control_(
            Process_.Clock_,
            [this](core::TimePoint Now, site::AgentEffects &Out) {
              site::advanceAgent(State_, Now, Out);
            },
            [this](site::AgentEffects Out) { hand(std::move(Out)); }) {}

  int run() {
    Notices_ = std::make_unique<aio::HttpServer>(
        Process_.Loop_, addressOf(Process_.Values_.address("worker-listen")),
        aio::ServerLimits(),
        [this](net::HttpRequest Request, aio::Responder Respond) {
          onNotice(Request, Respond);
        });
    runRole(Process_, "site-agent", State_.Settings_.Incarnation_, Seeds_,
            Control_, [this] { onStop(); });
    return 0;
  }

private:
  using Effects = site::AgentEffects;

  aio::LinkHandlers linkHandlers() {
    // A link that was left for another says nothing any more.
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
    takeFrame(Process_, Links_, Link, Frame, Control_,
              [this, Link](const cell::PeerMessage &Message,
                           core::TimePoint Now, Effects &Out) {
                site::onAgentMessage(State_, Link, Message, Now, Out);
              });
  }

  /// The answer acknowledges the notice, so it waits until the control thread
  /// has taken it.
  void onNotice(const net::HttpRequest &Request,
                const aio::Responder &Respond) {
    WorkerNotice Notice = Ports_.DecodeNotice_(Request);
    net::HttpResponse Answer = Ports_.EncodeNoticeResponse_(Notice);
    Control_.post([this, Notice = std::move(Notice), Answer = std::move(Answer),
                   Respond](core::TimePoint Now, Effects &Out) {
      if (const auto *Alive = std::get_if<site::WorkerAnnouncement>(&Notice))
        site::onWorkerAnnounced(State_, *Alive, Now, Out);
      else if (const auto *Left = std::get_if<std::string>(&Notice))
        site::onWorkerLeft(State_, *Left, Out);
      else
        Out.LogEvents_.push_back(
            {"notice_unreadable",
             {{"error", core::describe(std::get<absl::Status>(Notice))}}});
      Respond(Answer);
    });
  }

  void hand(Effects Out) {
    Process_.Log_.write(std::move(Out.LogEvents_));
    if (Out.Calls_.empty() && Out.Sends_.empty() && !Out.DialAddress_)
      return;
    auto Shared = std::make_shared<Effects>(std::move(Out));
    Process_.Loop_.post([this, Shared] { carryOut(*Shared); });
  }

  void carryOut(Effects &Out) {
    for (const cell::PeerMessage &Message : Out.Sends_)
      Links_.send(Link_, wire::encode(Message));
    for (site::WorkerCall &Call : Out.Calls_)
      Ports_.CallWorker_(std::move(Call), [this](site::WorkerResponse Answer) {
        Control_.post([this, Answer = std::move(Answer)](core::TimePoint Now,
                                                         Effects &Out) {
          site::onWorkerResponse(State_, Answer, Now, Out);
        });
      });
    if (Out.DialAddress_)
      dial(*Out.DialAddress_);
  }

  void dial(const std::string &Address) {
    net::Address Peer;
    if (!net::parseAddress(Address, Peer))
      return;
    const aio::LinkId Before = Link_;
    Link_ = Links_.dial(Peer);
    if (Before != 0)
      Links_.close(Before);
  }

  void onStop() { Process_.Loop_.stop(); }

  RoleProcess Process_;
  AgentPorts Ports_;
  // Traffic thread.
  SeedWatch Seeds_;
  aio::Links Links_;
  std::unique_ptr<aio::HttpServer> Notices_;
  aio::LinkId Link_ = 0;
  // Control thread.
  site::AgentState State_;
  ControlThread<Effects> Control_;
};

} // namespace

int runAgent(const settings::Settings &Values, const SettingsReader &Reread,
             const std::function<AgentPorts(aio::Loop &)> &MakePorts) {
  return AgentHost(Values, Reread, MakePorts).run();
}

} // namespace nutmegwell::sitehost
