// The part of FakeSite that simulates agents, their connections and workers.

#include "fakesite.h"

namespace nutmegwell::site {

namespace {

using std::chrono::milliseconds;

constexpr core::Duration Step = milliseconds(10);
constexpr core::Duration AnnounceInterval = milliseconds(500);
/// Delay of a late order in steps: a minimum, and the range of a random part.
constexpr int MinLateSteps = 200;
constexpr int LateStepsRange = 1000;

} // namespace

void FakeSite::addWorker(const std::string &Host, const std::string &Domain,
                         double ClockRate) {
  Workers_.emplace(Host, FakeWorker(Host, Domain, ClockRate, Now_,
                                    [this, Host](history::EventBody Body) {
                                      record(Host, std::move(Body));
                                    }));
  startAgent(Host);
}

void FakeSite::crashWorker(const std::string &Host) {
  Workers_.at(Host).restart(Now_);
  EndedWorkers_.insert(Host);
}

void FakeSite::startWorker(const std::string &Host) {
  if (EndedWorkers_.erase(Host))
    Workers_.at(Host).restart(Now_);
}

void FakeSite::startAgent(const std::string &Host) {
  AgentSettings Settings;
  Settings.Host_ = Host;
  Settings.Incarnation_ = NextIncarnation_++;
  Settings.Seeds_ = {"e0", "e1"};
  Agents_[Host] = Agent{makeAgentState(Settings, Now_), 0, "", false};
}

void FakeSite::killAgent(const std::string &Host) {
  auto It = Agents_.find(Host);
  if (It == Agents_.end())
    return;
  const Agent Killed = std::move(It->second);
  Agents_.erase(It);
  if (Killed.LinkOpen_ && isConnected(Host, Killed.EntryHost_))
    deliver(Killed.EntryHost_,
            [Link = Killed.Link_](EntryState &State, EntryEffects &) {
              onLinkClosed(State, Link);
            });
}

void FakeSite::deliverToAgent(
    const std::string &Host, core::Incarnation Incarnation,
    std::function<void(AgentState &, AgentEffects &)> Function) {
  auto It = Agents_.find(Host);
  if (It == Agents_.end() ||
      It->second.State_.Settings_.Incarnation_ != Incarnation)
    return;
  if (Paused_.count(Host))
    return schedule(Step, [this, Host, Incarnation, Function] {
      deliverToAgent(Host, Incarnation, Function);
    });
  AgentEffects Out;
  Function(It->second.State_, Out);
  applyEffects(Host, std::move(Out));
}

void FakeSite::applyEffects(const std::string &Host, AgentEffects &&Out) {
  std::move(Out.LogEvents_.begin(), Out.LogEvents_.end(),
            std::back_inserter(LogEvents_));
  const Agent &From = Agents_.at(Host);
  for (const cell::PeerMessage &Message : Out.Sends_) {
    if (!From.LinkOpen_ || !isConnected(Host, From.EntryHost_))
      continue;
    schedule(Step, [this, Link = From.Link_, Entry = From.EntryHost_, Message] {
      deliver(Entry,
              [this, Link, Message](EntryState &State, EntryEffects &Effects) {
                onMessage(State, {Link, Now_}, Message, Now_, Wall_, Effects);
              });
    });
  }
  for (const WorkerCall &Call : Out.Calls_)
    callWorker(Host, Call);
  if (Out.DialAddress_)
    dial(Host, *Out.DialAddress_);
}

void FakeSite::dial(const std::string &Host, const std::string &Entry) {
  closeLink(Host);
  Agent &From = Agents_.at(Host);
  From.Link_ = NextLink_++;
  From.EntryHost_ = Entry;
  if (!Hosts_.count(Entry) || !isConnected(Host, Entry))
    return closeLink(Host);
  From.LinkOpen_ = true;
  schedule(Step, [this, Host, Incarnation = From.State_.Settings_.Incarnation_,
                  Link = From.Link_] {
    deliverToAgent(Host, Incarnation,
                   [this, Link](AgentState &State, AgentEffects &Effects) {
                     onEntryLinkOpened(State, Link, Now_, Effects);
                   });
  });
}

void FakeSite::closeLink(const std::string &Host) {
  Agent &From = Agents_.at(Host);
  if (From.Link_ == 0)
    return;
  const LinkId Link = From.Link_;
  const bool Reached = From.LinkOpen_ && isConnected(Host, From.EntryHost_);
  if (Reached)
    schedule(Step, [this, Link, Entry = From.EntryHost_] {
      deliver(Entry, [Link](EntryState &State, EntryEffects &) {
        onLinkClosed(State, Link);
      });
    });
  From.Link_ = 0;
  From.LinkOpen_ = false;
  schedule(Step, [this, Host, Incarnation = From.State_.Settings_.Incarnation_,
                  Link] {
    deliverToAgent(Host, Incarnation,
                   [this, Link](AgentState &State, AgentEffects &Effects) {
                     onEntryLinkClosed(State, Link, Now_, Effects);
                   });
  });
}

void FakeSite::sendToAgent(const std::string &From, LinkId Link,
                           const cell::PeerMessage &Message) {
  for (const auto &[Host, Each] : Agents_) {
    if (Each.Link_ != Link || !Each.LinkOpen_ || !isConnected(From, Host))
      continue;
    schedule(Step, [this, Host = Host,
                    Incarnation = Each.State_.Settings_.Incarnation_, Link,
                    Message] {
      deliverToAgent(
          Host, Incarnation,
          [this, Link, Message](AgentState &State, AgentEffects &Effects) {
            onAgentMessage(State, Link, Message, Now_, Effects);
          });
    });
  }
}

void FakeSite::callWorker(const std::string &Host, const WorkerCall &Call) {
  const core::Incarnation Incarnation =
      Agents_.at(Host).State_.Settings_.Incarnation_;
  auto Respond = [this, Host, Incarnation](const WorkerResponse &Value) {
    schedule(Step, [this, Host, Incarnation, Value] {
      deliverToAgent(Host, Incarnation,
                     [this, Value](AgentState &State, AgentEffects &Effects) {
                       onWorkerResponse(State, Value, Now_, Effects);
                     });
    });
  };
  WorkerResponse NoResponse;
  NoResponse.Id_ = Call.Id_;
  NoResponse.Error_ = "no answer";
  if (EndedWorkers_.count(Host)) {
    NoResponse.ConnectionRefused_ = true;
    return Respond(NoResponse);
  }
  schedule(Call.Timeout_, [Respond, NoResponse] { Respond(NoResponse); });
  std::uniform_real_distribution<double> Share(0, 1);
  const bool Order = !std::holds_alternative<PollCall>(Call.Body_) &&
                     !std::holds_alternative<IdentityCall>(Call.Body_);
  const bool Late = Order && Share(Random_) < LateOrderShare_;
  const bool Lost =
      LostResponseShare_ > 0 && Share(Random_) < LostResponseShare_;
  const int Steps =
      Late ? MinLateSteps + static_cast<int>(Random_() % LateStepsRange) : 1;
  // By default, orders that a worker has not carried out are lost when it
  // restarts.
  schedule(Steps * Step, [this, Host, Call, Respond, Late, Lost,
                          Incarnation = Workers_.at(Host).incarnation()] {
    FakeWorker &Worker = Workers_.at(Host);
    const bool Delivered = Worker.incarnation() == Incarnation ||
                           (Late && LateOrdersSurviveRestarts_);
    if (Delivered && !EndedWorkers_.count(Host))
      Worker.handleCall(Call, Late, Now_,
                        Late || Lost ? [](const WorkerResponse &) {}
                                     : FakeWorker::Responder(Respond));
  });
}

void FakeSite::runWorkers() {
  const bool Announce =
      Now_.time_since_epoch() % AnnounceInterval == core::Duration(0);
  for (auto &[Host, Each] : Workers_) {
    if (!EndedWorkers_.count(Host))
      Each.advance(Now_);
    auto It = Agents_.find(Host);
    if (It == Agents_.end() || Paused_.count(Host))
      continue;
    const core::Incarnation Incarnation =
        It->second.State_.Settings_.Incarnation_;
    if (Announce && !EndedWorkers_.count(Host)) {
      const WorkerAnnouncement Value = Each.announce(Now_);
      deliverToAgent(Host, Incarnation,
                     [this, &Value](AgentState &State, AgentEffects &Effects) {
                       onWorkerAnnounced(State, Value, Now_, Effects);
                     });
      if (Value.Info_.Draining_ && Each.recordDrain())
        record(Host, history::WorkerDrainNoted{Host});
    }
    deliverToAgent(Host, Incarnation,
                   [this](AgentState &State, AgentEffects &Effects) {
                     advanceAgent(State, Now_, Effects);
                   });
  }
}

} // namespace nutmegwell::site
