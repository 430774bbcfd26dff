#include "testsupport.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;
using namespace std::chrono_literals;

/// Sends a request from an entry host through an agent to an upstream over real
/// sockets.
class PathTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PathTest);
  CPPUNIT_TEST(requestReachesUpstreamAndBack);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against components that work alone but do not work together.
  void requestReachesUpstreamAndBack() {
    const net::Address Upstream{"127.0.0.1", net::reserveTcpPort()};
    net::HttpServer Server(
        Upstream, net::HttpLimits(), [](const net::HttpRequest &Request) {
          return net::HttpResponse{201, "text/plain",
                                   Request.Path_ + " " + Request.Body_};
        });
    agent::RequestServerSettings AgentSettings;
    AgentSettings.Incarnation_ = 7;
    AgentSettings.Listen_ = {"127.0.0.1", net::reserveTcpPort()};
    AgentSettings.Announce_ = {"127.0.0.1", net::reserveTcpPort()};
    agent::RequestServer Agent(AgentSettings);
    net::HttpRequest Announcement;
    Announcement.Method_ = "POST";
    Announcement.Path_ = "/announce";
    Announcement.Body_ = R"({"service":"s","port":)" +
                         std::to_string(Upstream.Port_) + R"(,"slots":2})";
    auto Announced =
        net::HttpClient(AgentSettings.Announce_).call(Announcement, 5s);
    CPPUNIT_ASSERT(Announced.ok() && Announced->Status_ == 200);
    CPPUNIT_ASSERT(Agent.upstream().Announced_);

    test::SnapshotPublisher Snapshots;
    Snapshots.addAgent("agent", 7, net::toString(AgentSettings.Listen_), 2);
    test::FakeLog Log;
    entry::RequestServicePorts Ports;
    Ports.Snapshot_ = Snapshots.source();
    Ports.Intents_ = Log.store();
    Ports.Transport_ = entry::tcpTransport({});
    entry::RequestService Entry({9}, Ports);
    test::expect("201 /s/x k", Entry, test::post("k"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PathTest);
