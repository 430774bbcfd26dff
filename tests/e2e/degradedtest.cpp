#include "load.h"
#include "nutmegwell/entry/transport.h"
#include "relay.h"
#include <cppunit/extensions/HelperMacros.h>
#include <list>
#include <set>

using namespace std::chrono_literals;
using namespace nutmegwell::history;
using namespace nutmegwell;
using e2e::assertFinished;
using e2e::Cluster;
using e2e::Load;
using e2e::Recorder;
using e2e::Relay;

namespace {

/// Returns the event of the last task start of \p Job, with the shape that its
/// tasks of 8 accelerators got.
Event obtained(Cluster &All, const History &Run, const std::string &Job) {
  std::set<std::string> Workers, Racks;
  core::TimePoint Last;
  for (const Event &Each : Run.Events_)
    if (auto *Start = std::get_if<TaskStarted>(&Each.Body_);
        Start && Start->Job_ == Job) {
      Workers.insert(Start->Worker_);
      Racks.insert(All.RackOf_[Start->Worker_]);
      Last = Each.At_;
    }
  const auto Got = static_cast<std::uint32_t>(8 * Workers.size());
  return {Last, "test",
          GuaranteeObtained{Job, {Got, Racks.size() == 1 ? Got : 8, 1}}};
}

} // namespace

