#include "fakecell.h"
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;
using namespace nutmegwell::cell;
using namespace std::chrono_literals;

/// Replays accounts that compete for a cell with too little room.
class OrderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OrderTest);
  CPPUNIT_TEST(burstLeavesRoomToOtherAccounts);
  CPPUNIT_TEST(burstTakesAllRoomWithoutTheFlag);
  CPPUNIT_TEST(overduePatientJobStartsWhileUrgentWorkNeverEnds);
  CPPUNIT_TEST(overduePatientJobStarvesWithoutTheFlag);
  CPPUNIT_TEST(singleAccountKeepsTheOrder);
  CPPUNIT_TEST(accountsThatDoNotWaitKeepTheOrder);
  CPPUNIT_TEST(ledgerIsEmptyAfterATakeover);
  CPPUNIT_TEST(usageCountsTheLargestShareOfAnyResource);
  CPPUNIT_TEST(usagesAreHandedOverOnceASecond);
  CPPUNIT_TEST(triesOfAnAccountAreBounded);
  CPPUNIT_TEST(guaranteedUnitsAreAlwaysTried);
  CPPUNIT_TEST_SUITE_END();

  FakeCell Cell_;

  void start(int Workers, bool FairShares) {
    startCell(Cell_, Workers);
    Cell_.Holder_.Policy_.FairShares_ = FairShares;
  }

  static jobs::JobSpec wholeWorker(core::Duration Time = 2s) {
    return jobs::JobSpecBuilder()
        .command("c")
        .step(1, {1000, 1000, 8}, Time)
        .build();
  }

  /// Accepts a job that arrived \p Ago.
  void acceptEarlier(const std::string &Job, const jobs::JobSpec &Spec,
                     const std::string &Queue, const std::string &Account,
                     core::Duration Ago) {
    Cell_.Wall_ -= Ago;
    Cell_.acceptJob(Job, Spec, Queue, Account);
    Cell_.Wall_ += Ago;
  }

  /// Ends the runs that have run for their declared time of 2 s.
  void endFinishedRuns() {
    std::vector<RunId> Finished;
    for (const auto &[Id, Run] : Cell_.Holder_.Runs_)
      if (Cell_.Now_ - Run.OrderedAt_ >= 2s)
        Finished.push_back(Id);
    for (const RunId &Id : Finished)
      Cell_.endRun(Id, EndKind::Done);
  }

  void work(core::Duration Span) {
    const core::TimePoint End = Cell_.Now_ + Span;
    while (Cell_.Now_ < End) {
      Cell_.advance(100ms);
      endFinishedRuns();
    }
  }

  /// Returns the jobs in the order in which their tasks were started.
  std::vector<std::string> startedJobs() const {
    std::vector<std::string> Jobs;
    for (const core::LogEvent &Line : Cell_.LogEvents_)
      if (Line.Event_ == "task_starting") {
        const std::string &Task = Line.Fields_.front().second;
        Jobs.push_back(Task.substr(0, Task.find('.')));
      }
    return Jobs;
  }

  std::size_t countStarted(const std::string &Prefix) const {
    const auto Jobs = startedJobs();
    return static_cast<std::size_t>(
        std::count_if(Jobs.begin(), Jobs.end(), [&](const std::string &Job) {
          return Job.compare(0, Prefix.size(), Prefix) == 0;
        }));
  }

  bool hasStarted(const std::string &Job) const {
    return countStarted(Job) > 0;
  }

  /// Sends 40 jobs of one account and then one job of each of nine accounts to
  /// three workers, and works for long enough to start 15 jobs.
  void runBurst() {
    for (int I = 0; I < 40; ++I)
      Cell_.acceptJob("burst" + std::to_string(I), wholeWorker(), "q1",
                      "burst");
    work(2s);
    for (int I = 0; I < 9; ++I)
      Cell_.acceptJob("steady" + std::to_string(I), wholeWorker(), "q1",
                      "account" + std::to_string(I));
    work(9s);
  }

  /// Runs urgent jobs without end on one rack, and on the other rack late jobs
  /// of priority 2 that keep arriving beside a patient one. Returns how long
  /// the patient job took to start, or \p Limit.
  core::Duration waitOfPatientJob(core::Duration Limit) {
    const auto Urgent = jobs::JobSpecBuilder()
                            .step(1, {1000, 1000, 8}, 2s)
                            .requireLabel("r0")
                            .build();
    constexpr core::Duration WarmUp = 5s;
    constexpr core::Duration Interval = 500ms;
    for (core::Duration Elapsed(0); Elapsed < WarmUp + Limit;
         Elapsed += Interval) {
      if (Elapsed == WarmUp)
        acceptEarlier("patient", wholeWorker(), "q2", "quiet", 5s);
      for (int J = 0; J < 2; ++J) {
        const std::string Suffix =
            std::to_string(Elapsed.count()) + "-" + std::to_string(J);
        Cell_.acceptJob("urgent" + Suffix, Urgent, "q0", "other");
        acceptEarlier("late" + Suffix, wholeWorker(), "q2", "other", 10s);
      }
      work(Interval);
      if (hasStarted("patient"))
        return Elapsed - WarmUp;
    }
    return Limit;
  }

  /// Sends jobs of several sizes and queues of one account.
  void acceptMixedJobs() {
    for (int I = 0; I < 12; ++I)
      acceptEarlier("job" + std::to_string(I),
                    oneStep(1 + I % 3, {1000, 1000, 2 + 2 * (I % 4)}),
                    I % 2 ? "q1" : "q2", "other", (I * 7 % 13) * 1s);
  }

