#include "world.h"

#include "nutmegwell/history/rules.h"
#include "nutmegwell/wire/binary.h"

namespace nutmegwell::schedules {

using namespace std::chrono_literals;

namespace {

constexpr core::Offset RetainedEntries = 40;
constexpr logclient::SnapshotPolicy Policy{10, 64 << 10, 1 << 20};
constexpr std::size_t HostCount = 3;
constexpr logclient::ReaderSettings ReaderLimits{8, 0s, 0s, 0s};

} // namespace

World::World(std::uint64_t Seed, Workload Kind)
    : Workload_(Kind), Random_(core::seededRandom(Seed)) {
  Hosts_.resize(HostCount);
  for (std::size_t I = 0; I < HostCount; ++I) {
    Hosts_[I].Name_ = "e" + std::to_string(I + 1);
    reset(Hosts_[I], ++LastIncarnation_);
  }
  Agents_["a"];
  Agents_["b"];
}

void World::fail(const std::string &Message) {
  if (Failure_.empty())
    Failure_ = Message;
}

void World::expect(bool Condition, const std::string &Message) {
  if (!Condition)
    fail(Message);
}

bool World::chance(unsigned Percent) {
  return core::randomBelow(Random_, 100) < Percent;
}

core::Duration World::randomDuration(core::Duration Bound) {
  return core::Duration(core::randomBelow(
      Random_, static_cast<std::uint64_t>(Bound.count()) + 1));
}

void World::runAfter(core::Duration Delay, std::function<void()> Action) {
  PendingActions_.emplace(Now_ + Delay, std::move(Action));
}

void World::advanceTime(core::Duration By) {
  const core::TimePoint To = Now_ + By;
  while (!PendingActions_.empty() && PendingActions_.begin()->first <= To) {
    Now_ = std::max(Now_, PendingActions_.begin()->first);
    auto Action = std::move(PendingActions_.begin()->second);
    PendingActions_.erase(PendingActions_.begin());
    Action();
  }
  Now_ = To;
  for (auto &[Domain, Agent] : Agents_)
    if (Agent.NextHeartbeatAt_ <= Now_)
      sendHeartbeats(Domain, Agent);
}

std::string World::run(unsigned Steps) {
  for (unsigned I = 0; I < Steps && Failure_.empty(); ++I) {
    advanceTime(randomDuration(60ms));
    Host &Chosen = randomHost();
    if (Now_ >= Chosen.PausedUntil_)
      stepHost(Chosen);
    if (Workload_ == Workload::DomainChanges)
      runDomainOperation();
    else if (chance(50))
      runOperation();
    if (chance(Workload_ == Workload::DomainChanges ? 1 : 4))
      injectFault();
    expect(Oracle_.failure().empty(), Oracle_.failure());
  }
  if (Failure_.empty())
    heal();
  if (Failure_.empty())
    checkFinalState();
  return Failure_;
}

core::Offset World::appendEntry(std::string Bytes) {
  Entries_.push_back(std::move(Bytes));
  Oracle_.applyEntry(Entries_.size() - 1, Entries_.back(), Now_);
  applyRetention();
  return Entries_.size() - 1;
}

void World::applyRetention() {
  if (Entries_.size() > RetainedEntries)
    First_ = std::max(First_, Entries_.size() - RetainedEntries);
}

bool World::reachesLog(const Host &From) const {
  return !Outage_ && Now_ >= From.PartitionedUntil_;
}

absl::StatusOr<logclient::ReadResult>
World::read(const Host &By, core::Offset From, std::size_t Max) {
  if (!reachesLog(By))
    return core::makeError(absl::StatusCode::kUnavailable, "read", "log", "");
  if (From < First_)
    return logclient::outOfRange(First_, "log");
  logclient::ReadResult Result;
  Result.First_ = First_;
  Result.Next_ = From;
  while (Result.Next_ < Entries_.size() && Result.Entries_.size() < Max) {
    Result.Entries_.push_back({Result.Next_, Entries_[Result.Next_]});
    ++Result.Next_;
  }
  Result.AtTail_ = Result.Entries_.size() < Max;
  return Result;
}

void World::send(Host &From, const model::Batch &Entry) {
  AppendFault Fault = AppendFault::None;
  if (!FaultsDisabled_ && LastFault_ != AppendFault::None && chance(50))
    Fault = LastFault_;
  else if (!FaultsDisabled_ && chance(25))
    Fault =
        static_cast<AppendFault>(core::randomBelow(Random_, AppendFaultCount));
  LastFault_ = Fault;
  if (!reachesLog(From))
    Fault = chance(50) ? AppendFault::NotSent : AppendFault::LostBeforeEffect;
  ++Counts_["append fault " + std::to_string(static_cast<int>(Fault))];
  const core::Duration ToLog = randomDuration(30ms);
  const core::Duration Back = Fault == AppendFault::Slow
                                  ? 2s + randomDuration(1s)
                                  : randomDuration(30ms);
  const bool Late = Fault == AppendFault::LateEffect;
  auto Effect = std::make_shared<std::optional<core::Offset>>();
  if (Fault != AppendFault::NotSent && Fault != AppendFault::LostBeforeEffect)
    runAfter(Late ? ToLog + randomDuration(4s) : ToLog,
             [this, Effect, Bytes = wire::encode(Entry)] {
               if (!Outage_)
                 *Effect = appendEntry(Bytes);
             });
  const bool Lost = Late || Fault == AppendFault::LostAfterEffect;
  Host *Sender = &From;
  runAfter(ToLog + Back, [this, Sender, Effect, Lost, Fault,
                          Incarnation = From.Incarnation_] {
    if (!Sender->Up_ || Sender->Incarnation_ != Incarnation)
      return;
    absl::StatusOr<core::Offset> Outcome = core::makeError(
        absl::StatusCode::kUnavailable,
        Fault == AppendFault::NotSent ? "connect" : "exchange", "log", "");
    if (Effect->has_value() && !Lost)
      Outcome = **Effect;
    logclient::finishAppend(Sender->Appender_, Outcome, Random_, Now_);
  });
}

void World::crash(Host &Target) {
  ++Counts_["crash"];
  reset(Target, ++LastIncarnation_);
  Target.Up_ = false;
  Host *Again = &Target;
  runAfter(randomDuration(3s), [Again] { Again->Up_ = true; });
}

void World::stepHost(Host &Target) {
  if (!Target.Up_)
    return;
  if (!Target.Reader_)
    start(Target);
  if (!Target.Reader_)
    return;
  readStep(Target);
  if (Target.Started_) {
    if (reachesLog(Target))
      Target.Snapshot_.First_ = First_;
    Target.Snapshot_.Next_ = Target.State_.NextOffset_;
    Target.Snapshot_.Rank_ = static_cast<unsigned>(&Target - Hosts_.data());
    if (logclient::snapshotDue(Policy, Target.Snapshot_)) {
      auto Snapshot = logclient::makeSnapshot(Policy, Target.State_);
      Target.Snapshot_.Pending_ = true;
      Target.SnapshotId_ = submit(Target, std::move(*Snapshot));
    }
  }
  if (auto Entry = logclient::startAppend(Target.Appender_, Now_))
    send(Target, *Entry);
  collectReports(Target);
}

logclient::StartPeers World::startPeersFor(Host &Target) {
  auto Reached = std::make_shared<std::vector<const Host *>>();
  logclient::StartPeers Peers;
  Peers.AtLeast_ = [this, &Target, Reached] {
    Target.MinOffset_ = std::max(Target.MinOffset_, Target.State_.NextOffset_);
    for (Host &Peer : Hosts_) {
      if (&Peer == &Target || !Peer.Started_ || Now_ < Peer.PausedUntil_)
        continue;
      Reached->push_back(&Peer);
      if (chance(80))
        Target.MinOffset_ =
            std::max(Target.MinOffset_, Peer.State_.NextOffset_);
    }
    return Target.MinOffset_;
  };
  Peers.States_ = [Reached](core::Offset AtLeast) {
    std::map<model::NodeName, model::ControlState> States;
    for (const Host *Peer : *Reached)
      if (Peer->State_.NextOffset_ >= AtLeast)
        States[Peer->Name_] = *wire::decodeState(wire::encode(Peer->State_));
    return States;
  };
  return Peers;
}

void World::adoptState(Host &Target, const logclient::StartPoint &Point) {
  Target.State_ = Point.State_;
  Target.Snapshot_.Covered_ = Point.From_;
  for (const Host &Peer : Hosts_)
    if (Peer.Name_ == Point.Peer_)
      Target.Snapshot_.Covered_ = Peer.Snapshot_.Covered_;
}

void World::start(Host &Target) {
  logclient::LogService Log;
  Log.Read_ = [&](core::Offset From, std::size_t Max, core::Duration) {
    return read(Target, From, Max);
  };
  auto Found = logclient::findBestStart(Log, ReaderLimits.MaxEntries_,
                                        startPeersFor(Target));
  if (!Found.ok())
    return;
  ++Counts_[Found->Peer_.empty() ? "start from log" : "start from peer"];
  adoptState(Target, *Found);
  Target.Reader_ = std::make_unique<logclient::ReaderState>(Found->From_);
  if (Found->Peer_.empty())
    return;
  Target.Started_ = true;
  checkFold(Target);
  recordObservedVersions(Target);
}

void World::readStep(Host &Target) {
  if (!Target.PendingRead_ && chance(50)) {
    Target.PendingRead_ = PendingRead{
        Now_, read(Target, Target.Reader_->Next_, ReaderLimits.MaxEntries_)};
    return;
  }
  auto Prepared = std::exchange(Target.PendingRead_, std::nullopt);
  core::Clock Time{[&] { return Prepared ? Prepared->StartedAt_ : Now_; }};
  logclient::LogService Log;
  Log.Read_ = [&](core::Offset From, std::size_t Max, core::Duration) {
    if (!Prepared)
      return read(Target, From, Max);
    auto Result = std::move(Prepared->Result_);
    Prepared.reset();
    return Result;
  };
  logclient::ReaderEvents Events;
  Events.OnBatch_ = [&](core::Offset At, const model::Batch &Entry) {
    applyBatch(Target, At, Entry);
  };
  Events.OnTail_ = [&](core::TimePoint Began) {
    logclient::noteTail(Target.Appender_, Began, Random_, Now_);
    if (Target.State_.NextOffset_ >= Target.MinOffset_)
      Target.Started_ = true;
  };
  Events.FindStart_ = [&] {
    return logclient::findBestStart(Log, ReaderLimits.MaxEntries_,
                                    startPeersFor(Target));
  };
  Events.OnRestart_ = [&](const logclient::StartPoint &Point) {
    ++Counts_[Point.Peer_.empty() ? "restart from snapshot"
                                  : "restart from peer"];
    expect(Point.State_.NextOffset_ >= Target.State_.NextOffset_,
           "a restart moved the state to an earlier offset");
    adoptState(Target, Point);
    Target.Snapshot_.Pending_ = false;
    auto Own = Target.State_.LastSequences_.find(Target.Incarnation_);
    if (Own != Target.State_.LastSequences_.end())
      logclient::noteRestart(Target.Appender_, Own->second);
    checkFold(Target);
  };
  const bool Read =
      logclient::readOnce(*Target.Reader_, Log, ReaderLimits, Events, Time);
  if (!Read && reachesLog(Target) && Target.Reader_->Next_ < First_)
    ++Counts_["no start point after retention"];
  if (Target.Started_)
    recordObservedVersions(Target);
}

void World::applyBatch(Host &Target, core::Offset At,
                       const model::Batch &Entry) {
  for (const model::Record &Change : Entry) {
    const auto Result = model::applyRecord(Target.State_, Change, At);
    if (Change.Id_.Writer_ == Target.Incarnation_)
      onOwnVerdict(Target, Change, Result);
    if (const auto *Taken = std::get_if<model::SnapshotTaken>(&Change.Body_))
      if (Result.Accepted_)
        Target.Snapshot_.Covered_ = Taken->LastIncludedOffset_ + 1;
  }
  logclient::noteBatch(Target.Appender_, At, Entry);
  if (chance(25))
    checkFold(Target);
}

void World::collectReports(Host &Target) {
  for (const auto &Report : std::exchange(Target.Appender_.Reports_, {})) {
    Reports_[Report.Id_].push_back(Report);
    if (Report.Id_ == Target.SnapshotId_)
      Target.Snapshot_.Pending_ = false;
    ++Counts_["report " + std::to_string(static_cast<int>(Report.Outcome_))];
  }
}

void World::recordObservedVersions(const Host &Target) {
  const std::string Process =
      Target.Name_ + "/" + std::to_string(Target.Incarnation_);
  auto Add = [&](const std::string &Item, core::Version Version) {
    auto [Last, First] = ObservedVersions_.emplace(Process + Item, Version);
    if (!EnforceBounds_ && !First && Last->second == Version)
      return;
    Last->second = Version;
    (EnforceBounds_ ? EventsAfterHeal_ : Events_)
        .push_back({Now_, Process, history::ConfigObserved{Item, Version, ""}});
  };
  Add("routes", Target.State_.RoutesVersion_);
  Add("pools", Target.State_.PoolsVersion_);
  for (const auto &[Domain, Known] : Target.State_.Domains_)
    Add(domainItem(Domain), Known.Version_);
}

void World::checkFold(const Host &Target) {
  const auto Right = Oracle_.digestAt(Target.State_.NextOffset_);
  expect(Target.State_.NextOffset_ == 0 ||
             (Right && *Right == Oracle::digest(Target.State_)),
         Target.Name_ + " differs from the expected state at offset " +
             std::to_string(Target.State_.NextOffset_));
}

void World::heal() {
  Outage_ = false;
  FaultsDisabled_ = true;
  for (Host &Each : Hosts_)
    Each.PausedUntil_ = Each.PartitionedUntil_ = Now_;
  auto StepAll = [this](unsigned Times) {
    for (unsigned I = 0; I < Times; ++I) {
      advanceTime(25ms);
      for (Host &Each : Hosts_)
        stepHost(Each);
    }
  };
  StepAll(400);
  // From here on every host must apply each change within the regular bound.
  EnforceBounds_ = true;
  for (Host &Each : Hosts_)
    publish(Each, Each.State_.RoutesVersion_, Each.State_.PoolsVersion_);
  StepAll(250);
}

void World::checkFinalState() {
  for (const Host &Each : Hosts_) {
    expect(Each.Started_, Each.Name_ + " did not start");
    expect(Each.State_.NextOffset_ == Oracle_.state().NextOffset_,
           Each.Name_ + " did not reach the end of the log");
    checkFold(Each);
    expect(Each.Appender_.Queue_.empty() && Each.Appender_.Flight_.empty() &&
               Each.Appender_.Bytes_ == 0,
           Each.Name_ + " has records that were never reported");
  }
  for (const auto &[Id, All] : Reports_) {
    const std::string Name = "record " + core::toString(Id);
    expect(All.size() == 1, Name + " was reported twice");
    auto Place = Oracle_.recordOffsets().find(Id);
    const bool Present = Place != Oracle_.recordOffsets().end();
    if (All[0].Outcome_ == logclient::AppendOutcome::Refused)
      expect(!Present, Name + " was refused, but is in the log");
    if (All[0].Outcome_ == logclient::AppendOutcome::Appended)
      expect(Present && Place->second.count(All[0].At_) == 1 &&
                 Oracle_.isApplied(Id),
             Name + " is not at its reported offset, or was never applied");
  }
  auto Check = [this](std::vector<history::Event> Events,
                      const history::Bounds &Limits) {
    Events.insert(Events.end(), Oracle_.events().begin(),
                  Oracle_.events().end());
    const auto Run = history::makeHistory(std::move(Events), false);
    const auto Found = history::checkAll(Run, Limits);
    if (!Found.empty())
      fail(history::describe(Run, Found));
  };
  history::Bounds Late;
  // Hosts that are paused or partitioned from the log apply changes late.
  Late.ConfigInForce_ = 24h;
  Check(Events_, Late);
  Check(EventsAfterHeal_, history::Bounds());
}

} // namespace nutmegwell::schedules
