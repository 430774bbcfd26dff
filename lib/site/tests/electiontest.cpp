#include "fakesite.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;
using namespace nutmegwell::site;
using namespace std::chrono_literals;

class ElectionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ElectionTest);
  CPPUNIT_TEST(oneHostHoldsTheCell);
  CPPUNIT_TEST(killedHolderIsReplaced);
  CPPUNIT_TEST(stoppingHolderHandsOver);
  CPPUNIT_TEST(stoppingHolderOutlastsAStoreOutage);
  CPPUNIT_TEST(claimFencesTheEarlierHolder);
  CPPUNIT_TEST(delayedClaimantHasNoTenureLeft);
  CPPUNIT_TEST(oneClaimAtATime);
  CPPUNIT_TEST(isolatedHolderStopsGranting);
  CPPUNIT_TEST(restartedHolderClaimsAtOnce);
  CPPUNIT_TEST(workersThatLeaveWithTheHolderDelayNoJob);
  CPPUNIT_TEST_SUITE_END();

  /// Runs a site for 2 s, kills the holder and waits for another one. Returns
  /// the writer of the killed holder.
  static store::Appender replaceHolder(FakeSite &Site) {
    Site.run(2s);
    const std::string First = Site.holders()[0];
    const store::Appender Writer = *Site.entry(First).HolderWriter_;
    Site.kill(First);
    Site.run(2500ms);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Site.holders().size());
    return Writer;
  }

  /// Returns the worker of each start so far.
  static std::vector<std::string> startedOn(const FakeSite &Site) {
    std::vector<std::string> Workers;
    for (const history::Event &Each : Site.Events_)
      if (const auto *Start = std::get_if<history::RunStarted>(&Each.Body_))
        Workers.push_back(Start->Worker_);
    return Workers;
  }

