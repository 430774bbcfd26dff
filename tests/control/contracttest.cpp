#include "schedule.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;
using namespace nutmegwell::controltest;

namespace {

constexpr core::JobId Job{7, 1};

TimePoint at(Duration Since) { return TimePoint(seconds(1000)) + Since; }

template <typename T, typename Effects>
std::vector<T> sent(const Effects &Out) {
  std::vector<T> Found;
  for (const auto &Message : Out.Sends_)
    if (auto *Body = std::get_if<T>(&Message.Message_))
      Found.push_back(*Body);
  return Found;
}

template <typename T> std::vector<T> called(const agent::Effects &Out) {
  std::vector<T> Found;
  for (const auto &Call : Out.Calls_)
    if (auto *Body = std::get_if<T>(&Call))
      Found.push_back(*Body);
  return Found;
}

template <typename T> std::vector<T> appended(const entry::Effects &Out) {
  std::vector<T> Found;
  for (const auto &Change : Out.Appends_)
    if (auto *Body = std::get_if<T>(&Change.Body_))
      Found.push_back(*Body);
  return Found;
}

} // namespace

/// Faults, their expected effects and the cases that produce them:
/// - message of a lower term: no effect (lowerTermIsRefused)
/// - late Start after Stop: nothing starts (lateStartHasNoEffect)
/// - late Reserve after Stop: refused (lateStartHasNoEffect)
/// - Start after the permit: nothing starts (permitCountsFromHeartbeat)
/// - slow acknowledgement: permit is shorter (permitCountsFromHeartbeat)
/// - domain out: zero permit, at once (zeroPermitEndsOldOne)
/// - older acknowledgement arrives: permit stays ended (zeroPermitEndsOldOne)
/// - no holder heard for 15 s: tasks are stopped (lapsedLeaseStopsTasks)
/// - reservation without a start: lapses (reservationLapses)
/// - agent's process replaced: old tasks stopped (newProcessClearsRuntime)
/// - task that no share accounts for: stopped (unknownTaskIsStopped)
/// - domain out, or stale log: acknowledgement without a permit
///   (permitNeedsFreshLog)
/// - commit rejected: stops, no Start (rejectedCommitStartsNothing)
/// - holder changes: gangs go on (newHolderAdoptsGangs)
/// - uncommitted task reported: Stop (uncommittedTaskIsStopped)
/// - planned stop of an entry host: cells released (plannedStopReleasesCells)
/// - snapshot older than the fold: ignored (olderSnapshotIsIgnored)
/// - host has just started: not_ready (freshHostRefusesNothingForGood)
/// - no cell can start a new job: each cell's reason is given
///   (explanationNamesEveryCell)
class AgentContractTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AgentContractTest);
  CPPUNIT_TEST(lowerTermIsRefused);
  CPPUNIT_TEST(lateStartHasNoEffect);
  CPPUNIT_TEST(permitCountsFromHeartbeat);
  CPPUNIT_TEST(zeroPermitEndsOldOne);
  CPPUNIT_TEST(lapsedLeaseStopsTasks);
  CPPUNIT_TEST(reservationLapses);
  CPPUNIT_TEST(newProcessClearsRuntime);
  CPPUNIT_TEST(unknownTaskIsStopped);
  CPPUNIT_TEST_SUITE_END();

  agent::AgentState State_;

  agent::Effects tell(model::Datagram Message, Duration Since) {
    return agent::step(State_, agent::DatagramReceived{"e0", Message},
                       at(Since));
  }
  agent::Effects tick(Duration Since) {
    return agent::step(State_, agent::Tick(), at(Since));
  }
  agent::Effects ack(std::uint64_t Sequence, core::Term Term, Duration Permit,
                     Duration Since) {
    return tell(
        model::HeartbeatAck{"e0", Sequence, Term, Permit, seconds(15), 0},
        Since);
  }
  agent::Effects reserve(core::Term Term, Duration Since) {
    return tell(model::Reserve{Term, Job, 1, {3, 12}, "run", "", seconds(5)},
                Since);
  }
  agent::Effects list(std::vector<agent::RuntimeTask> Tasks, Duration Since) {
    return agent::step(State_, agent::RuntimeListing{at(Since), Tasks},
                       at(Since));
  }
  /// Makes the agent ready and gives it a permit from a heartbeat sent at 3 s.
  void grant(core::Term Term) {
    ack(State_.Sequence_, Term, seconds(2), milliseconds(3100));
  }
  void start() {
    grant(5);
    reserve(5, milliseconds(3200));
    auto Out = tell(model::Start{5, Job, 1}, milliseconds(3300));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, called<agent::StartTask>(Out).size());
  }

