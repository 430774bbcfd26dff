#include "testsupport.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;
using namespace std::chrono_literals;
using routing::Outcome;
using test::expect;
using test::summary;

/// Faults, their expected effects and the cases that produce them:
/// - requests that cannot be routed: refused, JSON error, not sent
///   (refusalsNameTheirReason)
/// - burst beyond the limits: refused as not run, queue bounded
///   (burstIsRefusedBeyondBounds)
/// - every attempt fails: retries within the budget
///   (retryBudgetHoldsUnderTotalFailure)
/// - attempt lost: retried only when idempotent (onlyIdempotentIsRetried)
/// - upstream appears while waiting: the waiting request is served
///   (newUpstreamServesWaiter)
/// - upstream drains: no request after the snapshot that shows it as unusable
///   (leavingUpstreamGetsNothing)
/// - stop with requests in flight: answered; new ones refused
///   (stopFinishesRequests)
/// - log unavailable before or while the intent is appended: refused, nothing
///   sent (logOutageRefusesKeyedRequests)
/// - append of IntentSettled fails: retried (settlingIsRetried)
class RequestServiceTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestServiceTest);
  CPPUNIT_TEST(refusalsNameTheirReason);
  CPPUNIT_TEST(burstIsRefusedBeyondBounds);
  CPPUNIT_TEST(retryBudgetHoldsUnderTotalFailure);
  CPPUNIT_TEST(onlyIdempotentIsRetried);
  CPPUNIT_TEST(newUpstreamServesWaiter);
  CPPUNIT_TEST(leavingUpstreamGetsNothing);
  CPPUNIT_TEST(stopFinishesRequests);
  CPPUNIT_TEST(logOutageRefusesKeyedRequests);
  CPPUNIT_TEST(settlingIsRetried);
  CPPUNIT_TEST_SUITE_END();

  test::SnapshotPublisher Snapshots_;
  test::FakeLog Log_;
  test::Gate Gate_;
  std::atomic<int> SentCount_{0};
  entry::RequestServicePorts Ports_;

public:
  void setUp() override {
    Snapshots_.addAgent("u0", 7, "u0", 2);
    Ports_.Snapshot_ = Snapshots_.source();
    Ports_.Intents_ = Log_.store();
    Ports_.Random_ = core::seededRandom(1);
    Ports_.Transport_.SendAttempt_ = [this](const std::string &,
                                            const model::RequestFrame &Frame,
                                            core::TimePoint) {
      ++SentCount_;
      return answered(Frame);
    };
  }

