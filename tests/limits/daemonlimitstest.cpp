#include "cluster.h"
#include "crowd.h"
#include "processusage.h"
#include <cppunit/extensions/HelperMacros.h>
#include <iostream>
#include <sys/resource.h>

using namespace nutmegwell;
using namespace std::chrono_literals;
using limits::ClientPlan;
using limits::Crowd;
using limits::Usage;

namespace {

/// Memory of the smallest host, and descriptors of the processes under test.
constexpr std::size_t MemoryBound = 128000000;
constexpr std::size_t DescriptorLimit = 400;

/// Few connections that together send four times the memory.
constexpr std::size_t EndlessCrowd = 8;
constexpr std::size_t EndlessSize = 4 * MemoryBound / EndlessCrowd;
/// Connections whose bodies take twice the memory, within the descriptors.
constexpr std::size_t BodyCrowd = 256;
constexpr std::size_t BodySize = 2 * MemoryBound / BodyCrowd;
constexpr std::size_t ConnectionCrowd = 2 * DescriptorLimit;
constexpr std::size_t LineSize = 900;

constexpr int Entry = 1;

const std::string Chunked =
    "POST /svc/a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

/// Clients that misuse the HTTP port of an entry host in the role entry. The
/// process has the descriptors of a small host and must stay within its memory.
class DaemonLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DaemonLimitsTest);
  CPPUNIT_TEST(trailersToRoleEntry);
  CPPUNIT_TEST(extensionsToRoleEntry);
  CPPUNIT_TEST(largeChunksToRoleEntry);
  CPPUNIT_TEST(byteChunksToRoleEntry);
  CPPUNIT_TEST(shortBodiesToRoleEntry);
  CPPUNIT_TEST(unreadResponsesOfRoleEntry);
  CPPUNIT_TEST(silentClientsOfRoleEntry);
  CPPUNIT_TEST_SUITE_END();

  std::unique_ptr<e2e::Cluster> Cluster_;

  pid_t process() const { return Cluster_->EntryHosts_.at(Entry)->id(); }

  void check(const std::string &When) const {
    const Usage Now = limits::settledUsage(process());
    std::cout << " " << When << ": peak " << Now.PeakBytes_ / 1000 << " KB of "
              << MemoryBound / 1000 << ", descriptors " << Now.Descriptors_
              << " of " << DescriptorLimit;
    CPPUNIT_ASSERT_MESSAGE("the process has ended " + When, Now.Alive_);
    CPPUNIT_ASSERT_MESSAGE("too much memory " + When,
                           Now.PeakBytes_ <= MemoryBound);
    CPPUNIT_ASSERT_MESSAGE("too many descriptors " + When,
                           Now.Descriptors_ <= DescriptorLimit);
  }

  void withstands(std::size_t Count, const ClientPlan &Plan) {
    check("before the crowd");
    Crowd Clients(Cluster_->httpAddress(Entry), Count, Plan);
    Clients.run();
    std::cout << "; " << Count << " clients sent " << Clients.sentBytes() / 1000
              << " KB, " << Clients.disconnected() << " cut,";
    check("after the crowd");
    net::HttpRequest Request;
    Request.Path_ = "/v1/status";
    const auto Response =
        net::HttpClient(Cluster_->httpAddress(Entry)).call(Request, 20s);
    CPPUNIT_ASSERT_MESSAGE(Response.status().ToString(), Response.ok());
    std::cout << " status " << Response->Status_;
    CPPUNIT_ASSERT_EQUAL(200u, Response->Status_);
    check("after the request");
  }

public:
  void setUp() override {
    rlimit Limit{};
    CPPUNIT_ASSERT_EQUAL(0, getrlimit(RLIMIT_NOFILE, &Limit));
    const rlimit Own = Limit;
    Limit.rlim_cur = DescriptorLimit;
    Cluster_ = std::make_unique<e2e::Cluster>();
    Cluster_->startLog();
    // The process inherits the limit.
    CPPUNIT_ASSERT_EQUAL(0, setrlimit(RLIMIT_NOFILE, &Limit));
    Cluster_->startEntry(Entry);
    CPPUNIT_ASSERT_EQUAL(0, setrlimit(RLIMIT_NOFILE, &Own));
  }

  void tearDown() override { Cluster_.reset(); }

  /// Guards against trailers that are stored without any limit.
  void trailersToRoleEntry() {
    withstands(EndlessCrowd,
               {Chunked + "1\r\nx\r\n0\r\n",
                "T: " + std::string(LineSize, 't') + "\r\n", EndlessSize});
  }

  /// Guards against chunk extensions that are buffered without any limit.
  void extensionsToRoleEntry() {
    withstands(EndlessCrowd, {Chunked + "1", ";e=" + std::string(LineSize, 'e'),
                              EndlessSize});
  }

  /// Guards against bodies that together exceed the memory.
  void largeChunksToRoleEntry() {
    const std::string Head = Chunked + "fffff\r\n";
    withstands(BodyCrowd,
               {Head, std::string(LineSize, 'x'), Head.size() + BodySize});
  }
  void byteChunksToRoleEntry() {
    constexpr std::size_t ChunkSize = 6;
    withstands(BodyCrowd,
               {Chunked, "1\r\nx\r\n",
                Chunked.size() + ChunkSize * (BodySize / ChunkSize)});
  }
  void shortBodiesToRoleEntry() {
    const std::string Head =
        "POST /svc/a HTTP/1.1\r\nHost: a\r\nContent-Length: " +
        std::to_string(BodySize) + "\r\n\r\n";
    withstands(BodyCrowd,
               {Head, std::string(LineSize, 'x'), Head.size() + BodySize - 1});
  }

  /// Guards against responses that are not read.
  void unreadResponsesOfRoleEntry() {
    withstands(BodyCrowd,
               {"", "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n", 100000});
  }

  /// Guards against connections that use up the descriptors.
  void silentClientsOfRoleEntry() { withstands(ConnectionCrowd, {}); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DaemonLimitsTest);
