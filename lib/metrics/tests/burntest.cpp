#include "nutmegwell/metrics/burn.h"
#include "nutmegwell/wire/json.h"
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>
#include <thread>

using namespace nutmegwell;
using namespace std::chrono_literals;
using metrics::RequestOutcome;

class BurnTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BurnTest);
  CPPUNIT_TEST(errorsAreRefusedUnknownAndSlow);
  CPPUNIT_TEST(windowsExcludeOlderRequests);
  CPPUNIT_TEST(alertRequiresBothWindows);
  CPPUNIT_TEST(burnRateIsZeroWithoutRequests);
  CPPUNIT_TEST(countsMatchAListOfRequests);
  CPPUNIT_TEST(accountsBeyondTheLimitShareOneRow);
  CPPUNIT_TEST(concurrentRequestsAreAllCounted);
  CPPUNIT_TEST(jsonContainsEveryRow);
  CPPUNIT_TEST_SUITE_END();

  core::TimePoint Now_{1000000s};
  const metrics::Objective Objective_{0.01, 200ms};
  metrics::BurnMeter Meter_{Objective_};

  void record(int Count, RequestOutcome Outcome, core::Duration Latency) {
    for (int I = 0; I < Count; ++I)
      Meter_.record("a", "s", Outcome, Latency, Now_);
  }

  metrics::BurnRow row() const { return Meter_.report(Now_).Rows_.at(0); }

  /// Guards against errors that are not counted, and against cancelled requests
  /// that are counted as errors.
  void errorsAreRefusedUnknownAndSlow() {
    record(94, RequestOutcome::Answered, 200ms);
    record(3, RequestOutcome::Answered, 201ms);
    record(2, RequestOutcome::Refused, 1ms);
    record(1, RequestOutcome::Unknown, 5s);
    record(50, RequestOutcome::Cancelled, 9s);
    const auto Row = row();
    CPPUNIT_ASSERT_EQUAL(100u, Row.Short_.Counts_.Requests_);
    CPPUNIT_ASSERT_EQUAL(3u, Row.Short_.Counts_.Slow_);
    CPPUNIT_ASSERT_EQUAL(2u, Row.Short_.Counts_.Refused_);
    CPPUNIT_ASSERT_EQUAL(1u, Row.Short_.Counts_.Unknown_);
    CPPUNIT_ASSERT_EQUAL(50u, Row.Short_.Counts_.Cancelled_);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.06, Row.Short_.ErrorRate_, 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(6.0, Row.Short_.BurnRate_, 1e-9);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(6.0, Row.Long_.BurnRate_, 1e-9);
  }

  /// Guards against errors that are still counted after they left the window.
  void windowsExcludeOlderRequests() {
    record(10, RequestOutcome::Refused, 1ms);
    Now_ += 5min;
    CPPUNIT_ASSERT_EQUAL(10u, row().Short_.Counts_.Refused_);
    Now_ += 31s;
    CPPUNIT_ASSERT_EQUAL(0u, row().Short_.Counts_.Refused_);
    CPPUNIT_ASSERT_EQUAL(10u, row().Long_.Counts_.Refused_);
    Now_ += 55min;
    CPPUNIT_ASSERT_EQUAL(0u, row().Long_.Counts_.Refused_);
    // A later bucket reuses the same slot of the ring buffer.
    record(1, RequestOutcome::Answered, 1ms);
    CPPUNIT_ASSERT_EQUAL(1u, row().Long_.Counts_.Requests_);
  }

  /// Guards against an alert for errors that no longer occur.
  void alertRequiresBothWindows() {
    record(100, RequestOutcome::Refused, 1ms);
    CPPUNIT_ASSERT(row().Alert_);
    Now_ += 6min;
    record(100, RequestOutcome::Answered, 1ms);
    CPPUNIT_ASSERT(row().Long_.BurnRate_ >= metrics::AlertBurnRate);
    CPPUNIT_ASSERT(!row().Alert_);
  }

  /// Guards against a division by zero when all requests were cancelled.
  void burnRateIsZeroWithoutRequests() {
    record(5, RequestOutcome::Cancelled, 1ms);
    CPPUNIT_ASSERT_EQUAL(0.0, row().Short_.BurnRate_);
    CPPUNIT_ASSERT_EQUAL(0.0, row().Long_.ErrorRate_);
  }

  /// Guards against buckets that are counted twice or omitted. The counts must
  /// equal those computed from a list of the same requests.
  void countsMatchAListOfRequests() {
    const bool Passed = rc::check("ring buffer matches list", [] {
      const metrics::BurnWindows Windows{10s, 30s, 100s};
      metrics::BurnSeries Series;
      std::vector<std::int64_t> Seconds;
      std::int64_t At = 5000;
      for (auto Step : *rc::gen::container<std::vector<std::int64_t>>(
               rc::gen::inRange<std::int64_t>(0, 40))) {
        At += Step;
        Seconds.push_back(At);
        metrics::addRequest(Series, Windows, RequestOutcome::Unknown, 0s,
                            core::TimePoint(std::chrono::seconds(At)));
      }
      for (std::int64_t Window : {30, 100}) {
        std::uint32_t Expected = 0;
        for (std::int64_t Second : Seconds)
          Expected += Second / 10 >= At / 10 - Window / 10;
        const auto BurnRate = metrics::computeBurnRate(
            Series, Windows, std::chrono::seconds(Window),
            core::TimePoint(std::chrono::seconds(At)));
        RC_ASSERT(BurnRate.Counts_.Unknown_ == Expected);
      }
    });
    CPPUNIT_ASSERT(Passed);
  }

  /// Guards against account names from callers that exhaust memory.
  void accountsBeyondTheLimitShareOneRow() {
    const std::size_t Extra = 500;
    for (std::size_t I = 0; I < metrics::BurnMeter::MaxSeries + Extra; ++I)
      Meter_.record(std::to_string(I), "s", RequestOutcome::Answered, 1ms,
                    Now_);
    const auto Report = Meter_.report(Now_);
    CPPUNIT_ASSERT_EQUAL(metrics::BurnMeter::MaxSeries + 1,
                         Report.Rows_.size());
    CPPUNIT_ASSERT_EQUAL(std::string("(other)"), Report.Rows_.front().Account_);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{Extra},
                         Report.Rows_.front().Short_.Counts_.Requests_);
  }

  /// Guards against lost updates when several threads record requests.
  void concurrentRequestsAreAllCounted() {
    std::vector<std::thread> Threads;
    for (int T = 0; T < 4; ++T)
      Threads.emplace_back([this] {
        for (int I = 0; I < 5000; ++I)
          Meter_.record("a", "s", RequestOutcome::Answered, 1ms, Now_);
      });
    for (int I = 0; I < 20; ++I)
      Meter_.report(Now_);
    for (std::thread &Thread : Threads)
      Thread.join();
    CPPUNIT_ASSERT_EQUAL(20000u, row().Short_.Counts_.Requests_);
  }

  /// Guards against a report that the client cannot parse, and against UTF-8
  /// account names that are encoded as if they were Latin-1.
  void jsonContainsEveryRow() {
    record(1, RequestOutcome::Refused, 1ms);
    const std::string Account = "b\"\xC3\xBC\xE2\x82\xAC";
    Meter_.record(Account, "s", RequestOutcome::Answered, 1ms, Now_);
    const auto Root = wire::parseJson(metrics::formatBurn(Meter_.report(Now_)));
    const auto &Rows = Root->getMember("rows");
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Rows.memberCount());
    CPPUNIT_ASSERT_EQUAL(Account,
                         wire::textMember(Rows.getMember(1), "account"));
    double BurnRate = 0;
    Rows.getMember(0).getMember("short").getMember("burn", BurnRate);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(100.0, BurnRate, 1e-6);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BurnTest);
