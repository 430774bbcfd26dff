#include "fakeworker.h"
#include <algorithm>

namespace nutmegwell::site {

namespace {

using std::chrono::milliseconds;

constexpr core::Duration TickInterval = milliseconds(10);
/// Longest lease that a worker accepts; the same as AgentPolicy::MaxLease_.
constexpr WorkerTime MaxHold(6000);

bool isCommand(const std::string &Text, const char *Prefix) {
  return Text.rfind(Prefix, 0) == 0;
}

} // namespace

FakeWorker::FakeWorker(std::string Host, std::string Domain, double ClockRate,
                       core::TimePoint Now, Recorder Record)
    : Host_(std::move(Host)), Domain_(std::move(Domain)), ClockRate_(ClockRate),
      Record_(std::move(Record)) {
  restart(Now);
}

void FakeWorker::restart(core::TimePoint Now) {
  Incarnation_ = core::wholeMilliseconds(Now.time_since_epoch()).count();
  BornAt_ = Now_ = Now;
  Sequence_ = 0;
  Draining_ = DrainNoted_ = Hanging_ = false;
  Lapsed_ = true;
  Term_ = 0;
  LeaseUntil_ = WorkerTime(0);
  Running_.clear();
  Ended_.clear();
  LastEnd_ = 0;
  Closed_.clear();
  // The restart resets all connections, so open polls get no response.
  for (const OpenLook &Look : std::exchange(Looks_, {})) {
    WorkerResponse Answer;
    Answer.Id_ = Look.Call_.Id_;
    Look.Reply_(Answer);
  }
  Record_(history::WorkerBorn{Host_, FakeWorkerAccelerators});
}

WorkerTime FakeWorker::clockAt(core::TimePoint Now) const {
  return WorkerTime(static_cast<std::int64_t>(
      ClockRate_ *
      static_cast<double>(core::wholeMilliseconds(Now - BornAt_).count())));
}

WorkerAnnouncement FakeWorker::announce(core::TimePoint Now) {
  WorkerAnnouncement Value;
  Value.Info_.Id_ = Host_;
  Value.Info_.WorkerIncarnation_ = Incarnation_;
  Value.Info_.Service_ = "service";
  Value.Info_.FailureDomain_ = Domain_;
  Value.Info_.Draining_ = Draining_;
  Value.Info_.Capacity_ = {64000, 131072, FakeWorkerAccelerators};
  Value.Info_.Rack_ = "rack-" + Domain_;
  Value.WorkerClock_ = clockAt(Now);
  Value.Sequence_ = ++Sequence_;
  return Value;
}

WorkerResponse FakeWorker::answerTo(const WorkerCall &Call,
                                    core::TimePoint Now) const {
  WorkerResponse Answer;
  Answer.Id_ = Call.Id_;
  Answer.Answered_ = true;
  Answer.WorkerClock_ = clockAt(Now);
  Answer.WorkerIncarnation_ = Incarnation_;
  return Answer;
}

bool FakeWorker::obeys(core::Term Term) {
  if (Term < Term_)
    return false;
  Term_ = Term;
  return true;
}

void FakeWorker::extend(WorkerTime Until) {
  LeaseUntil_ = std::max(LeaseUntil_, std::min(Until, clockAt(Now_) + MaxHold));
}

void FakeWorker::take(const WorkerCall &Call, bool Late, core::TimePoint Now,
                      Responder Reply) {
  Now_ = Now;
  if (std::holds_alternative<PollCall>(Call.Body_))
    return look(Call, Now, std::move(Reply));
  WorkerResponse Answer = answerTo(Call, Now);
  const auto *Start = std::get_if<StartCall>(&Call.Body_);
  const auto *Stop = std::get_if<StopCall>(&Call.Body_);
  if ((Start && !obeys(Start->Term_)) || (Stop && !obeys(Stop->Term_)))
    Answer.Refusal_ = cell::RefusalKind::Fenced;
  else if (Start)
    start(*Start, Late, Answer);
  else if (Stop)
    stop(*Stop);
  Reply(Answer);
}

void FakeWorker::look(const WorkerCall &Call, core::TimePoint Now,
                      Responder Reply) {
  const auto &Look = std::get<PollCall>(Call.Body_);
  if (!obeys(Look.Term_)) {
    WorkerResponse Answer = answerTo(Call, Now);
    Answer.Refusal_ = cell::RefusalKind::Fenced;
    return Reply(Answer);
  }
  if (Look.LeaseUntil_)
    extend(*Look.LeaseUntil_);
  for (const cell::EndedTask &End : Ended_)
    if (End.Number_ <= Look.AcknowledgedUpTo_)
      Record_(history::RunEndNoted{recorded(End.Id_), Host_});
  Ended_.erase(std::remove_if(Ended_.begin(), Ended_.end(),
                              [&](const cell::EndedTask &End) {
                                return End.Number_ <= Look.AcknowledgedUpTo_;
                              }),
               Ended_.end());
  Looks_.push_back({Call, Now + Look.Wait_, std::move(Reply)});
  answerLooks(Now);
}

void FakeWorker::answerLooks(core::TimePoint Now) {
  std::vector<OpenLook> Due;
  for (auto It = Looks_.begin(); It != Looks_.end();) {
    if (Ended_.empty() && Now < It->Until_) {
      ++It;
      continue;
    }
    Due.push_back(std::move(*It));
    It = Looks_.erase(It);
  }
  for (const OpenLook &Look : Due) {
    WorkerResponse Answer = answerTo(Look.Call_, Now);
    Answer.Runs_.emplace();
    for (const auto &[Id, Row] : Running_) {
      const double Part = static_cast<double>(Row.Worked_.count()) /
                          static_cast<double>(Row.Length_.count() + 1);
      Answer.Runs_->Running_.push_back({Id, "", 100 * Part, 0});
    }
    Answer.Runs_->Ended_ = Ended_;
    Look.Reply_(Answer);
  }
}

void FakeWorker::start(const StartCall &Call, bool Late,
                       WorkerResponse &Answer) {
  const cell::RunId &Id = Call.Order_.Id_;
  if (Running_.count(Id))
    return;
  if (Call.Deadline_ < clockAt(Now_)) {
    Answer.Refusal_ = cell::RefusalKind::Late;
    return;
  }
  extend(Call.Deadline_);
  auto Closed = Closed_.find(Id.Task_);
  if (Closed != Closed_.end() && Id.Run_ <= Closed->second) {
    Answer.Refusal_ = cell::RefusalKind::SupersededRun;
    return;
  }
  const std::string &Command = Call.Order_.Command_;
  Run Row;
  Row.Fails_ = isCommand(Command, "fail");
  Row.Length_ =
      milliseconds(std::stoi(Row.Fails_ ? Command.substr(4) : Command));
  Row.Accelerators_ = FakeTaskAccelerators;
  Running_[Id] = Row;
  Record_(history::RunStarted{recorded(Id), Host_, Domain_, Row.Accelerators_,
                              Call.Term_, Late});
}

void FakeWorker::stop(const StopCall &Call) {
  cell::RunNumber &Closed = Closed_[Call.Id_.Task_];
  Closed = std::max(Closed, Call.Id_.Run_);
  if (Running_.count(Call.Id_))
    end(Call.Id_, cell::EndKind::Stopped);
}

void FakeWorker::end(const cell::RunId &Id, cell::EndKind Kind) {
  Running_.erase(Id);
  cell::RunNumber &Closed = Closed_[Id.Task_];
  Closed = std::max(Closed, Id.Run_);
  Ended_.push_back({++LastEnd_, Id, Kind, ""});
  Record_(history::RunEnded{recorded(Id), Host_, cell::name(Kind)});
}

void FakeWorker::tick(core::TimePoint Now) {
  Now_ = Now;
  std::vector<std::pair<cell::RunId, cell::EndKind>> Over;
  for (auto &[Id, Row] : Running_) {
    Row.Worked_ += Hanging_ ? core::Duration(0) : core::Duration(TickInterval);
    if (clockAt(Now) > LeaseUntil_)
      Over.emplace_back(Id, cell::EndKind::LeaseExpired);
    else if (Row.Worked_ >= Row.Length_)
      Over.emplace_back(Id, Row.Fails_ ? cell::EndKind::Failed
                                       : cell::EndKind::Done);
  }
  for (const auto &[Id, Kind] : Over)
    end(Id, Kind);
  const bool Lapsed = clockAt(Now) > LeaseUntil_;
  if (Lapsed && !Lapsed_)
    Record_(history::WorkerLapsed{Host_});
  Lapsed_ = Lapsed;
  answerLooks(Now);
}

history::SiteRun FakeWorker::recorded(const cell::RunId &Id) const {
  return {Id.Task_.Job_, Id.Task_.Step_, Id.Task_.Index_, Id.Run_};
}

} // namespace nutmegwell::site
