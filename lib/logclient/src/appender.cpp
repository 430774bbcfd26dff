#include "nutmegwell/logclient/appender.h"

#include "nutmegwell/wire/binary.h"
#include <utility>

namespace nutmegwell::logclient {

Appender::Appender(LogService Log, core::Incarnation Writer,
                   const AppenderSettings &Settings, AppenderEvents Events,
                   core::Clock Time, core::Random Jitter)
    : Log_(std::move(Log)), Events_(std::move(Events)), Time_(std::move(Time)),
      Jitter_(std::move(Jitter)) {
  State_.Settings_ = Settings;
  State_.Writer_ = Writer;
  AppendThread_ = std::thread([this] { runAppends(); });
  DecisionThread_ = std::thread([this] { runDecisions(); });
}

Appender::~Appender() { stop(); }

absl::StatusOr<core::RecordId> Appender::submit(model::RecordBody Body,
                                                core::Duration Timeout) {
  absl::StatusOr<core::RecordId> Id;
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Id = logclient::submit(State_, std::move(Body), Time_.Now_() + Timeout);
  }
  Changed_.notify_one();
  return Id;
}

absl::Status Appender::submit(model::Record Record, core::Duration Timeout) {
  absl::Status Queued;
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Queued =
        logclient::submit(State_, std::move(Record), Time_.Now_() + Timeout);
  }
  Changed_.notify_one();
  return Queued;
}

void Appender::noteBatch(core::Offset At, const model::Batch &Batch) {
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    logclient::noteBatch(State_, At, Batch);
  }
  Changed_.notify_one();
}

void Appender::noteTail(core::TimePoint ReadStartedAt) {
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    logclient::noteTail(State_, ReadStartedAt, Jitter_, Time_.Now_());
  }
  Changed_.notify_one();
}

void Appender::noteRestart(const model::ControlState &State) {
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    auto Known = State.LastSequences_.find(State_.Writer_);
    if (Known != State.LastSequences_.end())
      logclient::noteRestart(State_, Known->second);
  }
  Changed_.notify_one();
}

bool Appender::available() const {
  std::lock_guard<std::mutex> Lock(Mutex_);
  return State_.Available_;
}

void Appender::stop() {
  {
    std::lock_guard<std::mutex> Lock(Mutex_);
    Stopping_ = true;
  }
  BatchReady_.notify_all();
  Changed_.notify_all();
  if (AppendThread_.joinable())
    AppendThread_.join();
  if (DecisionThread_.joinable())
    DecisionThread_.join();
}

void Appender::runAppends() {
  std::unique_lock<std::mutex> Lock(Mutex_);
  while (true) {
    BatchReady_.wait(Lock, [this] { return Stopping_ || Outgoing_; });
    if (!Outgoing_)
      return;
    model::Batch Batch = std::move(*Outgoing_);
    Outgoing_.reset();
    Lock.unlock();
    auto Outcome = Log_.Append_(wire::encode(Batch));
    Lock.lock();
    finishAppend(State_, Outcome, Jitter_, Time_.Now_());
    Changed_.notify_one();
  }
}

void Appender::runDecisions() {
  std::unique_lock<std::mutex> Lock(Mutex_);
  while (!Stopping_ || State_.Phase_ == AppendPhase::InFlight) {
    if (auto Batch =
            Stopping_ ? std::nullopt : startAppend(State_, Time_.Now_())) {
      Outgoing_ = std::move(Batch);
      BatchReady_.notify_one();
    }
    expire(State_, Time_.Now_());
    deliverEvents(Lock);
    // deliverEvents releases the lock, so the state is checked again. The lock
    // is then held until the wait, so that no notification is missed.
    if (Stopping_ && State_.Phase_ != AppendPhase::InFlight)
      break;
    if (!State_.Reports_.empty() || ReportedAvailable_ != State_.Available_)
      continue;
    auto Due = nextDue(State_);
    if (Due && *Due <= Time_.Now_())
      continue;
    if (Due)
      Changed_.wait_until(Lock, *Due);
    else
      Changed_.wait(Lock);
  }
  closeAppender(State_);
  deliverEvents(Lock);
}

void Appender::deliverEvents(std::unique_lock<std::mutex> &Lock) {
  while (!State_.Reports_.empty() || ReportedAvailable_ != State_.Available_) {
    auto Reports = std::exchange(State_.Reports_, {});
    const bool Available = State_.Available_;
    const bool Changed =
        std::exchange(ReportedAvailable_, Available) != Available;
    Lock.unlock();
    for (const AppendReport &Report : Reports)
      if (Events_.OnReport_)
        Events_.OnReport_(Report);
    if (Changed && Events_.OnAvailable_)
      Events_.OnAvailable_(Available);
    Lock.lock();
  }
}

} // namespace nutmegwell::logclient
