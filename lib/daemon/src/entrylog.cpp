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
                   std::vector<net::Address> Peers, EntryMetrics &Metrics)
    : Log_(observeReads(std::move(Log), Progress_)), Peers_(std::move(Peers)),
      Metrics_(Metrics), Appender_(Log_, Process, logclient::AppenderSettings(),
                                   appenderEvents()) {}

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
  read(std::move(Start->State_), Start->From_, true);
  return true;
}

bool EntryLog::startFromPeer() {
  const core::Offset AtLeast = highestKnown();
  for (const net::Address &Peer : Peers_) {
    auto State = fetchState(Peer, AtLeast, PeerTimeout);
    if (!State.ok())
      continue;
    settings::logStateChange("state_from_peer",
                             {{"peer", net::toString(Peer)},
                              {"next", std::to_string(State->Next_)}});
    const core::Offset From = State->Next_;
    read(std::move(*State), From, false);
    return true;
  }
  return false;
}

logclient::ReaderEvents
EntryLog::readerEvents(const std::shared_ptr<CatchUp> &Behind) {
  entry::ControlLoop &Control = *Control_;
  logclient::ReaderEvents Events;
  Events.OnBatch_ = [this, &Control, Behind](core::Offset At,
                                             const model::Batch &Entry) {
    Appender_.noteBatch(At, Entry);
    if (!*Behind) {
      Control.postWait(entry::LogEntry{At, Entry});
      return;
    }
    for (const model::Record &Change : Entry)
      model::apply(**Behind, Change, At);
    (*Behind)->Next_ = At + 1;
  };
  Events.OnTail_ = [this, &Control, Behind](core::TimePoint Began) {
    Appender_.noteTail(Began);
    if (*Behind)
      Control.postWait(entry::LogReplaced{std::move(**Behind)});
    Behind->reset();
    Control.postWait(entry::LogTail{Began});
  };
  Events.OnRestart_ = [this, &Control,
                       Behind](const logclient::StartPoint &Point) {
    Appender_.noteRestart(Point.State_);
    model::ControlState Restarted = Point.State_;
    Restarted.Next_ = Point.From_;
    if (*Behind)
      *Behind = std::move(Restarted);
    else
      Control.postWait(entry::LogReplaced{std::move(Restarted)});
  };
  return Events;
}

void EntryLog::read(model::ControlState State, core::Offset From,
                    bool UpToTail) {
  entry::ControlLoop &Control = *Control_;
  State.Next_ = From;
  auto Behind = std::make_shared<CatchUp>();
  if (UpToTail)
    *Behind = std::move(State);
  else
    Control.postWait(entry::LogReplaced{std::move(State)});
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