private:
  static routing::AttemptResult answered(const model::RequestFrame &Frame) {
    routing::AttemptResult Result;
    Result.Outcome_ = Outcome::Answered;
    Result.Answer_ = {Frame.Attempt_, 200, "text/plain", Frame.Body_};
    return Result;
  }

  /// Makes every attempt end with \p End.
  void failAttempts(Outcome End) {
    Ports_.Transport_.SendAttempt_ = [this, End](const std::string &,
                                                 const model::RequestFrame &,
                                                 core::TimePoint) {
      ++SentCount_;
      routing::AttemptResult Result;
      Result.Outcome_ = End;
      Result.Failure_.Code_ = "failed";
      return Result;
    };
  }

  /// Makes every attempt block at the gate.
  void holdAttempts() {
    Ports_.Transport_.SendAttempt_ = [this](const std::string &,
                                            const model::RequestFrame &Frame,
                                            core::TimePoint) {
      ++SentCount_;
      Gate_.pass();
      return answered(Frame);
    };
  }

  static std::vector<std::future<std::string>>
  postAtOnce(entry::RequestService &Service, int Count) {
    std::vector<std::future<std::string>> Callers;
    for (int I = 0; I < Count; ++I)
      Callers.push_back(std::async(std::launch::async, [&Service, I] {
        return summary(Service.handle(test::post(std::to_string(I))));
      }));
    return Callers;
  }

  /// Guards against refusals without a specific error code, on which a caller
  /// could not act.
  void refusalsNameTheirReason() {
    entry::RequestService Service({9}, Ports_);
    expect("404 not_run no_route", Service, test::get("/other"));
    net::HttpRequest Request = test::post("k");
    Request.Headers_.pop_back();
    expect("400 not_run key_required", Service, Request);
    Request.Headers_[0].second = "b";
    expect("403 not_run account_unknown", Service, Request);
    Request.Headers_.clear();
    expect("401 not_run account_missing", Service, Request);
    CPPUNIT_ASSERT_EQUAL(0, SentCount_.load());
    expect("200 k", Service, test::post("k"));
  }

  /// Guards against an unbounded queue in a burst of requests, and against
  /// refusing requests that ran.
  void burstIsRefusedBeyondBounds() {
    Snapshots_.change([](routing::RoutingSnapshot &Value) {
      Value.Pools_.Rows_[0].RequestLimit_ = 12;
      Value.Routes_.Rows_[0].QueueLimit_ = 3;
    });
    holdAttempts();
    test::Gate Refusals;
    Refusals.open();
    Ports_.Observer_.OnRequestEnd_ =
        [&](const entry::CompletedRequest &Record) {
          if (Record.Outcome_ == Outcome::NotRun)
            Refusals.pass();
        };
    entry::RequestService Service({9}, Ports_);
    auto Callers = postAtOnce(Service, 20);
    const test::GateOpener Open{Gate_};
    // All but five are refused: two have slots and three are queued.
    Refusals.awaitArrivals(15);
    Gate_.open();
    int Answered = 0;
    int Refused = 0;
    for (auto &Each : Callers) {
      const std::string Result = Each.get();
      Answered += Result.rfind("200 ", 0) == 0;
      Refused += Result == "429 not_run overloaded";
    }
    CPPUNIT_ASSERT_EQUAL(5, Answered);
    CPPUNIT_ASSERT_EQUAL(15, Refused);
    CPPUNIT_ASSERT_EQUAL(5, SentCount_.load());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Service.inFlight());
  }

  /// Guards against retries that multiply the load when every attempt fails.
  void retryBudgetHoldsUnderTotalFailure() {
    for (int I = 1; I < 6; ++I)
      Snapshots_.addAgent("u" + std::to_string(I), 7, "u", 8);
    failAttempts(Outcome::Unknown);
    const core::TimePoint Frozen{1h};
    Ports_.Clock_.Now_ = [Frozen] { return Frozen; };
    entry::RequestService Service({9}, Ports_);
    constexpr int Requests = 200;
    for (int I = 0; I < Requests; ++I)
      expect("504 unknown failed", Service, test::get("/i"));
    const int Retries = SentCount_ - Requests;
    CPPUNIT_ASSERT(Retries > Requests / 10);
    CPPUNIT_ASSERT(Retries <= Requests / 10 + 10);
  }

  /// Guards against retrying a non-idempotent request whose attempt was lost.
  void onlyIdempotentIsRetried() {
    Snapshots_.addAgent("u1", 7, "u1", 2);
    failAttempts(Outcome::Unknown);
    entry::RequestService Service({9}, Ports_);
    Service.handle(test::get("/i"));
    CPPUNIT_ASSERT_EQUAL(2, SentCount_.exchange(0));
    expect("504 unknown failed", Service, test::post("k"));
    CPPUNIT_ASSERT_EQUAL(1, SentCount_.load());
  }

  /// Guards against a queued request that does not notice a new upstream with a
  /// free slot.
  void newUpstreamServesWaiter() {
    holdAttempts();
    entry::RequestService Service({9}, Ports_);
    std::vector<std::future<net::HttpResponse>> Callers;
    const test::GateOpener Open{Gate_};
    for (int I = 0; I < 3; ++I)
      Callers.push_back(std::async(
          std::launch::async, [&] { return Service.handle(test::get("/i")); }));
    Gate_.awaitArrivals(2);
    Snapshots_.addAgent("u1", 7, "u1", 2);
    Service.snapshotChanged();
    Gate_.awaitArrivals(3);
    Gate_.open();
    for (auto &Each : Callers)
      CPPUNIT_ASSERT_EQUAL(200u, Each.get().Status_);
  }

  /// Guards against new requests for an upstream that the routing snapshot
  /// shows as unusable.
  void leavingUpstreamGetsNothing() {
    Snapshots_.addAgent("u1", 7, "u1", 2);
    std::map<std::string, int> Counts;
    Ports_.Transport_.SendAttempt_ = [&](const std::string &Address,
                                         const model::RequestFrame &Frame,
                                         core::TimePoint) {
      ++Counts[Address];
      return answered(Frame);
    };
    entry::RequestService Service({9}, Ports_);
    for (int I = 0; I < 100; ++I)
      Service.handle(test::get("/i"));
    CPPUNIT_ASSERT(Counts["u0"] > 0 && Counts["u1"] > 0);
    Snapshots_.change([](routing::RoutingSnapshot &Value) {
      Value.Upstreams_[0].Usable_ = false;
    });
    const int Before = Counts["u0"];
    for (int I = 0; I < 100; ++I)
      Service.handle(test::get("/i"));
    CPPUNIT_ASSERT_EQUAL(Before, Counts["u0"]);
    CPPUNIT_ASSERT_EQUAL(200 - Before, Counts["u1"]);
  }

  /// Guards against a stop that aborts requests in flight or never ends.
  void stopFinishesRequests() {
    holdAttempts();
    Snapshots_.change([](routing::RoutingSnapshot &Value) {
      Value.Pools_.Rows_[0].RequestLimit_ = 3;
    });
    test::Gate Admitted;
    Admitted.open();
    Ports_.Intents_.Find_ = [&](const model::IntentKey &Key) {
      Admitted.pass();
      return Log_.find(Key);
    };
    std::promise<std::size_t> Stopping;
    Ports_.Observer_.OnStop_ = [&](std::size_t InFlight) {
      Stopping.set_value(InFlight);
    };
    entry::RequestService Service({9}, Ports_);
    // The third request waits for a slot.
    auto Callers = postAtOnce(Service, 3);
    const test::GateOpener Open{Gate_};
    Admitted.awaitArrivals(3);
    Gate_.awaitArrivals(2);
    auto Stopped = std::async(std::launch::async, [&] { Service.stop(5s); });
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Stopping.get_future().get());
    expect("503 not_run stopping", Service, test::get("/i"));
    Gate_.open();
    for (int I = 0; I < 3; ++I)
      CPPUNIT_ASSERT_EQUAL("200 " + std::to_string(I), Callers[I].get());
    Stopped.get();
    for (int I = 0; I < 3; ++I)
      CPPUNIT_ASSERT(Log_.find({"a", std::to_string(I)})->State_ ==
                     model::IntentState::Settled);
  }

  /// Guards against dispatching a non-idempotent request whose intent is not
  /// known to be in the log.
  void logOutageRefusesKeyedRequests() {
    const std::string Refused = "503 not_run log_unavailable";
    entry::RequestService Service({9}, Ports_);
    Snapshots_.change(
        [](routing::RoutingSnapshot &Value) { Value.LogAvailable_ = false; });
    expect(Refused, Service, test::post("k"));
    CPPUNIT_ASSERT_EQUAL(0, Log_.AppendCount_);
    CPPUNIT_ASSERT_EQUAL(200u, Service.handle(test::get("/i")).Status_);
    Snapshots_.change(
        [](routing::RoutingSnapshot &Value) { Value.LogAvailable_ = true; });
    SentCount_ = 0;
    Log_.setMode(test::FakeLog::Mode::LosesAppends);
    expect(Refused, Service, test::post("k"));
    Log_.setMode(test::FakeLog::Mode::LosesResults);
    expect(Refused, Service, test::post("l"));
    CPPUNIT_ASSERT_EQUAL(0, SentCount_.load());
  }

  /// Guards against intents of answered keys that are never settled, because
  /// the first append of IntentSettled failed.
  void settlingIsRetried() {
    Ports_.Transport_.SendAttempt_ = [this](const std::string &,
                                            const model::RequestFrame &Frame,
                                            core::TimePoint) {
      Log_.setMode(test::FakeLog::Mode::LosesAppends);
      return answered(Frame);
    };
    test::Gate Appended;
    Appended.open();
    Ports_.Intents_.Submit_ = [&](model::RecordBody Body, core::Duration) {
      auto Result = Log_.submit(std::move(Body));
      Appended.pass();
      return Result;
    };
    entry::RequestService Service({9}, Ports_);
    expect("200 k", Service, test::post("k"));
    Appended.awaitArrivals(2);
    CPPUNIT_ASSERT(Log_.find({"a", "k"})->State_ ==
                   model::IntentState::Dispatched);
    Log_.setMode(test::FakeLog::Mode::Works);
    Service.stop(30s);
    CPPUNIT_ASSERT(Log_.find({"a", "k"})->State_ ==
                   model::IntentState::Settled);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestServiceTest);
