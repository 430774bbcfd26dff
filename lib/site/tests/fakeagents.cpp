// The part of FakeSite that simulates agents, their connections and workers.

#include "fakesite.h"

namespace nutmegwell::site {

namespace {

using std::chrono::milliseconds;

constexpr core::Duration Step = milliseconds(10);
constexpr core::Duration AnnounceInterval = milliseconds(500);
/// Delay of a late order in steps: a minimum, and the range of a random part.
constexpr int LateAfterSteps = 200;
constexpr int LateSpreadSteps = 1000;

} // namespace

void FakeSite::addWorker(const std::string &Host, const std::string &Domain,
                         double ClockRate) {
  Workers_.emplace(Host, FakeWorker(Host, Domain, ClockRate, Now_,
                                    [this, Host](history::EventBody Body) {
                                      record(Host, std::move(Body));
                                    }));
  startAgent(Host);
}

void FakeSite::startAgent(const std::string &Host) {
  AgentSettings Settings;
  Settings.Host_ = Host;
  Settings.Incarnation_ = NextProcess_++;
  Settings.Seeds_ = {"e0", "e1"};
  Agents_[Host] = Agent{makeAgentState(Settings, Now_), 0, "", false};
}

void FakeSite::killAgent(const std::string &Host) {
  auto It = Agents_.find(Host);
  if (It == Agents_.end())
    return;
  const Agent Gone = std::move(It->second);
  Agents_.erase(It);
  if (Gone.Open_ && !isCut(Host) && !isCut(Gone.Entry_))
    deliver(Gone.Entry_,
            [Link = Gone.Link_](EntryState &State, EntryEffects &) {
              onLinkClosed(State, Link);
            });
}

void FakeSite::deliverToAgent(
    const std::string &Host, core::Incarnation Process,
    std::function<void(AgentState &, AgentEffects &)> Function) {
  auto It = Agents_.find(Host);
  if (It == Agents_.end() ||
      It->second.State_.Settings_.Incarnation_ != Process)
    return;
  if (Frozen_.count(Host))
    return later(Step, [this, Host, Process, Function] {
      deliverToAgent(Host, Process, Function);
    });
  AgentEffects Out;
  Function(It->second.State_, Out);
  carryOut(Host, std::move(Out));
}

void FakeSite::carryOut(const std::string &Host, AgentEffects &&Out) {
  std::move(Out.LogEvents_.begin(), Out.LogEvents_.end(),
            std::back_inserter(LogEvents_));
  const Agent &From = Agents_.at(Host);
  for (const cell::PeerMessage &Message : Out.Sends_) {
    if (!From.Open_ || isCut(Host) || isCut(From.Entry_))
      continue;
    later(Step, [this, Link = From.Link_, Entry = From.Entry_, Message] {
      deliver(Entry,
              [this, Link, Message](EntryState &State, EntryEffects &Effects) {
                onMessage(State, Link, Message, Now_, Wall_, Effects);
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
  From.Entry_ = Entry;
  if (!Hosts_.count(Entry) || isCut(Host) || isCut(Entry))
    return closeLink(Host);
  From.Open_ = true;
  later(Step, [this, Host, Process = From.State_.Settings_.Incarnation_,
               Link = From.Link_] {
    deliverToAgent(Host, Process,
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
  const bool Reached = From.Open_ && !isCut(Host) && !isCut(From.Entry_);
  if (Reached)
    later(Step, [this, Link, Entry = From.Entry_] {
      deliver(Entry, [Link](EntryState &State, EntryEffects &) {
        onLinkClosed(State, Link);
      });
    });
  From.Link_ = 0;
  From.Open_ = false;
  later(Step, [this, Host, Process = From.State_.Settings_.Incarnation_, Link] {
    deliverToAgent(Host, Process,
                   [this, Link](AgentState &State, AgentEffects &Effects) {
                     onEntryLinkClosed(State, Link, Now_, Effects);
                   });
  });
}

void FakeSite::sendToAgent(const std::string &From, LinkId Link,
                           const cell::PeerMessage &Message) {
  for (const auto &[Host, Each] : Agents_) {
    if (Each.Link_ != Link || !Each.Open_ || isCut(From) || isCut(Host))
      continue;
    later(Step, [this, Host = Host,
                 Process = Each.State_.Settings_.Incarnation_, Link, Message] {
      deliverToAgent(
          Host, Process,
          [this, Link, Message](AgentState &State, AgentEffects &Effects) {
            onAgentMessage(State, Link, Message, Now_, Effects);
          });
    });
  }
}

void FakeSite::callWorker(const std::string &Host, const WorkerCall &Call) {
  const core::Incarnation Process =
      Agents_.at(Host).State_.Settings_.Incarnation_;
  auto Answer = [this, Host, Process](const WorkerResponse &Value) {
    later(Step, [this, Host, Process, Value] {
      deliverToAgent(Host, Process,
                     [this, Value](AgentState &State, AgentEffects &Effects) {
                       onWorkerResponse(State, Value, Now_, Effects);
                     });
    });
  };
  WorkerResponse None;
  None.Id_ = Call.Id_;
  None.Error_ = "no answer";
  later(Call.Timeout_, [Answer, None] { Answer(None); });
  std::uniform_real_distribution<double> Share(0, 1);
  const bool Late = !std::holds_alternative<PollCall>(Call.Body_) &&
                    Share(Random_) < LateOrders_;
  const int Steps =
      Late ? LateAfterSteps + static_cast<int>(Random_() % LateSpreadSteps) : 1;
  // Orders that a worker has not carried out are lost when it restarts.
  later(Steps * Step,
        [this, Host, Call, Answer, Late, Born = Workers_.at(Host).born()] {
          FakeWorker &Worker = Workers_.at(Host);
          if (Worker.born() == Born)
            Worker.take(Call, Late, Now_,
                        Late ? [](const WorkerResponse &) {}
                             : FakeWorker::Responder(Answer));
        });
}

void FakeSite::runWorkers() {
  const bool Announce =
      Now_.time_since_epoch() % AnnounceInterval == core::Duration(0);
  for (auto &[Host, Each] : Workers_) {
    Each.tick(Now_);
    auto It = Agents_.find(Host);
    if (It == Agents_.end() || Frozen_.count(Host))
      continue;
    const core::Incarnation Process = It->second.State_.Settings_.Incarnation_;
    if (Announce) {
      const WorkerAnnouncement Value = Each.announce(Now_);
      deliverToAgent(Host, Process,
                     [this, &Value](AgentState &State, AgentEffects &Effects) {
                       onWorkerAnnounced(State, Value, Now_, Effects);
                     });
      if (Value.Info_.Draining_ && Each.noteDrain())
        record(Host, history::WorkerDrainNoted{Host});
    }
    deliverToAgent(Host, Process,
                   [this](AgentState &State, AgentEffects &Effects) {
                     advanceAgent(State, Now_, Effects);
                   });
  }
}

} // namespace nutmegwell::site
