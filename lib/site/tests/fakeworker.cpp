#include "fakeworker.h"
#include <algorithm>

namespace nutmegwell::site {

namespace {

using std::chrono::milliseconds;

constexpr core::Duration TickInterval = milliseconds(10);
/// Longest lease that a worker accepts; the same as AgentPolicy::MaxLease_.
constexpr WorkerTime MaxLease(6000);

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

void FakeWorker::restart(core::TimePoint Now, core::Duration SetBack) {
  Incarnation_ =
      core::wholeMilliseconds(Now.time_since_epoch() - SetBack).count();
  StartedAt_ = Now_ = Now;
  Sequence_ = 0;
  Draining_ = DrainRecorded_ = Stalled_ = false;
  LeaseExpired_ = true;
  Term_ = 0;
  LeaseUntil_ = WorkerTime(0);
  Running_.clear();
  Ended_.clear();
  LastEndNumber_ = 0;
  HighestClosedRun_.clear();
  // The restart resets all connections, so open polls get no response.
  for (const OpenPoll &Poll : std::exchange(OpenPolls_, {})) {
    WorkerResponse Response;
    Response.Id_ = Poll.Call_.Id_;
    Poll.Reply_(Response);
  }
  Record_(history::WorkerBorn{Host_, FakeWorkerAccelerators});
}

WorkerTime FakeWorker::clockAt(core::TimePoint Now) const {
  return WorkerTime(static_cast<std::int64_t>(
      ClockRate_ *
      static_cast<double>(core::wholeMilliseconds(Now - StartedAt_).count())));
}

WorkerAnnouncement FakeWorker::announce(core::TimePoint Now) {
  WorkerAnnouncement Announcement;
  Announcement.Info_.Id_ = Host_;
  Announcement.Info_.WorkerIncarnation_ = Incarnation_;
  Announcement.Info_.Service_ = "service";
  Announcement.Info_.FailureDomain_ = Domain_;
  Announcement.Info_.Draining_ = Draining_;
  if (Draining_ && LeavesAt_ > Now)
    Announcement.Info_.DrainRemaining_ = LeavesAt_ - Now;
  Announcement.Info_.Capacity_ = {64000, 131072, FakeWorkerAccelerators};
  Announcement.Info_.Rack_ = "rack-" + Domain_;
  Announcement.WorkerClock_ = clockAt(Now);
  Announcement.Sequence_ = ++Sequence_;
  return Announcement;
}

WorkerResponse FakeWorker::makeResponse(const WorkerCall &Call,
                                        core::TimePoint Now) const {
  WorkerResponse Response;
  Response.Id_ = Call.Id_;
  Response.Answered_ = true;
  Response.WorkerClock_ = clockAt(Now);
  Response.WorkerIncarnation_ = Incarnation_;
  return Response;
}

bool FakeWorker::acceptsTerm(core::Term Term) {
  if (Term < Term_)
    return false;
  Term_ = Term;
  return true;
}

void FakeWorker::extendLease(WorkerTime Until) {
  LeaseUntil_ =
      std::max(LeaseUntil_, std::min(Until, clockAt(Now_) + MaxLease));
}

void FakeWorker::handleCall(const WorkerCall &Call, bool Late,
                            core::TimePoint Now, Responder Reply) {
  Now_ = Now;
  const bool Addressed = Call.WorkerId_.empty() || Call.WorkerId_ == Host_;
  if (Addressed && std::holds_alternative<PollCall>(Call.Body_))
    return poll(Call, Now, std::move(Reply));
  WorkerResponse Response = makeResponse(Call, Now);
  const auto *Start = std::get_if<StartCall>(&Call.Body_);
  const auto *Stop = std::get_if<StopCall>(&Call.Body_);
  if (!Addressed)
    Response.Refusal_ = cell::RefusalKind::OtherIncarnation;
  else if ((Start && !acceptsTerm(Start->Term_)) ||
           (Stop && !acceptsTerm(Stop->Term_)))
    Response.Refusal_ = cell::RefusalKind::Fenced;
  else if (Start)
    start(*Start, Late, Response);
  else if (Stop)
    stop(*Stop);
  Reply(Response);
}

void FakeWorker::poll(const WorkerCall &Call, core::TimePoint Now,
                      Responder Reply) {
  const auto &Poll = std::get<PollCall>(Call.Body_);
  if (!acceptsTerm(Poll.Term_)) {
    WorkerResponse Response = makeResponse(Call, Now);
    Response.Refusal_ = cell::RefusalKind::Fenced;
    return Reply(Response);
  }
  if (Poll.LeaseUntil_)
    extendLease(*Poll.LeaseUntil_);
  for (const cell::EndedTask &End : Ended_)
    if (End.Number_ <= Poll.AcknowledgedUpTo_)
      Record_(history::RunEndNoted{historyRun(End.Id_), Host_});
  Ended_.erase(std::remove_if(Ended_.begin(), Ended_.end(),
                              [&](const cell::EndedTask &End) {
                                return End.Number_ <= Poll.AcknowledgedUpTo_;
                              }),
               Ended_.end());
  OpenPolls_.push_back({Call, Now + Poll.Wait_, std::move(Reply)});
  answerDuePolls(Now);
}

void FakeWorker::answerDuePolls(core::TimePoint Now) {
  std::vector<OpenPoll> Due;
  for (auto It = OpenPolls_.begin(); It != OpenPolls_.end();) {
    if (Ended_.empty() && Now < It->Until_) {
      ++It;
      continue;
    }
    Due.push_back(std::move(*It));
    It = OpenPolls_.erase(It);
  }
  for (const OpenPoll &Poll : Due) {
    WorkerResponse Response = makeResponse(Poll.Call_, Now);
    Response.Runs_.emplace();
    for (const auto &[Id, Row] : Running_) {
      const double Part = static_cast<double>(Row.Progress_.count()) /
                          static_cast<double>(Row.RunTime_.count() + 1);
      Response.Runs_->Running_.push_back({Id, "", 100 * Part, 0});
    }
    const auto Listed = std::min(Ended_.size(), FakeListedEnds);
    Response.Runs_->Ended_.assign(Ended_.begin(), Ended_.begin() + Listed);
    Response.Runs_->EndsComplete_ = Listed < FakeListedEnds;
    Poll.Reply_(Response);
  }
}

void FakeWorker::start(const StartCall &Call, bool Late,
                       WorkerResponse &Response) {
  const cell::RunId &Id = Call.Order_.Id_;
  if (Running_.count(Id))
    return;
  if (Call.Deadline_ < clockAt(Now_)) {
    Response.Refusal_ = cell::RefusalKind::Late;
    return;
  }
  extendLease(Call.Deadline_);
  auto Closed = HighestClosedRun_.find(Id.Task_);
  if (Closed != HighestClosedRun_.end() && Id.Run_ <= Closed->second) {
    Response.Refusal_ = cell::RefusalKind::SupersededRun;
    return;
  }
  const std::string &Command = Call.Order_.Command_;
  Run Row;
  Row.Fails_ = isCommand(Command, "fail");
  Row.RunTime_ =
      milliseconds(std::stoi(Row.Fails_ ? Command.substr(4) : Command));
  Row.Accelerators_ = FakeTaskAccelerators;
  Running_[Id] = Row;
  Record_(history::RunStarted{historyRun(Id), Host_, Domain_, Row.Accelerators_,
                              Call.Term_, Late});
}

void FakeWorker::stop(const StopCall &Call) {
  cell::RunNumber &Closed = HighestClosedRun_[Call.Id_.Task_];
  Closed = std::max(Closed, Call.Id_.Run_);
  if (Running_.count(Call.Id_))
    endRun(Call.Id_, cell::EndKind::Stopped);
}

void FakeWorker::endRun(const cell::RunId &Id, cell::EndKind Kind) {
  Running_.erase(Id);
  cell::RunNumber &Closed = HighestClosedRun_[Id.Task_];
  Closed = std::max(Closed, Id.Run_);
  Ended_.push_back({++LastEndNumber_, Id, Kind, ""});
  Record_(history::RunEnded{historyRun(Id), Host_, cell::name(Kind)});
}

void FakeWorker::advance(core::TimePoint Now) {
  Now_ = Now;
  std::vector<std::pair<cell::RunId, cell::EndKind>> Ending;
  for (auto &[Id, Row] : Running_) {
    Row.Progress_ +=
        Stalled_ ? core::Duration(0) : core::Duration(TickInterval);
    if (clockAt(Now) > LeaseUntil_)
      Ending.emplace_back(Id, cell::EndKind::LeaseExpired);
    else if (Row.Progress_ >= Row.RunTime_)
      Ending.emplace_back(Id, Row.Fails_ ? cell::EndKind::Failed
                                         : cell::EndKind::Done);
  }
  for (const auto &[Id, Kind] : Ending)
    endRun(Id, Kind);
  const bool Lapsed = clockAt(Now) > LeaseUntil_;
  if (Lapsed && !LeaseExpired_)
    Record_(history::WorkerLapsed{Host_});
  LeaseExpired_ = Lapsed;
  answerDuePolls(Now);
}

history::SiteRun FakeWorker::historyRun(const cell::RunId &Id) const {
  return {Id.Task_.Job_, Id.Task_.Step_, Id.Task_.Index_, Id.Run_};
}

} // namespace nutmegwell::site
