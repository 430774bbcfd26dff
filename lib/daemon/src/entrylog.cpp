#include "entrylog.h"

#include "nutmegwell/settings/logging.h"
#include "statetransfer.h"

namespace nutmegwell::daemon {

namespace {

/// Time after which a record that was not sent is given up.
constexpr auto AppendWithin = std::chrono::seconds(4);
constexpr auto StartRetry = std::chrono::milliseconds(500);
constexpr std::size_t StartEntries = 256;
constexpr auto PeerTimeout = std::chrono::seconds(5);

/// Call after the state was given to the control loop: whoever sees the line is
/// then answered by that state, since queries wait behind it.
void logPeerState(const logclient::StartPoint &Start) {
  settings::logStateChange(
      "state_from_peer",
      {{"peer", Start.Peer_}, {"next", std::to_string(Start.From_)}});
}

} // namespace

EntryLog::EntryLog(logclient::LogService Log, core::Incarnation Process,
                   const logclient::AppenderSettings &Settings,
                   std::vector<net::Address> Peers, EntryMetrics &Metrics)
    : Log_(observeReads(std::move(Log), Progress_)), Peers_(std::move(Peers)),
      Metrics_(Metrics), Appender_(Log_, Process, Settings, appenderEvents()) {}

EntryLog::~EntryLog() { stop(); }

logclient::AppenderEvents EntryLog::appenderEvents() {
  logclient::AppenderEvents Events;
  Events.OnAvailable_ = [this](bool Available) {
    if (entry::ControlLoop *Control = Control_)
      Control->postBlocking(entry::LogAvailability{Available});
  };
  Events.OnReport_ = [this](const logclient::AppendReport &Report) {
    entry::ControlLoop *Control = Control_;
    if (Report.Outcome_ == logclient::AppendOutcome::Appended || !Control)
      return;
    Metrics_.FailedAppends_.add();
    Control->postBlocking(entry::AppendFailed{
        Report.Id_, Report.Outcome_ == logclient::AppendOutcome::InDoubt});
  };
  return Events;
}

void EntryLog::append(std::vector<model::Record> Changes) {
  for (model::Record &Change : Changes) {
    core::RecordId Id = Change.Id_;
    Metrics_.Appends_.add();
    entry::ControlLoop *Control = Control_;
    if (!Appender_.submit(std::move(Change), AppendWithin).ok() && Control)
      Control->post(entry::AppendFailed{Id, false});
  }
}

void EntryLog::start(entry::ControlLoop &Control) {
  Control_ = &Control;
  Starter_ = std::thread([this] { findState(); });
}

void EntryLog::findState() {
  while (true) {
    auto Start = findStart();
    if (Start.ok())
      return read(std::move(*Start));
    std::unique_lock<std::mutex> Lock(Mutex_);
    if (Changed_.wait_for(Lock, StartRetry, [this] { return Stopping_; }))
      return;
  }
}

/// Returns the highest offset that this host has applied or a peer entry host
/// has announced.
core::Offset EntryLog::highestKnown() {
  core::Offset Highest = 0;
  Control_.load()->readState([&](const entry::EntryState &State) {
    Highest = State.ControlState_.NextOffset_;
    for (const auto &[Name, Peer] : State.Peers_)
      Highest = std::max(Highest, Peer.NextOffset_);
  });
  return Highest;
}

bool EntryLog::stopping() {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return Stopping_;
}

std::map<model::NodeName, model::ControlState>
EntryLog::peerStates(core::Offset AtLeast) {
  std::map<model::NodeName, model::ControlState> States;
  for (const net::Address &Peer : Peers_) {
    if (stopping())
      break;
    auto State = fetchState(Peer, AtLeast, PeerTimeout);
    if (State.ok())
      States.emplace(net::toString(Peer), std::move(*State));
  }
  return States;
}

absl::StatusOr<logclient::StartPoint> EntryLog::findStart() {
  return logclient::findBestStart(
      Log_, StartEntries,
      {[this] { return highestKnown(); },
       [this](core::Offset AtLeast) { return peerStates(AtLeast); }});
}

logclient::ReaderEvents
EntryLog::readerEvents(const std::shared_ptr<CatchUp> &Behind) {
  entry::ControlLoop &Control = *Control_;
  logclient::ReaderEvents Events;
  Events.OnBatch_ = [this, &Control, Behind](core::Offset At,
                                             const model::Batch &Entry) {
    Appender_.noteBatch(At, Entry);
    noteSnapshot(Progress_, Entry);
    if (!*Behind) {
      Control.postBlocking(entry::LogEntry{At, Entry});
      return;
    }
    for (const model::Record &Change : Entry)
      model::applyRecord(**Behind, Change, At);
    (*Behind)->NextOffset_ = At + 1;
  };
  Events.OnTail_ = [this, &Control, Behind](core::TimePoint Began) {
    Appender_.noteTail(Began);
    if (*Behind)
      Control.postBlocking(entry::StateInstalled{std::move(**Behind)});
    Behind->reset();
    Control.postBlocking(entry::LogTailReached{Began});
  };
  Events.FindStart_ = [this] { return findStart(); };
  Events.OnRestart_ = [this, &Control,
                       Behind](const logclient::StartPoint &Point) {
    Appender_.noteRestart(Point.State_);
    Progress_.SnapshotBytes_ = Point.SnapshotBytes_;
    model::ControlState Restarted = Point.State_;
    Restarted.NextOffset_ = Point.From_;
    if (*Behind)
      *Behind = std::move(Restarted);
    else
      Control.postBlocking(entry::StateInstalled{std::move(Restarted)});
    if (!Point.Peer_.empty())
      logPeerState(Point);
  };
  return Events;
}

void EntryLog::read(logclient::StartPoint Start) {
  entry::ControlLoop &Control = *Control_;
  const core::Offset From = Start.From_;
  Progress_.SnapshotBytes_ = Start.SnapshotBytes_;
  Start.State_.NextOffset_ = From;
  auto Behind = std::make_shared<CatchUp>();
  if (Start.Peer_.empty()) {
    *Behind = std::move(Start.State_);
  } else {
    Control.postBlocking(entry::StateInstalled{std::move(Start.State_)});
    logPeerState(Start);
  }
  logclient::ReaderEvents Events = readerEvents(Behind);
  std::lock_guard<std::mutex> Lock(Mutex_);
  if (Stopping_)
    return;
  Reader_ = std::make_unique<logclient::Reader>(
      Log_, From, logclient::ReaderSettings(), std::move(Events));
  Snapshots_ = std::make_unique<SnapshotWriter>(Control, Progress_);
}

void EntryLog::stop() {
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Stopping_ = true;
  }
  Changed_.notify_all();
  if (Starter_.joinable())
    Starter_.join();
  Snapshots_.reset();
  if (Reader_)
    Reader_->stop();
  Appender_.stop();
}

} // namespace nutmegwell::daemon