public:
  void setUp() override {
    agent::AgentSettings Settings;
    Settings.Node_ = "w0";
    Settings.Incarnation_ = 9;
    Settings.Domain_ = "a";
    Settings.Accelerators_ = 8;
    Settings.EntryAddresses_ = {"e0"};
    State_ = agent::makeAgentState(Settings);
    tick(seconds(0));
    list({}, milliseconds(2500));
    tick(seconds(3));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, State_.Sequence_);
  }

  /// Guards against orders of a holder that was replaced.
  void lowerTermIsRefused() {
    grant(5);
    CPPUNIT_ASSERT(reserve(4, milliseconds(3200)).Sends_.empty());
    start();
    auto Out = tell(model::Stop{4, Job, 1, {}}, milliseconds(3400));
    CPPUNIT_ASSERT(Out.Calls_.empty());
    ack(State_.Sequence_, 4, Duration::zero(), milliseconds(3400));
    CPPUNIT_ASSERT(State_.PermitUntil_ > at(milliseconds(3400)));
  }

  /// Guards against a start that overtakes the stop of its attempt.
  void lateStartHasNoEffect() {
    grant(5);
    reserve(5, milliseconds(3200));
    tell(model::Stop{5, Job, 1, {}}, milliseconds(3250));
    auto Out = tell(model::Start{5, Job, 1}, milliseconds(3300));
    CPPUNIT_ASSERT(Out.Calls_.empty());
    auto Answers = sent<model::ReserveAnswer>(reserve(5, milliseconds(3400)));
    CPPUNIT_ASSERT(!Answers.at(0).Accepted_);
  }

  /// Guards against permits that last longer because an answer was slow.
  void permitCountsFromHeartbeat() {
    ack(1, 5, seconds(2), milliseconds(4900));
    CPPUNIT_ASSERT(State_.PermitUntil_ == at(seconds(5)));
    reserve(5, milliseconds(4950));
    auto Out = tell(model::Start{5, Job, 1}, seconds(5));
    CPPUNIT_ASSERT(Out.Calls_.empty());
  }

  /// Guards against starts after the holder withdrew the permit.
  void zeroPermitEndsOldOne() {
    grant(5);
    tick(seconds(4));
    ack(2, 5, Duration::zero(), milliseconds(4050));
    ack(1, 5, seconds(2), milliseconds(4060));
    reserve(5, milliseconds(4100));
    auto Out = tell(model::Start{5, Job, 1}, milliseconds(4200));
    CPPUNIT_ASSERT(Out.Calls_.empty());
  }

  /// Guards against tasks that go on when no holder is heard.
  void lapsedLeaseStopsTasks() {
    start();
    CPPUNIT_ASSERT(called<agent::StopTask>(tick(milliseconds(17900))).empty());
    auto Stops = called<agent::StopTask>(tick(milliseconds(18100)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Stops.size());
    CPPUNIT_ASSERT(Stops[0].Grace_ > Duration::zero());
  }

  /// Guards against accelerators that stay reserved for a lost holder.
  void reservationLapses() {
    grant(5);
    reserve(5, milliseconds(3200));
    tick(milliseconds(8300));
    auto Reports = sent<model::Heartbeat>(tick(milliseconds(9400)));
    CPPUNIT_ASSERT(Reports.at(0).Tasks_.at(0).State_ ==
                   model::TaskState::Stopped);
    CPPUNIT_ASSERT(agent::isDrained(State_));
  }

  /// Guards against a new process that looks clean while old tasks run.
  void newProcessClearsRuntime() {
    State_ = agent::makeAgentState(State_.Settings_);
    tick(seconds(20));
    auto Out = list({{"old", model::TaskState::Running, ""}}, seconds(23));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, called<agent::StopTask>(Out).size());
    Out = tell(model::Stop{5, Job, 1, {}}, seconds(24));
    CPPUNIT_ASSERT(Out.Sends_.empty());
    CPPUNIT_ASSERT(tick(seconds(25)).Sends_.empty());
    list({{"old", model::TaskState::Stopped, ""}}, seconds(26));
    CPPUNIT_ASSERT(!tick(seconds(27)).Sends_.empty());
  }

  /// Guards against a start that took effect after its share was given up.
  void unknownTaskIsStopped() {
    auto Out = list({{"other", model::TaskState::Running, ""}}, seconds(4));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, called<agent::StopTask>(Out).size());
  }
};

