#include "nutmegwell/wire/binary.h"
#include "world.h"

namespace nutmegwell::schedules {

using namespace std::chrono_literals;

namespace {

constexpr core::Duration CellLease = 6s;
constexpr core::Duration Permit = 2s;
constexpr core::Duration BeatInterval = 500ms;
constexpr core::JobId FirstJob{1, 1};
constexpr std::uint64_t Jobs = 12;
constexpr std::uint64_t Keys = 6;

model::DomainName domainName(std::uint64_t Number) {
  return Number % 2 == 0 ? "a" : "b";
}

} // namespace

Host &World::someHost() {
  return Hosts_[core::randomBelow(Random_, Hosts_.size())];
}

core::RecordId World::submit(Host &From, model::RecordBody Body) {
  auto Id = logclient::submit(From.Appender_, std::move(Body),
                              Now_ + 500ms + upTo(5s));
  if (!Id.ok()) {
    ++Counts_["queue full"];
    return {};
  }
  ++Counts_["submit"];
  return *Id;
}

void World::operate() {
  Host &By = someHost();
  if (!By.Started_ || Now_ < By.PausedUntil_)
    return;
  switch (core::randomBelow(Random_, 8)) {
  case 0: {
    // Two operators on the same version.
    Host &Other = someHost();
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

void World::cutOff(Host &Target) {
  ++Counts_["cut off"];
  Target.CutOffUntil_ = Now_ + upTo(8s);
}

void World::operateDomains() {
  Host &By = someHost();
  if (!By.Started_ || Now_ < By.PausedUntil_)
    return;
  if (chance(20))
    changeCell(By);
  if (chance(50))
    changeJob(By);
  if (chance(2))
    cutOff(By);
  // Domains are in service most of the time, so that work starts there.
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
  Route.PathPrefix_ = "/" + std::to_string(++Next_);
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
    // A host that does not wait for the verdict on its claim.
    auto Job = By.State_.Jobs_.find(FirstJob);
    if (chance(40) && Job != By.State_.Jobs_.end())
      submit(By,
             model::JobCommitted{
                 FirstJob, Job->second.Attempt_ + 1, Domain, InForce + 1, {}});
  } else if (chance(10)) {
    submit(By, model::CellReleased{Domain, Own});
    By.HeldUntil_.erase(Domain);
  } else {
    Id = submit(By, model::CellRenewed{Domain, Own});
  }
  if (Id.valid())
    By.CellRecords_[Id] = {Domain, Now_};
}

void World::changeJob(Host &Chosen) {
  // Mostly a holder acts, so that work starts; sometimes another host does.
  Host *Actor = &Chosen;
  for (Host &Each : Hosts_)
    if (Each.Started_ && Now_ >= Each.PausedUntil_ && chance(70) &&
        (Each.ownTerm("a") != 0 || Each.ownTerm("b") != 0))
      Actor = &Each;
  Host &By = *Actor;
  const core::JobId Id{1, 1 + core::randomBelow(Random_, Jobs)};
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
  // A paused holder believes in its old term.
  if (Term > 1 && chance(10))
    --Term;
  if (Focus_ == Focus::Everything && chance(3))
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
      "k" + std::to_string(core::randomBelow(Random_, Keys));
  core::AttemptId Attempt{By.Incarnation_, ++Next_};
  Events_.push_back(
      {Now_, By.Name_,
       history::CallInvoked{core::toString(Attempt), Key, By.Name_, false}});
  submit(By, model::IntentRecorded{"acc", Key, "svc", Attempt, "u1", 1});
}

void World::onOwnVerdict(Host &Target, const model::Record &Change,
                         const model::FoldResult &Result) {
  auto Cell = Target.CellRecords_.find(Change.Id_);
  if (Cell != Target.CellRecords_.end()) {
    // The lease counts from before the append.
    if (Result.Accepted_)
      Target.HeldUntil_[Cell->second.first] = Cell->second.second + CellLease;
    Target.CellRecords_.erase(Cell);
  }
  if (const auto *Commit = std::get_if<model::JobCommitted>(&Change.Body_)) {
    if (Result.Accepted_)
      after(upTo(5s), [this, Copy = *Commit] { startTask(Copy); });
  }
  const auto *Intent = std::get_if<model::IntentRecorded>(&Change.Body_);
  if (Intent && Result.Accepted_)
    after(upTo(3s), [this, Key = Intent->Key_, Attempt = Intent->Attempt_] {
      dispatch(Key, Attempt);
    });
  else if (Intent && Result.Code_ == "key_taken")
    query(Target, Intent->Key_);
}

void World::dispatch(const std::string &Key, const core::AttemptId &Attempt) {
  if (RefusedAttempts_.count(Attempt) != 0 || !Executed_.insert(Attempt).second)
    return;
  ++Counts_["execution"];
  Events_.push_back(
      {Now_, "u1",
       history::ExecutionBegun{core::toString(Attempt), Key, "u1", "d"}});
}

void World::query(Host &By, const std::string &Key) {
  auto Known = By.State_.Intents_.find({"acc", Key});
  if (Known == By.State_.Intents_.end() ||
      Executed_.count(Known->second.Attempt_) != 0)
    return;
  // The agent has not seen the attempt and refuses it from now on.
  ++Counts_["key released"];
  RefusedAttempts_.insert(Known->second.Attempt_);
  submit(By, model::IntentReleased{"acc", Key, Known->second.Attempt_});
}

void World::beat(const model::DomainName &Domain, CellAgent &Agent) {
  const core::TimePoint Sent = Now_;
  Agent.NextHeartbeatAt_ = Now_ + BeatInterval;
  for (Host &Each : Hosts_) {
    if (chance(10))
      continue;
    Host *To = &Each;
    after(upTo(100ms), [this, Domain, Sent, To] {
      if (!To->Up_ || Now_ < To->PausedUntil_ || !To->mayGrant(Domain, Now_))
        return;
      const core::Term Term = To->ownTerm(Domain);
      after(upTo(3s), [this, Domain, Sent, Term] {
        CellAgent &Agent = Agents_[Domain];
        if (Term < Agent.HighestTerm_)
          return;
        Agent.HighestTerm_ = Term;
        Agent.PermitUntil_ = std::max(Agent.PermitUntil_, Sent + Permit);
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
  // A gang of one task that ends at once; the gang rule has its own tests.
  Events_.push_back(
      {Now_, "log", history::AttemptCommitted{Job, Commit.Attempt_, 1}});
  Events_.push_back(
      {Now_, "w1",
       history::TaskStarted{Job, Commit.Attempt_, 0, "w1", Commit.Domain_}});
  Events_.push_back(
      {Now_, "w1", history::TaskStopped{Job, Commit.Attempt_, 0, true}});
}

void World::corruptLog() {
  const core::RecordId Id{7, ++Next_};
  model::ControlState Stale = Oracle_.state();
  switch (core::randomBelow(Random_, 4)) {
  case 0:
    write("junk");
    break;
  case 1:
    write(wire::encode(model::Batch{
        {Id, model::SnapshotTaken{Entries_.size() - 1, "partial"}}}));
    break;
  case 2:
    // A snapshot that claims to cover entries after itself.
    write(wire::encode(model::Batch{
        {Id, model::SnapshotTaken{Entries_.size() + 9, wire::encode(Stale)}}}));
    break;
  default:
    // A copy of an old entry, such as a late or stale snapshot.
    if (!Entries_.empty())
      write(Entries_[core::randomBelow(Random_, Entries_.size())]);
  }
}

void World::disturb() {
  Host &Target = someHost();
  switch (core::randomBelow(Random_, 7)) {
  case 0:
    crash(Target);
    break;
  case 1:
    ++Counts_["pause"];
    Target.PausedUntil_ = Now_ + upTo(chance(30) ? 60s : 10s);
    break;
  case 2:
    ++Counts_["outage"];
    Outage_ = true;
    after(chance(20) ? 3min : upTo(5s), [this] { Outage_ = false; });
    break;
  case 3:
    // Retention overtakes a reader.
    ++Counts_["retention"];
    First_ = std::max<core::Offset>(
        First_, Entries_.size() - std::min<std::size_t>(Entries_.size(), 30));
    break;
  case 4:
    advance(chance(10) ? 2min : upTo(2s));
    break;
  case 5:
    // The log serves other hosts, but not this one.
    cutOff(Target);
    break;
  default:
    corruptLog();
  }
}

} // namespace nutmegwell::schedules
