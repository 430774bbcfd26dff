#include "nutmegwell/wire/binary.h"
#include "testsupport.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;
using namespace std::chrono_literals;
using test::expect;
using test::summary;

// Runs the whole request path over sockets: entry hosts, framed TCP and agents,
// with a function in place of the upstream.

namespace {

/// An agent whose upstream is a function.
struct TestAgent {
  using Call = std::function<absl::StatusOr<net::HttpResponse>(
      const net::HttpRequest &)>;

  TestAgent(std::string Name, core::Incarnation Incarnation,
            const net::Address &Listen, Call Upstream, std::uint32_t Slots = 4,
            agent::AttemptBounds Bounds = agent::AttemptBounds())
      : Name_(std::move(Name)), Slots_(Slots) {
    Settings_.Incarnation_ = Incarnation;
    Settings_.Listen_ = Listen;
    Settings_.Announce_ = {"127.0.0.1", net::reserveTcpPort()};
    Settings_.Attempts_ = Bounds;
    Settings_.WorkingInterval_ = 20ms;
    // Long enough for a whole test, which announces the upstream only once.
    Settings_.AnnounceValid_ = 1h;
    agent::RequestServerPorts Ports;
    Ports.Call_ = [Upstream](const net::Address &,
                             const net::HttpRequest &Request,
                             core::Duration) { return Upstream(Request); };
    Ports.Stopping_ = [this](std::uint32_t) { Stopping_.set_value(); };
    Server_.emplace(Settings_, Ports);
    CPPUNIT_ASSERT_EQUAL(200u,
                         announce("POST", R"({"service":"s","port":1,)"
                                          R"("slots":)" +
                                              std::to_string(Slots) + "}"));
  }

  unsigned announce(const std::string &Method, const std::string &Body) {
    net::HttpRequest Request;
    Request.Method_ = Method;
    Request.Path_ = "/announce";
    Request.Body_ = Body;
    auto Response = net::HttpClient(Settings_.Announce_).call(Request, 10s);
    return Response.ok() ? Response->Status_ : 0;
  }

  void addTo(test::SnapshotPublisher &Snapshots) const {
    Snapshots.addAgent(Name_, Settings_.Incarnation_,
                       net::toString(Settings_.Listen_), Slots_);
  }

  const std::string Name_;
  const std::uint32_t Slots_;
  agent::RequestServerSettings Settings_;
  /// Set when the agent no longer accepts connections.
  std::promise<void> Stopping_;
  std::optional<agent::RequestServer> Server_;
};

absl::StatusOr<net::HttpResponse> echo(const net::HttpRequest &Request) {
  return net::HttpResponse{200, "text/plain", Request.Body_};
}

} // namespace

