#include "nutmegwell/wire/binary.h"
#include "world.h"

namespace nutmegwell::schedules {

using namespace std::chrono_literals;

namespace {

constexpr core::Duration CellLeaseLength = 6s;
constexpr core::Duration PermitLength = 2s;
constexpr core::Duration HeartbeatInterval = 500ms;
constexpr core::JobId FirstJob{1, 1};
constexpr std::uint64_t JobCount = 12;
constexpr std::uint64_t KeyCount = 6;

model::DomainName domainName(std::uint64_t Number) {
  return Number % 2 == 0 ? "a" : "b";
}

} // namespace

Host &World::randomHost() {
  return Hosts_[core::randomBelow(Random_, Hosts_.size())];
}

core::RecordId World::submit(Host &From, model::RecordBody Body) {
  auto Id = logclient::submit(From.Appender_, std::move(Body),
                              Now_ + 500ms + randomDuration(5s));
  if (!Id.ok()) {
    ++Counts_["queue full"];
    return {};
  }
  ++Counts_["submit"];
  return *Id;
}

void World::runOperation() {
  Host &By = randomHost();
  if (!By.Started_ || Now_ < By.PausedUntil_)
    return;
  switch (core::randomBelow(Random_, 8)) {
  case 0: {
    // Two operators publish for the same expected version.
    Host &Other = randomHost();
    publish(By, By.State_.RoutesVersion_, By.State_.PoolsVersion_);
    if (Other.Started_)
      publish(Other, By.State_.RoutesVersion_, By.State_.PoolsVersion_);
    break;
  }
  case 1:
    changeDomain(By);
    break;
  case 2:
  case 3:
    changeCell(By);
    break;
  case 4:
  case 5:
    changeJob(By);
    break;
  default:
    recordIntent(By);
  }
}

void World::partitionFromLog(Host &Target) {
  ++Counts_["log partition"];
  Target.PartitionedUntil_ = Now_ + randomDuration(8s);
}

void World::runDomainOperation() {
  Host &By = randomHost();
  if (!By.Started_ || Now_ < By.PausedUntil_)
    return;
  if (chance(20))
    changeCell(By);
  if (chance(50))
    changeJob(By);
  if (chance(2))
    partitionFromLog(By);
  // Domains return to service soon, so that tasks start there.
  for (const auto &[Domain, Known] : By.State_.Domains_)
    if (!Known.InService_ && chance(5))
      submit(By, model::DomainChanged{Known.Version_, Domain, true});
  if (chance(2)) {
    const auto Domain = domainName(core::randomBelow(Random_, 2));
    auto Known = By.State_.Domains_.find(Domain);
    submit(By, model::DomainChanged{Known == By.State_.Domains_.end()
                                        ? 0
                                        : Known->second.Version_,
                                    Domain, false});
  }
}

void World::publish(Host &By, core::Version RoutesExpected,
                    core::Version PoolsExpected) {
  model::PoolRow Pool{"p", "acc", "svc", "a"};
  Pool.AcceleratorLimit_ =
      static_cast<std::uint32_t>(core::randomBelow(Random_, 9));
  model::RouteRow Route;
  Route.PathPrefix_ = "/" + std::to_string(++NextId_);
  Route.Service_ = chance(90) ? "svc" : "unknown";
  submit(By, model::PoolsPublished{PoolsExpected, {{Pool}}});
  submit(By, model::RoutesPublished{RoutesExpected, {{Route}}});
}

void World::changeDomain(Host &By) {
  const auto Domain = domainName(core::randomBelow(Random_, 2));
  auto Known = By.State_.Domains_.find(Domain);
  const core::Version Expected =
      Known == By.State_.Domains_.end() ? 0 : Known->second.Version_;
  submit(By, model::DomainChanged{Expected, Domain, chance(50)});
}

void World::changeCell(Host &By) {
  const auto Domain = domainName(core::randomBelow(Random_, 2));
  auto Cell = By.State_.Cells_.find(Domain);
  const core::Term InForce =
      Cell == By.State_.Cells_.end() ? 0 : Cell->second.Term_;
  const core::Term Own = By.ownTerm(Domain);
  core::RecordId Id;
  if (Own == 0) {
    Id = submit(
        By, model::CellClaimed{Domain, InForce + 1, By.Name_, By.Incarnation_});
    // Commits a job without waiting for the verdict on the claim.
    auto Job = By.State_.Jobs_.find(FirstJob);
    if (chance(40) && Job != By.State_.Jobs_.end())
      submit(By,
             model::JobCommitted{
                 FirstJob, Job->second.Attempt_ + 1, Domain, InForce + 1, {}});
  } else if (chance(10)) {
    submit(By, model::CellReleased{Domain, Own});
    By.LeaseEnds_.erase(Domain);
  } else {
    Id = submit(By, model::CellRenewed{Domain, Own});
  }
  if (Id.valid())
    By.PendingLeaseRecords_[Id] = {Domain, Now_};
}

void World::changeJob(Host &Chosen) {
  // Prefers a host that holds a cell, so that tasks start, but sometimes
  // lets another host act.
  Host *Actor = &Chosen;
  for (Host &Each : Hosts_)
    if (Each.Started_ && Now_ >= Each.PausedUntil_ && chance(70) &&
        (Each.ownTerm("a") != 0 || Each.ownTerm("b") != 0))
      Actor = &Each;
  Host &By = *Actor;
  const core::JobId Id{1, 1 + core::randomBelow(Random_, JobCount)};
  auto Known = By.State_.Jobs_.find(Id);
  if (Known == By.State_.Jobs_.end()) {
    submit(By, model::JobSubmitted{Id, model::JobSpec()});
    return;
  }
  const model::Job &Job = Known->second;
  const auto Domain = Job.Domain_.empty()
                          ? domainName(core::randomBelow(Random_, 2))
                          : Job.Domain_;
  core::Term Term = By.ownTerm(Domain);
  // Simulates a paused holder that still uses an earlier term.
  if (Term > 1 && chance(10))
    --Term;
  if (Workload_ == Workload::Mixed && chance(3))
    submit(By, model::JobCancelled{Id});
  else if (Job.State_ == model::JobState::Waiting)
    submit(By, model::JobCommitted{
                   Id, Job.Attempt_ + 1, Domain, Term, {{"w1", 1}}});
  else if (Job.State_ == model::JobState::Running && chance(30))
    submit(By, model::JobStopping{Id, Job.Attempt_, Domain, Term, "preempted"});
  else if (chance(95)) {
    model::JobRequeued Change;
    Change.Job_ = Id;
    Change.Attempt_ = Job.Attempt_;
    Change.Domain_ = Domain;
    Change.Term_ = Term;
    submit(By, Change);
  } else {
    submit(By, model::JobFinished{Id, Job.Attempt_, Domain, Term,
                                  model::JobState::Finished, "done"});
  }
}

void World::recordIntent(Host &By) {
  const std::string Key =
      "k" + std::to_string(core::randomBelow(Random_, KeyCount));
  core::AttemptId Attempt{By.Incarnation_, ++NextId_};
  Events_.push_back(
      {Now_, By.Name_,
       history::CallInvoked{core::toString(Attempt), Key, By.Name_, false}});
  submit(By, model::IntentRecorded{"acc", Key, "svc", Attempt, "u1", 1});
}

void World::onOwnVerdict(Host &Target, const model::Record &Change,
                         const model::FoldResult &Result) {
  auto Cell = Target.PendingLeaseRecords_.find(Change.Id_);
  if (Cell != Target.PendingLeaseRecords_.end()) {
    // The lease starts at the submission, not at the later append.
    if (Result.Accepted_)
      Target.LeaseEnds_[Cell->second.first] =
          Cell->second.second + CellLeaseLength;
    Target.PendingLeaseRecords_.erase(Cell);
  }
  if (const auto *Commit = std::get_if<model::JobCommitted>(&Change.Body_)) {
    if (Result.Accepted_)
      runAfter(randomDuration(5s), [this, Copy = *Commit] { startTask(Copy); });
  }
  const auto *Intent = std::get_if<model::IntentRecorded>(&Change.Body_);
  if (Intent && Result.Accepted_)
    runAfter(randomDuration(3s),
             [this, Key = Intent->Key_, Attempt = Intent->Attempt_] {
               executeAttempt(Key, Attempt);
             });
  else if (Intent && Result.Code_ == "key_taken")
    queryAttempt(Target, Intent->Key_);
}

void World::executeAttempt(const std::string &Key,
                           const core::AttemptId &Attempt) {
  if (RefusedAttempts_.count(Attempt) != 0 ||
      !ExecutedAttempts_.insert(Attempt).second)
    return;
  ++Counts_["execution"];
  Events_.push_back(
      {Now_, "u1",
       history::ExecutionBegun{core::toString(Attempt), Key, "u1", "d"}});
}

void World::queryAttempt(Host &By, const std::string &Key) {
  auto Known = By.State_.Intents_.find({"acc", Key});
  if (Known == By.State_.Intents_.end() ||
      ExecutedAttempts_.count(Known->second.Attempt_) != 0)
    return;
  // The agent has not executed the attempt, and refuses it from now on, so the
  // key may be released.
  ++Counts_["key released"];
  RefusedAttempts_.insert(Known->second.Attempt_);
  submit(By, model::IntentReleased{"acc", Key, Known->second.Attempt_});
}

void World::sendHeartbeats(const model::DomainName &Domain, CellAgent &Agent) {
  const core::TimePoint Sent = Now_;
  Agent.NextHeartbeatAt_ = Now_ + HeartbeatInterval;
  for (Host &Each : Hosts_) {
    if (chance(10))
      continue;
    Host *To = &Each;
    runAfter(randomDuration(100ms), [this, Domain, Sent, To] {
      if (!To->Up_ || Now_ < To->PausedUntil_ ||
          !To->mayGrantPermit(Domain, Now_))
        return;
      const core::Term Term = To->ownTerm(Domain);
      runAfter(randomDuration(3s), [this, Domain, Sent, Term] {
        CellAgent &Agent = Agents_[Domain];
        if (Term < Agent.HighestTerm_)
          return;
        Agent.HighestTerm_ = Term;
        Agent.PermitUntil_ = std::max(Agent.PermitUntil_, Sent + PermitLength);
      });
    });
  }
}

void World::startTask(const model::JobCommitted &Commit) {
  CellAgent &Agent = Agents_[Commit.Domain_];
  if (Commit.Term_ < Agent.HighestTerm_ || Now_ >= Agent.PermitUntil_) {
    ++Counts_["start refused"];
    return;
  }
  ++Counts_["task start"];
  const std::string Job = core::toString(Commit.Job_);
  // The gang has one task, which ends at once; other tests check the atomic
  // start of gangs.
  Events_.push_back(
      {Now_, "log", history::AttemptCommitted{Job, Commit.Attempt_, 1}});
  Events_.push_back(
      {Now_, "w1",
       history::TaskStarted{Job, Commit.Attempt_, 0, "w1", Commit.Domain_}});
  Events_.push_back(
      {Now_, "w1", history::TaskStopped{Job, Commit.Attempt_, 0, true}});
}

void World::corruptLog() {
  const core::RecordId Id{7, ++NextId_};
  model::ControlState Stale = Oracle_.state();
  switch (core::randomBelow(Random_, 4)) {
  case 0:
    appendEntry("junk");
    break;
  case 1:
    appendEntry(wire::encode(model::Batch{
        {Id, model::SnapshotTaken{Entries_.size() - 1, "partial"}}}));
    break;
  case 2:
    // A snapshot that claims to include entries written after it.
    appendEntry(wire::encode(model::Batch{
        {Id, model::SnapshotTaken{Entries_.size() + 9, wire::encode(Stale)}}}));
    break;
  default:
    // A duplicate of an earlier entry, such as a stale snapshot.
    if (!Entries_.empty())
      appendEntry(Entries_[core::randomBelow(Random_, Entries_.size())]);
  }
}

void World::injectFault() {
  Host &Target = randomHost();
  switch (core::randomBelow(Random_, 7)) {
  case 0:
    crash(Target);
    break;
  case 1:
    ++Counts_["pause"];
    Target.PausedUntil_ = Now_ + randomDuration(chance(30) ? 60s : 10s);
    break;
  case 2:
    ++Counts_["outage"];
    Outage_ = true;
    runAfter(chance(20) ? 3min : randomDuration(5s),
             [this] { Outage_ = false; });
    break;
  case 3:
    // Retention deletes entries that a slow reader has not read yet.
    ++Counts_["retention"];
    First_ = std::max<core::Offset>(
        First_, Entries_.size() - std::min<std::size_t>(Entries_.size(), 30));
    break;
  case 4:
    advanceTime(chance(10) ? 2min : randomDuration(2s));
    break;
  case 5:
    // A partition: the log is reachable for the other hosts, but not for this
    // one.
    partitionFromLog(Target);
    break;
  default:
    corruptLog();
  }
}

} // namespace nutmegwell::schedules
