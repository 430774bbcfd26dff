#include "load.h"
#include <cppunit/extensions/HelperMacros.h>
#include <set>

using namespace std::chrono_literals;
using namespace nutmegwell::history;
using namespace nutmegwell;
using e2e::assertFinished;
using e2e::Cluster;
using e2e::Recorder;

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
};

CPPUNIT_TEST_SUITE_REGISTRATION(DegradedTest);
