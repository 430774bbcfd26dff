#include "crowd.h"
#include "nutmegwell/wire/cellbinary.h"
#include "processusage.h"
#include "soakcluster.h"
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <iostream>

using namespace nutmegwell;
using namespace std::chrono_literals;
using limits::ClientPlan;
using limits::Crowd;

namespace {

/// Settings of the processes under test. They are a fifth of the smallest
/// host's memory and a tenth of its descriptors, so that a small crowd is
/// enough.
constexpr std::size_t MemoryLimitMb = 24;
constexpr std::size_t DescriptorLimit = 400;

/// Limits of a single request, as published to callers.
constexpr std::size_t MaxHeader = 16384;
constexpr std::size_t MaxBody = 262144;

/// What a process may use.
constexpr std::size_t MemoryBound = MemoryLimitMb * 1000000;

/// Connections whose bodies take twice the memory limit.
constexpr std::size_t BodyCrowd = 2 * MemoryBound / MaxBody;
/// Twice as many connections as descriptors.
constexpr std::size_t ConnectionCrowd = 2 * DescriptorLimit;
/// Few connections that together send four times the memory limit.
constexpr std::size_t EndlessCrowd = 8;
constexpr std::size_t EndlessSize = 4 * MemoryBound / EndlessCrowd;
/// Bytes of the lines that an endless request consists of.
constexpr std::size_t LineSize = 900;

constexpr std::size_t EntryNode = 0;
constexpr std::size_t AgentNode = 1;

const std::string Chunked =
    "POST /q0/00000000000000aa HTTP/1.1\r\nHost: site\r\nApi-Key: key\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";

ClientPlan plan(std::string Head, std::string Repeated, std::size_t Size) {
  return {std::move(Head), std::move(Repeated), Size};
}

net::HttpRequest submission() {
  net::HttpRequest Request;
  Request.Method_ = "POST";
  Request.Path_ = "/q0/00000000000000bb";
  Request.Headers_ = {{"Host", "site"},
                      {"Api-Key", "key"},
                      {"X-Nutmegwell-Deadline-Ms", "5000"}};
  Request.Body_ =
      R"({"task_spec":"1 100","steps":[{"count":1,"cpu":1000,"mem_mb":1000,)"
      R"("gpu":1,"estimated_duration_ms":100}]})";
  return Request;
}

/// A notice that the agent reads and answers, whatever it makes of it.
net::HttpRequest notice() {
  net::HttpRequest Request;
  Request.Method_ = "PUT";
  Request.Path_ = "/executors/other";
  Request.Body_ = "{}";
  return Request;
}

} // namespace

