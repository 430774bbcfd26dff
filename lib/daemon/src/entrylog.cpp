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
      Control->postWait(entry::LogAvailability{Available});
  };
  Events.OnReport_ = [this](const logclient::AppendReport &Report) {
    entry::ControlLoop *Control = Control_;
    if (Report.Outcome_ == logclient::AppendOutcome::Appended || !Control)
      return;
    Metrics_.FailedAppends_.add();
    Control->postWait(entry::AppendFailed{
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
  while (!startFromLog() && !startFromPeer()) {
    std::unique_lock<std::mutex> Lock(Mutex_);
    if (Changed_.wait_for(Lock, StartRetry, [this] { return Stopping_; }))
      return;
  }
}

/// Returns the highest offset that a peer entry host has announced.
core::Offset EntryLog::highestKnown() {
  core::Offset Highest = 0;
  Control_.load()->query([&](const entry::EntryState &State) {
    for (const auto &[Name, Peer] : State.Peers_)
      Highest = std::max(Highest, Peer.Next_);
  });
  return Highest;
}

bool EntryLog::startFromLog() {
  auto Start = logclient::findStart(Log_, StartEntries);
  if (!Start.ok())
    return false;
  Progress_.SnapshotBytes_ = Start->SnapshotBytes_;
  read(std::move(Start->State_), Start->From_);
  return true;
}

bool EntryLog::startFromPeer() {
  const core::Offset AtLeast = highestKnown();
  for (const net::Address &Peer : Peers_) {
    auto State = fetchState(Peer, AtLeast, PeerTimeout);
    if (!State.ok())
      continue;
    const core::Offset From = State->Next_;
    read(std::move(*State), From);
    // Whoever sees this line is answered and routed by that state: queries wait
    // in the control queue behind it.
    settings::logStateChange(
        "state_from_peer",
        {{"peer", net::toString(Peer)}, {"next", std::to_string(From)}});
    return true;
  }
  return false;
}

void EntryLog::read(model::ControlState State, core::Offset From) {
  entry::ControlLoop &Control = *Control_;
  State.Next_ = From;
  Control.postWait(entry::LogReplaced{std::move(State)});
  logclient::ReaderEvents Events;
  Events.OnBatch_ = [this, &Control](core::Offset At,
                                     const model::Batch &Entry) {
    Appender_.noteBatch(At, Entry);
    noteSnapshot(Progress_, Entry);
    Control.postWait(entry::LogEntry{At, Entry});
  };
  Events.OnTail_ = [this, &Control](core::TimePoint Began) {
    Appender_.noteTail(Began);
    Control.postWait(entry::LogTail{Began});
  };
  Events.OnRestart_ = [this, &Control](const logclient::StartPoint &Point) {
    Appender_.noteRestart(Point.State_);
    Progress_.SnapshotBytes_ = Point.SnapshotBytes_;
    model::ControlState Restarted = Point.State_;
    Restarted.Next_ = Point.From_;
    Control.postWait(entry::LogReplaced{std::move(Restarted)});
  };
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