/// Runs daemons whose accelerators, connections or log serve them badly.
class DegradedTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DegradedTest);
  CPPUNIT_TEST(guaranteeReclaimed);
  CPPUNIT_TEST(silentConnections);
  CPPUNIT_TEST(logSlow);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against a guarantee that borrowers keep, and against a start beside
  /// a borrower that has not stopped whole.
  void guaranteeReclaimed() {
    // The longest grace with which urgent work starts within 5.7 s, and the
    // decisions and messages beside it, as docs/CAPACITY.md adds them up.
    constexpr core::Duration Grace = 3s, Messages = 1500ms;
    static_assert(Grace + Messages <= 5700ms);
    Cluster All({"--checkpoint-grace=3s"});
    Recorder Run;
    start(All, 4, 0, 4);
    auto Published =
        All.call(1, "PUT", "/v1/tables/pools?version=1",
                 R"({"pools":[{"name":"lent","account":"acc","service":"svc",)"
                 R"("domain":"a","guaranteed":0,"block":1,"level":"worker",)"
                 R"("limit":32,"requests":1},{"name":"own","account":"owner",)"
                 R"("service":"svc","domain":"a","guaranteed":16,"block":16,)"
                 R"("level":"rack","limit":16,"requests":1}]})");
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Published.Body_, 200u, Published.Status_);
    std::vector<std::string> Borrowers;
    for (int I = 0; I < 2; ++I)
      Borrowers.push_back(All.submit(1, 2, 8, "rack", "run:12000"));
    for (auto &[Name, Runtime] : All.Runtimes_)
      CPPUNIT_ASSERT(Runtime->waitForLine("started") >= 0);
    const core::TimePoint Asked = core::steadyClock().Now_();
    const std::string Claim =
        All.submit(1, 2, 8, "rack", "run:1000", "urgent", "owner");
    Run.add("caller", GuaranteeRequested{Claim, "a", {16, 16, 1}}, Asked);
    assertFinished(All, 1, {Claim});
    assertFinished(All, 1, Borrowers);
    int Preempted = 0;
    for (const std::string &Job : Borrowers)
      if (All.countStarts("started " + Job + ".2.") > 0) {
        ++Preempted;
        Run.add("test", GuaranteeBlocked{Claim, Job, 1}, Asked);
        CPPUNIT_ASSERT_EQUAL(2, All.countStarts("started " + Job + ".2."));
        // A start without a checkpoint would do the work again.
        CPPUNIT_ASSERT_EQUAL(
            0, All.countStarts("started " + Job + ".2.0 after 0 "));
      }
    History Whole = Run.finish(All);
    Whole.Events_.push_back(obtained(All, Whole, Claim));
    Bounds Limits;
    Limits.Reclaim_ = Grace + Messages;
    e2e::assertRules(makeHistory(Whole.Events_, true), Limits);
    CPPUNIT_ASSERT_EQUAL(1, Preempted);
  }

  /// Guards against requests that wait for a connection which forwards nothing
  /// any more, and against a key that runs again after such a loss.
  void silentConnections() {
    Cluster All;
    Recorder Run;
    Relay First(All), Second(All);
    // Only the silence limit ends a silent attempt before the deadline.
    start(All, 1, 0, 2, R"(,"timeout_ms":15000)");
    All.startUpstream("u0", "a", "svc", {"--delay-ms", "1000"},
                      net::toString(First.heartbeats()));
    All.startUpstream("u1", "a", "svc", {"--delay-ms", "1000"},
                      net::toString(Second.heartbeats()));
    for (int Entry : {1, 2})
      for (const char *Name : {"\"u0\"", "\"u1\""})
        CPPUNIT_ASSERT(All.waitStatus(Entry, Name));
    Load Calls(All, Run, 8);
    CPPUNIT_ASSERT(Calls.waitAnswers(20));
    // In the second round, requests cannot go elsewhere.
    for (bool Both : {false, true}) {
      e2e::Process &Upstream = *All.Upstreams_["u0"];
      const int From = static_cast<int>(Upstream.lines().size());
      // The request runs for 1 s, so that it is in flight at the silence.
      CPPUNIT_ASSERT(Upstream.waitForLine("POST", From) >= 0);
      CPPUNIT_ASSERT(First.silence() > 0);
      if (Both)
        CPPUNIT_ASSERT(Second.silence() > 0);
      const int Later = static_cast<int>(Upstream.lines().size());
      CPPUNIT_ASSERT(Calls.waitAnswers(60));
      CPPUNIT_ASSERT(Upstream.waitForLine("POST", Later) >= 0);
    }
    Calls.stop();
    e2e::assertRules(Run.finish(All));
    CPPUNIT_ASSERT(Calls.unknown() >= 2);
    // A call may run for 1 s before the silence; the margin is the time that a
    // new connection may take.
    const entry::TransportSettings Limits;
    CPPUNIT_ASSERT_MESSAGE(
        std::to_string(Calls.longestUnknown().count()) + " us",
        Calls.longestUnknown() <=
            1s + Limits.SilenceTimeout_ + Limits.ConnectTimeout_);
  }

  /// Publishes routes that are told apart by \p Queue. Returns false for a
  /// refusal that says "not run".
  static bool publish(Cluster &All, int Entry, int Queue) {
    const std::string Version = e2e::member(
        All.call(Entry, "GET", "/v1/tables/routes").Body_, "version");
    auto Response =
        All.call(Entry, "PUT", "/v1/tables/routes?version=" + Version,
                 R"({"routes":[{"path":"/svc","service":"svc","queue":)" +
                     std::to_string(Queue) + "}]}");
    return e2e::member(Response.Body_, "outcome") != "not_run";
  }

  /// Changes the faults of the log and publishes routes meanwhile. Returns the
  /// queues of the publications that were refused as not run.
  static std::set<std::string> publishWhileLogIsBad(Cluster &All, Load &Calls) {
    std::set<std::string> Refused;
    int Queue = 100;
    // Slow but available; answers lost; slower than the 2 s that a host waits,
    // so that appends take effect when nobody listens any more; well again.
    const std::vector<std::string> Phases = {
        "slow_ms=300", "slow_ms=50&lose_answers=8", "slow_ms=2100",
        "slow_ms=0&lose_answers=0"};
    for (std::size_t Phase = 0; Phase < 3 * Phases.size(); ++Phase) {
      const std::string &Faults = Phases[Phase % Phases.size()];
      All.setLogFaults(Faults);
      const core::TimePoint End =
          core::steadyClock().Now_() + (Phase % 4 == 2 ? 5s : 2s);
      while (core::steadyClock().Now_() < End) {
        ++Queue;
        if (!publish(All, 1 + Queue % 2, Queue))
          Refused.insert(std::to_string(Queue));
        e2e::pass(200ms);
      }
      // Idempotent requests need no log.
      CPPUNIT_ASSERT(Calls.waitAnswers(40));
    }
    return Refused;
  }

  /// Checks that no refused publication is in force. Returns the number of jobs
  /// that were committed.
  static int countJobs(const History &Whole,
                       const std::set<std::string> &Refused) {
    std::set<std::string> Ran;
    for (const Event &Each : Whole.Events_) {
      if (auto *Commit = std::get_if<AttemptCommitted>(&Each.Body_))
        Ran.insert(Commit->Job_);
      if (auto *Config = std::get_if<ConfigAccepted>(&Each.Body_))
        CPPUNIT_ASSERT_EQUAL_MESSAGE("queue " + Config->Digest_, std::size_t{0},
                                     Refused.count(Config->Digest_));
    }
    return static_cast<int>(Ran.size());
  }

  /// Guards against work that runs twice, is lost or is refused falsely when
  /// the log answers late or not at all although it has done its work.
  void logSlow() {
    Cluster All;
    Recorder Run;
    start(All, 5, 2, 2, "", {"--delay-ms", "50"});
    e2e::ConfigWatch Watch(All, Run);
    Load Calls(All, Run, 6);
    // Submissions that wait behind a late append get an unknown outcome.
    std::list<e2e::JobLoad> Jobs;
    for (int I = 0; I < 8; ++I)
      Jobs.emplace_back(All, 1 + I % 2, 500ms);
    const std::set<std::string> Refused = publishWhileLogIsBad(All, Calls);
    CPPUNIT_ASSERT(All.waitStatus(1, R"("log_available":true)"));
    std::vector<std::string> Accepted;
    for (e2e::JobLoad &Each : Jobs)
      for (const std::string &Job : Each.stop())
        Accepted.push_back(Job);
    std::string Last;
    for (int Try = 0; Try < 50 && Last.empty(); ++Try)
      Last = All.submit(1, 2, 4, "rack", "run:300");
    Calls.stop();
    Watch.stop();
    Accepted.push_back(Last);
    assertFinished(All, 1, Accepted);
    const History Whole = Run.finish(All);
    e2e::assertRules(Whole);
    const int Ran = countJobs(Whole, Refused);
    // Every job that ran was accepted or has an unknown outcome.
    const int Unasked = Ran - static_cast<int>(Accepted.size());
    CPPUNIT_ASSERT(Unasked >= 0);
    CPPUNIT_ASSERT(Unasked <= All.UnknownJobs_);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DegradedTest);
