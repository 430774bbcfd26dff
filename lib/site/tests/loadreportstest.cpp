#include "fakesite.h"
#include <cmath>
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;
using namespace nutmegwell::site;
using namespace std::chrono_literals;

namespace {

/// Returns a job of one task that takes a quarter of a simulated worker for
/// 1 s, which is also its objective.
jobs::JobSpec shortJob() {
  return jobs::JobSpecBuilder()
      .command("1000")
      .step(1, {1000, 1000, FakeTaskAccelerators}, 1s)
      .build();
}

void enableAll(FakeSite &Site, int Hosts) {
  for (int I = 0; I < Hosts; ++I)
    Site.entry("e" + std::to_string(I))
        .Settings_.Policy_.LoadAdmission_.Enabled_ = true;
}

/// Submits \p Count jobs to a host; all arrive at once.
std::vector<CallToken> submitBurst(FakeSite &Site, const std::string &Host,
                                   const std::string &Name, int Count) {
  std::vector<CallToken> Tokens;
  for (int I = 0; I < Count; ++I)
    Tokens.push_back(Site.submit(Host, Name + std::to_string(I), shortJob()));
  return Tokens;
}

std::size_t countEvents(const FakeSite &Site, const std::string &Event) {
  return std::count_if(
      Site.LogEvents_.begin(), Site.LogEvents_.end(),
      [&](const core::LogEvent &Line) { return Line.Event_ == Event; });
}

/// Returns the name of a host that does not hold the cell.
std::string otherHost(const FakeSite &Site) {
  return Site.holders().at(0) == "e1" ? "e2" : "e1";
}

bool knowsOverload(FakeSite &Site, const std::string &Host) {
  const KnownLoad &Known = Site.entry(Host).Load_;
  return Known.Report_ && Known.Report_->Overloaded_;
}

} // namespace

/// Load reports on a site of three entry hosts and one worker that runs four
/// jobs of 1 s at a time.
class LoadReportsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoadReportsTest);
  CPPUNIT_TEST(overloadIsReportedToAllHosts);
  CPPUNIT_TEST(endOfAnOverloadIsReportedOnce);
  CPPUNIT_TEST(nothingIsSentWhileDisabled);
  CPPUNIT_TEST(reportOfAnEarlierTermIsIgnored);
  CPPUNIT_TEST(reportOfAnotherHostIsIgnored);
  CPPUNIT_TEST(malformedReportChangesNothing);
  CPPUNIT_TEST_SUITE_END();

  /// Starts a site and fills its worker for 5 s.
  static void startOverload(FakeSite &Site, bool Enabled) {
    Site.addWorker("w0", "a", 1);
    if (Enabled)
      enableAll(Site, 3);
    Site.run(3s);
    submitBurst(Site, "e0", "b", 24);
    Site.run(600ms);
  }

  static cell::LoadReport reportOf(FakeSite &Site) {
    return *Site.entry(Site.holders().at(0)).Load_.Report_;
  }

  static void deliverReport(FakeSite &Site, const std::string &Host,
                            const cell::LoadReport &Report) {
    EntryEffects Out;
    onMessage(Site.entry(Host), {1, Site.Now_}, Report, Site.Now_, Site.Wall_,
              Out);
    std::move(Out.LogEvents_.begin(), Out.LogEvents_.end(),
              std::back_inserter(Site.LogEvents_));
  }

public:
  /// Guards against hosts that accept hopeless jobs because only the holder
  /// knows the load.
  void overloadIsReportedToAllHosts() {
    FakeSite Site(3);
    startOverload(Site, true);
    for (const char *Host : {"e0", "e1", "e2"}) {
      CPPUNIT_ASSERT(knowsOverload(Site, Host));
      CPPUNIT_ASSERT(Site.Now_ - Site.entry(Host).Load_.ReceivedAt_ <= 300ms);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t(3), countEvents(Site, "load_reported"));
  }

  /// Guards against hosts that refuse jobs after the overload until the report
  /// is old, and against messages while there is nothing to report.
  void endOfAnOverloadIsReportedOnce() {
    FakeSite Site(3);
    startOverload(Site, true);
    Site.run(10s);
    const std::string Other = otherHost(Site);
    CPPUNIT_ASSERT(!knowsOverload(Site, Other));
    CPPUNIT_ASSERT(!Site.entry(Other).Load_.Report_->Overloaded_);
    CPPUNIT_ASSERT(Site.Now_ - Site.entry(Other).Load_.ReceivedAt_ > 1s);
    CPPUNIT_ASSERT_EQUAL(std::size_t(6), countEvents(Site, "load_reported"));
  }

  /// Guards against a message that hosts of the version before do not know.
  void nothingIsSentWhileDisabled() {
    FakeSite Site(3);
    startOverload(Site, false);
    for (const char *Host : {"e0", "e1", "e2"})
      CPPUNIT_ASSERT(!Site.entry(Host).Load_.Report_);
    CPPUNIT_ASSERT_EQUAL(std::size_t(0), countEvents(Site, "load_reported"));
  }

  /// Guards against a holder whose tenure has ended and that is believed once
  /// more, and against a new holder whose reports are taken for old ones.
  void reportOfAnEarlierTermIsIgnored() {
    FakeSite Site(3);
    startOverload(Site, true);
    const std::string Other = otherHost(Site);
    cell::LoadReport Report = reportOf(Site);
    const core::Term Term = Report.Term_;
    Report.Overloaded_ = false;
    Report.Term_ = Term - 1;
    deliverReport(Site, Other, Report);
    CPPUNIT_ASSERT(knowsOverload(Site, Other));
    Report.Term_ = Term + 1000;
    Report.Host_ = "e9";
    deliverReport(Site, Other, Report);
    CPPUNIT_ASSERT(!knowsOverload(Site, Other));
    Site.run(500ms);
    CPPUNIT_ASSERT_EQUAL(Term + 1000, Site.entry(Other).Load_.Report_->Term_);
    Site.run(1s);
    CPPUNIT_ASSERT_EQUAL(Term, Site.entry(Other).Load_.Report_->Term_);
  }

  /// Guards against a host that does not hold the cell and is believed.
  void reportOfAnotherHostIsIgnored() {
    FakeSite Site(3);
    startOverload(Site, true);
    const std::string Other = otherHost(Site);
    cell::LoadReport Report = reportOf(Site);
    Report.Overloaded_ = false;
    Report.Host_ = "e9";
    deliverReport(Site, Other, Report);
    CPPUNIT_ASSERT(knowsOverload(Site, Other));
    CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                         countEvents(Site, "load_report_invalid"));
  }

  /// Guards against refusals, or admissions, by numbers that mean nothing.
  void malformedReportChangesNothing() {
    FakeSite Site(3);
    startOverload(Site, true);
    const std::string Other = otherHost(Site);
    const cell::LoadReport Good = reportOf(Site);
    for (double Value : {std::nan(""), -1.0, 1e300}) {
      cell::LoadReport Bad = Good;
      Bad.Overloaded_ = false;
      Bad.Services_.at(0).Queues_.at(0).Waiting_ = Value;
      deliverReport(Site, Other, Bad);
      CPPUNIT_ASSERT(knowsOverload(Site, Other));
    }
    cell::LoadReport Long = Good;
    Long.Overloaded_ = false;
    Long.Services_.resize(100000);
    deliverReport(Site, Other, Long);
    CPPUNIT_ASSERT(knowsOverload(Site, Other));
    CPPUNIT_ASSERT_EQUAL(std::size_t(4),
                         countEvents(Site, "load_report_invalid"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadReportsTest);