/// Faults, their expected effects and the cases that produce them:
/// - an answer to another attempt arrives first: dropped
///   (crossedAnswerIsDropped)
/// - connection falls silent, but new ones work: unknown, retried when
///   idempotent (silentConnectionIsAbandoned)
/// - slow upstream: working frames keep the connection alive
///   (workingFramesKeepSlowRequest)
/// - agent killed after dispatch, replaced with empty state: unknown, never run
///   again (replacedAgentEndsInUnknown)
/// - repeat through another entry host during and after the run: the answer
///   of that run; after the answer is evicted: unknown
///   (repeatGetsTheSameAnswer)
/// - append applied but its result lost: refused; a repeat runs once
///   (lostAppendResultRunsOnce)
/// - upstream's answer lost: unknown, run only once
///   (lostUpstreamAnswerIsUnknown)
/// - upstream refuses the connection: not run, key released
///   (unreachableUpstreamIsNotRun)
/// - agent stops under load: no request aborted, no new one accepted
///   (agentStopAbortsNoRequest)
/// - upstream full with another entry host's requests: refused as busy, never
///   more requests than slots (busyAgentRefusesInTime)
/// - malformed or unexpected frame at an agent: connection closed
///   (malformedFrameClosesConnection)
/// - invalid announcement: refused (badAnnouncementIsRefused)
class FaultTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FaultTest);
  CPPUNIT_TEST(crossedAnswerIsDropped);
  CPPUNIT_TEST(silentConnectionIsAbandoned);
  CPPUNIT_TEST(workingFramesKeepSlowRequest);
  CPPUNIT_TEST(replacedAgentEndsInUnknown);
  CPPUNIT_TEST(repeatGetsTheSameAnswer);
  CPPUNIT_TEST(lostAppendResultRunsOnce);
  CPPUNIT_TEST(lostUpstreamAnswerIsUnknown);
  CPPUNIT_TEST(unreachableUpstreamIsNotRun);
  CPPUNIT_TEST(agentStopAbortsNoRequest);
  CPPUNIT_TEST(busyAgentRefusesInTime);
  CPPUNIT_TEST(malformedFrameClosesConnection);
  CPPUNIT_TEST(badAnnouncementIsRefused);
  CPPUNIT_TEST_SUITE_END();

  test::SnapshotPublisher Snapshots_;
  test::FakeLog Log_;
  net::Address Address_{"127.0.0.1", net::reserveTcpPort()};

  std::unique_ptr<entry::RequestService>
  makeEntryHost(core::Incarnation Incarnation, core::Duration SilenceTimeout) {
    entry::TransportSettings Transport;
    Transport.SilenceTimeout_ = SilenceTimeout;
    entry::RequestServicePorts Ports;
    Ports.Snapshot_ = Snapshots_.source();
    Ports.Intents_ = Log_.store();
    Ports.Transport_ = entry::tcpTransport(Transport);
    Ports.Random_ = core::seededRandom(Incarnation);
    return std::make_unique<entry::RequestService>(
        entry::RequestServiceSettings{Incarnation}, Ports);
  }

  /// Guards against a caller receiving another caller's answer, when an answer
  /// to another attempt arrives first on the same connection.
  void crossedAnswerIsDropped() {
    net::FrameServer Agent(
        Address_, {},
        [](net::FrameConnection &Connection, const std::string &Bytes) {
          const core::AttemptId Own =
              std::get<model::RequestFrame>(*wire::decodeFrame(Bytes)).Attempt_;
          const model::AnswerFrame Late{
              {Own.Writer_, Own.Sequence_ + 1}, 200, "text/plain", "another's"};
          const model::AnswerFrame Right{Own, 200, "text/plain", "own"};
          return Connection.send(wire::encode(model::Frame(Late))).ok() &&
                 Connection.send(wire::encode(model::Frame(Right))).ok();
        });
    Snapshots_.addAgent("u", 7, net::toString(Address_), 4);
    auto Entry = makeEntryHost(9, 10s);
    for (int I = 0; I < 3; ++I)
      expect("200 own", *Entry, test::get("/i"));
  }

  /// Guards against a request that hangs on a dead connection, and against
  /// retrying a request that must not run twice.
  void silentConnectionIsAbandoned() {
    std::atomic<int> Frames{0};
    net::FrameServer Agent(Address_, {},
                           [&](net::FrameConnection &, const std::string &) {
                             ++Frames;
                             return true;
                           });
    Snapshots_.addAgent("silent", 7, net::toString(Address_), 4);
    auto Entry = makeEntryHost(9, 50ms);
    expect("504 unknown connection_silent", *Entry, test::post("k"));
    CPPUNIT_ASSERT_EQUAL(1, Frames.load());
    TestAgent Other("other", 8, {"127.0.0.1", net::reserveTcpPort()}, echo);
    Other.addTo(Snapshots_);
    int Answered = 0;
    for (int I = 0; I < 10; ++I)
      Answered += Entry->handle(test::get("/i")).Status_ == 200;
    CPPUNIT_ASSERT_EQUAL(10, Answered);
  }

  /// Guards against treating a slow request as a silent connection: working
  /// frames must keep the connection alive.
  void workingFramesKeepSlowRequest() {
    constexpr core::Duration Silence = 500ms;
    std::promise<void> Never;
    TestAgent Agent("u", 7, Address_, [&](const net::HttpRequest &Request) {
      Never.get_future().wait_for(3 * Silence);
      return echo(Request);
    });
    Agent.addTo(Snapshots_);
    expect("200 k", *makeEntryHost(9, Silence), test::post("k"));
  }

  /// Guards against running a request again after the agent that may have run
  /// it was replaced by one with empty state.
  void replacedAgentEndsInUnknown() {
    std::atomic<int> Runs{0};
    auto Killed = std::make_unique<net::FrameServer>(
        Address_, net::FrameLimits(),
        [&](net::FrameConnection &, const std::string &) {
          ++Runs;
          return false;
        });
    Snapshots_.addAgent("u", 7, net::toString(Address_), 4);
    auto Entry = makeEntryHost(9, 10s);
    auto Other = makeEntryHost(10, 10s);
    expect("504 unknown connection_lost", *Entry, test::post("k"));
    Killed.reset();
    TestAgent Replaced("u", 8, Address_, [&](const net::HttpRequest &Request) {
      ++Runs;
      return echo(Request);
    });
    // First with a routing snapshot that still names the old agent, then with
    // one that names the new agent.
    expect("504 unknown other_incarnation", *Other, test::post("k"));
    expect("503 not_run other_incarnation", *Other, test::post("new"));
    Snapshots_.change(
        [](routing::RoutingSnapshot &Value) { Value.Upstreams_.clear(); });
    Replaced.addTo(Snapshots_);
    expect("504 unknown agent_replaced", *Entry, test::post("k"));
    CPPUNIT_ASSERT_EQUAL(1, Runs.load());
    expect("200 new", *Entry, test::post("new"));
  }

  /// Guards against a repeated request that runs again or gets no answer, when
  /// it arrives at another entry host during or after the first run.
  void repeatGetsTheSameAnswer() {
    test::Gate Gate;
    agent::AttemptBounds Bounds;
    Bounds.MaxAttempts_ = 1;
    TestAgent Agent(
        "u", 7, Address_,
        [&](const net::HttpRequest &Request) {
          Gate.pass();
          return net::HttpResponse{201, "text/plain",
                                   Request.Body_ +
                                       std::to_string(Gate.arrived())};
        },
        4, Bounds);
    Agent.addTo(Snapshots_);
    auto First = makeEntryHost(9, 10s);
    auto Second = makeEntryHost(10, 10s);
    auto Original = std::async(std::launch::async,
                               [&] { return First->handle(test::post("k")); });
    const test::GateOpener Open{Gate};
    Gate.awaitArrivals(1);
    auto Repeat = std::async(std::launch::async,
                             [&] { return Second->handle(test::post("k")); });
    Gate.open();
    CPPUNIT_ASSERT_EQUAL(std::string("201 k1"), summary(Original.get()));
    CPPUNIT_ASSERT_EQUAL(std::string("201 k1"), summary(Repeat.get()));
    First.reset();
    expect("201 k1", *Second, test::post("k"));
    CPPUNIT_ASSERT_EQUAL(1, Gate.arrived());
    // The table holds one answer, so the answer of another key evicts the
    // first.
    Second->handle(test::post("l"));
    expect("504 unknown forgotten", *Second, test::post("k"));
    CPPUNIT_ASSERT_EQUAL(2, Gate.arrived());
  }

  /// Guards against an intent that blocks its key, or a key that runs twice,
  /// after the append took effect but its result was lost.
  void lostAppendResultRunsOnce() {
    std::atomic<int> Runs{0};
    TestAgent Agent("u", 7, Address_, [&](const net::HttpRequest &Request) {
      ++Runs;
      return echo(Request);
    });
    Agent.addTo(Snapshots_);
    auto First = makeEntryHost(9, 10s);
    auto Second = makeEntryHost(10, 10s);
    Log_.setMode(test::FakeLog::Mode::LosesResults);
    expect("503 not_run log_unavailable", *First, test::post("k"));
    CPPUNIT_ASSERT_EQUAL(0, Runs.load());
    Log_.setMode(test::FakeLog::Mode::Works);
    for (entry::RequestService *Each : {Second.get(), First.get()})
      expect("200 k", *Each, test::post("k"));
    CPPUNIT_ASSERT_EQUAL(1, Runs.load());
  }

  /// Guards against reporting "not run" for a request that ran but whose answer
  /// from the upstream was lost.
  void lostUpstreamAnswerIsUnknown() {
    std::atomic<int> Runs{0};
    TestAgent Agent(
        "u", 7, Address_,
        [&](const net::HttpRequest &) -> absl::StatusOr<net::HttpResponse> {
          ++Runs;
          return core::makeError(absl::StatusCode::kUnavailable, "exchange", "",
                                 "closed");
        });
    Agent.addTo(Snapshots_);
    auto First = makeEntryHost(9, 10s);
    auto Second = makeEntryHost(10, 10s);
    for (entry::RequestService *Each : {First.get(), Second.get()})
      expect("504 unknown upstream_failed", *Each, test::post("k"));
    CPPUNIT_ASSERT_EQUAL(1, Runs.load());
  }

  /// Guards against reporting "unknown" for a request that certainly did not
  /// run, because the upstream refused the connection, and against a key that
  /// stays taken afterwards.
  void unreachableUpstreamIsNotRun() {
    bool Reachable = false;
    TestAgent Agent("u", 7, Address_,
                    [&](const net::HttpRequest &Request)
                        -> absl::StatusOr<net::HttpResponse> {
                      if (Reachable)
                        return echo(Request);
                      return core::makeError(absl::StatusCode::kUnavailable,
                                             "connect", "", "refused");
                    });
    Agent.addTo(Snapshots_);
    auto Entry = makeEntryHost(9, 10s);
    expect("503 not_run upstream_unreachable", *Entry, test::post("k"));
    CPPUNIT_ASSERT(!Log_.find({"a", "k"}));
    Reachable = true;
    expect("200 k", *Entry, test::post("k"));
  }

  /// Guards against a graceful stop of an agent that aborts requests in flight
  /// or accepts new ones.
  void agentStopAbortsNoRequest() {
    test::Gate Gate;
    std::atomic<int> DrainingRuns{0};
    TestAgent Draining("left", 7, Address_,
                       [&](const net::HttpRequest &Request) {
                         ++DrainingRuns;
                         Gate.pass();
                         return echo(Request);
                       });
    test::Gate OtherGate;
    OtherGate.open();
    TestAgent Other("stays", 8, {"127.0.0.1", net::reserveTcpPort()},
                    [&](const net::HttpRequest &Request) {
                      OtherGate.pass();
                      return echo(Request);
                    });
    Draining.addTo(Snapshots_);
    Other.addTo(Snapshots_);
    auto Entry = makeEntryHost(9, 10s);
    std::atomic<int> Answered{0};
    std::vector<std::future<void>> Callers;
    const test::GateOpener Open{Gate};
    for (int Caller = 0; Caller < 6; ++Caller)
      Callers.push_back(std::async(std::launch::async, [&, Caller] {
        for (int I = 0; I < 100; ++I) {
          const std::string Key = std::to_string(Caller * 100 + I);
          Answered += summary(Entry->handle(test::post(Key))) == "200 " + Key;
        }
      }));
    Gate.awaitArrivals(1);
    // The snapshot still lists the agent as usable, so it refuses requests,
    // which are then sent elsewhere.
    Draining.Server_->leave();
    const std::uint32_t InFlight = Draining.Server_->upstream().InFlight_;
    OtherGate.awaitArrivals(OtherGate.arrived() + 50);
    // The entry host learns from a heartbeat that the agent drains; then the
    // agent stops.
    Snapshots_.change([](routing::RoutingSnapshot &Value) {
      Value.Upstreams_[0].Usable_ = false;
    });
    Entry->snapshotChanged();
    auto Stopped =
        std::async(std::launch::async, [&] { Draining.Server_->stop(); });
    Draining.Stopping_.get_future().wait();
    CPPUNIT_ASSERT(!net::FrameConnection::connect(Address_, {}, 5s).ok());
    Gate.open();
    Stopped.get();
    for (auto &Each : Callers)
      Each.get();
    CPPUNIT_ASSERT_EQUAL(600, Answered.load());
    CPPUNIT_ASSERT(InFlight >= 1);
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(InFlight), DrainingRuns.load());
  }

  /// Guards against a request that waits forever for a slot that another entry
  /// host's request occupies, and against more requests at an upstream than it
  /// has slots.
  void busyAgentRefusesInTime() {
    test::Gate Gate;
    TestAgent Agent(
        "u", 7, Address_,
        [&](const net::HttpRequest &Request) {
          Gate.pass();
          return echo(Request);
        },
        1);
    Agent.addTo(Snapshots_);
    auto First = makeEntryHost(9, 10s);
    auto Second = makeEntryHost(10, 10s);
    auto Held = std::async(std::launch::async,
                           [&] { return First->handle(test::post("k")); });
    const test::GateOpener Open{Gate};
    Gate.awaitArrivals(1);
    expect("503 not_run busy", *Second, test::post("l"));
    CPPUNIT_ASSERT_EQUAL(1, Gate.arrived());
    // The first request records one intent; each attempt of the second records
    // and releases one.
    CPPUNIT_ASSERT_EQUAL(1 + 2 * static_cast<int>(routing::MaxAttempts),
                         Log_.AppendCount_);
    Gate.open();
    CPPUNIT_ASSERT_EQUAL(std::string("200 k"), summary(Held.get()));
    expect("200 l", *Second, test::post("l"));
  }

  /// Guards against a malformed frame that crashes the agent.
  void malformedFrameClosesConnection() {
    TestAgent Agent("u", 7, Address_, echo);
    const std::string Truncated =
        wire::encode(model::Frame(model::RequestFrame())).substr(0, 20);
    for (const std::string &Bytes :
         {std::string(), std::string("GET / HTTP/1.1\r\n\r\n"), Truncated,
          wire::encode(model::Frame(model::StateFrame()))}) {
      auto Connection = net::FrameConnection::connect(Address_, {}, 5s);
      CPPUNIT_ASSERT((*Connection)->send(Bytes).ok());
      CPPUNIT_ASSERT(absl::IsUnavailable((*Connection)->receive(5s).status()));
    }
    Agent.addTo(Snapshots_);
    expect("200 k", *makeEntryHost(9, 10s), test::post("k"));
  }

  /// Guards against an invalid announcement that replaces a valid one, and
  /// against new requests for an upstream that has withdrawn its announcement.
  void badAnnouncementIsRefused() {
    TestAgent Agent("u", 7, Address_, echo);
    for (const char *Bad :
         {"", "[]", "{}", R"({"service":"t","port":70000,"slots":1})",
          R"({"service":"t","port":1,"slots":0})",
          R"({"service":"","port":1,"slots":1})",
          R"({"service":"t","port":"x","slots":1})"})
      CPPUNIT_ASSERT_EQUAL(400u, Agent.announce("POST", Bad));
    CPPUNIT_ASSERT_EQUAL(std::string("s"), Agent.Server_->upstream().Service_);
    CPPUNIT_ASSERT_EQUAL(200u, Agent.announce("DELETE", ""));
    CPPUNIT_ASSERT(Agent.Server_->upstream().Leaving_);
    Agent.addTo(Snapshots_);
    expect("503 not_run leaving", *makeEntryHost(9, 10s), test::post("k"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FaultTest);