/// Each case starts an entry host and an agent with low limits, lets a crowd of
/// clients misuse a port of one of them, and checks that the process lives,
/// that its memory and its descriptors stay below the limits, and that an
/// ordinary request is answered while the crowd is still connected.
class LimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LimitsTest);
  CPPUNIT_TEST(trailersToEntry);
  CPPUNIT_TEST(trailersToAgent);
  CPPUNIT_TEST(extensionsToEntry);
  CPPUNIT_TEST(extensionsToAgent);
  CPPUNIT_TEST(largeChunksToEntry);
  CPPUNIT_TEST(largeChunksToAgent);
  CPPUNIT_TEST(byteChunksToEntry);
  CPPUNIT_TEST(byteChunksToAgent);
  CPPUNIT_TEST(shortBodiesToEntry);
  CPPUNIT_TEST(shortBodiesToAgent);
  CPPUNIT_TEST(shortHeadersToEntry);
  CPPUNIT_TEST(shortHeadersToAgent);
  CPPUNIT_TEST(unreadResponsesOfEntry);
  CPPUNIT_TEST(unreadResponsesOfAgent);
  CPPUNIT_TEST(silentClientsOfEntry);
  CPPUNIT_TEST(silentClientsOfAgent);
  CPPUNIT_TEST(announcedFramesToEntry);
  CPPUNIT_TEST(shortFramesToEntry);
  CPPUNIT_TEST(completeBodiesToEntry);
  CPPUNIT_TEST(bodiesOfManyStepsToEntry);
  CPPUNIT_TEST(bodiesOfManyStepsFromStrangers);
  CPPUNIT_TEST(noticesOfManyLabelsToAgent);
  CPPUNIT_TEST(nestedBodiesToEntry);
  CPPUNIT_TEST(nestedBodiesToAgent);
  CPPUNIT_TEST(pipelinedChunksToEntry);
  CPPUNIT_TEST(pipelinedChunksToAgent);
  CPPUNIT_TEST(longIdsToEntry);
  CPPUNIT_TEST(forgedContainersToEntry);
  CPPUNIT_TEST(unreadRecordsOfEntry);
  CPPUNIT_TEST_SUITE_END();

  std::unique_ptr<soak::SoakCluster> Cluster_;

  net::Address portOf(std::size_t Node) const {
    return Node == EntryNode ? Cluster_->callerAddress(EntryNode)
                             : Cluster_->noticeAddress(AgentNode);
  }

  void check(std::size_t Node, const std::string &When) const {
    const limits::Usage Now = limits::settledUsage(Cluster_->processId(Node));
    std::cout << " " << When << ": peak " << Now.PeakBytes_ / 1000 << " KB of "
              << MemoryBound / 1000 << ", descriptors " << Now.Descriptors_
              << " of " << DescriptorLimit;
    CPPUNIT_ASSERT_MESSAGE("the process has ended " + When, Now.Alive_);
    CPPUNIT_ASSERT_MESSAGE("too much memory " + When,
                           Now.PeakBytes_ <= MemoryBound);
    CPPUNIT_ASSERT_MESSAGE("too many descriptors " + When,
                           Now.Descriptors_ <= DescriptorLimit);
  }

  void checkAnswers(std::size_t Node) const {
    net::HttpClient Client(portOf(Node));
    const auto Response =
        Client.call(Node == EntryNode ? submission() : notice(), 10s);
    CPPUNIT_ASSERT_MESSAGE(Response.ok() ? "" : Response.status().ToString(),
                           Response.ok());
    std::cout << " status " << Response->Status_;
    if (Node == EntryNode)
      CPPUNIT_ASSERT_EQUAL(200u, Response->Status_);
    else
      CPPUNIT_ASSERT(Response->Status_ < 500);
  }

  void withstands(std::size_t Node, const net::Address &Server,
                  std::size_t Count, const ClientPlan &Plan) {
    check(Node, "before the crowd");
    Crowd Clients(Server, Count, Plan);
    Clients.run();
    std::cout << "; " << Count << " clients sent " << Clients.sentBytes() / 1000
              << " KB, " << Clients.disconnected() << " cut,";
    check(Node, "after the crowd");
    checkAnswers(Node);
    check(Node, "after the request");
  }

  void withstands(std::size_t Node, std::size_t Count, const ClientPlan &Plan) {
    withstands(Node, portOf(Node), Count, Plan);
  }

  void trailers(std::size_t Node) {
    withstands(Node, EndlessCrowd,
               plan(Chunked + "1\r\nx\r\n0\r\n",
                    "T: " + std::string(LineSize, 't') + "\r\n", EndlessSize));
  }

  /// One extension without an end to a chunk, the form that is kept whole.
  void extensions(std::size_t Node) {
    withstands(
        Node, EndlessCrowd,
        plan(Chunked + "1", ";e=" + std::string(LineSize, 'e'), EndlessSize));
  }

  void largeChunks(std::size_t Node) {
    const std::string Head = Chunked + "3ffff\r\n";
    withstands(
        Node, BodyCrowd,
        plan(Head, std::string(LineSize, 'x'), Head.size() + MaxBody - 2));
  }

  /// Half of the other bodies' number, since each byte takes six on the wire.
  void byteChunks(std::size_t Node) {
    constexpr std::size_t ChunkSize = 6;
    withstands(Node, BodyCrowd / 2,
               plan(Chunked, "1\r\nx\r\n",
                    Chunked.size() + ChunkSize * (MaxBody - 1)));
  }

  void shortBodies(std::size_t Node) {
    const std::string Head =
        "POST /q0/00000000000000aa HTTP/1.1\r\nHost: site\r\nContent-Length: " +
        std::to_string(MaxBody) + "\r\n\r\n";
    withstands(
        Node, BodyCrowd,
        plan(Head, std::string(LineSize, 'x'), Head.size() + MaxBody - 1));
  }

  /// Header lines of a few bytes, which cost most for their size.
  void shortHeaders(std::size_t Node) {
    withstands(Node, ConnectionCrowd,
               plan("GET /q0/00000000000000aa HTTP/1.1\r\n", "a:b\r\n",
                    MaxHeader - 100));
  }

  /// Pipelined requests for the largest response that the process has, more
  /// than the socket buffers take.
  void unreadResponses(std::size_t Node) {
    withstands(Node, Cluster_->metricsAddress(Node), ConnectionCrowd,
               plan("", "GET /metrics HTTP/1.1\r\nHost: site\r\n\r\n", 100000));
  }

  void silentClients(std::size_t Node) {
    withstands(Node, ConnectionCrowd, ClientPlan());
  }

  /// Returns a JSON object of the largest size whose list has many equal items.
  static std::string listBody(const std::string &Head,
                              const std::string &Item) {
    constexpr std::size_t Tail = 2; // "]}"
    std::string Body = Head + Item;
    while (Body.size() + Item.size() + 1 + Tail <= MaxBody)
      Body += "," + Item;
    return Body + "]}";
  }

  /// Complete requests with \p Body, each for another id below \p Path, from
  /// clients that do not read.
  void completeBodies(std::size_t Node, const std::string &Path,
                      const std::string &Body) {
    const std::string Method = Node == EntryNode ? "POST " : "PUT ";
    const std::string Request = Method + Path +
                                "00000000000000aa HTTP/1.1\r\nHost: site\r\n"
                                "Api-Key: key\r\nContent-Length: " +
                                std::to_string(Body.size()) + "\r\n\r\n" + Body;
    withstands(Node, BodyCrowd, plan("", Request, Request.size()));
  }

  /// Chunked requests one after the other on each connection; the last one
  /// stops short.
  void pipelinedChunks(std::size_t Node) {
    std::string Request = Chunked;
    for (int I = 0; I < 1000; ++I)
      Request += "1\r\nx\r\n";
    Request += "0\r\n\r\n";
    withstands(Node, BodyCrowd, plan("", Request, 40 * Request.size() - 10));
  }

  /// Returns a frame's length prefix for \p Size, and the beginning of the
  /// frame.
  static std::string frameOf(const std::string &Begin, std::size_t Size) {
    std::string Bytes;
    for (int Shift = 24; Shift >= 0; Shift -= 8)
      Bytes.push_back(static_cast<char>(Size >> Shift));
    return Bytes + Begin;
  }

  /// Returns the beginning of an agent's report whose list of runs has as many
  /// elements as a frame of the largest size has bytes.
  static std::string forgedReport() {
    cell::AgentReport Report;
    const std::string Bytes = wire::encode(cell::PeerMessage(Report));
    cell::AgentReport WithRun = Report;
    WithRun.Running_.emplace_back();
    const std::string Longer = wire::encode(cell::PeerMessage(WithRun));
    // The first difference is the length of the list.
    const auto Found =
        std::mismatch(Bytes.begin(), Bytes.end(), Longer.begin()).first;
    return std::string(Bytes.begin(), Found) +
           std::string("\x00\x00\x7f\x00", 4);
  }