public:
  /// Guards against a cell without a holder, or with several, after the start.
  void oneHostHoldsTheCell() {
    FakeSite Site(3);
    Site.run(2s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Site.holders().size());
  }

  /// Guards against a cell that stays without a holder: the failure is detected
  /// after 1.5 s, and the claims of the hosts are 0.3 s apart.
  void killedHolderIsReplaced() {
    FakeSite Site(3);
    replaceHolder(Site);
  }

  /// Guards against a gap in service around a planned stop.
  void stoppingHolderHandsOver() {
    FakeSite Site(3);
    Site.run(2s);
    const std::string First = Site.holders()[0];
    EntryEffects Out;
    onStopRequested(Site.entry(First), Out);
    Site.run(500ms);
    CPPUNIT_ASSERT(isDrained(Site.entry(First)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Site.holders().size());
    CPPUNIT_ASSERT(Site.holders()[0] != First);
  }

  /// Guards against a cell without a holder while the store is down, and
  /// against a process that does not stop in time because of that.
  void stoppingHolderOutlastsAStoreOutage() {
    FakeSite Site(3);
    Site.run(2s);
    const std::string First = Site.holders()[0];
    Site.Store_.RefusedHosts_ = {"*"};
    Site.run(1s);
    Site.stop(First);
    Site.run(1500ms);
    CPPUNIT_ASSERT(Site.holders() == std::vector<std::string>{First});
    Site.Store_.RefusedHosts_.clear();
    Site.run(700ms);
    CPPUNIT_ASSERT(isDrained(Site.entry(First)));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Site.holders().size());
    const std::string Second = Site.holders()[0];
    CPPUNIT_ASSERT(Second != First);
    Site.Store_.RefusedHosts_ = {"*"};
    Site.run(1s);
    Site.stop(Second);
    Site.run(2600ms);
    CPPUNIT_ASSERT(Site.holders().empty());
  }

  /// Guards against tasks that run twice: the store must not append a record of
  /// the earlier holder after the new claim. Such a record could say that tasks
  /// are done, and the new holder would not have read it.
  void claimFencesTheEarlierHolder() {
    FakeSite Site(3);
    const store::Appender Writer = replaceHolder(Site);
    const store::AppendOutcome Late = Site.Store_.append(
        {Writer.Producer_, Writer.Epoch_, Writer.NextSequence_, {}});
    CPPUNIT_ASSERT(Late.Status_ == store::AppendStatus::Fenced);
  }

  /// Guards against a host that was suspended between its claim and the start
  /// of its tenure: another host may hold the cell by then.
  void delayedClaimantHasNoTenureLeft() {
    FakeSite Site(3);
    std::string Claimant;
    while (Claimant.empty()) {
      Site.run(10ms);
      for (const char *Host : {"e0", "e1", "e2"})
        if (Site.entry(Host).ClaimRequestedAt_)
          Claimant = Host;
    }
    // The response to the read that shows the claim arrives after the pause.
    const core::TimePoint ClaimedAt = Site.Now_;
    const auto &ReadSentAt = Site.entry(Claimant).CellStream_.ReadSentAt_;
    while (!ReadSentAt || *ReadSentAt < ClaimedAt)
      Site.run(10ms);
    CPPUNIT_ASSERT(Site.holders().empty());
    Site.pause(Claimant);
    Site.isolate(Claimant);
    const core::TimePoint PausedAt = Site.Now_;
    Site.run(8s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Site.holders().size());
    Site.Store_.RefusedHosts_ = {Claimant};
    Site.resume(Claimant);
    Site.run(1s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Site.holders().size());
    CPPUNIT_ASSERT(Site.entry(Claimant).Holder_->TenureConfirmedAt_ <=
                   PausedAt);
  }

  /// Guards against a host that ends its own tenure by a second claim while the
  /// first is unread.
  void oneClaimAtATime() {
    FakeSite Site(1);
    Site.run(2s);
    std::size_t Claims = 0;
    for (const core::LogEvent &Line : Site.LogEvents_)
      Claims += Line.Event_ == "claim_asked";
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Claims);
  }

  /// Guards against two holders that grant leases: a holder that reaches
  /// neither peers nor the store is replaced, and its tenure ends within its
  /// validity of 6 s.
  void isolatedHolderStopsGranting() {
    FakeSite Site(3);
    Site.run(2s);
    const std::string Host = Site.holders()[0];
    Site.isolate(Host);
    Site.Store_.RefusedHosts_ = {Host};
    Site.run(6100ms);
    const cell::Holder &Old = *Site.entry(Host).Holder_;
    CPPUNIT_ASSERT(Site.Now_ >=
                   Old.TenureConfirmedAt_ + Old.Policy_.TenureValidity_);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), Site.holders().size());
    Site.reconnect(Host);
    Site.Store_.RefusedHosts_.clear();
    Site.run(1s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(1), Site.holders().size());
    CPPUNIT_ASSERT(Site.holders()[0] != Host);
  }

  /// Guards against a cell that waits for a holder after all hosts have
  /// restarted: for new records, or for the turn of a host that knows first
  /// that its own claim has ended.
  void restartedHolderClaimsAtOnce() {
    FakeSite Site(3);
    replaceHolder(Site);
    const std::string Holder = Site.holders()[0];
    for (const char *Host : {"e0", "e1", "e2"})
      Site.kill(Host);
    Site.run(500ms);
    for (const char *Host : {"e0", "e1", "e2"})
      Site.start(Host);
    Site.run(200ms);
    CPPUNIT_ASSERT(Site.holders() == std::vector<std::string>{Holder});
  }

  /// Guards against jobs that wait for the leases of workers which have ended
  /// while no host held the cell; users expect a start within 3 s.
  void workersThatLeaveWithTheHolderDelayNoJob() {
    FakeSite Site(3);
    for (const char *Worker : {"w0", "w1", "w2", "w3"})
      Site.addWorker(Worker, "a", 1);
    Site.run(3s);
    Site.submit("e0", "j",
                jobs::JobSpecBuilder()
                    .command("60000")
                    .step(2, {1000, 1000, FakeWorkerAccelerators}, 1min)
                    .build());
    Site.run(1s);
    const std::vector<std::string> First = startedOn(Site);
    CPPUNIT_ASSERT_EQUAL(std::size_t(2), First.size());
    Site.kill(Site.holders()[0]);
    for (const std::string &Worker : First)
      Site.crashWorker(Worker);
    while (Site.holders().empty())
      Site.run(100ms);
    Site.run(3s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(4), startedOn(Site).size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ElectionTest);