public:
  /// Guards against a burst of one account that delays the jobs of all others
  /// until it is worked off.
  void burstLeavesRoomToOtherAccounts() {
    start(3, true);
    runBurst();
    CPPUNIT_ASSERT_EQUAL(std::size_t(9), countStarted("steady"));
  }

  /// Shows that the load is one under which the order without the flag serves
  /// the burst first, until its jobs are late.
  void burstTakesAllRoomWithoutTheFlag() {
    start(3, false);
    runBurst();
    CPPUNIT_ASSERT(countStarted("steady") <= 3);
  }

  /// Guards against patient work that never starts, because late work of its
  /// priority always precedes expired work. The job is overdue 13 s after it
  /// was accepted; two more rounds of 2 s may pass until a worker is free.
  void overduePatientJobStartsWhileUrgentWorkNeverEnds() {
    start(6, true);
    CPPUNIT_ASSERT(waitOfPatientJob(30s) <= 17s);
    CPPUNIT_ASSERT(countStarted("urgent") > 3);
  }

  /// Shows that the load is one under which the order without the flag starves
  /// the job.
  void overduePatientJobStarvesWithoutTheFlag() {
    start(6, false);
    CPPUNIT_ASSERT(waitOfPatientJob(30s) == core::Duration(30s));
  }

  /// Guards against another order while only one account waits.
  void singleAccountKeepsTheOrder() {
    start(2, false);
    acceptMixedJobs();
    work(20s);
    const auto Expected = startedJobs();
    Cell_ = FakeCell();
    start(2, true);
    acceptMixedJobs();
    work(20s);
    CPPUNIT_ASSERT(Expected.size() > 12);
    CPPUNIT_ASSERT(Expected == startedJobs());
  }

  /// Guards against an order by usage where there is room for all accounts:
  /// the job with less slack goes first although its account uses more.
  void accountsThatDoNotWaitKeepTheOrder() {
    start(3, true);
    Cell_.acceptJob("running", wholeWorker(), "q1", "heavy");
    work(1500ms);
    acceptEarlier("heavy", wholeWorker(), "q1", "heavy", 1s);
    Cell_.acceptJob("light", wholeWorker(), "q1", "light");
    Cell_.advance();
    const auto Jobs = startedJobs();
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Jobs.size());
    CPPUNIT_ASSERT_EQUAL(std::string("heavy"), Jobs[1]);
  }

  /// Guards against a new holder that orders by the usage of another.
  void ledgerIsEmptyAfterATakeover() {
    start(3, true);
    runBurst();
    CPPUNIT_ASSERT(!Cell_.Holder_.Accounts_.empty());
    Cell_.claimCell();
    Cell_.Holder_.Policy_.FairShares_ = true;
    CPPUNIT_ASSERT(Cell_.Holder_.Accounts_.empty());
    work(1s);
    const auto &Ledger = Cell_.Holder_.Accounts_.at("service").Ledger_;
    CPPUNIT_ASSERT(share::usageOf(Ledger, "burst", Cell_.Now_) < 0.05);
  }

  /// Guards against an account that fills the memory of a service and counts as
  /// one that uses little, and against capacity that no work can use.
  void usageCountsTheLargestShareOfAnyResource() {
    start(4, true);
    Cell_.acceptJob("memory", oneStep(1, {1000, 131072, 0}), "q1", "memory");
    Cell_.acceptJob("small", oneStep(1, {1000, 1000, 1}), "q1", "small");
    Cell_.advance();
    Cell_.advance();
    auto Current = [&](const std::string &Account) {
      return Cell_.Holder_.Accounts_.at("service")
          .Ledger_.Accounts_.at(Account)
          .Current_;
    };
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.25, Current("memory"), 0.001);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0 / 32, Current("small"), 0.001);
    Cell_.Agents_.at("w3").Worker_->Draining_ = true;
    Cell_.advance();
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0 / 3, Current("memory"), 0.001);
  }

  /// Guards against metrics that cost each step, or that never come.
  void usagesAreHandedOverOnceASecond() {
    start(1, true);
    Cell_.acceptJob("running", wholeWorker(60s), "q1", "heavy");
    Cell_.runFor(10s);
    std::size_t Snapshots = 0;
    for (int I = 0; I < 30; ++I) {
      Cell_.Now_ += 100ms;
      Effects Out;
      onTenureConfirmed(Cell_.Holder_, Cell_.Now_);
      advanceHolder(Cell_.Holder_, Cell_.context(), Out);
      if (!Out.AccountUsages_)
        continue;
      ++Snapshots;
      CPPUNIT_ASSERT_EQUAL(std::size_t(1), Out.AccountUsages_->size());
      CPPUNIT_ASSERT_EQUAL(std::string("heavy"),
                           Out.AccountUsages_->front().Account_);
      CPPUNIT_ASSERT(Out.AccountUsages_->front().Usage_ > 0.1);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), Snapshots);
  }

  /// Guards against the cost of an account with many jobs that do not fit: its
  /// 65th job is not tried, although it would fit, and that of another account
  /// is.
  void triesOfAnAccountAreBounded() {
    start(1, true);
    Cell_.acceptJob("running", oneStep(1, {1000, 1000, 7}), "q1", "many");
    Cell_.advance();
    for (int I = 0; I < 64; ++I)
      acceptEarlier("wide" + std::to_string(I), wholeWorker(), "q1", "many",
                    1s);
    Cell_.advance();
    Cell_.acceptJob("fits", oneStep(1, {1000, 1000, 1}), "q1", "many");
    Cell_.runFor(300ms);
    CPPUNIT_ASSERT(!hasStarted("fits"));
    Cell_.acceptJob("other", oneStep(1, {1000, 1000, 1}), "q1", "other");
    Cell_.advance();
    CPPUNIT_ASSERT(hasStarted("other"));
    CPPUNIT_ASSERT(!hasStarted("fits"));
  }

  /// Guards against a bound on tries that delays guaranteed work.
  void guaranteedUnitsAreAlwaysTried() {
    start(1, true);
    Cell_.acceptJob("running", oneStep(1, {1000, 131072, 0}), "q0", "acme");
    Cell_.advance();
    for (int I = 0; I < 70; ++I)
      acceptEarlier("wide" + std::to_string(I), oneStep(1, {1000, 131072, 0}),
                    "q0", "acme", 1s);
    Cell_.acceptJob("fits", oneStep(1, {1000, 0, 1}), "q0", "acme");
    Cell_.advance();
    CPPUNIT_ASSERT(hasStarted("fits"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OrderTest);
