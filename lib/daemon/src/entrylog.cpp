#include "entrylog.h"

#include "nutmegwell/settings/logging.h"
#include "statetransfer.h"

namespace nutmegwell::daemon {

namespace {

/// A record that could not be sent to the log within this time is refused.
constexpr auto AppendTimeout = std::chrono::seconds(4);
constexpr auto StartRetryInterval = std::chrono::milliseconds(500);
constexpr std::size_t StartReadEntries = 256;
constexpr auto PeerTimeout = std::chrono::seconds(5);

/// Must be called after the state was posted to the control loop. Queries queue
/// behind it, so a query sent after this log line is answered from that state.
void logPeerState(const logclient::StartPoint &Start) {
  settings::logStateChange(
      "state_from_peer",
      {{"peer", Start.Peer_}, {"next", std::to_string(Start.From_)}});
}

} // namespace

EntryLog::EntryLog(logclient::LogService Log, core::Incarnation Incarnation,
                   const logclient::AppenderSettings &Settings,
                   std::vector<net::Address> Peers, EntryMetrics &Metrics)
    : Log_(trackReads(std::move(Log), ReadStats_)), Peers_(std::move(Peers)),
      Metrics_(Metrics),
      Appender_(Log_, Incarnation, Settings, appenderEvents()) {}

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
        Report.Id_, Report.Outcome_ == logclient::AppendOutcome::Unknown});
  };
  return Events;
}

void EntryLog::append(std::vector<model::Record> Records) {
  for (model::Record &Record : Records) {
    core::RecordId Id = Record.Id_;
    Metrics_.Appends_.add();
    entry::ControlLoop *Control = Control_;
    if (!Appender_.submit(std::move(Record), AppendTimeout).ok() && Control)
      Control->post(entry::AppendFailed{Id, false});
  }
}

void EntryLog::start(entry::ControlLoop &Control) {
  Control_ = &Control;
  StartThread_ = std::thread([this] { startReading(); });
}

void EntryLog::startReading() {
  while (true) {
    auto Start = findStart();
    if (Start.ok())
      return readFrom(std::move(*Start));
    std::unique_lock<std::mutex> Lock(Mutex_);
    if (Changed_.wait_for(Lock, StartRetryInterval,
                          [this] { return Stopping_; }))
      return;
  }
}

/// Returns the highest next offset that this host has reached or that a peer
/// entry host has announced.
core::Offset EntryLog::highestKnownOffset() {
  core::Offset Highest = 0;
  Control_.load()->readState([&](const entry::EntryState &State) {
    Highest = State.ControlState_.NextOffset_;
    for (const auto &[Name, Peer] : State.Peers_)
      Highest = std::max(Highest, Peer.NextOffset_);
  });
  return Highest;
}

bool EntryLog::isStopping() {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return Stopping_;
}

std::map<model::NodeName, model::ControlState>
EntryLog::peerStates(core::Offset MinOffset) {
  std::map<model::NodeName, model::ControlState> States;
  for (const net::Address &Peer : Peers_) {
    if (isStopping())
      break;
    auto State = fetchState(Peer, MinOffset, PeerTimeout);
    if (State.ok())
      States.emplace(net::toString(Peer), std::move(*State));
  }
  return States;
}

absl::StatusOr<logclient::StartPoint> EntryLog::findStart() {
  return logclient::findBestStart(
      Log_, StartReadEntries,
      {[this] { return highestKnownOffset(); },
       [this](core::Offset MinOffset) { return peerStates(MinOffset); }});
}

logclient::ReaderEvents
EntryLog::readerEvents(const std::shared_ptr<CatchUpState> &CatchUp) {
  entry::ControlLoop &Control = *Control_;
  logclient::ReaderEvents Events;
  Events.OnBatch_ = [this, &Control, CatchUp](core::Offset At,
                                              const model::Batch &Batch) {
    Appender_.noteBatch(At, Batch);
    recordSnapshotSize(ReadStats_, Batch);
    if (!*CatchUp) {
      Control.postBlocking(entry::LogEntry{At, Batch});
      return;
    }
    for (const model::Record &Record : Batch)
      model::applyRecord(**CatchUp, Record, At);
    (*CatchUp)->NextOffset_ = At + 1;
  };
  Events.OnTail_ = [this, &Control, CatchUp](core::TimePoint ReadStartedAt) {
    Appender_.noteTail(ReadStartedAt);
    if (*CatchUp)
      Control.postBlocking(entry::StateInstalled{std::move(**CatchUp)});
    CatchUp->reset();
    Control.postBlocking(entry::LogTailReached{ReadStartedAt});
  };
  Events.FindStart_ = [this] { return findStart(); };
  Events.OnRestart_ = [this, &Control,
                       CatchUp](const logclient::StartPoint &Point) {
    Appender_.noteRestart(Point.State_);
    ReadStats_.SnapshotBytes_ = Point.SnapshotBytes_;
    model::ControlState Restarted = Point.State_;
    Restarted.NextOffset_ = Point.From_;
    if (*CatchUp)
      *CatchUp = std::move(Restarted);
    else
      Control.postBlocking(entry::StateInstalled{std::move(Restarted)});
    if (!Point.Peer_.empty())
      logPeerState(Point);
  };
  return Events;
}

void EntryLog::readFrom(logclient::StartPoint Start) {
  entry::ControlLoop &Control = *Control_;
  const core::Offset From = Start.From_;
  ReadStats_.SnapshotBytes_ = Start.SnapshotBytes_;
  Start.State_.NextOffset_ = From;
  auto CatchUp = std::make_shared<CatchUpState>();
  if (Start.Peer_.empty()) {
    *CatchUp = std::move(Start.State_);
  } else {
    Control.postBlocking(entry::StateInstalled{std::move(Start.State_)});
    logPeerState(Start);
  }
  logclient::ReaderEvents Events = readerEvents(CatchUp);
  std::lock_guard<std::mutex> Lock(Mutex_);
  if (Stopping_)
    return;
  Reader_ = std::make_unique<logclient::Reader>(
      Log_, From, logclient::ReaderSettings(), std::move(Events));
  SnapshotWriter_ = std::make_unique<SnapshotWriter>(Control, ReadStats_);
}

void EntryLog::stop() {
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Stopping_ = true;
  }
  Changed_.notify_all();
  if (StartThread_.joinable())
    StartThread_.join();
  SnapshotWriter_.reset();
  if (Reader_)
    Reader_->stop();
  Appender_.stop();
}

} // namespace nutmegwell::daemon