/// One entry host that holds cell "a" with worker w0 and one waiting job.
class EntryContractTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EntryContractTest);
  CPPUNIT_TEST(permitNeedsFreshLog);
  CPPUNIT_TEST(changesAreGatheredForADecision);
  CPPUNIT_TEST(rejectedCommitStartsNothing);
  CPPUNIT_TEST(newHolderAdoptsGangs);
  CPPUNIT_TEST(uncommittedTaskIsStopped);
  CPPUNIT_TEST(unheardAgentMayRunForItsLease);
  CPPUNIT_TEST(plannedStopReleasesCells);
  CPPUNIT_TEST(olderSnapshotIsIgnored);
  CPPUNIT_TEST(freshHostRefusesNothingForGood);
  CPPUNIT_TEST(explanationNamesEveryCell);
  CPPUNIT_TEST_SUITE_END();

  entry::EntryState State_;
  std::uint64_t Beats_ = 0;
  std::uint64_t Records_ = 0;

  entry::Effects step(entry::Event What, Duration Since) {
    return entry::step(State_, What, at(Since));
  }
  /// Delivers records as the next log entry.
  entry::Effects read(model::Batch Records, Duration Since) {
    return step(
        entry::LogEntry{State_.ControlState_.NextOffset_, std::move(Records)},
        Since);
  }
  entry::Effects readBody(model::RecordBody Body, Duration Since) {
    return read({{{1, ++Records_}, std::move(Body)}}, Since);
  }
  entry::Effects beat(Duration Since, std::vector<model::TaskReport> Tasks = {},
                      const char *Node = "w0", const char *Domain = "a") {
    model::Heartbeat Beat;
    Beat.Node_ = Node;
    Beat.Incarnation_ = 9;
    Beat.Sequence_ = ++Beats_;
    Beat.Domain_ = Domain;
    Beat.Accelerators_ = 8;
    Beat.Tasks_ = std::move(Tasks);
    return step(entry::DatagramReceived{Node, Beat}, Since);
  }
  void tail(Duration Since) { step(entry::LogTailReached{at(Since)}, Since); }
  void hold(const std::string &Node, core::Incarnation Process) {
    State_ = entry::EntryState();
    Beats_ = Records_ = 0;
    entry::EntrySettings Settings;
    Settings.Node_ = Node;
    Settings.Incarnation_ = Process;
    State_ = entry::makeEntryState(Settings, at(seconds(0)));
    step(entry::LogAvailability{true}, seconds(0));
    beat(milliseconds(1500));
    tail(milliseconds(1600));
  }
  void claim() {
    auto Out = step(entry::Tick(), milliseconds(1700));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         appended<model::CellClaimed>(Out).size());
    read(Out.Appends_, milliseconds(1800));
    tail(milliseconds(1800));
  }
  /// Submits a job and leads it to its commit. Returns the commit's append.
  entry::Effects commit() {
    model::PoolRow Row;
    Row.Account_ = "acc";
    Row.Service_ = "svc";
    Row.Domain_ = "a";
    Row.AcceleratorLimit_ = 8;
    readBody(model::PoolsPublished{0, {{Row}}}, milliseconds(1810));
    readBody(model::JobSubmitted{Job, makeSpec(2, 2, milliseconds(1000))},
             milliseconds(1820));
    auto Out = step(entry::Tick(), milliseconds(1900));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent<model::Reserve>(Out).size());
    return step(entry::DatagramReceived{"w0", model::ReserveAnswer{"w0", Job, 1,
                                                                   true, ""}},
                milliseconds(1950));
  }

