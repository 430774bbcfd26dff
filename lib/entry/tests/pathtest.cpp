#include "nutmegwell/agent/requestserver.h"
#include "nutmegwell/entry/requestservice.h"
#include <cppunit/extensions/HelperMacros.h>

using namespace nutmegwell;
using namespace std::chrono_literals;

/// The path from an entry host to an upstream, over sockets.
class PathTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PathTest);
  CPPUNIT_TEST(requestReachesUpstreamAndBack);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against parts that each work and do not fit together.
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
    CPPUNIT_ASSERT(Agent.upstream().Present_);

    auto Snapshot = std::make_shared<routing::RoutingSnapshot>();
    Snapshot->LogAvailable_ = true;
    Snapshot->Routes_.Rows_ = {{"/s", "s", 5s, false, 4}};
    Snapshot->Pools_.Rows_.resize(1);
    Snapshot->Pools_.Rows_[0].Account_ = "a";
    Snapshot->Pools_.Rows_[0].Service_ = "s";
    Snapshot->Upstreams_ = {{"agent", 7, "d", "s",
                             net::toString(AgentSettings.Listen_), 2, 0, true}};
    entry::RequestServiceHooks Hooks;
    Hooks.Snapshot_ = [&] { return Snapshot; };
    Hooks.Transport_ = entry::tcpTransport({});
    Hooks.Intents_.Find_ = [](const model::IntentKey &) {
      return std::nullopt;
    };
    Hooks.Intents_.Submit_ = [](const model::RecordBody &, core::Duration) {
      model::FoldResult Result;
      Result.Accepted_ = true;
      return Result;
    };
    entry::RequestService Entry({9}, Hooks);
    net::HttpRequest Request;
    Request.Method_ = "POST";
    Request.Path_ = "/s/x";
    Request.Headers_ = {{"X-Client-Account", "a"}, {"Idempotency-Key", "k"}};
    Request.Body_ = "body";
    const net::HttpResponse Response = Entry.handle(Request);
    CPPUNIT_ASSERT_EQUAL(std::string("/s/x body"), Response.Body_);
    CPPUNIT_ASSERT_EQUAL(201u, Response.Status_);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PathTest);