public:
  void setUp() override {
    Cluster_ = std::make_unique<soak::SoakCluster>(
        1, 1, 1,
        std::vector<std::string>{
            "--memory-limit=" + std::to_string(MemoryLimitMb),
            "--descriptor-limit=" + std::to_string(DescriptorLimit),
            "--log-level=warning"});
    CPPUNIT_ASSERT(Cluster_->waitReady(30s));
  }

  void tearDown() override { Cluster_.reset(); }

  /// Guards against trailers that were stored without any limit: 8 connections
  /// took a process to 209 MB.
  void trailersToEntry() { trailers(EntryNode); }
  void trailersToAgent() { trailers(AgentNode); }

  /// Guards against chunk extensions that were buffered without any limit.
  void extensionsToEntry() { extensions(EntryNode); }
  void extensionsToAgent() { extensions(AgentNode); }

  /// Guards against bodies that are each within their limit and together exceed
  /// the memory: 700 took a process to 171 MB.
  void largeChunksToEntry() { largeChunks(EntryNode); }
  void largeChunksToAgent() { largeChunks(AgentNode); }
  void byteChunksToEntry() { byteChunks(EntryNode); }
  void byteChunksToAgent() { byteChunks(AgentNode); }
  void shortBodiesToEntry() { shortBodies(EntryNode); }
  void shortBodiesToAgent() { shortBodies(AgentNode); }

  /// Guards against connections that hold a part of a header each.
  void shortHeadersToEntry() { shortHeaders(EntryNode); }
  void shortHeadersToAgent() { shortHeaders(AgentNode); }

  /// Guards against connections that stay open because a response is not read.
  void unreadResponsesOfEntry() { unreadResponses(EntryNode); }
  void unreadResponsesOfAgent() { unreadResponses(AgentNode); }

  /// Guards against connections that use up the descriptors.
  void silentClientsOfEntry() { silentClients(EntryNode); }
  void silentClientsOfAgent() { silentClients(AgentNode); }

  /// Guards against frames whose announced length was allocated at once.
  void announcedFramesToEntry() {
    withstands(EntryNode, Cluster_->peersAddress(EntryNode), EndlessCrowd,
               plan(std::string("\x00\x7f\xff\xff", 4), "x", 1000));
  }

  /// Guards against frames of the largest size that stop short of their end.
  void shortFramesToEntry() {
    constexpr std::size_t FrameSize = 0x7fffff;
    withstands(EntryNode, Cluster_->peersAddress(EntryNode), EndlessCrowd,
               plan(std::string("\x00\x7f\xff\xff", 4),
                    std::string(LineSize, 'x'), FrameSize));
  }

  /// Guards against complete submissions that a process holds while it handles
  /// them.
  void completeBodiesToEntry() {
    const std::string Body =
        R"({"task_spec":")" + std::string(MaxBody - 100, 'x') +
        R"(","steps":[{"count":1,"cpu":1000,"mem_mb":1000,"gpu":1}]})";
    completeBodies(EntryNode, "/q0/", Body);
  }

  /// Guards against bodies whose decoded form is many times as large.
  void bodiesOfManyStepsToEntry() {
    completeBodies(EntryNode, "/q0/", listBody(R"({"steps":[)", "{}"));
  }
  void bodiesOfManyStepsFromStrangers() {
    completeBodies(EntryNode, "/other/", listBody(R"({"steps":[)", "{}"));
  }
  void noticesOfManyLabelsToAgent() {
    completeBodies(AgentNode, "/executors/",
                   listBody(R"({"service":"service","labels":[)", R"("")"));
  }

  /// Guards against values nested so deeply that handling them ends the
  /// process.
  void nestedBodiesToEntry() {
    completeBodies(EntryNode, "/q0/", std::string(MaxBody, '['));
  }
  void nestedBodiesToAgent() {
    completeBodies(AgentNode, "/executors/", std::string(MaxBody, '['));
  }

  /// Guards against requests in a pipeline whose responses nobody reads.
  void pipelinedChunksToEntry() { pipelinedChunks(EntryNode); }
  void pipelinedChunksToAgent() { pipelinedChunks(AgentNode); }

  /// Guards against calls for jobs with long ids, which wait for the view.
  void longIdsToEntry() {
    const std::string Id(MaxHeader - 1000, 'a');
    const std::string Request =
        "DELETE /q0/" + Id + " HTTP/1.1\r\nHost: site\r\nApi-Key: key\r\n\r\n";
    withstands(EntryNode, ConnectionCrowd,
               plan("", Request, 4 * Request.size()));
  }

  /// Guards against frames that announce containers of many large elements.
  void forgedContainersToEntry() {
    constexpr std::size_t FrameSize = 0x7fffff;
    withstands(EntryNode, Cluster_->peersAddress(EntryNode), EndlessCrowd,
               plan(frameOf(forgedReport(), FrameSize),
                    std::string(LineSize, '\0'), FrameSize + 4));
  }

  /// Guards against records that are queued for peers that do not read.
  void unreadRecordsOfEntry() {
    constexpr std::size_t Requests = 100;
    Cluster_->store().publish("padding", std::string(MaxBody - 100, 'x'));
    std::string Frame = wire::encode(cell::PeerMessage(cell::RecordsRequest()));
    Frame = frameOf(Frame, Frame.size());
    withstands(EntryNode, Cluster_->peersAddress(EntryNode), EndlessCrowd,
               plan("", Frame, Requests * Frame.size()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimitsTest);