public:
  void setUp() override { hold("e0", 50); }

  /// Guards against permits from a holder that may not know of a domain's exit.
  void permitNeedsFreshLog() {
    claim();
    auto Permit = [](const entry::Effects &Out) {
      return sent<model::HeartbeatAck>(Out).at(0).StartPermit_;
    };
    CPPUNIT_ASSERT(Permit(beat(milliseconds(2700))) == seconds(2));
    CPPUNIT_ASSERT(Permit(beat(milliseconds(2801))) == Duration::zero());
    tail(milliseconds(2900));
    CPPUNIT_ASSERT(Permit(beat(milliseconds(2901))) == seconds(2));
    readBody(model::DomainChanged{0, "a", false}, milliseconds(2910));
    CPPUNIT_ASSERT(Permit(beat(milliseconds(2920))) == Duration::zero());
  }

  /// Guards against a decision for each change, which a full queue makes long,
  /// and against urgent jobs that wait for the others.
  void changesAreGatheredForADecision() {
    claim();
    int Decisions = 0;
    State_.Settings_.Decide_ = [&Decisions](const sched::CellView &) {
      ++Decisions;
      return sched::Plan();
    };
    model::JobSpec Spec = makeSpec(1, 1, milliseconds(1000));
    Duration Since = milliseconds(1900);
    auto Submit = [&](std::uint64_t Number) {
      readBody(model::JobSubmitted{{77, Number}, Spec}, Since);
      step(entry::Tick(), Since);
      Since += milliseconds(100);
    };
    for (std::uint64_t Number = 1; Number <= 5; ++Number)
      Submit(Number);
    CPPUNIT_ASSERT_EQUAL(5, Decisions);
    for (int Node = 0; Node < 600; ++Node)
      State_.Membership_.Nodes_["n" + std::to_string(Node)].LastHeartbeatAt_ =
          at(Since);
    Decisions = 0;
    for (std::uint64_t Number = 101; Number <= 120; ++Number)
      Submit(Number);
    CPPUNIT_ASSERT_EQUAL(4, Decisions);
    Spec.Class_ = model::JobClass::Urgent;
    Submit(21);
    Submit(22);
    CPPUNIT_ASSERT_EQUAL(6, Decisions);
    // Job 21 has waited for 0.5 s at the fourth tick, so other cells may act.
    for (int Tick = 0; Tick < 4; ++Tick, Since += milliseconds(100))
      step(entry::Tick(), Since);
    CPPUNIT_ASSERT_EQUAL(7, Decisions);
  }

  /// Guards against a gang that starts without an accepted commit.
  void rejectedCommitStartsNothing() {
    claim();
    auto Out = commit();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         appended<model::JobCommitted>(Out).size());
    CPPUNIT_ASSERT(sent<model::Start>(Out).empty());
    readBody(model::JobCancelled{Job}, milliseconds(1960));
    Out = read(Out.Appends_, milliseconds(1970));
    CPPUNIT_ASSERT(sent<model::Start>(Out).empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent<model::Stop>(Out).size());
  }

  /// Guards against a change of holder that ends running gangs.
  void newHolderAdoptsGangs() {
    // The fold takes a holder's records from the process that claimed alone.
    readBody(model::CellClaimed{"a", 1, "e9", 1}, milliseconds(1500));
    readBody(model::JobSubmitted{Job, makeSpec(1, 4, milliseconds(1000))},
             milliseconds(1510));
    readBody(model::JobCommitted{Job, 1, "a", 1, {{"w0", 15}}},
             milliseconds(1520));
    model::TaskReport Runs{Job, 1, model::TaskState::Running, 15, ""};
    for (int Second = 2; Second < 12; ++Second) {
      tail(seconds(Second));
      auto Out = beat(seconds(Second), {Runs});
      CPPUNIT_ASSERT(sent<model::Stop>(Out).empty());
      Out = step(entry::Tick(), seconds(Second));
      CPPUNIT_ASSERT(sent<model::Stop>(Out).empty());
      if (!Out.Appends_.empty())
        read(Out.Appends_, seconds(Second));
    }
    CPPUNIT_ASSERT(entry::holdsCell(State_, "a", at(seconds(11))));
    CPPUNIT_ASSERT(State_.Gangs_.at(Job).Phase_ == entry::GangPhase::Running);
  }

  /// Guards against tasks of attempts that the log does not know.
  void uncommittedTaskIsStopped() {
    claim();
    auto Out =
        beat(milliseconds(1900), {{Job, 1, model::TaskState::Running, 3, ""}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent<model::Stop>(Out).size());
  }

  /// Guards against an attempt that starts while an agent that is cut off stops
  /// the one before: with its lease's end, its own grace and the margin.
  void unheardAgentMayRunForItsLease() {
    State_.Settings_.CheckpointGrace_ = Duration::zero();
    claim();
    read(commit().Appends_, milliseconds(1970));
    beat(seconds(2), {{Job, 1, model::TaskState::Running, 15, ""}});
    for (Duration Since = seconds(2); Since < seconds(26);
         Since += milliseconds(100)) {
      auto Out = step(entry::Tick(), Since);
      CPPUNIT_ASSERT_EQUAL(std::size_t(Since == seconds(2) + seconds(15) +
                                                    model::LeaseExpiryGrace +
                                                    State_.Settings_.StopMargin_
                                           ? 1
                                           : 0),
                           appended<model::JobRequeued>(Out).size());
      if (!Out.Appends_.empty())
        read(Out.Appends_, Since);
    }
  }

  /// Guards against cells that stay held by a process that has stopped.
  void plannedStopReleasesCells() {
    claim();
    auto Out = step(entry::StopRequested(), milliseconds(1900));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         appended<model::CellReleased>(Out).size());
    CPPUNIT_ASSERT(!entry::holdsCell(State_, "a", at(milliseconds(1900))));
  }

  /// Guards against a configuration that reverts when the reader restarts.
  void olderSnapshotIsIgnored() {
    model::ControlState Old = State_.ControlState_;
    readBody(model::DomainChanged{0, "a", false}, milliseconds(1700));
    step(entry::StateInstalled{Old}, milliseconds(1800));
    CPPUNIT_ASSERT_EQUAL(core::Version{1},
                         State_.ControlState_.Domains_.at("a").Version_);
  }

  /// Guards against a lasting refusal by a host that knows no pools yet.
  void freshHostRefusesNothingForGood() {
    entry::Command Submit{
        1, model::JobSubmitted{Job, makeSpec(1, 1, milliseconds(1))}};
    auto Out = step(Submit, milliseconds(1700));
    CPPUNIT_ASSERT_EQUAL(std::string("not_ready"), Out.Replies_.at(0).Code_);
    tail(seconds(7));
    Out = step(Submit, seconds(7));
    CPPUNIT_ASSERT_EQUAL(std::string("impossible_job"),
                         Out.Replies_.at(0).Code_);
  }

  /// Guards against "about to start" for a new job that no cell can start,
  /// whichever cell is to look at it first.
  void explanationNamesEveryCell() {
    claim();
    beat(milliseconds(1800), {}, "w1", "b");
    step(entry::Tick(), milliseconds(1800));
    model::PoolRow Row{"p", "acc", "svc", "a"};
    Row.AcceleratorLimit_ = 8;
    model::PoolRow Other = Row;
    Other.Domain_ = "b";
    readBody(model::PoolsPublished{0, {{Row, Other}}}, milliseconds(1810));
    readBody(model::DomainChanged{0, "b", false}, milliseconds(1820));
    for (std::uint64_t I = 1; I <= 8; ++I) {
      const core::JobId Id{77, I};
      readBody(model::JobSubmitted{Id, makeSpec(2, 8, milliseconds(1000))},
               milliseconds(1830));
      const std::string Text =
          entry::explainJob(State_, Id, at(milliseconds(1840)));
      CPPUNIT_ASSERT_MESSAGE(Text, Text.find("limit") != Text.npos);
      CPPUNIT_ASSERT_MESSAGE(Text, Text.find("out of service") != Text.npos);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentContractTest);
CPPUNIT_TEST_SUITE_REGISTRATION(EntryContractTest);
